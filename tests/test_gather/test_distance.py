"""Guard against attempts that cross a long link for nothing, and against those that come late."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from pistachioloft_core.connection.endpoint_load import EndpointLoad
from pistachioloft_core.messages.fleet import AnnouncedEndpoint
from pistachioloft_core.request.attempts import AttemptEnd, AttemptOutcome
from pistachioloft_core.request.distance import is_distant, record_round_trip
from pistachioloft_core.request.placement import choose_endpoint
from tests.test_gather.routed_simulation import Simulation, answered, silent

if TYPE_CHECKING:
    from tests.test_gather.routed_simulation import SimulatedRequest

SHARD_COUNT = 4
TARGET_MS = 100.0
ANSWER_MS = 95.0


def simulation_with_replica_at(round_trip_ms: float) -> Simulation:
    """Return a simulation whose shards have a near endpoint and one in another domain."""
    simulation = Simulation(replica_count=1, shard_count=SHARD_COUNT)
    for number in range(SHARD_COUNT):
        name = simulation.add_endpoint(f's{number}', 1, domain='elsewhere')
        load = simulation.state.table.endpoints[name]
        load.round_trip_ms = round_trip_ms
        simulation.behaviours[name] = answered(10.0 + round_trip_ms)
        record_round_trip(simulation.state, load)
    for number in range(30):
        simulation.at(number * 20.0, simulation.query)
    simulation.run(1_000.0)
    simulation.sent.clear()
    return simulation


def run_query(simulation: Simulation) -> SimulatedRequest:
    started: list[SimulatedRequest] = []
    simulation.at(simulation.now_ms, lambda: started.append(simulation.query(ANSWER_MS)))
    simulation.run(simulation.now_ms + 1_000.0)
    return started[0]


def remote_count(simulation: Simulation) -> int:
    return sum(attempt.load.record.failure_domain == 'elsewhere' for attempt in simulation.sent)


@pytest.mark.parametrize(('round_trip_ms', 'hedge_count'), [(2.0, 1), (7.0, 0)])
def test_hedge_crosses_a_long_link_only_if_needed(round_trip_ms: float, hedge_count: int) -> None:
    """Guard against hedges on a distant replica for replies that are late but in time."""
    simulation = simulation_with_replica_at(round_trip_ms)
    simulation.behaviours['s0-0'] = answered(45.0)
    query = run_query(simulation)
    assert remote_count(simulation) == hedge_count
    assert query.answer is not None
    assert query.answer.at_ms - query.arrived_ms <= 45.0


def test_silent_endpoint_is_hedged_across_a_long_link_in_time() -> None:
    """Guard against a hedge that waits until its reply misses the answer."""
    simulation = simulation_with_replica_at(7.0)
    simulation.behaviours['s0-0'] = silent
    # Connecting takes another round trip.
    simulation.behaviours['s0-1'] = answered(10.0 + 2 * 7.0)
    query = run_query(simulation)
    assert remote_count(simulation) == 1
    assert query.answer is not None
    assert query.answer.at_ms - query.arrived_ms < ANSWER_MS
    assert query.state.replied_count == SHARD_COUNT  # type: ignore[union-attr]


def test_lost_attempt_is_retried_across_a_long_link_at_once() -> None:
    """Guard against retries that wait like hedges although nothing else is in flight."""
    simulation = simulation_with_replica_at(7.0)
    end = AttemptEnd(AttemptOutcome.LOST, 'reset')
    simulation.behaviours['s0-0'] = lambda _now_ms, _attempt: (2.0, end)
    query = run_query(simulation)
    assert query.answer is not None
    assert query.answer.at_ms - query.arrived_ms < 25.0


def test_group_hedges_by_the_time_at_which_it_is_merged() -> None:
    """Guard against a helper whose hedges wait for the time limit of the query."""
    simulation = simulation_with_replica_at(7.0)
    simulation.behaviours['s0-0'] = silent
    query = simulation.query(answer_after_ms=800.0)
    query.state.needed_at_ms = simulation.now_ms + ANSWER_MS  # type: ignore[union-attr]
    simulation.run(simulation.now_ms + ANSWER_MS)
    assert query.answer is not None


def chosen_name(simulation: Simulation) -> str:
    route = simulation.gather_route
    load = choose_endpoint(simulation.state, simulation.now_ms, route, 's0')
    assert load is not None
    return load.record.endpoint


@pytest.mark.parametrize(('round_trip_ms', 'chosen'), [(2.0, 's0-1'), (7.0, 's0-0')])
def test_slower_near_endpoint_is_kept_before_a_long_link(round_trip_ms: float, chosen: str) -> None:
    """Guard against first attempts on a distant replica where the near one is in time."""
    simulation = simulation_with_replica_at(round_trip_ms)
    near = simulation.state.table.endpoints['s0-0']
    for _ in range(20):
        near.record_reply(simulation.now_ms, 35.0, 10.0)
        simulation.now_ms += 40.0
    assert chosen_name(simulation) == chosen


def test_near_endpoint_that_is_too_slow_or_loses_requests_is_left() -> None:
    """Guard against queries that miss their target or their shards to spare a long link."""
    simulation = simulation_with_replica_at(7.0)
    near = simulation.state.table.endpoints['s0-0']
    for _ in range(20):
        near.record_reply(simulation.now_ms, 90.0, 10.0)
        simulation.now_ms += 95.0
    assert chosen_name(simulation) == 's0-1'
    losing = simulation_with_replica_at(7.0)
    for _ in range(8):
        losing.state.table.endpoints['s0-0'].record_shed(losing.now_ms)
    assert chosen_name(losing) == 's0-1'


def test_distance_is_learned_for_a_whole_failure_domain() -> None:
    """Guard against early hedges on each endpoint to which no connection was opened yet."""
    simulation = simulation_with_replica_at(7.0)
    record = AnnouncedEndpoint('new', 's0', '10.9.9.9:80', 'elsewhere', 2, 'ready', 1, 1)
    assert is_distant(simulation.state, EndpointLoad(record, 0.0))
    near = simulation.state.table.endpoints['s0-0']
    near.round_trip_ms = 50.0
    record_round_trip(simulation.state, near)
    assert not is_distant(simulation.state, near)
