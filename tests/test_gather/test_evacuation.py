"""Guard against attempts of any kind on endpoints of an evacuated failure domain."""

from __future__ import annotations

import pytest

from pistachioloft_core.messages.fleet import InstanceLocation
from pistachioloft_core.process.endpoint_table import set_evacuated_domains
from pistachioloft_core.request.delegation import HelperTable, set_helpers
from pistachioloft_core.request.handover import plan_handover
from tests.test_gather.routed_simulation import (
    DOMAIN,
    Behaviour,
    Simulation,
    answered,
    losing,
    refusing,
    silent,
)

SHARD_COUNT = 4


def make_simulation() -> Simulation:
    """Return a simulation with two endpoints a shard near it and one elsewhere."""
    simulation = Simulation(shard_count=SHARD_COUNT)
    for number in range(SHARD_COUNT):
        simulation.add_endpoint(f's{number}', 2, domain='elsewhere')
    for number in range(30):
        simulation.at(number * 20.0, simulation.query)
        simulation.at(number * 20.0, simulation.request)
    simulation.run(1_000.0)
    simulation.sent.clear()
    return simulation


def evacuate(simulation: Simulation, index: int, *domains: str) -> None:
    set_evacuated_domains(simulation.state.table, simulation.now_ms, index, domains)


@pytest.mark.parametrize(
    'before', [answered(10.0), answered(200.0), losing(30.0), refusing(30.0), silent]
)
def test_nothing_goes_to_evacuated_endpoints_and_all_is_answered(before: Behaviour) -> None:
    """Guard against first attempts, hedges and retries on endpoints that are to get nothing."""
    simulation = make_simulation()
    for name in simulation.behaviours:
        if not name.endswith('-2'):
            simulation.behaviours[name] = before
    for number in range(100):
        simulation.at(simulation.now_ms + number * 10.0, simulation.query)
        simulation.at(simulation.now_ms + number * 10.0, simulation.request)
    # Some attempts are in flight and would be hedged or repeated later.
    simulation.run(simulation.now_ms + 305.0)
    evacuate(simulation, 1, DOMAIN)
    started = len(simulation.simulated)
    simulation.sent.clear()
    simulation.run(simulation.now_ms + 6_000.0)
    assert {attempt.load.record.failure_domain for attempt in simulation.sent} == {'elsewhere'}
    assert all(each.answer is not None for each in simulation.simulated)
    assert len(simulation.simulated) > started


def test_endpoints_are_used_again_once_the_order_is_withdrawn() -> None:
    """Guard against a failure domain that stays unused after an evacuation."""
    simulation = make_simulation()
    evacuate(simulation, 1, DOMAIN)
    simulation.at(simulation.now_ms + 10.0, lambda: evacuate(simulation, 2))
    for number in range(100):
        simulation.at(simulation.now_ms + 20.0 + number * 20.0, simulation.query)
    simulation.run(simulation.now_ms + 4_000.0)
    near = [each for each in simulation.sent if each.load.record.failure_domain == DOMAIN]
    assert len(near) > 0.9 * len(simulation.sent)


def test_work_is_handed_over_to_domains_that_may_serve_it() -> None:
    """Guard against an instance without links that hands work to helpers of evacuated domains."""
    simulation = make_simulation()
    state = simulation.state
    state.reach.cut_off = True
    helpers = HelperTable()
    locations = [('entry', DOMAIN), ('near', DOMAIN), ('far', 'elsewhere')]
    set_helpers(helpers, [InstanceLocation(*each) for each in locations], 'entry')
    services = [f's{number}' for number in range(SHARD_COUNT)]

    def receivers() -> set[str]:
        return {group.helper.instance for group in plan_handover(state, helpers, 0.0, services, ())}

    assert receivers() == {'near'}
    evacuate(simulation, 1, DOMAIN)
    assert receivers() == {'far'}
