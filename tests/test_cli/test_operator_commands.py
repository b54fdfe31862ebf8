"""Tests of the operator's commands: an operator must see what is accepted and in force."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import pytest

from pistachioloft_core.codec import content_digest, decode_json
from pistachioloft_core.errors import RESULTS, ResultCode
from pistachioloft_core.messages.accepted import (
    AcceptedConfiguration,
    CallerEntry,
    Configuration,
    DrainInstance,
    SubmitConfiguration,
)
from pistachioloft_core.messages.operator import (
    ConfigReply,
    EndpointStatus,
    HistoryReply,
    InForceReport,
    InstanceForce,
    OperatorReply,
    StatusReply,
    VoterStatus,
)
from pistachioloft_core.messages.public import ErrorReply
from pistachioloft_core.version.register import RegisterText, parse_register

from .fake_instance import CloseWithoutReply, FakeInstance, closed_address

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from .conftest import Run

    MakeInstance = Callable[[], FakeInstance]

TEXT = RegisterText(
    instances=(
        'instance,failure_domain,caller_address,peer_address,voter\n'
        'e1,a,10.1.0.1:7000,10.1.0.1:7002,yes\n'
        'e2,b,10.2.0.1:7000,10.2.0.1:7002,no\n'
    ),
    services='service\ns{1..2}\n',
    rules="[callers]\nroutine = 'yard'\n",
    collections="[ledger.7]\n's{1..2}' = 's/{1..2}'\n",
)
CONFIGURATION = parse_register(TEXT)


def accepted(index: int, callers: tuple[str, ...] = ()) -> AcceptedConfiguration:
    entries = tuple(CallerEntry(name) for name in callers)
    configuration = replace(CONFIGURATION, callers=entries)
    return AcceptedConfiguration(1, index, content_digest(configuration), configuration)


OLD = accepted(4)
NEW = accepted(5, ('yard',))


def status(
    accepted_configuration: AcceptedConfiguration,
    states: tuple[str, ...] = ('in_force', 'in_force'),
    endpoints: tuple[str, ...] = ('s1-a', 's1-b'),
    can_lose: int = 1,
    leader: bool = True,
    digest: str = '',
) -> StatusReply:
    forces = tuple(
        InstanceForce(
            f'e{n}', state, accepted_configuration.index, digest or accepted_configuration.digest
        )
        for n, state in enumerate(states, 1)
    )
    everywhere = set(states) == {'in_force'}
    report = InForceReport(
        accepted_configuration.index, accepted_configuration.digest, everywhere, forces
    )
    return StatusReply(
        instance='e1',
        failure_domain='a',
        serving=True,
        stopping=False,
        accepted_index=accepted_configuration.index,
        accepted_digest=accepted_configuration.digest,
        in_force=report if leader else None,
        voters=VoterStatus('e1-x', 1, 9, ('e1-x',), (), can_lose) if leader else None,
        live_instances=('e1', 'e2'),
        endpoints=tuple(
            EndpointStatus(name, 's1', 'a', '10.9.0.1:9', 'e1', False, True, 9.0, 0, 0, 5.0)
            for name in endpoints
        ),
    )


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    register = tmp_path / 'register'
    register.mkdir()
    for name, suffix in (
        ('instances', 'csv'),
        ('services', 'csv'),
        ('rules', 'toml'),
        ('collections', 'toml'),
    ):
        (register / f'{name}.{suffix}').write_text(getattr(TEXT, name))
    return register


@pytest.fixture
def fake(make_instance: MakeInstance) -> FakeInstance:
    instance = make_instance()
    instance.set_replies('GET', '/v1/config', ConfigReply(OLD))
    instance.set_replies('POST', '/v1/config', OperatorReply(ResultCode.ACCEPTED, '', 5))
    instance.set_replies('GET', '/v1/status', status(NEW))
    return instance


def submit(run: Run, folder: Path, fake: FakeInstance, *more: str) -> Any:
    return run('config', 'submit', str(folder), '--at', fake.address, '--operator', 'ann', *more)


def submitted(fake: FakeInstance) -> list[SubmitConfiguration]:
    return [decode_json(body, SubmitConfiguration) for body in fake.posted_bodies('/v1/config')]


def test_submit_shows_the_difference_and_its_command_id(
    run: Run, folder: Path, fake: FakeInstance
) -> None:
    """Guard against submitting a change without showing it or the options to resend it."""
    result = submit(run, folder, fake, '--note', 'yard joins')
    assert result.exit_code == 0
    assert '+ caller yard: priority routine' in result.out
    assert 'Accepted as index 5' in result.out
    (message,) = submitted(fake)
    assert (message.base_index, message.operator, message.note) == (4, 'ann', 'yard joins')
    assert message.configuration == CONFIGURATION
    again = f"--command-id {message.command_id} --base-index 4 --operator ann --note 'yard joins'"
    assert again in result.err


def test_first_submit_needs_no_configuration_in_force(
    run: Run, folder: Path, fake: FakeInstance
) -> None:
    """Guard against a new cluster that cannot accept its first configuration."""
    empty = AcceptedConfiguration(0, 0, '', Configuration())
    fenced = ErrorReply(ResultCode.FENCED, RESULTS[ResultCode.FENCED].run_status, 'none yet')
    fake.set_replies('GET', '/v1/config', fenced)
    fake.set_replies('GET', '/v1/status', status(empty, ()), status(NEW))
    result = submit(run, folder, fake, '--wait')
    assert result.exit_code == 0
    assert '+ instance e1' in result.out
    assert submitted(fake)[0].base_index == 0


def test_fenced_instances_without_a_leader_prevent_a_submit(
    run: Run, folder: Path, fake: FakeInstance
) -> None:
    """Guard against a submission that treats an unknown base configuration as empty."""
    fenced = ErrorReply(ResultCode.FENCED, RESULTS[ResultCode.FENCED].run_status, 'no lease')
    fake.set_replies('GET', '/v1/config', fenced)
    fake.set_replies('GET', '/v1/status', status(NEW, leader=False))
    assert submit(run, folder, fake).exit_code == 1
    assert submitted(fake) == []


def test_lost_submit_is_repeated_with_its_command_id(
    run: Run, folder: Path, fake: FakeInstance
) -> None:
    """Guard against a resent change that is accepted twice because it has a new command id."""
    repeated = OperatorReply(ResultCode.ACCEPTED_REPEATED, '', 5)
    fake.set_replies('POST', '/v1/config', CloseWithoutReply, repeated)
    assert submit(run, folder, fake).exit_code == 0
    first, second = submitted(fake)
    assert first == second


def test_resend_by_hand_keeps_command_id_and_base(
    run: Run, folder: Path, fake: FakeInstance
) -> None:
    """Guard against a manual resend that overwrites a change the operator has not seen."""
    assert submit(run, folder, fake, '--command-id', 'c1', '--base-index', '3').exit_code == 0
    (message,) = submitted(fake)
    assert (message.command_id, message.base_index) == ('c1', 3)
    assert submit(run, folder, fake, '--command-id', 'c1').exit_code == 2


@pytest.mark.parametrize(
    'unknown',
    [
        CloseWithoutReply,
        OperatorReply(ResultCode.SUBMIT_UNKNOWN, ''),
        ErrorReply(
            ResultCode.OUTCOME_UNKNOWN, RESULTS[ResultCode.OUTCOME_UNKNOWN].run_status, 'late'
        ),
    ],
)
def test_submit_without_a_known_outcome_exits_as_unknown(
    run: Run, folder: Path, fake: FakeInstance, unknown: Any
) -> None:
    """Guard against reporting `refused` for a change that may have been accepted."""
    refused = OperatorReply(ResultCode.NO_QUORUM, '')
    for replies in ((unknown,), (unknown, refused)):
        fake.set_replies('POST', '/v1/config', *replies)
        assert submit(run, folder, fake).exit_code == 4


def test_refused_submit_exits_as_refused(run: Run, folder: Path, fake: FakeInstance) -> None:
    """Guard against reporting `unknown` for a change that was certainly not accepted."""
    fake.set_replies('POST', '/v1/config', OperatorReply(ResultCode.NO_QUORUM, ''))
    assert submit(run, folder, fake).exit_code == 1
    invalid = OperatorReply(ResultCode.INVALID_CONFIGURATION, '', 0, ('voters: none',))
    fake.set_replies('POST', '/v1/config', CloseWithoutReply, invalid)
    result = submit(run, folder, fake)
    assert result.exit_code == 1
    assert 'voters: none' in result.err


def test_conflict_shows_what_was_accepted_first(run: Run, folder: Path, fake: FakeInstance) -> None:
    """Guard against an operator who overwrites another operator's change unknowingly."""
    other = accepted(5, ('field', 'yard'))
    fake.set_replies('GET', '/v1/config', ConfigReply(OLD), ConfigReply(other))
    fake.set_replies(
        'POST', '/v1/config', CloseWithoutReply, OperatorReply(ResultCode.CONFLICT, '', 5)
    )
    result = submit(run, folder, fake, '--json')
    assert result.exit_code == 6
    assert result.document['conflict_difference'] == ['- caller field']


