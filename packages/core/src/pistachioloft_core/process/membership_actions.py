"""Actions that result from changes of the soft state."""

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
    """Reply to the endpoint that announced itself."""

    reply: AnnounceReply


@dataclass(frozen=True, slots=True)
class SendRelay:
    """Relay an announcement to the instance that owns the endpoint."""

    instance: str
    relay: RelayAnnouncement


@dataclass(frozen=True, slots=True)
class PullAgain:
    """Pull from a peer again at once, since its last reply was incomplete."""

    instance: str


@dataclass(frozen=True, slots=True)
class EndpointChanged:
    """Rebuild the view: an endpoint is new, drains, moved or has a new incarnation."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class InstanceRestarted:
    """End what a peer was given before its process started again."""

    instance: str


@dataclass(frozen=True, slots=True)
class CrashLearned:
    """Pass a new crash report to the suspects."""

    report: CrashReport


@dataclass(frozen=True, slots=True)
class SuccessLearned:
    """Pass a new success report to the suspects."""

    report: SuccessReport


MembershipAction = (
    ReplyAnnouncement
    | SendRelay
    | PullAgain
    | EndpointChanged
    | InstanceRestarted
    | CrashLearned
    | SuccessLearned
    | LogDecision
)
