"""A small deployment: a fleet of processes with its searchers, operator and callers."""

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

ROUTE_HOST = 'shop.example'
SHARD_COUNT = 4
CALL_TIMEOUT_S = 1.0
READY_TIMEOUT_S = 40.0
_request_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True)
class Answer:
    """Record the answer to a caller; status 0 means that the connection ended without one."""

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    seconds: float

    @property
    def shard_stamps(self) -> tuple[str, ...]:
        """Return the stamps of the shards in the answer."""
        value = self.headers.get('X-Part-Stamps', '')
        return tuple(stamp.strip() for stamp in value.split(',') if stamp.strip())

    @property
    def missing_count(self) -> int:
        """Return the number of missing shards that the answer reports."""
        return int(self.headers.get('X-Missing-Parts', '0'))


class Site:
    """Run a fleet and its searchers, and record the routes that the operator submitted."""

    def __init__(
        self,
        folder: Path,
        control_count: int = 3,
        entry_count: int = 2,
        replica_count: int = 2,
        bounds: FleetBounds | None = None,
        searcher_type: type[StandInSearcher] = StandInSearcher,
    ) -> None:
        self.fleet = Fleet(folder, control_count, entry_count, bounds)
        self.searchers = [
            searcher_type(
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
        self._announce_tasks: list[asyncio.Task[None]] = []

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
        for task in self._announce_tasks:
            task.cancel()
        await asyncio.gather(*self._announce_tasks, return_exceptions=True)
        for searcher in self.searchers:
            await searcher.stop()
        await self.session.close()
        self.fleet.stop()

    def of_service(self, service: str) -> list[StandInSearcher]:
        """Return the searchers of a service."""
        return [searcher for searcher in self.searchers if searcher.service == service]

    def announce_regularly(self, searcher: StandInSearcher) -> None:
        """Announce a searcher at each heartbeat until it leaves or the site stops."""
        self._announce_tasks.append(
            asyncio.get_running_loop().create_task(self._announce_until_left(searcher))
        )

    async def announce(self, searcher: StandInSearcher) -> bool:
        """Announce a searcher to the control instances in turn until one confirms."""
        path = f'/-/instances/{searcher.endpoint}'
        return await self._to_any_control('PUT', path, searcher.announcement()) is not None

    async def announce_leaving(self, searcher: StandInSearcher) -> bool:
        """Announce that a searcher leaves."""
        searcher.state = 'left'
        path = f'/-/instances/{searcher.endpoint}'
        return await self._to_any_control('DELETE', path, {'born': searcher.born_ms}) is not None

    async def submit(self, **changes: Any) -> int:
        """Submit the next version of the routes until it is acknowledged, and return it."""
        self.version += 1
        document = self.document(self.version, **changes)
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if await self._to_any_control('PUT', '/-/config', document) is not None:
                self.accepted[self.version] = document
                return self.version
            await asyncio.sleep(0.05)
        raise AssertionError(f'version {self.version} was not acknowledged')

    async def order_evacuation(self, failure_domain: str, evacuated: bool) -> None:
        """Order an evacuation, or withdraw it, until that is confirmed."""
        method = 'POST' if evacuated else 'DELETE'
        path = f'/-/evacuation/{failure_domain}'
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while await self._to_any_control(method, path, None) is None:
            if time.monotonic() > deadline_s:
                raise AssertionError(f'{method} {path} was not confirmed')
            await asyncio.sleep(0.05)

    def document(self, version: int, **changes: Any) -> dict[str, Any]:
        """Build the document of a version of the routes, as an operator submits it."""
        shards = [f's{number}' for number in range(SHARD_COUNT)]
        gather = {
            'name': 'r-all',
            'host': ROUTE_HOST,
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
        single_route = {
            'name': 'r-one',
            'host': ROUTE_HOST,
            'pathPrefix': '/one/',
            'routeKind': 'idempotent',
            'timeoutMs': 2_000,
            'targetLatencyMs': 400,
            'priority': 2,
            'service': 'single',
            'attempts': 2,
        }
        once_route = {**single_route, 'name': 'r-once', 'pathPrefix': '/once/'}
        once_route['routeKind'] = 'non_idempotent'
        services = [
            {'name': name, 'healthPath': '/health', 'maxConns': 20, 'protocol': 'h1', 'tls': False}
            for name in (*shards, 'single')
        ]
        extra_routes = changes.get('extra_routes', [])
        return {
            'version': version,
            'routes': [gather, single_route, once_route, *extra_routes],
            'services': services,
            'limits': {
                'maxHeaderBytes': 16_384,
                'maxBodyBytes': 262_144,
                'headerTimeoutMs': 3_000,
                'idleTimeoutMs': 15_000,
            },
            **({'tenants': changes['organisations']} if 'organisations' in changes else {}),
        }

    async def read(self, control: int | None = None) -> dict[str, Any] | None:
        """Read the routes from one control instance, or from the first that answers."""
        controls = self.fleet.controls if control is None else (self.fleet.controls[control],)
        for machine in controls:
            url = f'http://{self.fleet.control_address(machine)}/-/config'
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with self.session.get(url) as reply:
                    if reply.status == 200:
                        document: dict[str, Any] = await reply.json()
                        return document
        return None

    async def addresses(self, failure_domain: str = FAILURE_DOMAINS[0]) -> list[str]:
        """Query the addresses that callers of a failure domain should use."""
        for machine in self.fleet.controls:
            address = self.fleet.directory_address(machine)
            url = f'http://{address}/-/resolve?name={ROUTE_HOST}&region=r&zone={failure_domain}'
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with self.session.get(url) as reply:
                    if reply.status == 200:
                        caller_addresses: list[str] = (await reply.json())['addrs']
                        return caller_addresses
        return []

    async def is_ready(self, machine_number: int) -> bool:
        """Return whether an entry instance reports that it is ready."""
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
        request_id: str = '',
        extra_headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send one request as a caller and return the answer."""
        if address is None:
            address = self.fleet.caller_address(random.choice(self.fleet.entries))
        request_id = request_id or f'q{next(_request_numbers)}'
        headers = {
            'Host': ROUTE_HOST,
            'X-Request-Id': request_id,
            'X-Deadline-Ms': str(deadline_ms),
            **(extra_headers or {}),
        }
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
        """Wait until a condition holds and return how long it took in seconds."""
        started_s = time.monotonic()
        while not await condition():
            if time.monotonic() - started_s > limit_s:
                raise AssertionError(f'{what} not within {limit_s} s')
            await asyncio.sleep(0.02)
        return time.monotonic() - started_s

    async def serving(self) -> None:
        """Submit the first routes and wait until every entry instance returns complete answers."""
        if not self.version:
            await self.submit()

        async def all_answers_complete() -> bool:
            addresses = [self.fleet.caller_address(machine) for machine in self.fleet.entries]
            answers = [await self.call('/all/x', address) for address in addresses]
            return all(answer.status == 200 and answer.missing_count == 0 for answer in answers)

        await self.wait_until(all_answers_complete, 'complete answers at every entry instance')

    async def _announce_until_left(self, searcher: StandInSearcher) -> None:
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
