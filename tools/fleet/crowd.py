"""A crowd of callers that nobody controls: they stop before the end, wait or do not read."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from .site import ROUTE_HOST

if TYPE_CHECKING:
    from collections.abc import Callable

BODY_LIMIT_BYTES = 262_144
DOCUMENT_LIMIT_BYTES = 16 * 1024 * 1024
# A crowd is left alone at last; until then its members are given the time that they need.
SEND_TIMEOUT_S = 30.0
READ_SIZE_BYTES = 65_536


def request_head(number: int, extra: str, target: str = '/one/x') -> bytes:
    """Return the head of a caller's request, with further headers and the empty line."""
    lines = (
        f'POST {target} HTTP/1.1',
        f'Host: {ROUTE_HOST}',
        f'X-Request-Id: crowd{number}',
        'X-Deadline-Ms: 2000',
        extra,
    )
    return '\r\n'.join(lines).encode()


def _chunked(number: int) -> bytes:
    return request_head(number, 'Transfer-Encoding: chunked\r\n\r\n')


def _large_chunk(number: int) -> bytes:
    return _chunked(number) + b'%x\r\n' % BODY_LIMIT_BYTES + b'x' * (BODY_LIMIT_BYTES - 1)


def _small_chunks(number: int) -> bytes:
    return _chunked(number) + b'2\r\nab\r\n' * (BODY_LIMIT_BYTES // 2 - 1)


def _whole(number: int, target: str = '/one/x') -> bytes:
    framing = f'Content-Length: {BODY_LIMIT_BYTES}\r\n\r\n'
    return request_head(number, framing, target) + b'x' * BODY_LIMIT_BYTES


def _document(framing: str, size_bytes: int) -> bytes:
    lines = ('PUT /-/config HTTP/1.1', f'Host: {ROUTE_HOST}', framing)
    return '\r\n'.join(lines).encode() + b'[' * size_bytes


# What each member of a crowd sends.
MESSAGES: dict[str, Callable[[int], bytes]] = {
    'nothing': lambda _number: b'',
    'large chunk': _large_chunk,
    'small chunks': _small_chunks,
    'unfinished head': lambda number: request_head(number, '') + b'a:b\r\n' * 3_000,
    'whole body': _whole,
    'whole body to all shards': lambda number: _whole(number, '/all/x'),
    'whole document': lambda _number: _document(
        f'Content-Length: {DOCUMENT_LIMIT_BYTES}\r\n\r\n', DOCUMENT_LIMIT_BYTES
    ),
    'unfinished document': lambda _number: _document(
        f'Transfer-Encoding: chunked\r\n\r\n{DOCUMENT_LIMIT_BYTES:x}\r\n',
        DOCUMENT_LIMIT_BYTES - 1,
    ),
    'whole bodies at once': lambda number: _whole(number) * 16,
}


@dataclass(frozen=True, slots=True)
class Crowd:
    """Define a crowd: its size, what each member sends, and whether it reads the answers."""

    count: int
    message: str
    reads: bool = True
    # Each member sends once the one before it has its answer; otherwise all send at once.
    in_turn: bool = False
    # The size of the receive buffer of each member's socket; 0 leaves it to the kernel.
    receive_buffer_bytes: int = 0


class OpenCrowd:
    """Hold the connections of a crowd, which stay open until it is dispersed."""

    def __init__(
        self, crowd: Crowd, address: str, encode: Callable[[int], bytes] | None = None
    ) -> None:
        self.crowd = crowd
        self.encode = encode or MESSAGES[crowd.message]
        self.host, port = address.rsplit(':', 1)
        self.port = int(port)
        self.writers: list[asyncio.StreamWriter] = []
        self.reading: list[asyncio.Task[None]] = []

    async def send(self) -> None:
        """Send all messages, each as far as the other side reads it."""
        if self.crowd.in_turn:
            for number in range(self.crowd.count):
                await self._send(self.encode(number))
            return
        await asyncio.gather(
            *(self._send(self.encode(number)) for number in range(self.crowd.count))
        )

    async def disperse(self) -> None:
        """Close all connections."""
        for task in self.reading:
            task.cancel()
        await asyncio.gather(*self.reading, return_exceptions=True)
        for writer in self.writers:
            writer.transport.abort()

    async def _send(self, data: bytes) -> None:
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(SEND_TIMEOUT_S):
                reader, writer = await self._connect()
                self.writers.append(writer)
                if self.crowd.in_turn:
                    writer.write(data)
                    await reader.readuntil(b'\r\n\r\n')
                    return
                if self.crowd.reads:
                    self.reading.append(asyncio.get_running_loop().create_task(_read(reader)))
                writer.write(data)
                await writer.drain()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        size_bytes = self.crowd.receive_buffer_bytes
        if not size_bytes:
            return await asyncio.open_connection(self.host, self.port)
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)
        client.setblocking(False)
        await asyncio.get_running_loop().sock_connect(client, (self.host, self.port))
        return await asyncio.open_connection(sock=client, limit=size_bytes)


async def _read(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(READ_SIZE_BYTES):
            pass


def largest_memory_bytes(process_id: int) -> int:
    """Return the largest resident memory that a process has had, as counted by the kernel."""
    lines = Path(f'/proc/{process_id}/status').read_text().splitlines()
    (peak,) = (line.split()[1] for line in lines if line.startswith('VmHWM:'))
    return int(peak) * 1_024


def open_descriptor_count(process_id: int) -> int:
    """Return the number of a process's open descriptors."""
    return len(list(Path(f'/proc/{process_id}/fd').iterdir()))
