"""Retries on another replica and the one new plan of a query."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..process.budget import try_take_retry
from ..process.latency import service_latency
from ..version.snapshot import find_version
from .actions import LOG_REPLAN, LOG_RETRY, LogDecision
from .hedge import plan_elsewhere, spares_endpoints
from .merge import unanswered_shards
from .plan import plan_query
from .query_state import adopt_version, send_planned, withdraw

if TYPE_CHECKING:
    from .actions import RequestAction
    from .query_state import Family, QueryState
    from .routing import RoutingState

# One endpoint that dropped a version early is replaced by another; when a second one
# says so, the version is leaving and retries one by one would only find that out.
UNHELD_LIMIT = 2


def recover(routing: RoutingState, query: QueryState, now_ms: float) -> list[RequestAction]:
    """Retry the families that wait for it; plan anew if their shards are held no more."""
    actions: list[RequestAction] = []
    if len(query.unheld) >= UNHELD_LIMIT or (query.unheld and _is_retired(routing, query)):
        replan = _replan(routing, query, now_ms)
        if replan:
            return replan
    if spares_endpoints(query):
        return actions
    for family in list(query.waiting):
        if family.crash_count > 1 or not _needs_retry(query, family):
            query.waiting.remove(family)
            continue
        _refresh_version(routing, query)
        planned = plan_elsewhere(routing, query, now_ms, family)
        if not planned:
            query.waiting.remove(family)
            if query.unheld or _is_retired(routing, query):
                replan = _replan(routing, query, now_ms)
                if replan:
                    return actions + replan
            continue
        if not family.free_retry and not try_take_retry(routing.budget, now_ms, len(planned)):
            continue
        family.free_retry = False
        query.waiting.remove(family)
        actions += send_planned(routing, query, now_ms, planned, family=family)
        names = ', '.join(item.endpoint.endpoint for item in planned)
        last = family.attempts[-1 - len(planned)].endpoint.endpoint
        text = f'no rows from {last}; asking {names}'
        actions.append(LogDecision(LOG_RETRY, query.request.request_id, text))
    return actions


def _needs_retry(query: QueryState, family: Family) -> bool:
    gathered = query.gathered
    assert gathered is not None
    missing = unanswered_shards(gathered, family.shards)
    covered = {shard for other in family.attempts if other.is_open for shard in other.shards}
    return any(shard not in covered for shard in missing)


def _is_retired(routing: RoutingState, query: QueryState) -> bool:
    version = query.version
    assert version is not None
    return find_version(routing.view, version.collection, version.version) is None


def _refresh_version(routing: RoutingState, query: QueryState) -> None:
    # Endpoints and owners may have changed since the plan; the shards of a version do not.
    version = query.version
    assert version is not None
    current = find_version(routing.view, version.collection, version.version)
    if current is not None and current.shards == version.shards:
        query.version = current


def _replan(routing: RoutingState, query: QueryState, now_ms: float) -> list[RequestAction]:
    version, gathered = query.version, query.gathered
    assert version is not None
    assert gathered is not None
    if query.replanned or query.suspected or query.crash_count:
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
    reachable = len(open_shards | set(gathered.rows))
    planned_count = len(plan.version.shards) - len(plan.missing)
    if planned_count * len(version.shards) <= reachable * len(plan.version.shards):
        return []
    query.replanned = True
    # Attempts of the old plan may have run at their endpoints.
    query.may_have_run = query.may_have_run or query.open_count > 0
    actions = withdraw(routing, query, now_ms, query.attempts.values())
    adopt_version(query, plan.version)
    actions += send_planned(routing, query, now_ms, plan.attempts)
    text = (
        f'version {version.version} is no longer held; '
        f'planned anew at version {plan.version.version}'
    )
    actions.append(LogDecision(LOG_REPLAN, query.request.request_id, text))
    return actions
