"""Guard against messages that are given up although others only sit there."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import pytest

from pistachioloft_daemon.http1.messages import Request, Response
from pistachioloft_daemon.http1.receive_budget import (
    ReceiveBudget,
    memory_budget,
    message_cost_bytes,
)
from pistachioloft_daemon.http1.repeated_lines import INTERVAL_S, RepeatedLines
from pistachioloft_daemon.http1.server import HttpServer, ServerLimits
from pistachioloft_daemon.http1.server_connection import ServerConnection

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pistachioloft_daemon.http1.server import Respond

BODY_BYTES = 262_144
PIECE_BYTES = 32_768


class Clock:
    """Return the time that the test sets."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


class Message:
    """Record whether the message was shed."""

    def __init__(self, is_from_caller: bool = True) -> None:
        self.is_from_caller = is_from_caller
        self.is_shed = False

    def shed(self) -> None:
        self.is_shed = True


def test_body_in_progress_outlives_those_that_only_sit_there() -> None:
    """Guard against a body inside the limits that is given up because it is the largest."""
    clock = Clock()
    budget = ReceiveBudget(10 * BODY_BYTES, clock)
    sitting = [Message() for _ in range(100)]
    for message in sitting:
        clock.now_s += 0.05
        budget.set_held_bytes(message, BODY_BYTES // 2)
    ordinary = Message()
    for size_bytes in range(PIECE_BYTES, BODY_BYTES + 1, PIECE_BYTES):
        clock.now_s += 0.5
        budget.set_held_bytes(ordinary, size_bytes)
        assert budget.total_bytes <= budget.limit_bytes
    assert not ordinary.is_shed
    assert any(message.is_shed for message in sitting)


def test_single_bytes_are_no_progress() -> None:
    """Guard against a crowd that keeps its place by a byte now and then."""
    clock = Clock()
    budget = ReceiveBudget(3 * BODY_BYTES, clock)
    trickling, standing = Message(), Message()
    budget.set_held_bytes(trickling, BODY_BYTES)
    clock.now_s = 1.0
    budget.set_held_bytes(standing, BODY_BYTES)
    for number in range(100):
        clock.now_s += 0.1
        budget.set_held_bytes(trickling, BODY_BYTES + number)
    budget.set_held_bytes(Message(), BODY_BYTES)
    assert trickling.is_shed
    assert not standing.is_shed


@pytest.mark.parametrize('callers_hold_most', [True, False])
def test_the_kind_that_holds_most_is_shed(callers_hold_most: bool) -> None:
    """Guard against sound replies lost to a crowd, and callers refused for endless replies."""
    clock = Clock()
    budget = ReceiveBudget(10 * BODY_BYTES, clock)
    requests = [Message() for _ in range(8 if callers_hold_most else 2)]
    replies = [Message(False) for _ in range(2 if callers_hold_most else 8)]
    for message in (*requests, *replies):
        budget.set_held_bytes(message, BODY_BYTES)
        clock.now_s += 1.0
    budget.set_held_bytes(replies[-1], 2 * BODY_BYTES)
    assert any(message.is_shed for message in requests) is callers_hold_most
    # Of replies, the largest may never end.
    assert [message.is_shed for message in replies[:-1]] == [False] * (len(replies) - 1)
    assert replies[-1].is_shed is not callers_hold_most


def test_whole_request_takes_the_place_of_unfinished_ones() -> None:
    """Guard against whole requests that are refused or shed for unfinished ones."""
    budget = ReceiveBudget(10 * BODY_BYTES, Clock())
    unfinished = [Message() for _ in range(10)]
    for message in unfinished:
        budget.set_held_bytes(message, BODY_BYTES)
    assert budget.reserve(4 * BODY_BYTES)
    assert sum(message.is_shed for message in unfinished) == 4
    assert not budget.reserve(7 * BODY_BYTES)
    assert sum(message.is_shed for message in unfinished) == 4
    budget.free(4 * BODY_BYTES)
    for message in unfinished:
        budget.release(message)
    assert budget.total_bytes == budget.reserved_bytes == 0


def test_requests_of_the_usual_size_are_not_limited() -> None:
    """Guard against refusals of clients that stay inside the limits of the pages."""
    assert message_cost_bytes(b'', b'x' * 4_096) == 0
    # As many bodies of the largest size at once as a request of an ordinary caller meets.
    assert memory_budget(300).limit_bytes == 75_000_000
    assert memory_budget(192).limit_bytes == 48_000_000
    assert memory_budget(32).limit_bytes >= message_cost_bytes(b'', b'x' * BODY_BYTES)


def test_choice_does_not_look_at_every_caller() -> None:
    """Guard against a crowd whose each piece costs a look at all connections."""
    asked: list[object] = []

    class Counted(Message):
        def __hash__(self) -> int:
            asked.append(self)
            return id(self)

    budget = ReceiveBudget(4_000 * BODY_BYTES, Clock())
    for _ in range(4_000):
        budget.set_held_bytes(Counted(), BODY_BYTES)
    asked.clear()
    budget.set_held_bytes(Counted(), BODY_BYTES)
    assert len(asked) < 50


def test_repeated_lines_are_summed_up(caplog: pytest.LogCaptureFixture) -> None:
    """Guard against a client that decides how fast the disk of the logs fills."""
    clock = Clock()
    lines = RepeatedLines(logging.getLogger('pistachioloft.test'), '[caller]', clock)
    with caplog.at_level('WARNING'):
        for number in range(10_000):
            lines.add('request refused')
            clock.now_s = INTERVAL_S * number / 10_000
            lines.report()
        clock.now_s = INTERVAL_S
        lines.report()
        clock.now_s = 2 * INTERVAL_S
        lines.report()
        lines.add('request refused')
    assert caplog.messages == [
        '[caller] request refused',
        '[caller] request refused: count=9999 in 5s',
        '[caller] request refused',
    ]


class WritingTransport(asyncio.Transport):
    """Store what is written, and report a full buffer."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b''
        self.buffered_bytes = 0

    def write(self, data: bytes) -> None:
        self.written += data

    def writelines(self, parts: Iterable[bytes]) -> None:
        self.written += b''.join(parts)

    def get_write_buffer_size(self) -> int:
        return self.buffered_bytes

    def get_extra_info(self, _name: str, default: object = None) -> object:
        return default

    def close(self) -> None:
        return

    abort = pause_reading = resume_reading = close


def post(path: bytes, size_bytes: int, extra: bytes = b'') -> bytes:
    head = b'POST /%b HTTP/1.1\r\nHost: h\r\n%bContent-Length: %d\r\n\r\n'
    return head % (path, extra, size_bytes) + b'x' * size_bytes


def test_request_that_is_started_is_not_refused_as_well() -> None:
    """Guard against a refusal that says not run, of a request that runs afterwards."""
    ran: list[bytes] = []
    responds: list[Respond] = []

    def handle(request: Request, respond: Respond) -> None:
        ran.append(request.target)
        responds.append(respond)

    async def main() -> None:
        budget = ReceiveBudget(1_000_000)
        connection = ServerConnection(HttpServer('127.0.0.1:0', handle, ServerLimits(), budget))
        transport = WritingTransport()
        connection.connection_made(transport)
        connection.data_received(post(b'a', 10) + post(b'b', 300_000) + post(b'c', 600_000))
        budget.record_held_bytes(Message(is_from_caller=False), 500_000)
        responds[0](Response(200))
        for _ in range(3):
            await asyncio.sleep(0)
        if len(responds) > 1:
            responds[1](Response(200))
            for _ in range(3):
                await asyncio.sleep(0)
        statuses = [line[9:12] for line in transport.written.split(b'\r\n') if b'HTTP/1' in line]
        assert statuses[: len(ran)] == [b'200'] * len(ran)
        assert statuses[len(ran) :] in ([], [b'503'])

    asyncio.run(main())


@pytest.mark.parametrize('extra', [b'', b'Connection: close\r\n'])
def test_unread_answer_is_counted_until_it_is_read(extra: bytes) -> None:
    """Guard against answers that fill the memory because their connections are closing."""

    async def main() -> None:
        budget = ReceiveBudget(1_000_000)
        transport = WritingTransport()

        def handle(_request: Request, respond: Respond) -> None:
            transport.buffered_bytes = 300_000
            connection.pause_writing()
            respond(Response(200, (), b'x' * 300_000))

        connection = ServerConnection(HttpServer('127.0.0.1:0', handle, ServerLimits(), budget))
        connection.connection_made(transport)
        connection.data_received(post(b'a', 10, extra))
        assert budget.total_bytes == 300_000
        transport.buffered_bytes = 100_000
        connection.check_timeouts(0.0)
        assert budget.total_bytes == 100_000
        connection.connection_lost(None)
        assert budget.total_bytes == 0

    asyncio.run(main())


def test_small_unread_answer_is_counted_and_not_followed_by_a_refusal() -> None:
    """Guard against unread answers below the high-water mark that add up to much memory."""

    async def main() -> None:
        budget = ReceiveBudget(1_000_000)
        transport = WritingTransport()

        def handle(_request: Request, respond: Respond) -> None:
            transport.buffered_bytes = 60_000
            respond(Response(200, (), b'x' * 60_000))

        connection = ServerConnection(HttpServer('127.0.0.1:0', handle, ServerLimits(), budget))
        connection.connection_made(transport)
        connection.data_received(post(b'a', 10))
        assert budget.total_bytes == 60_000
        assert budget.reserve(1_000_000)
        assert budget.total_bytes == 1_000_000
        assert transport.written.count(b'HTTP/1.1 ') == 1

    asyncio.run(main())
