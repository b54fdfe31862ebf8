"""Single steps of consensus: one event in, actions out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...messages.agreement import (
    ENTRY_COMMAND,
    ENTRY_MEMBERSHIP,
    AppendReply,
    AppendRequest,
    LogEntry,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from .actions import (
    REASON_CHANGE_PENDING,
    REASON_INVALID_CHANGE,
    REASON_NO_LEASE,
    REASON_NOT_LEADER,
    REASON_TRANSFERRING,
    Proposed,
    Rejected,
)
from .election import on_timeout_now, on_vote_reply, on_vote_request, start_pre_vote
from .events import (
    ChangeMembership,
    Compacted,
    Propose,
    ProposeBatch,
    Received,
    SnapshotInstalled,
    Tick,
    TransferLeadership,
)
from .lease import has_lease, has_lost_quorum
from .limits import TRANSFER_TIMEOUT_MS
from .membership import is_change_allowed, membership_after
from .replication import (
    append_as_leader,
    best_successor,
    broadcast,
    finish_transfer,
    on_append_reply,
    on_append_request,
    on_compacted,
    on_snapshot_installed,
    send_new_entries,
)
from .state import ROLE_LEADER, Effects, become_follower, finish_step

if TYPE_CHECKING:
    from .actions import Action
    from .events import Event
    from .state import AgreementState


def step(state: AgreementState, now_ms: float, event: Event) -> list[Action]:
    """Process one event and return the actions to execute in order."""
    effects = Effects()
    match event:
        case Tick():
            _on_tick(state, effects, now_ms)
        case Received():
            _on_message(state, effects, now_ms, event)
        case Propose():
            _on_proposals(state, effects, now_ms, (event,))
        case ProposeBatch():
            _on_proposals(state, effects, now_ms, event.proposals)
        case ChangeMembership():
            _on_change(state, effects, now_ms, event)
        case TransferLeadership():
            _on_transfer(state, effects, now_ms, event)
        case Compacted():
            on_compacted(state, event.snapshot)
        case SnapshotInstalled():
            on_snapshot_installed(state, effects, event.snapshot)
    return finish_step(state, effects)


def _on_tick(state: AgreementState, effects: Effects, now_ms: float) -> None:
    """Send heartbeats, start elections, and end a leadership or transfer that timed out."""
    if state.role != ROLE_LEADER:
        if now_ms >= state.election_due_ms:
            start_pre_vote(state, effects, now_ms)
        return
    if has_lost_quorum(state, now_ms):
        become_follower(state, effects, now_ms, state.term, None)
        return
    if state.transfer_target is not None and now_ms >= state.transfer_due_ms:
        state.transfer_target = None
        if state.lease_ended:
            become_follower(state, effects, now_ms, state.term, None)
            return
    if now_ms >= state.heartbeat_due_ms:
        broadcast(state, effects, now_ms)


def _on_message(state: AgreementState, effects: Effects, now_ms: float, event: Received) -> None:
    """Pass a message to its handler; snapshot chunks are handled by the adapter."""
    match event.message:
        case VoteRequest():
            on_vote_request(state, effects, now_ms, event.message)
        case VoteReply():
            on_vote_reply(state, effects, now_ms, event.message)
        case AppendRequest():
            on_append_request(state, effects, now_ms, event.message)
        case AppendReply():
            on_append_reply(state, effects, now_ms, event.message)
        case TimeoutNow():
            on_timeout_now(state, effects, now_ms, event.message)
        case SnapshotReply():
            if event.message.term > state.term and event.sender in state.progress:
                become_follower(state, effects, now_ms, event.message.term, None)


def _rejection_reason(state: AgreementState, now_ms: float) -> str | None:
    """Return the reason to reject proposals now, or None."""
    if state.role != ROLE_LEADER:
        return REASON_NOT_LEADER
    if state.transfer_target is not None:
        return REASON_TRANSFERRING
    if not has_lease(state, now_ms):
        return REASON_NO_LEASE
    return None


def _on_proposals(
    state: AgreementState, effects: Effects, now_ms: float, proposals: tuple[Propose, ...]
) -> None:
    """Append the proposed commands, or reject them all."""
    reason = _rejection_reason(state, now_ms)
    if reason is not None:
        for proposal in proposals:
            effects.rejected.append(Rejected(proposal.proposal_id, state.leader, reason))
        return
    entries = []
    for index, proposal in enumerate(proposals, state.log.last_index + 1):
        entries.append(
            LogEntry(state.term, index, ENTRY_COMMAND, proposal.time_ms, proposal.payload)
        )
        effects.proposed.append(Proposed(proposal.proposal_id, state.term, index))
    if entries:
        append_as_leader(state, effects, now_ms, tuple(entries))
        send_new_entries(state, effects, now_ms)


def _on_change(
    state: AgreementState, effects: Effects, now_ms: float, event: ChangeMembership
) -> None:
    """Append a membership change if none is pending."""
    membership = membership_after(state.membership, event.change)
    reason = _rejection_reason(state, now_ms)
    if reason is None and not is_change_allowed(state):
        reason = REASON_CHANGE_PENDING
    if reason is None and membership is None:
        reason = REASON_INVALID_CHANGE
    if reason is not None:
        effects.rejected.append(Rejected(event.proposal_id, state.leader, reason))
        return
    index = state.log.last_index + 1
    entry = LogEntry(state.term, index, ENTRY_MEMBERSHIP, event.time_ms, b'', membership)
    effects.proposed.append(Proposed(event.proposal_id, state.term, index))
    append_as_leader(state, effects, now_ms, (entry,))
    if state.role == ROLE_LEADER:
        broadcast(state, effects, now_ms)


def _on_transfer(
    state: AgreementState, effects: Effects, now_ms: float, event: TransferLeadership
) -> None:
    """Start a transfer of leadership, unless one is running."""
    if state.role != ROLE_LEADER or state.transfer_target is not None:
        return
    target = event.target or best_successor(state)
    if target in state.progress and target in state.membership.voters:
        state.transfer_target = target
        state.transfer_due_ms = now_ms + TRANSFER_TIMEOUT_MS
        send_new_entries(state, effects, now_ms)
        finish_transfer(state, effects)
