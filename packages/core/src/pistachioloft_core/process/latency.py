"""Latency of each service, learned from a bounded window of samples."""

from __future__ import annotations

# A window of 256 samples follows a change of load within seconds and is sorted in 20 us.
WINDOW_SAMPLE_COUNT = 256
# Sorting after each sample would cost more than adding it, and percentiles change slowly.
RECOMPUTE_INTERVAL_COUNT = 32
# Below this count a 95th percentile is only the largest sample.
MIN_SAMPLE_COUNT = 20
# Defaults until there are enough samples. The slowest link and service of the platform take about
# 15 ms, so a hedge after 30 ms is sent for a late sub-request only.
DEFAULT_P95_MS = 30.0
DEFAULT_MEDIAN_MS = 10.0
# Lower bound of the 95th percentile as a multiple of the median. Where nearly all replies take
# equally long, one in 20 exceeds the percentile without being late, and hedging these would spend
# the budget that stragglers need.
MIN_P95_FACTOR = 1.25


class ServiceLatency:
    """Hold the recent latencies of one service."""

    __slots__ = (
        '_next_index',
        '_ordered',
        '_samples',
        '_samples_since_sort',
        'median_ms',
        'p95_ms',
    )

    def __init__(self) -> None:
        self._samples: list[float] = []
        self._ordered: list[float] = []
        self._next_index = 0
        self._samples_since_sort = 0
        self.median_ms = DEFAULT_MEDIAN_MS
        self.p95_ms = DEFAULT_P95_MS

    @property
    def is_learned(self) -> bool:
        """Return whether there are enough samples for the percentiles."""
        return len(self._samples) >= MIN_SAMPLE_COUNT

    def quantile_ms(self, quantile: float) -> float:
        """Return the latency that a fraction `quantile` of the samples does not exceed."""
        count = len(self._ordered)
        return self._ordered[min(count - 1, int(count * quantile))] if count else DEFAULT_MEDIAN_MS

    def add(self, latency_ms: float) -> None:
        """Add one sample, replacing the oldest when the window is full."""
        if len(self._samples) < WINDOW_SAMPLE_COUNT:
            self._samples.append(latency_ms)
        else:
            self._samples[self._next_index] = latency_ms
            self._next_index = (self._next_index + 1) % WINDOW_SAMPLE_COUNT
        self._samples_since_sort += 1
        count = len(self._samples)
        if count == MIN_SAMPLE_COUNT or (
            self._samples_since_sort >= RECOMPUTE_INTERVAL_COUNT and count > MIN_SAMPLE_COUNT
        ):
            self._samples_since_sort = 0
            ordered = self._ordered = sorted(self._samples)
            self.median_ms = ordered[count // 2]
            p95_ms = ordered[min(count - 1, (count * 95) // 100)]
            self.p95_ms = max(p95_ms, MIN_P95_FACTOR * self.median_ms)


class LatencyState:
    """Hold the learned latency of each service."""

    __slots__ = ('services',)

    def __init__(self) -> None:
        self.services: dict[str, ServiceLatency] = {}


def service_latency(state: LatencyState, service: str) -> ServiceLatency:
    """Return the learned latency of a service."""
    latency = state.services.get(service)
    if latency is None:
        latency = state.services[service] = ServiceLatency()
    return latency


def forget_services(state: LatencyState, current_services: frozenset[str]) -> None:
    """Drop services that the inventory no longer has."""
    for service in [name for name in state.services if name not in current_services]:
        del state.services[service]
