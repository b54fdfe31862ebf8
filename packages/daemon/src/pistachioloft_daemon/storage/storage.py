"""Storage of a voter in a data folder: appends, snapshots and compaction."""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pistachioloft_core.messages.agreement import HardState, LogEntry, Membership, SnapshotMeta

from .errors import (
    AlreadyInitializedError,
    FolderInUseError,
    NotInitializedError,
    StorageFailedError,
)
from .files import FileOperations
from .layout import (
    FORMAT,
    LOCK_NAME,
    META_NAME,
    TEMPORARY_SUFFIX,
    AppendRecord,
    FolderMeta,
    SegmentHeader,
    create_file,
    encode_meta,
    encode_snapshot_file,
    read_meta,
    read_snapshot,
    remove_partial_files,
    segment_name,
    snapshot_indexes,
    snapshot_name,
    write_file,
)
from .log import ReplayedLog, SegmentSummary, replay
from .records import frame

if TYPE_CHECKING:
    from collections.abc import Callable

# Opening rewrites the newest segment, so this limit bounds the duration of a start.
SEGMENT_LIMIT_BYTES = 4 * 1024 * 1024
# A log of more closed segments should be replaced by a snapshot, however few entries it has.
CLOSED_SEGMENT_LIMIT_COUNT = 4

_END_RECORD = AppendRecord(None, None, ())


@dataclass(frozen=True, slots=True)
class StoredState:
    """Hold the content of a data folder at the time when it was opened."""

    cluster_id: str
    member_id: str
    hard_state: HardState
    snapshot: SnapshotMeta | None
    snapshot_data: bytes
    entries: tuple[LogEntry, ...]
    torn_bytes: int


@dataclass(frozen=True, slots=True)
class OpenedStorage:
    """Hold an open data folder and its content."""

    storage: Storage
    stored: StoredState


