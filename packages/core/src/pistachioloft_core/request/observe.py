"""Record observations from the results of attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages.peer import DETAIL_NOT_OWNED, OUTCOME_NOT_STARTED
from ..process.latency import service_latency
from ..process.observed import (
    record_draining,
    record_lateness,
    record_lost,
    record_reply,
    record_shed,
    record_unknown,
)

if TYPE_CHECKING:
    from ..messages.peer import AttemptResult
    from ..process.endpoint_view import EndpointView
    from .routing import RoutingState

# An endpoint that no longer holds the version replies `not_started` with this detail.
DETAIL_NOT_HELD = 'not_held'


def record_attempt_success(
    routing: RoutingState,
    endpoint: EndpointView,
    now_ms: float,
    sent_ms: float,
    result: AttemptResult,
    *,
    counts_for_service: bool = True,
) -> None:
    """Record a reply; the service's latency already includes that of a cancelled attempt."""
    name = endpoint.endpoint
    latency_ms = now_ms - sent_ms
    load = result.in_flight_count + result.queue_length
    observed = routing.observed
    record_reply(observed, name, endpoint.owner, now_ms, latency_ms, load)
    if result.draining:
        record_draining(observed, name)
    if counts_for_service:
        measured_latency = service_latency(routing.latencies, endpoint.service)
        is_late = latency_ms > measured_latency.p95_ms
        if is_late or observed.slow:
            record_lateness(observed, name, is_late)
        measured_latency.add(latency_ms)


def record_attempt_failure(
    routing: RoutingState, endpoint: EndpointView, now_ms: float, result: AttemptResult
) -> None:
    """Record an attempt without a reply."""
    name, owner = endpoint.endpoint, endpoint.owner
    observed = routing.observed
    if result.draining:
        record_draining(observed, name)
    if result.detail.startswith((DETAIL_NOT_HELD, DETAIL_NOT_OWNED)):
        return
    if result.crashed:
        record_lost(observed, name, owner, now_ms)
    elif result.outcome == OUTCOME_NOT_STARTED:
        if result.retry_after_ms is not None:
            record_shed(observed, name, owner, now_ms, result.retry_after_ms)
        elif not result.draining:
            record_lost(observed, name, owner, now_ms)
    else:
        record_unknown(observed, name, owner, now_ms)
