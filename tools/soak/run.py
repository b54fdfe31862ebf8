"""Run seeds of the soak: `python -m tools.soak.run SEED [COUNT]`."""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp

from ..fleet.site import SHARD_COUNT, Answer
from .checks import NOT_RUN_STATUSES, check_run
from .faults import FAULTS, FaultFunction
from .site import LIMITED, NOBODY, ORGANISATIONS, Period, SoakCall, SoakSite, credentials

if TYPE_CHECKING:
    from collections.abc import Sequence

FAULT_PERIOD_S = 12.0
CALLER_COUNT = 6
CONCURRENT_FAULT_COUNT = 2
ADDRESS_REFRESH_S = 1.0
# Faults end within seconds; the platform allows 12 s for a recovery.
RECOVERY_LIMIT_S = 12.0


@dataclass(frozen=True, slots=True)
class SoakReport:
    """Report the violations of a run, and how often each fault and status occurred."""

    violations: tuple[str, ...]
    fault_counts: dict[str, int]
    status_counts: dict[int, int]


async def soak(
    folder: Path,
    seed: int,
    fault_period_s: float = FAULT_PERIOD_S,
    sources: Sequence[Path] = (),
    faults: Sequence[FaultFunction] = FAULTS,
) -> SoakReport:
    """Run the soak with one seed and report violated guarantees."""
    random_source = random.Random(seed)
    async with SoakSite(folder, sources) as site:
        await site.serving()
        site.acknowledged_version = site.version
        end_at_s = time.monotonic() + fault_period_s
        random_sources = [
            random.Random(random_source.random())
            for _ in range(CALLER_COUNT + CONCURRENT_FAULT_COUNT)
        ]
        await asyncio.gather(
            *(
                _send_requests(site, caller_source, end_at_s)
                for caller_source in random_sources[:CALLER_COUNT]
            ),
            *(
                _inject_faults(site, fault_source, end_at_s, faults)
                for fault_source in random_sources[CALLER_COUNT:]
            ),
            _check_reads(site, end_at_s),
        )
        recovery_s = await site.wait_until(site.has_all_voters, 'all voters to be in the group')
        await site.serving()
        if recovery_s > RECOVERY_LIMIT_S:
            site.violations.append(f'the group had all voters only after {recovery_s:.1f} s')
        site.violations.extend(check_run(site))
        return SoakReport(tuple(site.violations), dict(site.fault_counts), dict(site.status_counts))


async def _inject_faults(
    site: SoakSite,
    random_source: random.Random,
    end_at_s: float,
    faults: Sequence[FaultFunction],
) -> None:
    while time.monotonic() < end_at_s:
        fault = random_source.choice(faults)
        site.fault_counts[fault.__name__] += 1
        await fault(site, random_source)
        await asyncio.sleep(random_source.uniform(0.1, 1.0))


async def _send_requests(site: SoakSite, random_source: random.Random, end_at_s: float) -> None:
    """Send requests as a caller does, over persistent connections."""
    addresses: list[str] = []
    refresh_at_s = 0.0
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < end_at_s:
            if time.monotonic() > refresh_at_s:
                addresses = await site.addresses() or addresses
                refresh_at_s = time.monotonic() + ADDRESS_REFRESH_S
            address = random_source.choice(addresses)
            kind = random_source.choice(('all', 'one', 'once'))
            method = 'POST' if kind == 'once' else 'GET'
            organisation = random_source.choice((*ORGANISATIONS, LIMITED, NOBODY))
            started_s = time.monotonic()
            answer = await site.call(
                f'/{kind}/x',
                address,
                method,
                session=session,
                extra_headers=credentials(organisation),
            )
            period = Period(address.rsplit(':', 1)[0], started_s, time.monotonic())
            site.calls.append(SoakCall(kind, period, answer, organisation))
            site.status_counts[answer.status] += 1
            _check_answer(site, kind, answer)
            await asyncio.sleep(random_source.uniform(0.0, 0.03))


def _check_answer(site: SoakSite, kind: str, answer: Answer) -> None:
    """Check an answer against the requests that the searchers ran."""
    total_run_count = sum(searcher.run_count(answer.request_id) for searcher in site.searchers)
    name = f'{kind} {answer.request_id} with status {answer.status}'
    if answer.status and not 200 <= answer.status <= 599:
        site.violations.append(f'{name}: the status is unassigned')
    if answer.status in NOT_RUN_STATUSES and total_run_count:
        site.violations.append(f'{name}: ran {total_run_count} times')
    if kind == 'once' and total_run_count > 1:
        site.violations.append(f'{name}: ran {total_run_count} times')
    if kind != 'all' and answer.status == 200:
        stamp = answer.headers.get('X-Response-Stamp', '')
        if not stamp.startswith(f'{answer.request_id}.'):
            site.violations.append(f'{name}: stamp {stamp!r}')
    if kind == 'all' and answer.status == 200:
        foreign_stamps = [
            stamp for stamp in answer.shard_stamps if not stamp.startswith(f'{answer.request_id}.')
        ]
        services = {stamp.split('.')[1] for stamp in answer.shard_stamps}
        has_distinct_services = len(services) == len(answer.shard_stamps)
        if (
            foreign_stamps
            or not has_distinct_services
            or len(services) + answer.missing_count != SHARD_COUNT
        ):
            stamps_text = f'stamps {answer.shard_stamps}, {answer.missing_count} missing'
            site.violations.append(f'{name}: {stamps_text}')


async def _check_reads(site: SoakSite, end_at_s: float) -> None:
    """Check that a confirmed read never returns a version older than one acknowledged before."""
    while time.monotonic() < end_at_s:
        for number in range(len(site.fleet.controls)):
            min_version = site.acknowledged_version
            document = await site.read(number)
            if document is not None and document['version'] < min_version:
                site.violations.append(
                    f'read {document["version"]} after {min_version} was acknowledged'
                )
        await asyncio.sleep(0.1)


def main() -> None:
    """Run seeds one after the other; exit with 1 if any violated a guarantee."""
    first = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    failed = 0
    for seed in range(first, first + count):
        folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        report = asyncio.run(soak(folder, seed))
        failed += bool(report.violations)
        text = '; '.join(report.violations[:5]) or 'no violations'
        print(
            f'seed {seed}: {text}; {report.fault_counts}, {report.status_counts} ({folder})',
            flush=True,
        )
    raise SystemExit(1 if failed else 0)


if __name__ == '__main__':
    main()
