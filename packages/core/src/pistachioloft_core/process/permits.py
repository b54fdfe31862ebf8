"""Grant permits for requests to endpoints that state a limit for all instances together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..connection.endpoint_limit import MIN_LIMIT_PER_S
from ..messages.permits import PermitGrant
from ..util.rendezvous import rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..messages.fleet import InstanceLocation
    from ..messages.permits import PermitRequest

# Permits are granted at most this long in advance; later ones are refused with a time to ask again.
GRANT_AHEAD_MS = 1_000.0
# A substitute grants this fraction of the limit, since the first grantor may still grant it all.
SUBSTITUTE_FRACTION = 0.5
# A grantor that did not reply is asked again after this time.
GRANTOR_AVOID_MS = 2_000.0
FORGET_AFTER_MS = 60_000.0


class PermitSchedule:
    """Hold when the next request to one run of an endpoint may be sent."""

    __slots__ = ('born_ms', 'limit_per_s', 'next_ms', 'stated_ms')

    def __init__(self, born_ms: int, limit_per_s: float, stated_ms: float, next_ms: float) -> None:
        self.born_ms = born_ms
        self.limit_per_s = limit_per_s
        self.stated_ms = stated_ms
        self.next_ms = next_ms


class PermitTable:
    """Hold the schedules of the endpoints for which this instance grants permits."""

    __slots__ = ('schedules',)

    def __init__(self) -> None:
        self.schedules: dict[str, PermitSchedule] = {}


def ranked_grantors(
    endpoint: str, failure_domain: str, locations: Iterable[InstanceLocation]
) -> list[str]:
    """Return the instances that may grant permits for an endpoint, the first choice first."""
    ranked = sorted(
        locations,
        key=lambda location: (
            location.failure_domain == failure_domain,
            rendezvous_weight(endpoint, location.instance),
        ),
        reverse=True,
    )
    return [location.instance for location in ranked]


def grant_permits(table: PermitTable, now_ms: float, request: PermitRequest) -> PermitGrant:
    """Grant permits at the interval that the newest stated limit allows."""
    schedule = _schedule_of(table, now_ms, request)
    if request.born_ms < schedule.born_ms:
        return PermitGrant(request.endpoint, request.born_ms, (), GRANT_AHEAD_MS)
    interval_ms = _interval_ms(schedule.limit_per_s, request.is_substitute)
    horizon_ms = now_ms + max(GRANT_AHEAD_MS, interval_ms)
    schedule.next_ms = max(schedule.next_ms, now_ms)
    delays_ms: list[float] = []
    while len(delays_ms) < request.count and schedule.next_ms <= horizon_ms:
        delays_ms.append(schedule.next_ms - now_ms)
        schedule.next_ms += interval_ms
    retry_after_ms = 0.0 if delays_ms else schedule.next_ms - horizon_ms
    return PermitGrant(request.endpoint, request.born_ms, tuple(delays_ms), retry_after_ms)


def forget_schedules(table: PermitTable, now_ms: float) -> None:
    """Forget the schedules of endpoints for which no permits were requested for a while."""
    table.schedules = {
        endpoint: schedule
        for endpoint, schedule in table.schedules.items()
        if now_ms - schedule.next_ms < FORGET_AFTER_MS
    }


def _schedule_of(table: PermitTable, now_ms: float, request: PermitRequest) -> PermitSchedule:
    stated_ms = now_ms - request.stated_age_ms
    schedule = table.schedules.get(request.endpoint)
    if schedule is None or request.born_ms > schedule.born_ms:
        # An earlier grantor may have granted the next moments already.
        first_ms = now_ms + _interval_ms(request.limit_per_s, request.is_substitute)
        schedule = PermitSchedule(request.born_ms, request.limit_per_s, stated_ms, first_ms)
        table.schedules[request.endpoint] = schedule
    elif request.born_ms == schedule.born_ms and stated_ms > schedule.stated_ms:
        schedule.limit_per_s, schedule.stated_ms = request.limit_per_s, stated_ms
    return schedule


def _interval_ms(limit_per_s: float, is_substitute: bool) -> float:
    rate_per_s = max(MIN_LIMIT_PER_S, limit_per_s)
    return 1_000.0 / (rate_per_s * (SUBSTITUTE_FRACTION if is_substitute else 1.0))
