"""Handle the HTTP requests of callers, endpoints and operators."""

from __future__ import annotations

import concurrent.futures
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from pistachioloft_core.connection import owner
from pistachioloft_core.errors import RESULTS, CodedError, ResultCode
from pistachioloft_core.messages.accepted import DrainInstance, SubmitConfiguration
from pistachioloft_core.messages.endpoint import Announcement
from pistachioloft_core.messages.operator import (
    ConfigReply,
    HistoryReply,
    OperatorReply,
    StatusReply,
)
from pistachioloft_core.messages.public import (
    AddressesReply,
    CommandRequest,
    QueryRequest,
)
from pistachioloft_core.process import addresses, membership
from pistachioloft_core.version.configuration import check_configuration

from .loop_timers import monotonic_ms
from .reports import voter_status
from .requests import DEADLINE_LIMIT_MS, build_refusal
from .web import HttpInterface, Route

if TYPE_CHECKING:
    import asyncio

    from pistachioloft_core.messages.accepted import AcceptedCommand, CommandOutcome
    from pistachioloft_core.messages.peer import InForceReply

    from .instance import Instance

CALLER_THREAD_COUNT = 96
OPERATOR_THREAD_COUNT = 8
# Threads reserved for refusing requests at once while all others are busy.
RESERVED_THREAD_COUNT = 16
SHORT_TIMEOUT_MS = 2000.0
SUBMIT_TIMEOUT_MS = 8000.0
RETRY_AFTER_MS = 1000
REPLY_GRACE_MS = 1000.0
INDEX_DIGIT_LIMIT_COUNT = 18

Future = concurrent.futures.Future[Any]


def caller_interface(instance: Instance, loop: asyncio.AbstractEventLoop) -> HttpInterface:
    """Build the interface for callers and endpoints."""
    routes = (
        Route('GET', '/v1/addresses', None, _bind(instance, _addresses), _short_timeout_ms),
        Route('POST', '/v1/query', QueryRequest, _bind(instance, _request), _until_deadline_ms),
        Route('POST', '/v1/command', CommandRequest, _bind(instance, _request), _until_deadline_ms),
        Route('POST', '/v1/announce', Announcement, _bind(instance, _announce), _short_timeout_ms),
    )
    return HttpInterface('callers', loop, routes)


def operator_interface(instance: Instance, loop: asyncio.AbstractEventLoop) -> HttpInterface:
    """Build the interface for operators."""
    submit, drain = _bind(instance, _submit), _bind(instance, _drain)
    routes = (
        Route('GET', '/v1/status', None, _bind(instance, _status), _short_timeout_ms),
        Route('GET', '/v1/config', None, _bind(instance, _config), _short_timeout_ms),
        Route('GET', '/v1/config/history', None, _bind(instance, _history), _short_timeout_ms),
        Route('POST', '/v1/config', SubmitConfiguration, submit, _submit_timeout_ms),
        Route('POST', '/v1/instances/drain', DrainInstance, drain, _submit_timeout_ms),
        Route('GET', '/metrics', None, _bind(instance, _metrics), _short_timeout_ms, text=True),
    )
    return HttpInterface('operators', loop, routes)


def _bind(instance: Instance, handler: Any) -> Any:
    def handle(argument: Any, future: Future, cancelled: Future) -> None:
        handler(instance, argument, future, cancelled)

    return handle


def _short_timeout_ms(_argument: Any) -> float:
    return SHORT_TIMEOUT_MS


def _submit_timeout_ms(_argument: Any) -> float:
    return SUBMIT_TIMEOUT_MS + REPLY_GRACE_MS


def _until_deadline_ms(request: QueryRequest | CommandRequest) -> float:
    return min(max(0, request.deadline_ms), DEADLINE_LIMIT_MS) + REPLY_GRACE_MS


def _addresses(
    instance: Instance, parameters: dict[str, str], future: Future, _cancelled: Future
) -> None:
    advertised = instance.caller_addresses(parameters.get('caller', ''))
    future.set_result(AddressesReply(advertised, addresses.ADDRESS_KEEP_MS))


def _request(
    instance: Instance,
    request: QueryRequest | CommandRequest,
    future: Future,
    cancelled: Future,
) -> None:
    refusal = _refuse_if_unable(instance, request)
    if refusal is not None:
        future.set_result(refusal)
        return
    try:
        request_id = instance.requests.start(request, future.set_result)
    except CodedError as error:
        future.set_result(build_refusal(request, error.code, error.detail, error.retry_after_ms))
        return
    cancelled.add_done_callback(lambda _done: instance.requests.cancel(request_id))


def _refuse_if_unable(instance: Instance, request: QueryRequest | CommandRequest) -> Any:
    if not instance.serving():
        code, detail = ResultCode.FENCED, 'no confirmed configuration here'
    elif instance.refusing:
        code, detail = ResultCode.STOPPING, 'this instance is stopping'
    elif instance.requests.in_flight_count() >= CALLER_THREAD_COUNT - RESERVED_THREAD_COUNT:
        code, detail = ResultCode.TOO_MANY_CONNECTIONS, 'too many requests are in flight here'
    else:
        return None
    reply = build_refusal(request, code, detail, RETRY_AFTER_MS)
    return replace(reply, addresses=instance.caller_addresses(request.caller))


