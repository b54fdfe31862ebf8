"""Merge the replies of shards, which are records of a fixed size, in descending order."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Split a reply into records, ignoring a shorter remainder."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[start : start + RECORD_BYTES] for start in range(0, end, RECORD_BYTES)]


def greatest_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the greatest records of all replies in descending order, duplicates included."""
    records = [record for body in bodies for record in split_records(body)]
    return b''.join(heapq.nlargest(count, records))
