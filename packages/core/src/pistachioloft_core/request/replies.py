"""Build replies to refused requests, and check the priority of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import RESULTS, CodedError, ResultCode
from ..messages.public import (
    PRIORITY_CLASSES,
    URGENT,
    CommandReply,
    CommandRequest,
    QueryReply,
    QueryRequest,
)

if TYPE_CHECKING:
    from ..version.cluster_view import ClusterView

# Retry-after time where no endpoint is usable: a new or restarted one announces itself within it.
NO_ENDPOINT_RETRY_MS = 500
# Retry-after time at overload: queue wait and service time are shorter than this at normal load.
OVERLOAD_RETRY_MS = 100


def resolve_urgent(view: ClusterView, request: QueryRequest | CommandRequest) -> bool:
    """Return whether a request is urgent; raise `CodedError` if the rules do not allow it."""
    allowed = view.priorities.get(request.caller)
    if allowed is None:
        raise CodedError(
            ResultCode.UNKNOWN_CALLER, f'the inventory has no caller {request.caller!r}'
        )
    if request.collection not in view.collections:
        raise CodedError(
            ResultCode.UNKNOWN_COLLECTION, f'the inventory has no collection {request.collection!r}'
        )
    requested = request.priority if request.priority is not None else allowed
    if requested not in PRIORITY_CLASSES:
        raise CodedError(ResultCode.OUT_OF_RANGE, f'there is no priority class {requested!r}')
    if requested == URGENT and allowed != URGENT:
        raise CodedError(
            ResultCode.PRIORITY_NOT_ALLOWED,
            f'the rules give {request.caller!r} the class {allowed!r}',
        )
    return requested == URGENT


def refuse_query(
    request: QueryRequest, code: ResultCode, detail: str, retry_after_ms: int | None = None
) -> QueryReply:
    """Build the reply to a query that did not run."""
    return QueryReply(
        request.caller,
        request.request_id,
        code,
        RESULTS[code].run_status,
        detail,
        retry_after_ms=retry_after_ms,
    )


def refuse_command(
    request: CommandRequest, code: ResultCode, detail: str, retry_after_ms: int | None = None
) -> CommandReply:
    """Build the reply to a command that did not run or whose outcome is unknown."""
    return CommandReply(
        request.caller,
        request.request_id,
        code,
        RESULTS[code].run_status,
        detail,
        retry_after_ms=retry_after_ms,
    )
