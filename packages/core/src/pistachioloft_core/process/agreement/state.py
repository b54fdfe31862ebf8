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
    """Report a state that consensus must never reach."""


class Progress:
    """Track how far the leader has brought one member."""

    def __init__(self, next_index: int, last_contact_ms: float) -> None:
        self.next_index = next_index
        self.last_contact_ms = last_contact_ms
        self.match_index = 0
        # Send time of the newest heartbeat that the member has answered.
        self.acknowledged_ms = NEVER_MS
        # While probing, one message at a time looks for the last index in common.
        self.probing = True
        self.snapshot_sent_ms = NEVER_MS


class Effects:
    """Collect the actions of one step; what must be durable comes before everything else."""

    def __init__(self) -> None:
        self.hard_state_changed = False
        self.truncate_from: int | None = None
        self.entries: list[LogEntry] = []
        self.proposed: list[Proposed] = []
        self.sends: list[Action] = []
        self.rejected: list[Rejected] = []
        self.applied: list[LogEntry] = []

    def send(self, to: str, message: AgreementMessage) -> None:
        """Send a message after everything of this step is durable."""
        self.sends.append(Send(to, message))

    def send_snapshot(self, to: str) -> None:
        """Start a snapshot transfer."""
        self.sends.append(SendSnapshot(to))


class AgreementState:
    """Hold everything a member knows; only this package changes it."""

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
        # Highest index that storage may hold; entries up to it are truncated before an append.
        self.storage_last_index = log.base_index
        self.election_due_ms = now_ms
        # A restarted voter may have confirmed a lease just before it stopped, so it refuses
        # votes for as long as that lease can last.
        self.restarted_ms = now_ms if hard_state.term > 0 else NEVER_MS
        self.leader_contact_ms = self.restarted_ms
        self.role = ROLE_FOLLOWER
        self.leader: str | None = None
        self.votes: set[str] = set()
        # Voters that would vote but for their recent start.
        self.restarted_voters: set[str] = set()
        self.needs_all_votes = False
        self.round_id = 0
        # Members that are gone: another member answered at their instance in this round.
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
        # Once a voter was told to stand for election, the lease of this term has ended for good.
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
    """Create the state of a member from what its storage holds."""
    base_index = snapshot.index if snapshot else 0
    base_term = snapshot.term if snapshot else 0
    kept = _entries_after(base_index, base_term, entries)
    log = Log(base_index, base_term, kept)
    state = AgreementState(member_id, random_source, hard_state, snapshot, log, now_ms)
    state.storage_last_index = max(entries[-1].index if entries else 0, base_index)
    record_memberships(state, kept)
    reset_election_timer(state, now_ms)
    return state


def _entries_after(index: int, term: int, entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
    """Return the stored entries that continue a snapshot, none if they contradict it."""
    if any(entry.index == index and entry.term != term for entry in entries):
        return ()
    kept = tuple(entry for entry in entries if entry.index > index)
    if kept and (kept[0].index != index + 1 or kept[0].term < term):
        return ()
    return kept


def record_memberships(state: AgreementState, entries: tuple[LogEntry, ...]) -> None:
    """Put the memberships of appended entries in force."""
    for entry in entries:
        if entry.kind == ENTRY_MEMBERSHIP and entry.membership is not None:
            state.memberships.append((entry.index, entry.membership))


def append_entries(state: AgreementState, effects: Effects, entries: tuple[LogEntry, ...]) -> None:
    """Append entries to the log and have them persisted."""
    if entries[0].index <= state.storage_last_index:
        effects.truncate_from = entries[0].index
    state.log.append(entries)
    record_memberships(state, entries)
    state.storage_last_index = entries[-1].index
    effects.entries.extend(entries)


def truncate_log(state: AgreementState, index: int) -> None:
    """Drop the entries at and after an index, with the memberships in them."""
    state.log.truncate_from(index)
    while state.memberships and state.memberships[-1][0] >= index:
        state.memberships.pop()


def set_term(state: AgreementState, effects: Effects, term: int, voted_for: str | None) -> None:
    """Change term and vote; they are persisted before any message of this step is sent."""
    state.term, state.voted_for = term, voted_for
    effects.hard_state_changed = True


def reset_election_timer(state: AgreementState, now_ms: float) -> None:
    """Restart the randomized election timer."""
    lowest_ms, highest_ms = ELECTION_TIMEOUT_MIN_MS, ELECTION_TIMEOUT_MAX_MS
    if has_just_restarted(state, now_ms):
        lowest_ms, highest_ms = RESTART_TIMEOUT_MIN_MS, RESTART_TIMEOUT_MAX_MS
    state.election_due_ms = now_ms + state.random_source.uniform(lowest_ms, highest_ms)


def has_just_restarted(state: AgreementState, now_ms: float) -> bool:
    """Tell whether this member started recently and has heard no leader since."""
    recent = now_ms - state.restarted_ms < ELECTION_TIMEOUT_MIN_MS
    return recent and state.leader_contact_ms <= state.restarted_ms


def become_follower(
    state: AgreementState, effects: Effects, now_ms: float, term: int, leader: str | None
) -> None:
    """Follow a leader, or wait for one, in the given term."""
    if term > state.term:
        set_term(state, effects, term, None)
    if state.role != ROLE_FOLLOWER:
        reset_election_timer(state, now_ms)
    state.role, state.leader = ROLE_FOLLOWER, leader
    state.votes = set()
    state.progress = {}
    state.transfer_target = None


def is_voter(state: AgreementState) -> bool:
    """Tell whether this member votes in the membership in force."""
    return state.member_id in state.membership.voters


def quorum_size(state: AgreementState) -> int:
    """Return how many voters make a quorum."""
    return len(state.membership.voters) // 2 + 1


def apply_up_to(state: AgreementState, effects: Effects, index: int) -> None:
    """Commit the entries up to an index and hand them on."""
    if index > state.commit_index:
        effects.applied.extend(state.log.between(state.commit_index + 1, index))
        state.commit_index = index


def finish_step(state: AgreementState, effects: Effects) -> list[Action]:
    """Return the actions of a step in the order in which they are safe."""
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
