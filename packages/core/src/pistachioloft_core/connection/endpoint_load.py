"""What an entry instance observes of one endpoint that it connects to itself."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..process.observed import Breaker

if TYPE_CHECKING:
    from ..messages.fleet import AnnouncedEndpoint

# Weight of the newest reply in the estimate of slowness; about the last 4 replies count.
SLOWNESS_WEIGHT = 0.25
# A reply that took this many times the usual latency was slow.
SLOW_FACTOR = 2.5
# Without replies, half of the distance to an ordinary endpoint is forgotten in this time. One
# slow reply is mostly a pause that has ended with it; each further one in a row makes it more
# likely that the endpoint is slow, and is remembered for longer.
SLOWNESS_HALF_LIFE_MS = 200.0
SLOWNESS_HALF_LIFE_FACTOR = 3.0
LONGEST_HALF_LIFE_MS = 5_000.0
LONGEST_STREAK = 9
# Weight of the newest outcome in the estimate of how many requests an endpoint sheds or loses.
SHED_WEIGHT = 0.2
SHED_HALF_LIFE_MS = 2_000.0
# A load report is older than the work that it counted after this time.
REPORT_LIFE_MS = 500.0
# One lost reply is no sign of a crash; two in a row without a reply in between are.
UNANSWERED_LIMIT = 2
# Factors beyond these bounds say nothing more about which endpoint to prefer.
SLOWNESS_RANGE = (0.5, 20.0)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Carry what an endpoint reports with a reply."""

    running_count: int
    waiting_count: int
    slot_count: int
    slowness: float = 1.0


class EndpointLoad:
    """Hold the attempts in flight on an endpoint and how it answered earlier ones."""

    __slots__ = (
        '_shed',
        '_shed_ms',
        '_slow_ms',
        '_slow_streak',
        '_slowness',
        '_slowness_ms',
        'breaker',
        'cold_until_ms',
        'in_flight_count',
        'overdue_count',
        'record',
        'replied_ms',
        'report',
        'report_ms',
        'round_trip_ms',
    )

    def __init__(self, record: AnnouncedEndpoint, cold_until_ms: float) -> None:
        self.record = record
        self.cold_until_ms = cold_until_ms
        self.in_flight_count = 0
        # Attempts in flight that have taken longer than the hedge delay.
        self.overdue_count = 0
        self.breaker = Breaker()
        self.replied_ms = float('-inf')
        self.report: LoadReport | None = None
        self.report_ms = 0.0
        # The round trip to the endpoint, which is no part of its own latency.
        self.round_trip_ms = 0.0
        self._slowness = 1.0
        self._slowness_ms = 0.0
        self._slow_streak = 0
        self._slow_ms = float('-inf')
        self._shed = 0.0
        self._shed_ms = 0.0

    def slowness(self, now_ms: float) -> float:
        """Return the latency of this endpoint as a multiple of its route's median."""
        factor = SLOWNESS_HALF_LIFE_FACTOR ** max(0, self._slow_streak - 1)
        half_life_ms = min(LONGEST_HALF_LIFE_MS, SLOWNESS_HALF_LIFE_MS * factor)
        left = _decay(now_ms - self._slowness_ms, half_life_ms)
        return 1.0 + (self._slowness - 1.0) * left

    def shed_share(self, now_ms: float) -> float:
        """Return the share of requests that this endpoint refuses, fails or loses."""
        return self._shed * _decay(now_ms - self._shed_ms, SHED_HALF_LIFE_MS)

    def record_reply(self, now_ms: float, latency_ms: float, usual_ms: float) -> None:
        """Take a reply that the endpoint worked on."""
        lowest, highest = SLOWNESS_RANGE
        sample = min(highest, max(lowest, latency_ms / max(usual_ms, 1.0)))
        if sample < SLOW_FACTOR:
            self._slow_streak = 0
        elif now_ms - latency_ms > self._slow_ms:
            # It was sent after the last slow reply, so it tells of something new.
            self._slow_streak = min(LONGEST_STREAK, self._slow_streak + 1)
            self._slow_ms = now_ms
            if self._slow_streak == 1:
                sample = SLOW_FACTOR
        else:
            sample = self.slowness(now_ms)
        self._slowness = _blend(self.slowness(now_ms), sample, SLOWNESS_WEIGHT)
        self._slowness_ms = now_ms
        self._add_outcome(now_ms, 0.0)
        self.replied_ms = now_ms
        self.breaker.reset()

    def record_shed(self, now_ms: float) -> None:
        """Take a reply that proves that the endpoint did not run the request."""
        self._add_outcome(now_ms, 1.0)
        self.replied_ms = now_ms
        self.breaker.unanswered_count = 0

    def record_overdue(self, now_ms: float, age_ms: float, usual_ms: float) -> None:
        """Take an attempt that is still unanswered after a time as a lower bound."""
        _, highest = SLOWNESS_RANGE
        bound = min(highest, age_ms / max(usual_ms, 1.0))
        if bound > self.slowness(now_ms):
            self._slowness = _blend(self.slowness(now_ms), bound, SLOWNESS_WEIGHT)
            self._slowness_ms = now_ms

    def record_unanswered(self, now_ms: float, refused: bool) -> None:
        """Take an attempt that ended without a reply; a refused connection is no accident."""
        self.breaker.count_unanswered(now_ms, 1 if refused else UNANSWERED_LIMIT)

    def record_broken_connection(self, now_ms: float) -> None:
        """Take an attempt whose connection broke after it was sent."""
        self._add_outcome(now_ms, 1.0)

    def record_report(self, now_ms: float, report: LoadReport) -> None:
        """Take the load that the endpoint reported."""
        self.report, self.report_ms = report, now_ms

    def waiting_count(self, now_ms: float) -> float:
        """Return how many requests wait for a slot of this endpoint, as far as is known."""
        slot_count = max(1, self.record.slot_count)
        own = max(0.0, float(self.in_flight_count - slot_count + 1))
        if self.report is None or now_ms - self.report_ms >= REPORT_LIFE_MS:
            return own
        busy = self.report.running_count >= self.report.slot_count
        return max(own, float(self.report.waiting_count + (1 if busy else 0)))

    def _add_outcome(self, now_ms: float, shed: float) -> None:
        self._shed = _blend(self.shed_share(now_ms), shed, SHED_WEIGHT)
        self._shed_ms = now_ms


def _decay(elapsed_ms: float, half_life_ms: float) -> float:
    return 0.5 ** (max(0.0, elapsed_ms) / half_life_ms)


def _blend(known: float, sample: float, weight: float) -> float:
    return known + weight * (sample - known)
