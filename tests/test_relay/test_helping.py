"""Guard against a helper that takes groups which it cannot finish."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

import pytest

from pistachioloft_core.messages.fleet import ENDPOINT_READY, AnnouncedEndpoint, ReceivedEndpoint
from pistachioloft_core.messages.relay import RelayCancel, RelayRequest, RelayResults
from pistachioloft_core.messages.routes import Gather, Route, RouteSet, ServiceRule
from pistachioloft_core.process.endpoint_table import apply_update
from pistachioloft_core.request.attempts import Attempt, AttemptEnd, AttemptOutcome
from pistachioloft_core.request.routed_state import RoutedState, SharedLimits, set_routes
from pistachioloft_core.version.route_table import RouteTable
from pistachioloft_daemon.http1.messages import Response
from pistachioloft_daemon.http1.receive_budget import ReceiveBudget
from pistachioloft_daemon.loop_timers import LoopTimers
from pistachioloft_daemon.metrics import Metrics
from pistachioloft_daemon.routed_messages import EndpointReply
from pistachioloft_daemon.routed_requests import PeerHooks, RoutedRequests
from pistachioloft_daemon.wire import WireFormat

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

SHARDS = ('s0', 's1')
ROUTE = Route('all', 'h', '/', True, 9_000.0, 1_000.0, 1, 2, (), Gather(SHARDS, 3, 0.5))
REQUEST = RelayRequest('asking/1', 'all', 'r1', b'head', b'', 'd', False, 1_500.0, 500.0, 3, SHARDS)


class FakePool:
    """Keep the attempts until a test ends them."""

    def __init__(self) -> None:
        self.sent: list[Attempt] = []

    def send(self, attempt: Attempt, data: bytes) -> None:
        assert data == b'r1'
        self.sent.append(attempt)

    def preconnect(self, _record: AnnouncedEndpoint) -> None:
        pass

    def abandon(self, attempt: Attempt) -> bool:
        self.sent.remove(attempt)
        return True


class Helping:
    """Hold the requests of a helper and what it sends."""

    def __init__(self) -> None:
        state = RoutedState('helping', 'a', SharedLimits(0.2, 100.0), random.Random(1))
        rules = tuple(ServiceRule(shard, '/', 20) for shard in SHARDS)
        set_routes(state, RouteTable(RouteSet(1, (ROUTE,), rules)))
        for number, shard in enumerate(SHARDS):
            record = AnnouncedEndpoint(
                f'i-{shard}', shard, f'10.0.0.{number + 1}:80', 'a', 2, ENDPOINT_READY, 1, 1
            )
            apply_update(state.table, 0.0, (ReceivedEndpoint(record, 0.0),), True)
        self.results: list[RelayResults] = []

        def send(instance: str, message: Any) -> bool:
            assert instance == 'asking'
            self.results.append(message)
            return True

        def unused(*_: Any) -> Any:
            raise AssertionError('not called')

        wire = WireFormat(
            unused, lambda routed, *_: routed.request_id.encode(), unused, unused, unused, unused
        )
        hooks = PeerHooks(send, unused)
        self.requests = RoutedRequests(
            state, LoopTimers(asyncio.get_running_loop()), wire, Metrics(), hooks, ReceiveBudget(1)
        )
        self.requests.fenced = False
        self.pool = FakePool()
        self.requests.pool = self.pool  # type: ignore[assignment]

    async def take(self) -> None:
        self.requests.relays.on_request('asking', REQUEST)
        for _ in range(3):
            await asyncio.sleep(0)

    def end(self, service: str, end: AttemptEnd) -> None:
        attempt = next(each for each in self.pool.sent if each.service == service)
        self.pool.sent.remove(attempt)
        self.requests._on_end(attempt, end)


def run(play: Callable[[Helping], Awaitable[None]]) -> None:
    async def whole() -> None:
        await play(Helping())

    asyncio.run(whole())


def answer() -> AttemptEnd:
    return AttemptEnd(
        AttemptOutcome.ANSWERED, reply=EndpointReply(b'stamp', Response(200, (), b'x' * 16))
    )


@pytest.mark.parametrize('state', ['fenced', 'refusing'])
def test_a_fenced_or_stopping_helper_gives_the_group_back(state: str) -> None:
    """Guard against shards that end with the process of their helper."""

    async def play(helping: Helping) -> None:
        setattr(helping.requests, state, True)
        await helping.take()
        (results,) = helping.results
        assert (results.refused, results.done, results.replies) == (True, True, ())
        assert helping.pool.sent == []

    run(play)


def test_a_stopping_helper_finishes_its_groups_first() -> None:
    """Guard against a process that ends while it asks for another instance's shards."""

    async def play(helping: Helping) -> None:
        await helping.take()
        helping.requests.refusing = True
        assert helping.requests.in_flight_count() == 1
        for shard in SHARDS:
            helping.end(shard, answer())
        assert helping.requests.in_flight_count() == 0
        (results,) = helping.results
        assert results.done
        assert [reply.service for reply in results.replies] == list(SHARDS)

    run(play)


def test_a_lost_attempt_is_repeated_at_the_helper_or_told() -> None:
    """Guard against a shard whose only replica lost the reply and that nobody hears of."""

    async def play(helping: Helping) -> None:
        await helping.take()
        helping.end('s0', AttemptEnd(AttemptOutcome.LOST, 'reset'))
        helping.end('s1', answer())
        (results,) = helping.results
        assert results.done
        assert [reply.service for reply in results.replies] == ['s1']

    run(play)


def test_a_cancelled_group_is_withdrawn_from_the_endpoints() -> None:
    """Guard against endpoints that work for a caller that left another instance."""

    async def play(helping: Helping) -> None:
        await helping.take()
        assert len(helping.pool.sent) == 2
        helping.requests.relays.on_cancel('asking', RelayCancel('asking/1'))
        assert helping.pool.sent == []
        assert helping.requests.requests == {}
        assert helping.results == []

    run(play)
