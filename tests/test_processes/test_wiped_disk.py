"""Wipe a voter's data folder and lose another voter right after the repair."""

from __future__ import annotations

import shutil
from typing import TYPE_CHECKING, Any

from tests.test_processes.support import (
    accept,
    leader_of,
    running_cluster,
    steady_callers,
    wait_in_force,
)
from tests.test_processes.test_accepted_configuration import config_of, with_service

if TYPE_CHECKING:
    from pathlib import Path

    from tools.cluster.processes import Cluster


def voters_of(cluster: Cluster, names: tuple[str, ...]) -> Any:
    """Return the report of the voters with the highest term."""
    reports = [status['voters'] for name in names if (status := cluster.status(name))]
    return max((each for each in reports if each), key=lambda each: each['term'], default=None)


def test_changes_are_accepted_after_a_voter_loss_right_after_a_repair(tmp_path: Path) -> None:
    """Guard against a repaired voter that counts for a quorum before it holds accepted entries."""
    with running_cluster(tmp_path) as cluster, steady_callers(cluster, 1) as callers:
        base_index = config_of(cluster, 'e1')['accepted']['index']
        content = cluster.configuration()
        first_leader = leader_of(cluster)
        wiped = next(name for name in cluster.voters() if name != first_leader)
        others = tuple(name for name in cluster.plans if name != wiped)
        old_members = set(voters_of(cluster, others)['voters'])
        callers[0].instance_addresses = tuple(cluster.plans[name].caller_address for name in others)
        callers[0].allowed_codes |= {1}
        cluster.kill(wiped)
        shutil.rmtree(cluster.plans[wiped].folder / 'data')
        accepted = [accept(cluster, 'while-down', base_index, with_service(content, 0), others[-1])]
        cluster.start(wiped)

        def repaired() -> bool:
            report = voters_of(cluster, others)
            members = report['voters'] if report else ()
            new_members = [each for each in members if each.startswith(f'{wiped}-')]
            return bool(
                report
                and report['can_lose_count'] == 1
                and len(members) == 3
                and new_members
                and not set(new_members) & old_members
            )

        cluster.wait(repaired, 'a repaired voter group')
        lost_leader = leader_of(cluster, others)
        cluster.kill(lost_leader)
        remaining = tuple(name for name in cluster.plans if name != lost_leader)
        for number in range(1, 6):
            content = with_service(cluster.configuration(), number)
            accepted.append(
                accept(cluster, f'after-{number}', accepted[-1], content, remaining[-1])
            )
        wait_in_force(cluster, accepted[-1], remaining)
        history = {
            entry['index'] for entry in config_of(cluster, remaining[0], '/history')['entries']
        }
        assert {base_index, *accepted} <= history
        shutil.rmtree(cluster.plans[lost_leader].folder / 'data')
        cluster.start(lost_leader)
        wait_in_force(cluster, accepted[-1])
        assert [each for each in callers[0].faults if 'snapshot' in each or 'untrue' in each] == []
