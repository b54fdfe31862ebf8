"""Ask every shard of a query and answer with what came in time."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from ..errors import ResultCode
from ..process.budget import record_first_attempts, try_take_hedge, try_take_retry
from .attempts import (
    AbandonAttempt,
    Attempt,
    AttemptEnd,
    AttemptOutcome,
    DelegateGroup,
    DeliverMerged,
    LogDecision,
    Refuse,
    RoutedAction,
    SendAttempt,
    begin_attempt,
    check_later,
    note_overdue,
)
from .delegation import HelperTable, ShardAssignment, plan_query
from .hedge_delay import usual_latency_ms
from .placement import choose_endpoint, has_usable
from .routed_state import budget_of

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from ..connection.endpoint_load import EndpointLoad
    from ..messages.routes import Gather, Route
    from .routed_state import RoutedState

# After the answer, an attempt may finish for this long before its connection is closed:
# a pause of an endpoint ends by itself, and a new connection costs it a slot.
ABANDON_DELAY_MS = 150.0
# Where shards have no endpoint, callers are told to come back after about the time in which
# a crashed endpoint starts again and is announced.
UNSERVED_RETRY_MS = 1_000.0
# An endpoint that refused is asked again after this part of the usual latency, about the time
# in which one of its slots becomes free.
REFUSED_PART = 0.5
# A shard whose endpoints have no room is looked at again after this time, about a request.
WAITING_CHECK_MS = 5.0
# Refused attempts of one shard are repeated this often at most within one query.
ATTEMPTS_PER_SHARD = 6
# After so many endpoints were lost with a query before any answered it, the query may be what
# crashes them; the other replicas are left alone until one answers.
LOST_BEFORE_REPLY_COUNT = 2


class ShardState:
    """Hold the attempts on one shard of a query."""

    __slots__ = (
        'attempt_count',
        'delegated',
        'exhausted',
        'hedged',
        'open',
        'refuser',
        'replied',
        'reply',
        'retry_at_ms',
        'run_count',
        'service',
        'tried',
    )

    def __init__(self, service: str) -> None:
        self.service = service
        self.open: list[Attempt] = []
        # Endpoints that may have run the request or are gone; they are not asked again.
        self.tried: set[str] = set()
        self.run_count = 0
        self.attempt_count = 0
        # The endpoint that refused last; it may have room after the others were tried.
        self.refuser = ''
        self.retry_at_ms = 0.0
        self.hedged = False
        # A helper asks for this shard.
        self.delegated = False
        self.exhausted = False
        self.replied = False
        self.reply: Any = None


class GatherState:
    """Hold one query over all shards from its arrival to its answer."""

    __slots__ = (
        'answer_at_ms',
        'by_service',
        'delegated_count',
        'done',
        'exhausted_count',
        'floor_count',
        'limit_ms',
        'lost_count',
        'replied_count',
        'request_id',
        'route',
        'sent_count',
        'shard_of',
        'shards',
        'suspected',
    )

    def __init__(
        self,
        request_id: str,
        route: Route,
        answer_at_ms: float,
        limit_ms: float,
        suspected: bool = False,
        services: tuple[str, ...] | None = None,
    ) -> None:
        """Take all shards of the route, or those of a group that is asked for another instance."""
        gather = _gather(route)
        self.request_id = request_id
        self.route = route
        # From here on a partial answer that reaches the floor is worth more than waiting.
        self.answer_at_ms = min(answer_at_ms, limit_ms)
        self.limit_ms = limit_ms
        names = gather.shards if services is None else services
        self.shards = [ShardState(name) for name in names]
        self.by_service = {shard.service: shard for shard in self.shards}
        self.shard_of: dict[str, ShardState] = {}
        # What a group must reach is decided where the whole query is.
        share = gather.coverage_floor * len(names) if services is None else 0.0
        self.floor_count = max(1, math.ceil(share - 1e-9))
        self.sent_count = 0
        # Shards that helpers asked for, or may have.
        self.delegated_count = 0
        self.replied_count = 0
        self.exhausted_count = 0
        self.lost_count = 0
        # It was in flight at a crash before; each shard is asked once.
        self.suspected = suspected
        self.done = False

    @property
    def reachable_count(self) -> int:
        """Return how many shards have answered or still can."""
        return len(self.shards) - self.exhausted_count


def start_gather(
    state: RoutedState, now_ms: float, query: GatherState, helpers: HelperTable | None = None
) -> list[RoutedAction]:
    """Ask for each shard, in groups through helpers if there are any, or refuse the query."""
    served = sum(has_usable(state, now_ms, shard.service) for shard in query.shards)
    if served < query.floor_count:
        query.done = True
        detail = f'{served} of {len(query.shards)} shards have an endpoint'
        return [Refuse(ResultCode.NO_ENDPOINT, detail, UNSERVED_RETRY_MS)]
    assignments: list[ShardAssignment] = []
    for position, shard in enumerate(query.shards):
        load = _pick(state, now_ms, query, shard)
        if load is None:
            _note_exhausted(state, now_ms, query, shard)
        else:
            assignments.append(ShardAssignment(position, shard.service, load))
    plan = plan_query(
        helpers or HelperTable(), now_ms, state.failure_domain, assignments, state.random
    )
    actions: list[RoutedAction] = []
    for group in plan.groups:
        for service in group.services:
            query.by_service[service].delegated = True
        query.delegated_count += len(group.services)
        flush_at_ms = max(now_ms, query.answer_at_ms - group.helper.overhead_ms())
        actions.append(DelegateGroup(group.helper, group.services, flush_at_ms))
    for pick in plan.direct:
        shard = query.by_service[pick.service]
        actions.append(_send_first(state, now_ms, query, shard, pick.load))
    return actions + _conclude(now_ms, query)


def reclaim_shards(
    state: RoutedState, now_ms: float, query: GatherState, services: Iterable[str]
) -> list[RoutedAction]:
    """Ask for shards from here whose helper has not asked for them and never will."""
    if query.done:
        return []
    actions: list[RoutedAction] = []
    for service in services:
        shard = query.by_service[service]
        shard.delegated = False
        query.delegated_count -= 1
        load = _pick(state, now_ms, query, shard)
        if load is None:
            _note_exhausted(state, now_ms, query, shard)
        else:
            actions.append(_send_first(state, now_ms, query, shard, load))
    return actions + _conclude(now_ms, query)


def on_group_replies(
    now_ms: float, query: GatherState, replies: Iterable[tuple[str, Any]]
) -> list[RoutedAction]:
    """Take the replies of shards that came merged; all of them are used, or none."""
    if query.done:
        return []
    for service, reply in replies:
        shard = query.by_service[service]
        shard.delegated = False
        shard.replied = True
        shard.reply = reply
        query.replied_count += 1
    return _conclude(now_ms, query)


def on_group_lost(now_ms: float, query: GatherState, services: Iterable[str]) -> list[RoutedAction]:
    """Count out shards whose helper got no reply for them."""
    if query.done:
        return []
    for service in services:
        shard = query.by_service[service]
        shard.delegated = False
        # The helper may have made every attempt that the route allows.
        shard.run_count = query.route.attempt_limit
        shard.exhausted = True
        query.exhausted_count += 1
    return _conclude(now_ms, query)


def on_helper_lost(
    state: RoutedState,
    now_ms: float,
    query: GatherState,
    services: Iterable[str],
    retried_services: Container[str],
) -> list[RoutedAction]:
    """Ask from here for shards of a helper that is lost, as far as attempts are left."""
    if query.done:
        return []
    actions: list[RoutedAction] = []
    for service in services:
        shard = query.by_service[service]
        shard.delegated = False
        # The helper sent its first attempt as it got the group, and said so of each further one.
        shard.run_count = query.route.attempt_limit if service in retried_services else 1
        actions += _retry(state, now_ms, query, shard, free=False)
    return actions + _conclude(now_ms, query)


def on_attempt_end(
    state: RoutedState, now_ms: float, query: GatherState, attempt: Attempt, end: AttemptEnd
) -> list[RoutedAction]:
    """Take a shard's reply, or try another endpoint after a failure."""
    actions = _take_end(state, now_ms, query, attempt, end)
    return actions if query.done else actions + _conclude(now_ms, query)


