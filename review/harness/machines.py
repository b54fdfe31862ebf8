"""Run the project's programs as machines on loopback addresses, as the deploy file says."""

from __future__ import annotations

import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .template import fill

REPOSITORY = Path(__file__).resolve().parents[2]
ZONES = ('walvis', 'swakop', 'henties')
REGION = 'erongo'
# The bounds of a small deployment, from the settings that the users' pages show for it.
BOUNDS: dict[str, Any] = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'stableWindowMs': 4000,
    'ackMs': 5000,
    'catchUpS': 4,
    'drainMs': 3000,
    'graceS': 6,
    'lossSlackMs': 200,
    'configApplyMs': 3000,
    'rollbackSlackMs': 250,
    'maxStretchMs': 12000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'retryBudgetSlack': 52,
    'recoveryS': 12,
    'ttl_max_s': 5,
}


@dataclass(slots=True)
class Machine:
    """Hold one machine: its role in the deploy file, its address and its process."""

    name: str
    role: str
    ip: str
    zone: str
    process: subprocess.Popen[bytes] | None = None
    started_s: float = 0.0
    ends: list[str] = field(default_factory=list)


class Machines:
    """Hold the machines of one small deployment, and end all their processes at the end."""

    def __init__(self, front_count: int = 3, core_count: int = 3) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.deploy = tomllib.loads((REPOSITORY / 'deploy' / 'system.toml').read_text())
        self.network = _free_network()
        self.ports = _free_ports(f'{self.network}.1', 6)
        self.fronts = self._make('front', 'entry', front_count, 101)
        self.cores = self._make('core', 'control', core_count, 1)
        self.bootstrap = True
        self.bounds = dict(BOUNDS)

    @property
    def all(self) -> list[Machine]:
        """Return all machines."""
        return [*self.cores, *self.fronts]

    def start(self, machine: Machine) -> None:
        """Start the process of a machine with its settings."""
        folder = self.folder / machine.name
        folder.mkdir(exist_ok=True)
        role = self.deploy['roles'][machine.role]
        fields = self._fields(machine)
        settings = folder / 'settings.toml'
        settings.write_text(fill((REPOSITORY / role['template']).read_text(), fields))
        environment = {
            key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ
        }
        environment['PISTACHIOLOFT_BOOT'] = str(settings)
        environment['PYTHONPATH'] = str(REPOSITORY / 'target' / 'deps')
        with (folder / 'log').open('ab') as log:
            machine.process = subprocess.Popen(
                role['run'].split(), cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )
        machine.started_s = time.monotonic()

    def start_all(self) -> None:
        """Start the whole system for the first time."""
        for machine in self.all:
            self.start(machine)
        self.bootstrap = False

    def signal(self, machine: Machine, number: int) -> None:
        """Send a signal to the process of a machine."""
        if machine.process is not None and machine.process.poll() is None:
            machine.process.send_signal(number)

    def stop_all(self) -> None:
        """End every process that was started and remove its files."""
        for machine in self.all:
            self.signal(machine, signal.SIGCONT)
            self.signal(machine, signal.SIGKILL)
        for machine in self.all:
            if machine.process is not None:
                machine.process.wait(10)
        shutil.rmtree(self.folder, ignore_errors=True)

    def log(self, machine: Machine) -> str:
        """Return what a machine has written."""
        return (self.folder / machine.name / 'log').read_text(errors='replace')

    def peak_memory_mb(self, machine: Machine) -> float:
        """Return the most memory that the running process of a machine has used, in MiB."""
        if machine.process is None or machine.process.poll() is not None:
            return 0.0
        status = Path(f'/proc/{machine.process.pid}/status').read_text()
        (peak,) = [line for line in status.splitlines() if line.startswith('VmHWM:')]
        return int(peak.split()[1]) / 1024

    def memory_limit_mb(self, machine: Machine) -> float:
        """Return the memory over which the platform kills the process of a machine."""
        return float(self._fields(machine)['limits']['memoryMb'])

    def control_address(self, machine: Machine) -> str:
        """Return where searchers and the operator call a core machine."""
        return f'{machine.ip}:{self.ports[0]}'

    def directory_address(self, machine: Machine) -> str:
        """Return where consumers ask a core machine for addresses."""
        return f'{machine.ip}:{self.ports[1]}'

    def front_address(self, machine: Machine) -> str:
        """Return where consumers connect to a front machine."""
        return f'{machine.ip}:{self.ports[2]}'

    def ready_address(self, machine: Machine) -> str:
        """Return where the platform asks a front machine whether it is ready."""
        return f'{machine.ip}:{self.ports[3]}'

    def _make(self, kind: str, role: str, count: int, first: int) -> list[Machine]:
        return [
            Machine(
                f'{kind}-{number + 1}',
                role,
                f'{self.network}.{first + number}',
                ZONES[number % len(ZONES)],
            )
            for number in range(count)
        ]

    def _fields(self, machine: Machine) -> dict[str, Any]:
        core = machine.role == 'control'
        listen = (
            {
                'control': self.control_address(machine),
                'directory': self.directory_address(machine),
            }
            if core
            else {'front': self.front_address(machine), 'ready': self.ready_address(machine)}
        )
        return {
            'nodeName': machine.name,
            'role': machine.role,
            'machineClass': 'core' if core else 'frontend',
            'serves': self.deploy['roles'][machine.role]['serves'],
            'ip': machine.ip,
            'zone': machine.zone,
            'region': REGION,
            'internalPorts': [self.ports[4], self.ports[5]],
            'seeds': [self.control_address(each) for each in self.cores[:3]],
            'bootstrap': self.bootstrap,
            'lossCounts': core,
            'heartbeatMs': 1200,
            'zones': dict.fromkeys(ZONES, REGION),
            'listen': listen,
            'limits': {'memoryMb': 296 if core else 300, 'linkMbps': 1000.0},
            'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': self.bounds,
            'dataDir': str(self.folder / machine.name / 'data') if core else '',
        }


def _free_network() -> str:
    number = os.getpid()
    return f'127.{20 + number // 250 % 200}.{1 + number % 250}'


def _free_ports(host: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((host, 0))
    ports: list[int] = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports
