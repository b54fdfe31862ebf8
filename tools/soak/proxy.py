"""A loopback proxy that delays, cuts or silences the connections through it."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass

CHUNK_BYTES = 65_536
SILENCE_POLL_S = 0.02


@dataclass(frozen=True, slots=True)
class Fault:
    """Define how bytes are delayed or held back, towards the target and back."""

    delay_s: float = 0.0
    silent_forward: bool = False
    silent_back: bool = False
    # Sends what comes back once more after this time.
    repeat_after_s: float | None = None


NO_FAULT = Fault()


class FaultyProxy:
    """Forward connections to one target, subject to the current fault."""

    def __init__(self, ip: str, target: str) -> None:
        self.ip = ip
        self.target = target
        self.address = ''
        self.fault = NO_FAULT
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
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
            # The target tells its senders apart by their addresses.
            sender_ip = writer.get_extra_info('peername')[0]
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port), local_addr=(sender_ip, 0)
            )
        except OSError:
            # Resets the connection, since the target would refuse it too.
            writer.transport.abort()
            return
        pair = {writer, target_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._copy(reader, target_writer, forward=True),
                self._copy(target_reader, writer, forward=False),
            )
        finally:
            self._writers -= pair
            for pair_writer in pair:
                pair_writer.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, forward: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                while self.fault.silent_forward if forward else self.fault.silent_back:
                    await asyncio.sleep(SILENCE_POLL_S)
                if self.fault.delay_s:
                    await asyncio.sleep(self.fault.delay_s)
                writer.write(data)
                if not forward and self.fault.repeat_after_s is not None:
                    asyncio.get_running_loop().call_later(
                        self.fault.repeat_after_s, _write_again, writer, data
                    )
                await writer.drain()
        # Propagates the end of the connection to the other side.
        writer.transport.abort()


def _write_again(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)
