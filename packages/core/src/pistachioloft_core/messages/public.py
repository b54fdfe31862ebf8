"""Messages between callers and entry instances."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ..errors import ResultCode, RunStatus

URGENT = 'urgent'
ROUTINE = 'routine'
PRIORITY_CLASSES = (URGENT, ROUTINE)

Row = dict[str, Any]


@dataclass(frozen=True, slots=True)
class QueryRequest:
    """Query every shard of one snapshot of a collection."""

    caller: str
    request_id: str
    collection: str
    query: Any
    deadline_ms: int
    priority: str | None = None


@dataclass(frozen=True, slots=True)
class CommandRequest:
    """Run a non-idempotent command at most once on one shard."""

    caller: str
    request_id: str
    collection: str
    shard: str
    idempotency_key: str
    key_issued_at_ms: int
    body: Any
    deadline_ms: int
    priority: str | None = None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Identify one version of a collection."""

    collection: str
    version: int


@dataclass(frozen=True, slots=True)
class Coverage:
    """Describe how many shards of the snapshot an answer covers, and which are missing."""

    shard_count: int
    answered_count: int
    missing: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CallerAddress:
    """Describe one address that a caller may use."""

    instance: str
    address: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class AddressesReply:
    """List the addresses to use and how long they may be cached."""

    addresses: tuple[CallerAddress, ...]
    keep_ms: int


@dataclass(frozen=True, slots=True)
class QueryReply:
    """Carry the answer to a query, or the reason why it did not run."""

    caller: str
    request_id: str
    result_code: ResultCode
    run_status: RunStatus
    detail: str
    snapshot: Snapshot | None = None
    coverage: Coverage | None = None
    rows: tuple[Row, ...] = ()
    retry_after_ms: int | None = None
    addresses: tuple[CallerAddress, ...] = ()


@dataclass(frozen=True, slots=True)
class CommandReply:
    """Carry the outcome of a command, or the reason why it did not run."""

    caller: str
    request_id: str
    result_code: ResultCode
    run_status: RunStatus
    detail: str
    outcome: Any = None
    retry_after_ms: int | None = None
    addresses: tuple[CallerAddress, ...] = ()


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """Refuse a request that could not be decoded."""

    result_code: ResultCode
    run_status: RunStatus
    detail: str
    retry_after_ms: int | None = None
    addresses: tuple[CallerAddress, ...] = field(default=())
