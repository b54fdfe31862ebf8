"""An endpoint in a process of its own whose replies do not end, except for the first on command."""

# Its argument says what the replies consist of. Prints its port, and sends the last byte of the
# reply to request 1 after a line on standard input.

from __future__ import annotations

import asyncio
import itertools
import sys

CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
# What begins an endless reply, what is repeated, and how often; 0 for without end.
KINDS = {
    'body': (b'\r\n', b'x' * 65_536, 0),
    'chunks': (CHUNKED, b'2\r\nab\r\n' * 8_192, 0),
    'headers': (b'', b'A: b\r\n' * 1_000, 10),
}
SOUND_BODY = b'y' * 200_000
HEAD = 'HTTP/1.1 200 OK\r\nX-Id: {}\r\n'


async def _serve(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    finish: asyncio.Event,
    kind: str,
) -> None:
    request_head = await reader.readuntil(b'\r\n\r\n')
    request_id = request_head.split(b' ', 2)[1][1:].decode()
    head = HEAD.format(request_id).encode()
    if request_id == '1':
        writer.write(head + b'Content-Length: %d\r\n\r\n' % len(SOUND_BODY) + SOUND_BODY[:-1])
        await writer.drain()
        await finish.wait()
        writer.write(SOUND_BODY[-1:])
        await writer.drain()
        return
    start, piece, count = KINDS[kind]
    writer.write(head + start)
    for _ in range(count) if count else itertools.repeat(None):
        writer.write(piece)
        await writer.drain()
    await reader.read()


async def main() -> None:
    """Serve until standard input is closed."""
    finish = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await _serve(reader, writer, finish, sys.argv[1])
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(handle, '127.0.0.1', 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, sys.stdin.readline)
    finish.set()
    await loop.run_in_executor(None, sys.stdin.read)
    server.close()


if __name__ == '__main__':
    asyncio.run(main())
