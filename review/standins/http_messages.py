"""Read and write HTTP/1.1 messages on asyncio streams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

HEAD_LIMIT_BYTES = 65_536


class HttpError(Exception):
    """Report a connection that ended, or bytes that are no message."""


@dataclass(slots=True)
class Message:
    """Hold one request or response; the first line is split into three parts."""

    first: tuple[str, str, str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    all_headers: list[tuple[str, str]] = field(default_factory=list)

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a length or in chunks, None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise HttpError('the connection ended within a head') from error
    except (asyncio.LimitOverrunError, OSError) as error:
        raise HttpError(str(error)) from error
    lines = head.decode('latin-1').split('\r\n')
    first = lines[0].split(' ', 2)
    if len(first) < 2:
        raise HttpError(f'not HTTP: {lines[0]!r}')
    headers: dict[str, str] = {}
    all_headers: list[tuple[str, str]] = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
            all_headers.append((name.strip().lower(), value.strip()))
    first_line = (first[0], first[1], first[2] if len(first) > 2 else '')
    message = Message(first_line, headers, all_headers=all_headers)
    try:
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            message.body = await _read_chunks(reader)
        else:
            message.body = await reader.readexactly(int(headers.get('content-length', '0')))
    except (asyncio.IncompleteReadError, ValueError, OSError) as error:
        raise HttpError('the connection ended within a body') from error
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if size == 0:
            return b''.join(parts)


def encode(first: str, headers: dict[str, str], body: bytes = b'', length: bool = True) -> bytes:
    """Encode a message."""
    lines = [first, *(f'{name}: {value}' for name, value in headers.items())]
    if length:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
    timeout_s: float = 1.0,
) -> Message:
    """Send one request on a new connection and return its response."""
    host, port = address.rsplit(':', 1)
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            all_headers = {'Host': address, 'Connection': 'close', **(headers or {})}
            writer.write(encode(f'{method} {path} HTTP/1.1', all_headers, body))
            reply = await read_message(reader)
        finally:
            writer.transport.abort()
    if reply is None:
        raise HttpError('the connection ended without a response')
    return reply
