"""Choice of the instance that owns the connections to an endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import ResultCode
from ..messages.endpoint import AnnounceReply
from ..messages.peer import RelayAnnouncement
from ..util.rendezvous import rendezvous_weight
from . import membership, merge
from .addresses import choose_addresses
from .membership_actions import ReplyAnnouncement, SendRelay
from .soft_state import (
    ENDPOINT_LEASE_MS,
    MAX_ENDPOINT_COUNT,
    OWNER_CHOICE_DELAY_MS,
    endpoint_record,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from ..messages.endpoint import Announcement
    from ..messages.peer import EndpointRecord, InstanceRecord
    from .membership_actions import MembershipAction
    from .soft_state import EndpointEntry, MembershipState

RENEWAL_INTERVAL_MS = 1_000
# A relayed announcement has no age, so it grants only this part of a lease until the next pull.
RELAYED_LEASE_MS = 1_000.0
MAX_NAME_LENGTH = 256
# A live owner is kept, so a restarted instance owns no endpoint at first. Endpoints move away from
# an owner that has more than 6/5 of the mean count, and to one that has less than 2/3 of it. Each
# instance moves one at a time, because a move opens new connections and the other instances
# receive it with their next pull.
OVERLOADED_FACTOR = 1.2
UNDERLOADED_FACTOR = 2 / 3
MOVE_INTERVAL_MS = 500.0


def choose_owner(
    endpoint: str, instances: Iterable[InstanceRecord], avoided: Collection[str] = ()
) -> str | None:
    """Choose an owner by rendezvous hash, avoiding the given instances if possible."""
    eligible = [record for record in instances if record.entry and not record.stopping]
    # An instance without a valid lease owns endpoints only if no other can.
    eligible = [record for record in eligible if record.serving] or eligible
    eligible = [record for record in eligible if record.instance not in avoided] or eligible
    best = max(
        eligible, key=lambda record: rendezvous_weight(endpoint, record.instance), default=None
    )
    return best.instance if best else None


def on_announcement(
    state: MembershipState, now_ms: float, announcement: Announcement
) -> list[MembershipAction]:
    """Merge an announcement of an endpoint, assign its owner and reply."""
    actions: list[MembershipAction] = []
    membership.drop_expired(state, now_ms)
    error = _find_error(announcement)
    if error is not None:
        return [_reply(state, now_ms, announcement, ResultCode.OUT_OF_RANGE, error, None)]
    is_registered = announcement.endpoint in state.endpoints
    if not is_registered and len(state.endpoints) >= MAX_ENDPOINT_COUNT:
        detail = f'this instance knows {MAX_ENDPOINT_COUNT} endpoints already'
        return [_reply(state, now_ms, announcement, ResultCode.OVERLOADED, detail, None)]
    if _is_repeat(state, announcement):
        if announcement.draining:
            merge.record_leaving(state, announcement.endpoint, announcement.incarnation, actions)
        entry = state.endpoints.get(announcement.endpoint)
        detail = 'a newer announcement is known'
    else:
        entry = merge.merge_announcement(state, now_ms, announcement, now_ms, actions)
        detail = 'renewed'
        if entry is not None:
            entry.source = ''
            entry.age_source = ''
            _assign_owner(state, now_ms, entry, actions)
    owner = entry.owner or None if entry is not None else None
    if entry is not None and owner is not None and owner != state.own_record.instance:
        relay = RelayAnnouncement(entry.announcement, entry.owner_epoch)
        actions.append(SendRelay(owner, relay))
    actions.append(_reply(state, now_ms, announcement, ResultCode.COMPLETE, detail, owner))
    return actions


def on_relay(
    state: MembershipState, now_ms: float, relay: RelayAnnouncement
) -> list[MembershipAction]:
    """Merge an announcement that another instance received and relayed to this owner."""
    actions: list[MembershipAction] = []
    if _find_error(relay.announcement) is not None:
        return actions
    announcement = relay.announcement
    if _is_repeat(state, announcement):
        entry = state.endpoints.get(announcement.endpoint)
        if announcement.draining:
            name, incarnation = announcement.endpoint, announcement.incarnation
            merge.record_leaving(state, name, incarnation, actions)
    else:
        received_ms = now_ms - ENDPOINT_LEASE_MS + RELAYED_LEASE_MS
        entry = merge.merge_announcement(state, now_ms, announcement, received_ms, actions)
    if entry is not None:
        entry.source = ''
        merge.merge_owner(state, entry, state.own_record.instance, relay.owner_epoch, actions)
    return actions


def record_draining(
    state: MembershipState, endpoint: str, incarnation: int
) -> list[MembershipAction]:
    """Record that an endpoint announced in a reply that it is leaving."""
    actions: list[MembershipAction] = []
    merge.record_leaving(state, endpoint, incarnation, actions)
    return actions


def owned_endpoints(state: MembershipState, now_ms: float) -> tuple[EndpointRecord, ...]:
    """Return the records of the endpoints that this instance owns."""
    has_lease = membership.make_lease_check(state, now_ms)
    return tuple(
        endpoint_record(entry, now_ms)
        for entry in state.endpoints.values()
        if entry.owner == state.own_record.instance and has_lease(entry)
    )


def _assign_owner(
    state: MembershipState, now_ms: float, entry: EndpointEntry, actions: list[MembershipAction]
) -> None:
    can_choose = state.has_peer_state or now_ms >= state.started_ms + OWNER_CHOICE_DELAY_MS
    if entry.draining or not can_choose:
        return
    live = membership.live_instances(state, now_ms)
    eligible = [record for record in live if record.entry and not record.stopping]
    avoided = _owners_of_replicas(state, now_ms, entry)
    owner: str | None
    if any(record.instance == entry.owner for record in eligible):
        # Two replicas of a service may share an owner after a start; the one with the later name
        # moves.
        alternatives = {record.instance for record in eligible} - set(avoided)
        replica = avoided.get(entry.owner, '')
        if replica and replica <= entry.announcement.endpoint and alternatives:
            owner = choose_owner(entry.announcement.endpoint, live, avoided)
        else:
            owner = _less_loaded_owner(state, now_ms, entry, eligible, avoided)
    else:
        owner = choose_owner(entry.announcement.endpoint, live, avoided)
    if owner is not None and owner != entry.owner:
        merge.set_owner(state, entry, owner, entry.owner_epoch + 1, actions)


def _less_loaded_owner(
    state: MembershipState,
    now_ms: float,
    entry: EndpointEntry,
    eligible: list[InstanceRecord],
    avoided: Collection[str],
) -> str | None:
    """Return an owner with far fewer endpoints, or None; moves are rare and spaced in time."""
    if now_ms < state.next_move_ms:
        return None
    counts = {record.instance: 0 for record in eligible if record.serving}
    for other in state.endpoints.values():
        if other.owner in counts and now_ms < other.received_ms + ENDPOINT_LEASE_MS:
            counts[other.owner] += 1
    if entry.owner not in counts:
        return None
    mean_count = sum(counts.values()) / len(counts)
    candidates = [name for name in counts if name not in avoided and name != entry.owner]
    target = min(candidates, key=lambda name: (counts[name], name), default=None)
    if target is None or counts[target] >= mean_count:
        return None
    overloaded = counts[entry.owner] > mean_count * OVERLOADED_FACTOR + 1
    underloaded = (
        counts[target] < mean_count * UNDERLOADED_FACTOR and counts[entry.owner] > mean_count
    )
    if not overloaded and not underloaded:
        return None
    state.next_move_ms = now_ms + MOVE_INTERVAL_MS
    return target


def _owners_of_replicas(
    state: MembershipState, now_ms: float, entry: EndpointEntry
) -> dict[str, str]:
    owners: dict[str, str] = {}
    for other in state.endpoints.values():
        if other is entry or not other.owner or other.draining:
            continue
        is_same_service = other.announcement.service == entry.announcement.service
        if is_same_service and now_ms < other.received_ms + ENDPOINT_LEASE_MS:
            name = other.announcement.endpoint
            owners[other.owner] = min(owners.get(other.owner, name), name)
    return owners


def _is_repeat(state: MembershipState, announcement: Announcement) -> bool:
    latest = state.latest_positions.get(announcement.endpoint)
    if latest is None:
        return False
    position = (announcement.incarnation, announcement.sequence)
    return position <= (latest.incarnation, latest.sequence)


def _find_error(announcement: Announcement) -> str | None:
    names = (announcement.endpoint, announcement.service, announcement.address)
    if not all(0 < len(name) <= MAX_NAME_LENGTH for name in names):
        return f'endpoint, service and address need 1 to {MAX_NAME_LENGTH} characters'
    if announcement.slot_count < 1 or announcement.connection_limit < 1:
        return 'slot_count and connection_limit must be at least 1'
    if announcement.incarnation < 0 or announcement.sequence < 0:
        return 'incarnation and sequence must not be negative'
    return None


def _reply(
    state: MembershipState,
    now_ms: float,
    announcement: Announcement,
    code: ResultCode,
    detail: str,
    owner: str | None,
) -> ReplyAnnouncement:
    live = membership.live_instances(state, now_ms)
    addresses = choose_addresses(live, announcement.endpoint, state.draining_instances)
    return ReplyAnnouncement(AnnounceReply(code, detail, owner, RENEWAL_INTERVAL_MS, addresses))
