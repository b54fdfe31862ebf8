"""Test the replacement of silent connections between instances."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.connection import link
from pistachioloft_core.connection.actions import WakeAt
from pistachioloft_core.connection.link import CloseLink, LinkState, OpenLink


def _is_replaced(actions: list[link.LinkAction]) -> bool:
    return any(isinstance(action, OpenLink) for action in actions)


def test_silent_connection_is_replaced_after_one_second_despite_sends() -> None:
    """Guard against messages that restart the reply timeout of a silent connection."""
    state = LinkState('e2')
    assert link.on_sent(state, 0.0) == [WakeAt(1000.0)]
    for now_ms in range(250, 1000, 250):
        link.on_sent(state, now_ms)
        assert not _is_replaced(link.on_timer(state, now_ms))
    actions = link.on_timer(state, 1000.0)
    assert OpenLink('e2', 2) in actions
    assert CloseLink('e2', 1) in actions


def test_connection_without_traffic_is_not_replaced() -> None:
    """Guard against replacing a connection that is idle."""
    state = LinkState('e2')
    assert link.on_timer(state, 60_000.0) == []
    link.on_sent(state, 60_000.0)
    link.on_reply(state, 60_900.0)
    assert link.on_timer(state, 61_000.0) == []


def test_reply_timeout_grows_to_limit_and_reply_resets_it() -> None:
    """Guard against reconnecting to an unreachable peer every second, or never again."""
    state = LinkState('e2')
    now_ms, timeouts_ms = 0.0, []
    for _ in range(12):
        link.on_sent(state, now_ms)
        timeouts_ms.append(link.reply_timeout_ms(state))
        now_ms += timeouts_ms[-1]
        assert _is_replaced(link.on_timer(state, now_ms))
    assert timeouts_ms[:4] == [1000.0, 2000.0, 4000.0, 8000.0]
    assert max(timeouts_ms) == link.REPLY_TIMEOUT_LIMIT_MS
    link.on_sent(state, now_ms)
    link.on_reply(state, now_ms)
    assert link.reply_timeout_ms(state) == 1000.0


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.sampled_from(['send', 'answer', 'tick']), st.integers(0, 700))))
def test_connection_is_replaced_only_after_one_second_without_reply(
    steps: list[tuple[str, int]],
) -> None:
    """Guard against replacing a connection with recent replies, in any order of events."""
    state = LinkState('e2')
    now_ms, unanswered_ms = 0.0, None
    for step, pause_ms in steps:
        now_ms += pause_ms
        if step == 'send':
            link.on_sent(state, now_ms)
            unanswered_ms = now_ms if unanswered_ms is None else unanswered_ms
        elif step == 'answer':
            link.on_reply(state, now_ms)
            unanswered_ms = None
        elif _is_replaced(link.on_timer(state, now_ms)):
            assert unanswered_ms is not None
            assert now_ms - unanswered_ms >= 1000.0
            unanswered_ms = None
