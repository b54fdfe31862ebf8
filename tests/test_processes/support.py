"""Start small clusters of real processes, and callers that check every answer."""

from __future__ import annotations

import contextlib
import random
import threading
import time
from typing import TYPE_CHECKING, Any

import msgspec
import urllib3

from pistachioloft_core.codec import encode_json
from pistachioloft_core.messages.public import AddressesReply, QueryReply, QueryRequest
from tools.bench.load import find_violation
from tools.cluster.layout import COMPACT, announcements
from tools.cluster.processes import Cluster
from tools.searcher.behaviour import Behaviour

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from pathlib import Path

VOTER_COUNT = 3
DEADLINE_MS = 8000
LEASE_S = 2.0


@contextlib.contextmanager
def running_cluster(
    folder: Path,
    behaviour: Behaviour | None = None,
    instance_count: int = 4,
    prepare: Callable[[Cluster], None] | None = None,
) -> Iterator[Cluster]:
    """Run a cluster whose first configuration is in force and whose searchers are all usable."""
    cluster = Cluster(folder, COMPACT, instance_count, VOTER_COUNT)
    try:
        if prepare is not None:
            prepare(cluster)
        cluster.initialize()
        cluster.start_all()
        accept(cluster, 'first', 0, cluster.configuration())
        cluster.start_searchers(behaviour or Behaviour(5.0))
        wait_usable(cluster)
        yield cluster
    finally:
        cluster.stop()


def accept(cluster: Cluster, command_id: str, base_index: int, content: Any, at: str = 'e1') -> int:
    """Submit a configuration until it is accepted and return its index."""
    replies: list[Any] = [None]

    def accepted() -> bool:
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            replies[0] = cluster.submit(at, command_id, base_index, content)
        reply = replies[0]
        assert reply is None or reply['result_code'] not in (302, 501, 502), reply
        return reply is not None and reply['result_code'] in (4, 5)

    cluster.wait(accepted, f'{command_id} to be accepted')
    return int(replies[0]['accepted_index'])


def wait_usable(cluster: Cluster, names: tuple[str, ...] = ()) -> None:
    """Wait until every named instance serves and uses every searcher."""
    count = len(announcements(cluster.site))

    def usable(name: str) -> bool:
        status = cluster.status(name, endpoints=True)
        return bool(
            status
            and status['serving']
            and sum(each['usable'] for each in status['endpoints']) >= count
        )

    for name in names or tuple(cluster.plans):
        cluster.wait(lambda name=name: usable(name), f'{name} to use {count} searchers')


def wait_in_force(cluster: Cluster, index: int, names: tuple[str, ...] = ()) -> None:
    """Wait until the named instances serve with the configuration of an index or a later one."""

    def in_force(name: str) -> bool:
        status = cluster.status(name)
        return bool(status and status['serving'] and status['accepted_index'] >= index)

    for name in names or tuple(cluster.plans):
        cluster.wait(lambda name=name: in_force(name), f'index {index} at {name}')


def leader_of(cluster: Cluster, names: tuple[str, ...] = ()) -> str:
    """Wait until one of the named instances reports a leader that replies, and return it."""
    found: list[str] = []

    def has_leader() -> bool:
        for name in names or tuple(cluster.plans):
            status = cluster.status(name)
            if status and status['in_force'] and status['voters'] and status['voters']['leader']:
                found.append(status['voters']['leader'])
                return True
        return False

    cluster.wait(has_leader, 'a leader')
    return found[-1]


