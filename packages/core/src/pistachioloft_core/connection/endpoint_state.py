"""State of an owner's endpoints, connections and attempts, and the times at which they wake it."""

from __future__ import annotations

import heapq
from enum import Enum
from typing import TYPE_CHECKING

from ..messages.endpoint import KIND_COMMAND
from . import queue, ramp, service_time
from .actions import WakeAt

if TYPE_CHECKING:
    from ..messages.endpoint import Announcement
    from .actions import OwnerAction

# Time for which the result of an interrupted attempt waits for evidence of a crash.
CRASH_EVIDENCE_WAIT_MS = 50.0
# Time after a reset in which a refused connection or a new incarnation shows a crash.
RESET_RETENTION_MS = 5_000.0
OPEN_TIMEOUT_MS = 2_000.0
# A reply that is already in transit may still arrive after the evidence of silence.
SILENT_GRACE_MS = 20.0
MIN_WAKE_MS = 1.0
# Attempt ids stored to recognize duplicates, so that a batch delivered twice runs once.
RECENT_ATTEMPT_COUNT = 8_192


class ConnectionState(Enum):
    """Lifecycle states of a connection."""

    OPENING = 'opening'
    OPEN = 'open'
    CLOSING = 'closing'


class SentAttempt:
    """Hold an attempt that was sent; it occupies a slot as long as its connection carries it."""

    __slots__ = (
        'answered',
        'deadline_ms',
        'identity',
        'queued',
        'sent_ms',
        'silence_evidence_ms',
        'slot_held_until_ms',
    )

    def __init__(self, queued: queue.QueuedAttempt, identity: str, now_ms: float) -> None:
        self.queued = queued
        self.identity = identity
        self.sent_ms = now_ms
        self.deadline_ms = queued.deadline_ms
        # Whether its result was reported; it may occupy its slot for longer.
        self.answered = False
        self.slot_held_until_ms: float | None = None
        # When another connection replied while the reply to this attempt was overdue.
        self.silence_evidence_ms: float | None = None


class Connection:
    """Hold one connection to an endpoint."""

    __slots__ = (
        'connection_id',
        'created_ms',
        'has_replied',
        'incarnation',
        'is_probe',
        'last_reply_ms',
        'number',
        'probe_sent_ms',
        'retiring',
        'sent_attempt',
        'state',
    )

    def __init__(self, number: int, connection_id: str, incarnation: int, now_ms: float) -> None:
        self.number = number
        self.connection_id = connection_id
        self.incarnation = incarnation
        self.state = ConnectionState.OPENING
        self.created_ms = now_ms
        # Time of the last reply; before the first one, of the opening.
        self.last_reply_ms = now_ms
        self.has_replied = False
        self.sent_attempt: SentAttempt | None = None
        # Belongs to an earlier incarnation and is closed as soon as it is free.
        self.retiring = False
        self.is_probe = False
        self.probe_sent_ms: float | None = None


class InterruptedAttempt:
    """Hold a sent attempt whose connection was reset."""

    __slots__ = ('last_connection_number', 'reopened', 'reset_ms', 'sent_attempt')

    def __init__(
        self, sent_attempt: SentAttempt, reset_ms: float, last_connection_number: int
    ) -> None:
        self.sent_attempt = sent_attempt
        self.reset_ms = reset_ms
        # Connections with a higher number were started after the reset.
        self.last_connection_number = last_connection_number
        # Whether a connection that was started after the reset has opened.
        self.reopened = False


class OwnedEndpoint:
    """Hold the state of one owned endpoint."""

    def __init__(self, announcement: Announcement) -> None:
        self.announcement = announcement
        self.draining = announcement.draining
        self.removed = False
        self.connections: dict[str, Connection] = {}
        self.queue = queue.AttemptQueue()
        self.query_times = service_time.ServiceTime()
        self.command_times = service_time.ServiceTime()
        self.ramp_start_ms: float | None = None
        self.pause_until_ms = 0.0
        self.open_failure_count = 0
        self.next_open_ms = 0.0
        self.interrupted: list[InterruptedAttempt] = []
        self.scheduled_ms: float | None = None

    @property
    def name(self) -> str:
        """Return the id of the endpoint."""
        return self.announcement.endpoint


class OwnerState:
    """Hold the state of all endpoints that this instance owns."""

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.endpoints: dict[str, OwnedEndpoint] = {}
        self.connection_endpoints: dict[str, str] = {}
        self.attempt_endpoints: dict[str, str] = {}
        self.recent_attempts: dict[str, None] = {}
        self.wakes: list[tuple[float, str]] = []
        self.armed_ms: float | None = None
        self.connection_count = 0
        self.probe_count = 0


def accepts_work(endpoint: OwnedEndpoint) -> bool:
    """Return whether new attempts may be sent to the endpoint."""
    return not endpoint.removed and not endpoint.draining


def in_flight_count(endpoint: OwnedEndpoint) -> int:
    """Return the number of occupied slots."""
    return sum(1 for conn in endpoint.connections.values() if conn.sent_attempt is not None)


