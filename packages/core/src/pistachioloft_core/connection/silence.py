"""Detect silent connections: a reply is overdue and another connection has replied since."""

from __future__ import annotations

from typing import TYPE_CHECKING

from . import pool
from .actions import DECISION_PROBE, DECISION_SILENT, LogDecision, SendProbe
from .endpoint_state import (
    SILENT_GRACE_MS,
    Connection,
    ConnectionState,
    accepts_work,
    is_idle,
    overdue_at_ms,
)
from .results import abandon_attempt, report_unknown_outcome
from .service_time import overdue_ms

if TYPE_CHECKING:
    from .actions import OwnerAction
    from .endpoint_state import OwnedEndpoint, OwnerState, SentAttempt


def record_reply(endpoint: OwnedEndpoint, now_ms: float, answering: Connection) -> None:
    """Record a reply as evidence that connections with an overdue reply are silent."""
    answering.last_reply_ms = now_ms
    answering.has_replied = True
    for conn in endpoint.connections.values():
        sent_attempt = conn.sent_attempt
        if (
            conn is answering
            or sent_attempt is None
            or sent_attempt.silence_evidence_ms is not None
        ):
            continue
        if now_ms >= overdue_at_ms(endpoint, sent_attempt):
            sent_attempt.silence_evidence_ms = now_ms


def check_connections(
    state: OwnerState, endpoint: OwnedEndpoint, now_ms: float, actions: list[OwnerAction]
) -> None:
    """Report attempts past their deadline, close silent connections and start probes."""
    has_unconfirmed = False
    for conn in list(endpoint.connections.values()):
        sent_attempt = conn.sent_attempt
        if sent_attempt is None or conn.state is not ConnectionState.OPEN:
            continue
        if not sent_attempt.answered and now_ms >= sent_attempt.deadline_ms:
            abandon_attempt(state, endpoint, now_ms, sent_attempt, 'deadline passed', actions)
        if is_silent(sent_attempt, now_ms):
            _close_silent(state, endpoint, now_ms, conn, sent_attempt, actions)
        elif (
            sent_attempt.slot_held_until_ms is not None
            and now_ms >= sent_attempt.slot_held_until_ms
        ):
            pool.close_connection(endpoint, conn, 'no reply to an abandoned attempt', actions)
        elif sent_attempt.silence_evidence_ms is None and now_ms >= overdue_at_ms(
            endpoint, sent_attempt
        ):
            has_unconfirmed = True
    _check_probes(endpoint, now_ms, actions)
    if has_unconfirmed and accepts_work(endpoint):
        _start_probe(state, endpoint, now_ms, actions)


def is_silent(sent_attempt: SentAttempt, now_ms: float) -> bool:
    """Return whether a reply is overdue and another connection has replied since."""
    return (
        sent_attempt.silence_evidence_ms is not None
        and now_ms >= sent_attempt.silence_evidence_ms + SILENT_GRACE_MS
    )


def send_probe(
    state: OwnerState,
    endpoint: OwnedEndpoint,
    now_ms: float,
    conn: Connection,
    actions: list[OwnerAction],
) -> None:
    """Send a request that occupies no slot on a new connection, to learn whether it works."""
    conn.probe_sent_ms = now_ms
    state.probe_count += 1
    identity = f'probe-{state.instance}-{state.probe_count}'
    address = endpoint.announcement.address
    actions.append(SendProbe(conn.connection_id, endpoint.name, address, identity))


def _close_silent(
    state: OwnerState,
    endpoint: OwnedEndpoint,
    now_ms: float,
    conn: Connection,
    sent_attempt: SentAttempt,
    actions: list[OwnerAction],
) -> None:
    detail = f'{conn.connection_id}: no reply for {now_ms - sent_attempt.sent_ms:.0f} ms'
    actions.append(LogDecision(DECISION_SILENT, endpoint.name, detail))
    report_unknown_outcome(state, endpoint, now_ms, sent_attempt, 'connection silent', actions)
    pool.close_connection(endpoint, conn, 'silent', actions)
    # Idle connections that last replied before this attempt was sent may be silent too; they
    # carry nothing.
    for other in list(endpoint.connections.values()):
        if is_idle(other) and other.last_reply_ms < sent_attempt.sent_ms:
            pool.close_connection(endpoint, other, 'may be silent too', actions)


def _check_probes(endpoint: OwnedEndpoint, now_ms: float, actions: list[OwnerAction]) -> None:
    for conn in endpoint.connections.values():
        if conn.probe_sent_ms is None or conn.state is not ConnectionState.OPEN:
            continue
        if now_ms >= conn.probe_sent_ms + overdue_ms(endpoint.query_times):
            pool.close_connection(endpoint, conn, 'no answer to the probe', actions)
            pool.record_open_failure(endpoint, now_ms)


def _start_probe(
    state: OwnerState, endpoint: OwnedEndpoint, now_ms: float, actions: list[OwnerAction]
) -> None:
    conns = list(endpoint.connections.values())
    if any(conn.is_probe and conn.state is not ConnectionState.CLOSING for conn in conns):
        return
    opening = [conn for conn in conns if conn.state is ConnectionState.OPENING]
    if opening:
        opening[-1].is_probe = True
        return
    if now_ms < endpoint.next_open_ms:
        return
    if len(conns) < pool.connection_bound(endpoint.announcement):
        conn = pool.open_connection(state, endpoint, now_ms, actions)
        conn.is_probe = True
        actions.append(LogDecision(DECISION_PROBE, endpoint.name, conn.connection_id))
        return
    if any(conn.state is ConnectionState.CLOSING for conn in conns):
        return
    idle = [conn for conn in conns if is_idle(conn)]
    closable = idle or [conn for conn in conns if _is_answered_and_overdue(endpoint, now_ms, conn)]
    if closable:
        oldest = min(closable, key=lambda conn: conn.last_reply_ms)
        pool.close_connection(endpoint, oldest, 'room for a probe', actions)


def _is_answered_and_overdue(endpoint: OwnedEndpoint, now_ms: float, conn: Connection) -> bool:
    sent_attempt = conn.sent_attempt
    return (
        sent_attempt is not None
        and sent_attempt.answered
        and now_ms >= overdue_at_ms(endpoint, sent_attempt)
    )
