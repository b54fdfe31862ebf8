"""Guard against evacuations that are lost, undone by late copies, or differ between voters."""

from __future__ import annotations

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.codec import decode_packed, encode_packed
from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.accepted import NoOperation, SetEvacuation
from pistachioloft_core.version import accepted

OK = (ResultCode.ACCEPTED, ResultCode.ACCEPTED_REPEATED)


def apply(state, command):
    index = state.applied_index + 1
    return accepted.apply_command(state, 1, index, index, command)


def order(state, name, evacuated=True):
    return SetEvacuation(name, evacuated, state.applied_index)


def in_force(state):
    return accepted.accepted_evacuations(state).failure_domains


def test_orders_change_the_state_once_and_survive_a_snapshot() -> None:
    """Guard against a repeated order that counts as a change, or is forgotten at a restart."""
    state = accepted.AcceptedState()
    outcome = apply(state, accepted.decode_command(accepted.encode_command(order(state, 'a/ß'))))
    assert (outcome.result_code, outcome.accepted_index) == (ResultCode.ACCEPTED, 1)
    repeated = apply(state, order(state, 'a/ß'))
    assert (repeated.result_code, repeated.accepted_index) == (ResultCode.ACCEPTED_REPEATED, 1)
    assert apply(state, order(state, 'b', evacuated=False)).result_code in OK
    assert accepted.accepted_evacuations(state).index == 1
    apply(state, order(state, 'b'))
    state = accepted.decode_snapshot(accepted.encode_snapshot(state))
    assert (accepted.accepted_evacuations(state).index, in_force(state)) == (4, ('a/ß', 'b'))
    apply(state, order(state, 'a/ß', evacuated=False))
    assert in_force(state) == ('b',)


def test_number_of_evacuated_domains_is_bounded() -> None:
    """Guard against orders that make each feed reply as long as an operator likes."""
    state = accepted.AcceptedState()
    for number in range(accepted.EVACUATION_LIMIT_COUNT):
        assert apply(state, order(state, f'd{number}')).result_code is ResultCode.ACCEPTED
    assert apply(state, order(state, 'more')).result_code is ResultCode.TOO_LARGE
    assert apply(state, order(state, 'd0', evacuated=False)).result_code is ResultCode.ACCEPTED
    assert apply(state, order(state, 'more')).result_code is ResultCode.ACCEPTED


def test_snapshot_of_an_earlier_build_has_no_evacuations() -> None:
    """Guard against an upgrade that cannot open the snapshots of earlier builds."""
    state = accepted.AcceptedState()
    apply(state, NoOperation())
    fields = decode_packed(accepted.encode_snapshot(state), dict[str, msgspec.Raw])
    del fields['evacuations']
    restored = accepted.decode_snapshot(encode_packed(fields))
    assert (restored.applied_index, in_force(restored)) == (1, ())
    assert apply(restored, order(restored, 'a')).result_code is ResultCode.ACCEPTED


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('order'), st.sampled_from('abc'), st.booleans()),
        # Ordered now, but it reaches the log with a later step, if at all.
        st.tuples(st.just('delay'), st.sampled_from('abc'), st.booleans()),
        st.tuples(st.just('copy'), st.integers(0, 30), st.none()),
        st.tuples(st.just('restart'), st.none(), st.none()),
    ),
    max_size=40,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(STEPS)
def test_orders_hold_in_any_order_with_repeats_and_lost_confirmations(steps) -> None:
    """Guard against a late copy that undoes a later order, and confirmations that are not true."""
    state = accepted.AcceptedState()
    sent: list[SetEvacuation] = []
    changed_by: set[int] = set()
    for kind, choice, evacuated in steps:
        if kind == 'restart':
            state = accepted.decode_snapshot(accepted.encode_snapshot(state))
            continue
        if kind in ('order', 'delay'):
            sent.append(order(state, choice, evacuated))
        if kind == 'delay' or not sent:
            continue
        number = choice % len(sent) if kind == 'copy' else len(sent) - 1
        command, before = sent[number], accepted.accepted_evacuations(state)
        outcome = apply(state, command)
        after = accepted.accepted_evacuations(state)
        if outcome.result_code in OK:
            assert (command.failure_domain in after.failure_domains) == command.evacuated
        if kind == 'order':
            assert outcome.result_code in OK
        if after == before:
            continue
        assert number not in changed_by, 'an order changes the state once'
        changed_by.add(number)
        assert before.index <= command.base_index, 'nothing changed since it was ordered'
        changed = set(before.failure_domains) ^ set(after.failure_domains)
        assert (changed, after.index) == ({command.failure_domain}, state.applied_index)
