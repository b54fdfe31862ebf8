"""Guard against real processes that send to searchers of an evacuated failure domain."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tools.fleet.processes import FAILURE_DOMAINS
from tools.fleet.site import Site

if TYPE_CHECKING:
    from pathlib import Path

EVACUATED = FAILURE_DOMAINS[0]
# Entry instances poll every 0.3 s and replace a silent control instance after two missed polls.
KNOWN_AFTER_S = 1.5
TARGETS = (('/all/x', 'GET'), ('/one/x', 'GET'), ('/once/x', 'POST'))


async def call_all(site: Site) -> list[int]:
    """Send each kind of request to each entry instance and return the statuses."""
    answers = await asyncio.gather(
        *(
            site.call(target, site.fleet.caller_address(machine), method)
            for machine in site.fleet.entries
            for target, method in TARGETS
        )
    )
    assert not any(answer.missing_count for answer in answers if answer.status == 200)
    return [answer.status for answer in answers]


def received_count(site: Site) -> int:
    return sum(
        len(searcher.received_requests)
        for searcher in site.searchers
        if searcher.failure_domain == EVACUATED
    )


async def check_nothing_arrives(site: Site) -> None:
    before = received_count(site)
    for _ in range(30):
        assert set(await call_all(site)) == {200}
    assert received_count(site) == before


def test_nothing_reaches_an_evacuated_domain_until_it_is_withdrawn(tmp_path: Path) -> None:
    """Guard against evacuations lost with a leader or a restart, and domains that stay unused."""

    async def scenario(site: Site) -> None:
        await site.serving()
        for _ in range(10):
            assert set(await call_all(site)) == {200}
        assert received_count(site) > 0
        killed = site.fleet.controls[0]
        for number in range(2):
            order = asyncio.create_task(site.order_evacuation(EVACUATED, True))
            await asyncio.sleep(0.002 * number)
            site.fleet.kill(site.fleet.controls[number])
            await order
            await asyncio.sleep(KNOWN_AFTER_S)
            await check_nothing_arrives(site)
            site.fleet.start(site.fleet.controls[number])
        before = received_count(site)
        machines = (*site.fleet.controls, *site.fleet.entries)
        for machine in machines:
            site.fleet.kill(machine)
        for machine in machines:
            site.fleet.start(machine)
        await site.serving()
        await check_nothing_arrives(site)
        assert received_count(site) == before
        assert f'evacuated domains: {EVACUATED}' in site.fleet.log(killed)

        await site.order_evacuation(EVACUATED, False)

        async def is_used_again() -> bool:
            assert set(await call_all(site)) == {200}
            return received_count(site) > before

        await site.wait_until(is_used_again, 'requests for the restored domain', 5.0)

    async def run() -> None:
        async with Site(tmp_path) as site:
            await scenario(site)

    asyncio.run(run())
