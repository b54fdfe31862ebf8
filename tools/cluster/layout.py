"""Configurations and announcements of the example sites."""

from __future__ import annotations

from dataclasses import dataclass

from pistachioloft_core.messages.accepted import (
    CallerEntry,
    CollectionEntry,
    Configuration,
    InstanceEntry,
    ServiceEntry,
    ShardEntry,
    VersionEntry,
)
from pistachioloft_core.messages.endpoint import Announcement, Holding

SMALL_SLOT_COUNT = 2
SMALL_CONNECTION_LIMIT = 25
SMALL_CONNECT_MS = 6.0
SHARED_CONNECT_MS = 1.0


@dataclass(frozen=True, slots=True)
class Site:
    """Describe the services, searchers, failure domains and callers of one deployment."""

    name: str
    collection: str
    failure_domains: tuple[str, ...]
    small_service_count: int
    shared_services: tuple[str, ...]
    shared_searcher_count: int
    shared_slot_count: int
    shared_connection_limit: int
    urgent_callers: tuple[str, ...]
    routine_callers: tuple[str, ...]


GOLDSEAM = Site(
    name='goldseam',
    collection='catalogue',
    failure_domains=('brisbane-a', 'brisbane-b', 'brisbane-c'),
    small_service_count=50,
    shared_services=('materials', 'claims'),
    shared_searcher_count=3,
    shared_slot_count=6,
    shared_connection_limit=100,
    urgent_callers=('restorers',),
    routine_callers=('collectors', 'insurers'),
)
CONSORTIUM = Site(
    name='consortium',
    collection='ledger',
    failure_domains=('erongo-a', 'erongo-b', 'erongo-c', 'erongo-d'),
    small_service_count=50,
    shared_services=('yard-counts', 'disputes'),
    shared_searcher_count=4,
    shared_slot_count=4,
    shared_connection_limit=40,
    urgent_callers=('site-crews',),
    routine_callers=('yard-managers', 'chair'),
)
# Small enough for tests that start and stop its processes many times.
COMPACT = Site(
    name='compact',
    collection='catalogue',
    failure_domains=('domain-a', 'domain-b', 'domain-c'),
    small_service_count=3,
    shared_services=('shared',),
    shared_searcher_count=3,
    shared_slot_count=4,
    shared_connection_limit=40,
    urgent_callers=('desk',),
    routine_callers=('reports', 'bills'),
)
SITES = {site.name: site for site in (GOLDSEAM, CONSORTIUM)}


def service_names(site: Site) -> tuple[str, ...]:
    """List the services of a site, one shard each."""
    small = tuple(f'{site.name}-{number:02}' for number in range(site.small_service_count))
    return small + site.shared_services


def version_entry(site: Site, version: int) -> VersionEntry:
    """Build the partition map of one version with one shard for each service."""
    shards = tuple(ShardEntry(f'{name}/0', name) for name in service_names(site))
    return VersionEntry(version, shards)


def configuration(
    site: Site, instances: tuple[InstanceEntry, ...], versions: tuple[int, ...] = (1,)
) -> Configuration:
    """Build the configuration of a site with the partition maps of the given versions."""
    callers = tuple(CallerEntry(name, 'urgent') for name in site.urgent_callers)
    callers += tuple(CallerEntry(name, 'routine') for name in site.routine_callers)
    entries = tuple(version_entry(site, version) for version in versions)
    return Configuration(
        instances=instances,
        services=tuple(ServiceEntry(name) for name in service_names(site)),
        callers=callers,
        collections=(CollectionEntry(site.collection, entries),),
    )


def announcements(site: Site, versions: tuple[int, ...] = (1,)) -> tuple[Announcement, ...]:
    """Build the announcement of every searcher, with port 0 for a free port."""
    result = []
    for name in service_names(site):
        shared = name in site.shared_services
        count = site.shared_searcher_count if shared else 2
        for number in range(count):
            domain = site.failure_domains[
                (number + sum(map(ord, name))) % len(site.failure_domains)
            ]
            result.append(
                Announcement(
                    endpoint=f'{name}-s{number}',
                    incarnation=1,
                    sequence=0,
                    address='127.0.0.1:0',
                    service=name,
                    failure_domain=domain,
                    holdings=tuple(
                        Holding(site.collection, version, (f'{name}/0',)) for version in versions
                    ),
                    slot_count=site.shared_slot_count if shared else SMALL_SLOT_COUNT,
                    connection_limit=(
                        site.shared_connection_limit if shared else SMALL_CONNECTION_LIMIT
                    ),
                )
            )
    return tuple(result)
