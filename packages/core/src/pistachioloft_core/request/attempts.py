"""Attempts of routed requests on endpoints: their start, their end and what it tells."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

from ..process.observed import PROBE_MS
from .hedge_delay import late_after_ms, usual_latency_ms
from .routed_state import route_latency

if TYPE_CHECKING:
    from ..connection.endpoint_load import EndpointLoad, LoadReport
    from ..errors import ResultCode
    from ..messages.routes import Route
    from .delegation import Helper
    from .routed_state import RoutedState


# A new connection takes a round trip and a few milliseconds of the endpoint.
CONNECT_GRACE_MS = 15.0
# An attempt that is late and cannot be helped now is looked at again after this part of the
# time after which it was late.
RECHECK_PART = 0.25


class AttemptOutcome(Enum):
    """Tell how an attempt ended; only the first two prove that nothing ran."""

    NOT_SENT = 'not sent'
    NOT_RUN = 'not run'
    ANSWERED = 'answered'
    FAILED = 'failed'
    LOST = 'lost'


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """Carry the end of an attempt; `reply` is what the endpoint sent, if all of it came."""

    outcome: AttemptOutcome
    detail: str = ''
    reply: Any = None
    report: LoadReport | None = None
    # The endpoint's address was refused or belongs to another endpoint now.
    wrong_endpoint: bool = False


class Attempt:
    """Hold one request in flight on one endpoint."""

    __slots__ = (
        'attempt_id',
        'begun_ms',
        'check_at_ms',
        'hedge',
        'late_after_ms',
        'load',
        'overdue',
        'route',
        'sent_ms',
        'service',
    )

    def __init__(
        self,
        attempt_id: str,
        route: Route,
        service: str,
        load: EndpointLoad,
        begun_ms: float,
        late_after_ms: float,
        hedge: bool,
    ) -> None:
        self.attempt_id = attempt_id
        self.route = route
        self.service = service
        self.load = load
        self.begun_ms = begun_ms
        # When it was written to a connection; until then it waits for one.
        self.sent_ms: float | None = None
        self.late_after_ms = late_after_ms
        self.check_at_ms = begun_ms + CONNECT_GRACE_MS + late_after_ms
        self.hedge = hedge
        self.overdue = False

    def latency_ms(self, now_ms: float) -> float:
        """Return how long the endpoint has had the request, without the way there and back."""
        since_ms = self.begun_ms if self.sent_ms is None else self.sent_ms
        return max(0.0, now_ms - since_ms - self.load.round_trip_ms)


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to an endpoint."""

    attempt: Attempt
    time_left_ms: float


@dataclass(frozen=True, slots=True)
class DelegateGroup:
    """Let a helper ask for some shards of a query; replies later than `flush_at_ms` come singly."""

    helper: Helper
    services: tuple[str, ...]
    flush_at_ms: float


@dataclass(frozen=True, slots=True)
class AbandonAttempt:
    """Withdraw an attempt whose reply is no longer needed, after some time to finish."""

    attempt: Attempt
    after_ms: float


@dataclass(frozen=True, slots=True)
class Deliver:
    """Give the caller one endpoint's reply unchanged."""

    reply: Any


@dataclass(frozen=True, slots=True)
class DeliverMerged:
    """Give the caller the merged replies; the `missing` shards are not covered."""

    replies: tuple[Any, ...]
    missing: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Refuse:
    """End the request with a result code."""

    code: ResultCode
    detail: str
    retry_after_ms: float | None = None


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Write one log line for a routing decision."""

    kind: str
    detail: str


RoutedAction = (
    SendAttempt | DelegateGroup | AbandonAttempt | Deliver | DeliverMerged | Refuse | LogDecision
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
    """Count an attempt on an endpoint."""
    load.in_flight_count += 1
    if load.breaker.broken:
        load.breaker.probe_until_ms = now_ms + PROBE_MS
    late_ms = late_after_ms(state, route, service) + load.round_trip_ms
    return Attempt(attempt_id, route, service, load, now_ms, late_ms, hedge)


def note_sent(attempt: Attempt, now_ms: float) -> None:
    """Take note that an attempt was written to a connection."""
    attempt.sent_ms = now_ms
    attempt.check_at_ms = now_ms + attempt.late_after_ms


def check_later(attempt: Attempt, now_ms: float) -> None:
    """Look at a late attempt again in a while."""
    attempt.check_at_ms = now_ms + RECHECK_PART * attempt.late_after_ms


def note_overdue(state: RoutedState, now_ms: float, attempt: Attempt) -> None:
    """Count an attempt that is past its hedge delay against its endpoint."""
    if not attempt.overdue:
        attempt.overdue = True
        attempt.load.overdue_count += 1
    usual_ms = usual_latency_ms(state, attempt.route)
    attempt.load.record_overdue(now_ms, attempt.latency_ms(now_ms), usual_ms)


def end_attempt(state: RoutedState, now_ms: float, attempt: Attempt, end: AttemptEnd) -> None:
    """Take what the end of an attempt tells about its endpoint and its route."""
    load = attempt.load
    release_attempt(attempt)
    if end.report is not None:
        load.record_report(now_ms, end.report)
    latency_ms = attempt.latency_ms(now_ms)
    if end.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.FAILED):
        usual_ms = usual_latency_ms(state, attempt.route)
        if end.outcome is AttemptOutcome.ANSWERED:
            route_latency(state, attempt.route.name).add(latency_ms)
            load.record_reply(now_ms, latency_ms, usual_ms)
        else:
            load.record_shed(now_ms)
    elif end.outcome is AttemptOutcome.NOT_RUN and not end.wrong_endpoint:
        load.record_shed(now_ms)
    else:
        load.record_unanswered(now_ms, end.wrong_endpoint)
        if end.outcome is AttemptOutcome.LOST:
            load.record_broken_connection(now_ms)


def withdraw_attempt(state: RoutedState, now_ms: float, attempt: Attempt) -> None:
    """Count an attempt that was given up without a reply."""
    release_attempt(attempt)
    usual_ms = usual_latency_ms(state, attempt.route)
    age_ms = attempt.latency_ms(now_ms)
    attempt.load.record_overdue(now_ms, age_ms, usual_ms)
    # A caller may leave before any endpoint could have answered.
    if age_ms >= attempt.late_after_ms:
        attempt.load.record_unanswered(now_ms, False)


def release_attempt(attempt: Attempt) -> None:
    """Forget an attempt whose end says nothing about its endpoint."""
    attempt.load.in_flight_count -= 1
    if attempt.overdue:
        attempt.overdue = False
        attempt.load.overdue_count -= 1
