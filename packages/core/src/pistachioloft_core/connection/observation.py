"""What an owner observed of an endpoint."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EndpointObservation:
    """Carry an owner's own view of an endpoint's load."""

    endpoint: str
    incarnation: int
    in_flight_count: int
    queue_length: int
    latency_ms: float
