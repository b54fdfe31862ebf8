"""Test the safety of consensus, and that each scenario fails if its rule is broken."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import pytest

from pistachioloft_core.messages.agreement import (
    ENTRY_COMMAND,
    HardState,
    LogEntry,
    VoteReply,
    VoteRequest,
)
from pistachioloft_core.process import agreement as ag
from pistachioloft_core.process.agreement import election, log, replication
from pistachioloft_core.process.agreement.state import is_voter
from tests.test_agreement.cluster import Cluster, Disk

if TYPE_CHECKING:
    from collections.abc import Callable

# The package exports the function `step` over the module of that name.
step_module = sys.modules[ag.step.__module__]


def vote_survives_a_crash() -> None:
    """Guard against two votes of a voter in one term, before and after a crash."""
    cluster = Cluster(1, 3)
    cluster.isolate('a-0')
    for candidate in ('b-0', 'c-0'):
        cluster.run(700)
        request = VoteRequest(9, candidate, 100, 8, pre_vote=False)
        cluster.handle('a-0', ag.Received(candidate, request))
        cluster.crash('a-0')
        cluster.restart('a-0')
    votes = [send for sender, send in cluster.sent if sender == 'a-0']
    granted_candidates = {
        v.to for v in votes if v.message == VoteReply(9, 'a-0', True, pre_vote=False)
    }
    assert len(granted_candidates) == 1, f'votes in one term for {sorted(granted_candidates)}'


def broken_link_does_not_replace_leader() -> None:
    """Guard against a voter that votes against a leader with which it has contact."""
    cluster = Cluster(3, 3)
    leader = cluster.commit('before')
    other, third = (name for name in cluster.members if name != leader)
    cluster.blocked_links |= {(leader, other), (other, leader)}
    cluster.run(5000)
    for _ in range(200):
        # The voter must refuse votes after a restart as it did before.
        cluster.crash(third)
        cluster.restart(third)
        cluster.run(15)
    assert cluster.leader() == leader, 'the leader was replaced while a quorum had contact with it'
    cluster.commit('after')
    cluster.check_recovery()


def lease_counts_from_send_time() -> None:
    """Guard against late replies that extend a lease into the next leader's term."""
    for seed in range(8):
        cluster = Cluster(seed, 3)
        leader = cluster.commit('before')
        cluster.extra_delay_ms[leader] = 500.0
        cluster.run(150)
        cluster.blocked_links |= {(leader, name) for name in cluster.members}
        cluster.run(3000)
        assert cluster.leader() != leader


def isolated_leader_rejects_proposals() -> None:
    """Guard against a leader that is isolated for ten minutes and still accepts proposals."""
    cluster = Cluster(4, 5)
    isolated_leader = cluster.commit('before')
    cluster.isolate(isolated_leader)
    cluster.run(500)
    for number in range(20):
        cluster.propose(isolated_leader, f'stale-{number}')
        assert f'stale-{number}' in cluster.rejected, 'a stale leader accepted a proposal'
        assert not ag.has_lease(cluster.state(isolated_leader), cluster.now_ms)
        cluster.run(30_000)
        assert cluster.state(isolated_leader).role != ag.ROLE_LEADER, (
            'a stale leader does not step down'
        )
    assert cluster.commit('after') != isolated_leader
    cluster.check_recovery()


def returning_voter_does_not_depose_leader() -> None:
    """Guard against a voter that deposes the leader after it was isolated."""
    cluster = Cluster(5, 3)
    leader = cluster.commit('before')
    cluster.isolate(next(name for name in cluster.members if name != leader))
    cluster.run(60_000)
    term = cluster.state(leader).term
    cluster.clear_link_faults()
    for _ in range(50):
        cluster.run(100)
        assert ag.has_lease(cluster.state(leader), cluster.now_ms), 'the leader lost its lease'
    assert cluster.state(leader).term == term
    cluster.check_recovery()


