"""Refuse a part of the requests while the endpoints that they need are overloaded."""

# Load: more requests arrive than the endpoints can run, because of a burst or of lost or slow
# replicas. Without a limit every queue fills, and each query waits for the longest of them.

from __future__ import annotations

import math
from typing import TYPE_CHECKING, cast

from ..errors import ResultCode
from .attempts import Refuse
from .organisation_shares import OrganisationShares
from .recent_tally import RecentTally
from .routed_state import OverloadChange
from .value_order import MIN_WORK_MS, KindDemand, RequestKind, admitted_shares

if TYPE_CHECKING:
    from ..messages.routes import Gather, Route
    from .forward import ForwardState
    from .gather_state import GatherState
    from .routed_state import RoutedState

# The controller keeps the time that sub-requests wait in queues below this fraction of the
# shortest latency target of the routes that query the same shards.
WAIT_LIMIT_RATIO = 0.6
MIN_WAIT_LIMIT_MS = 1.0
# Work and queues vary, so a request to one endpoint is often late above this fraction of the time
# that its work leaves.
LATE_WAIT_RATIO = 0.7
# A proportional-integral controller as in PIE (RFC 8033). Per unit of pressure, the refused
# fraction changes by the first gain each second, and by the second one at once.
INTEGRAL_GAIN_PER_S = 0.1
PROPORTIONAL_GAIN = 0.03
UPDATE_INTERVAL_MS = 50.0
# The controller forgets what it knows after this time without a query.
IDLE_RESET_MS = 2_000.0
# Above this pressure the queues are full, and their length says nothing about the excess load.
MAX_PRESSURE = 5.0
# Some queries are always admitted, since only replies show that the queues are shorter.
MAX_REFUSED_FRACTION = 0.95
# Queries without connections are refused whatever they are worth. Where there is a choice, the
# controller refuses more beforehand: each second this fraction of the work that lacked them.
CONNECTIONS_GAIN_PER_S = 0.6
CONNECTED_HALF_LIFE_MS = 500.0
# Shares are found by halving, so that of a kind that is not refused may be slightly below 1.
ALL_ADMITTED_SHARE = 0.999
# Queues that are short again within this time result from the pause of an endpoint.
BURST_ALLOWANCE_MS = 150.0
# Below this pressure there is no overload, and the refused fraction halves in this time.
LOW_PRESSURE = 0.5
RECOVERY_HALF_LIFE_MS = 300.0
MIN_REFUSED_FRACTION = 0.05
# An overload has ended when the queues are short and nothing was refused for this long.
OVERLOAD_END_MS = 300.0
# An answer that is late in any case is worth less than one in time. The fraction of such queries
# that is admitted is the fraction of the others to this power.
PAST_TARGET_EXPONENT = 3.0
# How often each kind of request arrives is remembered with this half-life.
ARRIVALS_HALF_LIFE_MS = 5_000.0
# Callers return in this range around the time to come back, so that they do not arrive together.
RETRY_SPREAD = (0.5, 1.5)
MIN_RETRY_MS = 250.0
MAX_RETRY_MS = 10_000.0
# A floor of 0.9 of 20 shards is 18, although the product is slightly larger as a float.
ROUNDING_TOLERANCE = 1e-9


class QueryAdmission:
    """Hold the controller of the requests for one set of shards or one other service."""

    __slots__ = (
        'arrivals',
        'connected_work_ms',
        'last_refused_ms',
        'organisations',
        'overloaded_since_ms',
        'pressure',
        'refusal_credits',
        'refused_fraction',
        'required_count',
        'routes',
        'routes_version',
        'shares',
        'updated_ms',
        'wait_limit_ms',
        'wait_ms',
    )

    def __init__(self) -> None:
        self.routes_version = -1
        # The routes whose requests these endpoints run.
        self.routes: tuple[Route, ...] = ()
        # Number of shards that the strictest route needs for an answer.
        self.required_count = 1
        self.wait_limit_ms = float('inf')
        # Queue wait of the shards, also as a multiple of its limit.
        self.wait_ms = 0.0
        self.pressure = 0.0
        # Of the work that arrives.
        self.refused_fraction = 0.0
        self.updated_ms = float('-inf')
        # When the queues became too long; None while there is no overload.
        self.overloaded_since_ms: float | None = None
        self.last_refused_ms = float('-inf')
        self.arrivals: RecentTally[RequestKind] = RecentTally(ARRIVALS_HALF_LIFE_MS)
        self.organisations = OrganisationShares()
        # Work of recent queries by whether they had the connections that they need.
        self.connected_work_ms: RecentTally[bool] = RecentTally(CONNECTED_HALF_LIFE_MS)
        # The share of each kind that is admitted.
        self.shares: dict[RequestKind, float] = {}
        # The sum of the refused fractions of the requests of a kind, less those refused.
        self.refusal_credits: dict[RequestKind, float] = {}


