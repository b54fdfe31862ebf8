"""A consumer sends a config where consumers look up addresses, and it comes into force."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

sys.path.insert(0, str(Path(__file__).resolve().parents[3]))

from review.harness.site import BROKEN, HELD, route, run
from review.harness.wire import call, call_any

if TYPE_CHECKING:
    from review.harness.site import Site

REQUEST_COUNT = 60


async def case(site: Site, trouble: bool) -> int:
    """Let a consumer send a config that no operator sent, and see which service runs requests."""
    machines, record = site.machines, site.record
    machines.start_all()
    own = await site.add_searchers('tally', 3)
    other = await site.add_searchers('log', 3)
    services = ['tally', 'log']
    routes = [route('/timi402/', 'tally'), route('/ziti980/', 'log')]
    await site.submit(routes, services)
    await site.serving('/timi402/x')
    await site.serving('/ziti980/x')
    await asyncio.sleep(2.0)

    if trouble:
        foreign = site.document([route('/timi402/', 'log')], services, version=1_000_000)
        address = machines.directory_address(machines.cores[0])
        body = json.dumps(foreign).encode()
        answer = await call(address, 'PUT', '/-/config', {}, body)
        record.say(f'a consumer sends a config to the directory: status {answer.status}')
    await asyncio.sleep(3.5)
    # The operator's next config, which is confirmed.
    await site.submit(routes, services)
    await asyncio.sleep(3.5)

    for number in range(REQUEST_COUNT):
        front = machines.fronts[number % len(machines.fronts)]
        await site.ask(front, f'/timi402/{number}', request_id=f'c{number}')
        await asyncio.sleep(0.02)
    allowed = sum(each.request_id.startswith('c') for searcher in own for each in searcher.arrivals)
    foreign_runs = [
        (searcher.endpoint, arrival.request_id)
        for searcher in other
        for arrival in searcher.arrivals
        if arrival.ran and arrival.target.startswith('/timi402/')
    ]
    _, read = await call_any(site.controls(), 'GET', '/-/config')
    version = json.loads(read.body)['version'] if read.status == 200 else read.status
    record.say(f'the config read back has version {version}; the operator sent {site.version}')
    record.say(
        f'{REQUEST_COUNT} requests: {allowed} run by the service of the route, '
        f'{len(foreign_runs)} by a service to which no config of the operator sends them'
    )
    return BROKEN if foreign_runs else HELD


if __name__ == '__main__':
    run(Path(__file__).resolve().parent, case)
