"""Guard against clients that fill the memory of a process, at each address that listens."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
import pytest

from tools.fleet import misuse
from tools.fleet.crowd import Crowd, OpenCrowd, largest_memory_bytes, open_descriptor_count
from tools.fleet.misuse import Target
from tools.fleet.processes import Fleet, FleetBounds, Machine
from tools.fleet.searcher import ReplyPlan
from tools.fleet.site import Site

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from tools.fleet.misuse import Encode

ENTRY_MEMORY_MB = 96
CONTROL_MEMORY_MB = 120
DESCRIPTOR_COUNT = 1_000
# A line of the log shows this much at most of what a client sent.
LOG_LINE_LIMIT_BYTES = 4_096
# After the last message of a crowd, while its requests are answered, refused or left alone.
WAIT_S = 3.0
UNREAD_BUFFER_BYTES = 4_096
MB = 1_000_000

CALLER = Target('POST /one/x')
READINESS = Target('GET /-/readiness')
METRICS = Target('GET /metrics')
DIRECTORY = Target('GET /-/resolve?name=shop.example&region=r&zone=north')
# The operator's call, also where callers look up addresses.
OPERATOR = Target('PUT /-/config', misuse.document_of_names)
WIDE_OPERATOR = Target('PUT /-/config', misuse.document_of_wide_text)
SEARCHER = Target('PUT /-/instances/i-odd', misuse.announcement_of_wide_text)

# A crowd and what each of its members sends.
Part = tuple[Crowd, 'Encode']


@dataclass(frozen=True, slots=True)
class Misuse:
    """Define the clients of one address."""

    role: str
    address_of: Callable[[Fleet, Machine], str]
    parts: Callable[[], list[Part]]


def crowd(count: int, encode: Encode, *, reads: bool = True) -> Part:
    """Return a crowd with what its members send."""
    buffer_bytes = 0 if reads else UNREAD_BUFFER_BYTES
    return Crowd(count, '', reads, receive_buffer_bytes=buffer_bytes), encode


def bodies(
    make: Callable[[Target, int, bool], Encode],
    target: Target,
    size_bytes: int,
    short_count: int,
    whole_count: int,
) -> Callable[[], list[Part]]:
    """Return clients of which most stop just short of the end of their body."""
    return lambda: [
        crowd(short_count, make(target, size_bytes, False)),
        crowd(whole_count, make(target, size_bytes, True)),
    ]


def unread(target: Target) -> Callable[[], list[Part]]:
    """Return clients that send many short requests at once and read no answer."""
    return lambda: [crowd(100, misuse.short_requests(target, 20_000), reads=False)]


def trailers(
    target: Target, size_bytes: int, trailer_bytes: int, count: int
) -> Callable[[], list[Part]]:
    """Return clients whose trailers do not end."""
    return lambda: [crowd(count, misuse.long_trailer(target, size_bytes, trailer_bytes))]


LARGE, SMALL = misuse.large_chunks, misuse.small_chunks
MISUSES: dict[str, Misuse] = {
    'callers, large chunks': Misuse(
        'entry', Fleet.caller_address, bodies(LARGE, CALLER, 262_144, 150, 50)
    ),
    'callers, small chunks': Misuse(
        'entry', Fleet.caller_address, bodies(SMALL, CALLER, 100_000, 60, 20)
    ),
    'callers, trailers': Misuse(
        'entry', Fleet.caller_address, trailers(CALLER, 200_000, 1_800_000, 100)
    ),
    'callers, many headers': Misuse(
        'entry',
        Fleet.caller_address,
        lambda: [crowd(300, misuse.many_headers(CALLER, 3_000))],
    ),
    'callers, requests behind a slow one': Misuse(
        'entry',
        Fleet.caller_address,
        lambda: [crowd(100, misuse.short_requests(CALLER, 20_000))],
    ),
    'callers, long paths': Misuse(
        'entry',
        Fleet.caller_address,
        lambda: [crowd(20, misuse.long_paths('GET', '/none/', 15_000, 50))],
    ),
    'readiness, large chunks': Misuse(
        'entry', Fleet.readiness_address, bodies(LARGE, READINESS, 1_000_000, 60, 4)
    ),
    'readiness, small chunks': Misuse(
        'entry', Fleet.readiness_address, bodies(SMALL, READINESS, 100_000, 60, 4)
    ),
    'readiness, trailers': Misuse(
        'entry', Fleet.readiness_address, trailers(READINESS, 900_000, 8_000_000, 20)
    ),
    'readiness, unread answers': Misuse('entry', Fleet.readiness_address, unread(READINESS)),
    'metrics of an entry, large chunks': Misuse(
        'entry', Fleet.metrics_address, bodies(LARGE, METRICS, 1_000_000, 60, 4)
    ),
    'metrics of an entry, small chunks': Misuse(
        'entry', Fleet.metrics_address, bodies(SMALL, METRICS, 100_000, 60, 4)
    ),
    'metrics of an entry, unread answers': Misuse('entry', Fleet.metrics_address, unread(METRICS)),
    'metrics of a control, large chunks': Misuse(
        'control', Fleet.metrics_address, bodies(LARGE, METRICS, 1_000_000, 60, 4)
    ),
    'metrics of a control, small chunks': Misuse(
        'control', Fleet.metrics_address, bodies(SMALL, METRICS, 100_000, 60, 4)
    ),
    'metrics of a control, unread answers': Misuse(
        'control', Fleet.metrics_address, unread(METRICS)
    ),
    'directory, large chunks': Misuse(
        'control', Fleet.directory_address, bodies(LARGE, OPERATOR, 8 * MB, 6, 2)
    ),
    'directory, small chunks': Misuse(
        'control', Fleet.directory_address, bodies(SMALL, OPERATOR, 400_000, 9, 3)
    ),
    'directory, trailers': Misuse(
        'control', Fleet.directory_address, trailers(DIRECTORY, MB, 9 * MB, 16)
    ),
    'directory, unread answers': Misuse('control', Fleet.directory_address, unread(DIRECTORY)),
    'directory, long paths': Misuse(
        'control',
        Fleet.directory_address,
        lambda: [crowd(20, misuse.long_paths('GET', '/none/', 60_000, 50))],
    ),
    'operator, large chunks': Misuse(
        'control', Fleet.control_address, bodies(LARGE, OPERATOR, 8 * MB, 6, 2)
    ),
    'operator, small chunks': Misuse(
        'control', Fleet.control_address, bodies(SMALL, OPERATOR, 400_000, 9, 3)
    ),
    'operator, trailers': Misuse(
        'control', Fleet.control_address, trailers(OPERATOR, MB, 9 * MB, 16)
    ),
    'operator, unread answers': Misuse(
        'control', Fleet.control_address, unread(Target('GET /-/config'))
    ),
    'operator, wide text': Misuse(
        'control',
        Fleet.control_address,
        lambda: [crowd(2, misuse.whole_body(WIDE_OPERATOR, 15 * MB))],
    ),
    'searchers, large chunks': Misuse(
        'control', Fleet.control_address, bodies(LARGE, SEARCHER, 15 * MB, 6, 2)
    ),
    'searchers, small chunks': Misuse(
        'control', Fleet.control_address, bodies(SMALL, SEARCHER, 400_000, 9, 3)
    ),
    'searchers, long ids': Misuse(
        'control',
        Fleet.control_address,
        lambda: [crowd(40, misuse.long_paths('DELETE', '/-/instances/', 60_000, 50))],
    ),
}


@pytest.mark.parametrize('name', MISUSES, ids=lambda name: name.replace(',', '').replace(' ', '-'))
def test_misuse_leaves_every_process_within_its_memory(tmp_path: Path, name: str) -> None:
    """Guard against processes that end, or take too much, because of what clients send."""
    clients = MISUSES[name]

    async def main() -> None:
        memory_mb = ENTRY_MEMORY_MB if clients.role == 'entry' else CONTROL_MEMORY_MB
        bounds = FleetBounds(memory_mb=memory_mb, descriptor_count=DESCRIPTOR_COUNT)
        async with Site(tmp_path, entry_count=1, bounds=bounds) as site:
            await site.serving()
            await play(site, clients, memory_mb)

    asyncio.run(main())


async def play(site: Site, clients: Misuse, memory_mb: int) -> None:
    """Let the clients send, and check the processes beside their open connections."""
    fleet = site.fleet
    machine = (fleet.entries if clients.role == 'entry' else fleet.controls)[0]
    slow, normal = ReplyPlan(delay_s=1.8), ReplyPlan()
    for searcher in site.searchers:
        searcher.behaviour = lambda _id: slow
    address = clients.address_of(fleet, machine)
    crowds = [OpenCrowd(members, address, encode) for members, encode in clients.parts()]
    await asyncio.gather(*(opened.send() for opened in crowds))
    await asyncio.sleep(WAIT_S)
    for searcher in site.searchers:
        searcher.behaviour = lambda _id: normal
    await ordinary_calls_are_answered(site, machine)
    peaks_bytes = {
        each.name: largest_memory_bytes(fleet.process_id(each))
        for each in (*fleet.controls, *fleet.entries)
    }
    descriptor_count = open_descriptor_count(fleet.process_id(machine))
    for opened in crowds:
        await opened.disperse()
    assert all(fleet.is_running(each) for each in (*fleet.controls, *fleet.entries))
    assert max(peaks_bytes.values()) < memory_mb * MB, peaks_bytes
    assert descriptor_count < DESCRIPTOR_COUNT
    assert max(map(len, fleet.log(machine).splitlines())) < LOG_LINE_LIMIT_BYTES


async def ordinary_calls_are_answered(site: Site, machine: Machine) -> None:
    """Wait until a caller and an operator, and who looks up addresses, are answered."""
    caller_address = site.fleet.caller_address(site.fleet.entries[0])

    async def is_answered() -> bool:
        return (await site.call('/one/x', caller_address)).status == 200

    await site.wait_until(is_answered, 'an ordinary request')
    if machine.role == 'control':
        url = f'http://{site.fleet.directory_address(machine)}{DIRECTORY.line.split()[1]}'

        async def is_looked_up() -> bool:
            try:
                async with site.session.get(url) as reply:
                    return reply.status == 200
            except (aiohttp.ClientError, OSError, TimeoutError):
                return False

        await site.wait_until(is_looked_up, 'a look-up at the misused instance')
    assert await site.submit() == 2
