"""Renewals of endpoints that control instances share by short numbers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Mapping

    from ..messages.fleet import ControlShare, Renewal, ShortRenewal

# A renewal states its number this many times before the number stands for the endpoint, in case
# one of the shares is lost.
STATED_COUNT = 2
# Numbers of endpoints that are gone are dropped once there are this many more than endpoints.
SURPLUS_LIMIT_COUNT = 1_024


class _PeerNumbers:
    """Hold the endpoints and their starts by the numbers that a control instance gave them."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.by_number: dict[int, tuple[str, int]] = {}


class RenewalNumbers:
    """Hold the numbers that this control instance and the others gave to endpoints."""

    def __init__(self) -> None:
        # By endpoint and its start: the number and how often it was stated.
        self.own: dict[tuple[str, int], tuple[int, int]] = {}
        self.last_number = 0
        # By control instance, for those that read short renewals.
        self.peers: dict[str, _PeerNumbers] = {}


def shorten_renewals(
    state: RenewalNumbers, renewals: Iterable[Renewal]
) -> tuple[tuple[Renewal, ...], tuple[int, ...], tuple[ShortRenewal, ...]]:
    """Split renewals into those that state a number, these numbers, and short ones."""
    stated: list[Renewal] = []
    numbers: list[int] = []
    short: list[ShortRenewal] = []
    for renewal in renewals:
        endpoint, born_ms, sequence, age_ms = renewal
        number, stated_count = state.own.get((endpoint, born_ms), (0, 0))
        if not number:
            state.last_number += 1
            number = state.last_number
        if stated_count < STATED_COUNT:
            state.own[endpoint, born_ms] = (number, stated_count + 1)
            stated.append(renewal)
            numbers.append(number)
        else:
            short.append((number, sequence, age_ms))
    return tuple(stated), tuple(numbers), tuple(short)


def state_again(state: RenewalNumbers) -> None:
    """State each number again with the next renewals, because a peer does not know all."""
    state.own = {start: (number, 0) for start, (number, _) in state.own.items()}


def expand_renewals(state: RenewalNumbers, share: ControlShare) -> list[Renewal | None]:
    """Return all renewals of a share with their endpoints, None for each unknown number."""
    sender = share.control
    if not share.reads_short_renewals:
        state.peers.pop(sender.instance, None)
        return list(share.renewals)
    peer = state.peers.get(sender.instance)
    if peer is None or peer.incarnation != sender.incarnation:
        peer = state.peers[sender.instance] = _PeerNumbers(sender.incarnation)
    for (endpoint, born_ms, _, _), number in zip(
        share.renewals, share.renewal_numbers, strict=False
    ):
        peer.by_number[number] = (endpoint, born_ms)
    expanded: list[Renewal | None] = list(share.renewals)
    for number, sequence, age_ms in share.short_renewals:
        start = peer.by_number.get(number)
        expanded.append(None if start is None else (*start, sequence, age_ms))
    return expanded


def forget_numbers(
    state: RenewalNumbers, born_ms: Mapping[str, int], controls: Container[str]
) -> None:
    """Forget lost control instances, and numbers of past endpoints if there are many."""
    limit_count = len(born_ms) + SURPLUS_LIMIT_COUNT
    if len(state.own) > limit_count:
        # An endpoint that restarts keeps its id, so its earlier starts are told by their times.
        state.own = {
            start: value for start, value in state.own.items() if born_ms.get(start[0]) == start[1]
        }
    state.peers = {name: peer for name, peer in state.peers.items() if name in controls}
    for peer in state.peers.values():
        if len(peer.by_number) > limit_count:
            peer.by_number = {
                number: start
                for number, start in peer.by_number.items()
                if born_ms.get(start[0]) == start[1]
            }
