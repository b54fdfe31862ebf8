"""Until when it pays to wait for the shards that are still missing."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages.routes import Route

# The time from a due answer to its last byte leaving this process: the timer fires late, and
# the replies are merged and written.
OWN_DELAY_MS = 4.0


def answer_time_ms(route: Route, now_ms: float, spent_ms: float, return_ms: float) -> float:
    """Return when an answer must leave to reach the caller within the latency target."""
    # The caller counts from its first packet: `spent_ms` has passed before the request was
    # here, and the answer takes `return_ms`.
    left_ms = route.latency_target_ms - spent_ms - return_ms - OWN_DELAY_MS
    return now_ms + max(0.0, left_ms)
