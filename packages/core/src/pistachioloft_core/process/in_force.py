"""Record of the leader about the instances where a configuration is in force."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..messages.operator import (
    STATE_BEHIND,
    STATE_FENCED,
    STATE_IN_FORCE,
    STATE_UNKNOWN,
    InForceReport,
    InstanceForce,
)
from ..messages.peer import PollReply
from .lease import LEASE_MS

if TYPE_CHECKING:
    from ..messages.accepted import AcceptedConfiguration
    from ..messages.peer import Poll

# Added to a lease before its instance counts as fenced: two monotonic clocks whose rates differ by
# 1% drift apart by 20 ms during a lease.
FENCE_MARGIN_MS = 20

# Accepted indexes whose digest and time until in force everywhere are retained.
RECENT_LIMIT_COUNT = 64


@dataclass(frozen=True, slots=True)
class _InstancePoll:
    incarnation: int
    index: int
    digest: str
    since_ms: float
    granted_until_ms: float | None = None


@dataclass(frozen=True, slots=True)
class _RecentConfiguration:
    digest: str
    accepted_ms: float | None
    elapsed_ms: int | None = None


@dataclass(frozen=True, slots=True)
class _InstanceStatus:
    force: InstanceForce
    since_ms: float


class InForceState:
    """Hold the leases that this leader granted and the indexes that instances acknowledged."""

    def __init__(
        self, leader: str, term: int, elected_ms: float, accepted: AcceptedConfiguration
    ) -> None:
        self.leader = leader
        self.term = term
        self.elected_ms = elected_ms
        self.accepted = accepted
        self.inventory = _inventory(accepted)
        self.unacknowledged = set(self.inventory)
        self.last_polls: dict[str, _InstancePoll] = {}
        self.recent: dict[int, _RecentConfiguration] = {
            accepted.index: _RecentConfiguration(accepted.digest, None)
        }


def on_accepted(state: InForceState, now_ms: float, accepted: AcceptedConfiguration) -> None:
    """Replace the accepted configuration by a newer one."""
    if accepted.index <= state.accepted.index:
        return
    _record_completion(state, now_ms)
    state.accepted = accepted
    state.inventory = _inventory(accepted)
    state.unacknowledged = set(state.inventory)
    state.recent[accepted.index] = _RecentConfiguration(accepted.digest, now_ms)
    if len(state.recent) > RECENT_LIMIT_COUNT:
        del state.recent[next(iter(state.recent))]
    relevant_instances = state.inventory | set(accepted.removed_instances)
    state.last_polls = {
        name: last_poll
        for name, last_poll in state.last_polls.items()
        if name in relevant_instances
    }


def refuse_poll(poll: Poll, term: int, leader_hint: str | None) -> PollReply:
    """Refuse a poll at an instance that does not lead, with the leader as a hint if known."""
    return PollReply(poll.poll_id, False, term, 0, 0, None, leader_hint)


def on_poll(state: InForceState, now_ms: float, poll: Poll, has_lease: bool) -> PollReply:
    """Reply to a poll; only a leader with a quorum-confirmed lease grants it."""
    if not has_lease:
        return refuse_poll(poll, state.term, None)
    accepted = state.accepted
    in_inventory = poll.instance in state.inventory
    if in_inventory or poll.instance in accepted.removed_instances:
        _record_poll(state, now_ms, poll, granted=in_inventory)
    if not in_inventory:
        return refuse_poll(poll, state.term, state.leader)
    current = (poll.index, poll.digest) == (accepted.index, accepted.digest)
    if current:
        state.unacknowledged.discard(poll.instance)
        if not state.unacknowledged:
            _record_completion(state, now_ms)
    content = None if current else accepted
    return PollReply(poll.poll_id, True, state.term, accepted.index, LEASE_MS, content)


def report(state: InForceState, now_ms: float, accepted_index: int) -> InForceReport:
    """Report the instances where a configuration, or a newer one, is in force."""
    _record_completion(state, now_ms)
    recent = state.recent.get(accepted_index)
    digest = recent.digest if recent is not None else ''
    statuses = _instance_statuses(state, now_ms, accepted_index, digest)
    return InForceReport(
        accepted_index,
        digest,
        _is_everywhere(state, accepted_index, statuses),
        tuple(status.force for status in statuses if _is_shown(state, status.force)),
        recent.elapsed_ms if recent is not None else None,
    )


def _inventory(accepted: AcceptedConfiguration) -> frozenset[str]:
    return frozenset(entry.instance for entry in accepted.configuration.instances)


def _is_shown(state: InForceState, force: InstanceForce) -> bool:
    # A removed instance is relevant only while it can still serve an older configuration.
    return force.instance in state.inventory or force.state in (STATE_BEHIND, STATE_UNKNOWN)


def _record_poll(state: InForceState, now_ms: float, poll: Poll, granted: bool) -> None:
    previous = state.last_polls.get(poll.instance)
    until_ms = previous.granted_until_ms if previous is not None else None
    if granted:
        until_ms = now_ms + LEASE_MS
    # A poll that arrives after a newer one gets a lease but acknowledges nothing new.
    if previous is not None and (previous.incarnation, previous.index) > (
        poll.incarnation,
        poll.index,
    ):
        state.last_polls[poll.instance] = replace(previous, granted_until_ms=until_ms)
        return
    unchanged = previous is not None and (previous.index, previous.digest) == (
        poll.index,
        poll.digest,
    )
    since_ms = previous.since_ms if previous is not None and unchanged else now_ms
    state.last_polls[poll.instance] = _InstancePoll(
        poll.incarnation, poll.index, poll.digest, since_ms, until_ms
    )


def _instance_statuses(
    state: InForceState, now_ms: float, index: int, digest: str
) -> tuple[_InstanceStatus, ...]:
    accepted = state.accepted
    names = (*(e.instance for e in accepted.configuration.instances), *accepted.removed_instances)
    return tuple(_instance_status(state, now_ms, index, digest, name) for name in names)


def _instance_status(
    state: InForceState, now_ms: float, index: int, digest: str, instance: str
) -> _InstanceStatus:
    last_poll = state.last_polls.get(instance)
    # An earlier leader may have granted leases until this one was elected.
    fenced_ms = state.elected_ms + LEASE_MS + FENCE_MARGIN_MS
    if last_poll is None:
        force_state = STATE_FENCED if now_ms >= fenced_ms else STATE_UNKNOWN
        return _InstanceStatus(InstanceForce(instance, force_state, 0, ''), fenced_ms)
    if last_poll.granted_until_ms is not None:
        fenced_ms = max(fenced_ms, last_poll.granted_until_ms + FENCE_MARGIN_MS)
    if now_ms >= fenced_ms:
        force_state, since_ms = STATE_FENCED, fenced_ms
    elif last_poll.index > index or (last_poll.index == index and last_poll.digest == digest):
        force_state, since_ms = STATE_IN_FORCE, last_poll.since_ms
    else:
        force_state, since_ms = STATE_BEHIND, fenced_ms
    return _InstanceStatus(
        InstanceForce(instance, force_state, last_poll.index, last_poll.digest), since_ms
    )


def _is_everywhere(state: InForceState, index: int, statuses: tuple[_InstanceStatus, ...]) -> bool:
    complete_states = (STATE_IN_FORCE, STATE_FENCED)
    return index <= state.accepted.index and all(s.force.state in complete_states for s in statuses)


def _record_completion(state: InForceState, now_ms: float) -> None:
    index = state.accepted.index
    recent = state.recent[index]
    if recent.elapsed_ms is not None or recent.accepted_ms is None:
        return
    statuses = _instance_statuses(state, now_ms, index, recent.digest)
    if _is_everywhere(state, index, statuses):
        since_ms = max((s.since_ms for s in statuses), default=recent.accepted_ms)
        elapsed_ms = max(0.0, since_ms - recent.accepted_ms)
        state.recent[index] = replace(recent, elapsed_ms=round(elapsed_ms))
