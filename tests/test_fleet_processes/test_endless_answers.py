"""Guard against endless answers of searchers that exhaust the memory of an entry instance."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import psutil
import pytest

from tools.fleet.byte_searcher import ByteSearcher
from tools.fleet.site import Answer, Site

if TYPE_CHECKING:
    from pathlib import Path

CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
KINDS = {
    'head': (b'', b'A: b\r\n' * 4_096),
    'body': (b'\r\n', b'x' * 65_536),
    'chunks': (CHUNKED, b'2\r\nab\r\n' * 4_096),
}
CALLER_COUNT = 24
PLAY_S = 6.0
DEADLINE_MS = 2_000


def was_cut(answer: Answer) -> bool:
    """Return whether the connection ended without an answer while the caller still waited."""
    # A caller waits for a second more than its deadline; beside much load no answer may come.
    return answer.status == 0 and answer.seconds < DEADLINE_MS / 1_000 + 1


@pytest.mark.parametrize('kind', KINDS)
def test_endless_answers_leave_the_memory_of_the_machine(tmp_path: Path, kind: str) -> None:
    """Guard against an entry instance that keeps what never ends, and ends itself (LOST)."""

    async def scenario(site: Site) -> None:
        machine = site.fleet.entries[0]
        address = site.fleet.caller_address(machine)
        process = psutil.Process(site.fleet.process_id(machine))
        for searcher in site.of_service('single'):
            assert isinstance(searcher, ByteSearcher)
            searcher.endless = KINDS[kind]
        loop = asyncio.get_running_loop()
        end_s = loop.time() + PLAY_S
        largest_bytes = 0

        async def call_endless() -> None:
            while loop.time() < end_s:
                answer = await site.call('/one/x', address, deadline_ms=DEADLINE_MS)
                assert answer.status != 200
                assert not was_cut(answer)
                await asyncio.sleep(0.05)

        async def call_others() -> int:
            served_count = 0
            while loop.time() < end_s:
                answer = await site.call('/all/x', address, deadline_ms=DEADLINE_MS)
                assert not was_cut(answer)
                served_count += answer.status == 200
                await asyncio.sleep(0.05)
            return served_count

        async def watch() -> None:
            nonlocal largest_bytes
            while loop.time() < end_s:
                largest_bytes = max(largest_bytes, process.memory_info().rss)
                await asyncio.sleep(0.02)

        async with asyncio.TaskGroup() as group:
            for _ in range(CALLER_COUNT):
                group.create_task(call_endless())
            others = group.create_task(call_others())
            group.create_task(watch())
        assert site.fleet.is_running(machine)
        assert largest_bytes < site.fleet.bounds.memory_mb * 1_000_000
        assert others.result() > 0

    async def main() -> None:
        async with Site(tmp_path, searcher_type=ByteSearcher) as site:
            await site.serving()
            await scenario(site)

    asyncio.run(main())
