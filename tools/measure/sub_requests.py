"""Measure the processor time of queries and sub-requests at several sizes."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from dataclasses import replace
from itertools import count
from typing import Any

from pistachioloft_core.codec import decode_json_reply, decode_peer, encode_json, encode_peer
from pistachioloft_core.connection import owner
from pistachioloft_core.connection.actions import OpenConnection, Result, SendSubRequest
from pistachioloft_core.messages.endpoint import ShardRows, SubReply
from pistachioloft_core.messages.peer import (
    Attempt,
    AttemptBatch,
    AttemptResult,
    AttemptResults,
    EndpointRecord,
)
from pistachioloft_core.messages.public import QueryReply, QueryRequest
from pistachioloft_core.request.actions import Finished, SendAttempts
from pistachioloft_core.request.plan import plan_query
from pistachioloft_core.request.query import on_attempt_result, start_query
from pistachioloft_core.request.routing import RoutingState, update_view
from pistachioloft_core.version.cluster_view import build_view
from pistachioloft_daemon.peers import Peers

from ..cluster.processes import free_addresses
from .builders import COLLECTION, accepted, announcement, endpoint_views
from .report import print_table, processor_time_us, slope

SHARD_COUNTS = (52, 150, 600)
ENDPOINT_COUNTS = (300, 1_200, 4_000)
OWNER_COUNTS = (6, 75, 150)
BATCH_SIZES = (1, 10, 50, 150)
PLAN_SHARD_COUNT = 150
HOP_MESSAGE_COUNT = 4_000
STREAM_WINDOW = 64
START_MS = 10_000.0
BODY = {'text': 'gold'}


def _request() -> QueryRequest:
    return QueryRequest('collectors', 'r1', COLLECTION, BODY, 2000)


def _routing(shard_count: int, endpoint_count: int, owner_count: int = 7) -> RoutingState:
    views = tuple(
        replace(view, owner=f'e{number % owner_count + 1}')
        for number, view in enumerate(endpoint_views(endpoint_count))
    )
    routing = RoutingState('e1', random.Random(1))
    update_view(routing, build_view(accepted(7, shard_count), views))
    return routing


def _result(attempt: Attempt) -> AttemptResult:
    rows = tuple(ShardRows(shard, ({'id': 7, 'title': 'gold pan'},)) for shard in attempt.shards)
    return AttemptResult(
        attempt.attempt_id,
        attempt.endpoint,
        'ok',
        collection=attempt.collection,
        version=attempt.version,
        results=rows,
        queue_wait_ms=0.1,
        service_ms=5.0,
    )


def _run_query(routing: RoutingState, query_id: str, now_ms: float) -> QueryReply:
    query, actions = start_query(routing, now_ms, _request(), query_id, now_ms + 2000.0, False)
    attempts = [
        attempt
        for action in actions
        if isinstance(action, SendAttempts)
        for attempt in action.attempts
    ]
    for attempt in attempts:
        for action in on_attempt_result(routing, query, now_ms + 6.0, _result(attempt)):
            if isinstance(action, Finished):
                assert isinstance(action.reply, QueryReply)
                return action.reply
    raise AssertionError('the query did not finish')


def measure_plan() -> None:
    """Print the cost of a plan and of a whole query by the numbers of shards and endpoints."""
    rows: list[tuple[Any, ...]] = []
    totals: list[float] = []
    cases = [(shards, 2 * shards) for shards in SHARD_COUNTS]
    cases += [(PLAN_SHARD_COUNT, endpoints) for endpoints in ENDPOINT_COUNTS]
    for shards, endpoints in cases:
        routing = _routing(shards, endpoints)
        numbers = count()

        def run_whole_query(routing: RoutingState = routing, numbers: Any = numbers) -> QueryReply:
            number = next(numbers)
            return _run_query(routing, f'q{number}', START_MS + number * 10.0)

        plan_us = processor_time_us(lambda r=routing: plan_query(r, START_MS, _request()))  # type: ignore[misc]
        reply_us = processor_time_us(lambda reply=run_whole_query(): encode_json(reply))  # type: ignore[misc]
        query_us = processor_time_us(run_whole_query)
        totals.append(query_us)
        rows.append((shards, endpoints, plan_us, query_us, reply_us, query_us / shards))
    rows.append(('slope a shard', '', '', slope(SHARD_COUNTS, totals[:3]), '', ''))
    names = (
        'shards', 'endpoints', 'plan µs', 'whole query µs', 'reply encode µs', 'query µs a shard',
    )  # fmt: skip
    print_table('Entry side: one query, two replicas a shard, building of results included',
                names, rows)  # fmt: skip


def _attempt(number: int) -> Attempt:
    template = announcement(number)
    return Attempt(
        f'e1.1790000000000.{number}.0',
        'e1',
        template.endpoint,
        'query',
        'collectors',
        COLLECTION,
        1,
        template.holdings[0].shards,
        BODY,
        'd' * 32,
        1995.0,
    )


def measure_encoding() -> None:
    """Print the size and the encoding cost of attempts and results by batch size."""
    rows = []
    for size in BATCH_SIZES:
        attempts = tuple(_attempt(number) for number in range(size))
        batch_messages = [AttemptBatch(attempts)]
        result_messages = [AttemptResults(tuple(_result(attempt) for attempt in attempts))]
        batch_data, result_data = (
            encode_peer('e1', batch_messages),
            encode_peer('e2', result_messages),
        )
        costs = [
            processor_time_us(lambda o=batch_messages: encode_peer('e1', o)),  # type: ignore[misc]
            processor_time_us(lambda d=batch_data: decode_peer(d)),  # type: ignore[misc]
            processor_time_us(lambda b=result_messages: encode_peer('e2', b)),  # type: ignore[misc]
            processor_time_us(lambda d=result_data: decode_peer(d)),  # type: ignore[misc]
        ]
        sizes = (len(batch_data) / size, len(result_data) / size)
        rows.append((size, *sizes, *(cost / size for cost in costs), sum(costs) / size))
    names = (
        'batch', 'bytes out', 'bytes back', 'encode µs', 'decode µs', 'result encode µs',
        'result decode µs', 'sum µs',
    )  # fmt: skip
    print_table('Encoding between instances, for each sub-request', names, rows)


def _open_connections(state: owner.OwnerState, now_ms: float, actions: list[Any]) -> None:
    while actions:
        opened = [item for item in actions if isinstance(item, OpenConnection)]
        actions = []
        for item in opened:
            actions += owner.on_connection_opened(state, now_ms, item.connection_id)


def measure_owner() -> None:
    """Print the cost of the owner's decisions by the number of endpoints that it owns."""
    rows = []
    for endpoints in OWNER_COUNTS:
        state = owner.OwnerState('e1')
        for number in range(endpoints):
            record = EndpointRecord(announcement(number), 'e1', 1, 0.0, latency_ms=5.0)
            _open_connections(state, START_MS, owner.update_endpoint(state, START_MS, record))
        numbers = count()

        def serve_sub_request(
            state: owner.OwnerState = state, size: int = endpoints, n: Any = numbers
        ) -> None:
            number = next(n)
            now_ms = START_MS + number * 7.0
            attempt = replace(_attempt(number % size), attempt_id=f'a{number}')
            actions = owner.submit(state, now_ms, attempt)
            (sent_action,) = [item for item in actions if isinstance(item, SendSubRequest)]
            reply = SubReply(
                sent_action.request.identity, sent_action.endpoint, announcement(0).incarnation,
                COLLECTION, 1, 'ok', results=(ShardRows(attempt.shards[0], ({'id': 7},)),),
            )  # fmt: skip
            reply_actions = owner.on_reply(state, now_ms + 5.0, sent_action.connection_id, reply)
            assert any(isinstance(item, Result) for item in reply_actions)
            owner.on_timer(state, now_ms + 6.0)

        rows.append((endpoints, processor_time_us(serve_sub_request)))
    print_table('Owner side: decisions for one sub-request', ('endpoints owned', 'µs'), rows)
    results = (ShardRows('service-00001/0', ({'id': 7, 'title': 'gold pan'},)),)
    name = 'service-00001-s1'
    reply = SubReply('a' * 24, name, 1, COLLECTION, 1, 'ok', results=results)
    data = encode_json(reply)
    cost = processor_time_us(lambda: decode_json_reply(data, SubReply))
    print(f'\nDecoding of a sub-reply of {len(data)} bytes: {cost:.1f} µs.')


