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
STOPPED_LEASES = 4


class Watcher(threading.Thread):
    """Ask a thawed instance for its status and for answers, from before it is thawed."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        super().__init__(daemon=True)
        self.cluster = cluster
        self.name_watched = name
        self.caller = SteadyCaller(cluster, 'desk', 77)
        self.caller.allowed_codes = frozenset({0, FENCED})
        self.statuses: list[Any] = []
        self.answers: list[Any] = []
        self.stop_requested = threading.Event()

    def run(self) -> None:
        """Ask in turn without a pause."""
        plan = self.cluster.plans[self.name_watched]
        while not self.stop_requested.is_set():
            self.answers.append(self.caller.query(plan.caller_address))
            self.statuses.append(self.cluster.status(self.name_watched))


def version_content(cluster: Cluster, version: int) -> Any:
    """Build the configuration whose only version is the given one."""
    return cluster.configuration((version,))


def test_a_thawed_leader_never_works_with_the_older_configuration(tmp_path: Path) -> None:
    """Guard against a leader that runs on after a pause and trusts its old lease."""
    with running_cluster(tmp_path) as cluster:
        old = leader_of(cluster)
        others = tuple(name for name in cluster.plans if name != old)
        before = cluster.status(old)['accepted_index']
        with steady_callers(cluster, 1, allowed=frozenset({1, 204})):
            cluster.freeze(old)
            index = accept(cluster, 'elsewhere', before, version_content(cluster, 2), others[-1])
            wait_in_force(cluster, index, others)
            reported = _everywhere(cluster, others)
            assert reported[old]['state'] == 'fenced'
            threading.Event().wait(STOPPED_LEASES * LEASE_S)
            watchers = [Watcher(cluster, old) for _ in range(4)]
            for each in watchers:
                each.start()
            # Without the other voters nobody corrects it: only its own lease fences it.
            for name in set(cluster.voters()) - {old}:
                cluster.freeze(name)
            cluster.thaw(old)
            cluster.wait(lambda: all(map(_refused, watchers)), 'refused queries')
            for name in set(cluster.voters()) - {old}:
                cluster.thaw(name)
            wait_in_force(cluster, index, (old,))
            for each in watchers:
                each.stop_requested.set()
            for each in watchers:
                each.join(60)
        for each in watchers:
            _judge(each, old, index)
        assert cluster.status(old)['accepted_index'] == index


def _everywhere(cluster: Cluster, names: tuple[str, ...]) -> dict[str, Any]:
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


def _judge(watcher: Watcher, old: str, index: int) -> None:
    assert watcher.caller.versions.get(1, 0) == 0, 'served the version that was retired'
    for answer in _refused(watcher):
        assert answer.run_status == 'not_run'
        assert old not in {each.instance for each in answer.addresses}
    for status in watcher.statuses:
        if status and status['in_force'] and status['in_force']['everywhere']:
            assert status['in_force']['index'] >= index
        if status and status['accepted_index'] < index:
            assert not status['serving']
