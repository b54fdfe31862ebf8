"""Guard against queries that send a request to more failure domains than they need."""

from __future__ import annotations

from collections import Counter
from itertools import combinations

from pistachioloft_core.connection.endpoint_load import LoadReport
from pistachioloft_core.request.consolidation import consolidate_domains
from pistachioloft_core.request.delegation import ShardAssignment
from pistachioloft_core.request.placement import choose_endpoint
from tests.test_gather.routed_simulation import DOMAIN, Simulation

REMOTE_DOMAINS = ('b', 'c', 'd')
SHARD_COUNT = 12


def simulation_with_remote_replicas() -> Simulation:
    """Return a simulation whose shards each have replicas in two of three remote domains."""
    simulation = Simulation(SHARD_COUNT, replica_count=0)
    pairs = list(combinations(REMOTE_DOMAINS, 2))
    for number in range(SHARD_COUNT):
        for replica, domain in enumerate(pairs[number % len(pairs)]):
            simulation.add_endpoint(f's{number}', replica, domain)
    return simulation


def assignments(simulation: Simulation) -> list[ShardAssignment]:
    chosen: list[ShardAssignment] = []
    for position in range(SHARD_COUNT):
        service = f's{position}'
        load = choose_endpoint(
            simulation.state, simulation.now_ms, simulation.gather_route, service
        )
        assert load is not None
        chosen.append(ShardAssignment(position, service, load))
    return chosen


def consolidated(simulation: Simulation) -> list[ShardAssignment]:
    return consolidate_domains(
        simulation.state,
        simulation.now_ms,
        simulation.gather_route,
        assignments(simulation),
    )


def domain_counts(chosen: list[ShardAssignment]) -> Counter[str]:
    return Counter(item.load.record.failure_domain for item in chosen)


def test_each_shard_keeps_one_endpoint_of_its_own() -> None:
    simulation = simulation_with_remote_replicas()
    chosen = consolidated(simulation)
    assert sorted(item.position for item in chosen) == list(range(SHARD_COUNT))
    assert all(item.load.record.service == item.service for item in chosen)


def test_two_of_three_domains_serve_all_shards() -> None:
    simulation = simulation_with_remote_replicas()
    used: set[str] = set()
    for _ in range(20):
        counts = domain_counts(consolidated(simulation))
        assert len(counts) == 2
        used |= set(counts)
    # The load is spread over the domains.
    assert used == set(REMOTE_DOMAINS)


def test_near_endpoint_is_kept() -> None:
    simulation = simulation_with_remote_replicas()
    near = simulation.add_endpoint('s0', 2, DOMAIN)
    (kept,) = [item for item in consolidated(simulation) if item.service == 's0']
    assert kept.load.record.endpoint == near


def test_busy_endpoint_is_not_preferred() -> None:
    """Guard against saved traffic that makes a query wait in a queue."""
    simulation = simulation_with_remote_replicas()
    busy = {'s0-0', 's1-0', 's2-1'}
    for name in busy:
        load = simulation.state.table.endpoints[name]
        load.record_report(simulation.now_ms, LoadReport(2, 4, 2))
    for _ in range(20):
        assert busy.isdisjoint(item.load.record.endpoint for item in consolidated(simulation))


def test_unreachable_endpoint_is_not_chosen() -> None:
    simulation = simulation_with_remote_replicas()
    broken = [
        load
        for load in simulation.state.table.endpoints.values()
        if load.record.failure_domain == 'b' and load.record.endpoint != 's0-0'
    ]
    for load in broken:
        load.record_unanswered(simulation.now_ms, refused=True)
    for _ in range(20):
        assert domain_counts(consolidated(simulation))['b'] <= 1
