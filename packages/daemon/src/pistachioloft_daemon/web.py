"""Serve callers, endpoints and operators over HTTP with CherryPy."""

from __future__ import annotations

import concurrent.futures
import contextlib
import http
import logging
import select
import socket
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import cherrypy
from cheroot import wsgi
from cheroot.makefile import MakeFile, StreamReader
from cheroot.server import HTTPConnection, HTTPRequest

from pistachioloft_core.codec import decode_json, encode_json
from pistachioloft_core.errors import RESULTS, CodedError, ResultCode
from pistachioloft_core.messages.public import ErrorReply

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

logger = logging.getLogger(__name__)

PREFIX = '[caller]'
BODY_LIMIT_BYTES = 1024 * 1024
HEADER_LIMIT_BYTES = 16 * 1024
# A request that takes longer than this to arrive would hold a worker thread that others need.
BODY_TIMEOUT_S = 2.0
SOCKET_TIMEOUT_S = 2
DISCONNECT_CHECK_S = 0.05
# The kernel refuses new connections while this many wait to be accepted.
ACCEPT_QUEUE_COUNT = 512
STOP_TIMEOUT_S = 5
# Requests that may be queued for a worker thread. In a longer queue requests would outlast the
# timeouts of their senders, and senders that reconnect would lengthen it further.
QUEUED_LIMIT_COUNT = 128


@dataclass(frozen=True, slots=True)
class Route:
    """Bind a method and path to a handler on the loop's thread."""

    method: str
    path: str
    body_type: type | None
    handler: Callable[..., Any]
    timeout_ms: Callable[[Any], float]
    text: bool = False


# Result codes of requests that the HTTP library refuses itself, by the status that it would send.
_CODES_BY_STATUS = {
    '408': ResultCode.SLOW_SENDER,
    '413': ResultCode.TOO_LARGE,
    '414': ResultCode.TOO_LARGE,
    '500': ResultCode.INTERNAL_ERROR,
}
# A refused body is read up to this size: closing the connection with unread data could reset it
# before the caller has received the refusal.
DRAIN_LIMIT_BYTES = 4 * BODY_LIMIT_BYTES


class _Request(HTTPRequest):
    """Replace the plain-text refusals of the HTTP library by replies with a result code."""

    def simple_response(self, status: Any, msg: str = '') -> None:
        """Write a refusal and close the connection."""
        code = _CODES_BY_STATUS.get(str(status)[:3], ResultCode.MALFORMED)
        body = encode_json(_error_reply(CodedError(code, msg or str(status))))
        line = http.HTTPStatus(RESULTS[code].http_status)
        head = (
            f'HTTP/1.1 {line.value} {line.phrase}\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
        )
        self.close_connection = True
        with contextlib.suppress(OSError):
            self.conn.wfile.write(head.encode() + body)
            self.conn.wfile.flush()
            self.conn.socket.shutdown(socket.SHUT_WR)
            remaining_bytes = DRAIN_LIMIT_BYTES if code == ResultCode.TOO_LARGE else 0
            while remaining_bytes > 0 and (chunk := self.conn.rfile.raw.read(65536)):
                remaining_bytes -= len(chunk)


class _DeadlineSocket(socket.SocketIO):
    """Enforce one deadline on all reads of a request, however often single bytes arrive."""

    deadline_s = 0.0

    def readinto(self, buffer: Any) -> int | None:
        """Read available bytes, or time out at the deadline."""
        connection: socket.socket = self._sock  # type: ignore[attr-defined]
        connection.settimeout(max(0.001, self.deadline_s - time.monotonic()))
        try:
            return super().readinto(buffer)
        finally:
            connection.settimeout(SOCKET_TIMEOUT_S)


class _DeadlineReader(StreamReader):
    def __init__(self, sock: socket.socket, mode: Any, size: int) -> None:
        super(StreamReader, self).__init__(_DeadlineSocket(sock, mode), size)
        self.bytes_read = 0


def _make_file(sock: socket.socket, mode: str, size: int) -> Any:
    return _DeadlineReader(sock, mode, size) if 'r' in mode else MakeFile(sock, mode, size)


class _Connection(HTTPConnection):
    """Set one deadline for the arrival of each request."""

    RequestHandlerClass = _Request

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = None) -> None:
        super().__init__(server, sock, _make_file)
        self.awaited_data = False

    def communicate(self) -> bool:
        """Read and answer one request."""
        self.rfile.raw.deadline_s = time.monotonic() + BODY_TIMEOUT_S
        return bool(super().communicate())


