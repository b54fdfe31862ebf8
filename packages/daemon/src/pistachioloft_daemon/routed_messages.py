"""Requests of callers and replies of endpoints as the routed path carries them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .http1.messages import Request, Response


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """Hold one request of a caller; `head` is its encoded start without the own headers."""

    request_id: str
    host: str
    path: str
    time_left_ms: float | None
    head: bytes
    body: bytes
    request: Request


@dataclass(frozen=True, slots=True)
class EndpointReply:
    """Hold an endpoint's whole reply and its receipt."""

    receipt: bytes
    response: Response


@dataclass(frozen=True, slots=True)
class MergedReply:
    """Hold the merged replies of shards with their receipts."""

    receipts: tuple[bytes, ...]
    missing_count: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Tell why a request cannot be routed."""

    detail: str
