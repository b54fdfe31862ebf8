"""Merging of announcements and records into the soft state."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from ..connection.actions import DECISION_DRAIN, DECISION_OWNER, DECISION_REFUSE, LogDecision
from .membership_actions import CrashLearned, EndpointChanged, SuccessLearned
from .soft_state import (
    ENDPOINT_LEASE_MS,
    LAPSED_RETENTION_MS,
    MAX_ENDPOINT_COUNT,
    MAX_INSTANCE_COUNT,
    MAX_REPORT_COUNT,
    REPORT_RETENTION_MS,
    ChangeKind,
    EndpointEntry,
    InstanceEntry,
    is_drained,
    is_outdated,
    record_change,
    record_position,
)

if TYPE_CHECKING:
    from ..messages.crash import CrashReport, SuccessReport
    from ..messages.endpoint import Announcement
    from ..messages.peer import EndpointRecord, InstanceRecord
    from .membership_actions import MembershipAction
    from .soft_state import MembershipState

# Smaller corrections of an age are stored but not shared.
AGE_CORRECTION_MS = 100.0


def merge_announcement(
    state: MembershipState,
    now_ms: float,
    announcement: Announcement,
    received_ms: float,
    actions: list[MembershipAction],
) -> EndpointEntry | None:
    """Apply an announcement unless a newer one is known, and return the endpoint's entry."""
    entry = state.endpoints.get(announcement.endpoint)
    if announcement.draining:
        record_leaving(state, announcement.endpoint, announcement.incarnation, actions)
    if is_outdated(state, announcement) or received_ms < now_ms - LAPSED_RETENTION_MS:
        return entry
    if is_drained(state, announcement) and not announcement.draining:
        announcement = replace(announcement, draining=True)
    if entry is None:
        if len(state.endpoints) >= MAX_ENDPOINT_COUNT:
            detail = f'{MAX_ENDPOINT_COUNT} endpoints are known'
            actions.append(LogDecision(DECISION_REFUSE, announcement.endpoint, detail))
            return None
        entry = EndpointEntry(announcement, received_ms)
        state.endpoints[announcement.endpoint] = entry
        _record_endpoint_change(state, entry, actions)
    else:
        _renew_endpoint(state, now_ms, entry, announcement, received_ms, actions)
    record_position(state, announcement, now_ms)
    return entry


def record_leaving(
    state: MembershipState, endpoint: str, incarnation: int, actions: list[MembershipAction]
) -> None:
    """Record that an incarnation is leaving, in whatever order its messages arrive."""
    latest = state.latest_positions.get(endpoint)
    if latest is not None and latest.incarnation == incarnation:
        latest.draining = True
    entry = state.endpoints.get(endpoint)
    if entry is None or entry.draining or entry.announcement.incarnation != incarnation:
        return
    entry.announcement = replace(entry.announcement, draining=True)
    entry.draining = True
    detail = 'the endpoint is leaving'
    actions.append(LogDecision(DECISION_DRAIN, entry.announcement.endpoint, detail))
    _record_endpoint_change(state, entry, actions)


def merge_owner(
    state: MembershipState,
    entry: EndpointEntry,
    owner: str,
    epoch: int,
    actions: list[MembershipAction],
) -> None:
    """Accept another owner if its epoch is higher, or equal with a lower instance id."""
    if not owner or epoch < entry.owner_epoch:
        return
    if epoch == entry.owner_epoch and entry.owner and owner >= entry.owner:
        return
    set_owner(state, entry, owner, epoch, actions)


def set_owner(
    state: MembershipState,
    entry: EndpointEntry,
    owner: str,
    epoch: int,
    actions: list[MembershipAction],
) -> None:
    """Record an endpoint's owner."""
    detail = f'{entry.owner or "none"} to {owner}, epoch {epoch}'
    entry.owner = owner
    entry.owner_epoch = epoch
    actions.append(LogDecision(DECISION_OWNER, entry.announcement.endpoint, detail))
    _record_endpoint_change(state, entry, actions)


def merge_endpoint(
    state: MembershipState,
    now_ms: float,
    peer: str,
    sent_ms: float,
    record: EndpointRecord,
    actions: list[MembershipAction],
) -> None:
    """Merge a peer's endpoint record; its age grows by the time since the pull was sent."""
    received_ms = sent_ms - max(0.0, record.age_ms)
    previous = state.endpoints.get(record.announcement.endpoint)
    previous_content = _shared_content(previous) if previous is not None else None
    previous_ms = previous.received_ms if previous is not None else received_ms
    entry = merge_announcement(state, now_ms, record.announcement, received_ms, actions)
    if entry is None:
        return
    if previous is None or entry.received_ms != previous_ms:
        entry.age_source = peer
    source = entry.source
    merge_owner(state, entry, record.owner, record.owner_epoch, actions)
    is_same_incarnation = entry.announcement.incarnation == record.announcement.incarnation
    if is_same_incarnation and record.observation_sequence > entry.observation_sequence:
        entry.in_flight_count = record.in_flight_count
        entry.queue_length = record.queue_length
        entry.latency_ms = record.latency_ms
        entry.observation_sequence = record.observation_sequence
        record_change(state, ChangeKind.ENDPOINT, record.announcement.endpoint)
    if (
        _shared_content(entry) == previous_content
        and entry.received_ms <= previous_ms + AGE_CORRECTION_MS
    ):
        # The record contained nothing new, so the first sender remains the source.
        entry.source = source
        return
    # An entry that equals the peer's record and is not newer need not be sent back to it.
    is_not_older = received_ms >= entry.received_ms - AGE_CORRECTION_MS
    entry.source = peer if is_not_older and _equals_record(entry, record) else ''


