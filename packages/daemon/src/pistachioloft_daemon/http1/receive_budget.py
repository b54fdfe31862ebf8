"""A limit on the bytes that clients and endpoints make a process hold over all connections."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

# Fraction of the machine's memory for messages. Joining the parts of a body needs as much again.
MEMORY_FRACTION = 0.25
# What the process itself needs, 20 to 60 MB, is left to it on small machines too, as long as this
# smaller fraction remains.
PROCESS_BYTES = 60_000_000
SMALLEST_FRACTION = 0.125
BYTES_PER_MB = 1_000_000
# Memory of a stored header beside its bytes: a tuple, two objects and their place in a list.
HEADER_OBJECT_BYTES = 200
# Memory of a request that waits behind others on its connection, beside its bytes and headers.
REQUEST_OBJECT_BYTES = 400
# A message that grew or shrank by this much has made progress; single bytes are none.
PROGRESS_BYTES = 4_096
# Added to the time without progress, so that the size counts among messages that just came.
LEAST_AGE_S = 0.1
# The message itself, and a part of it on its way to an endpoint or to another instance.
MESSAGE_COPY_COUNT = 2
# As many of these as may be in flight take a few megabytes.
SMALL_BODY_BYTES = 4_096


class Receiver(Protocol):
    """Hold bytes of a message until it is finished or read."""

    # Whether a message that stands still is the likeliest never to end. Requests of callers are
    # short and come whole; of replies, the longest is, since an endpoint may send without end.
    is_from_caller: bool

    def shed(self) -> None:
        """Discard the message."""


class _Held:
    """Hold a receiver's bytes, and when and at how many it last made progress."""

    __slots__ = ('held_bytes', 'marked_bytes', 'marked_s')

    def __init__(self, held_bytes: int, now_s: float) -> None:
        self.held_bytes = self.marked_bytes = held_bytes
        self.marked_s = now_s


class ReceiveBudget:
    """Count the bytes that are held, and shed large messages without progress past the limit."""

    def __init__(self, limit_bytes: int, clock: Callable[[], float] = time.monotonic) -> None:
        self.limit_bytes = limit_bytes
        self.clock = clock
        self.total_bytes = 0
        # Of whole requests, which are refused before they are accepted and not shed later.
        self.reserved_bytes = 0
        self._held: dict[Receiver, _Held] = {}
        # Bytes held for replies and for callers.
        self._held_bytes = {False: 0, True: 0}
        # For each of these, receivers of about the same size, by the number of bits of it; the one
        # whose progress is the longest ago is about the first. Choosing among the first ones does
        # not depend on the number of callers.
        self._by_size: dict[bool, dict[int, dict[Receiver, None]]] = {False: {}, True: {}}

    def set_held_bytes(self, receiver: Receiver, held_bytes: int) -> None:
        """Record how many bytes a connection holds now, and shed messages past the limit."""
        self.record_held_bytes(receiver, held_bytes)
        self._shed_past(self.limit_bytes)

    def record_held_bytes(self, receiver: Receiver, held_bytes: int) -> None:
        """Record how many bytes a connection holds now; others are shed at the next change."""
        held = self._held.get(receiver)
        if held is None:
            held = self._held[receiver] = _Held(held_bytes, self.clock())
            self._add(receiver, held_bytes)
            self._group(receiver, held_bytes)[receiver] = None
            return
        self._add(receiver, held_bytes - held.held_bytes)
        old_bytes, held.held_bytes = held.held_bytes, held_bytes
        progressed = abs(held_bytes - held.marked_bytes) >= PROGRESS_BYTES
        if progressed:
            held.marked_bytes, held.marked_s = held_bytes, self.clock()
        if progressed or held_bytes.bit_length() != old_bytes.bit_length():
            del self._group(receiver, old_bytes)[receiver]
            self._group(receiver, held_bytes)[receiver] = None

    def release(self, receiver: Receiver) -> None:
        """Record that a connection holds nothing any more."""
        held = self._held.pop(receiver, None)
        if held is not None:
            self._add(receiver, -held.held_bytes)
            del self._group(receiver, held.held_bytes)[receiver]

    def has_room(self, size_bytes: int) -> bool:
        """Return whether a whole request fits beside the others, in place of unfinished ones."""
        return self.reserved_bytes + size_bytes <= self.limit_bytes

    def reserve(self, size_bytes: int) -> bool:
        """Reserve bytes for a whole request, if need be in place of unfinished ones."""
        if not self.has_room(size_bytes):
            return False
        self._shed_past(self.limit_bytes - size_bytes)
        self.reserved_bytes += size_bytes
        self.total_bytes += size_bytes
        return True

    def free(self, size_bytes: int) -> None:
        """Free reserved bytes."""
        self.reserved_bytes -= size_bytes
        self.total_bytes -= size_bytes

    def _shed_past(self, limit_bytes: int) -> None:
        while self.total_bytes > limit_bytes and self._held:
            receiver = self._choose()
            self.release(receiver)
            receiver.shed()

    def _choose(self) -> Receiver:
        """Return the message that is the likeliest never to end, of the kind that holds most."""
        of_callers = self._held_bytes[True] >= self._held_bytes[False]
        groups = {size: each for size, each in self._by_size[of_callers].items() if each}
        if not of_callers:
            largest_ones = groups[max(groups)]
            return max(largest_ones, key=lambda receiver: self._held[receiver].held_bytes)
        now_s = self.clock()

        def weight(receiver: Receiver) -> float:
            held = self._held[receiver]
            return held.held_bytes * (now_s - held.marked_s + LEAST_AGE_S)

        return max((next(iter(group)) for group in groups.values()), key=weight)

    def _group(self, receiver: Receiver, held_bytes: int) -> dict[Receiver, None]:
        groups = self._by_size[receiver.is_from_caller]
        return groups.setdefault(held_bytes.bit_length(), {})

    def _add(self, receiver: Receiver, size_bytes: int) -> None:
        self.total_bytes += size_bytes
        self._held_bytes[receiver.is_from_caller] += size_bytes


def message_cost_bytes(head: bytes, body: bytes) -> int:
    """Return what a request in flight takes for its message; small ones do not count."""
    size_bytes = len(head) + len(body)
    return MESSAGE_COPY_COUNT * size_bytes if size_bytes > SMALL_BODY_BYTES else 0


def memory_budget(memory_mb: float) -> ReceiveBudget:
    """Return the budget of a process on a machine with the given memory."""
    memory_bytes = memory_mb * BYTES_PER_MB
    spare_bytes = (memory_bytes - PROCESS_BYTES) / 2
    limit_bytes = min(MEMORY_FRACTION * memory_bytes, spare_bytes)
    return ReceiveBudget(int(max(SMALLEST_FRACTION * memory_bytes, limit_bytes)))
