"""Simulated adapter and endpoints of an owner, with checks of its invariants."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from pistachioloft_core.connection import owner
from pistachioloft_core.connection.actions import (
    CloseConnection,
    LogDecision,
    OpenConnection,
    ReportCrash,
    Result,
    SendCancel,
    SendProbe,
    SendSubRequest,
)
from pistachioloft_core.messages.endpoint import Announcement, SubReply
from pistachioloft_core.messages.peer import Attempt, EndpointRecord

if TYPE_CHECKING:
    from pistachioloft_core.messages.crash import CrashReport
    from pistachioloft_core.messages.peer import AttemptResult


def make_record(
    endpoint: str = 's1',
    incarnation: int = 1,
    sequence: int = 10,
    slots: int = 2,
    limit: int = 25,
    draining: bool = False,
    warm: bool = True,
    owner_name: str = 'e1',
) -> EndpointRecord:
    """Build the record of an endpoint; a warm one starts without a ramp."""
    location = ('127.0.0.1:1', 'svc', 'f1', ())
    announcement = Announcement(
        endpoint, incarnation, sequence, *location, slots, limit, draining=draining
    )
    return EndpointRecord(announcement, owner_name, 1, 0.0, latency_ms=5.0 if warm else 0.0)


def make_attempt(
    attempt_id: str,
    endpoint: str = 's1',
    time_left_ms: float = 1000.0,
    urgent: bool = False,
    kind: str = 'query',
) -> Attempt:
    """Build an attempt whose content digest is its id."""
    content = ('catalogue', 7, ('a',), {}, f'digest-{attempt_id}')
    return Attempt(attempt_id, 'e2', endpoint, kind, 'caller', *content, time_left_ms, urgent)


class Harness:
    """Carry out the owner's actions and record what it sent and reported."""

    def __init__(self, instance: str = 'e1') -> None:
        self.state = owner.OwnerState(instance)
        self.now_ms = 1000.0
        self.opening: dict[str, str] = {}
        self.open: dict[str, str] = {}
        self.closing: dict[str, str] = {}
        self.in_flight: dict[str, SendSubRequest] = {}
        self.probes: dict[str, SendProbe] = {}
        self.sent: list[SendSubRequest] = []
        self.cancels: list[SendCancel] = []
        self.results: dict[str, AttemptResult] = {}
        self.result_counts: Counter[str] = Counter()
        self.crashes: list[CrashReport] = []
        self.decisions: list[LogDecision] = []

    def call(self, function: Any, *arguments: Any) -> None:
        """Call a function of the owner at the current time and carry out its actions."""
        for action in function(self.state, self.now_ms, *arguments):
            self.carry_out(action)

    def carry_out(self, action: Any) -> None:
        if isinstance(action, OpenConnection):
            self.opening[action.connection_id] = action.endpoint
        elif isinstance(action, CloseConnection):
            self.opening.pop(action.connection_id, None)
            self.open.pop(action.connection_id, None)
            self.probes.pop(action.connection_id, None)
            self.closing[action.connection_id] = action.endpoint
        elif isinstance(action, SendSubRequest):
            assert action.connection_id in self.open, 'sent on a connection that is not open'
            assert action.connection_id not in self.in_flight, 'two sub-requests on a connection'
            self.in_flight[action.connection_id] = action
            self.sent.append(action)
        elif isinstance(action, SendProbe):
            self.probes[action.connection_id] = action
        elif isinstance(action, SendCancel):
            self.cancels.append(action)
        elif isinstance(action, Result):
            assert action.origin == 'e2'
            self.results[action.result.attempt_id] = action.result
            self.result_counts[action.result.attempt_id] += 1
            assert self.result_counts[action.result.attempt_id] == 1, 'a second result'
        elif isinstance(action, ReportCrash):
            self.crashes.append(action.report)
        elif isinstance(action, LogDecision):
            self.decisions.append(action)

    def connection_count(self, endpoint: str) -> int:
        """Count the connections that may still be open at the endpoint."""
        tables = (self.opening, self.open, self.closing)
        return sum(1 for table in tables for name in table.values() if name == endpoint)

    def in_flight_count(self, endpoint: str) -> int:
        return sum(1 for send in self.in_flight.values() if send.endpoint == endpoint)

    def advance(self, milliseconds: float) -> None:
        """Advance the time and fire the timers that are due."""
        end_ms = self.now_ms + milliseconds
        while self.state.armed_ms is not None and self.state.armed_ms <= end_ms:
            self.now_ms = max(self.now_ms, self.state.armed_ms)
            self.call(owner.on_timer)
        self.now_ms = end_ms

    def add(self, **fields: Any) -> None:
        """Add an endpoint to the owner and open all its connections."""
        self.call(owner.update_endpoint, make_record(**fields))
        self.open_all()

    def open_all(self) -> None:
        while self.opening:
            self.opened(next(iter(self.opening)))

    def opened(self, connection_id: str) -> None:
        self.open[connection_id] = self.opening.pop(connection_id)
        self.call(owner.on_connection_opened, connection_id)

    def closed(self, connection_id: str, detail: str = 'reset') -> None:
        """Report that a connection has ended for any reason."""
        for table in (self.opening, self.open, self.closing, self.in_flight, self.probes):
            table.pop(connection_id, None)
        self.call(owner.on_connection_closed, connection_id, detail)

    def confirm_closes(self) -> None:
        for connection_id in list(self.closing):
            self.closed(connection_id, 'closed on request')

    def answer_probes(self) -> None:
        for connection_id in list(self.probes):
            del self.probes[connection_id]
            self.call(owner.on_probe_reply, connection_id)

    def submit(self, attempt_id: str, **fields: Any) -> None:
        self.call(owner.submit, make_attempt(attempt_id, **fields))

    def reply(self, connection_id: str, status: str = 'ok', **fields: Any) -> None:
        """Reply to the sub-request on a connection."""
        send = self.in_flight.pop(connection_id)
        values = {'identity': send.request.identity, 'endpoint': send.endpoint, 'incarnation': 1}
        values |= {'collection': 'catalogue', 'version': 7, 'status': status, **fields}
        self.call(owner.on_reply, connection_id, SubReply(**values))

    def connection_of(self, attempt_id: str) -> str:
        """Return the connection that carries an attempt."""
        for connection_id, send in self.in_flight.items():
            if send.attempt.attempt_id == attempt_id:
                return connection_id
        raise LookupError(attempt_id)

    def serve(self, count: int, service_ms: float = 5.0, prefix: str = 'warm') -> None:
        """Send a number of queries and reply to each before the next."""
        for number in range(count):
            self.submit(f'{prefix}-{number}')
            self.advance(service_ms)
            self.reply(self.connection_of(f'{prefix}-{number}'))
