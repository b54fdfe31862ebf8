"""Guard callers whose requests still run when an entry instance has to end."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import dataclass
from typing import TYPE_CHECKING

import pytest

from tools.fleet.searcher import ReplyPlan
from tools.fleet.site import ROUTE_HOST, Site

if TYPE_CHECKING:
    from pathlib import Path

RUN_S = 0.9
SPREAD_S = 0.6
CALL_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class RawAnswer:
    """Record what came back on a connection until its end."""

    request_id: str
    data: bytes

    @property
    def is_complete(self) -> bool:
        """Return whether the data is a whole HTTP response."""
        head, separator, body = self.data.partition(b'\r\n\r\n')
        fields = dict(line.lower().split(b': ', 1) for line in head.split(b'\r\n')[1:])
        return bool(separator) and len(body) == int(fields[b'content-length'])


async def call(address: str, method: str, path: str, request_id: str) -> RawAnswer | None:
    """Send a request on a new connection; return None if the connection was refused."""
    host, port = address.rsplit(':', 1)
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return None
    head = f'{method} {path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nContent-Length: 0\r\n'
    head += f'X-Request-Id: {request_id}\r\nX-Deadline-Ms: 4000\r\nConnection: close\r\n\r\n'
    try:
        writer.write(head.encode())
        data = await reader.read(-1)
    except OSError:
        data = b''
    finally:
        writer.close()
    return RawAnswer(request_id, data)


@pytest.mark.parametrize('path', ['/one/x', '/once/x'])
def test_late_requests_of_a_planned_stop_are_answered(tmp_path: Path, path: str) -> None:
    """Guard against requests that are taken late in the grace time and cut at its end."""
    method = 'POST' if path.startswith('/once/') else 'GET'

    async def scenario(site: Site) -> None:
        for number, searcher in enumerate(site.of_service('single')):
            searcher._slots = asyncio.Semaphore(100)
            delay_s = RUN_S + number * SPREAD_S
            searcher.behaviour = lambda _request_id, delay_s=delay_s: ReplyPlan(delay_s=delay_s)  # type: ignore[misc]
        stopping = site.fleet.entries[0]
        address = site.fleet.caller_address(stopping)
        calls: list[asyncio.Task[RawAnswer | None]] = []

        async def send_until(ended: asyncio.Event) -> None:
            while not ended.is_set():
                request_id = f'late{len(calls)}'
                calls.append(asyncio.create_task(call(address, method, path, request_id)))
                await asyncio.sleep(CALL_INTERVAL_S)

        ended = asyncio.Event()
        sending = asyncio.create_task(send_until(ended))
        await asyncio.sleep(1.5)
        site.fleet.signal(stopping, signal.SIGTERM)
        while site.fleet.is_running(stopping):
            await asyncio.sleep(0.05)
        ended.set()
        await sending
        answers = [answer for answer in await asyncio.gather(*calls) if answer is not None]
        passed_on = {
            request.request_id
            for searcher in site.of_service('single')
            for request in searcher.received_requests
        }
        cut = [each for each in answers if each.request_id in passed_on and not each.is_complete]
        assert passed_on
        assert cut == []
        assert site.fleet.processes[stopping.name].wait(5.0) == 0

    async def run() -> None:
        async with Site(tmp_path) as site:
            await site.serving()
            await scenario(site)

    asyncio.run(run())