def test_wait_shows_progress_until_in_force_everywhere(
    run: Run, folder: Path, fake: FakeInstance
) -> None:
    """Guard against reporting `done` while an instance still serves the older configuration."""
    older = status(OLD)
    half = status(NEW, ('in_force', 'behind'))
    fake.set_replies('GET', '/v1/status', older, CloseWithoutReply, half, status(NEW))
    result = submit(run, folder, fake, '--wait')
    assert result.exit_code == 0
    assert 'in force on 1 of 2 instances; not on e2 (behind' in result.err
    assert 'In force everywhere.' in result.out


@pytest.mark.parametrize('state', ['behind', 'fenced', 'unknown'])
def test_wait_names_instances_without_the_configuration_in_force(
    run: Run, folder: Path, fake: FakeInstance, state: str
) -> None:
    """Guard against a wait that succeeds although an instance does not have the change."""
    fake.set_replies('GET', '/v1/status', status(NEW, ('in_force', state)))
    result = submit(run, folder, fake, '--wait', '--wait-limit-s', '0', '--json')
    assert result.exit_code == 7
    assert f'e2 ({state}' in result.err
    assert result.document['in_force']['everywhere'] is False


def test_wait_names_a_fenced_instance(run: Run, folder: Path, fake: FakeInstance) -> None:
    """Guard against reporting `everywhere` while an instance is down without the change."""
    reply = status(NEW, ('in_force', 'fenced'))
    assert reply.in_force is not None
    # The leader ignores a fenced instance here, since it accepts no requests.
    reply = replace(reply, in_force=replace(reply.in_force, everywhere=True))
    fake.set_replies('GET', '/v1/status', reply)
    result = submit(run, folder, fake, '--wait', '--wait-limit-s', '0')
    assert result.exit_code == 7
    assert 'e2 (fenced' in result.err
    assert 'Every instance that takes work has it' in result.err


