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


def build_state(endpoint_count: int, instance_count: int = 7) -> MembershipState:
    """Build the state of an instance with records of endpoints and instances."""
    state = MembershipState(instance_record(1), 0.0)
    for number in range(2, instance_count + 1):
        merge_instance(state, START_MS, f'e{number}', START_MS, instance_record(number))
    for number in range(endpoint_count):
        ownership.on_announcement(state, START_MS, announcement(number))
    return state


def measure_memory() -> None:
    """Print the memory of endpoint records and of instance records."""
    rows: list[Row] = []
    sizes_bytes: list[float] = []
    for size in ENDPOINT_COUNTS:
        _, used_bytes = allocated_bytes(partial(build_state, size))
        sizes_bytes.append(used_bytes)
        rows.append((size, used_bytes / 1024, used_bytes / size))
    rows.append(('slope', '', slope(ENDPOINT_COUNTS, sizes_bytes)))
    print_table('Soft state kept', ('endpoints known', 'KB', 'bytes an endpoint'), rows)
    rows, sizes_bytes = [], []
    for size in INSTANCE_COUNTS:
        _, used_bytes = allocated_bytes(partial(build_state, 0, size))
        sizes_bytes.append(used_bytes)
        rows.append((size, used_bytes / 1024, used_bytes / size))
    rows.append(('slope', '', slope(INSTANCE_COUNTS, sizes_bytes)))
    print_table('Instance records kept', ('instances known', 'KB', 'bytes an instance'), rows)


def measure_announcement() -> None:
    """Print the cost of one announcement at the receiving instance."""
    body = encode_json(announcement(0))
    decode_us = processor_time_us(lambda: decode_json(body, Announcement))
    rows = []
    for instance_count in INSTANCE_COUNTS:
        for endpoint_count in ENDPOINT_COUNTS[:2]:
            state = build_state(endpoint_count, instance_count)
            sequences = count(2)

            def announce(state: MembershipState = state, sequences: Any = sequences) -> None:
                message = renewed_announcement(announcement(0), next(sequences))
                ownership.on_announcement(state, START_MS, message)

            rows.append(
                (endpoint_count, instance_count, len(body), decode_us, processor_time_us(announce))
            )
    names = ('endpoints', 'instances', 'body bytes', 'JSON decode µs', 'decision µs')
    print_table('One announcement, without HTTP', names, rows)


