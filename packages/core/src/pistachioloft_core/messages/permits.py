"""Messages by which instances share the limit that an endpoint states for all of them."""

from __future__ import annotations

from msgspec import Struct


class PermitRequest(Struct, frozen=True, array_like=True):
    """Ask the grantor of an endpoint for permits, each for one request to it."""

    endpoint: str
    born_ms: int
    limit_per_s: float
    # Time since the limit was stated, by which the grantor knows the newest statement.
    stated_age_ms: float
    count: int
    # The sender gets no reply from the first grantor, which may still serve other instances.
    is_substitute: bool = False
    # An earlier request to this grantor remained without a reply.
    reply_overdue: bool = False


class PermitGrant(Struct, frozen=True, array_like=True):
    """Grant permits that can be used after the given delays; without any, ask again later."""

    endpoint: str
    born_ms: int
    delays_ms: tuple[float, ...]
    retry_after_ms: float = 0.0
