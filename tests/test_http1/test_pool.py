"""Guard against replies that are mixed up, truncated or forged on connections to endpoints."""

from __future__ import annotations

import asyncio
import dataclasses
import socket
import struct
from typing import TYPE_CHECKING

import pytest

from pistachioloft_core.request.attempts import AttemptOutcome
from tests.test_http1.pool_harness import PoolHarness, read_id, reply, run

if TYPE_CHECKING:
    from pistachioloft_core.request.attempts import Attempt, AttemptEnd
    from pistachioloft_daemon.http1.messages import Response


def test_connection_is_reused() -> None:
    """Guard against a new connection for each attempt."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            writer.write(reply(await read_id(reader)))

    async def scenario(harness: PoolHarness) -> None:
        for _ in range(5):
            end = await harness.call()
            assert (end.outcome, end.reply) == (AttemptOutcome.ANSWERED, b'body')
        assert harness.connection_count == 1

    run(serve, scenario)


def test_urgent_attempt_gets_the_next_connection() -> None:
    """Guard against urgent attempts that wait behind all others for a connection."""
    received: list[str] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request_id = await read_id(reader)
            received.append(request_id)
            await asyncio.sleep(0.01)
            writer.write(reply(request_id))

    async def scenario(harness: PoolHarness) -> None:
        harness.pool.hooks = harness.hooks_with_limit(1)
        await harness.call()
        harness.route = dataclasses.replace(harness.route, latency_target_ms=60_000.0)
        for priority in (1, 2, 2, 0):
            harness.send(priority=priority)
        for _ in range(4):
            await harness.ends.get()
        # The first one found the connection free.
        assert received == ['1', '2', '5', '3', '4']

    run(serve, scenario)


def test_late_reply_to_an_earlier_request_is_skipped() -> None:
    """Guard against a caller that gets the reply to another request."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request_id = await read_id(reader)
            writer.write(reply('other', b'foreign') + reply(request_id, b'own'))

    async def scenario(harness: PoolHarness) -> None:
        for _ in range(3):
            assert (await harness.call()).reply == b'own'

    run(serve, scenario)


def test_surplus_reply_is_not_used_for_the_next_request() -> None:
    """Guard against a surplus reply that is returned for the next request on the connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_id = await read_id(reader)
        writer.write(reply(request_id, b'own') + reply(str(int(request_id) + 1), b'surplus'))
        writer.write(reply(await read_id(reader), b'own'))

    async def scenario(harness: PoolHarness) -> None:
        assert (await harness.call()).reply == b'own'
        assert (await harness.call()).reply == b'own'
        assert harness.connection_count == 2

    run(serve, scenario)


def test_late_surplus_reply_closes_the_connection() -> None:
    """Guard against data that is received while no request is in flight."""
    surplus = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request_id = await read_id(reader)
            writer.write(reply(request_id, b'own'))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(reply(request_id, b'surplus'))
            surplus.set()

    async def scenario(harness: PoolHarness) -> None:
        assert (await harness.call()).reply == b'own'
        await asyncio.sleep(0.1)
        assert harness.pool.connection_count() == 0
        assert (await harness.call()).reply == b'own'
        assert harness.connection_count == 2

    run(serve, scenario)


@pytest.mark.parametrize(
    ('sent', 'outcome'),
    [
        (b'HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nshort', AttemptOutcome.LOST),
        (
            b'HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab',
            AttemptOutcome.LOST,
        ),
        (b'HTTP/1.1 200 OK\r\nX-Id', AttemptOutcome.LOST),
        (b'\x00\x01 no reply at all\r\n\r\n', AttemptOutcome.LOST),
        (b'', AttemptOutcome.LOST),
        (b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nuntil the end', AttemptOutcome.ANSWERED),
    ],
)
def test_reply_ended_by_a_close_counts_only_if_complete(
    sent: bytes, outcome: AttemptOutcome
) -> None:
    """Guard against a truncated reply that is taken for a complete one."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_id(reader)
        writer.write(sent)
        await writer.drain()

    async def scenario(harness: PoolHarness) -> None:
        assert (await harness.call()).outcome is outcome

    run(serve, scenario)


def test_reply_without_length_is_lost_after_a_reset() -> None:
    """Guard against a reply without a length that a reset truncates unnoticed."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_id(reader)
        writer.write(b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhalf')
        await writer.drain()
        await asyncio.sleep(0.02)
        linger = struct.pack('ii', 1, 0)
        raw_socket = writer.get_extra_info('socket')
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    async def scenario(harness: PoolHarness) -> None:
        assert (await harness.call()).outcome is AttemptOutcome.LOST

    run(serve, scenario)


def test_refused_connection_ends_the_attempt_as_not_sent() -> None:
    """Guard against an attempt that counts as run although nothing was sent."""

    async def serve(_reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
        raise AssertionError

    async def scenario(harness: PoolHarness) -> None:
        harness.server.close()
        await harness.server.wait_closed()
        end = await harness.call()
        assert (end.outcome, end.wrong_endpoint) == (AttemptOutcome.NOT_SENT, True)
        assert harness.refused == ['e']

    run(serve, scenario)


def test_abandoned_attempt_closes_its_connection() -> None:
    """Guard against an endpoint that continues to work on an abandoned attempt."""
    closed = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
        await read_id(reader)
        assert await reader.read() == b''
        closed.set()

    async def scenario(harness: PoolHarness) -> None:
        attempt = harness.send()
        await asyncio.sleep(0.05)
        assert harness.pool.abandon(attempt)
        assert not harness.pool.abandon(attempt)
        await asyncio.wait_for(closed.wait(), 5.0)
        assert harness.pool.connection_count() == 0

    run(serve, scenario)


def test_connection_is_not_reused_near_its_idle_timeout() -> None:
    """Guard against a request that is lost because the endpoint closes the idle connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            writer.write(reply(await read_id(reader), extra=b'Keep-Alive: timeout=0\r\n'))

    async def scenario(harness: PoolHarness) -> None:
        await harness.call()
        await harness.call()
        assert harness.connection_count == 2

    run(serve, scenario)


def test_trailers_are_not_read_as_reply_headers() -> None:
    """Guard against a request id in a trailer that makes a reply to another request match."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_id = await read_id(reader)
        writer.write(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n'
            + f'X-Id: {request_id}\r\n\r\n'.encode()
        )
        writer.write(reply(request_id, b'own'))

    async def scenario(harness: PoolHarness) -> None:
        assert (await harness.call()).reply == b'own'

    run(serve, scenario)


def test_reply_without_an_id_is_used_only_as_the_first_on_its_connection() -> None:
    """Guard against a second reply without an id that answers the next request."""
    is_named = True

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            writer.write(reply(await read_id(reader)))

    async def scenario(harness: PoolHarness) -> None:
        nonlocal is_named
        hooks = harness.pool.hooks

        def decode(attempt: Attempt, response: Response) -> AttemptEnd | None:
            end = hooks.decode(attempt, response)
            return None if end is None else dataclasses.replace(end, identified=is_named)

        harness.pool.hooks = dataclasses.replace(hooks, decode=decode)
        assert (await harness.call()).outcome is AttemptOutcome.ANSWERED
        is_named = False
        assert (await harness.call()).outcome is AttemptOutcome.LOST
        assert (await harness.call()).outcome is AttemptOutcome.ANSWERED
        assert (await harness.call()).outcome is AttemptOutcome.ANSWERED
        assert harness.connection_count == 3

    run(serve, scenario)