class SteadyCaller(threading.Thread):
    """Send queries one after the other and record the faults of the answers."""

    def __init__(self, cluster: Cluster, caller: str, seed: int, pause_s: float = 0.05) -> None:
        super().__init__(daemon=True)
        self.caller = caller
        self.collection = cluster.site.collection
        self.random_source = random.Random(seed)
        self.seed = seed
        self.pause_s = pause_s
        self.http = urllib3.PoolManager(retries=False, timeout=DEADLINE_MS / 1000 + 5)
        self.instance_addresses = tuple(plan.caller_address for plan in cluster.plans.values())
        self.addresses: tuple[str, ...] = ()
        self.valid_until_s = 0.0
        self.allowed_codes = frozenset({0})
        self.codes: dict[int, int] = {}
        self.versions: dict[int, int] = {}
        self.faults: list[str] = []
        # Shard counts by version, if the test sets them.
        self.shard_counts: dict[int, int] = {}
        self.request_number = 0
        self.body: dict[str, str] | None = None
        self.stop_requested = threading.Event()

    def run(self) -> None:
        """Send queries until a stop is requested."""
        while not self.stop_requested.is_set():
            if time.monotonic() >= self.valid_until_s:
                self.fetch_addresses()
            if self.addresses:
                self.query(self.addresses[0], self.valid_until_s)
            self.stop_requested.wait(self.pause_s)

    def finish(self) -> list[str]:
        """Stop sending and return the faults."""
        self.stop_requested.set()
        self.join(60)
        return self.faults

    def fetch_addresses(self, address: str | None = None) -> AddressesReply | None:
        """Fetch addresses from an instance and use them for the keep time that it returns."""
        address = address or self.random_source.choice(self.addresses or self.instance_addresses)
        url = f'http://{address}/v1/addresses?caller={self.caller}'
        try:
            reply = self.http.request('GET', url, timeout=2.0)
        except urllib3.exceptions.HTTPError:
            self.addresses = ()
            return None
        answer = msgspec.json.decode(reply.data, type=AddressesReply)
        if answer.addresses:
            self.addresses = tuple(each.address for each in answer.addresses)
            self.valid_until_s = time.monotonic() + answer.keep_ms / 1000
        return answer

    def query(self, address: str, valid_until_s: float = float('inf')) -> QueryReply | None:
        """Send one query and check its answer."""
        self.request_number += 1
        request_id = f'{self.caller}-{self.seed}-{self.request_number}'
        body = self.body or {'text': request_id}
        request = QueryRequest(self.caller, request_id, self.collection, body, DEADLINE_MS)
        sent_s = time.monotonic()
        try:
            reply = self.http.request(
                'POST', f'http://{address}/v1/query', body=encode_json(request)
            )
            answer = msgspec.json.decode(reply.data, type=QueryReply)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as error:
            if sent_s < valid_until_s:
                remaining_s = valid_until_s - sent_s
                self.faults.append(f'{address}: {error!r}, sent {remaining_s:.3f} s before expiry')
            return None
        code = int(answer.result_code)
        self.codes[code] = self.codes.get(code, 0) + 1
        if answer.snapshot is not None:
            version = answer.snapshot.version
            self.versions[version] = self.versions.get(version, 0) + 1
        if sent_s < valid_until_s and code not in self.allowed_codes:
            remaining_s = valid_until_s - sent_s
            self.faults.append(
                f'{address}: {code} {answer.detail}, sent {remaining_s:.3f} s before expiry,'
                f' {answer.snapshot}, {answer.coverage}'
            )
        fault = find_violation(answer, request) or self._coverage_fault(answer)
        if fault:
            self.faults.append(f'{address}: {fault}: {answer}')
        return answer

    def _coverage_fault(self, answer: QueryReply) -> str:
        if answer.snapshot is None or answer.coverage is None:
            return ''
        coverage = answer.coverage
        expected = self.shard_counts.get(answer.snapshot.version, coverage.shard_count)
        found = coverage.answered_count + len(coverage.missing)
        return '' if expected == coverage.shard_count == found else 'untrue shard count'


@contextlib.contextmanager
def steady_callers(
    cluster: Cluster, count: int = 3, pause_s: float = 0.05, allowed: frozenset[int] = frozenset()
) -> Iterator[list[SteadyCaller]]:
    """Run callers that send queries continuously, and stop them at the end."""
    names = (*cluster.site.urgent_callers, *cluster.site.routine_callers)
    callers = [
        SteadyCaller(cluster, names[number % len(names)], number, pause_s)
        for number in range(count)
    ]
    for each in callers:
        each.allowed_codes |= allowed
        each.start()
    try:
        yield callers
    finally:
        for each in callers:
            each.finish()
