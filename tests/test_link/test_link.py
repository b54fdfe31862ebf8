"""Guard the replacement of silent connections between instances."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.connection import link
from pistachioloft_core.connection.actions import WakeAt
from pistachioloft_core.connection.link import CloseLink, LinkState, OpenLink


def _is_replaced(actions: list[link.LinkAction]) -> bool:
    return any(isinstance(action, OpenLink) for action in actions)


def test_silent_link_is_replaced_after_a_second_although_more_is_sent() -> None:
    """Guard against sends that keep restarting the clock of a silent link."""
    state = LinkState('e2')
    assert link.on_sent(state, 0.0) == [WakeAt(1000.0)]
    for now_ms in range(250, 1000, 250):
        link.on_sent(state, now_ms)
        assert not _is_replaced(link.on_timer(state, now_ms))
    actions = link.on_timer(state, 1000.0)
    assert OpenLink('e2', 2) in actions
    assert CloseLink('e2', 1) in actions


def test_link_without_traffic_is_left_alone() -> None:
    """Guard against replacing a connection that only had nothing to carry."""
    state = LinkState('e2')
    assert link.on_timer(state, 60_000.0) == []
    link.on_sent(state, 60_000.0)
    link.on_reply(state, 60_900.0)
    assert link.on_timer(state, 61_000.0) == []


def test_delay_grows_to_a_bound_and_an_answer_resets_it() -> None:
    """Guard against reconnecting to a lost peer every second, or never again."""
    state = LinkState('e2')
    now_ms, waits = 0.0, []
    for _ in range(12):
        link.on_sent(state, now_ms)
        waits.append(link.reply_timeout_ms(state))
        now_ms += waits[-1]
        assert _is_replaced(link.on_timer(state, now_ms))
    assert waits[:4] == [1000.0, 2000.0, 4000.0, 8000.0]
    assert max(waits) == link.REPLY_TIMEOUT_LIMIT_MS
    link.on_sent(state, now_ms)
    link.on_reply(state, now_ms)
    assert link.reply_timeout_ms(state) == 1000.0


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.sampled_from(['send', 'answer', 'tick']), st.integers(0, 700))))
def test_replacement_needs_a_second_without_any_answer(steps: list[tuple[str, int]]) -> None:
    """Guard against replacing a link that answered, under any order of events."""
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
