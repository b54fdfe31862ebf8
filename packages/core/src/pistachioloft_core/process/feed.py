"""Feed of an entry instance: it polls one control instance at a time for updates."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from msgspec.structs import replace

from ..messages.fleet import EntryStatus, FeedPoll, FeedReply, InstanceLocation, RequestCrash

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

# A tenth of the shortest time in which a configuration must be in force.
POLL_INTERVAL_MS = 300.0
# While no poll is answered, the next control instance is polled after this time.
SEARCH_INTERVAL_MS = 100.0
MISSED_POLL_LIMIT_COUNT = 2
# Replies to older polls are ignored; at most 100 polls are sent in this time.
POLL_LIFE_MS = 10_000.0
POLL_LIMIT_COUNT = 128
# Crash reports that wait for the next poll; enough for the requests of a few queries.
CRASH_LIMIT_COUNT = 64
# An instance of the own failure domain that was given up is polled again after this time.
GIVEN_UP_AVOID_MS = 5_000.0
# One that replied without a quorum runs; after a start of all instances it has one soon.
UNCONFIRMED_AVOID_MS = 1_000.0
# Reasons for giving up a control instance: it did not reply, or it has no quorum.
SILENT = 'silent'
UNCONFIRMED = 'unconfirmed'


@dataclass(frozen=True, slots=True)
class SendPoll:
    """Send a poll to a control instance."""

    to: str
    poll: FeedPoll


@dataclass(frozen=True, slots=True)
class GivenUpControl:
    """Name a control instance that is no longer polled and the reason."""

    instance: str
    reason: str
    # Time since the last message from it, or since its first poll.
    received_age_ms: float


class FeedState:
    """Hold the control instances, the polled one and the age of its confirmed replies."""

    def __init__(
        self, seeds: tuple[str, ...], failure_domain: str, random_source: random.Random
    ) -> None:
        self.seeds = seeds
        self.failure_domain = failure_domain
        self.controls: tuple[InstanceLocation, ...] = ()
        self.target: str | None = None
        self.missed_count = 0
        self.due_ms = float('-inf')
        self.rotation_index = random_source.randrange(1024)
        # A random start keeps a late reply to an earlier process from matching a poll.
        self.poll_id = random_source.getrandbits(48)
        self.poll_count = 0
        self.sent: dict[int, tuple[str, float]] = {}
        self.cursors: dict[str, tuple[int, int]] = {}
        self.confirmed_ms: float | None = None
        # The same for replies that name all entry instances.
        self.complete_ms: float | None = None
        self.crashes: list[RequestCrash] = []
        # Identifies the helpers that the last update named.
        self.helpers_digest = 0
        # Until when control instances that were silent or without a quorum are avoided.
        self.avoided_until_ms: dict[str, float] = {}
        # Those given up since the last call of `take_given_up`.
        self.given_up: list[GivenUpControl] = []
        # When the last message of each control instance was received, or its first poll sent.
        self.received_ms: dict[str, float] = {}


def set_seeds(state: FeedState, seeds: tuple[str, ...]) -> None:
    """Replace the seeds; control instances that are already known are retained."""
    state.seeds = seeds


def candidates(state: FeedState) -> tuple[str, ...]:
    """Return the control instances that can be polled, known ones first."""
    control_names = (location.instance for location in state.controls)
    return tuple(dict.fromkeys((*control_names, *state.seeds)))


def next_poll(state: FeedState, now_ms: float, entry: EntryStatus) -> SendPoll | None:
    """Return the poll to send now, if one is due."""
    names = candidates(state)
    if now_ms < state.due_ms or not names:
        return None
    if state.target is not None and state.missed_count >= MISSED_POLL_LIMIT_COUNT:
        _give_up_target(state, now_ms, state.target, SILENT)
    if state.target not in names:
        state.target = _choose_target(state, now_ms, names)
        state.missed_count = 0
    target = state.target
    assert target is not None
    searching = state.missed_count > 0
    state.missed_count += 1
    state.due_ms = now_ms + (SEARCH_INTERVAL_MS if searching else POLL_INTERVAL_MS)
    state.poll_id += 1
    state.sent[state.poll_id] = (target, now_ms)
    while len(state.sent) > POLL_LIMIT_COUNT:
        del state.sent[next(iter(state.sent))]
    incarnation, revision = state.cursors.get(target, (0, 0))
    crashes, state.crashes = tuple(state.crashes), []
    # Asked once of each: nothing is known yet of the control instances' failure domains.
    prefers_near = not state.controls and target not in state.received_ms
    received_age_ms = now_ms - state.received_ms.setdefault(target, now_ms)
    state.poll_count += 1
    entry = replace(entry, sequence=state.poll_count)
    poll = FeedPoll(
        state.poll_id,
        entry,
        incarnation,
        revision,
        received_age_ms,
        crashes,
        prefers_near,
        state.helpers_digest,
    )
    return SendPoll(target, poll)


def take_given_up(state: FeedState) -> list[GivenUpControl]:
    """Return the control instances that were given up since the last call."""
    given_up, state.given_up = state.given_up, []
    return given_up


def _give_up_target(state: FeedState, now_ms: float, target: str, reason: str) -> None:
    received_age_ms = now_ms - state.received_ms.get(target, now_ms)
    state.given_up.append(GivenUpControl(target, reason, received_age_ms))
    avoid_ms = GIVEN_UP_AVOID_MS if reason == SILENT else UNCONFIRMED_AVOID_MS
    state.avoided_until_ms[target] = now_ms + avoid_ms
    state.target = None


def _choose_target(state: FeedState, now_ms: float, names: tuple[str, ...]) -> str:
    """Choose an instance of the own failure domain, or else the next one in rotation."""
    near = _near_controls(state, now_ms)
    if near:
        return near[0]
    state.rotation_index += 1
    return names[state.rotation_index % len(names)]


def on_feed(state: FeedState, now_ms: float, sender: str, reply: FeedReply) -> bool:
    """Handle an update and return whether its endpoints can be applied."""
    state.received_ms[sender] = now_ms
    if reply.poll_id:
        sent = state.sent.pop(reply.poll_id, None)
        if sent is None or sent[0] != sender or now_ms - sent[1] > POLL_LIFE_MS:
            return False
        _record_reply(state, now_ms, sender, sent[1], reply)
    cursor = state.cursors.get(sender, (0, 0))
    received_revision = cursor[1] if cursor[0] == reply.control_incarnation else 0
    if not reply.full and reply.since_revision > received_revision:
        # An earlier update was lost; the next poll requests both.
        return False
    state.cursors[sender] = (
        reply.control_incarnation,
        max(received_revision, reply.endpoint_revision),
    )
    if reply.controls:
        if not state.controls:
            # The endpoints may come from an instance of the own failure domain.
            request_poll(state, now_ms)
        state.controls = reply.controls
        retained = {location.instance for location in reply.controls} | set(state.seeds)
        _return_to_own_domain(state, now_ms)
        state.cursors = {name: value for name, value in state.cursors.items() if name in retained}
        state.received_ms = {
            name: value for name, value in state.received_ms.items() if name in retained
        }
        state.avoided_until_ms = {
            name: value for name, value in state.avoided_until_ms.items() if name in retained
        }
    return True


def report_crashes(state: FeedState, crashes: Iterable[RequestCrash]) -> None:
    """Queue crash reports for the next poll, dropping the oldest above the limit."""
    state.crashes.extend(crashes)
    del state.crashes[:-CRASH_LIMIT_COUNT]


def confirmation_age_ms(state: FeedState, now_ms: float) -> float:
    """Return the time since the last poll that a quorum confirmed, or infinity."""
    return float('inf') if state.confirmed_ms is None else now_ms - state.confirmed_ms


def complete_age_ms(state: FeedState, now_ms: float) -> float:
    """Return the time since the last confirmed poll that named all instances, or infinity."""
    return float('inf') if state.complete_ms is None else now_ms - state.complete_ms


def request_poll(state: FeedState, now_ms: float) -> None:
    """Make a poll due at once."""
    state.due_ms = min(state.due_ms, now_ms)


def _return_to_own_domain(state: FeedState, now_ms: float) -> None:
    """Poll an instance of the own failure domain if the current target is in another one."""
    domains = {location.instance: location.failure_domain for location in state.controls}
    if state.target is None or domains.get(state.target) == state.failure_domain:
        return
    near = _near_controls(state, now_ms)
    if near:
        state.target = near[0]
        state.missed_count = 0


def _near_controls(state: FeedState, now_ms: float) -> list[str]:
    """Return the control instances of the own failure domain that are not avoided."""
    return [
        location.instance
        for location in state.controls
        if location.failure_domain == state.failure_domain
        and now_ms >= state.avoided_until_ms.get(location.instance, float('-inf'))
    ]


def _record_reply(
    state: FeedState, now_ms: float, sender: str, sent_ms: float, reply: FeedReply
) -> None:
    if reply.confirmed:
        state.confirmed_ms = max(sent_ms, state.confirmed_ms or sent_ms)
        if not reply.lacks_entries:
            state.complete_ms = max(sent_ms, state.complete_ms or sent_ms)
    if sender != state.target:
        return
    state.missed_count = 0
    if not reply.confirmed:
        # Another control instance may have a quorum; without one, each is polled in rotation.
        _give_up_target(state, now_ms, sender, UNCONFIRMED)
        state.due_ms = min(state.due_ms, now_ms + SEARCH_INTERVAL_MS)
