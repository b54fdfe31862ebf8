"""Start, stop and kill the processes of a fleet on loopback addresses."""

from __future__ import annotations

import itertools
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import IO, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

REPOSITORY = Path(__file__).resolve().parents[2]
SOURCES = [
    *(REPOSITORY / 'packages' / package / 'src' for package in ('core', 'daemon')),
    REPOSITORY,
]
START_CODE = 'from pistachioloft_daemon.platform.program import main; main()'
CUTTABLE_START_CODE = 'from tools.fleet.cut_links import run; run()'
FAILURE_DOMAINS = ('north', 'east', 'west')
STOP_TIMEOUT_S = 12.0

_network_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True)
class Ports:
    """List the port numbers, which are the same on every machine."""

    control: int
    directory: int
    caller: int
    readiness: int
    control_peer: int
    entry_peer: int
    metrics: int


@dataclass(frozen=True, slots=True)
class Machine:
    """Describe one machine: its address, failure domain and role."""

    name: str
    ip: str
    failure_domain: str
    role: str


@dataclass(frozen=True, slots=True)
class FleetBounds:
    """Set the time limits and the retry budget, with times short enough for tests."""

    heartbeat_ms: int = 400
    grace_s: float = 3.0
    keep_s: float = 1.0
    extra_share: float = 0.2
    extra_allowance_count: int = 60
    memory_mb: int = 300
    allotment_window_s: float = 5.0
    allotment_slack_count: int = 0
    # Limits the open descriptors of each process; 0 keeps the limit of this one.
    descriptor_count: int = 0


