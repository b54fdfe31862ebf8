"""Guard against an instance that serves an older configuration than the leader reports."""

from __future__ import annotations

import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.messages.accepted import (
    AcceptedConfiguration,
    Configuration,
    InstanceEntry,
)
from pistachioloft_core.messages.peer import ChangeHint, PollReply
from pistachioloft_core.process import in_force, lease

VOTERS = ('v1', 'v2', 'v3')


def accepted(index, names=('e1',), removed=()):
    entries = tuple(InstanceEntry(name, 'd', '1:1', '1:2') for name in names)
    return AcceptedConfiguration(1, index, f'd{index}', Configuration(entries), (), removed)


def make_lease(seed=1):
    return lease.LeaseState('e1', seed, VOTERS, random.Random(seed))


def granted(poll, index, with_configuration=True):
    configuration = accepted(index) if with_configuration else None
    return PollReply(poll.poll_id, True, 1, index, lease.LEASE_MS, configuration)


def test_lease_counts_from_the_sending_of_the_poll() -> None:
    """Guard against a delayed reply that lets a fenced instance continue to serve."""
    state = make_lease()
    poll = lease.next_poll(state, 1000.0).poll
    assert not lease.can_serve(state, 1000.0)
    lease.on_reply(state, 2500.0, granted(poll, 5))
    assert lease.can_serve(state, 2999.0)
    assert not lease.can_serve(state, 3000.0)


def test_late_or_repeated_reply_does_not_change_a_lease() -> None:
    """Guard against replies that are reordered or repeated."""
    state = make_lease()
    first = lease.next_poll(state, 0.0).poll
    second = lease.next_poll(state, 300.0).poll
    lease.on_reply(state, 310.0, granted(second, 5))
    lease.on_reply(state, 320.0, granted(first, 5))
    assert lease.lease_until_ms(state) == 2300.0
    assert lease.on_reply(state, 330.0, granted(second, 6)) == []
    assert lease.configuration(state).index == 5


def test_lower_index_is_not_adopted_and_does_not_renew() -> None:
    """Guard against an instance that returns to an older configuration."""
    state = make_lease()
    lease.on_reply(state, 1.0, granted(lease.next_poll(state, 0.0).poll, 7))
    poll = lease.next_poll(state, 1000.0).poll
    assert lease.on_reply(state, 1001.0, granted(poll, 6)) == []
    assert lease.configuration(state).index == 7
    assert lease.lease_until_ms(state) == 2000.0


def test_restarted_instance_ignores_replies_to_earlier_polls() -> None:
    """Guard against a restart that adopts a lease or configuration of the earlier run."""
    old, new = make_lease(1), make_lease(2)
    old_poll = lease.next_poll(old, 0.0).poll
    lease.next_poll(new, 100.0)
    assert lease.on_reply(new, 101.0, granted(old_poll, 5)) == []
    assert not lease.can_serve(new, 102.0)


def test_reply_without_its_configuration_does_not_grant_a_lease() -> None:
    """Guard against a lease on a configuration that the instance does not have."""
    state = make_lease()
    lease.on_reply(
        state, 1.0, granted(lease.next_poll(state, 0.0).poll, 7, with_configuration=False)
    )
    assert not lease.can_serve(state, 2.0)
    lease.on_reply(state, 2.0, granted(lease.next_poll(state, 100.0).poll, 7))
    poll = lease.next_poll(state, 1000.0).poll
    lease.on_reply(state, 1001.0, granted(poll, 8, with_configuration=False))
    assert lease.lease_until_ms(state) == 2100.0


def test_poll_follows_hints_and_rotates_when_the_leader_is_silent() -> None:
    """Guard against an instance that polls a lost leader until its lease ends."""
    state = make_lease()
    first = lease.next_poll(state, 0.0)
    assert first.to == 'v1'
    refusal = PollReply(first.poll.poll_id, False, 1, 0, 0, None, 'v3')
    lease.on_reply(state, 1.0, refusal)
    hinted = lease.next_poll(state, 20.0)
    assert hinted.to == 'v3'
    lease.on_reply(state, 21.0, granted(hinted.poll, 1))
    sent = []
    for now_ms in range(22, 1200):
        action = lease.next_poll(state, float(now_ms))
        if action is not None:
            sent.append((now_ms, action.to))
    assert sent[:3] == [(22, 'v3'), (322, 'v3'), (622, 'v2')]
    assert {to for _, to in sent[2:]} == set(VOTERS)
    assert max(b[0] - a[0] for a, b in itertools.pairwise(sent[2:])) == 100


