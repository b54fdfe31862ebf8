"""Automatic repair of the membership."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .events import ADD_LEARNER, PROMOTE, REMOVE, MembershipChange
from .lease import has_lease, is_live
from .limits import (
    CAUGHT_UP_LAG_ENTRIES,
    ELECTION_TIMEOUT_MAX_MS,
    LEARNER_SILENCE_LIMIT_MS,
    RESPONSIVE_MS,
)
from .membership import instance_of, is_change_allowed

if TYPE_CHECKING:
    from collections.abc import Collection

    from .state import AgreementState


def next_membership_change(
    state: AgreementState,
    now_ms: float,
    wanted_instances: Collection[str],
    reachable_members: Collection[str],
) -> MembershipChange | None:
    """Return the next change towards voters at the wanted instances, or None."""
    if not wanted_instances or not has_lease(state, now_ms) or not is_change_allowed(state):
        return None
    # A new leader assumes contact with every member at its election, so it waits until that contact
    # is confirmed or has expired.
    contacts_confirmed = now_ms - state.term_start_ms >= ELECTION_TIMEOUT_MAX_MS
    if not contacts_confirmed or state.transfer_target is not None:
        return None
    return (
        _remove_learner(state, now_ms, wanted_instances, reachable_members)
        or _add_learner(state, now_ms, wanted_instances, reachable_members)
        or _promote_learner(state, now_ms)
        or _remove_replaced_voter(state, now_ms)
        or _remove_unwanted_voter(state, now_ms, wanted_instances)
    )


def _remove_learner(
    state: AgreementState,
    now_ms: float,
    wanted_instances: Collection[str],
    reachable_members: Collection[str],
) -> MembershipChange | None:
    """Remove a learner that is unwanted, not needed or replaced after losing its disk."""
    for learner in state.membership.learners:
        instance = instance_of(learner)
        live_voter = any(
            instance_of(voter) == instance and is_live(state, now_ms, voter)
            for voter in state.membership.voters
        )
        silent_ms = now_ms - state.progress[learner].last_contact_ms
        replaced = silent_ms >= LEARNER_SILENCE_LIMIT_MS and any(
            instance_of(member) == instance and member != learner for member in reachable_members
        )
        if instance not in wanted_instances or live_voter or replaced:
            return MembershipChange(REMOVE, learner)
    return None


def _add_learner(
    state: AgreementState,
    now_ms: float,
    wanted_instances: Collection[str],
    reachable_members: Collection[str],
) -> MembershipChange | None:
    """Add a reachable member of a wanted instance without a live voter, one at a time."""
    if state.membership.learners:
        return None
    instances_with_live_voter = {
        instance_of(voter) for voter in state.membership.voters if is_live(state, now_ms, voter)
    }
    for member in sorted(reachable_members):
        instance = instance_of(member)
        if member in state.membership.voters or instance in instances_with_live_voter:
            continue
        if instance in wanted_instances:
            return MembershipChange(ADD_LEARNER, member)
    return None


def _ready_learners(state: AgreementState, now_ms: float) -> list[str]:
    """Return the live learners that hold nearly all committed entries."""
    # A learner votes for a candidate that has its promotion only if its own log has its admission.
    # Without it, the loss of another voter right after the promotion would leave no quorum.
    needed_index = max(state.membership_index, state.commit_index - CAUGHT_UP_LAG_ENTRIES)
    return [
        learner
        for learner in state.membership.learners
        if is_live(state, now_ms, learner) and state.progress[learner].match_index >= needed_index
    ]


def _promote_learner(state: AgreementState, now_ms: float) -> MembershipChange | None:
    """Promote a ready learner whose instance has no voter."""
    # A quorum and one more live voter are always a quorum of the larger membership.
    voter_instances = {instance_of(voter) for voter in state.membership.voters}
    for learner in _ready_learners(state, now_ms):
        if instance_of(learner) not in voter_instances:
            return MembershipChange(PROMOTE, learner)
    return None


def _can_commit_without(state: AgreementState, now_ms: float, removed: str) -> bool:
    """Return whether a quorum of the voters that remain after a removal is responsive."""
    # A removal that the remaining voters cannot commit stays in force and blocks the group, so a
    # voter that has just been lost must not count.
    remaining_voters = [voter for voter in state.membership.voters if voter != removed]
    responsive_count = sum(
        voter == state.member_id or now_ms - state.progress[voter].last_contact_ms < RESPONSIVE_MS
        for voter in remaining_voters
    )
    return bool(remaining_voters) and responsive_count >= len(remaining_voters) // 2 + 1


def _remove_replaced_voter(state: AgreementState, now_ms: float) -> MembershipChange | None:
    """Remove a voter without contact whose instance has a new member that has caught up."""
    ready_instances = {instance_of(learner) for learner in _ready_learners(state, now_ms)}
    # A quorum of live voters stays a quorum when a voter without contact is removed.
    for voter in state.membership.voters:
        if instance_of(voter) in ready_instances and not is_live(state, now_ms, voter):
            return MembershipChange(REMOVE, voter)
    return None


def _remove_unwanted_voter(
    state: AgreementState, now_ms: float, wanted_instances: Collection[str]
) -> MembershipChange | None:
    """Remove a voter of an unwanted instance, those without contact first, the leader last."""
    unwanted = [
        voter for voter in state.membership.voters if instance_of(voter) not in wanted_instances
    ]
    # Until its replacement is a voter, an unwanted voter is kept for its copy of the log.
    if len(state.membership.voters) <= len(wanted_instances):
        return None
    unwanted.sort(key=lambda voter: (voter == state.member_id, is_live(state, now_ms, voter)))
    for voter in unwanted:
        if _can_commit_without(state, now_ms, voter):
            return MembershipChange(REMOVE, voter)
    return None
