"""Freeze the leader while another one accepts a change."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any

from tests.test_processes.support import (
    LEASE_S,
    SteadyCaller,
    accept,
    leader_of,
    running_cluster,
    steady_callers,
    wait_in_force,
)

if TYPE_CHECKING:
    from pathlib import Path

    from tools.cluster.processes import Cluster

FENCED = 202
FROZEN_LEASE_COUNT = 4


class Watcher(threading.Thread):
    """Query a thawed instance and its status continuously, starting before it is thawed."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        super().__init__(daemon=True)
        self.cluster = cluster
        self.watched_name = name
        self.caller = SteadyCaller(cluster, 'desk', 77)
        self.caller.allowed_codes = frozenset({0, FENCED})
        self.statuses: list[Any] = []
        self.answers: list[Any] = []
        self.stop_requested = threading.Event()

    def run(self) -> None:
        """Alternate queries and status requests without a pause."""
        plan = self.cluster.plans[self.watched_name]
        while not self.stop_requested.is_set():
            self.answers.append(self.caller.query(plan.caller_address))
            self.statuses.append(self.cluster.status(self.watched_name))


def version_content(cluster: Cluster, version: int) -> Any:
    """Build a configuration with a single version."""
    return cluster.configuration((version,))


def test_thawed_leader_never_serves_the_older_configuration(tmp_path: Path) -> None:
    """Guard against a leader that resumes after a pause and relies on its expired lease."""
    with running_cluster(tmp_path) as cluster:
        old_leader = leader_of(cluster)
        others = tuple(name for name in cluster.plans if name != old_leader)
        base_index = cluster.status(old_leader)['accepted_index']
        with steady_callers(cluster, 1, allowed=frozenset({1, 204})):
            cluster.freeze(old_leader)
            index = accept(
                cluster, 'elsewhere', base_index, version_content(cluster, 2), others[-1]
            )
            wait_in_force(cluster, index, others)
            status_by_instance = _wait_everywhere(cluster, others)
            assert status_by_instance[old_leader]['state'] == 'fenced'
            threading.Event().wait(FROZEN_LEASE_COUNT * LEASE_S)
            watchers = [Watcher(cluster, old_leader) for _ in range(4)]
            for each in watchers:
                each.start()
            # With the other voters frozen, only the expiry of its own lease can fence it.
            for name in set(cluster.voters()) - {old_leader}:
                cluster.freeze(name)
            cluster.thaw(old_leader)
            cluster.wait(lambda: all(map(_refused, watchers)), 'refused queries')
            for name in set(cluster.voters()) - {old_leader}:
                cluster.thaw(name)
            wait_in_force(cluster, index, (old_leader,))
            for each in watchers:
                each.stop_requested.set()
            for each in watchers:
                each.join(60)
        for each in watchers:
            _check_watcher(each, old_leader, index)
        assert cluster.status(old_leader)['accepted_index'] == index


def _wait_everywhere(cluster: Cluster, names: tuple[str, ...]) -> dict[str, Any]:
    report: dict[str, Any] = {}

    def everywhere() -> bool:
        status = cluster.status(names[0])
        if status and status['in_force'] and status['in_force']['everywhere']:
            report.update({row['instance']: row for row in status['in_force']['instances']})
        return bool(report)

    cluster.wait(everywhere, 'the change to be in force everywhere')
    return report


def _refused(watcher: Watcher) -> list[Any]:
    return [each for each in watcher.answers if each and each.result_code == FENCED]


def _check_watcher(watcher: Watcher, old_leader: str, index: int) -> None:
    assert watcher.caller.versions.get(1, 0) == 0, 'served the version that was retired'
    for answer in _refused(watcher):
        assert answer.run_status == 'not_run'
        assert old_leader not in {each.instance for each in answer.addresses}
    for status in watcher.statuses:
        if status and status['in_force'] and status['in_force']['everywhere']:
            assert status['in_force']['index'] >= index
        if status and status['accepted_index'] < index:
            assert not status['serving']
