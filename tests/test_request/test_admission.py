"""Guard against queries that wait too long or are admitted in the wrong order."""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.peer import AttemptResult
from pistachioloft_core.request.actions import WakeAt
from pistachioloft_core.request.admission import (
    AdmissionState,
    Admit,
    Refuse,
    offer_query,
    on_admission_timer,
    on_query_done,
    record_queue_wait,
)


def admitted(actions: list[Any]) -> list[str]:
    return [action.query_id for action in actions if isinstance(action, Admit)]


def refused(actions: list[Any]) -> list[Refuse]:
    return [action for action in actions if isinstance(action, Refuse)]


def fill_limit(state: AdmissionState, now_ms: float = 0.0) -> list[str]:
    """Offer routine queries until one has to wait, and return the admitted ones."""
    names: list[str] = []
    while True:
        name = f'f{len(names)}'
        if not admitted(offer_query(state, now_ms, name, False, now_ms + 1e6)):
            on_query_done(state, now_ms, name)
            return names
        names.append(name)


def test_every_tenth_admission_is_routine_while_both_classes_wait() -> None:
    """Guard against urgent queries that starve routine ones, and against the reverse."""
    state = AdmissionState()
    running = fill_limit(state)
    for number in range(4):
        running += admitted(offer_query(state, 0.0, f'x{number}', True, 1e6))
    order: list[str] = []
    for number in range(60):
        offer_query(state, 0.0, f'u{number}', True, 1e6)
        offer_query(state, 0.0, f'r{number}', False, 1e6)
    for _ in range(60):
        newly_admitted = admitted(on_query_done(state, 0.0, running.pop(0)))
        order += newly_admitted
        running += newly_admitted
    assert len(order) == 60
    assert sum(name.startswith('r') for name in order) == 6
    for start in range(0, 60, 10):
        assert sum(name.startswith('r') for name in order[start : start + 10]) == 1


def test_waiting_query_is_refused_within_5_ms() -> None:
    """Guard against a query that keeps waiting although it will be refused."""
    state = AdmissionState()
    fill_limit(state)
    actions = offer_query(state, 10.0, 'late', False, 1e6)
    (wake,) = [action for action in actions if isinstance(action, WakeAt)]
    assert wake.time_ms <= 15.0
    (refusal,) = refused(on_admission_timer(state, wake.time_ms))
    assert (refusal.query_id, refusal.code) == ('late', ResultCode.OVERLOADED)
    assert refusal.retry_after_ms > 0


def test_query_with_deadline_below_service_time_is_refused_at_once() -> None:
    """Guard against processing a query whose answer cannot arrive in time."""
    state = AdmissionState()
    record_queue_wait(state, 0.0, AttemptResult('a', 'x', 'ok', service_ms=50.0))
    (refusal,) = refused(offer_query(state, 1.0, 'short', True, 40.0))
    assert refusal.code is ResultCode.DEADLINE_TOO_SHORT
    assert admitted(offer_query(state, 5_000.0, 'later', True, 5_040.0)) == ['later']


def test_limit_follows_the_queue_wait() -> None:
    """Guard against a limit that ignores what the owners report."""
    state = AdmissionState()
    names = fill_limit(state)
    for round_number in range(100):
        record_queue_wait(
            state, 100.0 * round_number, AttemptResult('a', 'x', 'ok', '', '', 0, (), None, 30, 6)
        )
    assert state.limit == 1.0
    for name in names:
        on_query_done(state, 10_000.0, name)
    for round_number in range(100, 200):
        fill_limit(state, 100.0 * round_number)
        record_queue_wait(
            state, 100.0 * round_number, AttemptResult('a', 'x', 'ok', '', '', 0, (), None, 1, 6)
        )
    assert state.limit > 50.0


STEPS = st.lists(
    st.tuples(
        st.sampled_from(('urgent', 'routine', 'routine', 'done', 'leave', 'time')),
        st.integers(0, 999),
    ),
    max_size=120,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(STEPS)
def test_every_query_is_admitted_or_refused_once_in_time(steps: list[tuple[str, int]]) -> None:
    """Guard against lost queries, second decisions and an exceeded limit."""
    state = AdmissionState()
    now_ms = 0.0
    offered: dict[str, float] = {}
    decisions: dict[str, str] = {}
    cancelled: set[str] = set()
    wake_times_ms: list[float] = []

    def record_decisions(actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, WakeAt):
                wake_times_ms.append(action.time_ms)
            elif isinstance(action, Admit | Refuse):
                assert action.query_id not in decisions
                assert action.query_id not in cancelled
                assert now_ms <= offered[action.query_id] + 5.0
                decisions[action.query_id] = type(action).__name__

    for number, (kind, random_number) in enumerate((*steps, ('time', 999))):
        if kind in ('urgent', 'routine'):
            offered[f'q{number}'] = now_ms
            record_decisions(
                offer_query(state, now_ms, f'q{number}', kind == 'urgent', now_ms + 1e6)
            )
        elif kind == 'time':
            until_ms = now_ms + random_number % 10 + (100 if random_number == 999 else 0)
            while due := [time for time in wake_times_ms if time <= until_ms]:
                now_ms = max(now_ms, min(due))
                wake_times_ms.remove(min(due))
                record_decisions(on_admission_timer(state, now_ms))
            now_ms = until_ms
        elif offered:
            name = sorted(offered)[random_number % len(offered)]
            if (kind == 'done') == (name in state.in_flight):
                cancelled.update(() if name in decisions else (name,))
                record_decisions(on_query_done(state, now_ms, name))
        assert len(state.in_flight) <= state.limit + max(2, state.limit // 2)
    assert set(offered) == set(decisions) | cancelled
