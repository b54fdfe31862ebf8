"""Guard against bytes with a status that no class assigns, taken for the reply to a request."""

from __future__ import annotations

import asyncio

import pytest

from pistachioloft_core.request.attempts import AttemptOutcome
from pistachioloft_daemon.http1.messages import Response, encode_response, is_final_status
from tests.test_http1.pool_harness import PoolHarness, read_id, reply, run

UNASSIGNED = ('000', '001', '099', '101', '600', '999')
FRAMINGS = {
    'length': 'Content-Length: 4\r\n\r\nbody',
    'chunks': 'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n',
    'no length': '\r\nbody',
    'no body': 'Content-Length: 0\r\n\r\n',
}


def encode(status: str, request_id: str, framing: str) -> bytes:
    return f'HTTP/1.1 {status} Odd\r\nX-Id: {request_id}\r\n{FRAMINGS[framing]}'.encode()


async def check_lost(harness: PoolHarness) -> None:
    end = await harness.call()
    assert end.outcome is AttemptOutcome.LOST
    assert harness.responses == []
    assert harness.pool.connection_count() == 0


@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('status', UNASSIGNED)
def test_unassigned_status_ends_the_attempt_as_lost(status: str, framing: str) -> None:
    """Guard against an answer without a meaning, and an attempt that waits for another (MIXED)."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(encode(status, await read_id(reader), framing))
        if framing != 'no length':
            # The end must not depend on the endpoint's.
            await reader.read()

    run(serve, check_lost)


@pytest.mark.parametrize('status', UNASSIGNED)
def test_reply_after_an_unassigned_status_is_not_used(status: str) -> None:
    """Guard against bytes that follow on the connection and count as the answer."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_id = await read_id(reader)
        for byte in encode(status, request_id, 'length') + reply(request_id):
            writer.write(bytes((byte,)))
            await writer.drain()
            await asyncio.sleep(0)
        await reader.read()

    run(serve, check_lost)


@pytest.mark.parametrize('status', [100, 102, 103, 199])
def test_interim_replies_precede_the_answer(status: int) -> None:
    """Guard against an answer that is lost because an interim reply came before it."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_id = await read_id(reader)
        writer.write(b'HTTP/1.1 %d Wait\r\nX-Id: other\r\n\r\n' % status + reply(request_id))
        await reader.read()

    async def scenario(harness: PoolHarness) -> None:
        assert (await harness.call()).outcome is AttemptOutcome.ANSWERED
        assert [response.status for response in harness.responses] == [200]

    run(serve, scenario)


def test_body_of_an_interim_reply_is_not_used() -> None:
    """Guard against the body of an interim reply that counts as the answer."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_id = await read_id(reader)
        head = b'HTTP/1.1 103 Wait\r\nContent-Length: 4\r\n\r\nbody'
        writer.write(head + reply(request_id))
        await reader.read()

    run(serve, check_lost)


@pytest.mark.parametrize('status', ['204', '304'])
def test_body_of_a_reply_without_one_spoils_no_other(status: str) -> None:
    """Guard against the body of a 204 or 304 that counts as a part of the next answer (MIXED)."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            writer.write(encode(status, await read_id(reader), 'length'))

    async def scenario(harness: PoolHarness) -> None:
        for _ in range(3):
            assert (await harness.call()).outcome is AttemptOutcome.ANSWERED
            await asyncio.sleep(0.01)
            assert harness.pool.connection_count() == 0
        assert {(each.status, each.body) for each in harness.responses} == {(int(status), b'')}

    run(serve, scenario)


@pytest.mark.parametrize('status', [0, 1, 99, 100, 101, 199, 600, 999, -1, 1_200])
def test_no_unassigned_status_is_written(status: int) -> None:
    """Guard against an answer of our own whose status says nothing, or ends no request."""
    assert not is_final_status(status)
    written = encode_response(Response(status, (), b'body'), close=False)
    assert written == b'HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n'