def refuse_if_overloaded(
    state: RoutedState, now_ms: float, request: GatherState | ForwardState
) -> Refuse | None:
    """Return the refusal of a new request, None if it is admitted."""
    route = request.route
    services = _services_of(request)
    admission = _admission_of(state, services, route)
    organisation = request.organisation
    kind = _kind_of(state, admission, request)
    admission.arrivals.add(now_ms, kind, 1.0)
    _update(state, now_ms, admission, services)
    refusal = _refuse_too_late(state, now_ms, admission, request)
    refusal = refusal or _refuse_part(state, now_ms, admission, kind, request.past_target)
    if refusal is None and organisation:
        work_ms = _work_ms(state, admission, route.name)
        admission.organisations.record(now_ms, organisation, work_ms)
    return refusal


def admitted_share(state: RoutedState, now_ms: float, request: GatherState | ForwardState) -> float:
    """Return the share of the requests of this kind that is admitted now."""
    admission = state.admissions.get(_services_of(request))
    if admission is None or not _is_limiting(admission, now_ms):
        return 1.0
    return _share_of(admission, _kind_of(state, admission, request), request.past_target)


def _kind_of(
    state: RoutedState, admission: QueryAdmission, request: GatherState | ForwardState
) -> RequestKind:
    assert state.routes is not None
    over_share = bool(request.organisation) and admission.organisations.uses_too_much(
        request.organisation, state.routes.organisations
    )
    return RequestKind(request.route.name, request.priority, over_share)


def _is_limiting(admission: QueryAdmission, now_ms: float) -> bool:
    """Return whether an overload lasts longer than the pause of an endpoint."""
    since_ms = admission.overloaded_since_ms
    return since_ms is not None and now_ms - since_ms >= BURST_ALLOWANCE_MS


def _share_of(admission: QueryAdmission, kind: RequestKind, past_target: bool) -> float:
    share = admission.shares.get(kind, 1.0 - admission.refused_fraction)
    return share**PAST_TARGET_EXPONENT if past_target else share


def _refuse_too_late(
    state: RoutedState,
    now_ms: float,
    admission: QueryAdmission,
    request: GatherState | ForwardState,
) -> Refuse | None:
    """Refuse a request that would run for nothing, since its time limit ends before."""
    left_ms = request.deadline_at_ms - now_ms
    needed_ms = 0.0
    gather = request.route.gather
    # One request may need less than others, but not all shards of a query.
    if gather is not None and coverage_floor_count(gather) > 1:
        needed_ms = state.queue_waits.least_route_ms(request.route.name, now_ms)
    wait_ms = admission.wait_ms if admission.overloaded_since_ms is not None else 0.0
    if gather is not None and wait_ms + needed_ms > left_ms:
        # The wait of the strictest route may be longer than that of this one.
        own_wait_ms = _wait_ms(state, now_ms, gather.shards, coverage_floor_count(gather))
        wait_ms = min(wait_ms, own_wait_ms)
    if wait_ms + needed_ms <= left_ms:
        return None
    detail = (
        f'waiting {wait_ms:.0f} ms in queues and running {needed_ms:.0f} ms exceeds'
        f' the {left_ms:.0f} ms that are left'
    )
    retry_after_ms = _retry_after_ms(state, now_ms, admission)
    return Refuse(ResultCode.DEADLINE_TOO_SHORT, detail, retry_after_ms, 'deadline')


def _refuse_part(
    state: RoutedState,
    now_ms: float,
    admission: QueryAdmission,
    kind: RequestKind,
    past_target: bool,
) -> Refuse | None:
    """Refuse the fraction of a kind of request that the controller and the order of value ask."""
    if not _is_limiting(admission, now_ms):
        return None
    share = _share_of(admission, kind, past_target)
    # Refusals are spread evenly over the requests instead of drawn at random.
    credit = admission.refusal_credits.get(kind, 0.0) + 1.0 - share
    is_refused = credit >= 1.0
    admission.refusal_credits[kind] = credit - 1.0 if is_refused else credit
    if not is_refused:
        return None
    over_share = ', its organisation uses more than its share' if kind.over_share else ''
    detail = (
        f'requests wait {admission.wait_ms:.0f} ms in queues, refusing'
        f' {admission.refused_fraction:.2f} of the work and {1.0 - share:.2f} of its kind'
        f'{over_share}'
    )
    limit = 'organisation' if kind.over_share else 'capacity'
    return _refuse(state, now_ms, admission, detail, limit)


