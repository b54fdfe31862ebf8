"""All processes are killed right after a searcher's departure was acknowledged."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.harness.machines import BOUNDS
from review.harness.site import BROKEN, HELD, CannotRunError, route, run

if TYPE_CHECKING:
    from review.harness.site import Site

# A searcher goes on serving for `drainMs` and a little longer, at times many seconds.
SERVES_ON_S = 16.0
DOWN_S = 0.5
REQUEST_INTERVAL_S = 0.05


async def case(site: Site, trouble: bool) -> int:
    """Let a searcher leave, kill all processes at its confirmation, and see who still uses it."""
    machines, note = site.machines, site.record.note
    machines.start_all()
    leaver, *_ = await site.add_searchers('tally', 3)
    await site.submit([route('/timi402/', 'tally')], ['tally'])
    await site.serving('/timi402/x')
    stable_s = BOUNDS['stableWindowMs'] / 1000
    await asyncio.sleep(stable_s + 2.0)

    consumers = asyncio.create_task(_keep_asking(site))
    await asyncio.sleep(2.0)
    status = await leaver.leave(machines.control_address(machines.cores[0]))
    acknowledged_s = time.monotonic()
    if status != 200:
        raise CannotRunError(f'the departure got status {status}')
    if trouble:
        for machine in machines.all:
            machines.signal(machine, signal.SIGKILL)
    note(f'{leaver.endpoint}: departure acknowledged; all processes killed: {trouble}')
    if trouble:
        await asyncio.sleep(DOWN_S)
        for machine in machines.all:
            machines.start(machine)
        note('all processes started again')
    started_s = max(each.started_s for each in machines.all)
    await asyncio.sleep(SERVES_ON_S - (time.monotonic() - acknowledged_s))
    await leaver.exit()
    consumers.cancel()

    # After a final fault that took most of the core, machines are in touch again this much later.
    calm_s = started_s + 2 * stable_s
    due_s = acknowledged_s + BOUNDS['drainMs'] / 1000
    sent_s = dict(SENT)
    late = [
        arrival
        for arrival in leaver.arrivals
        if arrival.ran and arrival.at_s > max(due_s, calm_s) and sent_s[arrival.request_id] > calm_s
    ]
    for arrival in late:
        note(f'late: {arrival.request_id} {arrival.at_s - acknowledged_s:.3f} s after it')
    served_count = sum(status == 200 for status in STATUSES)
    site.record.say(
        f'{len(STATUSES)} requests, {served_count} served; {len(late)} reached the searcher that '
        f'left, from machines in touch, over drainMs after its confirmation'
    )
    if late:
        last_s = late[-1].at_s - acknowledged_s
        site.record.say(f'the last one {last_s:.1f} s after the confirmation')
    return BROKEN if late else HELD


SENT: list[tuple[str, float]] = []
STATUSES: list[int] = []


async def _keep_asking(site: Site) -> None:
    fronts = site.machines.fronts
    tasks: set[asyncio.Task[None]] = set()
    number = 0
    while True:
        number += 1
        task = asyncio.create_task(_ask(site, number, fronts[number % len(fronts)].name))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def _ask(site: Site, number: int, name: str) -> None:
    request_id = f'c{number}'
    SENT.append((request_id, time.monotonic()))
    machine = next(each for each in site.machines.fronts if each.name == name)
    answer = await site.ask(machine, f'/timi402/{number}', request_id=request_id)
    STATUSES.append(answer.status)


if __name__ == '__main__':
    run(Path(__file__).resolve().parent, case)
