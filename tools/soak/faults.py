"""Faults that a seeded random source selects and injects into a site."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from ..fleet.cut_links import HANG, REFUSE, RESET
from ..fleet.processes import FAILURE_DOMAINS
from ..fleet.searcher import STATUS_DROP, UNASSIGNED_STATUS, ReplyPlan
from .checks import DRAIN_S, EVACUATE_S
from .proxy import NO_FAULT, Fault
from .site import Evacuation, Period

if TYPE_CHECKING:
    from ..fleet.processes import Machine
    from .site import SoakSite

FaultFunction = Callable[['SoakSite', random.Random], Awaitable[None]]
# Longer than the leases of 1 s, so that faults are detected; short enough for several in a run.
MAX_FAULT_S = 2.5


async def kill_entry(site: SoakSite, random_source: random.Random) -> None:
    """Kill an entry instance and restart it."""
    await _kill_and_restart(site, random_source, random_source.choice(site.fleet.entries))


async def kill_control(site: SoakSite, random_source: random.Random) -> None:
    """Kill a control instance and restart it, in 30 % of cases with an empty disk."""
    machine = random_source.choice(site.fleet.controls)
    async with site.control_fault_lock:
        is_wiped = random_source.random() < 0.3
        await _kill_and_restart(site, random_source, machine, is_wiped)
        # No other control instance may be lost until this one votes again.
        await site.wait_until(site.has_all_voters, 'all voters to be in the group')


async def restart_entry(site: SoakSite, random_source: random.Random) -> None:
    """Stop an entry instance gracefully and restart it."""
    machine = random_source.choice(site.fleet.entries)
    async with site.entry_fault_lock:
        # On a busy machine a process that was just started has no handler for the signal yet.
        await site.wait_until(lambda: site.runs(machine), f'{machine.name} to run')
        with site.disturbed(machine.ip):
            signalled_s = time.monotonic()
            code = await asyncio.to_thread(site.fleet.terminate, machine)
            site.stops.append(Period(machine.ip, signalled_s, time.monotonic()))
            if code != 0:
                site.violations.append(f'{machine.name} ended with {code} after SIGTERM')
            site.fleet.start(machine)
        await asyncio.sleep(1.0)


async def pause(site: SoakSite, random_source: random.Random) -> None:
    """Suspend a randomly chosen process for up to MAX_FAULT_S."""
    machine = random_source.choice((*site.fleet.entries, *site.fleet.controls))
    lock = site.control_fault_lock if machine in site.fleet.controls else site.entry_fault_lock
    async with lock:
        with site.disturbed(machine.ip):
            site.fleet.signal(machine, signal.SIGSTOP)
            await asyncio.sleep(random_source.uniform(0.2, MAX_FAULT_S))
            site.fleet.signal(machine, signal.SIGCONT)
        await site.wait_until(site.has_all_voters, 'all voters to be in the group')


async def disturb_connections(site: SoakSite, random_source: random.Random) -> None:
    """Delay, silence or reset the connections to one searcher, or repeat its replies."""
    proxy = site.proxies[_choose_searcher(site, random_source)]
    kind = random_source.randrange(5)
    with site.disturbed(proxy.ip):
        if kind == 0:
            proxy.reset_all()
            return
        proxy.fault = (
            Fault(delay_s=random_source.uniform(0.01, 0.3)),
            Fault(silent_forward=True),
            Fault(silent_back=True),
            Fault(repeat_after_s=random_source.uniform(0.0, 0.1)),
        )[kind - 1]
        await asyncio.sleep(random_source.uniform(0.2, MAX_FAULT_S))
        proxy.fault = NO_FAULT


async def disturb_searcher(site: SoakSite, random_source: random.Random) -> None:
    """Make one searcher refuse, drop, delay or answer with no status a share of its requests."""
    searcher = site.searchers[_choose_searcher(site, random_source)]
    plan = random_source.choice(
        (
            ReplyPlan(not_run=True),
            ReplyPlan(status=STATUS_DROP),
            ReplyPlan(delay_s=0.2),
            ReplyPlan(status=UNASSIGNED_STATUS),
        )
    )
    plan_share = random_source.uniform(0.2, 1.0)
    searcher.behaviour = lambda _id: plan if random_source.random() < plan_share else ReplyPlan()
    await asyncio.sleep(random_source.uniform(0.2, MAX_FAULT_S))
    searcher.behaviour = lambda _id: ReplyPlan()


async def cut_links(site: SoakSite, random_source: random.Random) -> None:
    """Cut the links of an entry instance to all searchers."""
    machine = random_source.choice(site.fleet.entries)
    async with site.entry_fault_lock:
        with site.disturbed(machine.ip):
            site.fleet.cut_links(machine, random_source.choice((HANG, RESET, REFUSE)))
            await asyncio.sleep(random_source.uniform(0.5, 2 * MAX_FAULT_S))
            site.fleet.cut_links(machine, '')


async def state_something(site: SoakSite, random_source: random.Random) -> None:
    """Let one searcher state a limit, ask for rests, or say that it leaves until it restarts."""
    searcher = site.searchers[_choose_searcher(site, random_source)]
    kind = random_source.randrange(3)
    duration_s = random_source.uniform(0.2, MAX_FAULT_S)
    if kind == 0:
        searcher.limit_per_s = random_source.uniform(1.0, 20.0)
    elif kind == 1:
        searcher.rest_s = random_source.uniform(0.2, 2 * MAX_FAULT_S)
    else:
        searcher.is_leaving = True
        duration_s += DRAIN_S
    await asyncio.sleep(duration_s)
    searcher.limit_per_s = searcher.rest_s = None
    if searcher.is_leaving:
        searcher.is_leaving = False
        searcher.born_ms, searcher.sequence = time.time_ns() // 1_000_000, 0


async def fill_disk(site: SoakSite, random_source: random.Random) -> None:
    """Let the disk of a control instance be full for up to MAX_FAULT_S."""
    machine = random_source.choice(site.fleet.controls)
    async with site.control_fault_lock:
        site.fleet.set_disk_full(machine, True)
        await asyncio.sleep(random_source.uniform(0.2, MAX_FAULT_S))
        site.fleet.set_disk_full(machine, False)
        await site.wait_until(site.has_all_voters, 'all voters to be in the group')


async def change_routes(site: SoakSite, _source: random.Random) -> None:
    """Submit a newer version of the routes and wait until it is acknowledged."""
    async with site.submission_lock:
        site.acknowledged_version = max(site.acknowledged_version, await site.submit())


async def evacuate(site: SoakSite, random_source: random.Random) -> None:
    """Evacuate a failure domain for a while, and order that twice now and then."""
    domain = random_source.choice(FAILURE_DOMAINS)
    async with site.evacuation_lock:
        await site.order_evacuation(domain, evacuated=True)
        confirmed_s = time.monotonic()
        await asyncio.sleep(random_source.uniform(0.2, EVACUATE_S + MAX_FAULT_S))
        if random_source.random() < 0.5:
            await site.order_evacuation(domain, evacuated=True)
        site.evacuations.append(Evacuation(domain, confirmed_s, time.monotonic()))
        await site.order_evacuation(domain, evacuated=False)


FAULTS: tuple[FaultFunction, ...] = (
    kill_entry,
    kill_control,
    restart_entry,
    pause,
    disturb_connections,
    disturb_searcher,
    cut_links,
    state_something,
    fill_disk,
    change_routes,
    evacuate,
)


def _choose_searcher(site: SoakSite, random_source: random.Random) -> int:
    """Choose the number of a searcher; most callers need those of single requests."""
    numbers = range(len(site.searchers))
    single = [number for number in numbers if site.searchers[number].service == 'single']
    return random_source.choice(random_source.choice((single, numbers)))


async def _kill_and_restart(
    site: SoakSite, random_source: random.Random, machine: Machine, is_wiped: bool = False
) -> None:
    lock = site.entry_fault_lock if machine in site.fleet.entries else None
    if lock is not None:
        await lock.acquire()
    try:
        with site.disturbed(machine.ip):
            site.fleet.kill(machine)
            if is_wiped:
                site.fleet.wipe(machine)
            await asyncio.sleep(random_source.uniform(0.1, MAX_FAULT_S / 2))
            site.fleet.start(machine)
        await asyncio.sleep(1.0)
    finally:
        if lock is not None:
            lock.release()
