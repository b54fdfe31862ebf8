"""Hand over the work of an instance that is cut off from all endpoints to its peers."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from .delegation import MAX_GROUP_SHARD_COUNT, GroupPlan, available_helpers

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from .delegation import Helper, HelperTable
    from .routed_state import RoutedState

# If this many helpers could not take the work, all of them are probably cut off. The instance then
# tries the endpoints itself.
MAX_DECLINED_COUNT = 3


def plan_handover(
    state: RoutedState,
    table: HelperTable | None,
    now_ms: float,
    services: Iterable[str],
    declined: Collection[str],
) -> tuple[GroupPlan, ...]:
    """Divide shards among the helpers that have not declined; no groups if none can take them."""
    helpers = _receivers(state, table, now_ms, declined)
    if not helpers:
        return ()
    by_domain: defaultdict[str, list[Helper]] = defaultdict(list)
    for helper in helpers:
        by_domain[helper.failure_domain].append(helper)
    groups: list[GroupPlan] = []
    for domain, shards in _divide_by_domain(state, services, by_domain).items():
        group_count = -(-len(shards) // MAX_GROUP_SHARD_COUNT)
        near = by_domain[domain]
        for number in range(min(group_count, len(near))):
            part = tuple(shards[number :: min(group_count, len(near))])
            groups.append(GroupPlan(near[number], part))
    return tuple(groups)


def choose_receiver(
    state: RoutedState, table: HelperTable | None, now_ms: float, declined: Collection[str]
) -> Helper | None:
    """Return the helper that a single request is passed on to, None if it is not."""
    helpers = _receivers(state, table, now_ms, declined)
    near = [helper for helper in helpers if helper.failure_domain == state.failure_domain]
    return next(iter(near or helpers), None)


def _receivers(
    state: RoutedState, table: HelperTable | None, now_ms: float, declined: Collection[str]
) -> list[Helper]:
    """Return the helpers that can take work, the least loaded first."""
    if table is None or not state.reach.cut_off or len(declined) >= MAX_DECLINED_COUNT:
        return []
    helpers = [
        helper for helper in available_helpers(table, now_ms) if helper.instance not in declined
    ]
    state.random.shuffle(helpers)
    return sorted(helpers, key=lambda helper: helper.open_group_count)


def _divide_by_domain(
    state: RoutedState, services: Iterable[str], domains: Collection[str]
) -> dict[str, list[str]]:
    """Assign each shard to a failure domain with helpers, and to few of these in all."""
    options = {
        service: {load.record.failure_domain for load in state.table.usable(service)}.intersection(
            domains
        )
        for service in services
    }
    divided: dict[str, list[str]] = {}
    # Shards whose endpoints have no helper near them go where most of the others do.
    elsewhere = [service for service, near in options.items() if not near]
    remaining = [service for service, near in options.items() if near]
    while remaining:
        counts = {
            domain: sum(domain in options[service] for service in remaining) for domain in domains
        }
        # Replies from the own failure domain cross no other.
        domain = max(counts, key=lambda name: (counts[name], name == state.failure_domain))
        divided[domain] = [service for service in remaining if domain in options[service]]
        remaining = [service for service in remaining if domain not in options[service]]
    if elsewhere:
        first = next(iter(divided or domains))
        divided[first] = divided.get(first, []) + elsewhere
    return divided
