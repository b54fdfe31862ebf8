"""Guard against shards that are lost, duplicated or queried twice when they are delegated."""

from __future__ import annotations

from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.fleet import InstanceLocation
from pistachioloft_core.process.endpoint_table import withdraw_leaving
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
from pistachioloft_core.request.gather_state import GatherState
from pistachioloft_core.request.routed_state import budget_of
from tests.test_gather.routed_simulation import DOMAIN, Simulation

# Two thirds of the shards are delegated to two helpers of the same failure domain.
SHARD_COUNT = 60


class DelegatingQuery:
    """Hold a query whose shards are divided between this instance and helpers."""

    def __init__(self, coverage_floor: float = 0.75) -> None:
        self.simulation = Simulation(shard_count=SHARD_COUNT, coverage_floor=coverage_floor)
        self.helpers = HelperTable()
        locations = [InstanceLocation(name, DOMAIN) for name in ('entry', 'h1', 'h2')]
        set_helpers(self.helpers, locations, 'entry')
        self.query = GatherState('q', self.simulation.gather_route, 95.0, 1_000.0)
        self.actions = gather.start_gather(self.simulation.state, 0.0, self.query, self.helpers)
        self.groups = [action for action in self.actions if isinstance(action, DelegateGroup)]
        self.sends = [action for action in self.actions if isinstance(action, SendAttempt)]

    def end_direct_attempts(self) -> list[RoutedAction]:
        """Answer every attempt that was sent by this instance."""
        actions: list[RoutedAction] = []
        for send in self.sends:
            end = AttemptEnd(AttemptOutcome.ANSWERED, reply=send.attempt.service)
            record_attempt_end(self.simulation.state, 10.0, send.attempt, end)
            actions += gather.on_attempt_end(
                self.simulation.state, 10.0, self.query, send.attempt, end
            )
        return actions

    def end_without_replies(self, number: int) -> list[RoutedAction]:
        """End a group whose helper made every attempt that the route allows."""
        run_counts = dict.fromkeys(self.groups[number].services, self.query.route.attempt_limit)
        return gather.on_group_unanswered(self.simulation.state, 30.0, self.query, run_counts)

    def reply(self, services: tuple[str, ...], now_ms: float = 20.0) -> list[RoutedAction]:
        """Return the replies of shards through a helper."""
        return gather.on_group_replies(now_ms, self.query, [(name, name) for name in services])


def test_answer_contains_each_shard_once() -> None:
    """Guard against rows that are duplicated or lost when replies arrive merged."""
    delegating = DelegatingQuery()
    delegated = [name for group in delegating.groups for name in group.services]
    assert len(delegated) + len(delegating.sends) == SHARD_COUNT
    assert delegating.end_direct_attempts() == []
    assert delegating.reply(delegating.groups[0].services) == []
    (answer,) = delegating.reply(delegating.groups[1].services)
    assert isinstance(answer, DeliverMerged)
    assert sorted(answer.replies) == sorted(delegating.query.shard_by_service)
    assert answer.missing == ()


def test_delegated_shards_are_not_queried_directly() -> None:
    """Guard against attempts of two instances on a shard beyond the limit of the route."""
    delegating = DelegatingQuery()
    delegating.end_direct_attempts()
    for now_ms in range(10, 90, 10):
        actions = gather.on_gather_timer(
            delegating.simulation.state, float(now_ms), delegating.query
        )
        assert not any(isinstance(action, SendAttempt) for action in actions)


def test_partial_answer_without_delegated_group_is_sent_when_due() -> None:
    """Guard against a query that waits for a group past its latency target."""
    delegating = DelegatingQuery(coverage_floor=0.6)
    delegating.end_direct_attempts()
    delegating.reply(delegating.groups[0].services)
    assert gather.next_check_ms(20.0, delegating.query) == 95.0
    (answer,) = gather.on_gather_timer(delegating.simulation.state, 95.0, delegating.query)
    assert isinstance(answer, DeliverMerged)
    assert set(answer.missing) == set(delegating.groups[1].services)


