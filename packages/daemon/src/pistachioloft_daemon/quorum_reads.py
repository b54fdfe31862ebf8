"""Confirm with the leader which index a read of the accepted state must reach."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pistachioloft_core.messages.fleet import ReadReply, ReadRequest

from .loop_timers import monotonic_ms

if TYPE_CHECKING:
    from .voter import Voter

# A read that takes longer is answered elsewhere: its sender waits for a second.
READ_TIMEOUT_MS = 900.0
RESEND_MS = 150.0
WAITING_LIMIT_COUNT = 1_024

# Told whether the accepted state here is the newest that was accepted before the read.
ReadDone = Callable[[bool], None]


@dataclass(frozen=True, slots=True)
class _Waiting:
    callback: ReadDone
    deadline_ms: float
    resend_at_ms: float
    index: int | None = None


class QuorumReads:
    """Hold the reads of this instance that wait for a confirmation."""

    def __init__(
        self, instance: str, leader: Callable[[], str | None], send: Callable[[str, object], bool]
    ) -> None:
        self.instance = instance
        self.leader = leader
        self.send = send
        self.voter: Voter | None = None
        self.waiting: dict[int, _Waiting] = {}
        self.number = 0

    def confirm(self, callback: ReadDone) -> None:
        """Call back once the state here is confirmed, or could not be in time."""
        if len(self.waiting) >= WAITING_LIMIT_COUNT:
            callback(False)
            return
        now_ms = monotonic_ms()
        self.number += 1
        self.waiting[self.number] = _Waiting(callback, now_ms + READ_TIMEOUT_MS, now_ms)
        self._ask(self.number, now_ms)

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
        """Note the index that the read must reach."""
        waiting = self.waiting.get(reply.read_id)
        if waiting is None or reply.index is None:
            return
        self.waiting[reply.read_id] = _Waiting(
            waiting.callback, waiting.deadline_ms, float('inf'), reply.index
        )
        self.tick(monotonic_ms())

    def tick(self, now_ms: float) -> None:
        """End the reads that are confirmed or late and repeat the questions."""
        applied = self.voter.applied_index if self.voter is not None else -1
        for read_id, waiting in list(self.waiting.items()):
            if waiting.index is not None and applied >= waiting.index:
                del self.waiting[read_id]
                waiting.callback(True)
            elif now_ms >= waiting.deadline_ms:
                del self.waiting[read_id]
                waiting.callback(False)
            elif now_ms >= waiting.resend_at_ms:
                self._ask(read_id, now_ms)

    def _ask(self, read_id: int, now_ms: float) -> None:
        waiting = self.waiting[read_id]
        self.waiting[read_id] = _Waiting(
            waiting.callback, waiting.deadline_ms, now_ms + RESEND_MS, waiting.index
        )
        leader = self.leader()
        if leader is not None:
            self.send(leader, ReadRequest(read_id))
