"""Guard the connections to an endpoint that returns under its id at another address."""

from __future__ import annotations

import asyncio

from pistachioloft_core.request.attempts import AttemptOutcome
from tests.test_http1.pool_bench import Bench, read_id, reply, run

# Nothing listens there: connections are refused.
REFUSING = '127.0.0.1:1'


async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while True:
        writer.write(reply(await read_id(reader)))


async def keep_silent(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
    await reader.read()


def test_attempt_that_waits_for_the_old_address_can_be_withdrawn() -> None:
    """Guard against a request that is sent after it was given up."""
    asked: list[str] = []

    async def serve(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
        while True:
            asked.append(await read_id(reader))

    async def play(bench: Bench) -> None:
        waiting = bench.send()
        bench.move(REFUSING)
        bench.send()
        assert bench.pool.abandon(waiting)
        await asyncio.sleep(0.05)
        assert asked == []
        assert bench.pool.connection_count() == 0

    run(serve, play)


def test_last_connection_to_the_old_address_takes_no_other_with_it() -> None:
    """Guard against connections to the new address that no one counts or closes."""

    async def play(bench: Bench) -> None:
        old = bench.send()
        await asyncio.sleep(0.05)
        assert bench.load is not None
        port = bench.load.record.address.rsplit(':', 1)[1]
        bench.move(f'127.0.0.2:{port}')
        server = await asyncio.start_server(bench.handle, '127.0.0.2', int(port))
        new = bench.send()
        await asyncio.sleep(0.05)
        assert bench.pool.connection_count() == 2
        assert bench.pool.abandon(old)
        assert bench.pool.connection_count() == 1
        assert bench.pool.abandon(new)
        assert bench.pool.connection_count() == 0
        server.close()

    run(keep_silent, play)


def test_connection_to_the_old_address_is_closed_after_its_reply() -> None:
    """Guard against idle connections that nothing uses again."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_id = await read_id(reader)
        await asyncio.sleep(0.05)
        writer.write(reply(request_id))
        assert await reader.read() == b''

    async def play(bench: Bench) -> None:
        bench.send()
        await asyncio.sleep(0.02)
        bench.move(REFUSING)
        bench.send()
        ends = [(await asyncio.wait_for(bench.ends.get(), 5.0))[1] for _ in range(2)]
        assert {end.outcome for end in ends} == {AttemptOutcome.ANSWERED, AttemptOutcome.NOT_SENT}
        assert bench.pool.connection_count() == 0
        assert not bench.pool.retired

    run(serve, play)
