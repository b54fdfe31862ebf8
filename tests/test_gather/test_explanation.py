"""Tests of explained placements: they name what a real request then uses, and change nothing."""

from __future__ import annotations

import pickle
import random
from dataclasses import replace
from typing import Any

import pytest

from pistachioloft_core.codec import decode_json, encode_json
from pistachioloft_core.connection.statements import Statement, record_statement
from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.fleet import InstanceLocation
from pistachioloft_core.messages.report import PlacementReport
from pistachioloft_core.messages.routes import Organisation, Route, RouteSet, WeightedService
from pistachioloft_core.process.allotments import (
    DEFAULT_ALLOTMENT_BOUNDS,
    InstanceRanks,
    set_instances,
)
from pistachioloft_core.process.budget import (
    BudgetLimits,
    BudgetState,
    extra_room_count,
    record_first_attempts,
    try_take_hedge,
    try_take_retry,
)
from pistachioloft_core.request import forward, gather
from pistachioloft_core.request.allotment_purses import Admission, PurseTable, admit
from pistachioloft_core.request.attempts import (
    Attempt,
    DelegateGroup,
    PassOn,
    Refuse,
    RoutedAction,
    SendAttempt,
    release_attempt,
)
from pistachioloft_core.request.delegation import HelperTable, set_helpers
from pistachioloft_core.request.explanation import (
    FEWER_DOMAINS,
    FIRST,
    NEAR,
    PlacementBasis,
    PlacementQuestion,
    explain_placement,
)
from pistachioloft_core.request.forward import ForwardState
from pistachioloft_core.request.gather_state import GatherState
from pistachioloft_core.request.routed_state import RoutedState, set_routes
from pistachioloft_core.request.split import SplitState, choose_service
from pistachioloft_core.version.route_table import RouteTable
from tests.test_gather.routed_simulation import DOMAIN, Simulation, answered, losing

REMOTE = 'b'
KEY = 'key-of-the-east'


class Asked:
    """Hold a simulated instance of which operators ask where requests would go."""

    def __init__(self, shard_count: int = 4, replica_count: int = 2) -> None:
        self.simulation = Simulation(shard_count, replica_count)
        self.state: RoutedState = self.simulation.state
        self.helpers = HelperTable()
        self.splits = SplitState()
        self.ranks = InstanceRanks('entry')
        set_instances(self.ranks, 0.0, ('entry',))
        self.purses = PurseTable(self.ranks, DEFAULT_ALLOTMENT_BOUNDS, 1)
        self.refusal: Refuse | None = None

    def set_helpers(self, *helpers: tuple[str, str]) -> None:
        locations = [InstanceLocation(name, domain) for name, domain in helpers]
        set_helpers(self.helpers, locations, 'entry')

    def set_organisations(self, *organisations: Organisation, routes: tuple[Route, ...]) -> None:
        rules = self.table.routes.services
        set_routes(self.state, RouteTable(RouteSet(2, routes, rules, organisations=organisations)))

    @property
    def table(self) -> RouteTable:
        assert self.state.routes is not None
        return self.state.routes

    def ask(self, path: str, organisation: str = '', key: str | None = None) -> Any:
        """Return the explanation; fail if it changed anything."""
        # Derived from the endpoints at first use.
        self.state.table.services_in(DOMAIN)
        before = self._snapshot()
        question = PlacementQuestion('h', path, organisation, key)
        basis = PlacementBasis(
            self.helpers, self.splits, self.purses, 0.0, lambda _route: self.refusal
        )
        result = explain_placement(self.state, self.simulation.now_ms, question, basis)
        assert self._snapshot() == before
        assert KEY not in repr((question, result))
        return result

    def explained(self, path: str) -> PlacementReport:
        report = self.ask(path)
        assert isinstance(report, PlacementReport)
        assert decode_json(encode_json(report), PlacementReport) == report
        return report

    def start_query(self) -> list[RoutedAction]:
        now_ms = self.simulation.now_ms
        query = GatherState('q', self.simulation.gather_route, now_ms + 95.0, now_ms + 1_000.0)
        return gather.start_gather(self.state, now_ms, query, self.helpers)

    def start_request(self, route: Route | None = None) -> list[RoutedAction]:
        route = route or self.simulation.single_route
        now_ms = self.simulation.now_ms
        service = choose_service(self.splits, route)
        request = ForwardState('r', route, service, now_ms + route.time_limit_ms)
        return forward.start_forward(self.state, now_ms, request, self.helpers)

    def _snapshot(self) -> bytes:
        return pickle.dumps((self.state, self.helpers, self.splits, self.purses))


