"""A stand-in searcher that speaks the platform's protocol and records its requests."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web

RESTART_AFTER_S = 1.5
# Closes the connection in place of a reply.
STATUS_DROP = 0
# A status that no class assigns, so that the reply is none.
UNASSIGNED_STATUS = 600


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """Record one request that the searcher ran or refused."""

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    at_s: float
    ran: bool
    sender_ip: str
    born_ms: int


@dataclass(frozen=True, slots=True)
class SentStatement:
    """Record a reply in which a run of the searcher asked for a rest or said that it leaves."""

    sender_ip: str
    at_s: float
    born_ms: int
    # None if it said that it leaves.
    rest_s: float | None


@dataclass(frozen=True, slots=True)
class ReplyPlan:
    """Define the delay, status and body of the reply to one request."""

    delay_s: float = 0.003
    status: int = 200
    body: bytes | None = None
    not_run: bool = False


Behaviour = Callable[[str], ReplyPlan]


class StandInSearcher:
    """Simulate one searcher of one service."""

    def __init__(
        self,
        endpoint: str,
        service: str,
        failure_domain: str,
        ip: str,
        slot_count: int = 2,
        connection_limit: int = 20,
    ) -> None:
        self.endpoint = endpoint
        self.service = service
        self.failure_domain = failure_domain
        self.ip = ip
        self.slot_count = slot_count
        self.connection_limit = connection_limit
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self.address = ''
        self.state = 'ready'
        self.received_requests: list[ReceivedRequest] = []
        self.statements: list[SentStatement] = []
        self.behaviour: Behaviour = lambda _request_id: ReplyPlan()
        # A request for this path crashes the searcher; crashed_at_s lists when that happened.
        self.crashing_target = ''
        # Requests per second that it states to take from all instances; None states nothing.
        self.limit_per_s: float | None = None
        # Refuses all requests and asks the sender of each for a rest of this length.
        self.rest_s: float | None = None
        # Says in its replies that it leaves.
        self.is_leaving = False
        self.crashed_at_s: list[float] = []
        self.running_count = 0
        self.cancelled_count = 0
        self._stamp_numbers = itertools.count(1)
        self._slots = asyncio.Semaphore(slot_count)
        self._runner: web.ServerRunner | None = None
        self._restart_task: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on a port; port 0 selects a free one."""
        server = web.Server(self._handle, handler_cancellation=True, keepalive_timeout=30)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.ip, port)
        await site.start()
        self.address = f'{self.ip}:{self._runner.addresses[0][1]}'

    async def stop(self) -> None:
        """Close the address and every connection."""
        if self._runner is not None:
            runner, self._runner = self._runner, None
            # Cuts the requests in progress, as a crash does.
            await asyncio.wait_for(runner.cleanup(), 10.0)

    def announcement(self) -> dict[str, object]:
        """Build the next announcement of the searcher."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.failure_domain,
            'version': 'v1',
            'slots': self.slot_count,
            'state': self.state,
            'coldLeftMs': 0,
            'seq': self.sequence,
            'born': self.born_ms,
        }

    def run_count(self, request_id: str) -> int:
        """Return how often a request ran on this searcher."""
        return sum(
            request.ran and request.request_id == request_id for request in self.received_requests
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers.get('X-Request-Id', '')
        expected = request.headers.get('X-Target-Instance', self.endpoint)
        if self.crashing_target and request.path == self.crashing_target:
            self._crash(request)
            return web.Response()
        plan = self.behaviour(request_id)
        body = await request.read()
        wants_rest = self.rest_s is not None
        is_refused = expected != self.endpoint or plan.not_run or wants_rest
        self.received_requests.append(
            ReceivedRequest(
                request_id,
                request.method,
                request.path_qs if not request.raw_path else request.raw_path,
                tuple((key.decode(), value.decode()) for key, value in request.raw_headers),
                body,
                time.monotonic(),
                not is_refused,
                self._sender_ip(request),
                self.born_ms,
            )
        )
        if expected != self.endpoint:
            headers = {'X-Instance-Id': self.endpoint, 'X-Request-Id': request_id}
            return web.Response(status=421, headers=headers)
        if plan.not_run or wants_rest:
            return web.Response(status=503, headers=self._headers(request, not_run=True))
        return await self._run_in_slot(request, request_id, plan)

    @staticmethod
    def _sender_ip(request: web.BaseRequest) -> str:
        assert request.transport is not None
        return str(request.transport.get_extra_info('peername')[0])

    def _crash(self, request: web.BaseRequest) -> None:
        self.crashed_at_s.append(time.monotonic())
        assert request.transport is not None
        request.transport.abort()
        self._restart_task = asyncio.get_running_loop().create_task(self._restart_later())

    async def _restart_later(self) -> None:
        port = int(self.address.rsplit(':', 1)[1])
        await self.stop()
        await asyncio.sleep(RESTART_AFTER_S)
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        await self.start(port)

    async def _run_in_slot(
        self, request: web.BaseRequest, request_id: str, plan: ReplyPlan
    ) -> web.Response:
        try:
            async with self._slots:
                self.running_count += 1
                try:
                    await asyncio.sleep(plan.delay_s)
                finally:
                    self.running_count -= 1
        except asyncio.CancelledError:
            self.cancelled_count += 1
            raise
        if plan.status == STATUS_DROP:
            assert request.transport is not None
            request.transport.abort()
            return web.Response()
        content = plan.body if plan.body is not None else self._reply_records(request_id)
        return web.Response(
            status=plan.status, body=content, headers=self._headers(request, not_run=False)
        )

    def _record_statement(self, request: web.BaseRequest, rest_s: float | None) -> None:
        sender_ip = self._sender_ip(request)
        self.statements.append(SentStatement(sender_ip, time.monotonic(), self.born_ms, rest_s))

    def _headers(self, request: web.BaseRequest, not_run: bool) -> dict[str, str]:
        request_id = request.headers.get('X-Request-Id', '')
        headers = {
            'X-Request-Id': request_id,
            'X-Server-Load': f'{self.running_count},0,{self.slot_count}',
        }
        if self.is_leaving:
            headers['Server-Leaving'] = '1'
            self._record_statement(request, None)
        if self.rest_s is not None:
            headers['Retry-After'] = str(self.rest_s)
            if not_run:
                self._record_statement(request, self.rest_s)
        if self.limit_per_s is not None:
            headers['Server-Limit'] = str(self.limit_per_s)
        if not_run:
            headers['X-Not-Executed'] = '1'
        else:
            headers['X-Response-Stamp'] = f'{request_id}.{self.service}.{next(self._stamp_numbers)}'
        return headers

    def _reply_records(self, request_id: str) -> bytes:
        name = f'{self.service}{request_id}'.encode()[-12:].rjust(12, b'.')
        return b''.join(bytes([rank]) + b'\0\0\0' + name for rank in (7, 200, 31))
