"""View of an endpoint for the planning of requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages.endpoint import Holding


@dataclass(frozen=True, slots=True)
class EndpointView:
    """Describe a usable endpoint; its owner observed the counts and the latency."""

    endpoint: str
    incarnation: int
    service: str
    failure_domain: str
    owner: str
    holdings: tuple[Holding, ...]
    slot_count: int
    reported_slots_in_use: int
    in_flight_count: int
    queue_length: int
    latency_ms: float
