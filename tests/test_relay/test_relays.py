"""Guard against delegated groups that are lost, duplicated or delayed."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import msgspec

from pistachioloft_core.messages.fleet import InstanceLocation
from pistachioloft_core.messages.relay import (
    RelayCancel,
    RelayedReply,
    RelayRequest,
    RelayResults,
    RelayTried,
)
from pistachioloft_core.messages.routes import Gather, Route
from pistachioloft_core.request import delegation
from pistachioloft_core.request.attempts import DelegateGroup
from pistachioloft_core.request.gather_state import GatherState
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


class FakeInstance:
    """Hold the relays of one instance of a pair and record their callbacks."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.other: FakeInstance | None = None
        self.connected = True
        self.refusing = False
        self.reconnected: list[str] = []
        self.replied: list[list[tuple[str, EndpointReply]]] = []
        self.lost: dict[str, int] = {}
        self.helper_lost: list[tuple[list[str], set[str]]] = []
        self.refused: list[str] = []
        self.incoming: list[InFlight] = []
        self.withdrawn: list[InFlight] = []
        self.reported_waits: list[RelayedReply] = []
        hooks = RelayHooks(
            self.send,
            self.reconnected.append,
            lambda _request, replies: self.replied.append(replies),
            lambda _request, run_counts, _reason: self.lost.update(run_counts),
            lambda _request, services, _helper: self.refused.extend(services),
            lambda _request, services, retried_services, _reason: self.helper_lost.append(
                (services, set(retried_services))
            ),
            self.begin,
            self.withdrawn.append,
            lambda _helper, replies: self.reported_waits.extend(replies),
        )
        self.hooks = hooks
        self.relays = Relays(name, LoopTimers(asyncio.get_running_loop()), hooks, 0)

    def begin(self, group: IncomingGroup) -> InFlight | None:
        if self.refusing:
            return None
        request = in_flight(group.request.request_id, group.request.services)
        self.incoming.append(request)
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
                self.relays.record_extra_attempt(message)
            case RelayCancel():
                self.relays.on_cancel(sender, message)

    def receive_reply(self, service: str, *records: bytes) -> None:
        """Handle an endpoint's reply to a shard of the first group of this instance."""
        state = self.incoming[0].state
        assert isinstance(state, GatherState)
        shard = state.shard_by_service[service]
        shard.replied = True
        body = b''.join(record.rjust(16, b'.') for record in records)
        shard.reply = EndpointReply(service.encode(), Response(200, (), body))
        group = self.incoming[0].group
        assert group is not None
        if all(group_shard.replied for group_shard in state.shards):
            self.relays.finish(group, state)
        else:
            self.relays.on_progress(group, state)

    def received_replies(self) -> list[tuple[str, EndpointReply]]:
        return [reply for replies in self.replied for reply in replies]


class Pair:
    """Hold a delegating instance and its helper."""

    def __init__(self) -> None:
        self.delegating, self.helping = FakeInstance('delegating'), FakeInstance('helping')
        self.delegating.other, self.helping.other = self.helping, self.delegating
        table = delegation.HelperTable()
        delegation.set_helpers(table, [InstanceLocation('helping', 'far')], 'delegating')
        self.helper = table.helpers['helping']
        self.request = in_flight('r1')

    def delegate(self) -> None:
        group = DelegateGroup(self.helper, SHARDS, monotonic_ms() + FLUSH_AFTER_MS)
        assert self.delegating.relays.delegate(self.request, group)


def run(scenario: Callable[[Pair], Awaitable[None]]) -> None:
    async def main() -> None:
        await scenario(Pair())

    asyncio.run(main())


async def run_loop_turns() -> None:
    for _ in range(6):
        await asyncio.sleep(0)


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.01)


def test_group_replies_are_merged_to_the_greatest_records() -> None:
    """Guard against records that the merge at the helper loses or duplicates."""

    async def scenario(pair: Pair) -> None:
        pair.delegate()
        await run_loop_turns()
        (group,) = pair.helping.incoming
        assert (group.routed.request_id, group.group.request.head) == ('r1', b'head')  # type: ignore[union-attr]
        for number, shard in enumerate(SHARDS):
            pair.helping.receive_reply(shard, b'%d' % number, b'1%d' % number)
        await run_loop_turns()
        (replies,) = pair.delegating.replied
        bodies = b''.join(reply.response.body for _, reply in replies)
        assert bodies == b''.join(record.rjust(16, b'.') for record in (b'13', b'12', b'11'))
        assert [(name, reply.receipt) for name, reply in replies] == [
            (name, name.encode()) for name in SHARDS
        ]
        assert pair.delegating.lost == {}
        assert pair.delegating.relays.outgoing == {}
        assert pair.helping.relays.incoming == {}
        assert pair.helper.open_group_count == 0

    run(scenario)


