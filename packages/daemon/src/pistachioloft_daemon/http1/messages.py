"""HTTP/1.1 messages and their encoding."""

from __future__ import annotations

import http
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

Headers = tuple[tuple[bytes, bytes], ...]

_REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}
# Headers that apply to one connection only (RFC 9110, section 7.6.1).
CONNECTION_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)
# Headers that give the length of a body.
FRAMING_NAMES = frozenset((b'content-length', b'transfer-encoding'))
# Bytes of framing allowed for each byte of a chunked body: a chunk of one byte takes five for its
# size and line ends, and extensions may double that.
FRAMING_BYTES_PER_BODY_BYTE = 10
# Bodies up to this size are joined with their heads: a copy costs less than a write.
JOINED_LIMIT_BYTES = 65_536
# The gateway got no usable answer; it does not say that the request has not run.
_BAD_GATEWAY = 502


@dataclass(frozen=True, slots=True)
class Request:
    """Hold one request; the target is the path and query string as they were sent."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b''
    # Estimated transit time of the request, connecting included, and of its answer.
    connecting_ms: float = 0.0
    return_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Response:
    """Hold one response."""

    status: int
    headers: Headers = ()
    body: bytes = b''


def is_interim_status(status: int) -> bool:
    """Return whether a reply with this status announces another one to the same request."""
    # After 101 the connection would carry another protocol.
    return 100 <= status <= 199 and status != http.HTTPStatus.SWITCHING_PROTOCOLS


def is_final_status(status: int) -> bool:
    """Return whether a status can be that of an answer (RFC 9110, section 15)."""
    return 200 <= status <= 599


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header whose lower-case name is `name`."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers to forward, without those that apply to one connection."""
    connection_options = find_header(headers, b'connection')
    dropped_names = CONNECTION_HEADERS
    if connection_options is not None:
        dropped_names = dropped_names | {
            token.strip().lower() for token in connection_options.split(b',')
        }
    return tuple((key, value) for key, value in headers if key.lower() not in dropped_names)


def write_response(transport: asyncio.WriteTransport, response: Response, close: bool) -> None:
    """Write a response; a large body is not copied."""
    if len(response.body) <= JOINED_LIMIT_BYTES or not is_final_status(response.status):
        transport.write(encode_response(response, close))
        return
    transport.write(encode_head(response, close))
    transport.write(response.body)


def encode_response(response: Response, close: bool) -> bytes:
    """Encode a response with its Content-Length."""
    if not is_final_status(response.status):
        response = Response(_BAD_GATEWAY)
    return encode_head(response, close) + response.body


def encode_head(response: Response, close: bool) -> bytes:
    """Encode the head of a response."""
    reason = _REASONS.get(response.status, b'Unknown')
    parts = [b'HTTP/1.1 ', str(response.status).encode(), b' ', reason, b'\r\n']
    _add_headers(parts, response.headers)
    if response.status not in (204, 304):
        parts += (b'Content-Length: ', str(len(response.body)).encode(), b'\r\n')
    if close:
        parts.append(b'Connection: close\r\n')
    parts.append(b'\r\n')
    return b''.join(parts)


def _add_headers(parts: list[bytes], headers: Headers) -> None:
    for key, value in headers:
        parts += (key, b': ', value, b'\r\n')
