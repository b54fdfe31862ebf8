"""Requests with long paths of slashes hold up a machine, so that no other gets an answer."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

sys.path.insert(0, str(Path(__file__).resolve().parents[3]))

from review.harness.site import BROKEN, HELD, HOST, route, run
from review.harness.wire import call

if TYPE_CHECKING:
    from review.harness.site import Site

CLIENT_COUNT = 50
REQUESTS_EACH = 16
PATH_LENGTH = 16_000
TIMEOUT_MS = 1000
ORDINARY_COUNT = 20


async def case(site: Site, trouble: bool) -> int:
    """Count the ordinary requests without an answer half a second after the route's timeout."""
    machines, record = site.machines, site.record
    machines.start_all()
    await site.add_searchers('tally', 3)
    await site.submit([route('/timi402/', 'tally', timeoutMs=TIMEOUT_MS)], ['tally'])
    await site.serving('/timi402/x')
    await asyncio.sleep(6.0)
    address = machines.front_address(machines.fronts[0])
    clients = []
    if trouble:
        clients = [asyncio.create_task(_send_long_paths(address)) for _ in range(CLIENT_COUNT)]
    ordinary = []
    for number in range(ORDINARY_COUNT):
        ordinary.append(asyncio.create_task(_ask(address, number)))
        await asyncio.sleep(0.1)
    times_s = await asyncio.gather(*ordinary)
    late_count = sum(each > TIMEOUT_MS / 1000 + 0.5 for each in times_s)
    record.say(
        f'{late_count} of {len(times_s)} ordinary requests had no answer half a second after '
        f'the timeout of their route; the longest took {max(times_s):.1f} s'
    )
    for client in clients:
        client.cancel()
    return BROKEN if 2 * late_count > len(times_s) else HELD


async def _send_long_paths(address: str) -> None:
    host, port = address.rsplit(':', 1)
    head = f'GET {"/" * PATH_LENGTH} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: long\r\n\r\n'
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head.encode() * REQUESTS_EACH)
        while await reader.read(65_536):
            pass


async def _ask(address: str, number: int) -> float:
    started_s = time.monotonic()
    headers = {'Host': HOST, 'X-Request-Id': f'o{number}', 'X-Deadline-Ms': '4000'}
    await call(address, 'GET', f'/timi402/{number}', headers, timeout_s=15.0)
    return time.monotonic() - started_s


if __name__ == '__main__':
    run(Path(__file__).resolve().parent, case)
