"""Decide which attempts on the shards of a query are worth crossing a long link."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .hedge_delay import late_after_ms

if TYPE_CHECKING:
    from ..connection.endpoint_load import EndpointLoad
    from ..messages.routes import Route
    from .routed_state import RoutedState

# A failure domain with a longer round trip is at another site: its link is a long-distance line,
# shared with others. Within a site a round trip takes 3 ms at most.
DISTANT_ROUND_TRIP_MS = 5.0
# Weight of the newest measurement in a domain's round trip, which covers about the last ten.
ROUND_TRIP_WEIGHT = 0.1
# A distant attempt mostly needs a new connection, and so a second round trip.
DISTANT_ROUND_TRIP_COUNT = 2
# An attempt on a distant endpoint may take this many times the latency after which one is late, so
# that it is in time also from an endpoint with a short queue.
DISTANT_LATE_FACTOR = 1.5
# A near endpoint that is expected to reply within this fraction of the latency target leaves time
# for an attempt on a distant one.
NEAR_TARGET_RATIO = 0.35
# A near endpoint that refuses or loses more requests than this is not preferred for its distance.
NEAR_SHED_LIMIT = 0.1


def record_round_trip(state: RoutedState, load: EndpointLoad) -> None:
    """Record the round trip of an attempt for the failure domain of its endpoint."""
    domain, round_trip_ms = load.record.failure_domain, load.round_trip_ms
    if domain == state.failure_domain or round_trip_ms <= 0.0:
        return
    mean_ms = state.round_trips_ms.get(domain, round_trip_ms)
    state.round_trips_ms[domain] = mean_ms + ROUND_TRIP_WEIGHT * (round_trip_ms - mean_ms)


def is_distant(state: RoutedState, load: EndpointLoad) -> bool:
    """Return whether an endpoint is at another site."""
    return state.round_trips_ms.get(load.record.failure_domain, 0.0) >= DISTANT_ROUND_TRIP_MS


def is_near_enough(route: Route, now_ms: float, load: EndpointLoad, expected_ms: float) -> bool:
    """Return whether a near endpoint serves a shard in time although a distant one is faster."""
    return (
        expected_ms <= NEAR_TARGET_RATIO * route.latency_target_ms
        and load.shed_fraction(now_ms) <= NEAR_SHED_LIMIT
    )


def hedge_due_ms(
    state: RoutedState, route: Route, load: EndpointLoad, needed_at_ms: float
) -> float:
    """Return from when on a hedge on an endpoint is worth it; 0 unless the endpoint is distant."""
    if not is_distant(state, load):
        return 0.0
    late_ms = late_after_ms(state, route, load.record.service)
    round_trips_ms = DISTANT_ROUND_TRIP_COUNT * state.round_trips_ms[load.record.failure_domain]
    return needed_at_ms - round_trips_ms - DISTANT_LATE_FACTOR * late_ms