def refuse_without_connections(
    state: RoutedState, now_ms: float, query: GatherState, connected_count: int
) -> Refuse | None:
    """Return the refusal of a query that would wait here for connections during an overload."""
    gather = query.route.gather
    assert gather is not None
    admission = state.admissions[gather.shards]
    if admission.overloaded_since_ms is None:
        return None
    # The last connections are for answers in time.
    shard_count = len(gather.shards)
    required_count = shard_count if query.past_target else coverage_floor_count(gather)
    lacks_connections = connected_count < required_count
    work_ms = _work_ms(state, admission, query.route.name)
    admission.connected_work_ms.add(now_ms, not lacks_connections, work_ms)
    if not lacks_connections:
        return None
    detail = f'{connected_count} shards of the required {required_count} have a free connection'
    return _refuse(state, now_ms, admission, detail, 'connections')


def refuse_if_late(state: RoutedState, now_ms: float, request: ForwardState) -> Refuse | None:
    """Return the refusal of a request that every endpoint would answer late in an overload."""
    if not is_overloaded(state, request.service):
        return None
    route = request.route
    service_ms = state.queue_waits.service_ms(route, request.service)
    waits_ms = [
        load.waiting_count(now_ms) * service_ms / max(1, load.record.slot_count)
        for load in state.table.usable(request.service)
        if not load.breaker.is_open(now_ms)
    ]
    wait_ms = min(waits_ms, default=0.0)
    left_ms = max(0.0, route.latency_target_ms - service_ms)
    if wait_ms <= LATE_WAIT_RATIO * left_ms:
        return None
    detail = f'every endpoint has {wait_ms:.0f} ms of work waiting, and {left_ms:.0f} ms are left'
    return _refuse(state, now_ms, state.admissions[(request.service,)], detail, 'capacity')


def is_refusing(state: RoutedState, route: Route) -> bool:
    """Return whether the shards of a route are overloaded."""
    assert route.gather is not None
    admission = state.admissions.get(route.gather.shards)
    return admission is not None and admission.overloaded_since_ms is not None


def is_overloaded(state: RoutedState, service: str) -> bool:
    """Return whether the endpoints of a service that is no shard are overloaded."""
    admission = state.admissions.get((service,))
    return admission is not None and admission.overloaded_since_ms is not None


def refused_fraction(state: RoutedState) -> float:
    """Return the largest refused fraction of all sets of shards, for the metrics."""
    return max((item.refused_fraction for item in state.admissions.values()), default=0.0)


def _services_of(request: GatherState | ForwardState) -> tuple[str, ...]:
    gather = request.route.gather
    return (cast('ForwardState', request).service,) if gather is None else gather.shards


def _admission_of(state: RoutedState, services: tuple[str, ...], route: Route) -> QueryAdmission:
    admission = state.admissions.get(services)
    if admission is None:
        admission = state.admissions[services] = QueryAdmission()
    assert state.routes is not None
    if admission.routes_version != state.routes.version:
        admission.routes_version = state.routes.version
        # Another instance may have chosen a service that the route has not here.
        sharing = [each for each in state.routes.routes.routes if _runs_at(each, services)]
        admission.routes = tuple(sharing) or (route,)
        names = {each.name for each in admission.routes}
        for kind in [kind for kind in admission.refusal_credits if kind.route not in names]:
            del admission.refusal_credits[kind]
        gathers = [each.gather for each in admission.routes if each.gather is not None]
        admission.required_count = max(map(coverage_floor_count, gathers), default=1)
        target_ms = min(each.latency_target_ms for each in admission.routes)
        admission.wait_limit_ms = WAIT_LIMIT_RATIO * target_ms
    return admission


def _runs_at(route: Route, services: tuple[str, ...]) -> bool:
    if route.gather is not None:
        return route.gather.shards == services
    return any((each.service,) == services for each in route.services)


def _work_ms(state: RoutedState, admission: QueryAdmission, route_name: str) -> float:
    """Return the time that a request of a route takes at each of the endpoints that it needs."""
    work_ms = {
        each.name: state.queue_waits.route_service_ms(each.name) for each in admission.routes
    }
    if not all(work_ms.values()):
        # Until all are measured, what callers expect of the routes stands for it.
        work_ms = {each.name: each.latency_target_ms for each in admission.routes}
    return work_ms.get(route_name, 1.0)


def _can_refuse_others(admission: QueryAdmission) -> bool:
    """Return whether a larger fraction refuses none of the kind that is worth most."""
    is_choice = len(admission.arrivals.amounts) > 1
    return is_choice and max(admission.shares.values(), default=1.0) >= ALL_ADMITTED_SHARE


