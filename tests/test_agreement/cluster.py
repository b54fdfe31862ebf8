"""A consensus group in virtual time with seeded loss, delay, reordering and crashes."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING

from pistachioloft_core.messages.agreement import HardState, LogEntry, SnapshotMeta
from pistachioloft_core.process.agreement import (
    Action,
    AgreementState,
    Apply,
    ChangeMembership,
    Compacted,
    Event,
    Persist,
    Propose,
    Proposed,
    Received,
    Rejected,
    RoleChanged,
    Send,
    SendSnapshot,
    SnapshotInstalled,
    Tick,
    create_state,
    first_entry,
    has_lease,
    instance_of,
    next_membership_change,
    snapshot_meta,
    step,
)

if TYPE_CHECKING:
    from collections.abc import Callable

TICK_MS = 20.0


class Disk:
    """What a member finds again after a crash."""

    def __init__(self, hard_state: HardState, entries: tuple[LogEntry, ...]) -> None:
        self.hard_state = hard_state
        self.entries = list(entries)
        self.snapshot: SnapshotMeta | None = None
        self.snapshot_applied: list[LogEntry] = []

    def persist(self, action: Persist) -> None:
        if action.hard_state is not None:
            self.hard_state = action.hard_state
        if action.truncate_from is not None:
            self.entries = [e for e in self.entries if e.index < action.truncate_from]
        for entry in action.entries:
            last = self.entries[-1].index if self.entries else 0
            covered = self.snapshot.index if self.snapshot else 0
            assert entry.index == max(last, covered) + 1, 'gap or overlap in storage'
            self.entries.append(entry)

    def save_snapshot(self, snapshot: SnapshotMeta, applied: list[LogEntry]) -> None:
        self.snapshot, self.snapshot_applied = snapshot, list(applied)

    def drop_covered(self) -> None:
        assert self.snapshot is not None
        self.entries = [e for e in self.entries if e.index > self.snapshot.index]


class Member:
    """One member: its disk and, while it runs, its state."""

    def __init__(self, member_id: str, disk: Disk) -> None:
        self.member_id = member_id
        self.disk = disk
        self.state: AgreementState | None = None
        self.applied: list[LogEntry] = []
        # Number of actions until it crashes, None for never.
        self.actions_left: int | None = None


class Cluster:
    """Run members against each other and check what must always hold."""

    def __init__(self, seed: int, voter_count: int, *, bootstrap_count: int | None = None) -> None:
        self.random = random.Random(seed)
        self.now_ms = 0.0
        self.loss = 0.0
        self.delay_ms = (0.5, 3.0)
        self.extra_delay_ms: dict[str, float] = {}
        self.blocked: set[tuple[str, str]] = set()
        self.snapshot_every: int | None = None
        self.wanted: tuple[str, ...] = ()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.members: dict[str, Member] = {}
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, LogEntry] = {}
        self.proposed: dict[str, Proposed] = {}
        self.rejected: dict[str, Rejected] = {}
        self.sent: list[tuple[str, Send]] = []
        self.transfers = 0
        names = [f'{letter}-0' for letter in 'abcdefg'[:voter_count]]
        for name in names[: bootstrap_count or voter_count]:
            entry = first_entry(tuple(names[: bootstrap_count or voter_count]))
            self.add(name, Disk(HardState(1, None), (entry,)))
        for name in names[bootstrap_count or voter_count :]:
            self.add(name, Disk(HardState(0, None), ()))

    def add(self, name: str, disk: Disk) -> None:
        self.members[name] = Member(name, disk)
        self.restart(name)
        self.at(self.random.uniform(0, TICK_MS), lambda: self.tick(name))

    def at(self, delay_ms: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.now_ms + delay_ms, next(self.sequence), call))

    def run(self, duration_ms: float) -> None:
        end_ms = self.now_ms + duration_ms
        while self.queue and self.queue[0][0] <= end_ms:
            self.now_ms, _, call = heapq.heappop(self.queue)
            call()
        self.now_ms = end_ms

    def tick(self, name: str) -> None:
        member = self.members[name]
        self.feed(name, Tick())
        if member.state is not None and self.wanted:
            reachable = {
                other.member_id
                for other in self.members.values()
                if other.state is not None and (other.member_id, name) not in self.blocked
            }
            change = next_membership_change(member.state, self.now_ms, self.wanted, reachable)
            if change is not None:
                self.feed(name, ChangeMembership(f'repair-{self.now_ms}', change, 0))
        self.at(TICK_MS, lambda: self.tick(name))

    def feed(self, name: str, event: Event) -> None:
        member = self.members[name]
        if member.state is None:
            return
        for action in step(member.state, self.now_ms, event):
            if member.actions_left is not None:
                member.actions_left -= 1
                if member.actions_left < 0:
                    self.crash(name)
                    return
            self.carry_out(member, action)
        self.check_leases()
        taken = member.disk.snapshot.index if member.disk.snapshot else 0
        if self.snapshot_every and len(member.applied) - taken >= self.snapshot_every:
            meta = snapshot_meta(member.state, member.applied[-1].index)
            member.disk.save_snapshot(meta, member.applied)
            self.feed(name, Compacted(meta))
            member.disk.drop_covered()

    def carry_out(self, member: Member, action: Action) -> None:
        match action:
            case Persist():
                member.disk.persist(action)
            case Send():
                self.sent.append((member.member_id, action))
                self.transmit(member.member_id, action)
            case Apply():
                for entry in action.entries:
                    assert entry.index == len(member.applied) + 1, 'applied out of order'
                    known = self.committed.setdefault(entry.index, entry)
                    assert known == entry, f'committed entry {entry.index} changed'
                    member.applied.append(entry)
            case Proposed():
                self.proposed[action.proposal_id] = action
            case Rejected():
                self.rejected[action.proposal_id] = action
            case RoleChanged():
                if action.role == 'leader':
                    first = self.leaders.setdefault(action.term, member.member_id)
                    assert first == member.member_id, f'two leaders in term {action.term}'
            case SendSnapshot():
                self.send_snapshot(member, action.to)

    def transmit(self, sender: str, action: Send) -> None:
        if (sender, action.to) in self.blocked or self.random.random() < self.loss:
            return
        delay_ms = self.random.uniform(*self.delay_ms) + self.extra_delay_ms.get(action.to, 0.0)
        self.at(delay_ms, lambda: self.deliver(sender, action))

    def deliver(self, sender: str, action: Send) -> None:
        if action.to in self.members:
            self.feed(action.to, Received(sender, action.message))

    def send_snapshot(self, member: Member, to: str) -> None:
        snapshot, applied = member.disk.snapshot, list(member.disk.snapshot_applied)
        assert snapshot is not None
        self.transfers += 1
        if (member.member_id, to) not in self.blocked:
            self.at(50.0, lambda: self.install(to, snapshot, applied))

    def install(self, name: str, snapshot: SnapshotMeta, applied: list[LogEntry]) -> None:
        member = self.members[name]
        if member.state is not None and snapshot.index > len(member.applied):
            member.disk.save_snapshot(snapshot, applied)
            member.applied = list(applied)
            self.feed(name, SnapshotInstalled(snapshot))
            member.disk.drop_covered()

    def check_leases(self) -> None:
        holders = [
            member.member_id
            for member in self.members.values()
            if member.state is not None and has_lease(member.state, self.now_ms)
        ]
        assert len(holders) <= 1, f'two leases: {holders}'

    def crash(self, name: str) -> None:
        self.members[name].state = None
        self.members[name].actions_left = None

    def restart(self, name: str) -> None:
        member = self.members[name]
        disk = member.disk
        source = random.Random(self.random.random())
        member.applied = list(disk.snapshot_applied)
        member.state = create_state(
            name, disk.hard_state, disk.snapshot, tuple(disk.entries), source, self.now_ms
        )

    def wipe(self, name: str) -> str:
        """Replace a member by one with an empty disk, and return its name."""
        self.crash(name)
        new_name = f'{instance_of(name)}-{len(self.members)}'
        self.add(new_name, Disk(HardState(0, None), ()))
        return new_name

    def isolate(self, *names: str) -> None:
        """Cut the members off from all others, not from each other."""
        for one, other in itertools.permutations(self.members, 2):
            if (one in names) != (other in names):
                self.blocked.add((one, other))

    def heal(self) -> None:
        self.blocked.clear()
        self.extra_delay_ms.clear()
        self.loss = 0.0

    def leader(self) -> str:
        """Return the member that holds the lease, after waiting for one."""
        for _ in range(500):
            for member in self.members.values():
                if member.state is not None and has_lease(member.state, self.now_ms):
                    return member.member_id
            self.run(TICK_MS)
        raise AssertionError('no leader within 10 s')

    def propose(self, name: str, proposal_id: str) -> None:
        self.feed(name, Propose(proposal_id, proposal_id.encode(), int(self.now_ms)))

    def is_committed(self, proposal_id: str) -> bool:
        placed = self.proposed.get(proposal_id)
        entry = self.committed.get(placed.index) if placed else None
        return entry is not None and placed is not None and entry.term == placed.term

    def commit(self, *proposal_ids: str) -> str:
        """Commit the proposals and return the leader that did it."""
        leader = self.leader()
        for proposal_id in proposal_ids:
            self.propose(leader, proposal_id)
        self.run(300)
        for proposal_id in proposal_ids:
            assert self.is_committed(proposal_id), f'{proposal_id} is not committed'
        return leader

    def settle(self) -> None:
        """Heal everything and check that all members of the group agree."""
        self.heal()
        for member in self.members.values():
            if member.state is None and not self.is_replaced(member.member_id):
                self.restart(member.member_id)
        self.run(5000)
        leader = self.commit(f'last-{self.now_ms}')
        self.run(1000)
        state = self.members[leader].state
        assert state is not None
        for name in state.membership.voters + state.membership.learners:
            if self.members[name].state is not None:
                assert len(self.members[name].applied) == len(self.committed), f'{name} is behind'

    def is_replaced(self, name: str) -> bool:
        return any(
            instance_of(other) == instance_of(name)
            and int(other.rpartition('-')[2]) > int(name.rpartition('-')[2])
            for other in self.members
        )
