"""Test the rules of consensus against single messages and membership changes."""

from __future__ import annotations

import random

from pistachioloft_core.messages.agreement import (
    ENTRY_COMMAND,
    AppendReply,
    AppendRequest,
    HardState,
    LogEntry,
    Membership,
    SnapshotMeta,
    TimeoutNow,
)
from pistachioloft_core.process import agreement as ag
from tests.test_agreement.cluster import Cluster

GROUP = Membership(('a-0', 'b-0', 'c-0'))
OLD_ENTRIES = tuple(LogEntry(1, index, ENTRY_COMMAND, 0, b'old') for index in (2, 3))


def follower(snapshot: SnapshotMeta | None = None, last_term: int = 1) -> ag.AgreementState:
    """Return the state of a voter with uncommitted entries."""
    last = LogEntry(last_term, 4, ENTRY_COMMAND, 0, b'old')
    entries = (ag.first_entry(GROUP.voters), *OLD_ENTRIES, last)
    return ag.create_state('a-0', HardState(2, None), snapshot, entries, random.Random(1), 0.0)


def test_heartbeat_commits_only_matching_entries() -> None:
    """Guard against committing entries that the leader does not have."""
    state = follower()
    heartbeat = AppendRequest(3, 'b-0', 2, 1, (), commit_index=4, heartbeat_id=1)
    actions = ag.step(state, 1.0, ag.Received('b-0', heartbeat))
    assert ag.commit_index(state) == 2
    assert ag.Send('b-0', AppendReply(3, 'a-0', True, 2, 1)) in actions


def test_snapshot_that_conflicts_with_log_drops_it_permanently() -> None:
    """Guard against conflicting entries that reappear after a snapshot was installed."""
    meta = SnapshotMeta(2, 3, GROUP)
    state = follower()
    actions = ag.step(state, 1.0, ag.SnapshotInstalled(meta))
    assert ag.Persist(None, 4, ()) in actions
    assert (state.log.last_index, state.log.last_term) == (3, 2)
    # The process may stop between the snapshot and the truncation.
    assert follower(meta).log.entries == follower(meta, last_term=3).log.entries == []
    assert len(follower(SnapshotMeta(1, 3, GROUP)).log.entries) == 1


def test_late_messages_of_an_earlier_term_are_ignored() -> None:
    """Guard against a reply or a transfer of an earlier term that takes effect."""
    cluster = Cluster(1, 3)
    leader = cluster.commit('before')
    other, third = (name for name in cluster.members if name != leader)
    term = cluster.state(leader).term
    cluster.handle(third, ag.Received(leader, TimeoutNow(term - 1, leader)))
    assert cluster.state(third).term == term
    cluster.isolate(leader)
    cluster.propose(leader, 'unconfirmed')
    last_index = cluster.state(leader).log.last_index
    late_reply = AppendReply(term - 1, other, True, last_index, 1)
    cluster.handle(leader, ag.Received(other, late_reply))
    assert not cluster.is_committed('unconfirmed')
    cluster.check_recovery()


def test_repair_keeps_quorum_and_replacement() -> None:
    """Guard against a removal that leaves too few live voters or no replacement."""
    cluster = Cluster(2, 3)
    cluster.commit('before')
    cluster.wanted_instances = ('a', 'b', 'd')
    cluster.run(5000)
    leader = cluster.leader()
    assert set(ag.membership(cluster.state(leader)).voters) == set(cluster.members)
    lost, other = (name for name in cluster.members if name != leader)
    cluster.crash(lost)
    cluster.run(400)
    cluster.wanted_instances = (leader[0], lost[0])
    cluster.run(5000)
    assert other in ag.membership(cluster.state(leader)).voters
    cluster.commit('after')
    cluster.check_recovery()
    cluster.run(3000)
    assert set(ag.membership(cluster.state(leader)).voters) == {leader, lost}
