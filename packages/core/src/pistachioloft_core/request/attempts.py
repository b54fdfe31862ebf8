"""Attempts of routed requests on endpoints, from their start to their recorded end."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING, Any

from ..connection.reach import record_failed, record_overdue, record_replied
from ..connection.statements import record_statement
from ..process.endpoint_table import withdraw_leaving
from ..process.observed import PROBE_TIMEOUT_MS
from .distance import record_round_trip
from .hedge_delay import late_after_ms, usual_latency_ms
from .queue_waits import record_load_report, record_withdrawn
from .routed_state import route_latency

if TYPE_CHECKING:
    from ..connection.endpoint_load import EndpointLoad, LoadReport
    from ..connection.statements import Statement
    from ..errors import ResultCode
    from ..messages.routes import Route
    from .delegation import Helper
    from .routed_state import RoutedState


# Time allowed for a new connection: a round trip and a few milliseconds of the endpoint.
CONNECT_GRACE_MS = 15.0
# A late attempt that cannot be hedged or retried now is checked again after this fraction of
# its hedge delay.
RECHECK_RATIO = 0.25
# An attempt without a reply for this many hedge delays is on a silent endpoint, unless the endpoint
# replies to others. A paused endpoint replies sooner.
SILENT_FACTOR = 6.0
MIN_SILENT_MS = 400.0
# Factors of the rest that an endpoint asks for.
REST_SPREAD = (1.0, 1.1)


class AttemptOutcome(Enum):
    """Enumerate the ends of an attempt; only the first two prove that nothing ran."""

    NOT_SENT = 'not sent'
    NOT_RUN = 'not run'
    ANSWERED = 'answered'
    FAILED = 'failed'
    LOST = 'lost'


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """Describe the end of an attempt; `reply` is set if the endpoint's reply arrived whole."""

    outcome: AttemptOutcome
    detail: str = ''
    reply: Any = None
    report: LoadReport | None = None
    # The endpoint's address refused the connection or now belongs to another endpoint.
    wrong_endpoint: bool = False
    # What the reply says about its endpoint; None without a reply.
    statement: Statement | None = None
    # Whether the reply names its request.
    identified: bool = True


class Attempt:
    """Hold one request in flight on one endpoint."""

    __slots__ = (
        'attempt_id',
        'check_at_ms',
        'hedge',
        'is_retry',
        'late_after_ms',
        'load',
        'overdue',
        'route',
        'sent_ms',
        'service',
        'silent',
        'started_ms',
    )

    def __init__(
        self,
        attempt_id: str,
        route: Route,
        service: str,
        load: EndpointLoad,
        started_ms: float,
        late_after_ms: float,
        hedge: bool,
    ) -> None:
        self.attempt_id = attempt_id
        self.route = route
        self.service = service
        self.load = load
        self.started_ms = started_ms
        # When the request was written to a connection; None while it waits for one.
        self.sent_ms: float | None = None
        self.late_after_ms = late_after_ms
        self.check_at_ms = started_ms + CONNECT_GRACE_MS + late_after_ms
        self.hedge = hedge
        # Another attempt of the request or shard ended without a reply.
        self.is_retry = False
        self.overdue = False
        # Counted as unanswered while it is still in flight.
        self.silent = False

    @property
    def endpoint_has_replied(self) -> bool:
        """Return whether the endpoint has replied to another attempt since this one started."""
        return self.load.replied_ms > self.started_ms

    def latency_ms(self, now_ms: float) -> float:
        """Return how long the endpoint has held the request, without the round trip."""
        since_ms = self.started_ms if self.sent_ms is None else self.sent_ms
        return max(0.0, now_ms - since_ms - self.load.round_trip_ms)


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to an endpoint."""

    attempt: Attempt
    time_left_ms: float


@dataclass(frozen=True, slots=True)
class DelegateGroup:
    """Delegate shards to a helper, which sends replies after `flush_at_ms` one by one."""

    helper: Helper
    services: tuple[str, ...]
    flush_at_ms: float


@dataclass(frozen=True, slots=True)
class PassOn:
    """Pass a request on to another instance, which sends it to an endpoint."""

    receiver: Helper


@dataclass(frozen=True, slots=True)
class AbandonAttempt:
    """Withdraw an attempt whose reply is no longer needed, unless it ends within a delay."""

    attempt: Attempt
    after_ms: float


@dataclass(frozen=True, slots=True)
class Deliver:
    """Send the caller one endpoint's reply unchanged."""

    reply: Any


