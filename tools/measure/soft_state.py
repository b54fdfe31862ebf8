"""Measure the memory, bytes and processor time of soft state at several sizes."""

from __future__ import annotations

import cProfile
import pstats
import sys
from functools import partial
from itertools import count
from pathlib import Path
from typing import Any

from pistachioloft_core.codec import decode_json, decode_peer, encode_json, encode_peer
from pistachioloft_core.messages.endpoint import Announcement
from pistachioloft_core.process import membership, ownership
from pistachioloft_core.process.merge import merge_instance
from pistachioloft_core.process.soft_state import MembershipState, PeerCursor
from pistachioloft_core.version.cluster_view import build_view

from .builders import accepted, announcement, instance_record, renewed_announcement
from .report import allocated_bytes, print_table, processor_time_us, single_call_time_us, slope

ENDPOINT_COUNTS = (100, 1_000, 4_000)
INSTANCE_COUNTS = (7, 100, 1_000)
RECORD_COUNTS = (1, 50, 500)
PROFILED_COUNT = 50
PROFILE_LINE_COUNT = 8
START_MS = 10_000.0

Row = tuple[Any, ...]


def known_state(endpoint_count: int, instance_count: int = 7) -> MembershipState:
    """Build the state of an instance that knows endpoints and instances."""
    state = MembershipState(instance_record(1), 0.0)
    for number in range(2, instance_count + 1):
        merge_instance(state, START_MS, f'e{number}', START_MS, instance_record(number))
    for number in range(endpoint_count):
        ownership.on_announcement(state, START_MS, announcement(number))
    return state


def measure_memory() -> None:
    """Print the memory of known endpoints and of known instances."""
    rows: list[Row] = []
    sizes: list[float] = []
    for size in ENDPOINT_COUNTS:
        _, used = allocated_bytes(partial(known_state, size))
        sizes.append(used)
        rows.append((size, used / 1024, used / size))
    rows.append(('slope', '', slope(ENDPOINT_COUNTS, sizes)))
    print_table('Soft state kept', ('endpoints known', 'KB', 'bytes an endpoint'), rows)
    rows, sizes = [], []
    for size in INSTANCE_COUNTS:
        _, used = allocated_bytes(partial(known_state, 0, size))
        sizes.append(used)
        rows.append((size, used / 1024, used / size))
    rows.append(('slope', '', slope(INSTANCE_COUNTS, sizes)))
    print_table('Instance records kept', ('instances known', 'KB', 'bytes an instance'), rows)


def measure_announcement() -> None:
    """Print what one announcement costs at the instance that takes it."""
    body = encode_json(announcement(0))
    decode_us = processor_time_us(lambda: decode_json(body, Announcement))
    rows = []
    for instances in INSTANCE_COUNTS:
        for endpoints in ENDPOINT_COUNTS[:2]:
            state = known_state(endpoints, instances)
            sequences = count(2)

            def announce(state: MembershipState = state, sequences: Any = sequences) -> None:
                message = renewed_announcement(announcement(0), next(sequences))
                ownership.on_announcement(state, START_MS, message)

            rows.append((endpoints, instances, len(body), decode_us, processor_time_us(announce)))
    names = ('endpoints', 'instances', 'body bytes', 'JSON decode µs', 'decision µs')
    print_table('One announcement, without HTTP', names, rows)


