"""Send groups of attempts through other entry instances, and send theirs."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from msgspec.structs import replace

from pistachioloft_core.connection.endpoint_load import LoadReport
from pistachioloft_core.messages.relay import (
    RelayCancel,
    RelayedAttempt,
    RelayedEnd,
    RelayRequest,
    RelayResults,
)
from pistachioloft_core.request import relay
from pistachioloft_core.request.attempts import (
    Attempt,
    AttemptEnd,
    Ended,
    begin_attempt,
    note_sent,
    release_attempt,
    withdraw_attempt,
)
from pistachioloft_core.request.hedge_delay import late_after_ms
from pistachioloft_core.request.placement import has_room
from pistachioloft_core.request.records import greatest_records

from .http1.messages import Response
from .loop_timers import monotonic_ms
from .routed_messages import EndpointReply

if TYPE_CHECKING:
    from pistachioloft_core.connection.endpoint_load import EndpointLoad
    from pistachioloft_core.messages.routes import Route
    from pistachioloft_core.request.relay import Helper, RelayPlan
    from pistachioloft_core.request.routed_state import RoutedState

    from .endpoint_pool import EndpointPool
    from .loop_timers import LoopTimers
    from .routed_messages import RoutedRequest

logger = logging.getLogger(__name__)

PREFIX = '[routing]'
# A helper sends what it has after the time in which an attempt is late; if nothing came in this
# time beyond, it is gone or stands still.
SILENT_MS = 250.0
CHECK_INTERVAL_MS = 100.0
GROUP_LIMIT_COUNT = 2_000

Send = Callable[[str, object], bool]
Ends = list[tuple[Attempt, AttemptEnd]]
Encode = Callable[['RoutedRequest', str, float], bytes]


@dataclass(frozen=True, slots=True)
class RelayHooks:
    """Name the callbacks for what leaves this part."""

    send: Send
    ended: Callable[[Ends], None]
    encode: Encode
    routed: Callable[[RelayRequest], RoutedRequest]
    reconnect: Callable[[str], None]


class _OpenRelay:
    """Hold a group that a helper has."""

    def __init__(self, helper: Helper, attempts: dict[str, Attempt], sent_ms: float) -> None:
        self.helper = helper
        self.attempts = attempts
        self.sent_ms = sent_ms
        self.heard = False
        self.silent_at_ms = sent_ms + SILENT_MS


class _Group:
    """Hold a group that this instance sends for another."""

    def __init__(self, sender: str, request: RelayRequest, routed: RoutedRequest) -> None:
        self.sender = sender
        self.request = request
        self.routed = routed
        self.open: dict[str, Attempt] = {}
        self.ends: list[RelayedEnd] = []
        self.bodies: list[bytes] = []
        self.flushed = False
        self.received_ms = monotonic_ms()


class Relays:
    """Hold the groups that this instance gave to others and those that it was given."""

    def __init__(
        self, state: RoutedState, timers: LoopTimers, pool: EndpointPool, hooks: RelayHooks
    ) -> None:
        self.state = state
        self.timers = timers
        self.pool = pool
        self.hooks = hooks
        self.given: dict[str, _OpenRelay] = {}
        self.given_of: dict[str, str] = {}
        # By sender and relay: what arrived in this turn of the loop.
        self.arrived: dict[tuple[str, str], RelayRequest] = {}
        self.groups: dict[str, _Group] = {}
        self.group_of: dict[str, str] = {}
        self.number = 0
        timers.every(CHECK_INTERVAL_MS, self._check_silent)

    # Groups given to helpers.

    def give(self, plan: RelayPlan, routed: RoutedRequest, top_count: int) -> bool:
        """Send attempts through a helper and tell whether it could be reached at all."""
        now_ms = monotonic_ms()
        first = plan.sends[0]
        route = first.attempt.route
        self.number += 1
        relay_id = f'{self.state.instance}/{self.number}'
        gather_ms = max(late_after_ms(self.state, route, s.attempt.service) for s in plan.sends)
        request = RelayRequest(
            relay_id,
            route.name,
            routed.request_id,
            routed.head,
            routed.body,
            first.time_left_ms,
            gather_ms,
            top_count,
            tuple(
                RelayedAttempt(send.attempt.attempt_id, send.attempt.load.record.endpoint)
                for send in plan.sends
            ),
        )
        if not self.hooks.send(plan.helper.instance, request):
            return False
        attempts = {send.attempt.attempt_id: send.attempt for send in plan.sends}
        self.given[relay_id] = open_relay = _OpenRelay(plan.helper, attempts, now_ms)
        open_relay.silent_at_ms += gather_ms
        relay.note_sent(plan.helper)
        for attempt in attempts.values():
            self.given_of[attempt.attempt_id] = relay_id
            # Until the helper sends what it has, nothing is known of any of them.
            waits_ms = gather_ms - attempt.late_after_ms + plan.helper.overhead_ms()
            note_sent(attempt, now_ms, waits_ms)
        return True

    def on_results(self, results: RelayResults) -> None:
        """Take what a helper got."""
        open_relay = self.given.get(results.relay_id)
        if open_relay is None:
            return
        now_ms = monotonic_ms()
        open_relay.silent_at_ms = float('inf')
        if not open_relay.heard:
            open_relay.heard = True
            relay.note_trip(open_relay.helper, now_ms - open_relay.sent_ms - results.held_ms)
        records = results.records
        ended: Ends = []
        for end in results.ends:
            attempt = open_relay.attempts.pop(end.attempt_id, None)
            self.given_of.pop(end.attempt_id, None)
            if attempt is None:
                # Attempts are withdrawn only once their query has its answer.
                continue
            ended.append((attempt, _decode_end(end, records)))
            if end.ended == Ended.ANSWERED.value:
                records = b''
        if not open_relay.attempts:
            del self.given[results.relay_id]
            relay.note_ended(open_relay.helper)
        self.hooks.ended(ended)

    def holds(self, attempt: Attempt) -> bool:
        """Tell whether a helper has an attempt."""
        return attempt.attempt_id in self.given_of

    def abandon(self, attempt: Attempt) -> bool:
        """Withdraw an attempt that a helper has, and tell whether it had it."""
        relay_id = self.given_of.pop(attempt.attempt_id, None)
        if relay_id is None:
            return False
        open_relay = self.given[relay_id]
        del open_relay.attempts[attempt.attempt_id]
        self.hooks.send(open_relay.helper.instance, RelayCancel((attempt.attempt_id,)))
        if not open_relay.attempts:
            del self.given[relay_id]
            relay.note_ended(open_relay.helper)
        release_attempt(attempt)
        return True

    def _check_silent(self, now_ms: float) -> None:
        for relay_id, open_relay in list(self.given.items()):
            if now_ms < open_relay.silent_at_ms:
                continue
            del self.given[relay_id]
            name = open_relay.helper.instance
            relay.note_silent(open_relay.helper, now_ms)
            # What waits for a connection that does not work would come late.
            self.hooks.reconnect(name)
            logger.warning('%s helper silent: instance=%s relay=%s', PREFIX, name, relay_id)
            for attempt_id in open_relay.attempts:
                self.given_of.pop(attempt_id, None)
            end = AttemptEnd(Ended.LOST, f'helper {name} is silent', blameless=True)
            self.hooks.ended([(attempt, end) for attempt in open_relay.attempts.values()])

    # Groups sent for others.

    def on_request(self, sender: str, request: RelayRequest) -> None:
        """Send the attempts of another instance, unless they are withdrawn in the same turn."""
        # After a stall of the connection, a group and its cancellation arrive together.
        key = (sender, request.relay_id)
        self.arrived[key] = request
        asyncio.get_running_loop().call_soon(self._start, key)

    def _start(self, key: tuple[str, str]) -> None:
        request = self.arrived.pop(key, None)
        if request is None:
            return
        sender = key[0]
        group = _Group(sender, request, self.hooks.routed(request))
        route = self._route(request.route)
        now_ms = monotonic_ms()
        sends: list[tuple[Attempt, bytes]] = []
        for each in request.attempts:
            load = self.state.table.endpoints.get(each.endpoint)
            if route is None or load is None or not has_room(self.state, load):
                detail = 'not usable at the helper'
                ended = Ended.NOT_SENT.value
                group.ends.append(RelayedEnd(each.attempt_id, ended, detail, b'', 0.0))
                continue
            sends.append(self._begin(group, route, load, each, now_ms))
        if not sends:
            self._flush(group)
            return
        self.groups[request.relay_id] = group
        for attempt, data in sends:
            self.pool.send(attempt, data)
        self.timers.at(now_ms + request.gather_ms, lambda _ms: self._flush(group))

    def on_cancel(self, sender: str, cancel: RelayCancel) -> None:
        """Withdraw attempts of another instance."""
        now_ms = monotonic_ms()
        self._withdraw_arrived(sender, set(cancel.attempt_ids))
        for attempt_id in cancel.attempt_ids:
            name = f'{sender}/{attempt_id}'
            group = self.groups.get(self.group_of.pop(name, ''))
            attempt = group.open.pop(name, None) if group is not None else None
            if group is None or attempt is None:
                continue
            if self.pool.abandon(attempt):
                withdraw_attempt(self.state, now_ms, attempt)
            self._forget_if_done(group)

    def _withdraw_arrived(self, sender: str, attempt_ids: set[str]) -> None:
        """Drop attempts that arrived in this turn and were not sent yet."""
        for key, request in list(self.arrived.items()):
            kept = tuple(each for each in request.attempts if each.attempt_id not in attempt_ids)
            if key[0] != sender or len(kept) == len(request.attempts):
                continue
            if kept:
                self.arrived[key] = replace(request, attempts=kept)
            else:
                del self.arrived[key]

    def request_id_of(self, attempt_id: str) -> str | None:
        """Return the request of an attempt that is sent for another instance."""
        group = self.groups.get(self.group_of.get(attempt_id, ''))
        return group.request.request_id if group is not None else None

    def on_end(self, attempt: Attempt, end: AttemptEnd) -> bool:
        """Take the end of an attempt if it is sent for another instance."""
        group = self.groups.get(self.group_of.pop(attempt.attempt_id, ''))
        if group is None:
            return False
        group.open.pop(attempt.attempt_id, None)
        own_id = attempt.attempt_id.removeprefix(f'{group.sender}/')
        group.ends.append(_encode_end(own_id, attempt, end))
        if end.ended is Ended.ANSWERED:
            group.bodies.append(end.reply.response.body)
        if group.flushed or not group.open:
            self._flush(group)
        return True

    def _begin(
        self,
        group: _Group,
        route: Route,
        load: EndpointLoad,
        each: RelayedAttempt,
        now_ms: float,
    ) -> tuple[Attempt, bytes]:
        name = f'{group.sender}/{each.attempt_id}'
        attempt = begin_attempt(self.state, now_ms, name, route, load.record.service, load)
        group.open[name] = attempt
        self.group_of[name] = group.request.relay_id
        data = self.hooks.encode(group.routed, each.endpoint, group.request.time_left_ms)
        return attempt, data

    def _flush(self, group: _Group) -> None:
        group.flushed = True
        if group.ends:
            ends, group.ends = tuple(group.ends), []
            records = greatest_records(group.bodies, group.request.top_count)
            group.bodies = []
            held_ms = monotonic_ms() - group.received_ms
            results = RelayResults(group.request.relay_id, ends, records, held_ms)
            self.hooks.send(group.sender, results)
        self._forget_if_done(group)

    def _forget_if_done(self, group: _Group) -> None:
        if not group.open and not group.ends:
            self.groups.pop(group.request.relay_id, None)

    def _route(self, name: str) -> Route | None:
        routes = self.state.routes
        if routes is None or len(self.groups) >= GROUP_LIMIT_COUNT:
            return None
        return next((route for route in routes.routes.routes if route.name == name), None)


def _encode_end(attempt_id: str, attempt: Attempt, end: AttemptEnd) -> RelayedEnd:
    load = None
    if end.report is not None:
        load = (end.report.running_count, end.report.waiting_count, end.report.slot_count)
    receipt = end.reply.receipt if end.ended is Ended.ANSWERED else b''
    latency_ms = attempt.latency_ms(monotonic_ms())
    return RelayedEnd(
        attempt_id, end.ended.value, end.detail, receipt, latency_ms, end.absent, load
    )


def _decode_end(end: RelayedEnd, records: bytes) -> AttemptEnd:
    ended = Ended(end.ended)
    reply = None
    if ended is Ended.ANSWERED:
        # The records of all answered attempts are merged already; the first one carries them.
        reply = EndpointReply(end.receipt, Response(200, (), records))
    report = LoadReport(*end.load) if end.load is not None else None
    return AttemptEnd(ended, end.detail, reply, report, end.absent, end.latency_ms, merged=True)
