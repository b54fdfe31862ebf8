"""Simulated endpoints with slots and a bounded queue that report their load."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pistachioloft_core.connection.endpoint_load import LoadReport
from pistachioloft_core.request.attempts import AttemptEnd, AttemptOutcome

if TYPE_CHECKING:
    from pistachioloft_core.request.attempts import Attempt
    from tests.test_gather.routed_simulation import Reply, Simulation

REFUSAL_MS = 1.0


@dataclass
class QueueingEndpoint:
    """Run requests in order of arrival, and refuse those for which the queue has no room."""

    simulation: Simulation
    service_ms: float = 10.0
    slot_count: int = 2
    queue_limit_count: int = 60
    # From the first to the second time of each pair, no request begins or ends.
    pauses_ms: tuple[tuple[float, float], ...] = ()
    # By route: the time that its requests take as a multiple of the service time.
    work_ratios: dict[str, float] = field(default_factory=dict)
    starts_ms: list[float] = field(default_factory=list)
    ends_ms: list[float] = field(default_factory=list)

    def __call__(self, now_ms: float, attempt: Attempt) -> Reply:
        """Return when the request ends and how."""
        self._forget_ended(now_ms)
        if self._waiting_count(now_ms) >= self.queue_limit_count:
            report = self._report(now_ms)
            return REFUSAL_MS, AttemptEnd(AttemptOutcome.NOT_RUN, 'full', report=report)
        start_ms = now_ms
        if len(self.ends_ms) >= self.slot_count:
            start_ms = max(now_ms, sorted(self.ends_ms)[-self.slot_count])
        service_ms = self.service_ms * self.work_ratios.get(attempt.route.name, 1.0)
        end_ms = start_ms + service_ms * self.simulation.random.uniform(0.5, 1.5)
        for pause_start_ms, pause_end_ms in self.pauses_ms:
            if start_ms < pause_end_ms and end_ms > pause_start_ms:
                end_ms += pause_end_ms - pause_start_ms
        self.starts_ms.append(start_ms)
        self.ends_ms.append(end_ms)
        return end_ms - now_ms, self._answer

    def _answer(self) -> AttemptEnd:
        report = self._report(self.simulation.now_ms)
        return AttemptEnd(AttemptOutcome.ANSWERED, reply='part', report=report)

    def _report(self, now_ms: float) -> LoadReport:
        self._forget_ended(now_ms)
        waiting_count = self._waiting_count(now_ms)
        return LoadReport(len(self.starts_ms) - waiting_count, waiting_count, self.slot_count)

    def _waiting_count(self, now_ms: float) -> int:
        return sum(start_ms > now_ms for start_ms in self.starts_ms)

    def _forget_ended(self, now_ms: float) -> None:
        running = [
            (start_ms, end_ms)
            for start_ms, end_ms in zip(self.starts_ms, self.ends_ms, strict=True)
            if end_ms > now_ms
        ]
        self.starts_ms = [start_ms for start_ms, _ in running]
        self.ends_ms = [end_ms for _, end_ms in running]
