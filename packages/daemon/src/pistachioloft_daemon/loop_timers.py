"""Drive the timer service from the event loop."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from pistachioloft_core.process.timers import (
    TimerCallback,
    TimerService,
    call_at,
    cancel,
    next_due_ms,
    run_due,
    subscribe,
)

if TYPE_CHECKING:
    import asyncio


def monotonic_ms() -> float:
    """Return the milliseconds since boot, including the time in suspend."""
    # CLOCK_MONOTONIC stops during suspend, so a lease measured with it would end too late.
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


def wall_clock_ms() -> int:
    """Return the wall clock in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


class LoopTimers:
    """Hold the timer service and the loop's handle for its next due time."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.service = TimerService()
        self.handle: asyncio.TimerHandle | None = None
        self.handle_due_ms = float('inf')

    def every(self, period_ms: float, callback: TimerCallback) -> int:
        """Subscribe to a periodic call."""
        subscription_id = subscribe(self.service, monotonic_ms(), period_ms, callback)
        self._arm()
        return subscription_id

    def at(self, due_ms: float, callback: TimerCallback) -> int:
        """Subscribe to a single call."""
        subscription_id = call_at(self.service, due_ms, callback)
        self._arm()
        return subscription_id

    def cancel(self, subscription_id: int) -> None:
        """End a subscription."""
        cancel(self.service, subscription_id)

    def _arm(self) -> None:
        due_ms = next_due_ms(self.service)
        if due_ms is None or due_ms >= self.handle_due_ms:
            return
        if self.handle is not None:
            self.handle.cancel()
        self.handle_due_ms = due_ms
        delay_s = max(0.0, due_ms - monotonic_ms()) / 1000.0
        self.handle = self.loop.call_later(delay_s, self._fire)

    def _fire(self) -> None:
        self.handle = None
        self.handle_due_ms = float('inf')
        try:
            run_due(self.service, monotonic_ms())
        finally:
            # The loop logs the exception of a failed callback; the timers after it must still run.
            self._arm()
