"""Guard against relayed groups that are lost, doubled or held back."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from pistachioloft_core.messages.fleet import InstanceLocation
from pistachioloft_core.messages.relay import RelayCancel, RelayRequest, RelayResults, RelayTried
from pistachioloft_core.messages.routes import Gather, Route
from pistachioloft_core.request import delegation
from pistachioloft_core.request.attempts import DelegateGroup
from pistachioloft_core.request.gather import GatherState
from pistachioloft_daemon.http1.messages import Request, Response
from pistachioloft_daemon.in_flight import InFlight
from pistachioloft_daemon.loop_timers import LoopTimers, monotonic_ms
from pistachioloft_daemon.relays import IncomingGroup, RelayHooks, Relays
from pistachioloft_daemon.routed_messages import EndpointReply, RoutedRequest

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

SHARDS = ('s0', 's1', 's2', 's3')
ROUTE = Route('all', 'h', '/', True, 9_000.0, 1_000.0, 1, 2, (), Gather(SHARDS, 3, 0.5))
FLUSH_AFTER_MS = 100.0


def in_flight(request_id: str, services: tuple[str, ...] | None = None) -> InFlight:
    routed = RoutedRequest(request_id, '', '', None, b'head', b'body', Request(b'', b'', ()), 'd')
    now_ms = monotonic_ms()
    state = GatherState('1', ROUTE, now_ms + 900.0, now_ms + 1_500.0, False, services)
    return InFlight(1, routed, state, None, now_ms, 1, 0.0)


class Side:
    """Hold one instance of a pair."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.other: Side | None = None
        self.connected = True
        self.refusing = False
        self.reconnected: list[str] = []
        self.replied: list[list[tuple[str, EndpointReply]]] = []
        self.lost: list[str] = []
        self.helper_lost: list[tuple[list[str], set[str]]] = []
        self.refused: list[str] = []
        self.groups: list[InFlight] = []
        self.withdrawn: list[InFlight] = []
        hooks = RelayHooks(
            self.send,
            self.reconnected.append,
            lambda _request, replies: self.replied.append(replies),
            lambda _request, services, _reason: self.lost.extend(services),
            lambda _request, services: self.refused.extend(services),
            lambda _request, services, tried, _reason: self.helper_lost.append(
                (services, set(tried))
            ),
            self.begin,
            self.withdrawn.append,
        )
        self.hooks = hooks
        self.relays = Relays(name, LoopTimers(asyncio.get_running_loop()), hooks, 0)

    def begin(self, group: IncomingGroup) -> InFlight | None:
        if self.refusing:
            return None
        request = in_flight(group.request.request_id, group.request.services)
        self.groups.append(request)
        request.group = group
        return request

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
            case RelayTried():
                self.relays.on_tried(message)
            case RelayCancel():
                self.relays.on_cancel(sender, message)

    def end(self, service: str, *records: bytes) -> None:
        """Take an endpoint's reply for the group of this side."""
        state = self.groups[0].state
        assert isinstance(state, GatherState)
        shard = state.shard_by_service[service]
        shard.replied = True
        body = b''.join(record.rjust(16, b'.') for record in records)
        shard.reply = EndpointReply(service.encode(), Response(200, (), body))
        group = self.groups[0].group
        assert group is not None
        if all(each.replied for each in state.shards):
            self.relays.finish(group, state)
        else:
            self.relays.on_progress(group, state)

    def answers(self) -> list[tuple[str, EndpointReply]]:
        return [reply for replies in self.replied for reply in replies]


class Pair:
    """Hold an instance that asks and one that helps."""

    def __init__(self) -> None:
        self.asking, self.helping = Side('asking'), Side('helping')
        self.asking.other, self.helping.other = self.helping, self.asking
        table = delegation.HelperTable()
        delegation.set_helpers(table, [InstanceLocation('helping', 'far')], 'asking')
        self.helper = table.helpers['helping']
        self.request = in_flight('r1')

    def delegate(self) -> None:
        group = DelegateGroup(self.helper, SHARDS, monotonic_ms() + FLUSH_AFTER_MS)
        assert self.asking.relays.delegate(self.request, group)


