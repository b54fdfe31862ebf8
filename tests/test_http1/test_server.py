"""Guard against requests that are changed, lost or read without bounds by the server."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from pistachioloft_daemon.http1.messages import Request, Response, end_to_end_headers
from pistachioloft_daemon.http1.server import Cancel, HttpServer, Respond, ServerLimits

LIMITS = ServerLimits(
    header_limit_bytes=1_000,
    body_limit_bytes=2_000,
    header_timeout_s=0.3,
    idle_timeout_s=0.5,
)


class Handler:
    """Keep the requests and answer them at once, or when a test says so."""

    def __init__(self, at_once: bool = True) -> None:
        self.at_once = at_once
        self.requests: list[Request] = []
        self.responds: list[Respond] = []
        self.cancelled = 0

    def __call__(self, request: Request, respond: Respond) -> Cancel | None:
        self.requests.append(request)
        self.responds.append(respond)
        if self.at_once:
            respond(Response(200, ((b'X-A', b'b'),), b'hello'))
        return self.cancel

    def cancel(self) -> None:
        self.cancelled += 1


Play = Callable[[HttpServer, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def run(handler: Handler, play: Play) -> None:
    async def whole() -> None:
        probe = await asyncio.start_server(lambda _r, _w: None, '127.0.0.1', 0)
        port = probe.sockets[0].getsockname()[1]
        probe.close()
        await probe.wait_closed()
        server = HttpServer(f'127.0.0.1:{port}', handler, LIMITS)
        await server.start()
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        try:
            await asyncio.wait_for(play(server, reader, writer), 10.0)
        finally:
            writer.close()
            server.stop()

    asyncio.run(whole())


async def read_reply(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    head = await reader.readuntil(b'\r\n\r\n')
    length = 0
    for line in head.split(b'\r\n'):
        if line.lower().startswith(b'content-length:'):
            length = int(line.split(b':')[1])
    return head, await reader.readexactly(length)


def test_request_arrives_as_it_was_sent() -> None:
    """Guard against a path, query, header or body that is decoded or put in another form."""
    handler = Handler()
    target = b'/a%2Fb/../%c3%a4?x=1&x=%20+#'

    async def play(
        _server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(
            b'POST ' + target + b' HTTP/1.1\r\nHost: H\r\nX-Two: 1\r\nx-two: 2 \r\n'
            b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\n\x00\xff\r\n0\r\n\r\n'
        )
        head, body = await read_reply(reader)
        assert head.startswith(b'HTTP/1.1 200 OK\r\n')
        assert body == b'hello'

    run(handler, play)
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
    """Guard against a reply that goes to another request of the connection."""
    handler = Handler(at_once=False)

    async def play(
        _server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n')
        await asyncio.sleep(0.05)
        assert len(handler.requests) == 1
        handler.responds[0](Response(200, (), b'one'))
        assert (await read_reply(reader))[1] == b'one'
        await asyncio.sleep(0.05)
        handler.responds[1](Response(200, (), b'two'))
        handler.responds[0](Response(200, (), b'again'))
        assert (await read_reply(reader))[1] == b'two'

    run(handler, play)


def test_caller_that_leaves_is_noticed() -> None:
    """Guard against work for a caller that is gone."""
    handler = Handler(at_once=False)

    async def play(
        _server: HttpServer, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'GET /1 HTTP/1.1\r\nHost: h\r\n\r\n')
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(0.1)

    run(handler, play)
    assert handler.cancelled == 1


def test_stopping_server_answers_and_closes() -> None:
    """Guard against a stop that cuts a request, or a caller that is not told to go elsewhere."""
    handler = Handler()

    async def play(
        server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        server.closing = True
        writer.write(b'GET /1 HTTP/1.1\r\nHost: h\r\n\r\n')
        head, body = await read_reply(reader)
        assert b'Connection: close\r\n' in head
        assert body == b'hello'
        assert await reader.read() == b''

    run(handler, play)


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'GET / HTTP/1.1\r\nHost: h\r\nX: ' + b'a' * 1_100 + b'\r\n\r\n', b'431'),
        (b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2100\r\n\r\n' + b'a' * 2_100, b'413'),
        (b'nonsense\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\nHost: h\r\nX: ', b'408'),
    ],
)
def test_what_is_out_of_bounds_is_refused(sent: bytes, status: bytes) -> None:
    """Guard against a caller that takes the memory or the time of the process."""
    handler = Handler()

    async def play(
        _server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(sent)
        assert (await reader.readline()).split()[1] == status
        await reader.read()

    run(handler, play)
    assert handler.requests == []


def test_idle_connection_is_closed() -> None:
    """Guard against connections that stay open for callers that are gone."""

    async def play(
        _server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'GET /1 HTTP/1.1\r\nHost: h\r\n\r\n')
        await read_reply(reader)
        assert await reader.read() == b''

    run(Handler(), play)
