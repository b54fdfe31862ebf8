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
    """Guard against a burst of hedges or retries after a period of low or high load."""
    state = BudgetState()
    now_ms = 0.0
    first_attempts: list[tuple[float, int]] = []
    extra_times_ms: list[float] = []
    for kind, count, wait_ms in steps:
        now_ms += wait_ms
        if kind == 'first':
            record_first_attempts(state, now_ms, count * 20)
            first_attempts.append((now_ms, count * 20))
        elif kind == 'greedy':
            extra_times_ms += [now_ms] * sum(try_take_retry(state, now_ms) for _ in range(200))
        elif (try_take_hedge if kind == 'hedge' else try_take_retry)(state, now_ms, count):
            extra_times_ms += [now_ms] * count
        if not extra_times_ms or extra_times_ms[-1] < now_ms:
            continue
        window_count = sum(time > now_ms - WINDOW_MS for time in extra_times_ms)
        # Counts are kept in slots of 100 ms.
        first_count = sum(n for time, n in first_attempts if time > now_ms - WINDOW_MS - 100.0)
        assert window_count <= max(ALLOWANCE_COUNT, 0.10 * first_count)
    for start_ms in extra_times_ms:
        window_count = sum(start_ms <= time < start_ms + WINDOW_MS for time in extra_times_ms)
        first_count = sum(
            n for time, n in first_attempts if start_ms <= time < start_ms + WINDOW_MS
        )
        assert window_count <= ALLOWANCE_COUNT + 0.05 * first_count + 1e-6


def test_hedges_under_load_are_five_percent_of_first_attempts() -> None:
    """Guard against a budget that allows more extra load than its share under steady load."""
    state = BudgetState()
    hedge_count = 0
    for step in range(10_000):
        record_first_attempts(state, step * 10.0, 52)
        hedge_count += sum(try_take_hedge(state, step * 10.0) for _ in range(9))
    assert 0.049 <= hedge_count / (52 * 10_000) <= 0.0502


def test_hedges_leave_the_reserve_to_retries() -> None:
    """Guard against missing retries after a loss because hedges spent the budget."""
    state = BudgetState()
    assert sum(try_take_hedge(state, 0.0) for _ in range(200)) == 32
    assert try_take_retry(state, 0.0, 30)


def test_new_budget_allows_a_retry() -> None:
    """Guard against a partial answer to the first query after a start."""
    assert try_take_retry(BudgetState(), 0.0)
