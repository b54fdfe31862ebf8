"""Guard against timers that a failed callback stops."""

from __future__ import annotations

import asyncio
from typing import Any

from pistachioloft_daemon.loop_timers import LoopTimers, monotonic_ms


def test_timers_after_a_failed_callback_still_run() -> None:
    """Guard against a loop handle that isn't armed again after a callback raised an exception."""

    async def run_timers() -> None:
        exceptions: list[Any] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, context: exceptions.append(context['exception']))
        timers = LoopTimers(loop)
        calls: list[str] = []

        def raise_error(_now_ms: float) -> None:
            raise KeyError('gone')

        due_ms = monotonic_ms() + 5.0
        timers.at(due_ms, raise_error)
        timers.at(due_ms, lambda _ms: calls.append('same time'))
        timers.every(10.0, lambda _ms: calls.append('periodic'))
        await asyncio.sleep(0.1)
        assert [type(exception) for exception in exceptions] == [KeyError]
        assert 'same time' in calls
        assert calls.count('periodic') > 1

    asyncio.run(run_timers())
