"""Guard against clients that nobody controls and that end or stop an instance."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from tools.fleet.crowd import (
    Crowd,
    OpenCrowd,
    largest_memory_bytes,
    open_descriptor_count,
)
from tools.fleet.processes import Fleet, FleetBounds, Machine
from tools.fleet.searcher import ReplyPlan
from tools.fleet.site import Site

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

# An instance without callers takes 32 MB.
MEMORY_MB = 96
# A document of the largest size is held twice while it is read.
CONTROL_MEMORY_MB = 120
DESCRIPTOR_COUNT = 200
# Descriptors that remain for files and for connections to other instances.
SPARE_DESCRIPTOR_COUNT = 20
# Lines about a crowd are summed up.
LOG_LIMIT_BYTES = 200_000
# After the last message of a crowd, while its requests are answered, refused or left alone.
WAIT_S = 6.0
WATCH_INTERVAL_S = 0.02

NORMAL = ReplyPlan()
SLOW = ReplyPlan(delay_s=1.8)
LONG = ReplyPlan(body=b'y' * 2_000_000)
CROWDS = {
    'large chunk': (Crowd(200, 'large chunk'), NORMAL),
    'small chunks': (Crowd(100, 'small chunks'), NORMAL),
    'unfinished head': (Crowd(400, 'unfinished head'), NORMAL),
    'kept open after the answer': (Crowd(600, 'whole body', in_turn=True), NORMAL),
    'in flight': (Crowd(600, 'whole body'), SLOW),
    'in flight to all shards': (Crowd(200, 'whole body to all shards'), SLOW),
    'pipelined': (Crowd(40, 'whole bodies at once'), SLOW),
    'unread answers': (Crowd(60, 'whole body', reads=False), LONG),
}


async def ordinary_request_is_answered(site: Site) -> None:
    """Wait until a request of an ordinary caller is answered beside the crowd."""
    address = site.fleet.caller_address(site.fleet.entries[0])

    async def is_answered() -> bool:
        return (await site.call('/one/x', address)).status == 200

    await site.wait_until(is_answered, 'an ordinary request')


@pytest.mark.parametrize('name', CROWDS)
def test_crowd_leaves_the_memory_of_the_machine(tmp_path: Path, name: str) -> None:
    """Guard against an entry instance that ends because of what callers make it hold (LOST)."""
    crowd, plan = CROWDS[name]

    async def scenario(site: Site) -> None:
        machine = site.fleet.entries[0]
        for searcher in site.searchers:
            searcher.behaviour = lambda _id: plan
        opened = OpenCrowd(crowd, site.fleet.caller_address(machine))
        await opened.send()
        await asyncio.sleep(WAIT_S)
        for searcher in site.searchers:
            searcher.behaviour = lambda _id: NORMAL
        assert site.fleet.is_running(machine)
        await ordinary_request_is_answered(site)
        assert site.fleet.is_running(machine)
        peak_bytes = largest_memory_bytes(site.fleet.process_id(machine))
        await opened.disperse()
        assert peak_bytes < MEMORY_MB * 1_000_000
        assert site.fleet.log_path(machine).stat().st_size < LOG_LIMIT_BYTES

    async def main() -> None:
        bounds = FleetBounds(memory_mb=MEMORY_MB)
        async with Site(tmp_path, entry_count=1, bounds=bounds) as site:
            await site.serving()
            await scenario(site)

    asyncio.run(main())


@pytest.mark.parametrize('address_of', [Fleet.control_address, Fleet.directory_address])
@pytest.mark.parametrize(
    'crowd',
    [Crowd(10, 'whole document', in_turn=True), Crowd(10, 'unfinished document')],
    ids=lambda crowd: crowd.message,
)
def test_crowd_leaves_the_memory_of_a_control_instance(
    tmp_path: Path, crowd: Crowd, address_of: Callable[[Fleet, Machine], str]
) -> None:
    """Guard against a control instance that ends because of what clients make it hold."""

    async def scenario(site: Site) -> None:
        machine = control(site.fleet)
        opened = OpenCrowd(crowd, address_of(site.fleet, machine))
        await opened.send()
        await asyncio.sleep(WAIT_S)
        assert site.fleet.is_running(machine)
        assert await site.submit() == 2
        peak_bytes = largest_memory_bytes(site.fleet.process_id(machine))
        await opened.disperse()
        assert peak_bytes < CONTROL_MEMORY_MB * 1_000_000
        assert site.fleet.log_path(machine).stat().st_size < LOG_LIMIT_BYTES

    async def main() -> None:
        bounds = FleetBounds(memory_mb=CONTROL_MEMORY_MB)
        async with Site(tmp_path, entry_count=1, bounds=bounds) as site:
            await site.serving()
            await scenario(site)

    asyncio.run(main())


def entry(fleet: Fleet) -> Machine:
    return fleet.entries[0]


def control(fleet: Fleet) -> Machine:
    return fleet.controls[0]


ADDRESSES: dict[str, tuple[Callable[[Fleet], Machine], Callable[[Fleet, Machine], str], int]] = {
    'callers': (entry, Fleet.caller_address, 800),
    'readiness': (entry, Fleet.readiness_address, 400),
    'control': (control, Fleet.control_address, 400),
    'directory': (control, Fleet.directory_address, 400),
    'metrics': (entry, Fleet.metrics_address, 400),
}


@pytest.mark.parametrize('name', ADDRESSES)
def test_crowd_leaves_descriptors(tmp_path: Path, name: str) -> None:
    """Guard against an instance without descriptors for its peers, its log and its files."""
    choose, address_of, count = ADDRESSES[name]

    async def scenario(site: Site) -> None:
        machine = choose(site.fleet)
        process_id = site.fleet.process_id(machine)
        opened = OpenCrowd(Crowd(count, 'nothing'), address_of(site.fleet, machine))
        sending = asyncio.ensure_future(opened.send())
        loop = asyncio.get_running_loop()
        end_s = loop.time() + WAIT_S
        largest_count = 0
        while loop.time() < end_s or not sending.done():
            assert site.fleet.is_running(machine)
            largest_count = max(largest_count, open_descriptor_count(process_id))
            await asyncio.sleep(WATCH_INTERVAL_S)
        await ordinary_request_is_answered(site)
        assert await site.submit() == 2
        await opened.disperse()
        assert site.fleet.is_running(machine)
        assert largest_count <= DESCRIPTOR_COUNT - SPARE_DESCRIPTOR_COUNT
        assert site.fleet.log_path(machine).stat().st_size < LOG_LIMIT_BYTES

    async def main() -> None:
        bounds = FleetBounds(descriptor_count=DESCRIPTOR_COUNT)
        async with Site(tmp_path, entry_count=1, bounds=bounds) as site:
            await site.serving()
            await scenario(site)

    asyncio.run(main())
