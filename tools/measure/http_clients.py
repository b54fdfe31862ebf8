"""Compare the latency and the processor time of urllib3 and aiohttp for a fan-out."""

from __future__ import annotations

import asyncio
import statistics
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from multiprocessing import get_context

import aiohttp
import urllib3
from aiohttp import web

BODY = b'{"query":"pegs","time_left_ms":100}'
REPEAT_COUNT = 40
WIDTHS = (52, 106, 150)


def _serve(port_pipe) -> None:
    async def answer(request: web.Request) -> web.Response:
        await request.read()
        return web.Response(body=b'{"status":"ok","rows":[]}')

    async def run() -> None:
        app = web.Application()
        app.router.add_post('/v1/search', answer)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        port_pipe.send(site._server.sockets[0].getsockname()[1])
        await asyncio.sleep(120)

    asyncio.run(run())


def measure_urllib3(urls: list[str], width: int) -> tuple[float, float]:
    """Return the median time of a fan-out and the processor time of one call, in ms."""
    pool = urllib3.PoolManager(num_pools=16, maxsize=width, retries=False)
    with ThreadPoolExecutor(width) as threads:

        def call(position: int) -> int:
            return pool.request('POST', urls[position % len(urls)], body=BODY).status

        list(threads.map(call, range(width)))
        started_processor_s, times_s = time.process_time(), []
        for _ in range(REPEAT_COUNT):
            started = time.perf_counter()
            list(threads.map(call, range(width)))
            times_s.append(time.perf_counter() - started)
        processor_s = time.process_time() - started_processor_s
    return statistics.median(times_s) * 1000, processor_s * 1000 / (REPEAT_COUNT * width)


def measure_aiohttp(urls: list[str], width: int) -> tuple[float, float]:
    """Return the median time of a fan-out and the processor time of one call, in ms."""

    async def run() -> tuple[float, float]:
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:

            async def call(position: int) -> None:
                async with session.post(urls[position % len(urls)], data=BODY) as reply:
                    await reply.read()

            await asyncio.gather(*(call(position) for position in range(width)))
            started_processor_s, times_s = time.process_time(), []
            for _ in range(REPEAT_COUNT):
                started = time.perf_counter()
                await asyncio.gather(*(call(position) for position in range(width)))
                times_s.append(time.perf_counter() - started)
            processor_s = time.process_time() - started_processor_s
            return statistics.median(times_s) * 1000, processor_s * 1000 / (REPEAT_COUNT * width)

    return asyncio.run(run())


def main() -> int:
    """Print a table of both clients at the fan-out widths in WIDTHS."""
    context = get_context('spawn')
    urls, servers = [], []
    for _ in range(4):
        receiver, sender = context.Pipe(False)
        server = context.Process(target=_serve, args=(sender,), daemon=True)
        server.start()
        servers.append(server)
        urls.append(f'http://127.0.0.1:{receiver.recv()}/v1/search')
    print('| width | client | median ms | processor ms a call |')
    print('| --- | --- | --- | --- |')
    for width in WIDTHS:
        for name, measure in (('urllib3', measure_urllib3), ('aiohttp', measure_aiohttp)):
            median_ms, call_ms = measure(urls, width)
            print(f'| {width} | {name} | {median_ms:.1f} | {call_ms:.3f} |')
    for server in servers:
        server.terminate()
    return 0


if __name__ == '__main__':
    sys.exit(main())
