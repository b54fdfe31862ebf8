"""Guard against requests that crash one endpoint after another, and against false suspicion."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.messages.crash import CrashReport, SuccessReport
from pistachioloft_core.process.suspects import (
    FORGET_AFTER_MS,
    MAX_ENTRY_COUNT,
    SuspectState,
    SuspicionLevel,
    expire_suspects,
    on_crash,
    on_success,
    reports_since,
    suspicion_level,
)


def crash(endpoint: str, incarnation: int = 1, age_ms: float = 0.0) -> CrashReport:
    return CrashReport('yard', 'digest', endpoint, incarnation, age_ms)


def level(state: SuspectState, now_ms: float) -> SuspicionLevel:
    return suspicion_level(state, now_ms, 'yard', 'digest')


def test_crash_of_a_second_incarnation_condemns_a_request() -> None:
    """Guard against a request that crashes restarted endpoints forever."""
    state = SuspectState()
    on_crash(state, 0.0, crash('a'))
    assert level(state, 1.0) is SuspicionLevel.SUSPECTED
    on_crash(state, 2.0, crash('a'))
    assert level(state, 3.0) is SuspicionLevel.SUSPECTED
    on_crash(state, 4.0, crash('a', 2))
    assert level(state, 5.0) is SuspicionLevel.CONDEMNED
    assert suspicion_level(state, 5.0, 'field', 'digest') is SuspicionLevel.CLEAR


def test_success_between_crashes_clears_a_request() -> None:
    """Guard against condemning a request that was in flight at unrelated crashes."""
    state = SuspectState()
    on_crash(state, 0.0, crash('a'))
    on_success(state, 50.0, SuccessReport('yard', 'digest', 0.0))
    on_crash(state, 100.0, crash('b'))
    assert level(state, 101.0) is SuspicionLevel.SUSPECTED


def test_crash_reported_after_a_later_success_is_ignored() -> None:
    """Guard against a crash report that arrives after the success that clears it."""
    state = SuspectState()
    on_success(state, 50.0, SuccessReport('yard', 'digest', 0.0))
    on_crash(state, 300.0, crash('a', age_ms=290.0))
    on_crash(state, 300.0, crash('b', age_ms=280.0))
    assert level(state, 301.0) is SuspicionLevel.CLEAR


def test_entries_expire_and_are_bounded() -> None:
    """Guard against a request that is refused forever and against unbounded memory."""
    state = SuspectState()
    on_crash(state, 0.0, crash('a'))
    on_crash(state, 1.0, crash('b'))
    assert level(state, FORGET_AFTER_MS) is SuspicionLevel.SUSPECTED
    expire_suspects(state, FORGET_AFTER_MS + 2.0)
    assert not state.entries
    for number in range(MAX_ENTRY_COUNT + 10):
        on_crash(state, 0.0, CrashReport('yard', f'd{number}', 'a', 1, 0.0))
    assert len(state.entries) == MAX_ENTRY_COUNT


def test_peers_do_not_repeat_known_reports() -> None:
    """Guard against reports that peers send to each other forever or that never age."""
    states = [SuspectState(), SuspectState()]
    on_crash(states[0], 0.0, crash('a'))
    on_success(states[1], 0.0, SuccessReport('yard', 'other', 0.0))
    since = [0.0, 0.0]
    sent_count = 0
    for turn in range(20):
        now_ms = 250.0 * turn
        sender = turn % 2
        crashes, successes = reports_since(states[sender], now_ms, since[sender])
        since[sender] = now_ms + 0.1
        sent_count += len(crashes) + len(successes)
        for report in crashes:
            on_crash(states[1 - sender], now_ms, report)
        for success in successes:
            on_success(states[1 - sender], now_ms, success)
    assert sent_count <= 4
    assert all(level(state, 5_000.0) is SuspicionLevel.SUSPECTED for state in states)
    assert all(level(state, FORGET_AFTER_MS + 1.0) is SuspicionLevel.CLEAR for state in states)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(('crash', 'success')),
        st.sampled_from(('a', 'b', 'c')),
        st.integers(1, 2),
        st.integers(0, 2),
    ),
    max_size=12,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(EVENTS, st.integers(0, 1_000))
def test_suspicion_level_is_independent_of_report_order(
    events: list[tuple[str, str, int, int]], turn: int
) -> None:
    """Guard against a suspicion level that depends on the order in which reports arrive."""
    states = [SuspectState() for _ in range(3)]
    crashes: dict[tuple[str, int], float] = {}
    success_ms = -1.0
    now_ms = 0.0
    for kind, endpoint, incarnation, instance_index in events:
        now_ms += 200.0
        if kind == 'crash':
            if (endpoint, incarnation) in crashes:
                continue  # an incarnation crashes once
            crashes[(endpoint, incarnation)] = now_ms
            on_crash(states[instance_index], now_ms, crash(endpoint, incarnation))
        else:
            success_ms = now_ms
            on_success(states[instance_index], now_ms, SuccessReport('yard', 'digest', 0.0))
    for round_number in range(4):
        now_ms += 250.0
        for sender in range(3):
            receiver = (sender + 1 + (turn + round_number) % 2) % 3
            reports, successes = reports_since(states[sender], now_ms, 0.0)
            for success in successes:
                on_success(states[receiver], now_ms, success)
            for report in reports:
                on_crash(states[receiver], now_ms, report)
    uncleared_count = sum(time_ms > success_ms for time_ms in crashes.values())
    expected = (SuspicionLevel.CLEAR, SuspicionLevel.SUSPECTED, SuspicionLevel.CONDEMNED)[
        min(uncleared_count, 2)
    ]
    assert [level(state, now_ms) for state in states] == [expected] * 3


def test_loss_of_a_failure_domain_condemns_no_request() -> None:
    """Guard against refusing every request that was in flight when a whole domain was lost."""
    state = SuspectState()
    for number in range(3):
        on_crash(state, number * 10.0, replace(crash(f's{number}'), failure_domain='north'))
    assert level(state, 100.0) is SuspicionLevel.CLEAR


def test_crashes_in_several_failure_domains_condemn_a_request() -> None:
    """Guard against a request that crashes endpoints everywhere and counts as a lost domain."""
    state = SuspectState()
    for number, domain in enumerate(('north', 'north', 'north', 'south')):
        on_crash(state, number * 10.0, replace(crash(f's{number}'), failure_domain=domain))
    assert level(state, 100.0) is SuspicionLevel.CONDEMNED


def test_two_crashes_in_one_failure_domain_condemn_a_request() -> None:
    """Guard against clearing a request whose shard has both replicas in one failure domain."""
    state = SuspectState()
    for number in range(2):
        on_crash(state, number * 10.0, replace(crash(f's{number}'), failure_domain='north'))
    assert level(state, 100.0) is SuspicionLevel.CONDEMNED


def crash_domain(state: SuspectState, now_ms: float, incarnation: int, domain: str) -> None:
    for number in range(6):
        report = replace(crash(f'{domain}{number}', incarnation), failure_domain=domain)
        on_crash(state, now_ms + number * 10.0, report)


@pytest.mark.parametrize('second_domain', ['north', 'south'])
def test_request_in_flight_at_two_losses_of_a_domain_is_condemned(second_domain: str) -> None:
    """Guard against a request that crashes the endpoints of its domain each time (BUDGET)."""
    state = SuspectState()
    crash_domain(state, 0.0, 1, 'north')
    assert level(state, 100.0) is SuspicionLevel.CLEAR
    crash_domain(state, 6_000.0, 2, second_domain)
    assert level(state, 6_100.0) is SuspicionLevel.CONDEMNED


def test_success_between_two_losses_of_a_domain_clears_a_request() -> None:
    """Guard against refusing a frequent request after two separate losses of a domain."""
    state = SuspectState()
    crash_domain(state, 0.0, 1, 'north')
    on_success(state, 3_000.0, SuccessReport('yard', 'digest', 0.0))
    crash_domain(state, 6_000.0, 2, 'north')
    assert level(state, 6_100.0) is SuspicionLevel.CLEAR
    crash_domain(state, 12_000.0, 3, 'north')
    assert level(state, 12_100.0) is SuspicionLevel.CONDEMNED


def test_crashes_past_the_limit_keep_the_first_one() -> None:
    """Guard against a record of crashes that forgets the first of two losses of a domain."""
    state = SuspectState()
    for number in range(20):
        on_crash(state, number * 1_000.0, crash(f's{number}'))
    times_ms = sorted(state.entries['yard', 'digest'].crashes.values())
    assert times_ms == [0.0, 17_000.0, 18_000.0, 19_000.0]
