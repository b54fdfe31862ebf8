"""An HTTP server on the event loop with limits on its clients' messages."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass

from .messages import Request, Response
from .receive_budget import ReceiveBudget
from .repeated_lines import RepeatedLines
from .server_connection import ServerConnection

logger = logging.getLogger(__name__)

PREFIX = '[caller]'
# Connections are checked for timeouts this often; the shortest timeout is seconds long.
SWEEP_INTERVAL_S = 0.25
BACKLOG_COUNT = 1024
# Connections accepted in one turn of the event loop, before those beyond the limit are closed.
ACCEPT_BATCH_COUNT = 16
# For servers whose clients send only small bodies.
DEFAULT_RECEIVE_LIMIT_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limit the size and the duration of messages, the idle time and the connections."""

    header_limit_bytes: int = 16_384
    body_limit_bytes: int = 1_048_576
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    connection_limit_count: int = 2_000
    # From the first byte of a request to its last; the same as the idle timeout.
    body_timeout_s: float = 15.0
    # How long written answers may wait for a client that does not read them.
    answer_timeout_s: float = 15.0


Cancel = Callable[[], None]
Respond = Callable[[Response], None]
# Answers a request immediately or later; the returned function is called if the client
# disconnects before that.
Handler = Callable[[Request, Respond], Cancel | None]
# Returns how many bytes the body of a request may have, from its method and its target.
BodyLimit = Callable[[bytes, bytes], int]


class HttpServer:
    """Listen on one address and pass each request to a handler."""

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: ServerLimits,
        budget: ReceiveBudget | None = None,
        body_limit: BodyLimit | None = None,
    ) -> None:
        self.address = address
        self.handler = handler
        self.limits = limits
        self.body_limit = body_limit
        self.budget = budget or ReceiveBudget(DEFAULT_RECEIVE_LIMIT_BYTES)
        # A closing server answers requests and closes each connection after its next answer.
        self.closing = False
        self.connections: set[ServerConnection] = set()
        self.repeated = RepeatedLines(logger, PREFIX)
        # Connections that may give their place to new ones; None until they are looked for.
        self._silent: list[ServerConnection] | None = None
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Start to listen."""
        host, port = self.address.rsplit(':', 1)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, int(port), backlog=ACCEPT_BATCH_COUNT
        )
        for listener in self._server.sockets:
            # The event loop accepts as many connections at once as the backlog that it is given.
            with contextlib.suppress(OSError), listener.dup() as duplicate:
                duplicate.listen(BACKLOG_COUNT)
        self._sweep()

    def stop_listening(self) -> None:
        """Refuse new connections."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self.stop_listening()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for connection in list(self.connections):
            connection.close()

    def make_room(self) -> bool:
        """End a silent connection if no further one may be open; return whether one may."""
        if len(self.connections) < self.limits.connection_limit_count:
            return True
        now_s = asyncio.get_running_loop().time()
        if self._silent is None:
            silent = [each for each in self.connections if each.silent_since_s(now_s) is not None]
            # Those that have never sent a request are the first to go, at the end of the list.
            silent.sort(key=lambda each: (not each.has_sent, -(each.silent_since_s(now_s) or 0.0)))
            self._silent = silent
        while self._silent:
            connection = self._silent.pop()
            if connection in self.connections and connection.silent_since_s(now_s) is not None:
                self.repeated.add('silent connection ended in favour of a new one')
                connection.abort()
                return True
        return False

    def _sweep(self) -> None:
        self._silent = None
        self.repeated.report()
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        for connection in list(self.connections):
            connection.check_timeouts(now_s)
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)
