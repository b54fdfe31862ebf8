"""Order the attempts that wait for a connection to an endpoint."""

from __future__ import annotations

from dataclasses import dataclass

# Load: attempts of several kinds wait for few connections. First come, first served, the urgent
# ones wait for those that have time.

# An attempt that has waited for this fraction of its latency target goes before all that have not,
# whatever its priority, so that none waits without end.
MAX_WAIT_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class QueuedWork:
    """Describe an attempt that waits; priority 0 is the highest."""

    priority: int
    queued_ms: float
    deadline_at_ms: float
    latency_target_ms: float


def waiting_rank(now_ms: float, work: QueuedWork) -> tuple[bool, float, float]:
    """Return the rank of a waiting attempt, the lowest of which goes first."""
    if now_ms - work.queued_ms >= MAX_WAIT_RATIO * work.latency_target_ms:
        return False, work.queued_ms, work.deadline_at_ms
    return True, work.priority, work.deadline_at_ms
