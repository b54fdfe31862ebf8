"""A small deployment with its searchers, operator and consumers, and the record of a run."""

from __future__ import annotations

import asyncio
import itertools
import os
import sys
import time
import traceback
from typing import TYPE_CHECKING, Any

from .machines import Machines
from .searcher import Searcher
from .wire import Answer, call, call_any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from .machines import Machine

HOST = 'pupu76.example'
HELD, BROKEN, NOT_RUN = 0, 1, 2
RUN_LIMIT_S = 115.0
_request_numbers = itertools.count(1)


class CannotRunError(Exception):
    """Report that a case could not run, so that it shows nothing."""


class Record:
    """Write what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open('w')
        self.started_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line."""
        self.file.write(f'{time.monotonic() - self.started_s:8.3f} {text}\n')

    def say(self, text: str) -> None:
        """Write one line, also to standard output."""
        self.note(text)
        print(text, flush=True)


class Site:
    """Hold the machines, the searchers, the operator and the consumers."""

    def __init__(self, record: Record, front_count: int = 3, core_count: int = 3) -> None:
        self.record = record
        self.machines = Machines(front_count, core_count)
        self.searchers: list[Searcher] = []
        self.version = 0

    async def add_searchers(self, service: str, count: int) -> list[Searcher]:
        """Start searchers of a service, each in another zone."""
        added = []
        for number in range(count):
            ip = f'{self.machines.network}.{201 + len(self.searchers)}'
            core = self.machines.cores[number % len(self.machines.cores)]
            searcher = Searcher(
                f'i-{service}-{number}', service, core.zone, ip, self.controls(), self.record.note
            )
            await searcher.start()
            self.searchers.append(searcher)
            added.append(searcher)
        return added

    def controls(self) -> list[str]:
        """Return the addresses of the core machines for searchers and the operator."""
        return [self.machines.control_address(each) for each in self.machines.cores]

    def document(
        self, routes: list[dict[str, Any]], services: list[str], version: int
    ) -> dict[str, Any]:
        """Return a config."""
        return {
            'version': version,
            'routes': routes,
            'services': [
                {
                    'name': name,
                    'healthPath': '/health',
                    'maxConns': 42,
                    'protocol': 'h1',
                    'tls': False,
                }
                for name in services
            ],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 262144,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
        }

    async def submit(self, routes: list[dict[str, Any]], services: list[str]) -> None:
        """Send the next config until it is acknowledged."""
        self.version += 1
        document = self.document(routes, services, self.version)

        async def accepted() -> bool:
            _, answer = await call_any(self.controls(), 'PUT', '/-/config', document)
            return answer.status == 200

        await self.wait_until(accepted, f'confirmation of config {self.version}')
        self.record.note(f'config {self.version} is acknowledged')

    async def wait_until(
        self, condition: Callable[[], Awaitable[bool]], what: str, limit_s: float = 30.0
    ) -> None:
        """Wait until a condition holds; the case cannot run if it does not."""
        until_s = time.monotonic() + limit_s
        while not await condition():
            if time.monotonic() > until_s:
                raise CannotRunError(f'no {what} within {limit_s} s')
            await asyncio.sleep(0.05)

    async def serving(self, target: str) -> None:
        """Wait until every front machine serves a request."""

        async def all_serve() -> bool:
            answers = [await self.ask(each, target) for each in self.machines.fronts]
            return all(answer.status == 200 for answer in answers)

        await self.wait_until(all_serve, 'service at all front machines')

    async def ask(
        self,
        machine: Machine,
        target: str,
        deadline_ms: int = 1000,
        method: str = 'GET',
        body: bytes | None = None,
        request_id: str = '',
    ) -> Answer:
        """Send a consumer's request to a front machine."""
        request_id = request_id or f'q{next(_request_numbers)}'
        headers = {'Host': HOST, 'X-Request-Id': request_id, 'X-Deadline-Ms': str(deadline_ms)}
        self.record.note(f'consumer sends {request_id} {method} {target} to {machine.name}')
        address = self.machines.front_address(machine)
        answer = await call(address, method, target, headers, body, deadline_ms / 1000 + 0.5)
        what = answer.status or answer.detail
        self.record.note(f'consumer gets for {request_id}: {what} {answer.body[:60]!r}')
        return answer

    async def close(self) -> None:
        """End all searchers and all processes."""
        for searcher in self.searchers:
            await searcher.exit()
        self.machines.stop_all()


def route(prefix: str, service: str, kind: str = 'idempotent', **changes: Any) -> dict[str, Any]:
    """Return a route to one service."""
    return {
        'name': f'r-{prefix.strip("/")}',
        'host': HOST,
        'pathPrefix': prefix,
        'routeKind': kind,
        'timeoutMs': 4000,
        'targetLatencyMs': 350,
        'priority': 2,
        'service': service,
        'attempts': 2,
        **changes,
    }


def run(folder: Path, case: Callable[[Site, bool], Awaitable[int]], **sizes: int) -> None:
    """Run a case, write its record and exit with its result."""
    record = Record(folder / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def main() -> int:
        site = Site(record, **sizes)
        try:
            async with asyncio.timeout(RUN_LIMIT_S):
                return await case(site, trouble)
        except (CannotRunError, TimeoutError, OSError) as error:
            record.say(f'the case could not run: {error!r}')
            record.note(traceback.format_exc())
            return NOT_RUN
        finally:
            await site.close()

    result = asyncio.run(main())
    record.say(f'result {result}')
    record.file.close()
    sys.exit(result)