def test_shards_of_lost_group_are_missing() -> None:
    """Guard against waiting for, or retrying, shards for which a helper received no reply."""
    delegating = DelegatingQuery(coverage_floor=0.6)
    delegating.end_direct_attempts()
    delegating.reply(delegating.groups[0].services)
    (answer,) = delegating.end_without_replies(1)
    assert isinstance(answer, DeliverMerged)
    assert len(answer.missing) == len(delegating.groups[1].services)


def test_lost_group_below_coverage_floor_is_refused_as_no_answer() -> None:
    """Guard against a refusal as not run although a helper may have sent attempts."""
    delegating = DelegatingQuery(coverage_floor=0.95)
    delegating.query.sent_count = 0
    refusals = delegating.end_without_replies(1)
    (refusal,) = [action for action in refusals if isinstance(action, Refuse)]
    assert refusal.code is ResultCode.NO_ANSWER


def test_shards_of_lost_helper_are_retried_once() -> None:
    """Guard against queries that fail with a lost helper, and against a third attempt."""
    delegating = DelegatingQuery(coverage_floor=0.95)
    delegating.end_direct_attempts()
    delegating.reply(delegating.groups[0].services)
    retried_service, *services = delegating.groups[1].services
    state = delegating.simulation.state
    actions = gather.on_helper_lost(
        state, 30.0, delegating.query, delegating.groups[1].services, {retried_service}
    )
    delegating.sends = [action for action in actions if isinstance(action, SendAttempt)]
    assert sorted(action.attempt.service for action in delegating.sends) == sorted(services)
    lost_send = delegating.sends.pop()
    end = AttemptEnd(AttemptOutcome.LOST, 'reset')
    record_attempt_end(state, 40.0, lost_send.attempt, end)
    assert not any(
        isinstance(action, SendAttempt)
        for action in gather.on_attempt_end(state, 40.0, delegating.query, lost_send.attempt, end)
    )
    (answer,) = [
        action for action in delegating.end_direct_attempts() if isinstance(action, DeliverMerged)
    ]
    assert sorted(answer.missing) == sorted((retried_service, lost_send.attempt.service))


def test_retries_of_lost_helper_shards_use_the_budget() -> None:
    """Guard against extra attempts beyond the budget that all instances share."""
    delegating = DelegatingQuery(coverage_floor=0.95)
    for name in delegating.groups[1].services:
        budget_of(delegating.simulation.state, name).balance = 0.0
    actions = gather.on_helper_lost(
        delegating.simulation.state, 30.0, delegating.query, delegating.groups[1].services, set()
    )
    assert not any(isinstance(action, SendAttempt) for action in actions)


def test_refused_group_is_reclaimed() -> None:
    """Guard against losing shards because a helper is stopping."""
    delegating = DelegatingQuery()
    actions = gather.reclaim_shards(
        delegating.simulation.state, 5.0, delegating.query, delegating.groups[0].services
    )
    sent = [action.attempt.service for action in actions if isinstance(action, SendAttempt)]
    assert sorted(sent) == sorted(delegating.groups[0].services)
    delegating.sends += [action for action in actions if isinstance(action, SendAttempt)]
    delegating.end_direct_attempts()
    (answer,) = delegating.reply(delegating.groups[1].services)
    assert isinstance(answer, DeliverMerged)
    assert answer.missing == ()


def test_group_ends_with_replies_of_remaining_shards() -> None:
    """Guard against a helper that refuses a whole group because one shard has no reply."""
    simulation = Simulation(shard_count=4, coverage_floor=1.0, attempt_limit=1)
    services = ('s0', 's2')
    group = GatherState('g', simulation.gather_route, 1_000.0, 1_000.0, False, services)
    sends = [
        action
        for action in gather.start_gather(simulation.state, 0.0, group)
        if isinstance(action, SendAttempt)
    ]
    assert [action.attempt.service for action in sends] == list(services)
    for send, end in zip(
        sends,
        (AttemptEnd(AttemptOutcome.LOST, 'reset'), AttemptEnd(AttemptOutcome.ANSWERED, reply='r')),
        strict=True,
    ):
        record_attempt_end(simulation.state, 10.0, send.attempt, end)
        actions = gather.on_attempt_end(simulation.state, 10.0, group, send.attempt, end)
    (answer,) = [action for action in actions if isinstance(action, DeliverMerged)]
    assert (answer.replies, answer.missing) == (('r',), ('s0',))


