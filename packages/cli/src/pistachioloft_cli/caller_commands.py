"""Commands for callers: addresses, query, command."""

from __future__ import annotations

import json
import sys
import time
from typing import TYPE_CHECKING, Annotated, Any

import typer

from pistachioloft_core.messages.public import (
    PRIORITY_CLASSES,
    CommandReply,
    CommandRequest,
    ErrorReply,
    QueryReply,
    QueryRequest,
)

from .callers import (
    describe_result,
    exit_code_of_answer,
    failure_from_reply,
    fetch_addresses,
    send_command,
    send_query,
)
from .exits import ExitCode
from .options import Caller, CallerAt, Json, new_identifier
from .output import Output, format_table

if TYPE_CHECKING:
    from .transport import Answer

QUERY_DEADLINE_MS = 2_000
COMMAND_DEADLINE_MS = 5_000
# Instances refuse requests with a longer deadline.
DEADLINE_MAX_MS = 60_000

DeadlineOption = typer.Option('--deadline-ms', min=1, max=DEADLINE_MAX_MS)


def _check_priority(value: str | None) -> str | None:
    if value is not None and value not in PRIORITY_CLASSES:
        raise typer.BadParameter(f'expected one of {", ".join(PRIORITY_CLASSES)}')
    return value


Priority = Annotated[
    str | None,
    typer.Option('--priority', callback=_check_priority, help='urgent or routine.'),
]


def _read_json(text: str, name: str) -> Any:
    """Parse a JSON argument; `-` reads standard input."""
    try:
        return json.loads(sys.stdin.read() if text == '-' else text)
    except (ValueError, RecursionError) as error:
        raise typer.BadParameter(f'not valid JSON: {error}', param_hint=name) from error


def addresses(instance_addresses: CallerAt, caller: Caller, as_json: Json = False) -> None:
    """Show the addresses that a caller is to use, and how long they are valid."""
    output = Output(as_json)
    with output.exit_on_failure():
        reply = fetch_addresses(tuple(instance_addresses), caller, output)
        rows = [(entry.instance, entry.address, entry.failure_domain) for entry in reply.addresses]
        output.lines(*format_table(('INSTANCE', 'ADDRESS', 'FAILURE DOMAIN'), rows))
        output.lines(f'Keep these for {reply.keep_ms} ms.')
        output.document(reply)


def query(
    collection: str,
    query_json: Annotated[str, typer.Argument(help='Query as JSON; - reads standard input.')],
    instance_addresses: CallerAt,
    caller: Caller,
    deadline_ms: Annotated[int, DeadlineOption] = QUERY_DEADLINE_MS,
    priority: Priority = None,
    as_json: Json = False,
) -> None:
    """Query all shards of one snapshot of a collection."""
    output = Output(as_json)
    body = _read_json(query_json, 'QUERY_JSON')
    request = QueryRequest(caller, new_identifier(), collection, body, deadline_ms, priority)
    with output.exit_on_failure():
        reply = fetch_addresses(tuple(instance_addresses), caller, output)
        answer = send_query(request, reply, output)
        if isinstance(answer.reply, ErrorReply):
            raise failure_from_reply(answer.reply, answer.tries)
        _show_query(answer.reply, output)
        output.document(answer.reply)
        output.exit_unless_done(exit_code_of_answer(answer, is_command=False))


def _show_query(reply: QueryReply, output: Output) -> None:
    for row in reply.rows:
        output.lines(json.dumps(row, ensure_ascii=False, sort_keys=True))
    output.progress(describe_result(reply.result_code, reply.detail))
    if reply.snapshot is not None and reply.coverage is not None:
        coverage = reply.coverage
        output.progress(
            f'{reply.snapshot.collection} version {reply.snapshot.version}:'
            f' {coverage.answered_count} of {coverage.shard_count} shards answered.'
        )
        if coverage.missing:
            output.progress(f'Missing shards: {", ".join(coverage.missing)}')
    if reply.retry_after_ms is not None:
        output.progress(f'Try again after {reply.retry_after_ms} ms.')


def command(
    collection: str,
    shard: str,
    body_json: Annotated[str, typer.Argument(help='Command as JSON; - reads standard input.')],
    instance_addresses: CallerAt,
    caller: Caller,
    key: Annotated[
        str | None, typer.Option('--key', help='Idempotency key of an earlier attempt.')
    ] = None,
    key_issued_at_ms: Annotated[
        int | None,
        typer.Option(
            '--key-issued-at-ms',
            min=0,
            help='Time at which that key was issued, in ms since the epoch.',
        ),
    ] = None,
    deadline_ms: Annotated[int, DeadlineOption] = COMMAND_DEADLINE_MS,
    priority: Priority = None,
    as_json: Json = False,
) -> None:
    """Run a command at most once on one shard."""
    output = Output(as_json)
    if (key is None) != (key_issued_at_ms is None):
        raise typer.BadParameter('give both --key and --key-issued-at-ms, or neither')
    request = CommandRequest(
        caller=caller,
        request_id=new_identifier(),
        collection=collection,
        shard=shard,
        idempotency_key=key or new_identifier(),
        key_issued_at_ms=(
            key_issued_at_ms if key_issued_at_ms is not None else int(time.time() * 1000)
        ),
        body=_read_json(body_json, 'BODY_JSON'),
        deadline_ms=deadline_ms,
        priority=priority,
    )
    resend_options = (
        f'--key {request.idempotency_key} --key-issued-at-ms {request.key_issued_at_ms}'
    )
    output.progress(f'To send this command again, add {resend_options}')
    with output.exit_on_failure():
        reply = fetch_addresses(tuple(instance_addresses), caller, output)
        answer = send_command(request, reply, output)
        if isinstance(answer.reply, ErrorReply) and not answer.may_have_run:
            raise failure_from_reply(answer.reply, answer.tries)
        _show_command(answer, output)
        output.document(answer.reply)
        output.exit_unless_done(exit_code_of_answer(answer, is_command=True))


def _show_command(answer: Answer[CommandReply], output: Output) -> None:
    reply = answer.reply
    if isinstance(reply, CommandReply) and reply.outcome is not None:
        output.lines(json.dumps(reply.outcome, ensure_ascii=False, sort_keys=True))
    output.progress(describe_result(reply.result_code, reply.detail))
    if exit_code_of_answer(answer, is_command=True) is ExitCode.UNKNOWN:
        output.progress('The outcome is unknown; send the command again with the same key.')
    if reply.retry_after_ms is not None:
        output.progress(f'Try again after {reply.retry_after_ms} ms.')
