"""Divide the requests of a route among services in proportion to their weights."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages.routes import Route, WeightedService


class SplitState:
    """Hold the round-robin credits of the services of each split route."""

    __slots__ = ('_credits',)

    def __init__(self) -> None:
        self._credits: dict[str, tuple[tuple[WeightedService, ...], list[float]]] = {}

    def credits(self, route: Route) -> list[float]:
        """Return the credits of a route's services, reset if its weights changed."""
        entry = self._credits.get(route.name)
        if entry is None or entry[0] != route.services:
            entry = (route.services, [0.0] * len(route.services))
            self._credits[route.name] = entry
        return entry[1]

    def forget_other_routes(self, names: frozenset[str]) -> None:
        """Forget all routes except the named ones."""
        self._credits = {name: entry for name, entry in self._credits.items() if name in names}


def choose_service(state: SplitState, route: Route) -> str:
    """Return the service for the next request by smooth weighted round robin."""
    services = route.services
    if len(services) == 1:
        return services[0].service
    credit = state.credits(route)
    for position, weighted in enumerate(services):
        credit[position] += weighted.weight
    chosen = max(range(len(services)), key=credit.__getitem__)
    credit[chosen] -= sum(weighted.weight for weighted in services)
    return services[chosen].service
