"""Kill all daemons at once after many accepted changes."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from pistachioloft_core.messages.accepted import Configuration, DrainInstance, ServiceEntry
from tests.test_processes.support import accept, running_cluster, wait_in_force, wait_usable

if TYPE_CHECKING:
    from pathlib import Path

    from tools.cluster.processes import Cluster

CHANGE_COUNT = 300
HISTORY_LIMIT = 200
# Together with the changes, more entries than one snapshot covers (1,000).
OTHER_ENTRY_COUNT = 720


def with_service(content: Configuration, number: int) -> Configuration:
    """Add a service with the number in its name to a configuration."""
    return replace(content, services=(*content.services, ServiceEntry(f'extra-{number}')))


def config_of(cluster: Cluster, name: str, suffix: str = '') -> Any:
    """Read the configuration in force at one instance, or the history of configurations."""
    return cluster.get(cluster.plans[name].operator_address, f'/v1/config{suffix}')


def fill_log(cluster: Cluster) -> int:
    """Accept many small commands and return the index of the newest."""

    def undrain(number: int) -> int:
        name = f'e{number % 4 + 1}'
        message = DrainInstance(f'undrain-{number}', 'e4', False, 'test')
        address = cluster.plans[name].operator_address
        reply = cluster.post(address, '/v1/instances/drain', message)
        assert reply['result_code'] in (4, 5), reply
        return int(reply['accepted_index'])

    with ThreadPoolExecutor(8) as pool:
        return max(pool.map(undrain, range(OTHER_ENTRY_COUNT)))


def test_accepted_changes_survive_the_kill_of_all_daemons(tmp_path: Path) -> None:
    """Guard against daemons that restart with an older configuration after many changes."""
    with running_cluster(tmp_path) as cluster:
        content = cluster.configuration()
        index = config_of(cluster, 'e1')['accepted']['index']
        base_indexes = []
        for number in range(CHANGE_COUNT):
            base_indexes.append(index)
            index = accept(cluster, f'change-{number}', index, with_service(content, number))
            assert index > base_indexes[-1]
        last_change_index = index
        index = fill_log(cluster)
        wait_in_force(cluster, index)
        digest = config_of(cluster, 'e1')['accepted']['digest']
        history = config_of(cluster, 'e1', '/history')['entries']
        snapshots = [
            name
            for name in cluster.voters()
            if any((cluster.plans[name].folder / 'data').glob('snapshot-*'))
        ]
        assert len(snapshots) >= 2
        for process in cluster.daemons.values():
            process.kill()
        for process in cluster.daemons.values():
            process.wait()
        cluster.start_all()
        wait_in_force(cluster, index)
        for name in cluster.plans:
            accepted = config_of(cluster, name)['accepted']
            assert (accepted['index'], accepted['digest']) == (index, digest)
        cluster.wait(lambda: config_of(cluster, 'e2', '/history'), 'the history')
        assert config_of(cluster, 'e2', '/history')['entries'] == history
        newest = [*base_indexes[1:], last_change_index][-HISTORY_LIMIT:]
        assert sorted(entry['index'] for entry in history) == newest
        for number in (0, 7, CHANGE_COUNT - 1):
            reply = cluster.submit(
                'e3', f'change-{number}', base_indexes[number], with_service(content, number)
            )
            first_index = (
                base_indexes[number + 1] if number + 1 < CHANGE_COUNT else last_change_index
            )
            assert (reply['result_code'], reply['accepted_index']) == (5, first_index)
        wait_usable(cluster)
        assert config_of(cluster, 'e4')['accepted']['index'] == index


def test_newest_acknowledged_change_survives_kills_during_submits(tmp_path: Path) -> None:
    """Guard against an acknowledgement before a quorum has the change on disk."""
    with running_cluster(tmp_path) as cluster, ThreadPoolExecutor(1) as pool:
        content = cluster.configuration()
        acknowledged = [config_of(cluster, 'e1')['accepted']['index']]

        def submit_until_refused() -> None:
            for number in range(10_000):
                try:
                    reply = cluster.submit(
                        'e4', f'run-{number}', acknowledged[-1], with_service(content, number)
                    )
                except Exception:
                    return
                if reply['result_code'] not in (4, 5):
                    return
                acknowledged.append(reply['accepted_index'])

        running = pool.submit(submit_until_refused)
        for count in (10, 30):
            cluster.wait(lambda count=count: len(acknowledged) >= count, f'{count} changes')
            for name in cluster.voters():
                cluster.daemons[name].kill()
            for name in cluster.voters():
                cluster.daemons[name].wait()
                cluster.start(name)
        cluster.kill('e4')
        running.result(60)
        cluster.start('e4')
        wait_in_force(cluster, acknowledged[-1])
        assert len(acknowledged) >= 30
