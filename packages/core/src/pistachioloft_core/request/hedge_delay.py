"""How long an attempt may take before another endpoint is asked as well."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..process.budget import hedge_scarcity
from .routed_state import budget_of, route_latency

if TYPE_CHECKING:
    from ..messages.routes import Route
    from .routed_state import RoutedState

# Until the latency of a route is learned, an attempt is usual if it takes this part of the
# latency target, and late after the next one.
UNLEARNED_USUAL_PART = 0.2
UNLEARNED_LATE_PART = 0.4
# With an ample budget an attempt is late past the first share of all attempts, with a spent
# one past the second; in between it follows the budget.
AMPLE_SHARE = 0.85
SCARCE_SHARE = 0.97
# Where a part of the endpoints is slow, these shares are theirs; an attempt that takes this
# many times the median is late whatever the others do, with an ample budget and with a spent one.
AMPLE_MEDIAN_FACTOR = 2.0
SCARCE_MEDIAN_FACTOR = 3.0
# A shorter delay would measure the scheduling of this process.
SHORTEST_DELAY_MS = 2.0


def usual_latency_ms(state: RoutedState, route: Route) -> float:
    """Return the median latency of an attempt of a route, without the round trip."""
    latency = route_latency(state, route.name)
    if not latency.is_learned:
        return route.latency_target_ms * UNLEARNED_USUAL_PART
    return latency.median_ms


def late_after_ms(state: RoutedState, route: Route, service: str) -> float:
    """Return the latency past which an attempt counts as late, without the round trip."""
    latency = route_latency(state, route.name)
    if not latency.is_learned:
        return max(SHORTEST_DELAY_MS, route.latency_target_ms * UNLEARNED_LATE_PART)
    scarcity = hedge_scarcity(budget_of(state, service))
    share = AMPLE_SHARE + (SCARCE_SHARE - AMPLE_SHARE) * scarcity
    factor = AMPLE_MEDIAN_FACTOR + (SCARCE_MEDIAN_FACTOR - AMPLE_MEDIAN_FACTOR) * scarcity
    late_ms = min(latency.quantile_ms(share), factor * latency.median_ms)
    return max(SHORTEST_DELAY_MS, late_ms)
