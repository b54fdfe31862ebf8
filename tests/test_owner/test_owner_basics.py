"""Test how the owner of an endpoint processes attempts without faults."""

from __future__ import annotations

from pistachioloft_core.connection import owner
from tests.test_owner.harness import Harness, make_record


def test_attempt_is_sent_and_answered() -> None:
    """Guard against a reply that does not reach its origin."""
    harness = Harness()
    harness.add()
    harness.submit('a', time_left_ms=80.5)
    assert harness.sent[0].request.identity == 'a#1'
    assert harness.sent[0].request.time_left_ms == 80
    assert harness.sent[0].address == '127.0.0.1:1'
    harness.advance(6)
    harness.reply(harness.connection_of('a'))
    assert harness.results['a'].outcome == 'ok'
    assert harness.results['a'].service_ms == 6


def test_connections_are_opened_in_advance_up_to_target() -> None:
    """Guard against waiting for a connection when the first request arrives."""
    harness = Harness()
    harness.call(owner.update_endpoint, make_record())
    assert len(harness.opening) == 6


def test_unknown_endpoint_is_refused_as_not_started() -> None:
    """Guard against an attempt without a result because the owner has changed."""
    harness = Harness()
    harness.submit('a', endpoint='other')
    assert harness.results['a'].outcome == 'not_started'
    assert 'own' in harness.results['a'].detail


def test_waiting_attempt_expires_as_not_started_and_sent_one_as_unknown() -> None:
    """Guard against reporting a definite outcome of an attempt that may still run."""
    harness = Harness()
    harness.add(slots=1)
    harness.submit('sent', time_left_ms=50)
    harness.submit('waits', time_left_ms=40)
    harness.advance(60)
    assert harness.results['waits'].outcome == 'not_started'
    assert harness.results['sent'].outcome == 'unknown'


def test_not_started_reply_pauses_endpoint() -> None:
    """Guard against more attempts at an endpoint that sheds load."""
    harness = Harness()
    harness.add()
    harness.submit('a')
    harness.reply(harness.connection_of('a'), 'not_started')
    assert harness.results['a'].outcome == 'not_started'
    harness.submit('b')
    assert len(harness.sent) == 1
    harness.advance(owner.SHED_PAUSE_MS)
    assert len(harness.sent) == 2
