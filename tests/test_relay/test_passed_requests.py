"""Guard against requests that are lost or answered twice when instances pass them on."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from pistachioloft_core.codec import decode_peer, encode_peer
from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.relay import (
    PassedRefusal,
    PassedReply,
    PassedRequest,
    RelayCancel,
)
from pistachioloft_core.messages.routes import Route, WeightedService
from pistachioloft_core.request.attempts import Deliver, Refuse
from pistachioloft_core.request.delegation import Helper
from pistachioloft_core.request.forward import ForwardState
from pistachioloft_daemon.http1.messages import Request, Response
from pistachioloft_daemon.in_flight import InFlight
from pistachioloft_daemon.loop_timers import monotonic_ms
from pistachioloft_daemon.passed_requests import (
    BODY_LIMIT_BYTES,
    IncomingRequest,
    PassedHooks,
    PassedRequests,
)
from pistachioloft_daemon.routed_messages import EndpointReply, RoutedRequest

if TYPE_CHECKING:
    from collections.abc import Callable

ROUTE = Route('one', 'h', '/', True, 9_000.0, 1_000.0, 1, 2, (WeightedService('s'),))
REPLY = EndpointReply(b'stamp', Response(200, ((b'X-A', b'1'),), b'\0body'))


def in_flight(request_id: str = 'r1') -> InFlight:
    routed = RoutedRequest(request_id, '', '', None, b'head', b'body', Request(b'', b'', ()), 'd')
    state = ForwardState('1', ROUTE, 's', monotonic_ms() + 1_500.0)
    return InFlight(1, routed, state, None, monotonic_ms(), 1, 0.0)


class Pair:
    """Hold an instance and a helper that exchange encoded messages at once."""

    def __init__(self) -> None:
        self.able = True
        self.connected = True
        self.outcomes: list[tuple[str, Any]] = []
        self.withdrawn: list[InFlight] = []
        self.begun: list[IncomingRequest] = []
        self.helper = Helper('helping', 'a')
        hooks = PassedHooks(
            lambda _instance, message: self.deliver('cut-off', message, self.receive_at_helper),
            lambda _request, reply: self.outcomes.append(('reply', reply)),
            lambda _request, refusal: self.outcomes.append(('refusal', refusal)),
            lambda _request: self.outcomes.append(('declined', None)),
            lambda _request: self.outcomes.append(('lost', None)),
            self.unused,
            self.unused,
        )
        self.cut_off = PassedRequests('cut-off', hooks, 0)
        helper_hooks = PassedHooks(
            lambda _instance, message: self.deliver('helping', message, self.receive_back),
            self.unused,
            self.unused,
            self.unused,
            self.unused,
            self.begin,
            self.withdrawn.append,
        )
        self.helping = PassedRequests('helping', helper_hooks, 0)

    def unused(self, *_: Any) -> Any:
        raise AssertionError('not called')

    def begin(self, incoming: IncomingRequest) -> InFlight | None:
        self.begun.append(incoming)
        return in_flight(incoming.request.request_id) if self.able else None

    def deliver(self, sender: str, message: Any, receive: Callable[[str, Any], None]) -> bool:
        if self.connected:
            _, (decoded,) = decode_peer(encode_peer(sender, [message]))
            receive(sender, decoded)
        return True

    def receive_at_helper(self, sender: str, message: Any) -> None:
        match message:
            case PassedRequest():
                self.helping.on_request(sender, message)
            case RelayCancel():
                self.helping.on_cancel(sender, message)

    def receive_back(self, _sender: str, message: Any) -> None:
        match message:
            case PassedReply():
                self.cut_off.on_reply(message)
            case PassedRefusal():
                self.cut_off.on_refusal(message)

    def pass_on(self) -> InFlight:
        request = in_flight()
        assert self.cut_off.pass_on(request, self.helper, request.single)
        return request


def test_reply_of_the_endpoint_is_passed_back_unchanged() -> None:
    """Guard against answers that differ from what the endpoint sent."""
    pair = Pair()
    pair.pass_on()
    (incoming,) = pair.begun
    assert (incoming.request.service, incoming.request.head) == ('s', b'head')
    pair.helping.finish(incoming, Deliver(REPLY))
    pair.helping.finish(incoming, Deliver(REPLY))
    assert pair.outcomes == [('reply', REPLY)]
    assert pair.cut_off.outgoing == pair.helping.incoming == {}
    assert pair.helper.open_group_count == 0


def test_refusal_keeps_its_code_and_its_time_to_come_back() -> None:
    """Guard against a request that has not run and is said to have an unknown outcome."""
    pair = Pair()
    pair.pass_on()
    refusal = Refuse(ResultCode.OVERLOADED, 'full', 250.0)
    pair.helping.finish(pair.begun[0], refusal)
    assert pair.outcomes == [('refusal', refusal)]


def test_helper_that_cannot_serve_declines_and_is_avoided() -> None:
    """Guard against refusals by a helper that is itself cut off."""
    pair = Pair()
    pair.able = False
    pair.pass_on()
    assert pair.outcomes == [('declined', None)]
    assert pair.helper.suspended_until_ms > monotonic_ms()


def test_request_of_an_ended_helper_is_ended() -> None:
    """Guard against callers who wait for a process that has ended."""
    pair = Pair()
    pair.pass_on()
    pair.cut_off.on_peer_left('other')
    assert pair.outcomes == []
    pair.cut_off.on_peer_left('helping')
    assert pair.outcomes == [('lost', None)]
    pair.helping.finish(pair.begun[0], Deliver(REPLY))
    assert pair.outcomes == [('lost', None)]


def test_request_of_a_caller_who_left_is_withdrawn() -> None:
    """Guard against work at endpoints for callers who have left."""
    pair = Pair()
    request = pair.pass_on()
    pair.cut_off.withdraw(request)
    assert len(pair.withdrawn) == 1
    assert pair.helping.incoming == {}


def test_reply_that_fits_no_message_is_not_said_not_to_have_run() -> None:
    """Guard against a reply that the receiving socket drops with its connection."""
    pair = Pair()
    pair.pass_on()
    large = EndpointReply(b'stamp', Response(200, (), b'x' * (BODY_LIMIT_BYTES + 1)))
    pair.helping.finish(pair.begun[0], Deliver(large))
    ((kind, refusal),) = pair.outcomes
    assert (kind, refusal.code) == ('refusal', ResultCode.OUTCOME_UNKNOWN)


@pytest.mark.parametrize('status', [0, 99, 101, 600, 999])
def test_reply_with_an_unassigned_status_is_none(status: int) -> None:
    """Guard against an answer without a meaning that an earlier build passes back."""
    pair = Pair()
    pair.pass_on()
    relay_id = pair.begun[0].request.relay_id
    pair.receive_back('helping', PassedReply(relay_id, b'stamp', status, (), b'body'))
    assert pair.outcomes == [('lost', None)]
    assert pair.cut_off.outgoing == {}
