"""Load and latency of one endpoint, as observed by an entry instance that connects to it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..process.observed import Breaker
from .statements import EndpointStatements

if TYPE_CHECKING:
    from ..messages.fleet import AnnouncedEndpoint
    from .endpoint_limit import EndpointLimit

# Weight of the newest reply in the slowness estimate, which covers about the last 4 replies.
SLOWNESS_WEIGHT = 0.25
# A reply is slow if it took this many times the usual latency.
SLOW_FACTOR = 2.5
# Without replies, the slowness estimate moves halfway back to 1 in this time. A single slow reply
# is mostly a pause that is already over. Each further one in a row makes it more likely that the
# endpoint is slow, so the half-life is multiplied by the factor below.
SLOWNESS_HALF_LIFE_MS = 200.0
SLOWNESS_HALF_LIFE_FACTOR = 3.0
MAX_HALF_LIFE_MS = 5_000.0
MAX_SLOW_STREAK = 9
# Weight of the newest outcome in the estimated fraction of requests that are shed or lost.
SHED_WEIGHT = 0.2
SHED_HALF_LIFE_MS = 2_000.0
# A load report is ignored after this time, when the requests that it counted have ended.
LOAD_REPORT_LIFETIME_MS = 500.0
# One lost reply does not indicate a crash; two without a reply in between do.
UNANSWERED_LIMIT = 2
# An endpoint is used like a cold one for this long after it has rested.
COLD_AFTER_REST_MS = 2_000.0
# Factors outside these bounds make no difference to which endpoint is preferred.
SLOWNESS_RANGE = (0.5, 20.0)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Carry the load that an endpoint reports with a reply."""

    running_count: int
    waiting_count: int
    slot_count: int
    slowness: float = 1.0


