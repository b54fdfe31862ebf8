"""Guard against requests to endpoints that have said they want none, in any order of messages."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.connection.statements import (
    EndpointStatements,
    Statement,
    record_statement,
)
from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.fleet import (
    ENDPOINT_DRAINING,
    ENDPOINT_LAPSED,
    ENDPOINT_LEFT,
    ENDPOINT_READY,
    AnnouncedEndpoint,
    ReceivedEndpoint,
)
from pistachioloft_core.process.endpoint_table import apply_update, remove_missing_endpoints
from pistachioloft_core.request import forward, gather
from pistachioloft_core.request.attempts import (
    Attempt,
    AttemptEnd,
    AttemptOutcome,
    DeliverMerged,
    Refuse,
    begin_attempt,
    record_attempt_end,
)
from pistachioloft_core.request.forward import ForwardState
from pistachioloft_core.request.placement import choose_endpoint
from tests.test_gather.routed_simulation import Behaviour, Simulation, answered

NAMES = ('s0-0', 's0-1')
REST_MS = 3_000.0


def asking_for_rest(delay_ms: float = 1.0, rest_ms: float = REST_MS) -> Behaviour:
    """Refuse every attempt and ask for a rest."""
    statement = Statement(rest_ms=rest_ms)
    end = AttemptEnd(AttemptOutcome.NOT_RUN, 'busy', statement=statement)
    return lambda _now_ms, _attempt: (delay_ms, end)


class Endpoints:
    """Hold two endpoints of one service, what each run of them said, and the time."""

    def __init__(self) -> None:
        self.simulation = Simulation(shard_count=1)
        self.state = self.simulation.state
        self.now_ms = 0.0
        self.sequence = 1
        self.born_ms = dict.fromkeys(NAMES, 1)
        self.left: set[tuple[str, int]] = set()
        self.rest_until_ms: dict[tuple[str, int], float] = {}

    def announce(self, name: str, state: str, restarted: bool, moved: bool, full: bool) -> None:
        self.sequence += 1
        self.born_ms[name] += restarted
        address = f'10.0.{int(moved)}.{NAMES.index(name)}:80'
        record = AnnouncedEndpoint(
            name, 's0', address, 'a', 2, state, self.sequence, self.born_ms[name]
        )
        received = (ReceivedEndpoint(record, 0.0),)
        apply_update(self.state.table, self.now_ms, received, True)
        if full:
            remove_missing_endpoints(self.state.table, received)

    def reply(self, name: str, statement: Statement, outcome: AttemptOutcome) -> None:
        load = self.state.table.endpoints.get(name)
        if load is None:
            return
        run = (name, load.record.born_ms)
        route = self.simulation.single_route
        attempt = begin_attempt(self.state, self.now_ms, 'a', route, 's0', load)
        end = AttemptEnd(outcome, statement=statement)
        record_attempt_end(self.state, self.now_ms, attempt, end)
        if statement.is_leaving:
            self.left.add(run)
        if statement.rest_ms is not None:
            until_ms = self.now_ms + statement.rest_ms
            self.rest_until_ms[run] = max(self.rest_until_ms.get(run, 0.0), until_ms)

    def check(self) -> None:
        route = self.simulation.single_route
        load = choose_endpoint(self.state, self.now_ms, route, 's0')
        if load is not None:
            run = (load.record.endpoint, load.record.born_ms)
            assert run not in self.left
            assert self.now_ms >= self.rest_until_ms.get(run, 0.0)


NAME = st.sampled_from(NAMES)
STATES = (ENDPOINT_READY, ENDPOINT_READY, ENDPOINT_DRAINING, ENDPOINT_LEFT, ENDPOINT_LAPSED)
ANNOUNCEMENT = st.tuples(
    st.just('announce'), NAME, st.sampled_from(STATES), st.booleans(), st.booleans(), st.booleans()
)
STATEMENT = st.builds(
    Statement,
    st.sampled_from([None, float('inf'), 5.0]),
    st.sampled_from([None, 100.0, REST_MS, 3_600_000.0]),
    st.booleans(),
)
OUTCOME = st.sampled_from([AttemptOutcome.ANSWERED, AttemptOutcome.FAILED, AttemptOutcome.NOT_RUN])
REPLY = st.tuples(st.just('reply'), NAME, STATEMENT, OUTCOME)
WAIT = st.tuples(st.just('wait'), st.floats(1.0, 4_000.0))


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.one_of(ANNOUNCEMENT, REPLY, WAIT), max_size=30))
def test_no_message_makes_an_endpoint_usable_that_wants_no_requests(
    steps: list[tuple[Any, ...]],
) -> None:
    """Guard against announcements, feeds and replies that undo what a run has said."""
    endpoints = Endpoints()
    for kind, *arguments in steps:
        if kind == 'wait':
            endpoints.now_ms += arguments[0]
        else:
            getattr(endpoints, kind)(*arguments)
        endpoints.check()


def test_restarted_endpoint_has_said_nothing() -> None:
    """Guard against a successor that gets no requests for what its predecessor said."""
    endpoints = Endpoints()
    leaving = Statement(rest_ms=3_600_000.0, is_leaving=True)
    endpoints.reply('s0-0', leaving, AttemptOutcome.NOT_RUN)
    endpoints.announce('s0-0', ENDPOINT_READY, True, False, True)
    load = choose_endpoint(endpoints.state, 1.0, endpoints.simulation.single_route, 's0')
    assert load is not None
    assert (load.record.endpoint, load.record.born_ms) == ('s0-0', 2)


def test_later_of_two_rests_counts() -> None:
    """Guard against a longer rest that ends by a shorter one in reply to an earlier request."""
    statements = EndpointStatements()
    for now_ms, rest_ms in ((0.0, 3_000.0), (100.0, 500.0)):
        record_statement(statements, now_ms, 0.0, Statement(rest_ms=rest_ms))
    assert statements.is_resting(2_999.0)
    assert not statements.is_resting(3_000.0)


def test_query_answers_at_once_without_a_shard_that_rests() -> None:
    """Guard against a query that waits until it is due for endpoints that want no requests."""
    simulation = Simulation(shard_count=8)
    for replica in range(2):
        simulation.behaviours[f's0-{replica}'] = asking_for_rest()
    simulation.query()
    simulation.run(1_000.0)
    simulated = simulation.query()
    simulation.run(1_050.0)
    assert simulated.answer is not None
    assert isinstance(simulated.answer.action, DeliverMerged)
    assert simulated.answer.action.missing == ('s0',)
    assert simulated.answer.at_ms - simulated.arrived_ms < 20.0


def test_query_below_its_floor_is_refused_until_enough_shards_have_rested() -> None:
    """Guard against callers who come back before their query can be answered."""
    simulation = Simulation(shard_count=4)
    for shard, rest_ms in (('s0', 1_000.0), ('s1', 2_000.0), ('s2', 3_000.0)):
        for replica in range(2):
            simulation.behaviours[f'{shard}-{replica}'] = asking_for_rest(rest_ms=rest_ms)
    simulation.query()
    simulation.run(100.0)
    simulated = simulation.query()
    assert simulated.answer is not None
    refusal = simulated.answer.action
    assert isinstance(refusal, Refuse)
    assert refusal.code is ResultCode.NO_ENDPOINT
    # Three of four shards are needed, so the second of the rests decides.
    assert refusal.retry_after_ms is not None
    assert 1_850.0 <= refusal.retry_after_ms <= 2_700.0


@pytest.mark.parametrize('idempotent', [True, False])
def test_single_request_is_refused_at_once_until_a_replica_has_rested(idempotent: bool) -> None:
    """Guard against a promise to be served in 0.1 s while all replicas rest for seconds."""
    simulation = Simulation(shard_count=1)
    for replica in range(2):
        simulation.behaviours[f's0-{replica}'] = asking_for_rest()
    first = simulation.request(idempotent)
    simulation.run(100.0)
    second = simulation.request(idempotent)
    for simulated in (first, second):
        assert simulated.answer is not None
        refusal = simulated.answer.action
        assert isinstance(refusal, Refuse)
        assert refusal.retry_after_ms is not None
        assert refusal.retry_after_ms >= 2_800.0


def test_traffic_returns_with_one_attempt_after_a_rest() -> None:
    """Guard against all requests that return in the moment in which a rest ends."""
    simulation = Simulation(shard_count=1, replica_count=1)
    simulation.behaviours['s0-0'] = asking_for_rest()
    simulation.request()
    simulation.run(3_400.0)
    simulation.behaviours['s0-0'] = answered(10.0)
    simulation.sent.clear()
    first, second = simulation.request(), simulation.request()
    assert simulation.sent_count_to('s0-0') == 1
    simulation.run(3_500.0)
    assert first.answer is not None
    assert second.answer is not None
    third, fourth = simulation.request(), simulation.request()
    assert simulation.sent_count_to('s0-0') == 3
    assert third.answer is fourth.answer is None


class Fleet:
    """Simulate instances that share an endpoint which states limits, rests and that it leaves."""

    def __init__(self, instance_count: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.instances = [Simulation(shard_count=2) for _ in range(instance_count)]
        # By instance: when the last rest that was asked for began, and its end.
        self.rests: dict[int, tuple[float, float]] = {}
        self.left_ms: dict[int, float] = {}
        self.violations: list[str] = []
        for number, simulation in enumerate(self.instances):
            simulation.behaviours['s0-0'] = self.behaviour(number)

    def behaviour(self, number: int) -> Behaviour:
        def reply(now_ms: float, _attempt: Attempt) -> tuple[float, AttemptEnd]:
            # The bound of the users: half a second for what was on its way.
            if now_ms - 500.0 > self.left_ms.get(number, float('inf')):
                self.violations.append(f'{number} after leaving at {now_ms:.0f}')
            rested_since_ms, until_ms = self.rests.get(number, (float('inf'), 0.0))
            if rested_since_ms + 500.0 < now_ms < until_ms:
                self.violations.append(f'{number} during a rest at {now_ms:.0f}')
            statement = Statement(
                5.0 if self.random.random() < 0.3 else float('inf'),
                REST_MS if self.random.random() < 0.2 else None,
                self.random.random() < 0.02,
            )
            outcome = AttemptOutcome.ANSWERED
            if statement.rest_ms is not None:
                outcome = AttemptOutcome.NOT_RUN
                self.rests[number] = (now_ms + 5.0, now_ms + 5.0 + REST_MS)
            if statement.is_leaving:
                self.left_ms.setdefault(number, now_ms + 5.0)
            return 5.0, AttemptEnd(outcome, reply='part', statement=statement)

        return reply


@pytest.mark.parametrize('seed', range(5))
def test_thirty_instances_keep_what_an_endpoint_states_together(seed: int) -> None:
    """Guard against statements that undo each other when one endpoint makes all of them."""
    fleet = Fleet(30, seed)
    for simulation in fleet.instances:
        now_ms = fleet.random.uniform(0.0, 100.0)
        while now_ms < 20_000.0:
            simulation.run(now_ms)
            if fleet.random.random() < 0.5:
                simulation.query()
            else:
                simulation.request()
            now_ms += fleet.random.expovariate(1 / 100.0)
    assert fleet.violations == []
    answered_count = sum(
        isinstance(simulated.answer.action, Refuse) is False
        for simulation in fleet.instances
        for simulated in simulation.simulated
        if simulated.answer is not None
    )
    assert answered_count >= 0.99 * sum(len(each.simulated) for each in fleet.instances) - 60


def test_request_for_a_leaving_service_is_refused_as_not_run() -> None:
    """Guard against a request that is sent to the last replica after this has left."""
    simulation = Simulation(shard_count=1, replica_count=1)
    leaving = AttemptEnd(AttemptOutcome.ANSWERED, reply='x', statement=Statement(is_leaving=True))
    simulation.behaviours['s0-0'] = lambda _now_ms, _attempt: (5.0, leaving)
    simulation.request()
    simulation.run(10.0)
    state = ForwardState('r', simulation.single_route, 's0', 1_000.0)
    (refusal,) = forward.start_forward(simulation.state, 10.0, state)
    assert isinstance(refusal, Refuse)
    assert refusal.code is ResultCode.NO_ENDPOINT
    query = simulation.query()
    assert query.answer is not None
    assert isinstance(query.answer.action, Refuse)
    assert gather.describe_missing(query.state, 8) == 's0()'  # type: ignore[arg-type]
