"""An entry instance: it takes callers' requests and connects to the endpoints itself."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING, Any

from pistachioloft_core.connection.reach import forget_endpoints
from pistachioloft_core.errors import CodedError, ResultCode
from pistachioloft_core.messages.allotments import AllotmentGrant, AllotmentRequest
from pistachioloft_core.messages.fleet import EntryStatus, FeedReply
from pistachioloft_core.messages.permits import PermitGrant, PermitRequest
from pistachioloft_core.messages.relay import (
    PassedRefusal,
    PassedReply,
    PassedRequest,
    RelayCancel,
    RelayRequest,
    RelayResults,
    RelayTried,
)
from pistachioloft_core.process import endpoint_table, feed
from pistachioloft_core.process.allotments import AllotmentBounds
from pistachioloft_core.process.crash_watch import on_crash_reports
from pistachioloft_core.request.delegation import (
    PRECONNECT_DELAY_MS,
    own_shards,
    set_helpers,
    should_preconnect,
)
from pistachioloft_core.request.routed_state import (
    RoutedState,
    SharedLimits,
    set_entry_count,
    set_routes,
)
from pistachioloft_core.version.route_table import RouteTable, route_services, shard_services

from .byte_counts import SUMMARY_INTERVAL_MS
from .control_calls import CheckReadiness, Done
from .descriptors import descriptor_shares
from .gauges import entry_gauges
from .http1.receive_budget import memory_budget
from .http1.server import HttpServer, ServerLimits
from .loop_timers import LoopTimers, monotonic_ms, wall_clock_ms
from .metrics import Metrics
from .monitoring_interface import MonitoringInterface
from .peer_work import PeerHooks
from .peers import DIAL_CHECK_MS, Peers
from .routed_requests import RoutedRequests
from .routes_document import unpack_document

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioloft_core.messages.fleet import InstanceLocation, RequestCrash
    from pistachioloft_core.messages.report import FleetReport
    from pistachioloft_core.messages.routes import RouteSet

    from .fleet_settings import FleetSettings
    from .http1.messages import Request, Response
    from .http1.server import Cancel, Respond
    from .wire import ControlWire, WireFormat

logger = logging.getLogger(__name__)

PREFIX = '[process]'
TICK_MS = 50.0
POOL_CHECK_MS = 500.0
# Fractions of the grace time of a stop. Callers keep an address for nearly all of it, so requests
# are served first. Requests that are refused after that can still be sent elsewhere, and the last
# fraction is for closing connections before the process is killed.
STOP_SERVING_FRACTION = 0.7
STOP_EXIT_FRACTION = 0.88
STOP_CHECK_S = 0.05
# A check of the readiness needs no body.
READINESS_BODY_LIMIT_BYTES = 4_096


class EntryInstance:
    """Hold the components of one entry instance."""

    def __init__(
        self,
        settings: FleetSettings,
        wire: WireFormat,
        control_wire: ControlWire,
        decode_routes: Callable[[bytes], RouteSet],
    ) -> None:
        loop = asyncio.get_running_loop()
        self.settings = settings
        self.control_wire = control_wire
        self.decode_routes = decode_routes
        self.incarnation = wall_clock_ms()
        self.timers = LoopTimers(loop)
        self.metrics = Metrics()
        random_source = random.Random(f'{settings.instance}-{self.incarnation}')
        shares = descriptor_shares()
        limits = SharedLimits(
            settings.bounds.extra_share,
            settings.bounds.extra_allowance_count,
            shares.endpoint_count,
            settings.link_mbit_per_s,
            AllotmentBounds(
                settings.bounds.allotment_window_ms,
                settings.bounds.allotment_overage,
                settings.bounds.allotment_slack_count,
            ),
        )
        self.state = RoutedState(settings.instance, settings.failure_domain, limits, random_source)
        self.peers = Peers(settings.instance, settings.peer_address, self._on_message)
        budget = memory_budget(settings.memory_mb)
        self.requests = RoutedRequests(
            self.state,
            self.timers,
            wire,
            self.metrics,
            PeerHooks(self._send_to_entry, self.peers.reconnect, self.peers.flush),
            budget,
        )
        self.feed = feed.FeedState(settings.seeds, settings.failure_domain, random_source)
        self.requests.crashes.report = self._report_crashes
        self.requests.feed_age_ms = self.confirmation_age_ms
        self.requests.view_age_ms = lambda: feed.complete_age_ms(self.feed, monotonic_ms())
        self.requests.can_serve = self.serving
        # Callers and groups are directed elsewhere once the control instances know.
        self.requests.on_reach_changed = lambda: feed.request_poll(self.feed, monotonic_ms())
        self.peers.on_left = self._on_peer_left
        self.peers.on_sent = self._count_message
        self.metrics.bytes.own_domain = settings.failure_domain
        self.stopping = False
        self.advertised = False
        self.advertised_locations: tuple[InstanceLocation, ...] = ()
        self.helper_locations: tuple[InstanceLocation, ...] = ()
        # Failure domains of the control instances and of the helpers.
        self.peer_domains: dict[str, str] = {}
        # When connections were last opened for this instance's share of the endpoints.
        self.preconnected_ms = 0.0
        self.caller_server = HttpServer(
            settings.caller_address,
            self.requests.handle,
            ServerLimits(connection_limit_count=shares.caller_count),
            budget,
        )
        self.readiness = HttpServer(
            settings.readiness_address,
            self._on_readiness,
            ServerLimits(
                body_limit_bytes=READINESS_BODY_LIMIT_BYTES,
                connection_limit_count=shares.readiness_count,
            ),
            budget,
        )
        self.monitoring = MonitoringInterface(
            settings.metrics_address,
            self.metrics,
            lambda: entry_gauges(self),
            self._report,
            self._explain,
            budget,
        )
        self.was_serving = False

    async def start(self) -> None:
        """Listen and start the timers."""
        self.peers.start()
        await self.readiness.start()
        await self.caller_server.start()
        await self.monitoring.start()
        self.timers.every(TICK_MS, self._tick)
        self.timers.every(DIAL_CHECK_MS, self.peers.check_dials)
        self.timers.every(POOL_CHECK_MS, self._check_endpoints)
        self.timers.every(SUMMARY_INTERVAL_MS, self.metrics.bytes.log_summary)
        self._tick(monotonic_ms())
        logger.info(
            '%s entry instance started: instance=%s label=%s callers=%s connections=%d+%d',
            PREFIX,
            self.settings.instance,
            self.settings.label,
            self.settings.caller_address,
            self.state.limits.connection_count,
            self.caller_server.limits.connection_limit_count,
        )

    async def finish(self) -> None:
        """Leave the advertised addresses, then serve the remaining requests to their end."""
        started_s = monotonic_ms() / 1000.0
        grace_s = self.settings.bounds.grace_ms / 1000.0
        self.stopping = True
        self.requests.ends_at_ms = (started_s + STOP_EXIT_FRACTION * grace_s) * 1000.0
        self.caller_server.closing = True
        feed.request_poll(self.feed, monotonic_ms())
        self._tick(monotonic_ms())
        logger.info('%s stopping: leaving the advertised addresses', PREFIX)
        while True:
            elapsed_s = monotonic_ms() / 1000.0 - started_s
            if elapsed_s >= STOP_SERVING_FRACTION * grace_s:
                self.requests.refusing = True
            if elapsed_s >= STOP_EXIT_FRACTION * grace_s:
                self.requests.end_all()
                break
            if self.requests.refusing and self.requests.in_flight_count() == 0:
                self.caller_server.stop_listening()
                if not self.caller_server.connections:
                    break
                self.caller_server.close_idle()
            await asyncio.sleep(STOP_CHECK_S)

    async def stop(self) -> None:
        """Close connections and sockets."""
        self.caller_server.stop()
        self.readiness.stop()
        self.monitoring.stop()
        self.requests.pool.stop()
        self.peers.stop()
        logger.info('%s entry instance stopped: instance=%s', PREFIX, self.settings.instance)

    def ready(self) -> bool:
        """Return whether the address of this instance may be advertised to callers."""
        return self.serving() and not self.stopping

    def serving(self) -> bool:
        """Return whether the routes held here may still be used."""
        routes = self.state.routes
        if routes is None:
            return False
        bounds = self.settings.bounds
        limit_ms = bounds.apply_ms + bounds.stretch_ms
        if bounds.strict_revocation and routes.organisations:
            limit_ms = min(limit_ms, bounds.revocation_ms)
        return feed.confirmation_age_ms(self.feed, monotonic_ms()) < limit_ms

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds."""
        feed.set_seeds(self.feed, seeds)

    def _status(self) -> EntryStatus:
        routes = self.state.routes
        return EntryStatus(
            self.settings.instance,
            self.incarnation,
            self.settings.failure_domain,
            self.settings.caller_address,
            self.settings.peer_address,
            self.ready(),
            self.stopping,
            routes.version if routes is not None else 0,
            self.requests.in_flight_count(),
            cut_off=self.state.reach.cut_off,
        )

    def _report(self) -> FleetReport:
        # Imported at its first use to shorten a start: while all instances restart, no request is
        # served.
        from .reports import report_entry

        return report_entry(self)

    def _explain(self, request: Request) -> Response:
        from .placement_reports import explain_request

        return explain_request(self, request)

    def confirmation_age_ms(self) -> float:
        """Return the time since a quorum confirmed the routes."""
        return feed.confirmation_age_ms(self.feed, monotonic_ms())

    def _update_serving(self, now_ms: float) -> None:
        """Accept or refuse requests according to the age of the quorum confirmation."""
        serving = self.serving()
        if serving == self.was_serving:
            return
        self.was_serving = serving
        self.requests.fenced = not serving
        # Callers are directed here, or elsewhere, once the control instances know the new status.
        feed.request_poll(self.feed, now_ms)
        log = logger.info if serving else logger.warning
        log(
            '[lease] serving=%s: version=%d control=%s confirmed=%.0fms ago',
            str(serving).lower(),
            self.state.routes.version if self.state.routes is not None else 0,
            self.feed.target,
            self.confirmation_age_ms(),
        )

    def _tick(self, now_ms: float) -> None:
        self._update_serving(now_ms)
        self.requests.permits.request_wanted(now_ms)
        self.requests.allotments.check(now_ms)
        self.requests.reach.check(now_ms)
        due_poll = feed.next_poll(self.feed, now_ms, self._status())
        for given_up in feed.take_given_up(self.feed):
            self._on_control_given_up(given_up)
        if due_poll is None:
            return
        self.peers.connect(due_poll.to, f'{due_poll.to}:{self.settings.control_peer_port}')
        self.peers.send(due_poll.to, due_poll.poll)

    def _on_control_given_up(self, given_up: feed.GivenUpControl) -> None:
        self.metrics.count_given_up_control(given_up.reason)
        logger.info(
            '[membership] control instance given up: instance=%s reason=%s received=%.0fms ago',
            given_up.instance,
            given_up.reason,
            given_up.received_age_ms,
        )
        if given_up.reason == feed.SILENT:
            # The connection may carry nothing any more; the next poll there needs a new one.
            self.peers.reconnect(given_up.instance)

    def _check_endpoints(self, now_ms: float) -> None:
        self.requests.pool.close_aged()
        self.requests.forget_expired(now_ms)
        role_changed_ms = self.requests.helpers.role_changed_ms
        if (
            role_changed_ms > self.preconnected_ms
            and now_ms - role_changed_ms >= PRECONNECT_DELAY_MS
        ):
            self.preconnected_ms = now_ms
            self._update_connections(list(self.state.table.endpoints))
        self._on_endpoint_changes(endpoint_table.withdraw_silent(self.state.table, now_ms))

    def _on_endpoint_changes(self, changes: list[endpoint_table.EndpointChange]) -> None:
        for change in changes:
            logger.info('[membership] endpoint %s: %s', change.endpoint, change.detail)
        self._update_connections([change.endpoint for change in changes])

    def _on_message(self, sender: str, message: Any) -> None:
        match message:
            case FeedReply():
                self._on_feed(sender, message)
            case RelayRequest():
                self._connect_entry(sender)
                self.requests.relays.on_request(sender, message)
            case RelayResults():
                self.requests.relays.on_results(message)
            case RelayTried():
                self.requests.relays.record_extra_attempt(message)
            case RelayCancel():
                self.requests.relays.on_cancel(sender, message)
                self.requests.passed.on_cancel(sender, message)
            case PassedRequest():
                self._connect_entry(sender)
                self.requests.passed.on_request(sender, message)
            case PassedReply():
                self.requests.passed.on_reply(message)
            case PassedRefusal():
                self.requests.passed.on_refusal(message)
            case PermitRequest():
                self._connect_entry(sender)
                self.requests.permits.on_request(sender, message)
            case PermitGrant():
                self.requests.permits.on_grant(message)
            case AllotmentRequest():
                self._connect_entry(sender)
                self.requests.allotments.on_request(sender, message)
            case AllotmentGrant():
                self.requests.allotments.on_grant(message)

    def _on_peer_left(self, instance: str) -> None:
        self.requests.relays.on_peer_left(instance)
        self.requests.passed.on_peer_left(instance)

    def _count_message(self, instance: str, name: str, byte_count: int) -> None:
        self.metrics.bytes.add(name, self.peer_domains.get(instance), byte_count)

    def _report_crashes(self, crashes: tuple[RequestCrash, ...]) -> None:
        feed.report_crashes(self.feed, crashes)
        feed.request_poll(self.feed, monotonic_ms())

    def _send_to_entry(self, instance: str, message: object) -> bool:
        self._connect_entry(instance)
        return self.peers.send(instance, message)

    def _connect_entry(self, instance: str) -> None:
        port = self.settings.peer_address.rsplit(':', 1)[1]
        self.peers.connect(instance, f'{instance}:{port}')

    def _on_feed(self, sender: str, reply: FeedReply) -> None:
        now_ms = monotonic_ms()
        before_age_ms, before_ms = feed.complete_age_ms(self.feed, now_ms), self.feed.complete_ms
        has_update = feed.on_feed(self.feed, now_ms, sender, reply)
        if self.feed.complete_ms != before_ms:
            self.requests.allotments.on_confirmed(now_ms, before_age_ms)
        on_crash_reports(self.requests.crashes.watch, now_ms, reply.crashes)
        self._apply_evacuations(now_ms, reply)
        if reply.document:
            self._adopt_routes(reply.route_version, reply.document)
        if has_update:
            self._apply_feed(now_ms, reply)
        if self.serving() != self.was_serving:
            self._tick(now_ms)

    def _apply_feed(self, now_ms: float, reply: FeedReply) -> None:
        locations = (*reply.controls, *self._named_helpers(reply))
        self.peer_domains = {each.instance: each.failure_domain for each in locations}
        table = self.state.table
        for received in reply.endpoints:
            load = table.endpoints.get(received.record.endpoint)
            if load is not None and received.record.born_ms > load.record.born_ms:
                self.requests.crashes.on_endpoint_down(received.record.endpoint)
        changes = endpoint_table.apply_update(table, now_ms, reply.endpoints, reply.synchronized)
        if reply.full and reply.synchronized:
            changes += endpoint_table.remove_missing_endpoints(table, reply.endpoints)
        self._on_endpoint_changes(changes)
        self._apply_advertised(now_ms, reply.advertised, self._named_helpers(reply))

    def _named_helpers(self, reply: FeedReply) -> tuple[InstanceLocation, ...]:
        """Return the helpers that an update names or identifies by their digest."""
        if reply.helpers:
            self.feed.helpers_digest = reply.helpers_digest
            return reply.helpers
        if reply.helpers_digest and reply.helpers_digest == self.feed.helpers_digest:
            return self.helper_locations
        self.feed.helpers_digest = 0
        return reply.advertised

    def _apply_evacuations(self, now_ms: float, reply: FeedReply) -> None:
        """Withdraw or restore endpoints, and place anew what waits for the withdrawn ones."""
        table = self.state.table
        if reply.evacuation_index <= table.evacuation_index:
            return
        affected = endpoint_table.set_evacuated_domains(
            table, now_ms, reply.evacuation_index, reply.evacuated_domains
        )
        logger.info(
            '[placement] evacuated domains: %s index=%d, endpoints affected: %d',
            ','.join(reply.evacuated_domains) or 'none',
            reply.evacuation_index,
            len(affected),
        )
        names = [load.record.endpoint for load in affected]
        evacuated = [
            load.record.endpoint for load in affected if endpoint_table.is_evacuated(table, load)
        ]
        forget_endpoints(self.state.reach, evacuated)
        for name in evacuated:
            self.requests.pool.return_queued(name, 'its failure domain is evacuated')
        self._update_connections(names)

    def _apply_advertised(
        self,
        now_ms: float,
        advertised: tuple[InstanceLocation, ...],
        helpers: tuple[InstanceLocation, ...],
    ) -> None:
        """Divide queries and budgets among the helpers, and connections among the advertised."""
        was_advertised = self.advertised
        self.advertised = any(
            location.instance == self.settings.instance for location in advertised
        )
        if advertised != self.advertised_locations:
            self.requests.allotments.set_instances(now_ms, advertised)
        if (advertised, helpers) != (self.advertised_locations, self.helper_locations):
            self.advertised_locations, self.helper_locations = advertised, helpers
            self.requests.permits.locations = advertised
            set_helpers(self.requests.helpers, helpers, self.settings.instance, now_ms)
            for location in helpers if self.advertised else ():
                self._connect_entry(location.instance)
        # Another instance still serves requests, so it counts as one share more.
        set_entry_count(
            self.state,
            len(helpers) + (0 if self.requests.helpers.is_helper else 1),
            len(advertised) + (0 if self.advertised else 1),
        )
        if self.advertised != was_advertised:
            logger.info('[placement] advertised to callers: %s', self.advertised)

    def _adopt_routes(self, version: int, document: bytes) -> None:
        routes = self.state.routes
        if routes is not None and version <= routes.version:
            return
        try:
            decoded = self.decode_routes(unpack_document(document))
        except CodedError as error:
            logger.error('[lease] routes of version %d are unreadable: %s', version, error.detail)
            return
        set_routes(self.state, RouteTable(decoded))
        limits = decoded.limits
        self.caller_server.limits = ServerLimits(
            limits.header_limit_bytes,
            limits.body_limit_bytes,
            limits.header_timeout_ms / 1000.0,
            limits.idle_timeout_ms / 1000.0,
            self.caller_server.limits.connection_limit_count,
        )
        logger.info('[lease] routes in force: version=%d routes=%d', version, len(decoded.routes))
        self._update_connections(list(self.state.table.endpoints))

    def _update_connections(self, endpoints: list[str]) -> None:
        routes = self.state.routes
        if routes is None:
            return
        services_in_use = {name for route in routes.routes.routes for name in route_services(route)}
        shards = shard_services(routes.routes)
        own_domain, helpers = self.settings.failure_domain, self.requests.helpers
        now_ms = monotonic_ms()
        shard_sets = {route.gather.shards for route in routes.routes.routes if route.gather}
        near = self.state.table.services_in(own_domain)
        own = {
            shard
            for shards in shard_sets
            for shard in own_shards(helpers, now_ms, own_domain, shards, near)
        }
        for endpoint in endpoints:
            load = self.state.table.endpoints.get(endpoint)
            if load is not None and load in self.state.table.usable(load.record.service):
                service, domain = load.record.service, load.record.failure_domain
                is_shard = service in shards
                is_asked_elsewhere = is_shard and domain == own_domain and service not in own
                if (
                    service in services_in_use
                    and not is_asked_elsewhere
                    and should_preconnect(helpers, now_ms, own_domain, domain, is_shard)
                ):
                    self.requests.pool.preconnect(load.record)
            else:
                self.requests.pool.close_idle_connections(endpoint)

    def _on_readiness(self, request: Request, respond: Respond) -> Cancel | None:
        call = self.control_wire.decode_call(request)
        code = ResultCode.UNKNOWN_PATH
        if isinstance(call, CheckReadiness):
            code = ResultCode.ACCEPTED if self.ready() else ResultCode.FENCED
        respond(self.control_wire.encode_outcome(Done(code)))
        return None
