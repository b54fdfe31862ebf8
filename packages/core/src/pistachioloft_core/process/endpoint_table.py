"""The endpoints that an entry instance may use, updated by a feed."""

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

    from ..connection.statements import EndpointStatements
    from ..messages.fleet import AnnouncedEndpoint, ReceivedEndpoint

_FINAL_STATES = (ENDPOINT_DRAINING, ENDPOINT_LEFT)
# A lapsed endpoint is still used for this long after its last reply, because a reply to this
# instance is stronger evidence than a missing announcement.
REPLY_VALID_MS = 2_000.0
# Endpoints that are no longer announced and whose statements are remembered.
REMEMBERED_LIMIT_COUNT = 4_096


@dataclass(frozen=True, slots=True)
class EndpointChange:
    """Describe one change for the log."""

    endpoint: str
    detail: str


class EndpointTable:
    """Hold the load of the known endpoints and the usable endpoints of each service."""

    __slots__ = (
        '_services_by_domain',
        'endpoints',
        'evacuated_domains',
        'evacuation_index',
        'remembered',
        'services',
        'usable_count',
    )

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointLoad] = {}
        # Usable endpoints only; draining, departed, lapsed and evacuated ones get no new requests.
        self.services: dict[str, list[EndpointLoad]] = {}
        self.usable_count = 0
        # By failure domain: the services with a usable endpoint there, until that changes.
        self._services_by_domain: dict[str, frozenset[str]] = {}
        # By endpoint that is no longer announced: its start and what it said about itself.
        self.remembered: dict[str, tuple[int, EndpointStatements]] = {}
        self.evacuated_domains: frozenset[str] = frozenset()
        # The log index of the last change of the evacuated failure domains.
        self.evacuation_index = 0

    def usable(self, service: str) -> list[EndpointLoad]:
        """Return the endpoints of a service that may receive new requests."""
        return self.services.get(service, [])

    def services_in(self, failure_domain: str) -> frozenset[str]:
        """Return the services with a usable endpoint in a failure domain."""
        services = self._services_by_domain.get(failure_domain)
        if services is None:
            services = frozenset(
                service
                for service, loads in self.services.items()
                if any(load.record.failure_domain == failure_domain for load in loads)
            )
            self._services_by_domain[failure_domain] = services
        return services

    def forget_derived(self) -> None:
        """Forget what is derived from the usable endpoints, because they changed."""
        self._services_by_domain.clear()


def apply_update(
    table: EndpointTable, now_ms: float, endpoints: Iterable[ReceivedEndpoint], synchronized: bool
) -> list[EndpointChange]:
    """Apply announcements; a lapse is accepted from a synchronized sender only."""
    changes: list[EndpointChange] = []
    for received in endpoints:
        record = received.record
        current = table.endpoints.get(record.endpoint)
        if current is not None and not _supersedes(current.record, record, synchronized):
            continue
        if current is None and record.endpoint_state != ENDPOINT_READY:
            # Kept as a tombstone: an unsynchronized sender may still announce the endpoint.
            table.endpoints[record.endpoint] = _make_load(table, None, record, now_ms)
            continue
        changes += _apply_record(table, now_ms, current, received)
    return changes


def remove_missing_endpoints(
    table: EndpointTable, endpoints: Iterable[ReceivedEndpoint]
) -> list[EndpointChange]:
    """Remove the endpoints that are missing from the full list of a synchronized sender."""
    named = {received.record.endpoint for received in endpoints}
    removed = [name for name in table.endpoints if name not in named]
    changes = []
    for name in removed:
        load = table.endpoints.pop(name)
        table.remembered[name] = (load.record.born_ms, load.statements)
        if _withdraw(table, load):
            changes.append(EndpointChange(name, 'no longer announced'))
    while len(table.remembered) > REMEMBERED_LIMIT_COUNT:
        del table.remembered[next(iter(table.remembered))]
    return changes


def withdraw_leaving(table: EndpointTable, load: EndpointLoad) -> None:
    """Withdraw an endpoint that says it leaves, whatever is announced of this run of it."""
    _withdraw(table, load)


def withdraw_silent(table: EndpointTable, now_ms: float) -> list[EndpointChange]:
    """Withdraw endpoints that lapsed and do not reply either."""
    silent = [
        load
        for load in table.endpoints.values()
        if load.record.endpoint_state == ENDPOINT_LAPSED
        and now_ms >= load.replied_ms + REPLY_VALID_MS
    ]
    return [
        EndpointChange(load.record.endpoint, 'lapsed and silent')
        for load in silent
        if _withdraw(table, load)
    ]


