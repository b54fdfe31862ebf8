"""Guard against a helper that accepts groups that it cannot finish."""

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
from pistachioloft_daemon.http1.messages import Request, Response
from pistachioloft_daemon.http1.receive_budget import ReceiveBudget
from pistachioloft_daemon.loop_timers import LoopTimers
from pistachioloft_daemon.metrics import Metrics
from pistachioloft_daemon.peer_work import PeerHooks
from pistachioloft_daemon.routed_messages import AcceptedRequest, EndpointReply, RoutedRequest
from pistachioloft_daemon.routed_requests import RoutedRequests
from pistachioloft_daemon.wire import WireFormat

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pistachioloft_daemon.endpoint_pool import OutgoingAttempt

SHARDS = ('s0', 's1')
ROUTE = Route('all', 'h', '/', True, 9_000.0, 1_000.0, 1, 2, (), Gather(SHARDS, 3, 0.5))
REQUEST = RelayRequest('asking/1', 'all', 'r1', b'head', b'', 'd', False, 1_500.0, 500.0, 3, SHARDS)


class FakePool:
    """Store the attempts until a test ends them."""

    def __init__(self) -> None:
        self.sent: list[Attempt] = []

    def send(self, outgoing: OutgoingAttempt) -> None:
        assert (outgoing.request_id, outgoing.data) == ('r1', b'r1')
        self.sent.append(outgoing.attempt)

    def preconnect(self, _record: AnnouncedEndpoint) -> None:
        pass

    def abandon(self, attempt: Attempt) -> bool:
        self.sent.remove(attempt)
        return True


class HelperInstance:
    """Hold the requests of a helper and the results that it sends."""

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
            unused,
            lambda routed, *_: routed.request_id.encode(),
            *(unused,) * 6,
        )
        hooks = PeerHooks(send, unused)
        self.requests = RoutedRequests(
            state, LoopTimers(asyncio.get_running_loop()), wire, Metrics(), hooks, ReceiveBudget(1)
        )
        self.requests.fenced = False
        self.pool = FakePool()
        self.requests.pool = self.pool  # type: ignore[assignment]

    async def receive_group(self) -> None:
        self.requests.relays.on_request('asking', REQUEST)
        for _ in range(3):
            await asyncio.sleep(0)

    def end(self, service: str, end: AttemptEnd) -> None:
        attempt = next(candidate for candidate in self.pool.sent if candidate.service == service)
        self.pool.sent.remove(attempt)
        self.requests._on_end(attempt, end)


def run(scenario: Callable[[HelperInstance], Awaitable[None]]) -> None:
    async def run_in_loop() -> None:
        await scenario(HelperInstance())

    asyncio.run(run_in_loop())


def answer() -> AttemptEnd:
    return AttemptEnd(
        AttemptOutcome.ANSWERED, reply=EndpointReply(b'stamp', Response(200, (), b'x' * 16))
    )


@pytest.mark.parametrize('state', ['fenced', 'refusing'])
def test_fenced_or_stopping_helper_refuses_the_group(state: str) -> None:
    """Guard against losing shards together with the process of their helper."""

    async def scenario(helper: HelperInstance) -> None:
        setattr(helper.requests, state, True)
        await helper.receive_group()
        (results,) = helper.results
        assert (results.refused, results.done, results.replies) == (True, True, ())
        assert helper.pool.sent == []

    run(scenario)


def test_stopping_helper_finishes_its_groups_first() -> None:
    """Guard against a process that stops while it queries shards for another instance."""

    async def scenario(helper: HelperInstance) -> None:
        await helper.receive_group()
        helper.requests.refusing = True
        assert helper.requests.in_flight_count() == 1
        for shard in SHARDS:
            helper.end(shard, answer())
        assert helper.requests.in_flight_count() == 0
        (results,) = helper.results
        assert results.done
        assert [reply.service for reply in results.replies] == list(SHARDS)

    run(scenario)


def test_shard_with_lost_attempt_is_missing_from_the_results() -> None:
    """Guard against a group that never ends because the only replica of a shard lost its reply."""

    async def scenario(helper: HelperInstance) -> None:
        await helper.receive_group()
        helper.end('s0', AttemptEnd(AttemptOutcome.LOST, 'reset'))
        helper.end('s1', answer())
        (results,) = helper.results
        assert results.done
        assert [reply.service for reply in results.replies] == ['s1']

    run(scenario)


def test_cancelled_group_withdraws_its_attempts() -> None:
    """Guard against endpoints that continue to work on a group whose caller has disconnected."""

    async def scenario(helper: HelperInstance) -> None:
        await helper.receive_group()
        assert len(helper.pool.sent) == 2
        helper.requests.relays.on_cancel('asking', RelayCancel('asking/1'))
        assert helper.pool.sent == []
        assert helper.requests.requests == {}
        assert helper.results == []

    run(scenario)


def test_request_whose_plan_fails_does_not_stay_in_flight(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against requests that nothing ends and that count against the limit for ever."""

    def fail(*_: Any) -> Any:
        raise KeyError('lost')

    monkeypatch.setattr('pistachioloft_core.request.gather.start_gather', fail)
    routed = RoutedRequest('r1', 'h', '/', None, b'head', b'', Request(b'GET', b'/', ()), 'd')
    accepted = AcceptedRequest(routed, ROUTE, 1, None)

    async def scenario(helping: HelperInstance) -> None:
        for _ in range(3):
            with pytest.raises(KeyError):
                helping.requests._begin(0.0, accepted, lambda _response: None)
        assert helping.requests.in_flight_count() == 0

    run(scenario)
