"""Groups of shards that entry instances delegate to each other."""

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
from pistachioloft_core.request import delegation
from pistachioloft_core.request.records import greatest_records

from .http1.messages import Response
from .loop_timers import monotonic_ms
from .routed_messages import EndpointReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioloft_core.request.attempts import DelegateGroup
    from pistachioloft_core.request.delegation import Helper
    from pistachioloft_core.request.gather_state import GatherState, ShardState

    from .in_flight import InFlight
    from .loop_timers import LoopTimers

logger = logging.getLogger(__name__)

PREFIX = '[routing]'
# A helper sends its replies in time for the answer. If none arrive within this delay after they
# are due, the helper has ended or is stalled.
GIVE_UP_DELAY_MS = 250.0
# A helper whose first results are overdue by more than this is suspended; a busy one sends them a
# little late, and without helpers an instance sends all of its shards itself.
LATE_DELAY_MS = 50.0
CHECK_INTERVAL_MS = 100.0
# Replies that arrive after the flush are collected for this long: reading a message takes the
# delegating instance longer than a helper waits for the next replies.
PROGRESS_INTERVAL_MS = 2.0
# After a pause of this process, messages that waited meanwhile are read for up to this long.
BACKLOG_MS = 1_000.0

Replies = list[tuple[str, EndpointReply]]


@dataclass(frozen=True, slots=True)
class RelayHooks:
    """Bundle the callbacks to the peers and to the requests in flight."""

    send: Callable[[str, object], bool]
    reconnect: Callable[[str], None]
    # At the delegating instance: the outcome of the shards that it delegated to a helper.
    replied: Callable[[InFlight, Replies], None]
    # Shards without a reply, with the number of endpoints that may have run each.
    unanswered: Callable[[InFlight, dict[str, int], str], None]
    refused: Callable[[InFlight, list[str], str], None]
    # At the delegating instance: the shards without a reply of a lost helper, and the shards that
    # it had sent to a second endpoint.
    helper_lost: Callable[[InFlight, list[str], set[str], str], None]
    # At the helper: queries the shards of a group, or returns None if it cannot.
    begin: Callable[[IncomingGroup], InFlight | None]
    withdraw: Callable[[InFlight], None]
    # At the delegating instance: records the queue waits that a helper reports.
    record_waits: Callable[[str, tuple[RelayedReply, ...]], None]
    # At the delegating instance: counts a group by its end.
    count_group: Callable[[str], None] = lambda _end: None


class OutgoingGroup:
    """Hold a group that this instance delegated to a helper."""

    __slots__ = (
        'due_ms',
        'has_results',
        'helper',
        'in_flight',
        'late',
        'retried_services',
        'sent_ms',
        'services',
        'shard_count',
    )

    def __init__(
        self, helper: Helper, in_flight: InFlight, services: set[str], sent_ms: float, due_ms: float
    ) -> None:
        self.helper = helper
        self.in_flight = in_flight
        # The services without a reply so far.
        self.services = services
        self.shard_count = len(services)
        # The services whose sub-requests the helper sent to a second endpoint.
        self.retried_services: set[str] = set()
        self.sent_ms = sent_ms
        # When the first results should have arrived.
        self.due_ms = due_ms
        self.has_results = False
        # Whether the helper was suspended because of this group.
        self.late = False

    def is_overdue(self, now_ms: float) -> bool:
        """Return whether the first results should have arrived and have not."""
        return not self.has_results and now_ms >= self.due_ms


class IncomingGroup:
    """Hold a group that another instance delegated to this one."""

    __slots__ = (
        'flushed',
        'in_flight',
        'progress_timer',
        'received_ms',
        'reported',
        'request',
        'sender',
    )

    def __init__(self, sender: str, request: RelayRequest) -> None:
        self.sender = sender
        self.request = request
        self.received_ms = monotonic_ms()
        # Services whose replies were sent to the other instance.
        self.reported: set[str] = set()
        self.flushed = False
        # Set while replies are collected after the flush.
        self.progress_timer = 0
        self.in_flight: InFlight | None = None


