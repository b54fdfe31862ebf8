"""Pre-votes, votes and elections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...messages.agreement import ENTRY_NOOP, LogEntry, VoteReply, VoteRequest
from .lease import has_leader_contact
from .membership import instance_of
from .replication import append_as_leader, broadcast, track_members
from .state import (
    ROLE_CANDIDATE,
    ROLE_LEADER,
    ROLE_PRE_CANDIDATE,
    become_follower,
    has_just_restarted,
    is_voter,
    quorum_size,
    reset_election_timer,
    set_term,
)

if TYPE_CHECKING:
    from ...messages.agreement import TimeoutNow
    from .state import AgreementState, Effects


def start_pre_vote(state: AgreementState, effects: Effects, now_ms: float) -> None:
    """Ask the voters whether an election could be won, without deposing a leader."""
    reset_election_timer(state, now_ms)
    state.leader = None
    if not is_voter(state):
        return
    state.role = ROLE_PRE_CANDIDATE
    state.votes = {state.member_id}
    state.restarted_voters = set()
    state.replaced_members = set()
    if len(state.votes) >= quorum_size(state):
        start_election(state, effects, now_ms, transfer=False)
        return
    _request_votes(state, effects, state.term + 1, pre_vote=True, transfer=False)


def start_election(
    state: AgreementState,
    effects: Effects,
    now_ms: float,
    *,
    transfer: bool,
    unanimous: bool = False,
) -> None:
    """Become a candidate in a new term."""
    reset_election_timer(state, now_ms)
    set_term(state, effects, state.term + 1, state.member_id)
    state.role, state.leader = ROLE_CANDIDATE, None
    state.votes = {state.member_id}
    state.needs_all_votes = unanimous
    if len(state.votes) >= quorum_size(state):
        become_leader(state, effects, now_ms)
        return
    _request_votes(
        state, effects, state.term, pre_vote=False, transfer=transfer, unanimous=unanimous
    )


def _request_votes(
    state: AgreementState,
    effects: Effects,
    term: int,
    *,
    pre_vote: bool,
    transfer: bool,
    unanimous: bool = False,
) -> None:
    """Send a vote request to every other voter."""
    state.round_id += 1
    request = VoteRequest(
        term=term,
        candidate=state.member_id,
        last_index=state.log.last_index,
        last_term=state.log.last_term,
        pre_vote=pre_vote,
        transfer=transfer,
        membership_index=state.membership_index,
        unanimous=unanimous,
        round_id=state.round_id,
    )
    recipients = _possible_leaders(state) if pre_vote or unanimous else state.membership.voters
    for voter in recipients:
        if voter != state.member_id:
            effects.send(voter, request)


def _possible_leaders(state: AgreementState) -> tuple[str, ...]:
    """Return the voters of every membership that may still be in force at a leader."""
    # A change is appended only after the previous one was committed, so a member that could hold a
    # lease has one of the last two memberships in force.
    recent = state.memberships[-2:]
    voters = [voter for _, membership in recent for voter in membership.voters]
    return tuple(dict.fromkeys(voters))


def become_leader(state: AgreementState, effects: Effects, now_ms: float) -> None:
    """Lead the current term, which starts with an entry of its own."""
    state.role, state.leader = ROLE_LEADER, state.member_id
    state.term_start_ms = now_ms
    state.lease_ended = False
    state.transfer_target = None
    state.heartbeat_sent_ms.clear()
    state.progress = {}
    track_members(state, now_ms)
    time_ms = state.log.entries[-1].time_ms if state.log.entries else 0
    state.term_start_index = state.log.last_index + 1
    noop = LogEntry(state.term, state.term_start_index, ENTRY_NOOP, time_ms)
    append_as_leader(state, effects, now_ms, (noop,))
    broadcast(state, effects, now_ms)


def on_vote_request(
    state: AgreementState, effects: Effects, now_ms: float, request: VoteRequest
) -> None:
    """Reply to a vote or pre-vote request."""
    restarted = has_just_restarted(state, now_ms) and state.role != ROLE_LEADER
    has_contact = has_leader_contact(state, now_ms) and not (restarted and request.unanimous)
    if not may_vote(state, request) or (has_contact and not request.transfer):
        would_grant = restarted and request.term >= state.term and _is_up_to_date(state, request)
        _reply(state, effects, request, granted=False, restarted=would_grant)
        return
    if request.term > state.term and not request.pre_vote:
        become_follower(state, effects, now_ms, request.term, None)
    granted = request.term >= state.term and _is_up_to_date(state, request)
    if not request.pre_vote:
        granted = granted and state.voted_for in (None, request.candidate)
        if granted and state.voted_for is None:
            set_term(state, effects, state.term, request.candidate)
            reset_election_timer(state, now_ms)
    elif request.term == state.term:
        granted = granted and state.voted_for in (None, request.candidate)
    _reply(state, effects, request, granted=granted)


def may_vote(state: AgreementState, request: VoteRequest) -> bool:
    """Return whether this member is a voter by its own or by a newer membership."""
    if is_voter(state):
        return True
    # The entry that promotes a learner can be committed before the learner receives it. A candidate
    # requests votes only from the voters of its own membership, so a newer one includes that entry.
    is_learner = state.member_id in state.membership.learners
    return is_learner and request.membership_index > state.membership_index


def _is_up_to_date(state: AgreementState, request: VoteRequest) -> bool:
    """Return whether the candidate's log is at least as up to date as this one."""
    own_position = (state.log.last_term, state.log.last_index)
    return (request.last_term, request.last_index) >= own_position