def test_conflicting_hints_do_not_cause_a_poll_storm() -> None:
    """Guard against stale hints that make an instance poll without pause."""
    state = make_lease()
    count = 0
    for now_ms in range(1000):
        action = lease.next_poll(state, float(now_ms))
        if action is not None:
            count += 1
            hint = 'v1' if action.to == 'v2' else 'v2'
            lease.on_reply(
                state, float(now_ms), PollReply(action.poll.poll_id, False, 1, 0, 0, None, hint)
            )
    assert count <= 50


def test_change_hint_makes_a_poll_due_at_once() -> None:
    """Guard against a change that waits for the next regular poll."""
    state = make_lease()
    lease.on_reply(state, 1.0, granted(lease.next_poll(state, 0.0).poll, 5))
    lease.next_poll(state, 1.0)
    lease.on_change_hint(state, 100.0, ChangeHint(5))
    assert lease.next_poll(state, 100.0) is None
    lease.on_change_hint(state, 100.0, ChangeHint(6))
    assert lease.next_poll(state, 100.0) is not None


def make_poll(instance, index, incarnation=1):
    state = lease.LeaseState(instance, incarnation, VOTERS, random.Random(instance))
    if index:
        state.accepted = accepted(index)
    return lease.next_poll(state, 0.0).poll


def test_new_leader_fences_no_instance_within_one_lease() -> None:
    """Guard against a report that ignores the leases of the previous leader."""
    state = in_force.InForceState('v1', 2, 1000.0, accepted(5, ('e1', 'e2'), ('old',)))
    in_force.on_poll(state, 1001.0, make_poll('e1', 5), has_lease=True)
    early = in_force.report(state, 3019.0, 5)
    assert [i.state for i in early.instances] == ['in_force', 'unknown', 'unknown']
    assert not early.everywhere
    in_force.on_poll(state, 3019.5, make_poll('e1', 5), has_lease=True)
    late = in_force.report(state, 3020.0, 5)
    assert [i.state for i in late.instances] == ['in_force', 'fenced']
    assert late.everywhere


def test_report_lists_an_instance_as_behind_until_it_is_fenced() -> None:
    """Guard against a change reported as complete while an instance serves the older one."""
    state = in_force.InForceState('v1', 1, 0.0, accepted(5, ('e1', 'e2')))
    for name in ('e1', 'e2'):
        in_force.on_poll(state, 9000.0, make_poll(name, 5), has_lease=True)
    in_force.on_accepted(state, 9010.0, accepted(6, ('e1', 'e2')))
    in_force.on_poll(state, 9100.0, make_poll('e1', 6), has_lease=True)
    middle = in_force.report(state, 9200.0, 6)
    assert [i.state for i in middle.instances] == ['in_force', 'behind']
    assert (middle.everywhere, middle.elapsed_ms) == (False, None)
    in_force.on_poll(state, 11000.0, make_poll('e1', 6), has_lease=True)
    final = in_force.report(state, 11100.0, 6)
    assert [i.state for i in final.instances] == ['in_force', 'fenced']
    assert (final.everywhere, final.elapsed_ms) == (True, 2010)


def test_elapsed_time_ends_with_the_last_acknowledgement() -> None:
    """Guard against an elapsed time that depends on the time of the report."""
    state = in_force.InForceState('v1', 1, 0.0, accepted(5, ('e1', 'e2')))
    in_force.on_accepted(state, 9000.0, accepted(6, ('e1', 'e2')))
    in_force.on_poll(state, 9100.0, make_poll('e1', 6), has_lease=True)
    in_force.on_poll(state, 9250.0, make_poll('e2', 6), has_lease=True)
    assert in_force.report(state, 60000.0, 6).elapsed_ms == 250


