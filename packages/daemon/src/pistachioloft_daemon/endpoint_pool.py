"""Connections of an entry instance to the endpoints that it queries directly."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pistachioloft_core.request.attempts import AttemptEnd, AttemptOutcome, record_attempt_sent
from pistachioloft_core.request.queue_order import QueuedWork, waiting_rank

from .http1.client import ClientConnection
from .http1.messages import find_header
from .http1.round_trip import read_round_trip_ms
from .loop_timers import monotonic_ms

if TYPE_CHECKING:
    from pistachioloft_core.messages.fleet import AnnouncedEndpoint
    from pistachioloft_core.request.attempts import Attempt

    from .http1.messages import Response
    from .http1.receive_budget import ReceiveBudget

logger = logging.getLogger(__name__)

PREFIX = '[endpoint]'
# Connecting takes a round trip and a few milliseconds at the endpoint; after a second without an
# answer the endpoint or the network has failed.
CONNECT_TIMEOUT_S = 1.0
# Endpoints close a connection after the idle time that they announce, or after an unknown one. A
# request that crosses the close is lost, so a connection is used only for a fraction of it.
IDLE_FRACTION = 0.8
DEFAULT_IDLE_TIMEOUT_S = 10.0
KEEP_ALIVE_PARAMETER = b'timeout='
# A second reply comes at the latest where the next one is due, so a few ids would be enough.
RECENT_REQUEST_COUNT = 32

# Returns how a response ends the attempt, or None if it answers an earlier request.
DecodeReply = Callable[['Attempt', 'Response'], AttemptEnd | None]
OnEnd = Callable[['Attempt', AttemptEnd], None]


@dataclass(frozen=True, slots=True)
class OutgoingAttempt:
    """Pair an attempt with its encoded request and the id that the endpoint echoes."""

    attempt: Attempt
    request_id: str
    data: bytes
    # Decide which attempt gets the next connection; priority 0 is the highest.
    priority: int = 0
    deadline_at_ms: float = float('inf')
    # A large body, which all attempts of a request share.
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class PoolHooks:
    """Bundle the callbacks of the pool."""

    decode: DecodeReply
    ended: OnEnd
    # Returns the largest number of connections to one endpoint.
    connection_limit: Callable[[AnnouncedEndpoint], int]
    # Called with the name of an endpoint whose address refuses a connection.
    refused: Callable[[str], None]
    # Called for each connection that was opened, and for each that could not be.
    connected: Callable[[AnnouncedEndpoint], None] = lambda _record: None
    connect_failed: Callable[[AnnouncedEndpoint], None] = lambda _record: None
    # Called with the bytes of each request and of each reply.
    transferred: Callable[[Attempt, int], None] = lambda _attempt, _byte_count: None


class PooledConnection:
    """Hold one connection, its attempt in flight and its idle limit."""

    def __init__(self, pool: EndpointPool, target: _Target) -> None:
        self.pool = pool
        self.target = target
        self.attempt: Attempt | None = None
        self.idle_limit_s = DEFAULT_IDLE_TIMEOUT_S * IDLE_FRACTION
        self.idle_since_s = 0.0
        self.round_trip_ms = 0.0
        # Ids of the requests that this connection has carried, the newest last.
        self.recent_request_ids: deque[str] = deque(maxlen=RECENT_REQUEST_COUNT)
        self.http = ClientConnection(self, pool.budget)

    def can_identify(self, request_id: str) -> bool:
        """Return whether a reply with this id could only answer an attempt that is sent now."""
        return request_id not in self.recent_request_ids

    def on_reply(self, response: Response, reusable: bool) -> bool:
        """Handle a reply and return whether it answers the attempt in flight."""
        attempt = self.attempt
        if attempt is None:
            return False
        self.pool.hooks.transferred(attempt, self.http.received_bytes)
        end = self._decode(attempt, response)
        if end is None:
            name = self.target.record.endpoint
            logger.info('%s %s: reply to another request dropped', PREFIX, name)
            return False
        self._record_idle_limit(response)
        if reusable and end.identified and end.outcome is not AttemptOutcome.LOST:
            self.pool.release(self)
        else:
            self.http.close()
            self.pool.drop(self)
        self.pool.hooks.ended(attempt, end)
        return True

    def on_closed(self, detail: str, complete_reply: Response | None) -> None:
        """End the attempt in flight with the complete reply, or as lost."""
        attempt = self.attempt
        self.pool.drop(self)
        if attempt is None:
            return
        end = None
        if complete_reply is not None:
            end = self._decode(attempt, complete_reply)
        self.pool.hooks.ended(attempt, end or AttemptEnd(AttemptOutcome.LOST, detail))

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the endpoint keeps the connection open for one more request."""
        return not self.http.closing and now_s - self.idle_since_s < self.idle_limit_s

    def _decode(self, attempt: Attempt, response: Response) -> AttemptEnd | None:
        end = self.pool.hooks.decode(attempt, response)
        if end is not None and not end.identified and len(self.recent_request_ids) > 1:
            # It may be a second reply to one of the earlier requests.
            return AttemptEnd(AttemptOutcome.LOST, 'a reply without the id of its request')
        return end

    def _record_idle_limit(self, response: Response) -> None:
        value = find_header(response.headers, b'keep-alive')
        if value is None or KEEP_ALIVE_PARAMETER not in value:
            return
        digits = value.split(KEEP_ALIVE_PARAMETER, 1)[1].split(b',')[0].strip()
        if digits.isdigit():
            self.idle_limit_s = int(digits) * IDLE_FRACTION