def _reply(
    state: AgreementState,
    effects: Effects,
    request: VoteRequest,
    *,
    granted: bool,
    restarted: bool = False,
) -> None:
    """Send a vote reply; a granted pre-vote carries the requested term."""
    term = request.term if granted else state.term
    reply = VoteReply(term, state.member_id, granted, request.pre_vote, restarted, request.round_id)
    effects.send(request.candidate, reply)


def on_vote_reply(state: AgreementState, effects: Effects, now_ms: float, reply: VoteReply) -> None:
    """Count a vote, and start an election or lead if there are enough."""
    _record_replaced(state, reply)
    if not reply.granted:
        if reply.term > state.term:
            become_follower(state, effects, now_ms, reply.term, None)
        elif reply.restarted and reply.pre_vote and state.role == ROLE_PRE_CANDIDATE:
            state.restarted_voters.add(reply.voter)
            _elect_if_all_restarted(state, effects, now_ms)
        elif reply.pre_vote and state.role == ROLE_PRE_CANDIDATE:
            _elect_if_all_restarted(state, effects, now_ms)
        return
    expected_term = state.term + 1 if reply.pre_vote else state.term
    expected_role = ROLE_PRE_CANDIDATE if reply.pre_vote else ROLE_CANDIDATE
    if state.role != expected_role or reply.term != expected_term:
        return
    if reply.voter not in state.membership.voters:
        return
    state.votes.add(reply.voter)
    if len(state.votes) < quorum_size(state):
        if reply.pre_vote:
            _elect_if_all_restarted(state, effects, now_ms)
        return
    if reply.pre_vote:
        start_election(state, effects, now_ms, transfer=False)
    elif not state.needs_all_votes or _include_possible_leaders(state, state.votes):
        become_leader(state, effects, now_ms)


def _elect_if_all_restarted(state: AgreementState, effects: Effects, now_ms: float) -> None:
    """Start an election if every voter has replied that it does not lead."""
    # Only a leader holds a lease, and a leader does not vote for another member. So with the votes
    # of all members that could lead, no lease can still be running. A quorum alone would not prove
    # that, since a voter that has just started does not know which leases it confirmed before.
    if _include_possible_leaders(state, state.votes | state.restarted_voters):
        start_election(state, effects, now_ms, transfer=False, unanimous=True)


def _include_possible_leaders(state: AgreementState, voters: set[str]) -> bool:
    """Return whether a quorum and every possible leader that still exists are in `voters`."""
    has_quorum = len(voters.intersection(state.membership.voters)) >= quorum_size(state)
    return has_quorum and (voters | state.replaced_members).issuperset(_possible_leaders(state))


def _record_replaced(state: AgreementState, reply: VoteReply) -> None:
    """Record the members that another member of their instance has replaced."""
    # One instance runs one process, so a member no longer exists once another one replies from its
    # instance. A reply of this round was sent after the round began, so it is not outdated.
    if reply.round_id != state.round_id or reply.round_id == 0:
        return
    instance = instance_of(reply.voter)
    state.replaced_members |= {
        member
        for member in _possible_leaders(state)
        if instance_of(member) == instance and member != reply.voter
    }


def on_timeout_now(
    state: AgreementState, effects: Effects, now_ms: float, message: TimeoutNow
) -> None:
    """Start an election because the leader transfers its leadership."""
    if message.term == state.term and state.leader == message.leader and is_voter(state):
        start_election(state, effects, now_ms, transfer=True)
