"""Run an instance whose links to endpoints are cut while a file says so."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import Any

from pistachioloft_daemon.platform.program import main

# Names the file with one of the modes; a missing or empty file means sound links.
FILE_VARIABLE = 'CUT_LINKS_FILE'
# Connections come from this address, by which endpoints tell instances apart.
IP_VARIABLE = 'INSTANCE_IP'
# Open connections carry nothing any more, and new ones are never established.
HANG = 'hang'
# Open connections are reset, and new ones are refused.
RESET = 'reset'
# Open connections live on, and new ones are refused.
REFUSE = 'refuse'
CHECK_INTERVAL_S = 0.02


class LinkCutter:
    """Hold the connections that this process opens, which all lead to endpoints."""

    def __init__(self, file: Path, ip: str) -> None:
        self.file = file
        self.ip = ip
        self.mode = ''
        self.transports: set[asyncio.Transport] = set()
        self.watching: asyncio.Task[None] | None = None
        self.create_connection = asyncio.BaseEventLoop.create_connection

    async def connect(self, loop: Any, factory: Any, host: Any, port: Any) -> Any:
        """Open a connection unless the links are cut."""
        if self.watching is None:
            self.watching = loop.create_task(self.watch())
        self.update()
        if self.mode == HANG:
            await asyncio.sleep(3_600.0)
        if self.mode:
            raise ConnectionRefusedError('the links are cut')
        transport, protocol = await self.create_connection(
            loop, factory, host, port, local_addr=(self.ip, 0)
        )
        self.transports = {other for other in self.transports if not other.is_closing()}
        self.transports.add(transport)
        return transport, protocol

    async def watch(self) -> None:
        """Apply changes of the mode to the open connections."""
        while True:
            self.update()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def update(self) -> None:
        """Read the mode."""
        mode = self.file.read_text().strip() if self.file.exists() else ''
        if mode == self.mode:
            return
        self.mode = mode
        for transport in self.transports:
            if transport.is_closing():
                continue
            if mode == HANG:
                transport.pause_reading()
            elif mode == RESET:
                transport.abort()
            elif not transport.is_reading():
                transport.resume_reading()


def run() -> None:
    """Run the instance with links that can be cut."""
    cutter = LinkCutter(Path(os.environ[FILE_VARIABLE]), os.environ[IP_VARIABLE])

    async def connect(loop: Any, factory: Any, host: Any = None, port: Any = None) -> Any:
        return await cutter.connect(loop, factory, host, port)

    asyncio.BaseEventLoop.create_connection = connect  # type: ignore[assignment]
    main()