def placed(actions: list[RoutedAction]) -> dict[str, tuple[str, str]]:
    """Return the instance and the endpoint of each service that is asked."""
    places = {}
    for action in actions:
        if isinstance(action, SendAttempt):
            attempt = action.attempt
            places[attempt.service] = ('entry', attempt.load.record.endpoint)
        elif isinstance(action, DelegateGroup):
            places |= dict.fromkeys(action.services, (action.helper.instance, ''))
    return places


def explained_places(report: PlacementReport) -> dict[str, tuple[str, str]]:
    return {
        each.service: (each.via, each.first_endpoint)
        for each in report.services
        if each.via != 'entry' or each.first_endpoint
    }


def refusal_of(actions: list[RoutedAction]) -> tuple[int, str] | None:
    refusals = [action for action in actions if isinstance(action, Refuse)]
    return (int(refusals[0].code), refusals[0].detail) if refusals else None


def explained_refusal(report: PlacementReport) -> tuple[int, str] | None:
    refusal = report.refusal
    return (refusal.code, refusal.reason) if refusal is not None else None


@pytest.mark.parametrize('seed', range(5))
def test_explained_endpoints_are_those_that_requests_use(seed: int) -> None:
    """Guard against an explanation that names another endpoint than a real request gets."""
    asked = Asked(replica_count=3)
    chance = random.Random(seed)
    for name in asked.simulation.behaviours:
        asked.simulation.behaviours[name] = answered(chance.choice((5.0, 10.0, 10.0, 30.0)))
    asked.simulation.behaviours['s1-0'] = losing()
    pending: list[Attempt] = []
    for step in range(60):
        asked.simulation.run(asked.simulation.now_ms + chance.uniform(0.0, 30.0))
        report = asked.explained('/all/x' if step % 2 else '/one/x')
        actions = asked.start_query() if step % 2 else asked.start_request()
        assert placed(actions)
        assert explained_places(report) == placed(actions)
        assert explained_refusal(report) is None
        # Their attempts stay in flight for a while, and these end and teach the instance.
        asked.simulation.query()
        pending += [each.attempt for each in actions if isinstance(each, SendAttempt)]
        while len(pending) > 12:
            release_attempt(pending.pop(0))


def test_next_endpoint_is_that_of_a_repeat() -> None:
    """Guard against an explanation that names another endpoint than a repeat gets."""
    asked = Asked(replica_count=3)
    asked.simulation.behaviours['s0-0'] = losing(2.0)
    asked.simulation.behaviours['s0-1'] = answered(3.0)
    for _ in range(20):
        asked.simulation.query()
        asked.simulation.run(asked.simulation.now_ms + 20.0)
    (service,) = asked.explained('/one/x').services
    assert service.first_endpoint
    simulation = asked.simulation
    simulation.behaviours[service.first_endpoint] = losing(0.0)
    count = len(simulation.sent)
    simulation.request()
    simulation.run(simulation.now_ms + 0.1)
    names = [attempt.load.record.endpoint for attempt in simulation.sent[count:]]
    assert names == [service.first_endpoint, service.next_endpoint]


def test_delegated_shards_name_the_instance_that_asks() -> None:
    """Guard against an explanation that names this instance for shards that a helper asks."""
    asked = Asked(shard_count=60, replica_count=0)
    for number in range(60):
        for replica in range(2):
            asked.simulation.add_endpoint(f's{number}', replica, DOMAIN if number < 40 else REMOTE)
    asked.set_helpers(('entry', DOMAIN), ('h1', DOMAIN), ('r1', REMOTE), ('r2', REMOTE))
    for _ in range(10):
        report = asked.explained('/all/x')
        actions = asked.start_query()
        assert explained_places(report) == placed(actions)
        assert {via for via, _ in placed(actions).values()} > {'entry', 'h1'}
        assert len(report.services) == 60


