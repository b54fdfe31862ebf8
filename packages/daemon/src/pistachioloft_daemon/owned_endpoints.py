"""Carry out what the owner of endpoints decides."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from pistachioloft_core.connection import actions as owner_actions
from pistachioloft_core.connection import owner
from pistachioloft_core.request.query_state import query_id_of

from .endpoint_client import ClientEvents, EndpointClient
from .loop_timers import monotonic_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioloft_core.messages.endpoint import SubReply
    from pistachioloft_core.messages.peer import (
        Attempt,
        AttemptResult,
        CrashReport,
        EndpointRecord,
    )

    from .loop_timers import LoopTimers

logger = logging.getLogger(__name__)

PREFIX = '[placement]'
# A message between instances costs the receiver about 0.2 ms, so results wait this long for
# others; the last result of a query leaves at once, because the query waits for it.
RESULT_HOLD_S = 0.003


@dataclass(frozen=True, slots=True)
class OwnerHooks:
    """Name the callbacks for what leaves the owner."""

    results: Callable[[str, tuple[AttemptResult, ...]], None]
    crashed: Callable[[CrashReport], None]
    draining: Callable[[str, int], None]
    owner_of: Callable[[str], str | None]
    forward: Callable[[str, tuple[Attempt, ...]], None]


class OwnedEndpoints:
    """Hold the owner's state, its connections and the results of this loop turn."""

    def __init__(self, instance: str, timers: LoopTimers, hooks: OwnerHooks) -> None:
        self.state = owner.OwnerState(instance)
        self.timers = timers
        self.hooks = hooks
        self.client = EndpointClient(
            ClientEvents(self._opened, self._closed, self._replied, self._failed, self._probed)
        )
        self.outgoing: dict[str, list[AttemptResult]] = {}
        self.flush_handle: asyncio.TimerHandle | None = None
        self.open_counts: dict[str, int] = {}
        self.sub_request_count = 0
        self.names: set[str] = set()

    def update(self, records: tuple[EndpointRecord, ...]) -> None:
        """Own exactly the endpoints of these records."""
        now_ms = monotonic_ms()
        names = {record.announcement.endpoint for record in records}
        for name in self.names - names:
            self._carry_out(owner.remove_endpoint(self.state, now_ms, name))
        for record in records:
            self._carry_out(owner.update_endpoint(self.state, now_ms, record))
        self.names = names

    def submit(self, attempts: tuple[Attempt, ...]) -> None:
        """Take attempts for owned endpoints and pass on those that have a new owner."""
        now_ms = monotonic_ms()
        kept = [attempt for attempt in attempts if not self._forward(attempt)]
        for attempt in kept:
            request_id = query_id_of(attempt.attempt_id)
            self.open_counts[request_id] = self.open_counts.get(request_id, 0) + 1
        for attempt in kept:
            actions = owner.submit(self.state, now_ms, attempt)
            if not actions and attempt.attempt_id not in self.state.attempt_endpoints:
                self._close_one(attempt.attempt_id)
            self._carry_out(actions)

    def _forward(self, attempt: Attempt) -> bool:
        """Pass an attempt on once, if its sender has not heard of the new owner yet."""
        if attempt.endpoint in self.names or attempt.forwarded:
            return False
        target = self.hooks.owner_of(attempt.endpoint)
        if target is None or target == self.state.instance:
            return False
        self.hooks.forward(target, (replace(attempt, forwarded=True),))
        return True

    def cancel(self, attempt_ids: tuple[str, ...]) -> None:
        """Withdraw attempts."""
        now_ms = monotonic_ms()
        for attempt_id in attempt_ids:
            self._carry_out(owner.cancel(self.state, now_ms, attempt_id))

    def is_idle(self) -> bool:
        """Say whether nothing is in flight or queued."""
        return all(
            seen.in_flight_count == 0 and seen.queue_length == 0
            for seen in owner.observations(self.state)
        )

    async def stop(self) -> None:
        """Close all connections."""
        await self.client.stop()

    def _opened(self, connection_id: str) -> None:
        self._carry_out(owner.on_connection_opened(self.state, monotonic_ms(), connection_id))

    def _closed(self, connection_id: str, detail: str) -> None:
        self._carry_out(
            owner.on_connection_closed(self.state, monotonic_ms(), connection_id, detail)
        )

    def _replied(self, connection_id: str, reply: SubReply) -> None:
        if reply.draining:
            self.hooks.draining(reply.endpoint, reply.incarnation)
        self._carry_out(owner.on_reply(self.state, monotonic_ms(), connection_id, reply))

    def _failed(self, connection_id: str, bytes_sent: bool, detail: str, refused: bool) -> None:
        now_ms = monotonic_ms()
        self._carry_out(
            owner.on_failure(self.state, now_ms, connection_id, bytes_sent, detail, refused)
        )
        # A failed exchange ends its connection, and the client has closed it already.
        self._carry_out(owner.on_connection_closed(self.state, now_ms, connection_id, detail))

    def _probed(self, connection_id: str) -> None:
        self._carry_out(owner.on_probe_answered(self.state, monotonic_ms(), connection_id))

    def _on_timer(self, now_ms: float) -> None:
        self._carry_out(owner.on_timer(self.state, now_ms))

    def _carry_out(self, actions: list[Any]) -> None:
        for action in actions:
            match action:
                case owner_actions.SendSubRequest():
                    self.sub_request_count += 1
                    self.client.send(action.connection_id, action.request)
                case owner_actions.Result():
                    self._queue_result(action.origin, action.result)
                case owner_actions.WakeAt():
                    self.timers.at(action.time_ms, self._on_timer)
                case owner_actions.OpenConnection():
                    self.client.open(action.connection_id, action.address)
                case owner_actions.CloseConnection():
                    self._close(action.connection_id)
                case owner_actions.SendCancel():
                    self.client.send_cancel(action.address, action.identity)
                case owner_actions.SendProbe():
                    self.client.probe(action.connection_id, action.identity)
                case owner_actions.ReportCrash():
                    self.hooks.crashed(action.report)
                case owner_actions.LogDecision():
                    logger.info(
                        '%s %s %s: %s', PREFIX, action.decision, action.subject, action.detail
                    )

    def _close(self, connection_id: str) -> None:
        self.client.close(connection_id)
        asyncio.get_running_loop().call_soon(self._closed, connection_id, 'closed here')

    def _queue_result(self, origin: str, result: AttemptResult) -> None:
        self.outgoing.setdefault(origin, []).append(result)
        if self._close_one(result.attempt_id):
            self._flush_origin(origin)
        elif self.flush_handle is None:
            loop = asyncio.get_running_loop()
            self.flush_handle = loop.call_later(RESULT_HOLD_S, self._flush)

    def _close_one(self, attempt_id: str) -> bool:
        """Count an attempt as ended and say whether it was the last of its request here."""
        request_id = query_id_of(attempt_id)
        left_count = self.open_counts.get(request_id, 1) - 1
        if left_count > 0:
            self.open_counts[request_id] = left_count
            return False
        self.open_counts.pop(request_id, None)
        return True

    def _flush_origin(self, origin: str) -> None:
        results = self.outgoing.pop(origin, None)
        if results:
            self.hooks.results(origin, tuple(results))

    def _flush(self) -> None:
        self.flush_handle = None
        for origin in list(self.outgoing):
            self._flush_origin(origin)