class Fleet:
    """Manage the processes of one fleet; each machine has its own loopback address."""

    def __init__(
        self,
        folder: Path,
        control_count: int = 3,
        entry_count: int = 2,
        bounds: FleetBounds | None = None,
    ) -> None:
        self.folder = folder
        self.sources: Sequence[Path] = SOURCES
        self.bounds = bounds or FleetBounds()
        number = os.getpid() * 8 + next(_network_numbers)
        self.network = f'127.{1 + number // 250 % 250}.{1 + number % 250}'
        self.ports = Ports(*_free_ports(f'{self.network}.1', 7))
        self.controls = self._machines('control', control_count, 1)
        self.entries = self._machines('entry', entry_count, 101)
        self.seeds = tuple(machine.ip for machine in self.controls[:3])
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.has_started_before = False

    def start_all(self) -> None:
        """Start every machine of a fleet that has not run before."""
        for machine in (*self.controls, *self.entries):
            self.start(machine)
        self.has_started_before = True

    def start(self, machine: Machine, output: IO[bytes] | None = None) -> None:
        """Start the process of one machine; its standard output goes to `output` or to its log."""
        folder = self.folder / machine.name
        folder.mkdir(parents=True, exist_ok=True)
        settings = folder / 'settings.toml'
        settings.write_text(self._settings(machine))
        with self.log_path(machine).open('ab') as log:
            self.processes[machine.name] = subprocess.Popen(
                # Runs the sources even if built packages exist below target/.
                [sys.executable, '-c', self._start_code(machine)],
                stdout=output or log,
                stderr=log,
                env={
                    **os.environ,
                    'PISTACHIOLOFT_BOOT': str(settings),
                    'CUT_LINKS_FILE': str(folder / 'links'),
                    'INSTANCE_IP': machine.ip,
                    'PYTHONPATH': os.pathsep.join(str(source) for source in self.sources),
                },
            )

    def signal(self, machine: Machine, number: int) -> None:
        """Send a signal to the process of a machine."""
        process = self.processes[machine.name]
        if process.poll() is None:
            process.send_signal(number)

    def cut_links(self, machine: Machine, mode: str) -> None:
        """Cut the links of an entry machine to all endpoints, or restore them with no mode."""
        (self.folder / machine.name / 'links').write_text(mode)

    def set_disk_full(self, machine: Machine, full: bool) -> None:
        """Let no file of a machine's process grow, or let all grow again."""
        pid = self.process_id(machine)
        _, hard_bytes = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        limit_bytes = 0 if full else hard_bytes
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (limit_bytes, hard_bytes))

    def kill(self, machine: Machine) -> None:
        """Kill the process of a machine and wait for its end."""
        self.signal(machine, signal.SIGKILL)
        self.processes[machine.name].wait(STOP_TIMEOUT_S)

    def terminate(self, machine: Machine) -> int:
        """Stop the process of a machine gracefully and return its exit code."""
        self.signal(machine, signal.SIGTERM)
        return self.processes[machine.name].wait(STOP_TIMEOUT_S)

    def is_running(self, machine: Machine) -> bool:
        """Return whether the process of a machine is running."""
        process = self.processes.get(machine.name)
        return process is not None and process.poll() is None

    def process_id(self, machine: Machine) -> int:
        """Return the id of the process of a machine."""
        return self.processes[machine.name].pid

    def wipe(self, machine: Machine) -> None:
        """Delete the data folder of a machine whose process has ended."""
        shutil.rmtree(self.folder / machine.name / 'data')

    def log_path(self, machine: Machine) -> Path:
        """Return the path of the log of a machine."""
        return self.folder / machine.name / 'log'

    def log(self, machine: Machine) -> str:
        """Return the log of a machine as text."""
        return self.log_path(machine).read_text(errors='replace')

    def stop(self) -> None:
        """Kill every process that this fleet started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(STOP_TIMEOUT_S)

    def control_address(self, machine: Machine) -> str:
        """Return the address of a control machine for endpoints and operators."""
        return f'{machine.ip}:{self.ports.control}'

    def directory_address(self, machine: Machine) -> str:
        """Return the address of a control machine where callers resolve entry addresses."""
        return f'{machine.ip}:{self.ports.directory}'

    def caller_address(self, machine: Machine) -> str:
        """Return the address of an entry machine for callers."""
        return f'{machine.ip}:{self.ports.caller}'

    def readiness_address(self, machine: Machine) -> str:
        """Return the address of an entry machine for readiness checks."""
        return f'{machine.ip}:{self.ports.readiness}'

    def metrics_address(self, machine: Machine) -> str:
        """Return the address of a machine for its metrics and its report."""
        return f'{machine.ip}:{self.ports.metrics}'

    def _machines(self, role: str, count: int, first: int) -> tuple[Machine, ...]:
        return tuple(
            Machine(
                f'{role}-{number + 1}',
                f'{self.network}.{first + number}',
                FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
                role,
            )
            for number in range(count)
        )

    def _start_code(self, machine: Machine) -> str:
        code = CUTTABLE_START_CODE if machine.role == 'entry' else START_CODE
        count = self.bounds.descriptor_count
        if not count:
            return code
        limit = f'resource.setrlimit(resource.RLIMIT_NOFILE, ({count}, {count}))'
        return f'import resource; {limit}; {code}'

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
            f'found = {"false" if self.has_started_before else "true"}',
            f'heartbeat_ms = {bounds.heartbeat_ms}',
            '[bounds]',
            f'grace_s = {bounds.grace_s}',
            f'keep_s = {bounds.keep_s}',
            f'extra_share = {bounds.extra_share}',
            f'extra_allowance_count = {bounds.extra_allowance_count}',
            f'allotment_window_s = {bounds.allotment_window_s}',
            f'allotment_slack_count = {bounds.allotment_slack_count}',
            '[machine]',
            f'memory_mb = {bounds.memory_mb}',
        ]
        if control:
            lines += ['[data]', f'folder = "{self.folder / machine.name / "data"}"']
        return '\n'.join(lines) + '\n'


def _free_ports(host: str, count: int) -> list[int]:
    """Return free ports of a host, which the other addresses of the network use too."""
    sockets: list[socket.socket] = []
    for _ in range(count):
        listener = socket.socket()
        listener.bind((host, 0))
        sockets.append(listener)
    ports: list[int] = [listener.getsockname()[1] for listener in sockets]
    for listener in sockets:
        listener.close()
    return ports
