"""A client connection to an HTTP server that carries one request at a time."""

from __future__ import annotations

import asyncio
import http
import logging
import re
from typing import TYPE_CHECKING, Protocol

import httptools

from .messages import (
    FRAMING_BYTES_PER_BODY_BYTE,
    FRAMING_NAMES,
    Response,
    is_final_status,
    is_interim_status,
)
from .receive_budget import HEADER_OBJECT_BYTES

if TYPE_CHECKING:
    from .messages import Headers
    from .receive_budget import ReceiveBudget

logger = logging.getLogger(__name__)

PREFIX = '[endpoint]'
# No endpoint sends a longer reply; receiving one would exhaust the memory of the process.
BODY_LIMIT_BYTES = 16 * 1024 * 1024
# Status lines, headers, trailers and interim replies take some hundreds of bytes.
OVERHEAD_LIMIT_BYTES = 64 * 1024
# Chunks of a few bytes are allowed for bodies of this size. Parsing more of them would hold up all
# other requests of the process.
SMALL_CHUNKS_BODY_BYTES = 64 * 1024
# Each surplus reply costs a log line; a faulty endpoint may send them without end.
SURPLUS_LIMIT_COUNT = 16
# A reason phrase is not used; this is enough to find a status line in it.
REASON_LIMIT_BYTES = 256
FRAMING_NAME_LENGTHS = frozenset(map(len, FRAMING_NAMES))
OTHER_PROTOCOL = 'another protocol that was not asked for'
STATUS_LINE = re.compile(rb'HTTP/\d\.\d \d{3}')


class ClientEvents(Protocol):
    """Handle the events of a connection."""

    def on_reply(self, response: Response, reusable: bool) -> bool:
        """Handle a complete reply and return whether it belongs to the request in flight."""

    def on_closed(self, detail: str, complete_reply: Response | None) -> None:
        """Handle the end of the connection, with a reply that a clean close completed, if any."""


