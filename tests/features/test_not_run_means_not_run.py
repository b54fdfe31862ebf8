"""Guard against replies of 'not run' to requests that may have run."""

from __future__ import annotations

from typing import Any

from pytest_bdd import parsers, scenarios, then, when

from pistachioloft_core.errors import ResultCode, RunStatus
from tests.test_request.test_command import CommandRun

scenarios('not_run_means_not_run.feature')


@when('every endpoint sheds the query')
def when_every_endpoint_sheds(world: dict[str, Any]) -> None:
    for attempt in tuple(world['run'].attempts):
        world['run'].fail(attempt, 'not_started', retry_after_ms=30)


@when('a command is sent')
def when_command_sent(world: dict[str, Any]) -> None:
    world['command'] = CommandRun(world['routing'], 'e1-1')


@when('the claim is granted')
def when_claim_granted(world: dict[str, Any]) -> None:
    world['command'].grant()


@when('the deadline of the command passes')
def when_command_deadline_passes(world: dict[str, Any]) -> None:
    world['command'].advance(world['command'].deadline_ms)


@then('the query is refused as not run with a retry-after time')
def then_query_refused(world: dict[str, Any]) -> None:
    reply = world['run'].reply
    assert (reply.run_status, reply.retry_after_ms) == (RunStatus.NOT_RUN, 30)
    assert reply.result_code is ResultCode.OVERLOADED
    assert [line.kind for line in world['run'].log] == ['plan', 'refusal']


@then('the query may have run')
def then_query_may_have_run(world: dict[str, Any]) -> None:
    reply = world['run'].reply
    assert (reply.result_code, reply.run_status) == (ResultCode.NO_ANSWER, RunStatus.UNKNOWN)


@then('the command is refused as not run')
def then_command_refused(world: dict[str, Any]) -> None:
    assert world['command'].replies[0].run_status is RunStatus.NOT_RUN


@then('the outcome of the command is unknown')
def then_command_unknown(world: dict[str, Any]) -> None:
    assert world['command'].code is ResultCode.OUTCOME_UNKNOWN


@then(parsers.parse('{count} endpoint received the command'))
def then_command_received(world: dict[str, Any], count: str) -> None:
    assert len(world['command'].attempts) == {'no': 0, 'one': 1}[count]


@then(parsers.parse('the claim is {end}'))
def then_claim(world: dict[str, Any], end: str) -> None:
    assert [item.ran for item in world['command'].close_proposals()] == (
        [False] if end == 'released' else []
    )
