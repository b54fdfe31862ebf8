"""Simulate request routing in a cluster in virtual time: python -m tools.virtual_cluster."""

from __future__ import annotations

import dataclasses
import heapq
import random
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
from pistachioloft_core.messages.crash import CrashReport
from pistachioloft_core.messages.endpoint import Holding, ShardRows
from pistachioloft_core.messages.peer import Attempt, AttemptResult
from pistachioloft_core.process.suspects import on_crash
from pistachioloft_core.request.actions import CancelAttempts, Finished, SendAttempts, WakeAt
from pistachioloft_core.request.admission import (
    AdmissionState,
    Admit,
    Refuse,
    offer_query,
    on_admission_timer,
    on_query_done,
    record_queue_wait,
)
from pistachioloft_core.request.query import on_attempt_result, on_timer, start_query
from pistachioloft_core.request.query_state import QueryState, query_id_of
from pistachioloft_core.request.routing import RoutingState, update_view
from pistachioloft_core.version.cluster_view import build_view

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioloft_core.messages.public import QueryReply
from pistachioloft_core.messages.public import QueryRequest
from pistachioloft_core.process.endpoint_view import EndpointView

COLLECTION = 'catalogue'
HOP_MS = 0.5


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
    """Build an endpoint that holds the given shards of each version."""
    fields: dict[str, Any] = {
        'endpoint': name,
        'incarnation': 1,
        'service': service,
        'failure_domain': 'd1',
        'owner': 'e1',
        'holdings': tuple(
            Holding(COLLECTION, number, shards_held) for number, shards_held in holdings.items()
        ),
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


def make_request(query: Any = 'q', deadline_ms: int = 200, caller: str = 'yard') -> QueryRequest:
    """Build a query of the collection."""
    return QueryRequest(caller, 'r1', COLLECTION, query, deadline_ms)


class Endpoint:
    """Run attempts in slots, urgent ones first, and refuse those that would finish too late."""

    def __init__(self, name: str, slot_count: int) -> None:
        self.name = name
        self.slot_count = slot_count
        self.alive = True
        self.incarnation = 1
        self.running: dict[str, tuple[Attempt, float]] = {}
        self.queue: list[tuple[bool, float, Attempt]] = []


@dataclasses.dataclass(frozen=True, slots=True)
class FinishedQuery:
    """Record the outcome of one query; the reply is None if admission refused it."""

    offered_ms: float
    ended_ms: float
    urgent: bool
    reply: QueryReply | None


class Cluster:
    """Connect instances, owners and endpoints by messages with a fixed delay."""

    def __init__(
        self,
        service_count: int = 10,
        replica_count: int = 2,
        instance_count: int = 3,
        seed: int = 1,
        service_ms: float = 6.0,
    ) -> None:
        self.random = random.Random(seed)
        self.accepted, self.views = make_cluster(
            service_count, replica_count, owner_count=instance_count
        )
        self.service_ms = service_ms
        self.straggler_share = 0.0
        self.crashing_query: Any = None
        self.lost_owners: set[str] = set()
        self.endpoints = {view.endpoint: Endpoint(view.endpoint, 2) for view in self.views}
        self.routings = [
            RoutingState(f'e{number + 1}', random.Random(seed + number))
            for number in range(instance_count)
        ]
        self.admissions = [AdmissionState() for _ in self.routings]
        self.queries: dict[str, tuple[int, QueryState]] = {}
        self.offered_queries: dict[str, tuple[float, bool, Any, int]] = {}
        self.finished_queries: list[FinishedQuery] = []
        self.first_count = 0
        self.extra_count = 0
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self.publish()

    def publish(self) -> None:
        """Update the view of every instance with the endpoints that are alive."""
        alive = tuple(
            dataclasses.replace(view, incarnation=self.endpoints[view.endpoint].incarnation)
            for view in self.views
            if self.endpoints[view.endpoint].alive and view.owner not in self.lost_owners
        )
        for routing in self.routings:
            update_view(routing, build_view(self.accepted, alive))

    def schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self._sequence += 1
        heapq.heappush(self._events, (self.now_ms + delay_ms, self._sequence, action))

    def run(self, until_ms: float = float('inf')) -> None:
        """Run the events up to a point in time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()

    def offer_load(
        self,
        count: int,
        per_second: float,
        *,
        urgent_share: float = 0.0,
        deadline_ms: int = 200,
        admission: bool = False,
    ) -> None:
        """Offer queries at random times, each to a random instance."""
        delay_ms = 0.0
        for number in range(count):
            delay_ms += self.random.expovariate(per_second / 1_000.0)
            urgent = self.random.random() < urgent_share
            self.schedule(
                delay_ms,
                lambda n=number, u=urgent: self.offer(f'q{n}', u, deadline_ms, admission, n),
            )

    def offer(self, name: str, urgent: bool, deadline_ms: int, admission: bool, query: Any) -> None:
        """Offer a query to a random instance."""
        instance_index = self.random.randrange(len(self.routings))
        query_id = f'{self.routings[instance_index].instance}-{name}-{len(self.offered_queries)}'
        request = make_request(query, deadline_ms)
        self.offered_queries[query_id] = (self.now_ms, urgent, request, instance_index)
        if not admission:
            self.start(query_id)
            return
        deadline = self.now_ms + deadline_ms
        state = self.admissions[instance_index]
        self.apply_admission_actions(
            instance_index, offer_query(state, self.now_ms, query_id, urgent, deadline)
        )

    def apply_admission_actions(self, instance_index: int, actions: list[Any]) -> None:
        """Apply the actions of the admission."""
        for action in actions:
            if isinstance(action, Admit):
                self.start(action.query_id)
            elif isinstance(action, Refuse):
                offered_ms, urgent, _, _ = self.offered_queries[action.query_id]
                self.finished_queries.append(FinishedQuery(offered_ms, self.now_ms, urgent, None))
            elif isinstance(action, WakeAt):
                self.schedule(
                    action.time_ms - self.now_ms,
                    lambda: self.apply_admission_actions(
                        instance_index,
                        on_admission_timer(self.admissions[instance_index], self.now_ms),
                    ),
                )

    def start(self, query_id: str) -> None:
        """Start an admitted query."""
        offered_ms, urgent, request, instance_index = self.offered_queries[query_id]
        query, actions = start_query(
            self.routings[instance_index],
            self.now_ms,
            request,
            query_id,
            offered_ms + request.deadline_ms,
            urgent,
        )
        self.queries[query_id] = (instance_index, query)
        self.first_count += sum(
            len(item.attempts) for item in actions if isinstance(item, SendAttempts)
        )
        self.apply_query_actions(query_id, actions, is_first=True)

    def apply_query_actions(
        self, query_id: str, actions: list[Any], *, is_first: bool = False
    ) -> None:
        """Apply the actions of a query."""
        instance_index, query = self.queries[query_id]
        for action in actions:
            if isinstance(action, SendAttempts):
                if not is_first:
                    self.extra_count += len(action.attempts)
                if action.owner not in self.lost_owners:
                    for attempt in action.attempts:
                        self.schedule(
                            2 * HOP_MS, lambda item=attempt: self.on_attempt_arrival(item)
                        )
            elif isinstance(action, CancelAttempts):
                for attempt_id in action.attempt_ids:
                    self.schedule(2 * HOP_MS, lambda item=attempt_id: self.cancel_attempt(item))
            elif isinstance(action, WakeAt):
                self.schedule(
                    action.time_ms - self.now_ms,
                    lambda: self.apply_query_actions(
                        query_id, on_timer(self.routings[instance_index], query, self.now_ms)
                    ),
                )
            elif isinstance(action, Finished):
                offered_ms, urgent, _, _ = self.offered_queries[query_id]
                reply: Any = action.reply
                self.finished_queries.append(FinishedQuery(offered_ms, self.now_ms, urgent, reply))
                self.apply_admission_actions(
                    instance_index,
                    on_query_done(self.admissions[instance_index], self.now_ms, query_id),
                )

    def on_attempt_arrival(self, attempt: Attempt) -> None:
        """Queue an attempt at its endpoint, or refuse it."""
        endpoint = self.endpoints[attempt.endpoint]
        if not endpoint.alive:
            self.send_result(attempt, 'not_started')
            return
        attempt_count_ahead = len(endpoint.queue) + len(endpoint.running)
        wait_ms = (
            max(0, attempt_count_ahead + 1 - endpoint.slot_count)
            * self.service_ms
            / endpoint.slot_count
        )
        if wait_ms + self.service_ms > attempt.time_left_ms:
            self.send_result(attempt, 'not_started', retry_after_ms=int(wait_ms) + 1)
            return
        endpoint.queue.append((not attempt.urgent, self.now_ms, attempt))
        self.fill_slots(endpoint)

    def fill_slots(self, endpoint: Endpoint) -> None:
        """Fill the free slots of an endpoint."""
        while endpoint.queue and len(endpoint.running) < endpoint.slot_count:
            item = min(endpoint.queue, key=lambda waiting: waiting[:2])
            endpoint.queue.remove(item)
            _, arrived_ms, attempt = item
            endpoint.running[attempt.attempt_id] = (attempt, self.now_ms - arrived_ms)
            service_time_ms = self.service_ms * self.random.uniform(0.8, 1.2)
            if self.random.random() < self.straggler_share:
                service_time_ms *= 10.0
            if self.crashing_query is not None and attempt.body == self.crashing_query:
                self.schedule(1.0, lambda: self.crash_endpoint(endpoint.name))
                continue
            self.schedule(
                service_time_ms,
                lambda a=attempt, t=service_time_ms: self.finish_attempt(endpoint, a, t),
            )

    def finish_attempt(self, endpoint: Endpoint, attempt: Attempt, service_time_ms: float) -> None:
        """Send the result of an attempt and fill the slot that it frees."""
        running_attempt = endpoint.running.pop(attempt.attempt_id, None)
        if running_attempt is None or not endpoint.alive:
            return
        self.send_result(
            attempt,
            'ok',
            collection=attempt.collection,
            version=attempt.version,
            results=tuple(ShardRows(shard, ({'shard': shard},)) for shard in attempt.shards),
            queue_wait_ms=running_attempt[1],
            service_ms=service_time_ms,
            in_flight_count=len(endpoint.running),
            queue_length=len(endpoint.queue),
        )
        self.fill_slots(endpoint)

    def cancel_attempt(self, attempt_id: str) -> None:
        """Cancel an attempt at its endpoint."""
        for endpoint in self.endpoints.values():
            endpoint.queue = [item for item in endpoint.queue if item[2].attempt_id != attempt_id]
            if endpoint.running.pop(attempt_id, None):
                self.fill_slots(endpoint)

    def crash_endpoint(self, name: str) -> None:
        """Crash an endpoint; its owner reports the attempts in flight."""
        endpoint = self.endpoints[name]
        if not endpoint.alive:
            return
        endpoint.alive = False
        for attempt, _ in endpoint.running.values():
            self.send_result(attempt, 'unknown', crashed=True)
            for routing in self.routings:
                on_crash(
                    routing.suspects,
                    self.now_ms,
                    CrashReport(
                        attempt.caller, attempt.content_digest, name, endpoint.incarnation, 0.0
                    ),
                )
        for _, _, attempt in endpoint.queue:
            self.send_result(attempt, 'not_started')
        endpoint.running.clear()
        endpoint.queue.clear()

    def restart_endpoint(self, name: str) -> None:
        """Restart an endpoint as a new incarnation."""
        endpoint = self.endpoints[name]
        if not endpoint.alive:
            endpoint.alive = True
            endpoint.incarnation += 1
            self.publish()

    def send_result(self, attempt: Attempt, outcome: str, **fields: Any) -> None:
        """Send a result to the origin of its attempt."""
        result = AttemptResult(attempt.attempt_id, attempt.endpoint, outcome, **fields)
        self.schedule(2 * HOP_MS, lambda: self.deliver_result(result))

    def deliver_result(self, result: AttemptResult) -> None:
        """Process a result in the query of its attempt."""
        query_id = query_id_of(result.attempt_id)
        instance_index, query = self.queries[query_id]
        record_queue_wait(self.admissions[instance_index], self.now_ms, result)
        self.apply_query_actions(
            query_id, on_attempt_result(self.routings[instance_index], query, self.now_ms, result)
        )

    def extra_share(self) -> float:
        """Return the extra sub-requests relative to the first attempts."""
        return self.extra_count / self.first_count

    def percentile_ms(self, share: float) -> float:
        """Return a percentile of the time from offer to reply."""
        times = sorted(
            item.ended_ms - item.offered_ms for item in self.finished_queries if item.reply
        )
        return times[int(share * (len(times) - 1))]

    def result_code_counts(self) -> dict[str, int]:
        """Count the replies by result code, and refused queries as REFUSED."""
        counts: dict[str, int] = {}
        for item in self.finished_queries:
            code = item.reply.result_code.name if item.reply else 'REFUSED'
            counts[code] = counts.get(code, 0) + 1
        return counts


def main() -> None:
    """Print latency, extra load and result codes at several rates."""
    for rate in (100.0, 200.0, 300.0):
        for share in (0.0, 0.02):
            cluster = Cluster(service_count=20)
            cluster.straggler_share = share
            cluster.offer_load(2_500, rate)
            cluster.run()
            cluster.finished_queries = sorted(
                cluster.finished_queries, key=lambda item: item.offered_ms
            )[500:]
            print(
                f'{rate:.0f}/s, {share:.0%} stragglers: p50 {cluster.percentile_ms(0.5):.1f} ms, '
                f'p99 {cluster.percentile_ms(0.99):.1f} ms, '
                f'{cluster.extra_share():.1%} extra, {cluster.result_code_counts()}'
            )


if __name__ == '__main__':
    main()