def _take_end(
    state: RoutedState, now_ms: float, query: GatherState, attempt: Attempt, end: AttemptEnd
) -> list[RoutedAction]:
    shard = query.shard_of.pop(attempt.attempt_id)
    shard.open.remove(attempt)
    if query.done:
        return []
    if shard.replied:
        return []
    if end.outcome is AttemptOutcome.ANSWERED:
        shard.replied = True
        shard.reply = end.reply
        query.replied_count += 1
        if shard.exhausted:
            shard.exhausted = False
            query.exhausted_count -= 1
        return [AbandonAttempt(other, ABANDON_DELAY_MS) for other in shard.open]
    endpoint = attempt.load.record.endpoint
    decision = LogDecision(
        'retry', f'{shard.service}: {endpoint} {end.outcome.value}, {end.detail}'
    )
    if end.outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.NOT_RUN):
        shard.run_count -= 1
    if end.outcome is AttemptOutcome.LOST:
        query.lost_count += 1
    if end.outcome is AttemptOutcome.NOT_RUN and not end.wrong_endpoint:
        shard.tried.discard(endpoint)
        shard.refuser = endpoint
        shard.retry_at_ms = now_ms + usual_latency_ms(state, query.route) * REFUSED_PART
    free = end.outcome is AttemptOutcome.NOT_SENT
    return [decision, *_retry(state, now_ms, query, shard, free=free)]


