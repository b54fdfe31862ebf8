"""Replay of the log segments in a data folder."""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .errors import DamagedError
from .layout import FORMAT, AppendRecord, SegmentHeader, segment_name, segment_numbers
from .records import ScannedRecords, decode_payload, scan

if TYPE_CHECKING:
    from pistachioloft_core.messages.agreement import HardState, LogEntry, SnapshotMeta

    from .files import FileOperations


@dataclass(frozen=True, slots=True)
class SegmentSummary:
    """Identify a segment and the highest index that it holds."""

    number: int
    highest_index: int


@dataclass(frozen=True, slots=True)
class ReplayedLog:
    """Hold the log of all segments; without `continues_snapshot`, the snapshot replaces it."""

    hard_state: HardState
    entries: tuple[LogEntry, ...]
    continues_snapshot: bool
    segments: tuple[SegmentSummary, ...]
    last_segment: ScannedRecords
    last_segment_data: bytes


class _Replay:
    def __init__(self, member_id: str, snapshot_index: int | None) -> None:
        self.member_id = member_id
        self.snapshot_index = snapshot_index if snapshot_index is not None else -1
        self.hard_state: HardState | None = None
        self.entries: list[LogEntry] = []
        self.summaries: list[SegmentSummary] = []
        self.next_segment: int | None = None
        self.continuity_error: DamagedError | None = None

    def add_segment(self, path: str, number: int, scanned: ScannedRecords) -> None:
        """Apply the records of the next segment."""
        if not scanned.payloads:
            raise DamagedError(path, 0, 'the segment has no header')
        header = decode_payload(path, 0, scanned.payloads[0], SegmentHeader)
        self._check_header(path, number, header)
        self.hard_state = header.hard_state
        self.next_segment = None
        highest_index = 0
        following_records = zip(scanned.offsets_bytes[1:], scanned.payloads[1:], strict=True)
        for offset, payload in following_records:
            record = decode_payload(path, offset, payload, AppendRecord)
            self._add_record(path, offset, record)
            if record.entries:
                highest_index = max(highest_index, record.entries[-1].index)
        self.summaries.append(SegmentSummary(number, highest_index))

    def _check_header(self, path: str, number: int, header: SegmentHeader) -> None:
        if (header.format, header.member_id, header.number) != (FORMAT, self.member_id, number):
            raise DamagedError(path, 0, 'the segment belongs to another member, number or format')
        if self.summaries and header.previous != self.summaries[-1].number:
            missing_name = segment_name(header.previous)
            raise DamagedError(path, 0, f'the previous segment, {missing_name}, is missing')
        if header.snapshot_index is not None and header.snapshot_index > self.snapshot_index:
            raise DamagedError(path, 0, f'the snapshot of index {header.snapshot_index} is missing')
        if header.reset:
            # The earlier entries are discarded; some of their segments may already be removed.
            self.entries.clear()
            self.continuity_error = None
            return
        last_index = self.entries[-1].index if self.entries else None
        covered = last_index is None and header.last_index <= max(0, self.snapshot_index)
        if last_index != header.last_index and not covered and self.continuity_error is None:
            detail = f'the earlier log ends at index {last_index}, not at {header.last_index}'
            self.continuity_error = DamagedError(path, 0, detail)

    def _add_record(self, path: str, offset_bytes: int, record: AppendRecord) -> None:
        self.next_segment = record.next_segment
        if record.hard_state is not None:
            self.hard_state = record.hard_state
        if record.truncate_from is not None and self.entries:
            del self.entries[max(0, record.truncate_from - self.entries[0].index) :]
        for entry in record.entries:
            if self.entries and entry.index != self.entries[-1].index + 1:
                detail = f'index {entry.index} follows index {self.entries[-1].index}'
                raise DamagedError(path, offset_bytes, detail)
            self.entries.append(entry)


def replay(
    files: FileOperations, folder: str, member_id: str, snapshot: SnapshotMeta | None
) -> ReplayedLog:
    """Read all segments and return the entries that follow the snapshot."""
    numbers = segment_numbers(files.list_names(folder))
    if not numbers:
        raise DamagedError(folder, 0, 'there is no log segment')
    replayed = _Replay(member_id, snapshot.index if snapshot is not None else None)
    for number in numbers:
        path = os.path.join(folder, segment_name(number))
        data = files.read(path)
        # A crash can tear the closing record of any segment. A lost entry before that record is
        # detected by the last index in the header of the next segment.
        scanned = scan(path, data, last_may_be_torn=True)
        replayed.add_segment(path, number, scanned)
    if replayed.continuity_error is not None:
        raise replayed.continuity_error
    if replayed.next_segment is not None:
        missing_name = segment_name(replayed.next_segment)
        raise DamagedError(
            path, scanned.valid_bytes, f'the next segment, {missing_name}, is missing'
        )
    assert replayed.hard_state is not None
    entries, continues_snapshot = _after_snapshot(path, replayed.entries, snapshot)
    summaries = tuple(replayed.summaries)
    return ReplayedLog(replayed.hard_state, entries, continues_snapshot, summaries, scanned, data)


def _after_snapshot(
    path: str, entries: list[LogEntry], snapshot: SnapshotMeta | None
) -> tuple[tuple[LogEntry, ...], bool]:
    """Return the entries after the snapshot, and whether the log continues the snapshot."""
    index = snapshot.index if snapshot is not None else 0
    if not entries:
        return (), True
    first_index = entries[0].index
    if first_index > index + 1:
        raise DamagedError(
            path, 0, f'the log starts at index {first_index}, the snapshot ends at {index}'
        )
    if entries[-1].index < index:
        return (), False
    if (
        snapshot is not None
        and first_index <= index
        and entries[index - first_index].term != snapshot.term
    ):
        return (), False
    return tuple(entries[index + 1 - first_index :]), True
