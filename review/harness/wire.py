"""A small HTTP/1.1 client on plain sockets."""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold an answer; status 0 means that the connection ended without a whole one."""

    status: int
    headers: dict[str, str]
    body: bytes = b''
    detail: str = ''


NO_ANSWER = Answer(0, {})


def encode(method: str, target: str, headers: dict[str, str], body: bytes | None = None) -> bytes:
    """Encode one request."""
    lines = [f'{method} {target} HTTP/1.1', *(f'{key}: {value}' for key, value in headers.items())]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + (body or b'')


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a first line and the headers, whose names become lower case."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')[:-2]
    headers = {}
    for line in lines:
        key, _, value = line.partition(':')
        headers[key.strip().lower()] = value.strip()
    return first, headers


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one whole answer with a length."""
    first, headers = await read_head(reader)
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return Answer(int(first.split(' ')[1]), headers, body)


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
    timeout_s: float = 1.0,
) -> Answer:
    """Send one request on a connection of its own."""
    host, port = address.rsplit(':', 1)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            own_headers = {'Host': address, 'Connection': 'close', **(headers or {})}
            writer.write(encode(method, target, own_headers, body))
            return await read_answer(reader)
    except (OSError, EOFError, ValueError, asyncio.LimitOverrunError) as error:
        return Answer(0, {}, b'', repr(error))
    finally:
        if writer is not None:
            writer.close()


async def call_any(
    addresses: list[str], method: str, target: str, document: Any = None
) -> tuple[str, Answer]:
    """Call the addresses in turn until one confirms; return it with its answer."""
    body = None if document is None else json.dumps(document).encode()
    headers = {'Content-Type': 'application/json'} if body is not None else {}
    address, answer = '', NO_ANSWER
    for address in addresses:
        answer = await call(address, method, target, headers, body)
        if 200 <= answer.status < 300 or answer.status in (400, 409, 412, 413, 422):
            break
    return address, answer


async def cancelled(task: asyncio.Task[Any]) -> None:
    """Cancel a task and wait for its end."""
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError, Exception):
        await task
