"""Guard against requests that the server changes, loses or reads without limits."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest

from pistachioloft_daemon.http1.messages import Request, Response, end_to_end_headers
from pistachioloft_daemon.http1.receive_budget import (
    HEADER_OBJECT_BYTES,
    REQUEST_OBJECT_BYTES,
    ReceiveBudget,
)
from pistachioloft_daemon.http1.server import Cancel, HttpServer, Respond, ServerLimits
from pistachioloft_daemon.http1.server_connection import PARSE_STEP_BYTES, PIPELINE_LIMIT_COUNT

LIMITS = ServerLimits(
    header_limit_bytes=1_000,
    body_limit_bytes=2_000,
    header_timeout_s=0.3,
    idle_timeout_s=0.5,
    body_timeout_s=0.6,
    answer_timeout_s=0.5,
)


class Handler:
    """Store the requests and answer them immediately, or let the test answer them."""

    def __init__(self, immediate: bool = True) -> None:
        self.immediate = immediate
        self.requests: list[Request] = []
        self.respond_callbacks: list[Respond] = []
        self.cancelled = 0

    def __call__(self, request: Request, respond: Respond) -> Cancel | None:
        self.requests.append(request)
        self.respond_callbacks.append(respond)
        if self.immediate:
            respond(Response(200, ((b'X-A', b'b'),), b'hello'))
        return self.cancel

    def cancel(self) -> None:
        self.cancelled += 1


Scenario = Callable[[HttpServer, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def run(handler: Handler, scenario: Scenario, budget_bytes: int = 1_000_000) -> None:
    async def main() -> None:
        probe = await asyncio.start_server(lambda _r, _w: None, '127.0.0.1', 0)
        port = probe.sockets[0].getsockname()[1]
        probe.close()
        await probe.wait_closed()
        server = HttpServer(f'127.0.0.1:{port}', handler, LIMITS, ReceiveBudget(budget_bytes))
        await server.start()
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        try:
            await asyncio.wait_for(scenario(server, reader, writer), 10.0)
        finally:
            writer.close()
            server.stop()

    asyncio.run(main())


async def read_reply(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    head = await reader.readuntil(b'\r\n\r\n')
    length = 0
    for line in head.split(b'\r\n'):
        if line.lower().startswith(b'content-length:'):
            length = int(line.split(b':')[1])
    return head, await reader.readexactly(length)


def test_request_is_received_unchanged() -> None:
    """Guard against a path, query string, header or body that is decoded or normalized."""
    handler = Handler()
    target = b'/a%2Fb/../%c3%a4?x=1&x=%20+#'

    async def scenario(
        _server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(
            b'POST ' + target + b' HTTP/1.1\r\nHost: H\r\nX-Two: 1\r\nx-two: 2 \r\n'
            b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\n\x00\xff\r\n0\r\n\r\n'
        )
        head, body = await read_reply(reader)
        assert head.startswith(b'HTTP/1.1 200 OK\r\n')
        assert body == b'hello'

    run(handler, scenario)
    (request,) = handler.requests
    assert request.method == b'POST'
    assert request.target == target
    assert request.body == b'abc\x00\xff'
    assert end_to_end_headers(request.headers) == (
        (b'Host', b'H'),
        (b'X-Two', b'1'),
        (b'x-two', b'2'),
    )


def test_pipelined_requests_are_answered_in_order() -> None:
    """Guard against a reply that answers another request of the connection."""
    handler = Handler(immediate=False)

    async def scenario(
        _server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n')
        await asyncio.sleep(0.05)
        assert len(handler.requests) == 1
        handler.respond_callbacks[0](Response(200, (), b'one'))
        assert (await read_reply(reader))[1] == b'one'
        await asyncio.sleep(0.05)
        handler.respond_callbacks[1](Response(200, (), b'two'))
        handler.respond_callbacks[0](Response(200, (), b'again'))
        assert (await read_reply(reader))[1] == b'two'

    run(handler, scenario)


@pytest.mark.parametrize('piece_bytes', [1, 7, 10_000])
def test_offer_of_another_protocol_is_ignored(piece_bytes: int) -> None:
    """Guard against a caller whose next request is refused since it offered another protocol."""
    handler = Handler()
    offer = b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n'
    sent = (
        b'GET /first HTTP/1.1\r\nHost: H\r\n' + offer + b'\r\n'
        b'POST /second HTTP/1.1\r\nHost: H\r\n' + offer + b'Content-Length: 3\r\n\r\nabc'
        b'POST /third HTTP/1.1\r\nHost: H\r\n' + offer + b'Transfer-Encoding: chunked\r\n\r\n'
        b'2\r\nde\r\n0\r\n\r\n'
        b'POST /fourth HTTP/1.1\r\nHost: H\r\n' + offer + b'Content-Length: 0\r\n\r\n'
        b'GET /fifth HTTP/1.1\r\nHost: H\r\n\r\n'
    )

    async def scenario(
        _server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for start in range(0, len(sent), piece_bytes):
            writer.write(sent[start : start + piece_bytes])
            await writer.drain()
            await asyncio.sleep(0)
        for _ in range(5):
            head, _ = await read_reply(reader)
            assert head.startswith(b'HTTP/1.1 200 OK\r\n')
        received = [(request.target, request.body) for request in handler.requests]
        assert received == [
            (b'/first', b''),
            (b'/second', b'abc'),
            (b'/third', b'de'),
            (b'/fourth', b''),
            (b'/fifth', b''),
        ]
        assert all((b'Upgrade', b'h2c') in item.headers for item in handler.requests[:4])

    run(handler, scenario)


def test_tunnel_is_refused() -> None:
    """Guard against bytes of a tunnel that are read as requests."""

    async def scenario(
        _server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'CONNECT h:1 HTTP/1.1\r\nHost: H\r\n\r\nGET / HTTP/1.1\r\n\r\n')
        replies = await reader.read()
        assert b'HTTP/1.1 400' in replies

    run(Handler(), scenario)


def test_disconnected_caller_cancels_its_request() -> None:
    """Guard against work for a caller that has disconnected."""
    handler = Handler(immediate=False)

    async def scenario(
        _server: HttpServer, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'GET /1 HTTP/1.1\r\nHost: h\r\n\r\n')
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(0.1)

    run(handler, scenario)
    assert handler.cancelled == 1


def test_closing_server_answers_and_closes_the_connection() -> None:
    """Guard against a stop that interrupts a request or leaves the connection open."""
    handler = Handler()

    async def scenario(
        server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        server.closing = True
        writer.write(b'GET /1 HTTP/1.1\r\nHost: h\r\n\r\n')
        head, body = await read_reply(reader)
        assert b'Connection: close\r\n' in head
        assert body == b'hello'
        assert await reader.read() == b''

    run(handler, scenario)


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'GET / HTTP/1.1\r\nHost: h\r\nX: ' + b'a' * 1_100 + b'\r\n\r\n', b'431'),
        (b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2100\r\n\r\n' + b'a' * 2_100, b'413'),
        (b'nonsense\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\nHost: h\r\nX: ', b'408'),
    ],
)
def test_request_beyond_the_limits_is_refused(sent: bytes, status: bytes) -> None:
    """Guard against a caller that exhausts the memory or the time of the process."""
    handler = Handler()

    async def scenario(
        _server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(sent)
        assert (await reader.readline()).split()[1] == status
        await reader.read()

    run(handler, scenario)
    assert handler.requests == []


def test_idle_connection_is_closed() -> None:
    """Guard against connections that stay open for callers that have disappeared."""

    async def scenario(
        _server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'GET /1 HTTP/1.1\r\nHost: h\r\n\r\n')
        await read_reply(reader)
        assert await reader.read() == b''

    run(Handler(), scenario)


def test_caller_that_reads_no_answers_is_disconnected() -> None:
    """Guard against answers that accumulate for a caller that sends but does not read."""
    handler = Handler(immediate=False)
    answer = Response(200, (), b'x' * 100_000)
    transports: list[asyncio.WriteTransport] = []

    async def scenario(
        server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n' * 8_000)
        await asyncio.sleep(0.05)
        (connection,) = server.connections
        assert connection.transport is not None
        transports.append(connection.transport)
        answered = 0
        while server.connections:
            while answered < len(handler.respond_callbacks):
                handler.respond_callbacks[answered](answer)
                answered += 1
                # One answer beyond the high-water mark; the write buffer grows once the system's
                # own buffers are full.
                assert connection.transport.get_write_buffer_size() < 300_000
            await asyncio.sleep(0.01)
        assert answered < 200

    run(handler, scenario)


@pytest.mark.parametrize('piece', [b'x', b''])
def test_slow_body_is_refused_after_its_timeout(piece: bytes) -> None:
    """Guard against a body that arrives byte by byte, or stops, and holds its connection."""
    handler = Handler()

    async def scenario(
        _server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n')
        start_s = asyncio.get_running_loop().time()
        reply = asyncio.ensure_future(read_reply(reader))
        while not reply.done():
            writer.write(piece)
            await asyncio.sleep(0.05)
        assert (await reply)[0].startswith(b'HTTP/1.1 408 ')
        assert asyncio.get_running_loop().time() - start_s < 5.0

    run(handler, scenario)
    assert handler.requests == []


@pytest.mark.parametrize(
    'piece', [b'1;' + b'x' * 1_000, b'0\r\n' + b'A: b\r\n' * 500, b'0' * 4_000]
)
def test_excess_chunk_framing_is_refused(piece: bytes) -> None:
    """Guard against chunk sizes, extensions or trailers that never end."""
    handler = Handler()

    async def scenario(
        _server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n')
        await asyncio.sleep(0.02)
        writer.write(piece)
        await asyncio.sleep(0.02)
        writer.write(b'x' * 1_000)
        assert (await read_reply(reader))[0].startswith(b'HTTP/1.1 4')

    run(handler, scenario)
    assert handler.requests == []


def test_trailers_are_not_read_as_request_headers() -> None:
    """Guard against a trailer that is forwarded as a header of the request."""
    handler = Handler()

    async def scenario(
        _server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(
            b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'1\r\nx\r\n0\r\nX-Late: 1\r\n\r\n'
        )
        await read_reply(reader)

    run(handler, scenario)
    assert b'X-Late' not in dict(handler.requests[0].headers)


def test_bodies_of_all_connections_share_one_limit() -> None:
    """Guard against a process that runs out of memory when many callers send large bodies."""
    handler = Handler()
    head = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1500\r\n\r\n'
    # Room for two of the four large bodies, and for the two headers of each of the five requests.
    budget_bytes = 3_000 + 10 * HEADER_OBJECT_BYTES

    async def scenario(
        server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = server.address.rsplit(':', 1)
        others = [await asyncio.open_connection(host, int(port)) for _ in range(4)]
        writer.write(head.replace(b'1500', b'150') + b'x' * 100)
        for _, other in others:
            other.write(head + b'x' * 1_400)
        await asyncio.sleep(0.1)
        assert server.budget.total_bytes <= budget_bytes
        writer.write(b'x' * 50)
        assert (await read_reply(reader))[0].startswith(b'HTTP/1.1 200 ')
        statuses = []
        for other_reader, other in others:
            other.write(b'x' * 100)
            statuses.append((await read_reply(other_reader))[0].split(b' ')[1])
            other.close()
        assert sorted(statuses) == [b'200', b'200', b'503', b'503']

    run(handler, scenario, budget_bytes)


@pytest.mark.parametrize(
    ('sent', 'held_bytes'),
    [
        (b'A: b\r\n' * 100, 100 * HEADER_OBJECT_BYTES),
        (b'Transfer-Encoding: chunked\r\n\r\n' + b'1\r\nx\r\n' * 500, 500),
    ],
)
def test_unfinished_requests_count_what_they_hold(sent: bytes, held_bytes: int) -> None:
    """Guard against short headers that take many times the bytes that were counted."""

    async def scenario(
        server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'POST / HTTP/1.1\r\nHost: h\r\n' + sent)
        await asyncio.sleep(0.1)
        assert server.budget.total_bytes >= held_bytes
        writer.close()
        await asyncio.sleep(0.1)
        assert server.budget.total_bytes == 0

    run(Handler(), scenario)


def test_idle_connection_keeps_nothing_of_its_request() -> None:
    """Guard against memory that idle connections hold and nothing counts."""

    async def scenario(
        server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1500\r\n\r\n' + b'x' * 1_500)
        await read_reply(reader)
        (connection,) = server.connections
        assert not connection._body
        assert not connection._headers
        assert server.budget.total_bytes == 0

    run(Handler(), scenario)


def test_unread_answers_count_and_are_dropped() -> None:
    """Guard against answers that wait for clients without a limit on all of them."""
    handler = Handler(immediate=False)

    async def scenario(
        server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        await asyncio.sleep(0.1)
        (connection,) = server.connections
        handler.respond_callbacks[0](Response(200, (), b'x' * 16_000_000))
        assert connection not in server.connections
        assert server.budget.total_bytes == 0

    run(handler, scenario, budget_bytes=1_000_000)


def test_silent_connections_make_room_for_new_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a crowd that takes all connections and sends nothing."""
    monkeypatch.setattr('pistachioloft_daemon.http1.server_connection.SILENT_S', 0.05)

    async def scenario(
        server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = server.address.rsplit(':', 1)
        server.limits = replace(server.limits, connection_limit_count=8)
        # This one is known, and is the last of the silent ones to go.
        writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        await read_reply(reader)
        crowd = [await asyncio.open_connection(host, int(port)) for _ in range(20)]
        await asyncio.sleep(0.3)
        for _ in range(5):
            other_reader, other = await asyncio.open_connection(host, int(port))
            other.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
            assert (await read_reply(other_reader))[0].startswith(b'HTTP/1.1 200 ')
            assert len(server.connections) <= 8
        writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        assert (await read_reply(reader))[0].startswith(b'HTTP/1.1 200 ')
        for _, member in crowd:
            member.close()

    run(Handler(), scenario)


def test_short_requests_at_once_are_parsed_as_they_are_answered() -> None:
    """Guard against the objects of short requests, which take many times their bytes."""
    handler = Handler(immediate=False)
    request = b'GET / HTTP/1.1\r\n\r\n'
    count = 10_000

    async def scenario(
        server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(request * count)
        await asyncio.sleep(0.1)
        (connection,) = server.connections
        steps_bytes = PARSE_STEP_BYTES // len(request) * REQUEST_OBJECT_BYTES * 2
        assert len(connection._queued) <= PIPELINE_LIMIT_COUNT + PARSE_STEP_BYTES // len(request)
        assert len(request) < server.budget.total_bytes < count * len(request) + steps_bytes
        handler.immediate = True
        handler.respond_callbacks[0](Response(200, (), b'hello'))
        for _ in range(count):
            assert (await read_reply(reader))[1] == b'hello'
        assert server.budget.total_bytes == 0

    run(handler, scenario, 10_000_000)
    assert len(handler.requests) == count


def test_request_behind_slow_ones_has_its_whole_time() -> None:
    """Guard against a timeout of a request that the server itself does not read yet."""
    handler = Handler(immediate=False)
    last = b'POST /last HTTP/1.1\r\nContent-Length: 1500\r\n\r\n' + b'x' * 1_500

    async def scenario(
        server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The second step of the parser ends within the last request.
        before = b'GET / HTTP/1.1\r\n\r\n' * ((2 * PARSE_STEP_BYTES - 700) // 18)
        writer.write(before + last)
        await asyncio.sleep(2 * LIMITS.body_timeout_s)
        handler.immediate = True
        handler.respond_callbacks[0](Response(200, (), b'hello'))
        while handler.requests[-1].target != b'/last':
            head, _ = await read_reply(reader)
            assert head.startswith(b'HTTP/1.1 200 ')

    run(handler, scenario)
    assert handler.requests[-1].body == b'x' * 1_500


def test_trailer_is_counted_and_limited_like_a_head() -> None:
    """Guard against a trailer that grows with the body, since the parser holds it."""

    async def scenario(
        server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
        writer.write(head + b'%x\r\n%b\r\n0\r\na: ' % (1_900, b'x' * 1_900))
        await asyncio.sleep(0.1)
        before_bytes = server.budget.total_bytes
        writer.write(b'b' * 900)
        await asyncio.sleep(0.1)
        assert server.budget.total_bytes >= before_bytes + 900
        writer.write(b'b' * 200)
        assert (await read_reply(reader))[0].startswith(b'HTTP/1.1 431 ')

    run(Handler(), scenario)


def test_body_limit_depends_on_the_call() -> None:
    """Guard against long bodies where calls have short ones."""
    handler = Handler()

    def limit_body(method: bytes, target: bytes) -> int:
        return 100 if (method, target) == (b'POST', b'/short?x') else 5_000

    async def scenario(
        server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        server.body_limit = limit_body
        framing = b'HTTP/1.1\r\nContent-Length: 101\r\n\r\n' + b'x' * 101
        for target, status in ((b'/long', b'200'), (b'/short?x', b'413')):
            writer.write(b'POST %b %b' % (target, framing))
            assert (await read_reply(reader))[0].split(b' ')[1] == status

    run(handler, scenario)
    assert [request.target for request in handler.requests] == [b'/long']
