"""Explain where a request would go now, with the functions that place requests."""

from __future__ import annotations

import copy
import random
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..errors import ResultCode
from ..messages.report import (
    CandidateReport,
    OrganisationPlacement,
    PlacementRefusal,
    PlacementReport,
    ServicePlacement,
)
from ..process.budget import BudgetState, extra_room_count
from ..process.endpoint_table import is_evacuated
from ..process.latency import LatencyState
from .allotment_purses import Admission, preview_admission
from .answer_timing import CallerTransit, answer_due_ms, answer_transmission_ms
from .attempts import Refuse
from .consolidation import consolidate_domains
from .delegation import HelperTable, ShardAssignment, plan_query
from .distance import is_distant
from .forward import PERMIT_WAIT_MS, ForwardState, refuse_unplaced, refuse_unserved_service
from .gather import divide_near_shards
from .gather_state import GatherState
from .handover import choose_receiver, plan_handover
from .hedge_delay import usual_latency_ms
from .identification import identify_caller, request_priority
from .permitted import refuse_unserved, refuse_without_permits
from .placement import Selection, expected_latency_ms, select_endpoint
from .query_admission import (
    admitted_share,
    refuse_if_late,
    refuse_if_overloaded,
    refuse_without_connections,
)
from .routed_state import budget_of, endpoint_connection_limit
from .shard_attempts import finish_if_due, update_exhausted
from .split import SplitState, choose_service

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable

    from ..connection.endpoint_load import EndpointLoad
    from ..messages.routes import Organisation, Route
    from ..version.route_table import RouteTable
    from .allotment_purses import PurseTable
    from .routed_state import RoutedState

FIRST = 'expected to reply first'
NEAR = 'in time, and spares a distant one'
FEWER_DOMAINS = 'about as fast, and queries fewer failure domains'
NO_ENDPOINT = 'no endpoint can take an attempt'
DELEGATED = 'that instance chooses the endpoint'
HANDED_OVER = 'this instance reaches no endpoint'
_NOWHERE = Selection(None, None)


@dataclass(frozen=True, slots=True)
class PlacementQuestion:
    """Describe a request; a named organisation goes before that of the key."""

    host: str
    path: str
    organisation: str = ''
    # A secret, so it is left out of the representation.
    key: str | None = field(default=None, repr=False)


@dataclass(frozen=True, slots=True)
class PlacementBasis:
    """Hold what besides the routed state decides where requests of an instance go."""

    helpers: HelperTable
    splits: SplitState
    purses: PurseTable
    # Age of the quorum confirmation of the routes.
    confirmed_age_ms: float
    # Returns why the instance itself takes no requests of a route now.
    refuse: Callable[[Route], Refuse | None]


@dataclass(frozen=True, slots=True)
class _Step:
    """Hold the instance and the endpoint for the first attempt on a service."""

    via: str
    reason: str
    selection: Selection = _NOWHERE


def explain_placement(
    state: RoutedState, now_ms: float, question: PlacementQuestion, basis: PlacementBasis
) -> PlacementReport | Refuse:
    """Explain where a request would go now, or say that it has no route or organisation."""
    routes = state.routes
    if routes is None:
        return Refuse(ResultCode.FENCED, 'no configuration is confirmed here')
    route = routes.find(question.host, question.path)
    if route is None:
        return Refuse(ResultCode.UNKNOWN_PATH, f'version {routes.version} has no such route')
    organisation = _find_organisation(routes, route, question)
    if isinstance(organisation, Refuse):
        return organisation
    scratch = _copy_state(state, route)
    refusal = basis.refuse(route)
    described = None
    if organisation is not None:
        described, denial = _describe_organisation(now_ms, organisation, basis)
        refusal = refusal or denial
    request = _make_request(scratch, now_ms, route, organisation, basis)
    if isinstance(request, GatherState):
        later_refusal, steps = _place_query(scratch, now_ms, request, basis.helpers)
    else:
        later_refusal, steps = _place_single(scratch, now_ms, request, basis.helpers)
    return PlacementReport(
        instance=state.instance,
        failure_domain=state.failure_domain,
        route=route.name,
        route_version=routes.version,
        priority=request.priority,
        refusal=_describe_refusal(refusal or later_refusal),
        admitted_share=admitted_share(scratch, now_ms, request),
        organisation=described,
        services=_describe_services(scratch, now_ms, route, steps),
    )


