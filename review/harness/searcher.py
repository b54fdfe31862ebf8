"""A sound searcher of one service: it runs requests, announces itself and leaves."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .wire import call_any, cancelled, read_head

if TYPE_CHECKING:
    from collections.abc import Callable

HEARTBEAT_S = 1.2
RESTART_S = 2.0
_stamp_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True)
class Arrival:
    """Record one request that a searcher received."""

    at_s: float
    request_id: str
    sender_ip: str
    ran: bool
    target: str
    body: bytes


class Searcher:
    """Hold one searcher with its connections and the requests that it received."""

    def __init__(
        self,
        endpoint: str,
        service: str,
        zone: str,
        ip: str,
        controls: list[str],
        note: Callable[[str], None],
    ) -> None:
        self.endpoint, self.service, self.zone, self.ip = endpoint, service, zone, ip
        self.controls, self.note = controls, note
        self.address = ''
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = 'ready'
        self.work_s = 0.02
        self.slot_count = 4
        self.running_count = 0
        self.arrivals: list[Arrival] = []
        # A request for this target crashes the searcher, which is back after some seconds.
        self.crashing_target = ''
        # How long such a request runs before that, and whether the end of its connection stops it.
        self.crashes_after_s = 0.0
        self.drops_closed = False
        self.crash_times_s: list[float] = []
        self._restart: asyncio.Task[None] | None = None
        self._slots = asyncio.Semaphore(self.slot_count)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and begin to announce this searcher."""
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        self.address = f'{self.ip}:{self._server.sockets[0].getsockname()[1]}'
        self._beats = asyncio.create_task(self._announce_regularly())

    async def exit(self) -> None:
        """End: close the address and all connections."""
        if self._restart is not None:
            await cancelled(self._restart)
        await self._stop()

    def crash(self) -> None:
        """End at once, and start again as another boot after some seconds."""
        self.crash_times_s.append(time.monotonic())
        self.note(f'{self.endpoint} crashes')
        # The end of a process closes its address and all of its connections together.
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._restart = asyncio.create_task(self._restart_later())

    async def _restart_later(self) -> None:
        await self._stop()
        await asyncio.sleep(RESTART_S)
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self.endpoint = f'{self.endpoint.split("+")[0]}+{len(self.crash_times_s)}'
        await self.start()

    async def _stop(self) -> None:
        if self._beats is not None:
            await cancelled(self._beats)
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def leave(self, control: str) -> int:
        """Tell one core machine that this searcher is gone, and return the status."""
        if self._beats is not None:
            await cancelled(self._beats)
        document = {'born': self.born_ms}
        _, answer = await call_any([control], 'DELETE', f'/-/instances/{self.endpoint}', document)
        return answer.status

    async def _announce_regularly(self) -> None:
        for turn in itertools.count():
            self.sequence += 1
            first = turn % len(self.controls)
            order = self.controls[first:] + self.controls[:first]
            document = {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slot_count,
                'state': self.state,
                'coldLeftMs': 0,
                'seq': self.sequence,
                'born': self.born_ms,
            }
            await call_any(order, 'PUT', f'/-/instances/{self.endpoint}', document)
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(EOFError, OSError, asyncio.LimitOverrunError):
                while True:
                    await self._answer(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first, headers = await read_head(reader)
        method, target, _ = first.split(' ')
        body = await reader.readexactly(int(headers.get('content-length', '0')))
        request_id = headers.get('x-request-id', '')
        if target == '/health':
            await self._write(writer, 200, {'X-Instance-Id': self.endpoint}, b'')
            return
        is_mine = headers.get('x-target-instance', self.endpoint) == self.endpoint
        sender_ip = writer.get_extra_info('peername')[0]
        arrival = Arrival(time.monotonic(), request_id, sender_ip, is_mine, target, body)
        self.arrivals.append(arrival)
        what = 'runs' if is_mine else 'rejects with 421'
        self.note(f'{self.endpoint} {what} {request_id}')
        if not is_mine:
            await self._write(writer, 421, {'X-Request-Id': request_id}, b'')
            return
        if target == self.crashing_target:
            if not await self._is_dropped(reader):
                self.crash()
            raise EOFError
        async with self._slots:
            self.running_count += 1
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running_count -= 1
        stamp = f'{self.endpoint}.{next(_stamp_numbers)}'
        answer_headers = {
            'X-Request-Id': request_id,
            'X-Response-Stamp': stamp,
            'X-Server-Load': f'{self.running_count},0,{self.slot_count}',
        }
        content = f'answer to {request_id}'.encode()
        await self._write(writer, 200, answer_headers, content, with_body=method != 'HEAD')

    async def _is_dropped(self, reader: asyncio.StreamReader) -> bool:
        """Run a crashing request up to its crash; return whether it was dropped before."""
        if not self.drops_closed:
            await asyncio.sleep(self.crashes_after_s)
            return False
        try:
            async with asyncio.timeout(self.crashes_after_s):
                await reader.read(1)
        except TimeoutError:
            return False
        except OSError:
            return True
        return True

    async def _write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
        with_body: bool = True,
    ) -> None:
        lines = [f'HTTP/1.1 {status} X', *(f'{key}: {value}' for key, value in headers.items())]
        lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join((*lines, '', '')).encode() + (body if with_body else b''))
        await writer.drain()
