"""Hold the configuration lease of this instance and, on a voter, grant leases to all."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pistachioloft_core.messages.peer import (
    ChangeHint,
    InForceReply,
    InForceRequest,
    Poll,
    PollReply,
)
from pistachioloft_core.process import agreement, in_force, lease
from pistachioloft_core.version import accepted

from .loop_timers import monotonic_ms
from .proposals import Proposals
from .reports import voter_status

if TYPE_CHECKING:
    from pistachioloft_core.messages.accepted import AcceptedConfiguration

    from .peers import Peers
    from .voter import Voter

logger = logging.getLogger(__name__)

PREFIX = '[lease]'
IN_FORCE_TIMEOUT_MS = 1000.0

ReportCallback = Callable[[InForceReply | None], None]


@dataclass(frozen=True, slots=True)
class PendingReport:
    """Hold the callback of a report request until the leader replies."""

    callback: ReportCallback
    deadline_ms: float


class Control:
    """Hold the lease, the proposals and, on the leader, the state of all leases."""

    def __init__(
        self,
        instance: str,
        incarnation: int,
        peers: Peers,
        voters: tuple[str, ...],
        on_adopted: Callable[[AcceptedConfiguration], None],
    ) -> None:
        self.instance = instance
        self.peers = peers
        self.on_adopted = on_adopted
        random_source = random.Random(f'{instance}-{incarnation}')
        self.lease = lease.LeaseState(instance, incarnation, voters, random_source)
        self.proposals = Proposals(instance, lambda: self.lease.voters, peers.send)
        self.voter: Voter | None = None
        self.in_force: in_force.InForceState | None = None
        self.pending_reports: dict[str, PendingReport] = {}
        self.last_report_number = 0

    def set_voter(self, voter: Voter) -> None:
        """Add the voter's role to this instance."""
        self.voter = voter
        self.proposals.voter = voter

    def serving(self) -> bool:
        """Return whether this instance may accept new work."""
        return lease.can_serve(self.lease, monotonic_ms())

    def tick(self, now_ms: float) -> None:
        """Poll the leader when a poll is due and expire proposals and report requests."""
        due_poll = lease.next_poll(self.lease, now_ms)
        if due_poll is not None:
            self.peers.send(due_poll.to, due_poll.poll)
        self.proposals.leader = lease.known_leader(self.lease) or self.proposals.leader
        self.proposals.tick(now_ms)
        for request_id, pending in list(self.pending_reports.items()):
            if now_ms >= pending.deadline_ms:
                del self.pending_reports[request_id]
                pending.callback(None)

    def on_poll(self, sender: str, poll: Poll) -> None:
        """Reply to an instance's poll."""
        voter = self.voter
        if voter is None or not voter.is_leader():
            hint = lease.known_leader(self.lease) if voter is None else voter.leader_instance()
            if hint == self.instance:
                hint = None
            term = 0 if voter is None else voter.state.term
            self.peers.send(sender, in_force.refuse_poll(poll, term, hint))
            return
        view = self._leader_view(voter)
        self.peers.send(sender, in_force.on_poll(view, monotonic_ms(), poll, True))

    def on_poll_reply(self, reply: PollReply) -> None:
        """Renew the lease and put a newer configuration in force."""
        for action in lease.on_reply(self.lease, monotonic_ms(), reply):
            self._adopt(action.accepted)

    def on_change_hint(self, hint: ChangeHint) -> None:
        """Poll at once if the hint announces a newer configuration."""
        now_ms = monotonic_ms()
        lease.on_change_hint(self.lease, now_ms, hint)
        self.tick(now_ms)

    def on_applied(self, configuration: AcceptedConfiguration) -> None:
        """Send a hint of an accepted configuration to every instance, if this one leads."""
        if self.voter is None or self.voter.state.role != agreement.ROLE_LEADER:
            return
        logger.info(
            '%s configuration accepted at index %d, digest %s',
            PREFIX,
            configuration.index,
            configuration.digest,
        )
        if self.in_force is not None:
            in_force.on_accepted(self.in_force, monotonic_ms(), configuration)
        for peer in [*self.peers.addresses, self.instance]:
            self.peers.send(peer, ChangeHint(configuration.index))

    def request_report(self, index: int, with_history: bool, callback: ReportCallback) -> None:
        """Request the leader's report on a configuration; the callback gets None without one."""
        leader = lease.known_leader(self.lease) or self.proposals.leader
        if self.voter is not None:
            leader = self.voter.leader_instance() or leader
        if leader is None:
            callback(None)
            return
        self.last_report_number += 1
        request_id = f'{self.instance}/{self.last_report_number}'
        deadline_ms = monotonic_ms() + IN_FORCE_TIMEOUT_MS
        self.pending_reports[request_id] = PendingReport(callback, deadline_ms)
        self.peers.send(leader, InForceRequest(request_id, index, with_history))

    def on_report_request(self, sender: str, request: InForceRequest) -> None:
        """Reply with a report on a configuration, or without one if this instance doesn't lead."""
        voter = self.voter
        if voter is None or not voter.is_leader():
            self.peers.send(sender, InForceReply(request.request_id, None, None))
            return
        view = self._leader_view(voter)
        now_ms = monotonic_ms()
        index = request.index or view.accepted.index
        history = accepted.history(voter.accepted) if request.with_history else ()
        self.peers.send(
            sender,
            InForceReply(
                request.request_id,
                in_force.report(view, now_ms, index),
                voter_status(voter, now_ms),
                history,
            ),
        )

    def on_report_reply(self, reply: InForceReply) -> None:
        """Pass the leader's report to the callback that requested it."""
        pending = self.pending_reports.pop(reply.request_id, None)
        if pending is not None:
            pending.callback(reply if reply.report is not None else None)

    def _leader_view(self, voter: Voter) -> in_force.InForceState:
        term = voter.state.term
        if self.in_force is None or self.in_force.term != term:
            self.in_force = in_force.InForceState(
                self.instance,
                term,
                monotonic_ms(),
                accepted.accepted_configuration(voter.accepted),
            )
        return self.in_force

    def _adopt(self, configuration: AcceptedConfiguration) -> None:
        logger.info(
            '%s configuration in force: index %d, term %d, digest %s',
            PREFIX,
            configuration.index,
            configuration.term,
            configuration.digest,
        )
        voters = tuple(
            entry.instance for entry in configuration.configuration.instances if entry.voter
        )
        lease.set_voters(self.lease, voters)
        self.on_adopted(configuration)


def dispatch_message(control: Control, sender: str, message: Any) -> bool:
    """Pass a control message to its handler; return whether the message was one."""
    match message:
        case Poll():
            control.on_poll(sender, message)
        case PollReply():
            control.on_poll_reply(message)
        case ChangeHint():
            control.on_change_hint(message)
        case InForceRequest():
            control.on_report_request(sender, message)
        case InForceReply():
            control.on_report_reply(message)
        case _:
            return False
    return True
