"""Estimate the service time of one endpoint and kind of request from recent samples."""

from __future__ import annotations

import math
from collections import deque

WINDOW_SAMPLE_COUNT = 128
SAMPLE_LIFETIME_MS = 30_000.0
REFRESH_SAMPLE_COUNT = 8  # new samples after which the window is sorted again
MIN_SAMPLE_COUNT = 16
# Assumed until there are enough samples; a first reply is then overdue after 1 s.
DEFAULT_P99_MS = 250.0
OVERDUE_FACTOR = 4.0
MIN_OVERDUE_MS = 100.0
MEAN_WEIGHT = 0.1


class ServiceTime:
    """Hold a bounded window of service times."""

    def __init__(self) -> None:
        self.samples: deque[tuple[float, float]] = deque(maxlen=WINDOW_SAMPLE_COUNT)
        self.sorted_ms: list[float] = []
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
    if times.unsorted_count >= REFRESH_SAMPLE_COUNT or len(times.samples) <= REFRESH_SAMPLE_COUNT:
        _sort_samples(times)


def forget_old_samples(times: ServiceTime, now_ms: float) -> None:
    """Drop samples that are older than their lifetime."""
    if not times.samples or times.samples[0][0] >= now_ms - SAMPLE_LIFETIME_MS:
        return
    while times.samples and times.samples[0][0] < now_ms - SAMPLE_LIFETIME_MS:
        times.samples.popleft()
    _sort_samples(times)


def is_learned(times: ServiceTime) -> bool:
    """Return whether the window has enough samples for an estimate."""
    return len(times.sorted_ms) >= MIN_SAMPLE_COUNT


def median_ms(times: ServiceTime) -> float:
    """Return the median of the window, or 0 without samples."""
    return times.sorted_ms[len(times.sorted_ms) // 2] if times.sorted_ms else 0.0


def overdue_ms(times: ServiceTime) -> float:
    """Return the time after which a reply is overdue."""
    if is_learned(times):
        p99_ms = times.sorted_ms[math.ceil(0.99 * len(times.sorted_ms)) - 1]
    else:
        p99_ms = max(DEFAULT_P99_MS, times.sorted_ms[-1] if times.sorted_ms else 0.0)
    return max(MIN_OVERDUE_MS, OVERDUE_FACTOR * p99_ms)


def _sort_samples(times: ServiceTime) -> None:
    times.sorted_ms = sorted(value for _, value in times.samples)
    times.unsorted_count = 0
