"""Bytes of unfinished messages that the connections of a process keep together."""

from __future__ import annotations

from typing import Protocol

# Part of the machine's memory that unfinished messages may take. Joining the parts of a body
# takes as much again, and the process itself needs 20 to 60 MB.
MEMORY_FRACTION = 0.25
BYTES_PER_MB = 1_000_000


class Receiver(Protocol):
    """Hold an unfinished message."""

    def shed(self) -> None:
        """Give the unfinished message up and release what is kept of it."""


class ReceiveBudget:
    """Count what each connection keeps, and end the largest message past the limit."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self._held_bytes: dict[Receiver, int] = {}

    def set_held_bytes(self, receiver: Receiver, held_bytes: int) -> None:
        """Take note of how much a connection keeps now."""
        self.total_bytes += held_bytes - self._held_bytes.get(receiver, 0)
        self._held_bytes[receiver] = held_bytes
        while self.total_bytes > self.limit_bytes:
            # Sound messages are short; the longest is the likeliest never to end.
            largest = max(self._held_bytes, key=lambda receiver: self._held_bytes[receiver])
            self.release(largest)
            largest.shed()

    def release(self, receiver: Receiver) -> None:
        """Take note that a connection keeps nothing any more."""
        self.total_bytes -= self._held_bytes.pop(receiver, 0)


def memory_budget(memory_mb: float) -> ReceiveBudget:
    """Return the budget of a process on a machine with so much memory."""
    return ReceiveBudget(int(memory_mb * BYTES_PER_MB * MEMORY_FRACTION))
