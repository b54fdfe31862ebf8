"""Simulate routed requests on endpoints in virtual time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from pistachioloft_core.messages.fleet import ENDPOINT_READY, AnnouncedEndpoint, ReceivedEndpoint
from pistachioloft_core.messages.routes import (
    Gather,
    Route,
    RouteSet,
    ServiceRule,
    WeightedService,
)
from pistachioloft_core.process.endpoint_table import apply_update
from pistachioloft_core.request import forward, gather
from pistachioloft_core.request.attempts import (
    AbandonAttempt,
    Attempt,
    AttemptEnd,
    AttemptOutcome,
    Deliver,
    DeliverMerged,
    LogDecision,
    Refuse,
    RoutedAction,
    SendAttempt,
    record_attempt_end,
    record_attempt_sent,
    record_withdrawn_attempt,
)
from pistachioloft_core.request.forward import ForwardState
from pistachioloft_core.request.gather_state import GatherState
from pistachioloft_core.request.routed_state import RoutedState, SharedLimits, set_routes
from pistachioloft_core.version.route_table import RouteTable

DOMAIN = 'a'
# The end of an attempt, or a function that returns it at that time.
End = AttemptEnd | Callable[[], AttemptEnd]
Reply = tuple[float, End] | None
# Returns the time until an attempt ends and its end, or None if it never ends.
Behaviour = Callable[[float, Attempt], Reply]
Action = Deliver | DeliverMerged | Refuse
Request = GatherState | ForwardState


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold the action that answered a caller, and its time."""

    action: Action
    at_ms: float


@dataclass
class SimulatedRequest:
    """Hold one simulated request."""

    state: Request
    arrived_ms: float
    answer: Answer | None = None
    decisions: list[LogDecision] = field(default_factory=list)
    # When the one timer of the request is due.
    check_at_ms: float = float('inf')


def answered(delay_ms: float, text: str = 'part') -> Behaviour:
    """Answer every attempt after a time."""
    return lambda _now_ms, _attempt: (delay_ms, AttemptEnd(AttemptOutcome.ANSWERED, reply=text))


def refusing(delay_ms: float = 1.0) -> Behaviour:
    """Refuse every attempt as not run."""
    return lambda _now_ms, _attempt: (delay_ms, AttemptEnd(AttemptOutcome.NOT_RUN, 'full'))


def losing(delay_ms: float = 1.0) -> Behaviour:
    """Lose the reply of every attempt."""
    return lambda _now_ms, _attempt: (delay_ms, AttemptEnd(AttemptOutcome.LOST, 'reset'))


def silent(_now_ms: float, _attempt: Attempt) -> Reply:
    """Never answer."""
    return None


