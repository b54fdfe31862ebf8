"""Test the limits of the owner under any order of events."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pistachioloft_core.connection import owner, pool
from tests.test_owner.harness import Harness, make_record

SLOT_COUNT = 2
CONNECTION_LIMIT = 9


class AnyOrder(RuleBasedStateMachine):
    """Run one owner and one endpoint through arbitrary events."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = Harness()
        self.incarnation = 1
        self.sequence = 0
        self.draining = False
        self.owned = False
        self.submitted: list[str] = []
        self.announce()

    def announce(self) -> None:
        self.sequence += 1
        self.owned = True
        record = make_record(
            incarnation=self.incarnation,
            sequence=self.sequence,
            slots=SLOT_COUNT,
            limit=CONNECTION_LIMIT,
            draining=self.draining,
        )
        self.harness.call(owner.update_endpoint, record)

    @rule()
    def renew(self) -> None:
        self.announce()

    @rule(drains=st.booleans())
    def drain(self, drains: bool) -> None:
        self.draining = self.draining or drains
        self.announce()

    @rule()
    def restart(self) -> None:
        """Restart the endpoint; the resets of its connections may be reported late."""
        self.incarnation += 1
        self.sequence = 0
        self.draining = False
        self.announce()

    @rule()
    def lose_ownership(self) -> None:
        self.owned = False
        self.harness.call(owner.remove_endpoint, 's1')

    @rule(
        count=st.integers(1, 4),
        urgent=st.booleans(),
        time_left_ms=st.sampled_from([0.5, 30.0, 400.0, 5000.0]),
        kind=st.sampled_from(['query', 'command']),
    )
    def submit(self, count: int, urgent: bool, time_left_ms: float, kind: str) -> None:
        for _ in range(count):
            attempt_id = f'a{len(self.submitted)}'
            self.submitted.append(attempt_id)
            sent = len(self.harness.sent)
            fields = {'urgent': urgent, 'time_left_ms': time_left_ms, 'kind': kind}
            self.harness.submit(attempt_id, **fields)
            if self.draining or not self.owned:
                assert len(self.harness.sent) == sent
                assert self.harness.results[attempt_id].outcome == 'not_started'

    @rule(data=st.data())
    def submit_again(self, data: st.DataObject) -> None:
        if self.submitted:
            self.harness.submit(data.draw(st.sampled_from(self.submitted)))

    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        if self.submitted:
            self.harness.call(owner.cancel, data.draw(st.sampled_from(self.submitted)))

    @rule(data=st.data(), identity=st.sampled_from([None, None, None, 'other#1']))
    def reply(self, data: st.DataObject, identity: str | None) -> None:
        if not self.harness.in_flight:
            return
        connection_id = data.draw(st.sampled_from(sorted(self.harness.in_flight)))
        status = data.draw(st.sampled_from(['ok', 'ok', 'not_started', 'failed', 'odd']))
        fields = {'identity': identity} if identity else {}
        self.harness.reply(connection_id, status, incarnation=self.incarnation, **fields)

    @rule(data=st.data(), sent=st.booleans())
    def fail(self, data: st.DataObject, sent: bool) -> None:
        if self.harness.in_flight:
            connection_id = data.draw(st.sampled_from(sorted(self.harness.in_flight)))
            if not sent:
                del self.harness.in_flight[connection_id]
            self.harness.call(owner.on_failure, connection_id, sent, 'broken pipe')

    @rule(data=st.data())
    def open_one(self, data: st.DataObject) -> None:
        if self.harness.opening:
            self.harness.opened(data.draw(st.sampled_from(sorted(self.harness.opening))))

    @rule()
    def open_all(self) -> None:
        self.harness.open_all()

    @rule(data=st.data())
    def close(self, data: st.DataObject) -> None:
        tables = (self.harness.opening, self.harness.open, self.harness.closing)
        names = sorted(name for table in tables for name in table)
        if names:
            self.harness.closed(data.draw(st.sampled_from(names)))

    @rule()
    def confirm_closes(self) -> None:
        self.harness.confirm_closes()

    @rule()
    def answer_probe(self) -> None:
        if self.harness.probes:
            connection_id = self.harness.probes.popitem()[0]
            self.harness.call(owner.on_probe_reply, connection_id)

    @rule(milliseconds=st.sampled_from([0.0, 1.0, 20.0, 150.0, 2500.0]))
    def wait(self, milliseconds: float) -> None:
        self.harness.advance(milliseconds)

    @invariant()
    def bounds_hold(self) -> None:
        harness = self.harness
        bound = pool.connection_bound(make_record(limit=CONNECTION_LIMIT).announcement)
        assert harness.connection_count('s1') <= bound
        assert harness.in_flight_count('s1') <= SLOT_COUNT
        assert len(harness.state.wakes) <= 100 + 10 * len(self.submitted)

    def teardown(self) -> None:
        """Let every deadline pass; each attempt must have exactly one result by then."""
        self.harness.advance(6_000.0)
        assert set(self.harness.result_counts) == set(self.submitted)
        assert set(self.harness.result_counts.values()) <= {1}
        assert not self.harness.state.attempt_endpoints


AnyOrder.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)
test_any_order = AnyOrder.TestCase
