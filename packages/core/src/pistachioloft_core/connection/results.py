"""Results of attempts; each attempt has exactly one."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..messages.peer import (
    OUTCOME_NOT_STARTED,
    OUTCOME_UNKNOWN,
    Attempt,
    AttemptResult,
)
from . import queue
from .actions import DECISION_REFUSE, LogDecision, Result
from .endpoint_state import current_slot_limit, in_flight_count
from .pool import has_open_connection

if TYPE_CHECKING:
    from ..messages.endpoint import SubReply
    from .actions import OwnerAction
    from .endpoint_state import OwnedEndpoint, OwnerState, SentAttempt

# Longest time for which an abandoned attempt occupies its slot without a reply.
ABANDONED_HOLD_MS = 2_000.0
# Mean service time that is assumed before any is known.
DEFAULT_SERVICE_MS = 50.0


def is_unreachable(endpoint: OwnedEndpoint) -> bool:
    """Return whether opening connections failed and none is open."""
    return bool(endpoint.open_failure_count) and not has_open_connection(endpoint)


def retry_after_ms(endpoint: OwnedEndpoint, now_ms: float) -> int | None:
    """Estimate the time until an endpoint has done its present work; None if unreachable."""
    if is_unreachable(endpoint):
        return None
    mean_ms = endpoint.query_times.mean_ms or DEFAULT_SERVICE_MS
    pending_count = len(endpoint.queue) + in_flight_count(endpoint)
    return max(1, math.ceil(pending_count * mean_ms / current_slot_limit(endpoint, now_ms)))


def refuse(
    attempt: Attempt, detail: str, retry_ms: int | None = None, draining: bool = False
) -> list[OwnerAction]:
    """Refuse an attempt that was never sent."""
    result = AttemptResult(
        attempt.attempt_id,
        attempt.endpoint,
        OUTCOME_NOT_STARTED,
        detail,
        collection=attempt.collection,
        version=attempt.version,
        draining=draining,
        retry_after_ms=retry_ms,
        handed_over=False,
    )
    log = LogDecision(DECISION_REFUSE, attempt.endpoint, f'{attempt.attempt_id}: {detail}')
    return [log, Result(attempt.origin, result)]


def refuse_queued(
    state: OwnerState,
    endpoint: OwnedEndpoint,
    now_ms: float,
    queued: queue.QueuedAttempt,
    detail: str,
    actions: list[OwnerAction],
) -> None:
    """Refuse an attempt that was accepted but not sent."""
    if state.attempt_endpoints.pop(queued.attempt.attempt_id, None) is None:
        return
    retry_ms = retry_after_ms(endpoint, now_ms)
    actions.extend(refuse(queued.attempt, detail, retry_ms, endpoint.draining))


def refuse_all(
    state: OwnerState,
    endpoint: OwnedEndpoint,
    now_ms: float,
    detail: str,
    actions: list[OwnerAction],
) -> None:
    """Refuse every queued attempt of an endpoint."""
    for queued in queue.remove_all(endpoint.queue):
        refuse_queued(state, endpoint, now_ms, queued, detail, actions)


def refuse_unreachable(
    state: OwnerState, endpoint: OwnedEndpoint, detail: str, actions: list[OwnerAction]
) -> None:
    """Refuse every queued attempt because the endpoint accepts no connection."""
    text = f'the endpoint does not accept connections: {detail}'
    for queued in queue.remove_all(endpoint.queue):
        if state.attempt_endpoints.pop(queued.attempt.attempt_id, None) is not None:
            actions.extend(refuse(queued.attempt, text, None, endpoint.draining))


def report_unknown_outcome(
    state: OwnerState,
    endpoint: OwnedEndpoint,
    now_ms: float,
    sent_attempt: SentAttempt,
    detail: str,
    actions: list[OwnerAction],
    crashed: bool = False,
) -> None:
    """Report that the outcome of a sent attempt is unknown."""
    _report_result(
        state, endpoint, now_ms, sent_attempt, OUTCOME_UNKNOWN, detail, actions, crashed=crashed
    )


def abandon_attempt(
    state: OwnerState,
    endpoint: OwnedEndpoint,
    now_ms: float,
    sent_attempt: SentAttempt,
    detail: str,
    actions: list[OwnerAction],
) -> None:
    """Report an unknown outcome but keep the slot, since the endpoint may still run the attempt."""
    report_unknown_outcome(state, endpoint, now_ms, sent_attempt, detail, actions)
    if sent_attempt.slot_held_until_ms is None:
        sent_attempt.slot_held_until_ms = now_ms + ABANDONED_HOLD_MS


def report_reply(
    state: OwnerState,
    endpoint: OwnedEndpoint,
    now_ms: float,
    sent_attempt: SentAttempt,
    outcome: str,
    reply: SubReply,
    actions: list[OwnerAction],
) -> None:
    """Report the endpoint's reply as the result of an attempt."""
    _report_result(state, endpoint, now_ms, sent_attempt, outcome, reply.detail, actions, reply)


def _report_result(
    state: OwnerState,
    endpoint: OwnedEndpoint,
    now_ms: float,
    sent_attempt: SentAttempt,
    outcome: str,
    detail: str,
    actions: list[OwnerAction],
    reply: SubReply | None = None,
    crashed: bool = False,
) -> None:
    attempt = sent_attempt.queued.attempt
    sent_attempt.answered = True
    if state.attempt_endpoints.pop(attempt.attempt_id, None) is None:
        return
    retry_ms = None if outcome != OUTCOME_NOT_STARTED else retry_after_ms(endpoint, now_ms)
    result = AttemptResult(
        attempt.attempt_id,
        attempt.endpoint,
        outcome,
        detail,
        collection=reply.collection if reply else attempt.collection,
        version=reply.version if reply else attempt.version,
        results=reply.results if reply else (),
        reply=reply.outcome if reply else None,
        queue_wait_ms=sent_attempt.sent_ms - sent_attempt.queued.queued_ms,
        service_ms=now_ms - sent_attempt.sent_ms,
        in_flight_count=in_flight_count(endpoint),
        queue_length=len(endpoint.queue),
        draining=endpoint.draining,
        crashed=crashed,
        retry_after_ms=retry_ms,
    )
    actions.append(Result(attempt.origin, result))
