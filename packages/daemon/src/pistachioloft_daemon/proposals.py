"""Hand commands to the leader and wait for their outcome."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pistachioloft_core.messages.accepted import (
    AcceptedCommand,
    AcceptRoutes,
    CloseClaim,
    CommandOutcome,
    DrainInstance,
    OpenClaim,
    SubmitConfiguration,
)
from pistachioloft_core.messages.proposal import ProposeReply, ProposeRequest

from .loop_timers import monotonic_ms

if TYPE_CHECKING:
    from .voter import Voter

logger = logging.getLogger(__name__)

PREFIX = '[agreement]'
# A lost message costs this long; a new leader is elected within about four of them.
RESEND_MS = 300.0
WAITING_LIMIT = 2048

OutcomeCallback = Callable[[CommandOutcome | None], None]
Send = Callable[[str, object], bool]


@dataclass(frozen=True, slots=True)
class Waiting:
    """Hold a command until its outcome is known or its time is over."""

    request: ProposeRequest
    command: AcceptedCommand
    callback: OutcomeCallback
    deadline_ms: float
    resend_at_ms: float
    attempt_count: int


class Proposals:
    """Hold the commands of this instance that wait for an outcome."""

    def __init__(self, instance: str, voters: Callable[[], tuple[str, ...]], send: Send) -> None:
        self.instance = instance
        self.voters = voters
        self.send = send
        self.voter: Voter | None = None
        self.leader: str | None = None
        self.waiting: dict[str, Waiting] = {}

    def propose(
        self,
        proposal_id: str,
        command: AcceptedCommand,
        timeout_ms: float,
        callback: OutcomeCallback,
    ) -> None:
        """Propose a command; the callback gets its outcome, or nothing in time."""
        if len(self.waiting) >= WAITING_LIMIT:
            callback(None)
            return
        now_ms = monotonic_ms()
        request = _request(proposal_id, command)
        waiting = Waiting(request, command, callback, now_ms + timeout_ms, now_ms, 0)
        self.waiting[proposal_id] = waiting
        self._send(waiting, now_ms)

    def on_request(self, sender: str, request: ProposeRequest) -> None:
        """Answer another instance's proposal if this instance leads."""
        voter = self.voter
        command = _command(request)
        if voter is None or command is None or not voter.is_leader():
            hint = self.leader if voter is None else voter.leader_instance()
            self.send(sender, ProposeReply(request.proposal_id, None, hint))
            return

        def reply(outcome: CommandOutcome | None) -> None:
            self.send(sender, ProposeReply(request.proposal_id, outcome, voter.leader_instance()))

        voter.propose(f'{sender}/{request.proposal_id}', command, reply)

    def on_reply(self, reply: ProposeReply) -> None:
        """Pass on an outcome, or follow the hint to the leader at once."""
        waiting = self.waiting.get(reply.proposal_id)
        if waiting is None:
            return
        if reply.outcome is not None:
            del self.waiting[reply.proposal_id]
            waiting.callback(reply.outcome)
            return
        if reply.leader_hint is not None and reply.leader_hint != self.leader:
            self.leader = reply.leader_hint
            self._send(waiting, monotonic_ms())

    def tick(self, now_ms: float) -> None:
        """Resend what has no answer and give up what is past its time."""
        for proposal_id, waiting in list(self.waiting.items()):
            if now_ms >= waiting.deadline_ms:
                del self.waiting[proposal_id]
                waiting.callback(None)
            elif now_ms >= waiting.resend_at_ms:
                self._send(waiting, now_ms)

    def _send(self, waiting: Waiting, now_ms: float) -> None:
        proposal_id = waiting.request.proposal_id
        voters = self.voters()
        target = self.leader
        if waiting.attempt_count >= 2 or target not in voters:
            # The known leader does not answer, so each voter is asked in turn.
            target = voters[waiting.attempt_count % len(voters)] if voters else None
        self.waiting[proposal_id] = Waiting(
            waiting.request,
            waiting.command,
            waiting.callback,
            waiting.deadline_ms,
            now_ms + RESEND_MS,
            waiting.attempt_count + 1,
        )
        if target is not None:
            self.send(target, waiting.request)


def _request(proposal_id: str, command: AcceptedCommand) -> ProposeRequest:
    match command:
        case SubmitConfiguration():
            return ProposeRequest(proposal_id, submit=command)
        case DrainInstance():
            return ProposeRequest(proposal_id, drain=command)
        case OpenClaim():
            return ProposeRequest(proposal_id, open_claim=command)
        case CloseClaim():
            return ProposeRequest(proposal_id, close_claim=command)
        case AcceptRoutes():
            return ProposeRequest(proposal_id, routes=command)
    raise TypeError(f'{type(command).__name__} is not proposed by instances')


def _command(request: ProposeRequest) -> AcceptedCommand | None:
    commands = (
        request.submit,
        request.drain,
        request.open_claim,
        request.close_claim,
        request.routes,
    )
    return next((command for command in commands if command is not None), None)