def measure_pull() -> None:
    """Print the cost of one pull by the number of records in its reply."""
    rows: list[Row] = []
    sizes_bytes: list[float] = []
    answer_times_us: list[float] = []
    merge_times_us: list[float] = []
    for record_count in RECORD_COUNTS:
        server, client = build_state(4_000), MembershipState(instance_record(2), 0.0)
        now_ms = START_MS
        _synchronize(server, client, now_ms)
        sequence, answer_us, merge_us, reply_bytes = 2, 0.0, 0.0, 0
        repeat = max(3, 300 // record_count)
        for _ in range(repeat):
            sequence += 1
            now_ms += 10.0
            for number in range(record_count):
                message = renewed_announcement(announcement(number), sequence)
                ownership.on_announcement(server, now_ms, message)
            pull = membership.make_pull(client, now_ms, 'e1')
            encoded_replies: list[bytes] = []

            def answer_pull(
                state: Any = server,
                pull: Any = pull,
                at: Any = now_ms,
                encoded_replies: Any = encoded_replies,
            ) -> None:
                encoded_replies.append(
                    encode_peer('e1', [membership.on_pull(state, at, 'e2', pull)])
                )

            def merge_reply(
                state: Any = client, at: float = now_ms, encoded_replies: Any = encoded_replies
            ) -> None:
                membership.on_pull_reply(state, at, 'e1', decode_peer(encoded_replies[0])[1][0])

            answer_us += single_call_time_us(answer_pull)
            merge_us += single_call_time_us(merge_reply)
            reply_bytes += len(encoded_replies[0])
        sizes_bytes.append(reply_bytes / repeat)
        answer_times_us.append(answer_us / repeat)
        merge_times_us.append(merge_us / repeat)
        rows.append((record_count, sizes_bytes[-1], answer_times_us[-1], merge_times_us[-1]))
    lines = [
        slope(RECORD_COUNTS, values) for values in (sizes_bytes, answer_times_us, merge_times_us)
    ]
    rows.append(('slope a record', *lines))
    names = ('records', 'reply bytes', 'answering µs', 'merging µs')
    print_table('One pull of soft state, with its encoding and decoding', names, rows)


def measure_pull_request() -> None:
    """Print the size and cost of a pull request by the number of peers that answer directly."""
    rows: list[Row] = []
    sizes_bytes: list[float] = []
    for instance_count in INSTANCE_COUNTS:
        state = build_state(0, instance_count)
        for number in range(2, instance_count + 1):
            cursor = state.cursors.setdefault(f'e{number}', PeerCursor())
            cursor.replied_ms = START_MS
        make = partial(membership.make_pull, state, START_MS, 'e2')
        data = encode_peer('e1', [make()])
        cost_us = processor_time_us(lambda make=make: decode_peer(encode_peer('e1', [make()])))  # type: ignore[misc]
        sizes_bytes.append(len(data))
        rows.append((instance_count, len(data), cost_us))
    rows.append(('slope an instance', slope(INSTANCE_COUNTS, sizes_bytes), ''))
    names = ('instances', 'pull bytes', 'make, encode and decode µs')
    print_table('One request of a pull, which names every peer that answers directly', names, rows)


def _synchronize(server: MembershipState, client: MembershipState, now_ms: float) -> None:
    more = True
    while more:
        pull = membership.make_pull(client, now_ms, 'e1')
        reply = membership.on_pull(server, now_ms, 'e2', pull)
        membership.on_pull_reply(client, now_ms, 'e1', reply)
        more = reply.more


def measure_view() -> None:
    """Print the cost of refreshing the view of all endpoints, at least twice a second."""
    rows: list[Row] = []
    totals: list[float] = []
    for endpoint_count in ENDPOINT_COUNTS:
        state = build_state(endpoint_count)
        content = accepted(7, endpoint_count // 2)
        usable = membership.usable_endpoints(state, START_MS)
        usable_us = processor_time_us(partial(membership.usable_endpoints, state, START_MS))
        view_us = processor_time_us(partial(build_view, content, usable))
        owned_us = processor_time_us(partial(ownership.owned_endpoints, state, START_MS))
        totals.append(usable_us + view_us + owned_us)
        rows.append((endpoint_count, usable_us, view_us, owned_us, totals[-1]))
    rows.append(('slope', '', '', '', slope(ENDPOINT_COUNTS, totals)))
    names = ('endpoints', 'usable_endpoints µs', 'build_view µs', 'owned_endpoints µs', 'sum µs')
    print_table('One refresh of the view', names, rows)


def profile_announcement() -> None:
    """Print a profile of announcements at an instance with records of 1,000 instances."""
    state = build_state(100, INSTANCE_COUNTS[-1])
    profile = cProfile.Profile()
    profile.enable()
    for sequence in range(2, 2 + PROFILED_COUNT):
        ownership.on_announcement(state, START_MS, renewed_announcement(announcement(0), sequence))
    profile.disable()
    stats = pstats.Stats(profile)
    entries: Any = stats.stats  # type: ignore[attr-defined]
    slowest_functions = sorted(entries.items(), key=lambda item: item[1][3], reverse=True)
    rows = [
        (f'{Path(where[0]).name}:{where[2]}', calls, own_s, sum_s)
        for where, (_, calls, own_s, sum_s, _callers) in slowest_functions[:PROFILE_LINE_COUNT]
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
