"""Crashes of endpoints: which attempts were in flight when the process ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages.crash import CrashReport
from . import pool
from .actions import DECISION_CRASH, LogDecision, ReportCrash
from .endpoint_state import (
    CRASH_DECISION_MS,
    CRASH_WINDOW_MS,
    ConnectionState,
    LostFlight,
    in_flight_count,
)
from .results import fail_flight

if TYPE_CHECKING:
    from .actions import OwnerAction
    from .endpoint_state import Connection, Flight, OwnedEndpoint, OwnerState


def note_reset(
    state: OwnerState,
    endpoint: OwnedEndpoint,
    now_ms: float,
    conn: Connection,
    detail: str,
    actions: list[OwnerAction],
) -> None:
    """Hold an attempt whose connection was reset until it is known whether the endpoint crashed."""
    flight = conn.flight
    if flight is None:
        return
    if conn.incarnation < endpoint.announcement.incarnation:
        _report(state, endpoint, now_ms, [flight], conn.incarnation, detail, actions)
        return
    if not endpoint.lost:
        # The refusal of a new connection is what tells a crash from a lost connection.
        endpoint.next_open_ms = min(endpoint.next_open_ms, now_ms)
    endpoint.lost.append(LostFlight(flight, now_ms, state.next_connection))


def note_reopened(
    state: OwnerState,
    endpoint: OwnedEndpoint,
    now_ms: float,
    conn: Connection,
    actions: list[OwnerAction],
) -> None:
    """Release held attempts once a connection that was begun after the reset is open."""
    for lost in endpoint.lost:
        if conn.number > lost.last_number:
            lost.reopened = True
            if not lost.flight.answered:
                fail_flight(state, endpoint, now_ms, lost.flight, 'connection lost', actions)


def record_reply(
    endpoint: OwnedEndpoint, conn: Connection, flight: Flight, incarnation: int
) -> None:
    """Forget resets that the same process survived, as its reply to later work shows."""
    if incarnation == endpoint.announcement.incarnation:
        endpoint.lost = [
            lost
            for lost in endpoint.lost
            if not lost.flight.answered
            or (conn.number <= lost.last_number and flight.sent_ms <= lost.reset_ms)
        ]


def note_refused(
    state: OwnerState, endpoint: OwnedEndpoint, now_ms: float, actions: list[OwnerAction]
) -> None:
    """Judge a reset that is followed by a refused connection as a crash."""
    if any(not lost.reopened for lost in endpoint.lost):
        _declare(state, endpoint, now_ms, 'connection reset, then refused', False, actions)


def note_new_incarnation(
    state: OwnerState, endpoint: OwnedEndpoint, now_ms: float, actions: list[OwnerAction]
) -> None:
    """Judge a reset that is followed by a new incarnation as a crash."""
    if endpoint.lost:
        _declare(state, endpoint, now_ms, 'connection reset, then a new incarnation', True, actions)


def settle_lost(
    state: OwnerState, endpoint: OwnedEndpoint, now_ms: float, actions: list[OwnerAction]
) -> None:
    """Answer held attempts whose time is over and forget old resets."""
    for lost in endpoint.lost:
        decide_ms = min(lost.reset_ms + CRASH_DECISION_MS, lost.flight.deadline_ms)
        if not lost.flight.answered and now_ms >= decide_ms:
            fail_flight(state, endpoint, now_ms, lost.flight, 'connection lost', actions)
    endpoint.lost = [
        lost
        for lost in endpoint.lost
        if not lost.flight.answered or now_ms < lost.reset_ms + CRASH_WINDOW_MS
    ]


def _declare(
    state: OwnerState,
    endpoint: OwnedEndpoint,
    now_ms: float,
    detail: str,
    with_reopened: bool,
    actions: list[OwnerAction],
) -> None:
    judged = [lost for lost in endpoint.lost if with_reopened or not lost.reopened]
    flights = [lost.flight for lost in judged]
    last_number = max(lost.last_number for lost in judged)
    for conn in list(endpoint.connections.values()):
        # A connection that was begun after the reset belongs to the next process.
        if conn.number > last_number or conn.state is ConnectionState.OPENING:
            continue
        if conn.flight is not None and conn.flight not in flights:
            flights.append(conn.flight)
        pool.close_connection(endpoint, conn, 'endpoint crashed', actions)
    endpoint.lost = [lost for lost in endpoint.lost if lost not in judged]
    incarnation = endpoint.announcement.incarnation
    _report(state, endpoint, now_ms, flights, incarnation, detail, actions)


def _report(
    state: OwnerState,
    endpoint: OwnedEndpoint,
    now_ms: float,
    flights: list[Flight],
    incarnation: int,
    detail: str,
    actions: list[OwnerAction],
) -> None:
    reported = set()
    for flight in flights:
        attempt = flight.queued.attempt
        key = (attempt.caller, attempt.content_digest)
        if key not in reported:
            reported.add(key)
            domain = endpoint.announcement.failure_domain
            report = CrashReport(*key, endpoint.name, incarnation, 0.0, domain)
            actions.append(ReportCrash(report))
        if not flight.answered:
            fail_flight(state, endpoint, now_ms, flight, detail, actions, crashed=True)
    count = f'{len(flights)} attempts in flight, {in_flight_count(endpoint)} slots held'
    actions.append(LogDecision(DECISION_CRASH, endpoint.name, f'{detail}; {count}'))
