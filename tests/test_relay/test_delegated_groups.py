"""Guard against shards that are lost, doubled or asked twice because a helper asks for them."""

from __future__ import annotations

from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.fleet import InstanceLocation
from pistachioloft_core.request import gather
from pistachioloft_core.request.attempts import (
    AttemptEnd,
    AttemptOutcome,
    DelegateGroup,
    DeliverMerged,
    Refuse,
    RoutedAction,
    SendAttempt,
    record_attempt_end,
)
from pistachioloft_core.request.delegation import HelperTable, set_helpers
from pistachioloft_core.request.gather import GatherState
from pistachioloft_core.request.routed_state import budget_of
from tests.test_gather.routed_simulation import DOMAIN, Simulation

# Two thirds of the shards are delegated to two helpers near this instance.
SHARD_COUNT = 60


class Asking:
    """Hold a query whose shards are divided among this instance and helpers."""

    def __init__(self, coverage_floor: float = 0.75) -> None:
        self.simulation = Simulation(shard_count=SHARD_COUNT, coverage_floor=coverage_floor)
        self.helpers = HelperTable()
        locations = [InstanceLocation(name, DOMAIN) for name in ('entry', 'h1', 'h2')]
        set_helpers(self.helpers, locations, 'entry')
        self.query = GatherState('q', self.simulation.gather_route, 95.0, 1_000.0)
        self.actions = gather.start_gather(self.simulation.state, 0.0, self.query, self.helpers)
        self.groups = [each for each in self.actions if isinstance(each, DelegateGroup)]
        self.sends = [each for each in self.actions if isinstance(each, SendAttempt)]

    def end_own(self) -> list[RoutedAction]:
        """Answer every attempt that was sent from here."""
        actions: list[RoutedAction] = []
        for send in self.sends:
            end = AttemptEnd(AttemptOutcome.ANSWERED, reply=send.attempt.service)
            record_attempt_end(self.simulation.state, 10.0, send.attempt, end)
            actions += gather.on_attempt_end(
                self.simulation.state, 10.0, self.query, send.attempt, end
            )
        return actions

    def reply(self, services: tuple[str, ...], now_ms: float = 20.0) -> list[RoutedAction]:
        """Answer shards through a helper."""
        return gather.on_group_replies(now_ms, self.query, [(name, name) for name in services])


def test_an_answer_holds_each_shard_once() -> None:
    """Guard against rows that are doubled or lost where replies come merged."""
    asking = Asking()
    delegated = [name for group in asking.groups for name in group.services]
    assert len(delegated) + len(asking.sends) == SHARD_COUNT
    assert asking.end_own() == []
    assert asking.reply(asking.groups[0].services) == []
    (answer,) = asking.reply(asking.groups[1].services)
    assert isinstance(answer, DeliverMerged)
    assert sorted(answer.replies) == sorted(asking.query.shard_by_service)
    assert answer.missing == ()


def test_delegated_shards_are_not_asked_from_here() -> None:
    """Guard against shards that two instances ask for, beyond the attempts of the route."""
    asking = Asking()
    asking.end_own()
    for now_ms in range(10, 90, 10):
        actions = gather.on_gather_timer(asking.simulation.state, float(now_ms), asking.query)
        assert not any(isinstance(action, SendAttempt) for action in actions)


def test_what_came_is_answered_when_it_is_due() -> None:
    """Guard against a query that waits for a group beyond its latency target."""
    asking = Asking(coverage_floor=0.6)
    asking.end_own()
    asking.reply(asking.groups[0].services)
    assert gather.next_check_ms(20.0, asking.query) == 95.0
    (answer,) = gather.on_gather_timer(asking.simulation.state, 95.0, asking.query)
    assert isinstance(answer, DeliverMerged)
    assert set(answer.missing) == set(asking.groups[1].services)


