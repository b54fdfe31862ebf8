"""Guard against requests that run twice, wait for nothing or are refused untruly."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.errors import RESULTS, ResultCode
from pistachioloft_core.messages.routes import Route, WeightedService
from pistachioloft_core.request.attempts import AttemptEnd, AttemptOutcome, Deliver, Refuse
from pistachioloft_core.request.split import SplitState, choose_service
from tests.test_gather.routed_player import (
    Behaviour,
    Played,
    Player,
    answered,
    losing,
    refusing,
    silent,
)


def delivered(played: Played) -> object:
    assert played.answer is not None
    assert isinstance(played.answer.action, Deliver)
    return played.answer.action.reply


def refusal(played: Played) -> Refuse:
    assert played.answer is not None
    assert isinstance(played.answer.action, Refuse)
    return played.answer.action


def both(player: Player, behaviour: Behaviour) -> None:
    player.behaviours['s0-0'] = player.behaviours['s0-1'] = behaviour


def test_a_lost_reply_is_fetched_elsewhere_if_the_request_may_run_twice() -> None:
    """Guard against a caller that gets an error while another endpoint could answer."""
    player = Player()
    player.behaviours['s0-0'] = losing()
    player.behaviours['s0-1'] = losing()
    first = player.request()
    player.run(100.0)
    assert refusal(first).code is ResultCode.NO_ANSWER
    assert player.sent_to('s0-0') == player.sent_to('s0-1') == 1


def test_a_request_that_must_run_once_is_not_repeated_after_a_lost_reply() -> None:
    """Guard against a bill that is sent twice, and against a false promise that it did not run."""
    player = Player()
    both(player, losing())
    played = player.request(idempotent=False)
    player.run(100.0)
    assert refusal(played).code is ResultCode.OUTCOME_UNKNOWN
    assert len(player.sent) == 1


def test_a_refused_request_that_must_run_once_is_tried_elsewhere() -> None:
    """Guard against a refusal where an endpoint proved that nothing ran."""
    player = Player()
    player.behaviours['s0-0'] = refusing()
    player.behaviours['s0-1'] = refusing()
    played = player.request(idempotent=False)
    player.run(1.5)
    both(player, answered(5.0))
    player.run(100.0)
    assert delivered(played) == 'part'


def test_a_slow_request_that_must_run_once_is_not_hedged() -> None:
    """Guard against a hedge of what must run once."""
    player = Player()
    both(player, answered(3_000.0))
    played = player.request(idempotent=False)
    player.run(5_000.0)
    assert delivered(played) == 'part'
    assert len(player.sent) == 1


def test_a_failure_of_an_endpoint_is_delivered_when_nothing_better_comes() -> None:
    """Guard against an endpoint's own answer that is replaced by one of this system."""
    player = Player()
    both(
        player,
        lambda _now, _attempt: (2.0, AttemptEnd(AttemptOutcome.FAILED, 'status 500', 'failure')),
    )
    played = player.request()
    player.run(100.0)
    assert delivered(played) == 'failure'
    assert len(player.sent) == 2


def test_the_time_limit_ends_a_request() -> None:
    """Guard against a caller that waits longer than its operators allow."""
    player = Player()
    both(player, silent)
    played = player.request(limit_ms=700.0)
    player.run(3_000.0)
    assert refusal(played).code is ResultCode.NO_ANSWER
    assert played.answer is not None
    assert played.answer.at_ms == 700.0


def test_no_endpoint_is_said_at_once() -> None:
    """Guard against a caller that waits for an endpoint that does not exist."""
    player = Player(replica_count=0)
    assert refusal(player.request()).code is ResultCode.NO_ENDPOINT


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
def test_not_run_is_true_and_one_run_is_one(
    first: Behaviour, second: Behaviour, idempotent: bool
) -> None:
    """Guard against a promise that nothing ran, or a second run, whatever endpoints do."""
    player = Player()
    player.behaviours['s0-0'], player.behaviours['s0-1'] = first, second
    ran: Counter[str] = Counter()

    def counting(behaviour: Behaviour) -> Behaviour:
        def run(now_ms: float, attempt: object) -> object:
            reply = behaviour(now_ms, attempt)  # type: ignore[arg-type]
            if reply is None or reply[1].outcome not in (
                AttemptOutcome.NOT_SENT,
                AttemptOutcome.NOT_RUN,
            ):
                ran['runs'] += 1
            return reply

        return run  # type: ignore[return-value]

    for name in ('s0-0', 's0-1'):
        player.behaviours[name] = counting(player.behaviours[name])
    played = player.request(idempotent=idempotent)
    player.run(10_000.0)
    assert played.answer is not None
    assert ran['runs'] <= (2 if idempotent else 1)
    action = played.answer.action
    if isinstance(action, Refuse) and RESULTS[action.code].run_status.value == 'not_run':
        assert ran['runs'] == 0


def test_a_split_follows_its_weights_from_the_first_request() -> None:
    """Guard against a part of a split that gets more or less than its weight."""
    services = (WeightedService('blue', 3), WeightedService('green', 1), WeightedService('off', 0))
    route = Route('split', 'h', '/s/', True, 100.0, 50.0, 1, 2, services)
    state = SplitState()
    chosen = Counter(choose_service(state, route) for _ in range(40))
    assert chosen == {'blue': 30, 'green': 10}
