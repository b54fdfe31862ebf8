"""Start, stop and kill the real processes of a fleet on loopback addresses."""

from __future__ import annotations

import itertools
import os
import shutil
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import IO

REPOSITORY = Path(__file__).resolve().parents[2]
SOURCES = [REPOSITORY / 'packages' / package / 'src' for package in ('core', 'daemon')]
START = 'from pistachioloft_daemon.platform.program import main; main()'
DOMAINS = ('north', 'east', 'west')
STOP_TIMEOUT_S = 12.0

_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True)
class Ports:
    """Name the ports that are the same on every machine."""

    control: int
    directory: int
    caller: int
    readiness: int
    control_peer: int
    entry_peer: int
    metrics: int


@dataclass(frozen=True, slots=True)
class Machine:
    """Name one machine: its address, its failure domain and what runs there."""

    name: str
    ip: str
    failure_domain: str
    role: str


@dataclass(frozen=True, slots=True)
class FleetBounds:
    """Hold the times that the settings give, short enough for a test."""

    heartbeat_ms: int = 400
    grace_s: float = 3.0
    keep_s: float = 1.0
    extra_share: float = 0.2
    extra_allowance_count: int = 60


class Fleet:
    """Hold the processes of one fleet; each machine has a loopback address of its own."""

    def __init__(
        self,
        folder: Path,
        control_count: int = 3,
        entry_count: int = 2,
        bounds: FleetBounds | None = None,
    ) -> None:
        self.folder = folder
        self.bounds = bounds or FleetBounds()
        number = os.getpid() * 8 + next(_numbers)
        self.network = f'127.{1 + number // 250 % 250}.{1 + number % 250}'
        self.ports = Ports(*_free_ports(f'{self.network}.1', 7))
        self.controls = self._machines('control', control_count, 1)
        self.entries = self._machines('entry', entry_count, 101)
        self.seeds = tuple(machine.ip for machine in self.controls[:3])
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.founded = False

    def start_all(self) -> None:
        """Start every machine for the first time."""
        for machine in (*self.controls, *self.entries):
            self.start(machine)
        self.founded = True

    def start(self, machine: Machine, output: IO[bytes] | None = None) -> None:
        """Start the process of one machine, with its log in its folder or in another output."""
        folder = self.folder / machine.name
        folder.mkdir(parents=True, exist_ok=True)
        settings = folder / 'settings.toml'
        settings.write_text(self._settings(machine))
        with self.log_path(machine).open('ab') as log:
            self.processes[machine.name] = subprocess.Popen(
                # The sources, whatever was built of them before.
                [sys.executable, '-c', START],
                stdout=output or log,
                stderr=log,
                env={
                    **os.environ,
                    'PISTACHIOLOFT_BOOT': str(settings),
                    'PYTHONPATH': os.pathsep.join(str(each) for each in SOURCES),
                },
            )

    def signal(self, machine: Machine, number: int) -> None:
        """Send a signal to the process of a machine."""
        process = self.processes[machine.name]
        if process.poll() is None:
            process.send_signal(number)

    def kill(self, machine: Machine) -> None:
        """Kill the process of a machine and wait for its end."""
        self.signal(machine, signal.SIGKILL)
        self.processes[machine.name].wait(STOP_TIMEOUT_S)

    def terminate(self, machine: Machine) -> int:
        """Stop the process of a machine gracefully and return its exit code."""
        self.signal(machine, signal.SIGTERM)
        return self.processes[machine.name].wait(STOP_TIMEOUT_S)

    def is_running(self, machine: Machine) -> bool:
        """Tell whether the process of a machine runs."""
        process = self.processes.get(machine.name)
        return process is not None and process.poll() is None

    def wipe(self, machine: Machine) -> None:
        """Remove the disk of a machine whose process has ended."""
        shutil.rmtree(self.folder / machine.name / 'data')

    def log_path(self, machine: Machine) -> Path:
        """Return where the process of a machine writes its log."""
        return self.folder / machine.name / 'log'

    def log(self, machine: Machine) -> str:
        """Return what the process of a machine has logged."""
        return self.log_path(machine).read_text(errors='replace')

    def stop(self) -> None:
        """End every process that this fleet started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(STOP_TIMEOUT_S)

    def control_address(self, machine: Machine) -> str:
        """Return where endpoints and operators call a control machine."""
        return f'{machine.ip}:{self.ports.control}'

    def directory_address(self, machine: Machine) -> str:
        """Return where callers ask a control machine for addresses."""
        return f'{machine.ip}:{self.ports.directory}'

    def caller_address(self, machine: Machine) -> str:
        """Return where callers connect to an entry machine."""
        return f'{machine.ip}:{self.ports.caller}'

    def readiness_address(self, machine: Machine) -> str:
        """Return where the readiness of an entry machine is asked."""
        return f'{machine.ip}:{self.ports.readiness}'

    def metrics_address(self, machine: Machine) -> str:
        """Return where operators ask a machine for its metrics and its report."""
        return f'{machine.ip}:{self.ports.metrics}'

    def _machines(self, role: str, count: int, first: int) -> tuple[Machine, ...]:
        return tuple(
            Machine(
                f'{role}-{number + 1}',
                f'{self.network}.{first + number}',
                DOMAINS[number % len(DOMAINS)],
                role,
            )
            for number in range(count)
        )

    def _settings(self, machine: Machine) -> str:
        ports, bounds = self.ports, self.bounds
        control = machine.role == 'control'
        peer_port = ports.control_peer if control else ports.entry_peer
        listen = (
            {'control_address': ports.control, 'directory_address': ports.directory}
            if control
            else {'caller_address': ports.caller, 'readiness_address': ports.readiness}
        )
        seeds = ', '.join(f'"{seed}:{ports.control}"' for seed in self.seeds)
        lines = [
            '[instance]',
            f'id = "{machine.ip}"',
            f'label = "{machine.name}"',
            f'failure_domain = "{machine.failure_domain}"',
            f'role = "{machine.role}"',
            '[listen]',
            *(f'{key} = "{machine.ip}:{port}"' for key, port in listen.items()),
            f'peer_address = "{machine.ip}:{peer_port}"',
            f'metrics_address = "{self.metrics_address(machine)}"',
            '[fleet]',
            f'seeds = [{seeds}]',
            f'control_peer_port = {ports.control_peer}',
            f'found = {"false" if self.founded else "true"}',
            f'heartbeat_ms = {bounds.heartbeat_ms}',
            '[bounds]',
            f'grace_s = {bounds.grace_s}',
            f'keep_s = {bounds.keep_s}',
            f'extra_share = {bounds.extra_share}',
            f'extra_allowance_count = {bounds.extra_allowance_count}',
        ]
        if control:
            lines += ['[data]', f'folder = "{self.folder / machine.name / "data"}"']
        return '\n'.join(lines) + '\n'


def _free_ports(host: str, count: int) -> list[int]:
    """Let the kernel choose ports; the other addresses of this network use the same ones."""
    sockets: list[socket.socket] = []
    for _ in range(count):
        each = socket.socket()
        each.bind((host, 0))
        sockets.append(each)
    ports: list[int] = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports
