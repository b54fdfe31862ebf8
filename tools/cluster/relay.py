"""Relay TCP connections between daemons and hold back their bytes on demand."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine

CHUNK_BYTES = 65536


class Relay:
    """Forward connections to a target; a silenced connection stays open and forwards nothing."""

    def __init__(self, hub: RelayHub, target: str) -> None:
        self.hub = hub
        self.target = target
        self.address = ''
        self.cut = False
        self.silent_connections: set[int] = set()
        self.open_writers: dict[int, asyncio.StreamWriter] = {}
        self.connection_count = 0

    async def start(self, host: str) -> None:
        """Listen on a free port of a host."""
        server = await asyncio.start_server(self._accept, host, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    def silence_open(self) -> int:
        """Silence the open connections permanently and return how many there are."""
        self.silent_connections.update(self.open_writers)
        return len(self.open_writers)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        number = self.connection_count
        host, port = self.target.rsplit(':', 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        self.open_writers[number] = writer
        pumps = (
            asyncio.ensure_future(self._pump(number, reader, target_writer)),
            asyncio.ensure_future(self._pump(number, target_reader, writer)),
        )
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for pump in pumps:
            pump.cancel()
        self.open_writers.pop(number, None)
        for open_writer in (writer, target_writer):
            open_writer.close()

    async def _pump(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                # Bytes are held rather than dropped: TCP delivers them once a network cut heals.
                while self.cut or number in self.silent_connections:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()


class RelayHub:
    """Run relays on an event loop in a separate thread."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.relays: list[Relay] = []

    def relay(self, target: str) -> Relay:
        """Start a relay to a target."""
        relay = Relay(self, target)
        self._run(relay.start('127.0.0.1'))
        self.relays.append(relay)
        return relay

    def silence_open(self, relay: Relay) -> int:
        """Silence the open connections of a relay permanently and return how many there are."""

        async def silence() -> int:
            return relay.silence_open()

        return self._run(silence())

    def close(self) -> None:
        """Stop forwarding and close all connections."""

        async def cancel_tasks() -> int:
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            return len(tasks)

        self._run(cancel_tasks())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)

    def _run(self, coroutine: Coroutine[None, None, int | None]) -> int:
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10) or 0
