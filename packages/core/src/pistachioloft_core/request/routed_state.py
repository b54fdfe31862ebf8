"""Hold the state that all routed requests of one entry instance share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..connection.reach import EndpointReach
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


class RoutedState:
    """Hold the routes, the endpoints and the budgets of one entry instance."""

    __slots__ = (
        'admissions',
        'answer_delay',
        'budgets',
        'changed_statements',
        'deadlines',
        'entry_count',
        'failure_domain',
        'instance',
        'latencies',
        'limited_endpoints',
        'limits',
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
        # By set of shards.
        self.admissions: dict[tuple[str, ...], QueryAdmission] = {}
        # Endpoints that state a limit, and those with statements that were not logged yet.
        self.limited_endpoints: set[str] = set()
        self.changed_statements: list[EndpointLoad] = []
        # Endpoints that placements wanted to use and had no permit for.
        self.wanted_permits: dict[str, EndpointLoad] = {}
        # Mean round trips to the endpoints of other failure domains.
        self.round_trips_ms: dict[str, float] = {}
        # Number of instances that share the allowances and the endpoints' connections.
        self.entry_count = 1


def budget_of(state: RoutedState, service: str) -> BudgetState:
    """Return this instance's share of the budget of a service."""
    budget = state.budgets.get(service)
    if budget is None:
        budget = state.budgets[service] = BudgetState(_budget_limits(state))
    return budget


def set_entry_count(state: RoutedState, count: int) -> None:
    """Divide the allowances among another number of entry instances."""
    count = max(1, count)
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
    state.queue_waits.forget_services(shard_services(routes.routes))
    gathers = [route.gather for route in routes.routes.routes if route.gather is not None]
    shard_sets = {gather.shards for gather in gathers}
    for shards in [shards for shards in state.admissions if shards not in shard_sets]:
        del state.admissions[shards]


def route_latency(state: RoutedState, route_name: str) -> ServiceLatency:
    """Return the measured latency of attempts of a route."""
    return service_latency(state.latencies, route_name)


def deadlines_of(state: RoutedState, route_name: str) -> CallerDeadlines:
    """Return the deadlines that the callers of a route sent."""
    return state.deadlines.setdefault(route_name, CallerDeadlines())


def endpoint_connection_limit(state: RoutedState, service: str) -> int:
    """Return how many connections this instance may hold to one endpoint of a service."""
    rule = state.routes.rules.get(service) if state.routes is not None else None
    if rule is None:
        return 1
    own_limit_count = round(rule.connection_limit * CONNECTION_FRACTION / state.entry_count)
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
