"""Messages between instances that find each other from seed addresses."""

from __future__ import annotations

from msgspec import Struct

# These are structs rather than data classes since they travel as arrays: as maps, the names of
# the fields would be most of what the instances say to each other all the time.

ENDPOINT_READY = 'ready'
ENDPOINT_DRAINING = 'draining'
ENDPOINT_LEFT = 'left'
ENDPOINT_LAPSED = 'lapsed'


class AnnouncedEndpoint(Struct, frozen=True, array_like=True):
    """Carry what one start of an endpoint said of itself; a start is named by `born_ms`."""

    endpoint: str
    service: str
    address: str
    failure_domain: str
    slot_count: int
    endpoint_state: str
    sequence: int
    born_ms: int = 0
    cold_left_ms: float = 0.0
    software_version: str = ''


class ReceivedEndpoint(Struct, frozen=True, array_like=True):
    """Carry an announcement with the time since it was received."""

    record: AnnouncedEndpoint
    age_ms: float


class EntryStatus(Struct, frozen=True, array_like=True):
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
    # Counts what this incarnation has said; a poll can be delivered after a later one.
    sequence: int = 0


class ControlStatus(Struct, frozen=True, array_like=True):
    """Carry what a control instance says of itself; `member` names its disk."""

    instance: str
    incarnation: int
    failure_domain: str
    member: str
    control_address: str = ''
    stopping: bool = False
    age_ms: float = 0.0


# An endpoint that announced itself again without a change: its name, the start and the sequence
# that it announced, and the age of the announcement. A tuple, as most of a share is these.
Renewal = tuple[str, int, int, int]


# What can change of an entry instance while it runs: its name, the incarnation, the sequence,
# whether it is ready and stopping, its version of the routes, its requests in flight, and the
# age of all this.
EntryRenewal = tuple[str, int, int, bool, bool, int, int, int]

# An entry instance that polls no more where it polled: its name, and the incarnation and the
# sequence of its last poll.
SilentEntry = tuple[str, int, int]

# A control instance that is known already: its name, the incarnation, and the time in ms since
# it was heard.
ControlRenewal = tuple[str, int, int]


class InstanceLocation(Struct, frozen=True, array_like=True):
    """Name an instance and the failure domain that it is in."""

    instance: str
    failure_domain: str


class RequestCrash(Struct, frozen=True, array_like=True):
    """Report that an endpoint crashed while it ran a request with this digest."""

    digest: str
    endpoint: str
    born_ms: int
    age_ms: float
    failure_domain: str = ''


class ControlShare(Struct, frozen=True, array_like=True):
    """Tell another control instance what was heard, all of it or what is new."""

    control: ControlStatus
    synchronized: bool
    full: bool
    wants_full: bool
    controls: tuple[ControlStatus, ...]
    entries: tuple[EntryStatus, ...]
    endpoints: tuple[ReceivedEndpoint, ...]
    renewals: tuple[Renewal, ...] = ()
    crashes: tuple[RequestCrash, ...] = ()
    entry_renewals: tuple[EntryRenewal, ...] = ()
    silent_entries: tuple[SilentEntry, ...] = ()
    control_renewals: tuple[ControlRenewal, ...] = ()


class LeavingNotice(Struct, frozen=True, array_like=True):
    """Ask another control instance to note that an endpoint is leaving or has left."""

    notice_id: int
    endpoint: ReceivedEndpoint


class LeavingNoted(Struct, frozen=True, array_like=True):
    """Confirm a notice of a leaving endpoint."""

    notice_id: int


class FeedPoll(Struct, frozen=True, array_like=True):
    """Ask a control instance for what an entry instance does not know yet."""

    poll_id: int
    entry: EntryStatus
    control_incarnation: int
    endpoint_revision: int
    # How long the sender has heard nothing from the control instance that it polls.
    received_age_ms: float = 0.0
    crashes: tuple[RequestCrash, ...] = ()


class FeedReply(Struct, frozen=True, array_like=True):
    """Bring an entry instance up to date; poll 0 marks an update that nobody asked for."""

    poll_id: int
    control_incarnation: int
    confirmed: bool
    synchronized: bool
    full: bool
    since_revision: int
    endpoint_revision: int
    endpoints: tuple[ReceivedEndpoint, ...]
    route_version: int
    document: bytes
    controls: tuple[InstanceLocation, ...]
    # The entry instances that callers are sent to.
    advertised: tuple[InstanceLocation, ...]
    crashes: tuple[RequestCrash, ...] = ()


class ReadRequest(Struct, frozen=True, array_like=True):
    """Ask the leader which index a read of the accepted state must reach."""

    read_id: int


class ReadReply(Struct, frozen=True, array_like=True):
    """Give the index that a quorum confirmed after the request, None if there is none."""

    read_id: int
    index: int | None
    leader_hint: str | None = None
