"""Test redialling between instances, independent of retries by the operating system."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

from pistachioloft_core.connection.dialing import (
    DIAL_TIMEOUT_LIMIT_MS,
    DIAL_TIMEOUT_MS,
    DialState,
    forget_connection,
    forget_peer,
    has_ended,
    should_redial,
)
from pistachioloft_daemon import peers
from pistachioloft_daemon.peers import DIAL_CHECK_MS, Peers

if TYPE_CHECKING:
    import pytest


def dial_times(state: DialState, until_ms: int) -> list[int]:
    step_ms = int(DIAL_CHECK_MS)
    return [
        now_ms
        for now_ms in range(0, until_ms, step_ms)
        if should_redial(state, float(now_ms), 'a', False)
    ]


def test_hanging_dial_is_replaced_before_the_system_retries_it() -> None:
    """Guard against 1 s without a leader because the first packet to a stopped machine is lost."""
    first, second, *_ = dial_times(DialState(), 5_000)
    assert first <= DIAL_TIMEOUT_MS + DIAL_CHECK_MS
    assert second < 1_000


def test_unreachable_peer_is_dialled_less_often() -> None:
    """Guard against instances that spend their time on dialling a peer that has ended."""
    times = dial_times(DialState(), 60_000)
    assert len(times) < 60_000 / DIAL_TIMEOUT_LIMIT_MS + 10
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert max(gaps) <= DIAL_TIMEOUT_LIMIT_MS + DIAL_CHECK_MS


def test_dial_timeout_is_reset_after_a_connection() -> None:
    """Guard against a long dial timeout for a peer that was unreachable before."""
    state = DialState()
    dial_times(state, 20_000)
    assert not should_redial(state, 20_000.0, 'a', True)
    assert not should_redial(state, 21_000.0, 'a', False)
    assert should_redial(state, 21_000.0 + DIAL_TIMEOUT_MS, 'a', False)
    forget_peer(state, 'a')
    assert not should_redial(state, 30_000.0, 'a', False)


class FakeSender:
    """Simulate a socket whose connection may or may not open."""

    made: list[FakeSender] = []

    def __init__(self, **_options: Any) -> None:
        self.pipes: tuple[object, ...] = ()
        self.closed = False
        self.made.append(self)

    def dial(self, _address: str, block: bool) -> None:
        assert not block

    def close(self) -> None:
        self.closed = True


def test_only_peers_without_a_connection_are_redialled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against replacing a working connection and losing its messages."""
    monkeypatch.setattr(peers.pynng, 'Push0', FakeSender)
    monkeypatch.setattr(FakeSender, 'made', [])
    local_peers = Peers('10.0.0.1', '10.0.0.1:7380', lambda _sender, _message: None)
    local_peers.connect('10.0.0.2', '10.0.0.2:7380')
    local_peers.connect('10.0.0.3', '10.0.0.3:7380')
    working, hanging = FakeSender.made
    working.pipes = (object(),)
    for now_ms in range(0, 400, int(DIAL_CHECK_MS)):
        local_peers.check_dials(float(now_ms))
    assert (working.closed, hanging.closed) == (False, True)
    assert local_peers.senders['10.0.0.2'] is working
    assert local_peers.senders['10.0.0.3'] is FakeSender.made[-1]
    assert len(FakeSender.made) == 3


def test_ended_peer_is_reported_once() -> None:
    """Guard against attempts that wait for an ended process, or that a reset alone ends."""
    state = DialState()
    assert not has_ended(state, 0.0, 'b', False)
    assert not has_ended(state, 50.0, 'b', True)
    # A reset: the next check finds a new connection.
    assert not has_ended(state, 100.0, 'b', False)
    assert not has_ended(state, 150.0, 'b', True)
    assert [has_ended(state, 200.0 + step, 'b', False) for step in (0.0, 50.0, 100.0, 150.0)] == [
        False,
        True,
        False,
        False,
    ]
    assert not has_ended(state, 400.0, 'b', True)
    # Replaced by this instance: the peer has not ended.
    forget_connection(state, 'b')
    assert not has_ended(state, 500.0, 'b', False)
    assert not has_ended(state, 600.0, 'b', False)
