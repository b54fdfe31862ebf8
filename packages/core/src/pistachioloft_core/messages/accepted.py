"""Accepted configuration and the commands of the replicated state machine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..errors import ResultCode


@dataclass(frozen=True, slots=True)
class InstanceEntry:
    """Describe one instance of the inventory."""

    instance: str
    failure_domain: str
    caller_address: str
    peer_address: str
    voter: bool = False


@dataclass(frozen=True, slots=True)
class ServiceEntry:
    """Describe one service of the inventory."""

    service: str


@dataclass(frozen=True, slots=True)
class CallerEntry:
    """Describe one caller and the priority that the rules give it."""

    caller: str
    priority: str = 'routine'


@dataclass(frozen=True, slots=True)
class ShardEntry:
    """Assign one shard to the service that serves it."""

    shard: str
    service: str


@dataclass(frozen=True, slots=True)
class VersionEntry:
    """Describe the partition map of one version."""

    version: int
    shards: tuple[ShardEntry, ...]


@dataclass(frozen=True, slots=True)
class CollectionEntry:
    """List the versions of a collection that may be served."""

    collection: str
    versions: tuple[VersionEntry, ...]


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold what operators accepted: inventory, rules and partition maps."""

    instances: tuple[InstanceEntry, ...] = ()
    services: tuple[ServiceEntry, ...] = ()
    callers: tuple[CallerEntry, ...] = ()
    collections: tuple[CollectionEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class AcceptedConfiguration:
    """Hold an accepted configuration with its log position and the drained instances."""

    term: int
    index: int
    digest: str
    configuration: Configuration
    draining_instances: tuple[str, ...] = ()
    removed_instances: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SubmitConfiguration:
    """Replace the configuration if `base_index` is still the accepted one."""

    command_id: str
    base_index: int
    configuration: Configuration
    operator: str
    note: str = ''


@dataclass(frozen=True, slots=True)
class DrainInstance:
    """Remove an instance from the addresses given to callers, or restore it."""

    command_id: str
    instance: str
    draining: bool
    operator: str


@dataclass(frozen=True, slots=True)
class OpenClaim:
    """Claim an idempotency key before a command is dispatched."""

    caller: str
    idempotency_key: str
    key_issued_at_ms: int
    content_digest: str
    attempt_id: str
    holder: str


@dataclass(frozen=True, slots=True)
class CloseClaim:
    """Record that a claimed command ran, or release the claim as not run."""

    caller: str
    idempotency_key: str
    attempt_id: str
    ran: bool
    outcome: Any = None


@dataclass(frozen=True, slots=True)
class AcceptedRoutes:
    """Hold the newest set of routes: its version and the document that describes it."""

    version: int = 0
    document: bytes = b''
    index: int = 0


@dataclass(frozen=True, slots=True)
class AcceptRoutes:
    """Put a set of routes in force if its version is higher than the accepted one."""

    version: int
    document: bytes


@dataclass(frozen=True, slots=True)
class AcceptedEvacuations:
    """Hold the evacuated failure domains and the log index of their last change."""

    index: int = 0
    failure_domains: tuple[str, ...] = ()


NO_EVACUATIONS = AcceptedEvacuations()


@dataclass(frozen=True, slots=True)
class SetEvacuation:
    """Evacuate a failure domain, or withdraw that, unless changed after `base_index`."""

    failure_domain: str
    evacuated: bool
    base_index: int


@dataclass(frozen=True, slots=True)
class NoOperation:
    """Commit an entry of the new term without any effect on the state."""


AcceptedCommand = (
    SubmitConfiguration
    | DrainInstance
    | OpenClaim
    | CloseClaim
    | AcceptRoutes
    | NoOperation
    | SetEvacuation
)

CLAIM_GRANTED = 'granted'
CLAIM_REPEATED = 'repeated'
CLAIM_PENDING = 'pending'
CLAIM_EXPIRED = 'expired'
CLAIM_KEY_REUSED = 'key_reused'
CLAIM_CLOSED = 'closed'
CLAIM_RELEASED = 'released'
CLAIM_NOT_HELD = 'not_held'
CLAIM_TABLE_FULL = 'table_full'
CLAIM_TOO_LARGE = 'too_large'


@dataclass(frozen=True, slots=True)
class CommandOutcome:
    """Carry the outcome of one command of the state machine."""

    result_code: ResultCode
    detail: str = ''
    accepted_index: int = 0
    repeated: bool = False
    claim_result: str = ''
    claim_outcome: Any = None
    claim_outcome_stored: bool = False


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """Describe one accepted submission."""

    index: int
    term: int
    digest: str
    operator: str
    note: str
    time_ms: int
