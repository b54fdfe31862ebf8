"""Forward a request to one endpoint, and to another where a second run is safe."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..errors import ResultCode
from ..process.budget import record_first_attempts, try_take_hedge, try_take_retry
from .attempts import (
    AbandonAttempt,
    Attempt,
    AttemptEnd,
    AttemptOutcome,
    Deliver,
    LogDecision,
    PassOn,
    Refuse,
    RoutedAction,
    SendAttempt,
    begin_attempt,
    record_overdue_attempt,
    schedule_recheck,
)
from .handover import choose_receiver
from .permitted import lacks_only_permits, permitted_at_ms, unserved_retry_ms
from .placement import choose_endpoint, served_at_ms
from .query_admission import is_overloaded, refuse_if_late, refuse_if_overloaded
from .routed_state import budget_of
from .shard_attempts import ABANDON_DELAY_MS

if TYPE_CHECKING:
    from ..connection.endpoint_load import EndpointLoad
    from ..messages.routes import Route
    from .delegation import Helper, HelperTable
    from .routed_state import RoutedState

# Limits the attempts of one request, refused ones included.
MAX_ATTEMPTS_PER_REQUEST = 6
# Retry-after time when all endpoints are busy: about one request of theirs.
REFUSED_RETRY_MS = 100.0
# A request waits this long at most for a permit of an endpoint that states a limit; a grantor
# replies within a round trip.
PERMIT_WAIT_MS = 100.0
PERMIT_RECHECK_MS = 5.0


class ForwardState:
    """Hold one request from its arrival to its answer."""

    __slots__ = (
        'attempt_count',
        'deadline_at_ms',
        'declined',
        'done',
        'failure',
        'hedged',
        'may_have_run_count',
        'open_attempts',
        'organisation',
        'past_target',
        'priority',
        'receiver',
        'refused_endpoint',
        'request_id',
        'route',
        'service',
        'suspected',
        'tried',
        'wait_check_ms',
        'wait_until_ms',
    )

    def __init__(
        self,
        request_id: str,
        route: Route,
        service: str,
        deadline_at_ms: float,
        suspected: bool = False,
    ) -> None:
        self.request_id = request_id
        self.route = route
        # The priority of the caller's organisation or else of the route; 0 is the highest.
        self.priority = route.priority
        # The name of the caller's organisation; empty without one.
        self.organisation = ''
        # The caller was refused before, so no answer can be within the latency target.
        self.past_target = False
        self.service = service
        self.deadline_at_ms = deadline_at_ms
        self.open_attempts: list[Attempt] = []
        self.tried: set[str] = set()
        self.refused_endpoint = ''
        # Attempts that may have run the request.
        self.may_have_run_count = 0
        self.attempt_count = 0
        self.hedged = False
        # The helper that the request was passed on to, and those that could not take it.
        self.receiver: Helper | None = None
        self.declined: set[str] = set()
        # The last error reply of an endpoint; delivered if no attempt succeeds.
        self.failure: Any = None
        # The same content was in flight at a crash; the request runs on one endpoint only.
        self.suspected = suspected
        # Until when the request waits for a permit, and when that is checked next.
        self.wait_until_ms = deadline_at_ms
        self.wait_check_ms = deadline_at_ms
        self.done = False


def start_forward(
    state: RoutedState, now_ms: float, request: ForwardState, helpers: HelperTable | None = None
) -> list[RoutedAction]:
    """Send the request to an endpoint, or refuse it if none can take it."""
    request.receiver = choose_receiver(state, helpers, now_ms, request.declined)
    if request.receiver is not None:
        # The receiver may send it to an endpoint until it says that it did not.
        request.may_have_run_count = 1
        return [PassOn(request.receiver)]
    record_first_attempts(budget_of(state, request.service), now_ms, 1)
    refusal = refuse_unserved_service(state, now_ms, request.service)
    refusal = refusal or refuse_if_overloaded(state, now_ms, request)
    refusal = refusal or refuse_if_late(state, now_ms, request)
    if refusal is not None:
        request.done = True
        return [refusal]
    request.wait_until_ms = min(request.deadline_at_ms, now_ms + PERMIT_WAIT_MS)
    return _send_or_wait(state, now_ms, request)


def refuse_unserved_service(state: RoutedState, now_ms: float, service: str) -> Refuse | None:
    """Return the refusal of a request whose service has no endpoint that wants requests."""
    served_ms = served_at_ms(state, now_ms, service)
    if served_ms <= now_ms:
        return None
    wanted = '' if served_ms == float('inf') else ' that wants requests now'
    detail = f'service {service} has no endpoint{wanted}'
    return Refuse(ResultCode.NO_ENDPOINT, detail, unserved_retry_ms(state, now_ms, served_ms))


def refuse_unplaced(
    state: RoutedState, now_ms: float, service: str, wait_until_ms: float
) -> Refuse | None:
    """Return the refusal of a request that no endpoint can take, None if it waits for a permit."""
    permitted_ms = permitted_at_ms(state, now_ms, service)
    lacks_permit = lacks_only_permits(state, now_ms, service)
    if lacks_permit and max(permitted_ms, now_ms + PERMIT_RECHECK_MS) <= wait_until_ms:
        return None
    reason = 'the stated limits are reached' if lacks_permit else 'all connections are in use'
    retry_after_ms = max(REFUSED_RETRY_MS, permitted_ms - now_ms)
    return Refuse(ResultCode.OVERLOADED, f'service {service}: {reason}', retry_after_ms)


def _send_or_wait(state: RoutedState, now_ms: float, request: ForwardState) -> list[RoutedAction]:
    """Send the request, wait for a permit, or refuse it if none comes in time."""
    load = _choose_next_endpoint(state, now_ms, request)
    if load is not None:
        return [_send(state, now_ms, request, load, hedge=False)]
    refusal = refuse_unplaced(state, now_ms, request.service, request.wait_until_ms)
    if refusal is None:
        request.wait_check_ms = now_ms + PERMIT_RECHECK_MS
        return []
    request.done = True
    return [refusal]


def on_declined(
    state: RoutedState, now_ms: float, request: ForwardState, helpers: HelperTable
) -> list[RoutedAction]:
    """Pass the request on to another helper after one that could not take it."""
    assert request.receiver is not None
    request.declined.add(request.receiver.instance)
    request.receiver, request.may_have_run_count = None, 0
    return [] if request.done else start_forward(state, now_ms, request, helpers)


def on_receiver_reply(request: ForwardState, reply: Any) -> list[RoutedAction]:
    """Deliver the reply that the receiver passes back."""
    return [] if request.done else _deliver(request, reply)


def on_receiver_refusal(request: ForwardState, refusal: Refuse) -> list[RoutedAction]:
    """End the request as the receiver did."""
    if request.done:
        return []
    request.done = True
    return [refusal]


def on_receiver_lost(request: ForwardState) -> list[RoutedAction]:
    """End a request whose receiver is gone, which may have sent it to an endpoint."""
    return [] if request.done else _finish_without_reply(request, 'the receiver is gone')


def end_early(request: ForwardState) -> list[RoutedAction]:
    """End a request without a reply, because this instance ends."""
    return [] if request.done else _finish_without_reply(request, 'this instance ends')


def on_cut_off(request: ForwardState) -> list[RoutedAction]:
    """End the attempts in flight, whose replies do not arrive any more."""
    if request.done or not request.open_attempts:
        return []
    return _finish_without_reply(request, 'this instance is cut off from all endpoints')


def on_attempt_end(
    state: RoutedState, now_ms: float, request: ForwardState, attempt: Attempt, end: AttemptEnd
) -> list[RoutedAction]:
    """Deliver a reply, or try another endpoint where the request cannot run twice."""
    request.open_attempts.remove(attempt)
    if request.done:
        return []
    if end.outcome is AttemptOutcome.ANSWERED:
        return _deliver(request, end.reply)
    endpoint = attempt.load.record.endpoint
    decision = LogDecision('retry', f'{endpoint} {end.outcome.value}, {end.detail}')
    if end.outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.NOT_RUN):
        request.may_have_run_count -= 1
        if end.outcome is AttemptOutcome.NOT_RUN and not end.wrong_endpoint:
            request.tried.discard(endpoint)
            request.refused_endpoint = endpoint
    if end.outcome is AttemptOutcome.FAILED:
        request.failure = end.reply
    return [
        decision,
        *_retry(state, now_ms, request, unbudgeted=end.outcome is AttemptOutcome.NOT_SENT),
    ]


def on_forward_timer(
    state: RoutedState, now_ms: float, request: ForwardState
) -> list[RoutedAction]:
    """Hedge a late attempt, and end the request at its deadline."""
    if request.done:
        return []
    if now_ms >= request.deadline_at_ms:
        return _finish_without_reply(request, 'the time limit is reached')
    if request.attempt_count == 0:
        return _send_or_wait(state, now_ms, request) if now_ms >= request.wait_check_ms else []
    if not request.open_attempts or now_ms < request.open_attempts[-1].check_at_ms:
        return []
    late_attempt = request.open_attempts[-1]
    schedule_recheck(late_attempt, now_ms)
    record_overdue_attempt(state, now_ms, late_attempt)
    if request.hedged or not request.route.idempotent:
        return []
    load = _choose_next_endpoint(state, now_ms, request)
    if (
        load is None
        or _would_queue_again(state, now_ms, late_attempt, load)
        or not try_take_hedge(budget_of(state, request.service), now_ms)
    ):
        return []
    request.hedged = True
    age_ms = now_ms - late_attempt.started_ms
    detail = (
        f'{late_attempt.load.record.endpoint} late after {age_ms:.0f} ms, '
        f'also {load.record.endpoint}'
    )
    return [LogDecision('hedge', detail), _send(state, now_ms, request, load, hedge=True)]


def cancel_forward(request: ForwardState) -> list[RoutedAction]:
    """Withdraw the open attempts because the caller left, unless the request must run once."""
    request.done = True
    if not request.route.idempotent:
        return []
    return [AbandonAttempt(attempt, 0.0) for attempt in request.open_attempts]


def next_check_ms(request: ForwardState) -> float:
    """Return when the request must be checked again."""
    if request.attempt_count == 0:
        return request.wait_check_ms
    if request.hedged or not request.open_attempts:
        return request.deadline_at_ms
    return min(request.deadline_at_ms, request.open_attempts[-1].check_at_ms)


def _choose_next_endpoint(
    state: RoutedState, now_ms: float, request: ForwardState
) -> EndpointLoad | None:
    if request.attempt_count >= MAX_ATTEMPTS_PER_REQUEST:
        return None
    single_run = request.suspected or not request.route.idempotent
    if request.may_have_run_count >= (1 if single_run else request.route.attempt_limit):
        return None
    excluded = (
        request.tried | {request.refused_endpoint} if request.refused_endpoint else request.tried
    )
    load = choose_endpoint(state, now_ms, request.route, request.service, excluded)
    if load is None and request.refused_endpoint:
        load = choose_endpoint(state, now_ms, request.route, request.service, request.tried)
    return load


def _send(
    state: RoutedState, now_ms: float, request: ForwardState, load: EndpointLoad, hedge: bool
) -> SendAttempt:
    request.attempt_count += 1
    attempt_id = f'{request.request_id}.{request.attempt_count}'
    attempt = begin_attempt(state, now_ms, attempt_id, request.route, request.service, load, hedge)
    attempt.is_retry = request.attempt_count > 1 and not hedge
    request.tried.add(load.record.endpoint)
    request.open_attempts.append(attempt)
    request.may_have_run_count += 1
    return SendAttempt(attempt, request.deadline_at_ms - now_ms)


def _retry(
    state: RoutedState, now_ms: float, request: ForwardState, unbudgeted: bool
) -> list[RoutedAction]:
    if request.open_attempts:
        return []
    load = _choose_next_endpoint(state, now_ms, request)
    if load is None or not (
        unbudgeted or try_take_retry(budget_of(state, request.service), now_ms)
    ):
        served_ms = served_at_ms(state, now_ms, request.service)
        retry_after_ms = REFUSED_RETRY_MS
        if now_ms < served_ms < float('inf'):
            retry_after_ms = unserved_retry_ms(state, now_ms, served_ms)
        return _finish_without_reply(request, _describe_no_retry(request, load), retry_after_ms)
    return [_send(state, now_ms, request, load, hedge=False)]


def _would_queue_again(
    state: RoutedState, now_ms: float, attempt: Attempt, load: EndpointLoad
) -> bool:
    """Return whether a hedge would only move a late attempt to the end of another queue."""
    # An endpoint that replies to others is not silent.
    is_queued = attempt.endpoint_has_replied and is_overloaded(state, attempt.service)
    return is_queued and load.waiting_count(now_ms) >= 1.0


def _describe_no_retry(request: ForwardState, load: EndpointLoad | None) -> str:
    if load is not None:
        return 'the budget of extra tries is spent'
    if request.may_have_run_count and not request.route.idempotent:
        return 'it may have run and must not run twice'
    if request.may_have_run_count and request.suspected:
        return 'its content was in flight when an endpoint crashed'
    return 'no other endpoint can be tried'


def _deliver(request: ForwardState, reply: Any) -> list[RoutedAction]:
    request.done = True
    return [
        Deliver(reply),
        *(AbandonAttempt(other, ABANDON_DELAY_MS) for other in request.open_attempts),
    ]


def _finish_without_reply(
    request: ForwardState, reason: str, retry_after_ms: float = REFUSED_RETRY_MS
) -> list[RoutedAction]:
    if request.failure is not None:
        return _deliver(request, request.failure)
    request.done = True
    detail = f'{reason}; asked {", ".join(sorted(request.tried)) or "none"}'
    if request.may_have_run_count == 0 and not request.open_attempts:
        return [Refuse(ResultCode.NOT_STARTED, detail, retry_after_ms)]
    code = ResultCode.NO_ANSWER if request.route.idempotent else ResultCode.OUTCOME_UNKNOWN
    return [Refuse(code, detail), *(AbandonAttempt(other, 0.0) for other in request.open_attempts)]
