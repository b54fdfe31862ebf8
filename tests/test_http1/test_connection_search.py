"""Search orders of events on connections to an endpoint for a reply to another attempt."""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.connection.endpoint_load import EndpointLoad
from pistachioloft_core.messages.fleet import ENDPOINT_READY, AnnouncedEndpoint
from pistachioloft_core.request.attempts import Attempt, AttemptEnd, AttemptOutcome
from pistachioloft_daemon.endpoint_pool import EndpointPool, OutgoingAttempt, PoolHooks
from pistachioloft_daemon.http1.receive_budget import ReceiveBudget
from pistachioloft_daemon.platform.traffic import decode_reply
from tests.test_http1.pool_harness import ROUTE

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioloft_daemon.http1.messages import Response

CONNECTION_LIMIT = 2
REQUEST = re.compile(rb'GET /(\d+) HTTP/1.1\r\nX-Request-Id: (\w+)\r\n\r\n')
# Parts of a reply are given in thousandths.
PER_MILLE = 1_000


@dataclass(frozen=True, slots=True)
class Send:
    """Send an attempt of the request with this id."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Answer:
    """Let the endpoint answer on a connection, and answer a second time up to the cut."""

    connection: int
    status: int
    second_per_mille: int
    is_late: bool


@dataclass(frozen=True, slots=True)
class Receive:
    """Receive a part of the bytes that are on their way."""

    connection: int
    per_mille: int


@dataclass(frozen=True, slots=True)
class Close:
    """Let the endpoint close a connection, with a reset or after all bytes."""

    connection: int
    is_reset: bool


@dataclass(frozen=True, slots=True)
class Abandon:
    """Withdraw an attempt in flight."""

    number: int


CONNECTIONS = st.integers(0, CONNECTION_LIMIT - 1)
CUTS = st.one_of(st.just(0), st.integers(1, PER_MILLE))
EVENT = st.one_of(
    st.builds(Send, st.sampled_from(('a', 'b', 'c'))),
    st.builds(Answer, CONNECTIONS, st.sampled_from((200, 500, 503)), CUTS, st.booleans()),
    st.builds(Receive, CONNECTIONS, st.one_of(st.just(PER_MILLE), st.integers(1, PER_MILLE))),
    st.builds(Close, CONNECTIONS, st.booleans()),
    st.builds(Abandon, st.integers(0, 5)),
)
# An exchange, whole or in part, since few random orders contain one.
EXCHANGE = st.tuples(
    st.builds(Send, st.sampled_from(('a', 'b'))),
    st.builds(Answer, st.just(0), st.sampled_from((200, 500, 503)), CUTS, st.booleans()),
    st.builds(Receive, st.just(0), st.one_of(st.just(PER_MILLE), st.integers(1, PER_MILLE))),
)
EVENTS = st.lists(st.one_of(EXCHANGE, st.tuples(EVENT)), max_size=16).map(
    lambda parts: [event for part in parts for event in part]
)


class SimulatedConnection(asyncio.Transport):
    """Hold one connection: the request that is unanswered, and the bytes on their way back."""

    def __init__(self, protocol: Any) -> None:
        super().__init__()
        self.protocol = protocol
        self.waiting: tuple[bytes, bytes] | None = None
        self.on_the_way = b''
        self.late = b''
        self.is_closed = False

    def write(self, data: Any) -> None:
        """Receive a request; a sound client sends no second one before the reply."""
        match = REQUEST.fullmatch(bytes(data))
        assert match is not None
        self.waiting = (match.group(1), match.group(2))

    def abort(self) -> None:
        """Close at the client's side."""
        self.is_closed = True

    def answer(self, event: Answer) -> None:
        """Answer the waiting request, after a late second answer and before the next one."""
        if self.waiting is None:
            return
        number, request_id = self.waiting
        self.waiting = None
        reply = encode_reply(number, request_id, event.status)
        second = reply[: len(reply) * event.second_per_mille // PER_MILLE]
        self.on_the_way += self.late + reply
        self.late = second if event.is_late else b''
        if not event.is_late:
            self.on_the_way += second

    def receive(self, per_mille: int) -> None:
        """Pass on the first part of the bytes on their way."""
        size_bytes = -(-len(self.on_the_way) * per_mille // PER_MILLE)
        part, self.on_the_way = self.on_the_way[:size_bytes], self.on_the_way[size_bytes:]
        if part and not self.is_closed:
            self.protocol.data_received(part)

    def end(self, is_reset: bool) -> None:
        """Close at the endpoint's side."""
        if not is_reset:
            self.receive(PER_MILLE)
        if not self.is_closed:
            self.is_closed = True
            self.protocol.connection_lost(ConnectionResetError() if is_reset else None)


def encode_reply(number: bytes, request_id: bytes, status: int) -> bytes:
    """Encode a reply whose body and receipt name the attempt."""
    mark = b'X-Not-Executed: 1' if status == 503 else b'X-Response-Stamp: stamp-' + number
    body = b'%b:%d' % (number, status)
    return (
        b'HTTP/1.1 %d Done\r\nX-Server-Load: 1,0,2\r\nX-Request-Id: %b\r\n%b\r\nDate: today\r\n'
        b'Content-Length: %d\r\n\r\n%b' % (status, request_id, mark, len(body), body)
    )


class Simulation:
    """Hold a pool on simulated connections, and check how each attempt ends."""

    def __init__(self) -> None:
        record = AnnouncedEndpoint('e', 's', '127.0.0.1:1', 'a', 2, ENDPOINT_READY, 1, 1)
        self.load = EndpointLoad(record, 0.0)
        self.attempts: list[Attempt] = []
        self.request_ids: dict[str, str] = {}
        self.ended: set[str] = set()
        self.connections: list[SimulatedConnection] = []
        hooks = PoolHooks(self.decode, self.on_end, lambda _: CONNECTION_LIMIT, lambda _: None)
        self.pool = EndpointPool(hooks, ReceiveBudget(1_000_000))

    async def connect(self, factory: Callable[[], Any], _host: str, _port: int) -> None:
        """Open a simulated connection in place of the event loop's method."""
        connection = SimulatedConnection(factory())
        self.connections.append(connection)
        connection.protocol.connection_made(connection)

    def decode(self, attempt: Attempt, response: Response) -> AttemptEnd | None:
        end = decode_reply(self.request_ids[attempt.attempt_id], response)
        if end is not None and end.outcome is not AttemptOutcome.LOST:
            expected = f'{attempt.attempt_id}:{response.status}'.encode()
            assert response.body == expected, (attempt.attempt_id, response)
            receipts = [value for key, value in response.headers if key == b'X-Response-Stamp']
            assert receipts in ([], [b'stamp-' + attempt.attempt_id.encode()])
        return end

    def on_end(self, attempt: Attempt, _end: AttemptEnd) -> None:
        assert attempt.attempt_id not in self.ended
        self.ended.add(attempt.attempt_id)

    def play(self, event: object) -> None:
        open_connections = [each for each in self.connections if not each.is_closed]
        match event:
            case Send(request_id):
                attempt_id = str(len(self.attempts))
                attempt = Attempt(attempt_id, ROUTE, 's', self.load, 0.0, 50.0, False)
                self.attempts.append(attempt)
                self.request_ids[attempt_id] = request_id
                data = f'GET /{attempt_id} HTTP/1.1\r\nX-Request-Id: {request_id}\r\n\r\n'
                self.pool.send(OutgoingAttempt(attempt, request_id, data.encode()))
            case Abandon(number):
                in_flight = [each for each in self.attempts if each.attempt_id not in self.ended]
                if number < len(in_flight) and self.pool.abandon(in_flight[number]):
                    self.ended.add(in_flight[number].attempt_id)
            case Answer(number):
                waiting = [each for each in open_connections if each.waiting is not None]
                if waiting:
                    waiting[number % len(waiting)].answer(event)
            case Receive(number, per_mille):
                sending = [each for each in open_connections if each.on_the_way]
                if sending:
                    sending[number % len(sending)].receive(per_mille)
            case Close(number, is_reset) if number < len(open_connections):
                open_connections[number].end(is_reset)
        assert self.pool.connection_count() <= CONNECTION_LIMIT

    def finish(self) -> None:
        """Close all connections until no attempt is left, each of which must have ended."""
        for connection in self.connections:
            connection.end(is_reset=True)


@settings(max_examples=600, deadline=None, derandomize=True)
@given(EVENTS)
def test_each_attempt_ends_with_its_own_reply_or_none(events: list[object]) -> None:
    """Guard against second replies that answer other attempts (MIXED, TWICE, REFUSED)."""

    async def main() -> None:
        simulation = Simulation()
        asyncio.get_running_loop().create_connection = simulation.connect  # type: ignore
        for event in events:
            simulation.play(event)
            for _ in range(3):
                await asyncio.sleep(0)
        while len(simulation.ended) < len(simulation.attempts):
            simulation.finish()
            for _ in range(3):
                await asyncio.sleep(0)
        simulation.pool.stop()

    asyncio.run(main())
