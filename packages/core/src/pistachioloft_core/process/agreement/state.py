"""State of one member of the consensus group."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from ...messages.agreement import ENTRY_MEMBERSHIP, HardState, LogEntry, Membership, SnapshotMeta
from .actions import (
    Action,
    Apply,
    Persist,
    Proposed,
    Rejected,
    RoleChanged,
    Send,
    SendSnapshot,
)
from .limits import (
    ELECTION_TIMEOUT_MAX_MS,
    ELECTION_TIMEOUT_MIN_MS,
    RESTART_TIMEOUT_MAX_MS,
    RESTART_TIMEOUT_MIN_MS,
)
from .log import Log

if TYPE_CHECKING:
    import random

    from ...messages.agreement import AgreementMessage

ROLE_FOLLOWER = 'follower'
ROLE_PRE_CANDIDATE = 'pre_candidate'
ROLE_CANDIDATE = 'candidate'
ROLE_LEADER = 'leader'

NEVER_MS = float('-inf')


class AgreementError(Exception):
    """Indicate a state that violates the rules of consensus."""


class Progress:
    """Hold the replication progress of one member, as the leader tracks it."""

    def __init__(self, next_index: int, last_contact_ms: float) -> None:
        self.next_index = next_index
        self.last_contact_ms = last_contact_ms
        self.match_index = 0
        # Send time of the newest heartbeat to which the member has replied.
        self.acknowledged_ms = NEVER_MS
        # While probing, one message at a time searches for the last index that both logs share.
        self.probing = True
        self.snapshot_sent_ms = NEVER_MS


class Effects:
    """Collect the actions of one step; persistence comes before everything else."""

    def __init__(self) -> None:
        self.hard_state_changed = False
        self.truncate_from: int | None = None
        self.entries: list[LogEntry] = []
        self.proposed: list[Proposed] = []
        self.sends: list[Action] = []
        self.rejected: list[Rejected] = []
        self.applied: list[LogEntry] = []

    def send(self, to: str, message: AgreementMessage) -> None:
        """Send a message after the changes of this step are persisted."""
        self.sends.append(Send(to, message))

    def send_snapshot(self, to: str) -> None:
        """Start a snapshot transfer."""
        self.sends.append(SendSnapshot(to))


class AgreementState:
    """Hold the state of one member; only this package changes it."""

    def __init__(
        self,
        member_id: str,
        random_source: random.Random,
        hard_state: HardState,
        snapshot: SnapshotMeta | None,
        log: Log,
        now_ms: float,
    ) -> None:
        self.member_id = member_id
        self.random_source = random_source
        self.term = hard_state.term
        self.voted_for = hard_state.voted_for
        self.log = log
        self.snapshot = snapshot
        # Membership records by log index, ascending; the last one is in force.
        self.memberships: list[tuple[int, Membership]] = []
        if snapshot is not None:
            self.memberships.append((snapshot.index, snapshot.membership))
        self.commit_index = log.base_index
        # Highest index that storage may hold; an append at or before it truncates storage first.
        self.storage_last_index = log.base_index
        self.election_due_ms = now_ms
        # A restarted voter may have confirmed a lease just before it stopped, so it refuses votes
        # for the longest time that such a lease can last.
        self.restarted_ms = now_ms if hard_state.term > 0 else NEVER_MS
        self.leader_contact_ms = self.restarted_ms
        self.role = ROLE_FOLLOWER
        self.leader: str | None = None
        self.votes: set[str] = set()
        # Voters that refused a pre-vote only because of their recent start.
        self.restarted_voters: set[str] = set()
        self.needs_all_votes = False
        self.round_id = 0
        # Members that no longer exist: another member of their instance replied in this round.
        self.replaced_members: set[str] = set()
        # Fields of a leader.
        self.term_start_index = 0
        self.term_start_ms = NEVER_MS
        self.progress: dict[str, Progress] = {}
        self.heartbeat_id = 0
        self.heartbeat_due_ms = NEVER_MS
        self.commit_notified_ms = NEVER_MS
        self.heartbeat_sent_ms: OrderedDict[int, float] = OrderedDict()
        self.transfer_target: str | None = None
        self.transfer_due_ms = NEVER_MS
        # Set once a voter was asked to start an election; the lease of this term is then over.
        self.lease_ended = False
        self.reported_role: RoleChanged | None = None

    @property
    def membership(self) -> Membership:
        """Return the membership in force, committed or not."""
        return self.memberships[-1][1] if self.memberships else Membership(())

    @property
    def membership_index(self) -> int:
        """Return the log index of the membership in force."""
        return self.memberships[-1][0] if self.memberships else 0


def create_state(
    member_id: str,
    hard_state: HardState,
    snapshot: SnapshotMeta | None,
    entries: tuple[LogEntry, ...],
    random_source: random.Random,
    now_ms: float,
) -> AgreementState:
    """Create the state of a member from its storage."""
    base_index = snapshot.index if snapshot else 0
    base_term = snapshot.term if snapshot else 0
    following_entries = _entries_after(base_index, base_term, entries)
    log = Log(base_index, base_term, following_entries)
    state = AgreementState(member_id, random_source, hard_state, snapshot, log, now_ms)
    state.storage_last_index = max(entries[-1].index if entries else 0, base_index)
    record_memberships(state, following_entries)
    reset_election_timer(state, now_ms)
    return state


def _entries_after(index: int, term: int, entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
    """Return the stored entries that follow a snapshot, or none if they conflict with it."""
    if any(entry.index == index and entry.term != term for entry in entries):
        return ()
    following_entries = tuple(entry for entry in entries if entry.index > index)
    if following_entries and (
        following_entries[0].index != index + 1 or following_entries[0].term < term
    ):
        return ()
    return following_entries


def record_memberships(state: AgreementState, entries: tuple[LogEntry, ...]) -> None:
    """Put the memberships of appended entries in force."""
    for entry in entries:
        if entry.kind == ENTRY_MEMBERSHIP and entry.membership is not None:
            state.memberships.append((entry.index, entry.membership))


def append_entries(state: AgreementState, effects: Effects, entries: tuple[LogEntry, ...]) -> None:
    """Append entries to the log and schedule them to be persisted."""
    if entries[0].index <= state.storage_last_index:
        effects.truncate_from = entries[0].index
    state.log.append(entries)
    record_memberships(state, entries)
    state.storage_last_index = entries[-1].index
    effects.entries.extend(entries)


def truncate_log(state: AgreementState, index: int) -> None:
    """Drop the entries at and after an index, with their memberships."""
    state.log.truncate_from(index)
    while state.memberships and state.memberships[-1][0] >= index:
        state.memberships.pop()


def set_term(state: AgreementState, effects: Effects, term: int, voted_for: str | None) -> None:
    """Set term and vote, which are persisted before any message of this step is sent."""
    state.term, state.voted_for = term, voted_for
    effects.hard_state_changed = True


def reset_election_timer(state: AgreementState, now_ms: float) -> None:
    """Restart the randomized election timer."""
    min_ms, max_ms = ELECTION_TIMEOUT_MIN_MS, ELECTION_TIMEOUT_MAX_MS
    if has_just_restarted(state, now_ms):
        min_ms, max_ms = RESTART_TIMEOUT_MIN_MS, RESTART_TIMEOUT_MAX_MS
    state.election_due_ms = now_ms + state.random_source.uniform(min_ms, max_ms)


def has_just_restarted(state: AgreementState, now_ms: float) -> bool:
    """Return whether this member started recently and has had no contact with a leader since."""
    recent = now_ms - state.restarted_ms < ELECTION_TIMEOUT_MIN_MS
    return recent and state.leader_contact_ms <= state.restarted_ms


def become_follower(
    state: AgreementState, effects: Effects, now_ms: float, term: int, leader: str | None
) -> None:
    """Become a follower of a leader, or without one, in the given term."""
    if term > state.term:
        set_term(state, effects, term, None)
    if state.role != ROLE_FOLLOWER:
        reset_election_timer(state, now_ms)
    state.role, state.leader = ROLE_FOLLOWER, leader
    state.votes = set()
    state.progress = {}
    state.transfer_target = None


def is_voter(state: AgreementState) -> bool:
    """Return whether this member is a voter of the membership in force."""
    return state.member_id in state.membership.voters


def quorum_size(state: AgreementState) -> int:
    """Return the number of voters in a quorum."""
    return len(state.membership.voters) // 2 + 1


def apply_up_to(state: AgreementState, effects: Effects, index: int) -> None:
    """Commit the entries up to an index and schedule them to be applied."""
    if index > state.commit_index:
        effects.applied.extend(state.log.between(state.commit_index + 1, index))
        state.commit_index = index


def finish_step(state: AgreementState, effects: Effects) -> list[Action]:
    """Return the actions of a step in an order that is safe at a crash between any two."""
    actions: list[Action] = []
    if effects.hard_state_changed or effects.entries or effects.truncate_from is not None:
        hard_state = HardState(state.term, state.voted_for) if effects.hard_state_changed else None
        actions.append(Persist(hard_state, effects.truncate_from, tuple(effects.entries)))
    actions.extend(effects.proposed)
    actions.extend(effects.rejected)
    actions.extend(effects.sends)
    if effects.applied:
        actions.append(Apply(tuple(effects.applied)))
    report = RoleChanged(state.role, state.term, state.leader)
    if report != state.reported_role:
        state.reported_role = report
        actions.append(report)
    return actions
