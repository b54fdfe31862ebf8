"""Send a request over HTTP and try the next address when that is safe."""

from __future__ import annotations

import contextlib
import threading
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Generic, TypeVar

import urllib3

from pistachioloft_core.codec import decode_json
from pistachioloft_core.errors import RESULTS, CodedError, ResultCode, RunStatus
from pistachioloft_core.messages.public import ErrorReply
from pistachioloft_core.util.names import split_address

from .exits import CommandFailure, ExitCode, FailedAttempt

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

T = TypeVar('T')

CONNECT_TIMEOUT_MS = 1_000
OPERATOR_ANSWER_TIMEOUT_MS = 3_000
# An instance waits up to 8 s for the voters, then replies that the outcome is unknown.
CHANGE_ANSWER_TIMEOUT_MS = 10_000
OPERATOR_TOTAL_TIMEOUT_MS = 30_000
ROUND_COUNT = 2
WAITING_NOTICE_DELAY_S = 1.0
ROUND_PAUSE_MS = 200
REPLY_LIMIT_BYTES = 256 * 1024 * 1024
_CHUNK_BYTES = 65_536

# These refusals concern only the instance that replied; another one may accept the request.
RETRY_ELSEWHERE_CODES = frozenset(
    {
        ResultCode.FENCED,
        ResultCode.STOPPING,
        ResultCode.TOO_MANY_CONNECTIONS,
        ResultCode.NO_QUORUM,
        ResultCode.SLOW_SENDER,
    }
)
# These refusals follow from the content or from the replicated log, so they also apply to an
# earlier attempt with the same bytes whose reply was lost.
DEFINITE_CODES = frozenset(
    {ResultCode.CONFLICT, ResultCode.INVALID_CONFIGURATION, ResultCode.KEY_REUSED}
)


class _NotSentError(Exception):
    """Report a request of which no byte was sent."""


class _LostError(Exception):
    """Report a request that was sent, or may have been, without a readable reply."""


@dataclass(frozen=True, slots=True)
class Call(Generic[T]):
    """Describe a request; every request of the command line is safe to resend."""

    method: str
    path: str
    reply_kind: type[T]
    body: bytes | None = None
    answer_ms: float = OPERATOR_ANSWER_TIMEOUT_MS
    total_ms: float = OPERATOR_TOTAL_TIMEOUT_MS
    resend_unknown: bool = True
    changes: bool = False
    round_count: int = ROUND_COUNT
    # They may hold a secret, so they are left out of the representation.
    headers: tuple[tuple[str, str], ...] = field(default=(), repr=False)


@dataclass(frozen=True, slots=True)
class Answer(Generic[T]):
    """Hold a reply, the address that sent it and the failed attempts before it."""

    address: str
    reply: T | ErrorReply
    tries: tuple[FailedAttempt, ...]

    @property
    def may_have_run(self) -> bool:
        """Return whether an earlier attempt may have run although this reply says `not run`."""
        code = result_code(self.reply)
        return (
            any(attempt.sent for attempt in self.tries)
            and RESULTS[code].run_status is RunStatus.NOT_RUN
            and code not in DEFINITE_CODES
        )


def result_code(reply: Any) -> ResultCode:
    """Return the result code of a reply; a reply without one is complete."""
    code = getattr(reply, 'result_code', ResultCode.COMPLETE)
    return ResultCode(code)


def exchange(
    call: Call[T], addresses: tuple[str, ...], progress: Callable[[str], None]
) -> Answer[T]:
    """Return the first final answer, trying the addresses in order."""
    tries: list[FailedAttempt] = []
    nonfinal_answers: dict[bool, Answer[T]] = {}
    started_s = time.monotonic()
    targets = list(dict.fromkeys(addresses))
    for round_number in range(call.round_count):
        if round_number:
            time.sleep(ROUND_PAUSE_MS / 1000)
        for address in targets:
            if tries and (time.monotonic() - started_s) * 1000 > call.total_ms:
                break
            try:
                with _report_waiting(call, address, progress):
                    reply = send_once(call, address)
            except (_NotSentError, _LostError) as error:
                tries.append(FailedAttempt(address, isinstance(error, _LostError), str(error)))
                progress(f'{address}: no usable reply ({error}).')
                continue
            code = result_code(reply)
            unknown = call.resend_unknown and RESULTS[code].run_status is RunStatus.UNKNOWN
            if code not in RETRY_ELSEWHERE_CODES and not unknown:
                return Answer(address, reply, tuple(tries))
            nonfinal_answers[unknown] = Answer(address, reply, tuple(tries))
            detail = f'{code.name.lower()}: {getattr(reply, "detail", "")}'
            tries.append(FailedAttempt(address, unknown, detail))
            progress(f'{address} did not accept the request ({detail}).')
            for entry in getattr(reply, 'addresses', ()):
                if entry.address not in targets:
                    targets.append(entry.address)
    return _choose_result(call, nonfinal_answers, tuple(tries))


