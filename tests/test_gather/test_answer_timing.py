"""Guard against partial answers that miss the latency target or are sent too early."""

from __future__ import annotations

import random

import pytest

from pistachioloft_core.request.answer_timing import (
    DEADLINE_COUNT,
    PROCESSING_ALLOWANCE_MS,
    AnswerDelay,
    CallerDeadlines,
    CallerTransit,
    answer_due_ms,
    answer_transmission_ms,
    elapsed_before_sending_ms,
    is_past_target,
)
from pistachioloft_core.request.attempts import AttemptEnd, AttemptOutcome, DeliverMerged
from pistachioloft_core.request.gather_state import GatherState
from pistachioloft_core.request.routed_state import deadlines_of

from .routed_simulation import Reply, Simulation, answered

TARGET_MS = 100.0
LIMIT_MS = 1_000.0
ONE_WAY_MS = 3.0
FASTEST_MS = 10.0


def recorded_deadlines(*deadlines_ms: float) -> CallerDeadlines:
    deadlines = CallerDeadlines()
    for deadline_ms in deadlines_ms:
        deadlines.record(deadline_ms)
    return deadlines


def test_usual_deadline_is_the_most_frequent_one() -> None:
    """Guard against rare deadlines that change the usual one."""
    assert recorded_deadlines().usual_ms() is None
    assert recorded_deadlines(1_000.0).usual_ms() == 1_000.0
    assert recorded_deadlines(1_000.0, 986.0, 1_000.0, 2_000.0, 986.0).usual_ms() == 1_000.0
    # No deadline is usual if each request has a different one.
    assert recorded_deadlines(*(1_000.0 - number for number in range(20))).usual_ms() is None
    # The usual deadline follows callers that change theirs.
    assert recorded_deadlines(*[1_000.0] * 200, *[500.0] * DEADLINE_COUNT).usual_ms() == 500.0


def test_deadline_below_the_usual_one_counts_as_elapsed_time() -> None:
    """Guard against an answer that is timed as if the caller had spent no time before sending."""
    route = Simulation().gather_route
    deadlines = recorded_deadlines(*[1_000.0] * 10)
    assert elapsed_before_sending_ms(deadlines, 1_000.0, route) == 0.0
    assert elapsed_before_sending_ms(deadlines, 986.0, route) == 14.0
    # A longer deadline proves nothing, and a much shorter one is from another kind of caller.
    assert elapsed_before_sending_ms(deadlines, 1_500.0, route) == 0.0
    assert elapsed_before_sending_ms(deadlines, 300.0, route) == 0.0


def test_answer_due_time_allows_for_transit() -> None:
    """Guard against an answer that reaches the caller after the target."""
    route = Simulation().gather_route
    connected = CallerTransit(ONE_WAY_MS, ONE_WAY_MS)
    assert (
        answer_due_ms(route, 50.0, connected, FASTEST_MS) == 50.0 + 94.0 - PROCESSING_ALLOWANCE_MS
    )
    # The elapsed time derived from the deadline includes connecting.
    connecting = CallerTransit(3 * ONE_WAY_MS, ONE_WAY_MS, 2 * ONE_WAY_MS)
    assert connecting.total_ms == 4 * ONE_WAY_MS
    looked_up = CallerTransit(ONE_WAY_MS, ONE_WAY_MS, 20.0)
    assert (
        answer_due_ms(route, 50.0, looked_up, FASTEST_MS) == 50.0 + 74.0 - PROCESSING_ALLOWANCE_MS
    )


def test_complete_answer_is_awaited_once_target_cannot_be_met() -> None:
    """Guard against an answer that is both partial and late."""
    route = Simulation().gather_route
    transit = CallerTransit(
        ONE_WAY_MS, ONE_WAY_MS, TARGET_MS - 2 * ONE_WAY_MS - PROCESSING_ALLOWANCE_MS - 1.0
    )
    assert answer_due_ms(route, 50.0, transit, FASTEST_MS) == 50.0 + TARGET_MS


def simulation_with_slow_attempts(source: random.Random) -> Simulation:
    """Return a simulation in which about every second query lacks a shard past the target."""
    simulation = Simulation(shard_count=20, replica_count=1, coverage_floor=0.75)

    def behave(_now_ms: float, _attempt: object) -> Reply:
        slow = source.random() < 1 / 30
        return (300.0 if slow else source.uniform(8.0, 30.0)), AttemptEnd(AttemptOutcome.ANSWERED)

    for name in simulation.behaviours:
        simulation.behaviours[name] = behave
    return simulation


