"""Validate a set of routes, and find the route and the organisation of a request."""

from __future__ import annotations

from itertools import chain, islice
from typing import TYPE_CHECKING

from ..util.names import shorten

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ..messages.routes import Organisation, Route, RouteSet, ServiceRule

# A set of routes can have more mistakes than bytes fit into a reply or a log line.
MISTAKE_LIMIT_COUNT = 20


class RouteTable:
    """Index the routes of one version by host and path prefix, and its organisations by key."""

    __slots__ = (
        '_organisation_by_key',
        '_prefixes_by_host',
        '_route_by_name',
        'organisations',
        'routes',
        'rules',
    )

    def __init__(self, routes: RouteSet) -> None:
        self.routes = routes
        self.rules: dict[str, ServiceRule] = {rule.service: rule for rule in routes.services}
        self._route_by_name: dict[str, Route] = {route.name: route for route in routes.routes}
        self._prefixes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes.routes:
            self._prefixes_by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
        self.organisations: dict[str, Organisation] = {
            organisation.name: organisation for organisation in routes.organisations
        }
        self._organisation_by_key: dict[str, Organisation] = {
            key: organisation for organisation in routes.organisations for key in organisation.keys
        }

    @property
    def version(self) -> int:
        """Return the version of the routes."""
        return self.routes.version

    def find_by_name(self, name: str) -> Route | None:
        """Return the route with a name, None if this version has none."""
        return self._route_by_name.get(name)

    def find_by_key(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key, None if this version has no such key."""
        return self._organisation_by_key.get(key)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, None if no prefix matches."""
        prefixes = self._prefixes_by_host.get(normalized_host(host))
        if prefixes is None:
            return None
        slash_position = len(path)
        while (slash_position := path.rfind('/', 0, slash_position)) >= 0:
            route = prefixes.get(path[: slash_position + 1])
            if route is not None:
                return route
        return None


def normalized_host(host: str) -> str:
    """Return the name in a Host header in lower case, without its port."""
    name, separator, port = host.rpartition(':')
    return (name if separator and port.isdecimal() else host).lower()


def route_services(route: Route) -> tuple[str, ...]:
    """Return the services of a route in its order."""
    if route.gather is not None:
        return route.gather.shards
    return tuple(weighted_service.service for weighted_service in route.services)


def shard_services(routes: RouteSet) -> frozenset[str]:
    """Return the services that serve shards of queries."""
    gathers = (route.gather for route in routes.routes if route.gather is not None)
    return frozenset(shard for gather in gathers for shard in gather.shards)


def check_routes(routes: RouteSet) -> tuple[str, ...]:
    """Return the first mistakes of a set of routes, none if it is valid."""
    found = chain(_all_route_mistakes(routes), _organisation_mistakes(routes.organisations))
    mistakes = tuple(islice(found, MISTAKE_LIMIT_COUNT))
    return mistakes if next(found, None) is None else (*mistakes, 'further mistakes are left out')


def _all_route_mistakes(routes: RouteSet) -> Iterator[str]:
    service_names = {rule.service for rule in routes.services}
    prefixes_in_use: set[tuple[str, str]] = set()
    for route in routes.routes:
        yield from _route_mistakes(route, service_names)
        prefix = (route.host.lower(), route.path_prefix)
        if prefix in prefixes_in_use:
            place = shorten(route.host + route.path_prefix)
            yield f'{shorten(route.name)}: another route has {place}'
        prefixes_in_use.add(prefix)


def _organisation_mistakes(organisations: Iterable[Organisation]) -> Iterator[str]:
    """Describe the mistakes of organisations without showing any key."""
    holder_by_key: dict[str, str] = {}
    names: set[str] = set()
    for organisation in organisations:
        name, shown = organisation.name, shorten(organisation.name)
        if not name or not name.isprintable():
            # The name is sent to endpoints as the value of a header.
            yield f'organisation {shown!r}: the name must be printable'
        if name in names:
            yield f'{shown}: another organisation has the same name'
        names.add(name)
        if not min(organisation.rate_per_s, organisation.burst_count) >= 0.0:
            yield f'{shown}: the allotment must not be negative'
        for key in organisation.keys:
            holder = holder_by_key.setdefault(key, name)
            if not key:
                yield f'{shown}: a key is empty'
            elif holder != name:
                yield f'{shown}: a key is also held by {shorten(holder)}'


def _route_mistakes(route: Route, service_names: set[str]) -> Iterator[str]:
    shown = shorten(route.name)
    for service in route_services(route):
        if service not in service_names:
            yield f'{shown}: unknown service {shorten(service)!r}'
    if not route_services(route):
        yield f'{shown}: names no service'
    if route.time_limit_ms <= 0:
        yield f'{shown}: the time limit must be over 0 ms'
    if route.services:
        weights = [weighted_service.weight for weighted_service in route.services]
        if min(weights) < 0 or sum(weights) <= 0:
            yield f'{shown}: the weights must not be negative and not all 0'
