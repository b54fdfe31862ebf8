"""Guard the reports of attempts that were in flight when an endpoint crashed."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.connection import owner
from tests.test_owner.harness import Harness, make_record


def _digests(harness: Harness) -> list[str]:
    return sorted(report.content_digest for report in harness.crashes)


def _crash(harness: Harness) -> None:
    """Let the kernel of a crashed endpoint reset every connection and refuse new ones."""
    for connection_id in list(harness.open):
        harness.closed(connection_id)
    for connection_id in list(harness.opening):
        harness.closed(connection_id, 'refused')


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.integers(1, 6), st.integers(0, 9), st.randoms(use_true_random=False))
def test_crash_names_exactly_what_was_in_flight(slots: int, count: int, choice) -> None:
    """Guard against blaming a request that had ended or sparing one that had not."""
    harness = Harness()
    harness.add(slots=slots)
    harness.serve(3)
    for number in range(count):
        harness.submit(f'a{number}', urgent=choice.random() < 0.3)
    for connection_id in list(harness.carried):
        if choice.random() < 0.3:
            harness.reply(connection_id)
    in_flight = sorted(send.attempt.attempt_id for send in harness.carried.values())
    _crash(harness)
    assert _digests(harness) == [f'digest-{name}' for name in in_flight]
    assert {report.incarnation for report in harness.crashes} <= {1}
    if in_flight:
        assert all(harness.results[name].crashed for name in in_flight)
        waiting = [name for name in harness.results if name not in in_flight]
        assert not any(harness.results[name].crashed for name in waiting)
        assert set(harness.result_counts) >= {f'a{number}' for number in range(count)}


def test_reset_then_new_incarnation_is_a_crash() -> None:
    """Guard against missing the crash of an endpoint that restarts at once."""
    harness = Harness()
    harness.add()
    harness.submit('poison')
    for connection_id in list(harness.open):
        harness.closed(connection_id)
    harness.open_all()
    assert harness.results['poison'].outcome == 'unknown'
    assert not harness.crashes
    harness.submit('innocent')
    harness.call(owner.update_endpoint, make_record(incarnation=2, sequence=1))
    assert _digests(harness) == ['digest-poison']
    harness.reply(harness.connection_of('innocent'), incarnation=2)
    assert harness.results['innocent'].outcome == 'ok'


def test_reset_that_the_same_process_survives_is_no_crash() -> None:
    """Guard against condemning a request because a connection was lost."""
    harness = Harness()
    harness.add()
    harness.submit('innocent')
    harness.closed(harness.connection_of('innocent'))
    harness.open_all()
    harness.serve(6)
    harness.call(owner.update_endpoint, make_record(incarnation=2, sequence=1))
    assert not harness.crashes
    assert not harness.results['innocent'].crashed


def test_refusal_long_after_a_reset_is_no_crash() -> None:
    """Guard against joining two faults that have nothing to do with each other."""
    harness = Harness()
    harness.add()
    harness.submit('innocent')
    harness.closed(harness.connection_of('innocent'))
    harness.advance(49)
    assert 'innocent' not in harness.results
    harness.advance(2)
    assert harness.results['innocent'].outcome == 'unknown'
    harness.advance(6000)
    for connection_id in list(harness.opening):
        harness.closed(connection_id, 'refused')
    assert not harness.crashes


def test_new_incarnation_without_a_reset_lets_attempts_finish() -> None:
    """Guard against blaming requests of a process that was replaced in an orderly way."""
    harness = Harness()
    harness.add()
    harness.submit('finishing')
    carrier = harness.connection_of('finishing')
    harness.call(owner.update_endpoint, make_record(incarnation=2, sequence=1))
    harness.confirm_closes()
    harness.open_all()
    harness.submit('new')
    assert carrier in harness.open
    harness.reply(carrier)
    assert harness.results['finishing'].outcome == 'ok'
    assert carrier in harness.closing
    assert not harness.crashes


def test_failure_before_the_first_byte_is_sent_again_elsewhere() -> None:
    """Guard against giving up an attempt that provably did not start."""
    harness = Harness()
    harness.add()
    harness.submit('a', kind='command')
    connection_id = harness.connection_of('a')
    del harness.carried[connection_id]
    harness.call(owner.on_failure, connection_id, False, 'broken pipe')
    assert [send.request.identity for send in harness.sent] == ['a#1', 'a#2']
    assert not harness.crashes


def test_failure_after_the_first_byte_is_never_sent_again() -> None:
    """Guard against a second execution of a command."""
    harness = Harness()
    harness.add()
    harness.submit('a', kind='command')
    connection_id = harness.connection_of('a')
    harness.call(owner.on_failure, connection_id, True, 'reset')
    harness.closed(connection_id)
    harness.advance(60)
    assert harness.results['a'].outcome == 'unknown'
    assert len(harness.sent) == 1
