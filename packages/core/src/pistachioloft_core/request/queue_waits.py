"""Estimate how long sub-requests wait in the queues of the shards' endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..connection.endpoint_load import EndpointLoad, LoadReport

# A queue changes within a few service times; an older observation says nothing about it.
SAMPLE_LIFETIME_MS = 400.0
# Weight of the newest reply in the service time.
SERVICE_TIME_WEIGHT = 0.05


class QueueWaits:
    """Hold the last observed queue wait of each shard, and the service time without a queue."""

    __slots__ = ('_samples', 'service_ms')

    def __init__(self) -> None:
        # By service: the wait and the time of the observation, in ms.
        self._samples: dict[str, tuple[float, float]] = {}
        # Mean over the sub-requests of all queries, 0 until it is measured.
        self.service_ms = 0.0

    def record(self, service: str, now_ms: float, wait_ms: float) -> None:
        """Record the queue wait of a shard's endpoint."""
        self._samples[service] = (wait_ms, now_ms)

    def record_longer(self, service: str, now_ms: float, wait_ms: float) -> None:
        """Record a lower bound of the queue wait unless a longer one was observed."""
        if wait_ms > self.wait_ms(service, now_ms):
            self.record(service, now_ms, wait_ms)

    def wait_ms(self, service: str, now_ms: float) -> float:
        """Return the last observed wait of a shard, 0 if there is no recent one."""
        wait_ms, observed_ms = self._samples.get(service, (0.0, float('-inf')))
        return wait_ms if now_ms - observed_ms < SAMPLE_LIFETIME_MS else 0.0

    def forget_services(self, current_services: frozenset[str]) -> None:
        """Drop the shards that no route queries any more."""
        for service in [name for name in self._samples if name not in current_services]:
            del self._samples[service]


def record_load_report(
    waits: QueueWaits, now_ms: float, load: EndpointLoad, report: LoadReport, held_ms: float
) -> None:
    """Record the queue that an endpoint reports, and the wait for a connection to it."""
    queued_work_ms = report.waiting_count * waits.service_ms * max(1.0, load.slowness(now_ms))
    waits.record(load.record.service, now_ms, queued_work_ms / report.slot_count + held_ms)


def record_service_time(waits: QueueWaits, latency_ms: float) -> None:
    """Record the latency of a sub-request whose endpoint reports no queue."""
    if waits.service_ms <= 0.0:
        waits.service_ms = latency_ms
    else:
        waits.service_ms += SERVICE_TIME_WEIGHT * (latency_ms - waits.service_ms)


def record_withdrawn(
    waits: QueueWaits, now_ms: float, load: EndpointLoad, started_ms: float, age_ms: float
) -> None:
    """Record the age of a withdrawn sub-request as queue wait if the endpoint replied meanwhile."""
    if load.replied_ms > started_ms and waits.service_ms > 0.0:
        wait_ms = age_ms - waits.service_ms * max(1.0, load.slowness(now_ms))
        waits.record_longer(load.record.service, now_ms, wait_ms)
