"""A small site: a fleet of real processes with searchers, an operator and callers around it."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import aiohttp
from yarl import URL

from .processes import FAILURE_DOMAINS, Fleet, FleetBounds
from .searcher import StandInSearcher

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

HOST = 'shop.example'
SHARD_COUNT = 4
CALL_TIMEOUT_S = 1.0
READY_TIMEOUT_S = 40.0
_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold what a caller got; status 0 stands for a connection that ended without an answer."""

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    seconds: float

    @property
    def shard_stamps(self) -> tuple[str, ...]:
        """Return the receipts of the shards in the answer."""
        value = self.headers.get('X-Part-Stamps', '')
        return tuple(part.strip() for part in value.split(',') if part.strip())

    @property
    def missing_count(self) -> int:
        """Return how many shards the answer says are missing."""
        return int(self.headers.get('X-Missing-Parts', '0'))


class Site:
    """Hold a fleet, its searchers and what the operator sent."""

    def __init__(
        self,
        folder: Path,
        control_count: int = 3,
        entry_count: int = 2,
        replica_count: int = 2,
        bounds: FleetBounds | None = None,
    ) -> None:
        self.fleet = Fleet(folder, control_count, entry_count, bounds)
        self.searchers = [
            StandInSearcher(
                f'i-{service}-{replica}',
                service,
                FAILURE_DOMAINS[(number + replica) % len(FAILURE_DOMAINS)],
                f'{self.fleet.network}.{200 + number * replica_count + replica}',
            )
            for number, service in enumerate(('s0', 's1', 's2', 's3', 'single'))
            for replica in range(replica_count)
        ]
        self.version = 0
        self.accepted: dict[int, dict[str, Any]] = {}
        self.session: aiohttp.ClientSession
        self._beats: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Site:
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self.session = aiohttp.ClientSession(
            timeout=timeout, connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        self.fleet.start_all()
        for searcher in self.searchers:
            await searcher.start()
            self.announce_regularly(searcher)
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._beats:
            task.cancel()
        await asyncio.gather(*self._beats, return_exceptions=True)
        for searcher in self.searchers:
            await searcher.stop()
        await self.session.close()
        self.fleet.stop()

    def of_service(self, service: str) -> list[StandInSearcher]:
        """Return the searchers of a service."""
        return [searcher for searcher in self.searchers if searcher.service == service]

    def announce_regularly(self, searcher: StandInSearcher) -> None:
        """Let a searcher announce itself until the site ends."""
        self._beats.append(asyncio.get_running_loop().create_task(self._beat(searcher)))

    async def announce(self, searcher: StandInSearcher) -> bool:
        """Announce a searcher to one control instance after the other until one confirms."""
        path = f'/-/instances/{searcher.endpoint}'
        return await self._to_any_control('PUT', path, searcher.announcement()) is not None

    async def leave(self, searcher: StandInSearcher) -> bool:
        """Say that a searcher leaves."""
        searcher.state = 'left'
        path = f'/-/instances/{searcher.endpoint}'
        return await self._to_any_control('DELETE', path, {'born': searcher.born_ms}) is not None

    async def submit(self, **changes: Any) -> int:
        """Send the next version of the routes until it is acknowledged, and return it."""
        self.version += 1
        document = self.document(self.version, **changes)
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if await self._to_any_control('PUT', '/-/config', document) is not None:
                self.accepted[self.version] = document
                return self.version
            await asyncio.sleep(0.05)
        raise AssertionError(f'version {self.version} was not acknowledged')

    def document(self, version: int, **changes: Any) -> dict[str, Any]:
        """Build a set of routes as the operator sends it."""
        shards = [f's{number}' for number in range(SHARD_COUNT)]
        gather = {
            'name': 'r-all',
            'host': HOST,
            'pathPrefix': '/all/',
            'routeKind': 'idempotent',
            'timeoutMs': 2_000,
            'targetLatencyMs': 400,
            'priority': 1,
            'gather': shards,
            'attempts': 2,
            'topK': 5,
            'minCoverage': 0.75,
        }
        single = {
            'name': 'r-one',
            'host': HOST,
            'pathPrefix': '/one/',
            'routeKind': 'idempotent',
            'timeoutMs': 2_000,
            'targetLatencyMs': 400,
            'priority': 2,
            'service': 'single',
            'attempts': 2,
        }
        once = {**single, 'name': 'r-once', 'pathPrefix': '/once/'}
        once['routeKind'] = 'non_idempotent'
        services = [
            {'name': name, 'healthPath': '/health', 'maxConns': 20, 'protocol': 'h1', 'tls': False}
            for name in (*shards, 'single')
        ]
        extra = changes.get('extra_routes', [])
        return {
            'version': version,
            'routes': [gather, single, once, *extra],
            'services': services,
            'limits': {
                'maxHeaderBytes': 16_384,
                'maxBodyBytes': 262_144,
                'headerTimeoutMs': 3_000,
                'idleTimeoutMs': 15_000,
            },
        }

    async def read(self, control: int | None = None) -> dict[str, Any] | None:
        """Read the routes at one control instance, or at the first that answers."""
        controls = self.fleet.controls if control is None else (self.fleet.controls[control],)
        for machine in controls:
            url = f'http://{self.fleet.control_address(machine)}/-/config'
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with self.session.get(url) as reply:
                    if reply.status == 200:
                        document: dict[str, Any] = await reply.json()
                        return document
        return None

    async def addresses(self, domain: str = FAILURE_DOMAINS[0]) -> list[str]:
        """Ask for the addresses that callers of a failure domain should use."""
        for machine in self.fleet.controls:
            address = self.fleet.directory_address(machine)
            url = f'http://{address}/-/resolve?name={HOST}&region=r&zone={domain}'
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with self.session.get(url) as reply:
                    if reply.status == 200:
                        found: list[str] = (await reply.json())['addrs']
                        return found
        return []

    async def is_ready(self, machine_number: int) -> bool:
        """Ask an entry instance for its readiness."""
        machine = self.fleet.entries[machine_number]
        url = f'http://{self.fleet.readiness_address(machine)}/-/readiness'
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with self.session.get(url) as reply:
                return reply.status == 200
        return False

    async def call(
        self,
        target: str,
        address: str | None = None,
        method: str = 'GET',
        body: bytes | None = None,
        deadline_ms: int = 2_000,
        session: aiohttp.ClientSession | None = None,
    ) -> Answer:
        """Send one request of a caller and return its answer."""
        if address is None:
            address = self.fleet.caller_address(random.choice(self.fleet.entries))
        request_id = f'q{next(_numbers)}'
        headers = {'Host': HOST, 'X-Request-Id': request_id, 'X-Deadline-Ms': str(deadline_ms)}
        timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000 + 1)
        started_s = time.monotonic()
        try:
            async with (session or self.session).request(
                method,
                URL(f'http://{address}{target}', encoded=True),
                headers=headers,
                data=body,
                timeout=timeout,
            ) as reply:
                content = await reply.read()
                taken_s = time.monotonic() - started_s
                return Answer(request_id, reply.status, dict(reply.headers), content, taken_s)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return Answer(request_id, 0, {}, b'', time.monotonic() - started_s)

    async def wait_until(
        self, condition: Callable[[], Awaitable[bool]], what: str, limit_s: float = READY_TIMEOUT_S
    ) -> float:
        """Wait until a condition holds and return how long that took."""
        started_s = time.monotonic()
        while not await condition():
            if time.monotonic() - started_s > limit_s:
                raise AssertionError(f'{what} not within {limit_s} s')
            await asyncio.sleep(0.02)
        return time.monotonic() - started_s

    async def serving(self) -> None:
        """Put the first routes in force and wait until every entry instance answers whole."""
        if not self.version:
            await self.submit()

        async def whole() -> bool:
            addresses = [self.fleet.caller_address(machine) for machine in self.fleet.entries]
            answers = [await self.call('/all/x', address) for address in addresses]
            return all(each.status == 200 and each.missing_count == 0 for each in answers)

        await self.wait_until(whole, 'whole answers at every entry instance')

    async def _beat(self, searcher: StandInSearcher) -> None:
        while searcher.state != 'left':
            await self.announce(searcher)
            await asyncio.sleep(self.fleet.bounds.heartbeat_ms / 1000)

    async def _to_any_control(self, method: str, path: str, body: object) -> bytes | None:
        controls = list(self.fleet.controls)
        random.shuffle(controls)
        for machine in controls:
            url = f'http://{self.fleet.control_address(machine)}{path}'
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with self.session.request(method, url, json=body) as reply:
                    content = await reply.read()
                    if reply.status == 200:
                        return content
        return None
