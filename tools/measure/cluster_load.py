"""Measure announcements, queries and sub-requests on real processes at several sizes."""

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
SMALL_COUNTS = (25, 75, 150)
HOST_COUNT = 2
IDLE_S = 10.0
SETTLE_S = 4.0
QUERY_COUNT = 60
CALLER_COUNTS = (1, 8)
FACE_RATES = (0, 50, 150)
FACE_S = 8.0
DEADLINE_MS = 5_000


@dataclass(frozen=True, slots=True)
class Spent:
    """Hold what all daemons of a cluster used in a while."""

    elapsed_s: float
    processor_s: float
    peer_bytes: float
    resident_bytes: float
    processor_by_name: dict[str, float]


def _everywhere(cluster: Cluster, count: int) -> bool:
    for name in cluster.plans:
        status = cluster.status(name, endpoints=True)
        if not status or not status['serving']:
            return False
        if sum(each['usable'] for each in status['endpoints']) < count:
            return False
    return True


def start(folder: Path, small_service_count: int) -> Cluster:
    """Start three instances with all searchers of a size known everywhere."""
    site = replace(GOLDSEAM, small_service_count=small_service_count)
    cluster = Cluster(folder, site, INSTANCE_COUNT, INSTANCE_COUNT)
    try:
        _prepare(cluster)
    except BaseException:
        cluster.stop()
        raise
    return cluster


def _prepare(cluster: Cluster) -> None:
    cluster.initialise()
    cluster.start_all()
    cluster.wait(
        lambda: cluster.submit('e1', 'c-1', 0, cluster.configuration())['result_code'] in (4, 5),
        'the configuration',
    )
    cluster.start_searchers(Behaviour(2.0), host_count=HOST_COUNT)
    count = len(announcements(cluster.site))
    cluster.wait(lambda: _everywhere(cluster, count), 'the searchers')
    time.sleep(SETTLE_S)


