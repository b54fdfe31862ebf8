"""Check the rules of consensus and compare the code with their specification."""

from __future__ import annotations

import dataclasses
import random
import sys
from typing import TYPE_CHECKING, Any

import pytest
import z3

from pistachioloft_core.messages.agreement import HardState, Membership, SnapshotMeta, VoteRequest
from pistachioloft_core.process import agreement as ag
from pistachioloft_core.process.agreement import election
from tests.test_specification import agreement_specification as spec

if TYPE_CHECKING:
    from collections.abc import Callable

step_module = sys.modules[ag.step.__module__]
NAMES = [f'{letter}-0' for letter in 'abcde']
FIRST = Membership(tuple(NAMES[:4]), (NAMES[4],))


class Replay:
    """Run the steps of a trace with the decisions of the code, without time."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.monkeypatch = monkeypatch
        self.now_ms = 0.0
        meta, source = SnapshotMeta(1, 1, FIRST), random.Random(1)
        self.states = [
            ag.create_state(name, HardState(1, None), meta, (), source, 0.0) for name in NAMES
        ]
        # The specification has no time: any leader may propose, and voters never withhold votes.
        monkeypatch.setattr(step_module, 'has_lease', lambda *_: True)
        monkeypatch.setattr(step_module, 'has_lost_quorum', lambda *_: False)
        monkeypatch.setattr(election, 'has_leader_contact', lambda *_: False)

    def handle_event(self, member: int, event: ag.Event) -> list[ag.Action]:
        return ag.step(self.states[member], self.now_ms, event)

    def deliver(self, sender: int, receiver: int, message: Any) -> Any:
        """Deliver a message and return the reply."""
        actions = self.handle_event(receiver, ag.Received(NAMES[sender], message))
        return next(a.message for a in actions if isinstance(a, ag.Send) and a.to == NAMES[sender])

    def tick(self, member: int) -> list[ag.Action]:
        self.now_ms += 5000.0
        return self.handle_event(member, ag.Tick())

    def elect(self, step: spec.Step) -> None:
        if self.states[step.actor].role == ag.ROLE_LEADER:
            with self.monkeypatch.context() as patch:
                patch.setattr(step_module, 'has_lost_quorum', lambda *_: True)
                self.tick(step.actor)
        for _ in range(3):
            actions = self.tick(step.actor)
            while requests := [a for a in actions if isinstance(a, ag.Send)]:
                if not isinstance(requests[0].message, VoteRequest):
                    return
                voters = [r for r in requests if NAMES.index(r.to) in step.chosen]
                replies = [self.deliver(step.actor, NAMES.index(r.to), r.message) for r in voters]
                actions = []
                for reply in sorted(replies, key=lambda reply: reply.granted):
                    actions += self.handle_event(step.actor, ag.Received(reply.voter, reply))

    def change(self, step: spec.Step) -> str | None:
        """Propose the change; return the reason if it is rejected, None otherwise."""
        (member,) = step.chosen
        kind = ag.PROMOTE if member == spec.LEARNER else ag.REMOVE
        change = ag.MembershipChange(kind, NAMES[member])
        actions = self.handle_event(step.actor, ag.ChangeMembership('p', change, 0))
        return next((a.reason for a in actions if isinstance(a, ag.Rejected)), None)

    def replicate(self, step: spec.Step) -> None:
        for follower in step.chosen:
            for _ in range(40):
                sent = [a for a in self.tick(step.actor) if isinstance(a, ag.Send)]
                message: Any = next(a.message for a in sent if a.to == NAMES[follower])
                sent_entries = tuple(e for e in message.entries if e.index <= step.index)
                message = dataclasses.replace(message, entries=sent_entries)
                reply = self.deliver(step.actor, follower, message)
                self.handle_event(step.actor, ag.Received(NAMES[follower], reply))
                if reply.success and reply.match_index == step.index:
                    break

    def check(self, step: spec.Step) -> None:
        """Compare all members with the state of the specification."""
        for m, state in enumerate(self.states):
            assert state.term == step.state['term', m]
            assert (state.role == ag.ROLE_LEADER) == step.state['leads', m]
            assert state.log.last_index == step.state['length', m]
            for i in range(1, state.log.last_index + 1):
                voters = {NAMES[n] for n in spec.MEMBERS if step.state['voters', m, i] >> n & 1}
                assert state.log.term_at(i) == step.state['entry', m, i]
                assert set(ag.membership_at(state, i).voters) == voters
            if step.state['leads', m]:
                # The code also knows earlier commits from the time when it was a follower.
                commit, expected = ag.commit_index(state), step.state['commit', m]
                assert commit == expected or (state.log.term_at(commit) or 0) < state.term

    def violates_commit(self, step: spec.Step) -> bool:
        """Return whether a leader or a commit differs from the first committed entries."""
        for state in self.states:
            leads = state.role == ag.ROLE_LEADER
            for i in spec.INDEXES:
                must_hold = leads and 0 < step.state['done_at', i] < state.term
                differs = state.log.term_at(i) != step.state['done', i]
                if differs and (must_hold or i <= ag.commit_index(state)):
                    return True
        return False

    def run(self, trace: list[spec.Step]) -> str | None:
        """Run a trace; return the reason if the code rejects a change, None otherwise."""
        for step in trace:
            reason = getattr(self, step.kind)(step)
            if reason is not None:
                return reason
            self.check(step)
        return None


def test_rules_are_safe_within_the_bounds() -> None:
    """Guard against rules that allow two leaders in a term or lose a committed entry."""
    assert spec.Checker(spec.Rules()).find_violation() is None


@pytest.mark.parametrize('rule', ['own_term_before_change', 'one_change_at_a_time'])
def test_code_rejects_the_premature_change_of_a_trace(
    rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a premature membership change, and against a checker that misses faults."""
    trace = spec.Checker(spec.Rules(**{rule: False}), replayable=True).find_violation()
    assert trace is not None, 'the checker misses the seeded fault'
    assert Replay(monkeypatch).run(trace) == 'change_pending'
    # With the same fault in the code, the complete trace runs and ends in the unsafe state.
    monkeypatch.setattr(step_module, 'is_change_allowed', lambda state: True)
    replay = Replay(monkeypatch)
    assert replay.run(trace) is None
    assert replay.violates_commit(trace[-1])


