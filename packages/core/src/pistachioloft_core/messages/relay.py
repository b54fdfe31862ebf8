"""Messages by which one entry instance sends attempts through another."""

from __future__ import annotations

from msgspec import Struct


class RelayedAttempt(Struct, frozen=True, array_like=True):
    """Name one attempt and the endpoint that it is for."""

    attempt_id: str
    endpoint: str


class RelayRequest(Struct, frozen=True, array_like=True):
    """Ask an instance near some endpoints to send them a request and to merge their replies."""

    relay_id: str
    route: str
    request_id: str
    # The encoded request without the headers that differ by endpoint.
    head: bytes
    body: bytes
    time_left_ms: float
    # After this time, what has come is sent without waiting for the rest.
    gather_ms: float
    top_count: int
    attempts: tuple[RelayedAttempt, ...]


class RelayedEnd(Struct, frozen=True, array_like=True):
    """Tell how one attempt ended; `ended` is the value of an `Ended`."""

    attempt_id: str
    ended: str
    detail: str
    receipt: bytes
    latency_ms: float
    absent: bool = False
    # Running, waiting and slots, as the endpoint reported them.
    load: tuple[int, int, int] | None = None


class RelayResults(Struct, frozen=True, array_like=True):
    """Give the ends of some attempts and the greatest records of those that were answered."""

    relay_id: str
    ends: tuple[RelayedEnd, ...]
    records: bytes
    # How long the helper had the group when it sent this.
    held_ms: float


class RelayCancel(Struct, frozen=True, array_like=True):
    """Withdraw attempts whose replies are no longer needed."""

    attempt_ids: tuple[str, ...]
