"""Run callers' queries and commands from arrival to reply."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pistachioloft_core.errors import RESULTS, CodedError, ResultCode
from pistachioloft_core.messages.public import (
    CommandReply,
    CommandRequest,
    QueryReply,
    QueryRequest,
)
from pistachioloft_core.request import actions as request_actions
from pistachioloft_core.request import admission, command, query
from pistachioloft_core.request.query_state import query_id_of
from pistachioloft_core.request.replies import refuse_command, refuse_query, resolve_urgent

from .loop_timers import monotonic_ms

if TYPE_CHECKING:
    from pistachioloft_core.messages.accepted import AcceptedCommand, CommandOutcome
    from pistachioloft_core.messages.peer import Attempt, AttemptResult
    from pistachioloft_core.request.command import CommandState
    from pistachioloft_core.request.query_state import QueryState
    from pistachioloft_core.request.routing import RoutingState

    from .loop_timers import LoopTimers

logger = logging.getLogger(__name__)

PREFIX = '[routing]'
DEADLINE_LIMIT_MS = 60_000
# Committing a claim takes one sync at a quorum, so a proposal that takes longer has no leader.
PROPOSAL_TIMEOUT_MS = 2000.0

ReplyCallback = Callable[[Any], None]


@dataclass(frozen=True, slots=True)
class RequestHooks:
    """Hold the callbacks through which requests reach the rest of the instance."""

    send_attempts: Callable[[str, tuple[Attempt, ...]], None]
    cancel_attempts: Callable[[str, tuple[str, ...]], None]
    propose: Callable[[str, AcceptedCommand, float, Callable[[CommandOutcome | None], None]], None]
    record_reply: Callable[[str], None]
    record_finished: Callable[[ResultCode, float], None]


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """Hold a request from its arrival until its reply."""

    request: QueryRequest | CommandRequest
    deadline_ms: float
    urgent: bool
    arrived_ms: float
    reply: ReplyCallback


class Requests:
    """Hold the requests in flight at this instance and apply the actions of their decisions."""

    def __init__(
        self,
        instance: str,
        incarnation: int,
        routing: RoutingState,
        timers: LoopTimers,
        hooks: RequestHooks,
    ) -> None:
        self.request_id_prefix = f'{instance}.{incarnation}'
        self.routing = routing
        self.timers = timers
        self.hooks = hooks
        self.admission = admission.AdmissionState()
        self.last_request_number = 0
        self.pending: dict[str, PendingRequest] = {}
        self.queries: dict[str, QueryState] = {}
        self.commands: dict[str, CommandState] = {}

    def in_flight_count(self) -> int:
        """Return the number of unanswered requests and of commands whose claim is not closed."""
        return len(self.pending) + len(self.commands)

    def start(self, request: QueryRequest | CommandRequest, reply: ReplyCallback) -> str:
        """Start a request and return its id; `reply` is called once."""
        now_ms = monotonic_ms()
        if not 0 < request.deadline_ms <= DEADLINE_LIMIT_MS:
            detail = f'deadline_ms must be 1 to {DEADLINE_LIMIT_MS}'
            raise CodedError(ResultCode.OUT_OF_RANGE, detail)
        urgent = resolve_urgent(self.routing.view, request)
        self.last_request_number += 1
        request_id = f'{self.request_id_prefix}.{self.last_request_number}'
        deadline_ms = now_ms + request.deadline_ms
        self.pending[request_id] = PendingRequest(request, deadline_ms, urgent, now_ms, reply)
        if isinstance(request, QueryRequest):
            admission_actions = admission.offer_query(
                self.admission, now_ms, request_id, urgent, deadline_ms
            )
            self._apply_actions(request_id, admission_actions)
        else:
            state, actions = command.start_command(
                self.routing, now_ms, request, request_id, deadline_ms, urgent
            )
            self.commands[request_id] = state
            self._apply_actions(request_id, actions)
        return request_id

    def cancel(self, request_id: str) -> None:
        """Cancel a request whose caller closed its connection."""
        now_ms = monotonic_ms()
        if request_id in self.queries:
            state = self.queries[request_id]
            self._apply_actions(request_id, query.cancel_query(self.routing, state, now_ms))
        elif request_id in self.commands:
            self._apply_actions(
                request_id,
                command.cancel_command(self.routing, self.commands[request_id], now_ms),
            )
        elif request_id in self.pending:
            request = self.pending[request_id].request
            assert isinstance(request, QueryRequest)
            self._finish(request_id, refuse_query(request, ResultCode.CANCELLED, 'caller left'))

    def on_owner_restarted(self, owner: str) -> None:
        """End the commands that were sent to the earlier process of an instance."""
        for request_id, state in list(self.commands.items()):
            self._apply_actions(request_id, command.on_owner_restarted(self.routing, state, owner))

    def on_results(self, results: tuple[AttemptResult, ...]) -> None:
        """Handle the results of attempts."""
        now_ms = monotonic_ms()
        for result in results:
            if result.results or result.reply is not None:
                self.hooks.record_reply(result.endpoint)
            admission.record_queue_wait(self.admission, now_ms, result)
            request_id = query_id_of(result.attempt_id)
            if request_id in self.queries:
                state = self.queries[request_id]
                self._apply_actions(
                    request_id, query.on_attempt_result(self.routing, state, now_ms, result)
                )
            elif request_id in self.commands:
                self._apply_actions(
                    request_id,
                    command.on_command_result(
                        self.routing, self.commands[request_id], now_ms, result
                    ),
                )

    def _on_timer(self, request_id: str, now_ms: float) -> None:
        if request_id in self.queries:
            self._apply_actions(
                request_id, query.on_timer(self.routing, self.queries[request_id], now_ms)
            )
        elif request_id in self.commands:
            self._apply_actions(
                request_id,
                command.on_command_timer(self.routing, self.commands[request_id], now_ms),
            )
        elif request_id in self.pending:
            self._apply_actions(request_id, admission.on_admission_timer(self.admission, now_ms))

    def _apply_actions(self, request_id: str, actions: list[Any]) -> None:
        for action in actions:
            match action:
                case request_actions.SendAttempts():
                    self.hooks.send_attempts(action.owner, action.attempts)
                case request_actions.CancelAttempts():
                    self.hooks.cancel_attempts(action.owner, action.attempt_ids)
                case request_actions.WakeAt():
                    self.timers.at(
                        action.time_ms, lambda now_ms: self._on_timer(request_id, now_ms)
                    )
                case request_actions.LogDecision():
                    logger.info(
                        '%s %s %s (%s): %s',
                        PREFIX,
                        action.kind,
                        request_id,
                        action.request_id,
                        action.text,
                    )
                case request_actions.Propose():
                    self._propose(request_id, action)
                case request_actions.Finished():
                    self._finish(request_id, action.reply)
                case admission.Admit():
                    self._admit(action.query_id)
                case admission.Refuse():
                    self._refuse(action)
        self._drop_done_command(request_id)

    def _admit(self, request_id: str) -> None:
        pending = self.pending[request_id]
        assert isinstance(pending.request, QueryRequest)
        state, actions = query.start_query(
            self.routing,
            monotonic_ms(),
            pending.request,
            request_id,
            pending.deadline_ms,
            pending.urgent,
        )
        self.queries[request_id] = state
        self._apply_actions(request_id, actions)

    def _refuse(self, action: admission.Refuse) -> None:
        pending = self.pending.get(action.query_id)
        if pending is None:
            return
        assert isinstance(pending.request, QueryRequest)
        self._finish(
            action.query_id,
            refuse_query(pending.request, action.code, action.detail, action.retry_after_ms),
        )

    def _propose(self, request_id: str, action: request_actions.Propose) -> None:
        def on_outcome(outcome: CommandOutcome | None) -> None:
            state = self.commands.get(request_id)
            if state is not None:
                self._apply_actions(
                    request_id,
                    command.on_claim_outcome(
                        self.routing, state, monotonic_ms(), action.proposal_id, outcome
                    ),
                )

        self.hooks.propose(action.proposal_id, action.command, PROPOSAL_TIMEOUT_MS, on_outcome)

    def _finish(self, request_id: str, reply: QueryReply | CommandReply) -> None:
        pending = self.pending.pop(request_id, None)
        if pending is None:
            return
        now_ms = monotonic_ms()
        self.queries.pop(request_id, None)
        self.hooks.record_finished(reply.result_code, now_ms - pending.arrived_ms)
        pending.reply(reply)
        if isinstance(pending.request, QueryRequest):
            admission_actions = admission.on_query_done(self.admission, now_ms, request_id)
            if admission_actions:
                self._apply_actions(request_id, admission_actions)

    def _drop_done_command(self, request_id: str) -> None:
        state = self.commands.get(request_id)
        if state is not None and command.is_done(state):
            del self.commands[request_id]


def build_refusal(
    request: QueryRequest | CommandRequest,
    code: ResultCode,
    detail: str,
    retry_after_ms: int | None = None,
) -> QueryReply | CommandReply:
    """Build the reply that refuses either kind of request."""
    assert RESULTS[code].run_status.value == 'not_run'
    if isinstance(request, QueryRequest):
        return refuse_query(request, code, detail, retry_after_ms)
    return refuse_command(request, code, detail, retry_after_ms)
