"""Messages between instances, apart from consensus."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .accepted import (
    AcceptedConfiguration,
    HistoryEntry,
)
from .crash import CrashReport, SuccessReport
from .endpoint import Announcement, ShardRows
from .operator import InForceReport, VoterStatus

OUTCOME_OK = 'ok'
OUTCOME_NOT_STARTED = 'not_started'
OUTCOME_UNKNOWN = 'unknown'
OUTCOME_FAILED = 'failed'
# The receiver no longer owns the endpoint; the attempt may be sent to the new owner.
DETAIL_NOT_OWNED = 'not_owned'


@dataclass(frozen=True, slots=True)
class Attempt:
    """Ask the owner of an endpoint to send it one sub-request."""

    attempt_id: str
    origin: str
    endpoint: str
    kind: str
    caller: str
    collection: str
    version: int
    shards: tuple[str, ...]
    body: Any
    content_digest: str
    time_left_ms: float
    urgent: bool = False
    hedge: bool = False
    idempotency_key: str | None = None
    forwarded: bool = False


@dataclass(frozen=True, slots=True)
class AttemptBatch:
    """Carry attempts to the owner of their endpoints."""

    attempts: tuple[Attempt, ...]


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Report the result of an attempt to its origin; `outcome` is an OUTCOME_ constant."""

    attempt_id: str
    endpoint: str
    outcome: str
    detail: str = ''
    collection: str = ''
    version: int = 0
    results: tuple[ShardRows, ...] = ()
    reply: Any = None
    queue_wait_ms: float = 0.0
    service_ms: float = 0.0
    in_flight_count: int = 0
    queue_length: int = 0
    draining: bool = False
    crashed: bool = False
    retry_after_ms: int | None = None
    handed_over: bool = True


@dataclass(frozen=True, slots=True)
class AttemptResults:
    """Carry results to the origin of their attempts."""

    results: tuple[AttemptResult, ...]


@dataclass(frozen=True, slots=True)
class CancelAttempts:
    """Cancel attempts whose result is no longer needed."""

    attempt_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Poll:
    """Ask the leader to confirm the configuration in force at an instance."""

    poll_id: int
    instance: str
    incarnation: int
    index: int
    digest: str
    serving: bool


@dataclass(frozen=True, slots=True)
class PollReply:
    """Confirm the accepted configuration, with its content if it is newer."""

    poll_id: int
    granted: bool
    term: int
    index: int
    lease_ms: int
    accepted: AcceptedConfiguration | None = None
    leader_hint: str | None = None


@dataclass(frozen=True, slots=True)
class ChangeHint:
    """Notify an instance that a newer configuration was accepted."""

    index: int


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """Carry one endpoint's soft state; ages are as of the sending of the message."""

    announcement: Announcement
    owner: str
    owner_epoch: int
    age_ms: float
    in_flight_count: int = 0
    queue_length: int = 0
    latency_ms: float = 0.0
    observation_sequence: int = 0


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """Carry one instance's soft state."""

    instance: str
    incarnation: int
    sequence: int
    failure_domain: str
    caller_address: str
    peer_address: str
    entry: bool
    stopping: bool
    serving: bool
    age_ms: float
    accepted_index: int = 0
    member: str = ''


@dataclass(frozen=True, slots=True)
class SoftStatePull:
    """Ask a peer for the soft state that changed since one of its revisions."""

    pull_id: int
    since_revision: int
    peer_incarnation: int
    direct_peers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SoftStateReply:
    """Reply to a pull."""

    pull_id: int
    incarnation: int
    revision: int
    endpoints: tuple[EndpointRecord, ...]
    instances: tuple[InstanceRecord, ...]
    crashes: tuple[CrashReport, ...] = ()
    successes: tuple[SuccessReport, ...] = ()
    more: bool = False


@dataclass(frozen=True, slots=True)
class RelayAnnouncement:
    """Forward an announcement to the owner of the endpoint."""

    announcement: Announcement
    owner_epoch: int


@dataclass(frozen=True, slots=True)
class InForceRequest:
    """Ask the leader where an accepted configuration is in force."""

    request_id: str
    index: int
    with_history: bool = False


@dataclass(frozen=True, slots=True)
class InForceReply:
    """Carry the leader's report; without a report the sender does not lead."""

    request_id: str
    report: InForceReport | None
    voters: VoterStatus | None
    history: tuple[HistoryEntry, ...] = ()
    leader_hint: str | None = None
