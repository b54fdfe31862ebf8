"""Start, freeze and stop the processes of a cluster on loopback addresses."""

from __future__ import annotations

import itertools
import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
import urllib3

from pistachioloft_core.codec import encode_json
from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.accepted import Configuration, InstanceEntry, SubmitConfiguration

from ..searcher.host import HostPlan, Order
from .layout import Site, announcements, configuration

if TYPE_CHECKING:
    from ..searcher.behaviour import Behaviour

READY_TIMEOUT_S = 60.0
ACCEPTED_CODES = (ResultCode.ACCEPTED, ResultCode.ACCEPTED_REPEATED)
STOP_TIMEOUT_S = 40.0
REPOSITORY = Path(__file__).resolve().parents[2]

_network_numbers = itertools.count(1)


def free_addresses(count: int) -> tuple[str, ...]:
    """Return addresses with free ports on a loopback address that only this process uses."""
    number = os.getpid() * 16 + next(_network_numbers)
    host = f'127.{1 + number // 62500 % 250}.{1 + number // 250 % 250}.{1 + number % 250}'
    sockets = [socket.socket() for _ in range(count)]
    for listener in sockets:
        listener.bind((host, 0))
    addresses = tuple(f'{host}:{listener.getsockname()[1]}' for listener in sockets)
    for listener in sockets:
        listener.close()
    return addresses


@dataclass(frozen=True, slots=True)
class InstancePlan:
    """Describe one instance: its failure domain, role, addresses and folder."""

    instance: str
    failure_domain: str
    voter: bool
    caller_address: str
    operator_address: str
    peer_address: str
    folder: Path