def test_wait_without_the_leader_exits_as_not_in_force(
    run: Run, folder: Path, fake: FakeInstance
) -> None:
    """Guard against reporting `done` without the leader's report on what is in force."""
    fake.set_replies('GET', '/v1/status', status(NEW, leader=False))
    assert submit(run, folder, fake, '--wait', '--wait-limit-s', '0').exit_code == 7


def test_unchanged_register_is_not_submitted(run: Run, folder: Path, fake: FakeInstance) -> None:
    """Guard against submissions in the history that change nothing."""
    fake.set_replies('GET', '/v1/config', ConfigReply(NEW))
    result = submit(run, folder, fake, '--wait')
    assert result.exit_code == 0
    assert 'Nothing to submit' in result.out
    assert submitted(fake) == []


def test_mistakes_are_listed_and_nothing_is_sent(
    run: Run, folder: Path, fake: FakeInstance
) -> None:
    """Guard against sending a register with mistakes."""
    (folder / 'collections.toml').write_text("[ledger.7]\ns3 = 's/1'\ns4 = 's/1'\n")
    for words in (('check',), ('submit', '--at', fake.address), ('diff', '--at', fake.address)):
        result = run('config', words[0], str(folder), *words[1:], '--json')
        assert result.exit_code == 1
        assert len(result.document['mistakes']) == 3
    (folder / 'rules.toml').unlink()
    (folder / 'services.csv').write_bytes(b'\xff')
    assert len(run('config', 'check', str(folder), '--json').document['mistakes']) == 2
    assert fake.received_requests == []


def test_check_diff_show_and_history_submit_nothing(
    run: Run, folder: Path, fake: FakeInstance
) -> None:
    """Guard against a reading command that submits a change."""
    fake.set_replies('GET', '/v1/config/history', HistoryReply(()))
    at = ('--at', closed_address(), '--at', fake.address)
    assert 'No mistakes: 2 instances, 1 voter' in run('config', 'check', str(folder)).out
    assert run('config', 'diff', str(folder), *at).out == '+ caller yard: priority routine\n'
    assert OLD.digest in run('config', 'show', *at).out
    assert run('config', 'history', *at, '--json').document == {'entries': []}
    assert submitted(fake) == []


def test_status_shows_every_given_instance(
    run: Run, make_instance: MakeInstance, fake: FakeInstance
) -> None:
    """Guard against a status that hides an instance without a reply."""
    follower = make_instance().set_replies('GET', '/v1/status', status(OLD, leader=False))
    at_options = ('--at', follower.address, '--at', fake.address)
    result = run('status', *at_options, '--endpoints')
    assert result.exit_code == 0
    assert 'Index 5 is in force on 2 of 2 instances' in result.out
    assert 's1-a' in result.out
    unreachable = closed_address()
    result = run('status', *at_options, '--at', unreachable)
    assert result.exit_code == 3
    assert f'{unreachable}: gave no status' in result.out
    assert run('status', '--at', unreachable).exit_code == 5


