"""Estimate a varying delay by its mean and its deviation, as TCP does for its timer (RFC 6298)."""

from __future__ import annotations

MEAN_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATION_COUNT = 4.0


class DelayEstimate:
    """Hold the moving mean and deviation of a delay."""

    __slots__ = ('deviation_ms', 'mean_ms')

    def __init__(self, mean_ms: float, deviation_ms: float) -> None:
        self.mean_ms = mean_ms
        self.deviation_ms = deviation_ms

    @property
    def bound_ms(self) -> float:
        """Return the delay that is rarely exceeded: the mean and four deviations."""
        return self.mean_ms + DEVIATION_COUNT * self.deviation_ms

    def record(self, delay_ms: float) -> None:
        """Record one delay."""
        error_ms = delay_ms - self.mean_ms
        self.mean_ms += MEAN_WEIGHT * error_ms
        self.deviation_ms += DEVIATION_WEIGHT * (abs(error_ms) - self.deviation_ms)
