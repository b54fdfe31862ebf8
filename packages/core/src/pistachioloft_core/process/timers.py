"""Timer service with one-shot and periodic timers; an adapter supplies the time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

TimerCallback = Callable[[float], None]


@dataclass(frozen=True, slots=True, order=True)
class TimerEntry:
    """Hold a timer; a period of 0 ms means that it fires once."""

    due_ms: float
    timer_id: int
    period_ms: float = field(compare=False)
    callback: TimerCallback = field(compare=False)


class TimerService:
    """Hold the timers of one process."""

    def __init__(self) -> None:
        self.entries: list[TimerEntry] = []
        self.active_ids: set[int] = set()
        self.timer_ids = itertools.count(1)


def subscribe(
    service: TimerService, now_ms: float, period_ms: float, callback: TimerCallback
) -> int:
    """Call `callback` every `period_ms`, first after one period."""
    return _add(service, now_ms + period_ms, period_ms, callback)


def call_at(service: TimerService, due_ms: float, callback: TimerCallback) -> int:
    """Call `callback` once at `due_ms`."""
    return _add(service, due_ms, 0.0, callback)


def cancel(service: TimerService, timer_id: int) -> None:
    """Cancel a timer; an unknown id is ignored."""
    service.active_ids.discard(timer_id)


def next_due_ms(service: TimerService) -> float | None:
    """Return the earliest due time, or None without timers."""
    while service.entries and service.entries[0].timer_id not in service.active_ids:
        heapq.heappop(service.entries)
    return service.entries[0].due_ms if service.entries else None


def run_due(service: TimerService, now_ms: float) -> int:
    """Run the due callbacks and return their count."""
    ran_count = 0
    while (due_ms := next_due_ms(service)) is not None and due_ms <= now_ms:
        entry = heapq.heappop(service.entries)
        if entry.period_ms > 0:
            # A process that was paused runs one call, not one for each missed period.
            following_ms = max(entry.due_ms + entry.period_ms, now_ms + 1.0)
            heapq.heappush(
                service.entries,
                TimerEntry(following_ms, entry.timer_id, entry.period_ms, entry.callback),
            )
        else:
            service.active_ids.discard(entry.timer_id)
        entry.callback(now_ms)
        ran_count += 1
    return ran_count


def _add(service: TimerService, due_ms: float, period_ms: float, callback: TimerCallback) -> int:
    timer_id = next(service.timer_ids)
    service.active_ids.add(timer_id)
    heapq.heappush(service.entries, TimerEntry(due_ms, timer_id, period_ms, callback))
    return timer_id
