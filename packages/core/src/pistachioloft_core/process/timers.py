"""A timer service that parts subscribe to; the adapter or a test supplies the time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

TimerCallback = Callable[[float], None]


@dataclass(frozen=True, slots=True, order=True)
class TimerEntry:
    """Hold one due time; a period of 0 ms means that it fires once."""

    due_ms: float
    number: int
    period_ms: float = field(compare=False)
    callback: TimerCallback = field(compare=False)


class TimerService:
    """Keep the subscriptions and the due times of one process."""

    def __init__(self) -> None:
        self.entries: list[TimerEntry] = []
        self.active: set[int] = set()
        self.numbers = itertools.count(1)


def subscribe(
    service: TimerService, now_ms: float, period_ms: float, callback: TimerCallback
) -> int:
    """Call `callback` every `period_ms`, first after one period."""
    return _add(service, now_ms + period_ms, period_ms, callback)


def call_at(service: TimerService, due_ms: float, callback: TimerCallback) -> int:
    """Call `callback` once at `due_ms`."""
    return _add(service, due_ms, 0.0, callback)


def cancel(service: TimerService, number: int) -> None:
    """End a subscription; an unknown number is ignored."""
    service.active.discard(number)


def next_due_ms(service: TimerService) -> float | None:
    """Return the earliest due time."""
    while service.entries and service.entries[0].number not in service.active:
        heapq.heappop(service.entries)
    return service.entries[0].due_ms if service.entries else None


def run_due(service: TimerService, now_ms: float) -> int:
    """Run what is due and return how many callbacks ran."""
    ran_count = 0
    while (due_ms := next_due_ms(service)) is not None and due_ms <= now_ms:
        entry = heapq.heappop(service.entries)
        if entry.period_ms > 0:
            # A process that was paused catches up with one call, not with one per missed period.
            following_ms = max(entry.due_ms + entry.period_ms, now_ms + 1.0)
            heapq.heappush(
                service.entries,
                TimerEntry(following_ms, entry.number, entry.period_ms, entry.callback),
            )
        else:
            service.active.discard(entry.number)
        entry.callback(now_ms)
        ran_count += 1
    return ran_count


def _add(service: TimerService, due_ms: float, period_ms: float, callback: TimerCallback) -> int:
    number = next(service.numbers)
    service.active.add(number)
    heapq.heappush(service.entries, TimerEntry(due_ms, number, period_ms, callback))
    return number
