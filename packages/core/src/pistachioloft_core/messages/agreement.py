"""Messages and records of consensus."""

from __future__ import annotations

from dataclasses import dataclass

ENTRY_COMMAND = 'command'
ENTRY_MEMBERSHIP = 'membership'
ENTRY_NOOP = 'noop'


@dataclass(frozen=True, slots=True)
class HardState:
    """Hold the state that a voter must persist before it replies."""

    term: int
    voted_for: str | None


@dataclass(frozen=True, slots=True)
class Membership:
    """List the members of the group."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LogEntry:
    """Hold one entry of the replicated log."""

    term: int
    index: int
    kind: str
    time_ms: int
    payload: bytes = b''
    membership: Membership | None = None


@dataclass(frozen=True, slots=True)
class SnapshotMeta:
    """Identify the last log position and the membership that a snapshot covers."""

    term: int
    index: int
    membership: Membership


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Request a vote, or with `pre_vote` ask whether one would be granted."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False
    membership_index: int = 0
    # Every voter reported that it does not lead and has had no contact with a leader since it
    # started.
    unanimous: bool = False
    # Echoed in the reply, which is thereby known to be newer than the request.
    round_id: int = 0


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Reply to a vote request."""

    term: int
    voter: str
    granted: bool
    pre_vote: bool
    # Refused only because this voter started too recently to rule out a leader.
    restarted: bool = False
    round_id: int = 0


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Replicate entries or send a heartbeat."""

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    heartbeat_id: int


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Reply to an append request."""

    term: int
    member: str
    success: bool
    match_index: int
    heartbeat_id: int


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Carry a part of a snapshot."""

    term: int
    leader: str
    meta: SnapshotMeta
    offset_bytes: int
    total_bytes: int
    data: bytes


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """Confirm the part of a snapshot that was received."""

    term: int
    member: str
    index: int
    received_bytes: int


@dataclass(frozen=True, slots=True)
class TimeoutNow:
    """Ask the most up-to-date follower to start an election at once."""

    term: int
    leader: str


AgreementMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TimeoutNow
)
