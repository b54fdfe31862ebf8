"""Entry instances that a control instance hears itself or through another, and what it shares."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from msgspec.structs import replace

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..messages.fleet import EntryRenewal, EntryStatus, SilentEntry

# An entry instance polls about every 300 ms; three polls may be lost or late.
ENTRY_LIVE_MS = 1_100.0
# The control instance that an entry instance polls says at once what changes of it, and that it
# is silent. In between it only renews the entry, so that most of a share is not what all know.
RENEW_MS = 1_000.0
# Three renewals may be lost.
RELAYED_LIVE_MS = 3_300.0
# A change is repeated for this time, four shares, in case one of them is lost.
REPEAT_MS = 800.0
INSTANCE_LIMIT_COUNT = 16_384


@dataclass(frozen=True, slots=True)
class KnownEntry:
    """Hold what an entry instance said, and the control instance that it polls."""

    status: EntryStatus
    received_ms: float
    # Empty if it polls this one.
    via: str


class _Shared:
    """Hold what the other control instances were told of an entry instance."""

    __slots__ = ('changed_ms', 'shared_ms', 'told')

    def __init__(self, told: tuple[int, bool, bool, int], now_ms: float) -> None:
        self.told = told
        self.changed_ms = now_ms
        self.shared_ms = now_ms


class KnownEntries:
    """Hold the known entry instances by name."""

    def __init__(self) -> None:
        self.by_name: dict[str, KnownEntry] = {}
        # Those that poll here, as they were shared.
        self.shared: dict[str, _Shared] = {}
        # Those that stopped polling here, with the time until which this is repeated.
        self.silent: dict[str, tuple[SilentEntry, float]] = {}


def merge_entry(
    state: KnownEntries, received_ms: float, status: EntryStatus, via: str = ''
) -> bool:
    """Take what an entry instance said unless later words are known, and tell whether it is new."""
    known = state.by_name.get(status.instance)
    if known is None and len(state.by_name) >= INSTANCE_LIMIT_COUNT:
        return False
    if known is not None:
        order = (status.incarnation, status.sequence)
        known_order = (known.status.incarnation, known.status.sequence)
        if order < known_order or (order == known_order and received_ms <= known.received_ms):
            return False
    state.by_name[status.instance] = KnownEntry(replace(status, age_ms=0.0), received_ms, via)
    return known is None or _place_of(known.status) != _place_of(status)


def renew_entry(state: KnownEntries, now_ms: float, renewal: EntryRenewal, via: str) -> bool:
    """Take what may change of an entry instance; false if its start is not known here."""
    name, incarnation, sequence, ready, stopping, route_version, in_flight_count, age_ms = renewal
    known = state.by_name.get(name)
    if known is None or known.status.incarnation < incarnation:
        return False
    if known.status.incarnation == incarnation:
        status = replace(
            known.status,
            sequence=sequence,
            ready=ready,
            stopping=stopping,
            route_version=route_version,
            in_flight_count=in_flight_count,
        )
        merge_entry(state, now_ms - age_ms, status, via)
    return True


def mark_entry_silent(state: KnownEntries, now_ms: float, silent: SilentEntry) -> None:
    """Take note that an entry instance has stopped polling the control instance that it polled."""
    name, incarnation, sequence = silent
    known = state.by_name.get(name)
    if known is None or (known.status.incarnation, known.status.sequence) > (incarnation, sequence):
        # It polls another one since.
        return
    received_ms = min(known.received_ms, now_ms - RELAYED_LIVE_MS)
    state.by_name[name] = KnownEntry(known.status, received_ms, known.via)


def collect_entry_changes(
    state: KnownEntries, now_ms: float
) -> tuple[tuple[EntryStatus, ...], tuple[EntryRenewal, ...], tuple[SilentEntry, ...]]:
    """Return the entry instances polling here that are new, to be renewed, and silent."""
    new: list[EntryStatus] = []
    renewals: list[EntryRenewal] = []
    for name, each in state.by_name.items():
        status = each.status
        if each.via or now_ms - each.received_ms >= ENTRY_LIVE_MS:
            _note_gone(state, now_ms, each)
            continue
        state.silent.pop(name, None)
        told = (status.incarnation, status.ready, status.stopping, status.route_version)
        shared = state.shared.get(name)
        if shared is None or shared.told[0] != status.incarnation:
            state.shared[name] = _Shared(told, now_ms)
            new.append(status_with_age(each, now_ms))
            continue
        if shared.told != told:
            shared.told, shared.changed_ms = told, now_ms
        if now_ms - shared.changed_ms < REPEAT_MS or now_ms - shared.shared_ms >= RENEW_MS:
            shared.shared_ms = now_ms
            renewals.append(_renewal(each, now_ms))
    state.silent = {name: item for name, item in state.silent.items() if now_ms < item[1]}
    return tuple(new), tuple(renewals), tuple(item[0] for item in state.silent.values())


def forget_entries(state: KnownEntries, now_ms: float, forget_ms: float) -> None:
    """Forget the entry instances that were silent for some time."""
    state.by_name = {
        name: each for name, each in state.by_name.items() if now_ms - each.received_ms < forget_ms
    }
    for name in [name for name in state.shared if name not in state.by_name]:
        del state.shared[name]


def is_live(now_ms: float, each: KnownEntry, via_is_live: Callable[[str], bool]) -> bool:
    """Tell whether an entry instance polls, here or where another control instance is."""
    age_ms = now_ms - each.received_ms
    if age_ms < ENTRY_LIVE_MS or not each.via:
        return age_ms < ENTRY_LIVE_MS
    return age_ms < RELAYED_LIVE_MS and via_is_live(each.via)


def status_with_age(each: KnownEntry, now_ms: float) -> EntryStatus:
    """Return what an entry instance said with the time since then."""
    return replace(each.status, age_ms=now_ms - each.received_ms)


def _note_gone(state: KnownEntries, now_ms: float, each: KnownEntry) -> None:
    status = each.status
    if state.shared.pop(status.instance, None) is not None and not each.via:
        silent = (status.instance, status.incarnation, status.sequence)
        state.silent[status.instance] = (silent, now_ms + REPEAT_MS)


def _renewal(each: KnownEntry, now_ms: float) -> EntryRenewal:
    status = each.status
    return (
        status.instance,
        status.incarnation,
        status.sequence,
        status.ready,
        status.stopping,
        status.route_version,
        status.in_flight_count,
        round(now_ms - each.received_ms),
    )


def _place_of(status: EntryStatus) -> tuple[bool, bool, str]:
    """Return what decides whether callers are sent to an entry instance."""
    return status.ready, status.stopping, status.caller_address
