"""Limit the queries in flight of an instance, and queue or refuse the others."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..errors import ResultCode
from .actions import LOG_REFUSAL, LogDecision, WakeAt

if TYPE_CHECKING:
    from ..messages.peer import AttemptResult

INITIAL_LIMIT_COUNT = 8.0
MIN_LIMIT_COUNT = 1.0
MAX_LIMIT_COUNT = 512.0
# Bounds of the owners' queue wait relative to the service time. A query waits for its slowest
# shard, so slots stay busy only while most endpoints have a short queue; above the upper bound
# more queries add waiting time but no throughput.
INCREASE_WAIT_RATIO = 1.0
DECREASE_WAIT_RATIO = 2.0
# A refusal by a busy endpoint counts as this wait ratio.
REFUSED_WAIT_RATIO = 4.0
LIMIT_INCREASE_COUNT = 1.0
LIMIT_DECREASE_FACTOR = 0.9
ADJUST_INTERVAL_MS = 50.0
# Refusals are due within 5 ms, so a query is refused after a shorter wait.
MAX_WAIT_MS = 4.0
MAX_WAITING_COUNT = 64
# Urgent queries may exceed the limit by this fraction of it, and by at least this count, so that
# they need not wait for routine queries in flight. With 0.25 and 1, 13 of 100 urgent queries were
# refused at twice the capacity, although they were a fifth of the load.
URGENT_EXTRA_RATIO = 0.5
URGENT_EXTRA_COUNT = 2
# While both classes wait, every tenth admission goes to a routine query.
ROUTINE_INTERVAL_COUNT = 10
SAMPLE_WEIGHT = 0.05
# Without new samples, the measured service time stops refusing short deadlines after this time.
SERVICE_TIME_VALID_MS = 1_000.0
MIN_RETRY_AFTER_MS = 100


@dataclass(frozen=True, slots=True)
class Admit:
    """Start a query now."""

    query_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a query that has not started."""

    query_id: str
    code: ResultCode
    detail: str
    retry_after_ms: int


AdmissionAction = Admit | Refuse | WakeAt | LogDecision


class _WaitingQuery:
    __slots__ = ('deadline_ms', 'query_id', 'refuse_at_ms')

    def __init__(self, query_id: str, deadline_ms: float, refuse_at_ms: float) -> None:
        self.query_id = query_id
        self.deadline_ms = deadline_ms
        self.refuse_at_ms = refuse_at_ms


class AdmissionState:
    """Hold the adaptive limit, the queries in flight and the waiting queries."""

    __slots__ = (
        'adjust_at_ms',
        'in_flight',
        'limit',
        'reached_limit',
        'routine',
        'service_ms',
        'service_updated_ms',
        'urgent',
        'urgent_streak_count',
        'wait_count',
        'wait_ratio_sum',
    )

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT_COUNT
        self.in_flight: set[str] = set()
        self.urgent: deque[_WaitingQuery] = deque()
        self.routine: deque[_WaitingQuery] = deque()
        self.urgent_streak_count = 0
        self.reached_limit = False
        self.adjust_at_ms = 0.0
        self.service_ms = 0.0
        self.service_updated_ms = 0.0
        self.wait_ratio_sum = 0.0
        self.wait_count = 0


def offer_query(
    state: AdmissionState, now_ms: float, query_id: str, urgent: bool, deadline_ms: float
) -> list[AdmissionAction]:
    """Admit a query, queue it for a short time, or refuse it."""
    if _is_deadline_too_short(state, now_ms, deadline_ms):
        detail = f'the endpoints need {state.service_ms:.0f} ms as a rule'
        return _refuse(state, query_id, ResultCode.DEADLINE_TOO_SHORT, detail)
    queue = state.urgent if urgent else state.routine
    if len(queue) >= MAX_WAITING_COUNT:
        return _refuse(state, query_id, ResultCode.OVERLOADED, 'too many queries wait')
    queue.append(_WaitingQuery(query_id, deadline_ms, now_ms + MAX_WAIT_MS))
    actions = _admit_waiting(state, now_ms)
    if query_id not in state.in_flight:
        actions.append(WakeAt(now_ms + MAX_WAIT_MS))
    return actions