class _Target:
    """Hold the connections to one address of an endpoint and the attempts queued for them."""

    def __init__(self, record: AnnouncedEndpoint) -> None:
        self.record = record
        # Set once the endpoint has another address.
        self.retired = False
        self.idle: list[PooledConnection] = []
        self.open: set[PooledConnection] = set()
        self.opening_count = 0
        self.queue: dict[str, OutgoingAttempt] = {}


def _queued_work(outgoing: OutgoingAttempt) -> QueuedWork:
    attempt = outgoing.attempt
    return QueuedWork(
        outgoing.priority,
        attempt.started_ms,
        outgoing.deadline_at_ms,
        attempt.route.latency_target_ms,
    )


class EndpointPool:
    """Hold the connections to all endpoints."""

    def __init__(self, hooks: PoolHooks, budget: ReceiveBudget) -> None:
        self.hooks = hooks
        self.budget = budget
        self.targets: dict[str, _Target] = {}
        # Targets for earlier addresses of endpoints, until their last connection is closed.
        self.retired: set[_Target] = set()
        self.connection_by_attempt: dict[str, PooledConnection] = {}
        self.queued_at: dict[str, _Target] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.opened_count = 0

    def send(self, outgoing: OutgoingAttempt) -> None:
        """Send an attempt on an idle connection, or queue it for the next one."""
        attempt = outgoing.attempt
        target = self._target(attempt.load.record)
        connection = self._take_idle(target, outgoing.request_id)
        if connection is not None:
            self._start(connection, outgoing)
            return
        target.queue[attempt.attempt_id] = outgoing
        self.queued_at[attempt.attempt_id] = target
        self._open_more(target)

    def abandon(self, attempt: Attempt) -> bool:
        """Withdraw an attempt and return whether it was still in flight."""
        target = self.queued_at.pop(attempt.attempt_id, None)
        if target is not None:
            del target.queue[attempt.attempt_id]
            return True
        connection = self.connection_by_attempt.get(attempt.attempt_id)
        if connection is None:
            return False
        connection.http.close()
        self.drop(connection)
        return True

    def preconnect(self, record: AnnouncedEndpoint) -> None:
        """Open a connection to an endpoint that has none."""
        target = self._target(record)
        if not target.open and not target.opening_count:
            self._open(target)

    def probe(self, record: AnnouncedEndpoint) -> None:
        """Open one more connection to an endpoint, to check whether it can be reached."""
        self._open(self._target(record))

    def return_queued(self, endpoint: str, detail: str) -> None:
        """End the attempts that wait for a connection to an endpoint as not sent."""
        target = self.targets.get(endpoint)
        if target is None:
            return
        for outgoing in list(target.queue.values()):
            if self.abandon(outgoing.attempt):
                self.hooks.ended(outgoing.attempt, AttemptEnd(AttemptOutcome.NOT_SENT, detail))

    def close_idle_connections(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint that gets no new requests."""
        target = self.targets.get(endpoint)
        if target is not None:
            self._close_connections(target.idle)

    def close_idle(self) -> None:
        """Close all idle connections."""
        for target in self._all_targets():
            self._close_connections(target.idle)

    def close_aged(self) -> None:
        """Close the connections that have reached their idle limit."""
        now_s = monotonic_ms() / 1000.0
        for target in list(self.targets.values()):
            self._close_connections(
                [connection for connection in target.idle if not connection.is_fresh(now_s)]
            )

    def release(self, connection: PooledConnection) -> None:
        """Use a free connection for the next queued attempt, or keep it idle."""
        self._detach_attempt(connection)
        target = connection.target
        outgoing = self._next_queued(connection)
        if outgoing is not None:
            del target.queue[outgoing.attempt.attempt_id]
            del self.queued_at[outgoing.attempt.attempt_id]
            self._start(connection, outgoing)
        elif target.retired:
            self._close_connections([connection])
        else:
            connection.idle_since_s = monotonic_ms() / 1000.0
            target.idle.append(connection)
            self._open_more(target)

    def drop(self, connection: PooledConnection) -> None:
        """Remove a closed connection."""
        self._detach_attempt(connection)
        target = connection.target
        target.open.discard(connection)
        if connection in target.idle:
            target.idle.remove(connection)
        if target.queue:
            self._open_more(target)
        else:
            self._remove_if_unused(target)

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return sum(len(target.open) for target in self._all_targets())

    def stop(self) -> None:
        """Close everything."""
        for task in self.tasks:
            task.cancel()
        for target in self._all_targets():
            for connection in list(target.open):
                connection.http.close()

    def _all_targets(self) -> list[_Target]:
        return [*self.targets.values(), *self.retired]

    def _target(self, record: AnnouncedEndpoint) -> _Target:
        target = self.targets.get(record.endpoint)
        if target is not None and target.record.address == record.address:
            return target
        if target is not None:
            # The endpoint restarted at another address; attempts in flight end on their own.
            target.retired = True
            self.retired.add(target)
            self._close_connections(target.idle)
            self._remove_if_unused(target)
        target = self.targets[record.endpoint] = _Target(record)
        return target

    def _remove_if_unused(self, target: _Target) -> None:
        if target.open or target.opening_count or target.queue:
            return
        self.retired.discard(target)
        # A newer target may already hold this endpoint's name.
        if self.targets.get(target.record.endpoint) is target:
            del self.targets[target.record.endpoint]

    def _close_connections(self, connections: list[PooledConnection]) -> None:
        for connection in list(connections):
            connection.http.close()
            self.drop(connection)

    def _detach_attempt(self, connection: PooledConnection) -> None:
        attempt, connection.attempt = connection.attempt, None
        if attempt is not None:
            self.connection_by_attempt.pop(attempt.attempt_id, None)

    def _next_queued(self, connection: PooledConnection) -> OutgoingAttempt | None:
        queued = connection.target.queue.values()
        usable = [each for each in queued if connection.can_identify(each.request_id)]
        if len(usable) < 2:
            return usable[0] if usable else None
        now_ms = monotonic_ms()
        return min(usable, key=lambda each: waiting_rank(now_ms, _queued_work(each)))

    def _take_idle(self, target: _Target, request_id: str) -> PooledConnection | None:
        now_s = monotonic_ms() / 1000.0
        for connection in reversed(target.idle.copy()):
            if not connection.is_fresh(now_s):
                target.idle.remove(connection)
                connection.http.close()
                target.open.discard(connection)
            elif connection.can_identify(request_id):
                target.idle.remove(connection)
                return connection
        return None

    def _start(self, connection: PooledConnection, outgoing: OutgoingAttempt) -> None:
        attempt = outgoing.attempt
        connection.attempt = attempt
        connection.recent_request_ids.append(outgoing.request_id)
        self.connection_by_attempt[attempt.attempt_id] = connection
        attempt.load.round_trip_ms = connection.round_trip_ms
        record_attempt_sent(attempt, monotonic_ms())
        connection.http.send(outgoing.data, outgoing.body)
        self.hooks.transferred(attempt, len(outgoing.data) + len(outgoing.body))

    def _open_more(self, target: _Target) -> None:
        """Open connections for queued attempts, in place of idle ones that cannot carry them."""
        limit_count = self.hooks.connection_limit(target.record)
        for _ in range(len(target.queue) - target.opening_count):
            if len(target.open) + target.opening_count >= limit_count:
                if not target.idle:
                    return
                unusable = target.idle.pop(0)
                unusable.http.close()
                target.open.discard(unusable)
            self._open(target)

    def _open(self, target: _Target) -> None:
        target.opening_count += 1
        self.opened_count += 1
        task = asyncio.get_running_loop().create_task(self._connect(target))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self, target: _Target) -> None:
        connection = PooledConnection(self, target)
        host, port = target.record.address.rsplit(':', 1)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: connection.http, host, int(port))
        except (OSError, TimeoutError) as error:
            target.opening_count -= 1
            self.hooks.connect_failed(target.record)
            if isinstance(error, ConnectionRefusedError):
                self.hooks.refused(target.record.endpoint)
            self._fail_queued(target, f'cannot connect to {target.record.address}: {error!r}')
            return
        target.opening_count -= 1
        self.hooks.connected(target.record)
        if connection.http.closing:
            self._fail_queued(target, f'{target.record.address} closed a new connection')
            return
        target.open.add(connection)
        connection.round_trip_ms = read_round_trip_ms(connection.http.transport)
        self.release(connection)

    def _fail_queued(self, target: _Target, detail: str) -> None:
        queued, target.queue = target.queue, {}
        for attempt_id in queued:
            del self.queued_at[attempt_id]
        self._remove_if_unused(target)
        end = AttemptEnd(AttemptOutcome.NOT_SENT, detail, wrong_endpoint=True)
        for outgoing in queued.values():
            self.hooks.ended(outgoing.attempt, end)
