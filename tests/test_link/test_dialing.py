"""Guard against connections between instances that wait for the system to try again."""

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


def test_a_dial_that_hangs_is_given_up_before_the_system_repeats_it() -> None:
    """Guard against a group without a leader for a second because one machine started first."""
    first, second, *_ = dial_times(DialState(), 5_000)
    assert first <= DIAL_TIMEOUT_MS + DIAL_CHECK_MS
    assert second < 1_000


def test_a_peer_that_stays_away_is_dialled_less_often() -> None:
    """Guard against instances that spend their time on dialling one that is gone."""
    times = dial_times(DialState(), 60_000)
    assert len(times) < 60_000 / DIAL_TIMEOUT_LIMIT_MS + 10
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert max(gaps) <= DIAL_TIMEOUT_LIMIT_MS + DIAL_CHECK_MS


def test_a_peer_that_was_connected_is_dialled_soon_again() -> None:
    """Guard against the long wait for a peer that was away once."""
    state = DialState()
    dial_times(state, 20_000)
    assert not should_redial(state, 20_000.0, 'a', True)
    assert not should_redial(state, 21_000.0, 'a', False)
    assert should_redial(state, 21_000.0 + DIAL_TIMEOUT_MS, 'a', False)
    forget_peer(state, 'a')
    assert not should_redial(state, 30_000.0, 'a', False)


class FakeSender:
    """Stand for a socket whose connection comes about or not."""

    made: list[FakeSender] = []

    def __init__(self, **_options: Any) -> None:
        self.pipes: tuple[object, ...] = ()
        self.closed = False
        self.made.append(self)

    def dial(self, _address: str, block: bool) -> None:
        assert not block

    def close(self) -> None:
        self.closed = True


def test_only_peers_without_a_connection_are_dialled_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a working connection that is replaced, and messages lost with it."""
    monkeypatch.setattr(peers.pynng, 'Push0', FakeSender)
    monkeypatch.setattr(FakeSender, 'made', [])
    here = Peers('10.0.0.1', '10.0.0.1:7380', lambda _sender, _message: None)
    here.connect('10.0.0.2', '10.0.0.2:7380')
    here.connect('10.0.0.3', '10.0.0.3:7380')
    working, hanging = FakeSender.made
    working.pipes = (object(),)
    for now_ms in range(0, 400, int(DIAL_CHECK_MS)):
        here.check_dials(float(now_ms))
    assert (working.closed, hanging.closed) == (False, True)
    assert here.senders['10.0.0.2'] is working
    assert here.senders['10.0.0.3'] is FakeSender.made[-1]
    assert len(FakeSender.made) == 3


def test_a_peer_that_ended_is_told_once() -> None:
    """Guard against work that waits for a process that is gone, or is given up with a reset."""
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
    # Replaced from here: nobody ended.
    forget_connection(state, 'b')
    assert not has_ended(state, 500.0, 'b', False)
    assert not has_ended(state, 600.0, 'b', False)
