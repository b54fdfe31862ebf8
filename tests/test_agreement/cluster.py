"""Simulated consensus group in virtual time, with seeded loss, delay, reordering and crashes."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING

from pistachioloft_core.messages.agreement import HardState, LogEntry, SnapshotMeta
from pistachioloft_core.process import agreement as ag

if TYPE_CHECKING:
    from collections.abc import Callable

TICK_MS = 20.0


class Disk:
    """The persistent state of a member, which survives a crash."""

    def __init__(self, hard_state: HardState, entries: tuple[LogEntry, ...]) -> None:
        self.hard_state = hard_state
        self.entries = list(entries)
        self.snapshot: SnapshotMeta | None = None
        self.snapshot_applied: list[LogEntry] = []

    def persist(self, action: ag.Persist) -> None:
        self.hard_state = action.hard_state or self.hard_state
        if action.truncate_from is not None:
            self.entries = [e for e in self.entries if e.index < action.truncate_from]
        for entry in action.entries:
            last = self.entries[-1].index if self.entries else 0
            snapshot_index = self.snapshot.index if self.snapshot else 0
            assert entry.index == max(last, snapshot_index) + 1, 'gap or overlap in storage'
            self.entries.append(entry)

    def save_snapshot(self, snapshot: SnapshotMeta, applied: list[LogEntry]) -> None:
        self.snapshot, self.snapshot_applied = snapshot, list(applied)

    def drop_snapshot_entries(self) -> None:
        assert self.snapshot is not None
        self.entries = [e for e in self.entries if e.index > self.snapshot.index]


class Member:
    """A member with its disk and, while it runs, its state."""

    def __init__(self, member_id: str, disk: Disk) -> None:
        self.member_id = member_id
        self.disk = disk
        self.state: ag.AgreementState | None = None
        self.applied: list[LogEntry] = []
        # Number of further actions before it crashes, or None for no crash.
        self.actions_until_crash_count: int | None = None


class Cluster:
    """Run members against each other and check the invariants of consensus."""

    def __init__(self, seed: int, voter_count: int) -> None:
        self.random = random.Random(seed)
        self.now_ms = 0.0
        self.loss_ratio = 0.0
        self.delay_ms = (0.5, 3.0)
        self.extra_delay_ms: dict[str, float] = {}
        self.blocked_links: set[tuple[str, str]] = set()
        self.snapshot_interval_entries: int | None = None
        self.wanted_instances: tuple[str, ...] = ()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.members: dict[str, Member] = {}
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, LogEntry] = {}
        self.proposed: dict[str, ag.Proposed] = {}
        self.rejected: dict[str, ag.Rejected] = {}
        self.sent: list[tuple[str, ag.Send]] = []
        self.transfer_count = 0
        names = tuple(f'{letter}-0' for letter in 'abcde'[:voter_count])
        for name in names:
            self.add(name, Disk(HardState(1, None), (ag.first_entry(names),)))

    def add(self, name: str, disk: Disk) -> None:
        self.members[name] = Member(name, disk)
        self.restart(name)
        self.schedule(self.random.uniform(0, TICK_MS), lambda: self.tick(name))

    def schedule(self, delay_ms: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.now_ms + delay_ms, next(self.sequence), call))

    def run(self, duration_ms: float) -> None:
        end_ms = self.now_ms + duration_ms
        while self.queue and self.queue[0][0] <= end_ms:
            self.now_ms, _, call = heapq.heappop(self.queue)
            call()
        self.now_ms = end_ms

    def state(self, name: str) -> ag.AgreementState:
        state = self.members[name].state
        assert state is not None
        return state

    def running(self) -> list[str]:
        return [name for name, member in self.members.items() if member.state is not None]

    def tick(self, name: str) -> None:
        self.handle(name, ag.Tick())
        if name in self.running() and self.wanted_instances:
            reachable = {
                other for other in self.running() if (other, name) not in self.blocked_links
            }
            state = self.state(name)
            change = ag.next_membership_change(state, self.now_ms, self.wanted_instances, reachable)
            if change is not None:
                self.handle(name, ag.ChangeMembership(f'repair-{self.now_ms}', change, 0))
        self.schedule(TICK_MS, lambda: self.tick(name))

    def handle(self, name: str, event: ag.Event) -> None:
        member = self.members[name]
        if member.state is None:
            return
        for action in ag.step(member.state, self.now_ms, event):
            if member.actions_until_crash_count is not None:
                member.actions_until_crash_count -= 1
                if member.actions_until_crash_count < 0:
                    self.crash(name)
                    return
            self.carry_out(member, action)
        lease_holders = [n for n in self.running() if ag.has_lease(self.state(n), self.now_ms)]
        assert len(lease_holders) <= 1, f'two members hold a lease: {lease_holders}'
        for lease_holder in lease_holders:
            known_commit_index = ag.commit_index(self.state(lease_holder))
            assert known_commit_index >= len(self.committed), (
                'a lease holder does not know all commits'
            )
        snapshot_index = member.disk.snapshot.index if member.disk.snapshot else 0
        if (
            self.snapshot_interval_entries
            and len(member.applied) - snapshot_index >= self.snapshot_interval_entries
        ):
            meta = ag.snapshot_meta(member.state, member.applied[-1].index)
            member.disk.save_snapshot(meta, member.applied)
            self.handle(name, ag.Compacted(meta))
            member.disk.drop_snapshot_entries()

    def carry_out(self, member: Member, action: ag.Action) -> None:
        match action:
            case ag.Persist():
                member.disk.persist(action)
            case ag.Send():
                self.sent.append((member.member_id, action))
                if self.random.random() >= self.loss_ratio:
                    extra_ms = self.extra_delay_ms.get(action.to, 0.0)
                    delay_ms = self.random.uniform(*self.delay_ms) + extra_ms
                    self.schedule(delay_ms, lambda: self.deliver(member.member_id, action))
            case ag.Apply():
                for entry in action.entries:
                    assert entry.index == len(member.applied) + 1, 'applied out of order'
                    committed_entry = self.committed.setdefault(entry.index, entry)
                    assert committed_entry == entry, f'committed entry {entry.index} changed'
                    member.applied.append(entry)
            case ag.Proposed():
                self.proposed[action.proposal_id] = action
            case ag.Rejected():
                self.rejected[action.proposal_id] = action
            case ag.RoleChanged(role=ag.ROLE_LEADER):
                first = self.leaders.setdefault(action.term, member.member_id)
                assert first == member.member_id, f'two leaders in term {action.term}'
            case ag.SendSnapshot():
                self.transfer_count += 1
                snapshot, applied = member.disk.snapshot, list(member.disk.snapshot_applied)
                assert snapshot is not None
                if (member.member_id, action.to) not in self.blocked_links:
                    self.schedule(50.0, lambda: self.install(action.to, snapshot, applied))

    def deliver(self, sender: str, action: ag.Send) -> None:
        # Messages are addressed to an instance; the member that runs there receives them.
        instance = ag.instance_of(action.to)
        running_names = [name for name in self.running() if ag.instance_of(name) == instance]
        to = running_names[-1] if running_names else action.to
        if (sender, to) not in self.blocked_links and to in self.members:
            self.handle(to, ag.Received(sender, action.message))

    def install(self, name: str, snapshot: SnapshotMeta, applied: list[LogEntry]) -> None:
        member = self.members[name]
        if member.state is not None and snapshot.index > len(member.applied):
            member.disk.save_snapshot(snapshot, applied)
            member.applied = list(applied)
            self.handle(name, ag.SnapshotInstalled(snapshot))
            member.disk.drop_snapshot_entries()

    def crash(self, name: str) -> None:
        self.members[name].state = None
        self.members[name].actions_until_crash_count = None

    def restart(self, name: str) -> None:
        member, disk = self.members[name], self.members[name].disk
        source = random.Random(self.random.random())
        member.applied = list(disk.snapshot_applied)
        member.state = ag.create_state(
            name, disk.hard_state, disk.snapshot, tuple(disk.entries), source, self.now_ms
        )

    def is_wiped(self, name: str) -> bool:
        return name != list(filter(lambda n: n[0] == name[0], self.members))[-1]

    def wipe(self, name: str) -> str:
        """Replace a member by one with an empty disk and return its name."""
        self.crash(name)
        new_name = f'{ag.instance_of(name)}-{len(self.members)}'
        self.add(new_name, Disk(HardState(0, None), ()))
        return new_name

    def isolate(self, *names: str) -> None:
        """Block the links between these members and all others."""
        for one, other in itertools.permutations(self.members, 2):
            if (one in names) != (other in names):
                self.blocked_links.add((one, other))

    def clear_link_faults(self) -> None:
        self.blocked_links.clear()
        self.extra_delay_ms.clear()
        self.loss_ratio, self.delay_ms = 0.0, (0.5, 3.0)

    def clear_faults(self) -> None:
        """Unblock the links and restart the stopped members that still have their disk."""
        self.clear_link_faults()
        for name in self.members:
            if name not in self.running() and not self.is_wiped(name):
                self.restart(name)

    def leader(self) -> str:
        """Return the member that holds the lease, waiting up to 10 s for one."""
        for _ in range(500):
            for name in self.running():
                if ag.has_lease(self.state(name), self.now_ms):
                    return name
            self.run(TICK_MS)
        raise AssertionError('no leader within 10 s')

    def propose(self, name: str, proposal_id: str) -> None:
        self.handle(name, ag.Propose(proposal_id, proposal_id.encode(), int(self.now_ms)))

    def is_committed(self, proposal_id: str) -> bool:
        proposed_entry = self.proposed.get(proposal_id)
        entry = self.committed.get(proposed_entry.index) if proposed_entry else None
        return (
            entry is not None and proposed_entry is not None and entry.term == proposed_entry.term
        )

    def commit(self, *proposal_ids: str) -> str:
        """Commit the proposals and return the leader that committed them."""
        leader = self.leader()
        for proposal_id in proposal_ids:
            self.propose(leader, proposal_id)
        self.run(300)
        for proposal_id in proposal_ids:
            assert self.is_committed(proposal_id), f'{proposal_id} is not committed'
        return leader

    def check_recovery(self) -> None:
        """End all faults and check that all members of the group agree."""
        self.clear_faults()
        self.run(5000)
        leader = self.commit(f'last-{self.now_ms}')
        committed_count = len(self.committed)
        self.run(1000)
        group = ag.membership(self.state(leader))
        for name in set(self.running()).intersection(group.voters + group.learners):
            assert len(self.members[name].applied) >= committed_count, f'{name} is behind'
