"""Confirm with the leader the index that a read of the accepted state must reach."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pistachioloft_core.messages.fleet import ReadReply, ReadRequest

from .loop_timers import monotonic_ms

if TYPE_CHECKING:
    from .voter import Voter

# The sender of a read waits for a second; after this timeout it can still call another instance.
READ_TIMEOUT_MS = 900.0
RESEND_MS = 150.0
PENDING_LIMIT_COUNT = 1_024

# Called with whether the accepted state here includes all that was accepted before the read.
ReadDone = Callable[[bool], None]


@dataclass(frozen=True, slots=True)
class _PendingRead:
    callback: ReadDone
    deadline_ms: float
    resend_at_ms: float
    index: int | None = None


class QuorumReads:
    """Hold the reads of this instance that are pending confirmation."""

    def __init__(
        self, instance: str, leader: Callable[[], str | None], send: Callable[[str, object], bool]
    ) -> None:
        self.instance = instance
        self.leader = leader
        self.send = send
        self.voter: Voter | None = None
        self.pending: dict[int, _PendingRead] = {}
        self.number = 0

    def confirm(self, callback: ReadDone) -> None:
        """Call back once the state here is confirmed or the read has timed out."""
        if len(self.pending) >= PENDING_LIMIT_COUNT:
            callback(False)
            return
        now_ms = monotonic_ms()
        self.number += 1
        self.pending[self.number] = _PendingRead(callback, now_ms + READ_TIMEOUT_MS, now_ms)
        self._send_request(self.number, now_ms)

    def on_request(self, sender: str, request: ReadRequest) -> None:
        """Answer another instance's read if this one leads."""
        voter = self.voter

        def reply(index: int | None) -> None:
            self.send(sender, ReadReply(request.read_id, index, self.leader()))

        if voter is None:
            reply(None)
        else:
            voter.read(reply)

    def on_reply(self, reply: ReadReply) -> None:
        """Record the index that the read must reach."""
        pending = self.pending.get(reply.read_id)
        if pending is None or reply.index is None:
            return
        self.pending[reply.read_id] = _PendingRead(
            pending.callback, pending.deadline_ms, float('inf'), reply.index
        )
        self.tick(monotonic_ms())

    def tick(self, now_ms: float) -> None:
        """End the reads that are confirmed or timed out and resend the other requests."""
        last_applied = self.voter.applied_index if self.voter is not None else -1
        for read_id, pending in list(self.pending.items()):
            if pending.index is not None and last_applied >= pending.index:
                del self.pending[read_id]
                pending.callback(True)
            elif now_ms >= pending.deadline_ms:
                del self.pending[read_id]
                pending.callback(False)
            elif now_ms >= pending.resend_at_ms:
                self._send_request(read_id, now_ms)

    def _send_request(self, read_id: int, now_ms: float) -> None:
        pending = self.pending[read_id]
        self.pending[read_id] = _PendingRead(
            pending.callback, pending.deadline_ms, now_ms + RESEND_MS, pending.index
        )
        leader = self.leader()
        if leader is not None:
            self.send(leader, ReadRequest(read_id))
