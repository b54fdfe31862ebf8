"""Handle the calls of endpoints, operators and callers to a control instance."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.accepted import AcceptRoutes, SetEvacuation
from pistachioloft_core.messages.fleet import (
    ENDPOINT_DRAINING,
    ENDPOINT_LEFT,
    LeavingNotice,
    ReceivedEndpoint,
)
from pistachioloft_core.process import fleet
from pistachioloft_core.process.announced import MergeResult
from pistachioloft_core.version.route_table import check_routes

from .byte_counts import ANNOUNCEMENT_KIND, header_bytes
from .control_calls import (
    Addresses,
    Announce,
    Announced,
    CheckReadiness,
    Depart,
    Done,
    Evacuate,
    ListAddresses,
    Outcome,
    ReadRoutes,
    SubmitRoutes,
    UnknownCall,
)
from .loop_timers import monotonic_ms, wall_clock_ms
from .routes_document import pack_document, unpack_document

if TYPE_CHECKING:
    from pistachioloft_core.messages.accepted import CommandOutcome

    from .control_instance import ControlInstance
    from .http1.messages import Request
    from .http1.receive_budget import ReceiveBudget
    from .http1.server import Cancel, Respond
    from .wire import ControlWire

logger = logging.getLogger(__name__)

PREFIX = '[operator]'
# Senders wait for a second; a refusal lets them call another instance within that time.
NOTICE_TIMEOUT_MS = 700.0
NOTICE_RESEND_MS = 100.0
SUBMIT_TIMEOUT_MS = 4_000.0
RETRY_AFTER_MS = 300.0
Answer = Callable[[Outcome], None]


class _Notice:
    """Hold a leaving endpoint until enough control instances have confirmed the notice."""

    def __init__(
        self, received: ReceivedEndpoint, answer: Answer, needed_count: int, deadline_ms: float
    ) -> None:
        self.received = received
        self.answer = answer
        self.needed_count = needed_count
        self.deadline_ms = deadline_ms
        self.confirmed_by: set[str] = set()
        self.sent_ms: dict[str, float] = {}


class ControlInterface:
    """Hold the pending calls to one control instance."""

    def __init__(self, instance: ControlInstance, wire: ControlWire, budget: ReceiveBudget) -> None:
        self.instance = instance
        self.wire = wire
        self.budget = budget
        self.notices: dict[int, _Notice] = {}
        self.number = 0

    def handle(self, request: Request, respond: Respond) -> Cancel | None:
        """Answer one call, immediately or through a later call of `respond`."""

        def answer(outcome: Outcome) -> None:
            respond(self.wire.encode_outcome(outcome))

        cost_bytes = self.wire.estimate_call_bytes(request)
        refusal = self._reserve(cost_bytes)
        if refusal is not None:
            logger.info('%s call refused: code=%s %s', PREFIX, refusal.code.name, refusal.detail)
            answer(refusal)
            return None
        try:
            self._handle(request, answer)
        finally:
            self.budget.free(cost_bytes)
        return None

    def _reserve(self, size_bytes: int) -> Done | None:
        """Reserve memory for a body or a document, or return the refusal."""
        if size_bytes > self.budget.limit_bytes:
            detail = f'it takes {size_bytes} bytes of memory, over {self.budget.limit_bytes}'
            return Done(ResultCode.TOO_LARGE, detail)
        if not self.budget.reserve(size_bytes):
            detail = 'the documents in progress take too much memory'
            return Done(ResultCode.TOO_MANY_CONNECTIONS, detail, b'', RETRY_AFTER_MS)
        return None

    def _handle(self, request: Request, answer: Answer) -> None:
        call = self.wire.decode_call(request)
        match call:
            case Announce():
                self._count_announcement(call, request)
                self._announce(call, answer)
            case Depart():
                self._depart(call, answer)
            case SubmitRoutes():
                self._submit(call, answer)
            case ReadRoutes():
                self._read(answer)
            case Evacuate():
                self._evacuate(call, answer)
            case ListAddresses():
                self._list_addresses(call, answer)
            case CheckReadiness():
                code = ResultCode.ACCEPTED if self.instance.confirmed() else ResultCode.NO_QUORUM
                answer(Done(code))
            case UnknownCall():
                logger.info('%s call refused: code=%s %s', PREFIX, call.code.name, call.detail)
                answer(Done(call.code, call.detail))

    def _count_announcement(self, call: Announce, request: Request) -> None:
        domain = call.record.failure_domain
        byte_count = len(request.target) + len(request.body) + header_bytes(request.headers)
        self.instance.metrics.bytes.add(ANNOUNCEMENT_KIND, domain, byte_count)

    def on_notice_confirmed(self, sender: str, notice_id: int) -> None:
        """Record that a control instance confirmed the notice of a leaving endpoint."""
        notice = self.notices.get(notice_id)
        if notice is not None:
            notice.confirmed_by.add(sender)
            self._answer_if_confirmed(notice_id, notice)

    def tick(self, now_ms: float) -> None:
        """Resend unconfirmed notices and refuse the calls whose notices have timed out."""
        for notice_id, notice in list(self.notices.items()):
            if now_ms >= notice.deadline_ms:
                del self.notices[notice_id]
                name = notice.received.record.endpoint
                logger.warning('[membership] endpoint %s: leaving is not confirmed', name)
                notice.answer(Done(ResultCode.NO_QUORUM, '', b'', RETRY_AFTER_MS))
            else:
                self._send_notices(notice_id, notice, now_ms)

    def _announce(self, call: Announce, answer: Answer) -> None:
        now_ms = monotonic_ms()
        record = call.record
        merge_result = fleet.on_announcement(self.instance.fleet, now_ms, record)
        if merge_result is MergeResult.CHANGED:
            logger.info(
                '[membership] endpoint %s: %s service=%s address=%s seq=%d born=%d',
                record.endpoint,
                record.endpoint_state,
                record.service,
                record.address,
                record.sequence,
                record.born_ms,
            )
            self.instance.push()
        if record.endpoint_state == ENDPOINT_DRAINING:
            self._confirm_leaving(record.endpoint, answer)
        elif self.instance.confirmed():
            domain = record.failure_domain
            answer(Announced(fleet.control_address_in(self.instance.fleet, now_ms, domain)))
        else:
            # In a network partition, no other instance would receive the announcement.
            answer(Done(ResultCode.NO_QUORUM, '', b'', RETRY_AFTER_MS))

    def _depart(self, call: Depart, answer: Answer) -> None:
        now_ms = monotonic_ms()
        state = self.instance.fleet
        if fleet.on_departure(state, now_ms, call.endpoint, call.born_ms, wall_clock_ms()):
            logger.info('[membership] endpoint %s: left', call.endpoint)
            self.instance.push()
        self._confirm_leaving(call.endpoint, answer)

    def _confirm_leaving(self, endpoint: str, answer: Answer) -> None:
        """Answer once a majority has recorded the leaving, so that no tolerated loss drops it."""
        now_ms = monotonic_ms()
        entry = self.instance.fleet.announced.endpoints.get(endpoint)
        if entry is None or entry.record.endpoint_state not in (ENDPOINT_DRAINING, ENDPOINT_LEFT):
            # The record is of a later incarnation of the endpoint than the call.
            answer(Done())
            return
        if not self.instance.confirmed():
            answer(Done(ResultCode.NO_QUORUM, '', b'', RETRY_AFTER_MS))
            return
        self.number += 1
        notice = _Notice(
            ReceivedEndpoint(entry.record, now_ms - entry.received_ms),
            answer,
            (len(self.instance.other_voters()) + 1) // 2,
            now_ms + NOTICE_TIMEOUT_MS,
        )
        self.notices[self.number] = notice
        self._send_notices(self.number, notice, now_ms)
        self._answer_if_confirmed(self.number, notice)

    def _send_notices(self, notice_id: int, notice: _Notice, now_ms: float) -> None:
        for peer in self.instance.other_voters():
            due_ms = notice.sent_ms.get(peer, float('-inf')) + NOTICE_RESEND_MS
            if peer not in notice.confirmed_by and now_ms >= due_ms:
                notice.sent_ms[peer] = now_ms
                self.instance.peers.send(peer, LeavingNotice(notice_id, notice.received))

    def _answer_if_confirmed(self, notice_id: int, notice: _Notice) -> None:
        if len(notice.confirmed_by) >= notice.needed_count:
            del self.notices[notice_id]
            notice.answer(Done())

    def _submit(self, call: SubmitRoutes, answer: Answer) -> None:
        version = call.routes.version
        mistakes = check_routes(call.routes)
        if mistakes:
            detail = '; '.join(mistakes)
            logger.info('%s routes refused: version=%d %s', PREFIX, version, detail)
            answer(Done(ResultCode.INVALID_CONFIGURATION, detail))
            return
        if version <= self.instance.routes.version:
            detail = f'version {self.instance.routes.version} is accepted already'
            logger.info('%s routes not newer: version=%d, %s', PREFIX, version, detail)
            answer(Done(ResultCode.ACCEPTED_REPEATED, detail))
            return

        document = pack_document(call.document)
        refusal = self._reserve(len(document))
        if refusal is not None:
            logger.info('%s routes refused: version=%d %s', PREFIX, version, refusal.detail)
            answer(refusal)
            return

        def on_outcome(outcome: CommandOutcome | None) -> None:
            self.budget.free(len(document))
            if outcome is None:
                logger.warning('%s routes without outcome: version=%d', PREFIX, version)
                answer(Done(ResultCode.SUBMIT_UNKNOWN, '', b'', RETRY_AFTER_MS))
                return
            logger.info(
                '%s routes answered: version=%d code=%s %s',
                PREFIX,
                version,
                outcome.result_code.name.lower(),
                outcome.detail,
            )
            answer(Done(outcome.result_code, outcome.detail))

        self.number += 1
        proposal_id = f'routes-{self.instance.fleet.own_status.incarnation}-{self.number}'
        command = AcceptRoutes(version, document)
        self.instance.proposals.propose(proposal_id, command, SUBMIT_TIMEOUT_MS, on_outcome)

    def _evacuate(self, call: Evacuate, answer: Answer) -> None:
        """Propose an order, also a repeated one: the state here may be behind the log."""

        def on_outcome(outcome: CommandOutcome | None) -> None:
            code = outcome.result_code if outcome is not None else ResultCode.SUBMIT_UNKNOWN
            detail = outcome.detail if outcome is not None else ''
            logger.info(
                '%s evacuation answered: domain=%r evacuated=%s code=%s %s',
                PREFIX,
                call.failure_domain,
                str(call.evacuated).lower(),
                code.name.lower(),
                detail,
            )
            if code is ResultCode.CONFLICT:
                # The operator's next call is based on what was accepted meanwhile.
                code = ResultCode.SUBMIT_UNKNOWN
            retry_after_ms = RETRY_AFTER_MS if code is ResultCode.SUBMIT_UNKNOWN else None
            answer(Done(code, detail, b'', retry_after_ms))

        self.number += 1
        proposal_id = f'evacuation-{self.instance.fleet.own_status.incarnation}-{self.number}'
        command = SetEvacuation(call.failure_domain, call.evacuated, self.instance.applied_index())
        self.instance.proposals.propose(proposal_id, command, SUBMIT_TIMEOUT_MS, on_outcome)

    def _read(self, answer: Answer) -> None:
        def on_confirmed(confirmed: bool) -> None:
            routes = self.instance.routes
            if confirmed and routes.document:
                answer(Done(ResultCode.ACCEPTED, '', unpack_document(routes.document)))
            elif confirmed:
                answer(Done(ResultCode.FENCED, 'no routes are accepted yet'))
            else:
                logger.info('%s read of routes not confirmed in time', PREFIX)
                answer(Done(ResultCode.NO_QUORUM, '', b'', RETRY_AFTER_MS))

        self.instance.reads.confirm(on_confirmed)

    def _list_addresses(self, call: ListAddresses, answer: Answer) -> None:
        addresses = self.instance.addresses(call.failure_domain)
        if not addresses:
            answer(Done(ResultCode.FENCED, 'no entry instance is known here', b'', RETRY_AFTER_MS))
            return
        answer(Addresses(addresses, self.instance.keep_ms))
