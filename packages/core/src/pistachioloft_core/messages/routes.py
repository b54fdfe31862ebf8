"""Routes that operators accept: which services answer which requests, and how."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Name one service of a route and its share of the requests."""

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
    """Describe what the endpoints of one service allow."""

    service: str
    health_path: str
    connection_limit: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what a caller may send on a connection, and how slowly."""

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
