"""Guard against rows that are doubled or lost where replies come merged."""

from __future__ import annotations

from pistachioloft_core.request import gather
from pistachioloft_core.request.attempts import (
    Attempt,
    AttemptEnd,
    DeliverMerged,
    Ended,
    SendAttempt,
    end_attempt,
)
from pistachioloft_core.request.gather import GatherState
from tests.test_gather.routed_player import Player


def started(player: Player) -> tuple[GatherState, list[Attempt]]:
    query = GatherState('q', player.gather_route, 95.0, 1_000.0)
    actions = gather.start_gather(player.state, 0.0, query)
    return query, [action.attempt for action in actions if isinstance(action, SendAttempt)]


def merged(text: str) -> AttemptEnd:
    return AttemptEnd(Ended.ANSWERED, reply=text, merged=True)


def give(
    player: Player, query: GatherState, ends: list[tuple[Attempt, AttemptEnd]]
) -> list[DeliverMerged]:
    for attempt, end in ends:
        end_attempt(player.state, 30.0, attempt, end)
    actions = gather.on_attempts_end(player.state, 30.0, query, ends)
    return [action for action in actions if isinstance(action, DeliverMerged)]


def test_a_group_is_taken_whole_before_the_answer() -> None:
    """Guard against an answer with the merged rows of a shard that counts as missing."""
    player = Player()
    query, attempts = started(player)
    ends = [(attempt, merged(f'm{number}')) for number, attempt in enumerate(attempts)]
    (answer,) = give(player, query, ends)
    assert answer.replies == ('m0', 'm1', 'm2', 'm3')
    assert answer.missing == ()


def test_merged_reply_replaces_that_of_a_hedge() -> None:
    """Guard against the rows of a shard that both its endpoints gave."""
    player = Player()
    query, attempts = started(player)
    late = attempts[0].check_at_ms
    hedges = [
        action.attempt
        for action in gather.on_gather_timer(player.state, late, query)
        if isinstance(action, SendAttempt)
    ]
    hedge = next(each for each in hedges if each.service == attempts[0].service)
    give(player, query, [(hedge, AttemptEnd(Ended.ANSWERED, reply='hedge'))])
    ends = [(attempt, merged(f'm{number}')) for number, attempt in enumerate(attempts)]
    (answer,) = give(player, query, ends)
    assert answer.replies == ('m0', 'm1', 'm2', 'm3')


def test_single_reply_does_not_replace_a_merged_one() -> None:
    """Guard against a shard that is left out of the records of its group."""
    player = Player()
    query, attempts = started(player)
    late = attempts[0].check_at_ms
    hedges = [
        action.attempt
        for action in gather.on_gather_timer(player.state, late, query)
        if isinstance(action, SendAttempt)
    ]
    ends = [(attempt, merged(f'm{number}')) for number, attempt in enumerate(attempts[:3])]
    assert give(player, query, ends) == []
    single = [(each, AttemptEnd(Ended.ANSWERED, reply=f'h-{each.service}')) for each in hedges]
    answers = [answer for end in single for answer in give(player, query, [end])]
    (answer,) = answers
    assert answer.replies == ('m0', 'm1', 'm2', f'h-{attempts[3].service}')
