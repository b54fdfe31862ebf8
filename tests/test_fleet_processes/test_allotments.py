"""Guard against processes that together serve an organisation beyond its allotment."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

import aiohttp

from tools.fleet.site import Answer, Site

if TYPE_CHECKING:
    from pathlib import Path

ENTRY_COUNT = 3
WINDOW_S = 5.0
RATE_PER_S, BURST_COUNT = 4, 4
ALLOWED_COUNT = (RATE_PER_S * WINDOW_S + BURST_COUNT) * 1.1
LIMITED_KEY, FREE_KEY = 'key-of-the-limited', 'key-of-the-free'
ORGANISATIONS: list[dict[str, Any]] = [
    {
        'name': 'limited',
        'apiKeys': [LIMITED_KEY],
        'ratePerS': RATE_PER_S,
        'burst': BURST_COUNT,
    },
    {'name': 'free', 'apiKeys': [FREE_KEY]},
]


async def call(site: Site, key: str, machine: Any) -> Answer:
    headers = {'Authorization': f'Bearer {key}'}
    return await site.call('/one/x', site.fleet.caller_address(machine), extra_headers=headers)


async def served_times(site: Site, answers: list[Answer]) -> list[tuple[float, float]]:
    """Send to all instances for two windows; return when served requests were sent and answered."""
    times_s: list[tuple[float, float]] = []
    end_s = time.monotonic() + 2 * WINDOW_S
    while time.monotonic() < end_s:
        for machine in site.fleet.entries:
            sent_s = time.monotonic()
            answer = await call(site, LIMITED_KEY, machine)
            answers.append(answer)
            if answer.status == 200:
                times_s.append((sent_s, time.monotonic()))
        await asyncio.sleep(0.03)
    return times_s


def test_instances_together_keep_to_the_allotment(tmp_path: Path) -> None:
    """Guard against an allotment for each instance instead of one for all of them."""

    async def scenario(site: Site) -> None:
        await site.serving()
        await site.submit(organisations=ORGANISATIONS)

        for machine in site.fleet.entries:

            async def is_admitted(machine: Any = machine) -> bool:
                return (await call(site, LIMITED_KEY, machine)).status == 200

            await site.wait_until(is_admitted, f'a permit at {machine}')
        answers: list[Answer] = []
        times_s = await served_times(site, answers)
        assert times_s
        for start_s, _ in times_s:
            count = sum(
                sent_s >= start_s and answered_s <= start_s + WINDOW_S
                for sent_s, answered_s in times_s
            )
            assert count <= ALLOWED_COUNT
        denied = [answer for answer in answers if answer.status == 429]
        assert denied
        assert all(float(answer.headers['Retry-After']) > 0 for answer in denied)
        for machine in site.fleet.entries:
            assert (await call(site, FREE_KEY, machine)).status == 200
            address = site.fleet.metrics_address(machine)
            async with aiohttp.request('GET', f'http://{address}/metrics') as reply:
                metrics = await reply.text()
            assert 'organisation="limited",outcome="admitted"' in metrics
            assert 'organisation="limited",outcome="refused"' in metrics

    async def run() -> None:
        async with Site(tmp_path, entry_count=ENTRY_COUNT) as site:
            await scenario(site)

    asyncio.run(run())
