"""Until when it pays to wait for the shards that are still missing."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .records import RECORD_BYTES

if TYPE_CHECKING:
    from ..messages.routes import Route

# The time from a due answer to its last byte leaving this process: the timer fires late, and
# the replies are merged and written.
PROCESSING_ALLOWANCE_MS = 4.0
# The head of an answer, and what each shard adds to it: its receipt, as long as those of today.
HEAD_BYTES = 256
RECEIPT_BYTES = 44
# Part of the link that an answer gets; attempts, hedges and answers of other queries have the
# rest.
LINK_PART = 0.5
# Deadlines of a route that are remembered; some seconds of requests at today's load.
DEADLINE_COUNT = 64
# A deadline that fewer of the last requests had is not the usual one of a route's callers.
USUAL_PART = 0.25


@dataclass(frozen=True, slots=True)
class CallerTransit:
    """Tell how much of a caller's time passes outside this instance."""

    # From the caller's first packet to the arrival of the request.
    connecting_ms: float
    # From sending an answer to its arrival.
    return_ms: float
    # Before the request was sent, by what its deadline tells.
    elapsed_ms: float = 0.0

    @property
    def total_ms(self) -> float:
        """Return the part of the caller's time that this instance does not have."""
        # The transit of the request takes as long as that of its answer.
        before_ms = max(self.connecting_ms, self.elapsed_ms + self.return_ms)
        return before_ms + self.return_ms


class CallerDeadlines:
    """Hold the deadlines that the callers of one route sent with their last requests."""

    __slots__ = ('_counts', '_recent')

    def __init__(self) -> None:
        self._recent: deque[float] = deque()
        self._counts: Counter[float] = Counter()

    def record(self, deadline_ms: float) -> None:
        """Take the deadline of a request."""
        self._recent.append(deadline_ms)
        self._counts[deadline_ms] += 1
        if len(self._recent) > DEADLINE_COUNT:
            oldest = self._recent.popleft()
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]

    def usual_ms(self) -> float | None:
        """Return the deadline that most requests had, the longer of two, None if there is none."""
        deadline_ms, count = max(
            self._counts.items(), key=lambda item: (item[1], item[0]), default=(0.0, 0)
        )
        return deadline_ms if count >= max(1.0, USUAL_PART * len(self._recent)) else None


def elapsed_before_sending_ms(
    deadlines: CallerDeadlines, deadline_ms: float, route: Route
) -> float:
    """Return how much of its usual time a caller had spent when it sent a request."""
    # Callers that look up addresses, or connect, first send what is left of their time.
    deadlines.record(deadline_ms)
    usual_ms = deadlines.usual_ms()
    elapsed_ms = usual_ms - deadline_ms if usual_ms is not None else 0.0
    # More than the whole target is a caller's second request, or a caller of another kind.
    return elapsed_ms if 0.0 < elapsed_ms < route.latency_target_ms else 0.0


def answer_transmission_ms(route: Route, link_mbit_per_s: float) -> float:
    """Return how long a query's whole answer takes to leave the machine."""
    if route.gather is None:
        return 0.0
    size_bytes = (
        HEAD_BYTES
        + RECEIPT_BYTES * len(route.gather.shards)
        + RECORD_BYTES * route.gather.top_count
    )
    return size_bytes * 8 / (1_000.0 * link_mbit_per_s * LINK_PART)


def answer_due_ms(
    route: Route, now_ms: float, transit: CallerTransit, fastest_ms: float, sending_ms: float = 0.0
) -> float:
    """Return when an answer must leave to reach the caller within the latency target."""
    left_ms = route.latency_target_ms - transit.total_ms - PROCESSING_ALLOWANCE_MS - sending_ms
    if left_ms < fastest_ms:
        # No answer can be in time any more; then a whole one is worth the most.
        left_ms = route.latency_target_ms
    return now_ms + left_ms