def _unconnected_fraction(admission: QueryAdmission) -> float:
    amounts = admission.connected_work_ms.amounts
    return amounts.get(False, 0.0) / max(MIN_WORK_MS, sum(amounts.values()))


def _single_service_ms(state: RoutedState, admission: QueryAdmission) -> float:
    """Return the longest work of requests to one endpoint, which is a large part of their time."""
    names = [each.name for each in admission.routes if each.gather is None]
    return max(map(state.queue_waits.route_service_ms, names), default=0.0)


def _update_shares(state: RoutedState, admission: QueryAdmission) -> None:
    if admission.refused_fraction <= 0.0:
        admission.shares = {}
        return
    demands = {
        kind: KindDemand(count, _work_ms(state, admission, kind.route))
        for kind, count in admission.arrivals.amounts.items()
    }
    admission.shares = admitted_shares(demands, admission.refused_fraction)


def _wait_ms(
    state: RoutedState, now_ms: float, services: tuple[str, ...], required_count: int
) -> float:
    """Return after which wait the required number of services runs a new request."""
    waits_ms = sorted(state.queue_waits.wait_ms(service, now_ms) for service in services)
    return waits_ms[required_count - 1]


def _update(
    state: RoutedState, now_ms: float, admission: QueryAdmission, services: tuple[str, ...]
) -> None:
    elapsed_ms = now_ms - admission.updated_ms
    if elapsed_ms < UPDATE_INTERVAL_MS:
        return
    admission.updated_ms = now_ms
    # A query is answered once the required number of shards has replied.
    admission.wait_ms = _wait_ms(state, now_ms, services, admission.required_count)
    before = admission.pressure
    limit_ms = admission.wait_limit_ms - WAIT_LIMIT_RATIO * _single_service_ms(state, admission)
    admission.pressure = min(MAX_PRESSURE, admission.wait_ms / max(MIN_WAIT_LIMIT_MS, limit_ms))
    if elapsed_ms >= IDLE_RESET_MS:
        admission.refused_fraction = 0.0
    if admission.pressure < LOW_PRESSURE:
        admission.refused_fraction *= 0.5 ** (elapsed_ms / RECOVERY_HALF_LIFE_MS)
        if admission.refused_fraction < MIN_REFUSED_FRACTION:
            admission.refused_fraction = 0.0
            if now_ms - admission.last_refused_ms >= OVERLOAD_END_MS:
                _set_overloaded(state, admission, services, None)
    else:
        if admission.pressure >= 1.0 and admission.overloaded_since_ms is None:
            _set_overloaded(state, admission, services, now_ms)
        change = INTEGRAL_GAIN_PER_S * (admission.pressure - 1.0) * elapsed_ms / 1_000.0
        change += PROPORTIONAL_GAIN * (admission.pressure - before)
        if _can_refuse_others(admission):
            unconnected = _unconnected_fraction(admission)
            change += CONNECTIONS_GAIN_PER_S * unconnected * elapsed_ms / 1_000.0
        fraction = max(0.0, admission.refused_fraction + change)
        admission.refused_fraction = min(MAX_REFUSED_FRACTION, fraction)
    _update_shares(state, admission)


def _set_overloaded(
    state: RoutedState,
    admission: QueryAdmission,
    services: tuple[str, ...],
    since_ms: float | None,
) -> None:
    if (since_ms is None) == (admission.overloaded_since_ms is None):
        return
    admission.overloaded_since_ms = since_ms
    change = OverloadChange(
        services, since_ms is not None, admission.wait_ms, admission.wait_limit_ms
    )
    state.overload_changes.append(change)


def coverage_floor_count(gather: Gather) -> int:
    """Return how many shards an answer must cover."""
    return max(1, math.ceil(gather.coverage_floor * len(gather.shards) - ROUNDING_TOLERANCE))


def _refuse(
    state: RoutedState, now_ms: float, admission: QueryAdmission, detail: str, limit: str
) -> Refuse:
    admission.last_refused_ms = now_ms
    retry_after_ms = _retry_after_ms(state, now_ms, admission)
    return Refuse(ResultCode.OVERLOADED, detail, retry_after_ms, limit)


def _retry_after_ms(state: RoutedState, now_ms: float, admission: QueryAdmission) -> float:
    # An overload that began a while ago is likely to last about as long again.
    since_ms = admission.overloaded_since_ms
    elapsed_ms = 0.0 if since_ms is None else now_ms - since_ms
    retry_after_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, elapsed_ms))
    return retry_after_ms * state.random.uniform(*RETRY_SPREAD)
