"""A limit on the bytes of unfinished messages over all connections of a process."""

from __future__ import annotations

from typing import Protocol

# Fraction of the machine's memory for unfinished messages. Joining the parts of a body needs as
# much again, and the process itself needs 20 to 60 MB.
MEMORY_FRACTION = 0.25
BYTES_PER_MB = 1_000_000
# Memory of a stored header beside its bytes: a tuple, two objects and their place in a list.
HEADER_OBJECT_BYTES = 200


class Receiver(Protocol):
    """Receive a message and hold its bytes until it is finished."""

    def shed(self) -> None:
        """Discard the unfinished message."""


class ReceiveBudget:
    """Count the bytes that each connection holds, and shed the largest message past the limit."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self._held_bytes: dict[Receiver, int] = {}

    def set_held_bytes(self, receiver: Receiver, held_bytes: int) -> None:
        """Record how many bytes a connection holds now."""
        self.total_bytes += held_bytes - self._held_bytes.get(receiver, 0)
        self._held_bytes[receiver] = held_bytes
        while self.total_bytes > self.limit_bytes:
            # Valid messages are short; the longest is the likeliest never to end.
            largest = max(self._held_bytes, key=lambda candidate: self._held_bytes[candidate])
            self.release(largest)
            largest.shed()

    def release(self, receiver: Receiver) -> None:
        """Record that a connection holds nothing any more."""
        self.total_bytes -= self._held_bytes.pop(receiver, 0)


def memory_budget(memory_mb: float) -> ReceiveBudget:
    """Return the budget of a process on a machine with the given memory."""
    return ReceiveBudget(int(memory_mb * BYTES_PER_MB * MEMORY_FRACTION))
