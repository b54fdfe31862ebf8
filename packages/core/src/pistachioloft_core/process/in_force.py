"""The leader's view of where the accepted configuration is in force."""

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

# Added to a lease before its instance counts as fenced: two monotonic clocks that differ by 1%
# in rate drift apart by 20 ms in a lease.
FENCE_MARGIN_MS = 20

# Accepted indexes whose digest and time in force everywhere are remembered.
RECENT_LIMIT_COUNT = 64


@dataclass(frozen=True, slots=True)
class _Heard:
    incarnation: int
    index: int
    digest: str
    since_ms: float
    granted_until_ms: float | None = None


@dataclass(frozen=True, slots=True)
class _Recent:
    digest: str
    accepted_ms: float | None
    elapsed_ms: int | None = None


@dataclass(frozen=True, slots=True)
class _Standing:
    force: InstanceForce
    since_ms: float


class InForceState:
    """Hold the leases that this leader granted and what instances acknowledged."""

    def __init__(
        self, leader: str, term: int, elected_ms: float, accepted: AcceptedConfiguration
    ) -> None:
        self.leader = leader
        self.term = term
        self.elected_ms = elected_ms
        self.accepted = accepted
        self.inventory = _inventory(accepted)
        self.waiting = set(self.inventory)
        self.heard: dict[str, _Heard] = {}
        self.recent: dict[int, _Recent] = {accepted.index: _Recent(accepted.digest, None)}


def on_accepted(state: InForceState, now_ms: float, accepted: AcceptedConfiguration) -> None:
    """Take over a newer accepted configuration."""
    if accepted.index <= state.accepted.index:
        return
    _note_completion(state, now_ms)
    state.accepted = accepted
    state.inventory = _inventory(accepted)
    state.waiting = set(state.inventory)
    state.recent[accepted.index] = _Recent(accepted.digest, now_ms)
    if len(state.recent) > RECENT_LIMIT_COUNT:
        del state.recent[next(iter(state.recent))]
    known = state.inventory | set(accepted.removed_instances)
    state.heard = {name: heard for name, heard in state.heard.items() if name in known}


def refuse_poll(poll: Poll, term: int, leader_hint: str | None) -> PollReply:
    """Refuse a poll on an instance that does not lead, and name the leader if it is known."""
    return PollReply(poll.poll_id, False, term, 0, 0, None, leader_hint)


def on_poll(state: InForceState, now_ms: float, poll: Poll, has_lease: bool) -> PollReply:
    """Answer a poll; only a leader with a quorum-confirmed lease grants."""
    if not has_lease:
        return refuse_poll(poll, state.term, None)
    accepted = state.accepted
    in_inventory = poll.instance in state.inventory
    if in_inventory or poll.instance in accepted.removed_instances:
        _hear(state, now_ms, poll, granted=in_inventory)
    if not in_inventory:
        return refuse_poll(poll, state.term, state.leader)
    current = (poll.index, poll.digest) == (accepted.index, accepted.digest)
    if current:
        state.waiting.discard(poll.instance)
        if not state.waiting:
            _note_completion(state, now_ms)
    content = None if current else accepted
    return PollReply(poll.poll_id, True, state.term, accepted.index, LEASE_MS, content)


def report(state: InForceState, now_ms: float, accepted_index: int) -> InForceReport:
    """Report where a configuration, or a newer one, is in force."""
    _note_completion(state, now_ms)
    recent = state.recent.get(accepted_index)
    digest = recent.digest if recent is not None else ''
    standings = _standings(state, now_ms, accepted_index, digest)
    return InForceReport(
        accepted_index,
        digest,
        _everywhere(state, accepted_index, standings),
        tuple(standing.force for standing in standings if _is_shown(state, standing.force)),
        recent.elapsed_ms if recent is not None else None,
    )


def _inventory(accepted: AcceptedConfiguration) -> frozenset[str]:
    return frozenset(entry.instance for entry in accepted.configuration.instances)


def _is_shown(state: InForceState, force: InstanceForce) -> bool:
    # A removed instance only matters while it can still serve older settings.
    return force.instance in state.inventory or force.state in (STATE_BEHIND, STATE_UNKNOWN)


def _hear(state: InForceState, now_ms: float, poll: Poll, granted: bool) -> None:
    previous = state.heard.get(poll.instance)
    until_ms = previous.granted_until_ms if previous is not None else None
    if granted:
        until_ms = now_ms + LEASE_MS
    # A poll that was overtaken by a newer one grants a lease but acknowledges nothing new.
    if previous is not None and (previous.incarnation, previous.index) > (
        poll.incarnation,
        poll.index,
    ):
        state.heard[poll.instance] = replace(previous, granted_until_ms=until_ms)
        return
    unchanged = previous is not None and (previous.index, previous.digest) == (
        poll.index,
        poll.digest,
    )
    since_ms = previous.since_ms if previous is not None and unchanged else now_ms
    state.heard[poll.instance] = _Heard(
        poll.incarnation, poll.index, poll.digest, since_ms, until_ms
    )


def _standings(
    state: InForceState, now_ms: float, index: int, digest: str
) -> tuple[_Standing, ...]:
    accepted = state.accepted
    names = (*(e.instance for e in accepted.configuration.instances), *accepted.removed_instances)
    return tuple(_standing(state, now_ms, index, digest, name) for name in names)


def _standing(
    state: InForceState, now_ms: float, index: int, digest: str, instance: str
) -> _Standing:
    heard = state.heard.get(instance)
    # An earlier leader can have granted a lease until its last moment.
    fenced_ms = state.elected_ms + LEASE_MS + FENCE_MARGIN_MS
    if heard is None:
        name = STATE_FENCED if now_ms >= fenced_ms else STATE_UNKNOWN
        return _Standing(InstanceForce(instance, name, 0, ''), fenced_ms)
    if heard.granted_until_ms is not None:
        fenced_ms = max(fenced_ms, heard.granted_until_ms + FENCE_MARGIN_MS)
    if now_ms >= fenced_ms:
        name, since_ms = STATE_FENCED, fenced_ms
    elif heard.index > index or (heard.index == index and heard.digest == digest):
        name, since_ms = STATE_IN_FORCE, heard.since_ms
    else:
        name, since_ms = STATE_BEHIND, fenced_ms
    return _Standing(InstanceForce(instance, name, heard.index, heard.digest), since_ms)


def _everywhere(state: InForceState, index: int, standings: tuple[_Standing, ...]) -> bool:
    done = (STATE_IN_FORCE, STATE_FENCED)
    return index <= state.accepted.index and all(s.force.state in done for s in standings)


def _note_completion(state: InForceState, now_ms: float) -> None:
    index = state.accepted.index
    recent = state.recent[index]
    if recent.elapsed_ms is not None or recent.accepted_ms is None:
        return
    standings = _standings(state, now_ms, index, recent.digest)
    if _everywhere(state, index, standings):
        since_ms = max((s.since_ms for s in standings), default=recent.accepted_ms)
        elapsed_ms = max(0.0, since_ms - recent.accepted_ms)
        state.recent[index] = replace(recent, elapsed_ms=round(elapsed_ms))
