"""Checksummed records: length, CRC-32 of the payload, CRC-32 of both, payload."""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from .errors import DamagedError

T = TypeVar('T')

_LENGTH_CRC = struct.Struct('<II')
_HEADER_CRC = struct.Struct('<I')
HEADER_BYTES = _LENGTH_CRC.size + _HEADER_CRC.size

# One append record holds at most the entries of one append message.
RECORD_LIMIT_BYTES = 256 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ScannedRecords:
    """Hold the payloads of a file, their offsets, and the sizes of its valid and torn parts."""

    payloads: tuple[bytes, ...]
    offsets_bytes: tuple[int, ...]
    valid_bytes: int
    torn_bytes: int


def frame(message: Any) -> bytes:
    """Encode a message as one record."""
    payload = msgspec.msgpack.encode(message)
    if len(payload) > RECORD_LIMIT_BYTES:
        raise ValueError(f'a record of {len(payload)} bytes exceeds {RECORD_LIMIT_BYTES}')
    fields = _LENGTH_CRC.pack(len(payload), zlib.crc32(payload))
    return fields + _HEADER_CRC.pack(zlib.crc32(fields)) + payload


def decode_payload(file: str, offset_bytes: int, payload: bytes, kind: type[T]) -> T:
    """Decode the payload of a record whose checksum matches."""
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise DamagedError(file, offset_bytes, f'not a {kind.__name__}: {error}') from error


def scan(file: str, data: bytes, last_may_be_torn: bool) -> ScannedRecords:
    """Split a file into records; omit a torn last one, raise DamagedError for other damage."""
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


def _read_header(data: bytes, offset: int) -> tuple[int, int] | None:
    fields = data[offset : offset + _LENGTH_CRC.size]
    check = data[offset + _LENGTH_CRC.size : offset + HEADER_BYTES]
    if len(check) < _HEADER_CRC.size or _HEADER_CRC.unpack(check)[0] != zlib.crc32(fields):
        return None
    length, checksum = _LENGTH_CRC.unpack(fields)
    return length, checksum


def _record_end(data: bytes, offset: int) -> int | None:
    header = _read_header(data, offset)
    if header is None:
        return None
    length, checksum = header
    end = offset + HEADER_BYTES + length
    if end > len(data) or zlib.crc32(data[offset + HEADER_BYTES : end]) != checksum:
        return None
    return end


def _is_torn(data: bytes, offset: int) -> bool:
    """Return whether the damage can result from one append that a crash interrupted."""
    header = _read_header(data, offset)
    if header is not None:
        # Each append is synced before the next, so a torn record extends to the end of the file.
        return offset + HEADER_BYTES + header[0] >= len(data)
    # Either the header was not fully written, or it was damaged later. In the latter case a
    # complete record follows.
    return all(_record_end(data, position) is None for position in range(offset + 1, len(data)))
