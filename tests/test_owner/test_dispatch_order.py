"""Test the order of dispatches, the slot limit after a cold start and refusals."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.connection import owner, pool
from tests.test_owner.harness import Harness, make_record


def _sent_ids(harness: Harness) -> list[str]:
    return [send.attempt.attempt_id for send in harness.sent]


def _serve_one(harness: Harness) -> None:
    harness.advance(1)
    harness.reply(next(iter(harness.in_flight)))


def test_urgent_attempts_are_sent_first_then_by_earliest_deadline() -> None:
    """Guard against an urgent attempt that waits behind a long routine one."""
    harness = Harness()
    harness.add(slots=1)
    harness.submit('first')
    harness.submit('late', time_left_ms=900)
    harness.submit('soon', time_left_ms=500)
    harness.submit('urgent-late', urgent=True, time_left_ms=900)
    harness.submit('urgent-soon', urgent=True, time_left_ms=500)
    for _ in range(5):
        _serve_one(harness)
    assert _sent_ids(harness) == ['first', 'urgent-soon', 'urgent-late', 'soon', 'late']


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.integers(1, 3), st.integers(2, 12), st.lists(st.booleans(), min_size=5, max_size=30))
def test_routine_attempts_get_one_dispatch_in_ten(
    slots: int, limit: int, arrivals: list[bool]
) -> None:
    """Guard against routine attempts that starve behind urgent ones."""
    harness = Harness()
    harness.add(slots=slots, limit=limit)
    waiting_routine_count, number = 0, 0
    urgent_since_routine_count = 0
    for urgent in [False, *arrivals * 5]:
        for is_urgent in [True, True, urgent]:
            number += 1
            harness.submit(f'{number}', urgent=is_urgent, time_left_ms=60_000)
        sent = len(harness.sent)
        if harness.in_flight:
            _serve_one(harness)
        waiting_routine_count = harness.state.endpoints['s1'].queue.routine.live_count
        for send in harness.sent[sent:]:
            urgent_since_routine_count = (
                urgent_since_routine_count + 1
                if send.attempt.urgent and waiting_routine_count
                else 0
            )
            assert urgent_since_routine_count < 10


def test_urgent_attempts_get_all_other_dispatches() -> None:
    """Guard against a routine share above one in ten."""
    harness = Harness()
    harness.add(slots=1)
    for number in range(15):
        harness.submit(f'u{number}', urgent=True)
        harness.submit(f'r{number}')
    for _ in range(12):
        _serve_one(harness)
    assert sum(name.startswith('r') for name in _sent_ids(harness)) == 1


def test_routine_attempts_leave_one_connection_for_urgent_ones() -> None:
    """Guard against an urgent attempt that finds every connection taken."""
    harness = Harness()
    harness.add(slots=4, limit=6)
    for number in range(4):
        harness.submit(f'r{number}')
    assert len(harness.sent) == 2
    harness.submit('u', urgent=True)
    assert _sent_ids(harness)[-1] == 'u'


def test_cold_start_raises_slot_limit_from_one_over_two_seconds() -> None:
    """Guard against overloading an endpoint whose caches are empty."""
    harness = Harness()
    harness.add(slots=5, warm=False)
    for number in range(8):
        harness.submit(f'{number}', time_left_ms=60_000)
    in_flight_counts = [harness.in_flight_count('s1')]
    for _ in range(4):
        harness.advance(500)
        in_flight_counts.append(harness.in_flight_count('s1'))
    assert in_flight_counts == [1, 2, 3, 4, 5]


def test_new_incarnation_starts_ramp_and_new_owner_does_not() -> None:
    """Guard against a ramp only after the first start, or again with each new owner."""
    harness = Harness()
    harness.add(slots=4, warm=True)
    for number in range(4):
        harness.submit(f'{number}')
    assert harness.in_flight_count('s1') == 4
    for connection_id in list(harness.in_flight):
        harness.reply(connection_id)
    harness.add(slots=4, incarnation=2, sequence=1)
    harness.confirm_closes()
    harness.open_all()
    for number in range(4):
        harness.submit(f'again-{number}')
    assert harness.in_flight_count('s1') == 1


def test_attempt_that_cannot_meet_its_deadline_is_refused_at_once() -> None:
    """Guard against attempts that are queued but can only expire."""
    harness = Harness()
    harness.add(slots=1)
    harness.serve(30, service_ms=20)
    harness.submit('runs', time_left_ms=1000)
    harness.submit('hopeless', time_left_ms=25)
    assert harness.results['hopeless'].outcome == 'not_started'
    assert harness.results['hopeless'].retry_after_ms == 20
    harness.submit('possible', time_left_ms=60)
    assert 'possible' not in harness.results


def test_idle_endpoint_accepts_attempts_after_slow_replies() -> None:
    """Guard against refusing all attempts forever because an endpoint was slow once."""
    harness = Harness()
    harness.add()
    harness.serve(128, service_ms=300)
    harness.submit('after', time_left_ms=50)
    assert harness.connection_of('after')


def test_full_queue_refuses_routine_attempt_and_evicts_one_for_urgent() -> None:
    """Guard against an unbounded queue, or a full one that refuses urgent attempts."""
    harness = Harness()
    harness.add(slots=1)
    for number in range(33):
        harness.submit(f'{number}', time_left_ms=1000 + number)
    harness.submit('beyond')
    assert harness.results['beyond'].outcome == 'not_started'
    assert (harness.results['beyond'].retry_after_ms or 0) > 0
    harness.submit('urgent', urgent=True)
    assert 'urgent' not in harness.results
    assert harness.results['32'].outcome == 'not_started'


def test_refused_connections_are_retried_with_growing_delay() -> None:
    """Guard against reconnecting without a delay to an endpoint that refuses connections."""
    harness = Harness()
    harness.call(owner.update_endpoint, make_record())
    harness.submit('waits')
    delays_ms = []
    for _ in range(8):
        for connection_id in list(harness.opening):
            harness.closed(connection_id, 'refused')
        assert not harness.opening
        start_ms = harness.now_ms
        while not harness.opening:
            harness.advance(10)
        delays_ms.append(harness.now_ms - start_ms)
    assert delays_ms == [50, 100, 200, 400, 800, 1600, 2000, 2000]
    assert harness.results['waits'].outcome == 'not_started'
    harness.submit('later')
    assert harness.results['later'].outcome == 'not_started'


def test_opening_of_connection_without_reply_times_out() -> None:
    """Guard against waiting forever for a connection that never opens."""
    harness = Harness()
    harness.call(owner.update_endpoint, make_record())
    harness.advance(2001)
    assert len(harness.closing) == 6


def test_draining_reply_stops_new_attempts_before_announcement() -> None:
    """Guard against new attempts at an endpoint whose reply reported that it is draining."""
    harness = Harness()
    harness.add(slots=1)
    harness.submit('a')
    harness.submit('b')
    harness.reply(harness.connection_of('a'), draining=True)
    assert harness.results['b'].outcome == 'not_started'
    assert harness.results['b'].draining
    assert len(harness.sent) == 1


def test_announcement_of_same_incarnation_does_not_end_drain() -> None:
    """Guard against a late announcement that makes a draining endpoint ready again."""
    harness = Harness()
    harness.add()
    harness.call(owner.update_endpoint, make_record(sequence=11, draining=True))
    harness.call(owner.update_endpoint, make_record(sequence=12, draining=False))
    harness.submit('a')
    assert harness.results['a'].outcome == 'not_started'


def test_lost_ownership_finishes_sent_attempts_and_closes_connections() -> None:
    """Guard against interrupting requests when an endpoint moves to another owner."""
    harness = Harness()
    harness.add(slots=1)
    harness.submit('runs')
    harness.submit('waits')
    harness.call(owner.remove_endpoint, 's1')
    assert harness.results['waits'].outcome == 'not_started'
    assert len(harness.open) == 1
    harness.reply(harness.connection_of('runs'))
    assert harness.results['runs'].outcome == 'ok'
    harness.confirm_closes()
    assert not harness.open
    assert not harness.state.endpoints


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.integers(1, 8), st.integers(1, 30), st.lists(st.integers(0, 5), max_size=60))
def test_overlapping_owners_stay_below_the_connection_limit(
    slots: int, limit: int, steps: list[int]
) -> None:
    """Guard against two owners that together exceed what the endpoint allows."""
    owners = [Harness('e1'), Harness('e2')]
    for harness in owners:
        harness.call(owner.update_endpoint, make_record(limit=limit, slots=slots, owner_name='e1'))
    owners[1].call(owner.update_endpoint, make_record(limit=limit, slots=slots, owner_name='e2'))
    for step, number in enumerate(steps):
        harness = owners[number % 2]
        harness.submit(f'{step}', time_left_ms=40)
        if number == 2:
            harness.open_all()
        elif number == 3:
            harness.confirm_closes()
        elif number == 4:
            harness.advance(1500)
        elif number == 5 and harness.open:
            harness.closed(next(iter(harness.open)))
        assert sum(owner_harness.connection_count('s1') for owner_harness in owners) <= limit


@pytest.mark.parametrize(('limit', 'target'), [(1, 0), (2, 1), (4, 2), (25, 6), (100, 6)])
def test_connection_target_is_at_most_half_of_limit(limit: int, target: int) -> None:
    """Guard against an owner that uses more than half of an endpoint's connections."""
    assert pool.connection_target(make_record(limit=limit).announcement) == target


def test_observations_carry_load_and_latency() -> None:
    """Guard against other instances that plan without the owner's observations."""
    harness = Harness()
    harness.add(slots=1)
    harness.serve(10, service_ms=8)
    harness.submit('runs')
    harness.submit('waits')
    (observed,) = owner.observations(harness.state)
    assert (observed.in_flight_count, observed.queue_length, observed.latency_ms) == (1, 1, 8.0)


def test_attempt_delivered_twice_runs_once() -> None:
    """Guard against a second execution when a batch is delivered twice."""
    harness = Harness()
    harness.add()
    harness.submit('a')
    harness.reply(harness.connection_of('a'))
    harness.submit('a')
    assert len(harness.sent) == 1
