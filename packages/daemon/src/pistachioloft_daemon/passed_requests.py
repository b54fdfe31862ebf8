"""Single requests that entry instances pass on to each other."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.relay import (
    PassedRefusal,
    PassedReply,
    PassedRequest,
    RelayCancel,
)
from pistachioloft_core.request import delegation
from pistachioloft_core.request.attempts import Deliver, Refuse

from .http1.messages import Response, is_final_status
from .loop_timers import monotonic_ms
from .routed_messages import EndpointReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioloft_core.request.delegation import Helper
    from pistachioloft_core.request.forward import ForwardState

    from .in_flight import InFlight

logger = logging.getLogger(__name__)

PREFIX = '[routing]'
# A larger reply does not fit into a message between instances.
BODY_LIMIT_BYTES = 15 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class PassedHooks:
    """Bundle the callbacks to the peers and to the requests in flight."""

    send: Callable[[str, object], bool]
    # At the instance that passed a request on: its outcome.
    replied: Callable[[InFlight, EndpointReply], None]
    refused: Callable[[InFlight, Refuse], None]
    declined: Callable[[InFlight], None]
    lost: Callable[[InFlight], None]
    # At the helper: sends a request to an endpoint, or returns None if it cannot.
    begin: Callable[[IncomingRequest], InFlight | None]
    withdraw: Callable[[InFlight], None]


class IncomingRequest:
    """Hold a request that another instance passed on to this one."""

    __slots__ = ('in_flight', 'request', 'sender')

    def __init__(self, sender: str, request: PassedRequest) -> None:
        self.sender = sender
        self.request = request
        self.in_flight: InFlight | None = None


class PassedRequests:
    """Hold the requests passed on to other instances, and those passed on to this one."""

    def __init__(self, instance: str, hooks: PassedHooks, first_number: int) -> None:
        self.instance = instance
        self.hooks = hooks
        self.outgoing: dict[str, tuple[Helper, InFlight]] = {}
        self.incoming: dict[str, IncomingRequest] = {}
        # A random first number keeps replies for an earlier incarnation from matching a request.
        self.number = first_number

    # Requests passed on to helpers.

    def pass_on(self, in_flight: InFlight, receiver: Helper, state: ForwardState) -> bool:
        """Send a request to a helper and return whether there is a connection to it."""
        routed = in_flight.routed
        self.number += 1
        relay_id = f'{self.instance}/p{self.number}'
        request = PassedRequest(
            relay_id,
            state.route.name,
            state.service,
            routed.request_id,
            routed.head,
            routed.body,
            routed.digest,
            state.suspected,
            state.deadline_at_ms - monotonic_ms(),
            routed.organisation,
            state.priority,
        )
        self.outgoing[relay_id] = (receiver, in_flight)
        in_flight.relay_ids.append(relay_id)
        delegation.record_group_sent(receiver)
        if not self.hooks.send(receiver.instance, request):
            self._take(relay_id)
            return False
        return True

    def on_reply(self, reply: PassedReply) -> None:
        """Deliver the reply of the endpoint."""
        in_flight = self._take(reply.relay_id)
        if in_flight is not None and not is_final_status(reply.status):
            # A helper of an earlier build passes back what is no answer.
            logger.info('%s unassigned status %03d: relay=%s', PREFIX, reply.status, reply.relay_id)
            self.hooks.lost(in_flight)
        elif in_flight is not None:
            response = Response(reply.status, reply.headers, reply.body)
            self.hooks.replied(in_flight, EndpointReply(reply.receipt, response))

    def on_refusal(self, refusal: PassedRefusal) -> None:
        """End a request as its helper did, or pass it on to another one."""
        outgoing = self.outgoing.get(refusal.relay_id)
        in_flight = self._take(refusal.relay_id)
        if outgoing is None or in_flight is None:
            return
        if refusal.declined:
            helper = outgoing[0]
            delegation.record_unable_helper(helper, monotonic_ms())
            logger.info(
                '%s request declined: request=%s helper=%s',
                PREFIX,
                in_flight.routed.request_id,
                helper.instance,
            )
            self.hooks.declined(in_flight)
        else:
            refuse = Refuse(ResultCode(refusal.code), refusal.detail, refusal.retry_after_ms)
            self.hooks.refused(in_flight, refuse)

    def on_peer_left(self, instance: str) -> None:
        """End the requests whose helper's process has ended."""
        for relay_id, (helper, _) in list(self.outgoing.items()):
            if helper.instance == instance:
                in_flight = self._take(relay_id)
                if in_flight is not None:
                    self.hooks.lost(in_flight)

    def withdraw(self, in_flight: InFlight) -> None:
        """Withdraw a request whose reply is no longer needed."""
        for relay_id in in_flight.relay_ids:
            outgoing = self.outgoing.get(relay_id)
            if outgoing is not None:
                self._take(relay_id)
                self.hooks.send(outgoing[0].instance, RelayCancel(relay_id))

    def _take(self, relay_id: str) -> InFlight | None:
        outgoing = self.outgoing.pop(relay_id, None)
        if outgoing is None:
            return None
        helper, in_flight = outgoing
        delegation.record_group_ended(helper)
        return in_flight

    # Requests passed on to this instance.

    def on_request(self, sender: str, request: PassedRequest) -> None:
        """Send a request of another instance to an endpoint."""
        incoming = IncomingRequest(sender, request)
        self.incoming[request.relay_id] = incoming
        incoming.in_flight = self.hooks.begin(incoming)
        if incoming.in_flight is None:
            code = ResultCode.NO_ENDPOINT
            self._send_refusal(incoming, PassedRefusal(request.relay_id, code, '', declined=True))

    def on_cancel(self, sender: str, cancel: RelayCancel) -> None:
        """Withdraw a request of another instance."""
        incoming = self.incoming.get(cancel.relay_id)
        if incoming is None or incoming.sender != sender:
            return
        del self.incoming[cancel.relay_id]
        if incoming.in_flight is not None:
            self.hooks.withdraw(incoming.in_flight)

    def finish(self, incoming: IncomingRequest, outcome: Deliver | Refuse) -> None:
        """Pass the outcome of a request back."""
        if self.incoming.get(incoming.request.relay_id) is not incoming:
            return
        relay_id = incoming.request.relay_id
        if isinstance(outcome, Refuse):
            refusal = PassedRefusal(relay_id, outcome.code, outcome.detail, outcome.retry_after_ms)
            self._send_refusal(incoming, refusal)
            return
        reply: EndpointReply = outcome.reply
        response = reply.response
        if len(response.body) > BODY_LIMIT_BYTES:
            detail = f'the reply has {len(response.body)} bytes, too many to pass back'
            self._send_refusal(
                incoming, PassedRefusal(relay_id, ResultCode.OUTCOME_UNKNOWN, detail)
            )
            return
        del self.incoming[relay_id]
        self.hooks.send(
            incoming.sender,
            PassedReply(relay_id, reply.receipt, response.status, response.headers, response.body),
        )

    def _send_refusal(self, incoming: IncomingRequest, refusal: PassedRefusal) -> None:
        del self.incoming[incoming.request.relay_id]
        self.hooks.send(incoming.sender, refusal)
