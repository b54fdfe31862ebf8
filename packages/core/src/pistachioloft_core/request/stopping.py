"""Decide which requests an instance that stops still takes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .routed_state import route_latency

if TYPE_CHECKING:
    from ..messages.routes import Route
    from .routed_state import RoutedState

SLOWEST_QUANTILE = 0.99
# A request is taken if twice the time of the slowest ones is left: it may wait, and be retried.
TIME_FACTOR = 2.0
# A cut request that must not run twice costs its caller the outcome.
RUN_ONCE_TIME_FACTOR = 3.0


def needed_time_ms(state: RoutedState, route: Route) -> float:
    """Return how long a request of a route has to be able to run before it is taken."""
    latency = route_latency(state, route.name)
    slowest_ms = route.latency_target_ms
    if latency.is_learned:
        slowest_ms = latency.quantile_ms(SLOWEST_QUANTILE)
    needed_ms = slowest_ms * (TIME_FACTOR if route.idempotent else RUN_ONCE_TIME_FACTOR)
    return min(needed_ms, route.time_limit_ms)
