"""The first config has version 0; it is confirmed and lost."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING

sys.path.insert(0, str(Path(__file__).resolve().parents[3]))

from review.harness.site import BROKEN, HELD, route, run
from review.harness.wire import call_any

if TYPE_CHECKING:
    from review.harness.site import Site

WAIT_S = 10.0


async def case(site: Site, trouble: bool) -> int:
    """Send the first config, with version 0 or 1, and read it back."""
    machines, record = site.machines, site.record
    machines.start_all()
    await site.add_searchers('tally', 3)
    site.version = -1 if trouble else 0
    await site.submit([route('/timi402/', 'tally')], ['tally'])
    record.say(f'config {site.version} is acknowledged')
    await asyncio.sleep(WAIT_S)
    _, read = await call_any(site.controls(), 'GET', '/-/config')
    answer = await site.ask(machines.fronts[0], '/timi402/x')
    record.say(f'read back {WAIT_S} s later: {read.status}; a request gets {answer.status}')
    return HELD if read.status == 200 else BROKEN


if __name__ == '__main__':
    run(Path(__file__).resolve().parent, case)
