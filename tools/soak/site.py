"""A site whose searchers are reached through faulty proxies, with the results of a run."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from typing import TYPE_CHECKING

import aiohttp

from pistachioloft_core.codec import decode_json
from pistachioloft_core.messages.report import FleetReport

from ..fleet.site import Site
from .proxy import FaultyProxy

if TYPE_CHECKING:
    from pathlib import Path


class SoakSite(Site):
    """Run a site with proxies, locks that limit concurrent faults, and the results of a run."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, control_count=3, entry_count=3, replica_count=2)
        self.proxies: list[FaultyProxy] = []
        self.violations: list[str] = []
        # Injected faults and answered statuses, which show that a run did test something.
        self.fault_counts: Counter[str] = Counter()
        self.status_counts: Counter[int] = Counter()
        self.acknowledged_version = 0
        # The system guarantees to tolerate one loss of each kind at a time.
        self.control_fault_lock = asyncio.Lock()
        self.entry_fault_lock = asyncio.Lock()
        self.submission_lock = asyncio.Lock()

    async def __aenter__(self) -> SoakSite:
        await super().__aenter__()
        for searcher in self.searchers:
            proxy = FaultyProxy(searcher.ip, searcher.address)
            await proxy.start()
            self.proxies.append(proxy)
            # Announced with a later start time, as a restart at another address.
            searcher.address = proxy.address
            searcher.born_ms += 1
        return self

    async def __aexit__(self, *details: object) -> None:
        for proxy in self.proxies:
            await proxy.stop()
        await super().__aexit__(*details)

    async def has_all_voters(self) -> bool:
        """Return whether a leader has three voters and can lose one of them."""
        for machine in self.fleet.controls:
            url = f'http://{self.fleet.metrics_address(machine)}/report'
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with self.session.get(url) as reply:
                    report = decode_json(await reply.read(), FleetReport)
                voters = report.voters
                if voters is not None and len(voters.voters) == 3 and voters.can_lose_count == 1:
                    return True
        return False
