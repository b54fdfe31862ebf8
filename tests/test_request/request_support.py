"""Provide builders and a driver for the tests of queries and commands."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from pistachioloft_core.messages.endpoint import ShardRows
from pistachioloft_core.messages.peer import Attempt, AttemptResult
from pistachioloft_core.request.actions import CancelAttempts, Finished, SendAttempts, WakeAt
from pistachioloft_core.request.query import on_attempt_result, on_timer, start_query
from pistachioloft_core.request.routing import RoutingState, update_view
from pistachioloft_core.version.cluster_view import ClusterView, build_view
from tools.virtual_cluster import (
    make_request,
)

if TYPE_CHECKING:
    from pistachioloft_core.messages.accepted import AcceptedConfiguration
    from pistachioloft_core.messages.public import QueryReply, QueryRequest
    from pistachioloft_core.process.endpoint_view import EndpointView
    from pistachioloft_core.request.query_state import QueryState


def make_routing(
    accepted: AcceptedConfiguration, endpoints: tuple[EndpointView, ...], seed: int = 1
) -> RoutingState:
    """Build the routing state of an instance with a view of the cluster."""
    routing = RoutingState('e1', random.Random(seed))
    update_view(routing, build_view(accepted, endpoints))
    return routing


def ok_result(attempt: Attempt, **changes: Any) -> AttemptResult:
    """Build the result of an endpoint that returns one row for each shard."""
    version = changes.get('version', attempt.version)
    fields: dict[str, Any] = {
        'attempt_id': attempt.attempt_id,
        'endpoint': attempt.endpoint,
        'outcome': 'ok',
        'collection': attempt.collection,
        'version': attempt.version,
        'results': tuple(
            ShardRows(shard, ({'shard': shard, 'version': version},)) for shard in attempt.shards
        ),
    }
    fields.update(changes)
    return AttemptResult(**fields)


def failed_result(attempt: Attempt, outcome: str, **changes: Any) -> AttemptResult:
    return AttemptResult(attempt.attempt_id, attempt.endpoint, outcome, **changes)


def sent_attempts(actions: list[Any]) -> list[Attempt]:
    return [item for action in actions if isinstance(action, SendAttempts)
            for item in action.attempts]  # fmt: skip


def cancelled_ids(actions: list[Any]) -> list[str]:
    return [item for action in actions if isinstance(action, CancelAttempts)
            for item in action.attempt_ids]  # fmt: skip


def replies(actions: list[Any]) -> list[Any]:
    return [action.reply for action in actions if isinstance(action, Finished)]


@dataclass
class QueryRun:
    """Drive one query in virtual time and collect its actions."""

    routing: RoutingState
    request: QueryRequest = field(default_factory=make_request)
    query_id: str = 'e1-1'
    now_ms: float = 1_000.0
    urgent: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    replies: list[QueryReply] = field(default_factory=list)
    reply_ms: float = 0.0
    wake_times_ms: list[float] = field(default_factory=list)
    log: list[Any] = field(default_factory=list)
    query: QueryState = field(init=False)

    def __post_init__(self) -> None:
        self.deadline_ms = self.now_ms + self.request.deadline_ms
        self.query, actions = start_query(
            self.routing, self.now_ms, self.request, self.query_id, self.deadline_ms, self.urgent
        )
        self.collect_actions(actions)

    def collect_actions(self, actions: list[Any]) -> list[Any]:
        self.attempts += sent_attempts(actions)
        self.cancelled += cancelled_ids(actions)
        if replies(actions):
            self.reply_ms = self.now_ms
        self.replies += replies(actions)
        self.wake_times_ms += [action.time_ms for action in actions if isinstance(action, WakeAt)]
        self.log += [action for action in actions if type(action).__name__ == 'LogDecision']
        return actions

    def result(self, result: AttemptResult) -> list[Any]:
        return self.collect_actions(
            on_attempt_result(self.routing, self.query, self.now_ms, result)
        )

    def answer(self, attempt: Attempt, **changes: Any) -> list[Any]:
        return self.result(ok_result(attempt, **changes))

    def fail(self, attempt: Attempt, outcome: str, **changes: Any) -> list[Any]:
        return self.result(failed_result(attempt, outcome, **changes))

    def advance(self, to_ms: float) -> None:
        """Advance the time and run the timers that are due by then."""
        while True:
            due = [time for time in self.wake_times_ms if time <= to_ms]
            if not due:
                break
            first_due_ms = min(due)
            self.wake_times_ms.remove(first_due_ms)
            self.now_ms = max(self.now_ms, first_due_ms)
            self.collect_actions(on_timer(self.routing, self.query, self.now_ms))
        self.now_ms = max(self.now_ms, to_ms)

    def view(self, view: ClusterView) -> None:
        update_view(self.routing, view)

    @property
    def reply(self) -> QueryReply:
        assert len(self.replies) == 1
        return self.replies[0]
