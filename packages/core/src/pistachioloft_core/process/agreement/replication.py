"""Replication and commitment of the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...messages.agreement import AppendReply, AppendRequest, TimeoutNow
from .lease import record_heartbeat_reply, start_heartbeat_round
from .limits import (
    COMMIT_NOTICE_INTERVAL_MS,
    HEARTBEAT_INTERVAL_MS,
    MAX_IN_FLIGHT_ENTRIES,
    RETAINED_ENTRIES,
    SNAPSHOT_RETRY_MS,
)
from .state import (
    ROLE_FOLLOWER,
    ROLE_LEADER,
    AgreementError,
    Progress,
    append_entries,
    apply_up_to,
    become_follower,
    is_voter,
    quorum_size,
    reset_election_timer,
    truncate_log,
)

if TYPE_CHECKING:
    from ...messages.agreement import LogEntry, SnapshotMeta
    from .state import AgreementState, Effects


def track_members(state: AgreementState, now_ms: float) -> None:
    """Track the progress of exactly the other members of the membership in force."""
    members = state.membership.voters + state.membership.learners
    state.progress = {
        member: state.progress.get(member) or Progress(state.log.last_index + 1, now_ms)
        for member in members
        if member != state.member_id
    }


def append_as_leader(
    state: AgreementState, effects: Effects, now_ms: float, entries: tuple[LogEntry, ...]
) -> None:
    """Append entries as the leader; they are persisted before any other action."""
    membership_index = state.membership_index
    append_entries(state, effects, entries)
    if state.membership_index != membership_index:
        track_members(state, now_ms)
    advance_commit(state, effects, now_ms)


def broadcast(state: AgreementState, effects: Effects, now_ms: float) -> None:
    """Send a heartbeat to each member, with the entries that it lacks."""
    start_heartbeat_round(state, now_ms)
    state.heartbeat_due_ms = now_ms + HEARTBEAT_INTERVAL_MS
    for member in state.progress:
        send_append(state, effects, now_ms, member)


def send_new_entries(state: AgreementState, effects: Effects, now_ms: float) -> None:
    """Send new entries to the members that are not being probed."""
    for member, progress in state.progress.items():
        if not progress.probing and progress.next_index <= state.log.last_index:
            send_append(state, effects, now_ms, member)


def send_append(state: AgreementState, effects: Effects, now_ms: float, member: str) -> None:
    """Send one append message; start a snapshot transfer if the log no longer has the entries."""
    progress = state.progress[member]
    if progress.next_index <= state.log.base_index:
        _offer_snapshot(state, effects, now_ms, member)
    previous_index = max(progress.next_index - 1, state.log.base_index)
    entries: tuple[LogEntry, ...] = ()
    if progress.next_index > state.log.base_index:
        free_count = progress.match_index + MAX_IN_FLIGHT_ENTRIES - previous_index
        entries = state.log.batch(previous_index + 1, max(0, free_count))
    request = AppendRequest(
        term=state.term,
        leader=state.member_id,
        previous_index=previous_index,
        previous_term=state.log.term_at(previous_index) or 0,
        entries=entries,
        commit_index=state.commit_index,
        heartbeat_id=state.heartbeat_id,
    )
    if entries and not progress.probing:
        progress.next_index = entries[-1].index + 1
    effects.send(member, request)


def _offer_snapshot(state: AgreementState, effects: Effects, now_ms: float, member: str) -> None:
    """Start a snapshot transfer unless one was started recently."""
    progress = state.progress[member]
    due = now_ms - progress.snapshot_sent_ms >= SNAPSHOT_RETRY_MS
    if state.snapshot is not None and due:
        progress.snapshot_sent_ms = now_ms
        effects.send_snapshot(member)


def on_append_request(
    state: AgreementState, effects: Effects, now_ms: float, request: AppendRequest
) -> None:
    """Follow the leader and append its entries."""
    if request.term < state.term:
        _reply(state, effects, request, match_index=0, success=False)
        return
    if state.role == ROLE_LEADER and request.term == state.term:
        raise AgreementError(f'{request.leader} leads term {request.term} as well as this member')
    if request.term > state.term or state.role != ROLE_FOLLOWER:
        become_follower(state, effects, now_ms, request.term, request.leader)
    state.leader = request.leader
    state.leader_contact_ms = now_ms
    reset_election_timer(state, now_ms)
    if not state.log.matches(request.previous_index, request.previous_term):
        hint = max(state.commit_index, state.log.conflict_hint(request.previous_index))
        _reply(state, effects, request, match_index=hint, success=False)
        return
    _merge_entries(state, effects, request.entries)
    match_index = request.previous_index + len(request.entries)
    apply_up_to(state, effects, min(request.commit_index, match_index))
    _reply(state, effects, request, match_index=match_index, success=True)


def _merge_entries(state: AgreementState, effects: Effects, entries: tuple[LogEntry, ...]) -> None:
    """Append the new entries and drop stored ones that conflict with them."""
    for position, entry in enumerate(entries):
        if state.log.matches(entry.index, entry.term):
            continue
        if entry.index <= state.commit_index:
            raise AgreementError(f'a leader would change the committed entry {entry.index}')
        if entry.index <= state.log.last_index:
            truncate_log(state, entry.index)
        append_entries(state, effects, entries[position:])
        return


def _reply(
    state: AgreementState,
    effects: Effects,
    request: AppendRequest,
    *,
    match_index: int,
    success: bool,
) -> None:
    """Reply to the leader with the id of its heartbeat."""
    reply = AppendReply(state.term, state.member_id, success, match_index, request.heartbeat_id)
    effects.send(request.leader, reply)


def on_append_reply(
    state: AgreementState, effects: Effects, now_ms: float, reply: AppendReply
) -> None:
    """Record the progress of a member, commit, and send it further entries."""
    progress = state.progress.get(reply.member)
    if state.role != ROLE_LEADER or progress is None:
        return
    if reply.term > state.term:
        become_follower(state, effects, now_ms, reply.term, None)
        return
    if reply.term < state.term:
        return
    record_heartbeat_reply(state, progress, reply.heartbeat_id, now_ms)
    if reply.success:
        _advance_match_index(state, progress, reply.match_index)
        commit_index = state.commit_index
        advance_commit(state, effects, now_ms)
        if state.commit_index > commit_index and state.role == ROLE_LEADER:
            _notify_commit(state, effects, now_ms)
    else:
        progress.next_index = max(reply.match_index, progress.match_index) + 1
        progress.probing = True
    if state.role != ROLE_LEADER:
        return
    if state.log.base_index < progress.next_index <= state.log.last_index:
        send_append(state, effects, now_ms, reply.member)
    finish_transfer(state, effects)


def _notify_commit(state: AgreementState, effects: Effects, now_ms: float) -> None:
    """Notify the followers of a commit before the next heartbeat."""
    if now_ms - state.commit_notified_ms < COMMIT_NOTICE_INTERVAL_MS:
        return
    state.commit_notified_ms = now_ms
    for member, progress in state.progress.items():
        if not progress.probing:
            send_append(state, effects, now_ms, member)


def _advance_match_index(state: AgreementState, progress: Progress, match_index: int) -> None:
    """Raise the match index, which never decreases within a term."""
    progress.match_index = max(progress.match_index, match_index)
    if progress.match_index >= state.log.base_index:
        progress.probing = False
        progress.next_index = max(progress.next_index, progress.match_index + 1)


def advance_commit(state: AgreementState, effects: Effects, now_ms: float) -> None:
    """Commit the entries that a quorum holds, if the last of them is of the current term."""
    voters = state.membership.voters
    match_indexes = sorted(
        (
            state.log.last_index if voter == state.member_id else state.progress[voter].match_index
            for voter in voters
        ),
        reverse=True,
    )
    index = match_indexes[quorum_size(state) - 1]
    if index <= state.commit_index or not is_of_current_term(state, index):
        return
    apply_up_to(state, effects, index)
    if state.commit_index >= state.membership_index and not is_voter(state):
        _step_down_after_removal(state, effects, now_ms)


def is_of_current_term(state: AgreementState, index: int) -> bool:
    """Return whether an entry is of the current term; only such entries are counted."""
    return state.log.term_at(index) == state.term


def _step_down_after_removal(state: AgreementState, effects: Effects, now_ms: float) -> None:
    """Step down after the removal of this member is committed."""
    broadcast(state, effects, now_ms)
    state.lease_ended = True
    successor = best_successor(state)
    if successor is not None:
        effects.send(successor, TimeoutNow(state.term, state.member_id))
    become_follower(state, effects, now_ms, state.term, None)


def best_successor(state: AgreementState) -> str | None:
    """Return the most up-to-date other voter."""
    others = [voter for voter in state.membership.voters if voter in state.progress]
    return max(others, key=lambda voter: state.progress[voter].match_index, default=None)


def finish_transfer(state: AgreementState, effects: Effects) -> None:
    """Ask the target of a transfer to start an election once it holds the whole log."""
    target = state.transfer_target
    if target is None or state.lease_ended or target not in state.progress:
        return
    if state.progress[target].match_index == state.log.last_index:
        # Voters grant a transfer vote despite contact with this leader, so its lease ends here.
        state.lease_ended = True
        effects.send(target, TimeoutNow(state.term, state.member_id))


def on_compacted(state: AgreementState, snapshot: SnapshotMeta) -> None:
    """Drop entries that a snapshot covers, except the newest of them."""
    if state.snapshot is not None and snapshot.index <= state.snapshot.index:
        return
    if snapshot.index > state.commit_index:
        raise AgreementError(
            f'snapshot at {snapshot.index} is after the commit index {state.commit_index}'
        )
    state.snapshot = snapshot
    state.log.compact(snapshot.index - RETAINED_ENTRIES)
    older = [index for index, _ in state.memberships if index <= snapshot.index]
    if older:
        del state.memberships[: len(older) - 1]


def on_snapshot_installed(state: AgreementState, effects: Effects, snapshot: SnapshotMeta) -> None:
    """Continue from a snapshot; entries that follow it are kept if it matches the log."""
    if snapshot.index <= state.commit_index:
        return
    if state.log.term_at(snapshot.index) == snapshot.term:
        state.log.compact(snapshot.index)
        state.memberships = [(snapshot.index, snapshot.membership)] + [
            record for record in state.memberships if record[0] > snapshot.index
        ]
    else:
        state.log.reset(snapshot.index, snapshot.term)
        state.memberships = [(snapshot.index, snapshot.membership)]
        effects.truncate_from = snapshot.index + 1
    state.snapshot = snapshot
    state.commit_index = snapshot.index
    state.storage_last_index = max(snapshot.index, state.log.last_index)
    if state.leader is not None and state.role == ROLE_FOLLOWER:
        reply = AppendReply(state.term, state.member_id, True, snapshot.index, 0)
        effects.send(state.leader, reply)
