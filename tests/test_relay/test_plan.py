"""Guard against delegation that costs more than it saves or uses unreachable instances."""

from __future__ import annotations

import random

from pistachioloft_core.connection.endpoint_load import EndpointLoad
from pistachioloft_core.messages.fleet import ENDPOINT_READY, AnnouncedEndpoint, InstanceLocation
from pistachioloft_core.request import delegation
from pistachioloft_core.request.delegation import ShardAssignment


def assignment(number: int, domain: str) -> ShardAssignment:
    service = f's{number}'
    record = AnnouncedEndpoint(
        f'i-{number}', service, f'10.0.0.{number}:80', domain, 2, ENDPOINT_READY, 1, 1
    )
    return ShardAssignment(number, service, EndpointLoad(record, 0.0))


def assignments(**counts: int) -> list[ShardAssignment]:
    numbers = iter(range(1, 1_000))
    return [
        assignment(next(numbers), domain) for domain, count in counts.items() for _ in range(count)
    ]


def table(*locations: tuple[str, str]) -> delegation.HelperTable:
    helper_table = delegation.HelperTable()
    delegation.set_helpers(
        helper_table, [InstanceLocation(*location) for location in locations], 'own'
    )
    return helper_table


def plan(
    helper_table: delegation.HelperTable, group: list[ShardAssignment], now_ms: float = 0.0
) -> delegation.QueryPlan:
    return delegation.plan_query(helper_table, now_ms, 'a', group, random.Random(1))


HELPERS = table(('own', 'a'), ('b1', 'b'), ('b2', 'b'), *((f'a{n}', 'a') for n in range(9)))


def test_remote_group_is_delegated_to_one_helper_of_its_failure_domain() -> None:
    """Guard against one message between failure domains per shard."""
    planned = plan(HELPERS, assignments(a=13, b=7))
    assert len(planned.direct) == 13
    (group,) = planned.groups
    assert group.helper.failure_domain == 'b'
    assert len(group.services) == 7


def test_small_remote_group_is_queried_directly() -> None:
    """Guard against an extra hop for a group that is too small to save messages."""
    planned = plan(HELPERS, assignments(a=13, b=2))
    assert len(planned.direct) == 15
    assert planned.groups == ()


def test_large_local_group_is_divided_among_helpers() -> None:
    """Guard against one instance that queries a hundred shards and reads their replies itself."""
    planned = plan(HELPERS, assignments(a=90))
    sizes = [len(group.services) for group in planned.groups]
    # Nine of the ten instances are enough, and this one is not among them.
    assert len(planned.direct) + sum(sizes) == 90
    assert max(len(planned.direct), *sizes) <= delegation.MAX_GROUP_SHARD_COUNT
    assert max(sizes) - min(sizes) <= 1
    helpers = {group.helper.instance for group in planned.groups}
    assert len(helpers) == len(planned.groups) > 0


