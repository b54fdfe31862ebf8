"""Start a small deployment with the commands and templates of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path

from http_messages import HttpError, call

ROOT = Path(__file__).resolve().parents[2]
METRICS_PORT = 9100
READY_TIMEOUT_S = 30.0
# Bounds of the users' small sites.
BOUNDS = {
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
    'retryBudgetSlack': 54,
    'recoveryS': 12,
    'ttl_max_s': 5,
}
LIMITS = {
    'frontend': {'memoryMb': 300, 'maxFds': 4100, 'linkMbps': 1000.0},
    'core': {'memoryMb': 296, 'maxFds': 4096, 'linkMbps': 1000.0},
}


class CannotRunError(Exception):
    """Report that the case could not be run."""


@dataclass(frozen=True, slots=True)
class Machine:
    """Describe one machine of the system."""

    name: str
    kind: str
    ip: str
    zone: str


class Deployment:
    """Run the processes of the system, each on a loopback address of its own."""

    def __init__(
        self,
        zones: tuple[str, ...],
        entry_count: int = 2,
        control_count: int = 3,
        heartbeat_ms: int = 1200,
    ) -> None:
        if not (ROOT / 'target' / 'app').is_dir():
            raise CannotRunError('run the build of the deploy file first')
        # Ends the processes also when this one is told to end.
        signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.zones = zones
        self.heartbeat_ms = heartbeat_ms
        number = os.getpid()
        self.network = f'127.{20 + number // 250 % 200}.{1 + number % 250}'
        self.ports = _free_ports(f'{self.network}.1', 6)
        self.roles = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())['roles']
        self.cores = self._machines('core', control_count, 1)
        self.fronts = self._machines('frontend', entry_count, 51)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.is_first_start = True

    def _machines(self, kind: str, count: int, first: int) -> list[Machine]:
        return [
            Machine(
                f'{kind}-{number + 1}',
                kind,
                f'{self.network}.{first + number}',
                self.zones[number % len(self.zones)],
            )
            for number in range(count)
        ]

    def start_all(self) -> None:
        """Start all machines for the first time."""
        for machine in (*self.cores, *self.fronts):
            self.start(machine)
        self.is_first_start = False

    def start(self, machine: Machine) -> None:
        """Start the process of a machine."""
        role = next(role for role in self.roles.values() if role['on'] == machine.kind)
        folder = self.folder / machine.name
        (folder / 'data').mkdir(parents=True, exist_ok=True)
        settings = folder / 'settings.toml'
        template = (ROOT / role['template']).read_text()
        settings.write_text(render(template, self._fields(machine, folder)))
        names = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in names if name in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PISTACHIOLOFT_BOOT'] = str(settings)
        with (folder / 'log').open('ab') as log:
            self.processes[machine.name] = subprocess.Popen(
                role['run'].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def send_signal(self, machine: Machine, number: int) -> None:
        """Send a signal to the process of a machine."""
        process = self.processes[machine.name]
        if process.poll() is None:
            process.send_signal(number)

    def kill(self, machine: Machine) -> None:
        """Kill the process of a machine."""
        self.send_signal(machine, signal.SIGKILL)
        self.processes[machine.name].wait(10)

    def log(self, machine: Machine) -> str:
        """Return what a machine's processes wrote."""
        return (self.folder / machine.name / 'log').read_text(errors='replace')

    def stop(self) -> None:
        """End all processes and remove the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(10)
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(self.folder, ignore_errors=True)

    def control_address(self, machine: Machine) -> str:
        """Return where a core machine serves searchers and the operator."""
        return f'{machine.ip}:{self.ports[0]}'

    def directory_address(self, machine: Machine) -> str:
        """Return where a core machine tells consumers the addresses."""
        return f'{machine.ip}:{self.ports[1]}'

    def front_address(self, machine: Machine) -> str:
        """Return where a front machine serves consumers."""
        return f'{machine.ip}:{self.ports[2]}'

    def ready_address(self, machine: Machine) -> str:
        """Return where a front machine answers readiness checks."""
        return f'{machine.ip}:{self.ports[3]}'

    async def order(self, document: dict[str, object]) -> None:
        """Send a config to the core machines in turn until one acknowledges it."""
        body = json.dumps(document).encode()
        end_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_s:
            for machine in self.cores:
                answer = await self._call_control(machine, 'PUT', '/-/config', body)
                if answer == 200:
                    return
                await asyncio.sleep(0.1)
        raise CannotRunError('the config was not acknowledged')

    async def wait_until_ready(self) -> None:
        """Wait until all front machines are ready."""
        end_s = time.monotonic() + READY_TIMEOUT_S
        waiting = list(self.fronts)
        while waiting:
            if time.monotonic() > end_s:
                raise CannotRunError('the front machines did not become ready')
            for machine in list(waiting):
                try:
                    reply = await call(self.ready_address(machine), 'GET', '/-/readiness')
                except (OSError, HttpError, TimeoutError):
                    continue
                if reply.status == 200:
                    waiting.remove(machine)
            await asyncio.sleep(0.1)

    async def announce(self, endpoint: str, record: dict[str, object]) -> bool:
        """Send what a searcher says of itself to the core machines until one confirms it."""
        body = json.dumps(record).encode()
        for machine in self.cores:
            if await self._call_control(machine, 'PUT', f'/-/instances/{endpoint}', body) == 200:
                return True
        return False

    async def _call_control(self, machine: Machine, method: str, path: str, body: bytes) -> int:
        headers = {'Content-Type': 'application/json'}
        try:
            reply = await call(self.control_address(machine), method, path, headers, body, 5.0)
        except (OSError, HttpError, TimeoutError):
            return 0
        return reply.status

    def _fields(self, machine: Machine, folder: Path) -> dict[str, object]:
        listen = {
            'control': self.control_address(machine),
            'directory': self.directory_address(machine),
            'front': self.front_address(machine),
            'ready': self.ready_address(machine),
        }
        served = ('control', 'directory') if machine.kind == 'core' else ('front', 'ready')
        return {
            'nodeName': machine.name,
            'ip': machine.ip,
            'zone': machine.zone,
            'region': 'brisbane',
            'internalPorts': self.ports[4:6],
            'seeds': [self.control_address(core) for core in self.cores[:3]],
            'bootstrap': self.is_first_start,
            'heartbeatMs': self.heartbeat_ms,
            'listen': {key: listen[key] for key in served},
            'limits': LIMITS[machine.kind],
            'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'dataDir': str(folder / 'data'),
        }


def render(template: str, fields: dict[str, object]) -> str:
    """Fill in a template of settings as the deploy page describes it."""

    def section(match: re.Match[str]) -> str:
        value = _look_up(fields, match.group(1))
        if value is None or value is False:
            return ''
        return render(match.group(2).replace('{{.}}', _text(value)), fields)

    text = re.sub(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', section, template, flags=re.DOTALL)

    def placeholder(match: re.Match[str]) -> str:
        value = _look_up(fields, match.group(1))
        return json.dumps(value) if match.group(2) else _text(value)

    return re.sub(r'\{\{([\w.]+)(\|json)?\}\}', placeholder, text)


def _look_up(fields: object, path: str) -> object:
    for key in path.split('.'):
        if isinstance(fields, dict):
            fields = fields.get(key)
        elif isinstance(fields, list) and key.isdigit() and int(key) < len(fields):
            fields = fields[int(key)]
        else:
            return None
    return fields


def _text(value: object) -> str:
    if value is None:
        return ''
    if isinstance(value, bool):
        return 'true' if value else 'false'
    return str(value)


def _free_ports(ip: str, count: int) -> list[int]:
    listeners = [socket.socket() for _ in range(count)]
    for listener in listeners:
        listener.bind((ip, 0))
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports
