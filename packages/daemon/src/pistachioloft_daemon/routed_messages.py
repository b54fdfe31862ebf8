"""Callers' requests and endpoints' replies on the routed path."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pistachioloft_core.messages.routes import Organisation, Route

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
    request: Request = field(repr=False)
    # Identifies the content: requests with the same digest ask for the same work.
    digest: str
    # Identifies the caller's organisation; a secret that goes to no endpoint, log or instance.
    key: str | None = field(default=None, repr=False)
    # The headers by which callers identify themselves, which are not part of `head`.
    identity_head: bytes = field(default=b'', repr=False)
    # Set once the key is checked; empty for a request without an organisation.
    organisation: str = ''


@dataclass(frozen=True, slots=True)
class AcceptedRequest:
    """Hold a request with its route and its organisation; priority 0 is the highest."""

    routed: RoutedRequest
    route: Route
    priority: int
    organisation: Organisation | None


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
    return _digest(request.method, host, request.target, request.body)


def organisation_digest(digest: str, organisation: str) -> str:
    """Return a digest that also identifies the organisation that sends the content."""
    return _digest(digest.encode(), organisation.encode())


def _digest(*parts: bytes) -> str:
    return hashlib.blake2b(b'\0'.join(parts), digest_size=_DIGEST_SIZE_BYTES).hexdigest()
