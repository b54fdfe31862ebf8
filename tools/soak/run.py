"""Run seeds of the soak: `python -m tools.soak.run SEED [COUNT]`."""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from ..fleet.site import SHARD_COUNT, Answer
from .faults import FAULTS
from .site import SoakSite

FAULTY_S = 12.0
CALLER_COUNT = 6
OVERLAP_COUNT = 2
ADDRESS_KEEP_S = 1.0
# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Faults end within seconds; the platform allows 12 s for a recovery.
RECOVERY_LIMIT_S = 12.0


@dataclass(frozen=True, slots=True)
class SoakReport:
    """Hold what broke a promise in a run, the faults struck and the statuses answered."""

    violations: tuple[str, ...]
    fault_counts: dict[str, int]
    status_counts: dict[int, int]


async def soak(folder: Path, seed: int, faulty_s: float = FAULTY_S) -> SoakReport:
    """Play one seed and report what broke a promise."""
    source = random.Random(seed)
    async with SoakSite(folder) as site:
        await site.serving()
        site.acknowledged_version = site.version
        end_s = time.monotonic() + faulty_s
        sources = [random.Random(source.random()) for _ in range(CALLER_COUNT + OVERLAP_COUNT)]
        await asyncio.gather(
            *(_call(site, each, end_s) for each in sources[:CALLER_COUNT]),
            *(_strike(site, each, end_s) for each in sources[CALLER_COUNT:]),
            _read(site, end_s),
        )
        took_s = await site.wait_until(site.has_all_voters, 'a whole group of voters')
        await site.serving()
        if took_s > RECOVERY_LIMIT_S:
            site.violations.append(f'the voters were whole after {took_s:.1f} s only')
        return SoakReport(tuple(site.violations), dict(site.fault_counts), dict(site.status_counts))


async def _strike(site: SoakSite, source: random.Random, end_s: float) -> None:
    while time.monotonic() < end_s:
        fault = source.choice(FAULTS)
        site.fault_counts[fault.__name__] += 1
        await fault(site, source)
        await asyncio.sleep(source.uniform(0.1, 1.0))


async def _call(site: SoakSite, source: random.Random, end_s: float) -> None:
    """Send requests as a caller does, on connections that it keeps."""
    addresses: list[str] = []
    fresh_until_s = 0.0
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < end_s:
            if time.monotonic() > fresh_until_s:
                addresses = await site.addresses() or addresses
                fresh_until_s = time.monotonic() + ADDRESS_KEEP_S
            address = source.choice(addresses)
            kind = source.choice(('all', 'one', 'once'))
            method = 'POST' if kind == 'once' else 'GET'
            answer = await site.call(f'/{kind}/x', address, method, session=session)
            site.status_counts[answer.status] += 1
            _check_answer(site, kind, answer)
            await asyncio.sleep(source.uniform(0.0, 0.03))


def _check_answer(site: SoakSite, kind: str, answer: Answer) -> None:
    """Hold an answer against what the searchers ran."""
    ran = sum(each.run_count(answer.request_id) for each in site.searchers)
    name = f'{kind} {answer.request_id} with status {answer.status}'
    if answer.status in NOT_RUN_STATUSES and ran:
        site.violations.append(f'{name}: ran {ran} times')
    if kind == 'once' and ran > 1:
        site.violations.append(f'{name}: ran {ran} times')
    if kind == 'all' and answer.status == 200:
        strange = [
            each for each in answer.shard_stamps if not each.startswith(f'{answer.request_id}.')
        ]
        services = {each.split('.')[1] for each in answer.shard_stamps}
        whole = len(services) == len(answer.shard_stamps)
        if strange or not whole or len(services) + answer.missing_count != SHARD_COUNT:
            parts = f'receipts {answer.shard_stamps}, {answer.missing_count} missing'
            site.violations.append(f'{name}: {parts}')


async def _read(site: SoakSite, end_s: float) -> None:
    """Check that a confirmed read never shows an older version than one acknowledged before."""
    while time.monotonic() < end_s:
        for number in range(len(site.fleet.controls)):
            known = site.acknowledged_version
            document = await site.read(number)
            if document is not None and document['version'] < known:
                site.violations.append(f'read {document["version"]} after {known} was acknowledged')
        await asyncio.sleep(0.1)


def main() -> None:
    """Play seeds one after the other and end with 1 if any broke a promise."""
    first = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    failed = 0
    for seed in range(first, first + count):
        folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        report = asyncio.run(soak(folder, seed))
        failed += bool(report.violations)
        text = '; '.join(report.violations[:5]) or 'nothing broken'
        print(
            f'seed {seed}: {text}; {report.fault_counts}, {report.status_counts} ({folder})',
            flush=True,
        )
    raise SystemExit(1 if failed else 0)


if __name__ == '__main__':
    main()
