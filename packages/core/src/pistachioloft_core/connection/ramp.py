"""Slow start of an endpoint: its slot limit rises for some time after a cold start."""

from __future__ import annotations

import math

RAMP_MS = 2_000.0


def slot_limit(slot_count: int, ramp_start_ms: float | None, now_ms: float) -> int:
    """Return the number of attempts that may be in flight now."""
    if ramp_start_ms is None or now_ms >= ramp_start_ms + RAMP_MS:
        return slot_count
    elapsed_fraction = max(0.0, now_ms - ramp_start_ms) / RAMP_MS
    return min(slot_count, 1 + int((slot_count - 1) * elapsed_fraction))


def next_step_ms(slot_count: int, ramp_start_ms: float | None, now_ms: float) -> float | None:
    """Return the time at which the slot limit rises next."""
    current_limit = slot_limit(slot_count, ramp_start_ms, now_ms)
    if ramp_start_ms is None or current_limit >= slot_count:
        return None
    # Rounded up, so that the timer does not fire just before the step.
    return ramp_start_ms + math.ceil(current_limit * RAMP_MS / (slot_count - 1))
