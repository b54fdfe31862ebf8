"""Guard against callers that are sent to too many, too few or the wrong instances."""

from __future__ import annotations

from collections import Counter

import pytest
from msgspec.structs import replace

from pistachioloft_core.messages.fleet import EntryStatus
from pistachioloft_core.messages.routes import (
    Gather,
    Route,
    RouteSet,
    ServiceRule,
    WeightedService,
)
from pistachioloft_core.process.directory import (
    advertised_entries,
    caller_addresses,
    entry_limit,
    helper_entries,
)


def entry(number: int, domain: str, ready: bool = True) -> EntryStatus:
    address = f'10.0.0.{number}'
    return EntryStatus(address, 1, domain, f'{address}:80', f'{address}:90', ready, False, 1)


def routes(shard_limit: int) -> RouteSet:
    all_shards = Route(
        'all', 'h', '/all/', True, 1_000.0, 100.0, 1, 2, (), Gather(('s1', 's2'), 5, 0.8)
    )
    single = Route('one', 'h', '/one/', True, 1_000.0, 100.0, 1, 2, (WeightedService('t'),))
    rules = (
        ServiceRule('s1', '/', shard_limit),
        ServiceRule('s2', '/', shard_limit + 4),
        ServiceRule('t', '/', 2),
    )
    return RouteSet(1, (all_shards, single), rules)


FLEET = [entry(number, 'abc'[number % 3]) for number in range(88)]


def test_connection_limits_bound_the_advertised_instances() -> None:
    """Guard against more instances than the endpoints of a query have connections for."""
    assert entry_limit(routes(26)) == 7
    assert entry_limit(routes(66)) == 18
    assert entry_limit(routes(1)) == 1
    assert entry_limit(RouteSet(1, (), ())) is None


def test_advertised_instances_are_spread_over_the_failure_domains() -> None:
    """Guard against the loss of all advertised instances with one failure domain."""
    advertised = advertised_entries(FLEET, 16)
    assert len(advertised) == 16
    assert max(Counter(entry_status.failure_domain for entry_status in advertised).values()) == 6


def test_lost_instance_leaves_the_other_choices_unchanged() -> None:
    """Guard against a loss that sends all callers to instances without connections."""
    before = {entry_status.instance for entry_status in advertised_entries(FLEET, 16)}
    lost = sorted(before)[3]
    remaining = [entry_status for entry_status in FLEET if entry_status.instance != lost]
    after = {entry_status.instance for entry_status in advertised_entries(remaining, 16)}
    assert len(after - before) == 1
    assert before - after == {lost}


def test_small_fleet_is_advertised_completely() -> None:
    """Guard against an instance that stays idle although the connections allow all of them."""
    assert len(advertised_entries(FLEET[:6], 6)) == 6
    assert len(advertised_entries(FLEET, None)) == 88


def test_callers_use_their_failure_domain_if_it_has_two_instances() -> None:
    """Guard against longer paths, and against a single address whose loss leaves none."""
    advertised = [entry(1, 'a'), entry(2, 'a'), entry(3, 'b')]
    assert caller_addresses(advertised, 'a') == ('10.0.0.1:80', '10.0.0.2:80')
    assert len(caller_addresses(advertised, 'b')) == 3
    assert len(caller_addresses(advertised, 'unknown')) == 3


def test_unready_instances_are_not_advertised() -> None:
    """Guard against callers that are sent to an instance without a configuration."""
    assert advertised_entries([entry(1, 'a', ready=False)], None) == ()


def test_instances_that_are_cut_off_are_advertised_only_without_others() -> None:
    """Guard against callers that are sent to instances which reach no endpoint."""
    cut_off = [replace(entry_status, cut_off=True) for entry_status in FLEET[:50]]
    advertised = advertised_entries([*cut_off, *FLEET[50:]], 16)
    assert len(advertised) == 16
    assert not any(entry_status.cut_off for entry_status in advertised)
    # If all endpoints are down, all instances find themselves cut off.
    assert len(advertised_entries(cut_off, 16)) == 16


def test_large_queries_are_divided_among_more_instances() -> None:
    """Guard against idle instances beside few that send all sub-requests of large queries."""
    advertised = advertised_entries(FLEET, 17)
    helpers = helper_entries(FLEET, advertised, 90)
    assert helpers[:17] == advertised
    assert Counter(each.failure_domain for each in helpers) == {'a': 9, 'b': 9, 'c': 9}
    assert len(set(helpers)) == len(helpers)
    # The advertised ones are enough for small queries and in small fleets.
    assert helper_entries(FLEET, advertised, 50) == advertised
    assert helper_entries(FLEET[:6], tuple(FLEET[:6]), 90) == tuple(FLEET[:6])


@pytest.mark.parametrize('change', [{'ready': False}, {'stopping': True}, {'cut_off': True}])
def test_helper_that_cannot_query_is_replaced(change: dict[str, bool]) -> None:
    """Guard against shards that wait for an instance which cannot query them."""
    advertised = advertised_entries(FLEET, 17)
    before = helper_entries(FLEET, advertised, 90)
    lost = before[-1]
    remaining = [replace(each, **change) if each is lost else each for each in FLEET]
    after = helper_entries(remaining, advertised, 90)
    assert lost.instance not in {each.instance for each in after}
    assert len(set(after) - set(before)) == 1
