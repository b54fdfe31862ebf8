"""Apply the decisions of the owner of endpoints."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from pistachioloft_core.connection import actions as owner_actions
from pistachioloft_core.connection import owner
from pistachioloft_core.request.query_state import query_id_of

from .endpoint_client import ConnectionHooks, EndpointClient
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
# A message between instances costs the receiver about 0.2 ms, so results are batched for this
# long. The last result of a request is sent at once, because the request waits for it.
RESULT_BATCH_DELAY_S = 0.003


@dataclass(frozen=True, slots=True)
class OwnerHooks:
    """Hold the callbacks through which the owner reaches the rest of the instance."""

    send_results: Callable[[str, tuple[AttemptResult, ...]], None]
    report_crash: Callable[[CrashReport], None]
    on_draining: Callable[[str, int], None]
    owner_of: Callable[[str], str | None]
    forward_attempts: Callable[[str, tuple[Attempt, ...]], None]


class OwnedEndpoints:
    """Hold the owner's state, its connections and the results that are batched."""

    def __init__(self, instance: str, timers: LoopTimers, hooks: OwnerHooks) -> None:
        self.state = owner.OwnerState(instance)
        self.timers = timers
        self.hooks = hooks
        self.client = EndpointClient(
            ConnectionHooks(
                self._on_opened,
                self._on_closed,
                self._on_reply,
                self._on_failure,
                self._on_probe_reply,
            )
        )
        self.queued_results: dict[str, list[AttemptResult]] = {}
        self.flush_handle: asyncio.TimerHandle | None = None
        self.open_attempt_counts: dict[str, int] = {}
        self.sub_request_count = 0
        self.owned_names: set[str] = set()

    def update(self, records: tuple[EndpointRecord, ...]) -> None:
        """Replace the owned endpoints by those of the records."""
        now_ms = monotonic_ms()
        owned_names = {record.announcement.endpoint for record in records}
        for name in self.owned_names - owned_names:
            self._apply_actions(owner.remove_endpoint(self.state, now_ms, name))
        for record in records:
            self._apply_actions(owner.update_endpoint(self.state, now_ms, record))
        self.owned_names = owned_names

    def submit(self, attempts: tuple[Attempt, ...]) -> None:
        """Submit attempts on owned endpoints and forward those whose endpoint has a new owner."""
        now_ms = monotonic_ms()
        own_attempts = [attempt for attempt in attempts if not self._forward(attempt)]
        for attempt in own_attempts:
            request_id = query_id_of(attempt.attempt_id)
            self.open_attempt_counts[request_id] = self.open_attempt_counts.get(request_id, 0) + 1
        for attempt in own_attempts:
            actions = owner.submit(self.state, now_ms, attempt)
            if not actions and attempt.attempt_id not in self.state.attempt_endpoints:
                self._record_attempt_end(attempt.attempt_id)
            self._apply_actions(actions)

    def _forward(self, attempt: Attempt) -> bool:
        """Forward an attempt, at most once, whose sender doesn't know the new owner yet."""
        if attempt.endpoint in self.owned_names or attempt.forwarded:
            return False
        target = self.hooks.owner_of(attempt.endpoint)
        if target is None or target == self.state.instance:
            return False
        self.hooks.forward_attempts(target, (replace(attempt, forwarded=True),))
        return True

    def cancel(self, attempt_ids: tuple[str, ...]) -> None:
        """Cancel attempts."""
        now_ms = monotonic_ms()
        for attempt_id in attempt_ids:
            self._apply_actions(owner.cancel(self.state, now_ms, attempt_id))

    def is_idle(self) -> bool:
        """Return whether nothing is in flight or queued."""
        return all(
            observation.in_flight_count == 0 and observation.queue_length == 0
            for observation in owner.observations(self.state)
        )

    async def stop(self) -> None:
        """Close all connections."""
        await self.client.stop()

    def _on_opened(self, connection_id: str) -> None:
        self._apply_actions(owner.on_connection_opened(self.state, monotonic_ms(), connection_id))

    def _on_closed(self, connection_id: str, detail: str) -> None:
        self._apply_actions(
            owner.on_connection_closed(self.state, monotonic_ms(), connection_id, detail)
        )

    def _on_reply(self, connection_id: str, reply: SubReply) -> None:
        if reply.draining:
            self.hooks.on_draining(reply.endpoint, reply.incarnation)
        self._apply_actions(owner.on_reply(self.state, monotonic_ms(), connection_id, reply))

    def _on_failure(self, connection_id: str, bytes_sent: bool, detail: str, refused: bool) -> None:
        now_ms = monotonic_ms()
        self._apply_actions(
            owner.on_failure(self.state, now_ms, connection_id, bytes_sent, detail, refused)
        )
        # A failed exchange ends its connection, which the client has already closed.
        self._apply_actions(owner.on_connection_closed(self.state, now_ms, connection_id, detail))

    def _on_probe_reply(self, connection_id: str) -> None:
        self._apply_actions(owner.on_probe_reply(self.state, monotonic_ms(), connection_id))

    def _on_timer(self, now_ms: float) -> None:
        self._apply_actions(owner.on_timer(self.state, now_ms))

    def _apply_actions(self, actions: list[Any]) -> None:
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
                    self.hooks.report_crash(action.report)
                case owner_actions.LogDecision():
                    logger.info(
                        '%s %s %s: %s', PREFIX, action.decision, action.subject, action.detail
                    )

    def _close(self, connection_id: str) -> None:
        self.client.close(connection_id)
        asyncio.get_running_loop().call_soon(self._on_closed, connection_id, 'closed here')

    def _queue_result(self, origin: str, result: AttemptResult) -> None:
        self.queued_results.setdefault(origin, []).append(result)
        if self._record_attempt_end(result.attempt_id):
            self._send_results(origin)
        elif self.flush_handle is None:
            loop = asyncio.get_running_loop()
            self.flush_handle = loop.call_later(RESULT_BATCH_DELAY_S, self._send_all_results)

    def _record_attempt_end(self, attempt_id: str) -> bool:
        """Record the end of an attempt; return whether it was the last open one of its request."""
        request_id = query_id_of(attempt_id)
        open_count = self.open_attempt_counts.get(request_id, 1) - 1
        if open_count > 0:
            self.open_attempt_counts[request_id] = open_count
            return False
        self.open_attempt_counts.pop(request_id, None)
        return True

    def _send_results(self, origin: str) -> None:
        results = self.queued_results.pop(origin, None)
        if results:
            self.hooks.send_results(origin, tuple(results))

    def _send_all_results(self) -> None:
        self.flush_handle = None
        for origin in list(self.queued_results):
            self._send_results(origin)
