"""Plan which shards of a query are delegated to other entry instances."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from ..process.directory import PART_SHARD_COUNT
from ..util.delay_estimate import DelayEstimate

if TYPE_CHECKING:
    import random
    from collections.abc import Container, Iterable

    from ..connection.endpoint_load import EndpointLoad
    from ..messages.fleet import InstanceLocation

# A delegated group costs one request and usually one reply between failure domains instead of
# one per shard; smaller groups do not make up for the extra hop.
MIN_REMOTE_GROUP_SHARD_COUNT = 3
# An instance queries at most this many shards of a query in its failure domain if other instances
# there can share them: one process sends and reads them one after the other.
MAX_GROUP_SHARD_COUNT = 20
# A new connection occupies a slot of its endpoint for about 6 ms. If this many entry instances
# connect at the same time, two slots are busy for 24 ms, less than the hedge delay.
PRECONNECT_MAX_ENTRY_COUNT = 8
# When instances start together, each is briefly an advertised entry instance. An instance
# preconnects only after its role has been stable for two polls.
PRECONNECT_DELAY_MS = 600.0
# A helper that sent nothing of a group in time is suspended for this long.
SUSPENSION_MS = 2_000.0
# A helper that could query none of the shards of a group is avoided for this long.
UNABLE_MS = 500.0
# Round trip to a helper, with the queueing at both ends, and its deviation until both are
# measured. A group is late after the mean round trip plus four deviations.
INITIAL_ROUND_TRIP_MS = 4.0
INITIAL_DEVIATION_MS = 1.0


class Helper:
    """Hold the state of one entry instance to which groups can be delegated."""

    __slots__ = (
        'failure_domain',
        'instance',
        'open_group_count',
        'round_trip',
        'suspended_until_ms',
    )

    def __init__(self, instance: str, failure_domain: str) -> None:
        self.instance = instance
        self.failure_domain = failure_domain
        self.suspended_until_ms = float('-inf')
        self.open_group_count = 0
        self.round_trip = DelayEstimate(INITIAL_ROUND_TRIP_MS, INITIAL_DEVIATION_MS)

    def overhead_ms(self) -> float:
        """Return the time that delegation may add to the helper's own processing time."""
        return self.round_trip.bound_ms


class HelperTable:
    """Hold the other entry instances that serve as helpers, and whether this one does."""

    __slots__ = ('helpers', 'is_helper', 'own_instance', 'role_changed_ms')

    def __init__(self) -> None:
        # When the role that decides about preconnecting last changed.
        self.role_changed_ms = float('-inf')
        self.own_instance = ''
        # Whether this instance helps others too, so that it connects to endpoints near it.
        self.is_helper = False
        self.helpers: dict[str, Helper] = {}


@dataclass(frozen=True, slots=True)
class ShardPlace:
    """Locate a shard in a query; the helper that gets it chooses its endpoint."""

    # Index of the shard in the route's list of shards.
    position: int
    service: str


@dataclass(frozen=True, slots=True)
class ShardAssignment:
    """Pair a shard's service with the endpoint that is expected to reply first."""

    # Index of the shard in the route's list of shards.
    position: int
    service: str
    load: EndpointLoad

    def on_endpoint(self, load: EndpointLoad) -> ShardAssignment:
        """Return the assignment of the shard to another endpoint."""
        return ShardAssignment(self.position, self.service, load)


_Placed = TypeVar('_Placed', ShardPlace, ShardAssignment)


@dataclass(frozen=True, slots=True)
class GroupPlan:
    """List the shards that are delegated to one helper."""

    helper: Helper
    services: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DomainPlan:
    """Divide the shards of one failure domain; the own ones still need an endpoint."""

    own: tuple[ShardPlace, ...]
    groups: tuple[GroupPlan, ...]


@dataclass(frozen=True, slots=True)
class QueryPlan:
    """Divide shards into those queried directly and those delegated to helpers."""

    direct: tuple[ShardAssignment, ...]
    groups: tuple[GroupPlan, ...]


