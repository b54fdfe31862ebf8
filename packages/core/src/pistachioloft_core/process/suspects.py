"""Requests that were in flight when endpoints crashed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ..messages.crash import CrashReport, SuccessReport

# A caller that resends a request for longer than this reaches restarted endpoints; more entries
# than this would not fit the soft-state exchange.
FORGET_AFTER_MS = 600_000.0
MAX_ENTRY_COUNT = 4_096
CONDEMNING_CRASH_COUNT = 2
# More crashes of one request than this do not change its suspicion level.
MAX_CRASH_COUNT = 4
# When this many endpoints of one failure domain crash within this time and none elsewhere, the
# failure domain may have been lost. An instance prefers endpoints of its own failure domain, so a
# request that crashes endpoints can look the same once; it does so again when it is sent again.
COMMON_CAUSE_COUNT = 3
COMMON_CAUSE_MS = 1_000.0
MAX_RECENT_CRASH_COUNT = 512
# Successes at shorter intervals are shared as one.
MIN_SUCCESS_INTERVAL_MS = 100.0


class SuspicionLevel(StrEnum):
    """State how strongly a request is suspected of crashing endpoints."""

    CLEAR = 'clear'
    SUSPECTED = 'suspected'
    CONDEMNED = 'condemned'


class SuspectEntry:
    """Hold the crashes and the newest success of one request."""

    __slots__ = ('changed_ms', 'crashes', 'success_at_ms')

    def __init__(self) -> None:
        self.crashes: dict[tuple[str, int], float] = {}
        self.success_at_ms: float | None = None
        self.changed_ms = 0.0


@dataclass(frozen=True, slots=True)
class RecentCrash:
    """Hold the time and failure domain of the crash of an endpoint incarnation."""

    time_ms: float
    failure_domain: str


class SuspectState:
    """Hold the suspects by caller and content digest, the oldest change first."""

    __slots__ = ('entries', 'recent_crashes')

    def __init__(self) -> None:
        self.entries: dict[tuple[str, str], SuspectEntry] = {}
        self.recent_crashes: dict[tuple[str, int], RecentCrash] = {}


def on_crash(state: SuspectState, now_ms: float, report: CrashReport) -> None:
    """Record a crash reported by an owner or a peer; a known crash is ignored."""
    if report.age_ms >= FORGET_AFTER_MS:
        return
    entry = state.entries.get((report.caller, report.content_digest))
    crash = (report.endpoint, report.incarnation)
    if crash not in state.recent_crashes:
        time_ms = now_ms - report.age_ms
        state.recent_crashes[crash] = RecentCrash(time_ms, report.failure_domain)
        while len(state.recent_crashes) > MAX_RECENT_CRASH_COUNT:
            del state.recent_crashes[next(iter(state.recent_crashes))]
    # A known crash must not count as a change, or peers would share it with each other forever.
    if entry is not None and crash in entry.crashes:
        return
    entry = _update_entry(state, now_ms, report.caller, report.content_digest)
    entry.crashes[crash] = now_ms - report.age_ms
    while len(entry.crashes) > MAX_CRASH_COUNT:
        del entry.crashes[_surplus_crash(entry)]


def on_success(state: SuspectState, now_ms: float, report: SuccessReport) -> None:
    """Clear a request of its crashes up to the success, including those not yet reported."""
    if report.age_ms >= FORGET_AFTER_MS:
        return
    success_at_ms = now_ms - report.age_ms
    entry = state.entries.get((report.caller, report.content_digest))
    if entry is not None and entry.success_at_ms is not None:
        # Ages are never underestimated, so a report that a peer returns is not newer.
        newer_ms = success_at_ms - entry.success_at_ms
        clears_crash = newer_ms > 0 and any(
            time_ms <= success_at_ms for time_ms in _uncleared_crash_times_ms(state, entry, now_ms)
        )
        if not clears_crash and newer_ms <= MIN_SUCCESS_INTERVAL_MS:
            return
    entry = _update_entry(state, now_ms, report.caller, report.content_digest)
    entry.success_at_ms = success_at_ms


def suspicion_level(
    state: SuspectState, now_ms: float, caller: str, content_digest: str
) -> SuspicionLevel:
    """Return the suspicion level of a request."""
    entry = state.entries.get((caller, content_digest))
    if entry is None:
        return SuspicionLevel.CLEAR
    count = len(_uncleared_crash_times_ms(state, entry, now_ms))
    if count >= CONDEMNING_CRASH_COUNT:
        return SuspicionLevel.CONDEMNED
    return SuspicionLevel.SUSPECTED if count else SuspicionLevel.CLEAR


def expire_suspects(state: SuspectState, now_ms: float) -> None:
    """Drop crashes and successes that are older than `FORGET_AFTER_MS`."""
    for key, entry in list(state.entries.items()):
        for crash, time_ms in list(entry.crashes.items()):
            if time_ms <= now_ms - FORGET_AFTER_MS:
                del entry.crashes[crash]
        success_ms = entry.success_at_ms
        if not entry.crashes and (success_ms is None or success_ms <= now_ms - FORGET_AFTER_MS):
            del state.entries[key]


def reports_since(
    state: SuspectState, now_ms: float, since_ms: float
) -> tuple[tuple[CrashReport, ...], tuple[SuccessReport, ...]]:
    """Return the reports of the entries that changed since a time, with their ages."""
    crashes: list[CrashReport] = []
    successes: list[SuccessReport] = []
    for (caller, digest), entry in reversed(state.entries.items()):
        if entry.changed_ms < since_ms:
            break
        for (endpoint, incarnation), time_ms in entry.crashes.items():
            recent_crash = state.recent_crashes.get((endpoint, incarnation))
            domain = recent_crash.failure_domain if recent_crash is not None else ''
            age_ms = now_ms - time_ms
            crashes.append(CrashReport(caller, digest, endpoint, incarnation, age_ms, domain))
        if entry.success_at_ms is not None:
            successes.append(SuccessReport(caller, digest, now_ms - entry.success_at_ms))
    return tuple(crashes), tuple(successes)


def _uncleared_crash_times_ms(
    state: SuspectState, entry: SuspectEntry, now_ms: float
) -> list[float]:
    floor_ms = now_ms - FORGET_AFTER_MS
    if entry.success_at_ms is not None and entry.success_at_ms > floor_ms:
        floor_ms = entry.success_at_ms
    uncleared = {crash: time for crash, time in entry.crashes.items() if time > floor_ms}
    times_ms = list(uncleared.values())
    if times_ms and max(times_ms) - min(times_ms) > COMMON_CAUSE_MS:
        # A bystander of one lost failure domain is not in flight at the next crashes as well.
        return times_ms
    return [time_ms for crash, time_ms in uncleared.items() if not _has_common_cause(state, crash)]


def _surplus_crash(entry: SuspectEntry) -> tuple[str, int]:
    """Return the crash to drop: a cleared one, or else one between the oldest and the newest."""
    oldest, second, *_ = sorted(entry.crashes, key=lambda crash: (entry.crashes[crash], crash))
    is_cleared = entry.success_at_ms is not None and entry.crashes[oldest] <= entry.success_at_ms
    return oldest if is_cleared else second


def _has_common_cause(state: SuspectState, crash: tuple[str, int]) -> bool:
    recent_crash = state.recent_crashes.get(crash)
    if recent_crash is None or not recent_crash.failure_domain:
        return False
    concurrent_crashes = [
        (endpoint, other.failure_domain)
        for (endpoint, _), other in state.recent_crashes.items()
        if abs(other.time_ms - recent_crash.time_ms) <= COMMON_CAUSE_MS
    ]
    endpoints = {endpoint for endpoint, _ in concurrent_crashes}
    domains = {domain for _, domain in concurrent_crashes}
    return len(endpoints) >= COMMON_CAUSE_COUNT and domains == {recent_crash.failure_domain}


def _update_entry(state: SuspectState, now_ms: float, caller: str, digest: str) -> SuspectEntry:
    key = (caller, digest)
    entry = state.entries.pop(key, None) or SuspectEntry()
    state.entries[key] = entry
    entry.changed_ms = now_ms
    while len(state.entries) > MAX_ENTRY_COUNT:
        del state.entries[next(iter(state.entries))]
    return entry
