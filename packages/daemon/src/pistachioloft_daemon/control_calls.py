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
    """Take what an endpoint says of itself."""

    record: AnnouncedEndpoint


@dataclass(frozen=True, slots=True)
class Depart:
    """Take note that an endpoint leaves; `born_ms` 0 means whichever start is known."""

    endpoint: str
    born_ms: int


@dataclass(frozen=True, slots=True)
class SubmitRoutes:
    """Put a set of routes in force; the document is kept as it was sent."""

    routes: RouteSet
    document: bytes


@dataclass(frozen=True, slots=True)
class ReadRoutes:
    """Read the document of the newest accepted routes."""


@dataclass(frozen=True, slots=True)
class ListAddresses:
    """Ask which addresses a caller should use."""

    host: str
    region: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class CheckReadiness:
    """Ask whether this instance takes requests."""


@dataclass(frozen=True, slots=True)
class UnknownCall:
    """Stand for a call that cannot be read."""

    code: ResultCode
    detail: str


Call = Announce | Depart | SubmitRoutes | ReadRoutes | ListAddresses | CheckReadiness | UnknownCall


@dataclass(frozen=True, slots=True)
class Done:
    """Give the outcome of a call; the document is that of `ReadRoutes`."""

    code: ResultCode = ResultCode.ACCEPTED
    detail: str = ''
    document: bytes = b''
    retry_after_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Announced:
    """Confirm an announcement; the next may go to the address, if there is one."""

    next_address: str


@dataclass(frozen=True, slots=True)
class Addresses:
    """List addresses for callers and how long to keep them."""

    addresses: tuple[str, ...]
    keep_ms: float


Outcome = Done | Announced | Addresses
