"""Guard against extra attempts that go on while the budget for them is spent."""

from __future__ import annotations

from pistachioloft_core.process.budget import try_take_hedge
from pistachioloft_core.request.hedge_delay import late_after_ms, usual_latency_ms
from pistachioloft_core.request.routed_state import budget_of, route_latency
from tests.test_gather.routed_player import Player


def player_with_slow_part() -> Player:
    """Return a player that learned a route on which a fifth of the endpoints are slow."""
    player = Player(allowance_count=100.0)
    latency = route_latency(player.state, player.gather_route.name)
    for number in range(200):
        latency.add(100.0 if number % 5 == 0 else 10.0)
    return player


def test_hedges_fade_while_the_budget_is_spent() -> None:
    """Guard against slow endpoints that use up the attempts which refused requests need."""
    player = player_with_slow_part()
    route = player.gather_route
    assert usual_latency_ms(player.state, route) == 10.0
    budget = budget_of(player.state, 's0')
    delays_ms = [late_after_ms(player.state, route, 's0')]
    while try_take_hedge(budget, 0.0):
        delays_ms.append(late_after_ms(player.state, route, 's0'))
    assert delays_ms == sorted(delays_ms)
    assert delays_ms[-1] > 1.4 * delays_ms[0]


def test_a_slow_part_does_not_make_every_attempt_wait() -> None:
    """Guard against a delay that follows the slow endpoints instead of the others."""
    player = player_with_slow_part()
    assert late_after_ms(player.state, player.gather_route, 's0') < 25.0
