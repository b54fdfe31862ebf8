"""Test the reports of attempts that were in flight when an endpoint crashed."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.connection import owner
from tests.test_owner.harness import Harness, make_record


def _digests(harness: Harness) -> list[str]:
    return sorted(report.content_digest for report in harness.crashes)


def _crash(harness: Harness) -> None:
    """Reset every connection of the endpoint and refuse new ones, as the kernel does in a crash."""
    for connection_id in list(harness.open):
        harness.closed(connection_id)
    for connection_id in list(harness.opening):
        harness.closed(connection_id, 'refused')


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.integers(1, 6), st.integers(0, 9), st.randoms(use_true_random=False))
def test_crash_report_lists_exactly_the_attempts_in_flight(slots: int, count: int, rng) -> None:
    """Guard against reporting a request that had ended, or missing one still in flight."""
    harness = Harness()
    harness.add(slots=slots)
    harness.serve(3)
    for number in range(count):
        harness.submit(f'a{number}', urgent=rng.random() < 0.3)
    for connection_id in list(harness.in_flight):
        if rng.random() < 0.3:
            harness.reply(connection_id)
    in_flight_ids = sorted(send.attempt.attempt_id for send in harness.in_flight.values())
    _crash(harness)
    assert _digests(harness) == [f'digest-{name}' for name in in_flight_ids]
    assert {report.incarnation for report in harness.crashes} <= {1}
    if in_flight_ids:
        assert all(harness.results[name].crashed for name in in_flight_ids)
        waiting = [name for name in harness.results if name not in in_flight_ids]
        assert not any(harness.results[name].crashed for name in waiting)
        assert set(harness.result_counts) >= {f'a{number}' for number in range(count)}


def test_reset_followed_by_new_incarnation_is_reported_as_crash() -> None:
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


def test_reset_survived_by_process_is_not_reported_as_crash() -> None:
    """Guard against a crash report because of a connection that was lost."""
    harness = Harness()
    harness.add()
    harness.submit('innocent')
    harness.closed(harness.connection_of('innocent'))
    harness.open_all()
    harness.serve(6)
    harness.call(owner.update_endpoint, make_record(incarnation=2, sequence=1))
    assert not harness.crashes
    assert not harness.results['innocent'].crashed


def test_refusal_long_after_reset_is_not_reported_as_crash() -> None:
    """Guard against a crash report that combines two unrelated faults."""
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


def test_new_incarnation_without_reset_lets_sent_attempts_finish() -> None:
    """Guard against reporting the requests of a process that was replaced without a crash."""
    harness = Harness()
    harness.add()
    harness.submit('finishing')
    connection_id = harness.connection_of('finishing')
    harness.call(owner.update_endpoint, make_record(incarnation=2, sequence=1))
    harness.confirm_closes()
    harness.open_all()
    harness.submit('new')
    assert connection_id in harness.open
    harness.reply(connection_id)
    assert harness.results['finishing'].outcome == 'ok'
    assert connection_id in harness.closing
    assert not harness.crashes


def test_failure_before_first_byte_resends_on_another_connection() -> None:
    """Guard against failing an attempt that provably did not start."""
    harness = Harness()
    harness.add()
    harness.submit('a', kind='command')
    connection_id = harness.connection_of('a')
    del harness.in_flight[connection_id]
    harness.call(owner.on_failure, connection_id, False, 'broken pipe')
    assert [send.request.identity for send in harness.sent] == ['a#1', 'a#2']
    assert not harness.crashes


def test_failure_after_first_byte_is_not_resent() -> None:
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


def test_refused_connection_refuses_all_unsent_attempts_at_once() -> None:
    """Guard against losing one attempt per connection after the process has ended."""
    harness = Harness()
    harness.add()
    for name in ('a', 'b', 'c'):
        harness.submit(name)
    connection_id = harness.connection_of('a')
    del harness.in_flight[connection_id]
    harness.call(owner.on_failure, connection_id, False, 'connection refused', True)
    refused = [result for result in harness.results.values() if not result.handed_over]
    assert {result.attempt_id for result in refused} == {'a', 'c'}
    assert all(result.retry_after_ms is None for result in refused)
