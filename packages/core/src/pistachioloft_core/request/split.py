"""Divide the requests of a route among services in proportion to their weights."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages.routes import Route, WeightedService


class SplitState:
    """Hold the credit of each service of each split route."""

    __slots__ = ('_credits',)

    def __init__(self) -> None:
        self._credits: dict[str, tuple[tuple[WeightedService, ...], list[float]]] = {}

    def credits(self, route: Route) -> list[float]:
        """Return the credits of a route's services; changed weights start afresh."""
        known = self._credits.get(route.name)
        if known is None or known[0] != route.services:
            known = (route.services, [0.0] * len(route.services))
            self._credits[route.name] = known
        return known[1]

    def keep_only(self, names: frozenset[str]) -> None:
        """Forget the routes that are not named."""
        self._credits = {name: kept for name, kept in self._credits.items() if name in names}


def choose_service(state: SplitState, route: Route) -> str:
    """Return the service for the next request: smooth weighted round robin."""
    services = route.services
    if len(services) == 1:
        return services[0].service
    credit = state.credits(route)
    for position, part in enumerate(services):
        credit[position] += part.weight
    chosen = max(range(len(services)), key=credit.__getitem__)
    credit[chosen] -= sum(part.weight for part in services)
    return services[chosen].service