def test_shards_that_a_helper_could_not_query_are_queried_here() -> None:
    """Guard against sound instances that lose the shards of a helper which is cut off."""
    delegating = DelegatingQuery(coverage_floor=0.95)
    delegating.end_direct_attempts()
    delegating.reply(delegating.groups[0].services)
    state, services = delegating.simulation.state, delegating.groups[1].services
    before = {name: budget_of(state, name).extra_count for name in services}
    actions = gather.on_group_unanswered(
        state, 30.0, delegating.query, dict.fromkeys(services[:5], 1)
    )
    actions += gather.reclaim_shards(state, 30.0, delegating.query, services[5:])
    delegating.sends = [action for action in actions if isinstance(action, SendAttempt)]
    assert sorted(action.attempt.service for action in delegating.sends) == sorted(services)
    # Those that the helper sent once already count as extra attempts.
    extra = [name for name in services if budget_of(state, name).extra_count > before[name]]
    assert sorted(extra) == sorted(services[:5])
    assert isinstance(delegating.end_direct_attempts()[-1], DeliverMerged)


def test_budget_binds_returned_shards_until_the_answer() -> None:
    """Guard against extra attempts without budget after a helper has returned its shards."""
    delegating = DelegatingQuery(coverage_floor=0.95)
    state, services = delegating.simulation.state, delegating.groups[1].services
    for name in services:
        budget_of(state, name).balance = 0.0
    actions = gather.on_group_unanswered(state, 30.0, delegating.query, dict.fromkeys(services, 0))
    for now_ms in range(35, 90, 5):
        actions += gather.on_gather_timer(state, float(now_ms), delegating.query)
    sent = {action.attempt.service for action in actions if isinstance(action, SendAttempt)}
    assert sent.isdisjoint(services)


def test_shards_that_are_returned_too_late_are_not_retried() -> None:
    """Guard against attempts whose replies cannot arrive before the time limit."""
    delegating = DelegatingQuery(coverage_floor=0.95)
    delegating.end_direct_attempts()
    run_counts = dict.fromkeys(delegating.groups[1].services, 1)
    actions = gather.on_group_unanswered(
        delegating.simulation.state, 999.0, delegating.query, run_counts
    )
    assert not any(isinstance(action, SendAttempt) for action in actions)


def test_shards_without_a_near_endpoint_are_not_delegated_to_near_helpers() -> None:
    """Guard against shards that wait at a helper near which no endpoint has them."""
    simulation = Simulation(shard_count=SHARD_COUNT, replica_count=1)
    table = simulation.state.table
    remote = [f's{number}' for number in range(0, SHARD_COUNT, 7)]
    assert len(table.services_in(DOMAIN)) == SHARD_COUNT
    for service in remote:
        (near,) = table.usable(service)
        withdraw_leaving(table, near)
        simulation.add_endpoint(service, 1, 'elsewhere')
    assert table.services_in('elsewhere') == set(remote)
    helpers = HelperTable()
    locations = [InstanceLocation(name, DOMAIN) for name in ('entry', 'h1', 'h2')]
    set_helpers(helpers, locations, 'entry')
    query = GatherState('q', simulation.gather_route, 95.0, 1_000.0)
    actions = gather.start_gather(simulation.state, 0.0, query, helpers)
    groups = [action for action in actions if isinstance(action, DelegateGroup)]
    delegated = [service for group in groups for service in group.services]
    sent = [action.attempt.service for action in actions if isinstance(action, SendAttempt)]
    assert sorted(delegated + sent) == sorted(query.shard_by_service)
    assert set(remote) <= set(sent)
    # Groups leave before the own part is sent.
    assert [type(action) for action in actions[: len(groups)]] == [DelegateGroup] * len(groups)