def wiped_voter_does_not_vote_before_promotion() -> None:
    """Guard against a vote of a member that lost its disk and is not a voter yet."""
    cluster = Cluster(6, 3)
    leader = cluster.commit('before')
    lost, other = (name for name in cluster.members if name != leader)
    cluster.crash(leader)
    cluster.crash(other)
    fresh = cluster.wipe(lost)
    for pre_vote in (True, False):
        request = VoteRequest(50, 'a-9', 900, 49, pre_vote, not pre_vote, 900)
        cluster.handle(fresh, ag.Received('a-9', request))
    cluster.run(10_000)
    votes = [send.message for sender, send in cluster.sent if sender == fresh]
    assert len(votes) == 2, 'a member outside the membership started an election'
    for vote in votes:
        assert isinstance(vote, VoteReply)
        assert not vote.granted, 'a member outside the membership voted'


def only_voter_with_committed_entries_wins() -> None:
    """Guard against a leader that lacks committed entries."""
    for seed in range(6):
        cluster = Cluster(seed, 5)
        leader = cluster.commit('before')
        others = [name for name in cluster.members if name != leader]
        cluster.isolate(*others[:2])
        cluster.commit('entry')
        cluster.crash(leader)
        cluster.crash(others[2])
        cluster.clear_link_faults()
        assert cluster.leader() == others[3], 'a voter without the committed entry leads'
        cluster.check_recovery()


def entry_of_earlier_term_is_not_counted_as_committed() -> None:
    """Guard against committing an entry of an earlier term that a later leader overwrites."""
    names = ('a-0', 'b-0', 'c-0', 'd-0', 'e-0')
    cluster = Cluster(10, 5)
    first = LogEntry(2, 2, ENTRY_COMMAND, 0, b'term 2')
    rival = LogEntry(3, 2, ENTRY_COMMAND, 0, b'term 3')
    for name, entries in zip(names, ((first,), (first,), (), (), (rival,)), strict=True):
        cluster.crash(name)
        cluster.members[name].disk.persist(ag.Persist(HardState(3, 'e-0'), None, entries))
    for name in names[:3]:
        cluster.restart(name)
    while 2 not in cluster.committed:
        assert cluster.now_ms < 20_000, 'nothing is committed'
        cluster.run(0.5)
    cluster.isolate(*names[:2])
    for name in names[3:]:
        cluster.restart(name)
    cluster.run(8000)
    cluster.check_recovery()


def isolated_leader_truncates_its_proposals() -> None:
    """Guard against proposals of an isolated leader that are committed or stay in force."""
    cluster = Cluster(11, 3)
    isolated_leader = cluster.commit('before')
    cluster.isolate(isolated_leader)
    change = ag.MembershipChange(ag.ADD_LEARNER, 'd-0')
    cluster.handle(isolated_leader, ag.ChangeMembership('stray', change, 0))
    cluster.handle(isolated_leader, ag.ChangeMembership('second', change, 0))
    assert cluster.rejected['second'].reason == 'change_pending'
    cluster.propose(isolated_leader, 'stray-command')
    assert ag.membership(cluster.state(isolated_leader)).learners == ('d-0',)
    cluster.run(5000)
    cluster.check_recovery()
    assert not cluster.is_committed('stray-command')
    assert ag.membership(cluster.state(isolated_leader)).learners == (), (
        'a truncated change is in force'
    )


def delayed_transfer_makes_no_second_lease() -> None:
    """Guard against a leader that keeps its lease while its successor is elected."""
    for seed in range(8):
        cluster = Cluster(seed, 3)
        leader = cluster.commit('before')
        target = next(name for name in cluster.members if name != leader)
        cluster.run(100)
        cluster.blocked_links |= {(name, leader) for name in cluster.members}
        cluster.handle(leader, ag.TransferLeadership(target))
        cluster.run(300)
        assert cluster.leader() == target


