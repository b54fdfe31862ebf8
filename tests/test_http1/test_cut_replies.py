"""Guard against replies that an endpoint broke off and that pass for whole ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from pistachioloft_core.request.attempts import AttemptOutcome
from tests.test_http1.pool_harness import PoolHarness, read_id, run

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

BODY = b'0123456789abcdef'
# At most this many attempts of a test may find no connection in time.
CONNECT_TIMEOUT_COUNT = 2
HEAD = b'HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Response-Stamp: stamp\r\n'


def with_length(request_id: bytes) -> bytes:
    return HEAD % request_id + b'Content-Length: %d\r\n\r\n' % len(BODY) + BODY


def chunked(request_id: bytes) -> bytes:
    head = HEAD % request_id + b'Transfer-Encoding: chunked\r\n\r\n'
    return head + b'%x\r\n%b\r\n0\r\n\r\n' % (len(BODY), BODY)


def head_without_length(request_id: bytes) -> bytes:
    return HEAD % request_id + b'\r\n'


@pytest.mark.parametrize('encode', [with_length, chunked, head_without_length])
@pytest.mark.parametrize('after_whole_reply', [False, True])
def test_reply_that_ends_early_is_lost(
    encode: Callable[[bytes], bytes], after_whole_reply: bool
) -> None:
    """Guard against an empty or short body that is delivered as a whole one."""
    length = len(encode(b'1'))
    sizes = iter(range(length))

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if after_whole_reply:
            writer.write(with_length((await read_id(reader)).encode()))
        request_id = (await read_id(reader)).encode()
        size = next(sizes)
        cut_reply = encode(request_id)
        writer.write(cut_reply[: len(cut_reply) - length + size])
        await writer.drain()

    async def scenario(harness: PoolHarness) -> None:
        connect_timeouts = list(range(CONNECT_TIMEOUT_COUNT))
        for size in range(length):
            if after_whole_reply:
                assert (await harness.call()).outcome is AttemptOutcome.ANSWERED
            end = await harness.call()
            while end.outcome is AttemptOutcome.NOT_SENT and connect_timeouts:
                # Beside load a connection may take longer than it may; then nothing was sent.
                assert 'cannot connect' in end.detail
                connect_timeouts.pop()
                end = await harness.call()
            assert end.outcome is AttemptOutcome.LOST, f'cut after {size} of {length} bytes'
            assert end.reply is None

    run(serve, scenario)
