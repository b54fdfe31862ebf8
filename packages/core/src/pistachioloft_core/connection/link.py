"""Decide when the connection to a peer instance is silent and is replaced."""

from __future__ import annotations

from dataclasses import dataclass

from .actions import DECISION_LINK, LogDecision, WakeAt

SILENT_MS = 1_000.0
SILENT_LIMIT_MS = 8_000.0


@dataclass(frozen=True, slots=True)
class OpenLink:
    """Open a new connection to a peer and send on it from now on."""

    peer: str
    generation: int


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close an earlier connection to a peer."""

    peer: str
    generation: int


LinkAction = OpenLink | CloseLink | WakeAt | LogDecision


class LinkState:
    """Hold what was sent to one peer and whether it answered."""

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.generation = 1
        self.waiting_since_ms: float | None = None
        self.silent_count = 0


def on_sent(state: LinkState, now_ms: float) -> list[LinkAction]:
    """Start waiting for an answer unless an earlier message already waits."""
    if state.waiting_since_ms is not None:
        return []
    state.waiting_since_ms = now_ms
    return [WakeAt(now_ms + silent_after_ms(state))]


def on_answer(state: LinkState, now_ms: float) -> list[LinkAction]:
    """Take a message that answers one of this side's as proof that the link works."""
    state.waiting_since_ms = None
    state.silent_count = 0
    return []


def on_timer(state: LinkState, now_ms: float) -> list[LinkAction]:
    """Replace the connection if the peer has answered nothing for too long."""
    since_ms = state.waiting_since_ms
    if since_ms is None:
        return []
    due_ms = since_ms + silent_after_ms(state)
    if now_ms < due_ms:
        return [WakeAt(due_ms)]
    detail = f'no answer for {now_ms - since_ms:.0f} ms, connection {state.generation} replaced'
    state.generation += 1
    state.silent_count += 1
    # The next message sent starts the clock of the new connection.
    state.waiting_since_ms = None
    return [
        LogDecision(DECISION_LINK, state.peer, detail),
        OpenLink(state.peer, state.generation),
        CloseLink(state.peer, state.generation - 1),
    ]


def silent_after_ms(state: LinkState) -> float:
    """Return how long to wait for an answer, longer for a peer that stays silent."""
    return min(SILENT_LIMIT_MS, SILENT_MS * 2.0 ** min(state.silent_count, 10))
