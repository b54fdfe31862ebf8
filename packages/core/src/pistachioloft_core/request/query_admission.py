"""Refuse a part of the queries while the endpoints of their shards are overloaded."""

# Load: more queries arrive than the endpoints can run, because of a burst or of lost or slow
# replicas. Without a limit every queue fills, and each query waits for the longest of them.

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..errors import ResultCode
from .attempts import Refuse

if TYPE_CHECKING:
    from ..messages.routes import Gather, Route
    from .routed_state import RoutedState

# The controller keeps the time that sub-requests wait in queues below this fraction of the
# shortest latency target of the routes that query the same shards.
WAIT_LIMIT_RATIO = 0.6
# A proportional-integral controller as in PIE (RFC 8033). Per unit of pressure, the refused
# fraction changes by the first gain each second, and by the second one at once.
INTEGRAL_GAIN_PER_S = 0.1
PROPORTIONAL_GAIN = 0.03
UPDATE_INTERVAL_MS = 50.0
# The controller forgets what it knows after this time without a query.
IDLE_RESET_MS = 2_000.0
# Above this pressure the queues are full, and their length says nothing about the excess load.
MAX_PRESSURE = 5.0
# Some queries are always admitted, since only replies show that the queues are shorter.
MAX_REFUSED_FRACTION = 0.95
# Queues that are short again within this time result from the pause of an endpoint.
BURST_ALLOWANCE_MS = 150.0
# Below this pressure there is no overload, and the refused fraction halves in this time.
LOW_PRESSURE = 0.5
RECOVERY_HALF_LIFE_MS = 300.0
MIN_REFUSED_FRACTION = 0.05
# An overload has ended when the queues are short and nothing was refused for this long.
OVERLOAD_END_MS = 300.0
# An answer that is late in any case is worth less than one in time. The fraction of such queries
# that is admitted is the fraction of the others to this power.
PAST_TARGET_EXPONENT = 3.0
# Callers return in this range around the time to come back, so that they do not arrive together.
RETRY_SPREAD = (0.5, 1.5)
MIN_RETRY_MS = 250.0
MAX_RETRY_MS = 10_000.0
# A floor of 0.9 of 20 shards is 18, although the product is slightly larger as a float.
ROUNDING_TOLERANCE = 1e-9


class QueryAdmission:
    """Hold the controller of the queries over one set of shards."""

    __slots__ = (
        'last_refused_ms',
        'overloaded_since_ms',
        'pressure',
        'refusal_credits',
        'refused_fraction',
        'required_count',
        'routes_version',
        'updated_ms',
        'wait_limit_ms',
    )

    def __init__(self) -> None:
        self.routes_version = -1
        # Number of shards that the strictest route needs for an answer.
        self.required_count = 1
        self.wait_limit_ms = float('inf')
        # Queue wait of the shards as a multiple of its limit.
        self.pressure = 0.0
        self.refused_fraction = 0.0
        self.updated_ms = float('-inf')
        # When the queues became too long; None while there is no overload.
        self.overloaded_since_ms: float | None = None
        self.last_refused_ms = float('-inf')
        # By route: the sum of the refused fractions of its queries, less those refused.
        self.refusal_credits: dict[str, float] = {}


def refuse_if_overloaded(
    state: RoutedState, now_ms: float, route: Route, past_target: bool
) -> Refuse | None:
    """Return the refusal of a new query, None if it is admitted."""
    assert route.gather is not None
    admission = _admission_of(state, route.gather)
    _update(state, now_ms, admission, route.gather.shards)
    fraction = admission.refused_fraction
    since_ms = admission.overloaded_since_ms
    if since_ms is None or now_ms - since_ms < BURST_ALLOWANCE_MS:
        return None
    if past_target:
        fraction = 1.0 - (1.0 - fraction) ** PAST_TARGET_EXPONENT
    # Refusals are spread evenly over the queries instead of drawn at random.
    credit = admission.refusal_credits.get(route.name, 0.0) + fraction
    is_refused = credit >= 1.0
    admission.refusal_credits[route.name] = credit - 1.0 if is_refused else credit
    if not is_refused:
        return None
    wait_ms = admission.pressure * admission.wait_limit_ms
    detail = f'sub-requests wait {wait_ms:.0f} ms in queues, refusing {fraction:.2f} of the queries'
    return _refuse(state, now_ms, admission, detail)


