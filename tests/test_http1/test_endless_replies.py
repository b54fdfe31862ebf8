"""Guard against replies of endpoints that never end."""

from __future__ import annotations

import asyncio
import resource
from typing import TYPE_CHECKING

import pytest

from pistachioloft_core.request.attempts import AttemptOutcome
from tests.test_http1.endless_endpoint import endless_endpoint
from tests.test_http1.pool_harness import PoolHarness, read_id, reply, run

if TYPE_CHECKING:
    from collections.abc import Iterator

PIECE = b'x' * 65_536
# The test fails once an endpoint has sent more than this.
SENT_LIMIT_BYTES = 64 * 1024 * 1024
# Above what is read of small chunks and what the buffers of two sockets hold.
SMALL_CHUNKS_LIMIT_BYTES = 8 * 1024 * 1024
HEAD = b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'


def endless(start: bytes, piece: bytes) -> Iterator[bytes]:
    yield start
    while True:
        yield piece


CASES = {
    'status line': (b'HTTP/1.1 200 ', PIECE),
    'header name': (HEAD, PIECE),
    'header value': (HEAD + b'A: ', PIECE),
    'headers': (HEAD, b'A: b\r\n' * 8_192),
    'interim replies': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 2_048),
    'replies to other requests': (b'', reply('9', b'') * 1_024),
    'chunk extension': (CHUNKED + b'1;', PIECE),
    'chunk size': (CHUNKED, b'0' * 65_536),
    'trailers': (CHUNKED + b'0\r\n', b'A: b\r\n' * 8_192),
    'trailer value': (CHUNKED + b'0\r\nA: ', PIECE),
    'body': (HEAD + b'\r\n', PIECE),
    'chunks': (CHUNKED, b'10000\r\n' + PIECE + b'\r\n'),
    'small chunks': (CHUNKED, b'2\r\nab\r\n' * 8_192),
    'length': (HEAD + b'Content-Length: 99999999999\r\n\r\n', PIECE),
}


@pytest.mark.parametrize('case', CASES)
def test_endless_reply_ends_the_attempt_as_lost(case: str) -> None:
    """Guard against a reply that is read until the memory is exhausted."""
    sent_bytes = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent_bytes
        await read_id(reader)
        for piece in endless(*CASES[case]):
            writer.write(piece)
            sent_bytes += len(piece)
            assert sent_bytes < SENT_LIMIT_BYTES
            await writer.drain()

    async def scenario(harness: PoolHarness) -> None:
        assert (await harness.call()).outcome is AttemptOutcome.LOST
        assert harness.pool.connection_count() == 0
        assert harness.budget.total_bytes == 0

    run(serve, scenario)
    limit_bytes = SMALL_CHUNKS_LIMIT_BYTES if case == 'small chunks' else SENT_LIMIT_BYTES
    assert sent_bytes < limit_bytes


async def no_requests(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
    raise AssertionError('a request went to the server in this process')


@pytest.mark.parametrize('kind', ['body', 'chunks'])
def test_endless_bodies_leave_room_for_a_sound_one(kind: str) -> None:
    """Guard against concurrent endless bodies that exhaust memory or end valid replies (LOST)."""
    budget_bytes = 8 * 1024 * 1024

    async def scenario(harness: PoolHarness) -> None:
        async with endless_endpoint(kind) as (address, commands):
            harness.move(address)
            await exhaust_budget(harness, commands)

    async def exhaust_budget(harness: PoolHarness, commands: asyncio.StreamWriter) -> None:
        harness.pool.hooks = harness.hooks_with_limit(40)
        harness.send()
        await asyncio.sleep(0.05)
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        for _ in range(30):
            harness.send()
        ends = dict([await asyncio.wait_for(harness.ends.get(), 10.0) for _ in range(30)])
        commands.write(b'\n')
        ends.update([await asyncio.wait_for(harness.ends.get(), 10.0)])
        assert ends.pop('1').reply == b'y' * 200_000
        assert {end.outcome for end in ends.values()} == {AttemptOutcome.LOST}
        grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
        # The bytes in the budget, and those that the event loop reads at once for each connection.
        assert grown_kb * 1024 < budget_bytes + 31 * 512 * 1024

    run(no_requests, scenario, budget_bytes)


def test_unfinished_heads_share_the_budget() -> None:
    """Guard against heads of many short headers that exhaust memory before they end (LOST)."""
    budget_bytes, connection_count = 2 * 1024 * 1024, 40

    async def scenario(harness: PoolHarness) -> None:
        async with endless_endpoint('headers') as (address, _):
            harness.move(address)
            harness.pool.hooks = harness.hooks_with_limit(connection_count)
            before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            for _ in range(connection_count):
                harness.send('2')
            await asyncio.sleep(1.0)
            assert harness.ends.qsize() > connection_count // 2
            assert harness.budget.total_bytes <= budget_bytes
            grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
            # The bytes in the budget, and those that the event loop reads at once.
            assert grown_kb * 1024 < budget_bytes + connection_count * 256 * 1024

    run(no_requests, scenario, budget_bytes)


def test_replies_to_other_requests_are_few_on_a_connection() -> None:
    """Guard against an endpoint whose surplus replies cost a log line each without end."""
    surplus = reply('9', b'x' * 10_000)
    sent_count = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent_count
        await read_id(reader)
        while True:
            writer.write(surplus)
            await writer.drain()
            sent_count += 1
            await asyncio.sleep(0.001)

    async def scenario(harness: PoolHarness) -> None:
        end = await harness.call()
        assert end.outcome is AttemptOutcome.LOST
        assert 'replies to other requests' in end.detail

    run(serve, scenario)
    assert sent_count < 200


def test_slow_reply_ends_when_its_attempt_is_abandoned() -> None:
    """Guard against a reply that continues byte by byte after its attempt was abandoned."""
    closed = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_id(reader)
        writer.write(HEAD + b'\r\n')
        while not reader.at_eof():
            writer.write(b'x')
            await writer.drain()
            await asyncio.sleep(0.005)
            if writer.transport.is_closing():
                break
        closed.set()

    async def scenario(harness: PoolHarness) -> None:
        attempt = harness.send()
        await asyncio.sleep(0.1)
        assert harness.pool.abandon(attempt)
        await asyncio.wait_for(closed.wait(), 5.0)
        assert harness.budget.total_bytes == 0

    run(serve, scenario)
