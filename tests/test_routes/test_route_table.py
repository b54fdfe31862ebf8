"""Tests of the lookup of routes and of the checks of a set of routes."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.messages.routes import (
    Gather,
    Route,
    RouteSet,
    ServiceRule,
    WeightedService,
)
from pistachioloft_core.version.route_table import (
    MISTAKE_LIMIT_COUNT,
    RouteTable,
    check_routes,
)

ROUTE = Route(
    'lots',
    'shop.example',
    '/lots/',
    True,
    4_000.0,
    500.0,
    2,
    2,
    (WeightedService('materials'),),
)
SERVICES = (ServiceRule('materials', '/health', 100), ServiceRule('claims', '/health', 100))
PREFIXES = ('/', '/a/', '/a/b/', '/a/b/c/', '/ab/')


def route_set(*routes: Route) -> RouteSet:
    return RouteSet(7, routes, SERVICES)


def table(*routes: Route) -> RouteTable:
    return RouteTable(route_set(*routes))


def test_longest_prefix_wins() -> None:
    """Guard against a general route that takes precedence over a more specific one."""
    special = replace(ROUTE, name='special', path_prefix='/lots/gold/')
    route_table = table(ROUTE, special)
    assert route_table.find('shop.example', '/lots/gold/7') == special
    assert route_table.find('shop.example', '/lots/silver/7') == ROUTE
    assert route_table.find('shop.example', '/lots') is None
    assert route_table.find('other.example', '/lots/7') is None


@pytest.mark.parametrize('host', ['shop.example', 'SHOP.example', 'shop.example:8104'])
def test_host_matches_without_port_and_case(host: str) -> None:
    """Guard against a request that finds no route because of the port or case of its host."""
    assert table(ROUTE).find(host, '/lots/1') == ROUTE


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.sets(st.sampled_from(PREFIXES)), st.text(alphabet='/abc', max_size=8))
def test_find_returns_longest_matching_prefix(prefixes: set[str], path_suffix: str) -> None:
    """Guard against an index whose result differs from a linear search of all routes."""
    path = '/' + path_suffix
    routes = [replace(ROUTE, name=prefix, path_prefix=prefix) for prefix in sorted(prefixes)]
    matching = [route for route in routes if path.startswith(route.path_prefix)]
    expected = max(matching, key=lambda route: len(route.path_prefix), default=None)
    assert table(*routes).find('shop.example', path) == expected


@pytest.mark.parametrize(
    'routes',
    [
        (replace(ROUTE, services=(WeightedService('unknown'),)),),
        (replace(ROUTE, services=(), gather=Gather(('materials', 'unknown'), 5, 0.5)),),
        (ROUTE, replace(ROUTE, name='other')),
        (ROUTE, replace(ROUTE, name='other', host='SHOP.example')),
        (replace(ROUTE, services=(WeightedService('claims', 0), WeightedService('materials', 0))),),
        (replace(ROUTE, services=(WeightedService('claims', -1), WeightedService('claims', 2))),),
        (replace(ROUTE, time_limit_ms=0.0),),
        (replace(ROUTE, services=()),),
    ],
)
def test_invalid_route_set_has_one_mistake(routes: tuple[Route, ...]) -> None:
    """Guard against an invalid set of routes that is accepted."""
    assert len(check_routes(route_set(*routes))) == 1


def test_valid_routes_have_no_mistakes() -> None:
    """Guard against a valid set of routes that is refused."""
    split = (WeightedService('claims', 0), WeightedService('materials', 3))
    gather = Gather(('claims', 'materials'), 5, 0.75)
    routes = (
        replace(ROUTE, services=split),
        replace(ROUTE, name='all', path_prefix='/all/', services=(), gather=gather),
    )
    assert check_routes(route_set(*routes)) == ()


def test_many_mistakes_of_long_names_make_a_short_text() -> None:
    """Guard against a reply and a log line many times as long as the document."""
    routes = [replace(ROUTE, name='n' * 10_000, host='h' * 10_000) for _ in range(1_000)]
    mistakes = check_routes(route_set(*routes))
    assert len(mistakes) == MISTAKE_LIMIT_COUNT + 1
    assert len('; '.join(mistakes)) < 400 * MISTAKE_LIMIT_COUNT
    assert 'further mistakes' in mistakes[-1]
    exact = check_routes(route_set(*routes[: MISTAKE_LIMIT_COUNT + 1]))
    assert len(exact) == MISTAKE_LIMIT_COUNT
