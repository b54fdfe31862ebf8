"""Detect a silent connection to a peer instance and replace it."""

from __future__ import annotations

from dataclasses import dataclass

from .actions import DECISION_LINK, LogDecision, WakeAt

REPLY_TIMEOUT_MS = 1_000.0
REPLY_TIMEOUT_LIMIT_MS = 8_000.0


@dataclass(frozen=True, slots=True)
class OpenLink:
    """Open a new connection to a peer and use it for further messages."""

    peer: str
    generation: int


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close an earlier connection to a peer."""

    peer: str
    generation: int


LinkAction = OpenLink | CloseLink | WakeAt | LogDecision


class LinkState:
    """Hold since when messages to one peer have had no reply."""

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.generation = 1
        self.waiting_since_ms: float | None = None
        self.timeout_count = 0


def on_sent(state: LinkState, now_ms: float) -> list[LinkAction]:
    """Start to wait for a reply unless an earlier message already waits for one."""
    if state.waiting_since_ms is not None:
        return []
    state.waiting_since_ms = now_ms
    return [WakeAt(now_ms + reply_timeout_ms(state))]


def on_reply(state: LinkState, now_ms: float) -> list[LinkAction]:
    """Record a reply to a message of this instance as proof that the connection works."""
    state.waiting_since_ms = None
    state.timeout_count = 0
    return []


def on_timer(state: LinkState, now_ms: float) -> list[LinkAction]:
    """Replace the connection if the peer has not replied within the timeout."""
    since_ms = state.waiting_since_ms
    if since_ms is None:
        return []
    due_ms = since_ms + reply_timeout_ms(state)
    if now_ms < due_ms:
        return [WakeAt(due_ms)]
    detail = f'no reply for {now_ms - since_ms:.0f} ms, connection {state.generation} replaced'
    state.generation += 1
    state.timeout_count += 1
    # The timeout of the new connection starts with the next message.
    state.waiting_since_ms = None
    return [
        LogDecision(DECISION_LINK, state.peer, detail),
        OpenLink(state.peer, state.generation),
        CloseLink(state.peer, state.generation - 1),
    ]


def reply_timeout_ms(state: LinkState) -> float:
    """Return the time to wait for a reply, which doubles as long as the peer is silent."""
    return min(REPLY_TIMEOUT_LIMIT_MS, REPLY_TIMEOUT_MS * 2.0 ** min(state.timeout_count, 10))
