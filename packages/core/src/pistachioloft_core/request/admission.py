"""How many queries an instance runs at once, and which of the others wait or are refused."""

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
# Queue wait of the owners relative to the service time. A query needs its slowest shard,
# so slots stay busy only while most endpoints have a short queue; above the upper bound
# more queries add waiting and no throughput.
LOW_WAIT_RATIO = 1.0
HIGH_WAIT_RATIO = 2.0
# A refusal for lack of room counts like this wait.
REFUSED_WAIT_RATIO = 4.0
INCREASE = 1.0
DECREASE_FACTOR = 0.9
ADJUST_EVERY_MS = 50.0
# Refusals are due within 5 ms; a query waits for less and is then refused.
MAX_WAIT_MS = 4.0
MAX_WAITING_COUNT = 64
# Urgent queries may use this part of the limit on top of it, so that they need not wait
# for routine queries that are in flight. With a quarter and one place, 13 of 100 urgent
# queries were refused at twice the capacity, though they were a fifth of the load.
URGENT_EXTRA_PART = 0.5
URGENT_EXTRA_COUNT = 2
# While both classes wait, one place in ten goes to a routine query.
ROUTINE_TURN = 10
SAMPLE_WEIGHT = 0.05
# A learned service time without new samples must not refuse short deadlines for ever.
SERVICE_TIME_VALID_MS = 1_000.0
SHORTEST_RETRY_MS = 100