def on_gather_timer(state: RoutedState, now_ms: float, query: GatherState) -> list[RoutedAction]:
    """Ask other endpoints for late shards, and answer when it is time."""
    if query.done:
        return []
    actions: list[RoutedAction] = []
    for shard in query.shards:
        if shard.replied or shard.delegated:
            continue
        if not shard.open:
            actions += _retry(state, now_ms, query, shard, free=shard.attempt_count == 0)
        elif now_ms >= shard.open[-1].check_at_ms:
            newest = shard.open[-1]
            check_later(newest, now_ms)
            note_overdue(state, now_ms, newest)
            if not shard.hedged:
                actions += _hedge(state, now_ms, query, shard)
    return actions + _conclude(now_ms, query)


def describe_missing(query: GatherState, limit_count: int) -> str:
    """Name the shards without a reply, each with the endpoints that were asked."""
    missing = [shard for shard in query.shards if not shard.replied]
    names = [f'{shard.service}({"+".join(sorted(shard.tried))})' for shard in missing]
    more = [f'{len(names) - limit_count} more'] if len(names) > limit_count else []
    return ','.join(names[:limit_count] + more) or 'none'


def cancel_gather(query: GatherState) -> list[RoutedAction]:
    """Withdraw everything at once because the caller left."""
    query.done = True
    return _abandon_open(query, 0.0)


def next_check_ms(now_ms: float, query: GatherState) -> float:
    """Return when the query must be looked at again."""
    due_ms = query.limit_ms
    if now_ms < query.answer_at_ms:
        due_ms = min(due_ms, query.answer_at_ms)
    for shard in query.shards:
        if shard.replied or shard.delegated or shard.hedged or shard.exhausted:
            continue
        if shard.open:
            check_ms = shard.open[-1].check_at_ms
        else:
            check_ms = max(shard.retry_at_ms, now_ms + WAITING_CHECK_MS)
        due_ms = min(due_ms, check_ms)
    return due_ms


def _gather(route: Route) -> Gather:
    assert route.gather is not None
    return route.gather


def _may_attempt(query: GatherState, shard: ShardState) -> bool:
    limit = 1 if query.suspected else query.route.attempt_limit
    return shard.run_count < limit and shard.attempt_count < ATTEMPTS_PER_SHARD


def _may_crash(query: GatherState) -> bool:
    return query.replied_count == 0 and query.lost_count >= LOST_BEFORE_REPLY_COUNT


def _pick(
    state: RoutedState, now_ms: float, query: GatherState, shard: ShardState
) -> EndpointLoad | None:
    if not _may_attempt(query, shard):
        return None
    excluded = shard.tried | {shard.refuser} if shard.refuser else shard.tried
    load = choose_endpoint(state, now_ms, query.route, shard.service, excluded)
    if load is None and shard.refuser and now_ms >= shard.retry_at_ms:
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
    shard.tried.add(load.record.endpoint)
    shard.open.append(attempt)
    shard.run_count += 1
    shard.attempt_count += 1
    query.shard_of[attempt_id] = shard
    if shard.exhausted:
        shard.exhausted = False
        query.exhausted_count -= 1
    return SendAttempt(attempt, query.limit_ms - now_ms)