@dataclass(frozen=True, slots=True)
class DeliverMerged:
    """Send the caller the merged replies; the `missing` shards are not covered."""

    replies: tuple[Any, ...]
    missing: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Refuse:
    """End the request with a result code."""

    code: ResultCode
    detail: str
    retry_after_ms: float | None = None
    # The limit that was reached, for the metrics of admission; empty for other refusals.
    limit: str = ''


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Write one log line for a routing decision."""

    kind: str
    detail: str


RoutedAction = (
    SendAttempt
    | DelegateGroup
    | PassOn
    | AbandonAttempt
    | Deliver
    | DeliverMerged
    | Refuse
    | LogDecision
)


def begin_attempt(
    state: RoutedState,
    now_ms: float,
    attempt_id: str,
    route: Route,
    service: str,
    load: EndpointLoad,
    hedge: bool = False,
) -> Attempt:
    """Start an attempt and count it as in flight on its endpoint."""
    load.in_flight_count += 1
    load.limit.take_permit(now_ms)
    if load.breaker.broken:
        load.breaker.probe_until_ms = now_ms + PROBE_TIMEOUT_MS
    late_ms = late_after_ms(state, route, service) + load.round_trip_ms
    return Attempt(attempt_id, route, service, load, now_ms, late_ms, hedge)


def record_attempt_sent(attempt: Attempt, now_ms: float) -> None:
    """Record that an attempt was written to a connection."""
    attempt.sent_ms = now_ms
    attempt.check_at_ms = now_ms + attempt.late_after_ms


def schedule_recheck(attempt: Attempt, now_ms: float) -> None:
    """Schedule the next check of a late attempt."""
    attempt.check_at_ms = now_ms + RECHECK_RATIO * attempt.late_after_ms


def record_overdue_attempt(state: RoutedState, now_ms: float, attempt: Attempt) -> None:
    """Record an attempt that is past its hedge delay as overdue on its endpoint."""
    if not attempt.overdue:
        attempt.overdue = True
        attempt.load.overdue_count += 1
        record_overdue(state.reach, now_ms, attempt.load.record.endpoint)
    usual_ms = usual_latency_ms(state, attempt.route)
    attempt.load.record_overdue(now_ms, attempt.latency_ms(now_ms), usual_ms)


def record_silent_attempt(now_ms: float, attempt: Attempt) -> None:
    """Count an attempt in flight as unanswered if its endpoint has replied to nobody since."""
    silent_after_ms = max(MIN_SILENT_MS, SILENT_FACTOR * attempt.late_after_ms)
    age_ms = now_ms - attempt.started_ms
    if attempt.silent or attempt.endpoint_has_replied or age_ms < silent_after_ms:
        return
    _record_unanswered(now_ms, attempt)
    attempt.silent = True


def record_attempt_end(
    state: RoutedState, now_ms: float, attempt: Attempt, end: AttemptEnd
) -> None:
    """Record the end of an attempt for its endpoint and its route."""
    load = attempt.load
    release_attempt(attempt)
    record_round_trip(state, load)
    if end.outcome is AttemptOutcome.LOST:
        record_failed(state.reach, now_ms, load.record.endpoint)
    elif end.outcome is not AttemptOutcome.NOT_SENT:
        record_replied(state.reach, now_ms, load.record.endpoint)
    if end.report is not None:
        load.record_report(now_ms, end.report)
    if end.statement is not None:
        _record_statement(state, now_ms, attempt, end.statement)
    latency_ms = attempt.latency_ms(now_ms)
    if end.report is not None:
        if end.outcome is AttemptOutcome.ANSWERED and end.report.waiting_count == 0:
            state.queue_waits.record_service_time(
                now_ms, attempt.route, attempt.service, latency_ms
            )
        record_load_report(state.queue_waits, now_ms, attempt.route, load, end.report)
    if end.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.FAILED):
        usual_ms = usual_latency_ms(state, attempt.route)
        if end.outcome is AttemptOutcome.ANSWERED:
            route_latency(state, attempt.route.name).add(latency_ms)
            load.record_reply(now_ms, latency_ms, usual_ms)
        else:
            load.record_shed(now_ms)
    elif end.outcome is AttemptOutcome.NOT_RUN and not end.wrong_endpoint:
        load.record_shed(now_ms)
    elif end.outcome is not AttemptOutcome.NOT_SENT or end.wrong_endpoint:
        _record_unanswered(now_ms, attempt, end.wrong_endpoint)
        if end.outcome is AttemptOutcome.LOST:
            load.record_broken_connection(now_ms)


def _record_unanswered(now_ms: float, attempt: Attempt, refused: bool = False) -> None:
    """Count an attempt without a reply, also if it was silent before it ended, only once."""
    if refused or not attempt.silent:
        attempt.load.record_unanswered(now_ms, refused)


def _record_statement(
    state: RoutedState, now_ms: float, attempt: Attempt, statement: Statement
) -> None:
    """Record what an endpoint says about itself with a reply."""
    load = attempt.load
    if statement.rest_ms is not None:
        # Not all instances return in the same moment.
        rest_ms = statement.rest_ms * state.random.uniform(*REST_SPREAD)
        statement = replace(statement, rest_ms=rest_ms)
    sent_ms = attempt.sent_ms or attempt.started_ms
    if not record_statement(load.statements, now_ms, sent_ms, statement):
        return
    state.changed_statements.append(load)
    if load.statements.is_resting(now_ms):
        load.prepare_return(load.statements.rest_until_ms)
    if load.statements.is_leaving:
        withdraw_leaving(state.table, load)
    if load.limit.is_limited:
        state.limited_endpoints.add(load.record.endpoint)
    else:
        state.limited_endpoints.discard(load.record.endpoint)


def record_withdrawn_attempt(state: RoutedState, now_ms: float, attempt: Attempt) -> None:
    """Record an attempt that was withdrawn without a reply."""
    release_attempt(attempt)
    usual_ms = usual_latency_ms(state, attempt.route)
    age_ms = attempt.latency_ms(now_ms)
    attempt.load.record_overdue(now_ms, age_ms, usual_ms)
    if attempt.endpoint_has_replied:
        record_withdrawn(state.queue_waits, now_ms, attempt.route, attempt.load, age_ms)
    # If the caller leaves early, a missing reply is no fault of the endpoint.
    if age_ms >= attempt.late_after_ms:
        _record_unanswered(now_ms, attempt)


def release_attempt(attempt: Attempt) -> None:
    """Release the endpoint's slot of an attempt without recording an observation."""
    attempt.load.in_flight_count -= 1
    if attempt.overdue:
        attempt.overdue = False
        attempt.load.overdue_count -= 1
