"""Query every shard of a request and answer with the replies that arrive in time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .attempts import (
    AbandonAttempt,
    Attempt,
    AttemptEnd,
    AttemptOutcome,
    DelegateGroup,
    LogDecision,
    RoutedAction,
    record_overdue_attempt,
    record_silent_attempt,
    schedule_recheck,
)
from .consolidation import consolidate_domains
from .delegation import HelperTable, ShardAssignment, ShardPlace, divide_domain, plan_query
from .handover import plan_handover
from .hedge_delay import usual_latency_ms
from .permitted import refuse_unserved, refuse_without_permits
from .query_admission import (
    is_refusing,
    refuse_if_overloaded,
    refuse_without_connections,
)
from .shard_attempts import (
    ABANDON_DELAY_MS,
    abandon_open_attempts,
    choose_next_endpoint,
    finish_if_due,
    hedge_shard,
    retry_shard,
    send_first,
    update_exhausted,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Container, Iterable, Mapping

    from .delegation import GroupPlan
    from .gather_state import GatherState, ShardState
    from .routed_state import RoutedState

# An endpoint that refused is retried after this fraction of the usual latency, about the time
# until one of its slots becomes free.
REFUSED_RETRY_RATIO = 0.5
# A shard whose endpoints are all busy is checked again after this time, about one request.
BUSY_RECHECK_MS = 5.0
# After its answer was due, a query is checked for silent endpoints at this interval.
SILENCE_CHECK_MS = 100.0


def start_gather(
    state: RoutedState, now_ms: float, query: GatherState, helpers: HelperTable | None = None
) -> list[RoutedAction]:
    """Query each shard, directly or through a helper, or refuse the query."""
    groups = plan_handover(state, helpers, now_ms, query.shard_by_service, query.declined)
    if groups:
        return _hand_over(state, now_ms, query, groups)
    refusal = refuse_unserved(state, now_ms, query) or refuse_without_permits(state, now_ms, query)
    if refusal is not None:
        query.done = True
        return [refusal]
    if not query.is_group:
        refusal = refuse_if_overloaded(state, now_ms, query)
        if refusal is not None:
            query.done = True
            return [refusal]
        _limit_time(state, query)
    query.started_ms = now_ms
    own_shards, near_groups = divide_near_shards(state, now_ms, query, helpers)
    assignments = _assign_shards(state, now_ms, query, own_shards)
    if not query.is_group:
        delegated_count = sum(len(group.services) for group in near_groups)
        connected_count = delegated_count + len(assignments)
        refusal = refuse_without_connections(state, now_ms, query, connected_count)
        if refusal is not None:
            query.done = True
            return [refusal]
    if helpers is not None:
        assignments = consolidate_domains(state, now_ms, query.route, assignments)
    plan = plan_query(
        helpers or HelperTable(), now_ms, state.failure_domain, assignments, state.random
    )
    actions = _delegate(state, now_ms, query, (*near_groups, *plan.groups))
    for assignment in plan.direct:
        shard = query.shard_by_service[assignment.service]
        actions.append(send_first(state, now_ms, query, shard, assignment.load))
    return actions + finish_if_due(now_ms, query)


def _hand_over(
    state: RoutedState, now_ms: float, query: GatherState, groups: Iterable[GroupPlan]
) -> list[RoutedAction]:
    """Delegate all shards because this instance reaches no endpoint."""
    refusal = refuse_if_overloaded(state, now_ms, query)
    if refusal is not None:
        query.done = True
        return [refusal]
    _limit_time(state, query)
    query.started_ms = now_ms
    return _delegate(state, now_ms, query, groups)


def _delegate(
    state: RoutedState, now_ms: float, query: GatherState, groups: Iterable[GroupPlan]
) -> list[RoutedAction]:
    actions: list[RoutedAction] = []
    # Nothing has replied before that.
    earliest_flush_ms = now_ms + usual_latency_ms(state, query.route)
    for group in groups:
        for service in group.services:
            query.shard_by_service[service].delegated = True
        query.delegated_count += len(group.services)
        flush_at_ms = max(earliest_flush_ms, query.answer_at_ms - group.helper.overhead_ms())
        actions.append(DelegateGroup(group.helper, group.services, flush_at_ms))
    return actions


def reclaim_shards(
    state: RoutedState,
    now_ms: float,
    query: GatherState,
    services: Collection[str],
    helpers: HelperTable | None = None,
) -> list[RoutedAction]:
    """Query shards that their helper did not and will not query, from here if possible."""
    if query.done:
        return []
    query.delegated_count -= len(services)
    groups = plan_handover(state, helpers, now_ms, services, query.declined)
    if groups:
        return _delegate(state, now_ms, query, groups)
    actions: list[RoutedAction] = []
    for service in services:
        shard = query.shard_by_service[service]
        shard.delegated = False
        load = choose_next_endpoint(state, now_ms, query, shard)
        if load is None:
            update_exhausted(state, now_ms, query, shard)
        else:
            actions.append(send_first(state, now_ms, query, shard, load))
    return actions + finish_if_due(now_ms, query)


def on_group_replies(
    now_ms: float, query: GatherState, replies: Iterable[tuple[str, Any]]
) -> list[RoutedAction]:
    """Record the merged replies of a group of shards; all of them are used or none."""
    if query.done:
        return []
    for service, reply in replies:
        shard = query.shard_by_service[service]
        shard.delegated = False
        shard.replied = True
        shard.reply = reply
        query.replied_count += 1
    return finish_if_due(now_ms, query)


def on_helper_lost(
    state: RoutedState,
    now_ms: float,
    query: GatherState,
    services: Iterable[str],
    retried_services: Container[str],
) -> list[RoutedAction]:
    """Retry the shards of a lost helper from this instance, within the attempt limit."""
    # The helper sent a first attempt on receiving the group and reported each further one.
    limit = query.route.attempt_limit
    run_counts = {service: limit if service in retried_services else 1 for service in services}
    return on_group_unanswered(state, now_ms, query, run_counts)


def on_group_unanswered(
    state: RoutedState, now_ms: float, query: GatherState, run_counts: Mapping[str, int]
) -> list[RoutedAction]:
    """Retry shards without a reply of their helper, given how many endpoints may have run each."""
    if query.done:
        return []
    actions: list[RoutedAction] = []
    # An instance that is cut off cannot retry them, and a helper would not know their count.
    can_retry = not state.reach.cut_off and (
        now_ms + usual_latency_ms(state, query.route) < query.deadline_at_ms
    )
    for service, run_count in run_counts.items():
        shard = query.shard_by_service[service]
        shard.delegated, shard.tried_by_helper = False, True
        shard.may_have_run_count = run_count if can_retry else query.route.attempt_limit
        actions += retry_shard(state, now_ms, query, shard, unbudgeted=False)
    return actions + finish_if_due(now_ms, query)


def on_attempt_end(
    state: RoutedState, now_ms: float, query: GatherState, attempt: Attempt, end: AttemptEnd
) -> list[RoutedAction]:
    """Record a shard's reply, or try another endpoint after a failure."""
    actions = _handle_attempt_end(state, now_ms, query, attempt, end)
    return actions if query.done else actions + finish_if_due(now_ms, query)


