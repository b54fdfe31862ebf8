"""Guard against a group that does not elect, replicate or recover."""

from __future__ import annotations

import pytest

from pistachioloft_core.process.agreement import TransferLeadership, can_lose
from tests.test_agreement.cluster import Cluster


@pytest.mark.parametrize('voter_count', [1, 2, 3, 5])
def test_group_elects_and_commits(voter_count: int) -> None:
    """Guard against a group that never gets a leader or loses a proposal."""
    cluster = Cluster(1, voter_count)
    leader = cluster.commit('first', 'second')
    state = cluster.members[leader].state
    assert state is not None
    assert can_lose(state, cluster.now_ms) == (voter_count - 1) // 2
    cluster.settle()


def test_restart_of_all_keeps_hundreds_of_entries() -> None:
    """Guard against a restart that falls back to older settings."""
    cluster = Cluster(2, 3)
    cluster.commit(*(f'entry-{number}' for number in range(700)))
    before = dict(cluster.committed)
    for name in cluster.members:
        cluster.crash(name)
    for name in cluster.members:
        cluster.restart(name)
    cluster.settle()
    assert before.items() <= cluster.committed.items()


@pytest.mark.parametrize('seed', range(5))
def test_transfer_moves_leadership_at_once(seed: int) -> None:
    """Guard against a planned stop that waits for an election timeout."""
    cluster = Cluster(seed, 3)
    leader = cluster.commit('before')
    target = next(name for name in cluster.members if name != leader)
    cluster.feed(leader, TransferLeadership(target))
    cluster.run(50)
    assert cluster.leader() == target
    cluster.commit('after')
    cluster.settle()
