"""Numbered result codes and the errors that carry them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, StrEnum


class RunStatus(StrEnum):
    """State whether a request ran."""

    RAN = 'ran'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class ResultCode(IntEnum):
    """Number every result that the system can return."""

    COMPLETE = 0
    PARTIAL = 1
    COMMAND_RAN = 2
    COMMAND_REPEATED = 3
    ACCEPTED = 4
    ACCEPTED_REPEATED = 5
    MALFORMED = 100
    UNKNOWN_FIELD = 101
    WRONG_TYPE = 102
    OUT_OF_RANGE = 103
    TOO_LARGE = 104
    UNKNOWN_CALLER = 105
    UNKNOWN_COLLECTION = 106
    UNKNOWN_SHARD = 107
    SLOW_SENDER = 108
    UNKNOWN_PATH = 109
    UNKNOWN_INSTANCE = 110
    UNKNOWN_SERVICE = 111
    PRIORITY_NOT_ALLOWED = 112
    UNKNOWN_KEY = 113
    OVERLOADED = 200
    DEADLINE_TOO_SHORT = 201
    FENCED = 202
    STOPPING = 203
    NO_ENDPOINT = 204
    NO_QUORUM = 205
    TOO_MANY_CONNECTIONS = 206
    NOT_STARTED = 207
    CANCELLED = 208
    ALLOTMENT_USED = 209
    CONDEMNED = 300
    KEY_EXPIRED = 301
    KEY_REUSED = 302
    OUTCOME_UNKNOWN = 400
    CLAIM_PENDING = 401
    NO_ANSWER = 402
    CONFLICT = 501
    INVALID_CONFIGURATION = 502
    SUBMIT_UNKNOWN = 503
    INTERNAL_ERROR = 900


@dataclass(frozen=True, slots=True)
class ResultInfo:
    """Describe one result code; a request with a final result is not to be resent."""

    code: ResultCode
    run_status: RunStatus
    http_status: int
    final: bool
    summary: str


_RAN = RunStatus.RAN
_NOT_RUN = RunStatus.NOT_RUN
_UNKNOWN = RunStatus.UNKNOWN

_ROWS: tuple[tuple[ResultCode, RunStatus, int, bool, str], ...] = (
    (ResultCode.COMPLETE, _RAN, 200, True, 'The answer covers every shard of its snapshot.'),
    (ResultCode.PARTIAL, _RAN, 200, True, 'The answer lacks the shards that it names.'),
    (ResultCode.COMMAND_RAN, _RAN, 200, True, 'The command ran once.'),
    (
        ResultCode.COMMAND_REPEATED,
        _RAN,
        200,
        True,
        'The command ran earlier; this is its recorded outcome.',
    ),
    (ResultCode.ACCEPTED, _RAN, 200, True, 'The change is accepted by a quorum.'),
    (
        ResultCode.ACCEPTED_REPEATED,
        _RAN,
        200,
        True,
        'The change was accepted earlier; this is its first outcome.',
    ),
    (ResultCode.MALFORMED, _NOT_RUN, 400, True, 'The request is not valid JSON.'),
    (ResultCode.UNKNOWN_FIELD, _NOT_RUN, 400, True, 'The request has an unknown field.'),
    (ResultCode.WRONG_TYPE, _NOT_RUN, 400, True, 'A field is missing or has the wrong type.'),
    (ResultCode.OUT_OF_RANGE, _NOT_RUN, 400, True, 'A field is out of its range.'),
    (ResultCode.TOO_LARGE, _NOT_RUN, 413, True, 'The request is too large.'),
    (ResultCode.UNKNOWN_CALLER, _NOT_RUN, 403, True, 'The inventory has no such caller.'),
    (ResultCode.UNKNOWN_COLLECTION, _NOT_RUN, 404, True, 'The inventory has no such collection.'),
    (ResultCode.UNKNOWN_SHARD, _NOT_RUN, 404, True, 'The snapshot has no such shard.'),
    (ResultCode.SLOW_SENDER, _NOT_RUN, 408, True, 'The request arrived too slowly.'),
    (ResultCode.UNKNOWN_PATH, _NOT_RUN, 404, True, 'There is no such path or method.'),
    (ResultCode.UNKNOWN_INSTANCE, _NOT_RUN, 404, True, 'The inventory has no such instance.'),
    (ResultCode.UNKNOWN_SERVICE, _NOT_RUN, 404, True, 'The inventory has no such service.'),
    (
        ResultCode.PRIORITY_NOT_ALLOWED,
        _NOT_RUN,
        403,
        True,
        'The rules do not allow the caller this priority class.',
    ),
    (ResultCode.UNKNOWN_KEY, _NOT_RUN, 401, True, 'No organisation holds the key.'),
    (ResultCode.OVERLOADED, _NOT_RUN, 503, False, 'The system is at its capacity.'),
    (
        ResultCode.DEADLINE_TOO_SHORT,
        _NOT_RUN,
        503,
        False,
        'The deadline cannot be met, so nothing was started.',
    ),
    (
        ResultCode.FENCED,
        _NOT_RUN,
        503,
        False,
        'This instance cannot confirm its configuration; use one of the given addresses.',
    ),
    (
        ResultCode.STOPPING,
        _NOT_RUN,
        503,
        False,
        'This instance is stopping; use one of the given addresses.',
    ),
    (ResultCode.NO_ENDPOINT, _NOT_RUN, 503, False, 'No endpoint can take the request.'),
    (ResultCode.NO_QUORUM, _NOT_RUN, 503, False, 'The voters cannot confirm the request.'),
    (
        ResultCode.TOO_MANY_CONNECTIONS,
        _NOT_RUN,
        503,
        False,
        'This instance has no room for more requests.',
    ),
    (
        ResultCode.NOT_STARTED,
        _NOT_RUN,
        503,
        False,
        'The endpoint proved that it did not start the request.',
    ),
    (ResultCode.CANCELLED, _NOT_RUN, 499, False, 'The caller left before the request was started.'),
    (
        ResultCode.ALLOTMENT_USED,
        _NOT_RUN,
        429,
        False,
        'The organisation has used up its allotment.',
    ),
    (
        ResultCode.CONDEMNED,
        _NOT_RUN,
        422,
        True,
        'The request is suspected of crashing endpoints and is refused.',
    ),
    (
        ResultCode.KEY_EXPIRED,
        _NOT_RUN,
        409,
        True,
        'The idempotency key is outside its lifetime.',
    ),
    (
        ResultCode.KEY_REUSED,
        _NOT_RUN,
        409,
        True,
        'The idempotency key was used for another request.',
    ),
    (
        ResultCode.OUTCOME_UNKNOWN,
        _UNKNOWN,
        504,
        False,
        'The request was handed to an endpoint and its outcome is unknown.',
    ),
    (
        ResultCode.CLAIM_PENDING,
        _UNKNOWN,
        409,
        False,
        'Another attempt with this idempotency key has no recorded outcome yet.',
    ),
    (ResultCode.NO_ANSWER, _UNKNOWN, 504, False, 'No endpoint answered before the deadline.'),
    (
        ResultCode.CONFLICT,
        _NOT_RUN,
        409,
        True,
        'The configuration changed since the version that the operator saw.',
    ),
    (
        ResultCode.INVALID_CONFIGURATION,
        _NOT_RUN,
        422,
        True,
        'The configuration has mistakes; all are listed.',
    ),
    (
        ResultCode.SUBMIT_UNKNOWN,
        _UNKNOWN,
        504,
        False,
        'The change may be accepted; resend it with the same command id.',
    ),
    (ResultCode.INTERNAL_ERROR, _UNKNOWN, 500, False, 'The instance failed; see its log.'),
)

RESULTS: dict[ResultCode, ResultInfo] = {row[0]: ResultInfo(*row) for row in _ROWS}


class CodedError(Exception):
    """Report a result code and its detail to the sender of a request."""

    def __init__(self, code: ResultCode, detail: str, retry_after_ms: int | None = None) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail
        self.retry_after_ms = retry_after_ms