def run(play: Callable[[Pair], Awaitable[None]]) -> None:
    async def whole() -> None:
        await play(Pair())

    asyncio.run(whole())


async def turn() -> None:
    for _ in range(6):
        await asyncio.sleep(0)


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.01)


def test_a_group_comes_back_as_one_with_the_greatest_records() -> None:
    """Guard against records that are lost or doubled by the merge at the helper."""

    async def play(pair: Pair) -> None:
        pair.delegate()
        await turn()
        (group,) = pair.helping.groups
        assert (group.routed.request_id, group.group.request.head) == ('r1', b'head')  # type: ignore[union-attr]
        for number, shard in enumerate(SHARDS):
            pair.helping.end(shard, b'%d' % number, b'1%d' % number)
        await turn()
        (replies,) = pair.asking.replied
        bodies = b''.join(reply.response.body for _, reply in replies)
        assert bodies == b''.join(record.rjust(16, b'.') for record in (b'13', b'12', b'11'))
        assert [(name, reply.receipt) for name, reply in replies] == [
            (name, name.encode()) for name in SHARDS
        ]
        assert pair.asking.lost == []
        assert pair.asking.relays.outgoing == {}
        assert pair.helping.relays.groups == {}
        assert pair.helper.open_group_count == 0

    run(play)


def test_a_late_shard_does_not_hold_back_the_others() -> None:
    """Guard against a whole group that waits for one pause."""

    async def play(pair: Pair) -> None:
        pair.delegate()
        await turn()
        for shard in SHARDS[:3]:
            pair.helping.end(shard, b'1')
        await turn()
        assert pair.asking.replied == []
        await until(lambda: len(pair.asking.answers()) == 3)
        assert [name for name, _ in pair.asking.answers()] == list(SHARDS[:3])
        pair.helping.end('s3', b'9')
        await turn()
        name, reply = pair.asking.answers()[-1]
        assert (name, reply.response.body) == ('s3', b'9'.rjust(16, b'.'))

    run(play)


def test_shards_without_a_reply_are_told() -> None:
    """Guard against a query that waits for what its helper has given up."""

    async def play(pair: Pair) -> None:
        pair.delegate()
        await turn()
        for shard in SHARDS[:3]:
            pair.helping.end(shard, b'1')
        (group,) = pair.helping.groups
        pair.helping.relays.finish(group.group, group.state)  # type: ignore[arg-type]
        await turn()
        assert len(pair.asking.answers()) == 3
        assert pair.asking.lost == ['s3']
        assert pair.asking.relays.outgoing == {}

    run(play)


def test_a_helper_that_cannot_ask_gives_the_group_back() -> None:
    """Guard against shards that are lost because a helper is fenced or stopping."""

    async def play(pair: Pair) -> None:
        pair.helping.refusing = True
        pair.delegate()
        await turn()
        assert sorted(pair.asking.refused) == list(SHARDS)
        assert pair.asking.lost == []
        assert pair.asking.relays.outgoing == {}
        assert pair.helper.open_group_count == 0

    run(play)


def test_a_silent_helper_is_given_up() -> None:
    """Guard against shards that wait for an instance that is gone."""

    async def play(pair: Pair) -> None:
        pair.asking.connected = False
        pair.delegate()
        await until(lambda: bool(pair.asking.helper_lost))
        assert pair.asking.helper_lost == [(list(SHARDS), set())]
        assert pair.asking.reconnected == ['helping']
        assert pair.helper.suspended_until_ms > monotonic_ms()

    run(play)


def test_a_late_helper_is_left_alone_and_its_replies_are_still_taken() -> None:
    """Guard against query after query that waits for a machine which turned slow."""

    async def play(pair: Pair) -> None:
        pair.delegate()
        await turn()
        for shard in SHARDS[:3]:
            pair.helping.end(shard, b'1')
        pair.helping.connected = False
        await until(lambda: pair.helper.suspended_until_ms > monotonic_ms())
        assert pair.asking.lost == []
        pair.helping.connected = True
        pair.helping.end('s3', b'1')
        await turn()
        assert 's3' in [name for name, _ in pair.asking.answers()]

    run(play)


