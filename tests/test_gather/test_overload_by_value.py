"""Guard against overloads in which the requests that callers need most are refused."""

# The load: several kinds of requests and organisations, at entries with uneven shares of them,
# together more than the endpoints can run.

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import TYPE_CHECKING

import pytest

from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.routes import Organisation, Route, RouteSet
from pistachioloft_core.request.attempts import Deliver, DeliverMerged, Refuse
from pistachioloft_core.request.routed_state import set_entry_count, set_routes
from pistachioloft_core.request.value_order import MIN_SHARE_RATIO, PRIORITY_WEIGHT_RATIO
from pistachioloft_core.version.route_table import RouteTable
from tests.test_gather.queueing_endpoint import QueueingEndpoint
from tests.test_gather.routed_simulation import SimulatedRequest, Simulation

if TYPE_CHECKING:
    from collections.abc import Callable

SHARD_COUNT = 4
REPLICA_COUNT = 2
SLOT_COUNT = 2
SERVICE_MS = 5.0
# Work that the endpoints of each shard can run in a second.
CAPACITY_MS_PER_S = REPLICA_COUNT * SLOT_COUNT * 1_000.0
# Of the best that a policy with full knowledge reaches.
GOODPUT_TARGET = 0.85
REFUSED_TARGET = 0.001
# A refusal must arrive within this fraction of the latency target.
REFUSAL_RATIO = 0.25
# No kind or organisation may be served less often than this fraction of all.
STARVED_RATIO = 0.25
# The share of the callers of each entry.
ENTRY_SHARES = (0.5, 0.3, 0.2)
MAX_STEP_COUNT = 1_000_000


@dataclass(frozen=True, slots=True)
class PlayedKind:
    """Describe the requests of one route: their share of all, and the work that one needs."""

    name: str
    priority: int
    latency_target_ms: float
    work_ms: float
    request_share: float


PROBE = PlayedKind('probe', 0, 60.0, 5.0, 0.35)
SWEEP = PlayedKind('sweep', 1, 120.0, 15.0, 0.4)
REPORT = PlayedKind('report', 2, 200.0, 20.0, 0.25)
KINDS = (PROBE, SWEEP, REPORT)
MEAN_WORK_MS = sum(kind.request_share * kind.work_ms for kind in KINDS)


class Fleet:
    """Hold simulations of several entries that share their endpoints."""

    def __init__(self, kinds: tuple[PlayedKind, ...] = KINDS, organisation_count: int = 0) -> None:
        self.kinds = kinds
        self.entries = [Simulation(SHARD_COUNT, REPLICA_COUNT) for _ in ENTRY_SHARES]
        self.random = self.entries[0].random
        self.organisations = [f'o{number}' for number in range(organisation_count)]
        first = self.entries[0]
        self.routes = {kind.name: _route(first, kind) for kind in kinds}
        ratios = {kind.name: kind.work_ms / SERVICE_MS for kind in kinds}
        endpoints = {
            name: QueueingEndpoint(first, SERVICE_MS, SLOT_COUNT, work_ratios=ratios)
            for name in first.behaviours
        }
        for entry in self.entries:
            assert entry.state.routes is not None
            rules = entry.state.routes.routes.services
            organisations = tuple(Organisation(name) for name in self.organisations)
            route_set = RouteSet(2, tuple(self.routes.values()), rules)
            route_set = dataclasses.replace(route_set, organisations=organisations)
            set_routes(entry.state, RouteTable(route_set))
            set_entry_count(entry.state, len(self.entries))
            entry.behaviours.update(endpoints)

    def offer(
        self, factor: float, start_ms: float, end_ms: float, weights: list[float] | None = None
    ) -> None:
        """Let requests arrive that need a multiple of the capacity."""
        mean_ms = sum(kind.request_share * kind.work_ms for kind in self.kinds)
        per_ms = factor * CAPACITY_MS_PER_S / mean_ms / 1_000.0
        at_ms = start_ms
        while at_ms < end_ms:
            entry = self.random.choices(self.entries, ENTRY_SHARES)[0]
            shares = [kind.request_share for kind in self.kinds]
            kind = self.random.choices(self.kinds, shares)[0]
            organisation = ''
            if self.organisations:
                organisation = self.random.choices(self.organisations, weights)[0]
            entry.at(at_ms, _caller(entry, kind, self.routes[kind.name], organisation))
            at_ms += self.random.expovariate(per_ms)

    def run(self, until_ms: float) -> None:
        """Advance the time of all entries together."""
        for _ in range(MAX_STEP_COUNT):
            due = [(entry.next_event_ms(), entry) for entry in self.entries]
            at_ms, entry = min(due, key=lambda item: item[0])
            if at_ms > until_ms:
                return
            for other in self.entries:
                other.now_ms = at_ms
            entry.run(at_ms)

    def arrived(self, start_ms: float, end_ms: float) -> list[SimulatedRequest]:
        return [
            item
            for entry in self.entries
            for item in entry.simulated
            if start_ms <= item.arrived_ms < end_ms
        ]