def test_large_remote_group_is_divided_among_the_instances_of_its_failure_domain() -> None:
    """Guard against quick queries that wait for one process to query most of their shards."""
    domains = ('a', 'b', 'c')
    locations = [(f'{domain}{number}', domain) for domain in domains for number in range(3)]
    locations[0] = ('own', 'a')
    for remote_count in (21, 36, 40, 54, 90):
        planned = plan(table(*locations), assignments(a=17, b=remote_count))
        sizes = [len(group.services) for group in planned.groups]
        assert sum(sizes) == remote_count
        assert max(sizes) <= max(delegation.MAX_GROUP_SHARD_COUNT, -(-remote_count // 3))
        assert max(sizes) - min(sizes) <= 1
        assert {group.helper.failure_domain for group in planned.groups} == {'b'}
        assert len({group.helper.instance for group in planned.groups}) == len(sizes) > 1


def test_remote_group_is_divided_alike_by_the_instances_of_other_failure_domains() -> None:
    """Guard against an endpoint that is queried through a different instance for each request."""
    locations = [(f'{domain}{number}', domain) for domain in 'abc' for number in range(3)]
    divisions = set()
    for own, own_domain in (('a0', 'a'), ('a1', 'a'), ('c2', 'c')):
        helper_table = delegation.HelperTable()
        delegation.set_helpers(helper_table, [InstanceLocation(*pair) for pair in locations], own)
        planned = delegation.plan_query(
            helper_table, 0.0, own_domain, assignments(b=36), random.Random(own)
        )
        divisions.add(tuple((group.helper.instance, group.services) for group in planned.groups))
    assert len(divisions) == 1


def test_every_shard_is_planned_once() -> None:
    """Guard against a shard that is lost or duplicated when groups are divided."""
    for counts in ({'a': 90, 'b': 40, 'c': 9}, {'c': 50}, {'a': 33}, {'b': 3}, {}):
        group = assignments(**counts)
        planned = plan(HELPERS, group)
        direct = [shard_assignment.service for shard_assignment in planned.direct]
        delegated = [name for group_plan in planned.groups for name in group_plan.services]
        assert sorted(direct + delegated) == sorted(
            shard_assignment.service for shard_assignment in group
        )


def test_shards_are_queried_directly_without_helper_in_their_failure_domain() -> None:
    """Guard against shards that are not queried because no helper is in their failure domain."""
    assert len(plan(HELPERS, assignments(c=9)).direct) == 9
    assert len(plan(table(), assignments(a=90, b=9)).direct) == 99


def test_silent_helper_is_suspended() -> None:
    """Guard against repeated queries that wait for an unreachable instance."""
    helper_table = table(('own', 'a'), ('b1', 'b'))
    helper = helper_table.helpers['b1']
    delegation.record_group_sent(helper)
    delegation.record_silent_helper(helper, 100.0)
    assert len(plan(helper_table, assignments(b=5), 200.0).direct) == 5
    assert len(plan(helper_table, assignments(b=5), 100.0 + delegation.SUSPENSION_MS).direct) == 0


def test_remaining_helper_keeps_its_measurements() -> None:
    """Guard against measurements that are lost whenever another instance joins or leaves."""
    helper_table = table(('own', 'a'), ('b1', 'b'))
    delegation.record_round_trip(helper_table.helpers['b1'], 55.0)
    measured_overhead_ms = helper_table.helpers['b1'].overhead_ms()
    delegation.set_helpers(
        helper_table, [InstanceLocation('b1', 'b'), InstanceLocation('b2', 'b')], 'own'
    )
    assert helper_table.helpers['b1'].overhead_ms() == measured_overhead_ms
    assert measured_overhead_ms > helper_table.helpers['b2'].overhead_ms()


def test_overhead_follows_measured_round_trips() -> None:
    """Guard against groups that always count as late, or whose loss is detected late."""
    helper = delegation.Helper('b1', 'b')
    for number in range(200):
        delegation.record_round_trip(helper, 2.0 + number % 3)
    assert 4.0 < helper.overhead_ms() < 8.0


def test_all_instances_delegate_a_shard_to_the_same_instance() -> None:
    """Guard against observations of an endpoint that are spread thinly over all instances."""
    locations = [InstanceLocation(f'a{number}', 'a') for number in range(6)]
    queried_by: dict[str, set[str]] = {}
    for location in locations:
        helper_table = delegation.HelperTable()
        delegation.set_helpers(helper_table, locations, location.instance)
        planned = plan(helper_table, assignments(a=90))
        for shard_assignment in planned.direct:
            queried_by.setdefault(shard_assignment.service, set()).add(location.instance)
        for group in planned.groups:
            for service in group.services:
                queried_by.setdefault(service, set()).add(group.helper.instance)
    assert len(queried_by) == 90
    assert all(len(names) == 1 for names in queried_by.values())
    shares = [
        sum(names == {location.instance} for names in queried_by.values()) for location in locations
    ]
    assert shares == [15] * 6


def test_shards_of_silent_helper_are_spread_over_the_others() -> None:
    """Guard against shards that are lost, or all sent to one helper, while another is silent."""
    helper_table = table(('own', 'a'), *((f'a{number}', 'a') for number in range(5)))
    delegation.record_silent_helper(helper_table.helpers['a3'], 0.0)
    planned = plan(helper_table, assignments(a=90), 10.0)
    sizes = [len(planned.direct), *(len(group.services) for group in planned.groups)]
    assert sum(sizes) == 90
    assert sizes == [18] * 5


def test_free_instances_stand_in_for_silent_helpers_of_a_large_group() -> None:
    """Guard against a large group that one instance queries while others near it are free."""
    for domain in 'ab':
        names = [f'{domain}{number}' for number in range(6)]
        helper_table = table(('own', 'a'), *((name, domain) for name in names))
        before = plan(helper_table, assignments(**{domain: 40}))
        members = [group.helper.instance for group in before.groups]
        for count in range(1, len(members) + 1):
            for name in members[:count]:
                delegation.record_silent_helper(helper_table.helpers[name], 0.0)
            planned = plan(helper_table, assignments(**{domain: 40}), 10.0)
            sizes = [len(group.services) for group in planned.groups]
            assert len(planned.direct) + sum(sizes) == 40
            assert max(len(planned.direct), *sizes) <= delegation.MAX_GROUP_SHARD_COUNT
            assert domain == 'a' or planned.direct == ()
            # The shards of the other members stay where they were.
            kept = {group.helper.instance: group.services for group in planned.groups}
            for group in before.groups[count:]:
                assert kept[group.helper.instance][: len(group.services)] == group.services


def test_number_of_helpers_is_limited_by_minimum_group_size() -> None:
    """Guard against groups of very few shards in a failure domain with many instances."""
    helper_table = table(('own', 'a'), *((f'a{number:02}', 'a') for number in range(40)))
    planned = plan(helper_table, assignments(a=90))
    sizes = [len(group.services) for group in planned.groups]
    assert sum(sizes) + len(planned.direct) == 90
    assert min(sizes) >= delegation.PART_SHARD_COUNT


def test_unadvertised_instance_delegates_all_shards() -> None:
    """Guard against connections of instances that rarely receive requests."""
    helper_table = table(('b1', 'b'), ('b2', 'b'), *((f'a{n}', 'a') for n in range(9)))
    for counts in ({'a': 1}, {'a': 13, 'b': 2}, {'a': 90, 'b': 40}, {'b': 1}):
        planned = plan(helper_table, assignments(**counts))
        assert planned.direct == ()
        assert sum(len(group.services) for group in planned.groups) == sum(counts.values())


def test_large_local_group_is_divided_alike_by_advertised_and_other_instances() -> None:
    """Guard against an endpoint that is queried through a different instance for each request."""
    members = [(f'a{n}', 'a') for n in range(9)]
    other = delegation.HelperTable()
    delegation.set_helpers(other, [InstanceLocation(*location) for location in members], 'a0')
    group = assignments(a=90)
    direct = {shard_assignment.service for shard_assignment in plan(other, group).direct}
    delegated = {
        group_plan.helper.instance: set(group_plan.services)
        for group_plan in plan(table(*members), group).groups
    }
    assert delegated.pop('a0') == direct
    assert delegated == {
        group_plan.helper.instance: set(group_plan.services)
        for group_plan in plan(other, group).groups
    }


def test_preconnect_only_to_endpoints_that_are_queried_directly() -> None:
    """Guard against connections from every instance to every endpoint after each change."""
    assert delegation.should_preconnect(HELPERS, 0.0, 'a', 'a', is_shard=True)
    assert delegation.should_preconnect(HELPERS, 0.0, 'a', 'b', is_shard=False)
    # Shards of another failure domain are delegated, or queried directly if it has no helper.
    assert not delegation.should_preconnect(HELPERS, 0.0, 'a', 'b', is_shard=True)
    assert delegation.should_preconnect(HELPERS, 0.0, 'a', 'c', is_shard=True)
    assert not delegation.should_preconnect(table(('b1', 'b')), 0.0, 'a', 'a', is_shard=True)


def test_instances_that_start_together_do_not_preconnect() -> None:
    """Guard against all instances of a fleet connecting to every endpoint during its start."""
    helper_table = delegation.HelperTable()
    members = [
        InstanceLocation('own', 'a'),
        *(InstanceLocation(f'{domain}{n}', domain) for n in range(9) for domain in 'ab'),
    ]
    for number in range(1, len(members) + 1):
        delegation.set_helpers(helper_table, members[:number], 'own', number * 20.0)
        assert not delegation.should_preconnect(
            helper_table, number * 20.0, 'a', 'a', is_shard=True
        )
    # An instance preconnects once its role is stable, and not if it is no longer advertised.
    stable_ms = number * 20.0 + delegation.PRECONNECT_DELAY_MS
    assert delegation.should_preconnect(helper_table, stable_ms, 'a', 'a', is_shard=True)
    delegation.set_helpers(helper_table, members[1:], 'own', stable_ms)
    assert not delegation.should_preconnect(
        helper_table, stable_ms + 10_000.0, 'a', 'a', is_shard=True
    )
    # The loss of one of many instances does not change the role.
    delegation.set_helpers(helper_table, members, 'own', 20_000.0)
    delegation.set_helpers(helper_table, members[:-1], 'own', 30_000.0)
    assert delegation.should_preconnect(helper_table, 30_000.0, 'a', 'a', is_shard=True)


def test_each_near_shard_has_one_instance_that_connects_for_it() -> None:
    """Guard against connections that all instances of a failure domain open to each endpoint."""
    shards = tuple(f's{number}' for number in range(90))
    locations = [(f'a{number}', 'a') for number in range(9)]
    owners: list[str] = []
    for name, _ in locations:
        helper_table = delegation.HelperTable()
        delegation.set_helpers(
            helper_table, [InstanceLocation(*location) for location in locations], name
        )
        owners += delegation.own_shards(helper_table, 0.0, 'a', shards, shards)
    assert sorted(owners) == sorted(shards)
    outsider = table(*locations)
    assert delegation.own_shards(outsider, 0.0, 'a', shards, shards) == frozenset()
    alone = table(('own', 'a'))
    assert delegation.own_shards(alone, 0.0, 'a', shards, shards) == frozenset(shards)
