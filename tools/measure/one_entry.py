"""Measure queries through one entry instance with 52 and with 106 searchers."""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import msgspec
import psutil

from pistachioloft_core.codec import encode_json
from pistachioloft_core.messages.public import QueryRequest

from ..cluster.layout import GOLDSEAM, announcements
from ..cluster.processes import Cluster
from ..searcher.behaviour import Behaviour
from ..searcher.host import Order

SERVICE_MS = 5.0
QUERY_COUNT = 300
CONCURRENCIES = (1, 8)
DEADLINE_MS = 2000
HOST_COUNT = 3
SHARD_COUNT = 52


@dataclass(frozen=True, slots=True)
class Measurements:
    """Hold the measurements of one run."""

    searcher_count: int
    concurrency: int
    rate_hz: float
    p50_ms: float
    p99_ms: float
    complete_share: float
    entry_ms: float
    system_ms: float
    memory_mb: float


async def _send_queries(address: str, count: int, concurrency: int) -> tuple[list[float], int]:
    latencies_ms: list[float] = []
    complete_count = 0
    numbers = iter(range(count))
    async with aiohttp.ClientSession() as session:

        async def send_in_turn() -> None:
            nonlocal complete_count
            for number in numbers:
                request = QueryRequest(
                    'restorers', f'{number}', GOLDSEAM.collection, {'q': number}, DEADLINE_MS
                )
                started = time.perf_counter()
                async with session.post(
                    f'http://{address}/v1/query', data=encode_json(request)
                ) as reply:
                    answer = msgspec.json.decode(await reply.read())
                latencies_ms.append((time.perf_counter() - started) * 1000)
                complete_count += answer['result_code'] == 0

        await asyncio.gather(*(send_in_turn() for _ in range(concurrency)))
    return sorted(latencies_ms), complete_count


def _processor_ms(cluster: Cluster) -> dict[str, float]:
    return {
        name: sum(psutil.Process(process.pid).cpu_times()[:2]) * 1000
        for name, process in cluster.daemons.items()
    }


def _idle_ms_per_s(cluster: Cluster) -> dict[str, float]:
    before_ms, started = _processor_ms(cluster), time.monotonic()
    time.sleep(4.0)
    seconds = time.monotonic() - started
    return {name: (ms - before_ms[name]) / seconds for name, ms in _processor_ms(cluster).items()}


def measure(cluster: Cluster, searcher_count: int, concurrency: int) -> Measurements:
    """Measure queries through the entry instance e2."""
    address = cluster.plans['e2'].caller_address
    asyncio.run(_send_queries(address, 40, concurrency))
    idle_ms_per_s = _idle_ms_per_s(cluster)
    before_ms, started = _processor_ms(cluster), time.monotonic()
    latencies_ms, complete_count = asyncio.run(_send_queries(address, QUERY_COUNT, concurrency))
    seconds = time.monotonic() - started
    query_cost_ms = {
        name: (ms - before_ms[name] - idle_ms_per_s[name] * seconds) / QUERY_COUNT
        for name, ms in _processor_ms(cluster).items()
    }
    memory = psutil.Process(cluster.daemons['e2'].pid).memory_info().rss
    return Measurements(
        searcher_count,
        concurrency,
        QUERY_COUNT / seconds,
        latencies_ms[len(latencies_ms) // 2],
        latencies_ms[int(len(latencies_ms) * 0.99)],
        complete_count / QUERY_COUNT,
        query_cost_ms['e2'],
        sum(query_cost_ms.values()),
        memory / 1e6,
    )


def main() -> int:
    """Print a table for both numbers of searchers."""
    print(
        '| searchers | queries at once | queries/s | p50 ms | p99 ms | complete '
        '| entry processor ms a query | all instances, ms a sub-request | memory MB |'
    )
    print('| --- ' * 9 + '|')
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), GOLDSEAM, 6, 3)
        try:
            cluster.initialize()
            cluster.start_all()
            cluster.accept('measure-1')
            cluster.start_searchers(Behaviour(SERVICE_MS), HOST_COUNT)
            all_announcements = announcements(GOLDSEAM)
            cluster.wait(
                lambda: cluster.usable_count('e2') == len(all_announcements), 'the searchers'
            )
            _print_rows(cluster, len(all_announcements))
            killed_endpoints = tuple(
                announcement.endpoint
                for announcement in all_announcements
                if not announcement.endpoint.endswith('-s0')
            )
            cluster.order(Order('kill', killed_endpoints))
            cluster.wait(
                lambda: cluster.usable_count('e2') == SHARD_COUNT, 'the lost searchers to lapse'
            )
            _print_rows(cluster, SHARD_COUNT)
        finally:
            cluster.stop()
    return 0


def _print_rows(cluster: Cluster, searcher_count: int) -> None:
    for concurrency in CONCURRENCIES:
        row = measure(cluster, searcher_count, concurrency)
        print(
            f'| {row.searcher_count} | {row.concurrency} | {row.rate_hz:.1f} | {row.p50_ms:.1f} '
            f'| {row.p99_ms:.1f} | {row.complete_share:.1%} | {row.entry_ms:.1f} '
            f'| {row.system_ms / SHARD_COUNT:.2f} | {row.memory_mb:.0f} |',
            flush=True,
        )


if __name__ == '__main__':
    sys.exit(main())
