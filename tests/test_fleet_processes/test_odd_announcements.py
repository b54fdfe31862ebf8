"""Guard a fleet against announcements that another writer left among those of the endpoints."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING

from tools.fleet.site import Site

if TYPE_CHECKING:
    from pathlib import Path

HOLD_S = 2.0


def odd_announcements(site: Site) -> list[tuple[str, bytes]]:
    """Return ids and bodies, each with one oddity in an announcement that would be sound."""
    sound = {**site.searchers[0].announcement(), 'seq': 1, 'born': 1, 'address': '127.0.0.1:9'}
    changes = [
        {'seq': 2**64},
        {'born': 10**40},
        {'slots': 10**30},
        {'address': '127.0.0.1:70000'},
        {'address': '127.0.0.1:0'},
        {'coldLeftMs': 1e308},
        {'zone': 'z' * 100_000},
        {'state': 'unheard-of'},
        {'service': ['s0']},
    ]
    bodies = [json.dumps({**sound, **change}).encode() for change in changes]
    nested = b'[' * 100_000 + b']' * 100_000
    bodies += [json.dumps(sound).encode()[:-1] + b',"later":' + nested + b'}', nested, b'\xff']
    odd = [(f'odd-{number}', body) for number, body in enumerate(bodies)]
    return [*odd, ('odd%0d%0aX-A:%201', json.dumps(sound).encode()), ('%E4%B8%AD', bodies[-1])]


def test_odd_announcements_neither_end_nor_silence_an_instance(tmp_path: Path) -> None:
    """Guard against instances that end, or stop following the list, because of one odd entry."""

    async def scenario(site: Site) -> None:
        for machine in site.fleet.controls:
            for endpoint, body in odd_announcements(site):
                url = f'http://{site.fleet.control_address(machine)}/-/instances/{endpoint}'
                async with site.session.put(url, data=body) as reply:
                    await reply.read()
        ended_s = time.monotonic() + HOLD_S
        while time.monotonic() < ended_s:
            answer = await site.call('/all/x')
            assert (answer.status, answer.missing_count) == (200, 0)
        # The list is still followed: an endpoint that leaves gets no more requests.
        leaving = site.searchers[0]
        await site.announce_leaving(leaving)
        await asyncio.sleep(1.0)
        leaving.received_requests.clear()
        for _ in range(20):
            assert (await site.call('/all/x')).status == 200
        assert leaving.received_requests == []
        for machine in (*site.fleet.controls, *site.fleet.entries):
            assert site.fleet.is_running(machine)
            assert 'Traceback' not in site.fleet.log(machine)

    async def run() -> None:
        async with Site(tmp_path) as site:
            await site.serving()
            await scenario(site)

    asyncio.run(run())
