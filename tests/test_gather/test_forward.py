"""Guard against requests that run twice, wait needlessly or are wrongly refused as not run."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.errors import RESULTS, ResultCode
from pistachioloft_core.messages.routes import Route, WeightedService
from pistachioloft_core.request.attempts import AttemptEnd, AttemptOutcome, Deliver, Refuse
from pistachioloft_core.request.split import SplitState, choose_service
from tests.test_gather.routed_simulation import (
    Behaviour,
    SimulatedRequest,
    Simulation,
    answered,
    losing,
    refusing,
    silent,
)


def delivered(simulated: SimulatedRequest) -> object:
    assert simulated.answer is not None
    assert isinstance(simulated.answer.action, Deliver)
    return simulated.answer.action.reply


def refusal(simulated: SimulatedRequest) -> Refuse:
    assert simulated.answer is not None
    assert isinstance(simulated.answer.action, Refuse)
    return simulated.answer.action


def set_both_replicas(simulation: Simulation, behaviour: Behaviour) -> None:
    simulation.behaviours['s0-0'] = simulation.behaviours['s0-1'] = behaviour


def test_idempotent_request_is_retried_after_a_lost_reply() -> None:
    """Guard against an error answer while another endpoint could have been tried."""
    simulation = Simulation()
    simulation.behaviours['s0-0'] = losing()
    simulation.behaviours['s0-1'] = losing()
    first = simulation.request()
    simulation.run(100.0)
    assert refusal(first).code is ResultCode.NO_ANSWER
    assert simulation.sent_count_to('s0-0') == simulation.sent_count_to('s0-1') == 1


def test_non_idempotent_request_is_not_retried_after_a_lost_reply() -> None:
    """Guard against a second run, and against a false refusal as not run."""
    simulation = Simulation()
    set_both_replicas(simulation, losing())
    simulated = simulation.request(idempotent=False)
    simulation.run(100.0)
    assert refusal(simulated).code is ResultCode.OUTCOME_UNKNOWN
    assert len(simulation.sent) == 1


def test_refused_non_idempotent_request_is_retried() -> None:
    """Guard against refusing a request although the endpoint proved that it did not run."""
    simulation = Simulation()
    simulation.behaviours['s0-0'] = refusing()
    simulation.behaviours['s0-1'] = refusing()
    simulated = simulation.request(idempotent=False)
    simulation.run(1.5)
    set_both_replicas(simulation, answered(5.0))
    simulation.run(100.0)
    assert delivered(simulated) == 'part'


def test_slow_non_idempotent_request_is_not_hedged() -> None:
    """Guard against a hedge that runs a non-idempotent request twice."""
    simulation = Simulation()
    set_both_replicas(simulation, answered(3_000.0))
    simulated = simulation.request(idempotent=False)
    simulation.run(5_000.0)
    assert delivered(simulated) == 'part'
    assert len(simulation.sent) == 1


def test_error_reply_is_delivered_if_no_attempt_succeeds() -> None:
    """Guard against replacing an endpoint's own error reply by a refusal of this system."""
    simulation = Simulation()
    set_both_replicas(
        simulation,
        lambda _now, _attempt: (2.0, AttemptEnd(AttemptOutcome.FAILED, 'status 500', 'failure')),
    )
    simulated = simulation.request()
    simulation.run(100.0)
    assert delivered(simulated) == 'failure'
    assert len(simulation.sent) == 2


def test_request_ends_at_its_deadline() -> None:
    """Guard against a caller that waits longer than the time limit."""
    simulation = Simulation()
    set_both_replicas(simulation, silent)
    simulated = simulation.request(limit_ms=700.0)
    simulation.run(3_000.0)
    assert refusal(simulated).code is ResultCode.NO_ANSWER
    assert simulated.answer is not None
    assert simulated.answer.at_ms == 700.0


def test_request_without_endpoint_is_refused_at_once() -> None:
    """Guard against a caller that waits for an endpoint that does not exist."""
    simulation = Simulation(replica_count=0)
    assert refusal(simulation.request()).code is ResultCode.NO_ENDPOINT


BEHAVIOURS = st.sampled_from(
    (
        answered(5.0),
        answered(900.0),
        refusing(),
        losing(),
        silent,
        lambda _now, _attempt: (
            1.0,
            AttemptEnd(AttemptOutcome.NOT_SENT, 'refused', wrong_endpoint=True),
        ),
        lambda _now, _attempt: (
            1.0,
            AttemptEnd(AttemptOutcome.NOT_RUN, 'moved', wrong_endpoint=True),
        ),
        lambda _now, _attempt: (1.0, AttemptEnd(AttemptOutcome.FAILED, 'status 500', 'failure')),
    )
)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(BEHAVIOURS, BEHAVIOURS, st.booleans())
def test_refusal_as_not_run_is_true_and_runs_are_limited(
    first: Behaviour, second: Behaviour, idempotent: bool
) -> None:
    """Guard against refusals as not run after a run, and against extra runs, for any endpoints."""
    simulation = Simulation()
    simulation.behaviours['s0-0'], simulation.behaviours['s0-1'] = first, second
    run_counts: Counter[str] = Counter()

    def counting(behaviour: Behaviour) -> Behaviour:
        def run(now_ms: float, attempt: object) -> object:
            reply = behaviour(now_ms, attempt)  # type: ignore[arg-type]
            if reply is None or reply[1].outcome not in (
                AttemptOutcome.NOT_SENT,
                AttemptOutcome.NOT_RUN,
            ):
                run_counts['runs'] += 1
            return reply

        return run  # type: ignore[return-value]

    for name in ('s0-0', 's0-1'):
        simulation.behaviours[name] = counting(simulation.behaviours[name])
    simulated = simulation.request(idempotent=idempotent)
    simulation.run(10_000.0)
    assert simulated.answer is not None
    assert run_counts['runs'] <= (2 if idempotent else 1)
    action = simulated.answer.action
    if isinstance(action, Refuse) and RESULTS[action.code].run_status.value == 'not_run':
        assert run_counts['runs'] == 0


def test_split_follows_its_weights() -> None:
    """Guard against a service of a split that receives more or less than its weight."""
    services = (WeightedService('blue', 3), WeightedService('green', 1), WeightedService('off', 0))
    route = Route('split', 'h', '/s/', True, 100.0, 50.0, 1, 2, services)
    state = SplitState()
    chosen = Counter(choose_service(state, route) for _ in range(40))
    assert chosen == {'blue': 30, 'green': 10}
