"""Partition maps of the accepted configuration joined with the usable endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages.accepted import AcceptedConfiguration, ShardEntry
    from ..process.endpoint_view import EndpointView


@dataclass(frozen=True, slots=True)
class ShardGroup:
    """Hold the shards of one version that the same endpoints serve."""

    service: str
    shards: tuple[str, ...]
    endpoints: tuple[EndpointView, ...]


@dataclass(frozen=True, slots=True)
class VersionView:
    """Index one version: its shards in order and the endpoints that hold them."""

    collection: str
    version: int
    shards: tuple[str, ...]
    groups: tuple[ShardGroup, ...]
    group_of: dict[str, ShardGroup]
    covered_count: int


@dataclass(frozen=True, slots=True)
class ClusterView:
    """Index the accepted configuration and the usable endpoints; versions newest first."""

    accepted_index: int
    collections: dict[str, tuple[VersionView, ...]]
    endpoints: dict[str, EndpointView]
    services: dict[str, tuple[EndpointView, ...]]
    priorities: dict[str, str]


EMPTY_VIEW = ClusterView(0, {}, {}, {}, {})


def build_view(accepted: AcceptedConfiguration, endpoints: tuple[EndpointView, ...]) -> ClusterView:
    """Build the index once for each change of the configuration or the endpoints."""
    by_service: dict[str, list[EndpointView]] = {}
    holders: dict[tuple[str, int, str, str], list[EndpointView]] = {}
    for endpoint in endpoints:
        by_service.setdefault(endpoint.service, []).append(endpoint)
        for holding in endpoint.holdings:
            for shard in dict.fromkeys(holding.shards):
                key = (holding.collection, holding.version, endpoint.service, shard)
                held = holders.setdefault(key, [])
                if not held or held[-1] is not endpoint:
                    held.append(endpoint)
    configuration = accepted.configuration
    collections: dict[str, tuple[VersionView, ...]] = {}
    for entry in configuration.collections:
        versions = sorted(entry.versions, key=lambda version: version.version, reverse=True)
        collections[entry.collection] = tuple(
            _index_version(entry.collection, version.version, version.shards, holders)
            for version in versions
        )
    return ClusterView(
        accepted_index=accepted.index,
        collections=collections,
        endpoints={endpoint.endpoint: endpoint for endpoint in endpoints},
        services={service: tuple(members) for service, members in by_service.items()},
        priorities={caller.caller: caller.priority for caller in configuration.callers},
    )


def find_version(view: ClusterView, collection: str, version: int) -> VersionView | None:
    """Return a version that the accepted configuration still names."""
    for candidate in view.collections.get(collection, ()):
        if candidate.version == version:
            return candidate
    return None


def _index_version(
    collection: str,
    version: int,
    shards: tuple[ShardEntry, ...],
    holders: dict[tuple[str, int, str, str], list[EndpointView]],
) -> VersionView:
    grouped: dict[tuple[str, tuple[str, ...]], list[str]] = {}
    members: dict[tuple[str, tuple[str, ...]], tuple[EndpointView, ...]] = {}
    names = tuple(dict.fromkeys(entry.shard for entry in shards))
    services: dict[str, str] = {}
    for entry in shards:
        services.setdefault(entry.shard, entry.service)
    for shard in names:
        service = services[shard]
        held = tuple(holders.get((collection, version, service, shard), ()))
        key = (service, tuple(endpoint.endpoint for endpoint in held))
        grouped.setdefault(key, []).append(shard)
        members[key] = held
    groups = tuple(
        ShardGroup(key[0], tuple(group_shards), members[key])
        for key, group_shards in grouped.items()
    )
    group_of = {shard: group for group in groups for shard in group.shards}
    covered_count = sum(len(group.shards) for group in groups if group.endpoints)
    return VersionView(collection, version, names, groups, group_of, covered_count)
