"""Guard against connections that stay open but no longer carry data."""

from __future__ import annotations

from pytest_bdd import given, parsers, scenarios, then, when

from pistachioloft_core.connection.actions import DECISION_SILENT
from tests.test_owner.harness import Harness

scenarios('silent_connection.feature')


@given(
    parsers.parse('an endpoint that has answered {count:d} queries in {service:d} ms each'),
    target_fixture='harness',
)
def given_endpoint(count: int, service: int) -> Harness:
    harness = Harness()
    harness.add()
    harness.serve(count, service)
    return harness


@given(parsers.parse('the connection of the query "{attempt}" has gone silent'))
def given_silent(harness: Harness, attempt: str) -> None:
    harness.submit(attempt, time_left_ms=5000)
    assert harness.connection_of(attempt)


@when(parsers.parse('other queries are answered for {milliseconds:d} ms'))
def when_others_answer(harness: Harness, milliseconds: int) -> None:
    end_ms = harness.now_ms + milliseconds
    number = 0
    while harness.now_ms < end_ms:
        harness.serve(1, prefix=f'other-{number}')
        harness.confirm_closes()
        harness.open_all()
        harness.answer_probes()
        number += 1


@when('a new connection answers a probe')
def when_probe_answers(harness: Harness) -> None:
    harness.submit('waits', time_left_ms=5000)
    harness.advance(110)
    assert not harness.results.keys() & {'lost', 'lost too', 'waits'}
    assert len(harness.opening) == 1
    harness.open_all()
    (probe,) = harness.probes
    assert probe not in harness.in_flight
    harness.answer_probes()
    harness.advance(25)
    harness.confirm_closes()
    harness.open_all()
    assert harness.connection_of('waits') == probe


@when(parsers.parse('{milliseconds:d} ms pass without any answer'))
def when_nothing_answers(harness: Harness, milliseconds: int) -> None:
    harness.advance(101)
    harness.open_all()
    assert harness.probes
    harness.advance(milliseconds - 101)


@then(parsers.parse('"{attempt}" is answered as "{outcome}" within {milliseconds:d} ms'))
def then_answered(harness: Harness, attempt: str, outcome: str, milliseconds: int) -> None:
    assert harness.results[attempt].outcome == outcome
    assert not harness.results[attempt].crashed
    assert harness.results[attempt].service_ms <= milliseconds


@then('the silent connection is replaced')
def then_replaced(harness: Harness) -> None:
    assert not harness.in_flight
    assert len(harness.open) >= 6


@then('the endpoint still answers queries')
def then_usable(harness: Harness) -> None:
    harness.serve(10, prefix='later')
    assert {harness.results[f'later-{number}'].outcome for number in range(10)} == {'ok'}


@then(parsers.parse('the connection of "{attempt}" is still used'))
def then_used(harness: Harness, attempt: str) -> None:
    assert attempt not in harness.results
    harness.reply(harness.connection_of(attempt))
    assert harness.results[attempt].outcome == 'ok'
    assert not [log for log in harness.decisions if log.decision == DECISION_SILENT]