def _announce(
    instance: Instance, announcement: Announcement, future: Future, _cancelled: Future
) -> None:
    future.set_result(instance.soft_state.on_announcement(announcement))


def _status(
    instance: Instance, parameters: dict[str, str], future: Future, _cancelled: Future
) -> None:
    now_ms = monotonic_ms()
    with_endpoints = parameters.get('endpoints') == 'true'
    index_text = parameters.get('index', '0')
    if not index_text.isdecimal() or len(index_text) > INDEX_DIGIT_LIMIT_COUNT:
        raise CodedError(ResultCode.OUT_OF_RANGE, 'index must be a log index')
    index = int(index_text)
    state = instance.soft_state.state
    voter = instance.voter

    def reply(leader_reply: InForceReply | None) -> None:
        # Read at the same time as `serving`, since the leader's reply takes up to a second.
        accepted = instance.accepted
        voters = leader_reply.voters if leader_reply is not None else None
        if voters is None and voter is not None:
            voters = voter_status(voter, now_ms)
        future.set_result(
            StatusReply(
                instance=instance.settings.instance,
                failure_domain=instance.settings.failure_domain,
                serving=instance.serving(),
                stopping=instance.stopping,
                accepted_index=accepted.index if accepted else 0,
                accepted_digest=accepted.digest if accepted else '',
                in_force=leader_reply.report if leader_reply is not None else None,
                voters=voters,
                live_instances=tuple(
                    sorted(record.instance for record in instance.soft_state.live_records())
                ),
                endpoints=membership.endpoint_status(state, now_ms) if with_endpoints else (),
            )
        )

    instance.control.request_report(index, False, reply)


def _config(
    instance: Instance, _parameters: dict[str, str], future: Future, _cancelled: Future
) -> None:
    if instance.accepted is None:
        raise CodedError(ResultCode.FENCED, 'no configuration is confirmed here yet')
    future.set_result(ConfigReply(instance.accepted))


def _history(
    instance: Instance, _parameters: dict[str, str], future: Future, _cancelled: Future
) -> None:
    def reply(leader_reply: InForceReply | None) -> None:
        if leader_reply is None:
            future.set_exception(CodedError(ResultCode.NO_QUORUM, 'no leader answered'))
        else:
            future.set_result(HistoryReply(leader_reply.history))

    instance.control.request_report(0, True, reply)


def _submit(
    instance: Instance, submit: SubmitConfiguration, future: Future, _cancelled: Future
) -> None:
    mistakes = check_configuration(submit.configuration)
    if mistakes:
        code = ResultCode.INVALID_CONFIGURATION
        future.set_result(OperatorReply(code, RESULTS[code].summary, 0, mistakes))
        return
    _propose(instance, submit, future)


def _drain(instance: Instance, drain: DrainInstance, future: Future, _cancelled: Future) -> None:
    _propose(instance, drain, future)


def _propose(
    instance: Instance, change: SubmitConfiguration | DrainInstance, future: Future
) -> None:
    def reply(outcome: CommandOutcome | None) -> None:
        if outcome is None:
            code = ResultCode.SUBMIT_UNKNOWN
            future.set_result(OperatorReply(code, RESULTS[code].summary))
        else:
            future.set_result(
                OperatorReply(outcome.result_code, outcome.detail, outcome.accepted_index)
            )

    command: AcceptedCommand = change
    instance.control.proposals.propose(change.command_id, command, SUBMIT_TIMEOUT_MS, reply)


def _metrics(
    instance: Instance, _parameters: dict[str, str], future: Future, _cancelled: Future
) -> None:
    metrics = instance.metrics
    budget = instance.routing.budget
    gauges = (
        ('in_flight_requests', 'Requests without a reply', instance.requests.in_flight_count()),
        (
            'sub_requests',
            'Sub-requests sent by this owner',
            instance.own_endpoints.sub_request_count,
        ),
        (
            'owned_endpoints',
            'Endpoints owned',
            len(owner.observations(instance.own_endpoints.state)),
        ),
        ('serving', 'Whether new work is taken', float(instance.serving())),
        ('peer_sent_bytes', 'Bytes sent to other instances', instance.peers.sent_bytes),
        ('peer_received_bytes', 'Bytes from other instances', instance.peers.received_bytes),
        ('peer_dropped', 'Messages a peer did not take', instance.peers.dropped_count),
        ('first_tries_10s', 'First tries in the budget window', budget.first_count),
        ('extra_tries_10s', 'Hedges and retries in the budget window', budget.extra_count),
        ('accepted_index', 'Configuration in force', _accepted_index(instance)),
    )
    for name, text, value in gauges:
        metrics.set_gauge(name, text, float(value))
    future.set_result(metrics.render())


def _accepted_index(instance: Instance) -> int:
    return instance.accepted.index if instance.accepted else 0