async def _measure_hop(size: int, window: int) -> tuple[float, float]:
    first_address, second_address = (free_addresses(1)[0] for _ in range(2))
    received_count = 0
    message_received = asyncio.Event()

    def receive(_sender: str, message: AttemptBatch) -> None:
        nonlocal received_count
        received_count += len(message.attempts)
        message_received.set()

    sender, receiver = (
        Peers('e1', first_address, lambda *_: None),
        Peers('e2', second_address, receive),
    )
    for peer in (sender, receiver):
        peer.start()
    sender.connect('e2', second_address)
    await asyncio.sleep(0.3)
    batch = AttemptBatch(tuple(_attempt(number) for number in range(size)))
    message_count = max(50, HOP_MESSAGE_COUNT // size)
    started, wall = time.process_time(), time.perf_counter()
    for number in range(message_count):
        message_received.clear()
        sender.send('e2', batch)
        # Peers combines the messages of one event loop iteration into one.
        await asyncio.sleep(0)
        while received_count < (number + 1 - window) * size:
            await asyncio.wait_for(message_received.wait(), 5.0)
            message_received.clear()
    while received_count < message_count * size:
        await asyncio.sleep(0)
    processor_s, wall = time.process_time() - started, time.perf_counter() - wall
    for peer in (sender, receiver):
        await peer.stop()
    return processor_s / message_count * 1e6, wall / message_count * 1e6


def measure_hop() -> None:
    """Print the cost of a message between two instances, both sides together, by batch size."""
    rows: list[tuple[Any, ...]] = []
    single_us, streamed_us = [], []
    for size in BATCH_SIZES:
        processor_us, wall_us = asyncio.run(_measure_hop(size, 0))
        single_us.append(processor_us)
        streamed_us.append(asyncio.run(_measure_hop(size, STREAM_WINDOW))[0])
        rows.append(
            (
                size,
                processor_us,
                processor_us / size,
                wall_us,
                streamed_us[-1],
                streamed_us[-1] / size,
            )
        )
    lines = slope(BATCH_SIZES, single_us), slope(BATCH_SIZES, streamed_us)
    rows.append(('slope a sub-request', lines[0], '', '', lines[1], ''))
    names = (
        'batch', 'message µs', 'µs a sub-request', 'one-way time µs', 'streamed message µs',
        'streamed µs a sub-request',
    )  # fmt: skip
    print_table('Hop over pynng, both sides: send, receive, encode, decode', names, rows)


def main() -> int:
    """Print the tables."""
    measure_plan()
    measure_encoding()
    measure_owner()
    measure_hop()
    return 0


if __name__ == '__main__':
    sys.exit(main())
