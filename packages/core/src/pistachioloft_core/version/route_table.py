"""Check a set of routes and find the route of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages.routes import Route, RouteSet, ServiceRule


class RouteTable:
    """Index the routes of one version by host and path prefix."""

    __slots__ = ('_hosts', '_names', 'routes', 'rules')

    def __init__(self, routes: RouteSet) -> None:
        self.routes = routes
        self.rules: dict[str, ServiceRule] = {rule.service: rule for rule in routes.services}
        self._names: dict[str, Route] = {route.name: route for route in routes.routes}
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes.routes:
            self._hosts.setdefault(route.host.lower(), {})[route.path_prefix] = route

    @property
    def version(self) -> int:
        """Return the version of the routes."""
        return self.routes.version

    def find_by_name(self, name: str) -> Route | None:
        """Return the route of a name, None if this version has none."""
        return self._names.get(name)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, None if no prefix matches."""
        prefixes = self._hosts.get(host_name(host))
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind('/', 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def host_name(host: str) -> str:
    """Return a Host header's name without its port, in lower case."""
    name, separator, port = host.rpartition(':')
    return (name if separator and port.isdecimal() else host).lower()


def route_services(route: Route) -> tuple[str, ...]:
    """Return the services that a route names, in its order."""
    if route.gather is not None:
        return route.gather.shards
    return tuple(part.service for part in route.services)


def shard_services(routes: RouteSet) -> frozenset[str]:
    """Return the services that are shards of a query."""
    gathers = (route.gather for route in routes.routes if route.gather is not None)
    return frozenset(shard for gather in gathers for shard in gather.shards)


def check_routes(routes: RouteSet) -> tuple[str, ...]:
    """Return every mistake of a set of routes, none if it can be put in force."""
    known = {rule.service for rule in routes.services}
    places: set[tuple[str, str]] = set()
    mistakes: list[str] = []
    for route in routes.routes:
        mistakes += _route_mistakes(route, known)
        place = (route.host.lower(), route.path_prefix)
        if place in places:
            mistakes.append(f'{route.name}: another route has {route.host}{route.path_prefix}')
        places.add(place)
    return tuple(mistakes)


def _route_mistakes(route: Route, known: set[str]) -> list[str]:
    mistakes = [
        f'{route.name}: unknown service {service!r}'
        for service in route_services(route)
        if service not in known
    ]
    if not route_services(route):
        mistakes.append(f'{route.name}: names no service')
    if route.time_limit_ms <= 0:
        mistakes.append(f'{route.name}: the time limit must be over 0 ms')
    if route.services:
        weights = [part.weight for part in route.services]
        if min(weights) < 0 or sum(weights) <= 0:
            mistakes.append(f'{route.name}: the weights must not be negative and not all 0')
    return mistakes
