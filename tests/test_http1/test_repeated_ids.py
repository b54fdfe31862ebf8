"""Guard against second replies that are taken for the reply to another attempt of their request."""

from __future__ import annotations

import asyncio

import pytest

from pistachioloft_core.request.attempts import AttemptOutcome
from tests.test_http1.pool_harness import PoolHarness, read_id, reply, run


async def serve_stuttering(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Reply with the number of the request, after a second reply to an earlier one of its id."""
    replies: dict[str, bytes] = {}
    while True:
        request_id = await read_id(reader)
        own_reply = reply(request_id, b'%d' % (len(replies) + 1))
        writer.write(replies.pop(request_id, b'') + own_reply)
        replies[request_id] = own_reply


@pytest.mark.parametrize('limit_count', [1, 2, 4])
def test_late_reply_to_an_earlier_attempt_of_a_request_is_not_used(limit_count: int) -> None:
    """Guard against a late refusal of one attempt that ends the next one as not run (TWICE)."""

    async def scenario(harness: PoolHarness) -> None:
        harness.pool.hooks = harness.hooks_with_limit(limit_count)
        for number in range(6):
            request_id = 'repeated' if number % 2 else f'other-{number}'
            assert (await harness.call(request_id)).outcome is AttemptOutcome.ANSWERED
            carried = [each.recent_request_ids for each in harness.pool.targets['e'].open]
            assert all(len(ids) == len(set(ids)) for ids in carried)
            assert len(carried) <= limit_count

    run(serve_stuttering, scenario)


def test_two_attempts_of_a_request_get_their_own_replies() -> None:
    """Guard against the reply to the first attempt that is returned for the second one."""

    async def scenario(harness: PoolHarness) -> None:
        assert (await harness.call('repeated')).reply == b'1'
        # Each connection numbers its requests, so only a new one replies with a 1 again.
        assert (await harness.call('repeated')).reply == b'1'
        assert (await harness.call('other')).reply == b'2'

    run(serve_stuttering, scenario)


def test_waiting_attempt_gets_a_connection_that_has_not_carried_its_request() -> None:
    """Guard against a request that waits forever while all connections have carried its id."""
    release = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request_id = await read_id(reader)
            await release.wait()
            writer.write(reply(request_id))

    async def scenario(harness: PoolHarness) -> None:
        for _ in range(5):
            harness.send('repeated')
        await asyncio.sleep(0.05)
        release.set()
        for _ in range(5):
            _, end = await asyncio.wait_for(harness.ends.get(), 5.0)
            assert end.outcome is AttemptOutcome.ANSWERED
        assert harness.connection_count == 5
        assert harness.pool.connection_count() <= 2

    run(serve, scenario)
