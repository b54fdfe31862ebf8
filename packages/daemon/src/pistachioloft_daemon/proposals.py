"""Send commands to the leader and wait for their outcome."""

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
    SetEvacuation,
    SubmitConfiguration,
)
from pistachioloft_core.messages.proposal import ProposeReply, ProposeRequest

from .loop_timers import monotonic_ms

if TYPE_CHECKING:
    from .voter import Voter

logger = logging.getLogger(__name__)

PREFIX = '[agreement]'
# A lost message delays a command this long; a leader election takes up to about four times that.
RESEND_MS = 300.0
PENDING_LIMIT_COUNT = 2048

OutcomeCallback = Callable[[CommandOutcome | None], None]
SendCallback = Callable[[str, object], bool]


@dataclass(frozen=True, slots=True)
class PendingCommand:
    """Hold a command until its outcome is known or its deadline has passed."""

    request: ProposeRequest
    command: AcceptedCommand
    callback: OutcomeCallback
    deadline_ms: float
    resend_at_ms: float
    attempt_count: int


class Proposals:
    """Hold the commands of this instance whose outcome is not known yet."""

    def __init__(
        self, instance: str, voters: Callable[[], tuple[str, ...]], send: SendCallback
    ) -> None:
        self.instance = instance
        self.voters = voters
        self.send = send
        self.voter: Voter | None = None
        self.leader: str | None = None
        self.pending: dict[str, PendingCommand] = {}

    def propose(
        self,
        proposal_id: str,
        command: AcceptedCommand,
        timeout_ms: float,
        callback: OutcomeCallback,
    ) -> None:
        """Propose a command; the callback receives its outcome, or None after the timeout."""
        if len(self.pending) >= PENDING_LIMIT_COUNT:
            callback(None)
            return
        now_ms = monotonic_ms()
        request = _make_request(proposal_id, command)
        pending = PendingCommand(request, command, callback, now_ms + timeout_ms, now_ms, 0)
        self.pending[proposal_id] = pending
        self._send(pending, now_ms)

    def on_request(self, sender: str, request: ProposeRequest) -> None:
        """Propose another instance's command if this instance leads, else reply with a hint."""
        voter = self.voter
        command = _requested_command(request)
        if voter is None or command is None or not voter.is_leader():
            hint = self.leader if voter is None else voter.leader_instance()
            self.send(sender, ProposeReply(request.proposal_id, None, hint))
            return

        def reply(outcome: CommandOutcome | None) -> None:
            self.send(sender, ProposeReply(request.proposal_id, outcome, voter.leader_instance()))

        voter.propose(f'{sender}/{request.proposal_id}', command, reply)

    def on_reply(self, reply: ProposeReply) -> None:
        """Report an outcome, or resend the command at once to the leader in the hint."""
        pending = self.pending.get(reply.proposal_id)
        if pending is None:
            return
        if reply.outcome is not None:
            del self.pending[reply.proposal_id]
            pending.callback(reply.outcome)
            return
        if reply.leader_hint is not None and reply.leader_hint != self.leader:
            self.leader = reply.leader_hint
            self._send(pending, monotonic_ms())

    def tick(self, now_ms: float) -> None:
        """Resend commands without a reply and expire those past their deadline."""
        for proposal_id, pending in list(self.pending.items()):
            if now_ms >= pending.deadline_ms:
                del self.pending[proposal_id]
                pending.callback(None)
            elif now_ms >= pending.resend_at_ms:
                self._send(pending, now_ms)

    def _send(self, pending: PendingCommand, now_ms: float) -> None:
        proposal_id = pending.request.proposal_id
        voters = self.voters()
        target = self.leader
        if pending.attempt_count >= 2 or target not in voters:
            # The known leader does not reply or is no voter, so try each voter in turn.
            target = voters[pending.attempt_count % len(voters)] if voters else None
        self.pending[proposal_id] = PendingCommand(
            pending.request,
            pending.command,
            pending.callback,
            pending.deadline_ms,
            now_ms + RESEND_MS,
            pending.attempt_count + 1,
        )
        if target is not None:
            self.send(target, pending.request)


def _make_request(proposal_id: str, command: AcceptedCommand) -> ProposeRequest:
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
        case SetEvacuation():
            return ProposeRequest(proposal_id, evacuation=command)
    raise TypeError(f'{type(command).__name__} is not proposed by instances')


def _requested_command(request: ProposeRequest) -> AcceptedCommand | None:
    commands = (
        request.submit,
        request.drain,
        request.open_claim,
        request.close_claim,
        request.routes,
        request.evacuation,
    )
    return next((command for command in commands if command is not None), None)
