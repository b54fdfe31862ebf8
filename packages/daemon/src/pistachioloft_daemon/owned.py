"""Carry out what the owner of endpoints decides."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pistachioloft_core.connection import actions as owner_actions
from pistachioloft_core.connection import owner

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
# A message between instances costs the receiver about 0.3 ms; results that arrive this close
# to each other share one.
RESULT_DELAY_S = 0.001


@dataclass(frozen=True, slots=True)
class OwnerHooks:
    """Name the callbacks for what leaves the owner."""

    results: Callable[[str, tuple[AttemptResult, ...]], None]
    crashed: Callable[[CrashReport], None]
    draining: Callable[[str, int], None]


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
        """Take attempts for owned endpoints."""
        now_ms = monotonic_ms()
        for attempt in attempts:
            self._carry_out(owner.submit(self.state, now_ms, attempt))

    def cancel(self, attempt_ids: tuple[str, ...]) -> None:
        """Withdraw attempts."""
        now_ms = monotonic_ms()
        for attempt_id in attempt_ids:
            self._carry_out(owner.cancel(self.state, now_ms, attempt_id))

    def idle(self) -> bool:
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

    def _failed(self, connection_id: str, bytes_sent: bool, detail: str) -> None:
        now_ms = monotonic_ms()
        self._carry_out(owner.on_failure(self.state, now_ms, connection_id, bytes_sent, detail))
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
        if not self.outgoing:
            asyncio.get_running_loop().call_later(RESULT_DELAY_S, self._flush)
        self.outgoing.setdefault(origin, []).append(result)

    def _flush(self) -> None:
        outgoing, self.outgoing = self.outgoing, {}
        for origin, results in outgoing.items():
            self.hooks.results(origin, tuple(results))
