"""View of the cluster: the accepted partition maps with the usable endpoints of each shard."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages.accepted import AcceptedConfiguration, ShardEntry
    from ..process.endpoint_view import EndpointView


@dataclass(frozen=True, slots=True)
class ShardGroup:
    """Group the shards of one version that are served by the same endpoints."""

    service: str
    shards: tuple[str, ...]
    endpoints: tuple[EndpointView, ...]


@dataclass(frozen=True, slots=True)
class VersionView:
    """Index one version of a collection: its shards in order and the endpoints that serve them."""

    collection: str
    version: int
    shards: tuple[str, ...]
    groups: tuple[ShardGroup, ...]
    group_by_shard: dict[str, ShardGroup]
    covered_count: int


@dataclass(frozen=True, slots=True)
class ClusterView:
    """Index the accepted configuration and the usable endpoints; versions are newest first."""

    accepted_index: int
    collections: dict[str, tuple[VersionView, ...]]
    endpoints: dict[str, EndpointView]
    services: dict[str, tuple[EndpointView, ...]]
    priorities: dict[str, str]


EMPTY_VIEW = ClusterView(0, {}, {}, {}, {})


def build_view(accepted: AcceptedConfiguration, endpoints: tuple[EndpointView, ...]) -> ClusterView:
    """Build the view; called once for each change of the configuration or the endpoints."""
    by_service: dict[str, list[EndpointView]] = {}
    endpoints_by_shard: dict[tuple[str, int, str, str], list[EndpointView]] = {}
    for endpoint in endpoints:
        by_service.setdefault(endpoint.service, []).append(endpoint)
        for holding in endpoint.holdings:
            for shard in dict.fromkeys(holding.shards):
                key = (holding.collection, holding.version, endpoint.service, shard)
                shard_endpoints = endpoints_by_shard.setdefault(key, [])
                if not shard_endpoints or shard_endpoints[-1] is not endpoint:
                    shard_endpoints.append(endpoint)
    configuration = accepted.configuration
    collections: dict[str, tuple[VersionView, ...]] = {}
    for entry in configuration.collections:
        versions = sorted(entry.versions, key=lambda version: version.version, reverse=True)
        collections[entry.collection] = tuple(
            _index_version(entry.collection, version.version, version.shards, endpoints_by_shard)
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
    """Return a version, None if the accepted configuration does not list it."""
    for candidate in view.collections.get(collection, ()):
        if candidate.version == version:
            return candidate
    return None


def _index_version(
    collection: str,
    version: int,
    shards: tuple[ShardEntry, ...],
    endpoints_by_shard: dict[tuple[str, int, str, str], list[EndpointView]],
) -> VersionView:
    shards_by_group: dict[tuple[str, tuple[str, ...]], list[str]] = {}
    endpoints_by_group: dict[tuple[str, tuple[str, ...]], tuple[EndpointView, ...]] = {}
    shard_names = tuple(dict.fromkeys(entry.shard for entry in shards))
    service_by_shard: dict[str, str] = {}
    for entry in shards:
        service_by_shard.setdefault(entry.shard, entry.service)
    for shard in shard_names:
        service = service_by_shard[shard]
        shard_endpoints = tuple(endpoints_by_shard.get((collection, version, service, shard), ()))
        key = (service, tuple(endpoint.endpoint for endpoint in shard_endpoints))
        shards_by_group.setdefault(key, []).append(shard)
        endpoints_by_group[key] = shard_endpoints
    groups = tuple(
        ShardGroup(key[0], tuple(group_shards), endpoints_by_group[key])
        for key, group_shards in shards_by_group.items()
    )
    group_by_shard = {shard: group for group in groups for shard in group.shards}
    covered_count = sum(len(group.shards) for group in groups if group.endpoints)
    return VersionView(collection, version, shard_names, groups, group_by_shard, covered_count)