def current_slot_limit(endpoint: OwnedEndpoint, now_ms: float) -> int:
    """Return the number of slots that may be occupied now."""
    return ramp.slot_limit(endpoint.announcement.slot_count, endpoint.ramp_start_ms, now_ms)


def is_idle(conn: Connection) -> bool:
    """Return whether a connection can carry an attempt now."""
    return (
        conn.state is ConnectionState.OPEN
        and conn.sent_attempt is None
        and not conn.retiring
        and not conn.is_probe
    )


def is_unaffected_by_resets(endpoint: OwnedEndpoint, conn: Connection) -> bool:
    """Return whether no unresolved reset may also affect a connection."""
    # The connections of a crashed process are reset one after the other. An attempt sent on one
    # of them meanwhile would appear in the crash report.
    return all(
        interrupted.sent_attempt.answered
        or interrupted.reopened
        or conn.number > interrupted.last_connection_number
        for interrupted in endpoint.interrupted
    )


def service_times_of(endpoint: OwnedEndpoint, kind: str) -> service_time.ServiceTime:
    """Return the learned service times of a kind of request."""
    return endpoint.command_times if kind == KIND_COMMAND else endpoint.query_times


def overdue_at_ms(endpoint: OwnedEndpoint, sent_attempt: SentAttempt) -> float:
    """Return when the reply to an attempt is overdue."""
    times = service_times_of(endpoint, sent_attempt.queued.attempt.kind)
    return sent_attempt.sent_ms + service_time.overdue_ms(times)


def schedule_wake(
    state: OwnerState, endpoint: OwnedEndpoint, now_ms: float, actions: list[OwnerAction]
) -> None:
    """Schedule a wake at the next time that concerns the endpoint."""
    times = [*_connection_wakes(endpoint, now_ms), *_endpoint_wakes(endpoint, now_ms)]
    if not times:
        return
    wake_ms = max(min(times), now_ms + MIN_WAKE_MS)
    if endpoint.scheduled_ms is not None and endpoint.scheduled_ms <= wake_ms:
        return
    endpoint.scheduled_ms = wake_ms
    heapq.heappush(state.wakes, (wake_ms, endpoint.name))
    arm_timer(state, actions)


def arm_timer(state: OwnerState, actions: list[OwnerAction]) -> None:
    """Request a timer for the earliest wake unless one is already armed."""
    if state.wakes and (state.armed_ms is None or state.wakes[0][0] < state.armed_ms):
        state.armed_ms = state.wakes[0][0]
        actions.append(WakeAt(state.armed_ms))


def _connection_wakes(endpoint: OwnedEndpoint, now_ms: float) -> list[float]:
    times: list[float] = []
    for conn in endpoint.connections.values():
        if conn.state is ConnectionState.OPENING:
            times.append(conn.created_ms + OPEN_TIMEOUT_MS)
        elif conn.state is ConnectionState.OPEN and conn.sent_attempt is not None:
            times.append(_sent_attempt_wake(endpoint, conn.sent_attempt, now_ms))
        elif conn.state is ConnectionState.OPEN and conn.probe_sent_ms is not None:
            times.append(conn.probe_sent_ms + service_time.overdue_ms(endpoint.query_times))
    return times


def _sent_attempt_wake(endpoint: OwnedEndpoint, sent_attempt: SentAttempt, now_ms: float) -> float:
    end_ms = (
        sent_attempt.deadline_ms
        if sent_attempt.slot_held_until_ms is None
        else sent_attempt.slot_held_until_ms
    )
    if sent_attempt.silence_evidence_ms is not None:
        return min(end_ms, sent_attempt.silence_evidence_ms + SILENT_GRACE_MS)
    overdue_ms = overdue_at_ms(endpoint, sent_attempt)
    # For an overdue reply, the next event is the reply of another connection, not a timer.
    return min(end_ms, overdue_ms) if overdue_ms > now_ms else end_ms


def _endpoint_wakes(endpoint: OwnedEndpoint, now_ms: float) -> list[float]:
    times: list[float] = []
    for interrupted in endpoint.interrupted:
        if interrupted.sent_attempt.answered:
            times.append(interrupted.reset_ms + RESET_RETENTION_MS)
        else:
            times.append(
                min(
                    interrupted.reset_ms + CRASH_EVIDENCE_WAIT_MS,
                    interrupted.sent_attempt.deadline_ms,
                )
            )
    deadline_ms = queue.earliest_deadline(endpoint.queue)
    if deadline_ms is not None:
        times.append(deadline_ms)
        if endpoint.pause_until_ms > now_ms:
            times.append(endpoint.pause_until_ms)
        step_ms = ramp.next_step_ms(
            endpoint.announcement.slot_count, endpoint.ramp_start_ms, now_ms
        )
        if step_ms is not None:
            times.append(step_ms)
    if endpoint.next_open_ms > now_ms and accepts_work(endpoint):
        times.append(endpoint.next_open_ms)
    return times
