"""Guard against extra load by hedges and retries."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.process.budget import (
    ALLOWANCE_COUNT,
    WINDOW_MS,
    BudgetState,
    record_first_attempts,
    try_take_hedge,
    try_take_retry,
)

STEPS = st.lists(
    st.tuples(
        st.sampled_from(('first', 'first', 'hedge', 'retry', 'greedy')),
        st.integers(1, 60),
        st.sampled_from((0.0, 1.0, 40.0, 900.0, 9_000.0, 20_000.0)),
    ),
    max_size=80,
)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(STEPS)
def test_extra_attempts_stay_within_the_budget_in_any_window(
    steps: list[tuple[str, int, float]],
) -> None:
    """Guard against a burst of hedges or retries after a quiet or a busy time."""
    state = BudgetState()
    now_ms = 0.0
    firsts: list[tuple[float, int]] = []
    extras: list[float] = []
    for kind, count, wait_ms in steps:
        now_ms += wait_ms
        if kind == 'first':
            record_first_attempts(state, now_ms, count * 20)
            firsts.append((now_ms, count * 20))
        elif kind == 'greedy':
            extras += [now_ms] * sum(try_take_retry(state, now_ms) for _ in range(200))
        elif (try_take_hedge if kind == 'hedge' else try_take_retry)(state, now_ms, count):
            extras += [now_ms] * count
        if not extras or extras[-1] < now_ms:
            continue
        window = sum(time > now_ms - WINDOW_MS for time in extras)
        # Counts are kept in slots of 100 ms.
        first = sum(n for time, n in firsts if time > now_ms - WINDOW_MS - 100.0)
        assert window <= max(ALLOWANCE_COUNT, 0.10 * first)
    for start_ms in extras:
        window = sum(start_ms <= time < start_ms + WINDOW_MS for time in extras)
        first = sum(n for time, n in firsts if start_ms <= time < start_ms + WINDOW_MS)
        assert window <= ALLOWANCE_COUNT + 0.05 * first + 1e-6


def test_busy_system_spends_five_in_a_hundred() -> None:
    """Guard against a budget that lets ordinary extra load grow."""
    state = BudgetState()
    spent = 0
    for turn in range(10_000):
        record_first_attempts(state, turn * 10.0, 52)
        spent += sum(try_take_hedge(state, turn * 10.0) for _ in range(9))
    assert 0.049 <= spent / (52 * 10_000) <= 0.0502


def test_hedges_leave_room_for_a_retry() -> None:
    """Guard against a lost replica that finds the budget spent on hedges."""
    state = BudgetState()
    assert sum(try_take_hedge(state, 0.0) for _ in range(200)) == 32
    assert try_take_retry(state, 0.0, 30)


def test_quiet_system_may_retry() -> None:
    """Guard against a partial answer of the first query after a start."""
    assert try_take_retry(BudgetState(), 0.0)
