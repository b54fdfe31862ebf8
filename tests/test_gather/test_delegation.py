"""Guard against shards of a query that no instance asks for."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

from pistachioloft_core.messages.fleet import InstanceLocation
from pistachioloft_core.request.delegation import (
    HelperTable,
    ShardAssignment,
    ShardPlace,
    divide_domain,
    own_shards,
    plan_query,
    set_helpers,
    suspend_helper,
)

DOMAINS = 'abc'
SHARDS = tuple(f's{number}' for number in range(90))


def make_table() -> HelperTable:
    table = HelperTable()
    locations = [
        InstanceLocation(f'{domain}{number}', domain) for domain in DOMAINS for number in range(3)
    ]
    set_helpers(table, locations, 'a0', 0.0)
    return table


def test_shards_of_a_suspended_helper_go_to_the_others_of_its_domain() -> None:
    """Guard against shards dealt out by position whose only helper is suspended."""
    table = make_table()
    load: Any = SimpleNamespace(record=SimpleNamespace(failure_domain='b'))
    assignments = [
        ShardAssignment(position, SHARDS[position], load) for position in range(1, len(SHARDS), 3)
    ]
    services = sorted(assignment.service for assignment in assignments)
    for suspended in ((), ('b1',), ('b0', 'b1')):
        for name in suspended:
            suspend_helper(table.helpers[name], 0.0)
        plan = plan_query(table, 0.0, 'a', assignments, random.Random(1))
        assert not plan.direct
        assert sorted(service for group in plan.groups for service in group.services) == services
        assert not {group.helper.instance for group in plan.groups} & set(suspended)


def test_own_shards_are_those_that_a_query_asks_near_endpoints_for() -> None:
    """Guard against connections to other shards than those that queries ask for here."""
    table = make_table()
    near = frozenset(SHARDS[40:])
    places = [
        ShardPlace(position, service) for position, service in enumerate(SHARDS) if service in near
    ]
    plan = divide_domain(table, 0.0, 'a', places)
    assert plan is not None
    asked = {place.service for place in plan.own}
    assert own_shards(table, 0.0, 'a', SHARDS, near) == asked
