"""A harness with a raw TCP server, a connection pool and the ends of its attempts."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from msgspec.structs import replace

from pistachioloft_core.connection.endpoint_load import EndpointLoad
from pistachioloft_core.messages.fleet import ENDPOINT_READY, AnnouncedEndpoint
from pistachioloft_core.messages.routes import Route, WeightedService
from pistachioloft_core.request.attempts import Attempt, AttemptEnd, AttemptOutcome
from pistachioloft_daemon.endpoint_pool import EndpointPool, OutgoingAttempt, PoolHooks
from pistachioloft_daemon.http1.messages import Response, find_header
from pistachioloft_daemon.http1.receive_budget import ReceiveBudget
from pistachioloft_daemon.loop_timers import monotonic_ms

ROUTE = Route('r', 'h', '/', True, 1_000.0, 100.0, 1, 2, (WeightedService('s'),))
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def reply(request_id: str, body: bytes = b'body', extra: bytes = b'') -> bytes:
    head = f'HTTP/1.1 200 OK\r\nX-Id: {request_id}\r\nContent-Length: {len(body)}\r\n'
    return head.encode() + extra + b'\r\n' + body


class PoolHarness:
    """Hold a raw server, a pool and the ends of its attempts."""

    def __init__(self, serve: Serve, budget_bytes: int = 50_000_000) -> None:
        self.serve = serve
        self.budget = ReceiveBudget(budget_bytes)
        self.ends: asyncio.Queue[tuple[str, AttemptEnd]] = asyncio.Queue()
        self.refused: list[str] = []
        self.pool = EndpointPool(self.hooks_with_limit(2), self.budget)
        self.connection_count = 0
        self.load: EndpointLoad | None = None
        self.number = 0
        self.route = ROUTE
        self.request_ids: dict[str, str] = {}
        # The replies that were taken for the answers to attempts.
        self.responses: list[Response] = []

    async def __aenter__(self) -> PoolHarness:
        self.server = await asyncio.start_server(self.handle, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        record = AnnouncedEndpoint('e', 's', f'127.0.0.1:{port}', 'a', 2, ENDPOINT_READY, 1, 1)
        self.load = EndpointLoad(record, 0.0)
        return self

    async def __aexit__(self, *_: Any) -> None:
        self.pool.stop()
        self.server.close()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def hooks_with_limit(self, limit_count: int) -> PoolHooks:
        """Return the hooks of the pool with the given connection limit."""
        return PoolHooks(self.decode, self.ended, lambda _record: limit_count, self.refused.append)

    def decode(self, attempt: Attempt, response: Response) -> AttemptEnd | None:
        echoed = find_header(response.headers, b'x-id')
        if echoed != self.request_ids[attempt.attempt_id].encode():
            return None
        self.responses.append(response)
        return AttemptEnd(AttemptOutcome.ANSWERED, reply=response.body)

    def ended(self, attempt: Attempt, end: AttemptEnd) -> None:
        self.ends.put_nowait((attempt.attempt_id, end))

    def send(self, request_id: str = '', priority: int = 0) -> Attempt:
        """Send an attempt, whose request id is its number unless another is given."""
        assert self.load is not None
        self.number += 1
        attempt = Attempt(str(self.number), self.route, 's', self.load, monotonic_ms(), 50.0, False)
        request_id = request_id or attempt.attempt_id
        self.request_ids[attempt.attempt_id] = request_id
        data = f'GET /{request_id} HTTP/1.1\r\nHost: h\r\n\r\n'.encode()
        self.pool.send(OutgoingAttempt(attempt, request_id, data, priority))
        return attempt

    def move(self, address: str) -> None:
        """Restart the endpoint under the same id at another address."""
        assert self.load is not None
        self.load = EndpointLoad(replace(self.load.record, address=address, born_ms=2), 0.0)

    async def call(self, request_id: str = '') -> AttemptEnd:
        attempt = self.send(request_id)
        attempt_id, end = await asyncio.wait_for(self.ends.get(), 5.0)
        assert attempt_id == attempt.attempt_id
        return end


async def read_id(reader: asyncio.StreamReader) -> str:
    head = await reader.readuntil(b'\r\n\r\n')
    return head.split(b' ', 2)[1][1:].decode()


def run(
    serve: Serve, scenario: Callable[[PoolHarness], Awaitable[None]], budget_bytes: int = 50_000_000
) -> None:
    async def main() -> None:
        async with PoolHarness(serve, budget_bytes) as harness:
            await scenario(harness)

    asyncio.run(main())
