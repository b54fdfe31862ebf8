"""Detect crashes of endpoints and report the attempts that were in flight."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages.crash import CrashReport
from . import pool
from .actions import DECISION_CRASH, LogDecision, ReportCrash
from .endpoint_state import (
    CRASH_EVIDENCE_WAIT_MS,
    RESET_RETENTION_MS,
    ConnectionState,
    InterruptedAttempt,
    in_flight_count,
)
from .results import report_unknown_outcome

if TYPE_CHECKING:
    from .actions import OwnerAction
    from .endpoint_state import Connection, OwnedEndpoint, OwnerState, SentAttempt


def on_reset(
    state: OwnerState,
    endpoint: OwnedEndpoint,
    now_ms: float,
    conn: Connection,
    detail: str,
    actions: list[OwnerAction],
) -> None:
    """Hold an attempt whose connection was reset until a crash is confirmed or ruled out."""
    sent_attempt = conn.sent_attempt
    if sent_attempt is None:
        return
    if conn.incarnation < endpoint.announcement.incarnation:
        _report_attempts(state, endpoint, now_ms, [sent_attempt], conn.incarnation, detail, actions)
        return
    if not endpoint.interrupted:
        # Open a connection at once: a refusal distinguishes a crash from a lost connection.
        endpoint.next_open_ms = min(endpoint.next_open_ms, now_ms)
    endpoint.interrupted.append(InterruptedAttempt(sent_attempt, now_ms, state.connection_count))


def on_reopened(
    state: OwnerState,
    endpoint: OwnedEndpoint,
    now_ms: float,
    conn: Connection,
    actions: list[OwnerAction],
) -> None:
    """Report held attempts once a connection that was started after their reset is open."""
    for interrupted in endpoint.interrupted:
        if conn.number > interrupted.last_connection_number:
            interrupted.reopened = True
            if not interrupted.sent_attempt.answered:
                report_unknown_outcome(
                    state, endpoint, now_ms, interrupted.sent_attempt, 'connection lost', actions
                )


def record_reply(
    endpoint: OwnedEndpoint, conn: Connection, sent_attempt: SentAttempt, incarnation: int
) -> None:
    """Drop resets that did not end the process, as its reply to a later attempt shows."""
    if incarnation == endpoint.announcement.incarnation:
        endpoint.interrupted = [
            interrupted
            for interrupted in endpoint.interrupted
            if not interrupted.sent_attempt.answered
            or (
                conn.number <= interrupted.last_connection_number
                and sent_attempt.sent_ms <= interrupted.reset_ms
            )
        ]


def on_refused(
    state: OwnerState, endpoint: OwnedEndpoint, now_ms: float, actions: list[OwnerAction]
) -> None:
    """Treat a reset that is followed by a refused connection as a crash."""
    if any(not interrupted.reopened for interrupted in endpoint.interrupted):
        _report_crash(state, endpoint, now_ms, 'connection reset, then refused', False, actions)


def on_new_incarnation(
    state: OwnerState, endpoint: OwnedEndpoint, now_ms: float, actions: list[OwnerAction]
) -> None:
    """Treat a reset that is followed by a new incarnation as a crash."""
    if endpoint.interrupted:
        _report_crash(
            state, endpoint, now_ms, 'connection reset, then a new incarnation', True, actions
        )


def expire_interrupted(
    state: OwnerState, endpoint: OwnedEndpoint, now_ms: float, actions: list[OwnerAction]
) -> None:
    """Report held attempts whose wait is over and drop old resets."""
    for interrupted in endpoint.interrupted:
        wait_end_ms = min(
            interrupted.reset_ms + CRASH_EVIDENCE_WAIT_MS, interrupted.sent_attempt.deadline_ms
        )
        if not interrupted.sent_attempt.answered and now_ms >= wait_end_ms:
            report_unknown_outcome(
                state, endpoint, now_ms, interrupted.sent_attempt, 'connection lost', actions
            )
    endpoint.interrupted = [
        interrupted
        for interrupted in endpoint.interrupted
        if not interrupted.sent_attempt.answered
        or now_ms < interrupted.reset_ms + RESET_RETENTION_MS
    ]


def _report_crash(
    state: OwnerState,
    endpoint: OwnedEndpoint,
    now_ms: float,
    detail: str,
    include_reopened: bool,
    actions: list[OwnerAction],
) -> None:
    involved = [
        interrupted
        for interrupted in endpoint.interrupted
        if include_reopened or not interrupted.reopened
    ]
    sent_attempts = [interrupted.sent_attempt for interrupted in involved]
    last_connection_number = max(interrupted.last_connection_number for interrupted in involved)
    for conn in list(endpoint.connections.values()):
        # A connection that was started after the reset belongs to the next process.
        if conn.number > last_connection_number or conn.state is ConnectionState.OPENING:
            continue
        if conn.sent_attempt is not None and conn.sent_attempt not in sent_attempts:
            sent_attempts.append(conn.sent_attempt)
        pool.close_connection(endpoint, conn, 'endpoint crashed', actions)
    endpoint.interrupted = [
        interrupted for interrupted in endpoint.interrupted if interrupted not in involved
    ]
    incarnation = endpoint.announcement.incarnation
    _report_attempts(state, endpoint, now_ms, sent_attempts, incarnation, detail, actions)


def _report_attempts(
    state: OwnerState,
    endpoint: OwnedEndpoint,
    now_ms: float,
    sent_attempts: list[SentAttempt],
    incarnation: int,
    detail: str,
    actions: list[OwnerAction],
) -> None:
    reported_keys = set()
    for sent_attempt in sent_attempts:
        attempt = sent_attempt.queued.attempt
        key = (attempt.caller, attempt.content_digest)
        if key not in reported_keys:
            reported_keys.add(key)
            domain = endpoint.announcement.failure_domain
            report = CrashReport(*key, endpoint.name, incarnation, 0.0, domain)
            actions.append(ReportCrash(report))
        if not sent_attempt.answered:
            report_unknown_outcome(
                state, endpoint, now_ms, sent_attempt, detail, actions, crashed=True
            )
    counts = f'{len(sent_attempts)} attempts in flight, {in_flight_count(endpoint)} slots held'
    actions.append(LogDecision(DECISION_CRASH, endpoint.name, f'{detail}; {counts}'))
