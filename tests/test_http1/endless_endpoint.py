"""Start an endpoint in a process of its own whose replies do not end."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ENDLESS_SERVER = Path(__file__).parent / 'endless_server.py'


@contextlib.asynccontextmanager
async def endless_endpoint(kind: str) -> AsyncIterator[tuple[str, asyncio.StreamWriter]]:
    """Yield the address of an endpoint and its standard input, and end it afterwards."""
    # The buffers of a server in this process would count as growth.
    server = await asyncio.create_subprocess_exec(
        sys.executable,
        str(ENDLESS_SERVER),
        kind,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert server.stdin is not None
    assert server.stdout is not None
    try:
        yield f'127.0.0.1:{int(await server.stdout.readline())}', server.stdin
    finally:
        server.stdin.close()
        await server.wait()
