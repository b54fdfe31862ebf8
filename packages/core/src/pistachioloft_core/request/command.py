"""Run one command: claim its key, dispatch it at most once and close the claim."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

from ..codec import content_digest
from ..errors import RESULTS, ResultCode
from ..messages.accepted import (
    CLAIM_EXPIRED,
    CLAIM_GRANTED,
    CLAIM_KEY_REUSED,
    CLAIM_PENDING,
    CLAIM_REPEATED,
    CloseClaim,
    OpenClaim,
)
from ..messages.endpoint import KIND_COMMAND
from ..messages.peer import (
    OUTCOME_NOT_STARTED,
    OUTCOME_OK,
    Attempt,
    SuccessReport,
)
from ..messages.public import CommandReply
from ..process.budget import record_first_attempts, try_take_retry
from ..process.latency import service_latency
from ..process.observed import record_closed, record_sent
from ..process.suspects import SuspicionLevel, on_success, suspicion_level
from .actions import (
    LOG_DISPATCH,
    LOG_REFUSAL,
    LOG_RETRY,
    Finished,
    LogDecision,
    Propose,
    RequestAction,
    SendAttempts,
    WakeAt,
)
from .observe import record_attempt_failure, record_attempt_success
from .plan import choose_endpoint
from .query_state import FINISH_MARGIN_MS
from .replies import NO_ENDPOINT_RETRY_MS, OVERLOAD_RETRY_MS, refuse_command

if TYPE_CHECKING:
    from ..messages.accepted import CommandOutcome
    from ..messages.peer import AttemptResult
    from ..messages.public import CommandRequest
    from ..process.endpoint_view import EndpointView
    from .routing import RoutingState

# A proposal without an outcome is repeated after this time, since its leader may be lost; a new
# leader is elected within 1,200 ms.
PROPOSAL_RETRY_MS = 300.0
# A claim that cannot be closed within this time after the deadline stays open.
CLOSE_TIMEOUT_MS = 10_000.0
NO_QUORUM_RETRY_MS = 1_200
CLAIM_PENDING_RETRY_MS = 500


class CommandStep(Enum):
    """Enumerate the steps of a command."""

    CLAIM = 'claim'
    DISPATCHED = 'dispatched'
    CLOSING = 'closing'
    UNKNOWN = 'unknown'
    DONE = 'done'


class CommandState:
    """Hold one command from its claim until the claim is closed."""

    __slots__ = (
        'attempt',
        'close_claim',
        'close_until_ms',
        'command_id',
        'content_digest',
        'endpoint',
        'finish_at_ms',
        'has_unknown_end',
        'open_proposal_count',
        'proposal_count',
        'propose_at_ms',
        'replied',
        'request',
        'retry_after_ms',
        'sent_ms',
        'service',
        'step',
        'suspected',
        'tried',
        'urgent',
    )

    def __init__(
        self,
        request: CommandRequest,
        command_id: str,
        deadline_ms: float,
        urgent: bool,
        digest: str,
    ) -> None:
        self.request = request
        self.command_id = command_id
        self.finish_at_ms = deadline_ms - FINISH_MARGIN_MS
        self.close_until_ms = deadline_ms + CLOSE_TIMEOUT_MS
        self.urgent = urgent
        self.content_digest = digest
        self.step = CommandStep.CLAIM
        self.suspected = False
        self.replied = False
        self.has_unknown_end = False
        self.proposal_count = 0
        self.open_proposal_count = 0
        self.propose_at_ms = float('inf')
        self.close_claim: CloseClaim | None = None
        self.attempt: Attempt | None = None
        self.endpoint: EndpointView | None = None
        self.service = ''
        self.sent_ms = 0.0
        self.tried: set[str] = set()
        self.retry_after_ms: int | None = None


def start_command(
    routing: RoutingState,
    now_ms: float,
    request: CommandRequest,
    command_id: str,
    deadline_ms: float,
    urgent: bool,
) -> tuple[CommandState, list[RequestAction]]:
    """Check a command and propose its claim; `deadline_ms` is absolute."""
    digest = content_digest(request.collection, request.shard, request.body)
    command = CommandState(request, command_id, deadline_ms, urgent, digest)
    level = suspicion_level(routing.suspects, now_ms, request.caller, digest)
    command.suspected = level is SuspicionLevel.SUSPECTED
    versions = routing.view.collections.get(request.collection)
    if level is SuspicionLevel.CONDEMNED:
        detail = 'the request was in flight at crashes of two endpoints'
        return command, _refuse(command, ResultCode.CONDEMNED, detail)
    if versions is None:
        detail = f'the inventory has no collection {request.collection!r}'
        return command, _refuse(command, ResultCode.UNKNOWN_COLLECTION, detail)
    if not versions or request.shard not in versions[0].group_by_shard:
        detail = f'the newest version has no shard {request.shard!r}'
        return command, _refuse(command, ResultCode.UNKNOWN_SHARD, detail)
    if now_ms >= command.finish_at_ms:
        detail = 'the deadline leaves no time to claim the key'
        return command, _refuse(command, ResultCode.DEADLINE_TOO_SHORT, detail, OVERLOAD_RETRY_MS)
    return command, [*_propose_open_claim(routing, command, now_ms), WakeAt(command.finish_at_ms)]


def on_claim_outcome(
    routing: RoutingState,
    command: CommandState,
    now_ms: float,
    proposal_id: str,
    outcome: CommandOutcome | None,
) -> list[RequestAction]:
    """Handle the outcome of a proposal; None means that it was not accepted."""
    if proposal_id.startswith(f'{command.command_id}/close/'):
        if outcome is not None and command.step is CommandStep.CLOSING:
            command.step = CommandStep.DONE
        return []
    if outcome is None or not proposal_id.startswith(f'{command.command_id}/open/'):
        return []
    if command.step is not CommandStep.CLAIM:
        return _on_late_claim(command, now_ms, outcome)
    if outcome.claim_result == CLAIM_GRANTED:
        return _dispatch(routing, command, now_ms)
    return _on_claim_denied(command, now_ms, outcome)


def on_command_result(
    routing: RoutingState, command: CommandState, now_ms: float, result: AttemptResult
) -> list[RequestAction]:
    """Handle the result of the dispatch; results of other attempts are ignored."""
    attempt, endpoint = command.attempt, command.endpoint
    if (
        attempt is None
        or endpoint is None
        or command.step not in (CommandStep.DISPATCHED, CommandStep.UNKNOWN)
    ):
        return []
    if result.attempt_id != attempt.attempt_id or result.endpoint != attempt.endpoint:
        return []
    if command.step is CommandStep.DISPATCHED:
        record_closed(routing.observed, endpoint.endpoint)
    if result.outcome == OUTCOME_OK:
        record_attempt_success(routing, endpoint, now_ms, command.sent_ms, result)
        on_success(
            routing.suspects,
            now_ms,
            SuccessReport(command.request.caller, command.content_digest, 0.0),
        )
        actions = _reply(command, ResultCode.COMMAND_RAN, 'the command ran', outcome=result.reply)
        return actions + _close_claim(command, now_ms, ran=True, outcome=result.reply)
    record_attempt_failure(routing, endpoint, now_ms, result)
    if result.outcome == OUTCOME_NOT_STARTED:
        # Once a result left the outcome unknown, a later one proves nothing.
        return [] if command.has_unknown_end else _on_not_started(routing, command, now_ms, result)
    command.has_unknown_end = True
    command.step = CommandStep.UNKNOWN
    detail = f'{attempt.endpoint} was given the command: {result.detail or result.outcome}'
    return _reply_unknown(command, detail)


def on_command_timer(
    routing: RoutingState, command: CommandState, now_ms: float
) -> list[RequestAction]:
    """Repeat proposals without an outcome; at the deadline, reply with the known state."""
    if now_ms >= command.close_until_ms:
        command.step = CommandStep.DONE
    if command.step is CommandStep.DONE:
        return []
    actions: list[RequestAction] = []
    if now_ms >= command.finish_at_ms:
        if command.step is CommandStep.CLAIM:
            detail = 'the voters did not confirm the claim; nothing was handed to an endpoint'
            return _abort(command, now_ms, ResultCode.NO_QUORUM, detail, NO_QUORUM_RETRY_MS)
        if command.step is CommandStep.DISPATCHED and command.endpoint is not None:
            detail = 'the command was handed over and has not been answered'
            return _give_up(routing, command, command.endpoint, detail)
    if now_ms >= command.propose_at_ms:
        if command.step is CommandStep.CLAIM:
            actions += _propose_open_claim(routing, command, now_ms)
        elif command.step is CommandStep.CLOSING:
            actions += _propose_close_claim(command, now_ms)
    return actions


def on_owner_restarted(
    routing: RoutingState, command: CommandState, owner: str
) -> list[RequestAction]:
    """Reply at once if the process that the command was sent to has ended."""
    endpoint = command.endpoint
    if command.step is not CommandStep.DISPATCHED or endpoint is None or endpoint.owner != owner:
        return []
    # The new process cannot prove that the command was not started.
    command.has_unknown_end = True
    detail = f'{endpoint.endpoint} may have run the command, and {owner} has restarted'
    return _give_up(routing, command, endpoint, detail)


def cancel_command(
    routing: RoutingState, command: CommandState, now_ms: float
) -> list[RequestAction]:
    """Handle a caller that left; a command that was sent to an endpoint continues."""
    if command.replied:
        return []
    if command.step is CommandStep.CLAIM:
        return _abort(command, now_ms, ResultCode.CANCELLED, 'the caller left')
    return _reply_unknown(command, 'the caller left after the hand-over')


def is_done(command: CommandState) -> bool:
    """Return whether the command is finished, with its claim closed or abandoned."""
    return command.step is CommandStep.DONE


def _on_claim_denied(
    command: CommandState, now_ms: float, outcome: CommandOutcome
) -> list[RequestAction]:
    claim_status = outcome.claim_result
    if claim_status == CLAIM_REPEATED:
        command.step = CommandStep.DONE
        detail = 'the command ran earlier'
        return _reply(command, ResultCode.COMMAND_REPEATED, detail, outcome=outcome.claim_outcome)
    if claim_status == CLAIM_PENDING:
        detail = 'another attempt holds the key'
        actions = _refuse(command, ResultCode.CLAIM_PENDING, detail, CLAIM_PENDING_RETRY_MS)
        # The key may be held by an earlier proposal of this same command.
        return actions + (
            _close_claim(command, now_ms, ran=False) if command.open_proposal_count > 1 else []
        )
    if claim_status == CLAIM_EXPIRED:
        detail = outcome.detail or 'the key is outside its lifetime'
        return _refuse(command, ResultCode.KEY_EXPIRED, detail)
    if claim_status == CLAIM_KEY_REUSED:
        detail = outcome.detail or 'the key was used for another request'
        return _refuse(command, ResultCode.KEY_REUSED, detail)
    detail = outcome.detail or 'the claim was not accepted'
    return _abort(command, now_ms, ResultCode.NO_QUORUM, detail, NO_QUORUM_RETRY_MS)


def _on_late_claim(
    command: CommandState, now_ms: float, outcome: CommandOutcome
) -> list[RequestAction]:
    # If the release was committed before this grant, it closed no claim.
    was_released = command.close_claim is not None and not command.close_claim.ran
    if outcome.claim_result == CLAIM_GRANTED and command.replied and was_released:
        return _close_claim(command, now_ms, ran=False)
    return []


def _dispatch(routing: RoutingState, command: CommandState, now_ms: float) -> list[RequestAction]:
    request = command.request
    versions = routing.view.collections.get(request.collection, ())
    group = versions[0].group_by_shard.get(request.shard) if versions else None
    if group is None:
        detail = f'the newest version no longer has the shard {request.shard!r}'
        return _abort(command, now_ms, ResultCode.UNKNOWN_SHARD, detail)
    endpoint = choose_endpoint(routing, now_ms, group, command.tried, suspected=command.suspected)
    if endpoint is None:
        return _abort_undispatched(command, now_ms)
    latency = service_latency(routing.latencies, group.service)
    time_left_ms = command.finish_at_ms - now_ms
    if time_left_ms < latency.median_ms:
        detail = f'{time_left_ms:.0f} ms are left and the service needs {latency.median_ms:.0f} ms'
        code = ResultCode.DEADLINE_TOO_SHORT
        return _abort(command, now_ms, code, detail, OVERLOAD_RETRY_MS)
    retry = bool(command.tried)
    if retry and not try_take_retry(routing.budget, now_ms):
        return _abort_undispatched(command, now_ms)
    if not retry:
        record_first_attempts(routing.budget, now_ms, 1)
    command.tried.add(endpoint.endpoint)
    attempt = Attempt(
        f'{command.command_id}.{len(command.tried)}',
        routing.instance,
        endpoint.endpoint,
        KIND_COMMAND,
        request.caller,
        request.collection,
        versions[0].version,
        (request.shard,),
        request.body,
        command.content_digest,
        time_left_ms,
        command.urgent,
        False,
        request.idempotency_key,
    )
    command.attempt, command.endpoint, command.service = attempt, endpoint, group.service
    command.sent_ms = now_ms
    command.step = CommandStep.DISPATCHED
    record_sent(routing.observed, endpoint, now_ms)
    text = f'command on {request.shard} version {versions[0].version}: {endpoint.endpoint}'
    return [
        SendAttempts(endpoint.owner, (attempt,)),
        LogDecision(LOG_RETRY if retry else LOG_DISPATCH, request.request_id, text),
    ]


def _on_not_started(
    routing: RoutingState, command: CommandState, now_ms: float, result: AttemptResult
) -> list[RequestAction]:
    if result.retry_after_ms is not None:
        command.retry_after_ms = max(command.retry_after_ms or 0, result.retry_after_ms)
    if command.replied:
        return _close_claim(command, now_ms, ran=False)
    return _dispatch(routing, command, now_ms)


def _abort_undispatched(command: CommandState, now_ms: float) -> list[RequestAction]:
    if command.retry_after_ms is not None:
        detail = 'every endpoint asked refused to start the command'
        return _abort(command, now_ms, ResultCode.OVERLOADED, detail, command.retry_after_ms)
    if command.tried:
        detail = 'no endpoint asked could start the command'
        return _abort(command, now_ms, ResultCode.NOT_STARTED, detail, NO_ENDPOINT_RETRY_MS)
    detail = f'no endpoint can take a command for {command.request.shard!r}'
    return _abort(command, now_ms, ResultCode.NO_ENDPOINT, detail, NO_ENDPOINT_RETRY_MS)


def _abort(
    command: CommandState,
    now_ms: float,
    code: ResultCode,
    detail: str,
    retry_after_ms: int | None = None,
) -> list[RequestAction]:
    """Refuse the command and release its claim."""
    actions = _refuse(command, code, detail, retry_after_ms)
    return actions + _close_claim(command, now_ms, ran=False)


def _propose_open_claim(
    routing: RoutingState, command: CommandState, now_ms: float
) -> list[RequestAction]:
    request = command.request
    command.open_proposal_count += 1
    command.proposal_count += 1
    command.propose_at_ms = now_ms + PROPOSAL_RETRY_MS
    claim = OpenClaim(
        request.caller,
        request.idempotency_key,
        request.key_issued_at_ms,
        command.content_digest,
        command.command_id,
        routing.instance,
    )
    proposal_id = f'{command.command_id}/open/{command.proposal_count}'
    return [Propose(proposal_id, claim), WakeAt(command.propose_at_ms)]


def _close_claim(
    command: CommandState, now_ms: float, *, ran: bool, outcome: Any = None
) -> list[RequestAction]:
    request = command.request
    command.close_claim = CloseClaim(
        request.caller, request.idempotency_key, command.command_id, ran, outcome
    )
    command.step = CommandStep.CLOSING
    return _propose_close_claim(command, now_ms)


def _propose_close_claim(command: CommandState, now_ms: float) -> list[RequestAction]:
    assert command.close_claim is not None
    command.proposal_count += 1
    command.propose_at_ms = now_ms + PROPOSAL_RETRY_MS
    proposal_id = f'{command.command_id}/close/{command.proposal_count}'
    return [Propose(proposal_id, command.close_claim), WakeAt(command.propose_at_ms)]


def _refuse(
    command: CommandState, code: ResultCode, detail: str, retry_after_ms: int | None = None
) -> list[RequestAction]:
    command.replied = True
    command.step = CommandStep.DONE
    reply = refuse_command(command.request, code, detail, retry_after_ms)
    text = f'{code.name}: {detail}'
    return [LogDecision(LOG_REFUSAL, command.request.request_id, text), Finished(reply)]


def _reply(
    command: CommandState,
    code: ResultCode,
    detail: str,
    *,
    outcome: Any = None,
    retry_after_ms: int | None = None,
) -> list[RequestAction]:
    if command.replied:
        return []
    command.replied = True
    request = command.request
    status = RESULTS[code].run_status
    return [
        Finished(
            CommandReply(
                request.caller, request.request_id, code, status, detail, outcome, retry_after_ms
            )
        )
    ]


def _give_up(
    routing: RoutingState, command: CommandState, endpoint: EndpointView, detail: str
) -> list[RequestAction]:
    """Stop waiting for the result of a command that was sent to an endpoint."""
    record_closed(routing.observed, endpoint.endpoint)
    command.step = CommandStep.UNKNOWN
    return _reply_unknown(command, detail)


def _reply_unknown(command: CommandState, detail: str) -> list[RequestAction]:
    code = ResultCode.OUTCOME_UNKNOWN
    actions = _reply(command, code, detail, retry_after_ms=CLAIM_PENDING_RETRY_MS)
    return [*actions, WakeAt(command.close_until_ms)]
