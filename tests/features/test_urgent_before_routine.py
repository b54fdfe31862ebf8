"""Guard against urgent queries queued behind routine ones, and starved routine queries."""

from __future__ import annotations

from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from pistachioloft_core.request.admission import AdmissionState, offer_query, on_query_done

scenarios('urgent_before_routine.feature')


@pytest.fixture
def state() -> AdmissionState:
    return AdmissionState()


@given(parsers.parse('an instance at its limit with {count:d} routine queries that wait'))
def given_full_instance(state: AdmissionState, count: int) -> None:
    # Urgent queries may use 4 places beyond the limit of 8.
    for number in range(12):
        offer_query(state, 0.0, f'running-{number}', True, 1e6)
    for number in range(count):
        offer_query(state, 0.0, f'routine-{number}', False, 1e6)
    assert len(state.in_flight) == 12


@when('an urgent query arrives')
def when_urgent_query_arrives(state: AdmissionState) -> None:
    offer_query(state, 0.0, 'urgent-0', True, 1e6)


@when(parsers.parse('{count:d} urgent queries arrive'))
def when_urgent_queries_arrive(state: AdmissionState, count: int) -> None:
    for number in range(count):
        offer_query(state, 0.0, f'urgent-{number}', True, 1e6)


@when('a query finishes')
def when_query_finishes(state: AdmissionState) -> None:
    on_query_done(state, 0.0, 'running-0')


@when(parsers.parse('{count:d} queries finish'))
def when_queries_finish(state: AdmissionState, count: int) -> None:
    for number in range(count):
        name = f'running-{number}' if number < 12 else f'urgent-{number - 12}'
        assert name in state.in_flight
        on_query_done(state, 0.0, name)


@then('the urgent query is in flight')
def then_urgent_in_flight(state: AdmissionState) -> None:
    assert 'urgent-0' in state.in_flight


@then(parsers.parse('{count:d} of the routine queries are in flight'))
def then_routine_in_flight(state: AdmissionState, count: int) -> None:
    names: Any = [name for name in state.in_flight if name.startswith('routine')]
    assert len(names) == count