def test_results_for_an_earlier_process_match_no_group() -> None:
    """Guard against the records of another request in the answer of a restarted instance."""

    async def play(pair: Pair) -> None:
        pair.delegate()
        await turn()
        timers = LoopTimers(asyncio.get_running_loop())
        first = random.Random('10.0.0.1-2').getrandbits(48)
        started = Relays('asking', timers, pair.asking.hooks, first)
        pair.asking.relays = started
        pair.delegate()
        await turn()
        assert len(pair.helping.groups) == 2
        for shard in SHARDS:
            pair.helping.end(shard, b'old')
        await turn()
        assert pair.asking.answers() == []
        assert len(started.outgoing) == 1

    run(play)


def test_a_withdrawn_group_is_withdrawn_at_the_helper() -> None:
    """Guard against endpoints that work for a caller that is gone."""

    async def play(pair: Pair) -> None:
        pair.delegate()
        await turn()
        pair.asking.relays.withdraw(pair.request, 0.0)
        pair.asking.relays.withdraw(pair.request, 0.0)
        await turn()
        assert pair.helping.withdrawn == pair.helping.groups
        assert pair.helping.relays.groups == {}
        assert pair.asking.relays.outgoing == {}
        assert pair.helper.open_group_count == 0

    run(play)


def test_an_answered_query_withdraws_its_groups_later() -> None:
    """Guard against connections that are closed although their reply was about to come."""

    async def play(pair: Pair) -> None:
        pair.delegate()
        await turn()
        pair.asking.relays.withdraw(pair.request, 50.0)
        await turn()
        assert pair.helping.withdrawn == []
        await until(lambda: bool(pair.helping.withdrawn))

    run(play)


def test_group_that_arrives_with_its_cancellation_is_not_asked() -> None:
    """Guard against work for a caller that left while the way to the helper was stalled."""

    async def play(pair: Pair) -> None:
        pair.delegate()
        pair.asking.relays.withdraw(pair.request, 0.0)
        await turn()
        assert pair.helping.groups == []
        assert pair.helping.relays.groups == {}
        assert pair.helping.relays.arrived == {}

    run(play)


def test_results_of_a_group_that_was_given_up_change_nothing() -> None:
    """Guard against replies that are taken after they were counted as lost."""

    async def play(pair: Pair) -> None:
        pair.delegate()
        await turn()
        pair.helping.connected = False
        await until(lambda: bool(pair.asking.helper_lost))
        pair.helping.connected = True
        for shard in SHARDS:
            pair.helping.end(shard, b'1')
        await turn()
        assert pair.asking.answers() == []

    run(play)


def test_a_silent_helper_may_end_the_other_groups_of_its_query() -> None:
    """Guard against a check of silent helpers that fails half way."""

    async def play(pair: Pair) -> None:
        pair.asking.connected = False
        pair.delegate()
        pair.delegate()
        pair.delegate()
        relays = pair.asking.relays
        lost: list[list[str]] = []

        def give_up(request: InFlight, services: list[str], *_: object) -> None:
            lost.append(services)
            relays.withdraw(request, 0.0)

        relays.hooks = replace(relays.hooks, helper_lost=give_up)
        relays._check_silent(monotonic_ms() + 10_000.0)
        assert len(lost) == 1
        assert relays.outgoing == {}
        assert pair.helper.open_group_count == 0

    run(play)


def test_groups_of_a_helper_that_ended_are_given_up_at_once() -> None:
    """Guard against queries that wait for a process that is gone, and a third attempt."""

    async def play(pair: Pair) -> None:
        pair.delegate()
        await turn()
        (group,) = pair.helping.groups
        assert group.group is not None
        pair.helping.relays.tell_tried(group.group, 's2')
        await turn()
        pair.asking.relays.on_peer_left('other')
        assert pair.asking.helper_lost == []
        pair.asking.relays.on_peer_left('helping')
        assert pair.asking.helper_lost == [(list(SHARDS), {'s2'})]
        assert pair.asking.relays.outgoing == {}
        assert pair.helper.open_group_count == 0

    run(play)
