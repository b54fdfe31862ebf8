"""A site whose searchers are reached through faulty proxies, with the results of a run."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import aiohttp

from pistachioloft_core.codec import decode_json
from pistachioloft_core.messages.report import FleetReport

from ..fleet.processes import FleetBounds
from ..fleet.site import Answer, Site
from .proxy import FaultyProxy

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence
    from pathlib import Path

    from ..fleet.processes import Machine

# Organisations by name, each with one key; the last one has an allotment.
ORGANISATIONS = ('east', 'west', 'small')
LIMITED = ORGANISATIONS[-1]
RATE_PER_S = 8.0
BURST_COUNT = 4.0
# Named in calls with a key that no configuration ever held.
NOBODY = 'nobody'
BOUNDS = FleetBounds(allotment_window_s=2.0, allotment_slack_count=8)


@dataclass(frozen=True, slots=True)
class Period:
    """Name an address of the site and a span of the monotonic time."""

    ip: str
    from_s: float
    until_s: float

    def overlaps(self, from_s: float, until_s: float) -> bool:
        """Return whether the span shares a moment with another one."""
        return self.from_s <= until_s and from_s <= self.until_s


@dataclass(frozen=True, slots=True)
class SoakCall:
    """Record one call of a caller, and its answer."""

    kind: str
    # Of the call, and the address of the entry instance.
    period: Period
    answer: Answer
    # Whose key the caller sent, empty if that is not checked.
    organisation: str = ''


@dataclass(frozen=True, slots=True)
class Evacuation:
    """Record from when until when the endpoints of a failure domain had to get nothing."""

    failure_domain: str
    confirmed_s: float
    withdrawn_s: float


class SoakSite(Site):
    """Run a site with proxies, locks that limit concurrent faults, and the results of a run."""

    def __init__(self, folder: Path, sources: Sequence[Path] = ()) -> None:
        super().__init__(folder, control_count=3, entry_count=3, replica_count=2, bounds=BOUNDS)
        # Another build than that of the repository, if given.
        self.fleet.sources = sources or self.fleet.sources
        self.proxies: list[FaultyProxy] = []
        self.violations: list[str] = []
        self.calls: list[SoakCall] = []
        self.evacuations: list[Evacuation] = []
        # From the signal to the end of the process of each entry instance that was stopped.
        self.stops: list[Period] = []
        # When the memory of an entry instance, or the connections of a searcher, were disturbed.
        self.disturbances: list[Period] = []
        # Injected faults and answered statuses, which show that a run did test something.
        self.fault_counts: Counter[str] = Counter()
        self.status_counts: Counter[int] = Counter()
        self.acknowledged_version = 0
        # The system guarantees to tolerate one loss of each kind at a time.
        self.control_fault_lock = asyncio.Lock()
        self.entry_fault_lock = asyncio.Lock()
        self.submission_lock = asyncio.Lock()
        self.evacuation_lock = asyncio.Lock()

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

    def document(self, version: int, **changes: Any) -> dict[str, Any]:
        """Build the document of a version with the organisations of the soak."""
        organisations = [
            {'name': name, 'apiKeys': [key_of(name)], 'ratePerS': 0, 'burst': 0}
            for name in ORGANISATIONS
        ]
        organisations[-1] |= {'ratePerS': RATE_PER_S, 'burst': BURST_COUNT}
        return super().document(version, organisations=organisations, **changes)

    async def call(self, target: str, *args: Any, **options: Any) -> Answer:
        """Send one request with the key of an organisation, the first one by default."""
        options.setdefault('extra_headers', credentials(ORGANISATIONS[0]))
        return await super().call(target, *args, **options)

    @contextlib.contextmanager
    def disturbed(self, ip: str) -> Iterator[None]:
        """Record that an address is disturbed meanwhile."""
        from_s = time.monotonic()
        try:
            yield
        finally:
            self.disturbances.append(Period(ip, from_s, time.monotonic()))

    def is_disturbed(self, ip: str, from_s: float, until_s: float) -> bool:
        """Return whether an address was disturbed in a span of time."""
        return any(
            period.ip == ip and period.overlaps(from_s, until_s) for period in self.disturbances
        )

    async def runs(self, machine: Machine) -> bool:
        """Return whether the process of an entry machine has started and answers calls."""
        url = f'http://{self.fleet.readiness_address(machine)}/-/readiness'
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with self.session.get(url):
                return True
        return False

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


def key_of(organisation: str) -> str:
    """Return the key of an organisation."""
    return f'key-of-{organisation}'


def credentials(organisation: str) -> dict[str, str]:
    """Return the headers by which a caller of an organisation identifies itself."""
    # Endpoints must not see the name that the caller claims.
    return {'Authorization': f'Bearer {key_of(organisation)}', 'X-Tenant': 'claimed'}
