"""Callers' requests and endpoints' replies on the routed path."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .http1.messages import Request, Response


_DIGEST_SIZE_BYTES = 8


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """Hold a caller's request; `head` is its encoded head without the headers set by attempt."""

    request_id: str
    host: str
    path: str
    time_left_ms: float | None
    head: bytes
    body: bytes
    request: Request
    # Identifies the content: requests with the same digest ask for the same work.
    digest: str


@dataclass(frozen=True, slots=True)
class EndpointReply:
    """Hold an endpoint's reply and its receipt."""

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
    """Describe why a request cannot be routed."""

    detail: str


def request_digest(request: Request, host: bytes) -> str:
    """Return a digest of a request's content, independent of its sender and its id."""
    parts = (request.method, host, request.target, request.body)
    return hashlib.blake2b(b'\0'.join(parts), digest_size=_DIGEST_SIZE_BYTES).hexdigest()
