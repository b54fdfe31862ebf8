"""Observation of an endpoint by its owner."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EndpointObservation:
    """Carry the load and the latency of an endpoint, as its owner observed them."""

    endpoint: str
    incarnation: int
    in_flight_count: int
    queue_length: int
    latency_ms: float
