"""Choose the entry instances that callers should use, and those that help with their queries."""

from __future__ import annotations

import zlib
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from ..util.rendezvous import rendezvous_weight
from ..version.route_table import shard_services

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..messages.fleet import EntryStatus, InstanceLocation
    from ..messages.routes import RouteSet

ADDRESS_LIMIT_COUNT = 64
# Fraction of an endpoint's connections that all entry instances use together. After a power failure
# an endpoint still counts the connections of earlier processes; about half leaves room for both.
CONNECTION_FRACTION = 0.55
# With one connection to each endpoint, two concurrent queries would queue at an entry instance.
CONNECTIONS_PER_ENTRY = 2
# An instance sends the sub-requests of a query one after the other. A part of about this size takes
# it as long as the message for the part and its reply take two instances.
PART_SHARD_COUNT = 10
# Callers use the entry instances of their own failure domain if there are at least this many, so
# that the loss of one leaves another.
MIN_NEAR_COUNT = 2


def entry_limit(routes: RouteSet) -> int | None:
    """Return how many entry instances the connection limits allow, or None if unlimited."""
    limits = {rule.service: rule.connection_limit for rule in routes.services}
    # A query uses every endpoint of its shards; other requests spread over their endpoints.
    bounds = [limits[shard] for shard in shard_services(routes) if shard in limits]
    if not bounds:
        return None
    return max(1, int(min(bounds) * CONNECTION_FRACTION / CONNECTIONS_PER_ENTRY))


def largest_query(routes: RouteSet) -> int:
    """Return the number of shards of the largest query, 0 without any."""
    gathers = (route.gather for route in routes.routes)
    return max((len(gather.shards) for gather in gathers if gather is not None), default=0)


def advertised_entries(
    entries: Iterable[EntryStatus], entry_limit_count: int | None
) -> tuple[EntryStatus, ...]:
    """Choose the advertised entry instances, spread over the failure domains."""
    ready = [entry for entry in entries if entry.ready and not entry.stopping]
    # Without any that reaches endpoints, the endpoints are probably down and not the links.
    ready = [entry for entry in ready if not entry.cut_off] or ready
    if entry_limit_count is None or len(ready) <= entry_limit_count:
        return tuple(ready)
    # The order is stable: the loss of an instance does not change the choice of the others.
    domains: defaultdict[str, list[EntryStatus]] = defaultdict(list)
    for entry in sorted(
        ready, key=lambda candidate: rendezvous_weight('entry', candidate.instance)
    ):
        domains[entry.failure_domain].append(entry)
    advertised: list[EntryStatus] = []
    while len(advertised) < entry_limit_count:
        for name in sorted(domains):
            if domains[name] and len(advertised) < entry_limit_count:
                advertised.append(domains[name].pop())
    return tuple(advertised)


def helper_entries(
    entries: Iterable[EntryStatus], advertised: tuple[EntryStatus, ...], shard_count: int
) -> tuple[EntryStatus, ...]:
    """Choose the instances that divide large queries among them, the advertised ones included."""
    # The others cost no connections: each shard is queried through one instance of each failure
    # domain.
    wanted_count = -(-shard_count // PART_SHARD_COUNT)
    counts = Counter(entry.failure_domain for entry in advertised)
    names = {entry.instance for entry in advertised}
    others = [
        entry
        for entry in entries
        if entry.ready
        and not entry.stopping
        and not entry.cut_off
        and entry.instance not in names
        and entry.failure_domain in counts
    ]
    chosen = list(advertised)
    for entry in sorted(
        others,
        key=lambda candidate: rendezvous_weight('entry', candidate.instance),
        reverse=True,
    ):
        if counts[entry.failure_domain] < wanted_count:
            counts[entry.failure_domain] += 1
            chosen.append(entry)
    return tuple(chosen)


def locations_digest(locations: Iterable[InstanceLocation]) -> int:
    """Return a number other than 0 that identifies instances and their failure domains."""
    text = '\n'.join(f'{each.instance} {each.failure_domain}' for each in locations)
    return zlib.crc32(text.encode()) or 1


def caller_addresses(advertised: Iterable[EntryStatus], failure_domain: str) -> tuple[str, ...]:
    """Return the addresses for a caller, preferring its own failure domain."""
    advertised = tuple(advertised)
    near = [entry for entry in advertised if entry.failure_domain == failure_domain]
    chosen = near if len(near) >= MIN_NEAR_COUNT else advertised
    return tuple(entry.caller_address for entry in chosen)[:ADDRESS_LIMIT_COUNT]
