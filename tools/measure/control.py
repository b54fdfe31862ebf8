"""Measure the control of 7 instances as processes: cost, time in force, restart of a voter."""

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
CHANGE_ROUNDS = 3
CHANGE_COUNT = 60
KILL_COUNT = 4
RESTART_CHANGE_COUNTS = (0, 300, 1_000)
EXTRA_SERVICE_COUNTS = (0, 2_000, 8_000)
ACCEPTED_CODES = (4, 5)


@dataclass(frozen=True, slots=True)
class Sample:
    """Hold what a daemon used up to a time."""

    at_s: float
    processor_s: float
    resident_bytes: int
    peer_bytes: float


def read_sample(cluster: Cluster, name: str) -> Sample:
    """Read the processor time, the memory and the bytes between instances of a daemon."""
    process = psutil.Process(cluster.daemons[name].pid)
    times = process.cpu_times()
    address = cluster.plans[name].operator_address
    text = cluster.http.request('GET', f'http://{address}/metrics').data.decode()
    size = 0.0
    for line in text.splitlines():
        if 'peer_sent_bytes' in line or 'peer_received_bytes' in line:
            size += 0.0 if line.startswith('#') else float(line.split()[-1])
    return Sample(time.monotonic(), times.user + times.system, process.memory_info().rss, size)


def find_leader(cluster: Cluster) -> str:
    """Name the instance that leads."""
    for name, process in cluster.daemons.items():
        status = cluster.status(name) if process.poll() is None else None
        if status and status['voters'] and status['voters']['leader']:
            return str(status['voters']['leader']).rsplit('-', 1)[0]
    return ''


