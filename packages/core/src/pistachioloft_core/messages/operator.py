"""Messages between operators and instances."""

from __future__ import annotations

from dataclasses import dataclass

from ..errors import ResultCode
from .accepted import AcceptedConfiguration, HistoryEntry

STATE_IN_FORCE = 'in_force'
STATE_BEHIND = 'behind'
STATE_FENCED = 'fenced'
STATE_UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class InstanceForce:
    """Describe the configuration that one instance has in force."""

    instance: str
    state: str
    index: int
    digest: str


@dataclass(frozen=True, slots=True)
class InForceReport:
    """List the instances and whether an accepted configuration is in force there."""

    index: int
    digest: str
    everywhere: bool
    instances: tuple[InstanceForce, ...]
    elapsed_ms: int | None = None


@dataclass(frozen=True, slots=True)
class OperatorReply:
    """Reply to a change by an operator."""

    result_code: ResultCode
    detail: str
    accepted_index: int = 0
    mistakes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """Describe an endpoint in the view of this instance."""

    endpoint: str
    service: str
    failure_domain: str
    address: str
    owner: str
    draining: bool
    usable: bool
    age_ms: float
    in_flight_count: int
    queue_length: int
    latency_ms: float


@dataclass(frozen=True, slots=True)
class VoterStatus:
    """Describe the voter group in the view of this instance."""

    leader: str | None
    term: int
    commit_index: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    can_lose_count: int | None


@dataclass(frozen=True, slots=True)
class StatusReply:
    """Describe the system in the view of one instance."""

    instance: str
    failure_domain: str
    serving: bool
    stopping: bool
    accepted_index: int
    accepted_digest: str
    in_force: InForceReport | None
    voters: VoterStatus | None
    live_instances: tuple[str, ...]
    endpoints: tuple[EndpointStatus, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigReply:
    """Carry the configuration in force at an instance."""

    accepted: AcceptedConfiguration


@dataclass(frozen=True, slots=True)
class HistoryReply:
    """List the newest accepted submissions."""

    entries: tuple[HistoryEntry, ...]
