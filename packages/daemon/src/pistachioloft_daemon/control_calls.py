"""Calls of endpoints, operators and callers to a control instance, and their outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pistachioloft_core.errors import ResultCode

if TYPE_CHECKING:
    from pistachioloft_core.messages.fleet import AnnouncedEndpoint
    from pistachioloft_core.messages.routes import RouteSet


@dataclass(frozen=True, slots=True)
class Announce:
    """Record the announcement of an endpoint."""

    record: AnnouncedEndpoint


@dataclass(frozen=True, slots=True)
class Depart:
    """Record that an endpoint leaves; `born_ms` 0 matches any incarnation of it."""

    endpoint: str
    born_ms: int


@dataclass(frozen=True, slots=True)
class SubmitRoutes:
    """Submit a set of routes; the document is stored as it was sent."""

    routes: RouteSet
    document: bytes


@dataclass(frozen=True, slots=True)
class ReadRoutes:
    """Read the document of the newest accepted routes."""


@dataclass(frozen=True, slots=True)
class Evacuate:
    """Evacuate a failure domain, or withdraw the order."""

    failure_domain: str
    evacuated: bool


@dataclass(frozen=True, slots=True)
class ListAddresses:
    """List the addresses that a caller should use."""

    host: str
    region: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class CheckReadiness:
    """Check whether this instance accepts requests."""


@dataclass(frozen=True, slots=True)
class UnknownCall:
    """Describe a call that cannot be decoded."""

    code: ResultCode
    detail: str


Call = (
    Announce
    | Depart
    | SubmitRoutes
    | ReadRoutes
    | Evacuate
    | ListAddresses
    | CheckReadiness
    | UnknownCall
)


@dataclass(frozen=True, slots=True)
class Done:
    """Report the outcome of a call; only `ReadRoutes` has a document."""

    code: ResultCode = ResultCode.ACCEPTED
    detail: str = ''
    document: bytes = b''
    retry_after_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Announced:
    """Confirm an announcement and name the address for the next one, empty if there is none."""

    next_address: str


@dataclass(frozen=True, slots=True)
class Addresses:
    """List addresses for callers and how long to keep them."""

    addresses: tuple[str, ...]
    keep_ms: float


Outcome = Done | Announced | Addresses
