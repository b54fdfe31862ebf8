"""When a connection that does not come about is tried anew."""

from __future__ import annotations

# The first packet of a connection is lost while the other machine has no power or is cut off, and
# the system sends it again only after 1, 3 and 7 s. A dial takes a few round trips.
DIAL_TIMEOUT_MS = 250.0
# A peer that stays away is dialled at this interval in the end.
DIAL_TIMEOUT_LIMIT_MS = 2_000.0
# A peer whose connection broke has ended if no new one comes about in this time: one that runs is
# dialled after 20 ms and answers within a round trip.
LEFT_AFTER_MS = 40.0


class DialState:
    """Hold how long each peer has not been connected."""

    __slots__ = ('broken_ms', 'connected', 'dial_timeout_ms', 'since_ms')

    def __init__(self) -> None:
        self.since_ms: dict[str, float] = {}
        self.dial_timeout_ms: dict[str, float] = {}
        self.connected: set[str] = set()
        # Since when those that were connected are not.
        self.broken_ms: dict[str, float] = {}


def must_dial_again(state: DialState, now_ms: float, peer: str, connected: bool) -> bool:
    """Tell whether the dial to a peer should be given up for a new one."""
    if connected:
        forget_peer(state, peer)
        return False
    dial_timeout_ms = state.dial_timeout_ms.setdefault(peer, DIAL_TIMEOUT_MS)
    if now_ms - state.since_ms.setdefault(peer, now_ms) < dial_timeout_ms:
        return False
    state.since_ms[peer] = now_ms
    state.dial_timeout_ms[peer] = min(DIAL_TIMEOUT_LIMIT_MS, 2 * dial_timeout_ms)
    return True


def has_left(state: DialState, now_ms: float, peer: str, connected: bool) -> bool:
    """Tell once that a peer that was connected has ended."""
    if connected:
        state.connected.add(peer)
        state.broken_ms.pop(peer, None)
        return False
    if peer not in state.connected:
        return False
    if now_ms - state.broken_ms.setdefault(peer, now_ms) < LEFT_AFTER_MS:
        return False
    state.connected.discard(peer)
    del state.broken_ms[peer]
    return True


def forget_peer(state: DialState, peer: str) -> None:
    """Forget a peer that is connected or not wanted any more."""
    state.since_ms.pop(peer, None)
    state.dial_timeout_ms.pop(peer, None)


def forget_connection(state: DialState, peer: str) -> None:
    """Forget a connection that is closed from here."""
    state.connected.discard(peer)
    state.broken_ms.pop(peer, None)
