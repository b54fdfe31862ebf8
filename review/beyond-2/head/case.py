"""A consumer sends a HEAD request and then a GET request on one connection."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING

sys.path.insert(0, str(Path(__file__).resolve().parents[3]))

from review.harness.site import BROKEN, HELD, HOST, route, run
from review.harness.wire import encode, read_head

if TYPE_CHECKING:
    from review.harness.site import Site

DEADLINE_MS = 1000
CONNECTION_COUNT = 6


async def case(site: Site, trouble: bool) -> int:
    """Send both requests at each machine and read the answers as HTTP defines them."""
    machines, record = site.machines, site.record
    machines.start_all()
    await site.add_searchers('tally', 3)
    await site.submit([route('/timi402/', 'tally')], ['tally'])
    await site.serving('/timi402/x')
    await asyncio.sleep(2.0)
    first_method = 'HEAD' if trouble else 'GET'
    wrong_count = 0
    for number in range(CONNECTION_COUNT):
        front = machines.fronts[number % len(machines.fronts)]
        host, port = machines.front_address(front).rsplit(':', 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        for method in (first_method, 'GET'):
            request_id = f'h{number}{method}'
            headers = {
                'Host': HOST,
                'X-Request-Id': request_id,
                'X-Deadline-Ms': str(DEADLINE_MS),
            }
            writer.write(encode(method, f'/timi402/{number}', headers))
            record.note(f'consumer sends {request_id} to {front.name}')
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000 + 1.0):
                    line, answer_headers = await read_head(reader)
                    body = b''
                    if method != 'HEAD':
                        length = int(answer_headers.get('content-length', '0'))
                        body = await reader.readexactly(length)
            except (OSError, EOFError, TimeoutError) as error:
                record.say(f'{request_id}: no answer, {error!r}')
                break
            record.say(f'{request_id}: {line!r} {body!r}')
            if not line.startswith('HTTP/1.1 '):
                wrong_count += 1
                break
        writer.close()
    record.say(f'{wrong_count} of {CONNECTION_COUNT} connections carried bytes that are no answer')
    return BROKEN if wrong_count else HELD


if __name__ == '__main__':
    run(Path(__file__).resolve().parent, case)
