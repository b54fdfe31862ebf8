"""Guard against windows with more requests of an organisation than its allotment allows."""

from __future__ import annotations

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
)

from pistachioloft_core.messages.routes import Organisation
from pistachioloft_core.process.allotments import AllotmentBounds

from .allotment_fleet import AllotmentFleet, allowed_count, greatest_count

INSTANCE_COUNT = 6
WINDOW_MS = 5_000.0
numbers = st.integers(0, INSTANCE_COUNT - 1)


class AnyOrder(RuleBasedStateMachine):
    """Play requests among faults, clocks and views in any order."""

    fleet: AllotmentFleet

    @initialize(
        seed=st.integers(0, 1_000),
        rate_per_s=st.sampled_from([0.2, 2.0, 6.0]),
        burst_count=st.sampled_from([1.0, 8.0]),
        slack_count=st.sampled_from([0.0, 3.0, 12.0]),
    )
    def begin(self, seed: int, rate_per_s: float, burst_count: float, slack_count: float) -> None:
        organisation = Organisation('east', (), rate_per_s=rate_per_s, burst_count=burst_count)
        bounds = AllotmentBounds(WINDOW_MS, 0.1, slack_count)
        self.fleet = AllotmentFleet(INSTANCE_COUNT, organisation, bounds, seed)
        self.fleet.advance(30_000.0)

    @rule(number=numbers, count=st.integers(1, 8))
    def send_requests(self, number: int, count: int) -> None:
        for _ in range(count):
            self.fleet.send_request(self.fleet.names[number])

    @rule(time_ms=st.sampled_from([200, 1_000, 3_000, 6_000]))
    def send_everywhere(self, time_ms: int) -> None:
        end_ms = self.fleet.now_ms + time_ms
        while self.fleet.now_ms < end_ms:
            for name in self.fleet.names:
                self.fleet.send_request(name)
                self.fleet.send_request(name)
            self.fleet.advance(100.0)

    @rule(time_ms=st.sampled_from([20, 500, 2_500, 5_000, 12_000, 30_000]))
    def advance(self, time_ms: int) -> None:
        self.fleet.advance(time_ms)

    @rule(advertised=st.sets(numbers, min_size=1))
    def set_view(self, advertised: set[int]) -> None:
        self.fleet.set_view(tuple(self.fleet.names[number] for number in sorted(advertised)))

    @rule(
        is_cut_off=st.booleans(),
        time_ms=st.sampled_from([0, 300, 500, 1_500, 3_500]),
        returns=st.booleans(),
    )
    def replace_grantor(self, is_cut_off: bool, time_ms: int, returns: bool) -> None:
        """Advertise an instance less, which may not hear of it, for a while or for good."""
        grantors = {
            standing.grantor
            for instance in self.fleet.instances.values()
            for standing in instance.ranks.standings.values()
        }
        names = self.fleet.views[-1][1]
        for name in grantors:
            self.fleet.instances[name].is_cut_off = is_cut_off
        self.fleet.set_view(tuple(name for name in names if name not in grantors) or names)
        self.send_everywhere(time_ms)
        if returns:
            self.fleet.set_view(names)
            successors = {
                standing.grantor
                for instance in self.fleet.instances.values()
                for standing in instance.ranks.standings.values()
            }
            for name in successors - grantors:
                self.fleet.instances[name].is_cut_off = is_cut_off
            self.send_everywhere(2_500)

    @rule(number=numbers, is_cut_off=st.booleans())
    def cut_off(self, number: int, is_cut_off: bool) -> None:
        self.fleet.instances[self.fleet.names[number]].is_cut_off = is_cut_off

    @rule(number=numbers, is_frozen=st.booleans())
    def freeze(self, number: int, is_frozen: bool) -> None:
        self.fleet.instances[self.fleet.names[number]].is_frozen = is_frozen

    @rule(number=numbers, count=st.integers(1, 4))
    def send_and_leave(self, number: int, count: int) -> None:
        self.send_requests(number, count)
        self.fleet.leave(self.fleet.names[number])

    @rule(number=numbers)
    def restart(self, number: int) -> None:
        self.fleet.restart(self.fleet.names[number])

    @rule(delay_ms=st.sampled_from([0.0, 2.0, 200.0, 6_000.0]))
    def delay_messages(self, delay_ms: float) -> None:
        self.fleet.message_delay_ms = delay_ms

    @rule(is_lost=st.booleans())
    def lose_or_repeat_messages(self, is_lost: bool) -> None:
        messages = self.fleet.messages
        if is_lost:
            del messages[::2]
        else:
            messages.extend(messages[::2])

    def teardown(self) -> None:
        """Compare each window with the bound."""
        if hasattr(self, 'fleet'):
            fleet = self.fleet
            count = greatest_count(fleet.admitted, WINDOW_MS)
            assert count <= allowed_count(fleet.organisation, fleet.bounds) + 1e-6


AnyOrder.TestCase.settings = settings(
    max_examples=250,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
test_any_order = AnyOrder.TestCase