def _copy_state(state: RoutedState, route: Route) -> RoutedState:
    """Copy what deciding changes: the random source, the admission and derived entries."""
    scratch = copy.copy(state)
    scratch.random = random.Random()
    scratch.random.setstate(state.random.getstate())
    scratch.overload_changes = []
    scratch.budgets = dict(state.budgets)
    scratch.latencies = LatencyState()
    scratch.latencies.services = dict(state.latencies.services)
    sets = (
        [route.gather.shards]
        if route.gather is not None
        else [(each.service,) for each in route.services]
    )
    scratch.admissions = {
        names: copy.deepcopy(state.admissions[names]) for names in sets if names in state.admissions
    }
    return scratch


def _find_organisation(
    routes: RouteTable, route: Route, question: PlacementQuestion
) -> Organisation | Refuse | None:
    if not question.organisation:
        return identify_caller(routes, route, question.key)
    organisation = routes.organisations.get(question.organisation)
    if organisation is None:
        detail = f'version {routes.version} has no organisation {question.organisation!r}'
        return Refuse(ResultCode.UNKNOWN_CALLER, detail)
    return organisation


def _describe_organisation(
    now_ms: float, organisation: Organisation, basis: PlacementBasis
) -> tuple[OrganisationPlacement, Refuse | None]:
    """Describe an organisation, and why it has no permit for a request now."""
    name, rate_per_s = organisation.name, organisation.rate_per_s
    if rate_per_s <= 0:
        return OrganisationPlacement(name, rate_per_s, organisation.burst_count), None
    decision = preview_admission(basis.purses, now_ms, organisation, basis.confirmed_age_ms)
    purse = basis.purses.purses.get(name)
    described = OrganisationPlacement(
        name,
        rate_per_s,
        organisation.burst_count,
        has_spare_permit=decision is Admission.ADMITTED,
        denied_for_ms=max(0.0, purse.denied_until_ms - now_ms) if purse is not None else 0.0,
    )
    return described, decision if isinstance(decision, Refuse) else None


def _make_request(
    state: RoutedState,
    now_ms: float,
    route: Route,
    organisation: Organisation | None,
    basis: PlacementBasis,
) -> GatherState | ForwardState:
    deadline_at_ms = now_ms + route.time_limit_ms
    request: GatherState | ForwardState
    if route.gather is None:
        service = choose_service(copy.deepcopy(basis.splits), route)
        request = ForwardState('', route, service, deadline_at_ms)
    else:
        answer_at_ms = answer_due_ms(
            route,
            now_ms,
            CallerTransit(0.0, 0.0),
            usual_latency_ms(state, route),
            answer_transmission_ms(route, state.limits.link_mbit_per_s),
            state.answer_delay.allowance_ms,
        )
        request = GatherState('', route, answer_at_ms, deadline_at_ms)
    request.priority = request_priority(route, organisation)
    request.organisation = organisation.name if organisation is not None else ''
    return request


def _place_single(
    state: RoutedState, now_ms: float, request: ForwardState, helpers: HelperTable
) -> tuple[Refuse | None, dict[str, _Step]]:
    """Place a request as `start_forward` does."""
    service = request.service
    receiver = choose_receiver(state, helpers, now_ms, ())
    if receiver is not None:
        return None, {service: _Step(receiver.instance, HANDED_OVER)}
    refusal = refuse_unserved_service(state, now_ms, service)
    refusal = refusal or refuse_if_overloaded(state, now_ms, request)
    refusal = refusal or refuse_if_late(state, now_ms, request)
    step = _select(state, now_ms, request.route, service)
    if refusal is None and step.selection.chosen is None:
        wait_until_ms = min(request.deadline_at_ms, now_ms + PERMIT_WAIT_MS)
        refusal = refuse_unplaced(state, now_ms, service, wait_until_ms)
    return refusal, {service: step}