def set_helpers(
    table: HelperTable,
    locations: Iterable[InstanceLocation],
    own_instance: str,
    now_ms: float = float('-inf'),
) -> None:
    """Replace the helpers; those that remain keep their measurements and suspensions."""
    before = _preconnect_role(table)
    table.own_instance = own_instance
    domain_by_instance = {location.instance: location.failure_domain for location in locations}
    table.is_helper = domain_by_instance.pop(own_instance, None) is not None
    table.helpers = {
        name: table.helpers.get(name) or Helper(name, domain)
        for name, domain in domain_by_instance.items()
    }
    if _preconnect_role(table) != before:
        table.role_changed_ms = now_ms


def _preconnect_role(table: HelperTable) -> tuple[bool, bool, frozenset[str]]:
    """Return the facts that decide to which endpoints an instance preconnects."""
    domains = frozenset(helper.failure_domain for helper in table.helpers.values())
    return table.is_helper, len(table.helpers) < PRECONNECT_MAX_ENTRY_COUNT, domains


def plan_query(
    table: HelperTable,
    now_ms: float,
    own_domain: str,
    assignments: Iterable[ShardAssignment],
    random_source: random.Random,
) -> QueryPlan:
    """Choose a helper for each group of shards that is in another failure domain or large."""
    # An instance that is no helper delegates all shards: it receives too few requests to
    # justify connections of its own, and the connections of an endpoint are limited.
    domains: defaultdict[str, list[ShardAssignment]] = defaultdict(list)
    for assignment in assignments:
        domains[assignment.load.record.failure_domain].append(assignment)
    direct: list[ShardAssignment] = []
    groups: list[GroupPlan] = []
    for domain, group in sorted(domains.items()):
        helpers = _available_in_domain(table, now_ms, domain)
        takes_part = domain == own_domain and table.is_helper
        if len(group) > MAX_GROUP_SHARD_COUNT and helpers:
            own_assignments, delegated = _divide_group(table, domain, takes_part, helpers, group)
            direct += own_assignments
            groups += delegated
        elif (
            helpers
            and not takes_part
            and (len(group) >= MIN_REMOTE_GROUP_SHARD_COUNT or not table.is_helper)
        ):
            random_source.shuffle(helpers)
            helper = min(helpers, key=lambda candidate: candidate.open_group_count)
            groups.append(_make_group(helper, group))
        else:
            direct += group
    return QueryPlan(tuple(direct), tuple(groups))


def divide_domain(
    table: HelperTable, now_ms: float, domain: str, places: list[ShardPlace]
) -> DomainPlan | None:
    """Divide many shards of one failure domain among its instances, None if it has no helper."""
    helpers = _available_in_domain(table, now_ms, domain)
    if len(places) <= MAX_GROUP_SHARD_COUNT or not helpers:
        return None
    own, groups = _divide_group(table, domain, table.is_helper, helpers, places)
    return DomainPlan(tuple(own), tuple(groups))


def own_shards(
    table: HelperTable,
    now_ms: float,
    own_domain: str,
    shards: tuple[str, ...],
    near_services: Container[str],
) -> frozenset[str]:
    """Return the shards of a query that this instance asks near endpoints for."""
    if not table.is_helper:
        return frozenset()
    places = [
        ShardPlace(position, service)
        for position, service in enumerate(shards)
        if service in near_services
    ]
    plan = divide_domain(table, now_ms, own_domain, places)
    return frozenset(shards if plan is None else (place.service for place in plan.own))


def should_preconnect(
    table: HelperTable, now_ms: float, own_domain: str, domain: str, is_shard: bool
) -> bool:
    """Return whether this instance opens connections to endpoints in advance."""
    if not table.is_helper or now_ms - table.role_changed_ms < PRECONNECT_DELAY_MS:
        return False
    connects_to_domain = domain == own_domain or len(table.helpers) < PRECONNECT_MAX_ENTRY_COUNT
    # Shards of another failure domain are delegated to a helper there, except for hedges and
    # groups of one or two shards.
    return (
        connects_to_domain
        or not is_shard
        or not any(helper.failure_domain == domain for helper in table.helpers.values())
    )