def test_late_shard_does_not_delay_the_others() -> None:
    """Guard against a group whose replies are all delayed by one slow shard."""

    async def scenario(pair: Pair) -> None:
        pair.delegate()
        await run_loop_turns()
        for shard in SHARDS[:3]:
            pair.helping.receive_reply(shard, b'1')
        await run_loop_turns()
        assert pair.delegating.replied == []
        await wait_until(lambda: len(pair.delegating.received_replies()) == 3)
        assert [name for name, _ in pair.delegating.received_replies()] == list(SHARDS[:3])
        pair.helping.receive_reply('s3', b'9')
        await run_loop_turns()
        name, reply = pair.delegating.received_replies()[-1]
        assert (name, reply.response.body) == ('s3', b'9'.rjust(16, b'.'))

    run(scenario)


def test_replies_after_the_flush_are_collected() -> None:
    """Guard against a message for each late reply, which takes the other instance long to read."""

    async def scenario(pair: Pair) -> None:
        pair.delegate()
        await run_loop_turns()
        await wait_until(
            lambda: all(group.flushed for group in pair.helping.relays.incoming.values())
        )
        for shard in SHARDS[:3]:
            pair.helping.receive_reply(shard, b'1')
        await wait_until(lambda: len(pair.delegating.received_replies()) == 3)
        assert [len(replies) for replies in pair.delegating.replied] == [3]
        pair.helping.receive_reply('s3', b'9')
        await run_loop_turns()
        assert len(pair.delegating.received_replies()) == 4

    run(scenario)


def test_queue_waits_at_the_endpoints_are_reported() -> None:
    """Guard against an instance that sees no load reports and admits too much."""

    async def scenario(pair: Pair) -> None:
        pair.delegate()
        await run_loop_turns()
        (group,) = pair.helping.incoming
        for number, shard in enumerate(SHARDS):
            group.query.shard_by_service[shard].queue_wait_ms = 10.4 * number
            pair.helping.receive_reply(shard, b'1')
        await run_loop_turns()
        waits = {reply.service: reply.queue_wait_ms for reply in pair.delegating.reported_waits}
        assert waits == {'s0': 0, 's1': 10, 's2': 21, 's3': 31}

    run(scenario)


def test_replies_of_a_build_without_queue_waits_are_read() -> None:
    """Guard against messages that one of two builds side by side refuses."""
    old_reply = ['s0', b'receipt']
    reply = msgspec.msgpack.decode(msgspec.msgpack.encode(old_reply), type=RelayedReply)
    assert reply == RelayedReply('s0', b'receipt', 0)


def test_shards_without_a_reply_are_reported_as_lost() -> None:
    """Guard against a query that waits for shards that its helper has given up."""

    async def scenario(pair: Pair) -> None:
        pair.delegate()
        await run_loop_turns()
        for shard in SHARDS[:3]:
            pair.helping.receive_reply(shard, b'1')
        (group,) = pair.helping.incoming
        shard = group.query.shard_by_service['s3']
        shard.attempt_count, shard.may_have_run_count = 3, 2
        pair.helping.relays.finish(group.group, group.query)  # type: ignore[arg-type]
        await run_loop_turns()
        assert len(pair.delegating.received_replies()) == 3
        assert pair.delegating.lost == {'s3': 2}
        assert pair.delegating.refused == []
        assert pair.delegating.relays.outgoing == {}

    run(scenario)


def test_helper_that_cannot_query_refuses_the_group() -> None:
    """Guard against shards that are lost because a helper is fenced or stopping."""

    async def scenario(pair: Pair) -> None:
        pair.helping.refusing = True
        pair.delegate()
        await run_loop_turns()
        assert sorted(pair.delegating.refused) == list(SHARDS)
        assert pair.delegating.lost == {}
        assert pair.delegating.relays.outgoing == {}
        assert pair.helper.open_group_count == 0

    run(scenario)


def test_silent_helper_is_given_up() -> None:
    """Guard against a query that waits for a helper that has failed."""

    async def scenario(pair: Pair) -> None:
        pair.delegating.connected = False
        pair.delegate()
        await wait_until(lambda: bool(pair.delegating.helper_lost))
        assert pair.delegating.helper_lost == [(list(SHARDS), set())]
        assert pair.delegating.reconnected == ['helping']
        assert pair.helper.suspended_until_ms > monotonic_ms()

    run(scenario)


def test_late_helper_is_suspended_and_its_replies_are_used() -> None:
    """Guard against further queries that are delegated to a machine that has become slow."""

    async def scenario(pair: Pair) -> None:
        pair.delegate()
        await run_loop_turns()
        for shard in SHARDS[:3]:
            pair.helping.receive_reply(shard, b'1')
        pair.helping.connected = False
        await wait_until(lambda: pair.helper.suspended_until_ms > monotonic_ms())
        assert pair.delegating.lost == {}
        pair.helping.connected = True
        pair.helping.receive_reply('s3', b'1')
        await run_loop_turns()
        assert 's3' in [name for name, _ in pair.delegating.received_replies()]

    run(scenario)


