"""Provide an HTTP server that sends prepared replies in place of an instance."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import urlsplit

from pistachioloft_core.codec import encode_json
from pistachioloft_core.errors import RESULTS, ResultCode


class CloseWithoutReply:
    """Close the connection after the request without sending a reply."""


class TricklingReply:
    """Send the body one byte at a time without reaching its end."""


class UnreadableReply:
    """Send bytes that cannot be decoded as a reply."""


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """Hold a request that the fake instance received."""

    method: str
    target: str
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


class FakeInstance:
    """Send the replies set for a path in order, and the last one repeatedly."""

    def __init__(self) -> None:
        self.replies: dict[tuple[str, str], list[Any]] = {}
        self.received_requests: list[ReceivedRequest] = []
        self.server = ThreadingHTTPServer(('127.0.0.1', 0), self._make_handler())
        self.server.daemon_threads = True
        self.thread = threading.Thread(target=self.server.serve_forever, args=(0.01,))
        self.thread.start()

    @property
    def address(self) -> str:
        return f'127.0.0.1:{self.server.server_address[1]}'

    def set_replies(self, method: str, path: str, *replies: Any) -> FakeInstance:
        self.replies[(method, path)] = list(replies)
        return self

    def posted_bodies(self, path: str) -> list[bytes]:
        return [
            request.body
            for request in self.received_requests
            if request.target == path and request.method == 'POST'
        ]

    def stop(self) -> None:
        self.server.shutdown()
        self.server.server_close()
        self.thread.join()

    def _next(self, method: str, target: str) -> Any:
        replies = self.replies[(method, urlsplit(target).path)]
        return replies.pop(0) if len(replies) > 1 else replies[0]

    def _make_handler(fake: FakeInstance) -> type[BaseHTTPRequestHandler]:  # noqa: N805
        class Handler(BaseHTTPRequestHandler):
            def handle_any(self) -> None:
                body = self.rfile.read(int(self.headers.get('Content-Length', 0)))
                headers = dict(self.headers.items())
                fake.received_requests.append(
                    ReceivedRequest(self.command, self.path, body, headers)
                )
                reply = fake._next(self.command, self.path)
                if callable(reply) and not isinstance(reply, type):
                    reply = reply(body)
                if reply is CloseWithoutReply:
                    self.close_connection = True
                    self.connection.shutdown(socket.SHUT_RDWR)
                    return
                if reply is TricklingReply:
                    self._trickle()
                    return
                data = b'<html>' if reply is UnreadableReply else encode_json(reply)
                code = getattr(reply, 'result_code', ResultCode.COMPLETE)
                self.send_response(RESULTS[code].http_status)
                self.send_header('Content-Length', str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def _trickle(self) -> None:
                self.send_response(200)
                self.send_header('Content-Length', '1000000')
                self.end_headers()
                with contextlib.suppress(OSError):
                    while True:
                        self.wfile.write(b' ')
                        time.sleep(0.005)

            do_GET = handle_any  # noqa: N815
            do_POST = handle_any  # noqa: N815

            def log_message(self, *arguments: Any) -> None:
                pass

        return Handler


def closed_address() -> str:
    """Return an address on which nothing listens."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'
