"""Requests of callers and replies of endpoints as the routed path carries them."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .http1.messages import Request, Response


_DIGEST_SIZE_BYTES = 8


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
    # Names the content: requests with the same digest ask for the same work.
    digest: str


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
class UnreadableRequest:
    """Tell why a request cannot be routed."""

    detail: str


def request_digest(request: Request, host: bytes) -> str:
    """Name the content of a request, whoever sends it and under whichever id."""
    parts = (request.method, host, request.target, request.body)
    return hashlib.blake2b(b'\0'.join(parts), digest_size=_DIGEST_SIZE_BYTES).hexdigest()
