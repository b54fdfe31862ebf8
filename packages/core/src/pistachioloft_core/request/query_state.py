"""State of one query in flight and the bookkeeping of its attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages.endpoint import KIND_QUERY
from ..messages.peer import Attempt
from ..process.budget import record_first_attempts
from ..process.latency import service_latency
from ..process.observed import record_closed, record_sent, record_unanswered
from .actions import CancelAttempts, Finished, RequestAction, SendAttempts
from .merge import GatheredRows

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..messages.public import QueryReply, QueryRequest
    from ..process.endpoint_view import EndpointView
    from ..version.snapshot import VersionView
    from .plan import PlannedAttempt
    from .routing import RoutingState

# The reply has to be merged, encoded and received before the caller's deadline.
FINISH_BEFORE_MS = 5.0


class SubRequestState:
    """Hold the attempts that were made for the shards of one first attempt."""

    __slots__ = (
        'attempts',
        'crash_count',
        'has_failed_attempt',
        'repeatable',
        'repeated',
        'shards',
        'tried',
        'unbudgeted_retry',
    )

    def __init__(self, shards: tuple[str, ...]) -> None:
        self.shards = shards
        # The last attempt reached no endpoint, so another one is no extra load.
        self.unbudgeted_retry = False
        self.crash_count = 0
        self.has_failed_attempt = False
        self.attempts: list[AttemptState] = []
        self.tried: set[str] = set()
        self.repeatable: set[str] = set()
        self.repeated: set[str] = set()

    def allow_repeat(self, endpoint: str) -> None:
        """Let an endpoint be asked a second time, if no untried one is left."""
        if endpoint not in self.repeated:
            self.repeated.add(endpoint)
            self.repeatable.add(endpoint)


class AttemptState:
    """Hold one attempt; it is late at its next check, overdue at the one after."""

    __slots__ = (
        'attempt_id',
        'check_at_ms',
        'endpoint',
        'hedged',
        'is_open',
        'overdue',
        'sent_ms',
        'shards',
        'sub_request',
    )

    def __init__(
        self, attempt_id: str, planned: PlannedAttempt, sub_request: SubRequestState, sent_ms: float
    ) -> None:
        self.attempt_id = attempt_id
        self.endpoint: EndpointView = planned.endpoint
        self.shards = planned.shards
        self.sub_request = sub_request
        self.sent_ms = sent_ms
        self.check_at_ms = sent_ms
        self.is_open = True
        self.hedged = False
        self.overdue = False


class QueryState:
    """Hold one query from its plan to its reply."""

    __slots__ = (
        'attempts',
        'content_digest',
        'crash_count',
        'crash_suspects',
        'endpoints_without_version',
        'finish_at_ms',
        'finished',
        'gathered',
        'has_replanned',
        'may_have_run',
        'open_count',
        'pending_retries',
        'query_id',
        'request',
        'retry_after_ms',
        'sequence',
        'started_ms',
        'suspected',
        'urgent',
        'version',
        'wake_at_ms',
    )

    def __init__(
        self,
        request: QueryRequest,
        query_id: str,
        started_ms: float,
        deadline_ms: float,
        urgent: bool,
        content_digest: str,
    ) -> None:
        self.request = request
        self.query_id = query_id
        self.started_ms = started_ms
        self.finish_at_ms = deadline_ms - FINISH_BEFORE_MS
        self.urgent = urgent
        self.content_digest = content_digest
        self.version: VersionView | None = None
        self.gathered: GatheredRows | None = None
        self.attempts: dict[str, AttemptState] = {}
        self.open_count = 0
        self.sequence = 0
        self.pending_retries: list[SubRequestState] = []
        self.endpoints_without_version: set[str] = set()
        self.crash_suspects: set[str] = set()
        self.crash_count = 0
        self.suspected = False
        self.has_replanned = False
        self.may_have_run = False
        self.retry_after_ms: int | None = None
        self.finished = False
        self.wake_at_ms = float('inf')


def query_id_of(attempt_id: str) -> str:
    """Return the id of the query or command that an attempt belongs to."""
    return attempt_id.rpartition('.')[0]


def adopt_version(query: QueryState, version: VersionView) -> GatheredRows:
    """Start the query over at a version, without rows or attempts of an earlier one."""
    query.version = version
    query.gathered = GatheredRows(version)
    query.attempts = {}
    query.open_count = 0
    query.pending_retries = []
    query.endpoints_without_version = set()
    return query.gathered


def send_planned(
    routing: RoutingState,
    query: QueryState,
    now_ms: float,
    planned: Iterable[PlannedAttempt],
    *,
    sub_request: SubRequestState | None = None,
    hedge: bool = False,
) -> list[RequestAction]:
    """Open attempts, joined in one action for each owner; without family, first attempts."""
    batches: dict[str, list[Attempt]] = {}
    count = 0
    for item in planned:
        count += 1
        attempt = _open_attempt(
            routing, query, now_ms, item, sub_request or SubRequestState(item.shards)
        )
        batches.setdefault(item.endpoint.owner, []).append(
            _message(routing, query, now_ms, attempt, hedge)
        )
    if sub_request is None:
        record_first_attempts(routing.budget, now_ms, count)
    return [SendAttempts(owner, tuple(attempts)) for owner, attempts in batches.items()]


def close_attempt(routing: RoutingState, query: QueryState, attempt: AttemptState) -> None:
    """Count an attempt as ended."""
    attempt.is_open = False
    query.open_count -= 1
    record_closed(routing.observed, attempt.endpoint.endpoint)


def withdraw_attempts(
    routing: RoutingState, query: QueryState, now_ms: float, attempts: Iterable[AttemptState]
) -> list[RequestAction]:
    """Cancel open attempts; what was late by then counts as unanswered."""
    owners: dict[str, list[str]] = {}
    for attempt in attempts:
        if not attempt.is_open:
            continue
        close_attempt(routing, query, attempt)
        endpoint = attempt.endpoint
        owners.setdefault(endpoint.owner, []).append(attempt.attempt_id)
        age_ms = now_ms - attempt.sent_ms
        learned = service_latency(routing.latencies, endpoint.service)
        if age_ms > learned.p95_ms:
            # Leaving cancelled attempts out would bias the percentile to fast replies.
            learned.add(age_ms)
            if not attempt.overdue:
                record_unanswered(
                    routing.observed, endpoint.endpoint, endpoint.owner, now_ms, age_ms
                )
    return [CancelAttempts(owner, tuple(ids)) for owner, ids in owners.items()]


def finish_query(
    routing: RoutingState, query: QueryState, now_ms: float, reply: QueryReply
) -> list[RequestAction]:
    """End the query with its one reply and withdraw what is still open."""
    actions = (
        withdraw_attempts(routing, query, now_ms, query.attempts.values())
        if query.open_count
        else []
    )
    query.finished = True
    query.pending_retries = []
    actions.append(Finished(reply))
    return actions


def _open_attempt(
    routing: RoutingState,
    query: QueryState,
    now_ms: float,
    planned: PlannedAttempt,
    sub_request: SubRequestState,
) -> AttemptState:
    query.sequence += 1
    attempt = AttemptState(f'{query.query_id}.{query.sequence}', planned, sub_request, now_ms)
    endpoint = planned.endpoint
    attempt.check_at_ms = now_ms + service_latency(routing.latencies, endpoint.service).p95_ms
    sub_request.attempts.append(attempt)
    sub_request.tried.add(endpoint.endpoint)
    sub_request.repeatable.discard(endpoint.endpoint)
    query.attempts[attempt.attempt_id] = attempt
    query.open_count += 1
    record_sent(routing.observed, endpoint, now_ms)
    return attempt


def _message(
    routing: RoutingState, query: QueryState, now_ms: float, attempt: AttemptState, hedge: bool
) -> Attempt:
    request = query.request
    version = query.version
    assert version is not None
    return Attempt(
        attempt.attempt_id,
        routing.instance,
        attempt.endpoint.endpoint,
        KIND_QUERY,
        request.caller,
        version.collection,
        version.version,
        attempt.shards,
        request.query,
        query.content_digest,
        query.finish_at_ms - now_ms,
        query.urgent,
        hedge,
    )
