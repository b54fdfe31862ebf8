"""Move the searchers to versions with other shards while queries run."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from pistachioloft_core.messages.accepted import (
    CollectionEntry,
    Configuration,
    ShardEntry,
    VersionEntry,
)
from pistachioloft_core.messages.endpoint import Holding
from tests.test_processes.support import (
    SteadyCaller,
    accept,
    running_cluster,
    steady_callers,
    wait_in_force,
)
from tests.test_processes.test_accepted_configuration import config_of
from tools.cluster.layout import announcements, service_names
from tools.searcher.behaviour import Behaviour
from tools.searcher.host import Order

if TYPE_CHECKING:
    from pathlib import Path

    from tools.cluster.processes import Cluster

LAST_VERSION = 5
COMPLETE_CODES = frozenset({0})
# A searcher that drops a version at once refuses requests for it, so callers may get these codes.
ABRUPT_CODES = frozenset({0, 1, 200, 204})


def shards_of(service: str, version: int) -> tuple[str, ...]:
    """Split a service into as many shards as the version's number."""
    if version == 1:
        return (f'{service}/0',)
    return tuple(f'{service}/v{version}-{number}' for number in range(version))


def content_of(cluster: Cluster, versions: tuple[int, ...]) -> Configuration:
    """Build a configuration with versions that have different shards."""
    entries = tuple(
        VersionEntry(
            version,
            tuple(
                ShardEntry(shard, service)
                for service in service_names(cluster.site)
                for shard in shards_of(service, version)
            ),
        )
        for version in versions
    )
    collection = CollectionEntry(cluster.site.collection, entries)
    return replace(cluster.configuration(), collections=(collection,))


def hold(cluster: Cluster, versions: tuple[int, ...], first: bool) -> None:
    """Set the versions that the first searcher of each service, or all others, hold."""
    for service in service_names(cluster.site):
        names = tuple(
            each.endpoint
            for each in announcements(cluster.site)
            if each.service == service and each.endpoint.endswith('-s0') == first
        )
        holdings = tuple(
            Holding(cluster.site.collection, version, shards_of(service, version))
            for version in versions
        )
        cluster.order(Order('hold', names, holdings=holdings))


def wait_answers(cluster: Cluster, callers: list[SteadyCaller], version: int) -> None:
    """Wait until every caller has received more answers of a version."""
    counts_before = [each.versions.get(version, 0) for each in callers]
    cluster.wait(
        lambda: all(
            each.versions.get(version, 0) > before + 5
            for each, before in zip(callers, counts_before, strict=True)
        ),
        f'answers of version {version}',
    )


def test_every_answer_is_of_one_version_while_shards_move(tmp_path: Path) -> None:
    """Guard against mixed versions and wrong coverage when a version is retired during a query."""
    with (
        running_cluster(tmp_path, Behaviour(25.0)) as cluster,
        steady_callers(cluster, 4, 0.0) as callers,
    ):
        service_count = len(service_names(cluster.site))
        for each in callers:
            each.shard_counts = {
                version: service_count * version for version in range(1, LAST_VERSION + 1)
            }
        index = config_of(cluster, 'e1')['accepted']['index']
        for new_version in range(2, LAST_VERSION + 1):
            # Searchers switch to odd versions abruptly: none holds two versions at the same time.
            abrupt = new_version % 2 == 1
            for each in callers:
                each.allowed_codes = ABRUPT_CODES if abrupt else COMPLETE_CODES
            index = accept(
                cluster,
                f'add-{new_version}',
                index,
                content_of(cluster, (new_version - 1, new_version)),
            )
            wait_in_force(cluster, index)
            hold(cluster, (new_version,) if abrupt else (new_version - 1, new_version), True)
            wait_answers(cluster, callers, new_version)
            hold(cluster, (new_version,) if abrupt else (new_version - 1, new_version), False)
            index = accept(
                cluster, f'retire-{new_version - 1}', index, content_of(cluster, (new_version,))
            )
            wait_in_force(cluster, index)
            hold(cluster, (new_version,), True)
            hold(cluster, (new_version,), False)
            wait_answers(cluster, callers, new_version)
        for each in callers:
            each.finish()
        assert [fault for each in callers for fault in each.faults] == []
        assert all(set(each.versions) == set(range(1, LAST_VERSION + 1)) for each in callers)
