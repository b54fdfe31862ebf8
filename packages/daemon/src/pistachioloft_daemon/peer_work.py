"""Work that entry instances do for each other: groups of shards, and single requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pistachioloft_core.process.crash_watch import classify_request, on_request_answered
from pistachioloft_core.process.suspects import SuspicionLevel
from pistachioloft_core.request import forward, gather
from pistachioloft_core.request.attempts import LogDecision, Refuse
from pistachioloft_core.request.forward import ForwardState
from pistachioloft_core.request.gather_state import GatherState

from .http1.messages import Request
from .in_flight import InFlight
from .loop_timers import monotonic_ms
from .passed_requests import PassedHooks, PassedRequests
from .relays import GIVE_UP_DELAY_MS, RelayHooks, Relays
from .request_log import log_decision, log_group_placed, log_overload_changes
from .routed_messages import EndpointReply, RoutedRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioloft_core.messages.relay import PassedRequest, RelayedReply, RelayRequest
    from pistachioloft_core.messages.routes import Route
    from pistachioloft_core.request.routed_state import RoutedState

    from .loop_timers import LoopTimers
    from .metrics import Metrics
    from .passed_requests import IncomingRequest
    from .relays import IncomingGroup, Replies
    from .routed_requests import RoutedRequests

# Wide enough that a restarted process does not reuse the numbers of the previous one.
RELAY_NUMBER_BITS = 48


@dataclass(frozen=True, slots=True)
class PeerHooks:
    """Bundle the functions that reach other entry instances."""

    send: Callable[[str, object], bool]
    reconnect: Callable[[str], None]
    # Sends the queued messages before other work of the same turn of the loop.
    flush: Callable[[], None] = lambda: None


class PeerWork:
    """Connect the requests in flight with the instances that help them, and that they help."""

    def __init__(
        self,
        requests: RoutedRequests,
        state: RoutedState,
        timers: LoopTimers,
        metrics: Metrics,
        peers: PeerHooks,
    ) -> None:
        self.requests = requests
        self.state = state
        self.relays = Relays(
            state.instance,
            timers,
            RelayHooks(
                peers.send,
                peers.reconnect,
                self._on_group_replies,
                self._on_group_unanswered,
                self.on_group_refused,
                self._on_helper_lost,
                self._begin_group,
                self._withdraw_group,
                self._record_queue_waits,
                metrics.count_group,
            ),
            state.random.getrandbits(RELAY_NUMBER_BITS),
        )
        self.passed = PassedRequests(
            state.instance,
            PassedHooks(
                peers.send,
                self._on_receiver_reply,
                self._on_receiver_refusal,
                self.on_declined,
                self._on_receiver_lost,
                self._begin_passed,
                self._withdraw_passed,
            ),
            state.random.getrandbits(RELAY_NUMBER_BITS),
        )

    def _helping_route(self, name: str, head: bytes, body: bytes) -> tuple[Route, int] | None:
        """Return a route and its version, None if this instance cannot help others with it."""
        routes = self.requests.usable_routes(head, body)
        if isinstance(routes, Refuse) or self.state.reach.cut_off:
            return None
        route = routes.find_by_name(name)
        if route is None or self.requests.ends_too_early(monotonic_ms(), route):
            return None
        return route, routes.version

    def _is_suspected(self, now_ms: float, request: RelayRequest | PassedRequest) -> bool:
        level = classify_request(self.requests.crashes.watch, now_ms, request.digest)
        return request.suspected or level is not SuspicionLevel.CLEAR

    def _begin_passed(self, incoming: IncomingRequest) -> InFlight | None:
        """Send a request to an endpoint that another instance passed on to this one."""
        now_ms = monotonic_ms()
        request = incoming.request
        found = self._helping_route(request.route, request.head, request.body)
        if found is None or found[0].gather is not None:
            return None
        if self.relays.stall_ms() > GIVE_UP_DELAY_MS:
            # Its caller may have been answered while it waited here.
            return None
        route, version = found
        number = self.requests.next_number()
        state = ForwardState(
            str(number),
            route,
            request.service,
            now_ms + max(0.0, request.time_left_ms),
            self._is_suspected(now_ms, request),
        )
        if request.priority is not None:
            state.priority = request.priority
        state.organisation = request.organisation
        in_flight = InFlight(number, _relayed_request(request), state, None, now_ms, version, 0.0)
        in_flight.passed = incoming
        # A request whose plan fails is not added: nothing would ever end it.
        actions = forward.start_forward(self.state, now_ms, state)
        self.requests.add(in_flight)
        log_overload_changes(self.state)
        log_group_placed(in_flight, incoming.sender, self.requests.feed_age_ms(), actions)
        self.requests.apply_actions(now_ms, in_flight, actions)
        self.requests.schedule_check(now_ms, in_flight)
        return in_flight

    def _withdraw_passed(self, in_flight: InFlight) -> None:
        actions = forward.cancel_forward(in_flight.single)
        self.requests.apply_actions(monotonic_ms(), in_flight, actions)
        self.requests.finish(in_flight)

    def _on_receiver_reply(self, in_flight: InFlight, reply: EndpointReply) -> None:
        actions = forward.on_receiver_reply(in_flight.single, reply)
        self.requests.apply_actions(monotonic_ms(), in_flight, actions)

    def _on_receiver_refusal(self, in_flight: InFlight, refusal: Refuse) -> None:
        actions = forward.on_receiver_refusal(in_flight.single, refusal)
        self.requests.apply_actions(monotonic_ms(), in_flight, actions)

    def _on_receiver_lost(self, in_flight: InFlight) -> None:
        actions = forward.on_receiver_lost(in_flight.single)
        self.requests.apply_actions(monotonic_ms(), in_flight, actions)

    def on_declined(self, in_flight: InFlight) -> None:
        """Pass a request on to another helper, or send it from here."""
        now_ms = monotonic_ms()
        actions = forward.on_declined(self.state, now_ms, in_flight.single, self.requests.helpers)
        self.requests.apply_actions(now_ms, in_flight, actions)
        self.requests.schedule_check(now_ms, in_flight)

    def _begin_group(self, group: IncomingGroup) -> InFlight | None:
        """Query the shards that another instance delegated to this one."""
        now_ms = monotonic_ms()
        request = group.request
        found = self._helping_route(request.route, request.head, request.body)
        if found is None or found[0].gather is None:
            return None
        route, version = found
        number = self.requests.next_number()
        suspected = self._is_suspected(now_ms, request)
        deadline_at_ms = now_ms + max(0.0, request.time_left_ms)
        state = GatherState(
            str(number), route, deadline_at_ms, deadline_at_ms, suspected, request.services
        )
        state.needed_at_ms = min(deadline_at_ms, group.received_ms + request.flush_after_ms)
        if request.priority is not None:
            state.priority = request.priority
        in_flight = InFlight(number, _relayed_request(request), state, None, now_ms, version, 0.0)
        in_flight.group = group
        actions = gather.start_gather(self.state, now_ms, state)
        self.requests.add(in_flight)
        log_group_placed(in_flight, group.sender, self.requests.feed_age_ms(), actions)
        self.requests.apply_actions(now_ms, in_flight, actions)
        self.requests.schedule_check(now_ms, in_flight)
        return in_flight

    def _withdraw_group(self, in_flight: InFlight) -> None:
        actions = gather.cancel_gather(in_flight.query)
        self.requests.apply_actions(monotonic_ms(), in_flight, actions)
        self.requests.finish(in_flight)

    def _on_group_replies(self, in_flight: InFlight, replies: Replies) -> None:
        now_ms = monotonic_ms()
        state = in_flight.query
        on_request_answered(self.requests.crashes.watch, now_ms, in_flight.routed.digest)
        self.requests.apply_actions(
            now_ms, in_flight, gather.on_group_replies(now_ms, state, replies)
        )

    def _record_queue_waits(self, helper: str, replies: tuple[RelayedReply, ...]) -> None:
        now_ms = monotonic_ms()
        waits = self.state.queue_waits
        for reply in replies:
            waits.record(reply.service, helper, now_ms, float(reply.queue_wait_ms))

    def _on_group_unanswered(
        self, in_flight: InFlight, run_counts: dict[str, int], reason: str
    ) -> None:
        now_ms = monotonic_ms()
        state = in_flight.query
        if not state.done:
            log_decision(in_flight, LogDecision('group lost', f'{reason}: {",".join(run_counts)}'))
        actions = gather.on_group_unanswered(self.state, now_ms, state, run_counts)
        self.requests.apply_actions(now_ms, in_flight, actions)
        self.requests.schedule_check(now_ms, in_flight)

    def _on_helper_lost(
        self, in_flight: InFlight, services: list[str], retried_services: set[str], reason: str
    ) -> None:
        now_ms = monotonic_ms()
        state = in_flight.query
        if not state.done:
            log_decision(in_flight, LogDecision('group lost', f'{reason}: {",".join(services)}'))
        actions = gather.on_helper_lost(self.state, now_ms, state, services, retried_services)
        self.requests.apply_actions(now_ms, in_flight, actions)
        self.requests.schedule_check(now_ms, in_flight)

    def on_group_refused(self, in_flight: InFlight, services: list[str], helper: str) -> None:
        """Query the shards of a helper that cannot, through another one or from here."""
        now_ms = monotonic_ms()
        state = in_flight.query
        state.declined.add(helper)
        actions = gather.reclaim_shards(self.state, now_ms, state, services, self.requests.helpers)
        self.requests.apply_actions(now_ms, in_flight, actions)
        self.requests.schedule_check(now_ms, in_flight)


def _relayed_request(request: RelayRequest | PassedRequest) -> RoutedRequest:
    """Build a routed request from another instance's one, for the encoder of attempts."""
    empty_request = Request(b'', b'', ())
    return RoutedRequest(
        request.request_id,
        '',
        '',
        request.time_left_ms,
        request.head,
        request.body,
        empty_request,
        request.digest,
        organisation=request.organisation,
    )
