"""Define the actions that the request functions return for the adapter to apply."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages.accepted import CloseClaim, OpenClaim
    from ..messages.peer import Attempt
    from ..messages.public import CommandReply, QueryReply


@dataclass(frozen=True, slots=True)
class SendAttempts:
    """Send attempts to the owner of their endpoints."""

    owner: str
    attempts: tuple[Attempt, ...]


@dataclass(frozen=True, slots=True)
class CancelAttempts:
    """Withdraw attempts from the owner that received them."""

    owner: str
    attempt_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Call the timer function of the request at a time, in addition to earlier wake-ups."""

    time_ms: float


@dataclass(frozen=True, slots=True)
class Finished:
    """Send the caller its only reply."""

    reply: QueryReply | CommandReply


@dataclass(frozen=True, slots=True)
class Propose:
    """Ask the leader to commit a claim; its outcome carries the proposal id."""

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
