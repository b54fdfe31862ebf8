"""Execute callers' routed requests on one entry instance."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from pistachioloft_core.errors import ResultCode
from pistachioloft_core.process.crash_watch import (
    classify_request,
    forget_lost_requests,
)
from pistachioloft_core.process.suspects import FORGET_AFTER_MS, SuspicionLevel, expire_suspects
from pistachioloft_core.request import forward, gather
from pistachioloft_core.request.attempts import (
    AbandonAttempt,
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
from pistachioloft_core.request.gather_state import GatherState
from pistachioloft_core.request.identification import identify_caller, request_priority
from pistachioloft_core.request.records import greatest_records
from pistachioloft_core.request.routed_state import endpoint_connection_limit
from pistachioloft_core.request.shard_attempts import ABANDON_DELAY_MS
from pistachioloft_core.request.split import SplitState
from pistachioloft_core.request.stopping import needed_time_ms

from .allotments import Allotments
from .crash_reports import CrashReports
from .endpoint_pool import EndpointPool, OutgoingAttempt, PoolHooks
from .http1.messages import JOINED_LIMIT_BYTES
from .http1.receive_budget import message_cost_bytes
from .in_flight import InFlight
from .loop_timers import monotonic_ms
from .peer_work import PeerWork
from .permits import Permits
from .reach import ReachMonitor
from .request_log import (
    log_answered,
    log_caller_left,
    log_decision,
    log_group_ended,
    log_overload_changes,
    log_passed_ended,
    log_placed,
    log_refused,
    log_statements,
)
from .request_states import make_state
from .routed_messages import AcceptedRequest, MergedReply, RoutedRequest, UnreadableRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioloft_core.messages.routes import Organisation, Route
    from pistachioloft_core.request.attempts import Attempt, AttemptEnd, RoutedAction
    from pistachioloft_core.request.routed_state import RoutedState
    from pistachioloft_core.version.route_table import RouteTable

    from .http1.messages import Request, Response
    from .http1.receive_budget import ReceiveBudget
    from .http1.server import Cancel, Respond
    from .loop_timers import LoopTimers
    from .metrics import Metrics
    from .peer_work import PeerHooks
    from .wire import WireFormat

# An instance has its first confirmed configuration about this long after its start.
NO_ROUTES_RETRY_MS = 500.0
STOPPING_RETRY_MS = 10.0
IN_FLIGHT_LIMIT_COUNT = 1_000


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
        self.budget = budget
        self.timers = timers
        self.wire = wire
        self.metrics = metrics
        self.reach = ReachMonitor(state, lambda record: self.pool.probe(record))
        self.crashes = CrashReports(
            timers, state.reach, lambda record: self.pool.preconnect(record)
        )
        self.pool = EndpointPool(
            PoolHooks(
                self._decode,
                self._on_end,
                lambda record: endpoint_connection_limit(state, record.service),
                self.crashes.on_connection_refused,
                self.reach.on_connected,
                self.reach.on_connect_failed,
                metrics.bytes.add_attempt,
            ),
            budget,
        )
        self.helpers = HelperTable()
        self.flush_peers = peers.flush
        peer_work = PeerWork(self, state, timers, metrics, peers)
        self.peer_work, self.relays, self.passed = peer_work, peer_work.relays, peer_work.passed
        self.reach.changed = self._on_reach_changed
        self.permits = Permits(state, peers.send, peers.reconnect)
        self.allotments = Allotments(
            state, timers, metrics, peers.send, peers.reconnect, lambda: self.view_age_ms()
        )
        self.splits = SplitState()
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
        # Returns the age of the last confirmation that named all entry instances.
        self.view_age_ms: Callable[[], float] = lambda: 0.0
        # Called when this instance is cut off from all endpoints, and when it is not any more.
        self.on_reach_changed: Callable[[], None] = lambda: None

    def handle(self, request: Request, respond: Respond) -> Cancel | None:
        """Answer a caller's request, immediately or through a later call of `respond`."""
        now_ms = monotonic_ms()
        routed = self.wire.decode_request(request)
        if isinstance(routed, UnreadableRequest):
            refusal = Refuse(ResultCode.MALFORMED, routed.detail)
            self._refuse_at_once('', '', refusal, respond)
            return None
        accepted = self._accept(now_ms, routed)
        if isinstance(accepted, Refuse):
            self._refuse_at_once(routed.request_id, routed.path, accepted, respond)
            return None
        organisation = accepted.organisation
        if organisation is None or organisation.rate_per_s <= 0:
            return self._begin(now_ms, accepted, respond)
        return self._begin_with_permit(now_ms, accepted, organisation, respond)

    def _begin_with_permit(
        self,
        arrived_ms: float,
        accepted: AcceptedRequest,
        organisation: Organisation,
        respond: Respond,
    ) -> Cancel | None:
        """Begin a request once its organisation has a permit for it, or refuse it."""
        routed = accepted.routed
        reserved_bytes = message_cost_bytes(routed.head, routed.body)
        # There was room in this turn of the event loop.
        if reserved_bytes and not self.budget.reserve(reserved_bytes):
            reserved_bytes = 0

        def release() -> None:
            nonlocal reserved_bytes
            self.budget.free(reserved_bytes)
            reserved_bytes = 0

        def refuse(refusal: Refuse) -> None:
            release()
            name = organisation.name
            self._refuse_at_once(routed.request_id, routed.path, refusal, respond, name)

        def begin() -> Cancel | None:
            release()
            usable = self.usable_routes(routed.head, routed.body)
            if isinstance(usable, Refuse):
                refuse(usable)
                return None
            return self._begin(arrived_ms, accepted, respond)

        cancel = self.allotments.admit(arrived_ms, organisation, accepted, begin, refuse)

        def leave() -> None:
            release()
            if cancel is not None:
                cancel()

        return leave

    def _begin(self, arrived_ms: float, accepted: AcceptedRequest, respond: Respond) -> Cancel:
        in_flight = self._start(arrived_ms, accepted, respond)
        return lambda: self._cancel(in_flight)

    def forget_expired(self, now_ms: float) -> None:
        """Forget lost requests, suspects and queue waits that have expired."""
        self.state.queue_waits.forget_old_samples(now_ms)
        self.permits.forget_expired(now_ms)
        self.allotments.forget_expired(now_ms)
        loads = self.state.table.endpoints.values()
        self.state.limited_endpoints = {
            load.record.endpoint for load in loads if load.limit.is_limited
        }
        forget_lost_requests(self.crashes.watch, now_ms)
        expire_suspects(self.crashes.watch.suspects, now_ms)

    def in_flight_count(self) -> int:
        """Count the unanswered requests, including groups of other instances."""
        return sum(in_flight.is_unanswered for in_flight in self.requests.values())

    def next_number(self) -> int:
        """Return the number of a new request."""
        self.number += 1
        return self.number

    def add(self, in_flight: InFlight) -> None:
        """Add a request until it has its outcome."""
        cost_bytes = message_cost_bytes(in_flight.routed.head, in_flight.routed.body)
        # `usable_routes` was asked in this turn of the event loop.
        if cost_bytes and self.budget.reserve(cost_bytes):
            in_flight.reserved_bytes = cost_bytes
        self.requests[in_flight.number] = in_flight

    def usable_routes(self, head: bytes = b'', body: bytes = b'') -> Refuse | RouteTable:
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
        if not self.budget.has_room(message_cost_bytes(head, body)):
            detail = 'the messages of the requests in flight take too much memory'
            return Refuse(ResultCode.TOO_MANY_CONNECTIONS, detail, NO_ROUTES_RETRY_MS)
        return routes

    def end_all(self) -> None:
        """Answer everything that is in flight, because this instance ends."""
        self.allotments.refuse_all(
            Refuse(ResultCode.STOPPING, 'this instance ends', STOPPING_RETRY_MS)
        )
        now_ms = monotonic_ms()
        for in_flight in list(self.requests.values()):
            state = in_flight.state
            if isinstance(state, GatherState):
                actions = gather.end_early(now_ms, state)
            else:
                actions = forward.end_early(state)
            self.apply_actions(now_ms, in_flight, actions)

    def ends_too_early(self, now_ms: float, route: Route) -> bool:
        """Return whether this instance probably ends before a new request would."""
        if self.ends_at_ms == float('inf'):
            return False
        return now_ms + needed_time_ms(self.state, route) > self.ends_at_ms

    def _accept(self, now_ms: float, routed: RoutedRequest) -> Refuse | AcceptedRequest:
        """Find the route and the organisation of a request, or the reason to refuse it."""
        routes = self.usable_routes(routed.head, routed.body)
        if isinstance(routes, Refuse):
            return routes
        route = routes.find(routed.host, routed.path)
        if route is None:
            return Refuse(ResultCode.UNKNOWN_PATH, f'version {routes.version} has no such route')
        organisation = identify_caller(routes, route, routed.key)
        if isinstance(organisation, Refuse):
            return organisation
        if routes.organisations:
            name = organisation.name if organisation is not None else ''
            routed = self.wire.encode_organisation(routed, name)
        else:
            routed = self.wire.encode_anonymous(routed)
        if self.ends_too_early(now_ms, route):
            detail = 'this instance stops before the request would end'
            return Refuse(ResultCode.STOPPING, detail, STOPPING_RETRY_MS)
        level = classify_request(self.crashes.watch, now_ms, routed.digest)
        if level is SuspicionLevel.CONDEMNED:
            detail = f'content {routed.digest} was in flight when endpoints crashed'
            return Refuse(ResultCode.CONDEMNED, detail, FORGET_AFTER_MS)
        return AcceptedRequest(routed, route, request_priority(route, organisation), organisation)

    def _refuse_at_once(
        self,
        request_id: str,
        path: str,
        refusal: Refuse,
        respond: Respond,
        organisation: str = '',
    ) -> None:
        log_refused(request_id, path, refusal, organisation)
        self.metrics.count_request(refusal.code, 0.0)
        respond(self.wire.encode_refusal(refusal))

    def _start(self, arrived_ms: float, accepted: AcceptedRequest, respond: Respond) -> InFlight:
        now_ms = monotonic_ms()
        number, routed = self.next_number(), accepted.routed
        level = classify_request(self.crashes.watch, now_ms, routed.digest)
        suspected = level is not SuspicionLevel.CLEAR
        state, transit = make_state(
            self.state, self.splits, str(number), arrived_ms, accepted, suspected
        )
        version = self.state.routes.version if self.state.routes is not None else 0
        in_flight = InFlight(number, routed, state, respond, arrived_ms, version, transit.total_ms)
        # A request whose plan fails is not added: nothing would ever end it.
        if isinstance(state, GatherState):
            actions = gather.start_gather(self.state, now_ms, state, self.helpers)
            due_ms = state.answer_at_ms
        else:
            actions = forward.start_forward(self.state, now_ms, state, self.helpers)
            due_ms = state.deadline_at_ms
        self.add(in_flight)
        plan_ms = monotonic_ms() - now_ms
        self.metrics.plan_time.add(plan_ms)
        log_placed(now_ms, in_flight, due_ms, self.feed_age_ms(), plan_ms, actions)
        log_overload_changes(self.state)
        self.apply_actions(now_ms, in_flight, actions)
        self.schedule_check(now_ms, in_flight)
        return in_flight

    def _on_reach_changed(self, cut_off: bool) -> None:
        """Give up what waits for endpoints that are not reached, or use all endpoints again."""
        self.on_reach_changed()
        if not cut_off:
            for load in self.state.table.endpoints.values():
                load.breaker.reset()
            return
        self.crashes.on_cut_off()
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
            self.apply_actions(now_ms, in_flight, actions)

    def _on_end(self, attempt: Attempt, end: AttemptEnd) -> None:
        now_ms = monotonic_ms()
        self.metrics.count_attempt(now_ms, attempt, end)
        record_attempt_end(self.state, now_ms, attempt, end)
        self._apply_statements(now_ms)
        in_flight = self.in_flight_by_attempt.pop(attempt.attempt_id, None)
        if in_flight is None:
            return
        self.crashes.on_attempt_end(now_ms, in_flight.routed.digest, attempt, end)
        state = in_flight.state
        if isinstance(state, GatherState):
            actions = gather.on_attempt_end(self.state, now_ms, state, attempt, end)
        else:
            actions = forward.on_attempt_end(self.state, now_ms, state, attempt, end)
        self.apply_actions(now_ms, in_flight, actions)
        if any(isinstance(action, SendAttempt) for action in actions):
            self.schedule_check(now_ms, in_flight)
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
        self.apply_actions(now_ms, in_flight, actions)
        self.schedule_check(now_ms, in_flight)

    def schedule_check(self, now_ms: float, in_flight: InFlight) -> None:
        """Set the timer of a request to its next check."""
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
        self.apply_actions(monotonic_ms(), in_flight, actions)
        self.relays.withdraw(in_flight, 0.0)
        self.passed.withdraw(in_flight)
        self.finish(in_flight)

    def apply_actions(
        self, now_ms: float, in_flight: InFlight, actions: list[RoutedAction]
    ) -> None:
        """Carry out what the core has decided for a request."""
        if self.state.wanted_permits:
            self.permits.request_wanted(now_ms)
        delegated = False
        for action in actions:
            match action:
                case SendAttempt():
                    if delegated:
                        # Helpers begin while this instance sends its own part.
                        delegated = False
                        self.flush_peers()
                    self._send(in_flight, action)
                case DelegateGroup():
                    delegated = True
                    self._delegate(now_ms, in_flight, action)
                case PassOn():
                    if not self.passed.pass_on(in_flight, action.receiver, in_flight.single):
                        self.peer_work.on_declined(in_flight)
                case AbandonAttempt():
                    self._abandon(now_ms, action)
                case LogDecision():
                    log_decision(in_flight, action)
                case _:
                    self._answer(now_ms, in_flight, action)

    def _delegate(self, now_ms: float, in_flight: InFlight, action: DelegateGroup) -> None:
        if not self.relays.delegate(in_flight, action):
            self.peer_work.on_group_refused(
                in_flight, list(action.services), action.helper.instance
            )

    def _send(self, in_flight: InFlight, action: SendAttempt) -> None:
        attempt = action.attempt
        self.in_flight_by_attempt[attempt.attempt_id] = in_flight
        endpoint = attempt.load.record.endpoint
        if in_flight.group is not None:
            shard = in_flight.query.shard_by_service[attempt.service]
            if shard.may_have_run_count > 1:
                self.relays.report_extra_attempt(in_flight.group, attempt.service)
        routed, body = in_flight.routed, b''
        if len(routed.body) > JOINED_LIMIT_BYTES:
            routed, body = replace(routed, body=b''), routed.body
        data = self.wire.encode_attempt(routed, endpoint, action.time_left_ms)
        state = in_flight.state
        self.pool.send(
            OutgoingAttempt(
                attempt, routed.request_id, data, state.priority, state.deadline_at_ms, body
            )
        )

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
        if isinstance(action, Refuse) and action.limit:
            self.metrics.count_refusal(in_flight.state, action.limit)
        if in_flight.group is not None:
            log_group_ended(in_flight, now_ms - in_flight.arrived_ms)
            self.relays.finish(in_flight.group, in_flight.query)
            self.finish(in_flight)
            return
        if in_flight.passed is not None:
            assert not isinstance(action, DeliverMerged)
            log_passed_ended(in_flight, now_ms - in_flight.arrived_ms)
            self.passed.finish(in_flight.passed, action)
            self.finish(in_flight)
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
        late_ms = self._record_answer_delay(in_flight, action)
        log_answered(in_flight, response.status, code, elapsed_ms, late_ms, refusal)
        self.metrics.count_request(code, elapsed_ms)
        self.relays.withdraw(in_flight, ABANDON_DELAY_MS if refusal is None else 0.0)
        self.passed.withdraw(in_flight)
        self.finish(in_flight)

    def _record_answer_delay(self, in_flight: InFlight, action: RoutedAction) -> float:
        """Record and return how much later than due an answer was written."""
        delay_ms = None
        if isinstance(action, DeliverMerged):
            delay_ms = in_flight.query.waited_since_due_ms(monotonic_ms())
        if delay_ms is None:
            return 0.0
        self.metrics.answer_delay.add(delay_ms)
        self.state.answer_delay.record(delay_ms, in_flight.state.route)
        return delay_ms

    def _merge(self, in_flight: InFlight, action: DeliverMerged) -> MergedReply:
        gather_rule = in_flight.state.route.gather
        assert gather_rule is not None
        replies: tuple[Any, ...] = action.replies
        body = greatest_records((reply.response.body for reply in replies), gather_rule.top_count)
        receipts = tuple(reply.receipt for reply in replies)
        return MergedReply(receipts, len(action.missing), body)

    def finish(self, in_flight: InFlight) -> None:
        """Forget a request that has its outcome."""
        self.requests.pop(in_flight.number, None)
        self.budget.free(in_flight.reserved_bytes)
        in_flight.reserved_bytes = 0
        if in_flight.timer:
            self.timers.cancel(in_flight.timer)
            in_flight.timer = 0

    def _decode(self, attempt: Attempt, response: Response) -> AttemptEnd | None:
        in_flight = self.in_flight_by_attempt.get(attempt.attempt_id)
        if in_flight is None:
            return None
        return self.wire.decode_reply(in_flight.routed.request_id, response)
