"""Configuration lease of an instance: polls, adoption and fencing."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..messages.peer import Poll

if TYPE_CHECKING:
    from random import Random

    from ..messages.accepted import AcceptedConfiguration
    from ..messages.peer import ChangeHint, PollReply

LEASE_MS = 2000
POLL_INTERVAL_MS = 300

# Interval while no leader is known: five voters are polled within 0.5 s, a quarter of a lease.
SEARCH_INTERVAL_MS = 100

# A redirecting reply is followed at once, but not faster than this, so that two instances that
# name each other as the leader cannot cause a poll storm.
REDIRECT_INTERVAL_MS = 20

# A leader that has replied before may miss one poll; a hinted leader must reply to the first.
CONFIRMED_MISSED_LIMIT_COUNT = 2
HINTED_MISSED_LIMIT_COUNT = 1

# Replies to polls older than a lease have no effect; a lease spans at most 100 redirected polls.
OUTSTANDING_POLL_LIMIT_COUNT = 100


@dataclass(frozen=True, slots=True)
class SendPoll:
    """Send a poll to the instance that is believed to lead."""

    to: str
    poll: Poll


@dataclass(frozen=True, slots=True)
class AdoptConfiguration:
    """Put a newly accepted configuration in force at this instance."""

    accepted: AcceptedConfiguration


LeaseAction = AdoptConfiguration


@dataclass(frozen=True, slots=True)
class _SentPoll:
    to: str
    sent_ms: float


class LeaseState:
    """Hold the configuration in force at an instance and the lease on it."""

    def __init__(
        self, instance: str, incarnation: int, voters: tuple[str, ...], random_source: Random
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.voters = voters
        # A random start keeps a late reply to an earlier process from matching a new poll.
        self.next_poll_id = random_source.getrandbits(62)
        self.outstanding_polls: dict[int, _SentPoll] = {}
        self.accepted: AcceptedConfiguration | None = None
        self.lease_until_ms: float | None = None
        self.leader: str | None = None
        self.leader_confirmed = False
        self.missed_count = 0
        self.rotation_index = 0
        self.due_ms: float | None = None
        self.last_sent_ms: float | None = None


def set_voters(state: LeaseState, voters: tuple[str, ...]) -> None:
    """Replace the instances that are polled in rotation while no leader is known."""
    state.voters = voters


def poll_due_ms(state: LeaseState) -> float | None:
    """Return when the next poll is due, or None for immediately."""
    return state.due_ms


def next_poll(state: LeaseState, now_ms: float) -> SendPoll | None:
    """Return the poll to send now, if one is due."""
    if not state.voters or (state.due_ms is not None and now_ms < state.due_ms):
        return None
    missed_limit_count = (
        CONFIRMED_MISSED_LIMIT_COUNT if state.leader_confirmed else HINTED_MISSED_LIMIT_COUNT
    )
    if state.leader is not None and state.missed_count >= missed_limit_count:
        _forget_leader(state)
    if state.leader is not None:
        target = state.leader
        state.missed_count += 1
    else:
        target = state.voters[state.rotation_index % len(state.voters)]
        state.rotation_index += 1
    interval_ms = POLL_INTERVAL_MS if state.leader_confirmed else SEARCH_INTERVAL_MS
    state.due_ms = now_ms + interval_ms
    state.last_sent_ms = now_ms
    return SendPoll(target, _make_poll(state, now_ms, target))


def on_reply(state: LeaseState, now_ms: float, reply: PollReply) -> list[LeaseAction]:
    """Renew the lease and adopt a newer configuration, if the reply grants it."""
    sent = state.outstanding_polls.pop(reply.poll_id, None)
    if sent is None:
        return []
    if not reply.granted:
        _on_refused_poll(state, now_ms, sent, reply.leader_hint)
        return []
    accepted = reply.accepted
    current_index = state.accepted.index if state.accepted is not None else -1
    if reply.index < current_index:
        return []
    if accepted is not None and accepted.index != reply.index:
        return []
    if accepted is None and reply.index != current_index:
        return []
    _confirm_leader(state, sent)
    # The lease counts from the sending of the poll here and from the later reply at the leader, so
    # an instance always stops serving before the leader counts it as fenced.
    until_ms = sent.sent_ms + min(reply.lease_ms, LEASE_MS)
    if state.lease_until_ms is None or until_ms > state.lease_until_ms:
        state.lease_until_ms = until_ms
    if accepted is None or accepted == state.accepted:
        return []
    state.accepted = accepted
    # The next poll acknowledges the new index, so that operators see it in force at once.
    state.due_ms = now_ms
    return [AdoptConfiguration(accepted)]


def on_change_hint(state: LeaseState, now_ms: float, hint: ChangeHint) -> None:
    """Make a poll due at once if the hint names a newer index."""
    if state.accepted is None or hint.index > state.accepted.index:
        _request_poll(state, now_ms)


def can_serve(state: LeaseState, now_ms: float) -> bool:
    """Return whether the instance can accept new requests."""
    return (
        state.accepted is not None
        and state.lease_until_ms is not None
        and now_ms < state.lease_until_ms
    )


def lease_until_ms(state: LeaseState) -> float | None:
    """Return when the lease ends, or None if none was granted yet."""
    return state.lease_until_ms


def configuration(state: LeaseState) -> AcceptedConfiguration | None:
    """Return the configuration in force, or None before the first granted reply."""
    return state.accepted


def known_leader(state: LeaseState) -> str | None:
    """Return the instance that last granted a lease or was named as the leader."""
    return state.leader


def _make_poll(state: LeaseState, now_ms: float, target: str) -> Poll:
    poll_id = state.next_poll_id
    state.next_poll_id += 1
    state.outstanding_polls[poll_id] = _SentPoll(target, now_ms)
    if len(state.outstanding_polls) > OUTSTANDING_POLL_LIMIT_COUNT:
        del state.outstanding_polls[next(iter(state.outstanding_polls))]
    accepted = state.accepted
    return Poll(
        poll_id,
        state.instance,
        state.incarnation,
        accepted.index if accepted is not None else 0,
        accepted.digest if accepted is not None else '',
        can_serve(state, now_ms),
    )


def _confirm_leader(state: LeaseState, sent: _SentPoll) -> None:
    state.leader = sent.to
    state.leader_confirmed = True
    state.missed_count = 0
    if state.due_ms == sent.sent_ms + SEARCH_INTERVAL_MS:
        state.due_ms = sent.sent_ms + POLL_INTERVAL_MS


def _on_refused_poll(state: LeaseState, now_ms: float, sent: _SentPoll, hint: str | None) -> None:
    if state.leader not in (None, sent.to):
        return
    if hint == sent.to:
        # Only a leader with a quorum names itself; it refuses an instance outside the inventory.
        _confirm_leader(state, sent)
        return
    _forget_leader(state)
    if hint is not None:
        # The hinted leader can be a voter that this instance does not know yet.
        state.leader = hint
        _request_poll(state, now_ms)


def _forget_leader(state: LeaseState) -> None:
    state.leader = None
    state.leader_confirmed = False
    state.missed_count = 0


def _request_poll(state: LeaseState, now_ms: float) -> None:
    earliest_ms = now_ms
    if state.last_sent_ms is not None:
        earliest_ms = max(now_ms, state.last_sent_ms + REDIRECT_INTERVAL_MS)
    if state.due_ms is not None:
        state.due_ms = min(state.due_ms, earliest_ms)
