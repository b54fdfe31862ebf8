"""Decide when a late attempt is hedged or retried on another endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..process.budget import hedge_scarcity, try_take_hedge, try_take_retry
from ..process.latency import service_latency
from ..process.observed import (
    has_many_slow_endpoints,
    is_avoided,
    record_lateness,
    record_unanswered,
)
from .actions import LOG_HEDGE, LOG_RETRY, LogDecision
from .merge import unanswered_shards
from .plan import PlannedAttempt, assign_groups
from .query_state import send_planned, withdraw_attempts

if TYPE_CHECKING:
    from .actions import RequestAction
    from .query_state import AttemptState, QueryState, SubRequestState
    from .routing import RoutingState

# An attempt that takes this many times the 95th percentile is overdue, also while hedges are
# suppressed; a straggler at ten times the service time exceeds it.
OVERDUE_P95_FACTOR = 4.0
# A spent budget adds this many times the 95th percentile to the hedge delay. Most late attempts
# are nearly done by then; stragglers are still late.
SCARCE_BUDGET_P95_FACTOR = 1.0
# An attempt that is not hedged yet is checked again after this fraction of the percentile.
RECHECK_RATIO = 0.25
MIN_CHECK_INTERVAL_MS = 2.0


def check_late_attempt(
    routing: RoutingState, query: QueryState, now_ms: float, attempt: AttemptState
) -> list[RequestAction]:
    """Check a late attempt: hedge it, or retry it if its endpoint or owner is lost."""
    endpoint = attempt.endpoint
    p95_ms = max(service_latency(routing.latencies, endpoint.service).p95_ms, MIN_CHECK_INTERVAL_MS)
    record_lateness(routing.observed, endpoint.endpoint, True)
    age_ms = now_ms - attempt.sent_ms
    if not attempt.overdue and age_ms >= OVERDUE_P95_FACTOR * p95_ms:
        attempt.overdue = True
        record_unanswered(routing.observed, endpoint.endpoint, endpoint.owner, now_ms, age_ms)
    attempt.check_at_ms = now_ms + p95_ms * (1.0 if attempt.hedged else RECHECK_RATIO)
    if attempt.hedged or query.suspected or should_withhold_attempts(query):
        return []
    # Attempts on a lost endpoint or owner are retried even while many endpoints are slow, which
    # suppresses hedges.
    is_lost = is_avoided(routing.observed, endpoint, now_ms)
    if not is_lost and has_many_slow_endpoints(routing.observed):
        return []
    scarcity = hedge_scarcity(routing.budget)
    due_ms = attempt.sent_ms + p95_ms * (1.0 + SCARCE_BUDGET_P95_FACTOR * scarcity)
    if not is_lost and now_ms < due_ms:
        attempt.check_at_ms = due_ms
        return []
    planned = plan_extra_attempts(routing, query, now_ms, attempt.sub_request)
    replaced_attempt: AttemptState | None = None
    if not planned:
        replaced_attempt = _find_replaceable_attempt(routing, now_ms, attempt, age_ms)
        if replaced_attempt is None:
            attempt.hedged = True
            return []
        planned = (PlannedAttempt(replaced_attempt.endpoint, replaced_attempt.shards),)
    take_from_budget = try_take_retry if is_lost else try_take_hedge
    if not take_from_budget(routing.budget, now_ms, len(planned)):
        return []
    attempt.hedged = True
    actions: list[RequestAction] = []
    if replaced_attempt is not None:
        attempt.sub_request.repeated.add(replaced_attempt.endpoint.endpoint)
        actions += withdraw_attempts(routing, query, now_ms, [replaced_attempt])
    actions += send_planned(
        routing, query, now_ms, planned, sub_request=attempt.sub_request, hedge=True
    )
    endpoint_names = ', '.join(item.endpoint.endpoint for item in planned)
    text = f'no reply from {endpoint.endpoint} after {age_ms:.1f} ms; sending to {endpoint_names}'
    kind = LOG_RETRY if is_lost else LOG_HEDGE
    actions.append(LogDecision(kind, query.request.request_id, text))
    return actions


def plan_extra_attempts(
    routing: RoutingState, query: QueryState, now_ms: float, sub_request: SubRequestState
) -> tuple[PlannedAttempt, ...]:
    """Choose endpoints for extra attempts on the unanswered shards of a sub-request."""
    version, gathered = query.version, query.gathered
    if version is None or gathered is None:
        return ()
    by_group: dict[int, list[str]] = {}
    for shard in unanswered_shards(gathered, sub_request.shards):
        by_group.setdefault(id(version.group_by_shard[shard]), []).append(shard)
    groups = [(version.group_by_shard[shards[0]], tuple(shards)) for shards in by_group.values()]
    for excluded in (sub_request.tried, sub_request.tried - sub_request.repeatable):
        planned, _ = assign_groups(
            routing,
            now_ms,
            groups,
            excluded | query.endpoints_without_version,
            suspected=query.suspected,
        )
        if planned or not sub_request.repeatable:
            return planned
    return ()


def _find_replaceable_attempt(
    routing: RoutingState, now_ms: float, attempt: AttemptState, age_ms: float
) -> AttemptState | None:
    # If all endpoints were tried and are late, the oldest open attempt is withdrawn and sent
    # again to the same endpoint, provided that it is older than the late attempt. This happens
    # in 2 of 100 queries over 52 shards with two replicas.
    for other in attempt.sub_request.attempts:
        if (
            other.is_open
            and other is not attempt
            and now_ms - other.sent_ms > age_ms
            and other.endpoint.endpoint not in attempt.sub_request.repeated
            and not is_avoided(routing.observed, other.endpoint, now_ms)
        ):
            return other
    return None


def should_withhold_attempts(query: QueryState) -> bool:
    """Return whether extra attempts are withheld because the request may crash endpoints."""
    # A request in flight at a crash may crash every endpoint that runs it, and an extra attempt
    # may reach the last endpoint of a shard. Rows from any endpoint prove that it does not.
    # A single lost connection with nothing else in flight does not indicate a crash.
    if not query.crash_suspects or (query.gathered is not None and query.gathered.rows):
        return False
    return query.crash_count > 0 or len(query.crash_suspects) > 1 or query.open_count > 0
