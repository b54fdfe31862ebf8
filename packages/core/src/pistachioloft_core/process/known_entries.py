"""Entry instances that poll a control instance or one of its peers, and the shares about them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from msgspec.structs import replace

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..messages.fleet import EntryRenewal, EntryStatus, SilentEntry

# An entry instance polls about every 300 ms; three polls may be lost or late.
ENTRY_LIVE_MS = 1_100.0
# The control instance that an entry instance polls shares its changes and its silence at once.
# Without a change it renews the entry at this interval, which keeps shares small.
RENEWAL_INTERVAL_MS = 1_000.0
# Three renewals may be lost before an entry instance that polls a peer counts as silent.
RELAYED_LIVE_MS = 3_300.0
# A change is repeated for four shares, in case one of them is lost.
REPEAT_MS = 800.0
INSTANCE_LIMIT_COUNT = 16_384


@dataclass(frozen=True, slots=True)
class KnownEntry:
    """Hold the newest status of an entry instance and the control instance that it polls."""

    status: EntryStatus
    received_ms: float
    # The control instance that it polls; empty if it polls this one.
    via: str


class _SharedEntry:
    """Hold what was last shared about an entry instance."""

    __slots__ = ('changed_ms', 'content', 'full_until_ms', 'in_full', 'shared_ms')

    def __init__(
        self, content: tuple[int, bool, bool, int], in_full: tuple[int, bool], now_ms: float
    ) -> None:
        self.content = content
        # Fields that no renewal carries; the whole status is shared for a while when they change.
        self.in_full = in_full
        self.full_until_ms = now_ms
        self.changed_ms = now_ms
        self.shared_ms = now_ms


class KnownEntries:
    """Hold the known entry instances by name."""

    def __init__(self) -> None:
        self.by_name: dict[str, KnownEntry] = {}
        # Entry instances that poll this control instance, as last shared.
        self.shared: dict[str, _SharedEntry] = {}
        # Entry instances that stopped polling here, and until when this is shared again.
        self.silent: dict[str, tuple[SilentEntry, float]] = {}


def merge_entry(
    state: KnownEntries, received_ms: float, status: EntryStatus, via: str = ''
) -> bool:
    """Merge a status unless a newer one is known; return whether advertising is affected."""
    entry = state.by_name.get(status.instance)
    if entry is None and len(state.by_name) >= INSTANCE_LIMIT_COUNT:
        return False
    if entry is not None:
        order = (status.incarnation, status.sequence)
        last_order = (entry.status.incarnation, entry.status.sequence)
        if order < last_order or (order == last_order and received_ms <= entry.received_ms):
            return False
    state.by_name[status.instance] = KnownEntry(replace(status, age_ms=0.0), received_ms, via)
    return entry is None or _advertised_fields(entry.status) != _advertised_fields(status)


def renew_entry(state: KnownEntries, now_ms: float, renewal: EntryRenewal, via: str) -> bool:
    """Apply a renewal; return False if the incarnation is not known here."""
    name, incarnation, sequence, ready, stopping, route_version, in_flight_count, age_ms = renewal
    entry = state.by_name.get(name)
    if entry is None or entry.status.incarnation < incarnation:
        return False
    if entry.status.incarnation == incarnation:
        status = replace(
            entry.status,
            sequence=sequence,
            ready=ready,
            stopping=stopping,
            route_version=route_version,
            in_flight_count=in_flight_count,
        )
        merge_entry(state, now_ms - age_ms, status, via)
    return True


def record_entry_silent(state: KnownEntries, now_ms: float, silent: SilentEntry) -> None:
    """Record that an entry instance stopped polling its control instance."""
    name, incarnation, sequence = silent
    entry = state.by_name.get(name)
    if entry is None or (entry.status.incarnation, entry.status.sequence) > (incarnation, sequence):
        # It has polled another control instance since then.
        return
    received_ms = min(entry.received_ms, now_ms - RELAYED_LIVE_MS)
    state.by_name[name] = KnownEntry(entry.status, received_ms, entry.via)


def collect_entry_changes(
    state: KnownEntries, now_ms: float
) -> tuple[tuple[EntryStatus, ...], tuple[EntryRenewal, ...], tuple[SilentEntry, ...]]:
    """Return the new, renewed and silent ones of the entry instances that poll this instance."""
    new: list[EntryStatus] = []
    renewals: list[EntryRenewal] = []
    for name, entry in state.by_name.items():
        status = entry.status
        if entry.via or now_ms - entry.received_ms >= ENTRY_LIVE_MS:
            _record_silent(state, now_ms, entry)
            continue
        state.silent.pop(name, None)
        content = (status.incarnation, status.ready, status.stopping, status.route_version)
        in_full = (status.incarnation, status.cut_off)
        shared = state.shared.get(name)
        if shared is None:
            shared = state.shared[name] = _SharedEntry(content, in_full, now_ms)
            new.append(status_with_age(entry, now_ms))
            continue
        if shared.in_full != in_full:
            shared.content, shared.changed_ms = content, now_ms
            shared.in_full, shared.full_until_ms = in_full, now_ms + REPEAT_MS
        if now_ms < shared.full_until_ms:
            shared.shared_ms = now_ms
            new.append(status_with_age(entry, now_ms))
            continue
        if shared.content != content:
            shared.content, shared.changed_ms = content, now_ms
        if (
            now_ms - shared.changed_ms < REPEAT_MS
            or now_ms - shared.shared_ms >= RENEWAL_INTERVAL_MS
        ):
            shared.shared_ms = now_ms
            renewals.append(_renewal(entry, now_ms))
    state.silent = {name: item for name, item in state.silent.items() if now_ms < item[1]}
    return tuple(new), tuple(renewals), tuple(item[0] for item in state.silent.values())


def forget_entries(state: KnownEntries, now_ms: float, forget_ms: float) -> None:
    """Forget the entry instances that were silent for `forget_ms`."""
    state.by_name = {
        name: entry
        for name, entry in state.by_name.items()
        if now_ms - entry.received_ms < forget_ms
    }
    for name in [name for name in state.shared if name not in state.by_name]:
        del state.shared[name]


def is_live(now_ms: float, entry: KnownEntry, is_control_live: Callable[[str], bool]) -> bool:
    """Return whether an entry instance polls this control instance or a live peer."""
    age_ms = now_ms - entry.received_ms
    if age_ms < ENTRY_LIVE_MS or not entry.via:
        return age_ms < ENTRY_LIVE_MS
    return age_ms < RELAYED_LIVE_MS and is_control_live(entry.via)


def status_with_age(entry: KnownEntry, now_ms: float) -> EntryStatus:
    """Return the status of an entry instance with its age."""
    return replace(entry.status, age_ms=now_ms - entry.received_ms)


def _record_silent(state: KnownEntries, now_ms: float, entry: KnownEntry) -> None:
    status = entry.status
    if state.shared.pop(status.instance, None) is not None and not entry.via:
        silent = (status.instance, status.incarnation, status.sequence)
        state.silent[status.instance] = (silent, now_ms + REPEAT_MS)


def _renewal(entry: KnownEntry, now_ms: float) -> EntryRenewal:
    status = entry.status
    return (
        status.instance,
        status.incarnation,
        status.sequence,
        status.ready,
        status.stopping,
        status.route_version,
        status.in_flight_count,
        round(now_ms - entry.received_ms),
    )


def _advertised_fields(status: EntryStatus) -> tuple[bool, bool, bool, str]:
    """Return the fields that decide whether and how an entry instance is advertised."""
    return status.ready, status.stopping, status.cut_off, status.caller_address