def exchange_each(call: Call[T], addresses: Iterable[str]) -> tuple[dict[str, T], tuple[str, ...]]:
    """Send the request to every address; return the replies and the addresses without one."""
    replies: dict[str, T] = {}
    failed_addresses: list[str] = []
    for address in addresses:
        try:
            reply = exchange(call, (address,), lambda line: None).reply
        except CommandFailure:
            failed_addresses.append(address)
            continue
        if isinstance(reply, ErrorReply):
            failed_addresses.append(address)
        else:
            replies[address] = reply
    return replies, tuple(failed_addresses)


@contextlib.contextmanager
def _report_waiting(call: Call[T], address: str, progress: Callable[[str], None]) -> Iterator[None]:
    """Report that a reply is awaited once the wait exceeds the notice delay."""
    line = f'Waiting for {address}, at most {call.answer_ms / 1000:.1f} s.'
    timer = threading.Timer(WAITING_NOTICE_DELAY_S, progress, (line,))
    timer.daemon = True
    timer.start()
    try:
        yield
    finally:
        timer.cancel()


def _choose_result(
    call: Call[T], nonfinal_answers: dict[bool, Answer[T]], tries: tuple[FailedAttempt, ...]
) -> Answer[T]:
    """Return a non-final answer or raise; a change that may have run is never `not run`."""
    was_sent = any(attempt.sent for attempt in tries)
    if was_sent and call.changes:
        if True in nonfinal_answers:
            return nonfinal_answers[True]
        detail = 'The reply was lost, so the outcome is unknown.'
        raise CommandFailure(ExitCode.UNKNOWN, detail, tries)
    if nonfinal_answers:
        return nonfinal_answers.get(False) or nonfinal_answers[True]
    detail = (
        'No address sent a usable reply.'
        if was_sent
        else 'No address can be reached; nothing was run.'
    )
    raise CommandFailure(ExitCode.NOT_REACHABLE, detail, tries)


def send_once(call: Call[T], address: str) -> T | ErrorReply:
    """Send a request to one address and read its reply."""
    data = _read_reply(call, address)
    try:
        return decode_json(data, call.reply_kind)
    except CodedError as error:
        try:
            return decode_json(data, ErrorReply)
        except CodedError:
            raise _LostError(f'unreadable reply: {error.detail}') from error


def _read_reply(call: Call[T], address: str) -> bytes:
    host_and_port = split_address(address)
    if host_and_port is None:
        raise _NotSentError('not an IP address with a port')
    deadline_s = time.monotonic() + (CONNECT_TIMEOUT_MS + call.answer_ms) / 1000
    timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_MS / 1000, read=call.answer_ms / 1000)
    headers = dict(call.headers)
    if call.body is not None:
        headers['Content-Type'] = 'application/json'
    with urllib3.HTTPConnectionPool(*host_and_port, timeout=timeout, retries=False) as pool:
        try:
            response = pool.request(
                call.method,
                call.path,
                body=call.body,
                headers=headers,
                preload_content=False,
                redirect=False,
            )
            return _read_body(response, deadline_s)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise _NotSentError(_describe_error(error)) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise _LostError(_describe_error(error)) from error


def _read_body(response: urllib3.BaseHTTPResponse, deadline_s: float) -> bytes:
    """Read a body until a deadline, even if the sender delivers it byte by byte."""
    chunks = []
    size_bytes = 0
    while chunk := response.read1(_CHUNK_BYTES):
        chunks.append(chunk)
        size_bytes += len(chunk)
        if size_bytes > REPLY_LIMIT_BYTES:
            raise _LostError(f'the reply is larger than {REPLY_LIMIT_BYTES} bytes')
        if time.monotonic() > deadline_s:
            raise _LostError('the reply arrived too slowly')
    return b''.join(chunks)


def _describe_error(error: Exception) -> str:
    cause = error.__cause__ or error.__context__
    if isinstance(cause, OSError) and cause.strerror:
        return cause.strerror.lower()
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return 'timed out'
    return f'{type(error).__name__}: {error}'
