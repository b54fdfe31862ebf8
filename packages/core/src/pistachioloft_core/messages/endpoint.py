"""Messages between endpoints and instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..errors import ResultCode
from .public import CallerAddress, Row


@dataclass(frozen=True, slots=True)
class Holding:
    """List the shards of a version that an endpoint serves."""

    collection: str
    version: int
    shards: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Announcement:
    """Announce an endpoint and renew its lease."""

    endpoint: str
    incarnation: int
    sequence: int
    address: str
    service: str
    failure_domain: str
    holdings: tuple[Holding, ...]
    slot_count: int
    connection_limit: int
    slots_in_use: int = 0
    queue_length: int = 0
    draining: bool = False


@dataclass(frozen=True, slots=True)
class AnnounceReply:
    """Confirm an announcement; carry the renewal interval and the addresses for renewals."""

    result_code: ResultCode
    detail: str
    owner: str | None
    renew_ms: int
    addresses: tuple[CallerAddress, ...] = ()


@dataclass(frozen=True, slots=True)
class SubRequest:
    """Request the results of an endpoint's shards for one query, or the run of one command."""

    identity: str
    kind: str
    caller: str
    collection: str
    version: int
    shards: tuple[str, ...]
    body: Any
    time_left_ms: int
    urgent: bool = False
    idempotency_key: str | None = None


@dataclass(frozen=True, slots=True)
class ShardRows:
    """Carry the rows of one shard."""

    shard: str
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class SubReply:
    """Reply to a sub-request; `status` is `ok`, `not_started` or `failed`."""

    identity: str
    endpoint: str
    incarnation: int
    collection: str
    version: int
    status: str
    detail: str = ''
    results: tuple[ShardRows, ...] = ()
    outcome: Any = None
    slots_in_use: int = 0
    draining: bool = False


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Cancel a sub-request."""

    identity: str


KIND_QUERY = 'query'
KIND_COMMAND = 'command'
STATUS_OK = 'ok'
STATUS_NOT_STARTED = 'not_started'
STATUS_FAILED = 'failed'
