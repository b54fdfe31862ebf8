"""A request that crashes searchers comes from a consumer that leaves before the crash."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path
from typing import TYPE_CHECKING

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.harness.machines import BOUNDS
from review.harness.site import BROKEN, HELD, HOST, route, run
from review.harness.wire import encode

if TYPE_CHECKING:
    from review.harness.machines import Machine
    from review.harness.site import Site

TARGET = '/timi402/crash'
TARGET_LATENCY_MS = 350
# A consumer that gives up leaves within half of the latency target.
LEAVES_AFTER_S = 0.1
CRASHES_AFTER_S = 0.15
DEADLINE_MS = 1000
COUNT = 22
INTERVAL_S = 3.5
DROPPING_COUNT = 4
ALLOWED_COUNT = 3


async def case(site: Site, trouble: bool) -> int:
    """Send the request again and again, and count how often it still reaches searchers."""
    machines, record = site.machines, site.record
    machines.start_all()
    searchers = await site.add_searchers('tally', 6)
    for searcher in searchers:
        searcher.crashing_target = TARGET
        searcher.crashes_after_s = CRASHES_AFTER_S
    # Most searchers drop a request when its connection closes.
    for searcher in searchers[:DROPPING_COUNT]:
        searcher.drops_closed = True
    routes = [route('/timi402/', 'tally', targetLatencyMs=TARGET_LATENCY_MS)]
    await site.submit(routes, ['tally'])
    await site.serving('/timi402/x')
    stable_s = BOUNDS['stableWindowMs'] / 1000
    await asyncio.sleep(stable_s + 2.0)
    ordinary = asyncio.create_task(_ask_regularly(site))

    for number in range(COUNT):
        front = machines.fronts[number % len(machines.fronts)]
        await _send(site, front, f'crash{number}', leaves_early=trouble)
        await asyncio.sleep(INTERVAL_S)
    ordinary.cancel()

    crash_times_s = sorted(at_s for searcher in searchers for at_s in searcher.crash_times_s)
    record.say(f'{COUNT} times sent; {len(crash_times_s)} crashes of searchers')
    late: set[str] = set()
    if len(crash_times_s) > 2:
        from_s = crash_times_s[2] + stable_s
        late = {
            arrival.request_id
            for searcher in searchers
            for arrival in searcher.arrivals
            if arrival.target == TARGET and arrival.ran and arrival.at_s > from_s
        }
    record.say(
        f'{len(late)} retries reached searchers later than {stable_s} s after the third crash; '
        f'{ALLOWED_COUNT} are allowed'
    )
    return BROKEN if len(late) > ALLOWED_COUNT else HELD


async def _send(site: Site, front: Machine, request_id: str, leaves_early: bool) -> None:
    host, port = site.machines.front_address(front).rsplit(':', 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    headers = {'Host': HOST, 'X-Request-Id': request_id, 'X-Deadline-Ms': str(DEADLINE_MS)}
    writer.write(encode('GET', TARGET, headers))
    site.record.note(f'consumer sends {request_id} to {front.name}')
    line = b''
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(LEAVES_AFTER_S if leaves_early else DEADLINE_MS / 1000 + 0.5):
            line = await reader.readline()
    site.record.note(f'consumer of {request_id} got {line.decode().strip()!r} and leaves')
    writer.close()


async def _ask_regularly(site: Site) -> None:
    number = 0
    while True:
        number += 1
        front = site.machines.fronts[number % len(site.machines.fronts)]
        await site.ask(front, f'/timi402/{number}')
        await asyncio.sleep(0.2)


if __name__ == '__main__':
    run(Path(__file__).resolve().parent, case)
