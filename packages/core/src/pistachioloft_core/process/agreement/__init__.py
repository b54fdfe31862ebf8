"""Consensus among the voters on the replicated log."""

from __future__ import annotations

from typing import TYPE_CHECKING

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
from .events import (
    ADD_LEARNER,
    PROMOTE,
    REMOVE,
    ChangeMembership,
    Compacted,
    Event,
    MembershipChange,
    Propose,
    ProposeBatch,
    Received,
    SnapshotInstalled,
    Tick,
    TransferLeadership,
)
from .lease import follows_leader, has_lease, quorum_confirmed_ms, tolerated_loss_count
from .membership import first_entry, instance_of, membership_at, snapshot_meta
from .repair import next_membership_change
from .state import (
    ROLE_CANDIDATE,
    ROLE_FOLLOWER,
    ROLE_LEADER,
    ROLE_PRE_CANDIDATE,
    AgreementError,
    AgreementState,
    create_state,
)
from .step import step

if TYPE_CHECKING:
    from ...messages.agreement import Membership

__all__ = [
    'ADD_LEARNER',
    'PROMOTE',
    'REMOVE',
    'ROLE_CANDIDATE',
    'ROLE_FOLLOWER',
    'ROLE_LEADER',
    'ROLE_PRE_CANDIDATE',
    'Action',
    'AgreementError',
    'AgreementState',
    'Apply',
    'ChangeMembership',
    'Compacted',
    'Event',
    'MembershipChange',
    'Persist',
    'Propose',
    'ProposeBatch',
    'Proposed',
    'Received',
    'Rejected',
    'RoleChanged',
    'Send',
    'SendSnapshot',
    'SnapshotInstalled',
    'Tick',
    'TransferLeadership',
    'commit_index',
    'create_state',
    'first_entry',
    'follows_leader',
    'has_lease',
    'instance_of',
    'leader_of',
    'membership',
    'membership_at',
    'next_membership_change',
    'next_wake_ms',
    'quorum_confirmed_ms',
    'snapshot_meta',
    'step',
    'tolerated_loss_count',
]


def membership(state: AgreementState) -> Membership:
    """Return the membership in force, committed or not."""
    return state.membership


def leader_of(state: AgreementState) -> str | None:
    """Return the leader in the view of this member."""
    return state.leader


def commit_index(state: AgreementState) -> int:
    """Return the index of the newest entry known to be committed."""
    return state.commit_index


def next_wake_ms(state: AgreementState) -> float:
    """Return the time at which the next tick is due."""
    if state.role == ROLE_LEADER:
        return state.heartbeat_due_ms
    return state.election_due_ms
