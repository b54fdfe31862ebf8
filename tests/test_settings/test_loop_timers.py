"""Guard the timers of a process against callbacks that fail."""

from __future__ import annotations

import asyncio
from typing import Any

from pistachioloft_daemon.loop_timers import LoopTimers, monotonic_ms


def test_timers_after_a_failed_callback_still_run() -> None:
    """Guard against a process whose timers end with the first fault."""

    async def play() -> None:
        faults: list[Any] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, context: faults.append(context['exception']))
        timers = LoopTimers(loop)
        ran: list[str] = []

        def fail(_now_ms: float) -> None:
            raise KeyError('gone')

        due_ms = monotonic_ms() + 5.0
        timers.at(due_ms, fail)
        timers.at(due_ms, lambda _ms: ran.append('same time'))
        timers.every(10.0, lambda _ms: ran.append('periodic'))
        await asyncio.sleep(0.1)
        assert [type(each) for each in faults] == [KeyError]
        assert 'same time' in ran
        assert ran.count('periodic') > 1

    asyncio.run(play())
