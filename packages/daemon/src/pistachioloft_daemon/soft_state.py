"""Exchange soft state with the other instances."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pistachioloft_core.connection import link
from pistachioloft_core.connection.actions import LogDecision
from pistachioloft_core.process import membership, membership_actions, ownership
from pistachioloft_core.process.soft_state import MembershipState

from .loop_timers import monotonic_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioloft_core.messages.endpoint import Announcement, AnnounceReply
    from pistachioloft_core.messages.peer import (
        CrashReport,
        InstanceRecord,
        RelayAnnouncement,
        SoftStatePull,
        SoftStateReply,
        SuccessReport,
    )

    from .peers import Peers

logger = logging.getLogger(__name__)

PREFIX = '[membership]'


@dataclass(frozen=True, slots=True)
class SoftStateHooks:
    """Hold the callbacks that report changes of the soft state to the rest of the instance."""

    on_endpoints_changed: Callable[[], None]
    on_crash: Callable[[CrashReport], None]
    on_success: Callable[[SuccessReport], None]
    on_restarted: Callable[[str], None]


class SoftState:
    """Hold the soft state and the links to the peers."""

    def __init__(self, own_record: InstanceRecord, peers: Peers, hooks: SoftStateHooks) -> None:
        self.state = MembershipState(own_record, monotonic_ms())
        self.links: dict[str, link.LinkState] = {}
        self.peers = peers
        self.hooks = hooks
        self.announce_reply: AnnounceReply | None = None

    def pull_all(self, now_ms: float) -> None:
        """Pull from every peer and replace silent links."""
        for peer in list(self.peers.addresses):
            self._pull(peer, now_ms)
            self._apply_actions(link.on_timer(self._link(peer), now_ms))

    def on_announcement(self, announcement: Announcement) -> AnnounceReply:
        """Handle an endpoint's announcement and return the reply."""
        self.announce_reply = None
        self._apply_actions(ownership.on_announcement(self.state, monotonic_ms(), announcement))
        assert self.announce_reply is not None
        return self.announce_reply

    def on_relay(self, relay: RelayAnnouncement) -> None:
        """Handle an announcement that another instance received and relayed."""
        self._apply_actions(ownership.on_relay(self.state, monotonic_ms(), relay))

    def on_pull(self, sender: str, pull: SoftStatePull) -> None:
        """Reply to a peer's pull."""
        reply = membership.on_pull(self.state, monotonic_ms(), sender, pull)
        self.peers.send(sender, reply)

    def on_pull_reply(self, sender: str, reply: SoftStateReply) -> None:
        """Merge a peer's reply."""
        now_ms = monotonic_ms()
        link.on_reply(self._link(sender), now_ms)
        self._apply_actions(membership.on_pull_reply(self.state, now_ms, sender, reply))

    def on_draining(self, endpoint: str, incarnation: int) -> None:
        """Record that an endpoint reported in a reply that it is draining."""
        self._apply_actions(ownership.record_draining(self.state, endpoint, incarnation))

    def record_crash(self, report: CrashReport) -> None:
        """Add a crash report of this instance, which peers receive with their pulls."""
        self._apply_actions(membership.record_crash(self.state, monotonic_ms(), report))

    def record_success(self, report: SuccessReport) -> None:
        """Add a success report of this instance, which peers receive with their pulls."""
        self._apply_actions(membership.record_success(self.state, monotonic_ms(), report))

    def owner_of(self, endpoint: str) -> str | None:
        """Return the owner of an endpoint, or None if it isn't known here."""
        entry = self.state.endpoints.get(endpoint)
        return entry.owner or None if entry is not None else None

    def live_records(self) -> tuple[InstanceRecord, ...]:
        """Return the instances that are alive."""
        return membership.live_instances(self.state, monotonic_ms())

    def _link(self, peer: str) -> link.LinkState:
        if peer not in self.links:
            self.links[peer] = link.LinkState(peer)
        return self.links[peer]

    def _pull(self, peer: str, now_ms: float) -> None:
        link.on_sent(self._link(peer), now_ms)
        self.peers.send(peer, membership.make_pull(self.state, now_ms, peer))

    def _apply_actions(self, actions: list[Any]) -> None:
        changed = False
        for action in actions:
            match action:
                case membership_actions.ReplyAnnouncement():
                    self.announce_reply = action.reply
                case membership_actions.SendRelay():
                    self.peers.send(action.instance, action.relay)
                case membership_actions.PullAgain():
                    self._pull(action.instance, monotonic_ms())
                case membership_actions.EndpointChanged():
                    changed = True
                case membership_actions.CrashLearned():
                    self.hooks.on_crash(action.report)
                case membership_actions.SuccessLearned():
                    self.hooks.on_success(action.report)
                case membership_actions.InstanceRestarted():
                    self.hooks.on_restarted(action.instance)
                case link.OpenLink():
                    self.peers.reconnect(action.peer)
                case LogDecision():
                    logger.info(
                        '%s %s %s: %s', PREFIX, action.decision, action.subject, action.detail
                    )
        if changed:
            self.hooks.on_endpoints_changed()
