"""Measure announcements, queries and sub-requests on processes at several sizes."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
import time
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp

from pistachioloft_core.codec import encode_json
from pistachioloft_core.messages.public import QueryRequest

from ..cluster.layout import GOLDSEAM, announcements
from ..cluster.processes import Cluster
from ..searcher.behaviour import Behaviour
from .control import read_sample
from .report import percentile, print_table, slope

if TYPE_CHECKING:
    from pistachioloft_core.messages.endpoint import Announcement

INSTANCE_COUNT = 3
SMALL_SERVICE_COUNTS = (25, 75, 150)
HOST_COUNT = 2
IDLE_S = 10.0
SETTLING_S = 4.0
QUERY_COUNT = 60
CALLER_COUNTS = (1, 8)
ANNOUNCE_RATES_HZ = (0, 50, 150)
ANNOUNCE_PERIOD_S = 8.0
DEADLINE_MS = 5_000


@dataclass(frozen=True, slots=True)
class Usage:
    """Hold the resources that all daemons of a cluster used during a period."""

    elapsed_s: float
    processor_s: float
    peer_bytes: float
    resident_bytes: float
    processor_by_name: dict[str, float]


def _is_usable_everywhere(cluster: Cluster, count: int) -> bool:
    for name in cluster.plans:
        status = cluster.status(name, endpoints=True)
        if not status or not status['serving']:
            return False
        if sum(endpoint['usable'] for endpoint in status['endpoints']) < count:
            return False
    return True


def start(folder: Path, small_service_count: int) -> Cluster:
    """Start three instances and wait until every searcher is usable at each of them."""
    site = replace(GOLDSEAM, small_service_count=small_service_count)
    cluster = Cluster(folder, site, INSTANCE_COUNT, INSTANCE_COUNT)
    try:
        _prepare(cluster)
    except BaseException:
        cluster.stop()
        raise
    return cluster


def _prepare(cluster: Cluster) -> None:
    cluster.initialize()
    cluster.start_all()
    cluster.wait(
        lambda: cluster.submit('e1', 'c-1', 0, cluster.configuration())['result_code'] in (4, 5),
        'the configuration',
    )
    cluster.start_searchers(Behaviour(2.0), host_count=HOST_COUNT)
    count = len(announcements(cluster.site))
    cluster.wait(lambda: _is_usable_everywhere(cluster, count), 'the searchers')
    time.sleep(SETTLING_S)


class UsageMeter:
    """Measure the resources that the daemons use after its creation."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.before = {name: read_sample(cluster, name) for name in cluster.plans}

    def read(self) -> Usage:
        """Return the resources used since the creation."""
        after = {name: read_sample(self.cluster, name) for name in self.cluster.plans}
        processor_s_by_name = {n: after[n].processor_s - self.before[n].processor_s for n in after}
        return Usage(
            after['e1'].at_s - self.before['e1'].at_s,
            sum(processor_s_by_name.values()),
            sum(after[n].peer_bytes - self.before[n].peer_bytes for n in after),
            sum(reading.resident_bytes for reading in after.values()) / len(after),
            processor_s_by_name,
        )


