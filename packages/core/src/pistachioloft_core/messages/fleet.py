"""Messages between instances that discover each other through seed addresses."""

from __future__ import annotations

from msgspec import Struct

# Structs are used rather than data classes because they are encoded as arrays. Encoded as maps, the
# names of the fields would be most of the constant traffic between the instances.

ENDPOINT_READY = 'ready'
ENDPOINT_DRAINING = 'draining'
ENDPOINT_LEFT = 'left'
ENDPOINT_LAPSED = 'lapsed'


class AnnouncedEndpoint(Struct, frozen=True, array_like=True):
    """Carry an announcement of one run of an endpoint, which `born_ms` identifies."""

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
    """Carry the state that an entry instance reports of itself."""

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
    # Increases with each report of this incarnation, since polls can arrive out of order.
    sequence: int = 0
    # It reaches none of the endpoints and hands its work over to other entry instances.
    cut_off: bool = False


class ControlStatus(Struct, frozen=True, array_like=True):
    """Carry the state that a control instance reports of itself; `member` identifies its disk."""

    instance: str
    incarnation: int
    failure_domain: str
    member: str
    control_address: str = ''
    stopping: bool = False
    age_ms: float = 0.0


# An announcement that repeats the last one unchanged: the endpoint, its `born_ms`, the sequence and
# the age of the announcement. A tuple, because most of a share consists of them.
Renewal = tuple[str, int, int, int]

# A renewal by the number that an earlier one stated: the number, the sequence and the age.
ShortRenewal = tuple[int, int, int]


# The fields of an entry instance that can change while it runs: the instance, its incarnation and
# sequence, whether it is ready and stopping, its route version, the number of its requests in
# flight, and the age of the report.
EntryRenewal = tuple[str, int, int, bool, bool, int, int, int]

# An entry instance that has stopped polling the sender: the instance, and the incarnation and
# sequence of its last poll.
SilentEntry = tuple[str, int, int]

# A control instance whose status was shared before: the instance, its incarnation, and the time in
# ms since the last message from it.
ControlRenewal = tuple[str, int, int]


class InstanceLocation(Struct, frozen=True, array_like=True):
    """Carry the failure domain of an instance."""

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
    """Send another control instance the received state, in full or only its changes."""

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
    # The numbers that stand for the endpoints of `renewals` from now on, in their order.
    renewal_numbers: tuple[int, ...] = ()
    short_renewals: tuple[ShortRenewal, ...] = ()
    # The sender reads short renewals; an earlier build does not.
    reads_short_renewals: bool = False


class LeavingNotice(Struct, frozen=True, array_like=True):
    """Ask another control instance to record that an endpoint is leaving or has left."""

    notice_id: int
    endpoint: ReceivedEndpoint


class LeavingNoted(Struct, frozen=True, array_like=True):
    """Confirm a notice of a leaving endpoint."""

    notice_id: int


class FeedPoll(Struct, frozen=True, array_like=True):
    """Ask a control instance for the updates that an entry instance has not received."""

    poll_id: int
    entry: EntryStatus
    control_incarnation: int
    endpoint_revision: int
    # Time since the sender last received anything from the control instance that it polls.
    received_age_ms: float = 0.0
    crashes: tuple[RequestCrash, ...] = ()
    # The sender wants the endpoints from a control instance of its failure domain if there is one.
    prefers_near: bool = False
    # Identifies the helpers that the sender knows, 0 without any.
    helpers_digest: int = 0


class FeedReply(Struct, frozen=True, array_like=True):
    """Update an entry instance; `poll_id` is 0 in an update that no poll requested."""

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
    # The entry instances whose addresses callers get.
    advertised: tuple[InstanceLocation, ...]
    crashes: tuple[RequestCrash, ...] = ()
    # The entry instances among which shards are divided, and their digest; digest 0 means the
    # advertised ones, and no instances mean those that the receiver knows by the digest.
    helpers: tuple[InstanceLocation, ...] = ()
    helpers_digest: int = 0
    # The evacuated failure domains, and the log index of their last change.
    evacuation_index: int = 0
    evacuated_domains: tuple[str, ...] = ()
    # The sender does not hear a control instance that runs, nor the entry instances that poll it.
    lacks_entries: bool = False


class ReadRequest(Struct, frozen=True, array_like=True):
    """Ask the leader for the log index that a read of the accepted state must wait for."""

    read_id: int


class ReadReply(Struct, frozen=True, array_like=True):
    """Carry the index that a quorum confirmed after the request, or None without one."""

    read_id: int
    index: int | None
    leader_hint: str | None = None
