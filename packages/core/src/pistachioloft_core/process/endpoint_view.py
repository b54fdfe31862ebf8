"""What request planning sees of an endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages.endpoint import Holding


@dataclass(frozen=True, slots=True)
class EndpointView:
    """Describe a usable endpoint; counts and latency are those its owner observed."""

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
