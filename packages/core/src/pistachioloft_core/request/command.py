"""The course of one command: claim its key, dispatch it once, close the claim."""

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
from .observe import observe_failure, observe_success
from .plan import choose_endpoint
from .query_state import FINISH_BEFORE_MS
from .replies import NO_ENDPOINT_RETRY_MS, OVERLOAD_RETRY_MS, refuse_command

if TYPE_CHECKING:
    from ..messages.accepted import CommandOutcome
    from ..messages.peer import AttemptResult
    from ..messages.public import CommandRequest
    from ..process.endpoint_view import EndpointView
    from .routing import RoutingState

# A proposal without answer is repeated, since its leader may be lost; a new leader is
# elected within 1,200 ms.
PROPOSE_AGAIN_MS = 300.0
# A claim that cannot be closed for this long after the reply stays open.
LINGER_MS = 10_000.0
NO_QUORUM_RETRY_MS = 1_200
PENDING_RETRY_MS = 500


class Step(Enum):
    """Name what a command waits for."""

    CLAIM = 'claim'
    DISPATCHED = 'dispatched'
    CLOSING = 'closing'
    UNKNOWN = 'unknown'
    DONE = 'done'


class CommandState:
    """Hold one command from its claim until the claim is closed."""

    __slots__ = (
        'attempt',
        'close',
        'command_id',
        'content_digest',
        'ended',
        'endpoint',
        'finish_at_ms',
        'linger_until_ms',
        'open_count',
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
        self.finish_at_ms = deadline_ms - FINISH_BEFORE_MS
        self.linger_until_ms = deadline_ms + LINGER_MS
        self.urgent = urgent
        self.content_digest = digest
        self.step = Step.CLAIM
        self.suspected = False
        self.replied = False
        self.ended = False
        self.proposal_count = 0
        self.open_count = 0
        self.propose_at_ms = float('inf')
        self.close: CloseClaim | None = None
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
    """Check a command and propose its claim; `deadline_ms` is a time."""
    digest = content_digest(request.collection, request.shard, request.body)
    command = CommandState(request, command_id, deadline_ms, urgent, digest)
    judged = suspicion_level(routing.suspects, now_ms, request.caller, digest)
    command.suspected = judged is SuspicionLevel.SUSPECTED
    versions = routing.view.collections.get(request.collection)
    if judged is SuspicionLevel.CONDEMNED:
        detail = 'the request was in flight at crashes of two endpoints'
        return command, _refuse(command, ResultCode.CONDEMNED, detail)
    if versions is None:
        detail = f'the inventory has no collection {request.collection!r}'
        return command, _refuse(command, ResultCode.UNKNOWN_COLLECTION, detail)
    if not versions or request.shard not in versions[0].group_of:
        detail = f'the newest version has no shard {request.shard!r}'
        return command, _refuse(command, ResultCode.UNKNOWN_SHARD, detail)
    if now_ms >= command.finish_at_ms:
        detail = 'the deadline leaves no time to claim the key'
        return command, _refuse(command, ResultCode.DEADLINE_TOO_SHORT, detail, OVERLOAD_RETRY_MS)
    return command, [*_propose_open(routing, command, now_ms), WakeAt(command.finish_at_ms)]


def on_claim_outcome(
    routing: RoutingState,
    command: CommandState,
    now_ms: float,
    proposal_id: str,
    outcome: CommandOutcome | None,
) -> list[RequestAction]:
    """Take the answer to a proposal; without outcome it was not accepted."""
    if proposal_id.startswith(f'{command.command_id}/close/'):
        if outcome is not None and command.step is Step.CLOSING:
            command.step = Step.DONE
        return []
    if outcome is None or not proposal_id.startswith(f'{command.command_id}/open/'):
        return []
    if command.step is not Step.CLAIM:
        return _on_late_claim(command, now_ms, outcome)
    if outcome.claim_result == CLAIM_GRANTED:
        return _dispatch(routing, command, now_ms)
    return _on_claim_denied(command, now_ms, outcome)


def on_command_result(
    routing: RoutingState, command: CommandState, now_ms: float, result: AttemptResult
) -> list[RequestAction]:
    """Take the result of the dispatch; what belongs to another attempt is dropped."""
    attempt, endpoint = command.attempt, command.endpoint
    if attempt is None or endpoint is None or command.step not in (Step.DISPATCHED, Step.UNKNOWN):
        return []
    if result.attempt_id != attempt.attempt_id or result.endpoint != attempt.endpoint:
        return []
    if command.step is Step.DISPATCHED:
        record_closed(routing.observed, endpoint.endpoint)
    if result.outcome == OUTCOME_OK:
        observe_success(routing, endpoint, now_ms, command.sent_ms, result)
        on_success(
            routing.suspects,
            now_ms,
            SuccessReport(command.request.caller, command.content_digest, 0.0),
        )
        actions = _reply(command, ResultCode.COMMAND_RAN, 'the command ran', outcome=result.reply)
        return actions + _close(command, now_ms, ran=True, outcome=result.reply)
    observe_failure(routing, endpoint, now_ms, result)
    if result.outcome == OUTCOME_NOT_STARTED:
        # After an end that left the outcome open, a second result proves nothing.
        return [] if command.ended else _on_not_started(routing, command, now_ms, result)
    command.ended = True
    command.step = Step.UNKNOWN
    detail = f'{attempt.endpoint} was given the command: {result.detail or result.outcome}'
    return _reply_unknown(command, detail)


def on_command_timer(
    routing: RoutingState, command: CommandState, now_ms: float
) -> list[RequestAction]:
    """Repeat proposals without answer; at the deadline, reply with what is known."""
    if now_ms >= command.linger_until_ms:
        command.step = Step.DONE
    if command.step is Step.DONE:
        return []
    actions: list[RequestAction] = []
    if now_ms >= command.finish_at_ms:
        if command.step is Step.CLAIM:
            detail = 'the voters did not confirm the claim; nothing was handed to an endpoint'
            return _release(command, now_ms, ResultCode.NO_QUORUM, detail, NO_QUORUM_RETRY_MS)
        if command.step is Step.DISPATCHED and command.endpoint is not None:
            record_closed(routing.observed, command.endpoint.endpoint)
            command.step = Step.UNKNOWN
            detail = 'the command was handed over and has not been answered'
            return _reply_unknown(command, detail)
    if now_ms >= command.propose_at_ms:
        if command.step is Step.CLAIM:
            actions += _propose_open(routing, command, now_ms)
        elif command.step is Step.CLOSING:
            actions += _propose_close(command, now_ms)
    return actions


def cancel_command(
    routing: RoutingState, command: CommandState, now_ms: float
) -> list[RequestAction]:
    """Take note that the caller hung up; a command that was handed over goes on."""
    if command.replied:
        return []
    if command.step is Step.CLAIM:
        return _release(command, now_ms, ResultCode.CANCELLED, 'the caller left')
    return _reply_unknown(command, 'the caller left after the hand-over')


def is_done(command: CommandState) -> bool:
    """Tell whether the state can be dropped: replied, and the claim closed or given up."""
    return command.step is Step.DONE


def _on_claim_denied(
    command: CommandState, now_ms: float, outcome: CommandOutcome
) -> list[RequestAction]:
    claim = outcome.claim_result
    if claim == CLAIM_REPEATED:
        command.step = Step.DONE
        detail = 'the command ran earlier'
        return _reply(command, ResultCode.COMMAND_REPEATED, detail, outcome=outcome.claim_outcome)
    if claim == CLAIM_PENDING:
        detail = 'another attempt holds the key'
        actions = _refuse(command, ResultCode.CLAIM_PENDING, detail, PENDING_RETRY_MS)
        # The attempt that holds the key may be an earlier proposal of this one.
        return actions + (_close(command, now_ms, ran=False) if command.open_count > 1 else [])
    if claim == CLAIM_EXPIRED:
        detail = outcome.detail or 'the key is outside its lifetime'
        return _refuse(command, ResultCode.KEY_EXPIRED, detail)
    if claim == CLAIM_KEY_REUSED:
        detail = outcome.detail or 'the key was used for another request'
        return _refuse(command, ResultCode.KEY_REUSED, detail)
    detail = outcome.detail or 'the claim was not accepted'
    return _release(command, now_ms, ResultCode.NO_QUORUM, detail, NO_QUORUM_RETRY_MS)


def _on_late_claim(
    command: CommandState, now_ms: float, outcome: CommandOutcome
) -> list[RequestAction]:
    # The release may have been committed before this grant, and then it closed nothing.
    released = command.close is not None and not command.close.ran
    if outcome.claim_result == CLAIM_GRANTED and command.replied and released:
        return _close(command, now_ms, ran=False)
    return []


def _dispatch(routing: RoutingState, command: CommandState, now_ms: float) -> list[RequestAction]:
    request = command.request
    versions = routing.view.collections.get(request.collection, ())
    group = versions[0].group_of.get(request.shard) if versions else None
    if group is None:
        detail = f'the newest version no longer has the shard {request.shard!r}'
        return _release(command, now_ms, ResultCode.UNKNOWN_SHARD, detail)
    endpoint = choose_endpoint(routing, now_ms, group, command.tried, suspected=command.suspected)
    if endpoint is None:
        return _release_untaken(command, now_ms)
    learned = service_latency(routing.latencies, group.service)
    time_left_ms = command.finish_at_ms - now_ms
    if time_left_ms < learned.median_ms:
        detail = f'{time_left_ms:.0f} ms are left and the service needs {learned.median_ms:.0f} ms'
        code = ResultCode.DEADLINE_TOO_SHORT
        return _release(command, now_ms, code, detail, OVERLOAD_RETRY_MS)
    retry = bool(command.tried)
    if retry and not try_take_retry(routing.budget, now_ms):
        return _release_untaken(command, now_ms)
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
    command.step = Step.DISPATCHED
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
        return _close(command, now_ms, ran=False)
    return _dispatch(routing, command, now_ms)


def _release_untaken(command: CommandState, now_ms: float) -> list[RequestAction]:
    if command.retry_after_ms is not None:
        detail = 'every endpoint asked refused to start the command'
        return _release(command, now_ms, ResultCode.OVERLOADED, detail, command.retry_after_ms)
    if command.tried:
        detail = 'no endpoint asked could start the command'
        return _release(command, now_ms, ResultCode.NOT_STARTED, detail, NO_ENDPOINT_RETRY_MS)
    detail = f'no endpoint can take a command for {command.request.shard!r}'
    return _release(command, now_ms, ResultCode.NO_ENDPOINT, detail, NO_ENDPOINT_RETRY_MS)


def _release(
    command: CommandState,
    now_ms: float,
    code: ResultCode,
    detail: str,
    retry_after_ms: int | None = None,
) -> list[RequestAction]:
    actions = _refuse(command, code, detail, retry_after_ms)
    return actions + _close(command, now_ms, ran=False)


def _propose_open(
    routing: RoutingState, command: CommandState, now_ms: float
) -> list[RequestAction]:
    request = command.request
    command.open_count += 1
    command.proposal_count += 1
    command.propose_at_ms = now_ms + PROPOSE_AGAIN_MS
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


def _close(
    command: CommandState, now_ms: float, *, ran: bool, outcome: Any = None
) -> list[RequestAction]:
    request = command.request
    command.close = CloseClaim(
        request.caller, request.idempotency_key, command.command_id, ran, outcome
    )
    command.step = Step.CLOSING
    return _propose_close(command, now_ms)


def _propose_close(command: CommandState, now_ms: float) -> list[RequestAction]:
    assert command.close is not None
    command.proposal_count += 1
    command.propose_at_ms = now_ms + PROPOSE_AGAIN_MS
    proposal_id = f'{command.command_id}/close/{command.proposal_count}'
    return [Propose(proposal_id, command.close), WakeAt(command.propose_at_ms)]


def _refuse(
    command: CommandState, code: ResultCode, detail: str, retry_after_ms: int | None = None
) -> list[RequestAction]:
    command.replied = True
    command.step = Step.DONE
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


def _reply_unknown(command: CommandState, detail: str) -> list[RequestAction]:
    code = ResultCode.OUTCOME_UNKNOWN
    actions = _reply(command, code, detail, retry_after_ms=PENDING_RETRY_MS)
    return [*actions, WakeAt(command.linger_until_ms)]
