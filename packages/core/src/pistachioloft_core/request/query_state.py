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
    from ..version.cluster_view import VersionView
    from .plan import PlannedAttempt
    from .routing import RoutingState

# Time reserved before the caller's deadline to merge, encode and receive the reply.
FINISH_MARGIN_MS = 5.0


class SubRequestState:
    """Hold the first attempt on a set of shards with its retries and hedges."""

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
        # The last attempt reached no endpoint, so a retry adds no load and needs no budget.
        self.unbudgeted_retry = False
        self.crash_count = 0
        self.has_failed_attempt = False
        self.attempts: list[AttemptState] = []
        self.tried: set[str] = set()
        # Tried endpoints that may be tried a second time.
        self.repeatable: set[str] = set()
        # Endpoints whose second attempt was allowed or sent; there is no third one.
        self.repeated: set[str] = set()

    def allow_repeat(self, endpoint: str) -> None:
        """Allow one second attempt on an endpoint, for use when no untried endpoint is left."""
        if endpoint not in self.repeated:
            self.repeated.add(endpoint)
            self.repeatable.add(endpoint)


class AttemptState:
    """Hold one attempt, which is first checked when it is late and later counts as overdue."""

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
        'attempt_count',
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
        self.finish_at_ms = deadline_ms - FINISH_MARGIN_MS
        self.urgent = urgent
        self.content_digest = content_digest
        self.version: VersionView | None = None
        self.gathered: GatheredRows | None = None
        self.attempts: dict[str, AttemptState] = {}
        self.open_count = 0
        self.attempt_count = 0
        self.pending_retries: list[SubRequestState] = []
        self.endpoints_without_version: set[str] = set()
        # Endpoints whose attempt was lost, by a crash or with the connection.
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
    """Restart the query at a version, discarding the rows and attempts of an earlier one."""
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
    """Send attempts, batched by owner; without a sub-request they are first attempts."""
    attempts_by_owner: dict[str, list[Attempt]] = {}
    planned_count = 0
    for item in planned:
        planned_count += 1
        attempt = _open_attempt(
            routing, query, now_ms, item, sub_request or SubRequestState(item.shards)
        )
        attempts_by_owner.setdefault(item.endpoint.owner, []).append(
            _attempt_message(routing, query, now_ms, attempt, hedge)
        )
    if sub_request is None:
        record_first_attempts(routing.budget, now_ms, planned_count)
    return [SendAttempts(owner, tuple(attempts)) for owner, attempts in attempts_by_owner.items()]


def close_attempt(routing: RoutingState, query: QueryState, attempt: AttemptState) -> None:
    """Mark an attempt as ended."""
    attempt.is_open = False
    query.open_count -= 1
    record_closed(routing.observed, attempt.endpoint.endpoint)


def withdraw_attempts(
    routing: RoutingState, query: QueryState, now_ms: float, attempts: Iterable[AttemptState]
) -> list[RequestAction]:
    """Cancel open attempts and record the late ones as unanswered."""
    owners: dict[str, list[str]] = {}
    for attempt in attempts:
        if not attempt.is_open:
            continue
        close_attempt(routing, query, attempt)
        endpoint = attempt.endpoint
        owners.setdefault(endpoint.owner, []).append(attempt.attempt_id)
        age_ms = now_ms - attempt.sent_ms
        measured_latency = service_latency(routing.latencies, endpoint.service)
        if age_ms > measured_latency.p95_ms:
            # Ignoring cancelled attempts would bias the percentile towards fast replies.
            measured_latency.add(age_ms)
            if not attempt.overdue:
                record_unanswered(
                    routing.observed, endpoint.endpoint, endpoint.owner, now_ms, age_ms
                )
    return [CancelAttempts(owner, tuple(ids)) for owner, ids in owners.items()]


def finish_query(
    routing: RoutingState, query: QueryState, now_ms: float, reply: QueryReply
) -> list[RequestAction]:
    """End the query with its only reply and withdraw the open attempts."""
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
    query.attempt_count += 1
    attempt = AttemptState(f'{query.query_id}.{query.attempt_count}', planned, sub_request, now_ms)
    endpoint = planned.endpoint
    attempt.check_at_ms = now_ms + service_latency(routing.latencies, endpoint.service).p95_ms
    sub_request.attempts.append(attempt)
    sub_request.tried.add(endpoint.endpoint)
    sub_request.repeatable.discard(endpoint.endpoint)
    query.attempts[attempt.attempt_id] = attempt
    query.open_count += 1
    record_sent(routing.observed, endpoint, now_ms)
    return attempt


def _attempt_message(
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
