"""Decide when to dial a peer again and when a connected peer has ended."""

from __future__ import annotations

# While the other machine is down or cut off, the first packet of a connection is lost, and the
# operating system resends it only after 1, 3 and 7 s. A dial takes a few round trips.
DIAL_TIMEOUT_MS = 250.0
# Longest interval between dials to a peer that stays unreachable.
DIAL_TIMEOUT_LIMIT_MS = 2_000.0
# A peer whose connection broke has ended if no new one opens within this time: a running peer is
# dialled after 20 ms and accepts within a round trip.
ENDED_AFTER_MS = 40.0


class DialState:
    """Hold for each peer since when it is dialled or its connection is broken."""

    __slots__ = ('broken_ms', 'connected', 'dial_timeout_ms', 'dialled_ms')

    def __init__(self) -> None:
        self.dialled_ms: dict[str, float] = {}
        self.dial_timeout_ms: dict[str, float] = {}
        self.connected: set[str] = set()
        # Peers that were connected, with the time at which the connection was found broken.
        self.broken_ms: dict[str, float] = {}


def should_redial(state: DialState, now_ms: float, peer: str, connected: bool) -> bool:
    """Return whether to replace the dial to a peer by a new one, and record it."""
    if connected:
        forget_peer(state, peer)
        return False
    dial_timeout_ms = state.dial_timeout_ms.setdefault(peer, DIAL_TIMEOUT_MS)
    if now_ms - state.dialled_ms.setdefault(peer, now_ms) < dial_timeout_ms:
        return False
    state.dialled_ms[peer] = now_ms
    state.dial_timeout_ms[peer] = min(DIAL_TIMEOUT_LIMIT_MS, 2 * dial_timeout_ms)
    return True


def has_ended(state: DialState, now_ms: float, peer: str, connected: bool) -> bool:
    """Return whether a connected peer has ended; True only once for each connection."""
    if connected:
        state.connected.add(peer)
        state.broken_ms.pop(peer, None)
        return False
    if peer not in state.connected:
        return False
    if now_ms - state.broken_ms.setdefault(peer, now_ms) < ENDED_AFTER_MS:
        return False
    state.connected.discard(peer)
    del state.broken_ms[peer]
    return True


def forget_peer(state: DialState, peer: str) -> None:
    """Drop the dial state of a peer that is connected or no longer needed."""
    state.dialled_ms.pop(peer, None)
    state.dial_timeout_ms.pop(peer, None)


def forget_connection(state: DialState, peer: str) -> None:
    """Drop the state of a connection that this instance closes."""
    state.connected.discard(peer)
    state.broken_ms.pop(peer, None)
