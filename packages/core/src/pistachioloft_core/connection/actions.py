"""Actions that the connection and soft state modules return for the adapter to apply."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages.crash import CrashReport
    from ..messages.endpoint import SubRequest
    from ..messages.peer import Attempt, AttemptResult

DECISION_OPEN = 'open'
DECISION_CLOSE = 'close'
DECISION_SILENT = 'silent'
DECISION_PROBE = 'probe'
DECISION_RAMP = 'ramp'
DECISION_REFUSE = 'refuse'
DECISION_CRASH = 'crash'
DECISION_OWNER = 'owner'
DECISION_DRAIN = 'drain'
DECISION_LINK = 'link'


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection; `on_connection_opened` or `on_connection_closed` reports the outcome."""

    endpoint: str
    connection_id: str
    address: str


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close a connection; the adapter must confirm it by `on_connection_closed`."""

    endpoint: str
    connection_id: str


@dataclass(frozen=True, slots=True)
class SendSubRequest:
    """Send a sub-request on one connection."""

    connection_id: str
    endpoint: str
    address: str
    attempt: Attempt
    request: SubRequest


@dataclass(frozen=True, slots=True)
class SendCancel:
    """Cancel a sub-request by a request of its own, not on an owned connection."""

    endpoint: str
    address: str
    identity: str


@dataclass(frozen=True, slots=True)
class SendProbe:
    """Send a cancel of an unused identity; any HTTP reply is reported by `on_probe_reply`."""

    connection_id: str
    endpoint: str
    address: str
    identity: str


@dataclass(frozen=True, slots=True)
class Result:
    """Send the result of an attempt to its origin."""

    origin: str
    result: AttemptResult


@dataclass(frozen=True, slots=True)
class ReportCrash:
    """Report that a request was in flight at a crash."""

    report: CrashReport


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Call `on_timer` at this time; only the earliest wake is needed."""

    time_ms: float


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Log one decision about connections, attempts or ownership."""

    decision: str
    subject: str
    detail: str


OwnerAction = (
    OpenConnection
    | CloseConnection
    | SendSubRequest
    | SendCancel
    | SendProbe
    | Result
    | ReportCrash
    | WakeAt
    | LogDecision
)
