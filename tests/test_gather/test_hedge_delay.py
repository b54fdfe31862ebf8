"""Guard against hedges that continue while their budget is nearly spent."""

from __future__ import annotations

from pistachioloft_core.process.budget import try_take_hedge
from pistachioloft_core.request.hedge_delay import late_after_ms, usual_latency_ms
from pistachioloft_core.request.routed_state import budget_of, route_latency
from tests.test_gather.routed_simulation import Simulation


def simulation_with_slow_endpoints() -> Simulation:
    """Return a simulation with learned latencies, a fifth of which are slow."""
    simulation = Simulation(allowance_count=100.0)
    latency = route_latency(simulation.state, simulation.gather_route.name)
    for number in range(200):
        latency.add(100.0 if number % 5 == 0 else 10.0)
    return simulation


def test_hedge_delay_grows_while_the_budget_is_spent() -> None:
    """Guard against hedges on slow endpoints that use up the budget for retries."""
    simulation = simulation_with_slow_endpoints()
    route = simulation.gather_route
    assert usual_latency_ms(simulation.state, route) == 10.0
    budget = budget_of(simulation.state, 's0')
    delays_ms = [late_after_ms(simulation.state, route, 's0')]
    while try_take_hedge(budget, 0.0):
        delays_ms.append(late_after_ms(simulation.state, route, 's0'))
    assert delays_ms == sorted(delays_ms)
    assert delays_ms[-1] > 1.4 * delays_ms[0]


def test_slow_endpoints_do_not_determine_the_hedge_delay() -> None:
    """Guard against a hedge delay that follows the slow endpoints instead of the others."""
    simulation = simulation_with_slow_endpoints()
    assert late_after_ms(simulation.state, simulation.gather_route, 's0') < 25.0
