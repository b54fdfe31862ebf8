"""Actions of the soft state."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..connection.actions import LogDecision

if TYPE_CHECKING:
    from ..messages.crash import CrashReport, SuccessReport
    from ..messages.endpoint import AnnounceReply
    from ..messages.peer import RelayAnnouncement


@dataclass(frozen=True, slots=True)
class ReplyAnnouncement:
    """Answer the endpoint that announced itself."""

    reply: AnnounceReply


@dataclass(frozen=True, slots=True)
class SendRelay:
    """Pass an announcement to the instance that owns the endpoint."""

    instance: str
    relay: RelayAnnouncement


@dataclass(frozen=True, slots=True)
class PullAgain:
    """Pull from a peer at once, since its last reply was not its whole state."""

    instance: str


@dataclass(frozen=True, slots=True)
class EndpointChanged:
    """Rebuild the view: an endpoint is new, drains, moved or has a new incarnation."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class CrashLearned:
    """Hand a crash report of another instance to the suspects."""

    report: CrashReport


@dataclass(frozen=True, slots=True)
class SuccessLearned:
    """Hand a success report of another instance to the suspects."""

    report: SuccessReport


MembershipAction = (
    ReplyAnnouncement
    | SendRelay
    | PullAgain
    | EndpointChanged
    | CrashLearned
    | SuccessLearned
    | LogDecision
)
