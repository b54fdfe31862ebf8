"""Split a snapshot into chunks and reassemble received chunks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachioloft_core.messages.agreement import SnapshotChunk

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pistachioloft_core.messages.agreement import SnapshotMeta

CHUNK_BYTES = 256 * 1024
SNAPSHOT_LIMIT_BYTES = 512 * 1024 * 1024


def snapshot_chunks(
    term: int, leader: str, meta: SnapshotMeta, data: bytes
) -> Iterator[SnapshotChunk]:
    """Yield the chunks of a snapshot; an empty snapshot is sent as one empty chunk."""
    for offset_bytes in range(0, max(1, len(data)), CHUNK_BYTES):
        chunk_data = data[offset_bytes : offset_bytes + CHUNK_BYTES]
        yield SnapshotChunk(term, leader, meta, offset_bytes, len(data), chunk_data)


class SnapshotReceiver:
    """Reassemble one snapshot from its chunks."""

    def __init__(self) -> None:
        self.meta: SnapshotMeta | None = None
        self.buffer = bytearray()

    def add(self, chunk: SnapshotChunk) -> bytes | None:
        """Add a chunk; return the data if the chunk completes the snapshot, None otherwise."""
        if chunk.total_bytes > SNAPSHOT_LIMIT_BYTES:
            return None
        if chunk.offset_bytes == 0:
            self.meta = chunk.meta
            self.buffer = bytearray()
        if chunk.meta != self.meta or chunk.offset_bytes != len(self.buffer):
            return None
        self.buffer += chunk.data
        if len(self.buffer) < chunk.total_bytes:
            return None
        data = bytes(self.buffer)
        self.meta = None
        self.buffer = bytearray()
        return data