class Simulation:
    """Hold the virtual time, the endpoints and the requests."""

    def __init__(
        self,
        shard_count: int = 4,
        replica_count: int = 2,
        coverage_floor: float = 0.75,
        attempt_limit: int = 2,
        allowance_count: float = 1_000.0,
    ) -> None:
        self.now_ms = 0.0
        self.random = random.Random(7)
        self.state = RoutedState(
            'entry', DOMAIN, SharedLimits(0.2, allowance_count), random.Random(11)
        )
        self.behaviours: dict[str, Behaviour] = {}
        self.sent: list[Attempt] = []
        self.sends: list[SendAttempt] = []
        self.withdrawn: list[Attempt] = []
        self.simulated: list[SimulatedRequest] = []
        self.simulated_by_attempt_id: dict[str, SimulatedRequest] = {}
        self.open_attempts: dict[str, Attempt] = {}
        self.timer_count = 0
        # Returns how late the next timer fires, as in a busy process.
        self.timer_delay_ms: Callable[[], float] = lambda: 0.0
        self._numbers = itertools.count(1)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        shards = tuple(f's{number}' for number in range(shard_count))
        self.gather_route = Route(
            'all',
            'h',
            '/all/',
            True,
            1_000.0,
            100.0,
            1,
            attempt_limit,
            (),
            Gather(shards, 5, coverage_floor),
        )
        self.single_route = Route(
            'one', 'h', '/one/', True, 4_000.0, 400.0, 2, attempt_limit, (WeightedService('s0'),)
        )
        self.run_once_route = Route(
            'unsafe', 'h', '/unsafe/', False, 4_000.0, 400.0, 2, 2, self.single_route.services
        )
        rules = tuple(ServiceRule(shard, '/health', 20) for shard in shards)
        set_routes(
            self.state,
            RouteTable(RouteSet(1, (self.gather_route, self.single_route), rules)),
        )
        for shard in shards:
            for replica in range(replica_count):
                self.add_endpoint(shard, replica)

    def add_endpoint(self, service: str, replica: int, domain: str = DOMAIN) -> str:
        """Announce an endpoint that answers in 10 ms."""
        name = f'{service}-{replica}'
        number = len(self.behaviours) + 1
        record = AnnouncedEndpoint(
            name, service, f'10.0.0.{number}:80', domain, 2, ENDPOINT_READY, 1, 1
        )
        apply_update(self.state.table, self.now_ms, (ReceivedEndpoint(record, 0.0),), True)
        self.behaviours[name] = answered(10.0)
        return name

    def at(self, at_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a callback."""
        heapq.heappush(self._events, (at_ms, next(self._numbers), callback))

    def next_event_ms(self) -> float:
        """Return when the next callback is due."""
        return self._events[0][0] if self._events else float('inf')

    def run(self, until_ms: float) -> None:
        """Advance the time and run the callbacks that are due."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, callback = heapq.heappop(self._events)
            callback()
        self.now_ms = until_ms

    def query(
        self,
        answer_after_ms: float = 95.0,
        limit_ms: float = 1_000.0,
        past_target: bool = False,
        route: Route | None = None,
        organisation: str = '',
    ) -> SimulatedRequest:
        """Start a query of all shards."""
        now_ms = self.now_ms
        number = next(self._numbers)
        route = route or self.gather_route
        state = GatherState(f'q{number}', route, now_ms + answer_after_ms, now_ms + limit_ms)
        state.past_target = past_target
        state.organisation = organisation
        simulated = SimulatedRequest(state, now_ms)
        self.simulated.append(simulated)
        self._execute(simulated, gather.start_gather(self.state, now_ms, state))
        self._schedule_check(simulated)
        return simulated

    def request(
        self, idempotent: bool = True, limit_ms: float = 4_000.0, suspected: bool = False
    ) -> SimulatedRequest:
        """Start a request that is forwarded to one endpoint."""
        route = self.single_route if idempotent else self.run_once_route
        name = f'r{next(self._numbers)}'
        state = ForwardState(name, route, 's0', self.now_ms + limit_ms, suspected)
        simulated = SimulatedRequest(state, self.now_ms)
        self.simulated.append(simulated)
        self._execute(simulated, forward.start_forward(self.state, self.now_ms, state))
        self._schedule_check(simulated)
        return simulated

    def cancel(self, simulated: SimulatedRequest) -> None:
        """Cancel a request because its caller left."""
        if isinstance(simulated.state, GatherState):
            actions = gather.cancel_gather(simulated.state)
        else:
            actions = forward.cancel_forward(simulated.state)
        self._execute(simulated, actions)

    def sent_count_to(self, endpoint: str) -> int:
        """Return how many attempts were sent to an endpoint."""
        return sum(attempt.load.record.endpoint == endpoint for attempt in self.sent)

    def _schedule_check(self, simulated: SimulatedRequest) -> None:
        state = simulated.state
        if state.done:
            return
        if isinstance(state, GatherState):
            due_ms = gather.next_check_ms(self.now_ms, state)
        else:
            due_ms = forward.next_check_ms(state)
        if due_ms < simulated.check_at_ms:
            simulated.check_at_ms = due_ms
            fires_at_ms = due_ms + self.timer_delay_ms()
            self.at(fires_at_ms, lambda: self._on_timer(simulated, due_ms))

    def _on_timer(self, simulated: SimulatedRequest, due_ms: float) -> None:
        if due_ms != simulated.check_at_ms:
            # An earlier timer replaced this one.
            return
        simulated.check_at_ms = float('inf')
        self.timer_count += 1
        assert self.timer_count < 100_000, 'a request is checked without end'
        state = simulated.state
        if state.done:
            return
        if isinstance(state, GatherState):
            actions = gather.on_gather_timer(self.state, self.now_ms, state)
        else:
            actions = forward.on_forward_timer(self.state, self.now_ms, state)
        self._execute(simulated, actions)
        self._schedule_check(simulated)

    def _execute(self, simulated: SimulatedRequest, actions: list[RoutedAction]) -> None:
        for action in actions:
            match action:
                case SendAttempt():
                    self.sends.append(action)
                    self._send(simulated, action.attempt)
                case AbandonAttempt():
                    self.at(
                        self.now_ms + action.after_ms, lambda a=action.attempt: self._abandon(a)
                    )
                case LogDecision():
                    simulated.decisions.append(action)
                case _:
                    assert simulated.answer is None, 'a caller gets one answer'
                    simulated.answer = Answer(action, self.now_ms)

    def _send(self, simulated: SimulatedRequest, attempt: Attempt) -> None:
        self.sent.append(attempt)
        record_attempt_sent(attempt, self.now_ms)
        self.simulated_by_attempt_id[attempt.attempt_id] = simulated
        self.open_attempts[attempt.attempt_id] = attempt
        reply = self.behaviours[attempt.load.record.endpoint](self.now_ms, attempt)
        if reply is not None:
            delay_ms, end = reply
            self.at(self.now_ms + delay_ms, lambda: self._end(attempt, end))

    def _end(self, attempt: Attempt, end: End) -> None:
        if self.open_attempts.pop(attempt.attempt_id, None) is None:
            return
        if callable(end):
            end = end()
        record_attempt_end(self.state, self.now_ms, attempt, end)
        simulated = self.simulated_by_attempt_id[attempt.attempt_id]
        if isinstance(simulated.state, GatherState):
            actions = gather.on_attempt_end(self.state, self.now_ms, simulated.state, attempt, end)
        else:
            actions = forward.on_attempt_end(self.state, self.now_ms, simulated.state, attempt, end)
        self._execute(simulated, actions)
        if any(isinstance(action, SendAttempt) for action in actions):
            self._schedule_check(simulated)

    def _abandon(self, attempt: Attempt) -> None:
        if self.open_attempts.pop(attempt.attempt_id, None) is not None:
            self.withdrawn.append(attempt)
            record_withdrawn_attempt(self.state, self.now_ms, attempt)
