"""Guard against partial answers that miss the latency target, or that leave too soon."""

from __future__ import annotations

import random

from pistachioloft_core.request.answer_timing import (
    DEADLINE_COUNT,
    PROCESSING_ALLOWANCE_MS,
    CallerDeadlines,
    CallerTransit,
    answer_due_ms,
    answer_transmission_ms,
    elapsed_before_sending_ms,
)
from pistachioloft_core.request.attempts import AttemptEnd, AttemptOutcome, DeliverMerged

from .routed_simulation import Reply, Simulation

TARGET_MS = 100.0
LIMIT_MS = 1_000.0
ONE_WAY_MS = 3.0
FASTEST_MS = 10.0


def learned(*deadlines_ms: float) -> CallerDeadlines:
    deadlines = CallerDeadlines()
    for deadline_ms in deadlines_ms:
        deadlines.record(deadline_ms)
    return deadlines


def test_usual_deadline_is_the_most_frequent_one() -> None:
    """Guard against a rare caller that changes what is taken for usual."""
    assert learned().usual_ms() is None
    assert learned(1_000.0).usual_ms() == 1_000.0
    assert learned(1_000.0, 986.0, 1_000.0, 2_000.0, 986.0).usual_ms() == 1_000.0
    # No deadline is usual if each request has another one.
    assert learned(*(1_000.0 - number for number in range(20))).usual_ms() is None
    # Callers that change their deadline are followed.
    assert learned(*[1_000.0] * 200, *[500.0] * DEADLINE_COUNT).usual_ms() == 500.0


def test_what_is_missing_of_the_usual_deadline_was_spent() -> None:
    """Guard against an answer that is timed as if the caller had just begun."""
    route = Simulation().gather_route
    deadlines = learned(*[1_000.0] * 10)
    assert elapsed_before_sending_ms(deadlines, 1_000.0, route) == 0.0
    assert elapsed_before_sending_ms(deadlines, 986.0, route) == 14.0
    # A longer deadline says nothing, and a much shorter one is another kind of caller.
    assert elapsed_before_sending_ms(deadlines, 1_500.0, route) == 0.0
    assert elapsed_before_sending_ms(deadlines, 300.0, route) == 0.0


def test_answer_leaves_in_time_for_its_transit() -> None:
    """Guard against an answer that reaches the caller after the target."""
    route = Simulation().gather_route
    connected = CallerTransit(ONE_WAY_MS, ONE_WAY_MS)
    assert (
        answer_due_ms(route, 50.0, connected, FASTEST_MS) == 50.0 + 94.0 - PROCESSING_ALLOWANCE_MS
    )
    # Connecting is part of what the deadline says was spent.
    connecting = CallerTransit(3 * ONE_WAY_MS, ONE_WAY_MS, 2 * ONE_WAY_MS)
    assert connecting.total_ms == 4 * ONE_WAY_MS
    looked_up = CallerTransit(ONE_WAY_MS, ONE_WAY_MS, 20.0)
    assert (
        answer_due_ms(route, 50.0, looked_up, FASTEST_MS) == 50.0 + 74.0 - PROCESSING_ALLOWANCE_MS
    )


def test_whole_answer_is_awaited_once_the_target_is_lost() -> None:
    """Guard against a partial answer that is late as well."""
    route = Simulation().gather_route
    transit = CallerTransit(
        ONE_WAY_MS, ONE_WAY_MS, TARGET_MS - 2 * ONE_WAY_MS - PROCESSING_ALLOWANCE_MS - 1.0
    )
    assert answer_due_ms(route, 50.0, transit, FASTEST_MS) == 50.0 + TARGET_MS


def test_callers_that_look_up_addresses_get_their_answers_in_time() -> None:
    """Guard against late answers for callers that spent time before they sent the request."""
    # The load: 40% of the callers spent 14 to 29 ms, and one attempt in 30 is slow, so that about
    # half of the queries lack a shard until after the target.
    simulation = Simulation(shard_count=20, replica_count=1, coverage_floor=0.75)
    source = random.Random(3)

    def behave(_now_ms: float, _attempt: object) -> Reply:
        slow = source.random() < 1 / 30
        return (300.0 if slow else source.uniform(8.0, 30.0)), AttemptEnd(AttemptOutcome.ANSWERED)

    for name in simulation.behaviours:
        simulation.behaviours[name] = behave
    route = simulation.gather_route
    deadlines = CallerDeadlines()
    in_time, coverage = 0, 0.0
    for _ in range(300):
        elapsed_ms = source.uniform(14.0, 29.0) if source.random() < 0.4 else 0.0
        told_ms = elapsed_before_sending_ms(deadlines, LIMIT_MS - elapsed_ms, route)
        transit = CallerTransit(ONE_WAY_MS, ONE_WAY_MS, told_ms)
        answer_after_ms = answer_due_ms(route, 0.0, transit, FASTEST_MS)
        simulated = simulation.query(answer_after_ms, LIMIT_MS - elapsed_ms)
        simulation.run(simulation.now_ms + 400.0)
        assert simulated.answer is not None
        assert isinstance(simulated.answer.action, DeliverMerged)
        took_ms = simulated.answer.at_ms - simulated.arrived_ms + 2 * ONE_WAY_MS + elapsed_ms
        in_time += took_ms <= TARGET_MS
        coverage += 1.0 - len(simulated.answer.action.missing) / 20
    # Every query reaches the floor in 30 ms, so each can be in time; the first callers teach
    # the usual deadline.
    assert in_time >= 298
    assert coverage / 300 >= 0.95


def test_answer_leaves_in_time_for_a_narrow_link() -> None:
    """Guard against the answer of many shards that waits on the link past the target."""
    route = Simulation(shard_count=90).gather_route
    transit = CallerTransit(ONE_WAY_MS, ONE_WAY_MS)
    wide_ms, narrow_ms = (answer_transmission_ms(route, each) for each in (1_000.0, 10.8))
    # Receipts of 90 shards take 3 ms on the whole link of a machine at the grown sites.
    assert wide_ms < 0.1
    assert 3.0 < narrow_ms < 9.0
    due_ms = answer_due_ms(route, 0.0, transit, FASTEST_MS, narrow_ms)
    assert due_ms == answer_due_ms(route, 0.0, transit, FASTEST_MS) - narrow_ms
    assert answer_transmission_ms(Simulation().single_route, 10.8) == 0.0