def _handle_attempt_end(
    state: RoutedState, now_ms: float, query: GatherState, attempt: Attempt, end: AttemptEnd
) -> list[RoutedAction]:
    shard = query.shard_by_attempt_id.pop(attempt.attempt_id)
    shard.open_attempts.remove(attempt)
    if query.done:
        return []
    if shard.replied:
        return []
    if end.outcome is AttemptOutcome.ANSWERED:
        shard.replied = True
        shard.reply = end.reply
        shard.queue_wait_ms = state.queue_waits.wait_ms(shard.service, now_ms)
        query.replied_count += 1
        if shard.exhausted:
            shard.exhausted = False
            query.exhausted_count -= 1
        return [AbandonAttempt(other, ABANDON_DELAY_MS) for other in shard.open_attempts]
    endpoint = attempt.load.record.endpoint
    decision = LogDecision(
        'retry', f'{shard.service}: {endpoint} {end.outcome.value}, {end.detail}'
    )
    if end.outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.NOT_RUN):
        shard.may_have_run_count -= 1
    if end.outcome is AttemptOutcome.LOST:
        query.lost_count += 1
    if end.outcome is AttemptOutcome.NOT_RUN and not end.wrong_endpoint:
        shard.tried.discard(endpoint)
        shard.refused_endpoint = endpoint
        shard.retry_at_ms = now_ms + usual_latency_ms(state, query.route) * REFUSED_RETRY_RATIO
    unbudgeted = end.outcome is AttemptOutcome.NOT_SENT
    return [decision, *retry_shard(state, now_ms, query, shard, unbudgeted=unbudgeted)]


