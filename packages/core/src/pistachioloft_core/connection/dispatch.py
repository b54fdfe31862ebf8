"""Dispatch queued attempts to free slots and connections."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..messages.endpoint import SubRequest
from . import queue, service_time
from .actions import SendSubRequest
from .endpoint_state import (
    ConnectionState,
    SentAttempt,
    accepts_work,
    current_slot_limit,
    in_flight_count,
    is_idle,
    is_unaffected_by_resets,
    service_times_of,
)
from .results import refuse_queued

if TYPE_CHECKING:
    from ..messages.peer import Attempt
    from .actions import OwnerAction
    from .endpoint_state import Connection, OwnedEndpoint, OwnerState


def expected_finish_ms(
    endpoint: OwnedEndpoint, now_ms: float, attempt: Attempt, deadline_ms: float
) -> float | None:
    """Estimate when the reply to an attempt would arrive; None without a usable estimate."""
    times = service_times_of(endpoint, attempt.kind)
    if not service_time.is_learned(times):
        return None
    occupied_count = in_flight_count(endpoint)
    queued_ahead_count = queue.count_ahead(endpoint.queue, attempt.urgent, deadline_ms)
    if not occupied_count and not queued_ahead_count:
        # An idle endpoint accepts work whatever was learned, so that the times learned while it was
        # slow are replaced.
        return None
    slot_limit = current_slot_limit(endpoint, now_ms)
    ahead_count = max(0, queued_ahead_count + occupied_count - slot_limit + 1)
    return now_ms + ahead_count * times.mean_ms / slot_limit + service_time.median_ms(times)


def dispatch(
    state: OwnerState, endpoint: OwnedEndpoint, now_ms: float, actions: list[OwnerAction]
) -> None:
    """Send queued attempts as far as slots and connections allow."""
    while len(endpoint.queue) and accepts_work(endpoint) and now_ms >= endpoint.pause_until_ms:
        if in_flight_count(endpoint) >= current_slot_limit(endpoint, now_ms):
            return
        idle = [conn for conn in endpoint.connections.values() if is_idle(conn)]
        if endpoint.interrupted:
            idle = [conn for conn in idle if is_unaffected_by_resets(endpoint, conn)]
        if not idle:
            return
        urgent = _choose_urgent(endpoint, len(idle))
        if urgent is None:
            return
        queued = queue.pop(endpoint.queue, urgent)
        if _is_too_late(endpoint, now_ms, queued):
            detail = 'the deadline cannot be met'
            refuse_queued(state, endpoint, now_ms, queued, detail, actions)
            continue
        # The connection with the latest reply is the least likely to be silent.
        conn = max(idle, key=lambda candidate: candidate.last_reply_ms)
        _send(endpoint, now_ms, conn, queued, actions)


def _choose_urgent(endpoint: OwnedEndpoint, idle_count: int) -> bool | None:
    # Returns whether the urgent class is next, or None if the last idle connection is kept free
    # for it.
    routine_due = queue.routine_is_due(endpoint.queue)
    if not routine_due:
        return True
    routine_share_reached = (
        endpoint.queue.urgent_streak_count >= queue.ROUTINE_DISPATCH_INTERVAL - 1
    )
    if routine_share_reached or idle_count > 1 or _open_count(endpoint) == 1:
        return False
    return None


def _open_count(endpoint: OwnedEndpoint) -> int:
    return sum(1 for conn in endpoint.connections.values() if conn.state is ConnectionState.OPEN)


def _is_too_late(endpoint: OwnedEndpoint, now_ms: float, queued: queue.QueuedAttempt) -> bool:
    time_left_ms = queued.deadline_ms - now_ms
    if time_left_ms < 1.0:
        return True
    times = service_times_of(endpoint, queued.attempt.kind)
    if not service_time.is_learned(times) or not in_flight_count(endpoint):
        return False
    return time_left_ms < service_time.median_ms(times)


def _send(
    endpoint: OwnedEndpoint,
    now_ms: float,
    conn: Connection,
    queued: queue.QueuedAttempt,
    actions: list[OwnerAction],
) -> None:
    attempt = queued.attempt
    queued.send_count += 1
    identity = f'{attempt.attempt_id}#{queued.send_count}'
    conn.sent_attempt = SentAttempt(queued, identity, now_ms)
    request = SubRequest(
        identity,
        attempt.kind,
        attempt.caller,
        attempt.collection,
        attempt.version,
        attempt.shards,
        attempt.body,
        math.floor(queued.deadline_ms - now_ms),
        attempt.urgent,
        attempt.idempotency_key,
    )
    address = endpoint.announcement.address
    action = SendSubRequest(conn.connection_id, endpoint.name, address, attempt, request)
    actions.append(action)
