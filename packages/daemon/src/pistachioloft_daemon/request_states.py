"""Make the core's state of an accepted request, with its times."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachioloft_core.request.answer_timing import (
    CallerTransit,
    answer_due_ms,
    answer_transmission_ms,
    elapsed_before_sending_ms,
    is_past_target,
)
from pistachioloft_core.request.forward import ForwardState
from pistachioloft_core.request.gather_state import GatherState
from pistachioloft_core.request.hedge_delay import usual_latency_ms
from pistachioloft_core.request.routed_state import deadlines_of
from pistachioloft_core.request.split import choose_service

if TYPE_CHECKING:
    from pistachioloft_core.messages.routes import Route
    from pistachioloft_core.request.routed_state import RoutedState
    from pistachioloft_core.request.split import SplitState

    from .routed_messages import AcceptedRequest, RoutedRequest

# An answer that is ready at the time limit must still be written.
TIME_LIMIT_MARGIN_MS = 5.0


def make_state(
    core: RoutedState,
    splits: SplitState,
    request_id: str,
    arrived_ms: float,
    accepted: AcceptedRequest,
    suspected: bool,
) -> tuple[GatherState | ForwardState, CallerTransit]:
    """Return the state of a request, and the time that it spends between caller and instance."""
    routed, route = accepted.routed, accepted.route
    time_left_ms = route.time_limit_ms
    if routed.time_left_ms is not None:
        time_left_ms = min(time_left_ms, routed.time_left_ms)
    deadline_at_ms = arrived_ms + max(0.0, time_left_ms - TIME_LIMIT_MARGIN_MS)
    state: GatherState | ForwardState
    transit = _caller_transit(core, routed, route)
    if route.gather is not None:
        answer_at_ms = answer_due_ms(
            route,
            arrived_ms,
            transit,
            usual_latency_ms(core, route),
            answer_transmission_ms(route, core.limits.link_mbit_per_s),
            core.answer_delay.allowance_ms,
        )
        state = GatherState(request_id, route, answer_at_ms, deadline_at_ms, suspected)
    else:
        service = choose_service(splits, route)
        state = ForwardState(request_id, route, service, deadline_at_ms, suspected)
    state.priority = accepted.priority
    state.organisation = routed.organisation
    state.past_target = _is_past_target(core, routed, route)
    return state, transit


def _caller_transit(core: RoutedState, routed: RoutedRequest, route: Route) -> CallerTransit:
    request = routed.request
    elapsed_ms = 0.0
    if routed.time_left_ms is not None:
        deadlines = deadlines_of(core, route.name)
        elapsed_ms = elapsed_before_sending_ms(deadlines, routed.time_left_ms, route)
    return CallerTransit(request.connecting_ms, request.return_ms, elapsed_ms)


def _is_past_target(core: RoutedState, routed: RoutedRequest, route: Route) -> bool:
    if routed.time_left_ms is None:
        return False
    return is_past_target(deadlines_of(core, route.name), routed.time_left_ms, route)
