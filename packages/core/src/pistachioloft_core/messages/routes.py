"""Routes and organisations accepted by operators, and the rules for their requests."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Describe one service of a route and its share of the requests."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Gather:
    """Describe a query that every shard answers and whose best records are merged."""

    shards: tuple[str, ...]
    top_count: int
    coverage_floor: float


@dataclass(frozen=True, slots=True)
class Route:
    """Describe the requests of one host and path prefix; priority 0 is the highest."""

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    time_limit_ms: float
    latency_target_ms: float
    priority: int
    attempt_limit: int
    services: tuple[WeightedService, ...] = ()
    gather: Gather | None = None
    # Requests on this route need no key.
    public: bool = False
    # Where its requests may be handled; empty for everywhere.
    regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Organisation:
    """Describe the callers that share a name, an allotment and the keys by which they are known."""

    name: str
    # Secrets, so they are left out of the representation.
    keys: tuple[str, ...] = field(default=(), repr=False)
    # Goes before the priority of the route; None leaves the route's.
    priority: int | None = None
    # Requests that all instances together admit; a rate of 0 is no limit.
    rate_per_s: float = 0.0
    burst_count: float = 0.0
    regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """Describe the health check and the connection limit of a service's endpoints."""

    service: str
    health_path: str
    connection_limit: int
    # An endpoint is cold for this long after its start, and takes this rate meanwhile; 0 is none.
    cold_start_ms: float = 0.0
    cold_rate_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limit the sizes and the times of a caller's requests on a connection."""

    header_limit_bytes: int = 16_384
    body_limit_bytes: int = 262_144
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


DEFAULT_LIMITS = CallerLimits()


@dataclass(frozen=True, slots=True)
class RouteSet:
    """Hold all routes of one version; the highest accepted version is in force."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceRule, ...]
    limits: CallerLimits = DEFAULT_LIMITS
    # Without any, requests need no key.
    organisations: tuple[Organisation, ...] = ()
