"""Actions that consensus returns for its adapter, to be completed in order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...messages.agreement import AgreementMessage, HardState, LogEntry

REASON_NOT_LEADER = 'not_leader'
REASON_NO_LEASE = 'no_lease'
REASON_TRANSFERRING = 'transferring'
REASON_CHANGE_PENDING = 'change_pending'
REASON_INVALID_CHANGE = 'invalid_change'


@dataclass(frozen=True, slots=True)
class Persist:
    """Persist the hard state, then the truncation, then the entries."""

    hard_state: HardState | None
    truncate_from: int | None
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a member; it may be lost."""

    to: str
    message: AgreementMessage


@dataclass(frozen=True, slots=True)
class Proposed:
    """Report the term and index of a proposal in the log, where it is not yet committed."""

    proposal_id: str
    term: int
    index: int


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply committed entries; each entry is passed once, in order."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class Rejected:
    """Report that a proposal was not appended to the log."""

    proposal_id: str
    leader_hint: str | None
    reason: str


@dataclass(frozen=True, slots=True)
class SendSnapshot:
    """Send the newest snapshot to a member, unless a transfer to it is running."""

    to: str


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """Report the role, term and known leader of this member."""

    role: str
    term: int
    leader: str | None


Action = Persist | Send | Proposed | Apply | Rejected | SendSnapshot | RoleChanged
