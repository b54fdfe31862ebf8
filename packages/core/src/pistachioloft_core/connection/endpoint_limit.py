"""Limit that an endpoint states for the requests of all instances together."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

UNLIMITED = float('inf')
# Lower bound of a limit: without any request, nobody would learn that the limit has ended.
MIN_LIMIT_PER_S = 0.25
# A permit that is not used within this time lapses, so that few are used at the same moment. Where
# the limit allows less than one request in this time, it lapses when the next one is due.
MIN_PERMIT_LIFE_MS = 500.0
# A grantor that does not reply within this time is replaced by the next one.
GRANTOR_TIMEOUT_MS = 300.0
# Permits that are requested at once: a few, or what the limit allows in this time.
MIN_REQUEST_SIZE = 4
REQUEST_SPAN_S = 0.2


class EndpointLimit:
    """Hold the limit that an endpoint stated last, and this instance's permits for it."""

    __slots__ = ('_permits', 'per_s', 'requested_ms', 'retry_at_ms', 'stated_ms', 'wanted_count')

    def __init__(self) -> None:
        self.per_s = UNLIMITED
        # When the last reply with a limit arrived.
        self.stated_ms = float('-inf')
        # From when on each permit can be used, in ascending order.
        self._permits: deque[float] = deque()
        # Requests since the last request for permits that would have used one.
        self.wanted_count = 0
        # When permits were requested; None unless the grantor still has to reply.
        self.requested_ms: float | None = None
        # The grantor has no permits before this time.
        self.retry_at_ms = float('-inf')

    @property
    def is_limited(self) -> bool:
        """Return whether the endpoint states a limit."""
        return self.per_s < UNLIMITED

    def admits(self, now_ms: float) -> bool:
        """Return whether a request may be sent now."""
        if self.per_s == UNLIMITED:
            return True
        self._drop_lapsed_permits(now_ms)
        return bool(self._permits) and self._permits[0] <= now_ms

    def usable_at_ms(self, now_ms: float) -> float:
        """Return from when on a request may be sent, the current time if that is not known."""
        if not self.is_limited:
            return now_ms
        self._drop_lapsed_permits(now_ms)
        return self._permits[0] if self._permits else max(now_ms, self.retry_at_ms)

    def take_permit(self, now_ms: float) -> None:
        """Use a permit for a request."""
        if self.is_limited and self.admits(now_ms):
            self._permits.popleft()

    def is_grantor_silent(self, now_ms: float) -> bool:
        """Return whether a request for permits has remained without a reply."""
        return self.requested_ms is not None and now_ms - self.requested_ms >= GRANTOR_TIMEOUT_MS

    def take_request(self, now_ms: float) -> int:
        """Return how many permits to request now, and count them as requested."""
        if not self.is_limited or not self.wanted_count or now_ms < self.retry_at_ms:
            return 0
        self._drop_lapsed_permits(now_ms)
        if self.requested_ms is not None or self._permits:
            return 0
        largest_count = max(MIN_REQUEST_SIZE, int(self.per_s * REQUEST_SPAN_S))
        count = min(self.wanted_count, largest_count)
        self.wanted_count, self.requested_ms = 0, now_ms
        return count

    def add_permits(self, now_ms: float, delays_ms: Iterable[float], retry_after_ms: float) -> None:
        """Add the permits that a grantor granted."""
        self.requested_ms = None
        self.retry_at_ms = now_ms + retry_after_ms
        self._permits = deque(sorted([*self._permits, *(now_ms + delay for delay in delays_ms)]))

    def _drop_lapsed_permits(self, now_ms: float) -> None:
        life_ms = max(MIN_PERMIT_LIFE_MS, 1_000.0 / max(self.per_s, MIN_LIMIT_PER_S))
        while self._permits and now_ms >= self._permits[0] + life_ms:
            self._permits.popleft()


def record_stated_limit(
    limit: EndpointLimit, now_ms: float, sent_ms: float, limit_per_s: float
) -> bool:
    """Record what a reply to a request sent at a time states; return whether that is news."""
    # A reply without a limit can have been on its way when another one stated it.
    if limit_per_s == UNLIMITED and sent_ms <= limit.stated_ms:
        return False
    is_news = limit_per_s != limit.per_s
    limit.per_s = limit_per_s
    if limit.is_limited:
        limit.stated_ms = now_ms
    return is_news