def test_a_lost_group_counts_as_missing() -> None:
    """Guard against waiting for, or asking again for, shards that a helper got no reply for."""
    asking = Asking(coverage_floor=0.6)
    asking.end_own()
    asking.reply(asking.groups[0].services)
    (answer,) = gather.on_group_lost(30.0, asking.query, asking.groups[1].services)
    assert isinstance(answer, DeliverMerged)
    assert len(answer.missing) == len(asking.groups[1].services)


def test_a_lost_group_below_the_floor_promises_nothing() -> None:
    """Guard against a promise that nothing ran where a helper may have asked endpoints."""
    asking = Asking(coverage_floor=0.95)
    asking.query.sent_count = 0
    refusals = gather.on_group_lost(30.0, asking.query, asking.groups[1].services)
    (refusal,) = [action for action in refusals if isinstance(action, Refuse)]
    assert refusal.code is ResultCode.NO_ANSWER


def test_shards_of_a_lost_helper_are_asked_once_more() -> None:
    """Guard against queries that fail with each instance that ends, and a third attempt."""
    asking = Asking(coverage_floor=0.95)
    asking.end_own()
    asking.reply(asking.groups[0].services)
    twice, *services = asking.groups[1].services
    state = asking.simulation.state
    actions = gather.on_helper_lost(state, 30.0, asking.query, asking.groups[1].services, {twice})
    asking.sends = [each for each in actions if isinstance(each, SendAttempt)]
    assert sorted(each.attempt.service for each in asking.sends) == sorted(services)
    lost = asking.sends.pop()
    end = AttemptEnd(AttemptOutcome.LOST, 'reset')
    record_attempt_end(state, 40.0, lost.attempt, end)
    assert not any(
        isinstance(each, SendAttempt)
        for each in gather.on_attempt_end(state, 40.0, asking.query, lost.attempt, end)
    )
    (answer,) = [each for each in asking.end_own() if isinstance(each, DeliverMerged)]
    assert sorted(answer.missing) == sorted((twice, lost.attempt.service))


def test_shards_of_a_lost_helper_cost_the_budget() -> None:
    """Guard against extra attempts beyond what all instances may add."""
    asking = Asking(coverage_floor=0.95)
    for name in asking.groups[1].services:
        budget_of(asking.simulation.state, name).balance = 0.0
    actions = gather.on_helper_lost(
        asking.simulation.state, 30.0, asking.query, asking.groups[1].services, set()
    )
    assert not any(isinstance(each, SendAttempt) for each in actions)


def test_a_refused_group_is_asked_from_here() -> None:
    """Guard against shards that are lost because a helper is stopping."""
    asking = Asking()
    actions = gather.reclaim_shards(
        asking.simulation.state, 5.0, asking.query, asking.groups[0].services
    )
    sent = [each.attempt.service for each in actions if isinstance(each, SendAttempt)]
    assert sorted(sent) == sorted(asking.groups[0].services)
    asking.sends += [each for each in actions if isinstance(each, SendAttempt)]
    asking.end_own()
    (answer,) = asking.reply(asking.groups[1].services)
    assert isinstance(answer, DeliverMerged)
    assert answer.missing == ()


def test_a_group_ends_with_what_its_shards_gave() -> None:
    """Guard against a helper that refuses a group for one shard without a reply."""
    simulation = Simulation(shard_count=4, coverage_floor=1.0, attempt_limit=1)
    services = ('s0', 's2')
    group = GatherState('g', simulation.gather_route, 1_000.0, 1_000.0, False, services)
    sends = [
        each
        for each in gather.start_gather(simulation.state, 0.0, group)
        if isinstance(each, SendAttempt)
    ]
    assert [each.attempt.service for each in sends] == list(services)
    for send, end in zip(
        sends,
        (AttemptEnd(AttemptOutcome.LOST, 'reset'), AttemptEnd(AttemptOutcome.ANSWERED, reply='r')),
        strict=True,
    ):
        record_attempt_end(simulation.state, 10.0, send.attempt, end)
        actions = gather.on_attempt_end(simulation.state, 10.0, group, send.attempt, end)
    (answer,) = [each for each in actions if isinstance(each, DeliverMerged)]
    assert (answer.replies, answer.missing) == (('r',), ('s0',))
