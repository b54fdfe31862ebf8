"""Read-only check of a data folder that no process uses."""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .errors import DamagedError, FolderInUseError, NotInitializedError, StorageError
from .files import FileOperations
from .layout import LOCK_NAME, META_NAME, read_meta, read_snapshot, snapshot_indexes
from .log import replay

if TYPE_CHECKING:
    from pistachioloft_core.messages.agreement import SnapshotMeta

    from .layout import FolderMeta
    from .log import ReplayedLog


@dataclass(frozen=True, slots=True)
class Problem:
    """Report one problem with the file and the offset where it was found."""

    file: str
    offset_bytes: int
    detail: str


@dataclass(frozen=True, slots=True)
class CheckReport:
    """Describe a data folder, which can be opened if `problems` is empty."""

    folder: str
    cluster_id: str
    member_id: str
    term: int
    snapshot_index: int
    last_index: int
    entry_count: int
    segment_count: int
    torn_bytes: int
    problems: tuple[Problem, ...]


def check_folder(folder: str, files: FileOperations | None = None) -> CheckReport:
    """Read every file of a data folder that no process uses and report all problems."""
    files = files or FileOperations()
    names = files.list_names(folder)
    if META_NAME not in names:
        raise NotInitializedError(folder, 'the folder holds no member')
    if LOCK_NAME not in names:
        return _inspect_folder(files, folder, names)
    lock = files.lock(os.path.join(folder, LOCK_NAME), exclusive=False)
    if lock is None:
        raise FolderInUseError(folder, 'another process uses the folder')
    try:
        return _inspect_folder(files, folder, names)
    finally:
        files.close(lock)


def _inspect_folder(files: FileOperations, folder: str, names: list[str]) -> CheckReport:
    problems: list[Problem] = []
    meta: FolderMeta | None = None
    snapshot: SnapshotMeta | None = None
    log: ReplayedLog | None = None
    try:
        meta = read_meta(files, folder)
    except (OSError, StorageError) as error:
        problems.append(_problem(folder, error))
    if meta is not None:
        for index in snapshot_indexes(names):
            try:
                snapshot, _ = read_snapshot(files, folder, meta.member_id, index)
            except (OSError, StorageError) as error:
                problems.append(_problem(folder, error))
        try:
            log = replay(files, folder, meta.member_id, snapshot)
        except (OSError, StorageError) as error:
            problems.append(_problem(folder, error))
    snapshot_index = snapshot.index if snapshot is not None else 0
    return CheckReport(
        folder,
        meta.cluster_id if meta is not None else '',
        meta.member_id if meta is not None else '',
        log.hard_state.term if log is not None else 0,
        snapshot_index,
        snapshot_index + len(log.entries) if log is not None else snapshot_index,
        len(log.entries) if log is not None else 0,
        len(log.segments) if log is not None else 0,
        log.last_segment.torn_bytes if log is not None else 0,
        tuple(problems),
    )


def _problem(folder: str, error: OSError | StorageError) -> Problem:
    if isinstance(error, DamagedError):
        return Problem(error.file, error.offset_bytes, error.detail)
    if isinstance(error, StorageError):
        return Problem(error.file, 0, error.detail)
    return Problem(str(error.filename or folder), 0, str(error))