class EndpointLoad:
    """Hold the attempts in flight on an endpoint and the statistics of its replies."""

    __slots__ = (
        '_last_slow_ms',
        '_shed',
        '_shed_updated_ms',
        '_slow_streak',
        '_slowness',
        '_slowness_updated_ms',
        'breaker',
        'cold_until_ms',
        'in_flight_count',
        'overdue_count',
        'record',
        'replied_ms',
        'report',
        'report_ms',
        'round_trip_ms',
        'statements',
    )

    def __init__(
        self,
        record: AnnouncedEndpoint,
        cold_until_ms: float,
        statements: EndpointStatements | None = None,
    ) -> None:
        self.record = record
        # Kept while this run of the endpoint is announced with changes.
        self.statements = statements or EndpointStatements()
        self.cold_until_ms = cold_until_ms
        self.in_flight_count = 0
        # Attempts in flight for longer than the hedge delay.
        self.overdue_count = 0
        self.breaker = Breaker()
        self.replied_ms = float('-inf')
        self.report: LoadReport | None = None
        self.report_ms = 0.0
        # Round trip to the endpoint, which is not part of the endpoint's own latency.
        self.round_trip_ms = 0.0
        self._slowness = 1.0
        self._slowness_updated_ms = 0.0
        self._slow_streak = 0
        self._last_slow_ms = float('-inf')
        self._shed = 0.0
        self._shed_updated_ms = 0.0

    @property
    def limit(self) -> EndpointLimit:
        """Return the limit that the endpoint states."""
        return self.statements.limit

    def slowness(self, now_ms: float) -> float:
        """Return the latency of this endpoint as a multiple of its route's median."""
        half_life_ms = SLOWNESS_HALF_LIFE_MS
        if self._slow_streak > 1:
            factor = SLOWNESS_HALF_LIFE_FACTOR ** (self._slow_streak - 1)
            half_life_ms = min(MAX_HALF_LIFE_MS, half_life_ms * factor)
        remaining_weight = _decay(now_ms - self._slowness_updated_ms, half_life_ms)
        return 1.0 + (self._slowness - 1.0) * remaining_weight

    def shed_fraction(self, now_ms: float) -> float:
        """Return the fraction of requests that this endpoint refuses, fails or loses."""
        if not self._shed:
            return 0.0
        return self._shed * _decay(now_ms - self._shed_updated_ms, SHED_HALF_LIFE_MS)

    def record_reply(self, now_ms: float, latency_ms: float, usual_ms: float) -> None:
        """Record a reply to a request that the endpoint has run."""
        lowest, highest = SLOWNESS_RANGE
        sample = min(highest, max(lowest, latency_ms / max(usual_ms, 1.0)))
        if sample < SLOW_FACTOR:
            self._slow_streak = 0
        elif now_ms - latency_ms > self._last_slow_ms:
            # Sent after the last slow reply arrived, so it is independent of it.
            self._slow_streak = min(MAX_SLOW_STREAK, self._slow_streak + 1)
            self._last_slow_ms = now_ms
            if self._slow_streak == 1:
                sample = SLOW_FACTOR
        else:
            sample = self.slowness(now_ms)
        self._slowness = _move_towards(self.slowness(now_ms), sample, SLOWNESS_WEIGHT)
        self._slowness_updated_ms = now_ms
        self._add_outcome(now_ms, 0.0)
        self.replied_ms = now_ms
        self.breaker.reset()

    def record_shed(self, now_ms: float) -> None:
        """Record a reply that proves that the endpoint did not run the request."""
        self._add_outcome(now_ms, 1.0)
        self.replied_ms = now_ms
        self.breaker.unanswered_count = 0

    def record_overdue(self, now_ms: float, age_ms: float, usual_ms: float) -> None:
        """Record the age of an attempt without a reply as a lower bound of its latency."""
        _, highest = SLOWNESS_RANGE
        bound = min(highest, age_ms / max(usual_ms, 1.0))
        if bound > self.slowness(now_ms):
            self._slowness = _move_towards(self.slowness(now_ms), bound, SLOWNESS_WEIGHT)
            self._slowness_updated_ms = now_ms

    def record_unanswered(self, now_ms: float, refused: bool) -> None:
        """Record an attempt without a reply; a single refused connection opens the breaker."""
        self.breaker.count_unanswered(now_ms, 1 if refused else UNANSWERED_LIMIT)

    def record_broken_connection(self, now_ms: float) -> None:
        """Record an attempt whose connection broke after it was sent."""
        self._add_outcome(now_ms, 1.0)

    def prepare_return(self, from_ms: float) -> None:
        """Use the endpoint from a time on like a cold one, and at first with one attempt only."""
        self.cold_until_ms = max(self.cold_until_ms, from_ms + COLD_AFTER_REST_MS)
        self.breaker.require_probe()

    def record_report(self, now_ms: float, report: LoadReport) -> None:
        """Record the load that the endpoint reported."""
        self.report, self.report_ms = report, now_ms

    def waiting_count(self, now_ms: float) -> float:
        """Return an estimate of the requests that wait for a slot of this endpoint."""
        own_waiting_count = 0
        if self.in_flight_count:
            own_waiting_count = max(0, self.in_flight_count - max(1, self.record.slot_count) + 1)
        report = self.report
        if report is None or now_ms - self.report_ms >= LOAD_REPORT_LIFETIME_MS:
            return own_waiting_count
        waiting_count = report.waiting_count
        if report.running_count >= report.slot_count:
            waiting_count += 1
        return max(own_waiting_count, waiting_count)

    def _add_outcome(self, now_ms: float, shed: float) -> None:
        self._shed = _move_towards(self.shed_fraction(now_ms), shed, SHED_WEIGHT)
        self._shed_updated_ms = now_ms


def _decay(elapsed_ms: float, half_life_ms: float) -> float:
    return 0.5 ** (elapsed_ms / half_life_ms) if elapsed_ms > 0.0 else 1.0


def _move_towards(mean: float, sample: float, weight: float) -> float:
    return mean + weight * (sample - mean)
