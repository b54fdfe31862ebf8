"""Estimate how long sub-requests wait in the queues of the shards' endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..connection.endpoint_load import EndpointLoad, LoadReport
    from ..messages.routes import Route

# A queue changes within a few service times; an older observation says nothing about it.
SAMPLE_LIFETIME_MS = 400.0
# Weight of the newest reply in the service time.
SERVICE_TIME_WEIGHT = 0.05
# The least time of a route rises by this factor with each attempt that takes longer, so that a
# long pause of this process hardly changes it.
LEAST_TIME_GROWTH = 1.01
# The least time of a route says nothing once it is this old: requests must be able to measure it.
LEAST_TIME_LIFETIME_MS = 1_000.0
# The shards of queries are alike, so they have one mean.
QUERIES_KEY = ''


class QueueWaits:
    """Hold the last observed queue waits of each shard, and the service time without a queue."""

    __slots__ = ('_holds', '_least_ms', '_samples', '_service_ms', '_work_ms')

    def __init__(self) -> None:
        # By service and source, an endpoint or a helper: the wait and its time, in ms.
        self._samples: dict[str, dict[str, tuple[float, float]]] = {}
        # By service: how long sub-requests were held here, and when.
        self._holds: dict[str, tuple[float, float]] = {}
        # Mean of the attempts of all queries, by service of the others.
        self._service_ms: dict[str, float] = {}
        # The same by route.
        self._work_ms: dict[str, float] = {}
        # By route: the least time of recent attempts, and when the last of them ended.
        self._least_ms: dict[str, tuple[float, float]] = {}

    def record(self, service: str, source: str, now_ms: float, wait_ms: float) -> None:
        """Record the queue wait of a shard that an endpoint or a helper reports."""
        self._samples.setdefault(service, {})[source] = (wait_ms, now_ms)

    def record_hold(self, service: str, now_ms: float, held_ms: float) -> None:
        """Record how long a sub-request has waited here for a connection to any endpoint."""
        self._holds[service] = (held_ms, now_ms)

    def wait_ms(self, service: str, now_ms: float) -> float:
        """Return the last wait of a shard at its least busy endpoint, 0 if none is recent."""
        samples = self._samples.get(service, {}).values()
        queued_ms = min((wait for wait, at in samples if _is_recent(at, now_ms)), default=0.0)
        held_ms, observed_ms = self._holds.get(service, (0.0, float('-inf')))
        return queued_ms + (held_ms if _is_recent(observed_ms, now_ms) else 0.0)

    def source_wait_ms(self, service: str, source: str, now_ms: float) -> float:
        """Return the last wait that one endpoint or helper reported, 0 if it is not recent."""
        wait_ms, observed_ms = self._samples.get(service, {}).get(source, (0.0, float('-inf')))
        return wait_ms if _is_recent(observed_ms, now_ms) else 0.0

    def service_ms(self, route: Route, service: str) -> float:
        """Return the mean time that an attempt takes without a queue, 0 until it is measured."""
        return self._service_ms.get(_service_key(route, service), 0.0)

    def route_service_ms(self, route_name: str) -> float:
        """Return the mean time of a route's attempts without a queue, 0 until it is measured."""
        return self._work_ms.get(route_name, 0.0)

    def least_route_ms(self, route_name: str, now_ms: float) -> float:
        """Return the least time that a route's attempts took lately, 0 if none ended lately."""
        least_ms, observed_ms = self._least_ms.get(route_name, (0.0, float('-inf')))
        return least_ms if now_ms - observed_ms < LEAST_TIME_LIFETIME_MS else 0.0

    def record_service_time(
        self, now_ms: float, route: Route, service: str, latency_ms: float
    ) -> None:
        """Record the latency of an attempt whose endpoint reports no queue."""
        _move_mean(self._service_ms, _service_key(route, service), latency_ms)
        _move_mean(self._work_ms, route.name, latency_ms)
        least_ms, _ = self._least_ms.get(route.name, (latency_ms, now_ms))
        self._least_ms[route.name] = (min(latency_ms, least_ms * LEAST_TIME_GROWTH), now_ms)

    def forget_routes(self, current_routes: Collection[str]) -> None:
        """Drop the routes that do not exist any more."""
        for name in [name for name in self._work_ms if name not in current_routes]:
            del self._work_ms[name]
        for name in [name for name in self._least_ms if name not in current_routes]:
            del self._least_ms[name]

    def forget_services(self, current_services: frozenset[str]) -> None:
        """Drop the services that no route uses any more."""
        for service in [name for name in self._service_ms if name not in current_services]:
            if service != QUERIES_KEY:
                del self._service_ms[service]
        for service in [name for name in self._samples if name not in current_services]:
            del self._samples[service]
        for service in [name for name in self._holds if name not in current_services]:
            del self._holds[service]

    def forget_old_samples(self, now_ms: float) -> None:
        """Drop samples that are not used any more, such as those of endpoints that left."""
        for samples in self._samples.values():
            for source in [
                name for name, (_, at_ms) in samples.items() if not _is_recent(at_ms, now_ms)
            ]:
                del samples[source]


def record_load_report(
    waits: QueueWaits, now_ms: float, route: Route, load: EndpointLoad, report: LoadReport
) -> None:
    """Record the queue that an endpoint reports with a reply."""
    record = load.record
    service_ms = waits.service_ms(route, record.service) * max(1.0, load.slowness(now_ms))
    queued_work_ms = report.waiting_count * service_ms
    waits.record(record.service, record.endpoint, now_ms, queued_work_ms / report.slot_count)


def record_withdrawn(
    waits: QueueWaits, now_ms: float, route: Route, load: EndpointLoad, age_ms: float
) -> None:
    """Record the age of a withdrawn attempt as queue wait; its endpoint replied to others."""
    record = load.record
    service_ms = waits.service_ms(route, record.service)
    if service_ms > 0.0:
        wait_ms = age_ms - service_ms * max(1.0, load.slowness(now_ms))
        if wait_ms > waits.source_wait_ms(record.service, record.endpoint, now_ms):
            waits.record(record.service, record.endpoint, now_ms, wait_ms)


def _service_key(route: Route, service: str) -> str:
    return QUERIES_KEY if route.gather is not None else service


def _move_mean(means_ms: dict[str, float], key: str, sample_ms: float) -> None:
    mean_ms = means_ms.get(key, sample_ms)
    means_ms[key] = mean_ms + SERVICE_TIME_WEIGHT * (sample_ms - mean_ms)


def _is_recent(at_ms: float, now_ms: float) -> bool:
    return now_ms - at_ms < SAMPLE_LIFETIME_MS
