"""Service times and faults that a stand-in searcher simulates."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Behaviour:
    """Configure the service time and the faults of one stand-in searcher."""

    service_ms: float = 5.0
    straggle_share: float = 0.0
    straggle_factor: float = 10.0
    connect_ms: float = 0.0
    cold_ms: float = 0.0
    shed: bool = False
    crash_on: str = ''
    swapped_reply_share: float = 0.0
    late_reply_ms: float = 0.0
    silent_connection_count: int = 0
    reported_slots_in_use: int = -1
    wrong_version_share: float = 0.0