async def _send_queries(cluster: Cluster, caller_count: int, partial: list[str]) -> list[float]:
    site = cluster.site
    addresses = [plan.caller_address for plan in cluster.plans.values()]
    latencies_ms: list[float] = []
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:

        async def call(number: int) -> None:
            for sequence in range(QUERY_COUNT // caller_count):
                request = QueryRequest(site.routine_callers[0], f'q{number}-{sequence}',
                                       site.collection, {'text': 'gold'}, DEADLINE_MS)  # fmt: skip
                url = f'http://{addresses[(number + sequence) % len(addresses)]}/v1/query'
                started = time.perf_counter()
                async with session.post(url, data=encode_json(request)) as reply:
                    body: Any = await reply.json()
                if body['result_code'] != 0:
                    partial.append(f'{caller_count} callers: {body["detail"]}')
                latencies_ms.append((time.perf_counter() - started) * 1000)

        await asyncio.gather(*(call(number) for number in range(caller_count)))
    return latencies_ms


def _idle_row(cluster: Cluster, idle_usage: Usage) -> tuple[Any, ...]:
    return (
        len(announcements(cluster.site)),
        idle_usage.processor_s / idle_usage.elapsed_s / INSTANCE_COUNT * 100,
        idle_usage.peer_bytes / idle_usage.elapsed_s / INSTANCE_COUNT / 1000,
        idle_usage.resident_bytes / 2**20,
    )


def _query_row(cluster: Cluster, caller_count: int, idle_usage: Usage) -> tuple[Any, ...]:
    sub_request_count_before = _total_sub_request_count(cluster)
    meter = UsageMeter(cluster)
    partial: list[str] = []
    latencies_ms = asyncio.run(_send_queries(cluster, caller_count, partial))
    query_usage = meter.read()
    sub_request_count = _total_sub_request_count(cluster) - sub_request_count_before
    query_processor_s = (
        query_usage.processor_s
        - idle_usage.processor_s / idle_usage.elapsed_s * query_usage.elapsed_s
    )
    for detail in partial:
        print(f'Incomplete answer: {detail}.')
    return (
        cluster.site.small_service_count + len(cluster.site.shared_services),
        caller_count,
        len(latencies_ms) / query_usage.elapsed_s,
        percentile(latencies_ms, 0.5),
        percentile(latencies_ms, 0.99),
        query_processor_s / len(latencies_ms) * 1000,
        query_processor_s / sub_request_count * 1e6,
        sub_request_count / len(latencies_ms),
        len(partial),
    )


def measure_load(folder: Path) -> None:
    """Print the cost of idle searchers, and of queries by their number of shards."""
    idle_rows: list[tuple[Any, ...]] = []
    query_rows: list[tuple[Any, ...]] = []
    for small_service_count in SMALL_SERVICE_COUNTS:
        cluster = start(folder / f'load-{small_service_count}', small_service_count)
        try:
            meter = UsageMeter(cluster)
            time.sleep(IDLE_S)
            idle_usage = meter.read()
            idle_rows.append(_idle_row(cluster, idle_usage))
            query_rows += [
                _query_row(cluster, caller_count, idle_usage) for caller_count in CALLER_COUNTS
            ]
        finally:
            cluster.stop()
    idle_names = ('searchers', '% of a core a daemon', 'KB/s a daemon', 'MB a daemon')
    print_table('Searchers that announce themselves every second, no query, 3 instances',
                idle_names, idle_rows)  # fmt: skip
    for column, text in ((1, '% of a core'), (2, 'KB/s'), (3, 'MB')):
        slope_value = slope([row[0] for row in idle_rows], [row[column] for row in idle_rows])
        print(f'\nSlope for each searcher: {slope_value:.4f} {text} a daemon.')
    busy_names = (
        'shards', 'callers', 'queries/s', 'median ms', '99th percentile ms', 'daemons ms a query',
        'daemons µs a sub-request', 'sub-requests a query',
        'answers not whole',
    )  # fmt: skip
    print_table(
        'Queries on 3 instances, all daemons together, idle cost taken off', busy_names, query_rows
    )
    for caller_count in CALLER_COUNTS:
        rows = [row for row in query_rows if row[1] == caller_count]
        slope_value = slope([row[0] for row in rows], [row[5] for row in rows])
        print(
            f'\nSlope with {caller_count} callers: {slope_value * 1000:.0f} µs '
            'for each further shard.'
        )


def _total_sub_request_count(cluster: Cluster) -> float:
    total = 0.0
    for plan in cluster.plans.values():
        text = cluster.http.request('GET', f'http://{plan.operator_address}/metrics').data.decode()
        for line in text.splitlines():
            if 'sub_requests' in line and not line.startswith('#'):
                total += float(line.split()[-1])
    return total


async def _announce(address: str, template: Announcement, rate_hz: int) -> int:
    sent_count = 0
    end_at_s = time.monotonic() + ANNOUNCE_PERIOD_S
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < end_at_s:
            started = time.monotonic()
            if rate_hz:
                message = replace(template, sequence=sent_count + 1_000_000)
                url = f'http://{address}/v1/announce'
                async with session.post(url, data=encode_json(message)) as reply:
                    await reply.read()
                sent_count += 1
            await asyncio.sleep(max(0.0, started + 1.0 / max(rate_hz, 1) - time.monotonic()))
    return sent_count


def measure_announcements(folder: Path) -> None:
    """Print the cost of announcements at the receiving instance and the others, by rate."""
    cluster = start(folder / 'face', 25)
    rows, receiving_shares, other_shares = [], [], []
    rates_hz = []
    try:
        # No searcher process serves this endpoint, so nothing else renews it.
        template = replace(announcements(cluster.site)[0], endpoint='announced',
                           address=cluster.admin_addresses[0], holdings=())  # fmt: skip
        for rate_hz in ANNOUNCE_RATES_HZ:
            meter = UsageMeter(cluster)
            sent_count = asyncio.run(
                _announce(cluster.plans['e3'].caller_address, template, rate_hz)
            )
            usage = meter.read()
            rates_hz.append(sent_count / usage.elapsed_s)
            receiving_shares.append(usage.processor_by_name['e3'] / usage.elapsed_s)
            other_processor_s = [usage.processor_by_name[name] for name in ('e1', 'e2')]
            other_shares.append(sum(other_processor_s) / 2 / usage.elapsed_s)
            rows.append((rates_hz[-1], receiving_shares[-1] * 100, other_shares[-1] * 100))
    finally:
        cluster.stop()
    names = ('announcements/s', 'taking instance % of a core', 'each other % of a core')
    print_table('Announcements of one endpoint over HTTP to one of 3 instances', names, rows)
    print(f'\nSlope: {slope(rates_hz, receiving_shares) * 1e6:.0f} µs an announcement '
          'at the taking instance, '
          f'{slope(rates_hz, other_shares) * 1e6:.0f} µs at each other.')  # fmt: skip


PARTS = {'load': measure_load, 'face': measure_announcements}


def main() -> int:
    """Print the tables of the selected parts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--part', action='append', choices=tuple(PARTS))
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        for name in options.part or PARTS:
            PARTS[name](Path(folder))
    return 0


if __name__ == '__main__':
    sys.exit(main())