def test_callers_with_elapsed_time_are_answered_within_target() -> None:
    """Guard against late answers to callers that spent time on lookups before sending."""
    # 40% of the callers spend 14 to 29 ms before sending, and one attempt in 30 is slow, so that
    # about half of the queries lack a shard until after the target.
    source = random.Random(3)
    simulation = simulation_with_slow_attempts(source)
    route = simulation.gather_route
    deadlines = CallerDeadlines()
    in_time_count, coverage = 0, 0.0
    for _ in range(300):
        elapsed_ms = source.uniform(14.0, 29.0) if source.random() < 0.4 else 0.0
        derived_elapsed_ms = elapsed_before_sending_ms(deadlines, LIMIT_MS - elapsed_ms, route)
        transit = CallerTransit(ONE_WAY_MS, ONE_WAY_MS, derived_elapsed_ms)
        answer_after_ms = answer_due_ms(route, 0.0, transit, FASTEST_MS)
        simulated = simulation.query(answer_after_ms, LIMIT_MS - elapsed_ms)
        simulation.run(simulation.now_ms + 400.0)
        assert simulated.answer is not None
        assert isinstance(simulated.answer.action, DeliverMerged)
        response_ms = simulated.answer.at_ms - simulated.arrived_ms + 2 * ONE_WAY_MS + elapsed_ms
        in_time_count += response_ms <= TARGET_MS
        coverage += 1.0 - len(simulated.answer.action.missing) / 20
    # Every query reaches the coverage floor in 30 ms, so each can be in time, except for the first
    # ones, from which the usual deadline is derived.
    assert in_time_count >= 298
    assert coverage / 300 >= 0.95


def share_in_time(largest_delay_ms: float) -> tuple[float, float]:
    """Return the share of answers in time and their coverage, in a process with late timers."""
    source = random.Random(5)
    simulation = simulation_with_slow_attempts(source)
    simulation.timer_delay_ms = lambda: source.uniform(0.0, largest_delay_ms)
    state, transit = simulation.state, CallerTransit(ONE_WAY_MS, ONE_WAY_MS)
    in_time_count, coverage = 0, 0.0
    for _ in range(200):
        allowance_ms = state.answer_delay.allowance_ms
        answer_after_ms = answer_due_ms(
            simulation.gather_route, 0.0, transit, FASTEST_MS, processing_ms=allowance_ms
        )
        simulated = simulation.query(answer_after_ms, LIMIT_MS)
        simulation.run(simulation.now_ms + 400.0)
        assert simulated.answer is not None
        assert isinstance(simulated.answer.action, DeliverMerged)
        assert isinstance(simulated.state, GatherState)
        delay_ms = simulated.state.waited_since_due_ms(simulated.answer.at_ms)
        if delay_ms is not None:
            state.answer_delay.record(delay_ms, simulation.gather_route)
        response_ms = simulated.answer.at_ms - simulated.arrived_ms + 2 * ONE_WAY_MS
        in_time_count += response_ms <= TARGET_MS
        coverage += 1.0 - len(simulated.answer.action.missing) / 20
    return in_time_count / 200, coverage / 200


@pytest.mark.parametrize('largest_delay_ms', [0.5, 4.0, 12.0, 25.0])
def test_due_answers_are_in_time_on_processors_of_any_speed(largest_delay_ms: float) -> None:
    """Guard against answers that are due in time and leave late, as the process is busy."""
    in_time, coverage = share_in_time(largest_delay_ms)
    assert in_time >= 0.97
    # Each query can have 19 of 20 shards in 30 ms at the least.
    assert coverage >= 0.95


def test_pause_of_the_process_does_not_make_later_answers_early() -> None:
    """Guard against answers without many shards after the process was paused for a while."""
    route, delay = Simulation().gather_route, AnswerDelay()
    for _ in range(60):
        delay.record(1.0, route)
    allowance_ms = delay.allowance_ms
    assert 1.0 <= allowance_ms < 1.1
    for paused_ms in (150.0, 3_000.0, 8_000.0):
        delay.record(paused_ms, route)
    assert delay.allowance_ms == allowance_ms
    delay.record(90.0, route)
    assert delay.allowance_ms < allowance_ms + PROCESSING_ALLOWANCE_MS
    # In a process that is always late, most of the time is left to the shards.
    for _ in range(60):
        delay.record(90.0, route)
    transit = CallerTransit(ONE_WAY_MS, ONE_WAY_MS)
    due_ms = answer_due_ms(route, 0.0, transit, FASTEST_MS, processing_ms=delay.allowance_ms)
    assert due_ms >= 0.6 * route.latency_target_ms


