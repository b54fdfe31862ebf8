"""Query the remote shards of a query in few failure domains."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from .hedge_delay import usual_latency_ms
from .placement import expected_latency_ms, is_available
from .routed_state import endpoint_connection_limit

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..connection.endpoint_load import EndpointLoad
    from ..messages.routes import Route
    from .delegation import ShardAssignment
    from .routed_state import RoutedState

# Each failure domain costs a query a request, a reply and their records again. Another replica is
# preferred for that if it is expected to take at most this many times as long as the best one.
LATENCY_TOLERANCE = 1.15


def consolidate_domains(
    state: RoutedState, now_ms: float, route: Route, assignments: Iterable[ShardAssignment]
) -> list[ShardAssignment]:
    """Move shards of other failure domains to the domains that can serve most of them."""
    consolidated: list[ShardAssignment] = []
    remote: list[ShardAssignment] = []
    for assignment in assignments:
        is_near = assignment.load.record.failure_domain == state.failure_domain
        (consolidated if is_near else remote).append(assignment)
    usual_ms = usual_latency_ms(state, route)
    options = {
        assignment.service: _equivalent_endpoints(state, now_ms, assignment, usual_ms)
        for assignment in remote
    }
    while remote:
        domain = _most_frequent_domain(state, (options[item.service] for item in remote))
        remaining: list[ShardAssignment] = []
        for assignment in remote:
            load = options[assignment.service].get(domain)
            if load is None:
                remaining.append(assignment)
            else:
                consolidated.append(assignment.on_endpoint(load))
        remote = remaining
    return consolidated


def _equivalent_endpoints(
    state: RoutedState, now_ms: float, assignment: ShardAssignment, usual_ms: float
) -> dict[str, EndpointLoad]:
    """Return by failure domain the remote endpoints that are about as fast as the chosen one."""
    service = assignment.service
    limit_count = endpoint_connection_limit(state, service)
    chosen_ms = expected_latency_ms(state, now_ms, assignment.load, usual_ms)
    options = {assignment.load.record.failure_domain: assignment.load}
    for load in state.table.usable(service):
        domain = load.record.failure_domain
        if domain == state.failure_domain or domain in options:
            continue
        expected_ms = expected_latency_ms(state, now_ms, load, usual_ms)
        if is_available(load, now_ms, limit_count) and expected_ms <= LATENCY_TOLERANCE * chosen_ms:
            options[domain] = load
    return options


def _most_frequent_domain(state: RoutedState, options: Iterable[dict[str, EndpointLoad]]) -> str:
    counts: defaultdict[str, int] = defaultdict(int)
    for endpoints in options:
        for domain in endpoints:
            counts[domain] += 1
    highest = max(counts.values())
    # All instances of a failure domain would otherwise send to the same one.
    return state.random.choice([name for name in sorted(counts) if counts[name] == highest])
