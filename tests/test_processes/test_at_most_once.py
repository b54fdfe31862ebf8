"""Resend commands while daemons are killed."""

from __future__ import annotations

import random
import socket
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import msgspec
import pytest
import urllib3

from pistachioloft_core.codec import encode_json
from pistachioloft_core.messages.public import CommandReply, CommandRequest
from tests.test_processes.support import leader_of, running_cluster, wait_usable
from tools.searcher.behaviour import Behaviour
from tools.searcher.host import Order

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.cluster.processes import Cluster

SERVICE_MS = 400.0
LONG_SERVICE_MS = 2500.0
DEADLINE_MS = 6000
RAN = {2, 3}
UNKNOWN = {400, 401, 402}
KEY_COUNT = 24
NO_ANSWER = -1


class CommandSender:
    """Send commands with idempotency keys and record the result code of each send."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.http = urllib3.PoolManager(retries=False, timeout=DEADLINE_MS / 1000 + 5, maxsize=64)
        self.issued_at_ms = time.time_ns() // 1_000_000
        self.codes: dict[str, list[int]] = {}
        self.statuses: dict[str, list[str]] = {}

    def request(self, key: str) -> CommandRequest:
        """Build the request, which is the same for each send."""
        return CommandRequest(
            'bills', key, self.cluster.site.collection, 'shared/0', key, self.issued_at_ms,
            {'bill': key}, DEADLINE_MS,
        )  # fmt: skip

    def send(self, key: str, name: str) -> CommandReply | None:
        """Send a command to one instance."""
        url = f'http://{self.cluster.plans[name].caller_address}/v1/command'
        try:
            reply = self.http.request('POST', url, body=encode_json(self.request(key)))
            answer = msgspec.json.decode(reply.data, type=CommandReply)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError):
            self.codes.setdefault(key, []).append(NO_ANSWER)
            self.statuses.setdefault(key, []).append('unknown')
            return None
        self.codes.setdefault(key, []).append(int(answer.result_code))
        self.statuses.setdefault(key, []).append(str(answer.run_status))
        return answer

    def send_and_disconnect(self, key: str, name: str) -> None:
        """Send a command and close the connection once the command runs."""
        body = encode_json(self.request(key))
        host, port = self.cluster.plans[name].caller_address.rsplit(':', 1)
        head = f'POST /v1/command HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n'
        with socket.create_connection((host, int(port)), 10) as connection:
            connection.sendall(head.encode() + body)
            self.wait_running(key)
        self.statuses.setdefault(key, []).append('unknown')

    def run_count(self, key: str) -> int:
        """Return the number of runs of a command at all searchers."""
        return sum(row['executed'].get(key, 0) for row in self.cluster.counters().values())

    def wait_running(self, key: str) -> None:
        """Wait until a searcher began to run a command."""
        self.cluster.wait(lambda: self.run_count(key) > 0, f'{key} to run')

    def check_replies(self, key: str) -> None:
        """Check the replies to a command against the number of its runs."""
        count = self.run_count(key)
        statuses = set(self.statuses[key])
        assert count <= 1, f'{key} ran {count} times: {self.codes.get(key)}'
        if count == 0:
            assert 'ran' not in statuses, f'{key} never ran: {self.codes[key]}'
        else:
            assert statuses != {'not_run'}, f'{key} ran, but all replies deny it: {self.codes[key]}'


@pytest.fixture(scope='module')
def commands(tmp_path_factory: pytest.TempPathFactory) -> Iterator[CommandSender]:
    """Run one cluster for all tests, each of which restores it."""
    with running_cluster(tmp_path_factory.mktemp('commands'), Behaviour(SERVICE_MS)) as cluster:
        yield CommandSender(cluster)


def test_simultaneous_sends_run_once(commands: CommandSender) -> None:
    """Guard against a second run when several instances get one key at the same time."""
    names = tuple(commands.cluster.plans)
    for number in range(3):
        key = f'same-{number}'
        with ThreadPoolExecutor(len(names)) as pool:
            replies = list(pool.map(lambda name, key=key: commands.send(key, name), names))
        codes = Counter(int(reply.result_code) for reply in replies if reply)
        assert codes[2] == 1, codes
        assert set(codes) <= RAN | UNKNOWN, codes
        assert commands.run_count(key) == 1
        for name in names:
            reply = commands.send(key, name)
            assert reply is not None
            assert reply.result_code == 3
            assert reply.outcome['done'] == {'bill': key}


def test_resend_after_a_disconnect_runs_once(commands: CommandSender) -> None:
    """Guard against a second run when the caller disconnected before the reply."""
    commands.send_and_disconnect('dropped', 'e1')

    def recorded() -> bool:
        reply = commands.send('dropped', 'e3')
        return reply is not None and reply.result_code in RAN

    commands.cluster.wait(recorded, 'the recorded outcome')
    assert set(commands.codes['dropped']) <= {3} | UNKNOWN
    commands.check_replies('dropped')
    assert commands.run_count('dropped') == 1


def test_resend_after_a_kill_of_entry_or_leader_runs_once(commands: CommandSender) -> None:
    """Guard against a second run when the entry instance or leader is killed during the first."""
    cluster = commands.cluster
    cluster.order(Order('behave', behaviour=Behaviour(LONG_SERVICE_MS)))
    for victim in ('e4', leader_of(cluster)):
        key = f'killed-{victim}'
        entry = 'e4' if victim == 'e4' else next(each for each in ('e1', 'e2') if each != victim)
        others = [name for name in cluster.plans if name != victim]
        sender = threading.Thread(target=commands.send, args=(key, entry))
        sender.start()
        commands.wait_running(key)
        cluster.kill(victim)
        for name in others * 2:
            commands.send(key, name)
        sender.join(60)
        cluster.start(victim)
        wait_usable(cluster)
        commands.send(key, victim)
        commands.check_replies(key)
        assert commands.run_count(key) == 1
        served = [code for code in commands.codes[key] if code not in (NO_ANSWER, 202, 205)]
        assert set(served) <= RAN | UNKNOWN, commands.codes[key]
    cluster.order(Order('behave', behaviour=Behaviour(SERVICE_MS)))


def test_resends_during_random_kills_run_at_most_once(commands: CommandSender) -> None:
    """Guard against second runs, and replies of 'not run' to commands that ran, after any kill."""
    cluster = commands.cluster
    cluster.order(Order('behave', behaviour=Behaviour(60.0)))
    random_source = random.Random(11)
    stop_requested = threading.Event()

    def sender(number: int) -> None:
        sender_random = random.Random(number)
        for turn in range(KEY_COUNT):
            key = f'storm-{number}-{turn}'
            for _ in range(4):
                reply = commands.send(key, sender_random.choice(tuple(cluster.plans)))
                if reply is not None and reply.result_code in RAN and sender_random.random() < 0.5:
                    break
            if stop_requested.is_set():
                return

    threads = [threading.Thread(target=sender, args=(number,)) for number in range(4)]
    for each in threads:
        each.start()
    for _ in range(5):
        victim = random_source.choice(tuple(cluster.plans))
        cluster.kill(victim)
        cluster.start(victim)
        wait_usable(cluster, (victim,))
    stop_requested.set()
    for each in threads:
        each.join(120)
    keys = [key for key in commands.codes if key.startswith('storm')]
    assert sum(bool(RAN & set(commands.codes[key])) for key in keys) >= 10
    for key in keys:
        commands.check_replies(key)


def test_resend_after_a_kill_of_all_daemons_returns_the_outcome(commands: CommandSender) -> None:
    """Guard against claims and outcomes that are lost when all daemons are killed."""
    cluster = commands.cluster
    if not commands.codes:
        commands.send('alone', 'e2')
    before = {key: commands.run_count(key) for key in commands.codes}
    recorded_keys = {key for key, codes in commands.codes.items() if RAN & set(codes)}
    for process in cluster.daemons.values():
        process.kill()
    for process in cluster.daemons.values():
        process.wait()
    cluster.start_all()
    wait_usable(cluster)
    for number, key in enumerate(commands.codes):
        reply = commands.send(key, f'e{number % 4 + 1}')
        assert reply is not None
        if key in recorded_keys:
            assert reply.result_code == 3, (key, reply, commands.codes[key])
        elif before[key]:
            assert reply.result_code in RAN | UNKNOWN, (key, reply, commands.codes[key])
        commands.check_replies(key)
