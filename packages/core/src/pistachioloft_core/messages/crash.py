"""Reports on requests that were in flight when endpoints crashed."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Report a request that was in flight when an endpoint crashed."""

    caller: str
    content_digest: str
    endpoint: str
    incarnation: int
    age_ms: float
    failure_domain: str = ''


@dataclass(frozen=True, slots=True)
class SuccessReport:
    """Report that a suspected request completed on an endpoint."""

    caller: str
    content_digest: str
    age_ms: float
