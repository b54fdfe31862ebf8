"""How long an attempt may take before another endpoint is asked as well."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .routed_state import route_latency

if TYPE_CHECKING:
    from ..messages.routes import Route
    from .routed_state import RoutedState

# Until the latency of a route is learned, an attempt is usual if it takes this part of the
# latency target, and late after the next one.
UNLEARNED_USUAL_PART = 0.2
UNLEARNED_LATE_PART = 0.4
# Where a part of the endpoints is slow, the 95th percentile is theirs; an attempt that
# takes this many times the median is late whatever the others do.
LATE_MEDIAN_FACTOR = 2.5
# A shorter delay would measure the scheduling of this process.
SHORTEST_DELAY_MS = 3.0


def usual_latency_ms(state: RoutedState, route: Route) -> float:
    """Return the median latency of an attempt of a route."""
    latency = route_latency(state, route.name)
    if not latency.is_learned:
        return route.latency_target_ms * UNLEARNED_USUAL_PART
    return latency.median_ms


def hedge_delay_ms(state: RoutedState, route: Route) -> float:
    """Return the age at which an attempt of a route counts as late."""
    latency = route_latency(state, route.name)
    if not latency.is_learned:
        return max(SHORTEST_DELAY_MS, route.latency_target_ms * UNLEARNED_LATE_PART)
    late_ms = min(latency.p95_ms, LATE_MEDIAN_FACTOR * latency.median_ms)
    return max(SHORTEST_DELAY_MS, late_ms)
