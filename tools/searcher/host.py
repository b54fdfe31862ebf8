"""Host many stand-in searchers in one process and control them over HTTP."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import asdict, dataclass, replace
from pathlib import Path

import msgspec
from aiohttp import web

from pistachioloft_core.messages.endpoint import Announcement, Holding

from .behaviour import Behaviour
from .searcher import Searcher


@dataclass(frozen=True, slots=True)
class HostPlan:
    """List the searchers to host and the addresses that they use."""

    entry_addresses: tuple[str, ...]
    announcements: tuple[Announcement, ...]
    behaviour: Behaviour
    admin_address: str
    seed: int = 1


@dataclass(frozen=True, slots=True)
class Order:
    """Change the named searchers, or all of them if none is named."""

    action: str
    endpoints: tuple[str, ...] = ()
    behaviour: Behaviour | None = None
    holdings: tuple[Holding, ...] = ()


@dataclass(frozen=True, slots=True)
class Counters:
    """Report the requests and connections of one searcher."""

    endpoint: str
    address: str
    request_count: int
    cancelled_count: int
    peak_running_count: int
    peak_connection_count: int
    executed: dict[str, int]
    work_after_drain_s: float
    crashed: bool


class Host:
    """Run the searchers of this process and the admin server that controls them."""

    def __init__(self, plan: HostPlan) -> None:
        self.plan = plan
        self.searchers: dict[str, Searcher] = {}

    async def start(self) -> None:
        """Start all searchers and the admin server."""
        for number, announcement in enumerate(self.plan.announcements):
            await self.start_searcher(announcement, self.plan.seed * 1000 + number)
        app = web.Application()
        app.router.add_post('/order', self.order)
        app.router.add_get('/counters', self.counters)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        host, port = self.plan.admin_address.rsplit(':', 1)
        await web.TCPSite(runner, host, int(port)).start()

    async def start_searcher(self, announcement: Announcement, seed: int) -> None:
        """Start one searcher."""
        searcher = Searcher(announcement, self.plan.entry_addresses, self.plan.behaviour, seed)
        self.searchers[announcement.endpoint] = searcher
        await searcher.start()

    async def order(self, request: web.Request) -> web.Response:
        """Apply one order to the searchers that it names."""
        order = msgspec.json.decode(await request.read(), type=Order)
        names = order.endpoints or tuple(self.searchers)
        await asyncio.gather(*(self._apply(order, self.searchers[name]) for name in names))
        return web.Response(text='{}')

    async def _apply(self, order: Order, searcher: Searcher) -> None:
        if order.action == 'behave' and order.behaviour is not None:
            searcher.behaviour = order.behaviour
        elif order.action == 'drain':
            await searcher.drain()
        elif order.action == 'kill':
            await searcher.stop()
        elif order.action == 'hold':
            searcher.announcement = replace(searcher.announcement, holdings=order.holdings)
        elif order.action == 'restart':
            await searcher.stop()
            announcement = replace(
                searcher.announcement,
                incarnation=searcher.announcement.incarnation + 1,
                draining=False,
            )
            await self.start_searcher(announcement, searcher.announcement.incarnation)
        elif order.action == 'silence':
            searcher.silent_transports.update(searcher.connections)
        elif order.action == 'silence_one':
            searcher.silent_transports.update(list(searcher.connections)[:1])

    async def counters(self, _request: web.Request) -> web.Response:
        """Return the counters of all searchers."""
        rows = [
            asdict(
                Counters(
                    name,
                    searcher.announcement.address,
                    searcher.request_count,
                    searcher.cancelled_count,
                    searcher.peak_running_count,
                    searcher.peak_connection_count,
                    searcher.executed,
                    searcher.work_after_drain_s,
                    searcher.crashed,
                )
            )
            for name, searcher in self.searchers.items()
        ]
        return web.Response(body=msgspec.json.encode(rows), content_type='application/json')


async def run(plan: HostPlan) -> None:
    """Run the searchers until the process is stopped."""
    host = Host(plan)
    await host.start()
    print('ready', flush=True)
    await asyncio.Event().wait()


def main() -> int:
    """Read the plan from a file and run it."""
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=HostPlan)
    asyncio.run(run(plan))
    return 0


if __name__ == '__main__':
    sys.exit(main())
