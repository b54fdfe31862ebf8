"""Guard against wrong, late or missing answers to queries over many shards."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.errors import ResultCode
from pistachioloft_core.request.attempts import AttemptEnd, AttemptOutcome, DeliverMerged, Refuse
from pistachioloft_core.request.records import greatest_records, split_records
from tests.test_gather.routed_simulation import (
    Behaviour,
    SimulatedRequest,
    Simulation,
    answered,
    losing,
    refusing,
    silent,
)


def merged(simulated: SimulatedRequest) -> DeliverMerged:
    assert simulated.answer is not None
    assert isinstance(simulated.answer.action, DeliverMerged)
    return simulated.answer.action


def refusal(simulated: SimulatedRequest) -> Refuse:
    assert simulated.answer is not None
    assert isinstance(simulated.answer.action, Refuse)
    return simulated.answer.action


def test_each_shard_is_queried_once_and_replies_are_merged() -> None:
    """Guard against extra attempts when all endpoints are healthy."""
    simulation = Simulation()
    simulated = simulation.query()
    simulation.run(2_000.0)
    assert merged(simulated).missing == ()
    assert len(merged(simulated).replies) == 4
    assert len(simulation.sent) == 4


def test_late_shard_is_hedged() -> None:
    """Guard against a query that waits for one slow endpoint."""
    simulation = Simulation()
    for name in ('s1-0', 's1-1'):
        simulation.behaviours[name] = silent
    warm_up_queries = [simulation.query() for _ in range(8)]
    simulation.run(1_500.0)
    assert all(simulated.answer for simulated in warm_up_queries)
    simulation.behaviours['s1-1'] = answered(10.0)
    simulation.behaviours['s1-0'] = answered(500.0)
    simulation.run(5_000.0)
    simulated = simulation.query()
    simulation.run(7_000.0)
    assert merged(simulated).missing == ()
    assert simulated.answer is not None
    assert simulated.answer.at_ms - simulated.arrived_ms < 95.0


def test_partial_answer_is_sent_when_due_and_lists_missing_shards() -> None:
    """Guard against an answer that misses its latency target because of one of many shards."""
    simulation = Simulation(coverage_floor=0.75)
    simulation.behaviours['s3-0'] = simulation.behaviours['s3-1'] = silent
    simulated = simulation.query(answer_after_ms=95.0)
    simulation.run(2_000.0)
    assert len(merged(simulated).missing) == 1
    assert simulated.answer is not None
    assert simulated.answer.at_ms == 95.0


def test_deadline_before_the_latency_target_is_met() -> None:
    """Guard against a busy loop of checks between the deadline and the latency target."""
    simulation = Simulation(coverage_floor=0.75)
    simulation.behaviours['s3-0'] = simulation.behaviours['s3-1'] = silent
    simulated = simulation.query(answer_after_ms=95.0, limit_ms=40.0)
    simulation.run(39.0)
    check_count = simulation.timer_count
    simulation.run(60.0)
    assert len(merged(simulated).missing) == 1
    assert simulated.answer is not None
    assert simulated.answer.at_ms == 40.0
    assert simulation.timer_count <= check_count + 2


def test_query_below_coverage_floor_waits_and_is_then_refused() -> None:
    """Guard against an answer whose coverage is below the coverage floor."""
    simulation = Simulation(coverage_floor=0.75)
    for shard in ('s2', 's3'):
        simulation.behaviours[f'{shard}-0'] = simulation.behaviours[f'{shard}-1'] = answered(300.0)
    simulated = simulation.query(answer_after_ms=95.0)
    simulation.run(2_000.0)
    assert len(merged(simulated).missing) <= 1
    for shard in ('s2', 's3'):
        simulation.behaviours[f'{shard}-0'] = simulation.behaviours[f'{shard}-1'] = silent
    late_query = simulation.query(answer_after_ms=95.0)
    simulation.run(4_000.0)
    assert refusal(late_query).code is ResultCode.NO_ANSWER
    assert refusal(late_query).retry_after_ms is None


def test_query_with_too_few_served_shards_is_refused_at_once() -> None:
    """Guard against a caller that waits although the coverage floor cannot be reached."""
    simulation = Simulation(coverage_floor=0.75, replica_count=0)
    simulation.add_endpoint('s0', 0)
    simulation.add_endpoint('s1', 0)
    simulated = simulation.query()
    assert refusal(simulated).code is ResultCode.NO_ENDPOINT
    assert refusal(simulated).retry_after_ms is not None
    assert simulation.sent == []


def test_query_that_cannot_reach_coverage_floor_ends_at_once() -> None:
    """Guard against a caller that waits until its deadline after every endpoint failed."""
    simulation = Simulation(coverage_floor=0.75)
    for name in ('s2-0', 's2-1', 's3-0', 's3-1'):
        simulation.behaviours[name] = losing(2.0)
    simulated = simulation.query()
    simulation.run(50.0)
    assert refusal(simulated).code is ResultCode.NO_ANSWER


def test_refused_attempt_is_retried_on_both_replicas() -> None:
    """Guard against a missing shard because its endpoints were busy for a moment."""
    simulation = Simulation()
    simulation.behaviours['s0-0'] = simulation.behaviours['s0-1'] = refusing(1.0)
    simulated = simulation.query()
    simulation.run(1.5)
    simulation.behaviours['s0-0'] = simulation.behaviours['s0-1'] = answered(5.0)
    simulation.run(500.0)
    assert merged(simulated).missing == ()


def test_attempts_per_shard_are_limited() -> None:
    """Guard against more attempts on one shard than its route allows."""
    simulation = Simulation(replica_count=3, attempt_limit=2)
    for replica in range(3):
        simulation.behaviours[f's0-{replica}'] = losing(3.0)
    simulation.query()
    simulation.run(1_000.0)
    assert sum(simulation.sent_count_to(f's0-{replica}') for replica in range(3)) == 2


def test_cancelled_query_withdraws_its_attempts() -> None:
    """Guard against endpoints that process a query whose caller left."""
    simulation = Simulation()
    for name in simulation.behaviours:
        simulation.behaviours[name] = answered(400.0)
    simulated = simulation.query()
    simulation.run(1.0)
    simulation.cancel(simulated)
    simulation.run(1.0)
    assert len(simulation.withdrawn) == 4
    assert simulated.answer is None


def test_extra_attempts_stay_within_the_budget() -> None:
    """Guard against hedges and retries that multiply the load when endpoints are slow."""
    simulation = Simulation(allowance_count=20.0)
    for name in simulation.behaviours:
        simulation.behaviours[name] = answered(200.0)
    count = 50
    for number in range(count):
        simulation.at(number * 20.0, simulation.query)
    simulation.run(4_000.0)
    for shard in range(4):
        sent = simulation.sent_count_to(f's{shard}-0') + simulation.sent_count_to(f's{shard}-1')
        assert sent <= count * 1.2 + 20.0


@st.composite
def behaviours(draw: st.DrawFn) -> list[Behaviour]:
    kinds = [
        answered(draw(st.floats(0.5, 300.0))),
        refusing(draw(st.floats(0.5, 30.0))),
        losing(draw(st.floats(0.5, 30.0))),
        silent,
        lambda _now, _attempt: (
            2.0,
            AttemptEnd(AttemptOutcome.NOT_SENT, 'refused', wrong_endpoint=True),
        ),
        lambda _now, _attempt: (2.0, AttemptEnd(AttemptOutcome.FAILED, 'status 500')),
    ]
    return [kinds[draw(st.integers(0, 5))] for _ in range(8)]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(behaviours(), st.lists(st.floats(0.0, 400.0), min_size=1, max_size=6))
def test_every_query_gets_one_correct_answer_before_its_deadline(
    chosen: list[Behaviour], arrivals: list[float]
) -> None:
    """Guard against lost answers, wrong coverage and attempts that stay open."""
    simulation = Simulation()
    for name, behaviour in zip(sorted(simulation.behaviours), chosen, strict=True):
        simulation.behaviours[name] = behaviour
    for at_ms in arrivals:
        simulation.at(at_ms, simulation.query)
    simulation.run(20_000.0)
    for simulated in simulation.simulated:
        assert simulated.answer is not None
        assert simulated.answer.at_ms <= simulated.arrived_ms + 1_000.0
        action = simulated.answer.action
        if isinstance(action, DeliverMerged):
            assert len(action.replies) + len(action.missing) == 4
            assert len(action.replies) >= 3
    assert all(load.in_flight_count == 0 for load in simulation.state.table.endpoints.values())
    assert all(load.overdue_count == 0 for load in simulation.state.table.endpoints.values())


@given(st.lists(st.binary(max_size=100), max_size=5), st.integers(1, 10))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_merged_records_are_the_greatest(bodies: list[bytes], count: int) -> None:
    """Guard against a record that is lost, duplicated, truncated or out of order."""
    expected_records = sorted((r for body in bodies for r in split_records(body)), reverse=True)
    assert greatest_records(bodies, count) == b''.join(expected_records[:count])
    assert all(len(record) == 16 for record in expected_records)
