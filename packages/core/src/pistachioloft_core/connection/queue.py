"""Bounded queue of one endpoint, ordered by priority and then by deadline."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages.peer import Attempt

# While both classes wait, every tenth dispatch is of the routine class.
ROUTINE_DISPATCH_INTERVAL = 10
# Removed entries that a heap may hold beyond its live ones before it is rebuilt.
COMPACTION_SLACK_COUNT = 16


class QueuedAttempt:
    """Hold an attempt that waits for a slot of its endpoint."""

    __slots__ = ('attempt', 'deadline_ms', 'live', 'queued_ms', 'send_count')

    def __init__(self, attempt: Attempt, queued_ms: float, deadline_ms: float) -> None:
        self.attempt = attempt
        self.queued_ms = queued_ms
        self.deadline_ms = deadline_ms
        self.send_count = 0
        # Cleared on removal; the entry stays in the heap until it surfaces or the heap is rebuilt.
        self.live = True


class ClassQueue:
    """Order the attempts of one priority class by deadline."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, QueuedAttempt]] = []
        self.live_count = 0


class AttemptQueue:
    """Hold the attempts that wait for one endpoint."""

    def __init__(self) -> None:
        self.urgent = ClassQueue()
        self.routine = ClassQueue()
        self.by_id: dict[str, QueuedAttempt] = {}
        self.push_count = 0
        # Urgent attempts dispatched in a row while routine ones waited.
        self.urgent_streak_count = 0

    def __len__(self) -> int:
        return len(self.by_id)


def push(queue: AttemptQueue, queued: QueuedAttempt) -> None:
    """Add an attempt to the queue of its class."""
    class_queue = _class_queue(queue, queued.attempt.urgent)
    queued.live = True
    queue.push_count += 1
    heapq.heappush(class_queue.heap, (queued.deadline_ms, queue.push_count, queued))
    class_queue.live_count += 1
    queue.by_id[queued.attempt.attempt_id] = queued


def remove(queue: AttemptQueue, attempt_id: str) -> QueuedAttempt | None:
    """Remove an attempt by its id."""
    queued = queue.by_id.pop(attempt_id, None)
    if queued is None:
        return None
    queued.live = False
    class_queue = _class_queue(queue, queued.attempt.urgent)
    class_queue.live_count -= 1
    if len(class_queue.heap) > 2 * class_queue.live_count + COMPACTION_SLACK_COUNT:
        class_queue.heap = [item for item in class_queue.heap if item[2].live]
        heapq.heapify(class_queue.heap)
    return queued


def routine_is_due(queue: AttemptQueue) -> bool:
    """Return whether the next dispatch is of the routine class."""
    if not queue.routine.live_count:
        return False
    return not queue.urgent.live_count or queue.urgent_streak_count >= ROUTINE_DISPATCH_INTERVAL - 1


def pop(queue: AttemptQueue, urgent: bool) -> QueuedAttempt:
    """Remove and return the attempt of a class with the earliest deadline; count the dispatch."""
    queued = peek(queue, urgent)
    if queued is None:
        raise LookupError('the class has no queued attempt')
    remove(queue, queued.attempt.attempt_id)
    if urgent and queue.routine.live_count:
        queue.urgent_streak_count += 1
    else:
        queue.urgent_streak_count = 0
    return queued


def peek(queue: AttemptQueue, urgent: bool) -> QueuedAttempt | None:
    """Return the attempt of a class with the earliest deadline."""
    class_queue = _class_queue(queue, urgent)
    while class_queue.heap and not class_queue.heap[0][2].live:
        heapq.heappop(class_queue.heap)
    return class_queue.heap[0][2] if class_queue.heap else None


def remove_expired(queue: AttemptQueue, now_ms: float) -> list[QueuedAttempt]:
    """Remove and return the attempts whose deadline has passed."""
    removed = []
    for urgent in (True, False):
        while (queued := peek(queue, urgent)) is not None and queued.deadline_ms <= now_ms:
            remove(queue, queued.attempt.attempt_id)
            removed.append(queued)
    return removed


def remove_all(queue: AttemptQueue) -> list[QueuedAttempt]:
    """Remove and return every queued attempt."""
    removed = list(queue.by_id.values())
    for queued in removed:
        remove(queue, queued.attempt.attempt_id)
    return removed


def latest_routine(queue: AttemptQueue) -> QueuedAttempt | None:
    """Return the routine attempt with the latest deadline."""
    waiting = [queued for queued in queue.by_id.values() if not queued.attempt.urgent]
    return max(waiting, key=lambda queued: queued.deadline_ms, default=None)


def count_ahead(queue: AttemptQueue, urgent: bool, deadline_ms: float) -> int:
    """Return the number of queued attempts that would be dispatched before a new one."""
    class_queue = _class_queue(queue, urgent)
    ahead = sum(1 for item in class_queue.heap if item[2].live and item[0] <= deadline_ms)
    return ahead if urgent else ahead + queue.urgent.live_count


def earliest_deadline(queue: AttemptQueue) -> float | None:
    """Return the earliest deadline in both classes."""
    heads = [head for urgent in (True, False) if (head := peek(queue, urgent)) is not None]
    return min((head.deadline_ms for head in heads), default=None)


def _class_queue(queue: AttemptQueue, urgent: bool) -> ClassQueue:
    return queue.urgent if urgent else queue.routine
