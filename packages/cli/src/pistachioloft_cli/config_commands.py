"""Commands on the configuration: check, diff, submit, show, history."""

from __future__ import annotations

import shlex
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.accepted import SubmitConfiguration
from pistachioloft_core.messages.operator import (
    InForceReport,
    OperatorReply,
)
from pistachioloft_core.util.describe import format_count
from pistachioloft_core.version.configuration import difference

from .callers import describe_result
from .exits import CommandFailure, ExitCode
from .operators import (
    describe_in_force,
    exit_code_of_change,
    is_in_force_on_every_instance,
    read_base_configuration,
    read_config,
    read_history,
    send_change,
    wait_in_force,
)
from .options import (
    CommandId,
    Json,
    Operator,
    OperatorAt,
    command_identifier,
    operator_name,
)
from .output import Output, format_table
from .register_folder import read_register
from .transport import result_code

if TYPE_CHECKING:
    from pistachioloft_core.messages.accepted import AcceptedConfiguration, Configuration
    from pistachioloft_core.messages.public import ErrorReply

    from .transport import Answer

WAIT_LIMIT_S = 30.0

app = typer.Typer(help='Check, compare, submit and show the configuration.')

Folder = Annotated[
    Path, typer.Argument(exists=True, file_okay=False, help='Folder of the asset register.')
]


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Hold the counts of entries in a register without mistakes."""

    instance_count: int
    voter_count: int
    service_count: int
    caller_count: int
    collection_count: int


@dataclass(frozen=True, slots=True)
class DifferenceResult:
    """Hold the difference between a register and the configuration in force."""

    base_index: int
    difference: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SubmitResult:
    """Hold the result of a submission."""

    exit_code: int
    command_id: str | None
    base_index: int
    difference: tuple[str, ...]
    reply: OperatorReply | ErrorReply | None = None
    conflict_difference: tuple[str, ...] = ()
    in_force: InForceReport | None = None


@app.command()
def check(folder: Folder, as_json: Json = False) -> None:
    """Check a register without sending anything."""
    output = Output(as_json)
    with output.exit_on_failure():
        configuration = read_register(folder)
        result = CheckResult(
            len(configuration.instances),
            sum(entry.voter for entry in configuration.instances),
            len(configuration.services),
            len(configuration.callers),
            len(configuration.collections),
        )
        output.lines(
            f'No mistakes: {format_count(result.instance_count, "instance")},'
            f' {format_count(result.voter_count, "voter")},'
            f' {format_count(result.service_count, "service")},'
            f' {format_count(result.caller_count, "caller")},'
            f' {format_count(result.collection_count, "collection")}.'
        )
        output.document(result)


@app.command()
def diff(folder: Folder, instance_addresses: OperatorAt, as_json: Json = False) -> None:
    """Show how a register differs from the configuration in force."""
    output = Output(as_json)
    with output.exit_on_failure():
        configuration = read_register(folder)
        base = read_base_configuration(tuple(instance_addresses), output)
        lines = difference(base.configuration, configuration)
        _show_difference(lines, base.index, output)
        output.document(DifferenceResult(base.index, lines))


def _show_difference(lines: tuple[str, ...], index: int, output: Output) -> None:
    output.lines(*lines)
    output.progress(f'{format_count(len(lines), "change")} against index {index}.')


@app.command()
def submit(
    folder: Folder,
    instance_addresses: OperatorAt,
    note: Annotated[str, typer.Option('--note', help='Reason, stored in the history.')] = '',
    wait: Annotated[
        bool, typer.Option('--wait', help='Wait until the configuration is in force everywhere.')
    ] = False,
    wait_limit_s: Annotated[float, typer.Option('--wait-limit-s', min=0.0)] = WAIT_LIMIT_S,
    operator: Operator = None,
    command_id: CommandId = None,
    base_index: Annotated[
        int | None,
        typer.Option('--base-index', min=0, help='Base index printed by the earlier attempt.'),
    ] = None,
    as_json: Json = False,
) -> None:
    """Submit a register as the new configuration."""
    output = Output(as_json)
    identifier = command_identifier(command_id)
    if (command_id is None) != (base_index is None):
        raise typer.BadParameter('give both --command-id and --base-index, or neither')
    with output.exit_on_failure():
        configuration = read_register(folder)
        base = read_base_configuration(tuple(instance_addresses), output)
        lines = difference(base.configuration, configuration)
        _show_difference(lines, base.index, output)
        if command_id is None and not lines:
            _finish_unchanged(
                tuple(instance_addresses), base, wait_limit_s if wait else None, output
            )
            return
        change = SubmitConfiguration(
            command_id=identifier,
            base_index=base.index if base_index is None else base_index,
            configuration=configuration,
            operator=operator_name(operator),
            note=note,
        )
        identity_options = ('--command-id', identifier, '--base-index', str(change.base_index))
        # A command id identifies the whole command, so operator and note must be the same.
        resend_options = (*identity_options, '--operator', change.operator, '--note', note)
        output.progress(f'To send this change again, use {shlex.join(resend_options)}')
        answer = send_change(change, '/v1/config', tuple(instance_addresses), output)
        _finish_submission(
            change, answer, lines, tuple(instance_addresses), wait_limit_s if wait else None, output
        )


def _finish_unchanged(
    instance_addresses: tuple[str, ...],
    base: AcceptedConfiguration,
    timeout_s: float | None,
    output: Output,
) -> None:
    output.lines(f'Nothing to submit: index {base.index} has this configuration.')
    report = None
    exit_code = ExitCode.DONE
    if timeout_s is not None:
        report = wait_in_force(instance_addresses, base.index, timeout_s, output)
        exit_code = _finish_wait(report, output)
    output.document(SubmitResult(int(exit_code), None, base.index, (), in_force=report))
    output.exit_unless_done(exit_code)


def _finish_submission(
    change: SubmitConfiguration,
    answer: Answer[OperatorReply],
    lines: tuple[str, ...],
    instance_addresses: tuple[str, ...],
    timeout_s: float | None,
    output: Output,
) -> None:
    exit_code = exit_code_of_change(answer)
    reply = answer.reply
    _show_reply(answer, output)
    conflict: tuple[str, ...] = ()
    report = None
    if result_code(reply) is ResultCode.CONFLICT:
        conflict = _show_conflict(change.configuration, instance_addresses, output)
    if exit_code is ExitCode.DONE and isinstance(reply, OperatorReply) and timeout_s is not None:
        report = wait_in_force(instance_addresses, reply.accepted_index, timeout_s, output)
        exit_code = _finish_wait(report, output)
    output.document(
        SubmitResult(
            int(exit_code),
            change.command_id,
            change.base_index,
            lines,
            reply,
            conflict,
            report,
        )
    )
    output.exit_unless_done(exit_code)


def _show_reply(answer: Answer[OperatorReply], output: Output) -> None:
    reply = answer.reply
    output.progress(describe_result(reply.result_code, reply.detail))
    if isinstance(reply, OperatorReply):
        for mistake in reply.mistakes:
            output.progress(f'  {mistake}')
        if exit_code_of_change(answer) is ExitCode.DONE:
            output.lines(f'Accepted as index {reply.accepted_index}.')
    if exit_code_of_change(answer) is ExitCode.UNKNOWN:
        output.progress('The outcome is unknown; send the change again with the same command id.')


def _show_conflict(
    configuration: Configuration, instance_addresses: tuple[str, ...], output: Output
) -> tuple[str, ...]:
    try:
        accepted = read_config(instance_addresses, output)
    except CommandFailure:
        return ()
    lines = difference(accepted.configuration, configuration)
    output.progress(f'Index {accepted.index} was accepted first; your register differs from it:')
    for line in lines:
        output.progress(f'  {line}')
    output.progress('Merge its changes into the register, then submit again.')
    return lines


def _finish_wait(report: InForceReport | None, output: Output) -> ExitCode:
    if report is not None and is_in_force_on_every_instance(report):
        output.lines('In force everywhere.')
        return ExitCode.DONE
    if report is None:
        output.progress("Not known to be in force: no given address has the leader's report on it.")
    else:
        output.progress(f'Not in force everywhere. {describe_in_force(report)}')
    return ExitCode.NOT_IN_FORCE


@app.command()
def show(instance_addresses: OperatorAt, as_json: Json = False) -> None:
    """Show the configuration in force."""
    output = Output(as_json)
    with output.exit_on_failure():
        accepted = read_config(tuple(instance_addresses), output)
        output.lines(f'Index {accepted.index}, term {accepted.term}, digest {accepted.digest}')
        _show_configuration(accepted, output)
        output.document(accepted)


def _show_configuration(accepted: AcceptedConfiguration, output: Output) -> None:
    configuration = accepted.configuration
    draining = set(accepted.draining_instances)
    rows = [
        (
            entry.instance,
            entry.failure_domain,
            entry.caller_address,
            entry.peer_address,
            'voter' if entry.voter else '',
            'draining' if entry.instance in draining else '',
        )
        for entry in configuration.instances
    ]
    header = ('INSTANCE', 'FAILURE DOMAIN', 'CALLER ADDRESS', 'PEER ADDRESS', '', '')
    output.lines('', *format_table(header, rows), '')
    output.lines(f'Services: {", ".join(entry.service for entry in configuration.services)}', '')
    callers = [(entry.caller, entry.priority) for entry in configuration.callers]
    output.lines(*format_table(('CALLER', 'PRIORITY'), callers), '')
    versions = [
        (collection.collection, entry.version, len(entry.shards))
        for collection in configuration.collections
        for entry in collection.versions
    ]
    output.lines(*format_table(('COLLECTION', 'VERSION', 'SHARDS'), versions))


@app.command()
def history(instance_addresses: OperatorAt, as_json: Json = False) -> None:
    """List the accepted submissions, newest last."""
    output = Output(as_json)
    with output.exit_on_failure():
        reply = read_history(tuple(instance_addresses), output)
        rows = [
            (
                entry.index,
                time.strftime('%Y-%m-%d %H:%M:%SZ', time.gmtime(entry.time_ms / 1000)),
                entry.operator,
                entry.digest[:12],
                entry.note,
            )
            for entry in sorted(reply.entries, key=lambda entry: entry.index)
        ]
        output.lines(*format_table(('INDEX', 'TIME', 'OPERATOR', 'DIGEST', 'NOTE'), rows))
        output.document(reply)
