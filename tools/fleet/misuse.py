"""Messages of clients that misuse an address: they are too long, too many or never end."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .site import ROUTE_HOST

if TYPE_CHECKING:
    from collections.abc import Callable

    # Returns the message of the client with this number.
    Encode = Callable[[int], bytes]

LARGE_CHUNK_BYTES = 65_536
# A character outside the Basic Multilingual Plane: a text with one takes four bytes a character.
WIDE_CHARACTER = '\U0001f600'
HEADER_LINE = b'a:b\r\n'


@dataclass(frozen=True, slots=True)
class Target:
    """Define where requests are sent on an address, and with which body."""

    line: str
    # Returns a text of about this many bytes that is no valid body but takes long to refuse.
    make_body: Callable[[int], bytes] = lambda size_bytes: b'x' * size_bytes


def head(target: Target, number: int, extra: str = '') -> bytes:
    """Return the head of a request with its empty line."""
    lines = (
        f'{target.line} HTTP/1.1',
        f'Host: {ROUTE_HOST}',
        f'X-Request-Id: misuse{number}',
        'X-Deadline-Ms: 2000',
    )
    return ('\r\n'.join(lines) + f'\r\n{extra}\r\n').encode()


def chunked_head(target: Target, number: int) -> bytes:
    """Return the head of a request whose body comes in chunks."""
    return head(target, number, 'Transfer-Encoding: chunked\r\n')


def document_of_names(size_bytes: int) -> bytes:
    """Return an invalid configuration whose organisations all have the same empty name."""
    start, end = b'{"version":1,"routes":[],"services":[],"tenants":[', b'{"name":""}]}'
    each = b'{"name":""},'
    return start + each * ((size_bytes - len(start) - len(end)) // len(each)) + end


def document_of_wide_text(size_bytes: int) -> bytes:
    """Return a configuration with one route, on a host with a name of this size."""
    host = WIDE_CHARACTER + 'a' * (size_bytes - 200)
    text = (
        f'{{"version":1,"services":[],"routes":[{{"name":"r","host":"{host}","pathPrefix":"/w/",'
        '"routeKind":"idempotent","timeoutMs":1}]}'
    )
    return text.encode()


def announcement_of_wide_text(size_bytes: int) -> bytes:
    """Return the announcement of an endpoint whose service has a name of this size."""
    service = WIDE_CHARACTER + 'a' * (size_bytes - 200)
    text = (
        f'{{"service":"{service}","address":"127.0.0.1:9","zone":"z","slots":1,'
        '"state":"ready","seq":1}'
    )
    return text.encode()


def large_chunks(target: Target, size_bytes: int, whole: bool) -> Encode:
    """Return requests with a body in large chunks; a short one lacks its last chunk."""
    return _in_chunks(target, size_bytes, LARGE_CHUNK_BYTES, whole)


def small_chunks(target: Target, size_bytes: int, whole: bool) -> Encode:
    """Return requests with a body in chunks of a byte; a short one lacks its last chunk."""
    return _in_chunks(target, size_bytes, 1, whole)


def whole_body(target: Target, size_bytes: int) -> Encode:
    """Return requests whose body has a length."""
    body = target.make_body(size_bytes)
    return lambda number: head(target, number, f'Content-Length: {len(body)}\r\n') + body


def long_trailer(target: Target, size_bytes: int, trailer_bytes: int) -> Encode:
    """Return requests with a trailer that does not end."""
    body = target.make_body(size_bytes)
    rest = b'%x\r\n%b\r\n0\r\na: ' % (len(body), body) + b'b' * trailer_bytes
    return lambda number: chunked_head(target, number) + rest


def many_headers(target: Target, count: int) -> Encode:
    """Return requests with many short headers."""
    return lambda number: head(target, number, (HEADER_LINE * count).decode())


def short_requests(target: Target, count: int) -> Encode:
    """Return requests of the shortest form that follow one of the target at once."""
    return lambda number: head(target, number) + b'GET / HTTP/1.1\r\n\r\n' * count


def long_paths(method: str, prefix: str, size_bytes: int, count: int) -> Encode:
    """Return requests for paths of this size, each a different one."""

    def encode(number: int) -> bytes:
        heads = (
            head(Target(f'{method} {prefix}{number}-{each}-{"n" * size_bytes}'), number)
            for each in range(count)
        )
        return b''.join(heads)

    return encode


def _in_chunks(target: Target, size_bytes: int, chunk_bytes: int, whole: bool) -> Encode:
    body = target.make_body(size_bytes)
    chunks = [
        b'%x\r\n%b\r\n' % (len(chunk), chunk)
        for chunk in (
            body[start : start + chunk_bytes] for start in range(0, len(body), chunk_bytes)
        )
    ]
    data = b''.join(chunks) + b'0\r\n\r\n' if whole else b''.join(chunks[:-1])
    return lambda number: chunked_head(target, number) + data
