"""Guard against relays that cost more than they save, or go to instances that are gone."""

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
    made = delegation.HelperTable()
    delegation.set_helpers(made, [InstanceLocation(*location) for location in locations], 'own')
    return made


def plan(
    made: delegation.HelperTable, group: list[ShardAssignment], now_ms: float = 0.0
) -> delegation.QueryPlan:
    return delegation.plan_query(made, now_ms, 'a', group, random.Random(1))


HELPERS = table(('own', 'a'), ('b1', 'b'), ('b2', 'b'), *((f'a{n}', 'a') for n in range(9)))


def test_a_far_group_goes_through_one_helper_near_it() -> None:
    """Guard against a message between failure domains for each shard."""
    planned = plan(HELPERS, assignments(a=13, b=7))
    assert len(planned.direct) == 13
    (group,) = planned.groups
    assert group.helper.failure_domain == 'b'
    assert len(group.services) == 7


def test_a_small_far_group_is_sent_directly() -> None:
    """Guard against an extra hop that saves nothing."""
    planned = plan(HELPERS, assignments(a=13, b=2))
    assert len(planned.direct) == 15
    assert planned.groups == ()


def test_a_large_near_group_is_shared() -> None:
    """Guard against one instance that asks for and reads a hundred replies itself."""
    planned = plan(HELPERS, assignments(a=90))
    sizes = [len(group.services) for group in planned.groups]
    # Of ten instances nine are enough, and this one is not among them.
    assert len(planned.direct) + sum(sizes) == 90
    assert max(len(planned.direct), *sizes) <= delegation.MAX_DIRECT_SHARD_COUNT
    assert max(sizes) - min(sizes) <= 1
    helpers = {group.helper.instance for group in planned.groups}
    assert len(helpers) == len(planned.groups) > 0


def test_every_shard_is_asked_once() -> None:
    """Guard against a shard that is lost or doubled by the division."""
    for counts in ({'a': 90, 'b': 40, 'c': 9}, {'c': 50}, {'a': 33}, {'b': 3}, {}):
        group = assignments(**counts)
        planned = plan(HELPERS, group)
        direct = [each.service for each in planned.direct]
        delegated = [name for part in planned.groups for name in part.services]
        assert sorted(direct + delegated) == sorted(each.service for each in group)


def test_without_a_helper_there_attempts_are_direct() -> None:
    """Guard against shards that are not asked because no instance is near them."""
    assert len(plan(HELPERS, assignments(c=9)).direct) == 9
    assert len(plan(table(), assignments(a=90, b=9)).direct) == 99


def test_a_silent_helper_is_left_alone_for_a_while() -> None:
    """Guard against query after query that waits for an instance that is gone."""
    made = table(('own', 'a'), ('b1', 'b'))
    helper = made.helpers['b1']
    delegation.record_group_sent(helper)
    delegation.record_silent_helper(helper, 100.0)
    assert len(plan(made, assignments(b=5), 200.0).direct) == 5
    assert len(plan(made, assignments(b=5), 100.0 + delegation.SUSPENSION_MS).direct) == 0


def test_a_helper_that_stays_keeps_what_was_learned() -> None:
    """Guard against estimates that are lost whenever another instance comes or goes."""
    made = table(('own', 'a'), ('b1', 'b'))
    delegation.record_round_trip(made.helpers['b1'], 55.0)
    learned_ms = made.helpers['b1'].overhead_ms()
    delegation.set_helpers(made, [InstanceLocation('b1', 'b'), InstanceLocation('b2', 'b')], 'own')
    assert made.helpers['b1'].overhead_ms() == learned_ms
    assert learned_ms > made.helpers['b2'].overhead_ms()


def test_what_a_relay_may_take_follows_its_round_trips() -> None:
    """Guard against groups that all count as late, or whose losses are noticed late."""
    helper = delegation.Helper('b1', 'b')
    for number in range(200):
        delegation.record_round_trip(helper, 2.0 + number % 3)
    assert 4.0 < helper.overhead_ms() < 8.0


def test_all_instances_ask_for_a_shard_through_the_same_one() -> None:
    """Guard against knowledge of an endpoint that is divided among all who ask it now and then."""
    locations = [InstanceLocation(f'a{number}', 'a') for number in range(6)]
    asked_by: dict[str, set[str]] = {}
    for location in locations:
        made = delegation.HelperTable()
        delegation.set_helpers(made, locations, location.instance)
        planned = plan(made, assignments(a=90))
        for each in planned.direct:
            asked_by.setdefault(each.service, set()).add(location.instance)
        for group in planned.groups:
            for service in group.services:
                asked_by.setdefault(service, set()).add(group.helper.instance)
    assert len(asked_by) == 90
    assert all(len(names) == 1 for names in asked_by.values())
    shares = [
        sum(names == {location.instance} for names in asked_by.values()) for location in locations
    ]
    assert shares == [15] * 6


