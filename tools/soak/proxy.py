"""A loopback proxy that delays, cuts or silences the connections through it."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass

CHUNK_BYTES = 65_536
STEP_S = 0.02


@dataclass(frozen=True, slots=True)
class Fault:
    """Say what happens to the bytes of a connection, towards the target and back."""

    delay_s: float = 0.0
    silent_forward: bool = False
    silent_back: bool = False


HEALTHY = Fault()


class FaultyProxy:
    """Pass connections on to one target, as the present fault allows."""

    def __init__(self, ip: str, target: str) -> None:
        self.ip = ip
        self.target = target
        self.address = ''
        self.fault = HEALTHY
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a port of the kernel's choice."""
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{self.ip}:{port}'

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Close the address and every connection."""
        self.reset_all()
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, port = self.target.rsplit(':', 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            # As the target itself would refuse.
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._copy(reader, far_writer, forward=True),
                self._copy(far_reader, writer, forward=False),
            )
        finally:
            self._writers -= pair
            for each in pair:
                each.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, forward: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                while self.fault.silent_forward if forward else self.fault.silent_back:
                    await asyncio.sleep(STEP_S)
                if self.fault.delay_s:
                    await asyncio.sleep(self.fault.delay_s)
                writer.write(data)
                await writer.drain()
        # The other side sees the end that this side saw.
        writer.transport.abort()
