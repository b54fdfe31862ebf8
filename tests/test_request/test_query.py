"""Guard against wrong, lost and needlessly late answers of a single query."""

from __future__ import annotations

import dataclasses

import pytest

from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.endpoint import ShardRows
from pistachioloft_core.messages.peer import DETAIL_NOT_OWNED
from pistachioloft_core.request.query import cancel_query
from pistachioloft_core.version.cluster_view import build_view
from tests.test_request.request_support import QueryRun, make_routing
from tools.virtual_cluster import (
    COLLECTION,
    make_accepted,
    make_cluster,
    make_endpoint,
    make_request,
)


def test_answer_is_sent_once_all_shards_replied() -> None:
    """Guard against an answer that is delayed after the last shard replied."""
    run = QueryRun(make_routing(*make_cluster()))
    assert len(run.attempts) == 4
    for attempt in reversed(run.attempts):
        run.now_ms += 1
        run.answer(attempt)
    assert run.reply.result_code is ResultCode.COMPLETE
    assert [row['shard'] for row in run.reply.rows] == ['h-s00', 'h-s01', 'h-s02', 'h-s03']
    assert run.reply_ms == 1_004.0


@pytest.mark.parametrize('mismatch', ['endpoint', 'id', 'shard'])
def test_result_of_another_request_is_ignored(mismatch: str) -> None:
    """Guard against using rows that belong to another request."""
    run = QueryRun(make_routing(*make_cluster()))
    first, second = run.attempts[:2]
    if mismatch == 'endpoint':
        run.answer(first, endpoint=second.endpoint)
    elif mismatch == 'id':
        run.answer(first, attempt_id='e1-2.1')
    else:
        run.answer(first, results=(ShardRows(second.shards[0], ({'shard': 'crossed'},)),))
    for attempt in run.attempts:
        run.answer(attempt)
    assert {row['shard'] for row in run.reply.rows} == {f'h-s0{n}' for n in range(4)}
    assert len(run.reply.rows) == 4


def test_late_attempt_is_hedged_and_cancelled_after_the_hedge_replied() -> None:
    """Guard against a straggler that delays the answer, and against its needless processing."""
    run = QueryRun(make_routing(*make_cluster()))
    for attempt in run.attempts[1:4]:
        run.answer(attempt)
    run.advance(1_040.0)
    assert len(run.attempts) == 5
    assert run.attempts[4].hedge
    run.answer(run.attempts[4])
    assert run.reply.result_code is ResultCode.COMPLETE
    assert run.cancelled == [run.attempts[0].attempt_id]


def test_query_of_retired_version_is_replanned_once() -> None:
    """Guard against an answer that mixes a retired version with its successor."""
    accepted, endpoints = make_cluster()
    run = QueryRun(make_routing(accepted, endpoints))
    old_attempts = list(run.attempts)
    run.answer(old_attempts[0])
    shards = {f'n{number}': f's{number:02}' for number in range(4)}
    new_endpoints = tuple(
        dataclasses.replace(
            endpoint,
            holdings=make_endpoint('x', 'x', {2: (f'n{int(endpoint.service[1:])}',)}).holdings,
        )
        for endpoint in endpoints
    )
    run.view(build_view(make_accepted({2: shards}, 2), new_endpoints))
    run.fail(old_attempts[1], 'not_started', detail='not_held')
    new_attempts = run.attempts[len(old_attempts) :]
    assert {attempt.version for attempt in new_attempts} == {2}
    assert len(new_attempts) == 4
    assert set(run.cancelled) == {old_attempts[2].attempt_id, old_attempts[3].attempt_id}
    for attempt in (*old_attempts, *new_attempts):
        run.answer(attempt)
    assert run.reply.result_code is ResultCode.COMPLETE
    assert {row['version'] for row in run.reply.rows} == {2}
    assert run.reply.snapshot is not None
    assert run.reply.snapshot.version == 2


def test_cancelled_query_withdraws_all_attempts_once() -> None:
    """Guard against processing a query whose caller left."""
    run = QueryRun(make_routing(*make_cluster()))
    run.collect_actions(cancel_query(run.routing, run.query, run.now_ms))
    run.collect_actions(cancel_query(run.routing, run.query, run.now_ms))
    assert len(run.replies) == 1
    assert sorted(run.cancelled) == sorted(attempt.attempt_id for attempt in run.attempts)


def test_query_without_collection_or_endpoints_is_refused() -> None:
    """Guard against a query that waits although no endpoint can answer it."""
    accepted, _ = make_cluster()
    routing = make_routing(accepted, ())
    assert QueryRun(routing).reply.result_code is ResultCode.NO_ENDPOINT
    request = dataclasses.replace(make_request(), collection=f'{COLLECTION}-x')
    assert QueryRun(routing, request).reply.result_code is ResultCode.UNKNOWN_COLLECTION


def test_retries_of_unreachable_endpoints_use_no_budget() -> None:
    """Guard against partial answers when more endpoints are lost than the budget allows."""
    routing = make_routing(*make_cluster(service_count=100))
    routing.budget.balance = 0.0
    run = QueryRun(routing)
    first_attempts = list(run.attempts)
    for attempt in first_attempts:
        run.fail(attempt, 'not_started', handed_over=False)
    for attempt in run.attempts[len(first_attempts) :]:
        run.answer(attempt)
    assert run.reply.result_code is ResultCode.COMPLETE
    assert routing.budget.extra_count == 0


def test_only_endpoint_of_a_shard_is_retried_through_its_new_owner() -> None:
    """Guard against a partial answer when an endpoint changes its owner during an attempt."""
    accepted, endpoints = make_cluster()
    single_endpoints = tuple({view.service: view for view in endpoints}.values())
    routing = make_routing(accepted, single_endpoints)
    routing.budget.balance = 0.0
    run = QueryRun(routing)
    first_attempts = list(run.attempts)
    moved_attempt, *others = first_attempts
    for attempt in others:
        run.answer(attempt)
    run.fail(
        moved_attempt, 'not_started', handed_over=False, detail=DETAIL_NOT_OWNED, retry_after_ms=50
    )
    (retried,) = run.attempts[len(first_attempts) :]
    assert retried.endpoint == moved_attempt.endpoint
    run.answer(retried)
    assert run.reply.result_code is ResultCode.COMPLETE
