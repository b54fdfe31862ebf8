"""Serve shards over HTTP as docs/interfaces.md describes for endpoints."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import web

from pistachioloft_core.codec import decode_json_reply, encode_json
from pistachioloft_core.errors import CodedError
from pistachioloft_core.messages.endpoint import (
    STATUS_NOT_STARTED,
    STATUS_OK,
    Announcement,
    AnnounceReply,
    CancelRequest,
    ShardRows,
    SubReply,
    SubRequest,
)
from pistachioloft_core.request.observe import DETAIL_NOT_HELD

if TYPE_CHECKING:
    from .behaviour import Behaviour

ANNOUNCE_TIMEOUT_S = 0.5
QUEUE_LIMIT_PER_SLOT = 4


class Searcher:
    """Simulate one searcher with its slots, versions, faults and counters."""

    def __init__(
        self,
        announcement: Announcement,
        entry_addresses: tuple[str, ...],
        behaviour: Behaviour,
        seed: int,
    ) -> None:
        self.announcement = announcement
        self.entry_addresses = entry_addresses
        self.behaviour = behaviour
        self.random_source = random.Random(seed)
        self.running_count = 0
        self.slots = asyncio.Semaphore(announcement.slot_count)
        self.waiting_count = 0
        self.executed: dict[str, int] = {}
        self.request_count = 0
        self.cancelled_count = 0
        self.peak_running_count = 0
        self.connections: set[asyncio.BaseTransport] = set()
        # Transports rather than their id(), which Python reuses once a transport is freed.
        self.silent_transports: set[asyncio.BaseTransport] = set()
        self.connection_count = 0
        self.peak_connection_count = 0
        self.last_work_s = 0.0
        self.work_after_drain_s = 0.0
        self.drained_at_s: float | None = None
        self.started_at_s = time.monotonic()
        self.pending: dict[str, asyncio.Task[Any]] = {}
        self.runner: web.AppRunner | None = None
        self.announcer: asyncio.Task[None] | None = None
        self.session: aiohttp.ClientSession | None = None
        self.entry_rotation = itertools.count(abs(hash(announcement.endpoint)) % 97)
        self.previous_reply: SubReply | None = None
        self.crashed = False

    async def start(self) -> None:
        """Listen on the announced address and start announcing; port 0 selects a free port."""
        app = web.Application(client_max_size=8 * 1024 * 1024)
        app.router.add_post('/v1/search', self._search)
        app.router.add_post('/v1/execute', self._search)
        app.router.add_post('/v1/cancel', self._cancel)
        app.router.add_get('/v1/ping', self._ping)
        self.runner = web.AppRunner(
            app, access_log=None, keepalive_timeout=3600, shutdown_timeout=0.1
        )
        await self.runner.setup()
        host, port = self.announcement.address.rsplit(':', 1)
        site = web.TCPSite(self.runner, host, int(port))
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.announcement = replace(self.announcement, address=f'{host}:{port}')
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        )
        self.announcer = asyncio.create_task(self._announce_regularly())

    async def stop(self) -> None:
        """Abort all connections and stop, without announcing it."""
        if self.announcer is not None:
            self.announcer.cancel()
        if self.session is not None:
            await self.session.close()
        if self.runner is not None:
            for transport in list(self.connections):
                transport.abort()
            await self.runner.cleanup()

    async def drain(self) -> None:
        """Mark this searcher as draining and announce it immediately."""
        self.drained_at_s = time.monotonic()
        self.announcement = replace(self.announcement, draining=True)
        await self.announce()

    async def announce(self) -> AnnounceReply | None:
        """Send one announcement to the next entry address; return None on failure."""
        assert self.session is not None
        load = self.behaviour.reported_slots_in_use
        self.announcement = replace(
            self.announcement,
            sequence=self.announcement.sequence + 1,
            slots_in_use=self.running_count if load < 0 else load,
            queue_length=self.waiting_count,
        )
        address = self.entry_addresses[next(self.entry_rotation) % len(self.entry_addresses)]
        try:
            async with self.session.post(
                f'http://{address}/v1/announce', data=encode_json(self.announcement)
            ) as reply:
                return decode_json_reply(await reply.read(), AnnounceReply)
        except (aiohttp.ClientError, OSError, TimeoutError, CodedError):
            return None

    async def _announce_regularly(self) -> None:
        while True:
            reply = await self.announce()
            renew_s = 0.1 if reply is None else reply.renew_ms / 1000.0
            if reply is not None and reply.addresses:
                self.entry_addresses = tuple(entry.address for entry in reply.addresses)
            await asyncio.sleep(renew_s)

    async def _ping(self, request: web.Request) -> web.Response:
        self._record_connection(request)
        await asyncio.sleep(self.behaviour.connect_ms / 1000.0)
        return web.Response(text='ok')

    async def _cancel(self, request: web.Request) -> web.Response:
        message = decode_json_reply(await request.read(), CancelRequest)
        task = self.pending.get(message.identity)
        if task is not None:
            self.cancelled_count += 1
            task.cancel()
        return web.Response(text='{}')

    async def _search(self, request: web.Request) -> web.Response:
        self._record_connection(request)
        message = decode_json_reply(await request.read(), SubRequest)
        if request.transport in self.silent_transports:
            await asyncio.sleep(3600)
        if self.drained_at_s is not None:
            self.work_after_drain_s = time.monotonic() - self.drained_at_s
        if self.behaviour.crash_on and self.behaviour.crash_on in str(message.body):
            self.crashed = True
            asyncio.get_running_loop().create_task(self.stop())
            await asyncio.sleep(3600)
        reply = await self._admit(message)
        if self.random_source.random() < self.behaviour.swapped_reply_share and self.previous_reply:
            reply, self.previous_reply = self.previous_reply, reply
        else:
            self.previous_reply = reply
        return web.Response(body=encode_json(reply), content_type='application/json')

    async def _admit(self, message: SubRequest) -> SubReply:
        self.request_count += 1
        queue_limit = QUEUE_LIMIT_PER_SLOT * self.announcement.slot_count
        if self.behaviour.shed or self.announcement.draining or self.waiting_count > queue_limit:
            return self._reply(message, STATUS_NOT_STARTED, (), None)
        if not self._holds(message):
            return self._reply(message, STATUS_NOT_STARTED, (), None, DETAIL_NOT_HELD)
        self.waiting_count += 1
        task = asyncio.create_task(self._execute_in_slot(message))
        self.pending[message.identity] = task
        try:
            return await task
        except asyncio.CancelledError:
            return self._reply(message, 'failed', (), None)
        finally:
            self.pending.pop(message.identity, None)

    async def _execute_in_slot(self, message: SubRequest) -> SubReply:
        try:
            await self.slots.acquire()
        finally:
            self.waiting_count -= 1
        self.running_count += 1
        self.peak_running_count = max(self.peak_running_count, self.running_count)
        try:
            if message.idempotency_key is not None:
                key = message.idempotency_key
                self.executed[key] = self.executed.get(key, 0) + 1
            await asyncio.sleep(self._draw_service_time_s())
            outcome = None
            if message.idempotency_key is not None:
                outcome = {'done': message.body, 'by': self.announcement.endpoint}
            rows = tuple(self._rows(message, shard) for shard in message.shards)
            return self._reply(message, STATUS_OK, rows, outcome)
        finally:
            self.running_count -= 1
            self.slots.release()

    def _draw_service_time_s(self) -> float:
        service_ms = self.behaviour.service_ms * (0.75 + self.random_source.random() * 0.5)
        if self.random_source.random() < self.behaviour.straggle_share:
            service_ms *= self.behaviour.straggle_factor
        age_ms = (time.monotonic() - self.started_at_s) * 1000.0
        if age_ms < self.behaviour.cold_ms:
            service_ms *= 3.0
        return (service_ms + self.behaviour.late_reply_ms) / 1000.0

    def _rows(self, message: SubRequest, shard: str) -> ShardRows:
        row = {'shard': shard, 'version': message.version, 'caller': message.caller}
        row['query'] = message.body
        return ShardRows(shard, (row,))

    def _holds(self, message: SubRequest) -> bool:
        return any(
            holding.collection == message.collection
            and holding.version == message.version
            and set(message.shards) <= set(holding.shards)
            for holding in self.announcement.holdings
        )

    def _reply(
        self,
        message: SubRequest,
        status: str,
        rows: tuple[ShardRows, ...],
        outcome: Any,
        detail: str = '',
    ) -> SubReply:
        version = message.version
        if self.random_source.random() < self.behaviour.wrong_version_share:
            version += 1
        return SubReply(
            identity=message.identity,
            endpoint=self.announcement.endpoint,
            incarnation=self.announcement.incarnation,
            collection=message.collection,
            version=version,
            status=status,
            detail=detail,
            results=rows,
            outcome=outcome,
            slots_in_use=self.running_count,
            draining=self.announcement.draining,
        )

    def _record_connection(self, request: web.Request) -> None:
        transport = request.transport
        if transport is None or transport in self.connections:
            return
        self.connections.add(transport)
        self.connections = {
            connection for connection in self.connections if not connection.is_closing()
        }
        self.connection_count = len(self.connections)
        self.peak_connection_count = max(self.peak_connection_count, self.connection_count)
        if len(self.silent_transports) < self.behaviour.silent_connection_count:
            self.silent_transports.add(transport)
