"""Measure queries through one entry instance at 52 and 106 searchers."""

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
class Figures:
    """Hold the figures of one run."""

    searcher_count: int
    concurrency: int
    rate_hz: float
    p50_ms: float
    p99_ms: float
    complete_share: float
    entry_ms: float
    system_ms: float
    memory_mb: float


async def _ask(address: str, count: int, concurrency: int) -> tuple[list[float], int]:
    times: list[float] = []
    complete = 0
    numbers = iter(range(count))
    async with aiohttp.ClientSession() as session:

        async def work() -> None:
            nonlocal complete
            for number in numbers:
                request = QueryRequest(
                    'restorers', f'{number}', GOLDSEAM.collection, {'q': number}, DEADLINE_MS
                )
                started = time.perf_counter()
                async with session.post(
                    f'http://{address}/v1/query', data=encode_json(request)
                ) as reply:
                    answer = msgspec.json.decode(await reply.read())
                times.append((time.perf_counter() - started) * 1000)
                complete += answer['result_code'] == 0

        await asyncio.gather(*(work() for _ in range(concurrency)))
    return sorted(times), complete


def _processor_ms(cluster: Cluster) -> dict[str, float]:
    return {
        name: sum(psutil.Process(process.pid).cpu_times()[:2]) * 1000
        for name, process in cluster.daemons.items()
    }


def _idle_ms_per_s(cluster: Cluster) -> dict[str, float]:
    before, started = _processor_ms(cluster), time.monotonic()
    time.sleep(4.0)
    seconds = time.monotonic() - started
    return {name: (ms - before[name]) / seconds for name, ms in _processor_ms(cluster).items()}


def measure(cluster: Cluster, searcher_count: int, concurrency: int) -> Figures:
    """Run one measurement through the entry e2."""
    address = cluster.plans['e2'].caller_address
    asyncio.run(_ask(address, 40, concurrency))
    idle = _idle_ms_per_s(cluster)
    before, started = _processor_ms(cluster), time.monotonic()
    times, complete = asyncio.run(_ask(address, QUERY_COUNT, concurrency))
    seconds = time.monotonic() - started
    used = {
        name: (ms - before[name] - idle[name] * seconds) / QUERY_COUNT
        for name, ms in _processor_ms(cluster).items()
    }
    memory = psutil.Process(cluster.daemons['e2'].pid).memory_info().rss
    return Figures(
        searcher_count,
        concurrency,
        QUERY_COUNT / seconds,
        times[len(times) // 2],
        times[int(len(times) * 0.99)],
        complete / QUERY_COUNT,
        used['e2'],
        sum(used.values()),
        memory / 1e6,
    )


def main() -> int:
    """Print a table for both sizes."""
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
            every = announcements(GOLDSEAM)
            cluster.wait(lambda: cluster.usable_count('e2') == len(every), 'the searchers')
            _print(cluster, len(every))
            first = tuple(each.endpoint for each in every if not each.endpoint.endswith('-s0'))
            cluster.order(Order('kill', first))
            cluster.wait(
                lambda: cluster.usable_count('e2') == SHARD_COUNT, 'the lost searchers to lapse'
            )
            _print(cluster, SHARD_COUNT)
        finally:
            cluster.stop()
    return 0


def _print(cluster: Cluster, searcher_count: int) -> None:
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