class Storage:
    """Write to one data folder, one call at a time; after a failed write every write raises."""

    def __init__(self, files: FileOperations, folder: str, lock: int, meta: FolderMeta) -> None:
        self._files = files
        self._folder = folder
        self._lock_descriptor: int | None = lock
        self._meta = meta
        self._hard_state = HardState(0, None)
        self._snapshot: SnapshotMeta | None = None
        self._entry_terms: list[int] = []
        self._closed_segments: list[SegmentSummary] = []
        self._segment_number = 0
        self._segment_highest_index = 0
        self._segment_size_bytes = 0
        self._segment_descriptor: int | None = None
        self._failure: StorageFailedError | None = None

    @property
    def failure(self) -> StorageFailedError | None:
        """Return the failure after which all writes are rejected, or None."""
        return self._failure

    @property
    def is_log_long(self) -> bool:
        """Return whether the log takes so much of the disk that a snapshot should replace it."""
        return len(self._closed_segments) >= CLOSED_SEGMENT_LIMIT_COUNT

    @property
    def last_index(self) -> int:
        """Return the last stored index."""
        return self._snapshot_index + len(self._entry_terms)

    @property
    def _snapshot_index(self) -> int:
        return self._snapshot.index if self._snapshot is not None else 0

    def append(
        self,
        hard_state: HardState | None,
        truncate_from: int | None,
        entries: tuple[LogEntry, ...],
    ) -> None:
        """Append a hard state, a truncation and entries durably with one sync."""
        if hard_state is None and truncate_from is None and not entries:
            return
        previous_index = (
            self.last_index if truncate_from is None else min(truncate_from - 1, self.last_index)
        )
        if previous_index < self._snapshot_index:
            raise ValueError(f'index {previous_index + 1} is covered by the snapshot')
        for position, entry in enumerate(entries, start=previous_index + 1):
            if entry.index != position:
                raise ValueError(f'index {entry.index} does not follow index {position - 1}')
        data = frame(AppendRecord(hard_state, truncate_from, entries))
        self._run_write(segment_name(self._segment_number), lambda: self._write_record(data))
        self._hard_state = hard_state or self._hard_state
        del self._entry_terms[previous_index - self._snapshot_index :]
        self._entry_terms.extend(entry.term for entry in entries)
        if entries:
            self._segment_highest_index = max(self._segment_highest_index, entries[-1].index)
        if self._segment_size_bytes >= SEGMENT_LIMIT_BYTES:
            self._run_write(
                segment_name(self._segment_number), lambda: self._start_segment(reset=False)
            )

    def save_snapshot(self, meta: SnapshotMeta, data: bytes) -> None:
        """Write a snapshot durably, then remove the segments and snapshots that it covers."""
        if self._snapshot is not None and meta.index <= self._snapshot.index:
            return
        blocks = encode_snapshot_file(self._meta.member_id, meta, data)
        name = snapshot_name(meta.index)
        self._run_write(name, lambda: write_file(self._files, self._folder, name, blocks))
        covered_count = meta.index - self._snapshot_index
        continues_snapshot = (
            len(self._entry_terms) >= covered_count > 0
            and self._entry_terms[covered_count - 1] == meta.term
        )
        self._entry_terms = self._entry_terms[covered_count:] if continues_snapshot else []
        self._snapshot = meta
        self._run_write(name, lambda: self._start_segment(reset=not continues_snapshot))
        self._run_write(name, self._remove_covered)

    def close(self) -> None:
        """Append an end record, so that later damage is not taken for a torn append, and close."""
        if self._lock_descriptor is None:
            return
        try:
            if self._failure is None:
                end_record = frame(_END_RECORD)
                self._run_write(
                    segment_name(self._segment_number), lambda: self._write_record(end_record)
                )
        finally:
            lock, self._lock_descriptor = self._lock_descriptor, None
            segment, self._segment_descriptor = self._segment_descriptor, None
            try:
                if segment is not None:
                    self._files.close(segment)
            except OSError as error:
                raise StorageFailedError(self._folder, str(error)) from error
            finally:
                self._files.close(lock)

    def _load(self, snapshot: SnapshotMeta | None, log: ReplayedLog) -> None:
        self._snapshot = snapshot
        self._hard_state = log.hard_state
        self._entry_terms = [entry.term for entry in log.entries]
        self._closed_segments = list(log.segments[:-1])
        self._segment_number = log.segments[-1].number
        self._segment_highest_index = log.segments[-1].highest_index
        # The segment is rewritten as a whole: this makes bytes durable that a failed sync of an
        # earlier process left only in the page cache, and removes a torn record.
        data = log.last_segment_data[: log.last_segment.valid_bytes] + frame(_END_RECORD)
        name = segment_name(self._segment_number)
        self._segment_descriptor = create_file(self._files, self._folder, name, (data,))
        self._segment_size_bytes = len(data)
        if not log.continues_snapshot:
            self._start_segment(reset=True)
        self._remove_covered()

    def _write_record(self, data: bytes) -> None:
        assert self._segment_descriptor is not None
        self._files.write(self._segment_descriptor, data)
        self._files.sync(self._segment_descriptor)
        self._segment_size_bytes += len(data)

    def _start_segment(self, reset: bool) -> None:
        number = max(self.last_index + 1, self._segment_number + 1)
        header = SegmentHeader(
            FORMAT,
            self._meta.member_id,
            number,
            self._segment_number,
            self.last_index,
            self._snapshot.index if self._snapshot is not None else None,
            self._hard_state,
            reset,
        )
        data = frame(header)
        descriptor = create_file(self._files, self._folder, segment_name(number), (data,))
        # Written after the new segment is durable, so that its loss is detected as damage.
        self._write_record(frame(AppendRecord(None, None, (), number)))
        assert self._segment_descriptor is not None
        self._files.close(self._segment_descriptor)
        # Entries that a reset discards need not be retained, whatever their index.
        retained_up_to_index = 0 if reset else self._segment_highest_index
        self._closed_segments.append(SegmentSummary(self._segment_number, retained_up_to_index))
        if reset:
            self._closed_segments = [
                SegmentSummary(segment.number, 0) for segment in self._closed_segments
            ]
        self._segment_descriptor = descriptor
        self._segment_number = number
        self._segment_highest_index = 0
        self._segment_size_bytes = len(data)

    def _remove_covered(self) -> None:
        # Oldest first, with a sync after each: replay treats a gap between segments as damage.
        while self._closed_segments:
            segment = self._closed_segments[0]
            if segment.highest_index > self._snapshot_index:
                break
            self._files.remove(os.path.join(self._folder, segment_name(segment.number)))
            self._files.sync_folder(self._folder)
            del self._closed_segments[0]
        names = self._files.list_names(self._folder)
        old_snapshot_names = [snapshot_name(index) for index in snapshot_indexes(names)[:-1]]
        for name in old_snapshot_names:
            self._files.remove(os.path.join(self._folder, name))

    def _run_write(self, name: str, operation: Callable[[], None]) -> None:
        """Run a write; after a failure the content of the file is unknown, so reject all others."""
        if self._failure is not None:
            raise self._failure
        try:
            operation()
        except OSError as error:
            path = os.path.join(self._folder, name)
            self._failure = StorageFailedError(path, str(error))
            raise self._failure from error