@pytest.mark.parametrize(('word', 'draining'), [('drain', True), ('undrain', False)])
def test_drain_is_repeated_with_its_command_id(
    run: Run, fake: FakeInstance, word: str, draining: bool
) -> None:
    """Guard against a drain that is lost, applied twice or inverted."""
    path = '/v1/instances/drain'
    fake.set_replies(
        'POST', path, CloseWithoutReply, OperatorReply(ResultCode.ACCEPTED_REPEATED, '', 6)
    )
    result = run('instances', word, 'e2', '--at', fake.address, '--operator', 'ann')
    assert result.exit_code == 0
    first, second = (decode_json(body, DrainInstance) for body in fake.posted_bodies(path))
    assert first == second == DrainInstance(first.command_id, 'e2', draining, 'ann')
    unknown = OperatorReply(ResultCode.UNKNOWN_INSTANCE, '')
    fake.set_replies('POST', path, unknown)
    assert run('instances', word, 'e9', '--at', fake.address).exit_code == 1


OTHER = replace(NEW, digest='0' * 32)


@pytest.mark.parametrize(
    ('config', 'reply', 'exit_code', 'text'),
    [
        (NEW, status(NEW), 0, 'The accepted configuration is the same'),
        (accepted(6, ('yard', 'x')), None, 0, 'Newer submissions were accepted'),
        (replace(NEW, index=6), None, 0, 'The content is the same'),
        (OLD, status(OLD), 6, 'REVERTED'),
        (OTHER, status(OTHER), 6, 'REVERTED'),
        (NEW, status(NEW, ('in_force', 'fenced')), 7, 'Fenced instances: e2'),
        (NEW, status(NEW, ('in_force',)), 7, 'not on e2: missing'),
        (NEW, status(NEW, ('in_force', 'in_force', 'behind')), 7, 'not on e3: behind'),
        (NEW, status(NEW, ('in_force', 'in_force', 'fenced')), 0, 'on 2 of 2 instances'),
        (NEW, status(NEW, digest='f' * 32), 7, 'not on e1: other_digest'),
        (NEW, status(NEW, endpoints=('s1-b', 's1-c')), 3, 'missing: s1-a'),
        (NEW, status(NEW, can_lose=0), 3, 'still be lost: 0 (before: 1)'),
    ],
)
def test_rehearsal_report_shows_differences(
    run: Run,
    fake: FakeInstance,
    tmp_path: Path,
    config: AcceptedConfiguration,
    reply: StatusReply | None,
    exit_code: int,
    text: str,
) -> None:
    """Guard against a rehearsal that succeeds although the state afterwards is worse."""
    file = str(tmp_path / 'before.json')
    fake.set_replies('GET', '/v1/config', ConfigReply(NEW))
    assert run('rehearsal', 'save', file, '--at', fake.address).exit_code == 0
    fake.set_replies('GET', '/v1/config', ConfigReply(config))
    fake.set_replies('GET', '/v1/status', reply or status(config))
    result = run('rehearsal', 'report', file, '--at', fake.address)
    assert result.exit_code == exit_code
    assert text in result.out


def test_rehearsal_uses_the_newest_leader_and_index(
    run: Run, make_instance: MakeInstance, fake: FakeInstance, tmp_path: Path
) -> None:
    """Guard against using the report of a former leader behind a partition."""
    stale = make_instance()
    voters = VoterStatus('e9-x', 0, 9, ('e9-x',), (), 2)
    stale.set_replies('GET', '/v1/status', replace(status(NEW), accepted_index=4, voters=voters))
    stale.set_replies('GET', '/v1/config', ConfigReply(OLD))
    fake.set_replies('GET', '/v1/config', ConfigReply(NEW))
    file = str(tmp_path / 'before.json')
    at_options = ('--at', stale.address, '--at', fake.address)
    result = run('rehearsal', 'save', file, *at_options, '--json')
    assert result.exit_code == 0
    assert result.document['accepted_index'] == 5
    assert result.document['can_lose_count'] == 1


def test_damaged_rehearsal_file_is_refused(run: Run, fake: FakeInstance, tmp_path: Path) -> None:
    """Guard against a comparison with an incomplete file."""
    file = tmp_path / 'before.json'
    for data in (b'', b'{"format": 1}'):
        file.write_bytes(data)
        assert run('rehearsal', 'report', str(file), '--at', fake.address).exit_code == 1