def refuse_without_connections(
    state: RoutedState, now_ms: float, route: Route, past_target: bool, connected_count: int
) -> Refuse | None:
    """Return the refusal of a query that would wait here for connections during an overload."""
    assert route.gather is not None
    admission = state.admissions[route.gather.shards]
    # The last connections are for answers in time.
    shard_count = len(route.gather.shards)
    required_count = shard_count if past_target else coverage_floor_count(route.gather)
    if admission.overloaded_since_ms is None or connected_count >= required_count:
        return None
    detail = f'{connected_count} shards of the required {required_count} have a free connection'
    return _refuse(state, now_ms, admission, detail)


def is_refusing(state: RoutedState, route: Route) -> bool:
    """Return whether the shards of a route are overloaded."""
    assert route.gather is not None
    admission = state.admissions.get(route.gather.shards)
    return admission is not None and admission.overloaded_since_ms is not None


def refused_fraction(state: RoutedState) -> float:
    """Return the largest refused fraction of all sets of shards, for the metrics."""
    return max((item.refused_fraction for item in state.admissions.values()), default=0.0)


def _admission_of(state: RoutedState, gather: Gather) -> QueryAdmission:
    admission = state.admissions.get(gather.shards)
    if admission is None:
        admission = state.admissions[gather.shards] = QueryAdmission()
    assert state.routes is not None
    if admission.routes_version != state.routes.version:
        admission.routes_version = state.routes.version
        sharing = [
            route
            for route in state.routes.routes.routes
            if route.gather is not None and route.gather.shards == gather.shards
        ]
        admission.required_count = max(
            coverage_floor_count(route.gather) for route in sharing if route.gather is not None
        )
        target_ms = min(route.latency_target_ms for route in sharing)
        admission.wait_limit_ms = WAIT_LIMIT_RATIO * target_ms
    return admission


def _update(
    state: RoutedState, now_ms: float, admission: QueryAdmission, shards: tuple[str, ...]
) -> None:
    elapsed_ms = now_ms - admission.updated_ms
    if elapsed_ms < UPDATE_INTERVAL_MS:
        return
    admission.updated_ms = now_ms
    waits_ms = sorted(state.queue_waits.wait_ms(shard, now_ms) for shard in shards)
    # The query is answered once the required number of shards has replied.
    wait_ms = waits_ms[admission.required_count - 1]
    before = admission.pressure
    admission.pressure = min(MAX_PRESSURE, wait_ms / admission.wait_limit_ms)
    if elapsed_ms >= IDLE_RESET_MS:
        admission.refused_fraction = 0.0
    if admission.pressure < LOW_PRESSURE:
        admission.refused_fraction *= 0.5 ** (elapsed_ms / RECOVERY_HALF_LIFE_MS)
        if admission.refused_fraction < MIN_REFUSED_FRACTION:
            admission.refused_fraction = 0.0
            if now_ms - admission.last_refused_ms >= OVERLOAD_END_MS:
                admission.overloaded_since_ms = None
        return
    if admission.pressure >= 1.0 and admission.overloaded_since_ms is None:
        admission.overloaded_since_ms = now_ms
    change = INTEGRAL_GAIN_PER_S * (admission.pressure - 1.0) * elapsed_ms / 1_000.0
    change += PROPORTIONAL_GAIN * (admission.pressure - before)
    admission.refused_fraction = min(
        MAX_REFUSED_FRACTION, max(0.0, admission.refused_fraction + change)
    )


def coverage_floor_count(gather: Gather) -> int:
    """Return how many shards an answer must cover."""
    return max(1, math.ceil(gather.coverage_floor * len(gather.shards) - ROUNDING_TOLERANCE))


def _refuse(state: RoutedState, now_ms: float, admission: QueryAdmission, detail: str) -> Refuse:
    admission.last_refused_ms = now_ms
    # An overload that began a while ago is likely to last about as long again.
    since_ms = admission.overloaded_since_ms
    elapsed_ms = 0.0 if since_ms is None else now_ms - since_ms
    retry_after_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, elapsed_ms))
    retry_after_ms *= state.random.uniform(*RETRY_SPREAD)
    return Refuse(ResultCode.OVERLOADED, detail, retry_after_ms)
