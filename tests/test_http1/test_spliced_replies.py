"""Guard against replies that are put together from a broken-off one and the one after it."""

from __future__ import annotations

import asyncio

import pytest

from pistachioloft_core.request.attempts import AttemptOutcome
from tests.test_http1.pool_harness import PoolHarness, read_id, run

HEAD = 'HTTP/1.1 {}\r\nX-Before: 1\r\nX-Id: {}\r\nX-Response-Stamp: {}.stamp\r\nDate: now\r\n'
FRAMINGS = {
    'length': ('Content-Length: 4\r\n\r\n', 'body'),
    'chunks': (
        'Transfer-Encoding: chunked\r\n\r\n',
        '2\r\nbo\r\n2\r\ndy\r\n0\r\nX-Trailer: 1\r\n\r\n',
    ),
    'no length': ('\r\n', 'body'),
}


def encode(status: str, request_id: str, framing: str = 'length') -> bytes:
    return ''.join((HEAD.format(status, request_id, request_id), *FRAMINGS[framing])).encode()


@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('when', ['at once', 'before the next reply', 'byte by byte'])
def test_broken_off_second_reply_spoils_no_other(when: str, framing: str) -> None:
    """Guard against a failure with the status of an earlier success (MIXED, REFUSED)."""
    size_bytes = len(encode('200 OK', 'first000', framing))
    cuts = iter(range(1, size_bytes))

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        second = b''
        while True:
            request_id = await read_id(reader)
            if request_id.startswith('first'):
                writer.write(encode('200 OK', request_id))
                second = encode('200 OK', request_id, framing)[: next(cuts)]
                if when == 'at once':
                    writer.write(second)
                continue
            reply = encode('500 Failed', request_id)
            if when == 'before the next reply':
                writer.write(second + reply)
            elif when == 'byte by byte':
                for byte in second + reply:
                    writer.write(bytes((byte,)))
                    await writer.drain()
                    await asyncio.sleep(0)
            else:
                writer.write(reply)

    async def scenario(harness: PoolHarness) -> None:
        for number in range(1, size_bytes):
            first = await harness.call(f'first{number:03}')
            assert first.outcome is AttemptOutcome.ANSWERED
            harness.responses.clear()
            attempt = harness.send(f'next{number:03}')
            try:
                _, end = await asyncio.wait_for(harness.ends.get(), 0.2)
            except TimeoutError:
                # The end of the reply is taken for a part of the broken-off body.
                harness.pool.abandon(attempt)
                continue
            for response in harness.responses:
                assert (response.status, response.body) == (500, b'body'), f'cut at {number}'
            if when == 'at once':
                assert end.outcome is AttemptOutcome.ANSWERED

    run(serve, scenario)


def test_broken_off_head_ends_the_use_of_its_connection() -> None:
    """Guard against a connection that is used again although a further reply has begun."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            writer.write(encode('200 OK', await read_id(reader)) + b'H')

    async def scenario(harness: PoolHarness) -> None:
        for _ in range(3):
            assert (await harness.call()).outcome is AttemptOutcome.ANSWERED
            assert harness.pool.connection_count() == 0
        assert harness.connection_count == 3

    run(serve, scenario)


def test_connection_is_closed_after_a_reply_to_another_request() -> None:
    """Guard against further second replies on a connection that has brought one."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            writer.write(encode('200 OK', 'other') + encode('200 OK', await read_id(reader)))

    async def scenario(harness: PoolHarness) -> None:
        for _ in range(3):
            assert (await harness.call()).outcome is AttemptOutcome.ANSWERED
        assert harness.connection_count == 3

    run(serve, scenario)


def test_switch_of_protocols_ends_the_attempt_as_lost() -> None:
    """Guard against an exception in the event loop after a reply that nobody asked for."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_id(reader)
        writer.write(b'HTTP/1.1 101 Other\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n')
        await reader.read()

    async def scenario(harness: PoolHarness) -> None:
        end = await harness.call()
        assert end.outcome is AttemptOutcome.LOST
        assert 'protocol' in end.detail

    run(serve, scenario)
