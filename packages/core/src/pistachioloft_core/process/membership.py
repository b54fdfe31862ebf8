"""Exchange of soft state with other instances and selection of the usable endpoints."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..messages.operator import EndpointStatus
from ..messages.peer import (
    CrashReport,
    EndpointRecord,
    InstanceRecord,
    SoftStatePull,
    SoftStateReply,
    SuccessReport,
)
from . import merge
from .endpoint_view import EndpointView
from .membership_actions import InstanceRestarted, PullAgain
from .soft_state import (
    ENDPOINT_LEASE_MS,
    EXPIRY_INTERVAL_MS,
    INSTANCE_LEASE_MS,
    LAPSED_RETENTION_MS,
    OWN_RECORD_INTERVAL_MS,
    POSITION_RETENTION_MS,
    REPLY_VALID_MS,
    REPORT_RETENTION_MS,
    ChangeKind,
    EndpointEntry,
    MembershipState,
    PeerCursor,
    endpoint_record,
    forget_change,
    record_change,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..connection.observation import EndpointObservation
    from .membership_actions import MembershipAction

PULL_INTERVAL_MS = 500
# A peer that replied this recently sends its own changes, so other peers need not relay them.
DIRECT_REPLY_MS = 1_000.0
MAX_REPLY_RECORD_COUNT = 512
MAX_PULL_COUNT = 1_024
PULL_VALID_MS = 10_000.0


def set_own_status(
    state: MembershipState, stopping: bool, serving: bool, accepted_index: int
) -> None:
    """Update the record of this instance."""
    own_record = replace(
        state.own_record, stopping=stopping, serving=serving, accepted_index=accepted_index
    )
    if own_record != state.own_record:
        state.own_record = replace(own_record, sequence=own_record.sequence + 1)


def set_draining_instances(state: MembershipState, instances: Iterable[str]) -> None:
    """Set the instances that operators drain, whose addresses are not advertised."""
    state.draining_instances = frozenset(instances)


def make_pull(state: MembershipState, now_ms: float, peer: str) -> SoftStatePull:
    """Build a request to a peer for the changes since its last reply."""
    drop_expired(state, now_ms)
    state.next_pull += 1
    state.pulls[state.next_pull] = (peer, now_ms)
    while len(state.pulls) > MAX_PULL_COUNT:
        state.pulls.popitem(last=False)
    cursor = state.cursors.setdefault(peer, PeerCursor())
    direct_peers = tuple(
        name
        for name, other in state.cursors.items()
        if name != peer and now_ms < other.replied_ms + DIRECT_REPLY_MS
    )
    return SoftStatePull(state.next_pull, cursor.revision, cursor.incarnation, direct_peers)


def on_pull(
    state: MembershipState, now_ms: float, peer: str, pull: SoftStatePull
) -> SoftStateReply:
    """Reply to a pull with the changes since its revision."""
    drop_expired(state, now_ms)
    same_incarnation = pull.peer_incarnation == state.own_record.incarnation
    since = pull.since_revision if same_incarnation and pull.since_revision <= state.revision else 0
    endpoints: list[EndpointRecord] = []
    instances = [_own_record(state, now_ms)]
    crashes: list[CrashReport] = []
    successes: list[SuccessReport] = []
    revision, more = state.revision, False
    remaining_count = MAX_REPLY_RECORD_COUNT
    for (kind, key), change_revision in _changes_since(state, since):
        if remaining_count == 0:
            more = True
            break
        excluded_peers = pull.direct_peers if since else ()
        if _append_record(
            state,
            now_ms,
            kind,
            key,
            peer if since else '',
            excluded_peers,
            endpoints,
            instances,
            crashes,
            successes,
        ):
            remaining_count -= 1
        revision = change_revision
    return SoftStateReply(
        pull.pull_id,
        state.own_record.incarnation,
        revision,
        tuple(endpoints),
        tuple(instances),
        tuple(crashes),
        tuple(successes),
        more,
    )


def on_pull_reply(
    state: MembershipState, now_ms: float, peer: str, reply: SoftStateReply
) -> list[MembershipAction]:
    """Merge a reply; a repeated reply or one to an unknown pull is dropped."""
    pulled = state.pulls.pop(reply.pull_id, None)
    if pulled is None or pulled[0] != peer or now_ms - pulled[1] > PULL_VALID_MS:
        return []
    sent_ms = pulled[1]
    actions: list[MembershipAction] = []
    for instance in reply.instances:
        merge.merge_instance(state, now_ms, peer, sent_ms, instance)
    for record in reply.endpoints:
        merge.merge_endpoint(state, now_ms, peer, sent_ms, record, actions)
    for crash in reply.crashes:
        merge.merge_crash(state, now_ms, sent_ms - max(0.0, crash.age_ms), crash, actions)
    for success in reply.successes:
        merge.merge_success(state, now_ms, sent_ms - max(0.0, success.age_ms), success, actions)
    cursor = state.cursors.setdefault(peer, PeerCursor())
    cursor.replied_ms = max(cursor.replied_ms, sent_ms)
    if reply.incarnation > cursor.incarnation:
        if cursor.incarnation:
            actions.append(InstanceRestarted(peer))
        cursor.incarnation = reply.incarnation
        cursor.revision = reply.revision
    elif reply.incarnation == cursor.incarnation:
        cursor.revision = max(cursor.revision, reply.revision)
    if reply.more:
        actions.append(PullAgain(peer))
    else:
        state.has_peer_state = True
    return actions


def record_crash(
    state: MembershipState, now_ms: float, report: CrashReport
) -> list[MembershipAction]:
    """Record a crash report of this instance, which peers then pull."""
    actions: list[MembershipAction] = []
    merge.merge_crash(state, now_ms, now_ms - report.age_ms, report, actions)
    return actions


def record_success(
    state: MembershipState, now_ms: float, report: SuccessReport
) -> list[MembershipAction]:
    """Record a success report of this instance, which peers then pull."""
    actions: list[MembershipAction] = []
    merge.merge_success(state, now_ms, now_ms - report.age_ms, report, actions)
    return actions


def record_observations(
    state: MembershipState, observations: Iterable[EndpointObservation]
) -> None:
    """Attach the observations of this owner to the records of its endpoints."""
    for observation in observations:
        entry = state.endpoints.get(observation.endpoint)
        if entry is None or entry.owner != state.own_record.instance:
            continue
        values = (observation.in_flight_count, observation.queue_length, observation.latency_ms)
        recorded_values = (entry.in_flight_count, entry.queue_length, entry.latency_ms)
        if entry.announcement.incarnation == observation.incarnation and values != recorded_values:
            entry.in_flight_count, entry.queue_length, entry.latency_ms = values
            entry.observation_sequence += 1
            entry.source = ''
            record_change(state, ChangeKind.ENDPOINT, observation.endpoint)


def record_reply(state: MembershipState, now_ms: float, endpoint: str) -> None:
    """Record that an endpoint replied to this instance."""
    if endpoint in state.endpoints:
        state.reply_times_ms[endpoint] = now_ms


def live_instances(state: MembershipState, now_ms: float) -> tuple[InstanceRecord, ...]:
    """Return this instance and those with a valid lease, with their ages as received."""
    since_ms = now_ms - INSTANCE_LEASE_MS
    others = (entry.record for entry in state.instances.values() if entry.received_ms > since_ms)
    return (state.own_record, *others)


def make_lease_check(state: MembershipState, now_ms: float) -> Callable[[EndpointEntry], bool]:
    """Return a check of leases that extends those of replying endpoints if the feed failed."""
    feed_failed = has_feed_failed(state, now_ms)

    def has_lease(entry: EndpointEntry) -> bool:
        if now_ms < entry.received_ms + ENDPOINT_LEASE_MS:
            return True
        replied_ms = state.reply_times_ms.get(entry.announcement.endpoint)
        is_reply_valid = replied_ms is not None and now_ms < replied_ms + REPLY_VALID_MS
        return feed_failed and is_reply_valid and not entry.draining

    return has_lease


def has_feed_failed(state: MembershipState, now_ms: float) -> bool:
    """Return whether more than half of the leases ended within one lease time."""
    received = [entry.received_ms for entry in state.endpoints.values() if not entry.draining]
    lapsed = sorted(at_ms for at_ms in received if now_ms >= at_ms + ENDPOINT_LEASE_MS)
    needed_count = len(received) // 2 + 1
    if len(lapsed) < needed_count or not _is_majority_live(state, now_ms):
        return False
    spans = zip(lapsed, lapsed[needed_count - 1 :], strict=False)
    return any(last - first <= ENDPOINT_LEASE_MS for first, last in spans)


def usable_endpoints(state: MembershipState, now_ms: float) -> tuple[EndpointView, ...]:
    """Return the endpoints that may receive new requests."""
    usable = _make_usable_check(state, now_ms)
    return tuple(
        EndpointView(
            entry.announcement.endpoint,
            entry.announcement.incarnation,
            entry.announcement.service,
            entry.announcement.failure_domain,
            entry.owner,
            entry.announcement.holdings,
            entry.announcement.slot_count,
            entry.announcement.slots_in_use,
            entry.in_flight_count,
            entry.queue_length,
            entry.latency_ms,
        )
        for entry in state.endpoints.values()
        if usable(entry)
    )


def endpoint_status(state: MembershipState, now_ms: float) -> tuple[EndpointStatus, ...]:
    """Describe every known endpoint for the status report."""
    usable = _make_usable_check(state, now_ms)
    return tuple(
        EndpointStatus(
            name,
            entry.announcement.service,
            entry.announcement.failure_domain,
            entry.announcement.address,
            entry.owner,
            entry.draining,
            usable(entry),
            max(0.0, now_ms - entry.received_ms),
            entry.in_flight_count,
            entry.queue_length,
            entry.latency_ms,
        )
        for name, entry in sorted(state.endpoints.items())
    )


def _make_usable_check(state: MembershipState, now_ms: float) -> Callable[[EndpointEntry], bool]:
    has_lease = make_lease_check(state, now_ms)
    live = {record.instance for record in live_instances(state, now_ms)}

    def is_usable(entry: EndpointEntry) -> bool:
        if entry.draining or not entry.owner or not has_lease(entry):
            return False
        # A result from the owner shows that it runs even if its record is late.
        replied_ms = state.reply_times_ms.get(entry.announcement.endpoint, -INSTANCE_LEASE_MS)
        return entry.owner in live or now_ms < replied_ms + INSTANCE_LEASE_MS

    return is_usable


def _is_majority_live(state: MembershipState, now_ms: float) -> bool:
    # An instance that is cut off from most others would miss a drain, so no lease is extended.
    others = [entry for entry in state.instances.values() if not entry.record.stopping]
    live = sum(1 for entry in others if now_ms < entry.received_ms + INSTANCE_LEASE_MS)
    return 2 * (live + 1) > len(others) + 1


def _own_record(state: MembershipState, now_ms: float) -> InstanceRecord:
    recorded_ms = state.own_recorded_ms
    if recorded_ms is None or now_ms >= recorded_ms + OWN_RECORD_INTERVAL_MS:
        state.own_recorded_ms = now_ms
        state.own_record = replace(state.own_record, sequence=state.own_record.sequence + 1)
    return replace(state.own_record, age_ms=0.0)


def _changes_since(
    state: MembershipState, since: int
) -> list[tuple[tuple[ChangeKind, object], int]]:
    newer = []
    for change in reversed(state.changes.items()):
        if change[1] <= since:
            break
        newer.append(change)
    newer.reverse()
    return newer


def _append_record(
    state: MembershipState,
    now_ms: float,
    kind: ChangeKind,
    key: object,
    peer: str,
    excluded_peers: tuple[str, ...],
    endpoints: list[EndpointRecord],
    instances: list[InstanceRecord],
    crashes: list[CrashReport],
    successes: list[SuccessReport],
) -> bool:
    if kind is ChangeKind.ENDPOINT and isinstance(key, str):
        entry = state.endpoints[key]
        if (entry.source and entry.source == peer) or entry.age_source in excluded_peers:
            return False
        endpoints.append(endpoint_record(entry, now_ms))
    elif kind is ChangeKind.INSTANCE and isinstance(key, str):
        instance = state.instances[key]
        if (
            peer in (instance.source, key)
            or instance.source in excluded_peers
            or key in excluded_peers
        ):
            return False
        age_ms = max(0.0, now_ms - instance.received_ms)
        instances.append(replace(instance.record, age_ms=age_ms))
    elif kind is ChangeKind.CRASH:
        crash, crash_ms = state.crashes[key]  # type: ignore[index]
        crashes.append(replace(crash, age_ms=now_ms - crash_ms))
    else:
        success, success_ms = state.successes[key]  # type: ignore[index]
        successes.append(replace(success, age_ms=now_ms - success_ms))
    return True


def drop_expired(state: MembershipState, now_ms: float) -> None:
    """Drop the entries that are past their retention time, at most once a second."""
    if now_ms < state.next_expiry_ms:
        return
    state.next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS
    for name, entry in list(state.endpoints.items()):
        replied_ms = state.reply_times_ms.get(name, entry.received_ms)
        if (
            now_ms >= entry.received_ms + LAPSED_RETENTION_MS
            and now_ms >= replied_ms + REPLY_VALID_MS
        ):
            del state.endpoints[name]
            state.reply_times_ms.pop(name, None)
            forget_change(state, ChangeKind.ENDPOINT, name)
    for name, instance in list(state.instances.items()):
        if now_ms >= instance.received_ms + LAPSED_RETENTION_MS:
            del state.instances[name]
            forget_change(state, ChangeKind.INSTANCE, name)
    for name, latest in list(state.latest_positions.items()):
        if name not in state.endpoints and now_ms >= latest.recorded_ms + POSITION_RETENTION_MS:
            del state.latest_positions[name]
    for crash_key, (_, crash_ms) in list(state.crashes.items()):
        if now_ms >= crash_ms + REPORT_RETENTION_MS:
            del state.crashes[crash_key]
            forget_change(state, ChangeKind.CRASH, crash_key)
    for success_key, (_, success_ms) in list(state.successes.items()):
        if now_ms >= success_ms + REPORT_RETENTION_MS:
            del state.successes[success_key]
            forget_change(state, ChangeKind.SUCCESS, success_key)
