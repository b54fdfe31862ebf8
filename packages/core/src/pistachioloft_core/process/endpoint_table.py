"""The endpoints that an entry instance may use, brought up to date by a feed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..connection.endpoint_load import EndpointLoad
from ..messages.fleet import (
    ENDPOINT_DRAINING,
    ENDPOINT_LAPSED,
    ENDPOINT_LEFT,
    ENDPOINT_READY,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..messages.fleet import AnnouncedEndpoint, ReceivedEndpoint

_FINAL = (ENDPOINT_DRAINING, ENDPOINT_LEFT)
# An endpoint whose announcements stopped is still used for this long after its last reply:
# what this instance sees itself outweighs what it is told.
REPLY_LIFE_MS = 2_000.0


@dataclass(frozen=True, slots=True)
class EndpointChange:
    """Describe one change for the log."""

    endpoint: str
    detail: str


class EndpointTable:
    """Hold the known endpoints with their load, and which of each service are usable."""

    __slots__ = ('endpoints', 'services', 'usable_count')

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointLoad] = {}
        # Usable endpoints only; those that drain, left or lapsed get no new work.
        self.services: dict[str, list[EndpointLoad]] = {}
        self.usable_count = 0

    def usable(self, service: str) -> list[EndpointLoad]:
        """Return the endpoints of a service that may be given new work."""
        return self.services.get(service, [])


def apply_update(
    table: EndpointTable, now_ms: float, endpoints: Iterable[ReceivedEndpoint], synchronized: bool
) -> list[EndpointChange]:
    """Apply announcements; only a synchronized sender may say that an endpoint lapsed."""
    changes: list[EndpointChange] = []
    for received in endpoints:
        record = received.record
        known = table.endpoints.get(record.endpoint)
        if known is not None and not _replaces(known.record, record, synchronized):
            continue
        if known is None and record.endpoint_state != ENDPOINT_READY:
            # A tombstone is kept too: an unsynchronized sender may still announce the endpoint.
            table.endpoints[record.endpoint] = EndpointLoad(record, now_ms)
            continue
        changes += _put(table, now_ms, known, received)
    return changes


def keep_only(table: EndpointTable, endpoints: Iterable[ReceivedEndpoint]) -> list[EndpointChange]:
    """Drop the endpoints that a synchronized sender's full list does not name."""
    named = {received.record.endpoint for received in endpoints}
    gone = [name for name in table.endpoints if name not in named]
    changes = []
    for name in gone:
        load = table.endpoints.pop(name)
        if _withdraw(table, load):
            changes.append(EndpointChange(name, 'no longer announced'))
    return changes


def withdraw_silent(table: EndpointTable, now_ms: float) -> list[EndpointChange]:
    """Give no more work to endpoints that lapsed and do not answer either."""
    silent = [
        load
        for load in table.endpoints.values()
        if load.record.endpoint_state == ENDPOINT_LAPSED
        and now_ms >= load.replied_ms + REPLY_LIFE_MS
    ]
    return [
        EndpointChange(load.record.endpoint, 'lapsed and silent')
        for load in silent
        if _withdraw(table, load)
    ]


def _replaces(known: AnnouncedEndpoint, record: AnnouncedEndpoint, synchronized: bool) -> bool:
    if record.born_ms != known.born_ms:
        return record.born_ms > known.born_ms
    if known.endpoint_state in _FINAL and record.endpoint_state not in _FINAL:
        return False
    if known.endpoint_state == ENDPOINT_LEFT:
        return record.endpoint_state == ENDPOINT_LEFT
    return synchronized or record.endpoint_state in (ENDPOINT_READY, *_FINAL)


def _put(
    table: EndpointTable, now_ms: float, known: EndpointLoad | None, received: ReceivedEndpoint
) -> list[EndpointChange]:
    record = received.record
    cold_until_ms = now_ms + max(0.0, record.cold_left_ms - received.age_ms)
    before = known.record if known is not None else None
    if known is not None and _same_start(known.record, record):
        load = known
        load.record = record
    else:
        if known is not None:
            _withdraw(table, known)
        load = EndpointLoad(record, cold_until_ms)
        table.endpoints[record.endpoint] = load
    load.cold_until_ms = cold_until_ms
    answering = now_ms < load.replied_ms + REPLY_LIFE_MS
    if record.endpoint_state == ENDPOINT_READY:
        members = table.services.setdefault(record.service, [])
        if load not in members:
            members.append(load)
            table.usable_count += 1
    elif record.endpoint_state != ENDPOINT_LAPSED or not answering:
        _withdraw(table, load)
    if (
        before is not None
        and before.endpoint_state == record.endpoint_state
        and _same_start(before, record)
    ):
        return []
    detail = f'{record.endpoint_state}, service {record.service}, at {record.address}'
    return [EndpointChange(record.endpoint, detail)]


def _same_start(known: AnnouncedEndpoint, record: AnnouncedEndpoint) -> bool:
    return (known.born_ms, known.address, known.service) == (
        record.born_ms,
        record.address,
        record.service,
    )


def _withdraw(table: EndpointTable, load: EndpointLoad) -> bool:
    members = table.services.get(load.record.service, [])
    if load not in members:
        return False
    members.remove(load)
    table.usable_count -= 1
    if not members:
        del table.services[load.record.service]
    return True
