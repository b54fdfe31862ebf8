"""Messages by which one entry instance asks for shards through another."""

from __future__ import annotations

from msgspec import Struct


class RelayRequest(Struct, frozen=True, array_like=True):
    """Ask an instance to get the replies of some shards of a query and to merge them."""

    relay_id: str
    route: str
    request_id: str
    # The encoded request without the headers that differ by endpoint.
    head: bytes
    body: bytes
    # Names the content of the request.
    digest: str
    suspected: bool
    time_left_ms: float
    # After this time, what has come is sent without waiting for the rest.
    flush_after_ms: float
    top_count: int
    services: tuple[str, ...]


class RelayedReply(Struct, frozen=True, array_like=True):
    """Name a shard's service that has answered, and the receipt of its reply."""

    service: str
    receipt: bytes


class RelayResults(Struct, frozen=True, array_like=True):
    """Give the shards that answered since the last results, and their greatest records."""

    relay_id: str
    replies: tuple[RelayedReply, ...]
    records: bytes
    # How long the helper had the group when it sent this.
    held_ms: float
    # Nothing more follows: the shards that were not named get no reply.
    done: bool = False
    # The helper has sent nothing to any endpoint and never will.
    refused: bool = False


class RelayTried(Struct, frozen=True, array_like=True):
    """Tell that a shard of a group was sent to a second endpoint."""

    relay_id: str
    service: str


class RelayCancel(Struct, frozen=True, array_like=True):
    """Withdraw a group whose replies are no longer needed."""

    relay_id: str