def learner_is_elected(states: list[spec.State]) -> Any:
    return states[-1]['leads', spec.LEARNER]


def two_changes_are_committed(states: list[spec.State]) -> Any:
    voters = [states[-1]['voters', m, 4] == 0b10111 for m in spec.MEMBERS]
    return z3.And(states[-1]['done', 4] != 0, z3.Or(voters))


def change_is_overwritten(states: list[spec.State]) -> Any:
    newer = [states[-1]['entry', m, 3] > states[8]['entry', m, 3] for m in spec.MEMBERS]
    lost = [states[8]['voters', m, 3] == 0b11111 for m in spec.MEMBERS]
    return z3.Or([z3.And(pair) for pair in zip(newer, lost, strict=True)])


def old_leader_stays_leader(states: list[spec.State]) -> Any:
    return z3.And(states[-1]['leads', 0], states[-1]['leads', 1], states[-1]['done', 3] != 0)


@pytest.fixture(scope='module')
def checker() -> spec.Checker:
    """Unroll the specification once for all goals."""
    unrolled = spec.Checker(spec.Rules(), replayable=True)
    for _ in range(spec.ROUNDS):
        unrolled.extend()
    return unrolled


@pytest.mark.parametrize(
    'goal',
    [
        learner_is_elected,
        two_changes_are_committed,
        change_is_overwritten,
        old_leader_stays_leader,
    ],
)
def test_code_follows_the_traces_of_the_specification(
    goal: Callable[[list[spec.State]], Any], checker: spec.Checker, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against code whose decisions differ from the checked rules."""
    excluded_traces: list[Any] = []
    for _ in range(4):
        trace = checker.find(goal(checker.states), *excluded_traces)
        assert trace is not None
        replay = Replay(monkeypatch)
        assert replay.run(trace) is None
        assert not replay.violates_commit(trace[-1])
        # The next trace must involve other members in some step.
        chosen_bits = [(checker.choices[s.number][3], sum(1 << m for m in s.chosen)) for s in trace]
        excluded_traces.append(z3.Or([chosen != bits for chosen, bits in chosen_bits]))
