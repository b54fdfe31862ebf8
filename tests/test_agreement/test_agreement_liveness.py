"""Test that the group elects leaders, replicates, repairs its membership and recovers."""

from __future__ import annotations

from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.messages.agreement import AppendRequest, HardState
from pistachioloft_core.process import agreement as ag
from pistachioloft_core.process.agreement import log, replication
from tests.test_agreement.cluster import Cluster, Disk


@pytest.mark.parametrize('voter_count', [1, 2, 3, 5])
def test_restart_of_all_voters_keeps_committed_entries(voter_count: int) -> None:
    """Guard against losing committed entries when all voters restart."""
    cluster = Cluster(2, voter_count)
    leader = cluster.commit(*(f'entry-{number}' for number in range(700)))
    assert ag.tolerated_loss_count(cluster.state(leader), cluster.now_ms) == (voter_count - 1) // 2
    before = dict(cluster.committed)
    for name in cluster.members:
        cluster.crash(name)
    cluster.check_recovery()
    assert before.items() <= cluster.committed.items()


@pytest.mark.parametrize('seed', range(4))
def test_leadership_transfer_completes_at_once_or_not_at_all(seed: int) -> None:
    """Guard against a planned stop that waits for an election, or an endless transfer."""
    cluster = Cluster(seed, 3)
    leader = cluster.commit('before')
    target, other = (name for name in cluster.members if name != leader)
    cluster.handle(leader, ag.TransferLeadership(target))
    cluster.run(50)
    assert cluster.leader() == target
    cluster.commit('after')
    cluster.crash(other)
    cluster.handle(target, ag.TransferLeadership(other))
    cluster.propose(target, 'during')
    assert cluster.rejected['during'].reason == 'transferring'
    cluster.run(4000)
    cluster.check_recovery()


@pytest.mark.parametrize('action_count', range(14))
def test_leader_crash_between_actions_loses_no_committed_entry(action_count: int) -> None:
    """Guard against a commit that depends on entries the leader has not persisted yet."""
    cluster = Cluster(action_count, 3)
    leader = cluster.commit('before')
    cluster.members[leader].actions_until_crash_count = action_count
    for number in range(3):
        cluster.propose(leader, f'entry-{number}')
    cluster.run(400)
    cluster.crash(leader)
    assert cluster.commit('after') != leader
    cluster.check_recovery()