def _route(simulation: Simulation, kind: PlayedKind) -> Route:
    return dataclasses.replace(
        simulation.gather_route,
        name=kind.name,
        path_prefix=f'/{kind.name}/',
        latency_target_ms=kind.latency_target_ms,
        priority=kind.priority,
    )


def _caller(
    entry: Simulation, kind: PlayedKind, route: Route, organisation: str
) -> Callable[[], object]:
    return lambda: entry.query(kind.latency_target_ms, route=route, organisation=organisation)


def is_in_time(item: SimulatedRequest) -> bool:
    answer = item.answer
    target_ms = item.state.route.latency_target_ms
    return (
        answer is not None
        and isinstance(answer.action, DeliverMerged)
        and answer.at_ms - item.arrived_ms <= target_ms
    )


def is_refused(item: SimulatedRequest) -> bool:
    return item.answer is not None and isinstance(item.answer.action, Refuse)


def goodput_per_s(items: list[SimulatedRequest], duration_s: float) -> float:
    """Return the requests that were answered in time, weighted by their priority."""
    weights = [PRIORITY_WEIGHT_RATIO**-item.state.priority for item in items if is_in_time(item)]
    return sum(weights) / duration_s


def best_goodput_per_s(factor: float) -> float:
    """Return the goodput if the capacity is filled in order of value per work, with floors."""
    by_value = sorted(KINDS, key=lambda kind: PRIORITY_WEIGHT_RATIO**kind.priority * kind.work_ms)
    mean_share = 1.0 / factor
    for _ in range(50):
        # No kind is admitted less often than this fraction of all.
        floor = MIN_SHARE_RATIO * mean_share
        left_ms = MEAN_WORK_MS * (1.0 / factor - floor)
        shares = {}
        for kind in by_value:
            arriving_ms = kind.request_share * kind.work_ms
            added_ms = min(left_ms, (1.0 - floor) * arriving_ms)
            left_ms -= added_ms
            shares[kind] = floor + added_ms / arriving_ms
        mean_share = sum(share * kind.request_share for kind, share in shares.items())
    all_per_s = factor * CAPACITY_MS_PER_S / MEAN_WORK_MS
    return all_per_s * sum(
        share * kind.request_share * PRIORITY_WEIGHT_RATIO**-kind.priority
        for kind, share in shares.items()
    )


def served_share(items: list[SimulatedRequest]) -> float:
    return sum(not is_refused(item) for item in items) / len(items)


def of_kind(items: list[SimulatedRequest], kind: PlayedKind) -> list[SimulatedRequest]:
    return [item for item in items if item.state.route.name == kind.name]


def of_organisation(items: list[SimulatedRequest], name: str) -> list[SimulatedRequest]:
    return [item for item in items if item.state.organisation == name]