class _Server(wsgi.Server):
    """Queue a new connection for a worker thread only after it has sent data."""

    ConnectionClass = _Connection

    def process_conn(self, conn: _Connection) -> None:
        """Queue a connection, or wait for the first bytes of a new one."""
        connections: Any = self._connections  # type: ignore[attr-defined]
        if conn.awaited_data or not connections.can_add_keepalive_connection:
            super().process_conn(conn)
        else:
            conn.awaited_data = True
            connections.put(conn)


class _SocketGateway(wsgi.Gateway_10):
    """Pass the caller's socket to the application, which checks it for a disconnect."""

    def get_environ(self) -> Any:
        environ: Any = super().get_environ()
        environ['pistachioloft.socket'] = self.req.conn.socket
        environ['pistachioloft.request'] = self.req
        return environ


class HttpInterface:
    """Dispatch the requests of one listening address to the loop's thread."""

    def __init__(self, name: str, loop: asyncio.AbstractEventLoop, routes: tuple[Route, ...]):
        self.name = name
        self.loop = loop
        self.routes = {(route.method, route.path): route for route in routes}

    @cherrypy.expose
    def default(self, *segments: str, **parameters: str) -> bytes:
        """Handle any request to this interface."""
        try:
            return self._dispatch('/' + '/'.join(segments), parameters)
        except CodedError as error:
            return _render(_error_reply(error))
        except Exception:
            logger.exception('%s request to %s failed', PREFIX, self.name)
            return _render(_error_reply(CodedError(ResultCode.INTERNAL_ERROR, 'see the log')))

    def _dispatch(self, path: str, parameters: dict[str, str]) -> bytes:
        route = self.routes.get((cherrypy.request.method, path))
        if route is None:
            detail = f'there is no {cherrypy.request.method} {path}'
            raise CodedError(ResultCode.UNKNOWN_PATH, detail)
        if route.body_type is None:
            argument: Any = parameters
        else:
            argument = decode_json(_read_body(), route.body_type)
        client = cherrypy.serving.request.wsgi_environ.get('pistachioloft.socket')
        if client is not None and _is_disconnected(client):
            raise CodedError(ResultCode.CANCELLED, 'the caller left before its request was read')
        reply = self._call_loop(route, argument, client)
        return _render_text(reply) if route.text else _render(reply)

    def _call_loop(self, route: Route, argument: Any, client: socket.socket | None) -> Any:
        future: concurrent.futures.Future[Any] = concurrent.futures.Future()
        cancelled = concurrent.futures.Future[None]()
        self.loop.call_soon_threadsafe(_run_handler, route.handler, argument, future, cancelled)
        deadline_s = time.monotonic() + route.timeout_ms(argument) / 1000.0
        while True:
            remaining_s = deadline_s - time.monotonic()
            try:
                return future.result(max(0.0, min(remaining_s, DISCONNECT_CHECK_S)))
            except concurrent.futures.TimeoutError:
                if remaining_s <= 0:
                    raise CodedError(
                        ResultCode.OUTCOME_UNKNOWN, 'the instance gave no result in time'
                    ) from None
                if client is not None and not cancelled.done() and _is_disconnected(client):
                    self.loop.call_soon_threadsafe(cancelled.set_result, None)


