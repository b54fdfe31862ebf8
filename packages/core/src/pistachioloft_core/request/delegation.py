"""Which shards of a query are asked through another entry instance."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from ..connection.endpoint_load import EndpointLoad
    from ..messages.fleet import InstanceLocation

# A relayed group is one request and mostly one reply between failure domains, in place of as
# many as it has shards; below this count the extra hop is not worth it.
SMALLEST_GROUP_COUNT = 3
# An instance asks at most this many shards of one query itself where others of its failure
# domain can share them: sending and reading a hundred takes longer than a quick answer may.
OWN_GROUP_COUNT = 20
# Groups near an instance are not smaller than this on the average: each is one more message.
NEAR_GROUP_COUNT = 10
# A new connection holds a slot of its endpoint for about 6 ms. Where no more entry instances than
# this open one at the same time, two slots are busy for 24 ms, less than a hedge waits.
PRECONNECT_ENTRY_LIMIT_COUNT = 8
# While instances start together, each of them is among those with callers for a moment. None opens
# connections before its part has been the same for two polls.
PRECONNECT_DELAY_MS = 600.0
# A helper that sent nothing of a group in time is left alone for this time, then tried again.
SUSPEND_MS = 2_000.0
# The round trip to a helper with its waiting at both ends, and how much that varies, until
# both are learned. What takes longer than the mean and four deviations is late.
FIRST_ROUND_TRIP_MS = 4.0
FIRST_DEVIATION_MS = 1.0
ROUND_TRIP_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATION_COUNT = 4.0


class Helper:
    """Hold what is known of one entry instance that can relay."""

    __slots__ = (
        'deviation_ms',
        'failure_domain',
        'instance',
        'open_count',
        'round_trip_ms',
        'suspended_until_ms',
    )

    def __init__(self, instance: str, failure_domain: str) -> None:
        self.instance = instance
        self.failure_domain = failure_domain
        self.suspended_until_ms = float('-inf')
        self.open_count = 0
        self.round_trip_ms = FIRST_ROUND_TRIP_MS
        self.deviation_ms = FIRST_DEVIATION_MS

    def overhead_ms(self) -> float:
        """Return what a relay may take beyond the time in which the helper holds it."""
        return self.round_trip_ms + DEVIATION_COUNT * self.deviation_ms


class HelperTable:
    """Hold the other entry instances that callers are sent to."""

    __slots__ = ('changed_ms', 'helpers', 'own_advertised', 'own_instance')

    def __init__(self) -> None:
        # When the part of this instance changed last.
        self.changed_ms = float('-inf')
        self.own_instance = ''
        # Callers are sent to this instance as well, so it keeps connections to near endpoints.
        self.own_advertised = False
        self.helpers: dict[str, Helper] = {}


@dataclass(frozen=True, slots=True)
class ShardAssignment:
    """Name a shard's service and the endpoint that is expected to answer first."""

    # The place of the shard in the list of the route.
    position: int
    service: str
    load: EndpointLoad


@dataclass(frozen=True, slots=True)
class GroupPlan:
    """Ask for some shards through one helper."""

    helper: Helper
    services: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class QueryPlan:
    """Divide shards into those asked from here and those asked through helpers."""

    direct: tuple[ShardAssignment, ...]
    groups: tuple[GroupPlan, ...]


def set_helpers(
    table: HelperTable,
    locations: Iterable[InstanceLocation],
    own_instance: str,
    now_ms: float = float('-inf'),
) -> None:
    """Replace the helpers; those that stay keep what was learned of them."""
    before = _part_of(table)
    table.own_instance = own_instance
    named = {location.instance: location.failure_domain for location in locations}
    table.own_advertised = named.pop(own_instance, None) is not None
    table.helpers = {
        name: table.helpers.get(name) or Helper(name, domain) for name, domain in named.items()
    }
    if _part_of(table) != before:
        table.changed_ms = now_ms


def _part_of(table: HelperTable) -> tuple[bool, bool, frozenset[str]]:
    """Return what decides which connections an instance opens before it needs them."""
    domains = frozenset(helper.failure_domain for helper in table.helpers.values())
    return table.own_advertised, len(table.helpers) < PRECONNECT_ENTRY_LIMIT_COUNT, domains


