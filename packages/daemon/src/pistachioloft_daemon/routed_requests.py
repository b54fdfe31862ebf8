"""Execute callers' routed requests on one entry instance."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pistachioloft_core.errors import ResultCode
from pistachioloft_core.process.crash_watch import (
    CrashWatch,
    classify_request,
    forget_lost_requests,
    on_endpoint_down,
    on_request_answered,
    on_request_lost,
)
from pistachioloft_core.process.suspects import FORGET_AFTER_MS, SuspicionLevel, expire_suspects
from pistachioloft_core.request import forward, gather
from pistachioloft_core.request.answer_timing import (
    CallerTransit,
    answer_due_ms,
    answer_transmission_ms,
    elapsed_before_sending_ms,
    is_past_target,
)
from pistachioloft_core.request.attempts import (
    AbandonAttempt,
    AttemptOutcome,
    DelegateGroup,
    Deliver,
    DeliverMerged,
    LogDecision,
    PassOn,
    Refuse,
    SendAttempt,
    record_attempt_end,
    record_withdrawn_attempt,
)
from pistachioloft_core.request.delegation import HelperTable
from pistachioloft_core.request.forward import ForwardState
from pistachioloft_core.request.gather import ABANDON_DELAY_MS
from pistachioloft_core.request.gather_state import GatherState
from pistachioloft_core.request.hedge_delay import usual_latency_ms
from pistachioloft_core.request.records import greatest_records
from pistachioloft_core.request.routed_state import deadlines_of, endpoint_connection_limit
from pistachioloft_core.request.split import SplitState, choose_service
from pistachioloft_core.request.stopping import needed_time_ms

from .endpoint_pool import EndpointPool, PoolHooks
from .http1.messages import Request
from .in_flight import InFlight
from .loop_timers import monotonic_ms
from .passed_requests import PassedHooks, PassedRequests
from .permits import Permits
from .reach import ReachMonitor
from .relays import RelayHooks, Relays
from .request_log import (
    log_answered,
    log_caller_left,
    log_decision,
    log_group_ended,
    log_group_placed,
    log_passed_ended,
    log_placed,
    log_refused,
    log_statements,
    log_suspected,
)
from .routed_messages import EndpointReply, MergedReply, RoutedRequest, UnreadableRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioloft_core.messages.fleet import RequestCrash
    from pistachioloft_core.messages.relay import PassedRequest, RelayedReply, RelayRequest
    from pistachioloft_core.messages.routes import Route
    from pistachioloft_core.request.attempts import Attempt, AttemptEnd, RoutedAction
    from pistachioloft_core.request.routed_state import RoutedState
    from pistachioloft_core.version.route_table import RouteTable

    from .http1.messages import Response
    from .http1.receive_budget import ReceiveBudget
    from .http1.server import Cancel, Respond
    from .loop_timers import LoopTimers
    from .metrics import Metrics
    from .passed_requests import IncomingRequest
    from .relays import IncomingGroup, Replies
    from .wire import WireFormat

# An answer that is ready at the time limit must still be written.
TIME_LIMIT_MARGIN_MS = 5.0
# An instance has its first confirmed configuration about this long after its start.
NO_ROUTES_RETRY_MS = 500.0
STOPPING_RETRY_MS = 10.0
IN_FLIGHT_LIMIT_COUNT = 1_000
# If an endpoint refuses a connection because this instance is cut off, others do so in this time.
CRASH_CHECK_DELAY_MS = 150.0
# Wide enough that a restarted process does not reuse the numbers of the previous one.
RELAY_NUMBER_BITS = 48


@dataclass(frozen=True, slots=True)
class PeerHooks:
    """Bundle the functions that reach other entry instances."""

    send: Callable[[str, object], bool]
    reconnect: Callable[[str], None]


class RoutedRequests:
    """Hold the requests in flight and apply the actions that the core returns for them."""

    def __init__(
        self,
        state: RoutedState,
        timers: LoopTimers,
        wire: WireFormat,
        metrics: Metrics,
        peers: PeerHooks,
        budget: ReceiveBudget,
    ) -> None:
        self.state = state
        self.timers = timers
        self.wire = wire
        self.metrics = metrics
        self.reach = ReachMonitor(state, lambda record: self.pool.probe(record))
        self.pool = EndpointPool(
            PoolHooks(
                self._decode,
                self._on_end,
                lambda record: endpoint_connection_limit(state, record.service),
                self._on_connection_refused,
                self.reach.on_connected,
                self.reach.on_connect_failed,
            ),
            budget,
        )
        self.helpers = HelperTable()
        self.relays = Relays(
            state.instance,
            timers,
            RelayHooks(
                peers.send,
                peers.reconnect,
                self._on_group_replies,
                self._on_group_unanswered,
                self._on_group_refused,
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
                self._on_declined,
                self._on_receiver_lost,
                self._begin_passed,
                self._withdraw_passed,
            ),
            state.random.getrandbits(RELAY_NUMBER_BITS),
        )
        self.reach.changed = self._on_reach_changed
        self.permits = Permits(state, peers.send, peers.reconnect)
        self.splits = SplitState()
        self.crashes = CrashWatch()
        self.requests: dict[int, InFlight] = {}
        self.in_flight_by_attempt: dict[str, InFlight] = {}
        self.number = 0
        # `fenced`: the quorum confirmation of the routes is too old; `refusing`: late in a stop.
        self.fenced = True
        self.refusing = False
        # When this instance ends, once it is stopping.
        self.ends_at_ms = float('inf')
        # Called at each use: after a pause of the process, requests are read before timers run.
        self.can_serve: Callable[[], bool] = lambda: True
        # Returns the age of the quorum confirmation on which placements are based.
        self.feed_age_ms: Callable[[], float] = lambda: 0.0
        # Called when this instance is cut off from all endpoints, and when it is not any more.
        self.on_reach_changed: Callable[[], None] = lambda: None
        self.report_crashes: Callable[[tuple[RequestCrash, ...]], None] = lambda _: None

    def handle(self, request: Request, respond: Respond) -> Cancel | None:
        """Answer a caller's request, immediately or through a later call of `respond`."""
        now_ms = monotonic_ms()
        routed = self.wire.decode_request(request)
        if isinstance(routed, UnreadableRequest):
            refusal = Refuse(ResultCode.MALFORMED, routed.detail)
            self._refuse_at_once('', '', refusal, respond)
            return None
        refusal_or_route = self._find_route(routed)
        if isinstance(refusal_or_route, Refuse):
            self._refuse_at_once(routed.request_id, routed.path, refusal_or_route, respond)
            return None
        in_flight = self._start(now_ms, routed, refusal_or_route, respond)
        return lambda: self._cancel(in_flight)

    def forget_expired(self, now_ms: float) -> None:
        """Forget lost requests, suspects and queue waits that have expired."""
        self.state.queue_waits.forget_old_samples(now_ms)
        self.permits.forget_expired(now_ms)
        loads = self.state.table.endpoints.values()
        self.state.limited_endpoints = {
            load.record.endpoint for load in loads if load.limit.is_limited
        }
        forget_lost_requests(self.crashes, now_ms)
        expire_suspects(self.crashes.suspects, now_ms)

    def in_flight_count(self) -> int:
        """Count the unanswered requests, including groups of other instances."""
        return sum(in_flight.is_unanswered for in_flight in self.requests.values())

    def _usable_routes(self) -> Refuse | RouteTable:
        """Return the routes for a new request, or the refusal if none is accepted."""
        routes = self.state.routes
        if routes is None or self.fenced or not self.can_serve():
            detail = 'no configuration is confirmed here'
            return Refuse(ResultCode.FENCED, detail, NO_ROUTES_RETRY_MS)
        if self.refusing:
            return Refuse(ResultCode.STOPPING, 'this instance is stopping', STOPPING_RETRY_MS)
        if len(self.requests) >= IN_FLIGHT_LIMIT_COUNT:
            detail = 'too many requests are in flight here'
            return Refuse(ResultCode.TOO_MANY_CONNECTIONS, detail, NO_ROUTES_RETRY_MS)
        return routes

    def end_all(self) -> None:
        """Answer everything that is in flight, because this instance ends."""
        now_ms = monotonic_ms()
        for in_flight in list(self.requests.values()):
            state = in_flight.state
            if isinstance(state, GatherState):
                actions = gather.end_early(now_ms, state)
            else:
                actions = forward.end_early(state)
            self._apply_actions(now_ms, in_flight, actions)

    def _ends_too_early(self, now_ms: float, route: Route) -> bool:
        """Return whether this instance probably ends before a new request would."""
        if self.ends_at_ms == float('inf'):
            return False
        return now_ms + needed_time_ms(self.state, route) > self.ends_at_ms

    def _find_route(self, routed: RoutedRequest) -> Refuse | Route:
        routes = self._usable_routes()
        if isinstance(routes, Refuse):
            return routes
        route = routes.find(routed.host, routed.path)
        if route is None:
            return Refuse(ResultCode.UNKNOWN_PATH, f'version {routes.version} has no such route')
        if self._ends_too_early(monotonic_ms(), route):
            detail = 'this instance stops before the request would end'
            return Refuse(ResultCode.STOPPING, detail, STOPPING_RETRY_MS)
        if (
            classify_request(self.crashes, monotonic_ms(), routed.digest)
            is SuspicionLevel.CONDEMNED
        ):
            detail = f'content {routed.digest} was in flight when endpoints crashed'
            return Refuse(ResultCode.CONDEMNED, detail, FORGET_AFTER_MS)
        return route

    def _refuse_at_once(
        self, request_id: str, path: str, refusal: Refuse, respond: Respond
    ) -> None:
        log_refused(request_id, path, refusal)
        self.metrics.count_request(refusal.code, 0.0)
        respond(self.wire.encode_refusal(refusal))

    def _start(
        self, now_ms: float, routed: RoutedRequest, route: Route, respond: Respond
    ) -> InFlight:
        self.number += 1
        time_left_ms = route.time_limit_ms
        if routed.time_left_ms is not None:
            time_left_ms = min(time_left_ms, routed.time_left_ms)
        deadline_at_ms = now_ms + max(0.0, time_left_ms - TIME_LIMIT_MARGIN_MS)
        suspected = (
            classify_request(self.crashes, now_ms, routed.digest) is not SuspicionLevel.CLEAR
        )
        state: GatherState | ForwardState
        transit = self._caller_transit(routed, route)
        version = self.state.routes.version if self.state.routes is not None else 0
        if route.gather is not None:
            answer_at_ms = answer_due_ms(
                route,
                now_ms,
                transit,
                usual_latency_ms(self.state, route),
                answer_transmission_ms(route, self.state.limits.link_mbit_per_s),
            )
            state = GatherState(str(self.number), route, answer_at_ms, deadline_at_ms, suspected)
            state.past_target = self._is_past_target(routed, route)
        else:
            service = choose_service(self.splits, route)
            state = ForwardState(str(self.number), route, service, deadline_at_ms, suspected)
        in_flight = InFlight(self.number, routed, state, respond, now_ms, version, transit.total_ms)
        self.requests[self.number] = in_flight
        if isinstance(state, GatherState):
            actions = gather.start_gather(self.state, now_ms, state, self.helpers)
            log_placed(now_ms, in_flight, state.answer_at_ms, self.feed_age_ms(), actions)
        else:
            actions = forward.start_forward(self.state, now_ms, state, self.helpers)
            log_placed(now_ms, in_flight, deadline_at_ms, self.feed_age_ms(), actions)
        self._apply_actions(now_ms, in_flight, actions)
        self._schedule_check(now_ms, in_flight)
        return in_flight

    def _caller_transit(self, routed: RoutedRequest, route: Route) -> CallerTransit:
        request = routed.request
        elapsed_ms = 0.0
        if routed.time_left_ms is not None:
            deadlines = deadlines_of(self.state, route.name)
            elapsed_ms = elapsed_before_sending_ms(deadlines, routed.time_left_ms, route)
        return CallerTransit(request.connecting_ms, request.return_ms, elapsed_ms)

    def _is_past_target(self, routed: RoutedRequest, route: Route) -> bool:
        if routed.time_left_ms is None:
            return False
        return is_past_target(deadlines_of(self.state, route.name), routed.time_left_ms, route)

    def _helping_route(self, name: str) -> tuple[Route, int] | None:
        """Return a route and its version, None if this instance cannot help others with it."""
        routes = self._usable_routes()
        if isinstance(routes, Refuse) or self.state.reach.cut_off:
            return None
        route = routes.find_by_name(name)
        if route is None or self._ends_too_early(monotonic_ms(), route):
            return None
        return route, routes.version

    def _is_suspected(self, now_ms: float, request: RelayRequest | PassedRequest) -> bool:
        level = classify_request(self.crashes, now_ms, request.digest)
        return request.suspected or level is not SuspicionLevel.CLEAR

    def _begin_passed(self, incoming: IncomingRequest) -> InFlight | None:
        """Send a request to an endpoint that another instance passed on to this one."""
        now_ms = monotonic_ms()
        request = incoming.request
        found = self._helping_route(request.route)
        if found is None or found[0].gather is not None:
            return None
        route, version = found
        self.number += 1
        state = ForwardState(
            str(self.number),
            route,
            request.service,
            # It may have waited here while this process was paused.
            now_ms + max(0.0, request.time_left_ms - self.relays.stall_ms()),
            self._is_suspected(now_ms, request),
        )
        in_flight = InFlight(
            self.number, _relayed_request(request), state, None, now_ms, version, 0.0
        )
        in_flight.passed = incoming
        self.requests[self.number] = in_flight
        actions = forward.start_forward(self.state, now_ms, state)
        log_group_placed(in_flight, incoming.sender, self.feed_age_ms(), actions)
        self._apply_actions(now_ms, in_flight, actions)
        self._schedule_check(now_ms, in_flight)
        return in_flight

    def _withdraw_passed(self, in_flight: InFlight) -> None:
        actions = forward.cancel_forward(in_flight.single)
        self._apply_actions(monotonic_ms(), in_flight, actions)
        self._finish(in_flight)

    def _on_receiver_reply(self, in_flight: InFlight, reply: EndpointReply) -> None:
        actions = forward.on_receiver_reply(in_flight.single, reply)
        self._apply_actions(monotonic_ms(), in_flight, actions)

    def _on_receiver_refusal(self, in_flight: InFlight, refusal: Refuse) -> None:
        actions = forward.on_receiver_refusal(in_flight.single, refusal)
        self._apply_actions(monotonic_ms(), in_flight, actions)

    def _on_receiver_lost(self, in_flight: InFlight) -> None:
        actions = forward.on_receiver_lost(in_flight.single)
        self._apply_actions(monotonic_ms(), in_flight, actions)

    def _on_declined(self, in_flight: InFlight) -> None:
        now_ms = monotonic_ms()
        actions = forward.on_declined(self.state, now_ms, in_flight.single, self.helpers)
        self._apply_actions(now_ms, in_flight, actions)
        self._schedule_check(now_ms, in_flight)

    def _on_reach_changed(self, cut_off: bool) -> None:
        """Give up what waits for endpoints that are not reached, or use all endpoints again."""
        self.on_reach_changed()
        if not cut_off:
            for load in self.state.table.endpoints.values():
                load.breaker.reset()
            return
        # What was lost with the links is no sign that an endpoint crashed.
        self.crashes.lost.clear()
        now_ms = monotonic_ms()
        if self.state.reach.has_replies(now_ms):
            # Open connections live on.
            return
        self.pool.close_idle()
        for in_flight in list(self.requests.values()):
            state = in_flight.state
            if isinstance(state, GatherState):
                actions = gather.on_cut_off(now_ms, state)
            else:
                actions = forward.on_cut_off(state)
            self._apply_actions(now_ms, in_flight, actions)

    def _begin_group(self, group: IncomingGroup) -> InFlight | None:
        """Query the shards that another instance delegated to this one."""
        now_ms = monotonic_ms()
        request = group.request
        found = self._helping_route(request.route)
        if found is None or found[0].gather is None:
            return None
        route, version = found
        self.number += 1
        suspected = self._is_suspected(now_ms, request)
        deadline_at_ms = now_ms + max(0.0, request.time_left_ms)
        state = GatherState(
            str(self.number), route, deadline_at_ms, deadline_at_ms, suspected, request.services
        )
        in_flight = InFlight(
            self.number, _relayed_request(request), state, None, now_ms, version, 0.0
        )
        in_flight.group = group
        self.requests[self.number] = in_flight
        actions = gather.start_gather(self.state, now_ms, state)
        log_group_placed(in_flight, group.sender, self.feed_age_ms(), actions)
        self._apply_actions(now_ms, in_flight, actions)
        self._schedule_check(now_ms, in_flight)
        return in_flight

    def _withdraw_group(self, in_flight: InFlight) -> None:
        actions = gather.cancel_gather(in_flight.query)
        self._apply_actions(monotonic_ms(), in_flight, actions)
        self._finish(in_flight)

    def _on_group_replies(self, in_flight: InFlight, replies: Replies) -> None:
        now_ms = monotonic_ms()
        state = in_flight.query
        on_request_answered(self.crashes, now_ms, in_flight.routed.digest)
        self._apply_actions(now_ms, in_flight, gather.on_group_replies(now_ms, state, replies))

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
        self._apply_actions(now_ms, in_flight, actions)
        self._schedule_check(now_ms, in_flight)

    def _on_helper_lost(
        self, in_flight: InFlight, services: list[str], retried_services: set[str], reason: str
    ) -> None:
        now_ms = monotonic_ms()
        state = in_flight.query
        if not state.done:
            log_decision(in_flight, LogDecision('group lost', f'{reason}: {",".join(services)}'))
        actions = gather.on_helper_lost(self.state, now_ms, state, services, retried_services)
        self._apply_actions(now_ms, in_flight, actions)
        self._schedule_check(now_ms, in_flight)

    def _on_group_refused(self, in_flight: InFlight, services: list[str], helper: str) -> None:
        now_ms = monotonic_ms()
        state = in_flight.query
        state.declined.add(helper)
        actions = gather.reclaim_shards(self.state, now_ms, state, services, self.helpers)
        self._apply_actions(now_ms, in_flight, actions)
        self._schedule_check(now_ms, in_flight)

    def _on_end(self, attempt: Attempt, end: AttemptEnd) -> None:
        now_ms = monotonic_ms()
        self.metrics.count_attempt(now_ms, attempt, end)
        record_attempt_end(self.state, now_ms, attempt, end)
        self._apply_statements(now_ms)
        in_flight = self.in_flight_by_attempt.pop(attempt.attempt_id, None)
        if in_flight is None:
            return
        self._update_crash_watch(now_ms, in_flight, attempt, end)
        state = in_flight.state
        if isinstance(state, GatherState):
            actions = gather.on_attempt_end(self.state, now_ms, state, attempt, end)
        else:
            actions = forward.on_attempt_end(self.state, now_ms, state, attempt, end)
        self._apply_actions(now_ms, in_flight, actions)
        if any(isinstance(action, SendAttempt) for action in actions):
            self._schedule_check(now_ms, in_flight)
        if in_flight.group is not None and not state.done:
            self.relays.on_progress(in_flight.group, in_flight.query)

    def _apply_statements(self, now_ms: float) -> None:
        """Place anew what waits for endpoints that want no requests any more."""
        changed, self.state.changed_statements = self.state.changed_statements, []
        for load in changed:
            endpoint, statements = load.record.endpoint, load.statements
            log_statements(now_ms, endpoint, statements)
            if not statements.wants_requests(now_ms):
                self.pool.return_queued(endpoint, 'the endpoint wants no requests')
            if statements.is_leaving:
                self.pool.close_idle_connections(endpoint)

    def _update_crash_watch(
        self, now_ms: float, in_flight: InFlight, attempt: Attempt, end: AttemptEnd
    ) -> None:
        """Record which content was lost with an endpoint, and which an endpoint answered."""
        digest = in_flight.routed.digest
        if end.outcome is AttemptOutcome.ANSWERED:
            on_request_answered(self.crashes, now_ms, digest)
        elif end.outcome is AttemptOutcome.LOST:
            on_request_lost(self.crashes, now_ms, attempt.load.record, digest)
            # A crashed endpoint refuses the connection; with a live one it is ready for reuse.
            self.pool.preconnect(attempt.load.record)

    def _on_connection_refused(self, endpoint: str) -> None:
        """Take an endpoint for crashed unless this instance turns out to be cut off."""
        due_ms = monotonic_ms() + CRASH_CHECK_DELAY_MS
        self.timers.at(due_ms, lambda _ms: self._confirm_crash(endpoint))

    def _confirm_crash(self, endpoint: str) -> None:
        reach = self.state.reach
        if reach.cut_off:
            self.crashes.lost.pop(endpoint, None)
        elif reach.probing:
            self._on_connection_refused(endpoint)
        else:
            self.on_endpoint_down(endpoint)

    def on_endpoint_down(self, endpoint: str) -> None:
        """Suspect the requests that were lost on an endpoint that has crashed."""
        crashes = on_endpoint_down(self.crashes, monotonic_ms(), endpoint)
        for crash in crashes:
            log_suspected(endpoint, crash)
        if crashes:
            self.report_crashes(crashes)

    def _on_timer(self, in_flight: InFlight, now_ms: float) -> None:
        in_flight.timer = 0
        in_flight.check_at_ms = float('inf')
        state = in_flight.state
        if state.done:
            return
        if isinstance(state, GatherState):
            actions = gather.on_gather_timer(self.state, now_ms, state)
        else:
            actions = forward.on_forward_timer(self.state, now_ms, state)
        self._apply_actions(now_ms, in_flight, actions)
        self._schedule_check(now_ms, in_flight)

    def _schedule_check(self, now_ms: float, in_flight: InFlight) -> None:
        state = in_flight.state
        if state.done:
            return
        if isinstance(state, GatherState):
            due_ms = gather.next_check_ms(now_ms, state)
        else:
            due_ms = forward.next_check_ms(state)
        if due_ms >= in_flight.check_at_ms:
            return
        if in_flight.timer:
            self.timers.cancel(in_flight.timer)
        in_flight.check_at_ms = due_ms
        in_flight.timer = self.timers.at(due_ms, lambda ms: self._on_timer(in_flight, ms))

    def _cancel(self, in_flight: InFlight) -> None:
        if in_flight.respond is None:
            return
        in_flight.respond = None
        state = in_flight.state
        log_caller_left(in_flight)
        if isinstance(state, GatherState):
            actions = gather.cancel_gather(state)
        else:
            actions = forward.cancel_forward(state)
        self._apply_actions(monotonic_ms(), in_flight, actions)
        self.relays.withdraw(in_flight, 0.0)
        self.passed.withdraw(in_flight)
        self._finish(in_flight)

    def _apply_actions(
        self, now_ms: float, in_flight: InFlight, actions: list[RoutedAction]
    ) -> None:
        if self.state.wanted_permits:
            self.permits.request_wanted(now_ms)
        for action in actions:
            match action:
                case SendAttempt():
                    self._send(in_flight, action)
                case DelegateGroup():
                    self._delegate(now_ms, in_flight, action)
                case PassOn():
                    if not self.passed.pass_on(in_flight, action.receiver, in_flight.single):
                        self._on_declined(in_flight)
                case AbandonAttempt():
                    self._abandon(now_ms, action)
                case LogDecision():
                    log_decision(in_flight, action)
                case _:
                    self._answer(now_ms, in_flight, action)

    def _delegate(self, now_ms: float, in_flight: InFlight, action: DelegateGroup) -> None:
        if not self.relays.delegate(in_flight, action):
            self._on_group_refused(in_flight, list(action.services), action.helper.instance)

    def _send(self, in_flight: InFlight, action: SendAttempt) -> None:
        attempt = action.attempt
        self.in_flight_by_attempt[attempt.attempt_id] = in_flight
        endpoint = attempt.load.record.endpoint
        if in_flight.group is not None:
            shard = in_flight.query.shard_by_service[attempt.service]
            if shard.may_have_run_count > 1:
                self.relays.report_extra_attempt(in_flight.group, attempt.service)
        data = self.wire.encode_attempt(in_flight.routed, endpoint, action.time_left_ms)
        self.pool.send(attempt, data)

    def _abandon(self, now_ms: float, action: AbandonAttempt) -> None:
        if action.after_ms > 0:
            later = AbandonAttempt(action.attempt, 0.0)
            self.timers.at(now_ms + action.after_ms, lambda ms: self._abandon(ms, later))
            return
        attempt = action.attempt
        if self.pool.abandon(attempt):
            self.in_flight_by_attempt.pop(attempt.attempt_id, None)
            record_withdrawn_attempt(self.state, now_ms, attempt)

    def _answer(
        self, now_ms: float, in_flight: InFlight, action: Deliver | DeliverMerged | Refuse
    ) -> None:
        if in_flight.group is not None:
            log_group_ended(in_flight, now_ms - in_flight.arrived_ms)
            self.relays.finish(in_flight.group, in_flight.query)
            self._finish(in_flight)
            return
        if in_flight.passed is not None:
            assert not isinstance(action, DeliverMerged)
            log_passed_ended(in_flight, now_ms - in_flight.arrived_ms)
            self.passed.finish(in_flight.passed, action)
            self._finish(in_flight)
            return
        code = ResultCode.COMPLETE
        match action:
            case Deliver():
                response = self.wire.encode_reply(action.reply)
            case DeliverMerged():
                response = self.wire.encode_merged(self._merge(in_flight, action))
                if action.missing:
                    code = ResultCode.PARTIAL
            case Refuse():
                response = self.wire.encode_refusal(action)
                code = action.code
        respond, in_flight.respond = in_flight.respond, None
        if respond is not None:
            respond(response)
        elapsed_ms = now_ms - in_flight.arrived_ms
        refusal = action if isinstance(action, Refuse) else None
        log_answered(in_flight, response.status, code, elapsed_ms, refusal)
        self.metrics.count_request(code, elapsed_ms)
        self.relays.withdraw(in_flight, ABANDON_DELAY_MS if refusal is None else 0.0)
        self.passed.withdraw(in_flight)
        self._finish(in_flight)

    def _merge(self, in_flight: InFlight, action: DeliverMerged) -> MergedReply:
        gather_rule = in_flight.state.route.gather
        assert gather_rule is not None
        replies: tuple[Any, ...] = action.replies
        body = greatest_records((reply.response.body for reply in replies), gather_rule.top_count)
        receipts = tuple(reply.receipt for reply in replies)
        return MergedReply(receipts, len(action.missing), body)

    def _finish(self, in_flight: InFlight) -> None:
        self.requests.pop(in_flight.number, None)
        if in_flight.timer:
            self.timers.cancel(in_flight.timer)
            in_flight.timer = 0

    def _decode(self, attempt: Attempt, response: Response) -> AttemptEnd | None:
        in_flight = self.in_flight_by_attempt.get(attempt.attempt_id)
        if in_flight is None:
            return None
        return self.wire.decode_reply(in_flight.routed.request_id, response)


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
    )