class WebServers:
    """Hold the HTTP servers of the process."""

    def __init__(self) -> None:
        self.servers: list[wsgi.Server] = []
        self.threads: list[threading.Thread] = []
        cherrypy.config.update({'environment': 'embedded', 'log.screen': False})
        cherrypy.log.error_log.setLevel(logging.WARNING)

    def add(self, interface: HttpInterface, address: str, thread_count: int) -> None:
        """Serve an interface on an address with a bounded number of threads."""
        host, port = address.rsplit(':', 1)
        tree = cherrypy._cptree.Tree()
        application = tree.mount(interface, '/', {'/': {'request.process_request_body': False}})
        application.log.error_log.setLevel(logging.WARNING)
        # One line for each HTTP request would hide the routing decisions.
        application.log.access = _log_nothing
        server = _Server(
            (host, int(port)),
            tree,
            numthreads=thread_count,
            max=thread_count,
            request_queue_size=ACCEPT_QUEUE_COUNT,
            timeout=SOCKET_TIMEOUT_S,
            shutdown_timeout=STOP_TIMEOUT_S,
            accepted_queue_size=QUEUED_LIMIT_COUNT,
            accepted_queue_timeout=0,
        )
        server.gateway = _SocketGateway
        server.max_request_header_size = HEADER_LIMIT_BYTES
        server.max_request_body_size = BODY_LIMIT_BYTES
        server.keep_alive_conn_limit = ACCEPT_QUEUE_COUNT
        self.servers.append(server)

    def start(self) -> None:
        """Bind all addresses, then begin to serve."""
        for server in self.servers:
            server.prepare()
        for server in self.servers:
            thread = threading.Thread(target=server.serve, name='http', daemon=True)
            thread.start()
            self.threads.append(thread)

    def stop(self) -> None:
        """Finish the requests in progress and close the sockets."""
        for server in self.servers:
            server.stop()
        for thread in self.threads:
            thread.join(STOP_TIMEOUT_S)


def _log_nothing() -> None:
    """Write no access log."""


def _run_handler(
    handler: Callable[..., Any],
    argument: Any,
    future: concurrent.futures.Future[Any],
    cancelled: concurrent.futures.Future[None],
) -> None:
    """Run a handler that fills `future` now or later."""
    try:
        handler(argument, future, cancelled)
    except CodedError as error:
        future.set_exception(error)
    except Exception as error:
        logger.exception('%s handler failed', PREFIX)
        if not future.done():
            future.set_exception(error)


def _read_body() -> bytes:
    length = cherrypy.request.headers.get('Content-Length')
    if length is None or not length.isdigit():
        # Without a length the end of the body is unknown, so no further request can be read.
        _close_after_reply()
        raise CodedError(ResultCode.MALFORMED, 'the Content-Length header is missing')
    remaining_bytes = int(length)
    if remaining_bytes > BODY_LIMIT_BYTES:
        _close_after_reply()
        raise CodedError(ResultCode.TOO_LARGE, f'at most {BODY_LIMIT_BYTES} bytes are read')
    deadline_s = time.monotonic() + BODY_TIMEOUT_S
    chunks = []
    stream = cherrypy.request.rfile
    while remaining_bytes > 0:
        try:
            chunk = stream.read(min(remaining_bytes, 65536))
        except (TimeoutError, OSError) as error:
            _close_after_reply()
            raise CodedError(ResultCode.SLOW_SENDER, 'the body did not arrive') from error
        if not chunk:
            raise CodedError(ResultCode.MALFORMED, 'the body is shorter than its Content-Length')
        chunks.append(chunk)
        remaining_bytes -= len(chunk)
        if time.monotonic() > deadline_s and remaining_bytes > 0:
            _close_after_reply()
            raise CodedError(ResultCode.SLOW_SENDER, f'the body took over {BODY_TIMEOUT_S} s')
    return b''.join(chunks)


def _close_after_reply() -> None:
    """Close the connection after the reply instead of reading the rest of the body."""
    cherrypy.serving.request.wsgi_environ['pistachioloft.request'].close_connection = True


def _is_disconnected(client: socket.socket) -> bool:
    """Return whether the caller has closed its connection."""
    try:
        readable, _, _ = select.select([client], [], [], 0)
        return bool(readable) and client.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b''
    except BlockingIOError:
        return False
    except (OSError, ValueError):
        return True


def _error_reply(error: CodedError) -> ErrorReply:
    status = RESULTS[error.code].run_status
    return ErrorReply(error.code, status, error.detail, error.retry_after_ms)


def _render(reply: Any) -> bytes:
    headers = cherrypy.response.headers
    headers['Content-Type'] = 'application/json'
    code = getattr(reply, 'result_code', ResultCode.COMPLETE)
    cherrypy.response.status = RESULTS[code].http_status
    retry_after_ms = getattr(reply, 'retry_after_ms', None)
    if retry_after_ms is not None:
        headers['Retry-After'] = str(max(1, -(-retry_after_ms // 1000)))
    return encode_json(reply)


def _render_text(reply: Any) -> bytes:
    content, content_type = reply
    cherrypy.response.headers['Content-Type'] = content_type
    return content if isinstance(content, bytes) else content.encode()
