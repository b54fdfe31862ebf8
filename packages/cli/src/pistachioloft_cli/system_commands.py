"""Commands on instances: status, drain, rehearsals."""

from __future__ import annotations

import os
import shlex
import time
from dataclasses import dataclass
from pathlib import Path  # noqa: TC003
from typing import TYPE_CHECKING, Annotated

import typer

from pistachioloft_core.codec import decode_json, encode_json
from pistachioloft_core.errors import CodedError
from pistachioloft_core.messages.accepted import DrainInstance
from pistachioloft_core.messages.public import ErrorReply  # noqa: TC001

from .callers import describe_result
from .exits import CommandFailure, ExitCode
from .operators import (
    StatusView,
    describe_in_force,
    exit_code_of_change,
    read_config,
    require_status,
    send_change,
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
from .rehearsal import (
    FORMAT_VERSION,
    RehearsalState,
    collect_state,
    compare_states,
    describe_report,
)

if TYPE_CHECKING:
    from pistachioloft_core.messages.operator import OperatorReply, StatusReply

instances_app = typer.Typer(help='Stop or resume giving the address of an instance to callers.')
rehearsal_app = typer.Typer(help='Compare the system before and after a rehearsal.')


@dataclass(frozen=True, slots=True)
class DrainResult:
    """Hold the result of a drain or undrain."""

    exit_code: int
    command_id: str
    reply: OperatorReply | ErrorReply


def status(
    instance_addresses: OperatorAt,
    endpoints: Annotated[bool, typer.Option('--endpoints', help='List the endpoints.')] = False,
    as_json: Json = False,
) -> None:
    """Show the state of the system as reported by each given instance."""
    output = Output(as_json)
    with output.exit_on_failure():
        view = require_status(instance_addresses, endpoints)
        for instance_status in view.replies:
            _show_instance(instance_status.address, instance_status.reply, output)
        for address in view.unreachable:
            output.lines(f'{address}: gave no status')
        reply = view.leader_reply or view.replies[0].reply
        _show_system(reply, output)
        if endpoints:
            _show_endpoints(reply, output)
        output.document(view)
        output.exit_unless_done(ExitCode.PARTIAL if view.unreachable else ExitCode.DONE)


def _show_instance(address: str, reply: StatusReply, output: Output) -> None:
    state = 'stopping' if reply.stopping else 'serving' if reply.serving else 'not serving'
    output.lines(
        f'{address}: {reply.instance} ({reply.failure_domain}) {state},'
        f' index {reply.accepted_index}, digest {reply.accepted_digest[:12]}'
    )


def _show_system(reply: StatusReply, output: Output) -> None:
    output.lines(f'Live instances, known to {reply.instance}: {", ".join(reply.live_instances)}')
    if reply.in_force is None:
        output.lines('No given address has a report of the leader, which knows what is in force.')
    else:
        output.lines(describe_in_force(reply.in_force))
    if reply.voters is not None:
        voters = reply.voters
        output.lines(
            f'Voters: {", ".join(voters.voters)}; learners: {", ".join(voters.learners) or "none"};'
            f' leader {voters.leader or "unknown"}, term {voters.term},'
            f' commit index {voters.commit_index}'
        )
        if voters.can_lose_count is not None:
            output.lines(f'Voters that can still be lost: {voters.can_lose_count}')


def _show_endpoints(reply: StatusReply, output: Output) -> None:
    rows = [
        (
            item.endpoint,
            item.service,
            item.failure_domain,
            item.address,
            item.owner,
            'draining' if item.draining else 'usable' if item.usable else 'expired',
            f'{item.age_ms:.0f}',
            item.in_flight_count,
            item.queue_length,
            f'{item.latency_ms:.1f}',
        )
        for item in sorted(reply.endpoints, key=lambda item: (item.service, item.endpoint))
    ]
    header = ('ENDPOINT', 'SERVICE', 'DOMAIN', 'ADDRESS', 'OWNER', 'STATE')
    output.lines('', *format_table((*header, 'AGE MS', 'IN FLIGHT', 'QUEUE', 'LATENCY MS'), rows))


@instances_app.command()
def drain(
    instance: str,
    instance_addresses: OperatorAt,
    operator: Operator = None,
    command_id: CommandId = None,
    as_json: Json = False,
) -> None:
    """Stop giving the address of an instance to callers."""
    _send_drain(
        DrainInstance(command_identifier(command_id), instance, True, ''),
        operator,
        instance_addresses,
        as_json,
    )


@instances_app.command()
def undrain(
    instance: str,
    instance_addresses: OperatorAt,
    operator: Operator = None,
    command_id: CommandId = None,
    as_json: Json = False,
) -> None:
    """Give the address of an instance to callers again."""
    identifier = command_identifier(command_id)
    _send_drain(
        DrainInstance(identifier, instance, False, ''), operator, instance_addresses, as_json
    )


def _send_drain(
    draft: DrainInstance, operator: str | None, instance_addresses: list[str], as_json: bool
) -> None:
    output = Output(as_json)
    change = DrainInstance(
        draft.command_id, draft.instance, draft.draining, operator_name(operator)
    )
    resend_options = ('--command-id', change.command_id, '--operator', change.operator)
    output.progress(f'To send this change again, use {shlex.join(resend_options)}')
    with output.exit_on_failure():
        answer = send_change(change, '/v1/instances/drain', tuple(instance_addresses), output)
        exit_code = exit_code_of_change(answer)
        output.lines(describe_result(answer.reply.result_code, answer.reply.detail))
        if exit_code is ExitCode.UNKNOWN:
            output.progress(
                'The outcome is unknown; send the change again with the same command id.'
            )
        output.document(DrainResult(int(exit_code), change.command_id, answer.reply))
        output.exit_unless_done(exit_code)


def _read_state(instance_addresses: tuple[str, ...], output: Output) -> RehearsalState:
    view: StatusView = require_status(instance_addresses, with_endpoints=True)
    # An instance that is behind would return an older configuration than the accepted one.
    newest = max(view.replies, key=lambda status: status.reply.accepted_index)
    others = tuple(address for address in instance_addresses if address != newest.address)
    accepted = read_config((newest.address, *others), output)
    return collect_state(accepted, view, int(time.time() * 1000))


@rehearsal_app.command()
def save(file: Path, instance_addresses: OperatorAt, as_json: Json = False) -> None:
    """Save the accepted configuration and where it is in force, before a rehearsal."""
    output = Output(as_json)
    with output.exit_on_failure():
        state = _read_state(tuple(instance_addresses), output)
        _write_atomically(file, encode_json(state))
        output.lines(
            f'Saved index {state.accepted_index}, digest {state.accepted_digest},'
            f' {len(state.instances)} instances and {len(state.endpoints)} endpoints to {file}.'
        )
        output.document(state)
        if not state.everywhere:
            output.progress('The configuration is not in force everywhere before the rehearsal.')
            output.exit_unless_done(ExitCode.NOT_IN_FORCE)


def _write_atomically(file: Path, data: bytes) -> None:
    """Replace a file atomically, so that a failed write leaves no partial file."""
    temporary_file = file.with_name(f'{file.name}.new')
    try:
        temporary_file.write_bytes(data)
        os.replace(temporary_file, file)
    except OSError as error:
        detail = f'{file} cannot be written: {error.strerror}'
        raise CommandFailure(ExitCode.REFUSED, detail) from error


@rehearsal_app.command()
def report(file: Path, instance_addresses: OperatorAt, as_json: Json = False) -> None:
    """Compare the current state with the one saved before a rehearsal."""
    output = Output(as_json)
    with output.exit_on_failure():
        before = _load_state(file)
        result = compare_states(before, _read_state(tuple(instance_addresses), output))
        output.lines(*describe_report(result))
        output.document(result)
        output.exit_unless_done(ExitCode(result.exit_code))


def _load_state(file: Path) -> RehearsalState:
    try:
        state = decode_json(file.read_bytes(), RehearsalState)
    except (OSError, CodedError) as error:
        detail = f'{file} is not a saved rehearsal: {error}'
        raise CommandFailure(ExitCode.REFUSED, detail) from error
    if state.format != FORMAT_VERSION:
        raise CommandFailure(ExitCode.REFUSED, f'{file} has the unknown format {state.format}.')
    return state
