"""When a late sub-request is sent to another endpoint as well."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..process.budget import hedge_scarcity, try_take_hedge, try_take_retry
from ..process.latency import service_latency
from ..process.observed import has_many_slow_endpoints, is_avoided, mark_slow, record_unanswered
from .actions import LOG_HEDGE, LOG_RETRY, LogDecision
from .merge import unanswered_shards
from .plan import PlannedAttempt, assign_groups
from .query_state import send_planned, withdraw

if TYPE_CHECKING:
    from .actions import RequestAction
    from .query_state import AttemptState, Family, QueryState
    from .routing import RoutingState

# An attempt that takes this many times the 95th percentile counts as unanswered, also
# while hedges are suppressed; a straggler at ten times the service time reaches it.
OVERDUE_FACTOR = 4.0
# The less budget is left, the later an attempt must be, up to this many percentiles
# more. Of late attempts most are nearly done; stragglers are still late then.
SCARCE_FACTOR = 1.0
# An attempt that is not hedged yet is checked again after this part of the percentile.
RECHECK_PART = 0.25
SHORTEST_CHECK_MS = 2.0


def check_late(
    routing: RoutingState, query: QueryState, now_ms: float, attempt: AttemptState
) -> list[RequestAction]:
    """Judge an attempt that is due for a check: hedge it, or retry it if its end is lost."""
    endpoint = attempt.endpoint
    p95_ms = max(service_latency(routing.latencies, endpoint.service).p95_ms, SHORTEST_CHECK_MS)
    mark_slow(routing.observed, endpoint.endpoint, True)
    age_ms = now_ms - attempt.sent_ms
    if not attempt.overdue and age_ms >= OVERDUE_FACTOR * p95_ms:
        attempt.overdue = True
        record_unanswered(routing.observed, endpoint.endpoint, endpoint.owner, now_ms, age_ms)
    attempt.check_at_ms = now_ms + p95_ms * (1.0 if attempt.hedged else RECHECK_PART)
    if attempt.hedged or query.suspected or spares_endpoints(query):
        return []
    # A lost endpoint or owner is no reason to hold back: its attempts are retried even
    # while many endpoints are slow.
    lost = is_avoided(routing.observed, endpoint, now_ms)
    if not lost and has_many_slow_endpoints(routing.observed):
        return []
    scarcity = hedge_scarcity(routing.budget)
    due_ms = attempt.sent_ms + p95_ms * (1.0 + SCARCE_FACTOR * scarcity)
    if not lost and now_ms < due_ms:
        attempt.check_at_ms = due_ms
        return []
    planned = plan_elsewhere(routing, query, now_ms, attempt.family)
    replaced: AttemptState | None = None
    if not planned:
        replaced = _find_replaceable(routing, now_ms, attempt, age_ms)
        if replaced is None:
            attempt.hedged = True
            return []
        planned = (PlannedAttempt(replaced.endpoint, replaced.shards),)
    take = try_take_retry if lost else try_take_hedge
    if not take(routing.budget, now_ms, len(planned)):
        return []
    attempt.hedged = True
    actions: list[RequestAction] = []
    if replaced is not None:
        attempt.family.repeated.add(replaced.endpoint.endpoint)
        actions += withdraw(routing, query, now_ms, [replaced])
    actions += send_planned(routing, query, now_ms, planned, family=attempt.family, hedge=True)
    names = ', '.join(item.endpoint.endpoint for item in planned)
    text = f'no reply from {endpoint.endpoint} after {age_ms:.1f} ms; also asking {names}'
    kind = LOG_RETRY if lost else LOG_HEDGE
    actions.append(LogDecision(kind, query.request.request_id, text))
    return actions


def plan_elsewhere(
    routing: RoutingState, query: QueryState, now_ms: float, family: Family
) -> tuple[PlannedAttempt, ...]:
    """Choose endpoints that the family may still ask for its unanswered shards."""
    version, gathered = query.version, query.gathered
    if version is None or gathered is None:
        return ()
    by_group: dict[int, list[str]] = {}
    for shard in unanswered_shards(gathered, family.shards):
        by_group.setdefault(id(version.group_of[shard]), []).append(shard)
    groups = [(version.group_of[shards[0]], tuple(shards)) for shards in by_group.values()]
    for excluded in (family.tried, family.tried - family.again):
        planned, _ = assign_groups(
            routing, now_ms, groups, excluded | query.unheld, suspected=query.suspected
        )
        if planned or not family.again:
            return planned
    return ()


def _find_replaceable(
    routing: RoutingState, now_ms: float, attempt: AttemptState, age_ms: float
) -> AttemptState | None:
    # All endpoints were asked and are late. The attempt that is open for longest is then
    # withdrawn and sent again, to an endpoint other than the newest: two stragglers among
    # 52 shards with two replicas are seen in 2 of 100 queries.
    for other in attempt.family.attempts:
        if (
            other.is_open
            and other is not attempt
            and now_ms - other.sent_ms > age_ms
            and other.endpoint.endpoint not in attempt.family.repeated
            and not is_avoided(routing.observed, other.endpoint, now_ms)
        ):
            return other
    return None


def spares_endpoints(query: QueryState) -> bool:
    """Tell whether extra attempts wait for a sign that the request crashes no endpoint."""
    # A request in flight at a crash may crash each endpoint that runs it, and an extra
    # attempt may meet the last endpoint of a shard. Rows from any endpoint show that it does
    # not. One lost connection with nothing else in flight is no sign of a crash.
    if not query.doubted or (query.gathered is not None and query.gathered.rows):
        return False
    return query.crash_count > 0 or len(query.doubted) > 1 or query.open_count > 0
