"""Keep the requests of organisations within their allotments over all instances."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from pistachioloft_core.messages.allotments import NOT_READY
from pistachioloft_core.process.allotment_grants import GrantTable, forget_buckets, grant_permits
from pistachioloft_core.process.allotments import InstanceRanks, on_confirmed, set_instances
from pistachioloft_core.request.allotment_purses import (
    Admission,
    PurseTable,
    admit,
    check_waiting,
    forget_purses,
    next_request,
    on_grant,
    refuse_late,
    withdraw,
)

from .loop_timers import monotonic_ms, wall_clock_ms

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pistachioloft_core.messages.allotments import AllotmentGrant, AllotmentRequest
    from pistachioloft_core.messages.fleet import InstanceLocation
    from pistachioloft_core.messages.routes import Organisation
    from pistachioloft_core.request.allotment_purses import Outcome
    from pistachioloft_core.request.attempts import Refuse
    from pistachioloft_core.request.routed_state import RoutedState

    from .http1.server import Cancel
    from .loop_timers import LoopTimers
    from .metrics import Metrics
    from .routed_messages import AcceptedRequest

logger = logging.getLogger(__name__)

PREFIX = '[allotments]'
# A request waits for a permit for at most this fraction of its latency target, so that a caller
# that is refused can still be served in time elsewhere.
WAIT_FRACTION = 0.2
_NUMBERS_PER_MS = 1_000


class WaitingRequest:
    """Hold a request that waits for a permit."""

    __slots__ = ('cancel', 'organisation', 'refuse', 'start', 'timer')

    def __init__(
        self,
        organisation: str,
        start: Callable[[], Cancel | None],
        refuse: Callable[[Refuse], None],
    ) -> None:
        self.organisation = organisation
        self.start = start
        self.refuse = refuse
        self.timer = 0
        # Set once the request is started.
        self.cancel: Cancel | None = None


class Allotments:
    """Admit requests with permits, ask grantors for them, and grant those of other instances."""

    def __init__(
        self,
        state: RoutedState,
        timers: LoopTimers,
        metrics: Metrics,
        send: Callable[[str, object], bool],
        reconnect: Callable[[str], None],
        confirmed_age_ms: Callable[[], float],
    ) -> None:
        self.state = state
        self.timers = timers
        self.metrics = metrics
        self.send = send
        self.reconnect = reconnect
        self.confirmed_age_ms = confirmed_age_ms
        bounds = state.limits.allotments
        self.ranks = InstanceRanks(state.instance)
        self.purses = PurseTable(self.ranks, bounds, wall_clock_ms() * _NUMBERS_PER_MS)
        self.grants = GrantTable(self.ranks, bounds)
        self.waiting: dict[int, WaitingRequest] = {}
        self.ticket = 0

    def set_instances(self, now_ms: float, locations: Iterable[InstanceLocation]) -> None:
        """Replace the advertised instances."""
        set_instances(self.ranks, now_ms, (location.instance for location in locations))

    def on_confirmed(self, now_ms: float, before_age_ms: float) -> None:
        """Handle a confirmation, given the age that the one before it had."""
        on_confirmed(self.ranks, now_ms, before_age_ms)

    def admit(
        self,
        now_ms: float,
        organisation: Organisation,
        accepted: AcceptedRequest,
        start: Callable[[], Cancel | None],
        refuse: Callable[[Refuse], None],
    ) -> Cancel | None:
        """Start or refuse a request, at once or when the grantor has replied."""
        self.ticket += 1
        ticket, name = self.ticket, organisation.name
        decision = admit(self.purses, now_ms, organisation, self.confirmed_age_ms(), ticket)
        if decision is Admission.ADMITTED:
            self.metrics.count_admission(name, is_admitted=True)
            cancel = start()
            self._ask(now_ms, name)
            return cancel
        if decision is not Admission.WAITING:
            self._refuse(name, refuse, decision)
            return None
        waiting = self.waiting[ticket] = WaitingRequest(name, start, refuse)
        due_ms = now_ms + WAIT_FRACTION * accepted.route.latency_target_ms
        waiting.timer = self.timers.at(due_ms, lambda ms: self._on_late(ms, ticket))
        self._ask(now_ms, name)
        return lambda: self._cancel(ticket, waiting)

    def check(self, now_ms: float) -> None:
        """Handle the silence of grantors, and ask for what still waits."""
        if not self.purses.waiting:
            return
        self._apply(check_waiting(self.purses, now_ms))
        for name in list(self.purses.waiting):
            self._ask(now_ms, name)

    def forget_expired(self, now_ms: float) -> None:
        """Forget what is no longer needed."""
        forget_purses(self.purses, now_ms)
        forget_buckets(self.grants, now_ms)

    def on_request(self, sender: str, request: AllotmentRequest) -> None:
        """Grant permits to another instance, or to this one."""
        if request.reply_overdue:
            self.reconnect(sender)
        routes = self.state.routes
        organisation = None if routes is None else routes.organisations.get(request.organisation)
        now_ms = monotonic_ms()
        grant = grant_permits(self.grants, now_ms, organisation, self.confirmed_age_ms(), request)
        if grant.outcome == NOT_READY:
            logger.info(
                '%s not granting: organisation=%s instance=%s ready_ms=%.0f',
                PREFIX,
                request.organisation,
                sender,
                grant.room_ms,
            )
        if sender == self.state.instance:
            self.on_grant(grant)
        else:
            self.send(sender, grant)

    def on_grant(self, grant: AllotmentGrant) -> None:
        """Start or refuse the requests that waited for a grant."""
        now_ms = monotonic_ms()
        self._apply(on_grant(self.purses, now_ms, grant, self.confirmed_age_ms()))
        if grant.organisation in self.purses.purses:
            self._ask(now_ms, grant.organisation)

    def refuse_all(self, refusal: Refuse) -> None:
        """Refuse the requests that still wait for permits."""
        for ticket, waiting in list(self.waiting.items()):
            del self.waiting[ticket]
            self.timers.cancel(waiting.timer)
            withdraw(self.purses, waiting.organisation, ticket)
            self._refuse(waiting.organisation, waiting.refuse, refusal)

    def _ask(self, now_ms: float, organisation: str) -> None:
        due = next_request(self.purses, now_ms, organisation, self.confirmed_age_ms())
        if due is None:
            return
        grantor, request = due
        if grantor == self.state.instance:
            self.on_request(grantor, request)
            return
        if request.reply_overdue:
            logger.info('%s grantor silent: instance=%s', PREFIX, grantor)
            # The connection may carry nothing any more; this request needs a new one.
            self.reconnect(grantor)
        self.send(grantor, request)

    def _apply(self, outcomes: list[Outcome]) -> None:
        for outcome in outcomes:
            waiting = self.waiting.pop(outcome.ticket, None)
            if waiting is None:
                continue
            self.timers.cancel(waiting.timer)
            if outcome.refusal is not None:
                self._refuse(waiting.organisation, waiting.refuse, outcome.refusal)
                continue
            self.metrics.count_admission(waiting.organisation, is_admitted=True)
            waiting.cancel = waiting.start()

    def _on_late(self, now_ms: float, ticket: int) -> None:
        waiting = self.waiting.pop(ticket, None)
        if waiting is None:
            return
        withdraw(self.purses, waiting.organisation, ticket)
        refusal = refuse_late(self.purses, now_ms, waiting.organisation)
        self._refuse(waiting.organisation, waiting.refuse, refusal)

    def _refuse(self, organisation: str, refuse: Callable[[Refuse], None], refusal: Refuse) -> None:
        self.metrics.count_admission(organisation, is_admitted=False)
        refuse(refusal)

    def _cancel(self, ticket: int, waiting: WaitingRequest) -> None:
        if waiting.cancel is not None:
            waiting.cancel()
        elif self.waiting.pop(ticket, None) is not None:
            self.timers.cancel(waiting.timer)
            withdraw(self.purses, waiting.organisation, ticket)
            logger.info('%s caller left: organisation=%s', PREFIX, waiting.organisation)
