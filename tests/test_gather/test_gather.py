"""Guard against untrue, late or missing answers of queries over many shards."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.errors import ResultCode
from pistachioloft_core.request.attempts import AttemptEnd, AttemptOutcome, DeliverMerged, Refuse
from pistachioloft_core.request.records import greatest_records, split_records
from tests.test_gather.routed_player import (
    Behaviour,
    Played,
    Player,
    answered,
    losing,
    refusing,
    silent,
)


def merged(played: Played) -> DeliverMerged:
    assert played.answer is not None
    assert isinstance(played.answer.action, DeliverMerged)
    return played.answer.action


def refusal(played: Played) -> Refuse:
    assert played.answer is not None
    assert isinstance(played.answer.action, Refuse)
    return played.answer.action


def test_all_shards_are_asked_once_and_answered_together() -> None:
    """Guard against extra load where nothing is wrong."""
    player = Player()
    played = player.query()
    player.run(2_000.0)
    assert merged(played).missing == ()
    assert len(merged(played).replies) == 4
    assert len(player.sent) == 4


def test_a_late_shard_is_asked_elsewhere() -> None:
    """Guard against a query that waits for one slow endpoint."""
    player = Player()
    for name in ('s1-0', 's1-1'):
        player.behaviours[name] = silent
    warm = [player.query() for _ in range(8)]
    player.run(1_500.0)
    assert all(played.answer for played in warm)
    player.behaviours['s1-1'] = answered(10.0)
    player.behaviours['s1-0'] = answered(500.0)
    player.run(5_000.0)
    played = player.query()
    player.run(7_000.0)
    assert merged(played).missing == ()
    assert played.answer is not None
    assert played.answer.at_ms - played.arrived_ms < 95.0


def test_at_its_time_an_answer_says_what_is_missing() -> None:
    """Guard against a caller that waits past its target for one of many shards."""
    player = Player(floor=0.75)
    player.behaviours['s3-0'] = player.behaviours['s3-1'] = silent
    played = player.query(answer_after_ms=95.0)
    player.run(2_000.0)
    assert len(merged(played).missing) == 1
    assert played.answer is not None
    assert played.answer.at_ms == 95.0


def test_a_deadline_before_the_target_is_kept() -> None:
    """Guard against a query that is looked at without end between its deadline and its target."""
    player = Player(floor=0.75)
    player.behaviours['s3-0'] = player.behaviours['s3-1'] = silent
    played = player.query(answer_after_ms=95.0, limit_ms=40.0)
    player.run(39.0)
    check_count = player.timer_count
    player.run(60.0)
    assert len(merged(played).missing) == 1
    assert played.answer is not None
    assert played.answer.at_ms == 40.0
    assert player.timer_count <= check_count + 2


def test_below_the_floor_a_query_waits_and_then_says_that_nothing_came() -> None:
    """Guard against an answer that covers less than its operators allow."""
    player = Player(floor=0.75)
    for shard in ('s2', 's3'):
        player.behaviours[f'{shard}-0'] = player.behaviours[f'{shard}-1'] = answered(300.0)
    played = player.query(answer_after_ms=95.0)
    player.run(2_000.0)
    assert len(merged(played).missing) <= 1
    for shard in ('s2', 's3'):
        player.behaviours[f'{shard}-0'] = player.behaviours[f'{shard}-1'] = silent
    late = player.query(answer_after_ms=95.0)
    player.run(4_000.0)
    assert refusal(late).code is ResultCode.NO_ANSWER
    assert refusal(late).retry_after_ms is None


def test_too_few_shards_with_endpoints_are_refused_at_once() -> None:
    """Guard against a caller that waits for what cannot be served."""
    player = Player(floor=0.75, replica_count=0)
    player.add_endpoint('s0', 0)
    player.add_endpoint('s1', 0)
    played = player.query()
    assert refusal(played).code is ResultCode.NO_ENDPOINT
    assert refusal(played).retry_after_ms is not None
    assert player.sent == []


def test_a_query_that_can_no_longer_reach_its_floor_ends_at_once() -> None:
    """Guard against a caller that waits for its deadline after every endpoint failed."""
    player = Player(floor=0.75)
    for name in ('s2-0', 's2-1', 's3-0', 's3-1'):
        player.behaviours[name] = losing(2.0)
    played = player.query()
    player.run(50.0)
    assert refusal(played).code is ResultCode.NO_ANSWER


def test_a_refused_attempt_goes_to_the_other_replica_and_back() -> None:
    """Guard against a shard that is given up because one endpoint is full."""
    player = Player()
    player.behaviours['s0-0'] = player.behaviours['s0-1'] = refusing(1.0)
    played = player.query()
    player.run(1.5)
    player.behaviours['s0-0'] = player.behaviours['s0-1'] = answered(5.0)
    player.run(500.0)
    assert merged(played).missing == ()


def test_an_endpoint_runs_a_query_once() -> None:
    """Guard against more runs of one shard than its route allows."""
    player = Player(replica_count=3, attempt_limit=2)
    for replica in range(3):
        player.behaviours[f's0-{replica}'] = losing(3.0)
    player.query()
    player.run(1_000.0)
    assert sum(player.sent_to(f's0-{replica}') for replica in range(3)) == 2


def test_a_caller_that_leaves_stops_the_work() -> None:
    """Guard against endpoints that work for nobody."""
    player = Player()
    for name in player.behaviours:
        player.behaviours[name] = answered(400.0)
    played = player.query()
    player.run(1.0)
    player.leave(played)
    player.run(1.0)
    assert len(player.withdrawn) == 4
    assert played.answer is None


def test_extra_attempts_stay_within_the_budget() -> None:
    """Guard against hedges and retries that multiply the load when endpoints are slow."""
    player = Player(allowance_count=20.0)
    for name in player.behaviours:
        player.behaviours[name] = answered(200.0)
    count = 50
    for number in range(count):
        player.at(number * 20.0, player.query)
    player.run(4_000.0)
    for shard in range(4):
        sent = player.sent_to(f's{shard}-0') + player.sent_to(f's{shard}-1')
        assert sent <= count * 1.2 + 20.0


@st.composite
def behaviours(draw: st.DrawFn) -> list[Behaviour]:
    kinds = [
        answered(draw(st.floats(0.5, 300.0))),
        refusing(draw(st.floats(0.5, 30.0))),
        losing(draw(st.floats(0.5, 30.0))),
        silent,
        lambda _now, _attempt: (
            2.0,
            AttemptEnd(AttemptOutcome.NOT_SENT, 'refused', wrong_endpoint=True),
        ),
        lambda _now, _attempt: (2.0, AttemptEnd(AttemptOutcome.FAILED, 'status 500')),
    ]
    return [kinds[draw(st.integers(0, 5))] for _ in range(8)]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(behaviours(), st.lists(st.floats(0.0, 400.0), min_size=1, max_size=6))
def test_every_query_gets_one_true_answer_in_its_time(
    chosen: list[Behaviour], arrivals: list[float]
) -> None:
    """Guard against lost answers, untrue coverage and attempts that are never ended."""
    player = Player()
    for name, behaviour in zip(sorted(player.behaviours), chosen, strict=True):
        player.behaviours[name] = behaviour
    for at_ms in arrivals:
        player.at(at_ms, player.query)
    player.run(20_000.0)
    for played in player.played:
        assert played.answer is not None
        assert played.answer.at_ms <= played.arrived_ms + 1_000.0
        action = played.answer.action
        if isinstance(action, DeliverMerged):
            assert len(action.replies) + len(action.missing) == 4
            assert len(action.replies) >= 3
    assert all(load.in_flight_count == 0 for load in player.state.table.endpoints.values())
    assert all(load.overdue_count == 0 for load in player.state.table.endpoints.values())


@given(st.lists(st.binary(max_size=100), max_size=5), st.integers(1, 10))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_merged_records_are_the_greatest(bodies: list[bytes], count: int) -> None:
    """Guard against a record that is lost, doubled, cut or out of order."""
    whole = sorted((r for body in bodies for r in split_records(body)), reverse=True)
    assert greatest_records(bodies, count) == b''.join(whole[:count])
    assert all(len(record) == 16 for record in whole)