@pytest.mark.parametrize('seed', [1, 5, 7])
@pytest.mark.parametrize('factor', [1.5, 2.5, 4.0])
def test_capacity_serves_what_is_worth_most(factor: float, seed: int) -> None:
    """Guard against goodput far below what the same capacity can reach."""
    fleet = Fleet()
    fleet.random.seed(seed)
    fleet.offer(0.4, 0.0, 1_000.0)
    fleet.offer(factor, 1_000.0, 6_000.0)
    fleet.offer(0.4, 6_000.0, 10_000.0)
    fleet.run(11_000.0)
    overload = fleet.arrived(2_000.0, 6_000.0)
    assert goodput_per_s(overload, 4.0) >= GOODPUT_TARGET * best_goodput_per_s(factor)
    shares = [served_share(of_kind(overload, kind)) for kind in KINDS]
    assert min(shares) >= STARVED_RATIO * served_share(overload)
    # The kinds are in order of their urgency.
    assert shares == sorted(shares, reverse=True)
    for item in filter(is_refused, overload):
        assert item.answer is not None
        refused_after_ms = item.answer.at_ms - item.arrived_ms
        assert refused_after_ms <= REFUSAL_RATIO * item.state.route.latency_target_ms
    assert not any(map(is_refused, fleet.arrived(8_000.0, 10_000.0)))


def test_nothing_is_refused_in_calm() -> None:
    """Guard against refusals of organisations or kinds while there is room for all."""
    fleet = Fleet(organisation_count=4)
    fleet.offer(0.4, 0.0, 20_000.0, [20.0, 1.0, 1.0, 1.0])
    fleet.run(21_000.0)
    items = fleet.arrived(0.0, 20_000.0)
    assert sum(map(is_refused, items)) < REFUSED_TARGET * len(items)


def test_organisation_that_sends_many_times_the_others_gives_way() -> None:
    """Guard against organisations that are refused because of another one's requests."""
    fleet = Fleet(organisation_count=8)
    calm = [1.0] * 8
    fleet.offer(0.5, 0.0, 4_000.0, calm)
    fleet.offer(0.5, 4_000.0, 10_000.0, calm)
    fleet.offer(2.0, 4_000.0, 10_000.0, [1.0] + [0.0] * 7)
    fleet.run(11_000.0)
    overload = fleet.arrived(5_000.0, 10_000.0)
    # All of the most urgent kind fit, and the least urgent one is at the floor.
    sweeps = of_kind(overload, SWEEP)
    large = of_organisation(sweeps, 'o0')
    others = [item for item in sweeps if item.state.organisation != 'o0']
    assert served_share(others) >= 1.5 * served_share(large)
    for name in fleet.organisations:
        share = served_share(of_organisation(overload, name))
        assert share >= STARVED_RATIO * served_share(overload)


def test_query_that_cannot_end_in_time_is_refused_at_once() -> None:
    """Guard against work for callers who will have left."""
    fleet = Fleet()
    fleet.offer(0.4, 0.0, 2_000.0)
    fleet.run(3_000.0)
    entry, route = fleet.entries[0], fleet.routes['sweep']
    sent_count = len(entry.sent)
    too_late = entry.query(120.0, limit_ms=5.0, route=route)
    assert too_late.answer is not None
    assert isinstance(too_late.answer.action, Refuse)
    assert too_late.answer.action.code is ResultCode.DEADLINE_TOO_SHORT
    assert len(entry.sent) == sent_count
    assert entry.query(120.0, limit_ms=50.0, route=route).answer is None


@pytest.mark.parametrize('factor', [1.5, 4.0])
def test_requests_to_one_endpoint_are_refused_before_all_are_late(factor: float) -> None:
    """Guard against queues of single requests in which each waits past its target."""
    simulation = Simulation()
    service_ms, target_ms = 80.0, simulation.single_route.latency_target_ms
    for name in ('s0-0', 's0-1'):
        simulation.behaviours[name] = QueueingEndpoint(simulation, service_ms, SLOT_COUNT)
    capacity_per_s = CAPACITY_MS_PER_S / service_ms
    at_ms = 0.0
    while at_ms < 8_000.0:
        simulation.at(at_ms, simulation.request)
        per_s = (factor if at_ms >= 1_000.0 else 0.4) * capacity_per_s
        at_ms += simulation.random.expovariate(per_s / 1_000.0)
    simulation.run(12_000.0)
    overload = [item for item in simulation.simulated if 3_000.0 <= item.arrived_ms < 8_000.0]
    in_time = [
        item
        for item in overload
        if item.answer is not None
        and isinstance(item.answer.action, Deliver)
        and item.answer.at_ms - item.arrived_ms <= target_ms
    ]
    assert len(in_time) / 5.0 >= GOODPUT_TARGET * capacity_per_s
