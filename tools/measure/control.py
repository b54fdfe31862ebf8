"""Measure control on up to 7 instances: cost, time until in force, restart of a voter."""

from __future__ import annotations

import argparse
import sys
import tempfile
import time
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import psutil
import urllib3

from pistachioloft_core.messages.accepted import ServiceEntry

from ..cluster.layout import GOLDSEAM
from ..cluster.processes import Cluster
from .report import percentile, print_table, slope

if TYPE_CHECKING:
    from collections.abc import Callable

INSTANCE_COUNTS = (3, 5, 7)
VOTER_COUNT = 3
IDLE_S = 12.0
CHANGE_INTERVAL_S = 8.0
CHANGE_ROUND_COUNT = 3
CHANGE_COUNT = 60
KILL_COUNT = 4
RESTART_CHANGE_COUNTS = (0, 300, 1_000)
EXTRA_SERVICE_COUNTS = (0, 2_000, 8_000)
ACCEPTED_CODES = (4, 5)


@dataclass(frozen=True, slots=True)
class Sample:
    """Record the resources that a daemon has used up to a point in time."""

    at_s: float
    processor_s: float
    resident_bytes: int
    peer_bytes: float


def read_sample(cluster: Cluster, name: str) -> Sample:
    """Read the processor time, the memory and the peer traffic of a daemon."""
    process = psutil.Process(cluster.daemons[name].pid)
    processor_times = process.cpu_times()
    address = cluster.plans[name].operator_address
    text = cluster.http.request('GET', f'http://{address}/metrics').data.decode()
    size = 0.0
    for line in text.splitlines():
        if 'peer_sent_bytes' in line or 'peer_received_bytes' in line:
            size += 0.0 if line.startswith('#') else float(line.split()[-1])
    return Sample(
        time.monotonic(),
        processor_times.user + processor_times.system,
        process.memory_info().rss,
        size,
    )


def find_leader(cluster: Cluster) -> str:
    """Return the name of the leader, or an empty string."""
    for name, process in cluster.daemons.items():
        status = cluster.status(name) if process.poll() is None else None
        if status and status['voters'] and status['voters']['leader']:
            return str(status['voters']['leader']).rsplit('-', 1)[0]
    return ''


