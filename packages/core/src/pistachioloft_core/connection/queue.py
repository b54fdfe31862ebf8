"""Bounded queue of one endpoint, ordered by priority and then by deadline."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages.peer import Attempt

ROUTINE_SHARE = 10
COMPACT_SLACK = 16


class QueuedAttempt:
    """Hold an attempt that waits for a slot."""

    __slots__ = ('attempt', 'deadline_ms', 'live', 'queued_ms', 'send_count')

    def __init__(self, attempt: Attempt, queued_ms: float, deadline_ms: float) -> None:
        self.attempt = attempt
        self.queued_ms = queued_ms
        self.deadline_ms = deadline_ms
        self.send_count = 0
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
        self.next_number = 0
        self.urgent_streak = 0

    def __len__(self) -> int:
        return len(self.by_id)


def push(queue: AttemptQueue, queued: QueuedAttempt) -> None:
    """Add an attempt to its class."""
    members = _class_of(queue, queued.attempt.urgent)
    queued.live = True
    queue.next_number += 1
    heapq.heappush(members.heap, (queued.deadline_ms, queue.next_number, queued))
    members.live_count += 1
    queue.by_id[queued.attempt.attempt_id] = queued


def remove(queue: AttemptQueue, attempt_id: str) -> QueuedAttempt | None:
    """Remove an attempt by its id."""
    queued = queue.by_id.pop(attempt_id, None)
    if queued is None:
        return None
    queued.live = False
    members = _class_of(queue, queued.attempt.urgent)
    members.live_count -= 1
    if len(members.heap) > 2 * members.live_count + COMPACT_SLACK:
        members.heap = [item for item in members.heap if item[2].live]
        heapq.heapify(members.heap)
    return queued


def routine_is_due(queue: AttemptQueue) -> bool:
    """Tell whether the next dispatch belongs to the routine class."""
    if not queue.routine.live_count:
        return False
    return not queue.urgent.live_count or queue.urgent_streak >= ROUTINE_SHARE - 1


def pop(queue: AttemptQueue, urgent: bool) -> QueuedAttempt:
    """Take the attempt of a class with the earliest deadline and count the dispatch."""
    queued = first(queue, urgent)
    if queued is None:
        raise LookupError('the class has no waiting attempt')
    remove(queue, queued.attempt.attempt_id)
    if urgent and queue.routine.live_count:
        queue.urgent_streak += 1
    else:
        queue.urgent_streak = 0
    return queued


def first(queue: AttemptQueue, urgent: bool) -> QueuedAttempt | None:
    """Return the attempt of a class with the earliest deadline."""
    members = _class_of(queue, urgent)
    while members.heap and not members.heap[0][2].live:
        heapq.heappop(members.heap)
    return members.heap[0][2] if members.heap else None


def remove_expired(queue: AttemptQueue, now_ms: float) -> list[QueuedAttempt]:
    """Remove and return the attempts whose deadline has passed."""
    gone = []
    for urgent in (True, False):
        while (queued := first(queue, urgent)) is not None and queued.deadline_ms <= now_ms:
            remove(queue, queued.attempt.attempt_id)
            gone.append(queued)
    return gone


def drain_all(queue: AttemptQueue) -> list[QueuedAttempt]:
    """Remove and return every waiting attempt."""
    gone = list(queue.by_id.values())
    for queued in gone:
        remove(queue, queued.attempt.attempt_id)
    return gone


def latest_routine(queue: AttemptQueue) -> QueuedAttempt | None:
    """Return the routine attempt with the latest deadline."""
    waiting = [queued for queued in queue.by_id.values() if not queued.attempt.urgent]
    return max(waiting, key=lambda queued: queued.deadline_ms, default=None)


def count_ahead(queue: AttemptQueue, urgent: bool, deadline_ms: float) -> int:
    """Count the waiting attempts that a new one would stand behind."""
    members = _class_of(queue, urgent)
    ahead = sum(1 for item in members.heap if item[2].live and item[0] <= deadline_ms)
    return ahead if urgent else ahead + queue.urgent.live_count


def earliest_deadline(queue: AttemptQueue) -> float | None:
    """Return the earliest deadline of both classes."""
    heads = [head for urgent in (True, False) if (head := first(queue, urgent)) is not None]
    return min((head.deadline_ms for head in heads), default=None)


def _class_of(queue: AttemptQueue, urgent: bool) -> ClassQueue:
    return queue.urgent if urgent else queue.routine
