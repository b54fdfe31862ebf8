"""Guard against replies to sub-requests and pings whose status no class assigns."""

from __future__ import annotations

import asyncio

import pytest

from pistachioloft_core.codec import encode_json
from pistachioloft_core.messages.endpoint import SubReply
from pistachioloft_daemon.endpoint_client import Connection, ConnectionHooks, EndpointClient
from tests.test_link.test_endless_replies import sub_request


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, status: str) -> None:
    await reader.readuntil(b'\r\n\r\n')
    body = encode_json(SubReply('q1', 'e', 1, 'yard', 1, 'ok'))
    writer.write(f'HTTP/1.1 {status} Odd\r\nContent-Length: {len(body)}\r\n\r\n'.encode() + body)
    await writer.drain()
    writer.close()


@pytest.mark.parametrize('kind', ['sub-request', 'ping', 'probe'])
@pytest.mark.parametrize('status', ['000', '099', '600', '999'])
def test_unassigned_status_is_no_reply(status: str, kind: str) -> None:
    """Guard against a result, or a sign of life, in a reply that means nothing (MIXED)."""

    async def main() -> None:
        events: asyncio.Queue[str] = asyncio.Queue()
        client = EndpointClient(
            ConnectionHooks(
                lambda _id: events.put_nowait('opened'),
                lambda _id, _detail: events.put_nowait('lost'),
                lambda _id, _reply: events.put_nowait('replied'),
                lambda _id, bytes_sent, _detail, _refused: events.put_nowait(
                    'lost' if bytes_sent else 'not sent'
                ),
                lambda _id: events.put_nowait('probed'),
            )
        )
        server = await asyncio.start_server(
            lambda reader, writer: serve(reader, writer, status), '127.0.0.1', 0
        )
        address = f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
        if kind == 'ping':
            client.open('c', address)
        else:
            client.connections['c'] = Connection('c', address)
            if kind == 'probe':
                client.probe('c', 'none')
            else:
                client.send('c', sub_request(1))
        assert await asyncio.wait_for(events.get(), 5.0) == 'lost'
        await client.stop()
        server.close()

    asyncio.run(main())
