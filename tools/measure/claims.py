"""Measure the memory and processor time of claims, and their rate on three voters."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
import time
from dataclasses import dataclass, replace
from functools import partial
from itertools import count
from pathlib import Path
from typing import Any

import aiohttp
import psutil

from pistachioloft_core.codec import encode_json, encode_packed
from pistachioloft_core.messages.accepted import CloseClaim, OpenClaim
from pistachioloft_core.messages.public import CommandRequest
from pistachioloft_core.version import accepted

from ..cluster.layout import GOLDSEAM
from ..cluster.processes import Cluster
from ..searcher.behaviour import Behaviour
from .report import (
    allocated_bytes,
    percentile,
    print_table,
    processor_time_us,
    single_call_time_us,
    slope,
)

CLAIM_COUNTS = (1_000, 4_000, 16_000)
CALLER_COUNTS = (1, 8, 32)
RUN_S = 6.0
SMALL_SERVICE_COUNT = 8
DEADLINE_MS = 5_000
NOW_MS = 1_790_000_000_000


def _open_claim(number: int) -> OpenClaim:
    return OpenClaim('collectors', f'key-{number:012}', NOW_MS, 'd' * 32,
                     f'e1.1790000000000.{number}.0', 'e1.1790000000000')  # fmt: skip


def _close_claim(command: OpenClaim) -> CloseClaim:
    return CloseClaim(
        command.caller, command.idempotency_key, command.attempt_id, True, {'hold': 40}
    )


def _state_with_claims(size: int) -> accepted.AcceptedState:
    state = accepted.AcceptedState()
    index = 0
    for number in range(size):
        command = _open_claim(number)
        for claim_command in (command, _close_claim(command)):
            index += 1
            # Replicas store the objects decoded from the log, not those of the proposer.
            decoded = accepted.decode_command(accepted.encode_command(claim_command))
            accepted.apply_command(state, 1, index, NOW_MS, decoded)
    return state


def measure_state() -> None:
    """Print the memory of claims and the cost of applying, saving and restoring them."""
    rows: list[tuple[Any, ...]] = []
    memory: list[float] = []
    for size in CLAIM_COUNTS:
        state, used_bytes = allocated_bytes(partial(_state_with_claims, size))
        memory.append(used_bytes)
        numbers = count(size)

        def open_and_close(state: accepted.AcceptedState = state, numbers: Any = numbers) -> None:
            command = _open_claim(next(numbers))
            for claim_command in (command, _close_claim(command)):
                decoded = accepted.decode_command(accepted.encode_command(claim_command))
                accepted.apply_command(state, 1, state.applied_index + 1, NOW_MS, decoded)

        save_us = single_call_time_us(partial(accepted.encode_snapshot, state))
        data = accepted.encode_snapshot(state)
        load_us = single_call_time_us(partial(accepted.decode_snapshot, data))
        rows.append(
            (size, used_bytes / 1024, used_bytes / size, len(data) / size,
             processor_time_us(open_and_close), save_us / 1000, load_us / 1000)
        )  # fmt: skip
    rows.append(('slope', '', slope(CLAIM_COUNTS, memory), '', '', '', ''))
    names = (
        'claims', 'KB', 'bytes a claim', 'snapshot bytes a claim', 'open and close µs',
        'snapshot ms', 'restore ms',
    )  # fmt: skip
    print_table('Claims in the state machine', names, rows)
    command_bytes = (
        len(encode_packed(_open_claim(1))),
        len(encode_packed(_close_claim(_open_claim(1)))),
    )
    print(
        f'\nThe log takes {command_bytes[0]} bytes to open and {command_bytes[1]} bytes '
        'to close a claim.'
    )


@dataclass(frozen=True, slots=True)
class Usage:
    """Record the processor time of each daemon at a point in time."""

    processor_s: dict[str, float]
    at_s: float


def read_usage(cluster: Cluster) -> Usage:
    """Read the processor time of every daemon."""
    processor_s_by_name = {}
    for name, process in cluster.daemons.items():
        processor_times = psutil.Process(process.pid).cpu_times()
        processor_s_by_name[name] = processor_times.user + processor_times.system
    return Usage(processor_s_by_name, time.monotonic())


async def _send_commands(
    addresses: list[str], caller_count: int, shards: list[str], run: int
) -> tuple[list[float], list[str]]:
    latencies_ms: list[float] = []
    refusal_details: list[str] = []
    end_at_s = time.monotonic() + RUN_S
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:

        async def call(number: int) -> None:
            sequence = 0
            while time.monotonic() < end_at_s:
                sequence += 1
                key = f'{run}-{number}-{sequence}'
                request = CommandRequest(
                    GOLDSEAM.routine_callers[0], key, GOLDSEAM.collection,
                    shards[(number + sequence) % len(shards)], key,
                    time.time_ns() // 1_000_000, {'hold': 40}, DEADLINE_MS,
                )  # fmt: skip
                started = time.perf_counter()
                url = f'http://{addresses[number % len(addresses)]}/v1/command'
                async with session.post(url, data=encode_json(request)) as reply:
                    body = await reply.json()
                if body['run_status'] == 'ran':
                    latencies_ms.append((time.perf_counter() - started) * 1000)
                else:
                    refusal_details.append(body['detail'])

        await asyncio.gather(*(call(number) for number in range(caller_count)))
    return latencies_ms, refusal_details


def _is_usable_everywhere(cluster: Cluster, endpoint_count: int) -> bool:
    for name in cluster.plans:
        status = cluster.status(name, endpoints=True)
        if not status or not status['serving']:
            return False
        if sum(endpoint['usable'] for endpoint in status['endpoints']) < endpoint_count:
            return False
    return True


def _leader(cluster: Cluster) -> str:
    status = cluster.status('e1')
    return str(status['voters']['leader']).split('-')[0]


def measure_voters(folder: Path) -> None:
    """Print the rate, the latency and the processor time of commands on three voters."""
    site = replace(GOLDSEAM, small_service_count=SMALL_SERVICE_COUNT)
    cluster = Cluster(folder, site, 3, 3)
    try:
        cluster.initialize()
        cluster.start_all()
        cluster.wait(
            lambda: (
                cluster.submit('e1', 'c-1', 0, cluster.configuration())['result_code'] in (4, 5)
            ),
            'the configuration',
        )
        cluster.start_searchers(Behaviour(2.0), host_count=2)
        searcher_count = 2 * SMALL_SERVICE_COUNT + 2 * site.shared_searcher_count
        cluster.wait(lambda: _is_usable_everywhere(cluster, searcher_count), 'the searchers')
        shards = [f'{site.name}-{number:02}/0' for number in range(SMALL_SERVICE_COUNT)]
        addresses = [plan.caller_address for plan in cluster.plans.values()]
        rows = []
        for run, caller_count in enumerate(CALLER_COUNTS):
            before = read_usage(cluster)
            latencies_ms, refusal_details = asyncio.run(
                _send_commands(addresses, caller_count, shards, run)
            )
            after = read_usage(cluster)
            elapsed_s = after.at_s - before.at_s
            leader = _leader(cluster)
            processor_s_by_name = {
                n: after.processor_s[n] - before.processor_s[n] for n in after.processor_s
            }
            rows.append(
                (caller_count, len(latencies_ms) / elapsed_s, percentile(latencies_ms, 0.5),
                 percentile(latencies_ms, 0.99), processor_s_by_name[leader] / elapsed_s,
                 processor_s_by_name[leader] / len(latencies_ms) * 1000,
                 sum(processor_s_by_name.values()) / len(latencies_ms) * 1000,
                 len(refusal_details))
            )  # fmt: skip
        names = (
            'callers', 'claims/s', 'median ms', '99th percentile ms', 'cores of the leader',
            'leader ms a claim', 'all three ms a claim', 'not run',
        )  # fmt: skip
        print_table('Commands of callers (claim opened, run once in 2 ms, closed) on 3 voters',
                    names, rows)  # fmt: skip
    finally:
        cluster.stop()


def main() -> int:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--folder', help='parent of the data folders, on the disk to measure')
    options = parser.parse_args()
    measure_state()
    with tempfile.TemporaryDirectory(dir=options.folder) as folder:
        measure_voters(Path(folder))
    return 0


if __name__ == '__main__':
    sys.exit(main())
