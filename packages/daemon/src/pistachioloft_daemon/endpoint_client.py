"""Send sub-requests to endpoints, one at a time on each connection."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import aiohttp

from pistachioloft_core.codec import decode_json_reply, encode_json
from pistachioloft_core.errors import CodedError
from pistachioloft_core.messages.endpoint import (
    KIND_COMMAND,
    CancelRequest,
    SubReply,
    SubRequest,
)

from .http1.messages import is_final_status
from .http1.receive_budget import ReceiveBudget

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logging.getLogger(__name__)

PREFIX = '[endpoint]'
CONNECT_TIMEOUT_S = 2.0
# Replies are awaited past their deadline, as a request occupies its endpoint slot until it ends.
REPLY_GRACE_S = 5.0
CANCEL_TIMEOUT_S = 1.0
REPLY_LIMIT_BYTES = 8 * 1024 * 1024
# For the unfinished replies of all connections.
REPLY_BUDGET_BYTES = 32 * 1024 * 1024
# What the library and the event loop read ahead on each connection.
READ_AHEAD_BYTES = (2 * 64 + 256) * 1024
# Memory of a received part beside its bytes.
PART_OBJECT_BYTES = 64
# For the replies to pings, probes and cancels, whose content is not used.
SHORT_REPLY_LIMIT_BYTES = 64 * 1024
SEARCH_PATH = '/v1/search'
EXECUTE_PATH = '/v1/execute'
CANCEL_PATH = '/v1/cancel'
PING_PATH = '/v1/ping'
JSON_HEADERS = {'Content-Type': 'application/json'}


@dataclass(frozen=True, slots=True)
class ConnectionHooks:
    """Hold the callbacks for the events of connections, called on the event loop's thread."""

    on_opened: Callable[[str], None]
    on_closed: Callable[[str, str], None]
    on_reply: Callable[[str, SubReply], None]
    on_failure: Callable[[str, bool, str, bool], None]
    on_probe_reply: Callable[[str], None]


class Connection:
    """Hold one HTTP connection to one endpoint."""

    is_from_caller = False

    def __init__(self, connection_id: str, address: str) -> None:
        self.connection_id = connection_id
        self.address = address
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=1, keepalive_timeout=3600.0),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
        )
        self.task: asyncio.Task[None] | None = None
        self.response: aiohttp.ClientResponse | None = None
        self.was_shed = False

    def shed(self) -> None:
        """End the exchange because the unfinished replies exceed the budget."""
        self.was_shed = True
        if self.response is not None:
            self.response.close()


