"""Tests of the callers' commands: the reported outcome of a request must be true."""

from __future__ import annotations

import json
import sys
import types
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import pytest

from pistachioloft_cli import callers, transport
from pistachioloft_core.codec import decode_json
from pistachioloft_core.errors import RESULTS, ResultCode
from pistachioloft_core.messages.public import (
    AddressesReply,
    CallerAddress,
    CommandReply,
    CommandRequest,
    Coverage,
    ErrorReply,
    QueryReply,
    QueryRequest,
    Snapshot,
)

from .fake_instance import (
    CloseWithoutReply,
    FakeInstance,
    TricklingReply,
    UnreadableReply,
    closed_address,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from .conftest import Run

    MakeInstance = Callable[[], FakeInstance]

ADDRESSES = '/v1/addresses'
QUERY = '/v1/query'
COMMAND = '/v1/command'


def set_caller_addresses(fake: FakeInstance, *targets: FakeInstance | str) -> FakeInstance:
    """Let a fake instance reply with the addresses of the targets."""
    texts = [target if isinstance(target, str) else target.address for target in targets]
    entries = tuple(CallerAddress(f'e{n}', text, 'a') for n, text in enumerate(texts))
    return fake.set_replies('GET', ADDRESSES, AddressesReply(entries, 5000))


def query_reply(code: ResultCode, **fields: Any) -> Callable[[bytes], QueryReply]:
    """Return a function that builds a reply with this result code to any query."""

    def reply(body: bytes) -> QueryReply:
        request = decode_json(body, QueryRequest)
        status = RESULTS[code].run_status
        return QueryReply(request.caller, request.request_id, code, status, '', **fields)

    return reply


def command_reply(code: ResultCode, **fields: Any) -> Callable[[bytes], CommandReply]:
    """Return a function that builds a reply with this result code to any command."""

    def reply(body: bytes) -> CommandReply:
        request = decode_json(body, CommandRequest)
        status = RESULTS[code].run_status
        return CommandReply(request.caller, request.request_id, code, status, '', **fields)

    return reply


def complete(rows: tuple[dict[str, Any], ...] = ({'peg': 1},)) -> Callable[[bytes], QueryReply]:
    """Return a function that builds a complete reply to any query."""
    return query_reply(
        ResultCode.COMPLETE, snapshot=Snapshot('ledger', 7), coverage=Coverage(2, 2), rows=rows
    )


def query(run: Run, at: FakeInstance | str, *more: str) -> Any:
    address = at if isinstance(at, str) else at.address
    return run('query', 'ledger', '{"peg": 1}', '--at', address, '--caller', 'yard', *more)


def command(run: Run, at: FakeInstance | str, *more: str) -> Any:
    address = at if isinstance(at, str) else at.address
    return run(
        'command', 'ledger', 's/1', '{"hold": 1}', '--at', address, '--caller', 'yard', *more
    )


def test_query_goes_to_the_addresses_in_the_reply(run: Run, make_instance: MakeInstance) -> None:
    """Guard against a query to an instance that is not among the fetched addresses."""
    first, second = make_instance(), make_instance()
    set_caller_addresses(first, second)
    second.set_replies('POST', QUERY, complete())
    result = query(run, first, '--priority', 'urgent', '--deadline-ms', '250')
    assert result.exit_code == 0
    assert result.out == '{"peg": 1}\n'
    assert 'ledger version 7: 2 of 2 shards answered' in result.err
    (body,) = second.posted_bodies(QUERY)
    request = decode_json(body, QueryRequest)
    assert (request.caller, request.deadline_ms, request.priority) == ('yard', 250, 'urgent')
    assert first.posted_bodies(QUERY) == []


def test_partial_answer_names_missing_shards(run: Run, make_instance: MakeInstance) -> None:
    """Guard against a partial answer that looks complete."""
    fake = make_instance()
    coverage = Coverage(2, 1, ('s/9',))
    reply = query_reply(ResultCode.PARTIAL, snapshot=Snapshot('ledger', 7), coverage=coverage)
    set_caller_addresses(fake, fake).set_replies('POST', QUERY, reply)
    result = query(run, fake)
    assert result.exit_code == 3
    assert 'Missing shards: s/9' in result.err


def test_lost_query_is_sent_to_the_next_address(run: Run, make_instance: MakeInstance) -> None:
    """Guard against a query that fails because one instance has stopped."""
    first, second = make_instance(), make_instance()
    set_caller_addresses(first, closed_address(), first, second).set_replies(
        'POST', QUERY, CloseWithoutReply
    )
    second.set_replies('POST', QUERY, complete())
    assert query(run, first).exit_code == 0
    assert first.posted_bodies(QUERY) == second.posted_bodies(QUERY)


def test_query_follows_the_addresses_of_a_fenced_instance(
    run: Run, make_instance: MakeInstance
) -> None:
    """Guard against a query that fails because its instance cannot confirm its configuration."""
    first, second = make_instance(), make_instance()
    second.set_replies('POST', QUERY, complete())
    elsewhere = (CallerAddress('e2', second.address, 'b'),)
    fenced = query_reply(ResultCode.FENCED, addresses=elsewhere)
    set_caller_addresses(first, first).set_replies('POST', QUERY, fenced)
    assert query(run, first).exit_code == 0


def test_overload_refusal_is_not_retried_and_shows_its_retry_after_time(
    run: Run, make_instance: MakeInstance
) -> None:
    """Guard against retries that add load to an overloaded system."""
    first, second = make_instance(), make_instance()
    set_caller_addresses(first, first, second)
    first.set_replies('POST', QUERY, query_reply(ResultCode.OVERLOADED, retry_after_ms=70))
    result = query(run, first)
    assert result.exit_code == 1
    assert 'Try again after 70 ms' in result.err
    assert second.received_requests == []


def test_reply_to_another_request_is_not_shown(run: Run, make_instance: MakeInstance) -> None:
    """Guard against showing rows that belong to another request."""
    fake = make_instance()
    status = RESULTS[ResultCode.COMPLETE].run_status
    other = QueryReply('yard', 'other', ResultCode.COMPLETE, status, '', rows=({'peg': 2},))
    set_caller_addresses(fake, fake).set_replies('POST', QUERY, other)
    result = query(run, fake)
    assert result.exit_code == 4
    assert result.out == ''


def test_error_reply_is_a_refusal(run: Run, make_instance: MakeInstance) -> None:
    """Guard against a refusal that is treated as a lost reply and retried."""
    fake = make_instance()
    refused = ErrorReply(
        ResultCode.UNKNOWN_FIELD, RESULTS[ResultCode.UNKNOWN_FIELD].run_status, 'no field x'
    )
    set_caller_addresses(fake, fake).set_replies('POST', QUERY, refused)
    result = query(run, fake)
    assert result.exit_code == 1
    assert 'no field x' in result.err
    assert len(fake.posted_bodies(QUERY)) == 1


@pytest.mark.parametrize('lost', [CloseWithoutReply, UnreadableReply])
def test_lost_command_is_repeated_with_its_key(
    run: Run, make_instance: MakeInstance, lost: type
) -> None:
    """Guard against a resent command that runs twice because it has a new key."""
    fake = make_instance()
    repeated = command_reply(ResultCode.COMMAND_REPEATED, outcome={'held': 1})
    set_caller_addresses(fake, fake).set_replies('POST', COMMAND, lost, repeated)
    result = command(run, fake)
    assert result.exit_code == 0
    assert result.out == '{"held": 1}\n'
    first, second = fake.posted_bodies(COMMAND)
    assert first == second


@pytest.mark.parametrize(
    ('after', 'exit_code'),
    [
        (ResultCode.KEY_EXPIRED, 4),
        (ResultCode.OVERLOADED, 4),
        (ResultCode.FENCED, 4),
        (ResultCode.CLAIM_PENDING, 4),
        (ResultCode.INTERNAL_ERROR, 4),
        (ResultCode.KEY_REUSED, 1),
        (ResultCode.COMMAND_RAN, 0),
    ],
)
@pytest.mark.parametrize('kind', ['command', 'error'])
def test_refusal_after_a_lost_reply_is_unknown_unless_definite(
    run: Run, make_instance: MakeInstance, after: ResultCode, exit_code: int, kind: str
) -> None:
    """Guard against reporting `not run` when an earlier attempt may have run the command."""
    fake = make_instance()
    reply: Any = command_reply(after)
    if kind == 'error' and after is not ResultCode.COMMAND_RAN:
        reply = ErrorReply(after, RESULTS[after].run_status, '')
    set_caller_addresses(fake, fake).set_replies('POST', COMMAND, CloseWithoutReply, reply)
    assert command(run, fake).exit_code == exit_code


def test_command_lost_everywhere_is_unknown(run: Run, make_instance: MakeInstance) -> None:
    """Guard against reporting `not reachable` for a command that was sent."""
    fake = make_instance()
    set_caller_addresses(fake, fake, closed_address()).set_replies(
        'POST', COMMAND, CloseWithoutReply
    )
    result = command(run, fake)
    assert result.exit_code == 4
    assert len(set(fake.posted_bodies(COMMAND))) == 1
    assert '--key ' in result.err


def test_unknown_outcome_is_not_retried(run: Run, make_instance: MakeInstance) -> None:
    """Guard against repeated retries of a command whose claim has no recorded outcome."""
    fake = make_instance()
    for code in (ResultCode.CLAIM_PENDING, ResultCode.OUTCOME_UNKNOWN):
        fake.received_requests.clear()
        set_caller_addresses(fake, fake).set_replies('POST', COMMAND, command_reply(code))
        assert command(run, fake).exit_code == 4
        assert len(fake.posted_bodies(COMMAND)) == 1


def test_command_uses_the_key_given_by_options(run: Run, make_instance: MakeInstance) -> None:
    """Guard against a manual resend that runs the command twice because it has a new key."""
    fake = make_instance()
    set_caller_addresses(fake, fake).set_replies(
        'POST', COMMAND, command_reply(ResultCode.COMMAND_RAN)
    )
    result = command(run, fake, '--key', 'k1', '--key-issued-at-ms', '17')
    assert result.exit_code == 0
    request = decode_json(fake.posted_bodies(COMMAND)[0], CommandRequest)
    assert (request.idempotency_key, request.key_issued_at_ms) == ('k1', 17)
    assert command(run, fake, '--key', 'k1').exit_code == 2


def test_unreachable_addresses_exit_as_not_reachable(run: Run, make_instance: MakeInstance) -> None:
    """Guard against reporting an unknown outcome when nothing was sent."""
    fake = make_instance()
    set_caller_addresses(fake, closed_address())
    for send in (query, command):
        assert send(run, fake).exit_code == 5
        assert send(run, closed_address()).exit_code == 5


def test_trickling_reply_times_out(
    run: Run, make_instance: MakeInstance, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a sender that blocks the command line by sending byte by byte."""
    monkeypatch.setattr(callers, 'ANSWER_GRACE_MS', 10)
    monkeypatch.setattr(transport, 'CONNECT_TIMEOUT_MS', 100)
    monkeypatch.setattr(transport, 'WAITING_NOTICE_DELAY_S', 0.0)
    fake = make_instance()
    set_caller_addresses(fake, fake).set_replies('POST', QUERY, TricklingReply)
    result = query(run, fake, '--deadline-ms', '50')
    assert result.exit_code == 4
    assert 'arrived too slowly' in result.err
    assert f'Waiting for {fake.address}' in result.err


@pytest.mark.parametrize('exit_code', [0, 3, 1, 4, 5])
def test_json_output_is_a_single_document(
    run: Run, make_instance: MakeInstance, exit_code: int
) -> None:
    """Guard against JSON output that a program cannot parse."""
    fake = make_instance()
    reply = {
        0: complete(),
        3: query_reply(ResultCode.PARTIAL),
        1: query_reply(ResultCode.OVERLOADED),
        4: CloseWithoutReply,
        5: None,
    }[exit_code]
    set_caller_addresses(fake, fake if exit_code != 5 else closed_address()).set_replies(
        'POST', QUERY, reply
    )
    result = query(run, fake, '--json')
    assert result.exit_code == exit_code
    assert isinstance(result.document, dict)
    if exit_code == 0:
        decode_json(result.out.encode(), QueryReply)


def test_addresses_are_fetched_from_the_next_instance(
    run: Run, make_instance: MakeInstance
) -> None:
    """Guard against a caller that gets no addresses because one instance has stopped."""
    first, second = make_instance(), make_instance()
    first.set_replies('GET', ADDRESSES, CloseWithoutReply)
    set_caller_addresses(second, second)
    at_options = ('--at', closed_address(), '--at', first.address, '--at', second.address)
    result = run('addresses', '--caller', 'yard & co', *at_options, '--json')
    assert result.exit_code == 0
    assert result.document['keep_ms'] == 5000
    assert second.received_requests[0].target == '/v1/addresses?caller=yard+%26+co'


@pytest.mark.parametrize(
    'arguments',
    [
        ('query', 'ledger', '{', '--at', '127.0.0.1:1', '--caller', 'yard'),
        ('query', 'ledger', '{}', '--at', 'localhost:1', '--caller', 'yard'),
        ('query', 'ledger', '{}', '--caller', 'yard'),
        ('query', 'l', '{}', '--at', '127.0.0.1:1', '--caller', 'y', '--priority', 'first'),
        ('explain', '7'),
        ('explain', 'conflicts'),
    ],
)
def test_usage_mistake_exits_with_code_2(run: Run, arguments: tuple[str, ...]) -> None:
    """Guard against sending a request for a command line with mistakes."""
    assert run(*arguments).exit_code == 2


def test_every_result_code_is_explained(run: Run) -> None:
    """Guard against a result code without an explanation."""
    for code, info in RESULTS.items():
        for text in (str(int(code)), code.name.lower()):
            result = run('explain', text)
            assert result.exit_code == 0
            assert info.summary in result.out
    assert json.loads(run('explain', '501', '--json').out)['exit_code'] == 6


STORAGE = 'pistachioloft_daemon.storage'


def test_data_check_without_the_daemon_package_is_refused(
    run: Run, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a traceback where the daemon package is not installed."""
    monkeypatch.setitem(sys.modules, STORAGE, None)
    result = run('data', 'check', str(tmp_path))
    assert result.exit_code == 1
    assert 'pistachioloft-daemon is not installed' in result.err


@dataclass(frozen=True)
class _Problem:
    file: str = 'log-1.seg'
    offset_bytes: int = 40
    detail: str = 'checksum differs'


@dataclass(frozen=True)
class _Report:
    problems: tuple[_Problem, ...]
    cluster_id: str = 'c'
    member_id: str = 'e1-x'
    term: int = 3
    snapshot_index: int = 0
    last_index: int = 8
    entry_count: int = 8
    segment_count: int = 1
    torn_bytes: int = 7


@pytest.mark.parametrize(
    ('folder_report', 'exit_code', 'text'),
    [
        (_Report(()), 0, 'No problems.'),
        (_Report((_Problem(),)), 1, 'log-1.seg: offset 40: checksum differs'),
        (OSError('another process uses the folder'), 1, 'another process uses the folder'),
    ],
)
def test_data_check_names_file_and_offset(
    run: Run,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    folder_report: Any,
    exit_code: int,
    text: str,
) -> None:
    """Guard against a damaged or unreadable data folder that is reported as undamaged."""

    def check_folder(folder: str) -> Any:
        assert folder == str(tmp_path)
        if isinstance(folder_report, OSError):
            raise folder_report
        return folder_report

    module = types.ModuleType(STORAGE)
    monkeypatch.setattr(module, 'check_folder', check_folder, raising=False)
    monkeypatch.setattr(module, 'StorageError', OSError, raising=False)
    monkeypatch.setitem(sys.modules, STORAGE, module)
    result = run('data', 'check', str(tmp_path))
    assert result.exit_code == exit_code
    assert text in result.out + result.err