def set_evacuated_domains(
    table: EndpointTable, now_ms: float, index: int, domains: Iterable[str]
) -> list[EndpointLoad]:
    """Withdraw the endpoints of evacuated failure domains, and restore those of the others."""
    if index <= table.evacuation_index:
        return []
    before, table.evacuated_domains = table.evacuated_domains, frozenset(domains)
    table.evacuation_index = index
    changed_domains = before ^ table.evacuated_domains
    affected = [
        load for load in table.endpoints.values() if load.record.failure_domain in changed_domains
    ]
    for load in affected:
        if is_evacuated(table, load):
            _withdraw(table, load)
        elif _is_alive(load, now_ms):
            # It may have restarted meanwhile, and all instances return to it together.
            load.prepare_return(now_ms)
            _add(table, load)
    return affected


def is_evacuated(table: EndpointTable, load: EndpointLoad) -> bool:
    """Return whether the failure domain of an endpoint is evacuated."""
    return load.record.failure_domain in table.evacuated_domains


def _is_alive(load: EndpointLoad, now_ms: float) -> bool:
    if load.statements.is_leaving:
        return False
    is_replying = now_ms < load.replied_ms + REPLY_VALID_MS
    state = load.record.endpoint_state
    return state == ENDPOINT_READY or (state == ENDPOINT_LAPSED and is_replying)


def _supersedes(current: AnnouncedEndpoint, record: AnnouncedEndpoint, synchronized: bool) -> bool:
    if record.born_ms != current.born_ms:
        return record.born_ms > current.born_ms
    if current.endpoint_state in _FINAL_STATES and record.endpoint_state not in _FINAL_STATES:
        return False
    if current.endpoint_state == ENDPOINT_LEFT:
        return record.endpoint_state == ENDPOINT_LEFT
    return synchronized or record.endpoint_state in (ENDPOINT_READY, *_FINAL_STATES)


def _apply_record(
    table: EndpointTable, now_ms: float, current: EndpointLoad | None, received: ReceivedEndpoint
) -> list[EndpointChange]:
    record = received.record
    cold_until_ms = now_ms + max(0.0, record.cold_left_ms - received.age_ms)
    previous = current.record if current is not None else None
    if current is not None and _is_same_start(current.record, record):
        load = current
        load.record = record
    else:
        if current is not None:
            _withdraw(table, current)
        load = _make_load(table, current, record, cold_until_ms)
        table.endpoints[record.endpoint] = load
    load.cold_until_ms = cold_until_ms
    is_replying = now_ms < load.replied_ms + REPLY_VALID_MS
    if is_evacuated(table, load):
        _withdraw(table, load)
    elif record.endpoint_state == ENDPOINT_READY and not load.statements.is_leaving:
        _add(table, load)
    elif record.endpoint_state != ENDPOINT_LAPSED or not is_replying:
        _withdraw(table, load)
    if (
        previous is not None
        and previous.endpoint_state == record.endpoint_state
        and _is_same_start(previous, record)
    ):
        return []
    detail = f'{record.endpoint_state}, service {record.service}, at {record.address}'
    return [EndpointChange(record.endpoint, detail)]


def _make_load(
    table: EndpointTable,
    current: EndpointLoad | None,
    record: AnnouncedEndpoint,
    cold_until_ms: float,
) -> EndpointLoad:
    """Make the load of an endpoint with what this run of it has said about itself."""
    born_ms, statements = table.remembered.pop(record.endpoint, (None, None))
    if current is not None:
        born_ms, statements = current.record.born_ms, current.statements
    return EndpointLoad(record, cold_until_ms, statements if born_ms == record.born_ms else None)


def _is_same_start(current: AnnouncedEndpoint, record: AnnouncedEndpoint) -> bool:
    return (current.born_ms, current.address, current.service) == (
        record.born_ms,
        record.address,
        record.service,
    )


def _add(table: EndpointTable, load: EndpointLoad) -> None:
    usable = table.services.setdefault(load.record.service, [])
    if load not in usable:
        usable.append(load)
        table.usable_count += 1
        table.forget_derived()


def _withdraw(table: EndpointTable, load: EndpointLoad) -> bool:
    usable = table.services.get(load.record.service, [])
    if load not in usable:
        return False
    usable.remove(load)
    table.usable_count -= 1
    table.forget_derived()
    if not usable:
        del table.services[load.record.service]
    return True
