"""Decisions of an endpoint's owner about its attempts and connections, without any I/O."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from ..messages.endpoint import STATUS_FAILED, STATUS_NOT_STARTED, STATUS_OK
from ..messages.peer import (
    DETAIL_NOT_OWNED,
    OUTCOME_FAILED,
    OUTCOME_NOT_STARTED,
    OUTCOME_OK,
    OUTCOME_UNKNOWN,
)
from . import crash, dispatch, endpoint_state, pool, queue, results, service_time, silence
from .actions import (
    DECISION_CLOSE,
    DECISION_DRAIN,
    DECISION_OPEN,
    DECISION_RAMP,
    LogDecision,
    SendCancel,
)
from .endpoint_state import ConnectionState, OwnedEndpoint, OwnerState
from .observation import EndpointObservation

if TYPE_CHECKING:
    from ..messages.endpoint import Announcement, SubReply
    from ..messages.peer import Attempt, EndpointRecord
    from .actions import OwnerAction
    from .endpoint_state import Connection

__all__ = [
    'OwnerState',
    'cancel',
    'observations',
    'on_connection_closed',
    'on_connection_opened',
    'on_failure',
    'on_probe_reply',
    'on_reply',
    'on_timer',
    'remove_endpoint',
    'submit',
    'update_endpoint',
]

QUEUE_LENGTH_PER_SLOT = 32
SHED_PAUSE_MS = 25.0  # after a reply that the endpoint did not start the request
MAX_SEND_COUNT = 3

_OUTCOMES = {
    STATUS_OK: OUTCOME_OK,
    STATUS_NOT_STARTED: OUTCOME_NOT_STARTED,
    STATUS_FAILED: OUTCOME_FAILED,
}


def update_endpoint(state: OwnerState, now_ms: float, record: EndpointRecord) -> list[OwnerAction]:
    """Add an endpoint that this instance owns, or apply a newer announcement of it."""
    if record.owner != state.instance:
        return remove_endpoint(state, now_ms, record.announcement.endpoint)
    actions: list[OwnerAction] = []
    announcement = record.announcement
    endpoint = state.endpoints.get(announcement.endpoint)
    if endpoint is None:
        endpoint = OwnedEndpoint(announcement)
        state.endpoints[announcement.endpoint] = endpoint
        # A known latency shows that an earlier owner already used this incarnation.
        if record.latency_ms <= 0:
            _start_ramp(endpoint, now_ms, actions)
    else:
        _apply_announcement(state, endpoint, now_ms, announcement, actions)
    if endpoint.removed:
        endpoint.removed = False
        actions.append(LogDecision(DECISION_OPEN, endpoint.name, 'owned again'))
    _process_endpoint(state, endpoint, now_ms, actions)
    return actions


def remove_endpoint(state: OwnerState, now_ms: float, endpoint: str) -> list[OwnerAction]:
    """Stop new work on an endpoint and close its connections as they become free."""
    owned = state.endpoints.get(endpoint)
    if owned is None or owned.removed:
        return []
    owned.removed = True
    actions: list[OwnerAction] = [LogDecision(DECISION_CLOSE, endpoint, 'no longer owned')]
    _process_endpoint(state, owned, now_ms, actions)
    return actions


def submit(state: OwnerState, now_ms: float, attempt: Attempt) -> list[OwnerAction]:
    """Queue an attempt, or refuse it at once."""
    if not _is_first_delivery(state, attempt.attempt_id):
        return []
    endpoint = state.endpoints.get(attempt.endpoint)
    if endpoint is None:
        return results.refuse(attempt, 'this instance does not own the endpoint')
    deadline_ms = now_ms + attempt.time_left_ms
    detail = _refusal_detail(endpoint, now_ms, attempt, deadline_ms)
    if detail is not None:
        retry_ms = results.retry_after_ms(endpoint, now_ms)
        return results.refuse(attempt, detail, retry_ms, endpoint.draining)
    actions: list[OwnerAction] = []
    if not _make_room(state, endpoint, now_ms, attempt, actions):
        retry_ms = results.retry_after_ms(endpoint, now_ms)
        return results.refuse(attempt, 'the queue of the endpoint is full', retry_ms)
    queue.push(endpoint.queue, queue.QueuedAttempt(attempt, now_ms, deadline_ms))
    state.attempt_endpoints[attempt.attempt_id] = endpoint.name
    _process_endpoint(state, endpoint, now_ms, actions)
    return actions


def cancel(state: OwnerState, now_ms: float, attempt_id: str) -> list[OwnerAction]:
    """Cancel an attempt; one already sent keeps its slot until the endpoint frees it."""
    endpoint = state.endpoints.get(state.attempt_endpoints.get(attempt_id, ''))
    if endpoint is None:
        return []
    actions: list[OwnerAction] = []
    queued = queue.remove(endpoint.queue, attempt_id)
    if queued is not None:
        results.refuse_queued(state, endpoint, now_ms, queued, 'cancelled', actions)
    sent_attempts = [
        conn.sent_attempt for conn in endpoint.connections.values() if conn.sent_attempt is not None
    ]
    for sent_attempt in [
        *sent_attempts,
        *(interrupted.sent_attempt for interrupted in endpoint.interrupted),
    ]:
        if sent_attempt.queued.attempt.attempt_id == attempt_id and not sent_attempt.answered:
            results.abandon_attempt(state, endpoint, now_ms, sent_attempt, 'cancelled', actions)
            address = endpoint.announcement.address
            actions.append(SendCancel(endpoint.name, address, sent_attempt.identity))
    _process_endpoint(state, endpoint, now_ms, actions)
    return actions


def on_connection_opened(state: OwnerState, now_ms: float, connection_id: str) -> list[OwnerAction]:
    """Start to use a new connection."""
    endpoint, conn = _find(state, connection_id)
    if endpoint is None or conn is None or conn.state is not ConnectionState.OPENING:
        return []
    actions: list[OwnerAction] = []
    conn.state = ConnectionState.OPEN
    conn.last_reply_ms = now_ms
    if endpoint.open_failure_count and endpoint.next_open_ms > now_ms:
        endpoint.next_open_ms = now_ms
    crash.on_reopened(state, endpoint, now_ms, conn, actions)
    if conn.is_probe:
        silence.send_probe(state, endpoint, now_ms, conn, actions)
    _process_endpoint(state, endpoint, now_ms, actions)
    return actions


def on_probe_reply(state: OwnerState, now_ms: float, connection_id: str) -> list[OwnerAction]:
    """Record a reply to a probe; any HTTP status proves that the connection works."""
    endpoint, conn = _find(state, connection_id)
    if endpoint is None or conn is None or conn.probe_sent_ms is None:
        return []
    actions: list[OwnerAction] = []
    conn.is_probe = False
    conn.probe_sent_ms = None
    endpoint.open_failure_count = 0
    silence.record_reply(endpoint, now_ms, conn)
    _process_endpoint(state, endpoint, now_ms, actions)
    return actions


def on_connection_closed(
    state: OwnerState, now_ms: float, connection_id: str, detail: str
) -> list[OwnerAction]:
    """Handle a connection that ended, was refused or was closed on request."""
    endpoint, conn = _find(state, connection_id)
    if endpoint is None or conn is None:
        return []
    actions: list[OwnerAction] = []
    del endpoint.connections[connection_id]
    del state.connection_endpoints[connection_id]
    if conn.state is not ConnectionState.CLOSING:
        text = f'{connection_id}: closed by the endpoint: {detail}'
        actions.append(LogDecision(DECISION_CLOSE, endpoint.name, text))
    if conn.state is ConnectionState.OPENING:
        _on_connection_refused(state, endpoint, now_ms, detail, actions)
    elif conn.state is ConnectionState.OPEN:
        short_lived = not conn.has_replied and now_ms < conn.created_ms + pool.SHORT_LIFE_MS
        if short_lived and conn.sent_attempt is None:
            pool.record_open_failure(endpoint, now_ms)
        crash.on_reset(state, endpoint, now_ms, conn, detail, actions)
    _process_endpoint(state, endpoint, now_ms, actions)
    return actions


def on_reply(
    state: OwnerState, now_ms: float, connection_id: str, reply: SubReply
) -> list[OwnerAction]:
    """Match a reply with the attempt sent on its connection."""
    endpoint, conn = _find(state, connection_id)
    if endpoint is None or conn is None or conn.state is not ConnectionState.OPEN:
        return []
    actions: list[OwnerAction] = []
    sent_attempt = conn.sent_attempt
    if (
        sent_attempt is None
        or reply.identity != sent_attempt.identity
        or reply.endpoint != endpoint.name
    ):
        if sent_attempt is not None and not sent_attempt.answered:
            detail = 'a reply to another request arrived'
            results.report_unknown_outcome(state, endpoint, now_ms, sent_attempt, detail, actions)
        pool.close_connection(endpoint, conn, 'reply to another request', actions)
    else:
        conn.sent_attempt = None
        _on_matching_reply(state, endpoint, now_ms, conn, sent_attempt, reply, actions)
    _process_endpoint(state, endpoint, now_ms, actions)
    return actions


def on_failure(
    state: OwnerState,
    now_ms: float,
    connection_id: str,
    bytes_sent: bool,
    detail: str,
    refused: bool = False,
) -> list[OwnerAction]:
    """Handle a failed sub-request; `refused` means that a new connection was refused."""
    endpoint, conn = _find(state, connection_id)
    if endpoint is None or conn is None or conn.state is ConnectionState.CLOSING:
        return []
    actions: list[OwnerAction] = []
    sent_attempt = conn.sent_attempt
    if bytes_sent:
        crash.on_reset(state, endpoint, now_ms, conn, detail, actions)
    elif sent_attempt is not None:
        conn.sent_attempt = None
        if not sent_attempt.answered:
            _requeue_or_refuse(state, endpoint, now_ms, sent_attempt.queued, detail, actions)
    pool.close_connection(endpoint, conn, detail, actions)
    if refused:
        _close_idle(endpoint, detail, actions)
        pool.record_open_failure(endpoint, now_ms)
        crash.on_refused(state, endpoint, now_ms, actions)
        results.refuse_unreachable(state, endpoint, detail, actions)
    _process_endpoint(state, endpoint, now_ms, actions)
    return actions


def on_timer(state: OwnerState, now_ms: float) -> list[OwnerAction]:
    """Process each endpoint whose wake time has passed."""
    actions: list[OwnerAction] = []
    if state.armed_ms is not None and state.armed_ms <= now_ms:
        state.armed_ms = None
    while state.wakes and state.wakes[0][0] <= now_ms:
        wake_ms, name = heapq.heappop(state.wakes)
        endpoint = state.endpoints.get(name)
        if endpoint is not None and endpoint.scheduled_ms == wake_ms:
            endpoint.scheduled_ms = None
            _process_endpoint(state, endpoint, now_ms, actions)
    endpoint_state.arm_timer(state, actions)
    return actions


def observations(state: OwnerState) -> tuple[EndpointObservation, ...]:
    """Return the load and latency that this owner observed of its endpoints."""
    return tuple(
        EndpointObservation(
            endpoint.name,
            endpoint.announcement.incarnation,
            endpoint_state.in_flight_count(endpoint),
            len(endpoint.queue),
            endpoint.query_times.mean_ms or endpoint.command_times.mean_ms,
        )
        for endpoint in state.endpoints.values()
        if not endpoint.removed
    )


def _process_endpoint(
    state: OwnerState, endpoint: OwnedEndpoint, now_ms: float, actions: list[OwnerAction]
) -> None:
    crash.expire_interrupted(state, endpoint, now_ms, actions)
    for queued in queue.remove_expired(endpoint.queue, now_ms):
        detail = 'deadline passed in the queue'
        results.refuse_queued(state, endpoint, now_ms, queued, detail, actions)
    silence.check_connections(state, endpoint, now_ms, actions)
    if not endpoint_state.accepts_work(endpoint):
        detail = 'the endpoint is draining' if endpoint.draining else DETAIL_NOT_OWNED
        results.refuse_all(state, endpoint, now_ms, detail, actions)
    pool.maintain_connections(state, endpoint, now_ms, actions)
    dispatch.dispatch(state, endpoint, now_ms, actions)
    has_pending_attempt = any(not one.sent_attempt.answered for one in endpoint.interrupted)
    if endpoint.removed and not endpoint.connections and not has_pending_attempt:
        del state.endpoints[endpoint.name]
        return
    endpoint_state.schedule_wake(state, endpoint, now_ms, actions)


def _apply_announcement(
    state: OwnerState,
    endpoint: OwnedEndpoint,
    now_ms: float,
    announcement: Announcement,
    actions: list[OwnerAction],
) -> None:
    last = endpoint.announcement
    if announcement.draining and announcement.incarnation == last.incarnation:
        _record_draining(endpoint, actions)
    if (announcement.incarnation, announcement.sequence) < (last.incarnation, last.sequence):
        return
    if announcement.incarnation > last.incarnation:
        crash.on_new_incarnation(state, endpoint, now_ms, actions)
        for conn in endpoint.connections.values():
            conn.retiring = True
            if conn.state is ConnectionState.OPENING:
                pool.close_connection(endpoint, conn, 'earlier incarnation', actions)
        endpoint.draining = False
        endpoint.open_failure_count = 0
        endpoint.next_open_ms = now_ms
        endpoint.pause_until_ms = now_ms
        _start_ramp(endpoint, now_ms, actions)
    endpoint.announcement = announcement
    if announcement.draining:
        _record_draining(endpoint, actions)


def _start_ramp(endpoint: OwnedEndpoint, now_ms: float, actions: list[OwnerAction]) -> None:
    endpoint.ramp_start_ms = now_ms
    detail = f'incarnation {endpoint.announcement.incarnation} starts with one slot'
    actions.append(LogDecision(DECISION_RAMP, endpoint.name, detail))


def _record_draining(endpoint: OwnedEndpoint, actions: list[OwnerAction]) -> None:
    if not endpoint.draining:
        endpoint.draining = True
        actions.append(LogDecision(DECISION_DRAIN, endpoint.name, 'no new work'))


def _is_first_delivery(state: OwnerState, attempt_id: str) -> bool:
    if attempt_id in state.recent_attempts:
        return False
    state.recent_attempts[attempt_id] = None
    if len(state.recent_attempts) > endpoint_state.RECENT_ATTEMPT_COUNT:
        del state.recent_attempts[next(iter(state.recent_attempts))]
    return True


def _refusal_detail(
    endpoint: OwnedEndpoint, now_ms: float, attempt: Attempt, deadline_ms: float
) -> str | None:
    if endpoint.draining:
        return 'the endpoint is draining'
    if endpoint.removed:
        return 'this instance no longer owns the endpoint'
    if attempt.time_left_ms < 1.0:
        return 'no time is left'
    if pool.connection_target(endpoint.announcement) < 1:
        return 'the connection limit of the endpoint is too small'
    if results.is_unreachable(endpoint):
        return 'the endpoint does not accept connections'
    finish_ms = dispatch.expected_finish_ms(endpoint, now_ms, attempt, deadline_ms)
    if finish_ms is not None and finish_ms > deadline_ms:
        return 'the deadline cannot be met'
    return None


def _make_room(
    state: OwnerState,
    endpoint: OwnedEndpoint,
    now_ms: float,
    attempt: Attempt,
    actions: list[OwnerAction],
) -> bool:
    if len(endpoint.queue) < QUEUE_LENGTH_PER_SLOT * endpoint.announcement.slot_count:
        return True
    evicted = queue.latest_routine(endpoint.queue) if attempt.urgent else None
    if evicted is None:
        return False
    queue.remove(endpoint.queue, evicted.attempt.attempt_id)
    detail = 'an urgent attempt took its place in the queue'
    results.refuse_queued(state, endpoint, now_ms, evicted, detail, actions)
    return True


def _find(state: OwnerState, connection_id: str) -> tuple[OwnedEndpoint | None, Connection | None]:
    endpoint = state.endpoints.get(state.connection_endpoints.get(connection_id, ''))
    return endpoint, endpoint.connections.get(connection_id) if endpoint else None


def _close_idle(endpoint: OwnedEndpoint, detail: str, actions: list[OwnerAction]) -> None:
    # After a process has ended, each of its other connections would cost one more attempt before
    # it fails. A process that still runs gets new connections after the first delay.
    for conn in list(endpoint.connections.values()):
        if endpoint_state.is_idle(conn):
            pool.close_connection(endpoint, conn, detail, actions)


def _on_connection_refused(
    state: OwnerState,
    endpoint: OwnedEndpoint,
    now_ms: float,
    detail: str,
    actions: list[OwnerAction],
) -> None:
    pool.record_open_failure(endpoint, now_ms)
    crash.on_refused(state, endpoint, now_ms, actions)
    if not pool.has_open_connection(endpoint):
        results.refuse_unreachable(state, endpoint, detail, actions)


def _on_matching_reply(
    state: OwnerState,
    endpoint: OwnedEndpoint,
    now_ms: float,
    conn: Connection,
    sent_attempt: endpoint_state.SentAttempt,
    reply: SubReply,
    actions: list[OwnerAction],
) -> None:
    endpoint.open_failure_count = 0
    silence.record_reply(endpoint, now_ms, conn)
    crash.record_reply(endpoint, conn, sent_attempt, reply.incarnation)
    if reply.draining and reply.incarnation == endpoint.announcement.incarnation:
        _record_draining(endpoint, actions)
    if reply.status == STATUS_NOT_STARTED:
        endpoint.pause_until_ms = now_ms + SHED_PAUSE_MS
    else:
        times = endpoint_state.service_times_of(endpoint, sent_attempt.queued.attempt.kind)
        service_time.forget_old_samples(times, now_ms)
        service_time.add_sample(times, now_ms, now_ms - sent_attempt.sent_ms)
    if not sent_attempt.answered:
        outcome = _OUTCOMES.get(reply.status, OUTCOME_UNKNOWN)
        results.report_reply(state, endpoint, now_ms, sent_attempt, outcome, reply, actions)


def _requeue_or_refuse(
    state: OwnerState,
    endpoint: OwnedEndpoint,
    now_ms: float,
    queued: queue.QueuedAttempt,
    detail: str,
    actions: list[OwnerAction],
) -> None:
    if queued.send_count < MAX_SEND_COUNT and endpoint_state.accepts_work(endpoint):
        queue.push(endpoint.queue, queued)
    else:
        results.refuse_queued(state, endpoint, now_ms, queued, detail, actions)
