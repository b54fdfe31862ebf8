"""Retry sub-requests on other replicas, and replan a query once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..process.budget import try_take_retry
from ..process.latency import service_latency
from ..version.cluster_view import find_version
from .actions import LOG_REPLAN, LOG_RETRY, LogDecision
from .hedge import plan_extra_attempts, should_withhold_attempts
from .merge import unanswered_shards
from .plan import plan_query
from .query_state import adopt_version, send_planned, withdraw_attempts

if TYPE_CHECKING:
    from .actions import RequestAction
    from .query_state import QueryState, SubRequestState
    from .routing import RoutingState

# The shards of one endpoint that dropped the version early are retried on another. When this many
# endpoints no longer hold it, the version is being retired: the query is replanned, because further
# retries would only reach more endpoints without it.
REPLAN_ENDPOINT_COUNT = 2


def retry_or_replan(routing: RoutingState, query: QueryState, now_ms: float) -> list[RequestAction]:
    """Retry the pending sub-requests; replan if their shards are no longer held."""
    actions: list[RequestAction] = []
    if len(query.endpoints_without_version) >= REPLAN_ENDPOINT_COUNT or (
        query.endpoints_without_version and _is_retired(routing, query)
    ):
        replan_actions = _replan(routing, query, now_ms)
        if replan_actions:
            return replan_actions
    if should_withhold_attempts(query):
        return actions
    for sub_request in list(query.pending_retries):
        if sub_request.crash_count > 1 or not _needs_retry(query, sub_request):
            query.pending_retries.remove(sub_request)
            continue
        _refresh_version(routing, query)
        planned = plan_extra_attempts(routing, query, now_ms, sub_request)
        if not planned:
            query.pending_retries.remove(sub_request)
            if query.endpoints_without_version or _is_retired(routing, query):
                replan_actions = _replan(routing, query, now_ms)
                if replan_actions:
                    return actions + replan_actions
            continue
        if not sub_request.unbudgeted_retry and not try_take_retry(
            routing.budget, now_ms, len(planned)
        ):
            continue
        sub_request.unbudgeted_retry = False
        query.pending_retries.remove(sub_request)
        actions += send_planned(routing, query, now_ms, planned, sub_request=sub_request)
        endpoint_names = ', '.join(item.endpoint.endpoint for item in planned)
        last_endpoint = sub_request.attempts[-1 - len(planned)].endpoint.endpoint
        text = f'no rows from {last_endpoint}; sending to {endpoint_names}'
        actions.append(LogDecision(LOG_RETRY, query.request.request_id, text))
    return actions


def _needs_retry(query: QueryState, sub_request: SubRequestState) -> bool:
    gathered = query.gathered
    assert gathered is not None
    missing = unanswered_shards(gathered, sub_request.shards)
    covered_shards = {
        shard for other in sub_request.attempts if other.is_open for shard in other.shards
    }
    return any(shard not in covered_shards for shard in missing)


def _is_retired(routing: RoutingState, query: QueryState) -> bool:
    version = query.version
    assert version is not None
    return find_version(routing.view, version.collection, version.version) is None


def _refresh_version(routing: RoutingState, query: QueryState) -> None:
    # Endpoints and owners may have changed since the plan; the shards of a version are fixed.
    version = query.version
    assert version is not None
    current_version = find_version(routing.view, version.collection, version.version)
    if current_version is not None and current_version.shards == version.shards:
        query.version = current_version


def _replan(routing: RoutingState, query: QueryState, now_ms: float) -> list[RequestAction]:
    version, gathered = query.version, query.gathered
    assert version is not None
    assert gathered is not None
    if query.has_replanned or query.suspected or query.crash_count:
        return []
    newer_than = None if _is_retired(routing, query) else version.version
    plan = plan_query(routing, now_ms, query.request, newer_than=newer_than)
    if plan is None or not plan.attempts:
        return []
    median_ms = max(
        service_latency(routing.latencies, item.endpoint.service).median_ms
        for item in plan.attempts
    )
    if now_ms + median_ms >= query.finish_at_ms:
        return []
    open_shards = {
        shard for item in query.attempts.values() if item.is_open for shard in item.shards
    }
    reachable_count = len(open_shards | set(gathered.rows))
    planned_count = len(plan.version.shards) - len(plan.missing)
    if planned_count * len(version.shards) <= reachable_count * len(plan.version.shards):
        return []
    query.has_replanned = True
    # Attempts of the old plan may have run on their endpoints.
    query.may_have_run = query.may_have_run or query.open_count > 0
    actions = withdraw_attempts(routing, query, now_ms, query.attempts.values())
    adopt_version(query, plan.version)
    actions += send_planned(routing, query, now_ms, plan.attempts)
    text = (
        f'version {version.version} is no longer held; replanned at version {plan.version.version}'
    )
    actions.append(LogDecision(LOG_REPLAN, query.request.request_id, text))
    return actions
