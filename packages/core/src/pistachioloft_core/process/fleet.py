"""State of a control instance about the other instances and the endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from msgspec.structs import replace

from ..messages.accepted import NO_EVACUATIONS
from ..messages.fleet import (
    ENDPOINT_READY,
    ControlRenewal,
    ControlShare,
    ControlStatus,
    EntryStatus,
    FeedPoll,
    FeedReply,
    InstanceLocation,
    ReceivedEndpoint,
    RequestCrash,
)
from .announced import AnnouncedState, MergeResult, aged_endpoints, expire, mark_left, merge, renew
from .directory import advertised_entries, helper_entries, locations_digest
from .known_entries import (
    ENTRY_LIVE_MS,
    INSTANCE_LIMIT_COUNT,
    REPEAT_MS,
    KnownEntries,
    collect_entry_changes,
    forget_entries,
    is_live,
    merge_entry,
    record_entry_silent,
    renew_entry,
    status_with_age,
)
from .leaving import LeavingEndpoints, record_leaving, take_due
from .renewals import (
    RenewalNumbers,
    expand_renewals,
    forget_numbers,
    shorten_renewals,
    state_again,
)
from .suspects import RecentCrash

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from ..messages.accepted import AcceptedEvacuations
    from ..messages.fleet import AnnouncedEndpoint, ShortRenewal

SHARE_INTERVAL_MS = 200.0
# An instance counts as lost after five missing or late shares.
CONTROL_LIVE_MS = 1_200.0
# Batches changes for entry instances, which poll about as often; when a fleet starts, hundreds of
# endpoints announce themselves within one heartbeat.
PUSH_INTERVAL_MS = 200.0
# A lease spans this many heartbeats plus a slack for announcements that take about a second to
# reach an instance that answers.
HEARTBEATS_PER_LEASE = 3.0
LEASE_SLACK_MS = 600.0
FORGET_MS = 60_000.0
CRASH_RETENTION_MS = 600_000.0
CRASH_LIMIT_COUNT = 4_096
# Newest crash reports that each update repeats, in case an update is lost.
FEED_CRASH_COUNT = 32


@dataclass(frozen=True, slots=True)
class _KnownControl:
    status: ControlStatus
    received_ms: float
    last_share_ms: float


class FleetState:
    """Hold the known instances and endpoints, and whether both are synchronized."""

    def __init__(self, own_status: ControlStatus, heartbeat_ms: float, now_ms: float) -> None:
        self.own_status = own_status
        self.lease_ms = HEARTBEATS_PER_LEASE * heartbeat_ms + LEASE_SLACK_MS
        self.announced = AnnouncedState()
        # Whether a share is due at once: the readiness of an entry instance changed.
        self.share_pending = False
        self.controls: dict[str, _KnownControl] = {}
        self.entries = KnownEntries()
        # The last shared status of each control instance, and until when it is repeated.
        self.shared_controls: dict[str, tuple[ControlStatus, float]] = {}
        # By digest, endpoint and its start.
        self.crashes: dict[tuple[str, str, int], RecentCrash] = {}
        # Since when this instance may have missed announcements; None if synchronized.
        self.unsynced_since_ms: float | None = now_ms
        # Endpoints that announced themselves here since the last share, with or without a change.
        self.changed_endpoints: set[str] = set()
        self.renewed_endpoints: set[str] = set()
        # Whether a peer renewed an endpoint or instance that is unknown here.
        self.needs_full_share = False
        # Draining and departed endpoints, whose states are shared more than once.
        self.leaving = LeavingEndpoints()
        # Entry instances that polled here once to find the control instance nearest to them.
        self.moving_entries: set[str] = set()
        # How many entry instances the endpoints' connection limits allow; None if unlimited.
        self.entry_limit: int | None = None
        # The shards of the largest query.
        self.query_shard_count = 0
        # When each other control instance last received a share of this one, as it reported.
        self.reached_ms: dict[str, float] = {}
        self.unshared_crashes: set[tuple[str, str, int]] = set()
        self.numbers = RenewalNumbers()


def is_synchronized(state: FleetState) -> bool:
    """Return whether an endpoint that is unknown here can be assumed not to run."""
    return state.unsynced_since_ms is None


def restore(state: FleetState, now_ms: float, records: Iterable[AnnouncedEndpoint]) -> None:
    """Restore stored endpoints as if their announcements were received now."""
    # Endpoints that no longer run lapse when the lease that begins here ends.
    for record in records:
        merge(state.announced, record, now_ms)


def known_records(state: FleetState) -> tuple[AnnouncedEndpoint, ...]:
    """Return the newest records of all endpoints."""
    return tuple(entry.record for entry in state.announced.endpoints.values())


def on_announcement(state: FleetState, now_ms: float, record: AnnouncedEndpoint) -> MergeResult:
    """Merge an announcement that an endpoint sent to this instance."""
    merged = merge(state.announced, record, now_ms)
    if merged is not MergeResult.OUTDATED:
        if merged is MergeResult.RENEWED and record.endpoint not in state.changed_endpoints:
            state.renewed_endpoints.add(record.endpoint)
        else:
            state.changed_endpoints.add(record.endpoint)
            state.renewed_endpoints.discard(record.endpoint)
    if merged is MergeResult.CHANGED:
        record_leaving(state.leaving, now_ms, state.announced, record.endpoint, True)
    return merged


def on_departure(
    state: FleetState, now_ms: float, endpoint: str, born_ms: int, latest_born_ms: int
) -> bool:
    """Record that an endpoint left and return whether its state changed."""
    changed = mark_left(state.announced, endpoint, born_ms, latest_born_ms, now_ms)
    if changed:
        record_leaving(state.leaving, now_ms, state.announced, endpoint, True)
    return changed


def on_notice(state: FleetState, now_ms: float, received: ReceivedEndpoint) -> MergeResult:
    """Merge a notice of a leaving endpoint that another control instance received."""
    merged = merge(state.announced, received.record, now_ms - received.age_ms)
    if merged is MergeResult.CHANGED:
        endpoint = received.record.endpoint
        record_leaving(state.leaving, now_ms, state.announced, endpoint, False)
    return merged


def full_share(state: FleetState, now_ms: float) -> ControlShare:
    """Build a share of the whole state."""
    entries = tuple(status_with_age(entry, now_ms) for entry in state.entries.by_name.values())
    return _make_share(
        state, now_ms, True, list(state.announced.endpoints), entries, list(state.crashes)
    )


def incremental_share(state: FleetState, now_ms: float) -> ControlShare:
    """Build a share of what was received here since the last call."""
    names = sorted(state.changed_endpoints | take_due(state.leaving, now_ms))
    crashes = sorted(state.unshared_crashes)
    renewals = tuple(
        (name, entry.record.born_ms, entry.record.sequence, round(now_ms - entry.received_ms))
        for name in sorted(state.renewed_endpoints)
        if (entry := state.announced.endpoints.get(name)) is not None
    )
    numbers: tuple[int, ...] = ()
    short_renewals: tuple[ShortRenewal, ...] = ()
    if all(name in state.numbers.peers for name in live_controls(state, now_ms)):
        renewals, numbers, short_renewals = shorten_renewals(state.numbers, renewals)
    state.changed_endpoints, state.renewed_endpoints, state.unshared_crashes = set(), set(), set()
    state.share_pending = False
    entries, entry_renewals, silent_entries = collect_entry_changes(state.entries, now_ms)
    share = _make_share(state, now_ms, False, names, entries, crashes)
    state.needs_full_share = False
    controls, control_renewals = _split_control_changes(state, now_ms, share.controls)
    return replace(
        share,
        renewals=renewals,
        entry_renewals=entry_renewals,
        silent_entries=silent_entries,
        controls=controls,
        control_renewals=control_renewals,
        renewal_numbers=numbers,
        short_renewals=short_renewals,
    )


def _split_control_changes(
    state: FleetState, now_ms: float, controls: tuple[ControlStatus, ...]
) -> tuple[tuple[ControlStatus, ...], tuple[ControlRenewal, ...]]:
    """Split the statuses of control instances into changed ones and renewals of the rest."""
    new: list[ControlStatus] = []
    renewals: list[ControlRenewal] = []
    shared: dict[str, tuple[ControlStatus, float]] = {}
    for status in controls:
        content = replace(status, age_ms=0.0)
        previous, repeat_until_ms = state.shared_controls.get(status.instance, (None, 0.0))
        if previous != content:
            repeat_until_ms = now_ms + REPEAT_MS
        shared[status.instance] = (content, repeat_until_ms)
        if now_ms < repeat_until_ms:
            new.append(status)
        else:
            renewals.append((status.instance, status.incarnation, round(status.age_ms)))
    state.shared_controls = shared
    return tuple(new), tuple(renewals)


def _make_share(
    state: FleetState,
    now_ms: float,
    full: bool,
    names: list[str],
    entries: tuple[EntryStatus, ...],
    crashes: list[tuple[str, str, int]],
) -> ControlShare:
    controls = tuple(
        replace(peer.status, age_ms=now_ms - peer.received_ms)
        for peer in state.controls.values()
        if now_ms - peer.received_ms < CONTROL_LIVE_MS
    )
    return ControlShare(
        state.own_status,
        is_synchronized(state),
        full,
        state.needs_full_share or not is_synchronized(state),
        controls,
        entries,
        aged_endpoints(state.announced, now_ms, names),
        crashes=tuple(_crash_report(now_ms, key, state.crashes[key]) for key in crashes),
        reads_short_renewals=True,
    )


def on_share(state: FleetState, now_ms: float, share: ControlShare) -> bool:
    """Merge a share and return whether an endpoint changed."""
    revision = state.announced.revision
    sender = share.control
    if sender.instance != state.own_status.instance:
        peer = state.controls.get(sender.instance)
        if peer is None or sender.incarnation >= peer.status.incarnation:
            state.controls[sender.instance] = _KnownControl(sender, now_ms, now_ms)
    for status in share.controls:
        if status.instance == state.own_status.instance:
            state.reached_ms[sender.instance] = now_ms - status.age_ms
        _merge_control(state, now_ms, status)
    for name, incarnation, age_ms in share.control_renewals:
        _renew_control(state, now_ms, sender.instance, (name, incarnation, age_ms))
    for entry in share.entries:
        merge_entry(state.entries, now_ms - entry.age_ms, entry, sender.instance)
    for renewal in share.entry_renewals:
        if not renew_entry(state.entries, now_ms, renewal, sender.instance):
            # The share with its full status was lost.
            state.needs_full_share = True
    for silent in share.silent_entries:
        record_entry_silent(state.entries, now_ms, silent)
    for received in share.endpoints:
        merge(state.announced, received.record, now_ms - received.age_ms)
    for known in expand_renewals(state.numbers, share):
        if known is None:
            state.needs_full_share = True
            continue
        endpoint, born_ms, sequence, age_ms = known
        if renew(state.announced, endpoint, born_ms, sequence, now_ms - age_ms) is None:
            state.needs_full_share = True
    if share.wants_full:
        state_again(state.numbers)
    for crash in share.crashes:
        record_crash(state, now_ms, crash, pass_on=False)
    if share.full and share.synchronized:
        state.unsynced_since_ms = None
    return state.announced.revision != revision


def on_feed_poll(
    state: FleetState,
    now_ms: float,
    poll: FeedPoll,
    confirmed: bool,
    route_version: int,
    document: bytes,
    evacuations: AcceptedEvacuations = NO_EVACUATIONS,
) -> FeedReply:
    """Reply to an entry instance with the changes that it has not received yet."""
    if merge_entry(state.entries, now_ms, poll.entry):
        state.share_pending = True
    for crash in poll.crashes:
        record_crash(state, now_ms, crash, pass_on=True)
    same_incarnation = poll.control_incarnation == state.own_status.incarnation
    since = poll.endpoint_revision if same_incarnation else 0
    reply = make_feed(state, now_ms, since, confirmed, route_version, document, evacuations)
    newer = route_version > poll.entry.route_version
    reply = replace(reply, poll_id=poll.poll_id, document=document if newer else b'')
    if reply.helpers_digest == poll.helpers_digest:
        reply = replace(reply, helpers=())
    state.moving_entries.discard(poll.entry.instance)
    if poll.prefers_near and _has_nearer_control(state, now_ms, poll.entry.failure_domain):
        state.moving_entries.add(poll.entry.instance)
        reply = replace(
            reply, synchronized=False, full=False, endpoint_revision=0, endpoints=(), document=b''
        )
    return reply


def make_feed(
    state: FleetState,
    now_ms: float,
    since: int,
    confirmed: bool,
    route_version: int,
    document: bytes,
    evacuations: AcceptedEvacuations = NO_EVACUATIONS,
) -> FeedReply:
    """Build an update of what changed after a revision; revision 0 gives a full update."""
    names = state.announced.changed_since(since)
    entries = live_entries(state, now_ms)
    advertised = advertised_entries(entries, state.entry_limit)
    helpers = _locations(helper_entries(entries, advertised, state.query_shard_count))
    has_more_helpers = len(helpers) > len(advertised)
    return FeedReply(
        poll_id=0,
        control_incarnation=state.own_status.incarnation,
        confirmed=confirmed,
        synchronized=confirmed and is_synchronized(state),
        full=since == 0,
        since_revision=since,
        endpoint_revision=state.announced.revision,
        endpoints=aged_endpoints(state.announced, now_ms, names),
        route_version=route_version,
        document=document,
        controls=_live_locations(state, now_ms),
        advertised=_locations(advertised),
        crashes=_newest_crashes(state, now_ms),
        helpers=helpers if has_more_helpers else (),
        helpers_digest=locations_digest(helpers) if has_more_helpers else 0,
        lacks_entries=any(
            _is_live(peer, now_ms) and now_ms - peer.last_share_ms >= CONTROL_LIVE_MS
            for peer in state.controls.values()
        ),
        evacuation_index=evacuations.index,
        evacuated_domains=evacuations.failure_domains,
    )


def _locations(entries: Iterable[EntryStatus]) -> tuple[InstanceLocation, ...]:
    return tuple(InstanceLocation(entry.instance, entry.failure_domain) for entry in entries)


def has_urgent_change(state: FleetState, revision: int) -> bool:
    """Return whether an endpoint left, drains or lapsed after a revision."""
    changed = (
        state.announced.endpoints.get(name) for name in state.announced.changed_since(revision)
    )
    return any(
        entry is not None and entry.record.endpoint_state != ENDPOINT_READY for entry in changed
    )


def tick(state: FleetState, now_ms: float, confirmed: bool) -> bool:
    """Lapse silent endpoints, drop expired state and return whether an endpoint lapsed."""
    if not confirmed:
        state.unsynced_since_ms = now_ms
    elif not is_synchronized(state) and now_ms - (state.unsynced_since_ms or 0.0) >= state.lease_ms:
        state.unsynced_since_ms = None
    lapsed = expire(state.announced, now_ms, state.lease_ms) if is_synchronized(state) else []
    forget_entries(state.entries, now_ms, FORGET_MS)
    state.moving_entries &= state.entries.by_name.keys()
    state.controls = {
        name: peer for name, peer in state.controls.items() if now_ms - peer.received_ms < FORGET_MS
    }
    born_ms = {name: entry.record.born_ms for name, entry in state.announced.endpoints.items()}
    forget_numbers(state.numbers, born_ms, state.controls)
    state.crashes = {
        key: crash
        for key, crash in state.crashes.items()
        if now_ms - crash.time_ms < CRASH_RETENTION_MS
    }
    state.unshared_crashes &= state.crashes.keys()
    return bool(lapsed)


def control_address_in(state: FleetState, now_ms: float, failure_domain: str) -> str:
    """Return the address of a live control instance in a failure domain, or ''."""
    others = (peer.status for peer in state.controls.values() if _is_live(peer, now_ms))
    for status in (state.own_status, *others):
        if status.failure_domain == failure_domain and not status.stopping:
            return status.control_address
    return ''


def live_controls(state: FleetState, now_ms: float) -> tuple[str, ...]:
    """Return the names of the other live control instances."""
    return tuple(name for name, peer in sorted(state.controls.items()) if _is_live(peer, now_ms))


def is_received_by_majority(state: FleetState, now_ms: float, voters: Collection[str]) -> bool:
    """Return whether a majority of the voters receives the shares of this instance."""
    peers = {name for name, at_ms in state.reached_ms.items() if now_ms - at_ms < CONTROL_LIVE_MS}
    count = sum(voter in peers or voter == state.own_status.instance for voter in voters)
    return 2 * count > len(voters)


def live_members(state: FleetState, now_ms: float) -> tuple[str, ...]:
    """Return the members of the other control instances whose own shares are recent."""
    return tuple(
        peer.status.member
        for peer in state.controls.values()
        if now_ms - peer.last_share_ms < CONTROL_LIVE_MS and peer.status.member
    )


def live_entries(state: FleetState, now_ms: float) -> tuple[EntryStatus, ...]:
    """Return the statuses of the live entry instances, by name."""
    peers = {
        name for name, peer in state.controls.items() if now_ms - peer.last_share_ms < ENTRY_LIVE_MS
    }
    return tuple(
        entry.status
        for _, entry in sorted(state.entries.by_name.items())
        if is_live(now_ms, entry, peers.__contains__)
    )


def direct_entries(state: FleetState, now_ms: float) -> tuple[EntryStatus, ...]:
    """Return the live entry instances that poll this instance."""
    return tuple(
        entry.status
        for entry in state.entries.by_name.values()
        if not entry.via and now_ms - entry.received_ms < ENTRY_LIVE_MS
    )


def push_receivers(state: FleetState, now_ms: float) -> tuple[str, ...]:
    """Return the entry instances to which changes are pushed."""
    names = (entry.instance for entry in direct_entries(state, now_ms))
    return tuple(name for name in names if name not in state.moving_entries)


def record_crash(state: FleetState, now_ms: float, crash: RequestCrash, pass_on: bool) -> None:
    """Record that a request was in flight when an endpoint crashed."""
    key = (crash.digest, crash.endpoint, crash.born_ms)
    if key in state.crashes or crash.age_ms >= CRASH_RETENTION_MS:
        return
    while len(state.crashes) >= CRASH_LIMIT_COUNT:
        del state.crashes[next(iter(state.crashes))]
    state.crashes[key] = RecentCrash(now_ms - crash.age_ms, crash.failure_domain)
    if pass_on:
        state.unshared_crashes.add(key)


def _is_live(peer: _KnownControl, now_ms: float) -> bool:
    return now_ms - peer.received_ms < CONTROL_LIVE_MS


def _has_nearer_control(state: FleetState, now_ms: float, failure_domain: str) -> bool:
    """Return whether another control instance is in a failure domain and this one is not."""
    return failure_domain != state.own_status.failure_domain and any(
        location.failure_domain == failure_domain for location in _live_locations(state, now_ms)
    )


def _live_locations(state: FleetState, now_ms: float) -> tuple[InstanceLocation, ...]:
    others = (peer.status for peer in state.controls.values() if _is_live(peer, now_ms))
    return tuple(
        InstanceLocation(status.instance, status.failure_domain)
        for status in (state.own_status, *others)
        if not status.stopping
    )


def _newest_crashes(state: FleetState, now_ms: float) -> tuple[RequestCrash, ...]:
    newest = list(state.crashes.items())[-FEED_CRASH_COUNT:]
    return tuple(_crash_report(now_ms, key, crash) for key, crash in newest)


def _crash_report(now_ms: float, key: tuple[str, str, int], crash: RecentCrash) -> RequestCrash:
    return RequestCrash(*key, now_ms - crash.time_ms, crash.failure_domain)


def _merge_control(state: FleetState, now_ms: float, status: ControlStatus) -> None:
    if status.instance == state.own_status.instance:
        return
    received_ms = now_ms - status.age_ms
    peer = state.controls.get(status.instance)
    if peer is None:
        if len(state.controls) < INSTANCE_LIMIT_COUNT:
            never_ms = float('-inf')
            state.controls[status.instance] = _KnownControl(status, received_ms, never_ms)
    elif status.incarnation >= peer.status.incarnation and received_ms > peer.received_ms:
        state.controls[status.instance] = _KnownControl(status, received_ms, peer.last_share_ms)


def _renew_control(state: FleetState, now_ms: float, sender: str, renewal: ControlRenewal) -> None:
    """Merge the time at which a control instance received from a third one or from this one."""
    name, incarnation, age_ms = renewal
    if name == state.own_status.instance:
        state.reached_ms[sender] = now_ms - age_ms
        return
    peer = state.controls.get(name)
    if peer is None or peer.status.incarnation < incarnation:
        # The share with its full status was lost.
        state.needs_full_share = True
    else:
        _merge_control(state, now_ms, replace(peer.status, age_ms=age_ms))