def test_the_shards_of_a_silent_helper_are_spread() -> None:
    """Guard against shards that are lost, or that all go to one, while a helper is gone."""
    made = table(('own', 'a'), *((f'a{number}', 'a') for number in range(5)))
    delegation.record_silent_helper(made.helpers['a3'], 0.0)
    planned = plan(made, assignments(a=90), 10.0)
    sizes = [len(planned.direct), *(len(group.services) for group in planned.groups)]
    assert sum(sizes) == 90
    assert sizes == [18] * 5


def test_many_instances_are_not_all_asked() -> None:
    """Guard against a message for each few shards where a failure domain has many instances."""
    made = table(('own', 'a'), *((f'a{number:02}', 'a') for number in range(40)))
    planned = plan(made, assignments(a=90))
    sizes = [len(group.services) for group in planned.groups]
    assert sum(sizes) + len(planned.direct) == 90
    assert min(sizes) >= delegation.MIN_LOCAL_GROUP_SHARD_COUNT


def test_an_instance_without_callers_delegates_all_shards() -> None:
    """Guard against connections of instances that get a request now and then."""
    made = table(('b1', 'b'), ('b2', 'b'), *((f'a{n}', 'a') for n in range(9)))
    for counts in ({'a': 1}, {'a': 13, 'b': 2}, {'a': 90, 'b': 40}, {'b': 1}):
        planned = plan(made, assignments(**counts))
        assert planned.direct == ()
        assert sum(len(group.services) for group in planned.groups) == sum(counts.values())


def test_large_near_groups_are_divided_alike_with_and_without_callers() -> None:
    """Guard against an endpoint that is asked through another instance by each request."""
    members = [(f'a{n}', 'a') for n in range(9)]
    other = delegation.HelperTable()
    delegation.set_helpers(other, [InstanceLocation(*location) for location in members], 'a0')
    group = assignments(a=90)
    direct = {each.service for each in plan(other, group).direct}
    delegated = {
        each.helper.instance: set(each.services) for each in plan(table(*members), group).groups
    }
    assert delegated.pop('a0') == direct
    assert delegated == {
        each.helper.instance: set(each.services) for each in plan(other, group).groups
    }


def test_connections_are_opened_ahead_where_they_are_used() -> None:
    """Guard against connections of every instance to every endpoint after each change."""
    assert delegation.should_preconnect(HELPERS, 0.0, 'a', 'a', is_shard=True)
    assert delegation.should_preconnect(HELPERS, 0.0, 'a', 'b', is_shard=False)
    # Shards there are asked through a helper, or directly if there is none.
    assert not delegation.should_preconnect(HELPERS, 0.0, 'a', 'b', is_shard=True)
    assert delegation.should_preconnect(HELPERS, 0.0, 'a', 'c', is_shard=True)
    assert not delegation.should_preconnect(table(('b1', 'b')), 0.0, 'a', 'a', is_shard=True)


def test_instances_that_start_together_open_no_connections_meanwhile() -> None:
    """Guard against a fleet that dials every endpoint as each instance is chosen for a moment."""
    made = delegation.HelperTable()
    members = [
        InstanceLocation('own', 'a'),
        *(InstanceLocation(f'{domain}{n}', domain) for n in range(9) for domain in 'ab'),
    ]
    for number in range(1, len(members) + 1):
        delegation.set_helpers(made, members[:number], 'own', number * 20.0)
        assert not delegation.should_preconnect(made, number * 20.0, 'a', 'a', is_shard=True)
    # It is not among them in the end, or is with a part that stays.
    stable_ms = number * 20.0 + delegation.PRECONNECT_DELAY_MS
    assert delegation.should_preconnect(made, stable_ms, 'a', 'a', is_shard=True)
    delegation.set_helpers(made, members[1:], 'own', stable_ms)
    assert not delegation.should_preconnect(made, stable_ms + 10_000.0, 'a', 'a', is_shard=True)
    # The loss of one of many changes nothing.
    delegation.set_helpers(made, members, 'own', 20_000.0)
    delegation.set_helpers(made, members[:-1], 'own', 30_000.0)
    assert delegation.should_preconnect(made, 30_000.0, 'a', 'a', is_shard=True)
