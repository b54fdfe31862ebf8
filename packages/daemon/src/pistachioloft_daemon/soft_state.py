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
    """Name the callbacks for what other parts must know."""

    changed: Callable[[], None]
    crash_learned: Callable[[CrashReport], None]
    success_learned: Callable[[SuccessReport], None]


class SoftState:
    """Hold the soft state and the links to the peers."""

    def __init__(self, own: InstanceRecord, peers: Peers, hooks: SoftStateHooks) -> None:
        self.state = MembershipState(own, monotonic_ms())
        self.links: dict[str, link.LinkState] = {}
        self.peers = peers
        self.hooks = hooks
        self.reply: AnnounceReply | None = None

    def pull_all(self, now_ms: float) -> None:
        """Pull from every peer and replace links that went silent."""
        for peer in list(self.peers.addresses):
            self._pull(peer, now_ms)
            self._carry_out(link.on_timer(self._link(peer), now_ms))

    def on_announcement(self, announcement: Announcement) -> AnnounceReply:
        """Take an announcement and answer it."""
        self.reply = None
        self._carry_out(ownership.on_announcement(self.state, monotonic_ms(), announcement))
        assert self.reply is not None
        return self.reply

    def on_relay(self, relay: RelayAnnouncement) -> None:
        """Take an announcement that another instance received."""
        self._carry_out(ownership.on_relay(self.state, monotonic_ms(), relay))

    def on_pull(self, sender: str, pull: SoftStatePull) -> None:
        """Answer a peer's pull."""
        reply = membership.on_pull(self.state, monotonic_ms(), sender, pull)
        self.peers.send(sender, reply)

    def on_pull_reply(self, sender: str, reply: SoftStateReply) -> None:
        """Merge a peer's reply."""
        now_ms = monotonic_ms()
        link.on_reply(self._link(sender), now_ms)
        self._carry_out(membership.on_pull_reply(self.state, now_ms, sender, reply))

    def on_draining(self, endpoint: str, incarnation: int) -> None:
        """Take note that an endpoint said in a reply that it is leaving."""
        self._carry_out(ownership.record_draining(self.state, endpoint, incarnation))

    def record_crash(self, report: CrashReport) -> None:
        """Spread a crash report of this instance."""
        self._carry_out(membership.record_crash(self.state, monotonic_ms(), report))

    def record_success(self, report: SuccessReport) -> None:
        """Spread a success report of this instance."""
        self._carry_out(membership.record_success(self.state, monotonic_ms(), report))

    def owner_of(self, endpoint: str) -> str | None:
        """Return the owner of an endpoint as far as it is known here."""
        entry = self.state.endpoints.get(endpoint)
        return entry.owner or None if entry is not None else None

    def live(self) -> tuple[InstanceRecord, ...]:
        """Return the instances that are alive."""
        return membership.live_instances(self.state, monotonic_ms())

    def _link(self, peer: str) -> link.LinkState:
        if peer not in self.links:
            self.links[peer] = link.LinkState(peer)
        return self.links[peer]

    def _pull(self, peer: str, now_ms: float) -> None:
        link.on_sent(self._link(peer), now_ms)
        self.peers.send(peer, membership.make_pull(self.state, now_ms, peer))

    def _carry_out(self, actions: list[Any]) -> None:
        changed = False
        for action in actions:
            match action:
                case membership_actions.ReplyAnnouncement():
                    self.reply = action.reply
                case membership_actions.SendRelay():
                    self.peers.send(action.instance, action.relay)
                case membership_actions.PullAgain():
                    self._pull(action.instance, monotonic_ms())
                case membership_actions.EndpointChanged():
                    changed = True
                case membership_actions.CrashLearned():
                    self.hooks.crash_learned(action.report)
                case membership_actions.SuccessLearned():
                    self.hooks.success_learned(action.report)
                case link.OpenLink():
                    self.peers.reconnect(action.peer)
                case LogDecision():
                    logger.info(
                        '%s %s %s: %s', PREFIX, action.decision, action.subject, action.detail
                    )
        if changed:
            self.hooks.changed()
