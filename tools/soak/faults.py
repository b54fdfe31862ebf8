"""Faults that a seed chooses, and how they strike a site."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from ..fleet.searcher import STATUS_DROP, ReplyPlan
from .proxy import HEALTHY, Fault

if TYPE_CHECKING:
    from ..fleet.processes import Machine
    from .site import SoakSite

FaultCall = Callable[['SoakSite', random.Random], Awaitable[None]]
# Long enough to be noticed (leases of a second), short enough for several in a run.
LONGEST_S = 2.5


async def kill_entry(site: SoakSite, source: random.Random) -> None:
    """Kill an entry instance and start it again."""
    await _kill(site, source, source.choice(site.fleet.entries))


async def kill_control(site: SoakSite, source: random.Random) -> None:
    """Kill a control instance and start it again, sometimes with an empty disk."""
    machine = source.choice(site.fleet.controls)
    async with site.control_fault_lock:
        wiped = source.random() < 0.3
        await _kill(site, source, machine, wiped)
        # Until it votes again, no other may be lost.
        await site.wait_until(site.has_all_voters, 'a whole group of voters')


async def restart_entry(site: SoakSite, source: random.Random) -> None:
    """Stop an entry instance gracefully and start it again."""
    machine = source.choice(site.fleet.entries)
    async with site.entry_fault_lock:
        code = await asyncio.to_thread(site.fleet.terminate, machine)
        if code != 0:
            site.violations.append(f'{machine.name} ended with {code} after SIGTERM')
        site.fleet.start(machine)
        await asyncio.sleep(1.0)


async def pause(site: SoakSite, source: random.Random) -> None:
    """Pause any process for a while."""
    machine = source.choice((*site.fleet.entries, *site.fleet.controls))
    lock = site.control_fault_lock if machine in site.fleet.controls else site.entry_fault_lock
    async with lock:
        site.fleet.signal(machine, signal.SIGSTOP)
        await asyncio.sleep(source.uniform(0.2, LONGEST_S))
        site.fleet.signal(machine, signal.SIGCONT)
        await site.wait_until(site.has_all_voters, 'a whole group of voters')


async def disturb_connections(site: SoakSite, source: random.Random) -> None:
    """Delay, silence or reset the connections to one searcher."""
    proxy = source.choice(site.proxies)
    kind = source.randrange(4)
    if kind == 0:
        proxy.reset_all()
        return
    proxy.fault = (
        Fault(delay_s=source.uniform(0.01, 0.3)),
        Fault(silent_forward=True),
        Fault(silent_back=True),
    )[kind - 1]
    await asyncio.sleep(source.uniform(0.2, LONGEST_S))
    proxy.fault = HEALTHY


async def disturb_searcher(site: SoakSite, source: random.Random) -> None:
    """Let one searcher refuse, drop or slow what it is asked."""
    searcher = source.choice(site.searchers)
    plan = source.choice(
        (ReplyPlan(not_run=True), ReplyPlan(status=STATUS_DROP), ReplyPlan(delay_s=0.2))
    )
    part = source.uniform(0.2, 1.0)
    searcher.behaviour = lambda _id: plan if source.random() < part else ReplyPlan()
    await asyncio.sleep(source.uniform(0.2, LONGEST_S))
    searcher.behaviour = lambda _id: ReplyPlan()


async def change_routes(site: SoakSite, _source: random.Random) -> None:
    """Put a newer version of the routes in force."""
    async with site.submission_lock:
        site.acknowledged_version = max(site.acknowledged_version, await site.submit())


FAULTS: tuple[FaultCall, ...] = (
    kill_entry,
    kill_control,
    restart_entry,
    pause,
    disturb_connections,
    disturb_searcher,
    change_routes,
)


async def _kill(
    site: SoakSite, source: random.Random, machine: Machine, wiped: bool = False
) -> None:
    lock = site.entry_fault_lock if machine in site.fleet.entries else None
    if lock is not None:
        await lock.acquire()
    try:
        site.fleet.kill(machine)
        if wiped:
            site.fleet.wipe(machine)
        await asyncio.sleep(source.uniform(0.1, LONGEST_S / 2))
        site.fleet.start(machine)
        await asyncio.sleep(1.0)
    finally:
        if lock is not None:
            lock.release()
