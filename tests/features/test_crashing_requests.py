"""Guard against a request that crashes one endpoint after the other."""

from __future__ import annotations

from typing import Any

from pytest_bdd import given, parsers, scenarios, then, when

from pistachioloft_core.errors import ResultCode
from pistachioloft_core.request.routing import update_view
from pistachioloft_core.version.cluster_view import build_view

scenarios('crashing_requests.feature')


@given(parsers.parse('endpoint {name} is lost'))
def given_endpoint_lost(world: dict[str, Any], name: str) -> None:
    remaining = tuple(item for item in world['endpoints'] if item.endpoint != name)
    update_view(world['routing'], build_view(world['accepted'], remaining))


@when('every endpoint crashes')
def when_every_endpoint_crashes(world: dict[str, Any]) -> None:
    for attempt in tuple(world['run'].attempts):
        world['run'].fail(attempt, 'unknown', crashed=True)


@then(parsers.parse('endpoint {name} is not queried'))
def then_endpoint_not_queried(world: dict[str, Any], name: str) -> None:
    assert world['run'].attempts
    assert name not in {attempt.endpoint for attempt in world['run'].attempts}


@then('the query is refused as condemned')
def then_condemned(world: dict[str, Any]) -> None:
    assert world['run'].reply.result_code is ResultCode.CONDEMNED
    assert not world['run'].attempts


@then('the query is not refused')
def then_not_refused(world: dict[str, Any]) -> None:
    assert len(world['run'].attempts) == 3
    assert not world['run'].replies


@then(parsers.parse('{count:d} endpoints were queried'))
def then_endpoints_queried(world: dict[str, Any], count: int) -> None:
    assert len(world['run'].attempts) == count
    assert world['run'].reply.result_code is ResultCode.NO_ANSWER
