"""Cut and silence the connections between daemons with relays."""

from __future__ import annotations

import itertools
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

import pytest

from tests.test_processes.support import (
    LEASE_S,
    SteadyCaller,
    accept,
    leader_of,
    running_cluster,
    steady_callers,
    wait_in_force,
    wait_usable,
)
from tests.test_processes.test_accepted_configuration import config_of, with_service
from tools.cluster.relay import RelayHub

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.cluster.processes import Cluster
    from tools.cluster.relay import Relay

INSTANCE_COUNT = 5
CHANGE_COUNT = 5
ISOLATED_LEASE_COUNT = 4
FENCED = 202


class PartitionableCluster:
    """Hold a cluster and the relay of each pair of instances."""

    def __init__(self) -> None:
        self.hub = RelayHub()
        self.relays: dict[tuple[str, str], Relay] = {}
        self.cluster: Any = None

    def prepare(self, cluster: Cluster) -> None:
        """Put a relay between each pair of instances."""
        self.cluster = cluster
        for pair in itertools.permutations(cluster.plans, 2):
            relay = self.hub.relay(cluster.plans[pair[1]].peer_address)
            self.relays[pair] = relay
            cluster.peer_address_overrides[pair] = relay.address

    def cut(self, name: str, others: tuple[str, ...], cut: bool = True) -> None:
        """Cut or heal both directions between an instance and others."""
        for other in others:
            self.relays[name, other].cut = cut
            self.relays[other, name].cut = cut


@pytest.fixture(scope='module')
def net(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PartitionableCluster]:
    """Run one cluster behind relays for all tests, each of which restores it."""
    net = PartitionableCluster()
    try:
        folder = tmp_path_factory.mktemp('relayed')
        with running_cluster(folder, None, INSTANCE_COUNT, net.prepare):
            yield net
    finally:
        net.hub.close()


def index_of(cluster: Cluster, name: str) -> int:
    return int(config_of(cluster, name)['accepted']['index'])


def test_partitioned_leader_accepts_no_change(net: PartitionableCluster) -> None:
    """Guard against conflicting changes that are both reported as accepted."""
    cluster = net.cluster
    old_leader = leader_of(cluster)
    others = tuple(name for name in cluster.plans if name != old_leader)
    base_index = index_of(cluster, old_leader)
    content = cluster.configuration()
    with ThreadPoolExecutor(CHANGE_COUNT) as pool:
        net.cut(old_leader, others)
        # The old leader still holds a lease for a moment and appends these to its own log.
        minority_submits = [
            pool.submit(
                cluster.submit,
                old_leader,
                f'minor-{number}',
                base_index,
                with_service(content, number),
            )
            for number in range(CHANGE_COUNT)
        ]
        index = base_index
        for number in range(CHANGE_COUNT):
            index = accept(
                cluster, f'major-{number}', index, with_service(content, 100 + number), others[-1]
            )
        replies = [each.result(60) for each in minority_submits]
    assert not {reply['result_code'] for reply in replies} & {4, 5}
    wait_in_force(cluster, index, others)
    _watch_minority(cluster, old_leader)
    net.cut(old_leader, others, False)
    wait_in_force(cluster, index)
    for name in cluster.plans:
        accepted = config_of(cluster, name)['accepted']
        services = [each['service'] for each in accepted['configuration']['services']]
        assert (accepted['index'], services[-1]) == (index, f'extra-{99 + CHANGE_COUNT}')
    history = config_of(cluster, old_leader, '/history')['entries']
    assert sum(entry['index'] > base_index for entry in history) == CHANGE_COUNT
    for number in range(CHANGE_COUNT):
        reply = cluster.submit(
            old_leader, f'minor-{number}', base_index, with_service(content, number)
        )
        assert reply['result_code'] == 501, reply
    wait_usable(cluster)


def _watch_minority(cluster: Cluster, old_leader: str) -> None:
    caller = SteadyCaller(cluster, 'desk', 500)
    caller.allowed_codes = frozenset({FENCED})
    address = cluster.plans[old_leader].caller_address
    term = None
    for _ in range(int(ISOLATED_LEASE_COUNT * LEASE_S)):
        status = cluster.status(old_leader)
        assert status['in_force'] is None
        assert not status['serving']
        assert term in (None, status['voters']['term']), 'the cut-off member raised its term'
        term = status['voters']['term']
        answer = caller.query(address)
        assert answer is not None
        assert answer.run_status == 'not_run'
    assert caller.faults == []


def test_fenced_instance_returns_addresses_that_serve(net: PartitionableCluster) -> None:
    """Guard against callers that keep using an instance that is isolated from the voters only."""
    cluster = net.cluster
    fenced, other = 'e4', 'e5'
    net.cut(fenced, cluster.voters())
    cluster.wait(lambda: not cluster.status(fenced)['serving'], f'{fenced} to be fenced')
    caller = SteadyCaller(cluster, 'desk', 501)
    caller.allowed_codes = frozenset({0, FENCED})
    answer = caller.query(cluster.plans[fenced].caller_address)
    assert answer is not None
    assert (answer.result_code, answer.run_status) == (FENCED, 'not_run')
    named_instances = [each.instance for each in answer.addresses]
    assert other in named_instances
    assert fenced not in named_instances
    for each in answer.addresses:
        if each.instance == other:
            assert caller.query(each.address)
    assert caller.codes == {FENCED: 1, 0: 1}
    net.cut(fenced, cluster.voters(), False)
    wait_usable(cluster)


@pytest.mark.parametrize('which', ['leader', 'all'])
def test_daemons_replace_silent_connections(net: PartitionableCluster, which: str) -> None:
    """Guard against daemons that wait forever on a connection that is open but silent."""
    cluster = net.cluster
    leader = leader_of(cluster)
    silenced_relays = [
        relay for pair, relay in net.relays.items() if which == 'all' or leader in pair
    ]
    base_index = index_of(cluster, leader)
    counts_before = [relay.connection_count for relay in silenced_relays]
    assert all(net.hub.silence_open(relay) >= 1 for relay in silenced_relays)
    index = accept(
        cluster,
        f'silent-{which}',
        base_index,
        with_service(cluster.configuration(), len(which)),
        'e5',
    )
    wait_in_force(cluster, index)
    wait_usable(cluster)
    cluster.wait(
        lambda: all(
            relay.connection_count > count
            for relay, count in zip(silenced_relays, counts_before, strict=True)
        ),
        'new connections',
    )
    with steady_callers(cluster, 3) as callers:
        cluster.wait(lambda: all(each.codes.get(0, 0) > 20 for each in callers), 'answers')
    assert [fault for each in callers for fault in each.faults] == []