@pytest.mark.parametrize(('instance', 'has_lease'), [('e1', False), ('stranger', True)])
def test_no_lease_without_a_quorum_or_outside_the_inventory(instance, has_lease) -> None:
    """Guard against a stale leader, or a removed instance, that keeps serving."""
    state = in_force.InForceState('v1', 1, 0.0, accepted(5))
    reply = in_force.on_poll(state, 9000.0, make_poll(instance, 5), has_lease=has_lease)
    assert not reply.granted
    assert 'stranger' not in state.last_polls


def test_removed_instance_delays_the_report_until_its_lease_ends() -> None:
    """Guard against a removed instance that still serves after a change is reported as complete."""
    state = in_force.InForceState('v1', 1, 0.0, accepted(5, ('e1', 'e2')))
    for name in ('e1', 'e2'):
        in_force.on_poll(state, 9000.0, make_poll(name, 5), has_lease=True)
    in_force.on_accepted(state, 9010.0, accepted(6, ('e1',), ('e2',)))
    in_force.on_poll(state, 9020.0, make_poll('e1', 6), has_lease=True)
    assert not in_force.on_poll(state, 9030.0, make_poll('e2', 5), has_lease=True).granted
    assert not in_force.report(state, 9100.0, 6).everywhere
    in_force.on_poll(state, 11000.0, make_poll('e1', 6), has_lease=True)
    final = in_force.report(state, 11020.0, 6)
    assert (final.everywhere, final.elapsed_ms) == (True, 2010)


class Network:
    """Run one leader at a time and three instances over a slow network that loses messages."""

    def __init__(self) -> None:
        self.now_ms = 10_000.0
        self.names = ('e1', 'e2', 'e3')
        self.instances = {name: self._start(name, 1) for name in self.names}
        self.term = 1
        self.leader = in_force.InForceState('v1', 1, 0.0, accepted(1, self.names))
        self.polls: list = []
        self.replies: list = []

    def _start(self, name, incarnation):
        random_source = random.Random(f'{name}{incarnation}')
        return lease.LeaseState(name, incarnation, ('v1',), random_source)

    def do_step(self, kind, who, wait_ms) -> None:
        name = self.names[who % 3]
        state = self.instances[name]
        self.now_ms += wait_ms
        if kind == 'poll':
            action = lease.next_poll(state, self.now_ms)
            if action is not None:
                self.polls.append((name, action.poll))
        elif kind == 'answer' and self.polls:
            sender, poll = self.polls.pop(who % len(self.polls))
            reply = in_force.on_poll(self.leader, self.now_ms, poll, has_lease=True)
            self.replies.append((sender, reply))
        elif kind == 'deliver' and self.replies:
            sender, reply = self.replies.pop(who % len(self.replies))
            lease.on_reply(self.instances[sender], self.now_ms, reply)
        elif kind == 'change':
            configuration = accepted(self.leader.accepted.index + 1, self.names)
            in_force.on_accepted(self.leader, self.now_ms, configuration)
        elif kind == 'elect':
            self.term += 1
            configuration = self.leader.accepted
            self.leader = in_force.InForceState('v1', self.term, self.now_ms, configuration)
        elif kind == 'restart':
            self.instances[name] = self._start(name, state.incarnation + 1)

    def check(self) -> None:
        newest = self.leader.accepted.index
        for index in range(max(1, newest - 2), newest + 1):
            state = in_force.report(self.leader, self.now_ms, index)
            if not state.everywhere:
                continue
            for name, instance in self.instances.items():
                if lease.can_serve(instance, self.now_ms):
                    serving = lease.configuration(instance).index
                    assert serving >= index, (name, serving, index)


STEP_KINDS = ['poll'] * 6 + ['answer'] * 6 + ['deliver'] * 6 + ['change', 'elect', 'restart']


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_no_instance_serves_an_older_configuration_than_reported(seed) -> None:
    """Guard against any order of polls, late replies, changes, elections and restarts."""
    random_source = random.Random(seed)
    network = Network()
    for _ in range(150):
        wait_ms = random_source.choice([0, 1, 20, 100, 100, 300, 300, 700, 1999])
        network.do_step(random_source.choice(STEP_KINDS), random_source.randrange(6), wait_ms)
        network.check()
