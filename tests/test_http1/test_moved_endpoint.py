"""Guard the connections to an endpoint that restarts under its id at another address."""

from __future__ import annotations

import asyncio

from pistachioloft_core.request.attempts import AttemptOutcome
from tests.test_http1.pool_harness import PoolHarness, read_id, reply, run

# Nothing listens at this address, so connections are refused.
REFUSING_ADDRESS = '127.0.0.1:1'


async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while True:
        writer.write(reply(await read_id(reader)))


async def never_reply(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
    await reader.read()


def test_attempt_queued_for_the_old_address_can_be_abandoned() -> None:
    """Guard against a request that is sent after it was abandoned."""
    received_ids: list[str] = []

    async def serve(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
        while True:
            received_ids.append(await read_id(reader))

    async def scenario(harness: PoolHarness) -> None:
        queued = harness.send()
        harness.move(REFUSING_ADDRESS)
        harness.send()
        assert harness.pool.abandon(queued)
        await asyncio.sleep(0.05)
        assert received_ids == []
        assert harness.pool.connection_count() == 0

    run(serve, scenario)


def test_closing_the_last_old_connection_keeps_the_new_one() -> None:
    """Guard against connections to the new address that are neither counted nor closed."""

    async def scenario(harness: PoolHarness) -> None:
        old = harness.send()
        await asyncio.sleep(0.05)
        assert harness.load is not None
        port = harness.load.record.address.rsplit(':', 1)[1]
        harness.move(f'127.0.0.2:{port}')
        server = await asyncio.start_server(harness.handle, '127.0.0.2', int(port))
        new = harness.send()
        await asyncio.sleep(0.05)
        assert harness.pool.connection_count() == 2
        assert harness.pool.abandon(old)
        assert harness.pool.connection_count() == 1
        assert harness.pool.abandon(new)
        assert harness.pool.connection_count() == 0
        server.close()

    run(never_reply, scenario)


def test_connection_to_the_old_address_is_closed_after_its_reply() -> None:
    """Guard against idle connections that are never reused."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_id = await read_id(reader)
        await asyncio.sleep(0.05)
        writer.write(reply(request_id))
        assert await reader.read() == b''

    async def scenario(harness: PoolHarness) -> None:
        harness.send()
        await asyncio.sleep(0.02)
        harness.move(REFUSING_ADDRESS)
        harness.send()
        ends = [(await asyncio.wait_for(harness.ends.get(), 5.0))[1] for _ in range(2)]
        assert {end.outcome for end in ends} == {AttemptOutcome.ANSWERED, AttemptOutcome.NOT_SENT}
        assert harness.pool.connection_count() == 0
        assert not harness.pool.retired

    run(serve, scenario)
