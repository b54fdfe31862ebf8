"""Guard callers of entry instances that are cut off from all endpoints."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING

import pytest

from tools.fleet.cut_links import HANG, REFUSE, RESET
from tools.fleet.site import Site

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from tools.fleet.processes import Machine
    from tools.fleet.site import Answer

ENTRY_COUNT = 4
# The bound of the users: from 4 s after a cut began, callers of cut-off instances are served at
# least two thirds as often, or at most 10 and 1 in 50 of all first tries fail there.
SETTLED_AFTER_S = 4.0
LOAD_S = 4.0
CALL_INTERVAL_S = 0.01
RUN_ONCE_PATH = '/once/x'
PATHS = ('/all/x', '/one/x', RUN_ONCE_PATH)


async def first_tries(
    site: Site, machines: Iterable[Machine], paths: Iterable[str] = PATHS
) -> dict[tuple[str, str], list[Answer]]:
    """Send requests for each path to each machine in turn and return the answers by both."""
    targets = [(machine, path) for path in paths for machine in machines]
    calls: dict[tuple[str, str], list[asyncio.Task[Answer]]] = defaultdict(list)
    for number in range(round(LOAD_S / CALL_INTERVAL_S)):
        machine, path = targets[number % len(targets)]
        method = 'POST' if path == RUN_ONCE_PATH else 'GET'
        call = site.call(path, site.fleet.caller_address(machine), method)
        calls[machine.name, path].append(asyncio.create_task(call))
        await asyncio.sleep(CALL_INTERVAL_S)
    return {target: list(await asyncio.gather(*tasks)) for target, tasks in calls.items()}


def served_fraction(answers: list[Answer]) -> float:
    return sum(answer.status == 200 for answer in answers) / len(answers)


@pytest.mark.parametrize('mode', [HANG, RESET, REFUSE])
def test_callers_of_cut_off_instances_are_served(tmp_path: Path, mode: str) -> None:
    """Guard against instances that refuse what their peers could serve."""

    async def scenario(site: Site) -> None:
        cut_off, sound = site.fleet.entries[:2], site.fleet.entries[2:]
        for machine in cut_off:
            site.fleet.cut_links(machine, mode)
        # Requests go on from the start, as the instances learn of the cut by them.
        await first_tries(site, site.fleet.entries)
        await asyncio.sleep(max(0.0, SETTLED_AFTER_S - LOAD_S))
        answers = await first_tries(site, site.fleet.entries)
        advertised = await site.addresses()
        assert sorted(advertised) == sorted(site.fleet.caller_address(each) for each in sound)
        for path in PATHS:
            cut_off_answers = [answer for each in cut_off for answer in answers[each.name, path]]
            sound_answers = [answer for each in sound for answer in answers[each.name, path]]
            failed_count = sum(answer.status != 200 for answer in cut_off_answers)
            allowed_count = 10 + (len(cut_off_answers) + len(sound_answers)) / 50
            assert (
                served_fraction(cut_off_answers) >= 2 / 3 * served_fraction(sound_answers)
                or failed_count <= allowed_count
            ), path
            assert served_fraction(sound_answers) >= 0.99, path
        for answer in answers[cut_off[0].name, RUN_ONCE_PATH]:
            runs = sum(each.run_count(answer.request_id) for each in site.of_service('single'))
            assert runs <= 1

    async def run() -> None:
        async with Site(tmp_path, entry_count=ENTRY_COUNT) as site:
            await site.serving()
            await scenario(site)

    asyncio.run(run())


def test_instance_serves_by_itself_after_a_cut(tmp_path: Path) -> None:
    """Guard against an instance that passes requests on for longer than it is cut off."""

    async def run() -> None:
        async with Site(tmp_path, entry_count=2) as site:
            await site.serving()
            machine = site.fleet.entries[0]
            site.fleet.cut_links(machine, HANG)
            await first_tries(site, [machine], ['/all/x'])
            site.fleet.cut_links(machine, '')
            await asyncio.sleep(1.0)
            answers = (await first_tries(site, [machine], ['/all/x']))[machine.name, '/all/x']
            assert served_fraction(answers) >= 0.99
            assert 'endpoints reached again' in site.fleet.log(machine)

    asyncio.run(run())
