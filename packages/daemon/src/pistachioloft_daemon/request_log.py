"""Log lines about routed requests."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from pistachioloft_core.request.attempts import DelegateGroup, PassOn, Refuse, SendAttempt
from pistachioloft_core.request.gather import describe_missing
from pistachioloft_core.request.gather_state import GatherState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pistachioloft_core.connection.statements import EndpointStatements
    from pistachioloft_core.errors import ResultCode
    from pistachioloft_core.messages.fleet import RequestCrash
    from pistachioloft_core.request.attempts import LogDecision, RoutedAction
    from pistachioloft_core.request.routed_state import RoutedState

    from .in_flight import InFlight

logger = logging.getLogger(__name__)

PREFIX = '[routing]'
# The number of missing shards that a log line names.
LOGGED_SHARD_COUNT = 8


def log_refused(request_id: str, path: str, refusal: Refuse, organisation: str = '') -> None:
    """Log a request that was refused before it was placed."""
    logger.info(
        '%s request refused: request=%s path=%s%s code=%s reason="%s"',
        PREFIX,
        request_id,
        path,
        _format_organisation(organisation),
        refusal.code.name.lower(),
        refusal.detail,
    )


def log_statements(now_ms: float, endpoint: str, statements: EndpointStatements) -> None:
    """Log what an endpoint says about itself after it has changed."""
    logger.info(
        '[placement] endpoint states: endpoint=%s limit_per_s=%.1f rest_ms=%.0f leaving=%s',
        endpoint,
        statements.limit.per_s,
        max(0.0, statements.rest_until_ms - now_ms),
        str(statements.is_leaving).lower(),
    )


def log_overload_changes(state: RoutedState) -> None:
    """Log the overloads that have begun or ended."""
    changes, state.overload_changes = state.overload_changes, []
    for change in changes:
        logger.info(
            '[admission] overload %s: services=%s wait_ms=%.0f limit_ms=%.0f',
            'began' if change.began else 'ended',
            _format_services(change.services),
            change.wait_ms,
            change.wait_limit_ms,
        )


def _format_services(services: tuple[str, ...]) -> str:
    more = f'+{len(services) - 1}' if len(services) > 1 else ''
    return services[0] + more


def log_placed(
    now_ms: float,
    in_flight: InFlight,
    due_ms: float,
    feed_age_ms: float,
    plan_ms: float,
    actions: list[RoutedAction],
) -> None:
    """Log the endpoints that a request is sent to first, and the inputs of the placement."""
    logger.info(
        '%s request placed: request=%s route=%s%s version=%d due_ms=%.0f limit_ms=%.0f'
        ' feed_age_ms=%.0f plan_ms=%.1f endpoints=%s%s',
        PREFIX,
        in_flight.routed.request_id,
        in_flight.state.route.name,
        _format_organisation(in_flight.routed.organisation),
        in_flight.route_version,
        due_ms - now_ms,
        in_flight.state.deadline_at_ms - now_ms,
        feed_age_ms,
        plan_ms,
        _format_endpoints(actions),
        _format_helpers(actions),
    )


def log_group_placed(
    in_flight: InFlight, sender: str, feed_age_ms: float, actions: Iterable[RoutedAction]
) -> None:
    """Log the endpoints that a group of another instance's query is sent to first."""
    logger.info(
        '%s group placed: request=%s from=%s route=%s%s version=%d feed_age_ms=%.0f endpoints=%s',
        PREFIX,
        in_flight.routed.request_id,
        sender,
        in_flight.state.route.name,
        _format_organisation(in_flight.routed.organisation),
        in_flight.route_version,
        feed_age_ms,
        _format_endpoints(actions),
    )


def log_group_ended(in_flight: InFlight, elapsed_ms: float) -> None:
    """Log the end of another instance's group with its missing shards."""
    assert isinstance(in_flight.state, GatherState)
    logger.info(
        '%s group ended: request=%s ms=%.1f missing=%s',
        PREFIX,
        in_flight.routed.request_id,
        elapsed_ms,
        describe_missing(in_flight.state, LOGGED_SHARD_COUNT),
    )


def log_passed_ended(in_flight: InFlight, elapsed_ms: float) -> None:
    """Log the end of a request that another instance passed on."""
    logger.info(
        '%s passed request ended: request=%s ms=%.1f',
        PREFIX,
        in_flight.routed.request_id,
        elapsed_ms,
    )


def log_decision(in_flight: InFlight, decision: LogDecision) -> None:
    """Log a decision about a request, such as a hedge or a retry."""
    request_id = in_flight.routed.request_id
    logger.info('%s %s: request=%s %s', PREFIX, decision.kind, request_id, decision.detail)


def log_caller_left(in_flight: InFlight) -> None:
    """Log that a caller left."""
    logger.info('%s caller left: request=%s', PREFIX, in_flight.routed.request_id)


def log_answered(
    in_flight: InFlight,
    status: int,
    code: ResultCode,
    elapsed_ms: float,
    late_ms: float,
    refusal: Refuse | None,
) -> None:
    """Log an answer with its missing shards or the reason of its refusal."""
    summary = f' reason="{refusal.detail}"' if refusal is not None else ''
    if isinstance(in_flight.state, GatherState):
        missing = describe_missing(in_flight.state, LOGGED_SHARD_COUNT)
        summary = f'{summary} missing={missing}'
    logger.info(
        '%s request answered: request=%s route=%s%s version=%d status=%d code=%s ms=%.1f'
        ' way_ms=%.1f late_ms=%.1f%s',
        PREFIX,
        in_flight.routed.request_id,
        in_flight.state.route.name,
        _format_organisation(in_flight.routed.organisation),
        in_flight.route_version,
        status,
        code.name.lower(),
        elapsed_ms,
        in_flight.transit_ms,
        late_ms,
        summary,
    )


def log_suspected(endpoint: str, crash: RequestCrash) -> None:
    """Log a request that was in flight on an endpoint when it crashed."""
    logger.info(
        '%s request suspected: digest=%s endpoint=%s born=%d crashed=%.0fms ago',
        PREFIX,
        crash.digest,
        endpoint,
        crash.born_ms,
        crash.age_ms,
    )


def _format_organisation(name: str) -> str:
    return f' organisation={name}' if name else ''


def _format_endpoints(actions: Iterable[RoutedAction]) -> str:
    sends = (action.attempt for action in actions if isinstance(action, SendAttempt))
    return ','.join(attempt.load.record.endpoint for attempt in sends) or 'none'


def _format_helpers(actions: list[RoutedAction]) -> str:
    groups = [action for action in actions if isinstance(action, DelegateGroup)]
    receivers = [action.receiver.instance for action in actions if isinstance(action, PassOn)]
    if receivers:
        return f' passed_to={receivers[0]}'
    names = ','.join(f'{group.helper.instance}:{len(group.services)}' for group in groups)
    return f' helpers={names}' if names else ''