class ClientConnection(asyncio.Protocol):
    """Hold one connection, which is usable until `closing` is true."""

    is_from_caller = False

    def __init__(self, events: ClientEvents, budget: ReceiveBudget) -> None:
        self.events = events
        self.budget = budget
        self.transport: asyncio.Transport | None = None
        self.closing = False
        self.awaiting_reply = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        # Chunks may be a byte long each, and an object for each would take many times their size.
        self._body = bytearray()
        # Bytes received since the last request was sent: of bodies, and of everything else.
        self._body_bytes = 0
        self._overhead_bytes = 0
        # A reply has begun and is not complete; its head is complete.
        self._receiving = False
        self._in_message = False
        self._has_length = False
        self._reason = b''
        # Why the reply that is received cannot be used.
        self._fault = ''
        # Replies to other requests; another one may follow.
        self._surplus_count = 0
        self._replies: list[tuple[Response, bool]] = []

    @property
    def received_bytes(self) -> int:
        """Return the number of bytes received since the last request was sent."""
        return self._body_bytes + self._overhead_bytes

    def send(self, data: bytes, body: bytes = b'') -> None:
        """Send one request; the next may follow once its reply is delivered."""
        assert self.transport is not None
        self.awaiting_reply = True
        self._body_bytes = self._overhead_bytes = 0
        self.transport.write(data)
        if body:
            self.transport.write(body)

    def pause_writing(self) -> None:
        """Count the part of a request that the server has not read yet."""
        if self.transport is not None and not self.closing:
            # Nothing is shed at once, as a request is just being sent.
            self.budget.record_held_bytes(self, self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Count the request no more."""
        if not self._receiving:
            self.budget.release(self)

    def close(self) -> None:
        """Close the connection without any further event."""
        self.closing = True
        self.budget.release(self)
        self._discard_reply()
        if self.transport is not None:
            self.transport.abort()

    def shed(self) -> None:
        """End the connection because the unfinished replies exceed the budget."""
        self._end(f'unfinished replies take over {self.budget.limit_bytes} bytes')

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse the data and deliver complete replies."""
        if self.closing:
            return
        if not self.awaiting_reply:
            self._end('data without a request in flight')
            return
        self._overhead_bytes += len(data)
        error = ''
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            error = OTHER_PROTOCOL
        except httptools.HttpParserError as parse_error:
            error = f'not HTTP: {parse_error}'
        self._deliver_replies(self._fault or error or self._size_error())
        if self.awaiting_reply and not self.closing:
            object_bytes = HEADER_OBJECT_BYTES * len(self._headers)
            self.budget.set_held_bytes(self, self.received_bytes + object_bytes)

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end; a reply without a length is complete only after a clean close."""
        self.budget.release(self)
        if self.closing:
            return
        self.closing = True
        complete_reply = None
        if error is None and self._in_message and not self._has_length:
            complete_reply = self._make_response()
        self._discard_reply()
        self.events.on_closed(str(error) if error else 'closed by the server', complete_reply)

    def eof_received(self) -> bool:
        """Close on the server's end of stream."""
        return False

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Start a reply."""
        self._headers = []
        self._body = bytearray()
        self._receiving = True
        self._in_message = False
        self._has_length = False
        self._reason = b''

    def on_status(self, reason: bytes) -> None:
        """Store a part of the reason phrase, up to more than a status line."""
        if len(self._reason) < REASON_LIMIT_BYTES:
            self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header; trailers are ignored."""
        if b'HTTP/' in value:
            self._check_spliced(value)
        if self._in_message:
            return
        self._headers.append((name, value.strip(b' \t')))
        if len(name) in FRAMING_NAME_LENGTHS and name.lower() in FRAMING_NAMES:
            self._has_length = True

    def on_headers_complete(self) -> None:
        """Begin the body."""
        self._in_message = True
        self._check_spliced(self._reason)
        status = self._parser.get_status_code()
        if status == http.HTTPStatus.SWITCHING_PROTOCOLS:
            self._fault = OTHER_PROTOCOL
        elif not (is_final_status(status) or is_interim_status(status)):
            self._fault = f'unassigned status {status:03}'

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._body += body
        self._body_bytes += len(body)
        self._overhead_bytes -= len(body)

    def on_message_complete(self) -> None:
        """End a reply; interim replies are not delivered."""
        if is_final_status(self._parser.get_status_code()) and not self._fault:
            self._replies.append((self._make_response(), self._parser.should_keep_alive()))
        self._in_message = self._receiving = False

    def _check_spliced(self, text: bytes) -> None:
        """Reject a reply whose head continues one that was broken off."""
        # A reply that ends within its head is continued by the next one, from its status line on.
        if STATUS_LINE.search(text) is not None:
            self._fault = 'a status line within a head'

    def _size_error(self) -> str:
        if self._body_bytes > BODY_LIMIT_BYTES:
            return f'reply is larger than {BODY_LIMIT_BYTES} bytes'
        if self._surplus_count > SURPLUS_LIMIT_COUNT:
            return f'over {SURPLUS_LIMIT_COUNT} replies to other requests'
        small_chunks_bytes = min(self._body_bytes, SMALL_CHUNKS_BODY_BYTES)
        framing_bytes = FRAMING_BYTES_PER_BODY_BYTE * small_chunks_bytes + self._body_bytes
        allowed_bytes = OVERHEAD_LIMIT_BYTES + framing_bytes
        if self._overhead_bytes > allowed_bytes:
            return f'reply has over {OVERHEAD_LIMIT_BYTES} bytes beside its body'
        return ''

    def _discard_reply(self) -> None:
        """Free what was received; this object is part of reference cycles and is freed later."""
        self._body = bytearray()
        self._headers = []

    def _make_response(self) -> Response:
        headers: Headers = tuple(self._headers)
        body, self._body = bytes(self._body), bytearray()
        return Response(self._parser.get_status_code(), headers, body)

    def _deliver_replies(self, error: str) -> None:
        replies, self._replies = self._replies, []
        # Bytes after a complete reply belong to no request, so nothing can follow them.
        has_more = bool(error) or self._receiving
        for position, (response, keep_alive) in enumerate(replies):
            if self.closing or not self.awaiting_reply:
                break
            is_last = position == len(replies) - 1
            # Delivering the reply may start the next request on this connection.
            self.awaiting_reply = False
            self.budget.release(self)
            reusable = keep_alive and is_last and not (has_more or self._surplus_count)
            if not self.events.on_reply(response, reusable):
                # The reply was to an earlier request; the current one is still unanswered.
                self.awaiting_reply = True
                self._surplus_count += 1
            if not keep_alive:
                error = error or 'closed after the reply'
        if error:
            self._end(error)

    def _end(self, detail: str) -> None:
        if self.closing:
            return
        peer = self.transport.get_extra_info('peername') if self.transport is not None else None
        logger.info('%s connection ended: address=%s reason="%s"', PREFIX, peer, detail)
        self.close()
        self.events.on_closed(detail, None)