def test_results_for_an_earlier_incarnation_match_no_group() -> None:
    """Guard against records of another request in an answer after the instance restarted."""

    async def scenario(pair: Pair) -> None:
        pair.delegate()
        await run_loop_turns()
        timers = LoopTimers(asyncio.get_running_loop())
        first_number = random.Random('10.0.0.1-2').getrandbits(48)
        restarted = Relays('delegating', timers, pair.delegating.hooks, first_number)
        pair.delegating.relays = restarted
        pair.delegate()
        await run_loop_turns()
        assert len(pair.helping.incoming) == 2
        for shard in SHARDS:
            pair.helping.receive_reply(shard, b'old')
        await run_loop_turns()
        assert pair.delegating.received_replies() == []
        assert len(restarted.outgoing) == 1

    run(scenario)


def test_withdrawn_group_is_withdrawn_at_the_helper() -> None:
    """Guard against endpoints that work for a caller that has disconnected."""

    async def scenario(pair: Pair) -> None:
        pair.delegate()
        await run_loop_turns()
        pair.delegating.relays.withdraw(pair.request, 0.0)
        pair.delegating.relays.withdraw(pair.request, 0.0)
        await run_loop_turns()
        assert pair.helping.withdrawn == pair.helping.incoming
        assert pair.helping.relays.incoming == {}
        assert pair.delegating.relays.outgoing == {}
        assert pair.helper.open_group_count == 0

    run(scenario)


def test_answered_query_withdraws_its_groups_after_a_delay() -> None:
    """Guard against connections that are closed just before their reply arrives."""

    async def scenario(pair: Pair) -> None:
        pair.delegate()
        await run_loop_turns()
        pair.delegating.relays.withdraw(pair.request, 50.0)
        await run_loop_turns()
        assert pair.helping.withdrawn == []
        await wait_until(lambda: bool(pair.helping.withdrawn))

    run(scenario)


def test_group_received_with_its_cancellation_is_not_queried() -> None:
    """Guard against work for a caller that disconnected while the link to the helper stalled."""

    async def scenario(pair: Pair) -> None:
        pair.delegate()
        pair.delegating.relays.withdraw(pair.request, 0.0)
        await run_loop_turns()
        assert pair.helping.incoming == []
        assert pair.helping.relays.incoming == {}
        assert pair.helping.relays.starting == {}

    run(scenario)


def test_results_of_a_group_given_up_are_ignored() -> None:
    """Guard against replies that are used after their shards were counted as lost."""

    async def scenario(pair: Pair) -> None:
        pair.delegate()
        await run_loop_turns()
        pair.helping.connected = False
        await wait_until(lambda: bool(pair.delegating.helper_lost))
        pair.helping.connected = True
        for shard in SHARDS:
            pair.helping.receive_reply(shard, b'1')
        await run_loop_turns()
        assert pair.delegating.received_replies() == []

    run(scenario)


def test_giving_up_a_group_may_withdraw_other_groups() -> None:
    """Guard against a check of helpers that fails when giving up a group withdraws others."""

    async def scenario(pair: Pair) -> None:
        pair.delegating.connected = False
        pair.delegate()
        pair.delegate()
        pair.delegate()
        relays = pair.delegating.relays
        lost: list[list[str]] = []

        def give_up(request: InFlight, services: list[str], *_: object) -> None:
            lost.append(services)
            relays.withdraw(request, 0.0)

        relays.hooks = replace(relays.hooks, helper_lost=give_up)
        relays._check_helpers(monotonic_ms() + 10_000.0)
        assert len(lost) == 1
        assert relays.outgoing == {}
        assert pair.helper.open_group_count == 0

    run(scenario)


def test_groups_of_a_helper_that_ended_are_given_up_immediately() -> None:
    """Guard against queries that wait for a process that has ended, and against third attempts."""

    async def scenario(pair: Pair) -> None:
        pair.delegate()
        await run_loop_turns()
        (group,) = pair.helping.incoming
        assert group.group is not None
        pair.helping.relays.report_extra_attempt(group.group, 's2')
        await run_loop_turns()
        pair.delegating.relays.on_peer_left('other')
        assert pair.delegating.helper_lost == []
        pair.delegating.relays.on_peer_left('helping')
        assert pair.delegating.helper_lost == [(list(SHARDS), {'s2'})]
        assert pair.delegating.relays.outgoing == {}
        assert pair.helper.open_group_count == 0

    run(scenario)