class Meter:
    """Measure what the daemons use from its creation on."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.before = {name: read_sample(cluster, name) for name in cluster.plans}

    def read(self) -> Spent:
        """Return what was used since the creation."""
        after = {name: read_sample(self.cluster, name) for name in self.cluster.plans}
        by_name = {n: after[n].processor_s - self.before[n].processor_s for n in after}
        return Spent(
            after['e1'].at_s - self.before['e1'].at_s,
            sum(by_name.values()),
            sum(after[n].peer_bytes - self.before[n].peer_bytes for n in after),
            sum(each.resident_bytes for each in after.values()) / len(after),
            by_name,
        )


async def _queries(cluster: Cluster, callers: int, partial: list[str]) -> list[float]:
    site = cluster.site
    addresses = [plan.caller_address for plan in cluster.plans.values()]
    times: list[float] = []
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:

        async def call(number: int) -> None:
            for sequence in range(QUERY_COUNT // callers):
                request = QueryRequest(site.routine_callers[0], f'q{number}-{sequence}',
                                       site.collection, {'text': 'gold'}, DEADLINE_MS)  # fmt: skip
                url = f'http://{addresses[(number + sequence) % len(addresses)]}/v1/query'
                started = time.perf_counter()
                async with session.post(url, data=encode_json(request)) as reply:
                    body: Any = await reply.json()
                if body['result_code'] != 0:
                    partial.append(f'{callers} callers: {body["detail"]}')
                times.append((time.perf_counter() - started) * 1000)

        await asyncio.gather(*(call(number) for number in range(callers)))
    return times


def _idle_row(cluster: Cluster, rest: Spent) -> tuple[Any, ...]:
    return (
        len(announcements(cluster.site)),
        rest.processor_s / rest.elapsed_s / INSTANCE_COUNT * 100,
        rest.peer_bytes / rest.elapsed_s / INSTANCE_COUNT / 1000,
        rest.resident_bytes / 2**20,
    )


def _query_row(cluster: Cluster, callers: int, rest: Spent) -> tuple[Any, ...]:
    requests_before = _sub_requests(cluster)
    meter = Meter(cluster)
    partial: list[str] = []
    times = asyncio.run(_queries(cluster, callers, partial))
    used = meter.read()
    sub_requests = _sub_requests(cluster) - requests_before
    extra_s = used.processor_s - rest.processor_s / rest.elapsed_s * used.elapsed_s
    for each in partial:
        print(f'Not whole: {each}.')
    return (
        cluster.site.small_service_count + len(cluster.site.shared_services),
        callers,
        len(times) / used.elapsed_s,
        percentile(times, 0.5),
        percentile(times, 0.99),
        extra_s / len(times) * 1000,
        extra_s / sub_requests * 1e6,
        sub_requests / len(times),
        len(partial),
    )


def measure_load(folder: Path) -> None:
    """Print what searchers cost when idle, and queries by their number of shards."""
    idle: list[tuple[Any, ...]] = []
    busy: list[tuple[Any, ...]] = []
    for small_service_count in SMALL_COUNTS:
        cluster = start(folder / f'load-{small_service_count}', small_service_count)
        try:
            meter = Meter(cluster)
            time.sleep(IDLE_S)
            rest = meter.read()
            idle.append(_idle_row(cluster, rest))
            busy += [_query_row(cluster, callers, rest) for callers in CALLER_COUNTS]
        finally:
            cluster.stop()
    idle_names = ('searchers', '% of a core a daemon', 'KB/s a daemon', 'MB a daemon')
    print_table('Searchers that announce themselves every second, no query, 3 instances',
                idle_names, idle)  # fmt: skip
    for place, text in ((1, '% of a core'), (2, 'KB/s'), (3, 'MB')):
        line = slope([row[0] for row in idle], [row[place] for row in idle])
        print(f'\nSlope for each searcher: {line:.4f} {text} a daemon.')
    busy_names = (
        'shards', 'callers', 'queries/s', 'median ms', '99th percentile ms', 'daemons ms a query',
        'daemons µs a sub-request', 'sub-requests a query',
        'answers not whole',
    )  # fmt: skip
    print_table(
        'Queries on 3 instances, all daemons together, idle cost taken off', busy_names, busy
    )
    for callers in CALLER_COUNTS:
        rows = [row for row in busy if row[1] == callers]
        line = slope([row[0] for row in rows], [row[5] for row in rows])
        print(f'\nSlope with {callers} callers: {line * 1000:.0f} µs for each further shard.')


def _sub_requests(cluster: Cluster) -> float:
    total = 0.0
    for plan in cluster.plans.values():
        text = cluster.http.request('GET', f'http://{plan.operator_address}/metrics').data.decode()
        for line in text.splitlines():
            if 'sub_requests' in line and not line.startswith('#'):
                total += float(line.split()[-1])
    return total


async def _announce(address: str, template: Announcement, rate: int) -> int:
    sent = 0
    end_s = time.monotonic() + FACE_S
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < end_s:
            started = time.monotonic()
            if rate:
                message = replace(template, sequence=sent + 1_000_000)
                url = f'http://{address}/v1/announce'
                async with session.post(url, data=encode_json(message)) as reply:
                    await reply.read()
                sent += 1
            await asyncio.sleep(max(0.0, started + 1.0 / max(rate, 1) - time.monotonic()))
    return sent


def measure_face(folder: Path) -> None:
    """Print what announcements cost the taking instance and the others, by their rate."""
    cluster = start(folder / 'face', 25)
    rows, takers, others = [], [], []
    rates = []
    try:
        # The endpoint is known to no searcher process, so nothing else renews it.
        template = replace(announcements(cluster.site)[0], endpoint='announced',
                           address=cluster.admin_addresses[0], holdings=())  # fmt: skip
        for rate in FACE_RATES:
            meter = Meter(cluster)
            sent = asyncio.run(_announce(cluster.plans['e3'].caller_address, template, rate))
            used = meter.read()
            rates.append(sent / used.elapsed_s)
            takers.append(used.processor_by_name['e3'] / used.elapsed_s)
            rest = [used.processor_by_name[name] for name in ('e1', 'e2')]
            others.append(sum(rest) / 2 / used.elapsed_s)
            rows.append((rates[-1], takers[-1] * 100, others[-1] * 100))
    finally:
        cluster.stop()
    names = ('announcements/s', 'taking instance % of a core', 'each other % of a core')
    print_table('Announcements of one endpoint over HTTP to one of 3 instances', names, rows)
    print(f'\nSlope: {slope(rates, takers) * 1e6:.0f} µs an announcement at the taking instance, '
          f'{slope(rates, others) * 1e6:.0f} µs at each other.')  # fmt: skip


PARTS = {'load': measure_load, 'face': measure_face}


def main() -> int:
    """Print the tables of the wanted parts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--part', action='append', choices=tuple(PARTS))
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        for name in options.part or PARTS:
            PARTS[name](Path(folder))
    return 0


if __name__ == '__main__':
    sys.exit(main())