@dataclass(frozen=True, slots=True)
class Admit:
    """Start a query now."""

    query_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a query that was not started."""

    query_id: str
    code: ResultCode
    detail: str
    retry_after_ms: int


AdmissionAction = Admit | Refuse | WakeAt | LogDecision


class _Waiting:
    __slots__ = ('deadline_ms', 'query_id', 'refuse_at_ms')

    def __init__(self, query_id: str, deadline_ms: float, refuse_at_ms: float) -> None:
        self.query_id = query_id
        self.deadline_ms = deadline_ms
        self.refuse_at_ms = refuse_at_ms


class AdmissionState:
    """Hold the learned limit, the queries in flight and the few that wait."""

    __slots__ = (
        'adjust_at_ms',
        'in_flight',
        'limit',
        'reached_limit',
        'routine',
        'service_at_ms',
        'service_ms',
        'turn',
        'urgent',
        'wait_count',
        'wait_ratio_sum',
    )

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT_COUNT
        self.in_flight: set[str] = set()
        self.urgent: deque[_Waiting] = deque()
        self.routine: deque[_Waiting] = deque()
        self.turn = 0
        self.reached_limit = False
        self.adjust_at_ms = 0.0
        self.service_ms = 0.0
        self.service_at_ms = 0.0
        self.wait_ratio_sum = 0.0
        self.wait_count = 0


def offer_query(
    state: AdmissionState, now_ms: float, query_id: str, urgent: bool, deadline_ms: float
) -> list[AdmissionAction]:
    """Admit a query, let it wait for a moment, or refuse it."""
    if _too_short(state, now_ms, deadline_ms):
        detail = f'the endpoints need {state.service_ms:.0f} ms as a rule'
        return _refuse(state, query_id, ResultCode.DEADLINE_TOO_SHORT, detail)
    queue = state.urgent if urgent else state.routine
    if len(queue) >= MAX_WAITING_COUNT:
        return _refuse(state, query_id, ResultCode.OVERLOADED, 'too many queries wait')
    queue.append(_Waiting(query_id, deadline_ms, now_ms + MAX_WAIT_MS))
    actions = _fill(state, now_ms)
    if query_id not in state.in_flight:
        actions.append(WakeAt(now_ms + MAX_WAIT_MS))
    return actions


def on_query_done(state: AdmissionState, now_ms: float, query_id: str) -> list[AdmissionAction]:
    """Free the place of a query that finished, or drop one whose caller left."""
    if query_id in state.in_flight:
        state.in_flight.discard(query_id)
    else:
        for queue in (state.urgent, state.routine):
            for waiting in queue:
                if waiting.query_id == query_id:
                    queue.remove(waiting)
                    break
    return _fill(state, now_ms)


def on_admission_timer(state: AdmissionState, now_ms: float) -> list[AdmissionAction]:
    """Refuse the queries that waited for their time without getting a place."""
    return _fill(state, now_ms)


def record_queue_wait(state: AdmissionState, now_ms: float, result: AttemptResult) -> None:
    """Learn from the queue wait and the service time that an owner reports."""
    if result.service_ms > 0.0:
        if state.service_ms <= 0.0 or now_ms > state.service_at_ms + SERVICE_TIME_VALID_MS:
            state.service_ms = result.service_ms
        else:
            state.service_ms += (result.service_ms - state.service_ms) * SAMPLE_WEIGHT
        state.service_at_ms = now_ms
        state.wait_ratio_sum += min(REFUSED_WAIT_RATIO, result.queue_wait_ms / state.service_ms)
        state.wait_count += 1
    elif result.retry_after_ms is not None:
        state.wait_ratio_sum += REFUSED_WAIT_RATIO
        state.wait_count += 1
    if now_ms >= state.adjust_at_ms and state.wait_count:
        _adjust(state, now_ms)


def _adjust(state: AdmissionState, now_ms: float) -> None:
    ratio = state.wait_ratio_sum / state.wait_count
    if ratio > HIGH_WAIT_RATIO:
        state.limit = max(MIN_LIMIT_COUNT, state.limit * DECREASE_FACTOR)
    elif ratio < LOW_WAIT_RATIO and state.reached_limit:
        state.limit = min(MAX_LIMIT_COUNT, state.limit + INCREASE)
    state.wait_ratio_sum = 0.0
    state.wait_count = 0
    state.reached_limit = False
    state.adjust_at_ms = now_ms + ADJUST_EVERY_MS


def _too_short(state: AdmissionState, now_ms: float, deadline_ms: float) -> bool:
    return (
        now_ms <= state.service_at_ms + SERVICE_TIME_VALID_MS
        and deadline_ms - now_ms < state.service_ms
    )


def _fill(state: AdmissionState, now_ms: float) -> list[AdmissionAction]:
    actions: list[AdmissionAction] = []
    for queue in (state.urgent, state.routine):
        while queue and queue[0].refuse_at_ms <= now_ms:
            detail = f'{len(state.in_flight)} queries are in flight'
            actions += _refuse(state, queue.popleft().query_id, ResultCode.OVERLOADED, detail)
    while state.urgent or state.routine:
        used = len(state.in_flight)
        limit = int(state.limit)
        urgent_limit = limit + max(URGENT_EXTRA_COUNT, int(limit * URGENT_EXTRA_PART))
        if used >= limit:
            state.reached_limit = True
        if used >= (urgent_limit if state.urgent else limit):
            break
        waiting = _next_waiting(state)
        if _too_short(state, now_ms, waiting.deadline_ms):
            detail = 'the deadline can no longer be met'
            actions += _refuse(state, waiting.query_id, ResultCode.DEADLINE_TOO_SHORT, detail)
            continue
        state.in_flight.add(waiting.query_id)
        actions.append(Admit(waiting.query_id))
    return actions


def _next_waiting(state: AdmissionState) -> _Waiting:
    if state.urgent and state.routine:
        state.turn += 1
        if state.turn >= ROUTINE_TURN:
            state.turn = 0
            return state.routine.popleft()
        return state.urgent.popleft()
    return state.urgent.popleft() if state.urgent else state.routine.popleft()


def _refuse(
    state: AdmissionState, query_id: str, code: ResultCode, detail: str
) -> list[AdmissionAction]:
    retry_after_ms = max(SHORTEST_RETRY_MS, int(10 * state.service_ms))
    text = f'{code.name}: {detail}'
    return [
        LogDecision(LOG_REFUSAL, query_id, text),
        Refuse(query_id, code, detail, retry_after_ms),
    ]
