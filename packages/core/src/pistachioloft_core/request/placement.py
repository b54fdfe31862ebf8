"""Choose the endpoint for an attempt."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .distance import is_distant, is_near_enough
from .hedge_delay import usual_latency_ms
from .routed_state import endpoint_connection_limit

if TYPE_CHECKING:
    import random
    from collections.abc import Container

    from ..connection.endpoint_load import EndpointLoad
    from ..messages.routes import Route
    from .routed_state import RoutedState

# An endpoint of another failure domain is chosen only if it is expected to be faster by this
# factor: each such attempt costs traffic between failure domains and two more one-way delays.
REMOTE_FACTOR = 1.7
# An endpoint with an overdue attempt is probably pausing; another replica is preferred if it
# is expected to reply within this many times the usual latency.
OVERDUE_FACTOR = 6.0
# A request on an endpoint after a cold start takes longer by about this factor.
COLD_FACTOR = 1.6
# Caps the fraction of refused attempts, so that an endpoint that refuses nearly all of them is
# still tried now and then.
MAX_SHED_FRACTION = 0.9
# A refused or lost attempt costs, besides its time, one of the few attempts of the request and
# of the budget.
SHED_EXPONENT = 2.0


@dataclass(frozen=True, slots=True)
class Selection:
    """Hold the endpoint for an attempt, and a faster one that lacks a permit; None without."""

    chosen: EndpointLoad | None
    wanted: EndpointLoad | None
    # The chosen one is in the own failure domain and spares a query a distant one.
    spares_distant: bool = False


def choose_endpoint(
    state: RoutedState, now_ms: float, route: Route, service: str, excluded: Container[str] = ()
) -> EndpointLoad | None:
    """Return the endpoint that is expected to reply first, None if none can take an attempt."""
    selection = select_endpoint(state, now_ms, route, service, excluded, state.random)
    wanted = selection.wanted
    if wanted is not None:
        wanted.limit.wanted_count += 1
        state.wanted_permits[wanted.record.endpoint] = wanted
    return selection.chosen


def select_endpoint(
    state: RoutedState,
    now_ms: float,
    route: Route,
    service: str,
    excluded: Container[str],
    random_source: random.Random,
) -> Selection:
    """Select the endpoint that is expected to reply first, without recording anything."""
    connection_limit_count = endpoint_connection_limit(state, service)
    usual_ms = usual_latency_ms(state, route)
    chosen: EndpointLoad | None = None
    chosen_ms = float('inf')
    wanted: EndpointLoad | None = None
    wanted_ms = float('inf')
    for load in state.table.usable(service):
        if load.record.endpoint in excluded:
            continue
        if not has_capacity(load, now_ms, connection_limit_count):
            continue
        expected_ms = expected_latency_ms(state, now_ms, load, usual_ms)
        if not load.statements.limit.admits(now_ms):
            if expected_ms < wanted_ms:
                wanted, wanted_ms = load, expected_ms
            continue
        if expected_ms < chosen_ms or (
            expected_ms == chosen_ms and chosen is not None and random_source.random() < 0.5
        ):
            chosen, chosen_ms = load, expected_ms
    near: EndpointLoad | None = None
    if route.gather is not None and chosen is not None and is_distant(state, chosen):
        near = _choose_near(state, now_ms, route, service, excluded)
        chosen = near or chosen
    return Selection(chosen, wanted if wanted_ms < chosen_ms else None, near is not None)


def _choose_near(
    state: RoutedState, now_ms: float, route: Route, service: str, excluded: Container[str]
) -> EndpointLoad | None:
    """Return an endpoint of the own failure domain that spares a query a distant one."""
    limit_count = endpoint_connection_limit(state, service)
    usual_ms = usual_latency_ms(state, route)
    chosen: EndpointLoad | None = None
    chosen_ms = float('inf')
    for load in state.table.usable(service):
        if load.record.failure_domain != state.failure_domain or load.record.endpoint in excluded:
            continue
        expected_ms = expected_latency_ms(state, now_ms, load, usual_ms)
        if (
            expected_ms < chosen_ms
            and is_available(load, now_ms, limit_count)
            and is_near_enough(route, now_ms, load, expected_ms)
        ):
            chosen, chosen_ms = load, expected_ms
    return chosen


def is_available(load: EndpointLoad, now_ms: float, connection_limit_count: int) -> bool:
    """Return whether an endpoint can take an attempt now, within the limit that it states."""
    return has_capacity(load, now_ms, connection_limit_count) and load.limit.admits(now_ms)


def has_capacity(load: EndpointLoad, now_ms: float, connection_limit_count: int) -> bool:
    """Return whether an endpoint wants requests and could take one if it had stated no limit."""
    return (
        load.in_flight_count < connection_limit_count
        and load.statements.wants_requests(now_ms)
        and not load.breaker.is_open(now_ms)
    )


def has_free_connection(state: RoutedState, load: EndpointLoad) -> bool:
    """Return whether an endpoint can take one more attempt."""
    usable = state.table.usable(load.record.service)
    return load in usable and load.in_flight_count < endpoint_connection_limit(
        state, load.record.service
    )


def is_served(state: RoutedState, now_ms: float, service: str) -> bool:
    """Return whether an endpoint of a service wants requests now."""
    return any(
        load.statements.wants_requests(now_ms) and not load.breaker.is_open(now_ms)
        for load in state.table.usable(service)
    )


def served_at_ms(state: RoutedState, now_ms: float, service: str) -> float:
    """Return from when on an endpoint of a service wants requests, infinity without any."""
    return min(
        (
            load.statements.wanted_at_ms(now_ms)
            for load in state.table.usable(service)
            if not load.breaker.is_open(now_ms)
        ),
        default=float('inf'),
    )


def expected_latency_ms(
    state: RoutedState, now_ms: float, load: EndpointLoad, usual_ms: float
) -> float:
    """Estimate the latency of an attempt on an endpoint, retries after refusals included."""
    service_ms = usual_ms * load.slowness(now_ms)
    if now_ms < load.cold_until_ms:
        service_ms *= COLD_FACTOR
    expected_ms = service_ms + load.round_trip_ms
    waiting_count = load.waiting_count(now_ms)
    if waiting_count:
        expected_ms += service_ms * waiting_count / max(1, load.record.slot_count)
    if load.overdue_count:
        expected_ms += OVERDUE_FACTOR * usual_ms
    if load.record.failure_domain != state.failure_domain:
        expected_ms *= REMOTE_FACTOR
    shed_fraction = load.shed_fraction(now_ms)
    if shed_fraction:
        accepted_fraction = 1.0 - min(MAX_SHED_FRACTION, shed_fraction)
        expected_ms /= accepted_fraction**SHED_EXPONENT
    return expected_ms