def measure_pull() -> None:
    """Print what one pull costs by the number of records in its reply."""
    rows: list[Row] = []
    sizes: list[float] = []
    gives: list[float] = []
    takes: list[float] = []
    for records in RECORD_COUNTS:
        server, client = known_state(4_000), MembershipState(instance_record(2), 0.0)
        now_ms = START_MS
        _copy(server, client, now_ms)
        sequence, give_us, take_us, reply_bytes = 2, 0.0, 0.0, 0
        repeat = max(3, 300 // records)
        for _ in range(repeat):
            sequence += 1
            now_ms += 10.0
            for number in range(records):
                message = renewed_announcement(announcement(number), sequence)
                ownership.on_announcement(server, now_ms, message)
            pull = membership.make_pull(client, now_ms, 'e1')
            out: list[bytes] = []

            def give(
                state: Any = server, pull: Any = pull, at: Any = now_ms, out: Any = out
            ) -> None:
                out.append(encode_peer('e1', [membership.on_pull(state, at, 'e2', pull)]))

            def take(state: Any = client, at: float = now_ms, out: Any = out) -> None:
                membership.on_pull_reply(state, at, 'e1', decode_peer(out[0])[1][0])

            give_us += single_call_time_us(give)
            take_us += single_call_time_us(take)
            reply_bytes += len(out[0])
        sizes.append(reply_bytes / repeat)
        gives.append(give_us / repeat)
        takes.append(take_us / repeat)
        rows.append((records, sizes[-1], gives[-1], takes[-1]))
    lines = [slope(RECORD_COUNTS, values) for values in (sizes, gives, takes)]
    rows.append(('slope a record', *lines))
    names = ('records', 'reply bytes', 'answering µs', 'merging µs')
    print_table('One pull of soft state, with its encoding and decoding', names, rows)


def measure_pull_request() -> None:
    """Print the size and cost of a pull by the number of peers that answer it directly."""
    rows: list[Row] = []
    sizes: list[float] = []
    for instances in INSTANCE_COUNTS:
        state = known_state(0, instances)
        for number in range(2, instances + 1):
            cursor = state.cursors.setdefault(f'e{number}', PeerCursor())
            cursor.replied_ms = START_MS
        make = partial(membership.make_pull, state, START_MS, 'e2')
        data = encode_peer('e1', [make()])
        cost_us = processor_time_us(lambda make=make: decode_peer(encode_peer('e1', [make()])))  # type: ignore[misc]
        sizes.append(len(data))
        rows.append((instances, len(data), cost_us))
    rows.append(('slope an instance', slope(INSTANCE_COUNTS, sizes), ''))
    names = ('instances', 'pull bytes', 'make, encode and decode µs')
    print_table('One request of a pull, which names every peer that answers directly', names, rows)


def _copy(server: MembershipState, client: MembershipState, now_ms: float) -> None:
    more = True
    while more:
        pull = membership.make_pull(client, now_ms, 'e1')
        reply = membership.on_pull(server, now_ms, 'e2', pull)
        membership.on_pull_reply(client, now_ms, 'e1', reply)
        more = reply.more


def measure_view() -> None:
    """Print what an instance recomputes from all endpoints, twice a second at least."""
    rows: list[Row] = []
    totals: list[float] = []
    for endpoints in ENDPOINT_COUNTS:
        state = known_state(endpoints)
        content = accepted(7, endpoints // 2)
        usable = membership.usable_endpoints(state, START_MS)
        usable_us = processor_time_us(partial(membership.usable_endpoints, state, START_MS))
        view_us = processor_time_us(partial(build_view, content, usable))
        owned_us = processor_time_us(partial(ownership.owned_endpoints, state, START_MS))
        totals.append(usable_us + view_us + owned_us)
        rows.append((endpoints, usable_us, view_us, owned_us, totals[-1]))
    rows.append(('slope', '', '', '', slope(ENDPOINT_COUNTS, totals)))
    names = ('endpoints', 'usable_endpoints µs', 'build_view µs', 'owned_endpoints µs', 'sum µs')
    print_table('One refresh of the view', names, rows)


def profile_announcement() -> None:
    """Print where an announcement at an instance that knows 1,000 others spends its time."""
    state = known_state(100, INSTANCE_COUNTS[-1])
    profile = cProfile.Profile()
    profile.enable()
    for sequence in range(2, 2 + PROFILED_COUNT):
        ownership.on_announcement(state, START_MS, renewed_announcement(announcement(0), sequence))
    profile.disable()
    stats = pstats.Stats(profile)
    entries: Any = stats.stats  # type: ignore[attr-defined]
    worst = sorted(entries.items(), key=lambda item: item[1][3], reverse=True)
    rows = [
        (f'{Path(where[0]).name}:{where[2]}', calls, own_s, sum_s)
        for where, (_, calls, own_s, sum_s, _callers) in worst[:PROFILE_LINE_COUNT]
    ]
    names = ('function', 'calls', 'own s', 's with callees')
    print_table(f'Profile of {PROFILED_COUNT} announcements with 1,000 instances', names, rows)


def main() -> int:
    """Print the tables."""
    profile_announcement()
    measure_memory()
    measure_announcement()
    measure_pull()
    measure_pull_request()
    measure_view()
    return 0


if __name__ == '__main__':
    sys.exit(main())
