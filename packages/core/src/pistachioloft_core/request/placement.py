"""Choose the endpoint for an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .hedge_delay import usual_latency_ms
from .routed_state import connection_share

if TYPE_CHECKING:
    from collections.abc import Container

    from ..connection.endpoint_load import EndpointLoad
    from ..messages.routes import Route
    from .routed_state import RoutedState

# An endpoint of another failure domain must promise to be this much faster: each such
# attempt costs bytes between failure domains and two more one-way delays.
REMOTE_FACTOR = 1.7
# An endpoint with an attempt past its hedge delay is probably pausing; another replica
# that answers in up to this many times the usual latency is the better choice.
OVERDUE_FACTOR = 6.0
# Work on an endpoint that was just started takes longer by about this factor.
COLD_FACTOR = 1.6
# An endpoint that refuses nearly everything still gets an attempt now and then.
SHED_LIMIT = 0.9
# An attempt that is refused or lost takes one of the few attempts of a request and of the budget,
# beside its time.
SHED_EXPONENT = 2.0


def choose_endpoint(
    state: RoutedState, now_ms: float, route: Route, service: str, excluded: Container[str] = ()
) -> EndpointLoad | None:
    """Return the endpoint of a service that is expected to answer first, None if none can."""
    room = connection_share(state, service)
    usual_ms = usual_latency_ms(state, route)
    best: EndpointLoad | None = None
    best_ms = float('inf')
    for load in state.table.usable(service):
        if load.record.endpoint in excluded or load.in_flight_count >= room:
            continue
        if load.breaker.is_open(now_ms):
            continue
        expected_ms = expected_latency_ms(state, now_ms, load, usual_ms)
        if expected_ms < best_ms or (
            expected_ms == best_ms and best is not None and state.random.random() < 0.5
        ):
            best, best_ms = load, expected_ms
    return best


def has_room(state: RoutedState, load: EndpointLoad) -> bool:
    """Tell whether an endpoint may be given one more attempt."""
    usable = state.table.usable(load.record.service)
    return load in usable and load.in_flight_count < connection_share(state, load.record.service)


def has_usable(state: RoutedState, now_ms: float, service: str) -> bool:
    """Tell whether a service has an endpoint that can be tried now or when it has room."""
    return any(not load.breaker.is_open(now_ms) for load in state.table.usable(service))


def expected_latency_ms(
    state: RoutedState, now_ms: float, load: EndpointLoad, usual_ms: float
) -> float:
    """Estimate how long an attempt on an endpoint takes, retries of refused ones included."""
    service_ms = usual_ms * load.slowness(now_ms)
    if now_ms < load.cold_until_ms:
        service_ms *= COLD_FACTOR
    wait_ms = service_ms * load.waiting_count(now_ms) / max(1, load.record.slot_count)
    expected_ms = service_ms + wait_ms + load.round_trip_ms
    if load.overdue_count:
        expected_ms += OVERDUE_FACTOR * usual_ms
    if load.record.failure_domain != state.failure_domain:
        expected_ms *= REMOTE_FACTOR
    kept_share = 1.0 - min(SHED_LIMIT, load.shed_share(now_ms))
    return float(expected_ms / kept_share**SHED_EXPONENT)