def on_gather_timer(state: RoutedState, now_ms: float, query: GatherState) -> list[RoutedAction]:
    """Hedge or retry late shards, and finish the query when it is due."""
    if query.done:
        return []
    actions: list[RoutedAction] = []
    for shard in query.shards:
        if shard.replied or shard.delegated:
            continue
        if not shard.open_attempts:
            if shard.attempt_count == 0:
                held_ms = now_ms - query.started_ms
                state.queue_waits.record_hold(shard.service, now_ms, held_ms)
            actions += retry_shard(state, now_ms, query, shard, unbudgeted=shard.needs_no_budget)
        elif now_ms >= shard.open_attempts[-1].check_at_ms:
            newest_attempt = shard.open_attempts[-1]
            schedule_recheck(newest_attempt, now_ms)
            record_overdue_attempt(state, now_ms, newest_attempt)
            if not shard.hedged:
                actions += hedge_shard(state, now_ms, query, shard)
    for attempt in [attempt for shard in query.shards for attempt in shard.open_attempts]:
        record_silent_attempt(now_ms, attempt)
    return actions + finish_if_due(now_ms, query)


def end_early(now_ms: float, query: GatherState) -> list[RoutedAction]:
    """Answer with what has arrived, because this instance ends."""
    if query.done:
        return []
    query.answer_at_ms = query.deadline_at_ms = now_ms
    return finish_if_due(now_ms, query)


def on_cut_off(now_ms: float, query: GatherState) -> list[RoutedAction]:
    """End the attempts in flight, whose replies do not arrive any more."""
    if query.done:
        return []
    actions: list[RoutedAction] = []
    for shard in query.shards:
        if shard.replied or shard.delegated or shard.exhausted:
            continue
        actions += [AbandonAttempt(attempt, 0.0) for attempt in shard.open_attempts]
        shard.exhausted = True
        query.exhausted_count += 1
    return finish_if_due(now_ms, query) or actions


def describe_missing(query: GatherState, name_limit_count: int) -> str:
    """List the shards without a reply, each with the endpoints that were tried."""
    missing = [shard for shard in query.shards if not shard.replied]
    names = [f'{shard.service}({"+".join(sorted(shard.tried))})' for shard in missing]
    more = [f'{len(names) - name_limit_count} more'] if len(names) > name_limit_count else []
    return ','.join(names[:name_limit_count] + more) or 'none'


def cancel_gather(query: GatherState) -> list[RoutedAction]:
    """Withdraw all open attempts at once because the caller left."""
    query.done = True
    return abandon_open_attempts(query, 0.0)


def next_check_ms(now_ms: float, query: GatherState) -> float:
    """Return when the query must be checked again."""
    due_ms = query.deadline_at_ms
    if now_ms < query.answer_at_ms:
        due_ms = min(due_ms, query.answer_at_ms)
    else:
        due_ms = min(due_ms, now_ms + SILENCE_CHECK_MS)
    for shard in query.shards:
        if shard.replied or shard.delegated or shard.hedged or shard.exhausted:
            continue
        if shard.open_attempts:
            check_ms = shard.open_attempts[-1].check_at_ms
        else:
            check_ms = max(shard.retry_at_ms, now_ms + BUSY_RECHECK_MS)
        due_ms = min(due_ms, check_ms)
    return due_ms


def _limit_time(state: RoutedState, query: GatherState) -> None:
    """Let endpoints drop during an overload what would arrive after the answer."""
    if is_refusing(state, query.route):
        usable_until_ms = query.answer_at_ms + ABANDON_DELAY_MS
        query.deadline_at_ms = min(query.deadline_at_ms, usable_until_ms)


def divide_near_shards(
    state: RoutedState, now_ms: float, query: GatherState, helpers: HelperTable | None
) -> tuple[list[tuple[int, ShardState]], tuple[GroupPlan, ...]]:
    """Delegate the shards of the own failure domain that other instances there are to query."""
    # Their endpoints are observed there and not here, so the helpers choose among them.
    shards = list(enumerate(query.shards))
    if helpers is None or query.is_group:
        return shards, ()
    near = state.table.services_in(state.failure_domain)
    places = [
        ShardPlace(number, shard.service) for number, shard in shards if shard.service in near
    ]
    plan = divide_domain(helpers, now_ms, state.failure_domain, places)
    if plan is None:
        return shards, ()
    delegated = {service for group in plan.groups for service in group.services}
    return [each for each in shards if each[1].service not in delegated], plan.groups


def _assign_shards(
    state: RoutedState, now_ms: float, query: GatherState, shards: Iterable[tuple[int, ShardState]]
) -> list[ShardAssignment]:
    """Choose an endpoint for each shard that has one with a free connection."""
    assignments: list[ShardAssignment] = []
    for position, shard in shards:
        load = choose_next_endpoint(state, now_ms, query, shard)
        if load is None:
            update_exhausted(state, now_ms, query, shard)
        else:
            assignments.append(ShardAssignment(position, shard.service, load))
    return assignments
