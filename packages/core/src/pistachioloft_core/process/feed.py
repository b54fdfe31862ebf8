"""How an entry instance keeps up to date: polls to one control instance at a time."""

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
# While nothing answers, the next control instance is asked after this time.
SEARCH_INTERVAL_MS = 100.0
MISSED_POLL_LIMIT_COUNT = 2
# Polls older than this are not counted; at most 100 are sent in this time.
POLL_LIFE_MS = 10_000.0
POLL_LIMIT_COUNT = 128
# Crash reports that wait for the next poll, a few queries' worth.
CRASH_LIMIT_COUNT = 64
# An instance that was given up is asked again after this time, if it is the nearest.
AVOID_MS = 5_000.0


@dataclass(frozen=True, slots=True)
class SendPoll:
    """Send a poll to a control instance."""

    to: str
    poll: FeedPoll


class FeedState:
    """Hold the control instances, the one that is polled and how fresh its answers are."""

    def __init__(
        self, seeds: tuple[str, ...], failure_domain: str, random_source: random.Random
    ) -> None:
        self.seeds = seeds
        self.failure_domain = failure_domain
        self.controls: tuple[InstanceLocation, ...] = ()
        self.target: str | None = None
        self.missed_count = 0
        self.due_ms = float('-inf')
        self.turn = random_source.randrange(1024)
        # A random start keeps a late reply to an earlier process from matching a poll.
        self.poll_id = random_source.getrandbits(48)
        self.poll_count = 0
        self.sent: dict[int, tuple[str, float]] = {}
        self.cursors: dict[str, tuple[int, int]] = {}
        self.confirmed_ms: float | None = None
        self.crashes: list[RequestCrash] = []
        # When each control instance was given up as silent or without a quorum.
        self.silent: dict[str, float] = {}
        # When each control instance was last heard, or first asked.
        self.heard: dict[str, float] = {}


def set_seeds(state: FeedState, seeds: tuple[str, ...]) -> None:
    """Replace the seeds; instances that are known already stay known."""
    state.seeds = seeds


def candidates(state: FeedState) -> tuple[str, ...]:
    """Return the control instances that can be asked, known ones first."""
    known = (location.instance for location in state.controls)
    return tuple(dict.fromkeys((*known, *state.seeds)))


def next_poll(state: FeedState, now_ms: float, entry: EntryStatus) -> SendPoll | None:
    """Return the poll to send now, if one is due."""
    names = candidates(state)
    if now_ms < state.due_ms or not names:
        return None
    if state.target is not None and state.missed_count >= MISSED_POLL_LIMIT_COUNT:
        state.silent[state.target] = now_ms
        state.target = None
    if state.target not in names:
        state.target = _choose(state, now_ms, names)
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
    received_age_ms = now_ms - state.heard.setdefault(target, now_ms)
    state.poll_count += 1
    entry = replace(entry, sequence=state.poll_count)
    poll = FeedPoll(state.poll_id, entry, incarnation, revision, received_age_ms, crashes)
    return SendPoll(target, poll)


def _choose(state: FeedState, now_ms: float, names: tuple[str, ...]) -> str:
    """Choose an instance of the own failure domain, else the next in turn."""
    for location in state.controls:
        silent_ms = now_ms - state.silent.get(location.instance, float('-inf'))
        if location.failure_domain == state.failure_domain and silent_ms >= AVOID_MS:
            return location.instance
    state.turn += 1
    return names[state.turn % len(names)]


def on_feed(state: FeedState, now_ms: float, sender: str, reply: FeedReply) -> bool:
    """Take an update and tell whether its endpoints can be applied."""
    state.heard[sender] = now_ms
    if reply.poll_id:
        sent = state.sent.pop(reply.poll_id, None)
        if sent is None or sent[0] != sender or now_ms - sent[1] > POLL_LIFE_MS:
            return False
        _note_answer(state, now_ms, sender, sent[1], reply)
    cursor = state.cursors.get(sender, (0, 0))
    known = cursor[1] if cursor[0] == reply.control_incarnation else 0
    if not reply.full and reply.since_revision > known:
        # An update before this one was lost; the next poll asks for both.
        return False
    state.cursors[sender] = (reply.control_incarnation, max(known, reply.endpoint_revision))
    if reply.controls:
        state.controls = reply.controls
        kept = {location.instance for location in reply.controls} | set(state.seeds)
        _go_home(state, now_ms)
        state.cursors = {name: value for name, value in state.cursors.items() if name in kept}
        state.heard = {name: value for name, value in state.heard.items() if name in kept}
        state.silent = {name: value for name, value in state.silent.items() if name in kept}
    return True


def report_crashes(state: FeedState, crashes: Iterable[RequestCrash]) -> None:
    """Send crash reports with the next poll, the newest if there are many."""
    state.crashes.extend(crashes)
    del state.crashes[:-CRASH_LIMIT_COUNT]


def confirmation_age_ms(state: FeedState, now_ms: float) -> float:
    """Return for how long no quorum has confirmed what is known here."""
    return float('inf') if state.confirmed_ms is None else now_ms - state.confirmed_ms


def request_poll(state: FeedState, now_ms: float) -> None:
    """Make a poll due at once."""
    state.due_ms = min(state.due_ms, now_ms)


def _go_home(state: FeedState, now_ms: float) -> None:
    """Move on to an instance of the own failure domain if the present one is elsewhere."""
    domains = {location.instance: location.failure_domain for location in state.controls}
    if state.target is None or domains.get(state.target) == state.failure_domain:
        return
    near = [
        location.instance
        for location in state.controls
        if location.failure_domain == state.failure_domain
        and now_ms - state.silent.get(location.instance, float('-inf')) >= AVOID_MS
    ]
    if near:
        state.target = near[0]
        state.missed_count = 0


def _note_answer(
    state: FeedState, now_ms: float, sender: str, sent_ms: float, reply: FeedReply
) -> None:
    if reply.confirmed:
        state.confirmed_ms = max(sent_ms, state.confirmed_ms or sent_ms)
    if sender != state.target:
        return
    state.missed_count = 0
    if not reply.confirmed:
        # Another one may have a quorum; while none has, each is asked in turn.
        state.silent[sender] = now_ms
        state.target = None
        state.due_ms = min(state.due_ms, now_ms + SEARCH_INTERVAL_MS)
