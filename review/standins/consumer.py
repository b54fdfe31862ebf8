"""A stand-in consumer that keeps one connection for its requests."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from http_messages import HttpError, Message, call, encode, read_message

if TYPE_CHECKING:
    import random

    from deployment import Deployment

HOST = 'pupu76.example'
UPGRADE_HEADERS = {
    'Connection': 'Upgrade, HTTP2-Settings',
    'Upgrade': 'h2c',
    'HTTP2-Settings': 'AAMAAABkAAQCAAAAAAIAAAAA',
}


@dataclass(frozen=True, slots=True)
class Answer:
    """Record the answer to one request; status 0 means that the connection ended without one."""

    request_id: str
    sent_s: float
    ended_s: float
    status: int
    stamp: str
    body: bytes
    sent_to: str
    # All headers in order, with lower-case names.
    headers: tuple[tuple[str, str], ...] = ()


class Consumer:
    """Send requests one after the other."""

    def __init__(self, deployment: Deployment, zone: str, source: random.Random) -> None:
        self.deployment = deployment
        self.zone = zone
        self.source = source
        self.addresses: list[str] = []
        self.answers: list[Answer] = []
        # Offers HTTP/2 with the first request on each connection, as some HTTP clients do.
        self.offers_upgrade = False
        self._address = ''
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def resolve(self) -> None:
        """Ask a core machine for the addresses of front machines."""
        path = f'/-/resolve?name={HOST}&region=brisbane&zone={self.zone}'
        for machine in self.deployment.cores:
            try:
                reply = await call(self.deployment.directory_address(machine), 'GET', path)
            except (OSError, HttpError, TimeoutError):
                continue
            if reply.status == 200:
                self.addresses = json.loads(reply.body)['addrs']
                return

    async def send(self, method: str, path: str, body: bytes, limit_ms: int) -> Answer:
        """Send one request and wait for its answer, for as long as it has."""
        request_id = f'{self.source.getrandbits(64):016x}'
        headers = {
            'Host': HOST,
            'X-Request-Id': request_id,
            'X-Deadline-Ms': str(limit_ms),
        }
        sent_s = time.monotonic()
        reply: Message | None = None
        try:
            async with asyncio.timeout(limit_ms / 1000.0 + 1.0):
                if not await self._is_usable():
                    self.close()
                is_new = self._streams is None
                reader, writer = await self._connect()
                if is_new and self.offers_upgrade:
                    headers |= UPGRADE_HEADERS
                writer.write(encode(f'{method} {path} HTTP/1.1', headers, body))
                reply = await read_message(reader)
        except (OSError, HttpError, TimeoutError):
            pass
        answer = Answer(
            request_id,
            sent_s,
            time.monotonic(),
            reply.status if reply is not None else 0,
            reply.headers.get('x-response-stamp', '') if reply is not None else '',
            reply.body if reply is not None else b'',
            self._address,
            tuple(reply.all_headers) if reply is not None else (),
        )
        self.answers.append(answer)
        if reply is None or reply.headers.get('connection', '').lower() == 'close':
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None

    async def _is_usable(self) -> bool:
        """Return whether a kept connection is open and has brought nothing unasked."""
        if self._streams is None:
            return False
        try:
            async with asyncio.timeout(0.0):
                # Ends at once with bytes or with the end of the connection, else by the timeout.
                await self._streams[0].read(1)
        except TimeoutError:
            return True
        except OSError:
            pass
        return False

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is None:
            if not self.addresses:
                await self.resolve()
            if not self.addresses:
                raise HttpError('no address is known')
            self._address = self.source.choice(self.addresses)
            host, port = self._address.rsplit(':', 1)
            self._streams = await asyncio.open_connection(host, int(port))
        return self._streams
