"""A client's connection to an HTTP server."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import TYPE_CHECKING, Any

import httptools

from .messages import (
    FRAMING_BYTES_PER_BODY_BYTE,
    FRAMING_NAMES,
    Request,
    Response,
    encode_response,
    find_header,
    write_response,
)
from .receive_budget import HEADER_OBJECT_BYTES, REQUEST_OBJECT_BYTES
from .round_trip import read_round_trip_ms

if TYPE_CHECKING:
    from .server import Cancel, HttpServer

logger = logging.getLogger(__name__)

PREFIX = '[caller]'
# Pipelined requests are queued until the earlier ones are answered; parsing pauses at this many.
PIPELINE_LIMIT_COUNT = 16
# Bytes that are parsed at once, after which the queue is checked: a request can have 18 bytes.
PARSE_STEP_BYTES = 4_096
# Requests of a connection that are started in a turn of the event loop, before other connections
# have theirs.
START_BATCH_COUNT = 4
# Past the connection limit, a connection on which no request has been answered or finished for
# this long gives its place to a new one.
SILENT_S = 1.0


class ServerConnection(asyncio.Protocol):
    """Hold one client's connection and answer its requests in order."""

    is_from_caller = True

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._parser: Any = httptools.HttpRequestParser(self)
        # Received bytes that are parsed once the queue has room for further requests.
        self._unparsed = b''
        self._parsing_due = False
        self._reading_paused = False
        # Requests that wait for the answers before theirs, with the bytes that each holds.
        self._queued: deque[tuple[Request, bool, int]] = deque()
        self._queued_bytes = 0
        self._start_due = False
        self._answering = False
        self._cancel: Cancel | None = None
        self._request_count = 0
        self._closed = False
        self._refused = False
        self._idle_since_s = self._loop.time()
        # When the first byte of the current request was received.
        self._request_start_s = 0.0
        # Since when answers wait to be read by the client, and whether the write buffer is full.
        self._unread_since_s: float | None = None
        self._write_paused = False
        self._receiving = False
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        # Bytes received with a body that are not part of it: chunk sizes, extensions, trailers.
        self._framing_bytes = 0
        # The parser keeps an unfinished trailer, which can only follow the size of a chunk.
        self._after_chunk_size = False
        self._chunk_size_count = 0
        self._trailer_bytes = 0
        self._in_headers = False
        # Chunks may be a byte long each, and an object for each would take many times their size.
        self._body = bytearray()
        self._body_bytes = 0
        self._body_limit_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received, queued or answered."""
        busy = self._answering or self._receiving or self._queued or self._unparsed
        return not busy

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or abort it if there are too many."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if not self.server.make_room():
            self.server.repeated.add('connection refused: too many are open')
            transport.abort()
            return
        self.server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request in progress, since its client has disconnected."""
        self._closed = True
        self._discard_queued()
        self.server.budget.release(self)
        # This object is part of reference cycles, so it is freed some time later.
        self._unparsed = b''
        self._body = bytearray()
        self._headers = []
        self.server.connections.discard(self)
        cancel, self._cancel = self._cancel, None
        if self._answering and cancel is not None:
            cancel()

    def data_received(self, data: bytes) -> None:
        """Parse the data and start complete requests."""
        if self._refused or self._closed:
            return
        self._unparsed += data
        self._parse_received()

    def _parse_received(self) -> None:
        """Parse what was received as long as the queue has room, and start complete requests."""
        self._parsing_due = False
        data, position = self._unparsed, 0
        while position < len(data) and not (self._refused or self._is_parsing_paused):
            self._receive(data[position : position + PARSE_STEP_BYTES])
            position += PARSE_STEP_BYTES
        self._unparsed = b'' if self._refused else data[position:]
        self._update_budget()
        self._start_next()
        self._continue_receiving()

    @property
    def _is_parsing_paused(self) -> bool:
        return len(self._queued) >= PIPELINE_LIMIT_COUNT

    def _continue_receiving(self) -> None:
        """Parse the rest in another turn of the event loop, or read on once there is none."""
        if self.transport is None or self._closed or self._refused:
            return
        if self._is_parsing_paused:
            self._reading_paused = True
            self.transport.pause_reading()
            return
        if self._unparsed and not self._parsing_due:
            self._parsing_due = True
            self._loop.call_soon(self._parse_received)
        if self._reading_paused and not self._unparsed:
            self._reading_paused = False
            # The client does not cause this pause.
            self._request_start_s = self._loop.time()
            self.transport.resume_reading()

    def _receive(self, data: bytes) -> None:
        """Parse a part of the received data and check the limits."""
        chunk_size_count = self._chunk_size_count
        if self._in_headers or not self._receiving:
            self._header_bytes += len(data)
        else:
            self._framing_bytes += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserError as error:
            logger.info('%s bad request: %s', PREFIX, error)
            self._refuse(400)
        if self._chunk_size_count != chunk_size_count:
            self._trailer_bytes = 0
        elif self._after_chunk_size:
            self._trailer_bytes += len(data)
        limits = self.server.limits
        allowed_bytes = limits.header_limit_bytes + FRAMING_BYTES_PER_BODY_BYTE * self._body_bytes
        if (
            (self._in_headers and self._header_bytes > limits.header_limit_bytes)
            or self._trailer_bytes > limits.header_limit_bytes
            or self._framing_bytes > allowed_bytes
        ):
            self._refuse(431)
        elif self._body_bytes > self._body_limit_bytes:
            self._refuse(413)

    def _parse(self, data: bytes) -> None:
        """Parse the data; an offer of another protocol is not taken up."""
        while data:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                if self._parser.get_method() == b'CONNECT':
                    self._refuse(400)
                    return
                data = data[offer.args[0] :]
                self._renew_parser()

    def _renew_parser(self) -> None:
        """Read on after an offer, at which a parser stops, also before a body."""
        before, self._parser = self._parser, httptools.HttpRequestParser(self)
        if not self._receiving:
            return
        target, headers, start_s = self._target, self._headers, self._request_start_s
        head = [b'%b / HTTP/1.1' % before.get_method()]
        head += [b'%b: %b' % item for item in headers if item[0].lower() in FRAMING_NAMES]
        if not before.should_keep_alive():
            head.append(b'Connection: close')
        # Only how long the body is; the head of the request itself is kept.
        self._parser.feed_data(b'\r\n'.join((*head, b'', b'')))
        self._target, self._headers, self._request_start_s = target, headers, start_s

    def pause_writing(self) -> None:
        """Start no further request until the client has read its answers."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Continue with the queued requests."""
        self._write_paused = False
        self._update_budget()
        self._start_next()

    def shed(self) -> None:
        """Refuse an unfinished request, or end a connection whose client reads no answers."""
        limit_bytes = self.server.budget.limit_bytes
        is_requesting = self._receiving or self._queued or self._unparsed
        if self._write_paused or not is_requesting:
            self.server.repeated.add(f'unread answers dropped: held bytes exceed {limit_bytes}')
            self.abort()
            return
        self.server.repeated.add(f'request refused: held bytes exceed {limit_bytes}')
        self._discard_queued()
        self._refuse(503)
        self._start_next()

    @property
    def has_sent(self) -> bool:
        """Return whether a whole request has come on this connection."""
        return self._request_count > 0

    def silent_since_s(self, now_s: float) -> float | None:
        """Return since when no request has been finished or answered, None for a short while."""
        if self._answering or self._queued or self._write_paused:
            return None
        since_s = self._request_start_s if self._receiving else self._idle_since_s
        return since_s if now_s - since_s >= SILENT_S else None

    def abort(self) -> None:
        """End the connection at once."""
        self._closed = True
        self.server.connections.discard(self)
        self.server.budget.release(self)
        if self.transport is not None:
            self.transport.abort()

    def check_timeouts(self, now_s: float) -> None:
        """Close a connection that is idle, or whose client sends or reads too slowly."""
        limits = self.server.limits
        if self._write_paused or self._unread_since_s is not None:
            self._update_budget()
        receiving_time_s = now_s - self._request_start_s
        if self._has_stalled_reader(now_s, limits.answer_timeout_s):
            logger.info('%s connection ended: client did not read its answers in time', PREFIX)
            assert self.transport is not None
            self.transport.abort()
        elif not self._reading_paused and (
            (self._in_headers and receiving_time_s > limits.header_timeout_s)
            or (self._receiving and receiving_time_s > limits.body_timeout_s)
        ):
            self._refuse(408)
            self._start_next()
        elif self.is_idle and now_s - self._idle_since_s > limits.idle_timeout_s:
            self.close()

    def _has_stalled_reader(self, now_s: float, timeout_s: float) -> bool:
        if self.transport is None or not self.transport.get_write_buffer_size():
            self._unread_since_s = None
            return False
        if self._unread_since_s is None:
            self._unread_since_s = now_s
        return now_s - self._unread_since_s > timeout_s

    def _update_budget(self) -> None:
        """Record the bytes of requests that have not started and of answers that wait."""
        held_bytes = self._queued_bytes + len(self._unparsed)
        if self._receiving and not self._refused:
            held_bytes += self._body_bytes + self._header_bytes + self._trailer_bytes
            held_bytes += HEADER_OBJECT_BYTES * len(self._headers)
        if self.transport is not None:
            held_bytes += self.transport.get_write_buffer_size()
        if held_bytes:
            self.server.budget.set_held_bytes(self, held_bytes)
        else:
            self.server.budget.release(self)

    def close(self) -> None:
        """Close the connection after sending the data written so far."""
        if self.transport is not None:
            self.transport.close()

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._receiving = self._in_headers = True
        self._request_start_s = self._loop.time()
        self._target = b''
        self._headers = []
        self._body = bytearray()
        self._body_bytes = self._framing_bytes = self._trailer_bytes = 0
        self._after_chunk_size = False

    def on_url(self, url: bytes) -> None:
        """Store a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header; trailers are ignored."""
        if self._in_headers:
            self._headers.append((name, value.strip(b' \t')))

    def on_headers_complete(self) -> None:
        """Begin the body; send 100 Continue if the client expects it."""
        header_bytes = len(self._target) + sum(
            len(key) + len(value) + 4 for key, value in self._headers
        )
        self._in_headers = False
        self._header_bytes = 0
        self._body_limit_bytes = self.server.limits.body_limit_bytes
        if self.server.body_limit is not None:
            limit_bytes = self.server.body_limit(self._parser.get_method(), self._target)
            self._body_limit_bytes = min(self._body_limit_bytes, limit_bytes)
        if header_bytes > self.server.limits.header_limit_bytes:
            self._refuse(431)
        expectation = find_header(tuple(self._headers), b'expect')
        if expectation is not None and expectation.lower() == b'100-continue' and self.transport:
            self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_chunk_header(self) -> None:
        """Expect a part of the body or, after the last chunk, the trailers."""
        self._after_chunk_size = True
        self._chunk_size_count += 1

    def on_body(self, body: bytes) -> None:
        """Store a part of the body, up to the limit."""
        self._after_chunk_size = False
        self._body_bytes += len(body)
        self._framing_bytes -= len(body)
        if not self._refused and self._body_bytes <= self._body_limit_bytes:
            self._body += body

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        if self._parser.should_upgrade() and self._declares_body():
            # The parser leaves the body of a request with an offer to the other protocol.
            return
        self._receiving = False
        self._idle_since_s = self._loop.time()
        if self._refused or self._body_bytes > self._body_limit_bytes:
            return
        # What an idle connection keeps would not be counted.
        headers, self._headers = tuple(self._headers), []
        body, self._body = bytes(self._body), bytearray()
        round_trip_ms = read_round_trip_ms(self.transport)
        # Connecting takes a round trip before the first request on a connection can be sent.
        connecting_ms = round_trip_ms * (
            1.5 if self._request_count == 0 and not self._queued else 0.5
        )
        request = Request(
            self._parser.get_method(),
            self._target,
            headers,
            body,
            connecting_ms,
            round_trip_ms / 2,
        )
        held_bytes = _held_bytes(request)
        self._queued_bytes += held_bytes
        self._queued.append((request, self._parser.should_keep_alive(), held_bytes))

    def _discard_queued(self) -> None:
        self._queued.clear()
        self._queued_bytes = 0

    def _declares_body(self) -> bool:
        values = [value for name, value in self._headers if name.lower() in FRAMING_NAMES]
        return any(value != b'0' for value in values)

    def _refuse(self, status: int) -> None:
        """Answer an invalid request with an error after the earlier requests, then close."""
        if not self._refused:
            self._refused = True
            self._refusal = Response(status)
            self._body = bytearray()
            self._headers = []
            self._unparsed = b''
            # Further data is ignored; the error is sent once the earlier requests are answered.
            self._receiving = self._in_headers = False

    def _schedule_start(self) -> None:
        """Start the next requests in another turn of the event loop."""
        if not self._start_due:
            self._start_due = True
            self._loop.call_soon(self._start_next)

    def _start_next(self) -> None:
        self._start_due = False
        started_count = 0
        while not self._answering and not self._closed and not self._write_paused:
            if not self._queued:
                if self._refused and self.transport is not None:
                    self.transport.write(encode_response(self._refusal, close=True))
                    self.transport.close()
                    self._closed = True
                return
            if started_count == START_BATCH_COUNT:
                self._schedule_start()
                return
            started_count += 1
            request, keep_alive, held_bytes = self._queued.popleft()
            self._queued_bytes -= held_bytes
            # A refusal for want of room comes after its answer.
            self._answering = True
            self._update_budget()
            self._start(request, keep_alive)

    def _start(self, request: Request, keep_alive: bool) -> None:
        self._answering = True
        self._request_count += 1
        number = self._request_count

        def respond(response: Response) -> None:
            if number == self._request_count and self._answering:
                self._respond(response, keep_alive)

        try:
            self._cancel = self.server.handler(request, respond)
        except Exception:
            logger.exception('%s request failed', PREFIX)
            respond(Response(500))
        if not self._answering:
            self._cancel = None

    def _respond(self, response: Response, keep_alive: bool) -> None:
        self._answering = False
        self._cancel = None
        self._idle_since_s = self._loop.time()
        if self._closed or self.transport is None:
            return
        close = not keep_alive or self.server.closing
        write_response(self.transport, response, close)
        if close:
            self.transport.close()
            self._closed = True
        if self.transport.get_write_buffer_size():
            self._update_budget()
        if self._closed:
            return
        self._continue_receiving()
        if self._queued or self._refused:
            self._schedule_start()


def _held_bytes(request: Request) -> int:
    """Return the memory that a request takes while it waits to be handled."""
    held_bytes = REQUEST_OBJECT_BYTES + len(request.target) + len(request.body)
    for key, value in request.headers:
        held_bytes += HEADER_OBJECT_BYTES + len(key) + len(value)
    return held_bytes
