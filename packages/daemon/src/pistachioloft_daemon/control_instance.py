"""A control instance: it votes, receives announcements and updates the entry instances."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from msgspec.structs import replace

from pistachioloft_core.errors import CodedError
from pistachioloft_core.messages import fleet as messages
from pistachioloft_core.messages.accepted import AcceptedEvacuations, AcceptedRoutes
from pistachioloft_core.messages.agreement import AgreementMessage
from pistachioloft_core.messages.proposal import ProposeReply, ProposeRequest
from pistachioloft_core.process import agreement, fleet
from pistachioloft_core.process.directory import (
    advertised_entries,
    caller_addresses,
    entry_limit,
    largest_query,
)
from pistachioloft_core.process.voters import choose_voters, target_voter_count
from pistachioloft_core.version.accepted import accepted_evacuations, accepted_routes

from .byte_counts import SUMMARY_INTERVAL_MS
from .control_interface import ControlInterface
from .descriptors import descriptor_shares
from .endpoint_store import EndpointStore
from .http1.receive_budget import memory_budget
from .http1.server import HttpServer, ServerLimits
from .loop_timers import LoopTimers, monotonic_ms, wall_clock_ms
from .metrics import Metrics
from .monitoring_interface import MonitoringInterface
from .peers import DIAL_CHECK_MS, Peers
from .proposals import Proposals
from .quorum_reads import QuorumReads
from .routes_document import unpack_document
from .voter import VoterHooks
from .voter_supervisor import VoterSupervisor

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from pistachioloft_core.messages.report import FleetReport
    from pistachioloft_core.messages.routes import RouteSet

    from .fleet_settings import FleetSettings
    from .voter import Voter
    from .wire import ControlWire

logger = logging.getLogger(__name__)

PREFIX = '[process]'
TICK_MS = 50.0
REPAIR_INTERVAL_MS = 200.0
# A peer from which nothing was received for this long gets a new connection: an open one can stay
# broken without an error while new ones work.
RECONNECT_INTERVAL_MS = 1_000.0
STOP_WAIT_S = 0.3
VOTER_FOLDER = 'voter'
# A hanging disk must not delay the end of the process.
CLOSE_TIMEOUT_S = 2.0
# Callers keep the addresses for at most this long, and leave a stopping or lost instance that much
# later.
ADDRESS_KEEP_LIMIT_MS = 5_000.0
HEADER_LIMIT_BYTES = 65_536
# The wire format sets a lower limit for most calls.
BODY_LIMIT_BYTES = 16 * 1024 * 1024
# Callers look up addresses without a body.
LOOKUP_LIMIT_BYTES = 4_096


class ControlInstance:
    """Hold the components of one control instance."""

    def __init__(
        self,
        settings: FleetSettings,
        wire: ControlWire,
        decode_routes: Callable[[bytes], RouteSet],
    ) -> None:
        self.settings = settings
        self.decode_routes = decode_routes
        self.timers = LoopTimers(asyncio.get_running_loop())
        self.metrics = Metrics()
        self.peers = Peers(settings.instance, settings.peer_address, self._on_message)
        own_status = messages.ControlStatus(
            settings.instance,
            wall_clock_ms(),
            settings.failure_domain,
            '',
            settings.control_address,
        )
        self.fleet = fleet.FleetState(own_status, settings.heartbeat_ms, monotonic_ms())
        self.peers.on_sent = self._count_message
        self.metrics.bytes.own_domain = settings.failure_domain
        self.seeds = settings.seeds
        self.proposals = Proposals(settings.instance, self._voters, self.peers.send)
        self.reads = QuorumReads(settings.instance, self.leader, self.peers.send)
        self.routes = AcceptedRoutes()
        self.evacuations = AcceptedEvacuations()
        assert settings.data_folder is not None
        self.store = EndpointStore(settings.data_folder)
        self.supervisor = self._make_supervisor(settings.data_folder / VOTER_FOLDER)
        self.reconnected_ms: dict[str, float] = {}
        self.push_due = False
        self.next_push_ms = 0.0
        self.push_timer = 0
        self.pushed_revision = 0
        self.pushed_version = 0
        self.pushed_evacuation_index = 0
        self.keep_ms = min(settings.bounds.keep_ms, ADDRESS_KEEP_LIMIT_MS)
        self.next_share_ms = 0.0
        budget = memory_budget(settings.memory_mb)
        self.interface = ControlInterface(self, wire, budget)
        self.monitoring = MonitoringInterface(
            settings.metrics_address, self.metrics, self._gauges, self._report, budget=budget
        )
        self.was_confirmed = False
        self.last_leader: str | None = None
        shares = descriptor_shares()
        self.servers = tuple(
            HttpServer(
                address,
                self.interface.handle,
                ServerLimits(HEADER_LIMIT_BYTES, limit_bytes, connection_limit_count=limit_count),
                budget,
                wire.body_limit,
            )
            for address, limit_bytes, limit_count in (
                (settings.control_address, BODY_LIMIT_BYTES, shares.control_count),
                (settings.directory_address, LOOKUP_LIMIT_BYTES, shares.caller_count),
            )
        )

    def _make_supervisor(self, folder: Path) -> VoterSupervisor:
        founders = self.settings.seeds if self.settings.found else ()
        hooks = VoterHooks(
            self.peers.send,
            lambda _configuration: None,
            lambda _leads: None,
            lambda reason: logger.error('%s no longer a voter: %s', PREFIX, reason),
            self._on_routes,
            self._on_evacuations,
        )
        return VoterSupervisor(folder, self.settings.instance, founders, hooks, self._on_voter)

    async def start(self) -> None:
        """Listen, open the data folder and start the timers."""
        fleet.restore(self.fleet, monotonic_ms(), self.store.load())
        self.peers.start()
        await self.supervisor.start(self.timers)
        for server in self.servers:
            await server.start()
        await self.monitoring.start()
        self.timers.every(TICK_MS, self._tick)
        self.timers.every(DIAL_CHECK_MS, self.peers.check_dials)
        self.timers.every(REPAIR_INTERVAL_MS, self._repair_membership)
        self.timers.every(SUMMARY_INTERVAL_MS, self.metrics.bytes.log_summary)
        logger.info(
            '%s control instance started: instance=%s label=%s seeds=%s',
            PREFIX,
            self.settings.instance,
            self.settings.label,
            ','.join(self.seeds),
        )

    async def finish(self) -> None:
        """Transfer leadership and stop listening before a planned stop."""
        voter = self.supervisor.voter
        if voter is not None and voter.is_leader():
            voter.transfer_leadership()
        for server in self.servers:
            server.closing = True
        await asyncio.sleep(STOP_WAIT_S)
        for server in self.servers:
            server.stop_listening()
            server.close_idle()

    async def stop(self) -> None:
        """Close sockets and files."""
        for server in self.servers:
            server.stop()
        self.monitoring.stop()
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self.supervisor.stop()
        except TimeoutError:
            # Everything that was acknowledged is synced; only the orderly close is missing.
            logger.warning('%s data folder not closed in time', PREFIX)
        self.peers.stop()
        logger.info('%s control instance stopped: instance=%s', PREFIX, self.settings.instance)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds."""
        self.seeds = seeds

    def confirmed(self) -> bool:
        """Return whether this instance exchanges messages with a quorum in both directions."""
        now_ms = monotonic_ms()
        voter = self.supervisor.voter
        if voter is None or voter.failed:
            return False
        if voter.is_leader():
            return True
        voters = [agreement.instance_of(m) for m in agreement.membership(voter.state).voters]
        # All that earlier leaders accepted is applied here once an entry of this leader is.
        follows = (
            agreement.follows_leader(voter.state, now_ms) and voter.applied_term >= voter.state.term
        )
        return follows and fleet.is_received_by_majority(self.fleet, now_ms, voters)

    def leader(self) -> str | None:
        """Return the leader that is known here."""
        voter = self.supervisor.voter
        return voter.leader_instance() if voter is not None else self.proposals.leader

    def other_voters(self) -> tuple[str, ...]:
        """Return the instances of the other voters."""
        voter = self.supervisor.voter
        if voter is None:
            return fleet.live_controls(self.fleet, monotonic_ms())
        members = agreement.membership(voter.state).voters
        names = dict.fromkeys(agreement.instance_of(member) for member in members)
        return tuple(name for name in names if name != self.settings.instance)

    def applied_index(self) -> int:
        """Return the index of the last log entry that is applied here."""
        voter = self.supervisor.voter
        return voter.applied_index if voter is not None else self.evacuations.index

    def _voters(self) -> tuple[str, ...]:
        return (self.settings.instance, *self.other_voters())

    def _on_voter(self, voter: Voter) -> None:
        self.proposals.voter = voter
        self.reads.voter = voter
        self.fleet.own_status = replace(self.fleet.own_status, member=voter.member_id)
        self._on_routes(accepted_routes(voter.accepted))
        self._on_evacuations(accepted_evacuations(voter.accepted))

    def _on_routes(self, routes: AcceptedRoutes) -> None:
        if routes.version <= self.routes.version:
            return
        self.routes = routes
        logger.info(
            '[agreement] routes accepted: version=%d index=%d', routes.version, routes.index
        )
        try:
            decoded = self.decode_routes(unpack_document(routes.document))
        except CodedError as error:
            logger.error('[agreement] routes of version %d: %s', routes.version, error.detail)
        else:
            self.fleet.entry_limit = entry_limit(decoded)
            self.fleet.query_shard_count = largest_query(decoded)
        self.push()

    def _on_evacuations(self, evacuations: AcceptedEvacuations) -> None:
        if evacuations.index <= self.evacuations.index:
            return
        self.evacuations = evacuations
        names = ','.join(evacuations.failure_domains) or 'none'
        logger.info('[agreement] evacuated domains: %s index=%d', names, evacuations.index)
        self.push()

    def addresses(self, failure_domain: str) -> tuple[str, ...]:
        """Return the addresses that a caller of a failure domain should use."""
        entries = fleet.live_entries(self.fleet, monotonic_ms())
        advertised = advertised_entries(entries, self.fleet.entry_limit)
        return caller_addresses(advertised, failure_domain)

    def _gauges(self) -> list[tuple[str, str, float]]:
        now_ms = monotonic_ms()
        voter = self.supervisor.voter
        controls = fleet.live_controls(self.fleet, now_ms)
        entries = fleet.live_entries(self.fleet, now_ms)
        return [
            ('serving', 'Whether a quorum is heard and hears this one', float(self.confirmed())),
            (
                'leads',
                'Whether this instance leads',
                float(voter is not None and voter.is_leader()),
            ),
            ('route_version', 'Newest accepted routes', self.routes.version),
            (
                'evacuated_domains',
                'Evacuated failure domains',
                len(self.evacuations.failure_domains),
            ),
            ('live_controls', 'Live control instances', len(controls)),
            ('live_entries', 'Live entry instances', len(entries)),
            ('known_endpoints', 'Known endpoints', len(self.fleet.announced.endpoints)),
            ('peer_sent_bytes', 'Bytes sent to other instances', self.peers.sent_bytes),
            ('peer_received_bytes', 'Bytes from other instances', self.peers.received_bytes),
        ]

    def _report(self) -> FleetReport:
        # Imported at its first use to shorten a start: while all instances restart, no request is
        # served.
        from .reports import report_control

        return report_control(self)

    def _count_message(self, instance: str, name: str, byte_count: int) -> None:
        known = self.fleet.controls.get(instance) or self.fleet.entries.by_name.get(instance)
        domain = known.status.failure_domain if known is not None else None
        self.metrics.bytes.add(name, domain, byte_count)

    def _log_quorum_changes(self) -> None:
        """Log when the quorum is lost or regained, and when the leader changes."""
        confirmed, leader = self.confirmed(), self.leader()
        if confirmed != self.was_confirmed:
            self.was_confirmed = confirmed
            log = logger.info if confirmed else logger.warning
            log('[agreement] quorum=%s: leader=%s', str(confirmed).lower(), leader)
        if leader != self.last_leader:
            logger.info('[agreement] leader is %s, was %s', leader, self.last_leader)
            self.last_leader = leader

    def _tick(self, now_ms: float) -> None:
        self._log_quorum_changes()
        self.proposals.leader = self.leader() or self.proposals.leader
        self.proposals.tick(now_ms)
        self.reads.tick(now_ms)
        self.interface.tick(now_ms)
        if now_ms < self.next_share_ms and not self.fleet.share_pending:
            return
        self.next_share_ms = now_ms + fleet.SHARE_INTERVAL_MS
        if fleet.tick(self.fleet, now_ms, self.confirmed()):
            self.push()
        revision = self.fleet.announced.revision
        self.store.save_if_due(
            now_ms,
            revision,
            lambda: fleet.known_records(self.fleet),
            lambda since: fleet.has_urgent_change(self.fleet, since),
        )
        share = fleet.incremental_share(self.fleet, now_ms)
        for peer in self._connect_peers(now_ms):
            self.peers.send(peer, share)

    def _connect_peers(self, now_ms: float) -> list[str]:
        """Connect to all known control instances and return them."""
        names = {*self.seeds, *fleet.live_controls(self.fleet, now_ms)}
        voter = self.supervisor.voter
        if voter is not None:
            members = agreement.membership(voter.state)
            names |= {agreement.instance_of(m) for m in (*members.voters, *members.learners)}
        names.discard(self.settings.instance)
        for name in sorted(names):
            self.peers.connect(name, f'{name}:{self.settings.control_peer_port}')
            control = self.fleet.controls.get(name)
            received_ms = control.last_share_ms if control is not None else float('-inf')
            since_ms = max(received_ms, self.reconnected_ms.setdefault(name, now_ms))
            if now_ms - since_ms >= RECONNECT_INTERVAL_MS:
                self._reconnect(name, now_ms)
        entries = {entry.instance for entry in fleet.direct_entries(self.fleet, now_ms)}
        for name in set(self.peers.addresses) - names - entries:
            self.peers.disconnect(name)
        return sorted(names)

    def _reconnect(self, name: str, now_ms: float) -> None:
        self.reconnected_ms[name] = now_ms
        self.peers.reconnect(name)

    def _reconnect_if_due(self, name: str, now_ms: float) -> None:
        """Reconnect to an instance unless this was done within the interval."""
        if now_ms - self.reconnected_ms.get(name, float('-inf')) >= RECONNECT_INTERVAL_MS:
            self._reconnect(name, now_ms)

    def push(self) -> None:
        """Send the changes of this turn of the loop to the entry instances that poll here."""
        if not self.push_due:
            self.push_due = True
            asyncio.get_running_loop().call_soon(self._send_update)

    def _send_update(self) -> None:
        self.push_due = False
        revision, version = self.fleet.announced.revision, self.routes.version
        evacuated = self.evacuations.index != self.pushed_evacuation_index
        if (revision, version) == (self.pushed_revision, self.pushed_version) and not evacuated:
            return
        now_ms = monotonic_ms()
        urgent = (
            version != self.pushed_version
            or evacuated
            or fleet.has_urgent_change(self.fleet, self.pushed_revision)
        )
        if not urgent and now_ms < self.next_push_ms:
            if not self.push_timer:
                self.push_timer = self.timers.at(
                    self.next_push_ms, lambda _ms: self._on_push_timer()
                )
            return
        self.next_push_ms = now_ms + fleet.PUSH_INTERVAL_MS
        document = self.routes.document if version != self.pushed_version else b''
        update = fleet.make_feed(
            self.fleet,
            now_ms,
            self.pushed_revision,
            self.confirmed(),
            version,
            document,
            self.evacuations,
        )
        self.pushed_revision, self.pushed_version = revision, version
        self.pushed_evacuation_index = self.evacuations.index
        for instance in fleet.push_receivers(self.fleet, now_ms):
            self.peers.send(instance, update)

    def _on_push_timer(self) -> None:
        self.push_timer = 0
        self.push()

    def _repair_membership(self, now_ms: float) -> None:
        voter = self.supervisor.voter
        if voter is None or not voter.is_leader():
            return
        members = fleet.live_members(self.fleet, now_ms)
        live = {agreement.instance_of(member) for member in members} | {self.settings.instance}
        voters = [agreement.instance_of(m) for m in agreement.membership(voter.state).voters]
        wanted_instances = choose_voters(
            voters, live, target_voter_count(self.settings.lost_voter_count)
        )
        change = agreement.next_membership_change(voter.state, now_ms, wanted_instances, members)
        if change is not None:
            voter.change_membership(change)

    def _on_message(self, sender: str, message: Any) -> None:
        now_ms = monotonic_ms()
        match message:
            case messages.ControlShare():
                self._on_share(sender, message, now_ms)
            case messages.LeavingNotice():
                fleet.on_notice(self.fleet, now_ms, message.endpoint)
                self.peers.send(sender, messages.LeavingNoted(message.notice_id))
                self.push()
            case messages.LeavingNoted():
                self.interface.on_notice_confirmed(sender, message.notice_id)
            case messages.FeedPoll():
                self._on_poll(sender, message, now_ms)
            case messages.ReadRequest():
                self.reads.on_request(sender, message)
            case messages.ReadReply():
                self.reads.on_reply(message)
            case ProposeRequest():
                self.proposals.on_request(sender, message)
            case ProposeReply():
                self.proposals.on_reply(message)
            case _ if isinstance(message, AgreementMessage) and self.supervisor.voter is not None:
                self.supervisor.voter.receive(message)

    def _on_share(self, sender: str, share: messages.ControlShare, now_ms: float) -> None:
        if fleet.on_share(self.fleet, now_ms, share):
            self.push()
        if share.wants_full and fleet.is_synchronized(self.fleet) and not share.full:
            self.peers.send(sender, fleet.full_share(self.fleet, now_ms))
        ages_ms = {status.instance: status.age_ms for status in share.controls}
        ages_ms |= {name: age_ms for name, _, age_ms in share.control_renewals}
        if ages_ms.get(self.settings.instance, 0.0) >= RECONNECT_INTERVAL_MS:
            # The sender does not receive the messages of this instance.
            self._reconnect_if_due(sender, now_ms)

    def _on_poll(self, sender: str, poll: messages.FeedPoll, now_ms: float) -> None:
        self.peers.connect(sender, poll.entry.peer_address)
        if poll.received_age_ms >= RECONNECT_INTERVAL_MS:
            self._reconnect_if_due(sender, now_ms)
        routes = self.routes
        reply = fleet.on_feed_poll(
            self.fleet,
            now_ms,
            poll,
            self.confirmed(),
            routes.version,
            routes.document,
            self.evacuations,
        )
        self.peers.send(sender, reply)