def merge_instance(
    state: MembershipState, now_ms: float, peer: str, sent_ms: float, record: InstanceRecord
) -> None:
    """Merge a peer's record of an instance."""
    received_ms = sent_ms - max(0.0, record.age_ms)
    if record.instance == state.own_record.instance or received_ms < now_ms - LAPSED_RETENTION_MS:
        return
    entry = state.instances.get(record.instance)
    if entry is None:
        if len(state.instances) < MAX_INSTANCE_COUNT:
            state.instances[record.instance] = InstanceEntry(record, received_ms, peer)
            record_change(state, ChangeKind.INSTANCE, record.instance)
        return
    position = (record.incarnation, record.sequence)
    recorded_position = (entry.record.incarnation, entry.record.sequence)
    if position > recorded_position:
        entry.record = record
        entry.received_ms = max(entry.received_ms, received_ms)
        entry.source = peer
        record_change(state, ChangeKind.INSTANCE, record.instance)
    elif position == recorded_position and received_ms > entry.received_ms:
        is_corrected = received_ms - entry.received_ms > AGE_CORRECTION_MS
        entry.received_ms = received_ms
        if is_corrected:
            record_change(state, ChangeKind.INSTANCE, record.instance)


def merge_crash(
    state: MembershipState,
    now_ms: float,
    event_ms: float,
    report: CrashReport,
    actions: list[MembershipAction],
) -> None:
    """Record a crash report and pass it to the suspects if it is new."""
    key = (report.caller, report.content_digest, report.endpoint, report.incarnation)
    if key in state.crashes or event_ms < now_ms - REPORT_RETENTION_MS:
        return
    _make_room(state, ChangeKind.CRASH, state.crashes)
    state.crashes[key] = (report, event_ms)
    record_change(state, ChangeKind.CRASH, key)
    actions.append(CrashLearned(replace(report, age_ms=now_ms - event_ms)))


def merge_success(
    state: MembershipState,
    now_ms: float,
    event_ms: float,
    report: SuccessReport,
    actions: list[MembershipAction],
) -> None:
    """Record a success report and pass it to the suspects if it is later than the recorded one."""
    key = (report.caller, report.content_digest)
    previous = state.successes.get(key)
    if event_ms < now_ms - REPORT_RETENTION_MS:
        return
    if previous is not None and event_ms <= previous[1] + AGE_CORRECTION_MS:
        return
    if previous is None:
        _make_room(state, ChangeKind.SUCCESS, state.successes)
    state.successes[key] = (report, event_ms)
    record_change(state, ChangeKind.SUCCESS, key)
    actions.append(SuccessLearned(replace(report, age_ms=now_ms - event_ms)))


def _make_room(state: MembershipState, kind: ChangeKind, reports: dict[Any, Any]) -> None:
    while len(reports) >= MAX_REPORT_COUNT:
        oldest = next(iter(reports))
        del reports[oldest]
        state.changes.pop((kind, oldest), None)


def _renew_endpoint(
    state: MembershipState,
    now_ms: float,
    entry: EndpointEntry,
    announcement: Announcement,
    received_ms: float,
    actions: list[MembershipAction],
) -> None:
    previous = entry.announcement
    position = (announcement.incarnation, announcement.sequence)
    previous_received_ms = entry.received_ms
    entry.received_ms = max(previous_received_ms, received_ms)
    regained_lease = previous_received_ms < now_ms - ENDPOINT_LEASE_MS <= entry.received_ms
    if position == (previous.incarnation, previous.sequence):
        if regained_lease or entry.received_ms - previous_received_ms > AGE_CORRECTION_MS:
            record_change(state, ChangeKind.ENDPOINT, previous.endpoint)
        if regained_lease:
            actions.append(EndpointChanged(previous.endpoint))
        return
    if announcement.incarnation > previous.incarnation:
        entry.received_ms = received_ms
        entry.in_flight_count = 0
        entry.queue_length = 0
        entry.latency_ms = 0.0
    entry.announcement = announcement
    entry.draining = announcement.draining
    if regained_lease or _differs(previous, announcement):
        _record_endpoint_change(state, entry, actions)
    else:
        record_change(state, ChangeKind.ENDPOINT, previous.endpoint)


def _record_endpoint_change(
    state: MembershipState, entry: EndpointEntry, actions: list[MembershipAction]
) -> None:
    entry.source = ''
    entry.age_source = ''
    record_change(state, ChangeKind.ENDPOINT, entry.announcement.endpoint)
    actions.append(EndpointChanged(entry.announcement.endpoint))


def _differs(previous: Announcement, announcement: Announcement) -> bool:
    same_load = replace(
        announcement,
        sequence=previous.sequence,
        slots_in_use=previous.slots_in_use,
        queue_length=previous.queue_length,
    )
    return same_load != previous


def _shared_content(entry: EndpointEntry) -> tuple[Announcement, str, int, int]:
    return (entry.announcement, entry.owner, entry.owner_epoch, entry.observation_sequence)


def _equals_record(entry: EndpointEntry, record: EndpointRecord) -> bool:
    return (
        entry.announcement == record.announcement
        and entry.owner == record.owner
        and entry.owner_epoch == record.owner_epoch
        and entry.observation_sequence == record.observation_sequence
    )
