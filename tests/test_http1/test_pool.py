"""Guard against replies that are crossed, cut or made up on connections to endpoints."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from pistachioloft_core.connection.endpoint_load import EndpointLoad
from pistachioloft_core.messages.fleet import STANDING_READY, AnnouncedEndpoint
from pistachioloft_core.messages.routes import Route, WeightedService
from pistachioloft_core.request.attempts import Attempt, AttemptEnd, Ended
from pistachioloft_daemon.endpoint_pool import EndpointPool, PoolHooks
from pistachioloft_daemon.http1.messages import Response, find_header

ROUTE = Route('r', 'h', '/', True, 1_000.0, 100.0, 1, 2, (WeightedService('s'),))
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def reply(request_id: str, body: bytes = b'body', extra: bytes = b'') -> bytes:
    head = f'HTTP/1.1 200 OK\r\nX-Id: {request_id}\r\nContent-Length: {len(body)}\r\n'
    return head.encode() + extra + b'\r\n' + body


class Bench:
    """Hold a raw server, a pool and the ends of its attempts."""

    def __init__(self, serve: Serve) -> None:
        self.serve = serve
        self.ends: asyncio.Queue[tuple[str, AttemptEnd]] = asyncio.Queue()
        self.refused: list[str] = []
        self.pool = EndpointPool(
            PoolHooks(self.decode, self.ended, lambda _record: 2, self.refused.append)
        )
        self.connection_count = 0
        self.load: EndpointLoad | None = None
        self.number = 0

    async def __aenter__(self) -> Bench:
        self.server = await asyncio.start_server(self.handle, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        record = AnnouncedEndpoint('e', 's', f'127.0.0.1:{port}', 'a', 2, STANDING_READY, 1, 1)
        self.load = EndpointLoad(record, 0.0)
        return self

    async def __aexit__(self, *_: Any) -> None:
        self.pool.stop()
        self.server.close()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def decode(self, attempt: Attempt, response: Response) -> AttemptEnd | None:
        echoed = find_header(response.headers, b'x-id')
        if echoed != attempt.attempt_id.encode():
            return None
        return AttemptEnd(Ended.ANSWERED, reply=response.body)

    def ended(self, attempt: Attempt, end: AttemptEnd) -> None:
        self.ends.put_nowait((attempt.attempt_id, end))

    def send(self) -> Attempt:
        assert self.load is not None
        self.number += 1
        attempt = Attempt(str(self.number), ROUTE, 's', self.load, 0.0, 50.0, False)
        self.pool.send(attempt, f'GET /{self.number} HTTP/1.1\r\nHost: h\r\n\r\n'.encode())
        return attempt

    async def call(self) -> AttemptEnd:
        attempt = self.send()
        attempt_id, end = await asyncio.wait_for(self.ends.get(), 5.0)
        assert attempt_id == attempt.attempt_id
        return end


async def read_id(reader: asyncio.StreamReader) -> str:
    head = await reader.readuntil(b'\r\n\r\n')
    return head.split(b' ', 2)[1][1:].decode()


def run(serve: Serve, play: Callable[[Bench], Awaitable[None]]) -> None:
    async def whole() -> None:
        async with Bench(serve) as bench:
            await play(bench)

    asyncio.run(whole())


def test_connection_is_used_again() -> None:
    """Guard against a new connection for each attempt."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            writer.write(reply(await read_id(reader)))

    async def play(bench: Bench) -> None:
        for _ in range(5):
            end = await bench.call()
            assert (end.ended, end.reply) == (Ended.ANSWERED, b'body')
        assert bench.connection_count == 1

    run(serve, play)


def test_late_reply_to_an_earlier_request_is_skipped() -> None:
    """Guard against a caller that gets the reply to another request."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request_id = await read_id(reader)
            writer.write(reply('other', b'foreign') + reply(request_id, b'own'))

    async def play(bench: Bench) -> None:
        for _ in range(3):
            assert (await bench.call()).reply == b'own'

    run(serve, play)


def test_second_reply_belongs_to_no_request() -> None:
    """Guard against the next request on the connection getting a surplus reply."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_id = await read_id(reader)
        writer.write(reply(request_id, b'own') + reply(str(int(request_id) + 1), b'surplus'))
        writer.write(reply(await read_id(reader), b'own'))

    async def play(bench: Bench) -> None:
        assert (await bench.call()).reply == b'own'
        assert (await bench.call()).reply == b'own'
        assert bench.connection_count == 2

    run(serve, play)


def test_surplus_reply_that_comes_later_closes_the_connection() -> None:
    """Guard against bytes that arrive while no request is in flight."""
    surplus = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request_id = await read_id(reader)
            writer.write(reply(request_id, b'own'))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(reply(request_id, b'surplus'))
            surplus.set()

    async def play(bench: Bench) -> None:
        assert (await bench.call()).reply == b'own'
        await asyncio.sleep(0.1)
        assert bench.pool.connection_count() == 0
        assert (await bench.call()).reply == b'own'
        assert bench.connection_count == 2

    run(serve, play)


@pytest.mark.parametrize(
    ('sent', 'ended'),
    [
        (b'HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nshort', Ended.LOST),
        (b'HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab', Ended.LOST),
        (b'HTTP/1.1 200 OK\r\nX-Id', Ended.LOST),
        (b'\x00\x01 no reply at all\r\n\r\n', Ended.LOST),
        (b'', Ended.LOST),
        (b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nuntil the end', Ended.ANSWERED),
    ],
)
def test_reply_that_ends_early_is_no_reply(sent: bytes, ended: Ended) -> None:
    """Guard against a cut reply that looks complete."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_id(reader)
        writer.write(sent)
        await writer.drain()

    async def play(bench: Bench) -> None:
        assert (await bench.call()).ended is ended

    run(serve, play)


def test_reply_without_length_that_is_reset_is_no_reply() -> None:
    """Guard against a reply that was cut by a reset and has no length to show it."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_id(reader)
        writer.write(b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhalf')
        await writer.drain()
        await asyncio.sleep(0.02)
        linger = struct.pack('ii', 1, 0)
        raw = writer.get_extra_info('socket')
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    async def play(bench: Bench) -> None:
        assert (await bench.call()).ended is Ended.LOST

    run(serve, play)


def test_refused_connection_is_known_not_to_have_sent_anything() -> None:
    """Guard against an attempt that counts as run though no byte left."""

    async def serve(_reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
        raise AssertionError

    async def play(bench: Bench) -> None:
        bench.server.close()
        await bench.server.wait_closed()
        end = await bench.call()
        assert (end.ended, end.absent) == (Ended.NOT_SENT, True)
        assert bench.refused == ['e']

    run(serve, play)


def test_abandoned_attempt_closes_its_connection() -> None:
    """Guard against an endpoint that goes on with work that nobody wants."""
    closed = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
        await read_id(reader)
        assert await reader.read() == b''
        closed.set()

    async def play(bench: Bench) -> None:
        attempt = bench.send()
        await asyncio.sleep(0.05)
        assert bench.pool.abandon(attempt)
        assert not bench.pool.abandon(attempt)
        await asyncio.wait_for(closed.wait(), 5.0)
        assert bench.pool.connection_count() == 0

    run(serve, play)


def test_connection_is_not_used_near_the_end_of_its_idle_time() -> None:
    """Guard against a request that crosses the endpoint's close."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            writer.write(reply(await read_id(reader), extra=b'Keep-Alive: timeout=0\r\n'))

    async def play(bench: Bench) -> None:
        await bench.call()
        await bench.call()
        assert bench.connection_count == 2

    run(serve, play)