def test_complete_answers_do_not_change_the_allowance() -> None:
    """Guard against queries that are answered ever earlier without need."""
    simulation = Simulation()
    allowance_ms = simulation.state.answer_delay.allowance_ms
    assert allowance_ms == PROCESSING_ALLOWANCE_MS
    simulated = simulation.query()
    simulation.run(1_000.0)
    assert isinstance(simulated.state, GatherState)
    assert simulated.answer is not None
    assert simulated.state.waited_since_due_ms(simulated.answer.at_ms) is None


def test_query_that_is_covered_after_it_was_due_says_nothing_of_the_process() -> None:
    """Guard against an allowance that grows because endpoints are slow."""
    simulation = Simulation(shard_count=4, replica_count=1)
    for name in simulation.behaviours:
        simulation.behaviours[name] = answered(150.0)
    simulated = simulation.query(answer_after_ms=95.0)
    simulation.run(1_000.0)
    assert isinstance(simulated.state, GatherState)
    assert simulated.answer is not None
    assert simulated.answer.at_ms > simulated.state.answer_at_ms
    assert simulated.state.waited_since_due_ms(simulated.answer.at_ms) is None


def test_answer_due_time_allows_for_slow_link() -> None:
    """Guard against a large answer whose transmission on the link ends after the target."""
    route = Simulation(shard_count=90).gather_route
    transit = CallerTransit(ONE_WAY_MS, ONE_WAY_MS)
    fast_link_ms, slow_link_ms = (
        answer_transmission_ms(route, link_mbit_per_s) for link_mbit_per_s in (1_000.0, 10.8)
    )
    # The receipts of 90 shards take 3 ms on a link of 10.8 Mbit/s.
    assert fast_link_ms < 0.1
    assert 3.0 < slow_link_ms < 9.0
    due_ms = answer_due_ms(route, 0.0, transit, FASTEST_MS, slow_link_ms)
    assert due_ms == answer_due_ms(route, 0.0, transit, FASTEST_MS) - slow_link_ms
    assert answer_transmission_ms(Simulation().single_route, 10.8) == 0.0


def test_request_after_the_latency_target_is_recognized_by_its_deadline() -> None:
    route = Simulation().gather_route
    deadlines = CallerDeadlines()
    for _ in range(40):
        deadlines.record(LIMIT_MS)
    for late_ms in (route.latency_target_ms, 333.0, 400.0):
        deadlines.record(LIMIT_MS - late_ms)
        assert is_past_target(deadlines, LIMIT_MS - late_ms, route)
    for early_ms in (0.0, 14.0, route.latency_target_ms - 1.0):
        deadlines.record(LIMIT_MS - early_ms)
        assert not is_past_target(deadlines, LIMIT_MS - early_ms, route)


def test_callers_with_a_shorter_deadline_do_not_count_as_late() -> None:
    """Guard against a kind of callers that is always placed behind the others."""
    route = Simulation().gather_route
    deadlines = CallerDeadlines()
    for _ in range(40):
        deadlines.record(LIMIT_MS)
        deadlines.record(LIMIT_MS / 2)
    assert not is_past_target(deadlines, LIMIT_MS / 2, route)


def test_first_caller_that_connects_does_not_set_the_usual_deadline() -> None:
    """Guard against late answers of an instance until it knows what its callers usually send."""
    simulation = Simulation()
    route = simulation.gather_route
    deadlines = deadlines_of(simulation.state, route.name)
    spent_ms = 14.0
    assert elapsed_before_sending_ms(deadlines, route.time_limit_ms - spent_ms, route) == spent_ms
    other = deadlines_of(simulation.state, simulation.single_route.name)
    for _ in range(2):
        # Callers that usually wait for less than the route allows.
        elapsed_before_sending_ms(other, 300.0, simulation.single_route)
    assert other.usual_ms() == 300.0
