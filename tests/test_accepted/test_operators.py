"""Tests of operator commands, whose accepted changes must not be lost, repeated or reverted."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.codec import content_digest
from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.accepted import (
    Configuration,
    DrainInstance,
    InstanceEntry,
    NoOperation,
    SubmitConfiguration,
)
from pistachioloft_core.version import accepted

NAMES = ('e1', 'e2', 'e3')


def configuration(*names: str) -> Configuration:
    return Configuration(tuple(InstanceEntry(name, 'd', '1:1', '1:2') for name in names))


def submit(command_id, base_index, *names, note=''):
    return SubmitConfiguration(command_id, base_index, configuration(*names), 'operator', note)


def apply_all(state, commands, first_index=1):
    outcomes = []
    for offset, command in enumerate(commands):
        index = first_index + offset
        outcomes.append(accepted.apply_command(state, 1, index, index * 1000, command))
    return outcomes


RACE_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('submit'), st.sampled_from(['o1', 'o2']), st.sampled_from(NAMES)),
        st.tuples(st.just('resend'), st.integers(0, 30), st.none()),
        st.tuples(st.just('drain'), st.sampled_from(NAMES), st.booleans()),
        st.tuples(st.just('restore'), st.none(), st.none()),
    ),
    max_size=40,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(RACE_STEPS)
def test_racing_operators_never_overwrite_unseen_changes(steps) -> None:
    """Guard against two concurrent submissions that are both accepted from the same base."""
    state = accepted.AcceptedState()
    seen_indexes = {'o1': 0, 'o2': 0}
    sent = []
    first_outcomes = {}
    winners = set()
    for number, (kind, choice, value) in enumerate(steps, start=1):
        before = accepted.accepted_configuration(state)
        if kind == 'restore':
            state = accepted.decode_snapshot(accepted.encode_snapshot(state))
            continue
        if kind == 'submit':
            sent.append(submit(f'c{number}', seen_indexes[choice], 'e0', value))
        elif kind == 'drain':
            sent.append(DrainInstance(f'c{number}', choice, value, 'operator'))
        elif sent:
            sent.append(sent[choice % len(sent)])
        else:
            continue
        command = sent[-1]
        outcome = accepted.apply_command(state, 1, number, number, command)
        after = accepted.accepted_configuration(state)
        assert after.index >= before.index
        if command.command_id in first_outcomes:
            assert outcome.repeated
            assert after == before
            assert outcome.accepted_index == first_outcomes[command.command_id].accepted_index
            continue
        first_outcomes[command.command_id] = outcome
        if kind == 'submit':
            won = outcome.result_code is ResultCode.ACCEPTED
            assert won == (command.base_index == before.index)
            assert (command.base_index not in winners) or not won
            if won:
                winners.add(command.base_index)
                assert after.configuration == command.configuration
            seen_indexes[choice] = outcome.accepted_index


def test_resent_command_after_restore_gets_its_first_outcome() -> None:
    """Guard against a restart or a change of leader that applies a resent command twice."""
    state = accepted.AcceptedState()
    commands = [submit('a', 0, 'e1'), submit('b', 0, 'e2'), submit('c', 1, 'e3')]
    first_outcomes = apply_all(state, commands)
    codes = [outcome.result_code for outcome in first_outcomes]
    assert codes == [ResultCode.ACCEPTED, ResultCode.CONFLICT, ResultCode.ACCEPTED]
    state = accepted.decode_snapshot(accepted.encode_snapshot(state))
    again = apply_all(state, commands, first_index=4)
    assert [outcome.accepted_index for outcome in again] == [1, 1, 3]
    assert [outcome.result_code for outcome in again] == [
        ResultCode.ACCEPTED_REPEATED,
        ResultCode.CONFLICT,
        ResultCode.ACCEPTED_REPEATED,
    ]
    assert accepted.accepted_configuration(state).index == 3


def test_command_id_with_other_content_is_refused() -> None:
    """Guard against a command that is reported as accepted because its id was used before."""
    state = accepted.AcceptedState()
    outcomes = apply_all(state, [submit('a', 0, 'e1'), submit('a', 1, 'e2')])
    assert outcomes[1].result_code is ResultCode.KEY_REUSED
    assert accepted.accepted_configuration(state).index == 1


def test_hundreds_of_changes_survive_restarts_at_any_point() -> None:
    """Guard against a restart after many changes that returns to an older configuration."""
    reference, restarted = accepted.AcceptedState(), accepted.AcceptedState()
    base = 0
    for index in range(1, 701):
        command = submit(f'c{index}', base, 'e0', f'x{index}', note=str(index))
        base = accepted.apply_command(reference, index // 50, index, index, command).accepted_index
        accepted.apply_command(restarted, index // 50, index, index, command)
        if index % 7 == 0:
            restarted = accepted.decode_snapshot(accepted.encode_snapshot(restarted))
    assert accepted.encode_snapshot(restarted) == accepted.encode_snapshot(reference)
    assert accepted.accepted_configuration(restarted).index == 700
    entries = accepted.history(restarted)
    assert [entry.index for entry in entries] == list(range(501, 701))
    assert entries[-1].digest == content_digest(configuration('e0', 'x700'))


def test_forgotten_submit_is_not_accepted_again(monkeypatch) -> None:
    """Guard against a resent submission that reverts later ones once its outcome was removed."""
    monkeypatch.setattr(accepted, 'OUTCOME_LIMIT_COUNT', 2)
    state = accepted.AcceptedState()
    commands = [submit('a', 0, 'e1'), submit('b', 1, 'e2'), submit('c', 2, 'e3')]
    apply_all(state, commands)
    assert len(state.outcomes) == 2
    (late,) = apply_all(state, commands[:1], first_index=4)
    assert late.result_code is ResultCode.CONFLICT
    assert accepted.accepted_configuration(state).index == 3


def test_drain_and_removal_are_part_of_the_accepted_state() -> None:
    """Guard against a drained or removed instance that is lost from the accepted state."""
    state = accepted.AcceptedState()
    commands = [
        submit('a', 0, 'e1', 'e2', 'e3'),
        DrainInstance('b', 'e1', True, 'operator'),
        DrainInstance('c', 'e2', True, 'operator'),
        DrainInstance('d', 'e9', True, 'operator'),
        submit('e', 3, 'e2', 'e4'),
        submit('f', 5, 'e1', 'e2'),
        DrainInstance('g', 'e2', False, 'operator'),
        NoOperation(),
    ]
    outcomes = apply_all(state, commands)
    assert outcomes[3].result_code is ResultCode.UNKNOWN_INSTANCE
    current = accepted.accepted_configuration(state)
    assert (current.index, current.draining_instances) == (7, ())
    assert current.removed_instances == ('e3', 'e4')
    assert [entry.index for entry in accepted.history(state)] == [1, 5, 6]
