"""Leader lease and contact with a quorum."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .limits import (
    ELECTION_TIMEOUT_MAX_MS,
    ELECTION_TIMEOUT_MIN_MS,
    LEASE_MS,
    TRACKED_HEARTBEAT_COUNT,
)
from .state import NEVER_MS, ROLE_FOLLOWER, ROLE_LEADER, quorum_size

if TYPE_CHECKING:
    from collections.abc import Callable

    from .state import AgreementState, Progress


def has_leader_contact(state: AgreementState, now_ms: float) -> bool:
    """Return whether this member leads or had contact with a leader too recently to vote."""
    has_recent_contact = now_ms - state.leader_contact_ms < ELECTION_TIMEOUT_MIN_MS
    return state.role == ROLE_LEADER or has_recent_contact


def follows_leader(state: AgreementState, now_ms: float) -> bool:
    """Return whether this member follows a leader that it heard within an election timeout."""
    # A leader does not count: while its disk stalls, it does not notice that another one leads.
    has_recent_contact = now_ms - state.leader_contact_ms < ELECTION_TIMEOUT_MIN_MS
    return state.role == ROLE_FOLLOWER and has_recent_contact


def start_heartbeat_round(state: AgreementState, now_ms: float) -> None:
    """Start a heartbeat round and record when it was sent."""
    state.heartbeat_id += 1
    state.heartbeat_sent_ms[state.heartbeat_id] = now_ms
    while len(state.heartbeat_sent_ms) > TRACKED_HEARTBEAT_COUNT:
        state.heartbeat_sent_ms.popitem(last=False)


def record_heartbeat_reply(
    state: AgreementState, progress: Progress, heartbeat_id: int, now_ms: float
) -> None:
    """Record a reply to a heartbeat, which counts from the time the heartbeat was sent."""
    progress.last_contact_ms = now_ms
    sent_ms = state.heartbeat_sent_ms.get(heartbeat_id)
    if sent_ms is not None:
        progress.acknowledged_ms = max(progress.acknowledged_ms, sent_ms)


def quorum_time_ms(
    state: AgreementState, now_ms: float, time_of: Callable[[Progress], float]
) -> float:
    """Return the latest time that a quorum of voters has reached; the leader's time is now."""
    times = [
        now_ms if voter == state.member_id else time_of(state.progress[voter])
        for voter in state.membership.voters
    ]
    return sorted(times, reverse=True)[quorum_size(state) - 1]


def has_lease(state: AgreementState, now_ms: float) -> bool:
    """Return whether this member is certain to be the only leader and to know all commits."""
    if state.role != ROLE_LEADER or state.lease_ended:
        return False
    if state.commit_index < state.term_start_index:
        return False
    return now_ms - quorum_time_ms(state, now_ms, lambda peer: peer.acknowledged_ms) < LEASE_MS


def quorum_confirmed_ms(state: AgreementState, now_ms: float) -> float:
    """Return a time at which this member was certain to lead and to know all commits."""
    if state.role != ROLE_LEADER or state.commit_index < state.term_start_index:
        return NEVER_MS
    return quorum_time_ms(state, now_ms, lambda peer: peer.acknowledged_ms)


def has_lost_quorum(state: AgreementState, now_ms: float) -> bool:
    """Return whether no quorum has replied for an election timeout."""
    last_contact_ms = quorum_time_ms(state, now_ms, lambda peer: peer.last_contact_ms)
    return now_ms - last_contact_ms >= ELECTION_TIMEOUT_MIN_MS


def is_live(state: AgreementState, now_ms: float, member: str) -> bool:
    """Return whether the leader had contact with a member within an election timeout."""
    if member == state.member_id:
        return True
    progress = state.progress.get(member)
    return progress is not None and now_ms - progress.last_contact_ms < ELECTION_TIMEOUT_MAX_MS


def tolerated_loss_count(state: AgreementState, now_ms: float) -> int:
    """Return how many more voters can be lost, or 0 if this member has no lease."""
    if not has_lease(state, now_ms):
        return 0
    # Until a change is committed, a new leader may have either membership in force.
    pending = state.membership_index > state.commit_index
    tolerated_counts = []
    for _, membership in state.memberships[-2 if pending else -1 :]:
        live_count = sum(is_live(state, now_ms, voter) for voter in membership.voters)
        tolerated_counts.append(live_count - (len(membership.voters) // 2 + 1))
    return max(0, min(tolerated_counts))
