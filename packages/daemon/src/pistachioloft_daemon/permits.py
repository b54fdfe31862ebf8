"""Exchange permits for requests to endpoints that state a limit for all instances together."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from pistachioloft_core.messages.permits import PermitGrant, PermitRequest
from pistachioloft_core.process.permits import (
    GRANTOR_AVOID_MS,
    PermitTable,
    forget_schedules,
    grant_permits,
    ranked_grantors,
)

from .loop_timers import monotonic_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioloft_core.connection.endpoint_load import EndpointLoad
    from pistachioloft_core.messages.fleet import InstanceLocation
    from pistachioloft_core.request.routed_state import RoutedState

logger = logging.getLogger(__name__)

PREFIX = '[placement]'


class Permits:
    """Request the permits that placements want, and grant those of other instances."""

    def __init__(
        self,
        state: RoutedState,
        send: Callable[[str, object], bool],
        reconnect: Callable[[str], None],
    ) -> None:
        self.state = state
        self.send = send
        self.reconnect = reconnect
        # The advertised instances: every instance ranks the same ones.
        self.locations: tuple[InstanceLocation, ...] = ()
        self.table = PermitTable()
        # Grantors that did not reply, and until when they are avoided.
        self.avoided_until_ms: dict[str, float] = {}
        # Those among them that were not asked again since.
        self.silent_grantors: set[str] = set()
        # By endpoint: the grantor whose reply is awaited.
        self.requested_from: dict[str, str] = {}
        self.requested_count = 0
        self.granted_count = 0

    def request_wanted(self, now_ms: float) -> None:
        """Request permits for the endpoints that placements wanted and could not use."""
        for endpoint, load in list(self.state.wanted_permits.items()):
            self._check_grantor(now_ms, endpoint, load)
            if not load.limit.is_limited or self.state.table.endpoints.get(endpoint) is not load:
                del self.state.wanted_permits[endpoint]
            elif count := load.limit.take_request(now_ms):
                self._request(now_ms, load, count)

    def forget_expired(self, now_ms: float) -> None:
        """Forget what is no longer needed."""
        forget_schedules(self.table, now_ms)
        self.silent_grantors &= {location.instance for location in self.locations}
        self.avoided_until_ms = {
            name: until_ms for name, until_ms in self.avoided_until_ms.items() if now_ms < until_ms
        }

    def on_request(self, sender: str, request: PermitRequest) -> None:
        """Grant permits to another instance, or to this one."""
        if request.reply_overdue:
            self.reconnect(sender)
        self.send(sender, grant_permits(self.table, monotonic_ms(), request))

    def on_grant(self, grant: PermitGrant) -> None:
        """Use the permits that were granted."""
        load = self.state.table.endpoints.get(grant.endpoint)
        if load is None or load.record.born_ms != grant.born_ms:
            return
        self.requested_from.pop(grant.endpoint, None)
        self.granted_count += len(grant.delays_ms)
        load.limit.add_permits(monotonic_ms(), grant.delays_ms, grant.retry_after_ms)

    def _check_grantor(self, now_ms: float, endpoint: str, load: EndpointLoad) -> None:
        if not load.limit.is_grantor_silent(now_ms):
            return
        load.limit.requested_ms = None
        grantor = self.requested_from.pop(endpoint, None)
        if grantor is not None:
            logger.info('%s grantor silent: instance=%s endpoint=%s', PREFIX, grantor, endpoint)
            self.avoided_until_ms[grantor] = now_ms + GRANTOR_AVOID_MS
            self.silent_grantors.add(grantor)
            # The connection may carry nothing any more; the next request needs a new one.
            self.reconnect(grantor)

    def _request(self, now_ms: float, load: EndpointLoad, count: int) -> None:
        record, limit = load.record, load.limit
        ranked = ranked_grantors(record.endpoint, record.failure_domain, self.locations)
        grantor = next(
            (name for name in ranked if now_ms >= self.avoided_until_ms.get(name, now_ms)), None
        )
        if grantor is None:
            return
        self.requested_from[record.endpoint] = grantor
        self.requested_count += count
        reply_overdue = grantor in self.silent_grantors
        self.silent_grantors.discard(grantor)
        self.send(
            grantor,
            PermitRequest(
                record.endpoint,
                record.born_ms,
                limit.per_s,
                now_ms - limit.stated_ms,
                count,
                grantor != ranked[0],
                reply_overdue,
            ),
        )
