"""Provide the steps that the features of queries share."""

from __future__ import annotations

import re
from typing import Any

import pytest
from pytest_bdd import given, parsers, then, when

from pistachioloft_core.codec import content_digest
from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.crash import CrashReport
from pistachioloft_core.process.suspects import on_crash
from pistachioloft_core.request.routing import update_view
from pistachioloft_core.version.cluster_view import build_view
from tests.test_request.request_support import QueryRun, make_routing
from tools.virtual_cluster import COLLECTION, make_accepted, make_cluster

ATTEMPT_POSITIONS = {'first': 0, 'second': 1}


@pytest.fixture
def world() -> dict[str, Any]:
    return {}


@given(parsers.parse('{shards:d} shards with {replicas:d} replicas in versions 1 and 2'))
def given_cluster(world: dict[str, Any], shards: int, replicas: int) -> None:
    accepted, endpoints = make_cluster(shards, replicas, 2)
    world.update(accepted=accepted, endpoints=endpoints, routing=make_routing(accepted, endpoints))


@when('a query is sent')
def when_query_sent(world: dict[str, Any]) -> None:
    world['run'] = QueryRun(world['routing'])


@when(parsers.re(r'the (?P<place>first|second) endpoint (?P<act>.+)'))
def when_endpoint_acts(world: dict[str, Any], place: str, act: str) -> None:
    run = world['run']
    attempt = run.attempts[ATTEMPT_POSITIONS[place]]
    world.setdefault('acted', set()).add(attempt.attempt_id)
    if match := re.fullmatch(r'answers(?: from version (\d))?', act):
        run.answer(attempt, version=int(match[1] or attempt.version))
    elif act == 'refuses the connection':
        count = len(run.attempts)
        run.fail(attempt, 'not_started')
        retries = run.attempts[count:]
        assert all(item.shards == attempt.shards for item in retries)
        assert all(item.endpoint != attempt.endpoint for item in retries)
    else:
        assert act == 'no longer holds the version'
        run.fail(attempt, 'not_started', detail='not_held')


@when('all other endpoints answer')
def when_all_others_answer(world: dict[str, Any]) -> None:
    for attempt in tuple(world['run'].attempts):
        if attempt.attempt_id not in world.get('acted', ()):
            world['run'].answer(attempt)


@when('the deadline passes')
def when_deadline_passes(world: dict[str, Any]) -> None:
    world['run'].advance(world['run'].deadline_ms + 100)


@when(parsers.parse('version {number:d} is retired'))
def when_version_retired(world: dict[str, Any], number: int) -> None:
    shards = {f'h-{item.service}': item.service for item in world['endpoints']}
    shards_by_version = {version: shards for version in (1, 2) if version != number}
    update_view(
        world['routing'], build_view(make_accepted(shards_by_version, 2), world['endpoints'])
    )


@given(parsers.parse('the request was in flight at the crash of endpoint {name}'))
@when(parsers.parse('the request was in flight at the crash of endpoint {name}'))
def when_endpoint_crashed(world: dict[str, Any], name: str) -> None:
    now_ms = world['run'].now_ms + 1 if 'run' in world else 900.0
    report = CrashReport('yard', content_digest(COLLECTION, 'q'), name, 1, 0.0)
    on_crash(world['routing'].suspects, now_ms, report)


@then('the answer is complete')
def then_complete(world: dict[str, Any]) -> None:
    assert world['run'].reply.result_code is ResultCode.COMPLETE