class Cluster:
    """Manage the daemons, searchers and further processes of one cluster."""

    def __init__(self, folder: Path, site: Site, instance_count: int, voter_count: int) -> None:
        self.folder = folder
        self.site = site
        self.http = urllib3.PoolManager(retries=False, timeout=30.0, maxsize=64)
        self.daemons: dict[str, subprocess.Popen[bytes]] = {}
        self.tool_processes: list[subprocess.Popen[bytes]] = []
        self.admin_addresses: list[str] = []
        self.plans: dict[str, InstancePlan] = {}
        for number in range(instance_count):
            name = f'e{number + 1}'
            domain = site.failure_domains[number % len(site.failure_domains)]
            caller, operator, peer = free_addresses(3)
            self.plans[name] = InstancePlan(
                name, domain, number < voter_count, caller, operator, peer, folder / name
            )
        # Addresses of relays that tests place between two instances: (from, to) -> address.
        self.peer_address_overrides: dict[tuple[str, str], str] = {}

    def voters(self) -> tuple[str, ...]:
        """Return the names of the voters."""
        return tuple(plan.instance for plan in self.plans.values() if plan.voter)

    def initialize(self) -> None:
        """Create the data folders of the voters."""
        for plan in self.plans.values():
            plan.folder.mkdir(parents=True, exist_ok=True)
            if plan.voter:
                self._run_daemon_command(
                    'init',
                    str(plan.folder / 'data'),
                    '--cluster',
                    self.site.name,
                    '--instance',
                    plan.instance,
                    '--voters',
                    ','.join(self.voters()),
                )

    def start(self, name: str) -> None:
        """Start one daemon."""
        plan = self.plans[name]
        plan.folder.mkdir(parents=True, exist_ok=True)
        settings = plan.folder / 'settings.toml'
        settings.write_text(self._settings(plan))
        log = (plan.folder / 'log').open('ab')
        self.daemons[name] = subprocess.Popen(
            [sys.executable, '-m', 'pistachioloft_daemon.program', 'run', str(settings)],
            stdout=log,
            stderr=log,
            env=self._environment(),
        )
        log.close()

    def start_all(self) -> None:
        """Start every daemon and wait until it listens."""
        for name in self.plans:
            self.start(name)
        for name in self.plans:
            self.wait_listening(name)

    def wait_listening(self, name: str) -> None:
        """Wait until a daemon answers on its operator address."""
        self.wait(lambda: self.status(name) is not None, f'{name} to listen')

    def wait(self, condition: Any, what: str, timeout_s: float = READY_TIMEOUT_S) -> float:
        """Wait for a condition and return how long it took in seconds."""
        started = time.monotonic()
        while not condition():
            if time.monotonic() - started > timeout_s:
                raise TimeoutError(f'waited {timeout_s} s for {what}')
            time.sleep(0.02)
        return time.monotonic() - started

    def get(self, address: str, path: str, timeout_s: float = 2.0) -> Any:
        """Get a JSON document, or None without a reply of status 200."""
        try:
            reply = self.http.request('GET', f'http://{address}{path}', timeout=timeout_s)
        except urllib3.exceptions.HTTPError:
            return None
        return msgspec.json.decode(reply.data) if reply.status == 200 else None

    def post(self, address: str, path: str, message: Any, timeout_s: float = 30.0) -> Any:
        """Post a message and return the JSON reply."""
        reply = self.http.request(
            'POST', f'http://{address}{path}', body=encode_json(message), timeout=timeout_s
        )
        return msgspec.json.decode(reply.data)

    def status(self, name: str, endpoints: bool = False) -> Any:
        """Return the status page of a daemon."""
        suffix = '?endpoints=true' if endpoints else ''
        return self.get(self.plans[name].operator_address, f'/v1/status{suffix}')

    def instance_entries(self) -> tuple[InstanceEntry, ...]:
        """Return the instances as entries of the configuration."""
        return tuple(
            InstanceEntry(
                plan.instance,
                plan.failure_domain,
                plan.caller_address,
                plan.peer_address,
                plan.voter,
            )
            for plan in self.plans.values()
        )

    def configuration(self, versions: tuple[int, ...] = (1,)) -> Configuration:
        """Build the configuration of this cluster."""
        return configuration(self.site, self.instance_entries(), versions)

    def submit(self, name: str, command_id: str, base_index: int, content: Configuration) -> Any:
        """Submit a configuration through one instance."""
        message = SubmitConfiguration(command_id, base_index, content, 'test')
        return self.post(self.plans[name].operator_address, '/v1/config', message)

    def accept(self, command_id: str) -> None:
        """Submit the first configuration of this cluster until the voters accept it."""
        content = self.configuration()
        self.wait(
            lambda: self.submit('e1', command_id, 0, content)['result_code'] in ACCEPTED_CODES,
            'an accepted configuration',
        )

    def usable_count(self, name: str) -> int:
        """Return how many endpoints an instance can use, or -1 if it is not serving."""
        status = self.status(name, endpoints=True)
        if status is None or not status['serving']:
            return -1
        return sum(1 for endpoint in status['endpoints'] if endpoint['usable'])

    def start_searchers(
        self,
        behaviour: Behaviour,
        host_count: int = 1,
        versions: tuple[int, ...] = (1,),
        seed: int = 1,
    ) -> None:
        """Start the stand-in searchers of the site in `host_count` processes."""
        all_announcements = announcements(self.site, versions)
        entry_addresses = tuple(plan.caller_address for plan in self.plans.values())
        started_hosts = []
        for number in range(host_count):
            (admin,) = free_addresses(1)
            plan = HostPlan(
                entry_addresses,
                all_announcements[number::host_count],
                behaviour,
                admin,
                seed + number,
            )
            path = self.folder / f'searchers-{number}.json'
            path.write_bytes(msgspec.json.encode(plan))
            host = self.spawn('tools.searcher.host', path)
            started_hosts.append(host)
            self.admin_addresses.append(admin)
        for host in started_hosts:
            assert host.stdout is not None
            host.stdout.readline()

    def spawn(self, module: str, path: Path) -> subprocess.Popen[bytes]:
        """Start a tool process that reads its plan from a file."""
        process = subprocess.Popen(
            [sys.executable, '-m', module, str(path)],
            stdout=subprocess.PIPE,
            env=self._environment(),
            cwd=REPOSITORY,
        )
        self.tool_processes.append(process)
        return process

    def order(self, order: Order) -> None:
        """Send an order to each searcher host that runs a searcher named in it."""
        for admin in self.admin_addresses:
            names = {row['endpoint'] for row in self.get(admin, '/counters')}
            hosted = tuple(name for name in order.endpoints if name in names)
            if order.endpoints and not hosted:
                continue
            self.post(admin, '/order', replace(order, endpoints=hosted))

    def counters(self) -> dict[str, Any]:
        """Return the counters of every searcher by name."""
        return {
            row['endpoint']: row
            for admin in self.admin_addresses
            for row in self.get(admin, '/counters') or ()
        }

    def kill(self, name: str) -> None:
        """Kill a daemon with SIGKILL and wait for its end."""
        self.daemons[name].kill()
        self.daemons[name].wait()

    def freeze(self, name: str) -> None:
        """Suspend a daemon with SIGSTOP, which leaves its sockets open."""
        self.daemons[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a frozen daemon with SIGCONT."""
        self.daemons[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> int:
        """Stop a daemon gracefully with SIGTERM and return its exit code."""
        self.daemons[name].terminate()
        return self.daemons[name].wait(STOP_TIMEOUT_S)

    def stop(self) -> None:
        """Kill every process of this cluster."""
        for process in (*self.daemons.values(), *self.tool_processes):
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
            if process.stdout is not None:
                process.stdout.close()

    def _settings(self, plan: InstancePlan) -> str:
        roles = ['entry', 'voter'] if plan.voter else ['entry']
        peers = '\n'.join(
            f'{peer.instance} = '
            f'"{self.peer_address_overrides.get((plan.instance, name), peer.peer_address)}"'
            for name, peer in self.plans.items()
            if peer.instance != plan.instance
        )
        data = f'[data]\nfolder = "{plan.folder / "data"}"\n' if plan.voter else ''
        return (
            f'[instance]\nid = "{plan.instance}"\nfailure_domain = "{plan.failure_domain}"\n'
            f'roles = {roles}\n[listen]\ncaller_address = "{plan.caller_address}"\n'
            f'operator_address = "{plan.operator_address}"\n'
            f'peer_address = "{plan.peer_address}"\n[peers]\n{peers}\n{data}'
        )

    def _run_daemon_command(self, *arguments: str) -> None:
        subprocess.run(
            [sys.executable, '-m', 'pistachioloft_daemon.program', *arguments],
            check=True,
            env=self._environment(),
        )

    def _environment(self) -> dict[str, str]:
        source = [str(REPOSITORY / f'packages/{name}/src') for name in ('core', 'daemon', 'cli')]
        return {**os.environ, 'PYTHONPATH': os.pathsep.join([*source, str(REPOSITORY)])}