def _send_first(
    state: RoutedState, now_ms: float, query: GatherState, shard: ShardState, load: EndpointLoad
) -> SendAttempt:
    record_first_attempts(budget_of(state, shard.service), now_ms, 1)
    return _send(state, now_ms, query, shard, load, hedge=False)


def _retry(
    state: RoutedState, now_ms: float, query: GatherState, shard: ShardState, free: bool
) -> list[RoutedAction]:
    if shard.open or _may_crash(query):
        return []
    load = _pick(state, now_ms, query, shard)
    if load is None or not (free or try_take_retry(budget_of(state, shard.service), now_ms)):
        _note_exhausted(state, now_ms, query, shard)
        return []
    return [_send(state, now_ms, query, shard, load, hedge=False)]


def _hedge(
    state: RoutedState, now_ms: float, query: GatherState, shard: ShardState
) -> list[RoutedAction]:
    usual_ms = usual_latency_ms(state, query.route)
    if query.replied_count >= query.floor_count and now_ms + usual_ms > query.answer_at_ms:
        # Its reply would come after the answer was given.
        shard.hedged = True
        return []
    load = _pick(state, now_ms, query, shard)
    if (
        load is None
        or _may_crash(query)
        or not try_take_hedge(budget_of(state, shard.service), now_ms)
    ):
        return []
    shard.hedged = True
    late = shard.open[-1]
    age_ms = now_ms - late.begun_ms
    detail = (
        f'{shard.service}: {late.load.record.endpoint} late after {age_ms:.0f} ms, '
        f'also {load.record.endpoint}'
    )
    return [LogDecision('hedge', detail), _send(state, now_ms, query, shard, load, hedge=True)]


def _note_exhausted(
    state: RoutedState, now_ms: float, query: GatherState, shard: ShardState
) -> None:
    """Count a shard out if no endpoint can take another attempt now."""
    possible = _may_attempt(query, shard) and any(
        load.record.endpoint not in shard.tried and not load.breaker.is_open(now_ms)
        for load in state.table.usable(shard.service)
    )
    if possible == shard.exhausted:
        shard.exhausted = not possible
        query.exhausted_count += 1 if shard.exhausted else -1


def _conclude(now_ms: float, query: GatherState) -> list[RoutedAction]:
    """Answer or give up if nothing more is worth waiting for."""
    if query.replied_count >= query.floor_count:
        if query.replied_count >= query.reachable_count or now_ms >= query.answer_at_ms:
            return _answer(query)
    elif query.reachable_count < query.floor_count:
        return _give_up(query, 'too few shards can still answer')
    elif _may_crash(query) and not any(shard.open or shard.delegated for shard in query.shards):
        return _give_up(query, 'each endpoint that ran it was lost')
    elif now_ms >= query.limit_ms:
        return _give_up(query, 'the time limit is reached')
    return []


def _answer(query: GatherState) -> list[RoutedAction]:
    query.done = True
    replies = tuple(shard.reply for shard in query.shards if shard.replied)
    missing = tuple(shard.service for shard in query.shards if not shard.replied)
    return [DeliverMerged(replies, missing), *_abandon_open(query, ABANDON_DELAY_MS)]


def _give_up(query: GatherState, reason: str) -> list[RoutedAction]:
    query.done = True
    detail = f'{reason}: {query.replied_count} of {len(query.shards)} answered'
    if query.sent_count == 0 and query.delegated_count == 0:
        return [Refuse(ResultCode.NO_ENDPOINT, detail, UNSERVED_RETRY_MS)]
    return [Refuse(ResultCode.NO_ANSWER, detail), *_abandon_open(query, 0.0)]


def _abandon_open(query: GatherState, after_ms: float) -> list[RoutedAction]:
    attempts = [attempt for shard in query.shards for attempt in shard.open]
    return [AbandonAttempt(attempt, after_ms) for attempt in attempts]
