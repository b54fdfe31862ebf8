"""Derive the hedge delay: how long an attempt may take before it is hedged."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..process.budget import hedge_scarcity
from .routed_state import budget_of, route_latency

if TYPE_CHECKING:
    from ..messages.routes import Route
    from .routed_state import RoutedState

# Until the latency of a route is learned, these fractions of its latency target stand for the
# usual latency of an attempt and for the latency after which it is late.
UNLEARNED_USUAL_RATIO = 0.2
UNLEARNED_LATE_RATIO = 0.4
# An attempt is late past the first latency quantile if the budget is ample and past the second
# if it is spent; in between, the quantile is interpolated.
AMPLE_BUDGET_QUANTILE = 0.85
SPENT_BUDGET_QUANTILE = 0.97
# If many endpoints are slow, they dominate these quantiles. An attempt is therefore late at the
# latest after this many times the median, with an ample and with a spent budget.
AMPLE_BUDGET_MEDIAN_FACTOR = 2.0
SPENT_BUDGET_MEDIAN_FACTOR = 3.0
# A shorter delay would measure the scheduling delays of this process.
MIN_HEDGE_DELAY_MS = 2.0


def usual_latency_ms(state: RoutedState, route: Route) -> float:
    """Return the median latency of an attempt of a route, without the round trip."""
    latency = route_latency(state, route.name)
    if not latency.is_learned:
        return route.latency_target_ms * UNLEARNED_USUAL_RATIO
    return latency.median_ms


def late_after_ms(state: RoutedState, route: Route, service: str) -> float:
    """Return the latency past which an attempt counts as late, without the round trip."""
    latency = route_latency(state, route.name)
    if not latency.is_learned:
        return max(MIN_HEDGE_DELAY_MS, route.latency_target_ms * UNLEARNED_LATE_RATIO)
    scarcity = hedge_scarcity(budget_of(state, service))
    quantile = AMPLE_BUDGET_QUANTILE + (SPENT_BUDGET_QUANTILE - AMPLE_BUDGET_QUANTILE) * scarcity
    factor = (
        AMPLE_BUDGET_MEDIAN_FACTOR
        + (SPENT_BUDGET_MEDIAN_FACTOR - AMPLE_BUDGET_MEDIAN_FACTOR) * scarcity
    )
    late_ms = min(latency.quantile_ms(quantile), factor * latency.median_ms)
    return max(MIN_HEDGE_DELAY_MS, late_ms)
