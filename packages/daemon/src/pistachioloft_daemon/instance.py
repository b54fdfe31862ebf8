"""Assemble the components of an instance and run them on one event loop."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING, Any

from pistachioloft_core.connection import owner
from pistachioloft_core.messages import agreement as agreement_messages
from pistachioloft_core.messages import peer as peer_messages
from pistachioloft_core.messages import proposal as proposal_messages
from pistachioloft_core.process import addresses, agreement, membership, ownership, suspects
from pistachioloft_core.request.routing import RoutingState, update_view
from pistachioloft_core.version.cluster_view import build_view

from . import control as control_module
from .control import Control
from .loop_timers import LoopTimers, monotonic_ms, wall_clock_ms
from .metrics import Metrics
from .owned_endpoints import OwnedEndpoints, OwnerHooks
from .peers import Peers
from .requests import RequestHooks, Requests
from .soft_state import SoftState, SoftStateHooks
from .voter import TICK_MS, Voter, VoterHooks

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioloft_core.messages.accepted import AcceptedConfiguration
    from pistachioloft_core.messages.crash import CrashReport
    from pistachioloft_core.messages.peer import Attempt, AttemptResult
    from pistachioloft_core.messages.public import CallerAddress

    from .settings import Settings
    from .voter_storage import VoterStorage

logger = logging.getLogger(__name__)

PREFIX = '[process]'
CONTROL_TICK_MS = 100.0
# Lapsed leases and load reach the view within this time; changed endpoints and configurations
# rebuild it at once.
VIEW_REFRESH_MS = 500.0
REPAIR_INTERVAL_MS = 500.0
SUSPECT_INTERVAL_MS = 250.0
# Longer than any deadline, so every request in flight can finish.
FINISH_LIMIT_S = 65.0
FINISH_CHECK_S = 0.05


class Instance:
    """Hold the components of one instance."""

    def __init__(self, settings: Settings, storage: VoterStorage | None) -> None:
        loop = asyncio.get_running_loop()
        self.settings = settings
        self.incarnation = wall_clock_ms()
        self.stopping = False
        self.refusing = False
        self.timers = LoopTimers(loop)
        self.metrics = Metrics()
        self.peers = Peers(settings.instance, settings.peer_address, self._on_message)
        self.accepted: AcceptedConfiguration | None = None
        instance_names = (settings.instance, *(peer.instance for peer in settings.peers))
        self.control = Control(
            settings.instance, self.incarnation, self.peers, instance_names, self._on_configuration
        )
        self.voter = self._make_voter(storage)
        self.soft_state = SoftState(self._own_record(), self.peers, self._soft_state_hooks())
        self.routing = RoutingState(settings.instance, random.Random(self.incarnation))
        self.own_endpoints = OwnedEndpoints(
            settings.instance,
            self.timers,
            OwnerHooks(
                self._on_results,
                self._on_crashed,
                self.soft_state.on_draining,
                self.soft_state.owner_of,
                self._send_attempts,
            ),
        )
        self.requests = Requests(
            settings.instance,
            self.incarnation,
            self.routing,
            self.timers,
            RequestHooks(
                self._send_attempts,
                self._cancel_attempts,
                self.control.proposals.propose,
                self._on_endpoint_reply,
                self.metrics.count_request,
            ),
        )
        self.rebuild_due = False
        self.successes_reported_ms = monotonic_ms()
        self.handlers = self._message_handlers()

    def start(self) -> None:
        """Listen to the peers and start the timers."""
        self.peers.start()
        for peer in self.settings.peers:
            self.peers.connect(peer.instance, peer.address)
        if self.voter is not None:
            self.voter.start()
            self.timers.every(TICK_MS, self.voter.tick)
            self.timers.every(REPAIR_INTERVAL_MS, self._repair_membership)
        self.timers.every(CONTROL_TICK_MS, self.control.tick)
        self.timers.every(membership.PULL_INTERVAL_MS, self.soft_state.pull_all)
        self.timers.every(VIEW_REFRESH_MS, self._refresh)
        self.timers.every(SUSPECT_INTERVAL_MS, self._report_successes)
        logger.info('%s instance %s started', PREFIX, self.settings.instance)

    async def finish(self) -> None:
        """Leave the advertised addresses, then serve the remaining requests to their end."""
        self.stopping = True
        self._update_own_status()
        logger.info('%s stopping: leaving the advertised addresses', PREFIX)
        if self.voter is not None and self.voter.is_leader():
            self.voter.transfer_leadership()
        await asyncio.sleep((addresses.STOP_PROPAGATION_MS + addresses.ADDRESS_KEEP_MS) / 1000.0)
        self.refusing = True
        logger.info('%s stopping: finishing the requests in flight', PREFIX)
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + FINISH_LIMIT_S
        while loop.time() < deadline_s and not self._is_idle():
            await asyncio.sleep(FINISH_CHECK_S)

    async def stop(self) -> None:
        """Close connections, sockets and files."""
        if self.voter is not None:
            await self.voter.stop()
        await self.own_endpoints.stop()
        self.peers.stop()
        logger.info('%s instance %s stopped', PREFIX, self.settings.instance)

    def serving(self) -> bool:
        """Return whether this instance accepts new work."""
        return self.settings.entry and self.control.serving()

    def caller_addresses(self, caller: str) -> tuple[CallerAddress, ...]:
        """Choose the addresses that a caller should use."""
        # The lease may have ended since the last refresh, and a fenced instance must return only
        # the addresses of others.
        self._update_own_status()
        draining = self.accepted.draining_instances if self.accepted else ()
        return addresses.choose_addresses(self.soft_state.live_records(), caller, draining)

    def _is_idle(self) -> bool:
        return self.requests.in_flight_count() == 0 and self.own_endpoints.is_idle()

    def _own_record(self) -> peer_messages.InstanceRecord:
        settings = self.settings
        return peer_messages.InstanceRecord(
            instance=settings.instance,
            incarnation=self.incarnation,
            sequence=0,
            failure_domain=settings.failure_domain,
            caller_address=settings.caller_address,
            peer_address=settings.peer_address,
            entry=settings.entry,
            stopping=False,
            serving=False,
            age_ms=0.0,
            member=self.voter.member_id if self.voter is not None else '',
        )

    def _soft_state_hooks(self) -> SoftStateHooks:
        return SoftStateHooks(
            self._on_endpoints_changed,
            self._on_crash_learned,
            self._on_success,
            lambda peer: self.requests.on_owner_restarted(peer),
        )

    def _make_voter(self, storage: VoterStorage | None) -> Voter | None:
        if storage is None:
            return None
        hooks = VoterHooks(
            self.peers.send,
            self.control.on_applied,
            lambda is_leader: logger.debug('%s leads: %s', PREFIX, is_leader),
            lambda reason: logger.error('%s no longer a voter: %s', PREFIX, reason),
        )
        voter = Voter(storage, hooks)
        self.control.set_voter(voter)
        return voter

    def _message_handlers(self) -> dict[type, Callable[[str, Any], None]]:
        soft, own_endpoints, proposals = self.soft_state, self.own_endpoints, self.control.proposals
        return {
            peer_messages.AttemptBatch: lambda _sender, m: own_endpoints.submit(m.attempts),
            peer_messages.AttemptResults: lambda _sender, m: self.requests.on_results(m.results),
            peer_messages.CancelAttempts: lambda _sender, m: own_endpoints.cancel(m.attempt_ids),
            peer_messages.SoftStatePull: soft.on_pull,
            peer_messages.SoftStateReply: soft.on_pull_reply,
            peer_messages.CrashReport: lambda _sender, m: self._on_crash_learned(m),
            peer_messages.RelayAnnouncement: lambda _sender, m: soft.on_relay(m),
            proposal_messages.ProposeRequest: proposals.on_request,
            proposal_messages.ProposeReply: lambda _sender, m: proposals.on_reply(m),
        }

    def _on_message(self, sender: str, message: Any) -> None:
        handler = self.handlers.get(type(message))
        if handler is not None:
            handler(sender, message)
        elif control_module.dispatch_message(self.control, sender, message):
            return
        elif self.voter is not None and isinstance(message, agreement_messages.AgreementMessage):
            self.voter.receive(message)

    def _on_configuration(self, configuration: AcceptedConfiguration) -> None:
        self.accepted = configuration
        membership.set_draining_instances(self.soft_state.state, configuration.draining_instances)
        configured = {peer.instance for peer in self.settings.peers}
        wanted_peers = set(configured)
        for entry in configuration.configuration.instances:
            wanted_peers.add(entry.instance)
            # An address in the settings takes precedence: it is the one meant for this process.
            if entry.instance not in configured:
                self.peers.connect(entry.instance, entry.peer_address)
        for peer in set(self.peers.addresses) - wanted_peers:
            self.peers.disconnect(peer)
        # Refresh before the loop runs anything else: the lease is valid from here on, and a query
        # planned with the previous view would be answered from a version that may be retired.
        self._refresh(monotonic_ms())

    def _on_endpoints_changed(self) -> None:
        if not self.rebuild_due:
            self.rebuild_due = True
            asyncio.get_running_loop().call_soon(self._rebuild_if_due)

    def _rebuild_if_due(self) -> None:
        if self.rebuild_due:
            self._refresh(monotonic_ms())

    def _refresh(self, now_ms: float) -> None:
        self.rebuild_due = False
        self._update_own_status()
        state = self.soft_state.state
        self.own_endpoints.update(ownership.owned_endpoints(state, now_ms))
        membership.record_observations(state, owner.observations(self.own_endpoints.state))
        if self.accepted is not None:
            endpoints = membership.usable_endpoints(state, now_ms)
            update_view(self.routing, build_view(self.accepted, endpoints))

    def _update_own_status(self) -> None:
        index = self.accepted.index if self.accepted is not None else 0
        membership.set_own_status(self.soft_state.state, self.stopping, self.serving(), index)

    def _repair_membership(self, now_ms: float) -> None:
        voter = self.voter
        if voter is None or self.accepted is None or not voter.is_leader():
            return
        wanted_instances = tuple(
            entry.instance for entry in self.accepted.configuration.instances if entry.voter
        )
        live_members = tuple(
            record.member for record in self.soft_state.live_records() if record.member
        )
        change = agreement.next_membership_change(
            voter.state, now_ms, wanted_instances, live_members
        )
        if change is not None:
            voter.change_membership(change)

    def _send_attempts(self, target: str, attempts: tuple[Attempt, ...]) -> None:
        self.peers.send(target, peer_messages.AttemptBatch(attempts))

    def _cancel_attempts(self, target: str, attempt_ids: tuple[str, ...]) -> None:
        self.peers.send(target, peer_messages.CancelAttempts(attempt_ids))

    def _on_results(self, origin: str, results: tuple[AttemptResult, ...]) -> None:
        self.peers.send(origin, peer_messages.AttemptResults(results))

    def _on_endpoint_reply(self, endpoint: str) -> None:
        membership.record_reply(self.soft_state.state, monotonic_ms(), endpoint)

    def _on_crashed(self, report: CrashReport) -> None:
        suspects.on_crash(self.routing.suspects, monotonic_ms(), report)
        self.soft_state.record_crash(report)
        # Sent before the next pull: a caller may resend the request to another instance at once.
        for peer in self.peers.addresses:
            self.peers.send(peer, report)

    def _on_crash_learned(self, report: CrashReport) -> None:
        suspects.on_crash(self.routing.suspects, monotonic_ms(), report)

    def _on_success(self, report: peer_messages.SuccessReport) -> None:
        suspects.on_success(self.routing.suspects, monotonic_ms(), report)

    def _report_successes(self, now_ms: float) -> None:
        since_ms, self.successes_reported_ms = self.successes_reported_ms, now_ms
        _, successes = suspects.reports_since(self.routing.suspects, now_ms, since_ms)
        for report in successes:
            self.soft_state.record_success(report)
        suspects.expire_suspects(self.routing.suspects, now_ms)
