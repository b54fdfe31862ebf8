"""Slot limit of an endpoint after a cold start."""

from __future__ import annotations

import math

RAMP_MS = 2_000.0


def slot_limit(slot_count: int, ramp_start_ms: float | None, now_ms: float) -> int:
    """Return how many attempts may be in flight now."""
    if ramp_start_ms is None or now_ms >= ramp_start_ms + RAMP_MS:
        return slot_count
    share = max(0.0, now_ms - ramp_start_ms) / RAMP_MS
    return min(slot_count, 1 + int((slot_count - 1) * share))


def next_step_ms(slot_count: int, ramp_start_ms: float | None, now_ms: float) -> float | None:
    """Return when the slot limit rises next."""
    limit = slot_limit(slot_count, ramp_start_ms, now_ms)
    if ramp_start_ms is None or limit >= slot_count:
        return None
    # Rounding up keeps the wake from falling just before the step.
    return ramp_start_ms + math.ceil(limit * RAMP_MS / (slot_count - 1))