def test_reasons_tell_why_the_fastest_endpoint_is_not_used() -> None:
    """Guard against an endpoint that seems to be the fastest although distance decided."""
    asked = Asked(shard_count=12, replica_count=0)
    for number in range(12):
        domains = ('b', 'c') if number < 9 else ('b', 'd')
        for replica, domain in enumerate(domains):
            asked.simulation.add_endpoint(f's{number}', replica, domain)
    report = asked.explained('/all/x')
    assert explained_places(report) == placed(asked.start_query())
    reasons = {each.reason for each in report.services}
    assert reasons == {FIRST, FEWER_DOMAINS}
    domains_by_name = {
        each.endpoint: each.failure_domain for item in report.services for each in item.candidates
    }
    assert {domains_by_name[each.first_endpoint] for each in report.services} == {'b'}

    asked = Asked()
    for number in range(4):
        asked.simulation.add_endpoint(f's{number}', 2, 'far')
    asked.state.round_trips_ms['far'] = 20.0
    for load in asked.state.table.usable('s0'):
        if load.record.failure_domain == DOMAIN:
            load.cold_until_ms = 1_000.0
            load.round_trip_ms = 3.0
    report = asked.explained('/all/x')
    assert explained_places(report) == placed(asked.start_query())
    assert report.services[0].reason == NEAR
    assert report.services[0].first_endpoint in ('s0-0', 's0-1')
    assert report.services[1].reason == FIRST
    assert [each.distant for each in report.services[0].candidates] == [False, False, True]


def test_instance_that_is_cut_off_names_its_receivers() -> None:
    """Guard against an explanation that names endpoints which the instance does not reach."""
    asked = Asked(shard_count=30)
    asked.set_helpers(('entry', DOMAIN), ('h1', DOMAIN), ('h2', DOMAIN), ('h3', DOMAIN))
    asked.state.reach.cut_off = True
    for _ in range(10):
        report = asked.explained('/all/x')
        assert explained_places(report) == placed(asked.start_query())
        (service,) = asked.explained('/one/x').services
        (action,) = asked.start_request()
        assert isinstance(action, PassOn)
        assert (service.via, service.first_endpoint) == (action.receiver.instance, '')


def test_refusals_during_an_overload_are_foretold() -> None:
    """Guard against `admitted` for a request that the admission refuses, and the reverse."""
    asked = Asked()
    for _ in range(3):
        asked.start_query()
        asked.start_request()
    asked.simulation.run(1_000.0)
    for admission in asked.state.admissions.values():
        admission.updated_ms = 1_000.0
        admission.overloaded_since_ms = 0.0
        admission.refused_fraction = 0.4
    outcomes = []
    for step in range(20):
        report = asked.explained('/all/x' if step % 2 else '/one/x')
        outcome = refusal_of(asked.start_query() if step % 2 else asked.start_request())
        assert explained_refusal(report) == outcome
        assert report.admitted_share == pytest.approx(0.6)
        outcomes.append(outcome)
    assert 4 <= sum(outcome is None for outcome in outcomes) <= 16


@pytest.mark.parametrize('lost_count', [1, 2, 4])
def test_shards_without_endpoint_are_explained(lost_count: int) -> None:
    """Guard against a wrong result for queries and requests that lack endpoints."""
    asked = Asked()
    for number in range(lost_count):
        for replica in range(2):
            asked.state.table.endpoints[f's{number}-{replica}'].statements.is_leaving = True
    report = asked.explained('/all/x')
    assert [each.first_endpoint for each in report.services[:lost_count]] == [''] * lost_count
    assert all(each.leaving for each in report.services[0].candidates)
    actions = asked.start_query()
    assert (explained_refusal(report), explained_places(report) if lost_count == 1 else {}) == (
        refusal_of(actions),
        placed(actions),
    )
    report = asked.explained('/one/x')
    assert explained_refusal(report) == refusal_of(asked.start_request())
    assert report.refusal is not None
    assert report.refusal.code == ResultCode.NO_ENDPOINT


def test_busy_connections_are_explained() -> None:
    """Guard against `admitted` where all connections are in use."""
    asked = Asked()
    for load in asked.state.table.usable('s0'):
        load.in_flight_count = 20
    report = asked.explained('/one/x')
    assert explained_refusal(report) == refusal_of(asked.start_request())
    (service,) = report.services
    assert (service.first_endpoint, service.candidates[0].in_flight_count) == ('', 20)


def test_wanted_permits_are_named_and_not_recorded() -> None:
    """Guard against an explanation that asks a grantor for permits, or spends one."""
    asked = Asked(replica_count=3)
    for _ in range(10):
        asked.simulation.query()
        asked.simulation.run(asked.simulation.now_ms + 20.0)
    first = asked.explained('/one/x').services[0].first_endpoint
    load = asked.state.table.endpoints[first]
    now_ms = asked.simulation.now_ms
    record_statement(load.statements, now_ms, now_ms, Statement(3.0))
    load.in_flight_count = 0
    for other in asked.state.table.usable('s0'):
        if other is not load:
            other.in_flight_count = 5
    (service,) = asked.explained('/one/x').services
    assert service.wanted_endpoint == first != service.first_endpoint
    assert asked.state.wanted_permits == {}
    load.limit.add_permits(now_ms, (0.0,), 0.0)
    (service,) = asked.explained('/one/x').services
    assert (service.wanted_endpoint, service.first_endpoint) == ('', first)
    assert load.limit.admits(now_ms)
    assert explained_places(asked.explained('/one/x')) == placed(asked.start_request())