@pytest.mark.parametrize('retained_count', [0, 20])
def test_lagging_voter_catches_up_by_snapshot(
    retained_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a voter that stays behind once the entries it lacks are compacted."""
    monkeypatch.setattr(replication, 'RETAINED_ENTRIES', retained_count)
    cluster = Cluster(3, 3)
    cluster.snapshot_interval_entries = 25
    leader = cluster.commit('before')
    late, fresh = (name for name in cluster.members if name != leader)
    for count, lagging in ((100, late), (10, late), (100, fresh)):
        cluster.crash(lagging)
        for number in range(count):
            cluster.commit(f'{count}-{lagging}-{number}')
        cluster.restart(lagging)
        cluster.run(2000)
        assert len(cluster.members[lagging].applied) == len(cluster.committed)
    assert 2 <= cluster.transfer_count <= 3
    cluster.check_recovery()


def test_append_message_size_is_bounded() -> None:
    """Guard against an append message so large that it delays all others on its link."""
    cluster = Cluster(4, 3)
    leader = cluster.leader()
    payloads = [b'x'] * 600 + [b'x' * 100_000] * 6 + [b'x' * 300_000]
    batch = tuple(ag.Propose(f'{i}', payload, i) for i, payload in enumerate(payloads))
    cluster.handle(leader, ag.ProposeBatch(batch))
    cluster.run(2000)
    assert all(cluster.is_committed(f'{number}') for number in range(len(payloads)))
    appends = [
        send.message.entries for _, send in cluster.sent if type(send.message) is AppendRequest
    ]
    assert max(len(entries) for entries in appends) == log.MAX_APPEND_ENTRIES
    for entries in appends:
        assert len(entries) <= 1 or sum(len(e.payload) for e in entries) <= log.MAX_APPEND_BYTES


def test_voters_follow_the_wanted_instances() -> None:
    """Guard against voters that differ from the accepted voter instances."""
    cluster = Cluster(5, 1)
    for letter in 'bcd':
        cluster.add(f'{letter}-0', Disk(HardState(0, None), ()))
    for letters in ('abc', 'bcd', 'd', 'abcd'):
        cluster.wanted_instances = tuple(letters)
        cluster.run(15_000)
        voters = ag.membership(cluster.state(cluster.leader())).voters
        assert sorted(voters) == [f'{letter}-0' for letter in letters]
    cluster.check_recovery()


FAULTS = ('crash', 'isolate', 'clear_faults', 'wipe', 'propose', 'propose', 'transfer', 'lossy')
PAUSES_MS = (0.5, 4.0, 30.0, 150.0, 700.0, 2500.0)
FAULT_SEQUENCES = st.lists(
    # The last position means the leader of the newest term.
    st.tuples(st.sampled_from(FAULTS), st.integers(0, 5), st.sampled_from(PAUSES_MS)),
    max_size=40,
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 2**32), st.sampled_from((3, 5)), FAULT_SEQUENCES)
def test_any_sequence_of_faults_keeps_committed_entries(
    seed: int, voter_count: int, faults: list[tuple[str, int, float]]
) -> None:
    """Guard against lost, changed or repeated entries and a group that does not recover."""
    cluster = Cluster(seed, voter_count)
    cluster.wanted_instances = tuple('abcde'[:voter_count])
    cluster.snapshot_interval_entries = 10
    with mock.patch.object(replication, 'RETAINED_ENTRIES', 3):
        for number, (fault, position, pause_ms) in enumerate(faults):
            letter = cluster.wanted_instances[position % voter_count]
            name = max(n for n in cluster.members if n[0] == letter)
            if position == 5 and cluster.leaders:
                name = cluster.leaders[max(cluster.leaders)]
            apply_fault(cluster, fault, name, number)
            cluster.run(pause_ms)
        cluster.check_recovery()
    payloads = [entry.payload for entry in cluster.committed.values() if entry.payload]
    assert len(payloads) == len(set(payloads)), 'a proposal was committed twice'
    for proposal_id in cluster.rejected:
        assert proposal_id.encode() not in payloads, 'a rejected proposal was committed'


def apply_fault(cluster: Cluster, fault: str, name: str, number: int) -> None:
    """Cause one fault at a member, or send it one request."""
    match fault:
        case 'crash':
            cluster.crash(name)
        case 'wipe' if len(cluster.members) < 3 * len(cluster.wanted_instances) // 2:
            cluster.wipe(name)
        case 'isolate':
            cluster.isolate(name, *cluster.random.sample(list(cluster.members), number % 2))
        case 'clear_faults':
            cluster.clear_faults()
        case 'lossy':
            cluster.loss_ratio, cluster.delay_ms = 0.2, (0.5, 150.0)
        case 'propose':
            for proposer in cluster.running():
                cluster.propose(proposer, f'{number}-{proposer}')
        case 'transfer':
            for leader in cluster.leaders.values():
                cluster.handle(leader, ag.TransferLeadership(None))


@pytest.mark.parametrize('voter_count', [3, 5])
def test_restart_of_all_voters_elects_without_waiting_for_a_lease(voter_count: int) -> None:
    """Guard against an outage of a whole lease after all voters were killed together."""
    cluster = Cluster(5, voter_count)
    cluster.commit('before')
    for name in cluster.members:
        cluster.crash(name)
    cluster.run(1_000.0)
    for name in cluster.members:
        cluster.restart(name)
    cluster.run(500.0)
    lease_holders = [n for n in cluster.running() if ag.has_lease(cluster.state(n), cluster.now_ms)]
    assert len(lease_holders) == 1
    cluster.check_recovery()


def test_restart_of_all_voters_after_repair_elects_without_waiting() -> None:
    """Guard against an election that needs the vote of a member that no longer exists."""
    cluster = Cluster(5, 3)
    cluster.commit('before')
    cluster.wanted_instances = ('a', 'b', 'c')
    lost = next(name for name in cluster.members if name != cluster.leader())
    cluster.wipe(lost)
    cluster.run(6_000.0)
    assert lost not in ag.membership(cluster.state(cluster.leader())).voters
    running = cluster.running()
    for name in running:
        cluster.crash(name)
    cluster.run(1_000.0)
    for name in running:
        cluster.restart(name)
    cluster.run(500.0)
    lease_holders = [n for n in cluster.running() if ag.has_lease(cluster.state(n), cluster.now_ms)]
    assert len(lease_holders) == 1


@pytest.mark.parametrize('seed', range(30))
def test_restarted_voters_do_not_depose_a_leader_that_may_hold_a_lease(seed: int) -> None:
    """Guard against two leases when the voters that confirmed one restart immediately."""
    cluster = Cluster(seed, 3)
    leader = cluster.commit('before')
    others = [name for name in cluster.members if name != leader]
    for name in others:
        cluster.crash(name)
        cluster.restart(name)
    cluster.isolate(leader)
    # The cluster fails the test if two leases overlap; the old one ends within LEASE_MS.
    cluster.run(700.0)
    assert cluster.leader() in others
    cluster.check_recovery()


def test_restart_of_all_voters_with_a_lost_disk_elects_without_waiting() -> None:
    """Guard against an outage of a whole lease when one of the restarted voters lost its disk."""
    cluster = Cluster(9, 3)
    cluster.commit('before')
    lost, *kept = cluster.members
    for name in list(cluster.members):
        cluster.crash(name)
    cluster.run(1_000.0)
    cluster.wipe(lost)
    for name in kept:
        cluster.restart(name)
    cluster.run(500.0)
    lease_holders = [n for n in cluster.running() if ag.has_lease(cluster.state(n), cluster.now_ms)]
    assert len(lease_holders) == 1
    assert lease_holders[0] in kept


@pytest.mark.parametrize('voter_count', [3, 5])
def test_followers_apply_commit_without_waiting_for_heartbeat(voter_count: int) -> None:
    """Guard against followers that apply a committed entry only after the next heartbeat."""
    cluster = Cluster(7, voter_count)
    leader = cluster.commit('before')
    cluster.propose(leader, 'newer')
    # Append, reply and notification take at most 3 ms each; none of them waits for a timer.
    cluster.run(9.0)
    assert cluster.is_committed('newer')
    index = cluster.proposed['newer'].index
    behind = [name for name, member in cluster.members.items() if len(member.applied) < index]
    assert not behind


def test_commit_notification_rate_is_bounded() -> None:
    """Guard against a notification to each follower for each of many commits."""
    cluster = Cluster(7, 3)
    leader = cluster.commit('before')
    sent_before = len(cluster.sent)
    for number in range(100):
        cluster.propose(leader, f'many-{number}')
        cluster.run(5.0)
    requests = [
        action.message
        for sender, action in cluster.sent[sent_before:]
        if sender == leader and isinstance(action.message, AppendRequest)
    ]
    # 100 entries go to two followers in half a second, with 5 heartbeats and at most 50
    # notifications a second to each.
    assert len([request for request in requests if not request.entries]) <= 2 * (5 + 25 + 2)
    cluster.run(200.0)
    assert all(cluster.is_committed(f'many-{number}') for number in range(100))
