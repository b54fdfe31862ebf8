"""Guard against queries that all become late because more arrive than the endpoints can run."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from pistachioloft_core.connection.endpoint_load import LoadReport
from pistachioloft_core.errors import ResultCode
from pistachioloft_core.request import gather, query_admission
from pistachioloft_core.request.attempts import (
    AttemptEnd,
    AttemptOutcome,
    DeliverMerged,
    Refuse,
)
from pistachioloft_core.request.gather_state import GatherState
from pistachioloft_core.request.query_admission import RETRY_SPREAD, QueryAdmission
from pistachioloft_core.request.routed_state import set_routes
from pistachioloft_core.request.shard_attempts import ABANDON_DELAY_MS
from tests.test_gather.queueing_endpoint import QueueingEndpoint
from tests.test_gather.routed_simulation import (
    SimulatedRequest,
    Simulation,
    answered,
    silent,
)

if TYPE_CHECKING:
    from collections.abc import Callable

SHARD_COUNT = 4
REPLICA_COUNT = 2
SERVICE_MS = 10.0
SLOT_COUNT = 2
CAPACITY_PER_S = REPLICA_COUNT * SLOT_COUNT * 1_000.0 / SERVICE_MS
ANSWER_AFTER_MS = 95.0
ROUNDING_MS = 0.001
# The share of the capacity that must be answered in time during an overload.
GOODPUT_TARGET = 0.8
# The largest share of queries that may be refused where the endpoints have room.
REFUSED_TARGET = 0.001


def loaded_simulation(coverage_floor: float = 0.75) -> Simulation:
    """Return a simulation whose endpoints have slots and a queue."""
    simulation = Simulation(SHARD_COUNT, REPLICA_COUNT, coverage_floor)
    for name in simulation.behaviours:
        simulation.behaviours[name] = QueueingEndpoint(simulation, SERVICE_MS, SLOT_COUNT)
    return simulation


def offer_load(simulation: Simulation, per_s: float, start_ms: float, end_ms: float) -> None:
    """Let queries arrive at random times at a mean rate."""
    at_ms = start_ms
    while at_ms < end_ms:
        simulation.at(at_ms, lambda: simulation.query(ANSWER_AFTER_MS))
        at_ms += simulation.random.expovariate(per_s / 1_000.0)


def arrived(simulation: Simulation, start_ms: float, end_ms: float) -> list[SimulatedRequest]:
    return [item for item in simulation.simulated if start_ms <= item.arrived_ms < end_ms]


def is_in_time(simulated: SimulatedRequest) -> bool:
    answer = simulated.answer
    return (
        answer is not None
        and isinstance(answer.action, DeliverMerged)
        and answer.at_ms - simulated.arrived_ms <= ANSWER_AFTER_MS
    )


def refusals(requests: list[SimulatedRequest]) -> list[Refuse]:
    actions = [request.answer.action for request in requests if request.answer is not None]
    return [action for action in actions if isinstance(action, Refuse)]


@pytest.mark.parametrize('factor', [1.5, 2.5, 4.0])
def test_capacity_is_used_for_answers_in_time_during_overload(factor: float) -> None:
    simulation = loaded_simulation()
    offer_load(simulation, 0.4 * CAPACITY_PER_S, 0.0, 1_000.0)
    offer_load(simulation, factor * CAPACITY_PER_S, 1_000.0, 5_000.0)
    simulation.run(7_000.0)
    in_time = sum(map(is_in_time, arrived(simulation, 2_000.0, 5_000.0)))
    assert in_time / 3.0 >= GOODPUT_TARGET * CAPACITY_PER_S


def test_refused_query_was_sent_to_no_endpoint_and_did_not_wait() -> None:
    """Guard against a refusal that is late or untrue."""
    simulation = loaded_simulation()
    offer_load(simulation, 3.0 * CAPACITY_PER_S, 0.0, 3_000.0)
    simulation.run(5_000.0)
    refused = [item for item in simulation.simulated if refusals([item])]
    assert refused
    sent_to = {id(simulation.simulated_by_attempt_id[item.attempt_id]) for item in simulation.sent}
    for item in refused:
        assert item.answer is not None
        assert refusals([item])[0].code is ResultCode.OVERLOADED
        assert item.answer.at_ms == item.arrived_ms
        assert id(item) not in sent_to


def test_nothing_is_refused_while_endpoints_have_room() -> None:
    """Guard against refusals because of pauses, which end by themselves."""
    simulation = loaded_simulation()
    for number, behaviour in enumerate(simulation.behaviours.values()):
        assert isinstance(behaviour, QueueingEndpoint)
        behaviour.pauses_ms = tuple(
            (start_ms, start_ms + 60.0)
            for start_ms in range(211 * number, 30_000, 211 * len(simulation.behaviours))
        )
    offer_load(simulation, 0.4 * CAPACITY_PER_S, 0.0, 30_000.0)
    simulation.run(32_000.0)
    assert len(refusals(simulation.simulated)) <= REFUSED_TARGET * len(simulation.simulated)


def test_refusals_end_within_two_seconds_after_an_overload() -> None:
    simulation = loaded_simulation()
    offer_load(simulation, 4.0 * CAPACITY_PER_S, 0.0, 4_000.0)
    offer_load(simulation, 0.4 * CAPACITY_PER_S, 4_000.0, 9_000.0)
    simulation.run(10_000.0)
    assert refusals(arrived(simulation, 3_000.0, 4_000.0))
    assert not refusals(arrived(simulation, 6_000.0, 9_000.0))


def test_lost_replicas_reduce_what_is_admitted() -> None:
    """Guard against a load that only fits while every replica replies."""
    simulation = loaded_simulation()
    for name in ('s0-1', 's1-1', 's2-1', 's3-1'):
        simulation.behaviours[name] = silent
    offer_load(simulation, CAPACITY_PER_S, 0.0, 6_000.0)
    simulation.run(8_000.0)
    in_time = sum(map(is_in_time, arrived(simulation, 3_000.0, 6_000.0)))
    assert in_time / 3.0 >= GOODPUT_TARGET * CAPACITY_PER_S / REPLICA_COUNT


def test_time_to_come_back_grows_with_the_overload_and_is_spread() -> None:
    """Guard against refused callers that all return at the same time."""
    simulation = loaded_simulation()
    offer_load(simulation, 4.0 * CAPACITY_PER_S, 0.0, 4_000.0)
    simulation.run(4_000.0)
    waits_ms = [
        refusal.retry_after_ms
        for refusal in refusals(arrived(simulation, 2_000.0, 4_000.0))
        if refusal.retry_after_ms is not None
    ]
    lowest, highest = RETRY_SPREAD
    assert max(waits_ms) > 1_000.0
    assert max(waits_ms) / min(waits_ms) > highest / lowest / 1.5


def test_group_of_another_instance_is_not_refused() -> None:
    """Guard against a query that lacks shards because a helper applied its own limit."""
    simulation = loaded_simulation()
    offer_load(simulation, 4.0 * CAPACITY_PER_S, 0.0, 3_000.0)
    simulation.run(3_000.0)
    state = simulation.state
    assert query_admission.is_refusing(state, simulation.gather_route)
    for number in range(20):
        route = simulation.gather_route
        group = GatherState(f'g{number}', route, 3_100.0, 4_000.0, services=('s0', 's1'))
        actions = gather.start_gather(state, simulation.now_ms, group)
        assert not any(isinstance(action, Refuse) for action in actions)


def test_waits_reported_by_helpers_limit_an_instance_without_load_reports() -> None:
    """Guard against an instance far from the endpoints that admits everything."""
    simulation = Simulation(SHARD_COUNT, REPLICA_COUNT)
    state = simulation.state
    for step in range(40):
        for shard in (
            simulation.gather_route.gather.shards if simulation.gather_route.gather else ()
        ):
            state.queue_waits.record(shard, 'helper', simulation.now_ms, 500.0)
        simulation.query(ANSWER_AFTER_MS)
        simulation.run(50.0 * (step + 1))
    assert refusals(simulation.simulated)


def test_admissions_of_removed_shards_are_forgotten() -> None:
    """Guard against a limit that outlives the shards that it was learned from."""
    simulation = loaded_simulation()
    simulation.query()
    state = simulation.state
    assert state.routes is not None
    assert list(state.admissions) == [('s0', 's1', 's2', 's3')]
    state.admissions[('old',)] = QueryAdmission()
    state.queue_waits.record('old', 'e', 0.0, 900.0)
    gather_routes = state.routes
    set_routes(state, gather_routes)
    assert list(state.admissions) == [('s0', 's1', 's2', 's3')]
    assert state.queue_waits.wait_ms('old', 0.0) == 0.0


def refused_share(requests: list[SimulatedRequest]) -> float:
    return len(refusals(requests)) / len(requests)


def test_callers_that_can_be_answered_in_time_go_first() -> None:
    """Guard against late answers that take the place of answers in time."""
    simulation = loaded_simulation()
    offer_load(simulation, 2.0 * CAPACITY_PER_S, 0.0, 4_000.0)
    late_callers: list[SimulatedRequest] = []
    for number in range(600):
        simulation.at(
            1_000.0 + 5.0 * number,
            lambda: late_callers.append(simulation.query(ANSWER_AFTER_MS, past_target=True)),
        )
    simulation.run(6_000.0)
    others = [item for item in arrived(simulation, 1_000.0, 4_000.0) if item not in late_callers]
    assert refused_share(late_callers) > refused_share(others)
    # None is starved: some of them are admitted as well.
    assert refused_share(late_callers) < 1.0


def test_endpoints_get_no_more_time_than_the_answer_can_use_during_overload() -> None:
    """Guard against work at endpoints for answers that nobody will get."""
    simulation = loaded_simulation()
    offer_load(simulation, 0.2 * CAPACITY_PER_S, 0.0, 500.0)
    offer_load(simulation, 4.0 * CAPACITY_PER_S, 500.0, 3_000.0)
    simulation.run(5_000.0)
    before = [send for send in simulation.sends if send.attempt.started_ms < 500.0]
    assert all(send.time_left_ms > 2.0 * ANSWER_AFTER_MS for send in before)
    during = [send for send in simulation.sends if 1_500.0 < send.attempt.started_ms < 3_000.0]
    assert during
    usable_ms = ANSWER_AFTER_MS + ABANDON_DELAY_MS + ROUNDING_MS
    assert all(send.time_left_ms <= usable_ms for send in during)


def test_attempts_that_wait_in_queues_are_not_hedged_during_overload() -> None:
    """Guard against hedges that only make the queues longer."""
    simulation = loaded_simulation()
    offer_load(simulation, 3.0 * CAPACITY_PER_S, 0.0, 4_000.0)
    simulation.run(6_000.0)
    during = [attempt for attempt in simulation.sent if 1_000.0 < attempt.started_ms < 4_000.0]
    assert sum(attempt.hedge for attempt in during) < 0.01 * len(during)


def test_silent_endpoint_is_hedged_during_overload() -> None:
    """Guard against queries that lack a shard although its other replica replies."""
    simulation = loaded_simulation(coverage_floor=1.0)
    simulation.behaviours['s2-1'] = silent
    offer_load(simulation, CAPACITY_PER_S, 0.0, 3_000.0)
    simulation.run(5_000.0)
    admitted = [item for item in arrived(simulation, 1_500.0, 3_000.0) if not refusals([item])]
    complete = sum(
        item.answer is not None and isinstance(item.answer.action, DeliverMerged)
        for item in admitted
    )
    assert complete >= 0.95 * len(admitted)


def test_queries_are_refused_at_once_while_needed_endpoints_are_silent() -> None:
    """Guard against callers that wait until the time limit, one after the other."""
    simulation = loaded_simulation(coverage_floor=1.0)
    offer_load(simulation, 0.2 * CAPACITY_PER_S, 0.0, 1_000.0)
    simulation.run(1_100.0)
    simulation.behaviours['s3-0'] = simulation.behaviours['s3-1'] = silent
    first = [simulation.query(ANSWER_AFTER_MS, limit_ms=3_000.0) for _ in range(4)]
    simulation.run(2_100.0)
    # A silent endpoint may be paused, so what runs there is not given up.
    assert all(item.answer is None for item in first)
    later = [simulation.query(ANSWER_AFTER_MS, limit_ms=3_000.0) for _ in range(4)]
    simulation.run(2_200.0)
    # One query probes each silent endpoint; the others are not sent.
    assert [refusal.code for refusal in refusals(later)] == [ResultCode.NO_ENDPOINT] * 2
    simulation.behaviours['s3-0'] = simulation.behaviours['s3-1'] = answered(10.0)
    simulation.at(4_700.0, lambda: later.append(simulation.query(ANSWER_AFTER_MS)))
    simulation.run(6_000.0)
    assert is_in_time(later[-1])


def test_query_waits_for_a_slow_endpoint_that_replies_to_others() -> None:
    """Guard against a query that is given up although a late answer is on its way."""
    simulation = loaded_simulation(coverage_floor=1.0)
    offer_load(simulation, 0.2 * CAPACITY_PER_S, 0.0, 1_000.0)
    simulation.run(1_100.0)
    for name in ('s3-0', 's3-1'):
        simulation.behaviours[name] = answered(900.0)
    slow = [simulation.query(ANSWER_AFTER_MS, limit_ms=3_000.0) for _ in range(2)]
    simulation.at(1_200.0, lambda: simulation.behaviours.update({'s3-0': answered(20.0)}))
    simulation.at(1_200.0, lambda: simulation.behaviours.update({'s3-1': answered(20.0)}))
    for number in range(20):
        simulation.at(1_210.0 + 50.0 * number, lambda: simulation.query(ANSWER_AFTER_MS))
    simulation.run(5_000.0)
    assert all(not refusals([item]) for item in slow)


def test_nothing_is_refused_because_of_one_slow_replica_of_each_shard() -> None:
    """Guard against refusals while the other replicas have room."""
    simulation = loaded_simulation()
    offer_load(simulation, 0.3 * CAPACITY_PER_S, 0.0, 6_000.0)
    simulation.run(1_000.0)
    for name in ('s0-0', 's1-0', 's2-0', 's3-0'):
        slow = simulation.behaviours[name]
        assert isinstance(slow, QueueingEndpoint)
        slow.service_ms = 9.0 * SERVICE_MS
    simulation.run(8_000.0)
    # While the first slow replies arrive, the queues of the slow replicas are all that is known.
    later = arrived(simulation, 2_000.0, 6_000.0)
    assert refused_share(later) <= 0.01
    assert sum(map(is_in_time, later)) >= 0.9 * len(later)


def test_pause_of_the_process_refuses_no_later_query() -> None:
    """Guard against a route that is refused for ever since replies waited while this paused."""
    simulation = Simulation(20, REPLICA_COUNT, 0.75)
    quick = AttemptEnd(AttemptOutcome.ANSWERED, reply='p', report=LoadReport(1, 0, SLOT_COUNT))
    for name in simulation.behaviours:
        simulation.behaviours[name] = lambda _now_ms, _attempt: (SERVICE_MS, quick)
    start_ms, end_ms, schedule = 2_000.0, 3_500.0, simulation.at

    def at_or_after_pause(at_ms: float, callback: Callable[[], object]) -> None:
        schedule(end_ms if start_ms < at_ms < end_ms else at_ms, callback)

    simulation.at = at_or_after_pause  # type: ignore[method-assign]
    for number in range(200):
        at_ms = 100.0 * number
        if not start_ms < at_ms < end_ms:
            schedule(at_ms, lambda: simulation.query(ANSWER_AFTER_MS))
    for before_ms in (1.0, 1.1):
        schedule(start_ms - before_ms, lambda: simulation.query(ANSWER_AFTER_MS))
    simulation.run(25_000.0)
    answers = [item.answer for item in arrived(simulation, end_ms + 1_000.0, 25_000.0)]
    assert answers
    assert all(answer and isinstance(answer.action, DeliverMerged) for answer in answers)


def test_slow_shards_above_the_coverage_floor_refuse_no_query() -> None:
    """Guard against a mean time that counts shards without which an answer is sent."""
    simulation = Simulation(SHARD_COUNT, REPLICA_COUNT, 0.5)
    for name in simulation.behaviours:
        delay_ms = SERVICE_MS if name.startswith(('s0', 's1')) else 18.0 * SERVICE_MS
        end = AttemptEnd(AttemptOutcome.ANSWERED, reply='p', report=LoadReport(1, 0, SLOT_COUNT))
        simulation.behaviours[name] = lambda _now, _attempt, delay=delay_ms, end=end: (delay, end)
    short_ms = 80.0
    for number in range(100):
        at_ms = 100.0 * number
        simulation.at(at_ms, lambda: simulation.query(ANSWER_AFTER_MS))
        simulation.at(at_ms + 50.0, lambda: simulation.query(short_ms - 5.0, short_ms))
    simulation.run(20_000.0)
    answers = [item.answer for item in arrived(simulation, 5_000.0, 20_000.0)]
    assert answers
    assert all(answer and isinstance(answer.action, DeliverMerged) for answer in answers)
