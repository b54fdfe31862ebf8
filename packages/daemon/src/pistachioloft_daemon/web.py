"""Serve callers, endpoints and operators over HTTP with CherryPy."""

from __future__ import annotations

import concurrent.futures
import logging
import select
import socket
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import cherrypy
from cheroot import wsgi

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
# A body that takes longer than this holds a worker thread that others need.
BODY_TIMEOUT_S = 2.0
SOCKET_TIMEOUT_S = 2
HANG_UP_CHECK_S = 0.05
# Above this many waiting connections the kernel refuses new ones.
ACCEPT_QUEUE_COUNT = 512
STOP_TIMEOUT_S = 5


@dataclass(frozen=True, slots=True)
class Route:
    """Bind a method and path to a handler on the loop's thread."""

    method: str
    path: str
    body_type: type | None
    handler: Callable[..., Any]
    wait_ms: Callable[[Any], float]
    text: bool = False


class _SocketGateway(wsgi.Gateway_10):
    """Give the application the caller's socket, to notice that it hung up."""

    def get_environ(self) -> Any:
        environ: Any = super().get_environ()
        environ['pistachioloft.socket'] = self.req.conn.socket
        return environ


class Face:
    """Dispatch the requests of one listening address to the loop's thread."""

    def __init__(self, name: str, loop: asyncio.AbstractEventLoop, routes: tuple[Route, ...]):
        self.name = name
        self.loop = loop
        self.routes = {(route.method, route.path): route for route in routes}

    @cherrypy.expose
    def default(self, *segments: str, **parameters: str) -> bytes:
        """Answer any request of this face."""
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
        reply = self._call_loop(route, argument)
        return _render_text(reply) if route.text else _render(reply)

    def _call_loop(self, route: Route, argument: Any) -> Any:
        future: concurrent.futures.Future[Any] = concurrent.futures.Future()
        cancelled = concurrent.futures.Future[None]()
        self.loop.call_soon_threadsafe(_start, route.handler, argument, future, cancelled)
        client = cherrypy.serving.request.wsgi_environ.get('pistachioloft.socket')
        deadline_s = time.monotonic() + route.wait_ms(argument) / 1000.0
        while True:
            left_s = deadline_s - time.monotonic()
            try:
                return future.result(max(0.0, min(left_s, HANG_UP_CHECK_S)))
            except concurrent.futures.TimeoutError:
                if left_s <= 0:
                    raise CodedError(
                        ResultCode.OUTCOME_UNKNOWN, 'the instance gave no result in time'
                    ) from None
                if client is not None and not cancelled.done() and _hung_up(client):
                    self.loop.call_soon_threadsafe(cancelled.set_result, None)


class WebServers:
    """Hold the HTTP servers of the process."""

    def __init__(self) -> None:
        self.servers: list[wsgi.Server] = []
        self.threads: list[threading.Thread] = []
        cherrypy.config.update({'environment': 'embedded', 'log.screen': False})
        cherrypy.log.error_log.setLevel(logging.WARNING)

    def add(self, face: Face, address: str, thread_count: int) -> None:
        """Serve a face on an address with a bounded number of threads."""
        host, port = address.rsplit(':', 1)
        tree = cherrypy._cptree.Tree()
        application = tree.mount(face, '/', {'/': {'request.process_request_body': False}})
        application.log.error_log.setLevel(logging.WARNING)
        # One line for each HTTP request would hide the routing decisions.
        application.log.access = _log_nothing
        server = wsgi.Server(
            (host, int(port)),
            tree,
            numthreads=thread_count,
            max=thread_count,
            request_queue_size=ACCEPT_QUEUE_COUNT,
            timeout=SOCKET_TIMEOUT_S,
            shutdown_timeout=STOP_TIMEOUT_S,
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


def _start(
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
        raise CodedError(ResultCode.MALFORMED, 'the Content-Length header is missing')
    left_bytes = int(length)
    if left_bytes > BODY_LIMIT_BYTES:
        cherrypy.response.headers['Connection'] = 'close'
        raise CodedError(ResultCode.TOO_LARGE, f'at most {BODY_LIMIT_BYTES} bytes are read')
    deadline_s = time.monotonic() + BODY_TIMEOUT_S
    parts = []
    stream = cherrypy.request.rfile
    while left_bytes > 0:
        try:
            part = stream.read(min(left_bytes, 65536))
        except (TimeoutError, OSError) as error:
            raise CodedError(ResultCode.SLOW_SENDER, 'the body did not arrive') from error
        if not part:
            raise CodedError(ResultCode.MALFORMED, 'the body is shorter than its Content-Length')
        parts.append(part)
        left_bytes -= len(part)
        if time.monotonic() > deadline_s and left_bytes > 0:
            cherrypy.response.headers['Connection'] = 'close'
            raise CodedError(ResultCode.SLOW_SENDER, f'the body took over {BODY_TIMEOUT_S} s')
    return b''.join(parts)


def _hung_up(client: socket.socket) -> bool:
    """Say whether the caller closed its connection."""
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
