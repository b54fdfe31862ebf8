"""Soft state of an instance: endpoints, instances and reports with their ages."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import TYPE_CHECKING

from ..messages.peer import EndpointRecord, InstanceRecord

if TYPE_CHECKING:
    from ..messages.crash import CrashReport, SuccessReport
    from ..messages.endpoint import Announcement

ENDPOINT_LEASE_MS = 2_500.0
INSTANCE_LEASE_MS = 1_500.0
# Lapsed records are retained for the status report and to detect a failed feed.
LAPSED_RETENTION_MS = 30_000.0
REPLY_VALID_MS = 5_000.0
POSITION_RETENTION_MS = 600_000.0
MAX_POSITION_COUNT = 8_192
REPORT_RETENTION_MS = 600_000.0
MAX_REPORT_COUNT = 4_096
MAX_ENDPOINT_COUNT = 4_096
MAX_INSTANCE_COUNT = 1_024
OWN_RECORD_INTERVAL_MS = 100.0
EXPIRY_INTERVAL_MS = 1_000.0
# An instance that has received no peer's state waits this long before it chooses owners itself.
OWNER_CHOICE_DELAY_MS = 400.0


class ChangeKind(Enum):
    """Name the kind of entry that a change refers to."""

    ENDPOINT = 'endpoint'
    INSTANCE = 'instance'
    CRASH = 'crash'
    SUCCESS = 'success'


class EndpointEntry:
    """Hold the state of one endpoint; `received_ms` is on the local clock."""

    __slots__ = (
        'age_source',
        'announcement',
        'draining',
        'in_flight_count',
        'latency_ms',
        'observation_sequence',
        'owner',
        'owner_epoch',
        'queue_length',
        'received_ms',
        'source',
    )

    def __init__(self, announcement: Announcement, received_ms: float) -> None:
        self.announcement = announcement
        self.draining = announcement.draining
        self.received_ms = received_ms
        self.owner = ''
        self.owner_epoch = 0
        self.in_flight_count = 0
        self.queue_length = 0
        self.latency_ms = 0.0
        self.observation_sequence = 0
        # The peer whose record equals this one, and the peer whose record set the current age.
        self.source = ''
        self.age_source = ''


class InstanceEntry:
    """Hold the newest record of one instance; `received_ms` is on the local clock."""

    __slots__ = ('received_ms', 'record', 'source')

    def __init__(self, record: InstanceRecord, received_ms: float, source: str) -> None:
        self.record = record
        self.received_ms = received_ms
        self.source = source


class LatestPosition:
    """Hold the latest announcement position of an endpoint, also after its record is dropped."""

    __slots__ = ('draining', 'incarnation', 'recorded_ms', 'sequence')

    def __init__(self, incarnation: int, sequence: int, draining: bool, now_ms: float) -> None:
        self.incarnation = incarnation
        self.sequence = sequence
        self.draining = draining
        self.recorded_ms = now_ms


class PeerCursor:
    """Hold how far this instance has pulled from one peer."""

    __slots__ = ('incarnation', 'replied_ms', 'revision')

    def __init__(self) -> None:
        self.replied_ms = float('-inf')
        self.incarnation = 0
        self.revision = 0


class MembershipState:
    """Hold the soft state of this instance."""

    def __init__(self, own_record: InstanceRecord, now_ms: float) -> None:
        self.own_record = own_record
        self.started_ms = now_ms
        self.has_peer_state = False
        self.next_expiry_ms = now_ms
        self.next_move_ms = now_ms
        self.own_recorded_ms: float | None = None
        self.draining_instances: frozenset[str] = frozenset()
        self.endpoints: dict[str, EndpointEntry] = {}
        self.instances: dict[str, InstanceEntry] = {}
        self.latest_positions: OrderedDict[str, LatestPosition] = OrderedDict()
        self.reply_times_ms: dict[str, float] = {}
        self.crashes: dict[tuple[str, str, str, int], tuple[CrashReport, float]] = {}
        self.successes: dict[tuple[str, str], tuple[SuccessReport, float]] = {}
        self.revision = 0
        self.changes: OrderedDict[tuple[ChangeKind, object], int] = OrderedDict()
        self.next_pull = 0
        self.pulls: OrderedDict[int, tuple[str, float]] = OrderedDict()
        self.cursors: dict[str, PeerCursor] = {}


def record_change(state: MembershipState, kind: ChangeKind, key: object) -> None:
    """Assign the next revision to an entry, so that it is included in pulls."""
    state.revision += 1
    state.changes[(kind, key)] = state.revision
    state.changes.move_to_end((kind, key))


def forget_change(state: MembershipState, kind: ChangeKind, key: object) -> None:
    """Remove a dropped entry, so that it is no longer included in pulls."""
    state.changes.pop((kind, key), None)


def record_position(state: MembershipState, announcement: Announcement, now_ms: float) -> None:
    """Record the latest announcement position of an endpoint for a bounded time."""
    name = announcement.endpoint
    position = (announcement.incarnation, announcement.sequence)
    latest = state.latest_positions.get(name)
    if latest is not None and (latest.incarnation, latest.sequence) > position:
        return
    is_same_incarnation = latest is not None and latest.incarnation == announcement.incarnation
    draining = announcement.draining or (
        is_same_incarnation and latest is not None and latest.draining
    )
    state.latest_positions[name] = LatestPosition(*position, draining, now_ms)
    state.latest_positions.move_to_end(name)
    while len(state.latest_positions) > MAX_POSITION_COUNT:
        state.latest_positions.popitem(last=False)


def is_outdated(state: MembershipState, announcement: Announcement) -> bool:
    """Return whether a newer announcement of the endpoint was already received."""
    latest = state.latest_positions.get(announcement.endpoint)
    if latest is None:
        return False
    position = (announcement.incarnation, announcement.sequence)
    return position < (latest.incarnation, latest.sequence)


def is_drained(state: MembershipState, announcement: Announcement) -> bool:
    """Return whether this incarnation has ever announced that it drains."""
    latest = state.latest_positions.get(announcement.endpoint)
    return announcement.draining or (
        latest is not None and latest.draining and latest.incarnation == announcement.incarnation
    )


def endpoint_record(entry: EndpointEntry, now_ms: float) -> EndpointRecord:
    """Build the record that other instances and the owner receive."""
    return EndpointRecord(
        entry.announcement,
        entry.owner,
        entry.owner_epoch,
        max(0.0, now_ms - entry.received_ms),
        entry.in_flight_count,
        entry.queue_length,
        entry.latency_ms,
        entry.observation_sequence,
    )
