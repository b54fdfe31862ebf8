"""Guard against endless replies to sub-requests that exhaust the memory of an instance."""

from __future__ import annotations

import asyncio
import resource

import pytest

from pistachioloft_core.messages.endpoint import SubRequest
from pistachioloft_daemon.endpoint_client import (
    REPLY_BUDGET_BYTES,
    REPLY_LIMIT_BYTES,
    Connection,
    ConnectionHooks,
    EndpointClient,
)
from tests.test_http1.endless_endpoint import endless_endpoint

CONNECTION_COUNT = 24
# The reply that is complete is joined once more, and the event loop reads ahead.
SLACK_BYTES = REPLY_LIMIT_BYTES + CONNECTION_COUNT * 512 * 1024


def sub_request(number: int) -> SubRequest:
    return SubRequest(f'q{number}', 'query', 'yard', 'c', 1, (0,), '{}', 500, False, None)


@pytest.mark.parametrize('kind', ['body', 'chunks', 'headers'])
def test_endless_replies_share_one_limit(kind: str) -> None:
    """Guard against many endless replies that are each below the limit of one (LOST)."""
    failures: list[str] = []

    def on_failure(connection_id: str, bytes_sent: bool, detail: str, refused: bool) -> None:
        assert bytes_sent
        assert not refused
        failures.append(detail)

    async def main() -> None:
        client = EndpointClient(
            ConnectionHooks(
                lambda _id: None,
                lambda _id, _detail: None,
                lambda _id, _reply: pytest.fail('an endless reply was used'),
                on_failure,
                lambda _id: None,
            )
        )
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        async with endless_endpoint(kind) as (address, _):
            for number in range(CONNECTION_COUNT):
                client.connections[str(number)] = Connection(str(number), address)
                client.send(str(number), sub_request(number))
            async with asyncio.timeout(30.0):
                while len(failures) < CONNECTION_COUNT:
                    await asyncio.sleep(0.05)
            grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
            await client.stop()
        assert client.budget.total_bytes == 0
        assert grown_kb * 1024 < REPLY_BUDGET_BYTES + SLACK_BYTES

    asyncio.run(main())
