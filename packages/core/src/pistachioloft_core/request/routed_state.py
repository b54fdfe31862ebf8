"""Hold the state that all routed requests of one entry instance share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..connection.reach import EndpointReach
from ..process.allotments import DEFAULT_ALLOTMENT_BOUNDS, AllotmentBounds
from ..process.budget import BudgetLimits, BudgetState, set_limits
from ..process.directory import CONNECTION_FRACTION
from ..process.endpoint_table import EndpointTable
from ..process.latency import LatencyState, ServiceLatency, service_latency
from ..version.route_table import shard_services
from .answer_timing import AnswerDelay, CallerDeadlines
from .queue_waits import QueueWaits

if TYPE_CHECKING:
    import random

    from ..connection.endpoint_load import EndpointLoad
    from ..version.route_table import RouteTable
    from .query_admission import QueryAdmission

# Fraction of the shared allowances that the instances divide; the rest covers instances that
# learn of each other late.
DIVIDED_RATIO = 0.9
# Fraction of an instance's allowance of extra attempts that is reserved for retries.
RETRY_RESERVE_RATIO = 0.25


@dataclass(frozen=True, slots=True)
class SharedLimits:
    """Bound the extra load of all entry instances together, and the use of the machine."""

    extra_share: float
    extra_allowance_count: float
    # Open connections of the process to all endpoints together.
    connection_count: int = 1_000_000
    # Capacity of the machine's network link.
    link_mbit_per_s: float = 1_000.0
    # What organisations may send beyond their allotments.
    allotments: AllotmentBounds = DEFAULT_ALLOTMENT_BOUNDS


@dataclass(frozen=True, slots=True)
class OverloadChange:
    """Describe the beginning or the end of an overload of some services, for the log."""

    services: tuple[str, ...]
    began: bool
    wait_ms: float
    wait_limit_ms: float


class RoutedState:
    """Hold the routes, the endpoints and the budgets of one entry instance."""

    __slots__ = (
        'admissions',
        'answer_delay',
        'budgets',
        'changed_statements',
        'connecting_count',
        'deadlines',
        'entry_count',
        'failure_domain',
        'instance',
        'latencies',
        'limited_endpoints',
        'limits',
        'overload_changes',
        'queue_waits',
        'random',
        'reach',
        'round_trips_ms',
        'routes',
        'table',
        'wanted_permits',
    )

    def __init__(
        self,
        instance: str,
        failure_domain: str,
        limits: SharedLimits,
        random_source: random.Random,
    ) -> None:
        self.instance = instance
        self.failure_domain = failure_domain
        self.limits = limits
        self.random = random_source
        self.routes: RouteTable | None = None
        self.table = EndpointTable()
        self.reach = EndpointReach()
        self.latencies = LatencyState()
        self.budgets: dict[str, BudgetState] = {}
        self.deadlines: dict[str, CallerDeadlines] = {}
        self.answer_delay = AnswerDelay()
        self.queue_waits = QueueWaits()
        # By set of shards; other services are sets of one.
        self.admissions: dict[tuple[str, ...], QueryAdmission] = {}
        # Overloads that began or ended and were not logged yet.
        self.overload_changes: list[OverloadChange] = []
        # Endpoints that state a limit, and those with statements that were not logged yet.
        self.limited_endpoints: set[str] = set()
        self.changed_statements: list[EndpointLoad] = []
        # Endpoints that placements wanted to use and had no permit for.
        self.wanted_permits: dict[str, EndpointLoad] = {}
        # Mean round trips to the endpoints of other failure domains.
        self.round_trips_ms: dict[str, float] = {}
        # Number of instances that share the allowances, and the endpoints' connections.
        self.entry_count = 1
        self.connecting_count = 1


def budget_of(state: RoutedState, service: str) -> BudgetState:
    """Return this instance's share of the budget of a service."""
    budget = state.budgets.get(service)
    if budget is None:
        budget = state.budgets[service] = BudgetState(_budget_limits(state))
    return budget


def set_entry_count(state: RoutedState, count: int, connecting_count: int | None = None) -> None:
    """Divide the allowances among instances, and connections among those that callers use."""
    count = max(1, count)
    state.connecting_count = count if connecting_count is None else max(1, connecting_count)
    if count == state.entry_count:
        return
    state.entry_count = count
    limits = _budget_limits(state)
    for budget in state.budgets.values():
        set_limits(budget, limits)


def set_routes(state: RoutedState, routes: RouteTable) -> None:
    """Apply a version of the routes and forget services and routes that it no longer names."""
    state.routes = routes
    for service in [name for name in state.budgets if name not in routes.rules]:
        del state.budgets[service]
    route_names = {route.name for route in routes.routes.routes}
    for name in [name for name in state.latencies.services if name not in route_names]:
        del state.latencies.services[name]
    for name in [name for name in state.deadlines if name not in route_names]:
        del state.deadlines[name]
    services = shard_services(routes.routes)
    single_services = {each.service for route in routes.routes.routes for each in route.services}
    state.queue_waits.forget_services(services | single_services)
    state.queue_waits.forget_routes(route_names)
    gathers = [route.gather for route in routes.routes.routes if route.gather is not None]
    service_sets = {gather.shards for gather in gathers}
    service_sets |= {(service,) for service in single_services}
    for names in [names for names in state.admissions if names not in service_sets]:
        del state.admissions[names]


def route_latency(state: RoutedState, route_name: str) -> ServiceLatency:
    """Return the measured latency of attempts of a route."""
    return service_latency(state.latencies, route_name)


def deadlines_of(state: RoutedState, route_name: str) -> CallerDeadlines:
    """Return the deadlines that the callers of a route sent."""
    deadlines = state.deadlines.get(route_name)
    if deadlines is None:
        route = state.routes.find_by_name(route_name) if state.routes is not None else None
        # Without it, a caller that first connects would set the usual deadline.
        expected_ms = route.time_limit_ms if route is not None else None
        deadlines = state.deadlines[route_name] = CallerDeadlines(expected_ms)
    return deadlines


def endpoint_connection_limit(state: RoutedState, service: str) -> int:
    """Return how many connections this instance may hold to one endpoint of a service."""
    rule = state.routes.rules.get(service) if state.routes is not None else None
    if rule is None:
        return 1
    own_limit_count = round(rule.connection_limit * CONNECTION_FRACTION / state.connecting_count)
    per_endpoint_count = state.limits.connection_count // max(1, state.table.usable_count)
    return max(1, min(own_limit_count, per_endpoint_count))


def _budget_limits(state: RoutedState) -> BudgetLimits:
    own_allowance_count = state.limits.extra_allowance_count * DIVIDED_RATIO / state.entry_count
    return BudgetLimits(
        budget_fraction=state.limits.extra_share * DIVIDED_RATIO,
        allowance_count=own_allowance_count,
        reserve_count=own_allowance_count * RETRY_RESERVE_RATIO,
        window_fraction=1.0,
    )