class Relays:
    """Hold the groups delegated to other instances and those delegated to this one."""

    def __init__(
        self, instance: str, timers: LoopTimers, hooks: RelayHooks, first_number: int
    ) -> None:
        self.instance = instance
        self.timers = timers
        self.hooks = hooks
        self.outgoing: dict[str, OutgoingGroup] = {}
        # By sender and relay id: groups received in this turn of the event loop.
        self.starting: dict[tuple[str, str], IncomingGroup] = {}
        self.incoming: dict[str, IncomingGroup] = {}
        # A random first number keeps results for an earlier incarnation from matching a group.
        self.number = first_number
        self.checked_ms = monotonic_ms()
        # When the last pause of this process began, and until when its backlog is read.
        self.paused_ms = self.checked_ms
        self.backlog_until_ms = self.checked_ms
        timers.every(CHECK_INTERVAL_MS, self._check_helpers)

    # Groups delegated to helpers.

    def delegate(self, in_flight: InFlight, group: DelegateGroup) -> bool:
        """Send a group to a helper and return whether there is a connection to it."""
        now_ms = monotonic_ms()
        routed, state = in_flight.routed, in_flight.state
        gather_rule = state.route.gather
        assert gather_rule is not None
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
            state.deadline_at_ms - now_ms,
            flush_after_ms,
            gather_rule.top_count,
            group.services,
            routed.organisation,
            state.priority,
        )
        if not self.hooks.send(group.helper.instance, request):
            return False
        due_ms = now_ms + flush_after_ms + group.helper.overhead_ms()
        outgoing = OutgoingGroup(group.helper, in_flight, set(group.services), now_ms, due_ms)
        self.outgoing[relay_id] = outgoing
        in_flight.relay_ids.append(relay_id)
        delegation.record_group_sent(group.helper)
        return True

    def on_results(self, results: RelayResults) -> None:
        """Handle the results of a helper."""
        outgoing = self.outgoing.get(results.relay_id)
        if outgoing is None:
            return
        now_ms = monotonic_ms()
        if not outgoing.has_results:
            outgoing.has_results = True
            delegation.record_round_trip(
                outgoing.helper, now_ms - outgoing.sent_ms - results.processing_ms
            )
        if results.done:
            self._forget(results.relay_id, outgoing)
        outgoing.services -= {reply.service for reply in results.replies}
        if results.done:
            self.hooks.count_group(_describe_end(results, outgoing))
        if results.refused or len(results.untried) == outgoing.shard_count:
            delegation.record_unable_helper(outgoing.helper, now_ms)
        if results.refused:
            logger.info(
                '%s group refused: request=%s helper=%s',
                PREFIX,
                outgoing.in_flight.routed.request_id,
                outgoing.helper.instance,
            )
            name = outgoing.helper.instance
            self.hooks.refused(outgoing.in_flight, sorted(outgoing.services), name)
            return
        if results.replies:
            self.hooks.record_waits(outgoing.helper.instance, results.replies)
            self.hooks.replied(outgoing.in_flight, _decode_replies(results))
        if results.done and outgoing.services:
            self._return_unanswered(outgoing, results)

    def _return_unanswered(self, outgoing: OutgoingGroup, results: RelayResults) -> None:
        """Return the shards for which a helper has no reply to their query."""
        name, in_flight = outgoing.helper.instance, outgoing.in_flight
        # An instance of an earlier build does not state how often a shard may have run.
        attempt_limit = in_flight.state.route.attempt_limit
        stated_counts = dict(results.unanswered)
        run_counts = {
            service: stated_counts.get(service, attempt_limit)
            for service in sorted(outgoing.services.difference(results.untried))
        }
        if run_counts:
            self.hooks.unanswered(in_flight, run_counts, f'helper {name} got no reply')
        untried = sorted(outgoing.services.intersection(results.untried))
        if untried:
            logger.info(
                '%s shards not tried: request=%s helper=%s shards=%s',
                PREFIX,
                in_flight.routed.request_id,
                name,
                ','.join(untried),
            )
            self.hooks.refused(in_flight, untried, name)

    def withdraw(self, in_flight: InFlight, after_ms: float) -> None:
        """Withdraw the groups of a request after a delay in which they may still finish."""
        relay_ids = [relay_id for relay_id in in_flight.relay_ids if relay_id in self.outgoing]
        if not relay_ids:
            return
        if after_ms > 0:
            self.timers.at(monotonic_ms() + after_ms, lambda _ms: self._cancel(relay_ids))
        else:
            self._cancel(relay_ids)

    def _cancel(self, relay_ids: list[str]) -> None:
        now_ms = monotonic_ms()
        for relay_id in relay_ids:
            outgoing = self.outgoing.get(relay_id)
            if outgoing is not None:
                self._forget(relay_id, outgoing)
                self._send_cancel(now_ms, relay_id, outgoing)

    def _send_cancel(self, now_ms: float, relay_id: str, outgoing: OutgoingGroup) -> None:
        """Cancel a group, on a new connection if its results are overdue."""
        helper, overdue = outgoing.helper.instance, outgoing.is_overdue(now_ms)
        if overdue:
            # Messages queued on a silent connection would never arrive.
            self.hooks.reconnect(helper)
        self.hooks.send(helper, RelayCancel(relay_id, overdue))

    def _forget(self, relay_id: str, outgoing: OutgoingGroup) -> None:
        del self.outgoing[relay_id]
        delegation.record_group_ended(outgoing.helper)

    def stall_ms(self) -> float:
        """Return for how long a message that is read now may have waited in this process."""
        now_ms = monotonic_ms()
        since_ms = self.paused_ms if now_ms < self.backlog_until_ms else self.checked_ms
        return max(0.0, now_ms - since_ms - CHECK_INTERVAL_MS)

    def _check_helpers(self, now_ms: float) -> None:
        if now_ms - self.checked_ms > CHECK_INTERVAL_MS + GIVE_UP_DELAY_MS:
            self.paused_ms, self.backlog_until_ms = self.checked_ms, now_ms + BACKLOG_MS
        self.checked_ms = now_ms
        for relay_id, outgoing in list(self.outgoing.items()):
            if self.outgoing.get(relay_id) is not outgoing:
                # Giving up an earlier group of the same query withdrew this one.
                continue
            name = outgoing.helper.instance
            if outgoing.is_overdue(now_ms - LATE_DELAY_MS) and not outgoing.late:
                outgoing.late = True
                delegation.suspend_helper(outgoing.helper, now_ms)
                logger.info('%s helper late: instance=%s relay=%s', PREFIX, name, relay_id)
            if outgoing.is_overdue(now_ms - GIVE_UP_DELAY_MS):
                self._give_up(now_ms, relay_id, outgoing, 'silent')

    def on_peer_left(self, instance: str) -> None:
        """Give up the groups of a helper whose process has ended."""
        now_ms = monotonic_ms()
        for relay_id, outgoing in list(self.outgoing.items()):
            if outgoing.helper.instance == instance and self.outgoing.get(relay_id) is outgoing:
                self._give_up(now_ms, relay_id, outgoing, 'gone')

    def _give_up(self, now_ms: float, relay_id: str, outgoing: OutgoingGroup, reason: str) -> None:
        del self.outgoing[relay_id]
        self.hooks.count_group(reason)
        delegation.record_silent_helper(outgoing.helper, now_ms)
        name = outgoing.helper.instance
        logger.warning(
            '%s helper %s: instance=%s relay=%s request=%s',
            PREFIX,
            reason,
            name,
            relay_id,
            outgoing.in_flight.routed.request_id,
        )
        # A helper that still runs must not query its shards in parallel with this instance.
        self._send_cancel(now_ms, relay_id, outgoing)
        detail = f'helper {name} is {reason}'
        self.hooks.helper_lost(
            outgoing.in_flight, sorted(outgoing.services), outgoing.retried_services, detail
        )

    def record_extra_attempt(self, tried: RelayTried) -> None:
        """Record that a helper sent a shard's sub-request to a second endpoint."""
        outgoing = self.outgoing.get(tried.relay_id)
        if outgoing is not None:
            outgoing.retried_services.add(tried.service)

    # Groups delegated to this instance.

    def on_request(self, sender: str, request: RelayRequest) -> None:
        """Query the shards of a group unless it is withdrawn in the same turn of the loop."""
        # After a stall of the connection, a group and its cancellation arrive together.
        if self.stall_ms() > request.flush_after_ms + GIVE_UP_DELAY_MS:
            # It may have waited here until the other instance gave it up and queried the shards.
            logger.info('%s old group refused: request=%s', PREFIX, request.request_id)
            self._refuse(sender, request.relay_id)
            return
        key = (sender, request.relay_id)
        self.starting[key] = IncomingGroup(sender, request)
        asyncio.get_running_loop().call_soon(self._start, key)

    def _start(self, key: tuple[str, str]) -> None:
        group = self.starting.pop(key, None)
        if group is None:
            return
        request = group.request
        self.incoming[request.relay_id] = group
        group.in_flight = self.hooks.begin(group)
        if group.in_flight is None:
            del self.incoming[request.relay_id]
            self._refuse(group.sender, request.relay_id)
        elif request.relay_id in self.incoming:
            flush_at_ms = group.received_ms + request.flush_after_ms
            self.timers.at(flush_at_ms, lambda _ms: self._on_flush_time(group))

    def _refuse(self, sender: str, relay_id: str) -> None:
        refusal = RelayResults(relay_id, (), b'', 0.0, done=True, refused=True)
        self.hooks.send(sender, refusal)

    def on_cancel(self, sender: str, cancel: RelayCancel) -> None:
        """Withdraw a group of another instance."""
        if cancel.results_overdue:
            self.hooks.reconnect(sender)
        if self.starting.pop((sender, cancel.relay_id), None) is not None:
            return
        group = self.incoming.get(cancel.relay_id)
        if group is not None and group.sender == sender:
            del self.incoming[cancel.relay_id]
            if group.in_flight is not None:
                self.hooks.withdraw(group.in_flight)

    def report_extra_attempt(self, group: IncomingGroup, service: str) -> None:
        """Report to the delegating instance that a shard is sent to a second endpoint."""
        self.hooks.send(group.sender, RelayTried(group.request.relay_id, service))

    def on_progress(self, group: IncomingGroup, state: GatherState) -> None:
        """Send the replies that arrived after the flush, collected over a short time."""
        if group.flushed and not group.progress_timer and _unreported_shards(group, state):
            due_ms = monotonic_ms() + PROGRESS_INTERVAL_MS
            group.progress_timer = self.timers.at(due_ms, lambda _ms: self._send_progress(group))

    def _send_progress(self, group: IncomingGroup) -> None:
        group.progress_timer = 0
        if self.incoming.get(group.request.relay_id) is group and group.in_flight is not None:
            self._send_results(group, group.in_flight.query, done=False)

    def finish(self, group: IncomingGroup, state: GatherState) -> None:
        """Send the remaining replies as the last results of a group."""
        if self.incoming.get(group.request.relay_id) is group:
            del self.incoming[group.request.relay_id]
            self._send_results(group, state, done=True)

    def _on_flush_time(self, group: IncomingGroup) -> None:
        if self.incoming.get(group.request.relay_id) is not group:
            return
        group.flushed = True
        assert group.in_flight is not None
        # Sent even if no shard has replied: it shows that the connection works.
        self._send_results(group, group.in_flight.query, done=False)

    def _send_results(self, group: IncomingGroup, state: GatherState, done: bool) -> None:
        new_shards = _unreported_shards(group, state)
        group.reported.update(shard.service for shard in new_shards)
        bodies = [shard.reply.response.body for shard in new_shards]
        missing = [shard for shard in state.shards if done and not shard.replied]
        results = RelayResults(
            group.request.relay_id,
            tuple(_encode_reply(shard) for shard in new_shards),
            greatest_records(bodies, group.request.top_count),
            monotonic_ms() - group.received_ms,
            done,
            unanswered=tuple(
                (shard.service, shard.may_have_run_count)
                for shard in missing
                if shard.attempt_count
            ),
            untried=tuple(shard.service for shard in missing if not shard.attempt_count),
        )
        self.hooks.send(group.sender, results)


def _describe_end(results: RelayResults, outgoing: OutgoingGroup) -> str:
    if results.refused:
        return 'refused'
    return 'incomplete' if outgoing.services else 'complete'


def _unreported_shards(group: IncomingGroup, state: GatherState) -> list[ShardState]:
    return [
        shard for shard in state.shards if shard.replied and shard.service not in group.reported
    ]


def _encode_reply(shard: ShardState) -> RelayedReply:
    return RelayedReply(shard.service, shard.reply.receipt, round(shard.queue_wait_ms))


def _decode_replies(results: RelayResults) -> Replies:
    # The helper has merged the records of all shards, so the first reply carries them all.
    records = results.records
    replies: Replies = []
    for reply in results.replies:
        replies.append((reply.service, EndpointReply(reply.receipt, Response(200, (), records))))
        records = b''
    return replies
