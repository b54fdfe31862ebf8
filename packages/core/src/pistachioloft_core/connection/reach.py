"""Whether an instance reaches endpoints at all, decided by new connections to several of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from .endpoint_load import EndpointLoad

# This many endpoints that fail at the same time raise a suspicion. Single endpoints crash or pause.
SUSPICIOUS_COUNT = 3
# A failure says nothing about the links of this instance after this time.
FAILURE_LIFETIME_MS = 2_000.0
# A suspicion is decided by connections to this many endpoints, none of which may succeed.
PROBE_COUNT = 4
PROBE_TIMEOUT_MS = 400.0
# Checks are made more often than this unless the process is paused or has no processor time.
LATE_CHECK_MS = 200.0
# After probes that succeeded, later failures raise a suspicion again.
SOUND_MS = 1_000.0
# While cut off, an instance connects to some endpoints at this interval.
RECOVERY_PROBE_COUNT = 2
RECOVERY_INTERVAL_MS = 250.0
# An instance that was cut off has recovered once it has connected to this many endpoints.
RECOVERED_COUNT = 2


class EndpointReach:
    """Hold the evidence on whether this instance is cut off from all endpoints."""

    __slots__ = (
        '_failed',
        '_overdue',
        '_probed',
        '_reached',
        'changed_ms',
        'checked_ms',
        'connected_ms',
        'cut_off',
        'probe_wanted',
        'probed_ms',
        'probing',
        'replied_ms',
        'sound_until_ms',
    )

    def __init__(self) -> None:
        self.cut_off = False
        self.changed_ms = float('-inf')
        self.replied_ms = float('-inf')
        # When a connection was last opened to any endpoint.
        self.connected_ms = float('-inf')
        # Whether probes are needed without a suspicion, to tell a crash from a cut.
        self.probe_wanted = False
        # Whether the outcome of probes decides a suspicion.
        self.probing = False
        self.probed_ms = float('-inf')
        self.checked_ms = float('-inf')
        self.sound_until_ms = float('-inf')
        # Endpoints that failed and have not replied since, by the time of the failure.
        self._failed: dict[str, float] = {}
        # Endpoints that are overdue while no endpoint has replied.
        self._overdue: dict[str, float] = {}
        self._probed: set[str] = set()
        self._reached: set[str] = set()

    def has_replies(self, now_ms: float) -> bool:
        """Return whether connections that were open before still carry replies."""
        return now_ms < self.replied_ms + PROBE_TIMEOUT_MS


def record_replied(reach: EndpointReach, now_ms: float, endpoint: str) -> None:
    """Record a reply, which says nothing about new connections to other endpoints."""
    reach.replied_ms = now_ms
    reach._failed.pop(endpoint, None)
    reach._overdue.clear()


def record_overdue(reach: EndpointReach, now_ms: float, endpoint: str) -> None:
    """Record an endpoint that has not replied in the usual time."""
    reach._overdue[endpoint] = now_ms


def record_failed(reach: EndpointReach, now_ms: float, endpoint: str) -> None:
    """Record a connection that failed."""
    reach._failed[endpoint] = now_ms
    reach._probed.discard(endpoint)


def record_connected(reach: EndpointReach, now_ms: float, endpoint: str, known_count: int) -> bool:
    """Record a new connection; return whether this instance was cut off and is not any more."""
    reach.connected_ms = now_ms
    reach._failed.pop(endpoint, None)
    if not reach.cut_off:
        if reach.probing:
            _end_suspicion(reach, now_ms)
        return False
    reach._reached.add(endpoint)
    if len(reach._reached) < min(RECOVERED_COUNT, known_count):
        return False
    reach.cut_off, reach.changed_ms = False, now_ms
    _end_suspicion(reach, now_ms)
    return True


def forget_endpoints(reach: EndpointReach, endpoints: Iterable[str]) -> None:
    """Forget the failures of endpoints that are not used any more."""
    names = set(endpoints)
    for name in names:
        reach._failed.pop(name, None)
        reach._overdue.pop(name, None)
    if names and reach._probed <= names:
        # Only endpoints that are used may decide; other failures raise the suspicion again.
        reach.probing = False
        reach._probed.clear()


def decide_cut_off(reach: EndpointReach, now_ms: float) -> bool:
    """Return whether the probes have just shown that this instance is cut off."""
    if now_ms - reach.checked_ms >= LATE_CHECK_MS:
        # This process was paused; what its probes achieved meanwhile is not known yet.
        reach.probed_ms = now_ms if reach.probing else reach.probed_ms
    reach.checked_ms = now_ms
    if not reach.probing or (reach._probed and now_ms < reach.probed_ms + PROBE_TIMEOUT_MS):
        return False
    reach.probing = False
    reach.cut_off, reach.changed_ms = True, now_ms
    reach._reached.clear()
    return True


def choose_probes(
    reach: EndpointReach,
    now_ms: float,
    endpoints: Iterable[EndpointLoad],
    random_source: random.Random,
) -> list[EndpointLoad]:
    """Return the endpoints to connect to now, to decide a suspicion or to notice a recovery."""
    if reach.cut_off:
        if now_ms < reach.probed_ms + RECOVERY_INTERVAL_MS:
            return []
        probe_count = RECOVERY_PROBE_COUNT
    elif reach.probing or not (reach.probe_wanted or _is_suspicious(reach, now_ms)):
        return []
    else:
        probe_count = PROBE_COUNT
    candidates = list(endpoints)
    random_source.shuffle(candidates)
    # Endpoints that are probably alive tell most.
    candidates.sort(key=lambda load: load.breaker.broken or load.record.endpoint in reach._failed)
    probes = candidates[:probe_count]
    if probes:
        reach.probed_ms = now_ms
        reach.probing, reach.probe_wanted = not reach.cut_off, False
        reach._probed = {load.record.endpoint for load in probes}
    return probes


def _is_suspicious(reach: EndpointReach, now_ms: float) -> bool:
    if now_ms < reach.sound_until_ms:
        return False
    for failures in (reach._failed, reach._overdue):
        for name in [name for name, at_ms in failures.items() if _is_old(now_ms, at_ms)]:
            del failures[name]
    return max(len(reach._failed), len(reach._overdue)) >= SUSPICIOUS_COUNT


def _is_old(now_ms: float, failed_ms: float) -> bool:
    return now_ms >= failed_ms + FAILURE_LIFETIME_MS


def _end_suspicion(reach: EndpointReach, now_ms: float) -> None:
    reach.probing = False
    reach.sound_until_ms = now_ms + SOUND_MS
    reach._failed.clear()
    reach._overdue.clear()
    reach._probed.clear()
    reach._reached.clear()
