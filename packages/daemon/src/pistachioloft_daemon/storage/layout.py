"""Names and records of the files in a data folder."""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

# msgspec reads the types of the records at run time.
from pistachioloft_core.messages.agreement import (  # noqa: TC001
    HardState,
    LogEntry,
    SnapshotMeta,
)

from .errors import DamagedError, NotInitialisedError
from .records import decode_payload, frame, scan

if TYPE_CHECKING:
    from .files import FileOperations

FORMAT = 1
META_NAME = 'meta.json'
LOCK_NAME = 'lock'
TEMPORARY_SUFFIX = '.tmp'
_NUMBER_DIGITS = 20


@dataclass(frozen=True, slots=True)
class FolderMeta:
    """Name the member that a data folder belongs to."""

    format: int
    cluster_id: str
    member_id: str


@dataclass(frozen=True, slots=True)
class SegmentHeader:
    """Start a segment; what it names must be there, unless `reset` voids the log before."""

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
    """Hold one append: all of it or, after a crash, nothing; or the end of a segment."""

    hard_state: HardState | None
    truncate_from: int | None
    entries: tuple[LogEntry, ...]
    next_segment: int | None = None


@dataclass(frozen=True, slots=True)
class SnapshotHeader:
    """Start a snapshot file."""

    format: int
    member_id: str
    meta: SnapshotMeta


def segment_name(number: int) -> str:
    """Return the name of the segment with the given first index."""
    return f'log-{number:0{_NUMBER_DIGITS}}.seg'


def snapshot_name(index: int) -> str:
    """Return the name of the snapshot up to the given index."""
    return f'snapshot-{index:0{_NUMBER_DIGITS}}.snap'


def segment_numbers(names: list[str]) -> list[int]:
    """Return the numbers of all segments, oldest first."""
    return _numbers(names, 'log-', '.seg')


def snapshot_indexes(names: list[str]) -> list[int]:
    """Return the indexes of all snapshots, oldest first."""
    return _numbers(names, 'snapshot-', '.snap')


def create_file(files: FileOperations, folder: str, name: str, parts: tuple[bytes, ...]) -> int:
    """Write a file that after a crash is there as a whole or not at all, and leave it open."""
    path = os.path.join(folder, name)
    descriptor = files.create(path + TEMPORARY_SUFFIX)
    try:
        for part in parts:
            files.write(descriptor, part)
        files.sync(descriptor)
        files.rename(path + TEMPORARY_SUFFIX, path)
        files.sync_folder(folder)
    except BaseException:
        files.close(descriptor)
        raise
    return descriptor


def write_file(files: FileOperations, folder: str, name: str, parts: tuple[bytes, ...]) -> None:
    """Write a file that after a crash is there as a whole or not at all."""
    files.close(create_file(files, folder, name, parts))


def encode_meta(meta: FolderMeta) -> bytes:
    """Encode the file that names the member of a folder."""
    return msgspec.json.encode(meta)


def read_meta(files: FileOperations, folder: str) -> FolderMeta:
    """Read which member the folder belongs to."""
    path = os.path.join(folder, META_NAME)
    try:
        meta = msgspec.json.decode(files.read(path), type=FolderMeta)
    except FileNotFoundError as error:
        raise NotInitialisedError(path, 'the folder holds no member') from error
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
    """Read a snapshot file and refuse any damage."""
    path = os.path.join(folder, snapshot_name(index))
    scanned = scan(path, files.read(path), last_may_be_torn=False)
    if len(scanned.payloads) != 2:
        raise DamagedError(path, scanned.valid_bytes, 'a snapshot has two records')
    header = decode_payload(path, 0, scanned.payloads[0], SnapshotHeader)
    if (header.format, header.member_id, header.meta.index) != (FORMAT, member_id, index):
        raise DamagedError(path, 0, 'the snapshot belongs to another member, index or format')
    return header.meta, decode_payload(path, scanned.offsets_bytes[1], scanned.payloads[1], bytes)


def _numbers(names: list[str], prefix: str, suffix: str) -> list[int]:
    numbers = []
    for name in names:
        middle = name.removeprefix(prefix).removesuffix(suffix)
        if name == f'{prefix}{middle}{suffix}' and middle.isdecimal():
            numbers.append(int(middle))
    return sorted(numbers)