def test_split_routes_name_the_service_that_is_next() -> None:
    """Guard against an explanation of another service than the next request gets."""
    asked = Asked()
    services = (WeightedService('s0', 3.0), WeightedService('s1', 2.0))
    split = replace(asked.simulation.single_route, services=services)
    asked.set_organisations(routes=(split,))
    named = []
    for _ in range(10):
        (service,) = asked.explained('/one/x').services
        assert list(placed(asked.start_request(split))) == [service.service]
        named.append(service.service)
    assert named.count('s0') == 6


def test_unknown_route_organisation_and_key_are_refused() -> None:
    """Guard against an explanation for a request that this version does not know."""
    asked = Asked()
    routes = asked.table.routes.routes
    asked.set_organisations(Organisation('east', (KEY,), priority=0), routes=routes)
    assert asked.ask('/none/x').code is ResultCode.UNKNOWN_PATH
    assert asked.ask('/one/x').code is ResultCode.UNKNOWN_KEY
    assert asked.ask('/one/x', key='other').code is ResultCode.UNKNOWN_KEY
    assert asked.ask('/one/x', organisation='west').code is ResultCode.UNKNOWN_CALLER
    for report in (asked.ask('/one/x', key=KEY), asked.ask('/one/x', organisation='east')):
        assert (report.organisation.organisation, report.priority) == ('east', 0)
        assert KEY.encode() not in encode_json(report)
    asked.state.routes = None
    assert asked.ask('/one/x').code is ResultCode.FENCED


def test_permits_of_organisations_are_told_and_not_spent() -> None:
    """Guard against an explanation that uses up an allotment, or hides that it is used up."""
    asked = Asked()
    east = Organisation('east', (KEY,), rate_per_s=100.0, burst_count=100.0)
    asked.set_organisations(east, routes=asked.table.routes.routes)
    report = asked.ask('/one/x', organisation='east')
    assert (report.organisation.has_spare_permit, report.refusal) == (False, None)
    admit(asked.purses, 0.0, east, 0.0, 1)
    purse = asked.purses.purses['east']
    asked.simulation.run(60_000.0)
    for _ in range(3):
        assert asked.ask('/one/x', key=KEY).organisation.has_spare_permit
    assert admit(asked.purses, 60_000.0, east, 0.0, 2) is Admission.ADMITTED
    purse.denied_until_ms = 60_400.0
    report = asked.ask('/one/x', key=KEY)
    assert not report.organisation.has_spare_permit
    assert report.organisation.denied_for_ms == 400.0
    refusal = admit(asked.purses, 60_000.0, east, 0.0, 3)
    assert isinstance(refusal, Refuse)
    assert explained_refusal(report) == (int(refusal.code), refusal.detail)


def test_refusal_of_the_instance_goes_first() -> None:
    """Guard against `admitted` at an instance that is fenced or stopping."""
    asked = Asked()
    asked.refusal = Refuse(ResultCode.STOPPING, 'this instance is stopping')
    report = asked.explained('/one/x')
    assert explained_refusal(report) == (int(ResultCode.STOPPING), 'this instance is stopping')
    assert report.services[0].first_endpoint


@pytest.mark.parametrize('seed', range(20))
def test_extra_attempts_left_are_those_that_can_be_taken(seed: int) -> None:
    """Guard against a count of extra attempts that the budget does not allow."""
    chance = random.Random(seed)
    for take, has_reserve in ((try_take_retry, False), (try_take_hedge, True)):
        budget = BudgetState(BudgetLimits(0.25, 8.0, 2.0, chance.choice((0.1, 1.0))))
        now_ms = 0.0
        for _ in range(60):
            now_ms += chance.choice((0.0, 50.0, 3_000.0))
            record_first_attempts(budget, now_ms, chance.randrange(8))
            if chance.random() < 0.5:
                take(budget, now_ms)
        now_ms += chance.choice((0.0, 5_000.0, 12_000.0))
        before = pickle.dumps(budget)
        count = extra_room_count(budget, now_ms, 2.0 if has_reserve else 0.0)
        assert pickle.dumps(budget) == before
        taken_count = 0
        while take(budget, now_ms):
            taken_count += 1
        assert taken_count == count
