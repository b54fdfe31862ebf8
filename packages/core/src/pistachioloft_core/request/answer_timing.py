"""Derive how long a query waits for missing shards before it is answered."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..util.delay_estimate import DEVIATION_COUNT, DelayEstimate
from .records import RECORD_BYTES

if TYPE_CHECKING:
    from ..messages.routes import Route

# Time from a due answer until its last byte leaves this process, and its deviation, until both are
# measured: the timer fires late while the process reads replies, and the answer is merged and
# written.
INITIAL_DELAY_MS = 2.0
INITIAL_DEVIATION_MS = 0.5
PROCESSING_ALLOWANCE_MS = INITIAL_DELAY_MS + DEVIATION_COUNT * INITIAL_DEVIATION_MS
# A longer delay than this multiple of the allowance counts as this multiple: a single one says
# little, and several in a row raise the allowance quickly.
MAX_DELAY_FACTOR = 2.0
# Fraction of the latency target that the allowance takes at most: the rest is for the shards.
MAX_ALLOWANCE_RATIO = 0.25
# Size of the header of an answer, and of the receipt that each shard adds to it.
HEADER_BYTES = 256
RECEIPT_BYTES = 44
# Fraction of the link that is available to one answer; attempts, hedges and other answers use
# the rest.
LINK_RATIO = 0.5
# Deadlines that are stored per route: a few seconds of requests.
DEADLINE_COUNT = 64
# The usual deadline of a route's callers must account for at least this fraction of the last
# requests.
MIN_USUAL_RATIO = 0.25


@dataclass(frozen=True, slots=True)
class CallerTransit:
    """Describe how much of a caller's time passes outside this instance."""

    # From the caller's first packet to the arrival of the request.
    connecting_ms: float
    # From sending the answer to its arrival.
    return_ms: float
    # Before the request was sent, derived from its deadline.
    elapsed_ms: float = 0.0

    @property
    def total_ms(self) -> float:
        """Return the part of the caller's time that is not available to this instance."""
        # The request is assumed to take as long in transit as its answer.
        elapsed_at_arrival_ms = max(self.connecting_ms, self.elapsed_ms + self.return_ms)
        return elapsed_at_arrival_ms + self.return_ms


class AnswerDelay:
    """Hold how much later than due the answers of an instance are written."""

    __slots__ = ('_estimate',)

    def __init__(self) -> None:
        self._estimate = DelayEstimate(INITIAL_DELAY_MS, INITIAL_DEVIATION_MS)

    @property
    def allowance_ms(self) -> float:
        """Return by how much an answer must be due before it must be written."""
        return self._estimate.bound_ms

    def record(self, delay_ms: float, route: Route) -> None:
        """Record how late an answer was written that could be sent when it was due."""
        if delay_ms >= route.latency_target_ms:
            # The process was paused.
            return
        longest_ms = max(PROCESSING_ALLOWANCE_MS, MAX_DELAY_FACTOR * self.allowance_ms)
        self._estimate.record(min(delay_ms, longest_ms))


class CallerDeadlines:
    """Hold the deadlines that the callers of one route sent with their last requests."""

    __slots__ = ('_counts', '_recent')

    def __init__(self, expected_ms: float | None = None) -> None:
        """Begin with the deadline that callers are expected to send, if there is one."""
        self._recent: deque[float] = deque()
        self._counts: Counter[float] = Counter()
        if expected_ms is not None:
            self.record(expected_ms)

    def record(self, deadline_ms: float) -> None:
        """Store the deadline of a request."""
        self._recent.append(deadline_ms)
        self._counts[deadline_ms] += 1
        if len(self._recent) > DEADLINE_COUNT:
            oldest = self._recent.popleft()
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]

    def usual_ms(self) -> float | None:
        """Return the most frequent deadline, the longer of two on a tie, None if all are rare."""
        deadline_ms, count = max(
            self._counts.items(), key=lambda item: (item[1], item[0]), default=(0.0, 0)
        )
        return deadline_ms if count >= self._min_usual_count() else None

    def is_usual(self, deadline_ms: float) -> bool:
        """Return whether a deadline is frequent, as that of one of several kinds of callers."""
        return self._counts[deadline_ms] >= self._min_usual_count()

    def _min_usual_count(self) -> float:
        return max(1.0, MIN_USUAL_RATIO * len(self._recent))


def elapsed_before_sending_ms(
    deadlines: CallerDeadlines, deadline_ms: float, route: Route
) -> float:
    """Return how much of its usual deadline a caller had used up when it sent a request."""
    # Callers that first look up addresses or connect send the remaining time as the deadline.
    deadlines.record(deadline_ms)
    elapsed_ms = _below_usual_ms(deadlines, deadline_ms)
    # A difference beyond the latency target means a caller's second request or another kind of
    # caller.
    return elapsed_ms if 0.0 < elapsed_ms < route.latency_target_ms else 0.0


def is_past_target(deadlines: CallerDeadlines, deadline_ms: float, route: Route) -> bool:
    """Return whether a caller sent a request after its latency target, as after a refusal."""
    is_early = _below_usual_ms(deadlines, deadline_ms) < route.latency_target_ms
    return not is_early and not deadlines.is_usual(deadline_ms)


def _below_usual_ms(deadlines: CallerDeadlines, deadline_ms: float) -> float:
    usual_ms = deadlines.usual_ms()
    return usual_ms - deadline_ms if usual_ms is not None else 0.0


def answer_transmission_ms(route: Route, link_mbit_per_s: float) -> float:
    """Return how long a query's complete answer takes to leave the machine."""
    if route.gather is None:
        return 0.0
    size_bytes = (
        HEADER_BYTES
        + RECEIPT_BYTES * len(route.gather.shards)
        + RECORD_BYTES * route.gather.top_count
    )
    return size_bytes * 8 / (1_000.0 * link_mbit_per_s * LINK_RATIO)


def answer_due_ms(
    route: Route,
    now_ms: float,
    transit: CallerTransit,
    usual_latency_ms: float,
    transmission_ms: float = 0.0,
    processing_ms: float = PROCESSING_ALLOWANCE_MS,
) -> float:
    """Return when an answer must be sent to reach the caller within the latency target."""
    target_ms = route.latency_target_ms
    allowance_ms = min(processing_ms, MAX_ALLOWANCE_RATIO * target_ms)
    left_ms = target_ms - transit.total_ms
    if left_ms - LINK_RATIO * transmission_ms < usual_latency_ms:
        # No answer can arrive within the target; a late but complete one is preferred.
        return now_ms + target_ms
    # An answer that is not certain to be in time leaves as soon as it covers enough shards.
    return now_ms + max(0.0, left_ms - allowance_ms - transmission_ms)
