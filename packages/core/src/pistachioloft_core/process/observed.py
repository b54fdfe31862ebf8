"""An instance's own observation of endpoints and their owners."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .endpoint_view import EndpointView

# Weight of the newest latency; about the last 5 replies count.
LATENCY_WEIGHT = 0.2
# Without replies, half of the distance to the service's median is forgotten in this
# time, so that an endpoint that was slow is tried again. Each such attempt costs a late
# sub-request; an endpoint at ten times the median is tried about every 10 s.
LATENCY_HALF_LIFE_MS = 5_000.0
# Load that the owner reported with a result is used for this long; a query at today's
# size asks an endpoint several times in this time.
LOAD_VALID_MS = 200.0
# A broken endpoint is asked once after this time; the time doubles up to the lease
# time, at which the endpoint leaves planning by itself.
BREAK_MS = 250.0
LONGEST_BREAK_MS = 2_500.0
# A probe without result blocks the next probe for this time at most.
PROBE_MS = 1_000.0
# One silent connection or one straggler must not take an endpoint out of planning.
UNANSWERED_LIMIT = 3
# A lost owner leaves the attempts on all its endpoints unanswered; half of the 7 or 8
# attempts that a query has there is more than stragglers explain.
OWNER_UNANSWERED_LIMIT = 6
# Share of slow endpoints above which the cause is common to all and hedges add load.
SLOW_SHARE = 1 / 3


class Breaker:
    """Hold whether an endpoint or owner is out of planning after failures."""

    __slots__ = ('break_ms', 'broken', 'open_until_ms', 'probe_until_ms', 'unanswered_count')

    def __init__(self) -> None:
        self.broken = False
        self.open_until_ms = 0.0
        self.break_ms = BREAK_MS
        self.probe_until_ms = 0.0
        self.unanswered_count = 0

    def is_open(self, now_ms: float) -> bool:
        """Tell whether planning avoids the endpoint, apart from one probe at a time."""
        return self.broken and (now_ms < self.open_until_ms or now_ms < self.probe_until_ms)

    def trip(self, now_ms: float) -> None:
        """Open, or open again for twice the time after a failed probe."""
        if self.broken:
            if now_ms < self.open_until_ms:
                return
            self.break_ms = min(LONGEST_BREAK_MS, self.break_ms * 2)
        self.broken = True
        self.open_until_ms = now_ms + self.break_ms
        self.probe_until_ms = 0.0

    def reset(self) -> None:
        """Close after a success."""
        self.broken = False
        self.break_ms = BREAK_MS
        self.unanswered_count = 0
        self.probe_until_ms = 0.0

    def count_unanswered(self, now_ms: float, limit: int) -> None:
        """Count an attempt without answer and open at the limit."""
        self.unanswered_count += 1
        if self.broken or self.unanswered_count >= limit:
            self.trip(now_ms)


class EndpointObservation:
    """Hold what this instance observed of one endpoint incarnation."""

    __slots__ = (
        'breaker',
        'draining',
        'in_flight',
        'incarnation',
        'latency_ms',
        'load_at_ms',
        'observed_at_ms',
        'reported_load',
        'sent_since_report',
        'shed_until_ms',
    )

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.in_flight = 0
        self.latency_ms = 0.0
        self.observed_at_ms = -1.0
        self.load_at_ms = -1.0
        self.reported_load = 0
        self.sent_since_report = 0
        self.shed_until_ms = 0.0
        self.draining = False
        self.breaker = Breaker()


class ObservedState:
    """Hold the observations of all endpoints and owners."""

    __slots__ = ('endpoints', 'owners', 'slow')

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointObservation] = {}
        self.owners: dict[str, Breaker] = {}
        self.slow: set[str] = set()


def observe_endpoint(state: ObservedState, view: EndpointView) -> EndpointObservation:
    """Return the observation of an endpoint; a new incarnation starts afresh."""
    found = state.endpoints.get(view.endpoint)
    if found is None or found.incarnation != view.incarnation:
        found = state.endpoints[view.endpoint] = EndpointObservation(view.incarnation)
        state.slow.discard(view.endpoint)
    return found


def is_avoided(state: ObservedState, view: EndpointView, now_ms: float) -> bool:
    """Tell whether own observation takes an endpoint out of planning."""
    seen = observe_endpoint(state, view)
    if seen.draining or seen.breaker.is_open(now_ms):
        return True
    owner = state.owners.get(view.owner)
    return owner is not None and owner.is_open(now_ms)


def expected_wait_ms(
    state: ObservedState, view: EndpointView, now_ms: float, median_ms: float
) -> float:
    """Estimate how long a sub-request takes on an endpoint, queue and service together."""
    seen = observe_endpoint(state, view)
    if seen.observed_at_ms >= 0.0:
        age_ms = now_ms - seen.observed_at_ms
        kept = 0.5 ** (age_ms / LATENCY_HALF_LIFE_MS) if age_ms > 1.0 else 1.0
        latency_ms = median_ms + (seen.latency_ms - median_ms) * kept
        fresh = now_ms - seen.load_at_ms < LOAD_VALID_MS
        load = seen.reported_load + seen.sent_since_report if fresh else seen.in_flight
        if load < seen.in_flight:
            load = seen.in_flight
    else:
        latency_ms = view.latency_ms or median_ms
        load = view.in_flight_count + view.queue_length + seen.in_flight
    slots = view.slot_count if view.slot_count > 0 else 1
    wait_ms = latency_ms * (1.0 + 0.2 * load / slots)
    if load >= slots:
        wait_ms += latency_ms * (load + 1 - slots) / slots
    if now_ms < seen.shed_until_ms:
        wait_ms *= 4.0
    return wait_ms if wait_ms > 0.1 else 0.1


def record_sent(state: ObservedState, view: EndpointView, now_ms: float) -> None:
    """Count an attempt sent; to a broken endpoint or owner it is the probe."""
    seen = observe_endpoint(state, view)
    seen.in_flight += 1
    seen.sent_since_report += 1
    if seen.breaker.broken:
        seen.breaker.probe_until_ms = now_ms + PROBE_MS
    owner = state.owners.get(view.owner)
    if owner is not None and owner.broken:
        owner.probe_until_ms = now_ms + PROBE_MS


def record_closed(state: ObservedState, endpoint: str) -> None:
    """Count an attempt as no longer in flight."""
    seen = state.endpoints.get(endpoint)
    if seen is not None and seen.in_flight > 0:
        seen.in_flight -= 1


def record_reply(
    state: ObservedState,
    endpoint: str,
    owner: str,
    now_ms: float,
    latency_ms: float,
    load: int,
) -> None:
    """Record a reply of the endpoint itself, which closes its breaker."""
    _close_owner(state, owner)
    seen = state.endpoints.get(endpoint)
    if seen is None:
        return
    seen.breaker.reset()
    _learn_latency(seen, now_ms, latency_ms)
    seen.load_at_ms = now_ms
    seen.reported_load = load
    seen.sent_since_report = 0


def record_lost(state: ObservedState, endpoint: str, owner: str, now_ms: float) -> None:
    """Record a crash or a refused connection, which opens the breaker at once."""
    _close_owner(state, owner)
    seen = state.endpoints.get(endpoint)
    if seen is not None:
        seen.breaker.trip(now_ms)


def record_unknown(state: ObservedState, endpoint: str, owner: str, now_ms: float) -> None:
    """Record an attempt that the owner gave up; the owner itself has answered."""
    _close_owner(state, owner)
    seen = state.endpoints.get(endpoint)
    if seen is not None:
        seen.breaker.count_unanswered(now_ms, UNANSWERED_LIMIT)


def record_unanswered(
    state: ObservedState, endpoint: str, owner: str, now_ms: float, age_ms: float
) -> None:
    """Record an attempt without any answer; endpoint or owner may be lost."""
    seen = state.endpoints.get(endpoint)
    if seen is not None:
        # A slow endpoint whose attempts always lose to their hedges would otherwise keep
        # the latency of its last answer. The age is a lower bound, so a higher latency
        # stays and only starts to be forgotten later.
        if age_ms > seen.latency_ms:
            _learn_latency(seen, now_ms, age_ms)
        seen.observed_at_ms = now_ms
        seen.breaker.count_unanswered(now_ms, UNANSWERED_LIMIT)
    breaker = state.owners.get(owner)
    if breaker is None:
        breaker = state.owners[owner] = Breaker()
    breaker.count_unanswered(now_ms, OWNER_UNANSWERED_LIMIT)


def record_shed(
    state: ObservedState, endpoint: str, owner: str, now_ms: float, retry_after_ms: float
) -> None:
    """Record a refusal for lack of room, which reduces the endpoint's share for a while."""
    _close_owner(state, owner)
    seen = state.endpoints.get(endpoint)
    if seen is not None:
        seen.shed_until_ms = now_ms + min(retry_after_ms, LONGEST_BREAK_MS)


