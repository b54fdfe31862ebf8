"""State of the endpoints, connections and attempts that an instance owns."""

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

CRASH_EVIDENCE_WAIT_MS = 50.0
RESET_RETENTION_MS = 5_000.0
OPEN_TIMEOUT_MS = 2_000.0
# Lets a reply that is already on its way overtake the evidence of silence.
SILENT_GRACE_MS = 20.0
MIN_WAKE_MS = 1.0
# Attempt ids that are remembered, so that a batch delivered twice runs once.
RECENT_ATTEMPTS = 8_192


class ConnectionState(Enum):
    """Name the stage of a connection."""

    OPENING = 'opening'
    OPEN = 'open'
    CLOSING = 'closing'


class SentAttempt:
    """Hold an attempt that was sent; it occupies a slot until its connection is free."""

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
        self.answered = False
        self.slot_held_until_ms: float | None = None
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
        self.last_reply_ms = now_ms
        self.has_replied = False
        self.sent_attempt: SentAttempt | None = None
        self.retiring = False
        self.is_probe = False
        self.probe_sent_ms: float | None = None


class InterruptedAttempt:
    """Hold an attempt whose connection the endpoint closed."""

    __slots__ = ('last_connection_number', 'reopened', 'reset_ms', 'sent_attempt')

    def __init__(
        self, sent_attempt: SentAttempt, reset_ms: float, last_connection_number: int
    ) -> None:
        self.sent_attempt = sent_attempt
        self.reset_ms = reset_ms
        # Connections with a higher number were begun after the reset.
        self.last_connection_number = last_connection_number
        self.reopened = False


class OwnedEndpoint:
    """Hold everything about one owned endpoint."""

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
        """Return the endpoint's id."""
        return self.announcement.endpoint


class OwnerState:
    """Hold all endpoints that this instance owns."""

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
    """Tell whether the endpoint may be given new work at all."""
    return not endpoint.removed and not endpoint.draining


def in_flight_count(endpoint: OwnedEndpoint) -> int:
    """Count the occupied slots."""
    return sum(1 for conn in endpoint.connections.values() if conn.sent_attempt is not None)


def current_slot_limit(endpoint: OwnedEndpoint, now_ms: float) -> int:
    """Return how many slots may be occupied now."""
    return ramp.slot_limit(endpoint.announcement.slot_count, endpoint.ramp_start_ms, now_ms)


def is_idle(conn: Connection) -> bool:
    """Tell whether a connection can carry an attempt."""
    return (
        conn.state is ConnectionState.OPEN
        and conn.sent_attempt is None
        and not conn.retiring
        and not conn.is_probe
    )


def is_unaffected_by_resets(endpoint: OwnedEndpoint, conn: Connection) -> bool:
    """Tell whether no undecided reset casts doubt on a connection."""
    # The connections of a crashed process are reset one after the other; an attempt sent on
    # one of them meanwhile would be named in the crash report.
    return all(
        interrupted.sent_attempt.answered
        or interrupted.reopened
        or conn.number > interrupted.last_connection_number
        for interrupted in endpoint.interrupted
    )


def service_times_of(endpoint: OwnedEndpoint, kind: str) -> service_time.ServiceTime:
    """Return the learned service time of a kind of request."""
    return endpoint.command_times if kind == KIND_COMMAND else endpoint.query_times


def overdue_at_ms(endpoint: OwnedEndpoint, sent_attempt: SentAttempt) -> float:
    """Return when the reply to an attempt is overdue."""
    times = service_times_of(endpoint, sent_attempt.queued.attempt.kind)
    return sent_attempt.sent_ms + service_time.overdue_ms(times)


def schedule_wake(
    state: OwnerState, endpoint: OwnedEndpoint, now_ms: float, actions: list[OwnerAction]
) -> None:
    """Ask for a wake at the endpoint's next own event."""
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
    """Ask for the earliest wake unless it is already asked for."""
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
    # An overdue reply waits for the answer of another connection, which is an event of its own.
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
