"""Refuse requests that no endpoint will take in time, by what the endpoints state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import ResultCode
from .attempts import Refuse
from .placement import has_capacity, is_served, served_at_ms
from .routed_state import endpoint_connection_limit

if TYPE_CHECKING:
    from .gather_state import GatherState
    from .routed_state import RoutedState


# Retry-after time where shards have no endpoint: about how long a crashed endpoint takes to
# restart and to be announced.
UNSERVED_RETRY_MS = 1_000.0
# Retry-after time where an endpoint will take requests at once: about one request of it.
MIN_UNSERVED_RETRY_MS = 100.0
RETRY_SPREAD = (1.0, 1.2)


def lacks_only_permits(state: RoutedState, now_ms: float, service: str) -> bool:
    """Return whether an endpoint could take an attempt if it had not stated a limit."""
    connection_limit_count = endpoint_connection_limit(state, service)
    return any(
        load.limit.is_limited and has_capacity(load, now_ms, connection_limit_count)
        for load in state.table.usable(service)
    )


def permitted_at_ms(state: RoutedState, now_ms: float, service: str) -> float:
    """Return when the stated limits of a service's endpoints allow the next request."""
    times_ms = (
        load.statements.usable_at_ms(now_ms)
        for load in state.table.usable(service)
        if not load.breaker.is_open(now_ms)
    )
    return min(times_ms, default=now_ms)


def refuse_unserved(state: RoutedState, now_ms: float, query: GatherState) -> Refuse | None:
    """Return the refusal of a query that too few shards have an endpoint for."""
    served_count = sum(is_served(state, now_ms, shard.service) for shard in query.shards)
    if served_count >= query.coverage_floor_count:
        return None
    times_ms = sorted(served_at_ms(state, now_ms, shard.service) for shard in query.shards)
    served_ms = times_ms[query.coverage_floor_count - 1]
    if served_ms < query.answer_at_ms:
        return None
    detail = f'{served_count} of {len(query.shards)} shards have an endpoint'
    return Refuse(ResultCode.NO_ENDPOINT, detail, unserved_retry_ms(state, now_ms, served_ms))


def unserved_retry_ms(state: RoutedState, now_ms: float, served_ms: float) -> float:
    """Return when callers may come back who could be served from a time on."""
    if served_ms == float('inf'):
        return UNSERVED_RETRY_MS
    # Callers must not arrive together at endpoints that have rested.
    return max(MIN_UNSERVED_RETRY_MS, served_ms - now_ms) * state.random.uniform(*RETRY_SPREAD)


def refuse_without_permits(state: RoutedState, now_ms: float, query: GatherState) -> Refuse | None:
    """Return the refusal of a query that too few shards can answer before its deadline."""
    if not state.limited_endpoints:
        return None
    times_ms = sorted(permitted_at_ms(state, now_ms, shard.service) for shard in query.shards)
    permitted_ms = times_ms[query.coverage_floor_count - 1]
    if permitted_ms < query.deadline_at_ms:
        return None
    wait_ms = permitted_ms - now_ms
    detail = (
        f'the limits of endpoints allow {query.coverage_floor_count} shards in {wait_ms:.0f} ms'
    )
    return Refuse(ResultCode.OVERLOADED, detail, wait_ms)
