"""Order the announcements of endpoints and keep the newest record of each."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import TYPE_CHECKING

from msgspec.structs import replace

from ..messages.fleet import (
    ENDPOINT_DRAINING,
    ENDPOINT_LAPSED,
    ENDPOINT_LEFT,
    ENDPOINT_READY,
    AnnouncedEndpoint,
    ReceivedEndpoint,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

# A delayed announcement must not restore an endpoint that has left; announcements are delayed by
# seconds at most.
LEFT_RETENTION_MS = 120_000.0
# Bounds the memory for announcements; 43,000 endpoints are expected in two years.
ENDPOINT_LIMIT_COUNT = 65_536

_STATE_ORDER = {ENDPOINT_READY: 0, ENDPOINT_LAPSED: 0, ENDPOINT_DRAINING: 1, ENDPOINT_LEFT: 2}


class MergeResult(Enum):
    """State the effect of an announcement."""

    OUTDATED = 'outdated'
    RENEWED = 'renewed'
    CHANGED = 'changed'


class AnnouncedEntry:
    """Hold the newest announcement of an endpoint; `received_ms` is on the local clock."""

    __slots__ = ('received_ms', 'record')

    def __init__(self, record: AnnouncedEndpoint, received_ms: float) -> None:
        self.record = record
        self.received_ms = received_ms


class AnnouncedState:
    """Hold all known endpoints and a change log that is read by revision."""

    __slots__ = ('_addresses', '_changes', 'endpoints', 'revision')

    def __init__(self) -> None:
        self.endpoints: dict[str, AnnouncedEntry] = {}
        self.revision = 0
        self._changes: OrderedDict[str, int] = OrderedDict()
        self._addresses: dict[str, str] = {}

    def changed_since(self, revision: int) -> list[str]:
        """Return the names of the endpoints that changed after a revision, oldest change first."""
        names: list[str] = []
        for name, changed in reversed(self._changes.items()):
            if changed <= revision:
                break
            names.append(name)
        names.reverse()
        return names

    def record_change(self, endpoint: str) -> None:
        """Assign the next revision to an endpoint."""
        self.revision += 1
        self._changes[endpoint] = self.revision
        self._changes.move_to_end(endpoint)

    def put(self, record: AnnouncedEndpoint, received_ms: float) -> None:
        """Store the newest record of an endpoint."""
        entry = self.endpoints.get(record.endpoint)
        if entry is None:
            self.endpoints[record.endpoint] = AnnouncedEntry(record, received_ms)
        else:
            self._release_address(entry.record)
            entry.record, entry.received_ms = record, received_ms
        if is_present(record):
            self._addresses[record.address] = record.endpoint

    def remove(self, endpoint: str) -> None:
        """Remove an endpoint and its change."""
        entry = self.endpoints.pop(endpoint, None)
        if entry is not None:
            self._release_address(entry.record)
            self._changes.pop(endpoint, None)

    def endpoint_at(self, address: str) -> AnnouncedEntry | None:
        """Return the endpoint that was last announced at an address."""
        name = self._addresses.get(address)
        return None if name is None else self.endpoints.get(name)

    def _release_address(self, record: AnnouncedEndpoint) -> None:
        if self._addresses.get(record.address) == record.endpoint:
            del self._addresses[record.address]


def merge(state: AnnouncedState, record: AnnouncedEndpoint, received_ms: float) -> MergeResult:
    """Apply an announcement unless a newer one of the endpoint or its address is known."""
    entry = state.endpoints.get(record.endpoint)
    if entry is not None and not _supersedes(entry.record, record):
        return MergeResult.OUTDATED
    if entry is None and len(state.endpoints) >= ENDPOINT_LIMIT_COUNT:
        return MergeResult.OUTDATED
    holder = state.endpoint_at(record.address)
    if holder is not None and holder.record.endpoint != record.endpoint and is_present(record):
        if holder.record.born_ms > record.born_ms:
            # A later start has the address already, so this announcement is delayed.
            record = replace(record, endpoint_state=ENDPOINT_LEFT)
        else:
            _set_left(state, holder)
    if entry is not None and entry.record.born_ms == record.born_ms:
        return _renew(state, entry, record, received_ms)
    state.put(record, received_ms)
    state.record_change(record.endpoint)
    return MergeResult.CHANGED


def renew(
    state: AnnouncedState, endpoint: str, born_ms: int, sequence: int, received_ms: float
) -> MergeResult | None:
    """Apply an announcement without a change; return None if its start is not known here."""
    entry = state.endpoints.get(endpoint)
    if entry is None or entry.record.born_ms != born_ms or not entry.record.service:
        return None
    current = entry.record
    endpoint_state = (
        ENDPOINT_READY if current.endpoint_state == ENDPOINT_LAPSED else current.endpoint_state
    )
    return merge(
        state, replace(current, sequence=sequence, endpoint_state=endpoint_state), received_ms
    )


def mark_left(
    state: AnnouncedState, endpoint: str, born_ms: int, latest_born_ms: int, now_ms: float
) -> bool:
    """Record that a start of an endpoint has left; return whether its state changed."""
    entry = state.endpoints.get(endpoint)
    if entry is None and len(state.endpoints) >= ENDPOINT_LIMIT_COUNT:
        return False
    if entry is None:
        # Its announcement may still be in transit; every start until now counts as departed.
        born_ms = born_ms or latest_born_ms
        absent = AnnouncedEndpoint(endpoint, '', '', '', 0, ENDPOINT_LEFT, 0, born_ms)
        state.put(absent, now_ms)
        state.record_change(endpoint)
        return True
    if entry.record.endpoint_state == ENDPOINT_LEFT or (born_ms and entry.record.born_ms > born_ms):
        return False
    _set_left(state, entry)
    entry.received_ms = now_ms
    return True


def expire(state: AnnouncedState, now_ms: float, lease_ms: float) -> list[str]:
    """Lapse endpoints that were silent for a lease and remove those past their retention."""
    lapsed: list[str] = []
    for name, entry in list(state.endpoints.items()):
        silent_ms = now_ms - entry.received_ms
        if entry.record.endpoint_state == ENDPOINT_READY and silent_ms >= lease_ms:
            entry.record = replace(entry.record, endpoint_state=ENDPOINT_LAPSED)
            state.record_change(name)
            lapsed.append(name)
        elif silent_ms >= LEFT_RETENTION_MS:
            state.remove(name)
    return lapsed


def aged_endpoints(
    state: AnnouncedState, now_ms: float, names: Iterable[str]
) -> tuple[ReceivedEndpoint, ...]:
    """Return the named endpoints with the time since each was received."""
    entries = (state.endpoints.get(name) for name in names)
    return tuple(
        ReceivedEndpoint(entry.record, max(0.0, now_ms - entry.received_ms))
        for entry in entries
        if entry is not None
    )


def is_present(record: AnnouncedEndpoint) -> bool:
    """Return whether an endpoint has not announced its departure."""
    return record.endpoint_state != ENDPOINT_LEFT


def _supersedes(current: AnnouncedEndpoint, record: AnnouncedEndpoint) -> bool:
    if record.born_ms != current.born_ms:
        return record.born_ms > current.born_ms
    if _STATE_ORDER[record.endpoint_state] != _STATE_ORDER[current.endpoint_state]:
        return _STATE_ORDER[record.endpoint_state] > _STATE_ORDER[current.endpoint_state]
    return record.sequence >= current.sequence


def _renew(
    state: AnnouncedState, entry: AnnouncedEntry, record: AnnouncedEndpoint, received_ms: float
) -> MergeResult:
    current = entry.record
    revived = current.endpoint_state == ENDPOINT_LAPSED and record.endpoint_state == ENDPOINT_READY
    if revived and record.sequence <= current.sequence:
        # A peer shared an announcement from before the lease ended; it does not renew the lease.
        return MergeResult.OUTDATED
    unchanged = (
        replace(record, sequence=current.sequence, cold_left_ms=current.cold_left_ms) == current
    )
    state.put(record, max(received_ms, entry.received_ms))
    if unchanged:
        return MergeResult.RENEWED
    state.record_change(record.endpoint)
    return MergeResult.CHANGED


def _set_left(state: AnnouncedState, entry: AnnouncedEntry) -> None:
    record = replace(entry.record, endpoint_state=ENDPOINT_LEFT)
    state.put(record, entry.received_ms)
    state.record_change(record.endpoint)