class EndpointClient:
    """Hold the connections to the endpoints that this instance owns."""

    def __init__(self, hooks: ConnectionHooks) -> None:
        self.hooks = hooks
        self.budget = ReceiveBudget(REPLY_BUDGET_BYTES)
        self.connections: dict[str, Connection] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.cancel_session: aiohttp.ClientSession | None = None

    def open(self, connection_id: str, address: str) -> None:
        """Open a connection in advance."""
        connection = Connection(connection_id, address)
        self.connections[connection_id] = connection
        connection.task = self._spawn(self._open(connection))

    def close(self, connection_id: str) -> None:
        """Close a connection; an exchange in progress ends without a callback."""
        connection = self.connections.pop(connection_id, None)
        if connection is None:
            return
        if connection.task is not None:
            connection.task.cancel()
        self._spawn(connection.session.close())

    def send(self, connection_id: str, request: SubRequest) -> None:
        """Send a sub-request on an idle connection."""
        connection = self.connections.get(connection_id)
        if connection is None:
            self.hooks.on_failure(connection_id, False, 'connection is closed', False)
            return
        connection.task = self._spawn(self._exchange(connection, request))

    def probe(self, connection_id: str, identity: str) -> None:
        """Cancel an identity that no request has, to check that the connection gets a reply."""
        connection = self.connections.get(connection_id)
        if connection is not None:
            connection.task = self._spawn(self._probe(connection, identity))

    def send_cancel(self, address: str, identity: str) -> None:
        """Cancel a sub-request, whose own connection still awaits the reply."""
        self._spawn(self._cancel(address, identity))

    async def stop(self) -> None:
        """Close all connections."""
        for connection_id in list(self.connections):
            self.close(connection_id)
        if self.cancel_session is not None:
            await self.cancel_session.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _open(self, connection: Connection) -> None:
        try:
            async with (
                asyncio.timeout(CONNECT_TIMEOUT_S),
                connection.session.get(f'http://{connection.address}{PING_PATH}') as response,
            ):
                await _read_bounded(response)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self._close_lost(connection, f'{type(error).__name__}: {error}')
            return
        self.hooks.on_opened(connection.connection_id)

    async def _exchange(self, connection: Connection, request: SubRequest) -> None:
        path = EXECUTE_PATH if request.kind == KIND_COMMAND else SEARCH_PATH
        timeout_s = request.time_left_ms / 1000.0 + REPLY_GRACE_S
        try:
            async with (
                asyncio.timeout(timeout_s),
                connection.session.post(
                    f'http://{connection.address}{path}',
                    data=encode_json(request),
                    headers=JSON_HEADERS,
                ) as response,
            ):
                data = await self._read_reply(connection, response)
            reply = decode_json_reply(data, SubReply)
        except aiohttp.ClientConnectorError as error:
            self._close_failed(connection, False, f'{type(error).__name__}: {error}')
        except (aiohttp.ClientError, OSError, TimeoutError, CodedError) as error:
            self._close_failed(connection, True, f'{type(error).__name__}: {error}')
        else:
            self.hooks.on_reply(connection.connection_id, reply)

    async def _read_reply(self, connection: Connection, response: aiohttp.ClientResponse) -> bytes:
        connection.response = response
        try:
            data = await _read_bounded(
                response,
                REPLY_LIMIT_BYTES,
                lambda size_bytes: self.budget.set_held_bytes(connection, size_bytes),
            )
        finally:
            connection.response = None
            self.budget.release(connection)
        if connection.was_shed:
            # The end of the connection looks like the end of a reply without a length.
            detail = f'unfinished replies take over {self.budget.limit_bytes} bytes'
            raise aiohttp.ClientPayloadError(detail)
        return data

    async def _probe(self, connection: Connection, identity: str) -> None:
        try:
            async with (
                asyncio.timeout(CONNECT_TIMEOUT_S),
                connection.session.post(
                    f'http://{connection.address}{CANCEL_PATH}',
                    data=encode_json(CancelRequest(identity)),
                    headers=JSON_HEADERS,
                ) as response,
            ):
                await _read_bounded(response)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self._close_lost(connection, f'{type(error).__name__}: {error}')
            return
        self.hooks.on_probe_reply(connection.connection_id)

    async def _cancel(self, address: str, identity: str) -> None:
        if self.cancel_session is None:
            self.cancel_session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=32, limit_per_host=1),
                timeout=aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S),
            )
        try:
            async with self.cancel_session.post(
                f'http://{address}{CANCEL_PATH}',
                data=encode_json(CancelRequest(identity)),
                headers=JSON_HEADERS,
            ) as response:
                await _read_bounded(response)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            logger.debug('%s cancel of %s failed: %s', PREFIX, identity, error)

    def _close_failed(self, connection: Connection, bytes_sent: bool, detail: str) -> None:
        if self.connections.pop(connection.connection_id, None) is None:
            return
        self._spawn(connection.session.close())
        refused = not bytes_sent
        self.hooks.on_failure(connection.connection_id, bytes_sent, detail, refused)

    def _close_lost(self, connection: Connection, detail: str) -> None:
        if self.connections.pop(connection.connection_id, None) is None:
            return
        self._spawn(connection.session.close())
        self.hooks.on_closed(connection.connection_id, detail)


async def _read_bounded(
    response: aiohttp.ClientResponse,
    limit_bytes: int = SHORT_REPLY_LIMIT_BYTES,
    record_held: Callable[[int], None] = lambda _size_bytes: None,
) -> bytes:
    if not is_final_status(response.status):
        raise aiohttp.ClientPayloadError(f'unassigned status {response.status:03}')
    # Enlarging one buffer of many megabytes again and again would leave holes in the heap.
    parts: list[bytes] = []
    size_bytes = 0
    try:
        while data := await response.content.readany():
            parts.append(data)
            size_bytes += len(data)
            if size_bytes > limit_bytes:
                raise aiohttp.ClientPayloadError(f'reply is larger than {limit_bytes} bytes')
            record_held(size_bytes + PART_OBJECT_BYTES * len(parts) + READ_AHEAD_BYTES)
        return b''.join(parts)
    finally:
        # The traceback of an error keeps this frame for a while.
        parts.clear()