class Changes:
    """Submit one change after the other to a cluster."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.number = 0
        self.index = 0
        self.extra_services = 0

    def submit(self, through: str) -> float:
        """Submit a change until it is accepted and return the time of acceptance."""
        self.number += 1
        base = self.cluster.configuration()
        callers = (*base.callers, replace(base.callers[0], caller=f'caller-{self.number}'))
        extra = tuple(ServiceEntry(f'extra-{each:05}') for each in range(self.extra_services))
        content = replace(base, callers=callers, services=base.services + extra)
        while True:
            try:
                reply = self.cluster.submit(through, f'change-{self.number}', self.index, content)
            except urllib3.exceptions.HTTPError:
                time.sleep(0.02)
                continue
            if reply['result_code'] in ACCEPTED_CODES:
                self.index = reply['accepted_index']
                return time.monotonic()
            time.sleep(0.02)

    def wait_in_force(self, since_s: float) -> float:
        """Return the seconds from acceptance until every running daemon has the change."""
        names = [n for n, process in self.cluster.daemons.items() if process.poll() is None]
        for name in names:
            self.cluster.wait(lambda name=name: self._has(name), f'{name} to have the change')
        return time.monotonic() - since_s

    def _has(self, name: str) -> bool:
        status = self.cluster.get(self.cluster.plans[name].operator_address, '/v1/config')
        return bool(status and status['accepted']['index'] >= self.index)


def start(folder: Path, instance_count: int) -> tuple[Cluster, Changes]:
    """Start a cluster with a first configuration in force."""
    cluster = Cluster(folder, GOLDSEAM, instance_count, VOTER_COUNT)
    try:
        cluster.initialise()
        cluster.start_all()
        changes = Changes(cluster)
        changes.wait_in_force(changes.submit('e1'))
    except BaseException:
        cluster.stop()
        raise
    return cluster, changes


def _between(first: Sample, last: Sample) -> tuple[float, float, float]:
    elapsed_s = last.at_s - first.at_s
    return (
        (last.processor_s - first.processor_s) / elapsed_s * 100,
        (last.peer_bytes - first.peer_bytes) / elapsed_s / 1000,
        last.resident_bytes / 2**20,
    )


def _cost(cluster: Cluster, work: Callable[[], Any]) -> dict[str, tuple[float, float, float]]:
    names = tuple(cluster.plans)
    before = {name: read_sample(cluster, name) for name in names}
    work()
    return {name: _between(before[name], read_sample(cluster, name)) for name in names}


def _cost_rows(label: str, cluster: Cluster, work: Callable[[], Any]) -> list[tuple[Any, ...]]:
    used = _cost(cluster, work)
    first = find_leader(cluster)
    rows = []
    for role, names in (
        ('leader', [first]),
        ('other voters', [n for n in cluster.voters() if n != first]),
        ('others', [n for n in cluster.plans if n not in cluster.voters()]),
    ):
        if names:
            means = [sum(used[name][each] for name in names) / len(names) for each in range(3)]
            rows.append((len(cluster.plans), label, role, *means))
    return rows


def measure_cost(folder: Path) -> None:
    """Print what control costs a daemon, idle and under a change every 8 s."""
    rows: list[tuple[Any, ...]] = []
    for count in INSTANCE_COUNTS:
        cluster, changes = start(folder / f'cost-{count}', count)

        def change(changes: Changes = changes) -> None:
            for _ in range(CHANGE_ROUNDS):
                started = time.monotonic()
                changes.submit('e2')
                time.sleep(max(0.0, started + CHANGE_INTERVAL_S - time.monotonic()))

        try:
            time.sleep(2.0)
            rows += _cost_rows('idle', cluster, lambda: time.sleep(IDLE_S))
            if count == INSTANCE_COUNTS[-1]:
                rows += _cost_rows('a change every 8 s', cluster, change)
                changes.extra_services = 8_000
                rows += _cost_rows('the same, 8,000 services more', cluster, change)
        finally:
            cluster.stop()
    others = [row for row in rows if row[1] == 'idle' and row[2] == 'leader']
    names = ('instances', 'load', 'role', '% of a core', 'KB/s', 'MB resident')
    print_table('Control of a daemon without searchers and queries', names, rows)
    for place, unit in ((3, '% of a core'), (4, 'KB/s')):
        line = slope([row[0] for row in others], [row[place] for row in others])
        print(f'\nSlope for each further instance, idle, leader: {line:.2f} {unit}.')


def _summary(times: list[float]) -> tuple[float, float, float]:
    return percentile(times, 0.5), percentile(times, 0.99), max(times)


def measure_in_force(folder: Path) -> None:
    """Print the time from acceptance until 7 instances have a change."""
    cluster, changes = start(folder / 'force', INSTANCE_COUNTS[-1])
    rows, outages = [], []
    try:
        for extra in EXTRA_SERVICE_COUNTS:
            changes.extra_services = extra
            count = CHANGE_COUNT if not extra else CHANGE_COUNT // 3
            times = [changes.wait_in_force(changes.submit('e2')) for _ in range(count)]
            rows.append((f'{extra} services more', count, *_summary(times)))
        changes.extra_services = 0
        times = []
        for _ in range(KILL_COUNT):
            lost = find_leader(cluster)
            through = next(name for name in cluster.plans if name not in cluster.voters())
            accepted_s = changes.submit(through)
            cluster.kill(lost)
            killed_s = time.monotonic()
            times.append(changes.wait_in_force(accepted_s))
            outages.append(changes.submit(through) - killed_s)
            cluster.start(lost)
            cluster.wait_listening(lost)
            time.sleep(2.0)
        rows.append(('leader killed after acceptance', KILL_COUNT, *_summary(times)))
    finally:
        cluster.stop()
    names = ('changes', 'count', 'median s', '99th percentile s', 'worst s')
    print_table('From acceptance to in force on 7 instances', names, rows)
    print_table('From the kill of the leader to the next accepted change',
                ('kills', 'median s', 'worst s'),
                [(KILL_COUNT, percentile(outages, 0.5), max(outages))])  # fmt: skip


def measure_restart(folder: Path) -> None:
    """Print how long a voter takes to restart by the changes in its log."""
    rows = []
    cluster, changes = start(folder / 'restart', VOTER_COUNT)
    try:
        for count in RESTART_CHANGE_COUNTS:
            begun = time.monotonic()
            done = changes.number
            while changes.number < count:
                changes.submit('e1')
            rate = (changes.number - done) / (time.monotonic() - begun)
            name = next(n for n in cluster.voters() if n not in ('e1', find_leader(cluster)))
            data = cluster.plans[name].folder / 'data'
            size = sum(each.stat().st_size for each in data.iterdir())
            cluster.kill(name)
            started = time.monotonic()
            cluster.start(name)
            cluster.wait_listening(name)
            listening_s = time.monotonic() - started
            cluster.wait(lambda name=name: changes._has(name), 'the configuration')  # type: ignore[misc]
            rows.append((changes.number, size / 1024, listening_s,
                         time.monotonic() - started, rate if count else ''))  # fmt: skip
    finally:
        cluster.stop()
    names = ('changes', 'KB on disk', 'listening s', 'configuration confirmed s', 'changes/s')
    print_table('Restart of a killed voter, start of Python included', names, rows)


PARTS = {'cost': measure_cost, 'in-force': measure_in_force, 'restart': measure_restart}


def main() -> int:
    """Print the tables of the wanted parts."""
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
