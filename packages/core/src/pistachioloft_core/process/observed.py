"""Observations that an instance makes of endpoints and their owners."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .endpoint_view import EndpointView

# Weight of the newest latency in the moving average, which covers about the last 5 replies.
LATENCY_WEIGHT = 0.2
# Without replies, the distance of an endpoint's latency to the service's median halves in this
# time, so that a slow endpoint is tried again. Each such attempt costs a late sub-request; an
# endpoint at ten times the median is tried about every 10 s.
LATENCY_HALF_LIFE_MS = 5_000.0
# Load that the owner reported with a result is used for this long; queries send several
# sub-requests to an endpoint in this time.
REPORTED_LOAD_VALID_MS = 200.0
# An open breaker allows one probe after this time, which doubles with each failed probe up to the
# lease time, when the endpoint lapses and is no longer used anyway.
MIN_BREAK_MS = 250.0
MAX_BREAK_MS = 2_500.0
# A probe without result blocks the next probe for this time at most.
PROBE_TIMEOUT_MS = 1_000.0
# One silent connection or one straggler must not open the breaker of an endpoint.
UNANSWERED_LIMIT = 3
# A lost owner leaves the attempts on all its endpoints unanswered. A query has 7 or 8 attempts
# there, and half of these is more than stragglers explain.
OWNER_UNANSWERED_LIMIT = 6
# Above this fraction of slow endpoints the cause is common to all, and hedges would only add load.
MANY_SLOW_FRACTION = 1 / 3


class Breaker:
    """Hold the circuit breaker of an endpoint or owner, which gets no requests while open."""

    __slots__ = ('break_ms', 'broken', 'open_until_ms', 'probe_until_ms', 'unanswered_count')

    def __init__(self) -> None:
        self.broken = False
        self.open_until_ms = 0.0
        self.break_ms = MIN_BREAK_MS
        self.probe_until_ms = 0.0
        self.unanswered_count = 0

    def is_open(self, now_ms: float) -> bool:
        """Return whether requests are withheld, except for one probe at a time."""
        return self.broken and (now_ms < self.open_until_ms or now_ms < self.probe_until_ms)

    def trip(self, now_ms: float) -> None:
        """Open, or reopen for twice the time after a failed probe."""
        if self.broken:
            if now_ms < self.open_until_ms:
                return
            self.break_ms = min(MAX_BREAK_MS, self.break_ms * 2)
        self.broken = True
        self.open_until_ms = now_ms + self.break_ms
        self.probe_until_ms = 0.0

    def reset(self) -> None:
        """Close after a success."""
        self.broken = False
        self.break_ms = MIN_BREAK_MS
        self.unanswered_count = 0
        self.probe_until_ms = 0.0

    def require_probe(self) -> None:
        """Allow one attempt at a time until one succeeds."""
        if not self.broken:
            self.broken, self.open_until_ms, self.probe_until_ms = True, 0.0, 0.0

    def count_unanswered(self, now_ms: float, limit: int) -> None:
        """Count an attempt without a result and open at the limit."""
        self.unanswered_count += 1
        if self.broken or self.unanswered_count >= limit:
            self.trip(now_ms)


class ObservedEndpoint:
    """Hold what this instance observed of one endpoint incarnation."""

    __slots__ = (
        'breaker',
        'draining',
        'incarnation',
        'latency_ms',
        'load_at_ms',
        'observed_at_ms',
        'own_in_flight_count',
        'reported_load',
        'sent_since_report',
        'shed_until_ms',
    )

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.own_in_flight_count = 0
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
        self.endpoints: dict[str, ObservedEndpoint] = {}
        self.owners: dict[str, Breaker] = {}
        self.slow: set[str] = set()


def observed_endpoint(state: ObservedState, view: EndpointView) -> ObservedEndpoint:
    """Return the observation of an endpoint; a new incarnation gets a new one."""
    observation = state.endpoints.get(view.endpoint)
    if observation is None or observation.incarnation != view.incarnation:
        observation = state.endpoints[view.endpoint] = ObservedEndpoint(view.incarnation)
        state.slow.discard(view.endpoint)
    return observation


def is_avoided(state: ObservedState, view: EndpointView, now_ms: float) -> bool:
    """Return whether the observations exclude an endpoint from planning."""
    observation = observed_endpoint(state, view)
    if observation.draining or observation.breaker.is_open(now_ms):
        return True
    owner = state.owners.get(view.owner)
    return owner is not None and owner.is_open(now_ms)


def expected_wait_ms(
    state: ObservedState, view: EndpointView, now_ms: float, median_ms: float
) -> float:
    """Estimate the duration of a sub-request at an endpoint, including its queue."""
    observation = observed_endpoint(state, view)
    if observation.observed_at_ms >= 0.0:
        age_ms = now_ms - observation.observed_at_ms
        remaining_fraction = 0.5 ** (age_ms / LATENCY_HALF_LIFE_MS) if age_ms > 1.0 else 1.0
        latency_ms = median_ms + (observation.latency_ms - median_ms) * remaining_fraction
        is_load_valid = now_ms - observation.load_at_ms < REPORTED_LOAD_VALID_MS
        load = (
            observation.reported_load + observation.sent_since_report
            if is_load_valid
            else observation.own_in_flight_count
        )
        if load < observation.own_in_flight_count:
            load = observation.own_in_flight_count
    else:
        latency_ms = view.latency_ms or median_ms
        load = view.in_flight_count + view.queue_length + observation.own_in_flight_count
    slots = view.slot_count if view.slot_count > 0 else 1
    wait_ms = latency_ms * (1.0 + 0.2 * load / slots)
    if load >= slots:
        wait_ms += latency_ms * (load + 1 - slots) / slots
    if now_ms < observation.shed_until_ms:
        wait_ms *= 4.0
    return wait_ms if wait_ms > 0.1 else 0.1


def record_sent(state: ObservedState, view: EndpointView, now_ms: float) -> None:
    """Count a sent attempt, which is the probe if the breaker was open."""
    observation = observed_endpoint(state, view)
    observation.own_in_flight_count += 1
    observation.sent_since_report += 1
    if observation.breaker.broken:
        observation.breaker.probe_until_ms = now_ms + PROBE_TIMEOUT_MS
    owner = state.owners.get(view.owner)
    if owner is not None and owner.broken:
        owner.probe_until_ms = now_ms + PROBE_TIMEOUT_MS


def record_closed(state: ObservedState, endpoint: str) -> None:
    """Count an attempt as no longer in flight."""
    observation = state.endpoints.get(endpoint)
    if observation is not None and observation.own_in_flight_count > 0:
        observation.own_in_flight_count -= 1


def record_reply(
    state: ObservedState,
    endpoint: str,
    owner: str,
    now_ms: float,
    latency_ms: float,
    load: int,
) -> None:
    """Record a reply of an endpoint, which closes its breaker."""
    _close_owner_breaker(state, owner)
    observation = state.endpoints.get(endpoint)
    if observation is None:
        return
    observation.breaker.reset()
    _update_latency(observation, now_ms, latency_ms)
    observation.load_at_ms = now_ms
    observation.reported_load = load
    observation.sent_since_report = 0


def record_lost(state: ObservedState, endpoint: str, owner: str, now_ms: float) -> None:
    """Record a crash or a refused connection, which opens the breaker at once."""
    _close_owner_breaker(state, owner)
    observation = state.endpoints.get(endpoint)
    if observation is not None:
        observation.breaker.trip(now_ms)


def record_unknown(state: ObservedState, endpoint: str, owner: str, now_ms: float) -> None:
    """Record an attempt that the owner gave up, which shows that the owner runs."""
    _close_owner_breaker(state, owner)
    observation = state.endpoints.get(endpoint)
    if observation is not None:
        observation.breaker.count_unanswered(now_ms, UNANSWERED_LIMIT)


def record_unanswered(
    state: ObservedState, endpoint: str, owner: str, now_ms: float, age_ms: float
) -> None:
    """Record an attempt without a result; the endpoint or the owner may be lost."""
    observation = state.endpoints.get(endpoint)
    if observation is not None:
        # A slow endpoint whose attempts always lose to their hedges would otherwise keep the
        # latency of its last reply. The age is a lower bound, so a higher latency is kept and
        # only starts to decay later.
        if age_ms > observation.latency_ms:
            _update_latency(observation, now_ms, age_ms)
        observation.observed_at_ms = now_ms
        observation.breaker.count_unanswered(now_ms, UNANSWERED_LIMIT)
    breaker = state.owners.get(owner)
    if breaker is None:
        breaker = state.owners[owner] = Breaker()
    breaker.count_unanswered(now_ms, OWNER_UNANSWERED_LIMIT)


def record_shed(
    state: ObservedState, endpoint: str, owner: str, now_ms: float, retry_after_ms: float
) -> None:
    """Record a refusal by a full endpoint, which reduces its share of requests for a while."""
    _close_owner_breaker(state, owner)
    observation = state.endpoints.get(endpoint)
    if observation is not None:
        observation.shed_until_ms = now_ms + min(retry_after_ms, MAX_BREAK_MS)


def record_draining(state: ObservedState, endpoint: str) -> None:
    """Record that an endpoint drains, which excludes it from planning permanently."""
    observation = state.endpoints.get(endpoint)
    if observation is not None:
        observation.draining = True


def record_owner_lost(state: ObservedState, owner: str, now_ms: float) -> None:
    """Record that the link to an owner failed, which opens the breaker of the owner."""
    breaker = state.owners.get(owner)
    if breaker is None:
        breaker = state.owners[owner] = Breaker()
    breaker.trip(now_ms)


def record_lateness(state: ObservedState, endpoint: str, slow: bool) -> None:
    """Record whether the newest sub-request of an endpoint was late."""
    if slow:
        state.slow.add(endpoint)
    else:
        state.slow.discard(endpoint)


def has_many_slow_endpoints(state: ObservedState) -> bool:
    """Return whether more than a third of the endpoints are slow at once."""
    return len(state.slow) > max(1.0, MANY_SLOW_FRACTION * len(state.endpoints))


def forget_endpoints(state: ObservedState, views: dict[str, EndpointView]) -> None:
    """Drop endpoints and owners that are no longer in the view."""
    for endpoint in [name for name in state.endpoints if name not in views]:
        del state.endpoints[endpoint]
        state.slow.discard(endpoint)
    owners = {view.owner for view in views.values()}
    for owner in [name for name in state.owners if name not in owners]:
        del state.owners[owner]


def _update_latency(observation: ObservedEndpoint, now_ms: float, latency_ms: float) -> None:
    if observation.observed_at_ms < 0.0:
        observation.latency_ms = latency_ms
    else:
        observation.latency_ms += (latency_ms - observation.latency_ms) * LATENCY_WEIGHT
    observation.observed_at_ms = now_ms


def _close_owner_breaker(state: ObservedState, owner: str) -> None:
    breaker = state.owners.get(owner)
    if breaker is not None:
        breaker.reset()
