"""Hold the state that all requests of an instance share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..process.budget import BudgetState
from ..process.latency import LatencyState, forget_services
from ..process.observed import ObservedState, forget_endpoints
from ..process.suspects import SuspectState
from ..version.cluster_view import EMPTY_VIEW

if TYPE_CHECKING:
    import random

    from ..version.cluster_view import ClusterView


class RoutingState:
    """Hold the view, the observations and the budgets of one instance."""

    __slots__ = ('budget', 'instance', 'latencies', 'observed', 'random', 'suspects', 'view')

    def __init__(self, instance: str, random_source: random.Random) -> None:
        self.instance = instance
        self.random = random_source
        self.view: ClusterView = EMPTY_VIEW
        self.observed = ObservedState()
        self.latencies = LatencyState()
        self.budget = BudgetState()
        self.suspects = SuspectState()


def update_view(state: RoutingState, view: ClusterView) -> None:
    """Replace the cluster view and forget endpoints and services that it no longer contains."""
    state.view = view
    forget_endpoints(state.observed, view.endpoints)
    forget_services(state.latencies, frozenset(view.services))