def on_query_done(state: AdmissionState, now_ms: float, query_id: str) -> list[AdmissionAction]:
    """Release the slot of a finished query, or drop a waiting one whose caller left."""
    if query_id in state.in_flight:
        state.in_flight.discard(query_id)
    else:
        for queue in (state.urgent, state.routine):
            for waiting in queue:
                if waiting.query_id == query_id:
                    queue.remove(waiting)
                    break
    return _admit_waiting(state, now_ms)


def on_admission_timer(state: AdmissionState, now_ms: float) -> list[AdmissionAction]:
    """Refuse the queries whose maximum wait has passed."""
    return _admit_waiting(state, now_ms)


def record_queue_wait(state: AdmissionState, now_ms: float, result: AttemptResult) -> None:
    """Record the queue wait and the service time that an owner reports."""
    if result.service_ms > 0.0:
        if state.service_ms <= 0.0 or now_ms > state.service_updated_ms + SERVICE_TIME_VALID_MS:
            state.service_ms = result.service_ms
        else:
            state.service_ms += (result.service_ms - state.service_ms) * SAMPLE_WEIGHT
        state.service_updated_ms = now_ms
        state.wait_ratio_sum += min(REFUSED_WAIT_RATIO, result.queue_wait_ms / state.service_ms)
        state.wait_count += 1
    elif result.retry_after_ms is not None:
        state.wait_ratio_sum += REFUSED_WAIT_RATIO
        state.wait_count += 1
    if now_ms >= state.adjust_at_ms and state.wait_count:
        _adjust_limit(state, now_ms)


def _adjust_limit(state: AdmissionState, now_ms: float) -> None:
    wait_ratio = state.wait_ratio_sum / state.wait_count
    if wait_ratio > DECREASE_WAIT_RATIO:
        state.limit = max(MIN_LIMIT_COUNT, state.limit * LIMIT_DECREASE_FACTOR)
    elif wait_ratio < INCREASE_WAIT_RATIO and state.reached_limit:
        state.limit = min(MAX_LIMIT_COUNT, state.limit + LIMIT_INCREASE_COUNT)
    state.wait_ratio_sum = 0.0
    state.wait_count = 0
    state.reached_limit = False
    state.adjust_at_ms = now_ms + ADJUST_INTERVAL_MS


def _is_deadline_too_short(state: AdmissionState, now_ms: float, deadline_ms: float) -> bool:
    return (
        now_ms <= state.service_updated_ms + SERVICE_TIME_VALID_MS
        and deadline_ms - now_ms < state.service_ms
    )


def _admit_waiting(state: AdmissionState, now_ms: float) -> list[AdmissionAction]:
    actions: list[AdmissionAction] = []
    for queue in (state.urgent, state.routine):
        while queue and queue[0].refuse_at_ms <= now_ms:
            detail = f'{len(state.in_flight)} queries are in flight'
            actions += _refuse(state, queue.popleft().query_id, ResultCode.OVERLOADED, detail)
    while state.urgent or state.routine:
        in_flight_count = len(state.in_flight)
        limit = int(state.limit)
        urgent_limit = limit + max(URGENT_EXTRA_COUNT, int(limit * URGENT_EXTRA_RATIO))
        if in_flight_count >= limit:
            state.reached_limit = True
        if in_flight_count >= (urgent_limit if state.urgent else limit):
            break
        waiting = _next_waiting(state)
        if _is_deadline_too_short(state, now_ms, waiting.deadline_ms):
            detail = 'the deadline can no longer be met'
            actions += _refuse(state, waiting.query_id, ResultCode.DEADLINE_TOO_SHORT, detail)
            continue
        state.in_flight.add(waiting.query_id)
        actions.append(Admit(waiting.query_id))
    return actions


def _next_waiting(state: AdmissionState) -> _WaitingQuery:
    if state.urgent and state.routine:
        state.urgent_streak_count += 1
        if state.urgent_streak_count >= ROUTINE_INTERVAL_COUNT:
            state.urgent_streak_count = 0
            return state.routine.popleft()
        return state.urgent.popleft()
    return state.urgent.popleft() if state.urgent else state.routine.popleft()


def _refuse(
    state: AdmissionState, query_id: str, code: ResultCode, detail: str
) -> list[AdmissionAction]:
    retry_after_ms = max(MIN_RETRY_AFTER_MS, int(10 * state.service_ms))
    text = f'{code.name}: {detail}'
    return [
        LogDecision(LOG_REFUSAL, query_id, text),
        Refuse(query_id, code, detail, retry_after_ms),
    ]
