"""Actions that the request decisions return to their adapter."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages.accepted import CloseClaim, OpenClaim
    from ..messages.peer import Attempt
    from ..messages.public import CommandReply, QueryReply


@dataclass(frozen=True, slots=True)
class SendAttempts:
    """Hand attempts to the owner of their endpoints."""

    owner: str
    attempts: tuple[Attempt, ...]


@dataclass(frozen=True, slots=True)
class CancelAttempts:
    """Withdraw attempts from the owner that was given them."""

    owner: str
    attempt_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Call the timer function of the request at a time; later calls add, none replaces."""

    time_ms: float


@dataclass(frozen=True, slots=True)
class Finished:
    """Give the caller its one reply."""

    reply: QueryReply | CommandReply


@dataclass(frozen=True, slots=True)
class Propose:
    """Ask the leader to commit a claim; the answer carries the proposal id."""

    proposal_id: str
    command: OpenClaim | CloseClaim


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Write one log line for a routing decision."""

    kind: str
    request_id: str
    text: str


RequestAction = SendAttempts | CancelAttempts | WakeAt | Finished | Propose | LogDecision

LOG_PLAN = 'plan'
LOG_HEDGE = 'hedge'
LOG_RETRY = 'retry'
LOG_REPLAN = 'replan'
LOG_REFUSAL = 'refusal'
LOG_DISPATCH = 'dispatch'
