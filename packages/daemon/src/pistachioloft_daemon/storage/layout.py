"""File names and record types of a data folder."""

from __future__ import annotations

import contextlib
import os
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

# msgspec evaluates the types of the records at run time.
from pistachioloft_core.messages.agreement import (  # noqa: TC001
    HardState,
    LogEntry,
    SnapshotMeta,
)

from .errors import DamagedError, NotInitializedError
from .records import decode_payload, frame, scan

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .files import FileOperations

FORMAT = 1
META_NAME = 'meta.json'
LOCK_NAME = 'lock'
TEMPORARY_SUFFIX = '.tmp'
_NAME_NUMBER_DIGITS = 20


@dataclass(frozen=True, slots=True)
class FolderMeta:
    """Identify the cluster and the member that a data folder belongs to."""

    format: int
    cluster_id: str
    member_id: str


@dataclass(frozen=True, slots=True)
class SegmentHeader:
    """Begin a segment; replay requires the log that it refers to, unless `reset` discards it."""

    format: int
    member_id: str
    number: int
    previous: int
    last_index: int
    snapshot_index: int | None
    hard_state: HardState
    reset: bool = False


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Hold one append, which a crash leaves complete or absent; or refer to the next segment."""

    hard_state: HardState | None
    truncate_from: int | None
    entries: tuple[LogEntry, ...]
    next_segment: int | None = None


@dataclass(frozen=True, slots=True)
class SnapshotHeader:
    """Begin a snapshot file."""

    format: int
    member_id: str
    meta: SnapshotMeta


def segment_name(number: int) -> str:
    """Return the file name of a segment."""
    return f'log-{number:0{_NAME_NUMBER_DIGITS}}.seg'


def snapshot_name(index: int) -> str:
    """Return the file name of the snapshot up to an index."""
    return f'snapshot-{index:0{_NAME_NUMBER_DIGITS}}.snap'


def segment_numbers(names: list[str]) -> list[int]:
    """Return the numbers of all segments, oldest first."""
    return _parse_numbers(names, 'log-', '.seg')


def snapshot_indexes(names: list[str]) -> list[int]:
    """Return the indexes of all snapshots, oldest first."""
    return _parse_numbers(names, 'snapshot-', '.snap')


def create_file(files: FileOperations, folder: str, name: str, blocks: tuple[bytes, ...]) -> int:
    """Write a file that a crash leaves complete or absent, and return its open descriptor."""
    path = os.path.join(folder, name)
    descriptor = files.create(path + TEMPORARY_SUFFIX)
    try:
        for block in blocks:
            files.write(descriptor, block)
        files.sync(descriptor)
        files.rename(path + TEMPORARY_SUFFIX, path)
        files.sync_folder(folder)
    except BaseException as error:
        files.close(descriptor)
        if isinstance(error, OSError):
            remove_partial_files(files, folder, (name + TEMPORARY_SUFFIX,))
        raise
    return descriptor


def remove_partial_files(files: FileOperations, folder: str, names: Iterable[str]) -> None:
    """Remove files that were never completed, to free the space that they take."""
    for name in names:
        with contextlib.suppress(OSError):
            files.remove(os.path.join(folder, name))


def write_file(files: FileOperations, folder: str, name: str, blocks: tuple[bytes, ...]) -> None:
    """Write a file that a crash leaves complete or absent."""
    files.close(create_file(files, folder, name, blocks))


def encode_meta(meta: FolderMeta) -> bytes:
    """Encode the file that identifies the member of a folder."""
    return msgspec.json.encode(meta)


def read_meta(files: FileOperations, folder: str) -> FolderMeta:
    """Read the file that identifies the member of a folder."""
    path = os.path.join(folder, META_NAME)
    try:
        meta = msgspec.json.decode(files.read(path), type=FolderMeta)
    except FileNotFoundError as error:
        raise NotInitializedError(path, 'the folder holds no member') from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DamagedError(path, 0, str(error)) from error
    if meta.format != FORMAT:
        raise DamagedError(path, 0, f'unknown format {meta.format}')
    return meta


def encode_snapshot_file(member_id: str, meta: SnapshotMeta, data: bytes) -> tuple[bytes, ...]:
    """Encode a snapshot file."""
    return frame(SnapshotHeader(FORMAT, member_id, meta)), frame(data)


def read_snapshot(
    files: FileOperations, folder: str, member_id: str, index: int
) -> tuple[SnapshotMeta, bytes]:
    """Read a snapshot file; raise DamagedError for any damage."""
    path = os.path.join(folder, snapshot_name(index))
    scanned = scan(path, files.read(path), last_may_be_torn=False)
    if len(scanned.payloads) != 2:
        raise DamagedError(path, scanned.valid_bytes, 'a snapshot has two records')
    header = decode_payload(path, 0, scanned.payloads[0], SnapshotHeader)
    if (header.format, header.member_id, header.meta.index) != (FORMAT, member_id, index):
        raise DamagedError(path, 0, 'the snapshot belongs to another member, index or format')
    return header.meta, decode_payload(path, scanned.offsets_bytes[1], scanned.payloads[1], bytes)


def _parse_numbers(names: list[str], prefix: str, suffix: str) -> list[int]:
    numbers = []
    for name in names:
        digits = name.removeprefix(prefix).removesuffix(suffix)
        if name == f'{prefix}{digits}{suffix}' and digits.isdecimal():
            numbers.append(int(digits))
    return sorted(numbers)
