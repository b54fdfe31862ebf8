"""Test silent connections and replies that do not match the attempt on their connection."""

from __future__ import annotations

import pytest

from pistachioloft_core.connection import owner, silence
from pistachioloft_core.connection.actions import DECISION_SILENT
from tests.test_owner.harness import Harness


def _silence_details(harness: Harness) -> list[str]:
    return [log.detail for log in harness.decisions if log.decision == DECISION_SILENT]


def test_probe_replaces_connection_when_connection_limit_is_reached() -> None:
    """Guard against an endpoint that stays unusable because no connection may be added."""
    harness = Harness()
    harness.add(limit=4)
    harness.submit('lost-1', time_left_ms=300)
    harness.submit('lost-2', time_left_ms=300)
    harness.advance(1001)
    harness.confirm_closes()
    harness.open_all()
    assert len(harness.probes) == 1
    harness.answer_probes()
    harness.advance(25)
    harness.confirm_closes()
    harness.submit('after')
    harness.reply(harness.connection_of('after'))
    assert harness.results['after'].outcome == 'ok'


def test_reply_within_grace_time_is_accepted_despite_silence_evidence() -> None:
    """Guard against dropping replies that arrive together after a stall."""
    harness = Harness()
    harness.add()
    harness.serve(20)
    harness.submit('one', time_left_ms=5000)
    harness.submit('two', time_left_ms=5000)
    harness.advance(150)
    harness.reply(harness.connection_of('one'))
    harness.advance(silence.SILENT_GRACE_MS - 1)
    harness.reply(harness.connection_of('two'))
    assert harness.results['two'].outcome == 'ok'
    assert not _silence_details(harness)


def test_command_is_overdue_by_service_time_of_commands() -> None:
    """Guard against treating a slow command as silent because queries are fast."""
    harness = Harness()
    harness.add()
    harness.serve(20)
    harness.submit('command', kind='command', time_left_ms=5000)
    harness.advance(400)
    harness.serve(2, prefix='meanwhile')
    harness.advance(100)
    harness.reply(harness.connection_of('command'))
    assert harness.results['command'].outcome == 'ok'


@pytest.mark.parametrize('wrong_fields', [{'identity': 'other#1'}, {'endpoint': 's2'}])
def test_crossed_reply_is_dropped_and_its_connection_closed(
    wrong_fields: dict[str, str],
) -> None:
    """Guard against returning the reply to another request."""
    harness = Harness()
    harness.add()
    harness.submit('mine')
    harness.submit('other')
    crossed_id = harness.connection_of('mine')
    harness.reply(crossed_id, **wrong_fields)
    assert harness.results['mine'].outcome == 'unknown'
    assert harness.results['mine'].results == ()
    assert crossed_id in harness.closing
    harness.reply(harness.connection_of('other'))
    assert harness.results['other'].outcome == 'ok'


def test_duplicate_reply_is_dropped_and_its_connection_closed() -> None:
    """Guard against a duplicate reply that is matched with the next request."""
    harness = Harness()
    harness.add()
    harness.submit('first')
    connection_id = harness.connection_of('first')
    send = harness.in_flight[connection_id]
    harness.reply(connection_id)
    harness.in_flight[connection_id] = send
    harness.reply(connection_id)
    assert connection_id in harness.closing
    harness.submit('second')
    assert harness.connection_of('second') != connection_id
    assert harness.result_counts['first'] == 1


def test_timed_out_attempt_keeps_its_slot_until_the_reply() -> None:
    """Guard against more attempts in flight at an endpoint than it has slots."""
    harness = Harness()
    harness.add(slots=1)
    harness.submit('late', time_left_ms=50)
    harness.submit('next', time_left_ms=5000)
    harness.advance(60)
    assert harness.results['late'].outcome == 'unknown'
    assert len(harness.sent) == 1
    harness.reply(harness.connection_of('late'))
    assert harness.result_counts['late'] == 1
    assert harness.connection_of('next')


def test_cancelled_attempt_frees_its_slot_after_a_bounded_time() -> None:
    """Guard against a slot that stays occupied because a cancelled request gets no reply."""
    harness = Harness()
    harness.add(slots=1)
    harness.submit('gone', time_left_ms=5000)
    harness.call(owner.cancel, 'gone')
    assert harness.results['gone'].outcome == 'unknown'
    assert harness.cancels[0].identity == 'gone#1'
    harness.submit('next', time_left_ms=5000)
    assert len(harness.sent) == 1
    harness.advance(2001)
    harness.confirm_closes()
    assert len(harness.sent) == 2
