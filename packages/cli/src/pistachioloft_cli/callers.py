"""Fetch addresses, send queries and run commands as a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import urlencode

from pistachioloft_core.codec import encode_json
from pistachioloft_core.errors import RESULTS, ResultCode
from pistachioloft_core.messages.public import (
    AddressesReply,
    CommandReply,
    CommandRequest,
    ErrorReply,
    QueryReply,
    QueryRequest,
)

from .exits import CommandFailure, ExitCode, FailedAttempt, exit_code_of
from .transport import Answer, Call, exchange

if TYPE_CHECKING:
    from .output import Output

# A reply is due at the deadline of its request; this adds time for the round trip.
ANSWER_GRACE_MS = 1_000
COMMAND_ATTEMPT_COUNT = 3


def fetch_addresses(
    instance_addresses: tuple[str, ...], caller: str, output: Output
) -> AddressesReply:
    """Fetch the addresses that the caller is to use from the first instance that replies."""
    path = f'/v1/addresses?{urlencode({"caller": caller})}'
    answer = exchange(Call('GET', path, AddressesReply), instance_addresses, output.progress)
    if isinstance(answer.reply, ErrorReply):
        raise failure_from_reply(answer.reply, answer.tries)
    if not answer.reply.addresses:
        raise CommandFailure(ExitCode.NOT_REACHABLE, 'No instance currently accepts callers.')
    return answer.reply


def send_query(request: QueryRequest, reply: AddressesReply, output: Output) -> Answer[QueryReply]:
    """Send a query; it is safe to resend since it changes nothing."""
    wait_ms = request.deadline_ms + ANSWER_GRACE_MS
    call = Call(
        'POST',
        '/v1/query',
        QueryReply,
        body=encode_json(request),
        answer_ms=wait_ms,
        total_ms=wait_ms,
        resend_unknown=False,
        changes=True,
    )
    answer = exchange(call, _addresses(reply), output.progress)
    _check_identity(request, answer)
    return answer


def send_command(
    request: CommandRequest, reply: AddressesReply, output: Output
) -> Answer[CommandReply]:
    """Send a command; its idempotency key makes it safe to resend."""
    wait_ms = request.deadline_ms + ANSWER_GRACE_MS
    call = Call(
        'POST',
        '/v1/command',
        CommandReply,
        body=encode_json(request),
        answer_ms=wait_ms,
        total_ms=wait_ms * COMMAND_ATTEMPT_COUNT,
        resend_unknown=False,
        changes=True,
    )
    answer = exchange(call, _addresses(reply), output.progress)
    _check_identity(request, answer)
    return answer


def exit_code_of_answer(
    answer: Answer[CommandReply] | Answer[QueryReply], is_command: bool
) -> ExitCode:
    """Return the exit code; the outcome of a command refused after a lost reply is unknown."""
    if is_command and answer.may_have_run:
        return ExitCode.UNKNOWN
    return exit_code_of(answer.reply.result_code)


def failure_from_reply(reply: ErrorReply, tries: tuple[FailedAttempt, ...] = ()) -> CommandFailure:
    """Return the failure that reports a refused request."""
    detail = describe_result(reply.result_code, reply.detail)
    if reply.retry_after_ms is not None:
        detail = f'{detail} Try again after {reply.retry_after_ms} ms.'
    return CommandFailure(exit_code_of(reply.result_code), detail, tries)


def describe_result(code: ResultCode, detail: str = '') -> str:
    """Return a one-line description of a result."""
    summary = RESULTS[code].summary
    line = f'{code.name.lower()} ({int(code)}): {summary}'
    return line if detail in ('', summary) else f'{line} {detail}'


def _addresses(reply: AddressesReply) -> tuple[str, ...]:
    return tuple(entry.address for entry in reply.addresses)


def _check_identity(
    request: QueryRequest | CommandRequest,
    answer: Answer[QueryReply] | Answer[CommandReply],
) -> None:
    """Raise a failure if the reply belongs to another request."""
    reply = answer.reply
    if isinstance(reply, ErrorReply):
        return
    if (reply.caller, reply.request_id) != (request.caller, request.request_id):
        mismatched = FailedAttempt(answer.address, True, f'reply for request {reply.request_id!r}')
        detail = 'The reply belongs to another request, so the outcome is unknown.'
        raise CommandFailure(ExitCode.UNKNOWN, detail, (*answer.tries, mismatched))