def plan_query(
    table: HelperTable,
    now_ms: float,
    own_domain: str,
    assignments: Iterable[ShardAssignment],
    random_source: random.Random,
) -> QueryPlan:
    """Choose a helper for each group of shards that is far away or large."""
    # An instance without callers delegates all shards: the few requests that it gets are not
    # worth connections, of which an endpoint takes only some.
    domains: defaultdict[str, list[ShardAssignment]] = defaultdict(list)
    for assignment in assignments:
        domains[assignment.load.record.failure_domain].append(assignment)
    direct: list[ShardAssignment] = []
    groups: list[GroupPlan] = []
    for domain, group in sorted(domains.items()):
        helpers = _available(table, now_ms, domain)
        if domain == own_domain and (table.own_advertised or len(group) > OWN_GROUP_COUNT):
            own, delegated = _divide_near(table, own_domain, helpers, group)
            direct += own
            groups += delegated
        elif helpers and (len(group) >= SMALLEST_GROUP_COUNT or not table.own_advertised):
            random_source.shuffle(helpers)
            helper = min(helpers, key=lambda each: each.open_count)
            groups.append(_make_group(helper, group))
        else:
            direct += group
    return QueryPlan(tuple(direct), tuple(groups))


def should_preconnect(
    table: HelperTable, now_ms: float, own_domain: str, domain: str, is_shard: bool
) -> bool:
    """Tell whether this instance opens connections to an endpoint before it needs them."""
    if not table.own_advertised or now_ms - table.changed_ms < PRECONNECT_DELAY_MS:
        return False
    near = domain == own_domain or len(table.helpers) < PRECONNECT_ENTRY_LIMIT_COUNT
    # Shards of another failure domain are asked through a helper there; only hedges and groups
    # of one or two are not.
    return (
        near
        or not is_shard
        or not any(helper.failure_domain == domain for helper in table.helpers.values())
    )


def record_group_sent(helper: Helper) -> None:
    """Count a group that was sent to a helper."""
    helper.open_count += 1


def record_round_trip(helper: Helper, round_trip_ms: float) -> None:
    """Record the round trip time of one group to a helper."""
    error_ms = round_trip_ms - helper.round_trip_ms
    helper.round_trip_ms += ROUND_TRIP_WEIGHT * error_ms
    helper.deviation_ms += DEVIATION_WEIGHT * (abs(error_ms) - helper.deviation_ms)


def record_group_ended(helper: Helper) -> None:
    """Take note that a helper has a group no longer."""
    helper.open_count = max(0, helper.open_count - 1)


def suspend_helper(helper: Helper, now_ms: float) -> None:
    """Leave a helper alone that sent nothing of a group in time for the answer."""
    helper.suspended_until_ms = now_ms + SUSPEND_MS


def record_silent_helper(helper: Helper, now_ms: float) -> None:
    """Take note that a helper gave no sign of a group at all."""
    record_group_ended(helper)
    suspend_helper(helper, now_ms)


def _available(table: HelperTable, now_ms: float, domain: str) -> list[Helper]:
    return [
        helper
        for helper in table.helpers.values()
        if helper.failure_domain == domain and now_ms >= helper.suspended_until_ms
    ]


def _divide_near(
    table: HelperTable, own_domain: str, available: list[Helper], group: list[ShardAssignment]
) -> tuple[list[ShardAssignment], list[GroupPlan]]:
    """Divide a large group so that all instances ask for a shard through the same one."""
    # An instance that gets all requests for an endpoint from its failure domain knows how loaded
    # and how slow it is; one that gets a sixth of them learns it too late.
    if len(group) <= OWN_GROUP_COUNT or not available:
        return group, []
    names = [name for name, each in table.helpers.items() if each.failure_domain == own_domain]
    if table.own_advertised:
        names.append(table.own_instance)
    member_count = min(len(names), -(-len(group) // NEAR_GROUP_COUNT))
    members = sorted(names)[:member_count]
    parts: defaultdict[str, list[ShardAssignment]] = defaultdict(list)
    for assignment in group:
        parts[members[assignment.position % member_count]].append(assignment)
    own = parts.pop(table.own_instance, [])
    present = {helper.instance: helper for helper in available}
    homeless = [assignment for name in parts if name not in present for assignment in parts[name]]
    delegated = {name: part for name, part in parts.items() if name in present}
    # What a silent helper would ask for is spread over the others.
    receivers = list(delegated.values())
    if table.own_advertised or not receivers:
        receivers.insert(0, own)
    for number, assignment in enumerate(homeless):
        receivers[number % len(receivers)].append(assignment)
    return own, [_make_group(present[name], part) for name, part in sorted(delegated.items())]


def _make_group(helper: Helper, assignments: list[ShardAssignment]) -> GroupPlan:
    return GroupPlan(helper, tuple(assignment.service for assignment in assignments))