def record_draining(state: ObservedState, endpoint: str) -> None:
    """Take an endpoint that says it is leaving out of planning for good."""
    seen = state.endpoints.get(endpoint)
    if seen is not None:
        seen.draining = True


def record_owner_lost(state: ObservedState, owner: str, now_ms: float) -> None:
    """Take all endpoints of an owner out of planning after its link failed."""
    breaker = state.owners.get(owner)
    if breaker is None:
        breaker = state.owners[owner] = Breaker()
    breaker.trip(now_ms)


def mark_slow(state: ObservedState, endpoint: str, slow: bool) -> None:
    """Record whether the newest sub-request of an endpoint was late."""
    if slow:
        state.slow.add(endpoint)
    else:
        state.slow.discard(endpoint)


def has_many_slow_endpoints(state: ObservedState) -> bool:
    """Tell whether more than a third of the endpoints are slow at once."""
    return len(state.slow) > max(1.0, SLOW_SHARE * len(state.endpoints))


def forget_endpoints(state: ObservedState, known: dict[str, EndpointView]) -> None:
    """Drop endpoints and owners that the view no longer has."""
    for endpoint in [name for name in state.endpoints if name not in known]:
        del state.endpoints[endpoint]
        state.slow.discard(endpoint)
    owners = {view.owner for view in known.values()}
    for owner in [name for name in state.owners if name not in owners]:
        del state.owners[owner]


def _learn_latency(seen: EndpointObservation, now_ms: float, latency_ms: float) -> None:
    if seen.observed_at_ms < 0.0:
        seen.latency_ms = latency_ms
    else:
        seen.latency_ms += (latency_ms - seen.latency_ms) * LATENCY_WEIGHT
    seen.observed_at_ms = now_ms


def _close_owner(state: ObservedState, owner: str) -> None:
    breaker = state.owners.get(owner)
    if breaker is not None:
        breaker.reset()
