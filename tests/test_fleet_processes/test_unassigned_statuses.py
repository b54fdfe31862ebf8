"""Guard against answers of searchers whose status no class assigns."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from tools.fleet.byte_searcher import ByteSearcher
from tools.fleet.searcher import ReplyPlan, StandInSearcher
from tools.fleet.site import ROUTE_HOST, SHARD_COUNT, Site

if TYPE_CHECKING:
    from pathlib import Path

CALL_COUNT = 12
# Longer than the time left of each request.
ANSWER_TIMEOUT_S = 10.0


async def read_status(address: str, target: str, request_id: str) -> str:
    """Send a request and return the status of its answer as it was written."""
    host, port = address.rsplit(':', 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f'GET {target} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nX-Request-Id: {request_id}\r\n'
        'X-Deadline-Ms: 1000\r\nConnection: close\r\n\r\n'.encode()
    )
    try:
        line = await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_S)
    finally:
        writer.close()
    return line.split(b' ')[1].decode()


def request_id_ran(searcher: StandInSearcher, request_id: str) -> bool:
    """Return whether a searcher ran a request."""
    assert isinstance(searcher, ByteSearcher)
    return any(each.request_id == request_id and each.stamp for each in searcher.answers)


@pytest.mark.parametrize('closes', [True, False])
@pytest.mark.parametrize('status', [0, 99, 600])
def test_unassigned_status_reaches_no_caller(tmp_path: Path, status: int, closes: bool) -> None:
    """Guard against an answer without a meaning, to a request or within a query (MIXED)."""

    async def scenario(site: Site) -> None:
        address = site.fleet.caller_address(site.fleet.entries[0])
        single = site.of_service('single')
        for searcher in (*single, *site.of_service('s0')):
            assert isinstance(searcher, ByteSearcher)
            searcher.closes_after_answer = closes
            searcher.behaviour = lambda _id: ReplyPlan(status=status)
        for number in range(CALL_COUNT):
            written = await read_status(address, '/one/x', f'odd{number}')
            ran = any(request_id_ran(searcher, f'odd{number}') for searcher in single)
            # Once no endpoint is usable, a request is refused without a run.
            assert written in (('502', '504') if ran else ('503',)), written
        answer = await site.call('/all/x', address)
        assert answer.status == 200
        assert answer.missing_count == 1
        assert len(answer.shard_stamps) == SHARD_COUNT - 1

    async def main() -> None:
        async with Site(tmp_path, searcher_type=ByteSearcher) as site:
            await site.serving()
            await scenario(site)

    asyncio.run(main())