def second_loss_after_repair_is_survived() -> None:
    """Guard against a repair that leaves the group unable to lose another voter."""
    for seed in range(6):
        cluster = Cluster(seed, 3)
        cluster.wanted_instances = ('a', 'b', 'c')
        leader = cluster.commit(*(f'entry-{number}' for number in range(100)))
        lost, other = (name for name in cluster.members if name != leader)
        fresh = cluster.wipe(lost)
        cluster.extra_delay_ms[fresh] = 20.0
        cluster.run(1250)
        while ag.tolerated_loss_count(cluster.state(leader), cluster.now_ms) < 1:
            assert cluster.now_ms < 20_000, 'the group was not repaired'
            cluster.run(0.1)
        assert set(ag.membership(cluster.state(leader)).voters) == {leader, other, fresh}
        # Its last messages are lost too, so the new member may not have received its promotion.
        second_lost = leader if seed % 2 else other
        cluster.crash(second_lost)
        cluster.isolate(second_lost)
        cluster.commit('after')
        cluster.check_recovery()


def keep_vote_in_memory_only(disk: Disk, action: ag.Persist) -> None:
    PERSIST(disk, ag.Persist(None, action.truncate_from, action.entries))


def count_lease_from_reply(_: Any, progress: Any, heartbeat_id: int, now_ms: float) -> None:
    progress.last_contact_ms = progress.acknowledged_ms = now_ms


def skip_pre_vote(state: Any, effects: Any, now_ms: float) -> None:
    election.start_election(state, effects, now_ms, transfer=False)


def keep_lease(state: Any, effects: Any) -> None:
    FINISH_TRANSFER(state, effects)
    state.lease_ended = False


PERSIST, FINISH_TRANSFER = Disk.persist, replication.finish_transfer
# Scenario, module or class of the rule, name of the rule, and its broken replacement.
BROKEN_RULES: list[tuple[Callable[[], None], Any, str, Any]] = [
    (vote_survives_a_crash, Disk, 'persist', keep_vote_in_memory_only),
    (broken_link_does_not_replace_leader, election, 'has_leader_contact', lambda *_: False),
    (lease_counts_from_send_time, replication, 'record_heartbeat_reply', count_lease_from_reply),
    (isolated_leader_rejects_proposals, step_module, '_rejection_reason', lambda *_: None),
    (returning_voter_does_not_depose_leader, step_module, 'start_pre_vote', skip_pre_vote),
    (wiped_voter_does_not_vote_before_promotion, election, 'may_vote', lambda *_: True),
    (only_voter_with_committed_entries_wins, election, '_is_up_to_date', lambda *_: True),
    (
        entry_of_earlier_term_is_not_counted_as_committed,
        replication,
        'is_of_current_term',
        lambda *_: True,
    ),
    (isolated_leader_truncates_its_proposals, replication, 'quorum_size', lambda _: 1),
    (
        isolated_leader_truncates_its_proposals,
        replication,
        'truncate_log',
        lambda state, index: state.log.truncate_from(index),
    ),
    (delayed_transfer_makes_no_second_lease, step_module, 'finish_transfer', keep_lease),
    (second_loss_after_repair_is_survived, election, 'may_vote', lambda state, _: is_voter(state)),
]


@pytest.fixture(autouse=True)
def _single_entries(monkeypatch: pytest.MonkeyPatch) -> None:
    """Send entries one by one, so that a fault can occur between any two of them."""
    monkeypatch.setattr(log, 'MAX_APPEND_ENTRIES', 1)


@pytest.mark.parametrize('scenario', [broken_rule[0] for broken_rule in BROKEN_RULES])
def test_scenario_holds(scenario: Callable[[], None]) -> None:
    """Guard against the failure that the docstring of the scenario describes."""
    scenario()


@pytest.mark.parametrize(('scenario', 'namespace', 'rule', 'broken'), BROKEN_RULES)
def test_scenario_fails_when_its_rule_is_broken(
    scenario: Callable[[], None], namespace: Any, rule: str, broken: Any, monkeypatch: Any
) -> None:
    """Guard against a scenario that passes even if its rule is broken."""
    monkeypatch.setattr(namespace, rule, broken)
    with pytest.raises((AssertionError, ag.AgreementError)) as caught:
        scenario()
    print(f'{rule}: {caught.value}')
