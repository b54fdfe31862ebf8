"""A stand-in searcher that speaks the users' protocol."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from http_messages import HttpError, Message, encode, read_message

if TYPE_CHECKING:
    from deployment import Deployment


@dataclass(frozen=True, slots=True)
class Arrival:
    """Record what a searcher did with one request."""

    at_s: float
    request_id: str
    endpoint: str
    ran: bool
    status: int
    note: str = ''


class Connection:
    """Hold one connection of a searcher, and bytes that are due before its next answer."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.due_later = b''


# Changes the bytes of an answer; may put bytes on the connection for later.
Spoil = Callable[['Searcher', Connection, Message, bytes], bytes]
# Returns the status and the body of a request that runs.
Run = Callable[[Message], tuple[int, bytes]]


class Searcher:
    """Run one searcher: a few slots, a short queue, and a refusal when both are full."""

    def __init__(
        self,
        deployment: Deployment,
        endpoint: str,
        service: str,
        zone: str,
        ip: str,
        slots: int,
        queue: int,
        work_s: Callable[[], float],
    ) -> None:
        self.deployment = deployment
        self.endpoint, self.service, self.zone, self.ip = endpoint, service, zone, ip
        self.slots, self.queue = slots, queue
        self.work_s = work_s
        self.run: Run = lambda _request: (200, f'done by {endpoint}'.encode())
        self.spoil: Spoil | None = None
        # Says whether a request is turned away although there is room for it.
        self.sheds: Callable[[], bool] | None = None
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = 'ready'
        self.arrivals: list[Arrival] = []
        self.running = 0
        self.waiting = 0
        # A request for this path crashes the searcher, which is back after a while.
        self.crashing_path = ''
        self.down_s = 3.0
        self.boot = 1
        self._writers: set[asyncio.StreamWriter] = set()
        self._restart: asyncio.Task[None] | None = None
        self._semaphore = asyncio.Semaphore(slots)
        self._stamps = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None
        self.address = ''

    async def start(self) -> None:
        """Listen and announce this searcher at each heartbeat."""
        port = int(self.address.rsplit(':', 1)[1]) if self.address else 0
        self._server = await asyncio.start_server(self._serve, self.ip, port)
        self.address = f'{self.ip}:{self._server.sockets[0].getsockname()[1]}'
        self._task = asyncio.create_task(self._beat())

    def stop(self) -> None:
        """Stop to announce and to listen."""
        for task in (self._task, self._restart):
            if task is not None:
                task.cancel()
        if self._server is not None:
            self._server.close()

    def crash(self) -> None:
        """Reset all connections, refuse new ones, and start again as another boot later."""
        self.stop()
        for writer in list(self._writers):
            writer.transport.abort()
        self._restart = asyncio.create_task(self._start_again())

    async def _start_again(self) -> None:
        await asyncio.sleep(self.down_s)
        self.boot += 1
        self.endpoint = f'{self.endpoint.split(".")[0]}.{self.boot}'
        self.born, self.sequence = time.time_ns() // 1_000_000, 0
        self.running = self.waiting = 0
        self._semaphore = asyncio.Semaphore(self.slots)
        await self.start()

    def stamp(self, request: Message) -> str:
        """Return a receipt for a request."""
        request_id = request.headers.get('x-request-id', '')
        return f'{request_id}.{self.endpoint}.{next(self._stamps)}'

    def record(self, request: Message, ran: bool, status: int, note: str = '') -> None:
        """Record what was done with a request."""
        request_id = request.headers.get('x-request-id', '')
        self.arrivals.append(
            Arrival(time.monotonic(), request_id, self.endpoint, ran, status, note)
        )

    async def _beat(self) -> None:
        while True:
            self.sequence += 1
            await self.deployment.announce(
                self.endpoint,
                {
                    'service': self.service,
                    'address': self.address,
                    'zone': self.zone,
                    'version': 'v1',
                    'slots': self.slots,
                    'state': self.state,
                    'coldLeftMs': 0,
                    'seq': self.sequence,
                    'born': self.born,
                },
            )
            await asyncio.sleep(self.deployment.heartbeat_ms / 1000.0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(writer)
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if self.crashing_path and request.first[1] == self.crashing_path:
                    self.record(request, True, 0, 'crashes')
                    self.crash()
                    return
                if connection.due_later:
                    writer.write(connection.due_later)
                    connection.due_later = b''
                answer = await self._answer(request)
                if self.spoil is not None:
                    answer = self.spoil(self, connection, request, answer)
                writer.write(answer)
                await writer.drain()
        except (HttpError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    def _headers(self, request: Message) -> dict[str, str]:
        return {
            'X-Request-Id': request.headers.get('x-request-id', ''),
            'X-Instance-Id': self.endpoint,
            'X-Server-Load': f'{self.running},{self.waiting},{self.slots}',
            'Keep-Alive': 'timeout=20',
        }

    async def _answer(self, request: Message) -> bytes:
        headers = self._headers(request)
        if request.headers.get('x-target-instance', self.endpoint) != self.endpoint:
            self.record(request, False, 421)
            return encode('HTTP/1.1 421 Misdirected', {**headers, 'X-Not-Executed': '1'})
        is_full = self.running >= self.slots and self.waiting >= self.queue
        if is_full or (self.sheds is not None and self.sheds()):
            self.record(request, False, 503)
            return encode('HTTP/1.1 503 Full', {'X-Not-Executed': '1', **headers})
        self.waiting += 1
        async with self._semaphore:
            self.waiting -= 1
            self.running += 1
            status, body = self.run(request)
            self.record(request, True, status)
            try:
                await asyncio.sleep(self.work_s())
            finally:
                self.running -= 1
        headers = {**self._headers(request), 'X-Response-Stamp': self.stamp(request)}
        return encode(f'HTTP/1.1 {status} Done', headers, body)
