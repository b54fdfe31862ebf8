"""Run one query, from its plan to its reply."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from ..codec import content_digest
from ..errors import ResultCode, RunStatus
from ..messages.crash import SuccessReport
from ..messages.peer import (
    DETAIL_NOT_OWNED,
    OUTCOME_NOT_STARTED,
    OUTCOME_OK,
    OUTCOME_UNKNOWN,
)
from ..process.latency import service_latency
from ..process.suspects import SuspicionLevel, on_success, suspicion_level
from ..version.cluster_view import find_version
from .actions import LOG_PLAN, LOG_REFUSAL, Finished, LogDecision, RequestAction, WakeAt
from .hedge import check_late_attempt
from .merge import accept_results, build_answer, unanswered_shards
from .observe import DETAIL_NOT_HELD, record_attempt_failure, record_attempt_success
from .plan import plan_query
from .query_state import (
    QueryState,
    adopt_version,
    close_attempt,
    finish_query,
    send_planned,
    withdraw_attempts,
)
from .recovery import retry_or_replan
from .replies import NO_ENDPOINT_RETRY_MS, OVERLOAD_RETRY_MS, refuse_query

if TYPE_CHECKING:
    from ..messages.peer import AttemptResult
    from ..messages.public import QueryReply, QueryRequest
    from .query_state import AttemptState, SubRequestState
    from .routing import RoutingState


def start_query(
    routing: RoutingState,
    now_ms: float,
    request: QueryRequest,
    query_id: str,
    deadline_ms: float,
    urgent: bool,
) -> tuple[QueryState, list[RequestAction]]:
    """Plan a query and send its first attempts, or refuse it; `deadline_ms` is absolute."""
    digest = content_digest(request.collection, request.query)
    query = QueryState(request, query_id, now_ms, deadline_ms, urgent, digest)
    level = suspicion_level(routing.suspects, now_ms, request.caller, digest)
    if level is SuspicionLevel.CONDEMNED:
        detail = 'the request was in flight at crashes of two endpoints'
        return query, _refuse(query, ResultCode.CONDEMNED, detail)
    if now_ms >= query.finish_at_ms:
        detail = 'the deadline leaves no time to ask an endpoint'
        return query, _refuse(query, ResultCode.DEADLINE_TOO_SHORT, detail, OVERLOAD_RETRY_MS)
    if request.collection not in routing.view.collections:
        detail = f'the inventory has no collection {request.collection!r}'
        return query, _refuse(query, ResultCode.UNKNOWN_COLLECTION, detail)
    query.suspected = level is SuspicionLevel.SUSPECTED
    plan = plan_query(routing, now_ms, request, suspected=query.suspected)
    if plan is None or (not plan.attempts and plan.missing):
        detail = f'no endpoint can take a query of {request.collection!r}'
        if query.suspected:
            detail += (
                '; it was in flight at a crash and is not sent to the last endpoint of a shard'
            )
        return query, _refuse(query, ResultCode.NO_ENDPOINT, detail, NO_ENDPOINT_RETRY_MS)
    gathered = adopt_version(query, plan.version)
    actions = send_planned(routing, query, now_ms, plan.attempts)
    actions.append(LogDecision(LOG_PLAN, request.request_id, _describe_plan(query, plan.missing)))
    if gathered.is_complete():
        actions += finish_query(routing, query, now_ms, build_answer(request, gathered))
    else:
        actions += _schedule_check(query)
    return query, actions


def on_attempt_result(
    routing: RoutingState, query: QueryState, now_ms: float, result: AttemptResult
) -> list[RequestAction]:
    """Handle the result of an attempt; results of unknown attempts are ignored."""
    attempt = query.attempts.get(result.attempt_id)
    if attempt is None or attempt.endpoint.endpoint != result.endpoint or query.finished:
        return []
    was_open = attempt.is_open
    accepted = _matches_version(query, result)
    new_row_count = _accept_results(routing, query, now_ms, attempt, result) if accepted else 0
    if was_open:
        close_attempt(routing, query, attempt)
        if not accepted:
            _record_failure(routing, query, now_ms, attempt, result)
    elif not new_row_count:
        return []
    return _continue_query(routing, query, now_ms, attempt)


def on_timer(routing: RoutingState, query: QueryState, now_ms: float) -> list[RequestAction]:
    """Hedge late attempts and run due retries; at the deadline, answer with the present rows."""
    if query.finished:
        return []
    if now_ms >= query.finish_at_ms:
        return _conclude_query(routing, query, now_ms)
    actions: list[RequestAction] = []
    for attempt in list(query.attempts.values()):
        if attempt.is_open and attempt.check_at_ms <= now_ms:
            actions += check_late_attempt(routing, query, now_ms, attempt)
    if query.pending_retries:
        actions += retry_or_replan(routing, query, now_ms)
    if query.wake_at_ms <= now_ms:
        query.wake_at_ms = float('inf')
    return actions + _schedule_check(query)


def cancel_query(routing: RoutingState, query: QueryState, now_ms: float) -> list[RequestAction]:
    """Withdraw all attempts after the caller left; the reply only goes to the log."""
    if query.finished:
        return []
    code = ResultCode.NO_ANSWER if query.may_have_run or query.open_count else ResultCode.CANCELLED
    return finish_query(
        routing, query, now_ms, refuse_query(query.request, code, 'the caller left')
    )


def _matches_version(query: QueryState, result: AttemptResult) -> bool:
    version = query.version
    return (
        result.outcome == OUTCOME_OK
        and version is not None
        and result.version == version.version
        and result.collection == version.collection
    )


def _accept_results(
    routing: RoutingState,
    query: QueryState,
    now_ms: float,
    attempt: AttemptState,
    result: AttemptResult,
) -> int:
    gathered = query.gathered
    assert gathered is not None
    query.may_have_run = True
    record_attempt_success(
        routing,
        attempt.endpoint,
        now_ms,
        attempt.sent_ms,
        result,
        counts_for_service=attempt.is_open,
    )
    return accept_results(gathered, attempt.shards, result.results)


def _record_failure(
    routing: RoutingState,
    query: QueryState,
    now_ms: float,
    attempt: AttemptState,
    result: AttemptResult,
) -> None:
    if result.outcome != OUTCOME_NOT_STARTED:
        query.may_have_run = True
        attempt.sub_request.has_failed_attempt = True
    if result.outcome == OUTCOME_OK or result.detail.startswith(DETAIL_NOT_HELD):
        query.endpoints_without_version.add(result.endpoint)
    if result.outcome != OUTCOME_OK:
        record_attempt_failure(routing, attempt.endpoint, now_ms, result)
    if result.crashed or result.outcome == OUTCOME_UNKNOWN:
        query.crash_suspects.add(result.endpoint)
        if not result.crashed:
            # Only the connection was lost; the endpoint may reply on another one.
            attempt.sub_request.allow_repeat(result.endpoint)
    if result.crashed:
        query.crash_count += 1
        attempt.sub_request.crash_count += 1
    if result.detail.startswith(DETAIL_NOT_OWNED):
        # The attempt was queued at a former owner and did not reach the endpoint, which may be
        # the only one that serves the shards.
        attempt.sub_request.allow_repeat(result.endpoint)
        attempt.sub_request.unbudgeted_retry = True
    elif result.retry_after_ms is not None:
        query.retry_after_ms = max(query.retry_after_ms or 0, result.retry_after_ms)
    elif not result.handed_over:
        attempt.sub_request.unbudgeted_retry = True


def _continue_query(
    routing: RoutingState, query: QueryState, now_ms: float, attempt: AttemptState
) -> list[RequestAction]:
    gathered = query.gathered
    assert gathered is not None
    if gathered.is_complete() or now_ms >= query.finish_at_ms:
        return _conclude_query(routing, query, now_ms)
    actions: list[RequestAction] = []
    sub_request = attempt.sub_request
    if len(sub_request.attempts) > 1:
        actions += _withdraw_superseded(routing, query, now_ms, sub_request)
    if unanswered_shards(gathered, attempt.shards) and sub_request not in query.pending_retries:
        query.pending_retries.append(sub_request)
    if query.pending_retries:
        actions += retry_or_replan(routing, query, now_ms)
    if query.open_count == 0:
        return actions + _conclude_query(routing, query, now_ms)
    return actions + _schedule_check(query) if actions else actions


def _withdraw_superseded(
    routing: RoutingState, query: QueryState, now_ms: float, sub_request: SubRequestState
) -> list[RequestAction]:
    gathered = query.gathered
    assert gathered is not None
    superseded = []
    for other in sub_request.attempts:
        if other.is_open:
            if unanswered_shards(gathered, other.shards):
                # The other attempt ended without these rows, so one more hedge is allowed.
                other.hedged = False
            else:
                superseded.append(other)
    return withdraw_attempts(routing, query, now_ms, superseded) if superseded else []


def _conclude_query(routing: RoutingState, query: QueryState, now_ms: float) -> list[RequestAction]:
    gathered = query.gathered
    assert gathered is not None
    if not gathered.rows and gathered.version.shards:
        reply = _reply_without_rows(routing, query)
    else:
        reply = build_answer(query.request, gathered)
        _record_success(routing, query, now_ms, reply.result_code is ResultCode.COMPLETE)
    actions = finish_query(routing, query, now_ms, reply)
    if reply.run_status is RunStatus.NOT_RUN:
        text = f'{reply.result_code.name}: {reply.detail}'
        actions.insert(0, LogDecision(LOG_REFUSAL, query.request.request_id, text))
    return actions


def _record_success(
    routing: RoutingState, query: QueryState, now_ms: float, complete: bool
) -> None:
    # A request that crashes only the endpoints of one shard must not be cleared by the other
    # shards: each shard on which an attempt failed must have its rows.
    gathered = query.gathered
    assert gathered is not None
    failed_sub_requests = [
        item.sub_request for item in query.attempts.values() if item.sub_request.has_failed_attempt
    ]
    if not complete and query.suspected:
        return
    if not (failed_sub_requests or query.suspected) or any(
        unanswered_shards(gathered, sub_request.shards) for sub_request in failed_sub_requests
    ):
        return
    request = query.request
    on_success(routing.suspects, now_ms, SuccessReport(request.caller, query.content_digest, 0.0))


def _reply_without_rows(routing: RoutingState, query: QueryState) -> QueryReply:
    request = query.request
    gathered = query.gathered
    assert gathered is not None
    if query.may_have_run or query.open_count:
        retry_after_ms = query.retry_after_ms or OVERLOAD_RETRY_MS
        return dataclasses.replace(build_answer(request, gathered), retry_after_ms=retry_after_ms)
    if query.retry_after_ms is not None:
        median_ms = max(
            service_latency(routing.latencies, group.service).median_ms
            for group in gathered.version.groups
        )
        if query.finish_at_ms - query.started_ms < median_ms:
            detail = f'the endpoints need {median_ms:.0f} ms as a rule'
            code = ResultCode.DEADLINE_TOO_SHORT
            return refuse_query(request, code, detail, query.retry_after_ms)
        detail = 'every endpoint refused to start the query'
        return refuse_query(request, ResultCode.OVERLOADED, detail, query.retry_after_ms)
    if find_version(routing.view, request.collection, gathered.version.version) is None:
        detail = f'version {gathered.version.version} was retired and no other can be asked'
    else:
        detail = 'no endpoint could be reached'
    return refuse_query(request, ResultCode.NO_ENDPOINT, detail, NO_ENDPOINT_RETRY_MS)


def _schedule_check(query: QueryState) -> list[RequestAction]:
    due_ms = query.finish_at_ms
    for attempt in query.attempts.values():
        if attempt.is_open and attempt.check_at_ms < due_ms:
            due_ms = attempt.check_at_ms
    if due_ms >= query.wake_at_ms:
        return []
    query.wake_at_ms = due_ms
    return [WakeAt(due_ms)]


def _refuse(
    query: QueryState, code: ResultCode, detail: str, retry_after_ms: int | None = None
) -> list[RequestAction]:
    query.finished = True
    reply = refuse_query(query.request, code, detail, retry_after_ms)
    text = f'{code.name}: {detail}'
    return [LogDecision(LOG_REFUSAL, query.request.request_id, text), Finished(reply)]


def _describe_plan(query: QueryState, missing: tuple[str, ...]) -> str:
    version = query.version
    assert version is not None
    text = (
        f'{version.collection} version {version.version}: '
        f'{len(version.shards)} shards on {query.open_count} endpoints'
    )
    if missing:
        text += f'; no endpoint for {", ".join(missing)}'
    return text
