"""Events that are the input of consensus."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...messages.agreement import AgreementMessage, SnapshotMeta

ADD_LEARNER = 'add_learner'
PROMOTE = 'promote'
REMOVE = 'remove'


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """Change one member: add it as a learner, promote it to voter or remove it."""

    kind: str
    member: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Report that time has passed."""


@dataclass(frozen=True, slots=True)
class Received:
    """Deliver a message from another member."""

    sender: str
    message: AgreementMessage


@dataclass(frozen=True, slots=True)
class Propose:
    """Propose a command; `time_ms` is the wall clock of the proposing instance."""

    proposal_id: str
    payload: bytes
    time_ms: int


@dataclass(frozen=True, slots=True)
class ProposeBatch:
    """Propose several commands that are persisted together."""

    proposals: tuple[Propose, ...]


@dataclass(frozen=True, slots=True)
class ChangeMembership:
    """Propose a membership change."""

    proposal_id: str
    change: MembershipChange
    time_ms: int


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Transfer the leadership to a voter, by default to the most up-to-date one."""

    target: str | None = None


@dataclass(frozen=True, slots=True)
class Compacted:
    """Report that a durable snapshot covers the log up to its index."""

    snapshot: SnapshotMeta


@dataclass(frozen=True, slots=True)
class SnapshotInstalled:
    """Report that a snapshot of the leader is durable and loaded here."""

    snapshot: SnapshotMeta


Event = (
    Tick
    | Received
    | Propose
    | ProposeBatch
    | ChangeMembership
    | TransferLeadership
    | Compacted
    | SnapshotInstalled
)
