"""Routes accepted by operators: the services that answer requests, and the rules for that."""

from __future__ import annotations

from dataclasses import dataclass


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


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """Describe the health check and the connection limit of a service's endpoints."""

    service: str
    health_path: str
    connection_limit: int


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