def record_group_sent(helper: Helper) -> None:
    """Count a group that was sent to a helper."""
    helper.open_group_count += 1


def record_round_trip(helper: Helper, round_trip_ms: float) -> None:
    """Record the round trip time of one group to a helper."""
    helper.round_trip.record(round_trip_ms)


def record_group_ended(helper: Helper) -> None:
    """Record that a helper no longer processes a group."""
    helper.open_group_count = max(0, helper.open_group_count - 1)


def suspend_helper(helper: Helper, now_ms: float) -> None:
    """Suspend a helper that sent nothing of a group in time for the answer."""
    helper.suspended_until_ms = now_ms + SUSPENSION_MS


def record_unable_helper(helper: Helper, now_ms: float) -> None:
    """Record that a helper could not query any shard of a group."""
    helper.suspended_until_ms = max(helper.suspended_until_ms, now_ms + UNABLE_MS)


def record_silent_helper(helper: Helper, now_ms: float) -> None:
    """Record that a helper sent nothing at all for a group, and suspend it."""
    record_group_ended(helper)
    suspend_helper(helper, now_ms)


def available_helpers(table: HelperTable, now_ms: float) -> list[Helper]:
    """Return the helpers that are not suspended."""
    return [helper for helper in table.helpers.values() if now_ms >= helper.suspended_until_ms]


def _available_in_domain(table: HelperTable, now_ms: float, domain: str) -> list[Helper]:
    return [
        helper for helper in available_helpers(table, now_ms) if helper.failure_domain == domain
    ]


def _divide_group(
    table: HelperTable,
    domain: str,
    takes_part: bool,
    available: list[Helper],
    group: list[_Placed],
) -> tuple[list[_Placed], list[GroupPlan]]:
    """Divide a large group so that all instances delegate a shard to the same instance."""
    # An instance that sends all requests of its failure domain to an endpoint observes the
    # endpoint's load and latency in time; one that sends a sixth of them observes both too late.
    names = [name for name, other in table.helpers.items() if other.failure_domain == domain]
    if takes_part:
        names.append(table.own_instance)
    by_instance: dict[str, Helper] = {helper.instance: helper for helper in available}
    member_count = min(len(names), -(-len(group) // PART_SHARD_COUNT))
    members = _choose_members(names, member_count, {table.own_instance, *by_instance})
    by_member: defaultdict[str, list[_Placed]] = defaultdict(list)
    for assignment in group:
        by_member[members[assignment.position % member_count]].append(assignment)
    own_assignments = by_member.pop(table.own_instance, [])
    unassigned = [
        assignment
        for name in by_member
        if name not in by_instance
        for assignment in by_member[name]
    ]
    delegated = {
        name: helper_assignments
        for name, helper_assignments in by_member.items()
        if name in by_instance
    }
    # Without a substitute, the shards of an unavailable helper are spread over the other members.
    receivers = list(delegated.values())
    if takes_part:
        receivers.insert(0, own_assignments)
    if not receivers:
        # None of the members that the shards belong to is available, but other helpers are.
        delegated = {name: [] for name in sorted(by_instance)}
        receivers = list(delegated.values())
    for number, assignment in enumerate(unassigned):
        receivers[number % len(receivers)].append(assignment)
    return own_assignments, [
        _make_group(by_instance[name], helper_assignments)
        for name, helper_assignments in sorted(delegated.items())
        if helper_assignments
    ]


def _choose_members(names: list[str], count: int, available: set[str]) -> list[str]:
    """Return the first instances by name, and later ones in place of the unavailable."""
    ordered = sorted(names)
    substitutes = iter([name for name in ordered[count:] if name in available])
    return [name if name in available else next(substitutes, name) for name in ordered[:count]]


def _make_group(helper: Helper, assignments: Iterable[ShardAssignment | ShardPlace]) -> GroupPlan:
    return GroupPlan(helper, tuple(assignment.service for assignment in assignments))
