"""Builders and a virtual cluster for the tests of the request decisions."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from pistachioloft_core.messages.accepted import (
    AcceptedConfiguration,
    CallerEntry,
    CollectionEntry,
    Configuration,
    ServiceEntry,
    ShardEntry,
    VersionEntry,
)
from pistachioloft_core.messages.endpoint import Holding, ShardRows
from pistachioloft_core.messages.peer import Attempt, AttemptResult
from pistachioloft_core.messages.public import QueryReply, QueryRequest
from pistachioloft_core.process.endpoint_view import EndpointView
from pistachioloft_core.request.actions import CancelAttempts, Finished, SendAttempts, WakeAt
from pistachioloft_core.request.query import on_attempt_result, on_timer, start_query
from pistachioloft_core.request.routing import RoutingState, update_view
from pistachioloft_core.version.snapshot import ClusterView, build_view

if TYPE_CHECKING:
    from pistachioloft_core.request.query_state import QueryState

COLLECTION = 'catalogue'


def make_accepted(versions: dict[int, dict[str, str]], index: int = 1) -> AcceptedConfiguration:
    """Build a configuration from the shard and service names of each version."""
    entries = tuple(
        VersionEntry(number, tuple(ShardEntry(*pair) for pair in shards.items()))
        for number, shards in versions.items()
    )
    services = sorted({name for shards in versions.values() for name in shards.values()})
    configuration = Configuration(
        services=tuple(ServiceEntry(name) for name in services),
        callers=(CallerEntry('field', 'urgent'), CallerEntry('yard', 'routine')),
        collections=(CollectionEntry(COLLECTION, entries),),
    )
    return AcceptedConfiguration(1, index, f'digest-{index}', configuration)


def make_endpoint(
    name: str, service: str, holdings: dict[int, tuple[str, ...]], **changes: Any
) -> EndpointView:
    """Build an endpoint that holds shards of versions."""
    fields: dict[str, Any] = {
        'endpoint': name,
        'incarnation': 1,
        'service': service,
        'failure_domain': 'd1',
        'owner': 'e1',
        'holdings': tuple(Holding(COLLECTION, number, held) for number, held in holdings.items()),
        'slot_count': 2,
        'reported_slots_in_use': 0,
        'in_flight_count': 0,
        'queue_length': 0,
        'latency_ms': 6.0,
    }
    fields.update(changes)
    return EndpointView(**fields)


def make_cluster(
    service_count: int = 4, replica_count: int = 2, version_count: int = 1, owner_count: int = 3
) -> tuple[AcceptedConfiguration, tuple[EndpointView, ...]]:
    """Build services with one shard each, held by every replica in every version."""
    numbers = range(1, version_count + 1)
    names = [f's{position:02}' for position in range(service_count)]
    accepted = make_accepted({number: {f'h-{name}': name for name in names} for number in numbers})
    endpoints = tuple(
        make_endpoint(
            f'{name}-{replica}',
            name,
            dict.fromkeys(numbers, (f'h-{name}',)),
            owner=f'e{(position + replica) % owner_count + 1}',
        )
        for position, name in enumerate(names)
        for replica in range(replica_count)
    )
    return accepted, endpoints


def make_routing(
    accepted: AcceptedConfiguration, endpoints: tuple[EndpointView, ...], seed: int = 1
) -> RoutingState:
    """Build the shared state of an instance that sees the cluster."""
    routing = RoutingState('e1', random.Random(seed))
    update_view(routing, build_view(accepted, endpoints))
    return routing


def make_request(query: Any = 'q', deadline_ms: int = 200, caller: str = 'yard') -> QueryRequest:
    return QueryRequest(caller, 'r1', COLLECTION, query, deadline_ms)


def ok_result(attempt: Attempt, **changes: Any) -> AttemptResult:
    """Build the result of an endpoint that answered all shards with one row each."""
    fields: dict[str, Any] = {
        'attempt_id': attempt.attempt_id,
        'endpoint': attempt.endpoint,
        'outcome': 'ok',
        'collection': attempt.collection,
        'version': attempt.version,
        'results': tuple(
            ShardRows(shard, ({'shard': shard, 'version': attempt.version},))
            for shard in attempt.shards
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
    """Drive one query at a virtual time and collect what it does."""

    routing: RoutingState
    request: QueryRequest = field(default_factory=make_request)
    query_id: str = 'e1-1'
    now_ms: float = 1_000.0
    urgent: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    replies: list[QueryReply] = field(default_factory=list)
    reply_ms: float = 0.0
    wakes: list[float] = field(default_factory=list)
    log: list[Any] = field(default_factory=list)
    query: QueryState = field(init=False)

    def __post_init__(self) -> None:
        self.deadline_ms = self.now_ms + self.request.deadline_ms
        self.query, actions = start_query(
            self.routing, self.now_ms, self.request, self.query_id, self.deadline_ms, self.urgent
        )
        self.take(actions)

    def take(self, actions: list[Any]) -> list[Any]:
        self.attempts += sent_attempts(actions)
        self.cancelled += cancelled_ids(actions)
        if replies(actions):
            self.reply_ms = self.now_ms
        self.replies += replies(actions)
        self.wakes += [action.time_ms for action in actions if isinstance(action, WakeAt)]
        self.log += [action for action in actions if type(action).__name__ == 'LogDecision']
        return actions

    def result(self, result: AttemptResult) -> list[Any]:
        return self.take(on_attempt_result(self.routing, self.query, self.now_ms, result))

    def answer(self, attempt: Attempt, **changes: Any) -> list[Any]:
        return self.result(ok_result(attempt, **changes))

    def fail(self, attempt: Attempt, outcome: str, **changes: Any) -> list[Any]:
        return self.result(failed_result(attempt, outcome, **changes))

    def advance(self, to_ms: float) -> None:
        """Fire the timers that are due up to a time."""
        while True:
            due = [time for time in self.wakes if time <= to_ms]
            if not due:
                break
            first = min(due)
            self.wakes.remove(first)
            self.now_ms = max(self.now_ms, first)
            self.take(on_timer(self.routing, self.query, self.now_ms))
        self.now_ms = max(self.now_ms, to_ms)

    def view(self, view: ClusterView) -> None:
        update_view(self.routing, view)

    @property
    def reply(self) -> QueryReply:
        assert len(self.replies) == 1
        return self.replies[0]