def _place_query(
    state: RoutedState, now_ms: float, query: GatherState, helpers: HelperTable
) -> tuple[Refuse | None, dict[str, _Step]]:
    """Place the shards of a query as `start_gather` does."""
    handed_over = plan_handover(state, helpers, now_ms, query.shard_by_service, ())
    if handed_over:
        steps = {
            service: _Step(group.helper.instance, HANDED_OVER)
            for group in handed_over
            for service in group.services
        }
        return refuse_if_overloaded(state, now_ms, query), steps
    refusal = refuse_unserved(state, now_ms, query) or refuse_without_permits(state, now_ms, query)
    refusal = refusal or refuse_if_overloaded(state, now_ms, query)
    own_shards, near_groups = divide_near_shards(state, now_ms, query, helpers)
    steps = {}
    assignments = []
    for position, shard in own_shards:
        step = steps[shard.service] = _select(state, now_ms, query.route, shard.service)
        if step.selection.chosen is None:
            update_exhausted(state, now_ms, query, shard)
        else:
            load = step.selection.chosen
            assignments.append(ShardAssignment(position, shard.service, load))
    query.delegated_count = sum(len(group.services) for group in near_groups)
    if refusal is None:
        connected_count = query.delegated_count + len(assignments)
        refusal = refuse_without_connections(state, now_ms, query, connected_count)
    assignments = consolidate_domains(state, now_ms, query.route, assignments)
    plan = plan_query(helpers, now_ms, state.failure_domain, assignments, state.random)
    for assignment in plan.direct:
        selection = steps[assignment.service].selection
        if assignment.load is not selection.chosen:
            selection = Selection(assignment.load, selection.wanted)
            steps[assignment.service] = _Step(state.instance, FEWER_DOMAINS, selection)
    for group in (*near_groups, *plan.groups):
        for service in group.services:
            steps[service] = _Step(group.helper.instance, DELEGATED)
    query.sent_count = len(plan.direct)
    query.delegated_count += sum(len(group.services) for group in plan.groups)
    refusals = [each for each in finish_if_due(now_ms, query) if isinstance(each, Refuse)]
    return refusal or next(iter(refusals), None), {
        shard.service: steps[shard.service] for shard in query.shards
    }


def _select(
    state: RoutedState, now_ms: float, route: Route, service: str, excluded: Container[str] = ()
) -> _Step:
    selection = select_endpoint(state, now_ms, route, service, excluded, state.random)
    if selection.chosen is None:
        return _Step(state.instance, NO_ENDPOINT, selection)
    return _Step(state.instance, NEAR if selection.spares_distant else FIRST, selection)


def _describe_refusal(refusal: Refuse | None) -> PlacementRefusal | None:
    if refusal is None:
        return None
    return PlacementRefusal(int(refusal.code), refusal.code.name.lower(), refusal.detail)


def _describe_services(
    state: RoutedState, now_ms: float, route: Route, steps: dict[str, _Step]
) -> tuple[ServicePlacement, ...]:
    by_service: defaultdict[str, list[EndpointLoad]] = defaultdict(list)
    for load in state.table.endpoints.values():
        by_service[load.record.service].append(load)
    return tuple(
        _describe_service(state, now_ms, route, service, step, by_service[service])
        for service, step in steps.items()
    )


def _describe_service(
    state: RoutedState,
    now_ms: float,
    route: Route,
    service: str,
    step: _Step,
    loads: Iterable[EndpointLoad],
) -> ServicePlacement:
    first = _name(step.selection.chosen)
    following = _select(state, now_ms, route, service, (first,)).selection if first else None
    budget: BudgetState = budget_of(state, service)
    return ServicePlacement(
        service=service,
        via=step.via,
        reason=step.reason,
        first_endpoint=first,
        next_endpoint=_name(following.chosen) if following is not None else '',
        wanted_endpoint=_name(step.selection.wanted),
        retries_left_count=extra_room_count(budget, now_ms),
        hedges_left_count=extra_room_count(budget, now_ms, budget.limits.reserve_count),
        candidates=tuple(_describe_candidate(state, now_ms, route, load) for load in loads),
    )


def _name(load: EndpointLoad | None) -> str:
    return load.record.endpoint if load is not None else ''


def _describe_candidate(
    state: RoutedState, now_ms: float, route: Route, load: EndpointLoad
) -> CandidateReport:
    record, report, limit = load.record, load.report, load.limit
    return CandidateReport(
        endpoint=record.endpoint,
        failure_domain=record.failure_domain,
        standing=record.endpoint_state,
        usable=load in state.table.usable(record.service),
        expected_latency_ms=expected_latency_ms(
            state, now_ms, load, usual_latency_ms(state, route)
        ),
        slowness=load.slowness(now_ms),
        shed_fraction=load.shed_fraction(now_ms),
        in_flight_count=load.in_flight_count,
        connection_limit_count=endpoint_connection_limit(state, record.service),
        overdue_count=load.overdue_count,
        running_count=report.running_count if report is not None else None,
        waiting_count=report.waiting_count if report is not None else None,
        slot_count=report.slot_count if report is not None else None,
        report_age_ms=now_ms - load.report_ms if report is not None else None,
        limit_per_s=limit.per_s if limit.is_limited else None,
        has_permit=limit.admits(now_ms),
        rest_left_ms=max(0.0, load.statements.rest_until_ms - now_ms),
        leaving=load.statements.is_leaving,
        breaker_open=load.breaker.is_open(now_ms),
        cold=now_ms < load.cold_until_ms,
        evacuated=is_evacuated(state.table, load),
        distant=is_distant(state, load),
    )
