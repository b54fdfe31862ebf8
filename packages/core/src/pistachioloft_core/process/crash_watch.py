"""Requests that one entry instance lost when endpoints crashed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..messages.crash import CrashReport, SuccessReport
from ..messages.fleet import RequestCrash
from .suspects import SuspectState, SuspicionLevel, on_crash, on_success, suspicion_level

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..messages.fleet import AnnouncedEndpoint

# A crashed endpoint refuses connections at once and restarts after some seconds; one that is
# found down later than this crashed for another reason.
CRASH_CONFIRMATION_MS = 2_000.0
# Lost requests recorded for each endpoint, about as many as a large one has slots.
LOST_REQUEST_LIMIT_COUNT = 64


@dataclass(frozen=True, slots=True)
class LostRequest:
    """Describe a request whose connection to an endpoint broke while it ran there."""

    digest: str
    record: AnnouncedEndpoint
    lost_ms: float


class CrashWatch:
    """Hold the lost requests by endpoint and the suspects that result from them."""

    __slots__ = ('lost', 'suspects')

    def __init__(self) -> None:
        self.lost: dict[str, list[LostRequest]] = {}
        self.suspects = SuspectState()


def on_request_lost(
    watch: CrashWatch, now_ms: float, record: AnnouncedEndpoint, digest: str
) -> None:
    """Record a lost request in case its endpoint turns out to have crashed."""
    lost = watch.lost.setdefault(record.endpoint, [])
    lost.append(LostRequest(digest, record, now_ms))
    del lost[:-LOST_REQUEST_LIMIT_COUNT]


def on_request_answered(watch: CrashWatch, now_ms: float, digest: str) -> None:
    """Clear a request that an endpoint has run without a crash."""
    on_success(watch.suspects, now_ms, SuccessReport('', digest, 0.0))


def on_endpoint_down(watch: CrashWatch, now_ms: float, endpoint: str) -> tuple[RequestCrash, ...]:
    """Confirm a crash by a refused connection or a new start; return the crash reports."""
    crashes = tuple(
        RequestCrash(
            lost.digest,
            endpoint,
            lost.record.born_ms,
            now_ms - lost.lost_ms,
            lost.record.failure_domain,
        )
        for lost in watch.lost.pop(endpoint, [])
        if now_ms - lost.lost_ms < CRASH_CONFIRMATION_MS
    )
    on_crash_reports(watch, now_ms, crashes)
    return crashes


def on_crash_reports(watch: CrashWatch, now_ms: float, crashes: Iterable[RequestCrash]) -> None:
    """Record crashes that were confirmed here or by another entry instance."""
    for crash in crashes:
        report = CrashReport(
            '',
            crash.digest,
            crash.endpoint,
            crash.born_ms,
            crash.age_ms,
            crash.failure_domain,
        )
        on_crash(watch.suspects, now_ms, report)


def classify_request(watch: CrashWatch, now_ms: float, digest: str) -> SuspicionLevel:
    """Return the suspicion level of a request."""
    return suspicion_level(watch.suspects, now_ms, '', digest)


def forget_lost_requests(watch: CrashWatch, now_ms: float) -> None:
    """Drop lost requests whose endpoints were not found down in time."""
    for endpoint, lost in list(watch.lost.items()):
        retained = [request for request in lost if now_ms - request.lost_ms < CRASH_CONFIRMATION_MS]
        if retained:
            watch.lost[endpoint] = retained
        else:
            del watch.lost[endpoint]
