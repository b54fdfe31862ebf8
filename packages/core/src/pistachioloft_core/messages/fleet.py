"""Messages between instances that find each other from seed addresses."""

from __future__ import annotations

from dataclasses import dataclass

STANDING_READY = 'ready'
STANDING_DRAINING = 'draining'
STANDING_LEFT = 'left'
STANDING_LAPSED = 'lapsed'


@dataclass(frozen=True, slots=True)
class AnnouncedEndpoint:
    """Carry what one start of an endpoint said of itself; a start is named by `born_ms`."""

    endpoint: str
    service: str
    address: str
    failure_domain: str
    slot_count: int
    standing: str
    sequence: int
    born_ms: int = 0
    cold_left_ms: float = 0.0
    software_version: str = ''


@dataclass(frozen=True, slots=True)
class HeardEndpoint:
    """Carry an announcement with the time since it was heard."""

    record: AnnouncedEndpoint
    age_ms: float


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """Carry what an entry instance says of itself."""

    instance: str
    incarnation: int
    failure_domain: str
    caller_address: str
    peer_address: str
    ready: bool
    stopping: bool
    route_version: int
    in_flight_count: int = 0
    age_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ControlStatus:
    """Carry what a control instance says of itself; `member` names its disk."""

    instance: str
    incarnation: int
    failure_domain: str
    member: str
    stopping: bool = False
    age_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestCrash:
    """Report that an endpoint crashed while it ran a request with this digest."""

    digest: str
    endpoint: str
    born_ms: int
    age_ms: float


@dataclass(frozen=True, slots=True)
class ControlShare:
    """Tell another control instance what was heard, all of it or what is new."""

    control: ControlStatus
    settled: bool
    whole: bool
    wants_whole: bool
    controls: tuple[ControlStatus, ...]
    entries: tuple[EntryStatus, ...]
    endpoints: tuple[HeardEndpoint, ...]
    crashes: tuple[RequestCrash, ...] = ()


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """Ask another control instance to note that an endpoint is leaving or has left."""

    notice_id: int
    endpoint: HeardEndpoint


@dataclass(frozen=True, slots=True)
class LeavingNoted:
    """Confirm a notice of a leaving endpoint."""

    notice_id: int


@dataclass(frozen=True, slots=True)
class FeedPoll:
    """Ask a control instance for what an entry instance does not know yet."""

    poll_id: int
    entry: EntryStatus
    control_incarnation: int
    endpoint_revision: int
    # How long the sender has heard nothing from the control instance that it polls.
    heard_age_ms: float = 0.0
    crashes: tuple[RequestCrash, ...] = ()


@dataclass(frozen=True, slots=True)
class FeedReply:
    """Bring an entry instance up to date; poll 0 marks an update that nobody asked for."""

    poll_id: int
    control_incarnation: int
    confirmed: bool
    settled: bool
    whole: bool
    since_revision: int
    endpoint_revision: int
    endpoints: tuple[HeardEndpoint, ...]
    route_version: int
    document: bytes
    controls: tuple[str, ...]
    entry_count: int
    crashes: tuple[RequestCrash, ...] = ()


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """Ask the leader which index a read of the accepted state must reach."""

    read_id: int


@dataclass(frozen=True, slots=True)
class ReadReply:
    """Give the index that a quorum confirmed after the request, None if there is none."""

    read_id: int
    index: int | None
    leader_hint: str | None = None
