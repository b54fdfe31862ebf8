"""Messages by which an entry instance delegates shards, or passes requests on, to a helper."""

from __future__ import annotations

from msgspec import Struct


class RelayRequest(Struct, frozen=True, array_like=True):
    """Ask a helper to query some shards and to merge their replies."""

    relay_id: str
    route: str
    request_id: str
    # Encoded head of the request, without the headers that differ by endpoint.
    head: bytes
    body: bytes
    # Identifies the content of the request.
    digest: str
    suspected: bool
    time_left_ms: float
    # Time after which the replies received so far are sent without waiting for the others.
    flush_after_ms: float
    top_count: int
    services: tuple[str, ...]
    # The name and the priority of the organisation; no priority leaves the route's.
    organisation: str = ''
    priority: int | None = None


class RelayedReply(Struct, frozen=True, array_like=True):
    """Carry a service of a shard that has replied, and the receipt of its reply."""

    service: str
    receipt: bytes
    # Queue wait at the endpoint; an instance that delegates has no load reports of its own.
    queue_wait_ms: int = 0


class RelayResults(Struct, frozen=True, array_like=True):
    """Carry the shards that replied since the last results, and their top records."""

    relay_id: str
    replies: tuple[RelayedReply, ...]
    records: bytes
    # Time from the receipt of the group at the helper to the sending of these results.
    processing_ms: float
    # No more results follow: shards that were not reported have no reply.
    done: bool = False
    # The helper has sent nothing to any endpoint and will not.
    refused: bool = False
    # With the last results: shards without a reply and how many endpoints may have run each, and
    # shards that were sent to no endpoint.
    unanswered: tuple[tuple[str, int], ...] = ()
    untried: tuple[str, ...] = ()


class RelayTried(Struct, frozen=True, array_like=True):
    """Report that a shard of a group was sent to a second endpoint."""

    relay_id: str
    service: str


class RelayCancel(Struct, frozen=True, array_like=True):
    """Cancel a group whose replies are no longer needed."""

    relay_id: str
    # Results were due and did not arrive: the helper's connection may carry nothing any more.
    results_overdue: bool = False


class PassedRequest(Struct, frozen=True, array_like=True):
    """Ask a helper to send a request to an endpoint of a service and to pass the reply back."""

    relay_id: str
    route: str
    service: str
    request_id: str
    head: bytes
    body: bytes
    digest: str
    suspected: bool
    time_left_ms: float
    organisation: str = ''
    priority: int | None = None


class PassedReply(Struct, frozen=True, array_like=True):
    """Carry the endpoint's reply to a request that was passed on."""

    relay_id: str
    receipt: bytes
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class PassedRefusal(Struct, frozen=True, array_like=True):
    """End a request that was passed on without a reply of an endpoint."""

    relay_id: str
    code: int
    detail: str
    retry_after_ms: float | None = None
    # The helper cannot serve at all; another one may.
    declined: bool = False
