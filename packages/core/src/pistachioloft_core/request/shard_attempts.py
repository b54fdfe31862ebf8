"""Attempts on the shards of a query, and the answer to which they lead."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import ResultCode
from ..process.budget import record_first_attempts, try_take_hedge, try_take_retry
from .attempts import (
    AbandonAttempt,
    Attempt,
    DeliverMerged,
    LogDecision,
    Refuse,
    RoutedAction,
    SendAttempt,
    begin_attempt,
)
from .distance import hedge_due_ms
from .hedge_delay import usual_latency_ms
from .permitted import UNSERVED_RETRY_MS
from .placement import choose_endpoint
from .query_admission import is_refusing
from .routed_state import budget_of

if TYPE_CHECKING:
    from ..connection.endpoint_load import EndpointLoad
    from .gather_state import GatherState, ShardState
    from .routed_state import RoutedState

# After the answer, an open attempt has this long to finish before its connection is closed:
# a pausing endpoint recovers by itself, and a new connection occupies one of its slots.
ABANDON_DELAY_MS = 150.0
# Limits the attempts on one shard within a query, refused ones included.
MAX_ATTEMPTS_PER_SHARD = 6
# When this many attempts were lost before any shard replied, the query itself may crash the
# endpoints; no further replica is tried until a shard replies.
CRASH_SUSPICION_LOST_COUNT = 2


def _can_attempt(query: GatherState, shard: ShardState) -> bool:
    limit = 1 if query.suspected else query.route.attempt_limit
    return shard.may_have_run_count < limit and shard.attempt_count < MAX_ATTEMPTS_PER_SHARD


def may_crash_endpoints(query: GatherState) -> bool:
    """Return whether the query itself is suspected of crashing the endpoints that run it."""
    return query.replied_count == 0 and query.lost_count >= CRASH_SUSPICION_LOST_COUNT


def choose_next_endpoint(
    state: RoutedState, now_ms: float, query: GatherState, shard: ShardState
) -> EndpointLoad | None:
    """Return the endpoint for the next attempt on a shard, None without one."""
    if not _can_attempt(query, shard):
        return None
    excluded = shard.tried | {shard.refused_endpoint} if shard.refused_endpoint else shard.tried
    load = choose_endpoint(state, now_ms, query.route, shard.service, excluded)
    if load is None and shard.refused_endpoint and now_ms >= shard.retry_at_ms:
        load = choose_endpoint(state, now_ms, query.route, shard.service, shard.tried)
    return load


def _send(
    state: RoutedState,
    now_ms: float,
    query: GatherState,
    shard: ShardState,
    load: EndpointLoad,
    hedge: bool,
) -> SendAttempt:
    query.sent_count += 1
    attempt_id = f'{query.request_id}.{query.sent_count}'
    attempt = begin_attempt(state, now_ms, attempt_id, query.route, shard.service, load, hedge)
    attempt.is_retry = shard.attempt_count > 0 and not hedge
    if shard.attempt_count == 0:
        state.queue_waits.record_hold(shard.service, now_ms, now_ms - query.started_ms)
    shard.tried.add(load.record.endpoint)
    shard.open_attempts.append(attempt)
    shard.may_have_run_count += 1
    shard.attempt_count += 1
    query.shard_by_attempt_id[attempt_id] = shard
    if shard.exhausted:
        shard.exhausted = False
        query.exhausted_count -= 1
    return SendAttempt(attempt, query.deadline_at_ms - now_ms)


def send_first(
    state: RoutedState, now_ms: float, query: GatherState, shard: ShardState, load: EndpointLoad
) -> SendAttempt:
    """Send the first attempt on a shard, which needs no budget."""
    record_first_attempts(budget_of(state, shard.service), now_ms, 1)
    return _send(state, now_ms, query, shard, load, hedge=False)


def retry_shard(
    state: RoutedState,
    now_ms: float,
    query: GatherState,
    shard: ShardState,
    unbudgeted: bool,
) -> list[RoutedAction]:
    """Send another attempt on a shard that has none in flight."""
    if shard.open_attempts or may_crash_endpoints(query):
        return []
    load = choose_next_endpoint(state, now_ms, query, shard)
    if load is None or not (unbudgeted or try_take_retry(budget_of(state, shard.service), now_ms)):
        update_exhausted(state, now_ms, query, shard)
        return []
    return [_send(state, now_ms, query, shard, load, hedge=False)]


def hedge_shard(
    state: RoutedState, now_ms: float, query: GatherState, shard: ShardState
) -> list[RoutedAction]:
    """Send a second attempt on a shard whose attempt is late."""
    usual_ms = usual_latency_ms(state, query.route)
    if query.replied_count >= query.coverage_floor_count and now_ms + usual_ms > query.answer_at_ms:
        # The reply to a hedge would arrive after the answer was sent.
        shard.hedged = True
        return []
    late_attempt = shard.open_attempts[-1]
    load = choose_next_endpoint(state, now_ms, query, shard)
    if load is not None:
        due_ms = hedge_due_ms(state, query.route, load, query.needed_at_ms)
        if now_ms < due_ms:
            # Most late replies arrive before that.
            late_attempt.check_at_ms = due_ms
            return []
    if (
        load is None
        or _would_queue_again(state, now_ms, query, late_attempt, load)
        or may_crash_endpoints(query)
        or not try_take_hedge(budget_of(state, shard.service), now_ms)
    ):
        return []
    shard.hedged = True
    age_ms = now_ms - late_attempt.started_ms
    detail = (
        f'{shard.service}: {late_attempt.load.record.endpoint} late after {age_ms:.0f} ms, '
        f'also {load.record.endpoint}'
    )
    return [LogDecision('hedge', detail), _send(state, now_ms, query, shard, load, hedge=True)]


def _would_queue_again(
    state: RoutedState, now_ms: float, query: GatherState, attempt: Attempt, load: EndpointLoad
) -> bool:
    """Return whether a hedge would only move a late attempt to the end of another queue."""
    # An endpoint that replies to others is not silent.
    is_queued = attempt.endpoint_has_replied
    return is_queued and is_refusing(state, query.route) and load.waiting_count(now_ms) >= 1.0


def _has_untried_endpoint(
    state: RoutedState, now_ms: float, query: GatherState, shard: ShardState
) -> bool:
    return _can_attempt(query, shard) and any(
        load.record.endpoint not in shard.tried
        and not load.breaker.is_open(now_ms)
        and load.statements.wanted_at_ms(now_ms) <= max(now_ms, query.answer_at_ms)
        for load in state.table.usable(shard.service)
    )


def update_exhausted(
    state: RoutedState, now_ms: float, query: GatherState, shard: ShardState
) -> None:
    """Record whether any endpoint of a shard can still take an attempt."""
    can_still_attempt = _has_untried_endpoint(state, now_ms, query, shard)
    if can_still_attempt == shard.exhausted:
        shard.exhausted = not can_still_attempt
        query.exhausted_count += 1 if shard.exhausted else -1


def finish_if_due(now_ms: float, query: GatherState) -> list[RoutedAction]:
    """Answer the query or refuse it, unless further replies may still improve the answer."""
    if query.replied_count >= query.coverage_floor_count:
        query.covered_ms = min(query.covered_ms, now_ms)
        if query.replied_count >= query.reachable_count or now_ms >= query.answer_at_ms:
            return _deliver_answer(query)
    elif query.reachable_count < query.coverage_floor_count:
        return _refuse(query, 'too few shards can still answer')
    elif may_crash_endpoints(query) and not any(
        shard.open_attempts or shard.delegated for shard in query.shards
    ):
        return _refuse(query, 'each endpoint that ran it was lost')
    elif now_ms >= query.deadline_at_ms:
        return _refuse(query, 'the time limit is reached')
    return []


def _deliver_answer(query: GatherState) -> list[RoutedAction]:
    query.done = True
    replies = tuple(shard.reply for shard in query.shards if shard.replied)
    missing = tuple(shard.service for shard in query.shards if not shard.replied)
    return [DeliverMerged(replies, missing), *abandon_open_attempts(query, ABANDON_DELAY_MS)]


def _refuse(query: GatherState, reason: str) -> list[RoutedAction]:
    query.done = True
    detail = f'{reason}: {query.replied_count} of {len(query.shards)} answered'
    if query.sent_count == 0 and query.delegated_count == 0:
        return [Refuse(ResultCode.NO_ENDPOINT, detail, UNSERVED_RETRY_MS)]
    return [Refuse(ResultCode.NO_ANSWER, detail), *abandon_open_attempts(query, 0.0)]


def abandon_open_attempts(query: GatherState, after_ms: float) -> list[RoutedAction]:
    """Withdraw all attempts in flight."""
    attempts = [attempt for shard in query.shards for attempt in shard.open_attempts]
    return [AbandonAttempt(attempt, after_ms) for attempt in attempts]
