"""Guard against callers that are sent to too many, too few or the wrong instances."""

from __future__ import annotations

from collections import Counter

from pistachioloft_core.messages.fleet import EntryStatus
from pistachioloft_core.messages.routes import (
    Gather,
    Route,
    RouteSet,
    ServiceRule,
    WeightedService,
)
from pistachioloft_core.process.directory import advertised_entries, caller_addresses, entry_limit


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


def test_connections_bound_the_instances_with_callers() -> None:
    """Guard against more instances than the endpoints of a query have connections for."""
    assert entry_limit(routes(26)) == 7
    assert entry_limit(routes(66)) == 18
    assert entry_limit(routes(1)) == 1
    assert entry_limit(RouteSet(1, (), ())) is None


def test_advertised_instances_are_spread_over_the_failure_domains() -> None:
    """Guard against a failure domain whose loss takes all instances with callers."""
    advertised = advertised_entries(FLEET, 16)
    assert len(advertised) == 16
    assert max(Counter(each.failure_domain for each in advertised).values()) == 6


def test_a_lost_instance_changes_only_its_own_place() -> None:
    """Guard against a loss that sends all callers to instances without connections."""
    before = {each.instance for each in advertised_entries(FLEET, 16)}
    lost = sorted(before)[3]
    left = [each for each in FLEET if each.instance != lost]
    after = {each.instance for each in advertised_entries(left, 16)}
    assert len(after - before) == 1
    assert before - after == {lost}


def test_small_fleets_are_used_whole() -> None:
    """Guard against an idle instance where all have room."""
    assert len(advertised_entries(FLEET[:6], 6)) == 6
    assert len(advertised_entries(FLEET, None)) == 88


def test_callers_stay_in_their_failure_domain_where_two_instances_are() -> None:
    """Guard against longer ways, and against a single address whose loss leaves none."""
    advertised = [entry(1, 'a'), entry(2, 'a'), entry(3, 'b')]
    assert caller_addresses(advertised, 'a') == ('10.0.0.1:80', '10.0.0.2:80')
    assert len(caller_addresses(advertised, 'b')) == 3
    assert len(caller_addresses(advertised, 'unknown')) == 3


def test_instances_that_are_not_ready_get_no_callers() -> None:
    """Guard against callers at an instance without a configuration."""
    assert advertised_entries([entry(1, 'a', ready=False)], None) == ()
