"""Groups of shards that entry instances ask for through each other."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pistachioloft_core.messages.relay import (
    RelayCancel,
    RelayedReply,
    RelayRequest,
    RelayResults,
    RelayTried,
)
from pistachioloft_core.request import relay
from pistachioloft_core.request.records import greatest_records

from .http1.messages import Response
from .loop_timers import monotonic_ms
from .routed_messages import EndpointReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioloft_core.request.attempts import GiveGroup
    from pistachioloft_core.request.gather import GatherState
    from pistachioloft_core.request.relay import Helper

    from .in_flight import InFlight
    from .loop_timers import LoopTimers

logger = logging.getLogger(__name__)

PREFIX = '[routing]'
# A helper sends what it has in time for the answer; if nothing came in this time beyond, it is
# gone or stands still.
SILENT_MS = 250.0
CHECK_INTERVAL_MS = 100.0

Replies = list[tuple[str, EndpointReply]]


@dataclass(frozen=True, slots=True)
class RelayHooks:
    """Name the callbacks for what leaves this part."""

    send: Callable[[str, object], bool]
    reconnect: Callable[[str], None]
    # For the instance that asks: what became of shards that it gave to a helper.
    replied: Callable[[InFlight, Replies], None]
    lost: Callable[[InFlight, list[str], str], None]
    refused: Callable[[InFlight, list[str]], None]
    # The same of a helper that is gone, with those that it sent to a second endpoint.
    gone: Callable[[InFlight, list[str], set[str], str], None]
    # For the helper: asks for the shards of a group, or returns None if it can't.
    begin: Callable[[RelayedGroup], InFlight | None]
    withdraw: Callable[[InFlight], None]


class GivenGroup:
    """Hold a group that a helper has."""

    __slots__ = (
        'heard',
        'helper',
        'in_flight',
        'late_at_ms',
        'sent_ms',
        'services',
        'silent_at_ms',
        'tried_twice',
    )

    def __init__(
        self, helper: Helper, in_flight: InFlight, services: set[str], sent_ms: float
    ) -> None:
        self.helper = helper
        self.in_flight = in_flight
        # Those without a reply so far.
        self.services = services
        # Those that the helper sent to a second endpoint.
        self.tried_twice: set[str] = set()
        self.sent_ms = sent_ms
        self.heard = False
        # When something should have come, and when the group is given up if nothing has.
        self.late_at_ms = float('inf')
        self.silent_at_ms = float('inf')


class RelayedGroup:
    """Hold a group that this instance asks for, for another."""

    __slots__ = ('flushed', 'in_flight', 'received_ms', 'reported', 'request', 'sender')

    def __init__(self, sender: str, request: RelayRequest) -> None:
        self.sender = sender
        self.request = request
        self.received_ms = monotonic_ms()
        # Services whose replies were sent to the other instance.
        self.reported: set[str] = set()
        self.flushed = False
        self.in_flight: InFlight | None = None


class Relays:
    """Hold the groups that this instance gave to others and those that it was given."""

    def __init__(
        self, instance: str, timers: LoopTimers, hooks: RelayHooks, first_number: int
    ) -> None:
        self.instance = instance
        self.timers = timers
        self.hooks = hooks
        self.given: dict[str, GivenGroup] = {}
        # By sender and relay: what arrived in this turn of the loop.
        self.arrived: dict[tuple[str, str], RelayedGroup] = {}
        self.groups: dict[str, RelayedGroup] = {}
        # A random first number keeps results for an earlier process from matching a group.
        self.number = first_number
        timers.every(CHECK_INTERVAL_MS, self._check_silent)

    # Groups given to helpers.

    def give(self, in_flight: InFlight, group: GiveGroup) -> bool:
        """Ask a helper for shards and tell whether it could be reached at all."""
        now_ms = monotonic_ms()
        routed, state = in_flight.routed, in_flight.state
        gathered = state.route.gather
        assert gathered is not None
        self.number += 1
        relay_id = f'{self.instance}/{self.number}'
        flush_after_ms = max(0.0, group.flush_at_ms - now_ms)
        request = RelayRequest(
            relay_id,
            state.route.name,
            routed.request_id,
            routed.head,
            routed.body,
            routed.digest,
            state.suspected,
            state.limit_ms - now_ms,
            flush_after_ms,
            gathered.top_count,
            group.services,
        )
        if not self.hooks.send(group.helper.instance, request):
            return False
        given = GivenGroup(group.helper, in_flight, set(group.services), now_ms)
        given.late_at_ms = now_ms + flush_after_ms + group.helper.overhead_ms()
        given.silent_at_ms = given.late_at_ms + SILENT_MS
        self.given[relay_id] = given
        in_flight.relay_ids.append(relay_id)
        relay.note_sent(group.helper)
        return True

    def on_results(self, results: RelayResults) -> None:
        """Take what a helper got."""
        given = self.given.get(results.relay_id)
        if given is None:
            return
        now_ms = monotonic_ms()
        given.late_at_ms = given.silent_at_ms = float('inf')
        if not given.heard:
            given.heard = True
            relay.note_trip(given.helper, now_ms - given.sent_ms - results.held_ms)
        if results.done:
            self._forget(results.relay_id, given)
        given.services -= {reply.service for reply in results.replies}
        if results.refused:
            logger.info(
                '%s group refused: request=%s helper=%s',
                PREFIX,
                given.in_flight.routed.request_id,
                given.helper.instance,
            )
            self.hooks.refused(given.in_flight, sorted(given.services))
            return
        if results.replies:
            self.hooks.replied(given.in_flight, _decode_replies(results))
        if results.done and given.services:
            detail = f'helper {given.helper.instance} got no reply'
            self.hooks.lost(given.in_flight, sorted(given.services), detail)

    def withdraw(self, in_flight: InFlight, after_ms: float) -> None:
        """Withdraw the groups of a request, after some time to finish."""
        relay_ids = [each for each in in_flight.relay_ids if each in self.given]
        if not relay_ids:
            return
        if after_ms > 0:
            self.timers.at(monotonic_ms() + after_ms, lambda _ms: self._cancel(relay_ids))
        else:
            self._cancel(relay_ids)

    def _cancel(self, relay_ids: list[str]) -> None:
        for relay_id in relay_ids:
            given = self.given.get(relay_id)
            if given is not None:
                self._forget(relay_id, given)
                self.hooks.send(given.helper.instance, RelayCancel(relay_id))

    def _forget(self, relay_id: str, given: GivenGroup) -> None:
        del self.given[relay_id]
        relay.note_ended(given.helper)

    def _check_silent(self, now_ms: float) -> None:
        for relay_id, given in list(self.given.items()):
            if self.given.get(relay_id) is not given:
                # The query of a silent group before it gave up and withdrew its other groups.
                continue
            name = given.helper.instance
            if now_ms >= given.late_at_ms:
                given.late_at_ms = float('inf')
                relay.note_late(given.helper, now_ms)
                logger.info('%s helper late: instance=%s relay=%s', PREFIX, name, relay_id)
            if now_ms < given.silent_at_ms:
                continue
            # What waits for a connection that does not work would come late.
            self.hooks.reconnect(name)
            self._give_up(now_ms, relay_id, given, 'silent')

    def on_peer_left(self, instance: str) -> None:
        """Give up the groups of a helper whose process has ended."""
        now_ms = monotonic_ms()
        for relay_id, given in list(self.given.items()):
            if given.helper.instance == instance and self.given.get(relay_id) is given:
                self._give_up(now_ms, relay_id, given, 'gone')

    def _give_up(self, now_ms: float, relay_id: str, given: GivenGroup, why: str) -> None:
        del self.given[relay_id]
        relay.note_silent(given.helper, now_ms)
        name = given.helper.instance
        logger.warning(
            '%s helper %s: instance=%s relay=%s request=%s',
            PREFIX,
            why,
            name,
            relay_id,
            given.in_flight.routed.request_id,
        )
        # One that still runs must not try its shards beside this instance.
        self.hooks.send(name, RelayCancel(relay_id))
        detail = f'helper {name} is {why}'
        self.hooks.gone(given.in_flight, sorted(given.services), given.tried_twice, detail)

    def on_tried(self, tried: RelayTried) -> None:
        """Take note that a helper sent a shard to a second endpoint."""
        given = self.given.get(tried.relay_id)
        if given is not None:
            given.tried_twice.add(tried.service)

    # Groups that this instance asks for.

    def on_request(self, sender: str, request: RelayRequest) -> None:
        """Ask for the shards of another instance, unless they are withdrawn in the same turn."""
        # After a stall of the connection, a group and its cancellation arrive together.
        key = (sender, request.relay_id)
        self.arrived[key] = RelayedGroup(sender, request)
        asyncio.get_running_loop().call_soon(self._start, key)

    def _start(self, key: tuple[str, str]) -> None:
        group = self.arrived.pop(key, None)
        if group is None:
            return
        request = group.request
        self.groups[request.relay_id] = group
        group.in_flight = self.hooks.begin(group)
        if group.in_flight is None:
            del self.groups[request.relay_id]
            refusal = RelayResults(request.relay_id, (), b'', 0.0, done=True, refused=True)
            self.hooks.send(group.sender, refusal)
        elif request.relay_id in self.groups:
            flush_at_ms = group.received_ms + request.flush_after_ms
            self.timers.at(flush_at_ms, lambda _ms: self._on_flush_time(group))

    def on_cancel(self, sender: str, cancel: RelayCancel) -> None:
        """Withdraw a group of another instance."""
        if self.arrived.pop((sender, cancel.relay_id), None) is not None:
            return
        group = self.groups.get(cancel.relay_id)
        if group is not None and group.sender == sender:
            del self.groups[cancel.relay_id]
            if group.in_flight is not None:
                self.hooks.withdraw(group.in_flight)

    def tell_tried(self, group: RelayedGroup, service: str) -> None:
        """Tell the instance that asks that a shard is sent to a second endpoint."""
        self.hooks.send(group.sender, RelayTried(group.request.relay_id, service))

    def on_progress(self, group: RelayedGroup, state: GatherState) -> None:
        """Send the replies that came after the flush."""
        if group.flushed:
            self._send_results(group, state, done=False)

    def finish(self, group: RelayedGroup, state: GatherState) -> None:
        """Send what was not sent before; nothing more follows."""
        if self.groups.get(group.request.relay_id) is group:
            del self.groups[group.request.relay_id]
            self._send_results(group, state, done=True)

    def _on_flush_time(self, group: RelayedGroup) -> None:
        if self.groups.get(group.request.relay_id) is not group:
            return
        group.flushed = True
        assert group.in_flight is not None
        self._send_results(group, group.in_flight.query, done=False)

    def _send_results(self, group: RelayedGroup, state: GatherState, done: bool) -> None:
        news = [
            shard for shard in state.shards if shard.replied and shard.service not in group.reported
        ]
        if not news and not done:
            return
        group.reported.update(shard.service for shard in news)
        bodies = [shard.reply.response.body for shard in news]
        results = RelayResults(
            group.request.relay_id,
            tuple(RelayedReply(shard.service, shard.reply.receipt) for shard in news),
            greatest_records(bodies, group.request.top_count),
            monotonic_ms() - group.received_ms,
            done,
        )
        self.hooks.send(group.sender, results)


def _decode_replies(results: RelayResults) -> Replies:
    # The records of all shards are merged already; the first one carries them.
    records = results.records
    replies: Replies = []
    for reply in results.replies:
        replies.append((reply.service, EndpointReply(reply.receipt, Response(200, (), records))))
        records = b''
    return replies
