"""Guard against callers that wait for a permit for too long, or are served after they left."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.allotments import GRANTED, AllotmentGrant, AllotmentRequest
from pistachioloft_core.messages.fleet import InstanceLocation
from pistachioloft_core.messages.routes import Organisation
from pistachioloft_core.request.routed_state import RoutedState, SharedLimits
from pistachioloft_daemon.allotments import Allotments
from pistachioloft_daemon.loop_timers import LoopTimers, monotonic_ms
from pistachioloft_daemon.metrics import Metrics

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pistachioloft_core.request.attempts import Refuse

EAST = Organisation('east', (), rate_per_s=1.0, burst_count=1.0)
TARGET_MS = 100.0


class AskingInstance:
    """Hold the allotments of an instance whose grantor is another one."""

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.refusals: list[Refuse] = []
        self.events: list[str] = []
        state = RoutedState('asking', 'a', SharedLimits(0.2, 10.0), random.Random(1))
        timers = LoopTimers(asyncio.get_running_loop())
        self.allotments = Allotments(
            state, timers, Metrics(), self._send, lambda _: None, lambda: 0.0
        )
        self.allotments.set_instances(monotonic_ms(), (InstanceLocation('grantor', 'a'),))

    def _send(self, _: str, message: object) -> bool:
        self.sent.append(message)
        return True

    def admit(self) -> Callable[[], None] | None:
        accepted: Any = SimpleNamespace(route=SimpleNamespace(latency_target_ms=TARGET_MS))

        def start() -> Callable[[], None]:
            self.events.append('started')
            return lambda: self.events.append('cancelled')

        return self.allotments.admit(monotonic_ms(), EAST, accepted, start, self.refusals.append)

    def grant(self, count: int) -> None:
        request = self.sent[-1]
        assert isinstance(request, AllotmentRequest)
        self.allotments.on_grant(AllotmentGrant('east', request.number, GRANTED, count))


def run(scenario: Callable[[AskingInstance], Awaitable[None]]) -> None:
    async def run_in_loop() -> None:
        await scenario(AskingInstance())

    asyncio.run(run_in_loop())


def test_request_without_reply_is_refused_before_its_target() -> None:
    """Guard against a caller that waits for a silent grantor, and is served after its refusal."""

    async def scenario(instance: AskingInstance) -> None:
        instance.admit()
        await asyncio.sleep(0.5 * TARGET_MS / 1_000.0)
        assert [refusal.code for refusal in instance.refusals] == [ResultCode.FENCED]
        instance.grant(1)
        assert instance.events == []

    run(scenario)


def test_caller_that_left_is_not_started() -> None:
    """Guard against work for a caller that left while it waited, or after it was started."""

    async def scenario(instance: AskingInstance) -> None:
        cancel = instance.admit()
        assert cancel is not None
        cancel()
        instance.grant(1)
        assert (instance.events, instance.refusals) == ([], [])
        cancel = instance.admit()
        instance.grant(1)
        assert cancel is not None
        cancel()
        assert instance.events == ['started', 'cancelled']

    run(scenario)
