"""State of one query over all shards of a route."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .query_admission import coverage_floor_count

if TYPE_CHECKING:
    from ..messages.routes import Route
    from .attempts import Attempt


class ShardState:
    """Hold the attempts on one shard of a query."""

    __slots__ = (
        'attempt_count',
        'delegated',
        'exhausted',
        'hedged',
        'may_have_run_count',
        'open_attempts',
        'queue_wait_ms',
        'refused_endpoint',
        'replied',
        'reply',
        'retry_at_ms',
        'service',
        'tried',
        'tried_by_helper',
    )

    def __init__(self, service: str) -> None:
        self.service = service
        self.open_attempts: list[Attempt] = []
        # Endpoints that may have run the request or are unreachable; they are not tried again.
        self.tried: set[str] = set()
        self.may_have_run_count = 0
        self.attempt_count = 0
        # The endpoint that refused last; it is retried once no untried endpoint is left.
        self.refused_endpoint = ''
        self.retry_at_ms = 0.0
        self.hedged = False
        # A helper queries this shard, or has queried it, so that further attempts are extra.
        self.delegated = False
        self.tried_by_helper = False
        self.exhausted = False
        self.replied = False
        self.reply: Any = None
        # Queue wait at the endpoints of this shard when it replied.
        self.queue_wait_ms = 0.0

    @property
    def needs_no_budget(self) -> bool:
        """Return whether the next attempt is the first one of any instance."""
        return self.attempt_count == 0 and not self.tried_by_helper


class GatherState:
    """Hold one query over all shards from its arrival to its answer."""

    __slots__ = (
        'answer_at_ms',
        'coverage_floor_count',
        'covered_ms',
        'deadline_at_ms',
        'declined',
        'delegated_count',
        'done',
        'exhausted_count',
        'is_group',
        'lost_count',
        'needed_at_ms',
        'organisation',
        'past_target',
        'priority',
        'replied_count',
        'request_id',
        'route',
        'sent_count',
        'shard_by_attempt_id',
        'shard_by_service',
        'shards',
        'started_ms',
        'suspected',
    )

    def __init__(
        self,
        request_id: str,
        route: Route,
        answer_at_ms: float,
        deadline_at_ms: float,
        suspected: bool = False,
        services: tuple[str, ...] | None = None,
    ) -> None:
        """Cover all shards of the route, or those of a group delegated by another instance."""
        assert route.gather is not None
        gather = route.gather
        self.request_id = request_id
        self.route = route
        # The priority of the caller's organisation or else of the route; 0 is the highest.
        self.priority = route.priority
        # The name of the caller's organisation; empty without one.
        self.organisation = ''
        # From this time on, a partial answer that reaches the coverage floor is sent.
        self.answer_at_ms = min(answer_at_ms, deadline_at_ms)
        # When replies are merged into an answer; a group sends those that it has at this time.
        self.needed_at_ms = self.answer_at_ms
        self.deadline_at_ms = deadline_at_ms
        queried_services = gather.shards if services is None else services
        self.shards = [ShardState(name) for name in queried_services]
        self.shard_by_service = {shard.service: shard for shard in self.shards}
        self.shard_by_attempt_id: dict[str, ShardState] = {}
        # The instance that delegates a group admits the whole query and applies its coverage floor.
        self.is_group = services is not None
        self.coverage_floor_count = coverage_floor_count(gather) if services is None else 1
        self.started_ms = 0.0
        # When enough shards had replied for an answer.
        self.covered_ms = float('inf')
        self.sent_count = 0
        # Shards that helpers queried or may have queried.
        self.delegated_count = 0
        # Helpers that could not query shards of this query.
        self.declined: set[str] = set()
        self.replied_count = 0
        self.exhausted_count = 0
        self.lost_count = 0
        # The caller was refused before, so no answer can be within the latency target.
        self.past_target = False
        # The same content was in flight at a crash; each shard gets one attempt.
        self.suspected = suspected
        self.done = False

    def waited_since_due_ms(self, now_ms: float) -> float | None:
        """Return how long a due answer has waited for this process, None if it was not due."""
        was_due = self.covered_ms <= self.answer_at_ms <= now_ms
        return now_ms - self.answer_at_ms if was_due else None

    @property
    def reachable_count(self) -> int:
        """Return how many shards have replied or still can."""
        return len(self.shards) - self.exhausted_count
