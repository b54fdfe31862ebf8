"""Checksummed records: length, CRC-32 of the payload, CRC-32 of both, payload."""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from .errors import DamagedError

T = TypeVar('T')

_FIELDS = struct.Struct('<II')
_CHECK = struct.Struct('<I')
HEADER_BYTES = _FIELDS.size + _CHECK.size

# A record of one append holds at most what one append message carries.
RECORD_LIMIT_BYTES = 256 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ScannedRecords:
    """Hold the payloads of a file, their offsets and where the valid part ends."""

    payloads: tuple[bytes, ...]
    offsets_bytes: tuple[int, ...]
    valid_bytes: int
    torn_bytes: int


def frame(message: Any) -> bytes:
    """Encode a message as one record."""
    payload = msgspec.msgpack.encode(message)
    if len(payload) > RECORD_LIMIT_BYTES:
        raise ValueError(f'a record of {len(payload)} bytes exceeds {RECORD_LIMIT_BYTES}')
    fields = _FIELDS.pack(len(payload), zlib.crc32(payload))
    return fields + _CHECK.pack(zlib.crc32(fields)) + payload


def decode_payload(file: str, offset_bytes: int, payload: bytes, kind: type[T]) -> T:
    """Decode the payload of a record whose checksum is right."""
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise DamagedError(file, offset_bytes, f'not a {kind.__name__}: {error}') from error


def scan(file: str, data: bytes, last_may_be_torn: bool) -> ScannedRecords:
    """Split a file into records; a torn last record is left out, other damage is refused."""
    payloads: list[bytes] = []
    offsets: list[int] = []
    offset = 0
    while offset < len(data):
        end = _record_end(data, offset)
        if end is None:
            if not last_may_be_torn or not _is_torn(data, offset):
                raise DamagedError(file, offset, 'the record is damaged')
            break
        payloads.append(data[offset + HEADER_BYTES : end])
        offsets.append(offset)
        offset = end
    return ScannedRecords(tuple(payloads), tuple(offsets), offset, len(data) - offset)


def _header(data: bytes, offset: int) -> tuple[int, int] | None:
    fields = data[offset : offset + _FIELDS.size]
    check = data[offset + _FIELDS.size : offset + HEADER_BYTES]
    if len(check) < _CHECK.size or _CHECK.unpack(check)[0] != zlib.crc32(fields):
        return None
    length, checksum = _FIELDS.unpack(fields)
    return length, checksum


def _record_end(data: bytes, offset: int) -> int | None:
    header = _header(data, offset)
    if header is None:
        return None
    length, checksum = header
    end = offset + HEADER_BYTES + length
    if end > len(data) or zlib.crc32(data[offset + HEADER_BYTES : end]) != checksum:
        return None
    return end


def _is_torn(data: bytes, offset: int) -> bool:
    """Tell whether the damage can be one append that a crash interrupted."""
    header = _header(data, offset)
    if header is not None:
        # Only one append is written before its sync, so a torn record reaches the end.
        return offset + HEADER_BYTES + header[0] >= len(data)
    # The header itself was not written, or was damaged later: then a whole record follows.
    return all(_record_end(data, later) is None for later in range(offset + 1, len(data)))
