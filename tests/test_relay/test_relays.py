"""Guard against relayed groups that are lost, doubled or held back."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from pistachioloft_core.messages.fleet import STANDING_READY, AnnouncedEndpoint, HeardEndpoint
from pistachioloft_core.messages.relay import RelayCancel, RelayRequest, RelayResults
from pistachioloft_core.messages.routes import Gather, Route, RouteSet, ServiceRule
from pistachioloft_core.process.endpoint_table import apply_update
from pistachioloft_core.request import relay
from pistachioloft_core.request.attempts import (
    Attempt,
    AttemptEnd,
    Ended,
    SendAttempt,
    begin_attempt,
)
from pistachioloft_core.request.routed_state import RoutedState, SharedLimits, set_routes
from pistachioloft_core.version.route_table import RouteTable
from pistachioloft_daemon.http1.messages import Request, Response
from pistachioloft_daemon.loop_timers import LoopTimers, monotonic_ms
from pistachioloft_daemon.relays import RelayHooks, Relays
from pistachioloft_daemon.routed_messages import EndpointReply, RoutedRequest

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

SHARDS = ('s0', 's1', 's2', 's3')
ROUTE = Route('all', 'h', '/', True, 9_000.0, 1_000.0, 1, 2, (), Gather(SHARDS, 3, 0.5))


def routed(request_id: str) -> RoutedRequest:
    return RoutedRequest(request_id, '', '', None, b'head', b'body', Request(b'', b'', ()), 'd')


class FakePool:
    """Keep the attempts until a test ends them."""

    def __init__(self) -> None:
        self.sent: dict[str, tuple[Attempt, bytes]] = {}
        self.abandoned: list[str] = []

    def send(self, attempt: Attempt, data: bytes) -> None:
        self.sent[attempt.load.record.endpoint] = (attempt, data)

    def abandon(self, attempt: Attempt) -> bool:
        self.abandoned.append(attempt.load.record.endpoint)
        return True


class Side:
    """Hold one instance of a pair."""

    def __init__(self, name: str, domain: str) -> None:
        self.name = name
        self.state = RoutedState(name, domain, SharedLimits(0.2, 100.0), random.Random(1))
        rules = tuple(ServiceRule(shard, '/', 20) for shard in SHARDS)
        set_routes(self.state, RouteTable(RouteSet(1, (ROUTE,), rules)))
        for number, shard in enumerate(SHARDS):
            record = AnnouncedEndpoint(
                f'i-{shard}', shard, f'10.0.0.{number + 1}:80', 'far', 2, STANDING_READY, 1, 1
            )
            apply_update(self.state.table, 0.0, (HeardEndpoint(record, 0.0),), True)
        self.pool = FakePool()
        self.other: Side | None = None
        self.connected = True
        self.reconnected: list[str] = []
        self.ended: list[list[tuple[Attempt, AttemptEnd]]] = []
        hooks = RelayHooks(
            self.send,
            self.ended.append,
            lambda each, endpoint, left_ms: f'{each.request_id} {endpoint}'.encode(),
            lambda request: routed(request.request_id),
            self.reconnected.append,
        )
        timers = LoopTimers(asyncio.get_running_loop())
        self.relays = Relays(self.state, timers, self.pool, hooks)  # type: ignore[arg-type]

    def send(self, _instance: str, message: Any) -> bool:
        assert self.other is not None
        if self.connected:
            asyncio.get_running_loop().call_soon(self.other.receive, self.name, message)
        return True

    def receive(self, sender: str, message: Any) -> None:
        match message:
            case RelayRequest():
                self.relays.on_request(sender, message)
            case RelayResults():
                self.relays.on_results(message)
            case RelayCancel():
                self.relays.on_cancel(sender, message)

    def end(self, shard: str, end: AttemptEnd) -> None:
        attempt, _ = self.pool.sent[f'i-{shard}']
        assert self.relays.on_end(attempt, end)

    def answers(self) -> list[tuple[str, AttemptEnd]]:
        return [(attempt.service, end) for ends in self.ended for attempt, end in ends]


def answer(*records: bytes) -> AttemptEnd:
    body = b''.join(record.rjust(16, b'.') for record in records)
    return AttemptEnd(Ended.ANSWERED, reply=EndpointReply(b'receipt', Response(200, (), body)))


class Pair:
    """Hold an instance that asks and one that helps."""

    def __init__(self) -> None:
        self.asking, self.helping = Side('asking', 'near'), Side('helping', 'far')
        self.asking.other, self.helping.other = self.helping, self.asking
        self.helper = relay.Helper('helping', 'far')
        self.attempts: list[Attempt] = []

    def give(self) -> None:
        now_ms = monotonic_ms()
        sends = []
        for shard in SHARDS:
            load = self.asking.state.table.endpoints[f'i-{shard}']
            attempt = begin_attempt(
                self.asking.state, now_ms, f'1.{shard}', ROUTE, shard, load, False
            )
            sends.append(SendAttempt(attempt, 1_500.0))
            self.attempts.append(attempt)
        plan = relay.RelayPlan(self.helper, tuple(sends))
        assert self.asking.relays.give(plan, routed('r1'), 3)


def run(play: Callable[[Pair], Awaitable[None]]) -> None:
    async def whole() -> None:
        await play(Pair())

    asyncio.run(whole())


async def turn() -> None:
    for _ in range(6):
        await asyncio.sleep(0)


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


def test_a_group_comes_back_as_one_with_the_greatest_records() -> None:
    """Guard against records that are lost or doubled by the merge at the helper."""

    async def play(pair: Pair) -> None:
        pair.give()
        await turn()
        assert pair.helping.pool.sent['i-s0'][1] == b'r1 i-s0'
        for number, shard in enumerate(SHARDS):
            pair.helping.end(shard, answer(b'%d' % number, b'1%d' % number))
        await turn()
        (ends,) = pair.asking.ended
        bodies = [end.reply.response.body for _, end in ends]
        assert b''.join(bodies) == b''.join(r.rjust(16, b'.') for r in (b'13', b'12', b'11'))
        assert all(end.reply.receipt == b'receipt' for _, end in ends)
        assert pair.asking.relays.given == {}
        assert pair.helping.relays.groups == {}
        assert pair.helper.open_count == 0

    run(play)


def test_a_late_shard_does_not_hold_back_the_others() -> None:
    """Guard against a whole group that waits for one pause."""

    async def play(pair: Pair) -> None:
        pair.give()
        await turn()
        for shard in SHARDS[:3]:
            pair.helping.end(shard, answer(b'1'))
        await turn()
        assert pair.asking.ended == []
        # An attempt of this route counts as late after 400 ms until its latency is learned.
        await until(lambda: len(pair.asking.answers()) == 3)
        assert [name for name, _ in pair.asking.answers()] == list(SHARDS[:3])
        pair.helping.end('s3', answer(b'9'))
        await turn()
        name, end = pair.asking.answers()[-1]
        assert (name, end.reply.response.body) == ('s3', b'9'.rjust(16, b'.'))

    run(play)


def test_failures_come_back_as_they_were() -> None:
    """Guard against a refusal or a loss at the helper that looks like something else."""

    async def play(pair: Pair) -> None:
        del pair.helping.state.table.services['s0']
        pair.give()
        await turn()
        pair.helping.end('s1', AttemptEnd(Ended.NOT_RUN, 'full'))
        pair.helping.end('s2', AttemptEnd(Ended.LOST, 'reset'))
        pair.helping.end('s3', answer(b'1'))
        await turn()
        ended = {name: end.ended for name, end in pair.asking.answers()}
        assert ended == {
            's0': Ended.NOT_SENT,
            's1': Ended.NOT_RUN,
            's2': Ended.LOST,
            's3': Ended.ANSWERED,
        }

    run(play)


def test_a_silent_helper_is_given_up_and_no_endpoint_is_blamed() -> None:
    """Guard against shards that wait for an instance that is gone."""

    async def play(pair: Pair) -> None:
        pair.asking.connected = False
        pair.give()
        await until(lambda: bool(pair.asking.ended))
        answers = pair.asking.answers()
        assert [end.ended for _, end in answers] == [Ended.LOST] * len(SHARDS)
        assert all(end.blameless for _, end in answers)
        assert pair.asking.reconnected == ['helping']
        assert pair.helper.suspended_until_ms > monotonic_ms()

    run(play)


def test_withdrawn_attempts_are_withdrawn_at_the_helper() -> None:
    """Guard against endpoints that work for a caller that is gone."""

    async def play(pair: Pair) -> None:
        pair.give()
        await turn()
        for attempt in pair.attempts:
            assert pair.asking.relays.abandon(attempt)
            assert not pair.asking.relays.abandon(attempt)
        await turn()
        assert sorted(pair.helping.pool.abandoned) == [f'i-{shard}' for shard in SHARDS]
        assert pair.helping.relays.groups == {}
        loads = pair.helping.state.table.endpoints.values()
        assert all(load.in_flight_count == 0 for load in loads)

    run(play)


def test_group_that_arrives_with_its_cancellation_is_not_sent() -> None:
    """Guard against work for a caller that left while the way to the helper was stalled."""

    async def play(pair: Pair) -> None:
        pair.give()
        first, *others = pair.attempts
        for attempt in others:
            assert pair.asking.relays.abandon(attempt)
        await turn()
        assert set(pair.helping.pool.sent) == {first.load.record.endpoint}
        assert pair.asking.relays.abandon(first)
        await turn()
        assert pair.helping.relays.groups == {}
        assert pair.helping.relays.arrived == {}

    run(play)


def test_results_of_a_group_that_was_given_up_change_nothing() -> None:
    """Guard against replies that are taken after they were counted as lost."""

    async def play(pair: Pair) -> None:
        pair.give()
        await turn()
        pair.helping.connected = False
        await until(lambda: bool(pair.asking.ended))
        count = len(pair.asking.answers())
        pair.helping.connected = True
        for shard in SHARDS:
            pair.helping.end(shard, answer(b'1'))
        await turn()
        assert len(pair.asking.answers()) == count

    run(play)
