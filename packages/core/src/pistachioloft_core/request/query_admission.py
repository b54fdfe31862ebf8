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
INTEGRAL_GAIN_PER_S = 0.3
PROPORTIONAL_GAIN = 0.1
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
# Callers return in this range around the time to come back, so that they do not arrive together.
RETRY_SPREAD = (0.5, 1.5)
MIN_RETRY_MS = 100.0


class QueryAdmission:
    """Hold the controller of the queries over one set of shards."""

    __slots__ = (
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
        # By route: the sum of the refused fractions of its queries, less those refused.
        self.refusal_credits: dict[str, float] = {}


def refuse_if_overloaded(state: RoutedState, now_ms: float, route: Route) -> Refuse | None:
    """Return the refusal of a new query, None if it is admitted."""
    assert route.gather is not None
    admission = _admission_of(state, route.gather)
    _update(state, now_ms, admission, route.gather.shards)
    fraction = admission.refused_fraction
    since_ms = admission.overloaded_since_ms
    if since_ms is None or now_ms - since_ms < BURST_ALLOWANCE_MS:
        return None
    # Refusals are spread evenly over the queries instead of drawn at random.
    credit = admission.refusal_credits.get(route.name, 0.0) + fraction
    is_refused = credit >= 1.0
    admission.refusal_credits[route.name] = credit - 1.0 if is_refused else credit
    if not is_refused:
        return None
    wait_ms = admission.pressure * admission.wait_limit_ms
    detail = f'sub-requests wait {wait_ms:.0f} ms in queues, refusing {fraction:.2f} of the queries'
    return Refuse(ResultCode.OVERLOADED, detail, _retry_after_ms(state, fraction))


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
        floor = max(route.gather.coverage_floor for route in sharing if route.gather is not None)
        admission.required_count = max(1, math.ceil(floor * len(gather.shards) - 1e-9))
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
            admission.overloaded_since_ms = None
        return
    if admission.pressure >= 1.0 and admission.overloaded_since_ms is None:
        admission.overloaded_since_ms = now_ms
    change = INTEGRAL_GAIN_PER_S * (admission.pressure - 1.0) * elapsed_ms / 1_000.0
    change += PROPORTIONAL_GAIN * (admission.pressure - before)
    admission.refused_fraction = min(
        MAX_REFUSED_FRACTION, max(0.0, admission.refused_fraction + change)
    )


def _retry_after_ms(state: RoutedState, fraction: float) -> float:
    # With empty queues, the refused fraction reaches zero after this time.
    recovery_ms = 1_000.0 * fraction / INTEGRAL_GAIN_PER_S
    return max(MIN_RETRY_MS, recovery_ms * state.random.uniform(*RETRY_SPREAD))
