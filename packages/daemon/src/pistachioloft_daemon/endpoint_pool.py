"""Connections of an entry instance to the endpoints that it asks itself."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pistachioloft_core.request.attempts import AttemptEnd, Ended

from .http1.client import ClientConnection
from .http1.messages import find_header
from .loop_timers import monotonic_ms

if TYPE_CHECKING:
    from pistachioloft_core.messages.fleet import AnnouncedEndpoint
    from pistachioloft_core.request.attempts import Attempt

    from .http1.messages import Response

logger = logging.getLogger(__name__)

PREFIX = '[endpoint]'
# A connection takes a round trip and a few milliseconds of the endpoint; a second without an
# answer means that the endpoint or the network is gone.
CONNECT_TIMEOUT_S = 1.0
# Endpoints close a connection that is idle for the time that they name, or for an unknown
# time; a request that crosses the close is lost, so a connection is not used near it.
IDLE_PART = 0.8
IDLE_DEFAULT_S = 10.0
KEEP_ALIVE_PARAMETER = b'timeout='

# Tells whether a response answers the attempt, and how the attempt ended; None if it answers
# an earlier request.
DecodeReply = Callable[['Attempt', 'Response'], AttemptEnd | None]
OnEnd = Callable[['Attempt', AttemptEnd], None]


@dataclass(frozen=True, slots=True)
class PoolHooks:
    """Name the callbacks of the pool."""

    decode: DecodeReply
    ended: OnEnd


class PooledConnection:
    """Hold one connection, the attempt on it and how long it may stay idle."""

    def __init__(self, pool: EndpointPool, endpoint: str) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.attempt: Attempt | None = None
        self.idle_limit_s = IDLE_DEFAULT_S * IDLE_PART
        self.idle_since_s = 0.0
        self.wire = ClientConnection(self)

    def on_reply(self, response: Response, reusable: bool) -> bool:
        """Take a reply if it answers the attempt in flight."""
        attempt = self.attempt
        if attempt is None:
            return False
        end = self.pool.hooks.decode(attempt, response)
        if end is None:
            logger.info('%s %s: reply to another request dropped', PREFIX, self.endpoint)
            return False
        self._note_idle_limit(response)
        if reusable:
            self.pool.release(self)
        else:
            self.pool.drop(self)
            self.wire.close()
        self.pool.hooks.ended(attempt, end)
        return True

    def on_closed(self, detail: str, body_complete: Response | None) -> None:
        """End the attempt in flight with what is known of it."""
        attempt = self.attempt
        self.pool.drop(self)
        if attempt is None:
            return
        end = None
        if body_complete is not None:
            end = self.pool.hooks.decode(attempt, body_complete)
        self.pool.hooks.ended(attempt, end or AttemptEnd(Ended.LOST, detail))

    def _note_idle_limit(self, response: Response) -> None:
        value = find_header(response.headers, b'keep-alive')
        if value is None or KEEP_ALIVE_PARAMETER not in value:
            return
        digits = value.split(KEEP_ALIVE_PARAMETER, 1)[1].split(b',')[0].strip()
        if digits.isdigit():
            self.idle_limit_s = int(digits) * IDLE_PART


class EndpointPool:
    """Hold the connections to all endpoints; the caller bounds how many are in use."""

    def __init__(self, hooks: PoolHooks) -> None:
        self.hooks = hooks
        self.idle: dict[str, list[PooledConnection]] = {}
        self.all: dict[str, set[PooledConnection]] = {}
        self.by_attempt: dict[str, PooledConnection] = {}
        self.waiting: dict[str, tuple[Attempt, bytes]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.opened_count = 0

    def send(self, attempt: Attempt, data: bytes) -> None:
        """Send an attempt on an idle connection, or on a new one."""
        record = attempt.load.record
        connection = self._take_idle(record.endpoint)
        if connection is not None:
            self._start(connection, attempt, data)
            return
        self.waiting[attempt.attempt_id] = (attempt, data)
        self._spawn(self._open(record, attempt.attempt_id))

    def abandon(self, attempt: Attempt) -> bool:
        """Withdraw an attempt and tell whether it was still in flight."""
        if self.waiting.pop(attempt.attempt_id, None) is not None:
            return True
        connection = self.by_attempt.get(attempt.attempt_id)
        if connection is None:
            return False
        self.drop(connection)
        connection.wire.close()
        return True

    def warm(self, record: AnnouncedEndpoint) -> None:
        """Open a connection to an endpoint that has none."""
        if not self.all.get(record.endpoint):
            self._spawn(self._open(record, ''))

    def forget(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint that gets no new work."""
        for connection in self.idle.pop(endpoint, []):
            connection.wire.close()
            self.drop(connection)

    def close_aged(self) -> None:
        """Close the connections that were idle for nearly as long as their endpoint allows."""
        now_s = monotonic_ms() / 1000.0
        for connections in list(self.idle.values()):
            for connection in list(connections):
                if now_s - connection.idle_since_s >= connection.idle_limit_s:
                    connections.remove(connection)
                    connection.wire.close()
                    self.drop(connection)

    def release(self, connection: PooledConnection) -> None:
        """Make a connection idle whose reply was taken."""
        self._forget_attempt(connection)
        connection.idle_since_s = monotonic_ms() / 1000.0
        self.idle.setdefault(connection.endpoint, []).append(connection)

    def drop(self, connection: PooledConnection) -> None:
        """Forget a closed connection."""
        self._forget_attempt(connection)
        idle = self.idle.get(connection.endpoint)
        if idle is not None and connection in idle:
            idle.remove(connection)
        known = self.all.get(connection.endpoint)
        if known is not None:
            known.discard(connection)
            if not known:
                del self.all[connection.endpoint]

    def connection_count(self) -> int:
        """Count the open connections."""
        return sum(len(connections) for connections in self.all.values())

    def stop(self) -> None:
        """Close everything."""
        for task in self.tasks:
            task.cancel()
        for connections in list(self.all.values()):
            for connection in list(connections):
                connection.wire.close()

    def _forget_attempt(self, connection: PooledConnection) -> None:
        attempt, connection.attempt = connection.attempt, None
        if attempt is not None:
            self.by_attempt.pop(attempt.attempt_id, None)

    def _take_idle(self, endpoint: str) -> PooledConnection | None:
        connections = self.idle.get(endpoint)
        now_s = monotonic_ms() / 1000.0
        while connections:
            connection = connections.pop()
            fresh = now_s - connection.idle_since_s < connection.idle_limit_s
            if fresh and not connection.wire.closing:
                return connection
            connection.wire.close()
            self.drop(connection)
        return None

    def _start(self, connection: PooledConnection, attempt: Attempt, data: bytes) -> None:
        connection.attempt = attempt
        self.by_attempt[attempt.attempt_id] = connection
        connection.wire.send(data)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _open(self, record: AnnouncedEndpoint, attempt_id: str) -> None:
        connection = PooledConnection(self, record.endpoint)
        self.all.setdefault(record.endpoint, set()).add(connection)
        host, port = record.address.rsplit(':', 1)
        loop = asyncio.get_running_loop()
        self.opened_count += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: connection.wire, host, int(port))
        except (OSError, TimeoutError) as error:
            self.drop(connection)
            self._fail(attempt_id, f'cannot connect to {record.address}: {error!r}')
            return
        waiting = self.waiting.pop(attempt_id, None)
        if waiting is not None:
            self._start(connection, *waiting)
        elif not connection.wire.closing:
            self.release(connection)

    def _fail(self, attempt_id: str, detail: str) -> None:
        waiting = self.waiting.pop(attempt_id, None)
        if waiting is not None:
            self.hooks.ended(waiting[0], AttemptEnd(Ended.NOT_SENT, detail, absent=True))