class ChangeSubmitter:
    """Submit changes of the configuration to a cluster, one after the other."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.number = 0
        self.index = 0
        self.extra_service_count = 0

    def submit(self, instance_name: str) -> float:
        """Submit a change until it is accepted, and return the time of the acceptance."""
        self.number += 1
        base = self.cluster.configuration()
        callers = (*base.callers, replace(base.callers[0], caller=f'caller-{self.number}'))
        extra = tuple(
            ServiceEntry(f'extra-{service_number:05}')
            for service_number in range(self.extra_service_count)
        )
        content = replace(base, callers=callers, services=base.services + extra)
        while True:
            try:
                reply = self.cluster.submit(
                    instance_name, f'change-{self.number}', self.index, content
                )
            except urllib3.exceptions.HTTPError:
                time.sleep(0.02)
                continue
            if reply['result_code'] in ACCEPTED_CODES:
                self.index = reply['accepted_index']
                return time.monotonic()
            time.sleep(0.02)

    def wait_in_force(self, since_s: float) -> float:
        """Wait until every running daemon has the change; return the seconds since acceptance."""
        names = [n for n, process in self.cluster.daemons.items() if process.poll() is None]
        for name in names:
            self.cluster.wait(
                lambda name=name: self._has_change(name), f'{name} to have the change'
            )
        return time.monotonic() - since_s

    def _has_change(self, name: str) -> bool:
        status = self.cluster.get(self.cluster.plans[name].operator_address, '/v1/config')
        return bool(status and status['accepted']['index'] >= self.index)


def start(folder: Path, instance_count: int) -> tuple[Cluster, ChangeSubmitter]:
    """Start a cluster and wait until its first configuration is in force."""
    cluster = Cluster(folder, GOLDSEAM, instance_count, VOTER_COUNT)
    try:
        cluster.initialize()
        cluster.start_all()
        change_submitter = ChangeSubmitter(cluster)
        change_submitter.wait_in_force(change_submitter.submit('e1'))
    except BaseException:
        cluster.stop()
        raise
    return cluster, change_submitter


def _usage_between(first: Sample, last: Sample) -> tuple[float, float, float]:
    elapsed_s = last.at_s - first.at_s
    return (
        (last.processor_s - first.processor_s) / elapsed_s * 100,
        (last.peer_bytes - first.peer_bytes) / elapsed_s / 1000,
        last.resident_bytes / 2**20,
    )


def _measure_usage(
    cluster: Cluster, workload: Callable[[], Any]
) -> dict[str, tuple[float, float, float]]:
    names = tuple(cluster.plans)
    before = {name: read_sample(cluster, name) for name in names}
    workload()
    return {name: _usage_between(before[name], read_sample(cluster, name)) for name in names}


def _cost_rows(label: str, cluster: Cluster, workload: Callable[[], Any]) -> list[tuple[Any, ...]]:
    used = _measure_usage(cluster, workload)
    first = find_leader(cluster)
    rows = []
    for role, names in (
        ('leader', [first]),
        ('other voters', [n for n in cluster.voters() if n != first]),
        ('others', [n for n in cluster.plans if n not in cluster.voters()]),
    ):
        if names:
            means = [sum(used[name][column] for name in names) / len(names) for column in range(3)]
            rows.append((len(cluster.plans), label, role, *means))
    return rows


def measure_cost(folder: Path) -> None:
    """Print the cost of control for a daemon, idle and with a change every 8 s."""
    rows: list[tuple[Any, ...]] = []
    for count in INSTANCE_COUNTS:
        cluster, change_submitter = start(folder / f'cost-{count}', count)

        def change(change_submitter: ChangeSubmitter = change_submitter) -> None:
            for _ in range(CHANGE_ROUND_COUNT):
                started = time.monotonic()
                change_submitter.submit('e2')
                time.sleep(max(0.0, started + CHANGE_INTERVAL_S - time.monotonic()))

        try:
            time.sleep(2.0)
            rows += _cost_rows('idle', cluster, lambda: time.sleep(IDLE_S))
            if count == INSTANCE_COUNTS[-1]:
                rows += _cost_rows('a change every 8 s', cluster, change)
                change_submitter.extra_service_count = 8_000
                rows += _cost_rows('the same, 8,000 services more', cluster, change)
        finally:
            cluster.stop()
    others = [row for row in rows if row[1] == 'idle' and row[2] == 'leader']
    names = ('instances', 'load', 'role', '% of a core', 'KB/s', 'MB resident')
    print_table('Control of a daemon without searchers and queries', names, rows)
    for column, unit in ((3, '% of a core'), (4, 'KB/s')):
        line = slope([row[0] for row in others], [row[column] for row in others])
        print(f'\nSlope for each further instance, idle, leader: {line:.2f} {unit}.')


def _summarize_times(times_s: list[float]) -> tuple[float, float, float]:
    return percentile(times_s, 0.5), percentile(times_s, 0.99), max(times_s)


def measure_in_force(folder: Path) -> None:
    """Print the time from the acceptance of a change until 7 instances have it."""
    cluster, change_submitter = start(folder / 'force', INSTANCE_COUNTS[-1])
    rows, outages_s = [], []
    try:
        for extra in EXTRA_SERVICE_COUNTS:
            change_submitter.extra_service_count = extra
            count = CHANGE_COUNT if not extra else CHANGE_COUNT // 3
            times_s = [
                change_submitter.wait_in_force(change_submitter.submit('e2')) for _ in range(count)
            ]
            rows.append((f'{extra} services more', count, *_summarize_times(times_s)))
        change_submitter.extra_service_count = 0
        times_s = []
        for _ in range(KILL_COUNT):
            killed_leader = find_leader(cluster)
            instance_name = next(name for name in cluster.plans if name not in cluster.voters())
            accepted_s = change_submitter.submit(instance_name)
            cluster.kill(killed_leader)
            killed_s = time.monotonic()
            times_s.append(change_submitter.wait_in_force(accepted_s))
            outages_s.append(change_submitter.submit(instance_name) - killed_s)
            cluster.start(killed_leader)
            cluster.wait_listening(killed_leader)
            time.sleep(2.0)
        rows.append(('leader killed after acceptance', KILL_COUNT, *_summarize_times(times_s)))
    finally:
        cluster.stop()
    names = ('changes', 'count', 'median s', '99th percentile s', 'worst s')
    print_table('From acceptance to in force on 7 instances', names, rows)
    print_table('From the kill of the leader to the next accepted change',
                ('kills', 'median s', 'worst s'),
                [(KILL_COUNT, percentile(outages_s, 0.5), max(outages_s))])  # fmt: skip


def measure_restart(folder: Path) -> None:
    """Print the time to restart a voter, by the number of changes in its log."""
    rows = []
    cluster, change_submitter = start(folder / 'restart', VOTER_COUNT)
    try:
        for count in RESTART_CHANGE_COUNTS:
            submitting_since_s = time.monotonic()
            change_count_before = change_submitter.number
            while change_submitter.number < count:
                change_submitter.submit('e1')
            changes_per_s = (change_submitter.number - change_count_before) / (
                time.monotonic() - submitting_since_s
            )
            name = next(n for n in cluster.voters() if n not in ('e1', find_leader(cluster)))
            data = cluster.plans[name].folder / 'data'
            size = sum(path.stat().st_size for path in data.iterdir())
            cluster.kill(name)
            started = time.monotonic()
            cluster.start(name)
            cluster.wait_listening(name)
            listening_s = time.monotonic() - started
            cluster.wait(lambda name=name: change_submitter._has_change(name), 'the configuration')  # type: ignore[misc]
            rows.append((change_submitter.number, size / 1024, listening_s,
                         time.monotonic() - started, changes_per_s if count else ''))  # fmt: skip
    finally:
        cluster.stop()
    names = ('changes', 'KB on disk', 'listening s', 'configuration confirmed s', 'changes/s')
    print_table('Restart of a killed voter, start of Python included', names, rows)


PARTS = {'cost': measure_cost, 'in-force': measure_in_force, 'restart': measure_restart}


def main() -> int:
    """Print the tables of the selected parts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--part', action='append', choices=tuple(PARTS))
    parser.add_argument('--folder', help='parent of the data folders, on the disk to measure')
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=options.folder) as folder:
        for name in options.part or PARTS:
            PARTS[name](Path(folder))
    return 0


if __name__ == '__main__':
    sys.exit(main())
