"""Learned service time of one endpoint and kind of request."""

from __future__ import annotations

import math
from collections import deque

WINDOW_SAMPLES = 128
SAMPLE_LIFE_MS = 30_000.0
REFRESH_SAMPLES = 8
MIN_SAMPLES = 16
# Assumed until enough samples are known; makes a first reply overdue after 1 s.
DEFAULT_P99_MS = 250.0
OVERDUE_FACTOR = 4.0
OVERDUE_FLOOR_MS = 100.0
MEAN_WEIGHT = 0.1


class ServiceTime:
    """Hold a bounded window of service times."""

    def __init__(self) -> None:
        self.samples: deque[tuple[float, float]] = deque(maxlen=WINDOW_SAMPLES)
        self.ordered: list[float] = []
        self.unsorted_count = 0
        self.mean_ms = 0.0


def add_sample(times: ServiceTime, now_ms: float, service_ms: float) -> None:
    """Add one measured service time."""
    if times.samples:
        times.mean_ms += MEAN_WEIGHT * (service_ms - times.mean_ms)
    else:
        times.mean_ms = service_ms
    times.samples.append((now_ms, service_ms))
    times.unsorted_count += 1
    if times.unsorted_count >= REFRESH_SAMPLES or len(times.samples) <= REFRESH_SAMPLES:
        _refresh(times)


def forget_old(times: ServiceTime, now_ms: float) -> None:
    """Drop samples that are past their life."""
    if not times.samples or times.samples[0][0] >= now_ms - SAMPLE_LIFE_MS:
        return
    while times.samples and times.samples[0][0] < now_ms - SAMPLE_LIFE_MS:
        times.samples.popleft()
    _refresh(times)


def is_learned(times: ServiceTime) -> bool:
    """Tell whether the window has enough samples to judge by."""
    return len(times.ordered) >= MIN_SAMPLES


def median_ms(times: ServiceTime) -> float:
    """Return the median of the window, or 0 without samples."""
    return times.ordered[len(times.ordered) // 2] if times.ordered else 0.0


def overdue_ms(times: ServiceTime) -> float:
    """Return how long a reply may take before it is overdue."""
    if is_learned(times):
        p99_ms = times.ordered[math.ceil(0.99 * len(times.ordered)) - 1]
    else:
        p99_ms = max(DEFAULT_P99_MS, times.ordered[-1] if times.ordered else 0.0)
    return max(OVERDUE_FLOOR_MS, OVERDUE_FACTOR * p99_ms)


def _refresh(times: ServiceTime) -> None:
    times.ordered = sorted(value for _, value in times.samples)
    times.unsorted_count = 0
