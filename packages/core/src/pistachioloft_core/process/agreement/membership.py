"""Membership changes, one at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...messages.agreement import ENTRY_MEMBERSHIP, LogEntry, Membership, SnapshotMeta
from .events import ADD_LEARNER, PROMOTE, REMOVE, MembershipChange
from .state import AgreementError

if TYPE_CHECKING:
    from .state import AgreementState


def first_entry(voters: tuple[str, ...]) -> LogEntry:
    """Return the first entry of a new cluster's log, in term 1."""
    return LogEntry(1, 1, ENTRY_MEMBERSHIP, 0, b'', Membership(voters))


def instance_of(member_id: str) -> str:
    """Return the instance of a member id `<instance>-<random>`."""
    return member_id.rpartition('-')[0]


def is_change_allowed(state: AgreementState) -> bool:
    """Return whether the previous change and an entry of this term are committed."""
    # Without a committed entry of this term, an uncommitted change of an earlier leader may come
    # into force again, and two quorums that do not overlap become possible.
    own_term_committed = state.commit_index >= state.term_start_index
    return own_term_committed and state.membership_index <= state.commit_index


def membership_after(membership: Membership, change: MembershipChange) -> Membership | None:
    """Return the membership after a change, or None if the change is invalid."""
    voters, learners, member = membership.voters, membership.learners, change.member
    if change.kind == ADD_LEARNER and member not in voters + learners:
        return Membership(voters, (*learners, member))
    remaining_learners = tuple(learner for learner in learners if learner != member)
    if change.kind == PROMOTE and member in learners:
        return Membership((*voters, member), remaining_learners)
    if change.kind == REMOVE and member in learners:
        return Membership(voters, remaining_learners)
    if change.kind == REMOVE and member in voters and len(voters) > 1:
        return Membership(tuple(voter for voter in voters if voter != member), learners)
    return None


def membership_at(state: AgreementState, index: int) -> Membership:
    """Return the membership in force at a log index."""
    records = [record for position, record in state.memberships if position <= index]
    return records[-1] if records else Membership(())


def snapshot_meta(state: AgreementState, index: int) -> SnapshotMeta:
    """Describe a snapshot of the state machine at an applied index."""
    term = state.log.term_at(index)
    if term is None or index > state.commit_index:
        raise AgreementError(f'index {index} is not committed or not in the log')
    return SnapshotMeta(term, index, membership_at(state, index))