def initialize(
    folder: str,
    cluster_id: str,
    member_id: str,
    membership: Membership | None,
    files: FileOperations | None = None,
) -> None:
    """Create the data folder of a member, which joins an existing group without `membership`."""
    files = files or FileOperations()
    try:
        files.make_folder(folder)
        names = files.list_names(folder)
        initial_names = (segment_name(1), snapshot_name(0))
        if any(not name.endswith(TEMPORARY_SUFFIX) and name not in initial_names for name in names):
            raise AlreadyInitializedError(folder, 'the folder is not empty')
        if membership is not None:
            meta = SnapshotMeta(0, 0, membership)
            blocks = encode_snapshot_file(member_id, meta, b'')
            write_file(files, folder, snapshot_name(0), blocks)
        snapshot_index = 0 if membership is not None else None
        header = SegmentHeader(FORMAT, member_id, 1, 0, 0, snapshot_index, HardState(0, None))
        write_file(files, folder, segment_name(1), (frame(header),))
        # Written last: a folder without this file was never in use.
        encoded_meta = encode_meta(FolderMeta(FORMAT, cluster_id, member_id))
        write_file(files, folder, META_NAME, (encoded_meta,))
    except OSError as error:
        raise StorageFailedError(folder, str(error)) from error


def open_storage(folder: str, files: FileOperations | None = None) -> OpenedStorage:
    """Open a data folder, lock it against other processes and read its content."""
    files = files or FileOperations()
    lock: int | None = None
    try:
        if META_NAME not in files.list_names(folder):
            raise NotInitializedError(folder, 'the folder holds no member')
        lock = files.lock(os.path.join(folder, LOCK_NAME), exclusive=True)
        if lock is None:
            raise FolderInUseError(folder, 'another process uses the folder')
        return _open_locked(files, folder, lock)
    except BaseException as error:
        if lock is not None:
            files.close(lock)
        if isinstance(error, OSError):
            raise StorageFailedError(folder, str(error)) from error
        raise


def _open_locked(files: FileOperations, folder: str, lock: int) -> OpenedStorage:
    meta = read_meta(files, folder)
    snapshot, snapshot_data = None, b''
    indexes = snapshot_indexes(files.list_names(folder))
    if indexes:
        snapshot, snapshot_data = read_snapshot(files, folder, meta.member_id, indexes[-1])
    log = replay(files, folder, meta.member_id, snapshot)
    # Opening writes a file, for which a nearly full disk may have no room beside these.
    remove_partial_files(
        files,
        folder,
        [name for name in files.list_names(folder) if name.endswith(TEMPORARY_SUFFIX)],
    )
    storage = Storage(files, folder, lock, meta)
    storage._load(snapshot, log)
    stored = StoredState(
        meta.cluster_id,
        meta.member_id,
        log.hard_state,
        snapshot,
        snapshot_data,
        log.entries,
        log.last_segment.torn_bytes,
    )
    return OpenedStorage(storage, stored)
