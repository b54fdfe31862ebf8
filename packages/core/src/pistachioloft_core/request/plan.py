"""Choose one version and one endpoint for each shard of a query."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..process.latency import service_latency
from ..process.observed import expected_wait_ms, is_avoided

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from ..messages.public import QueryRequest
    from ..process.endpoint_view import EndpointView
    from ..version.cluster_view import ShardGroup, VersionView
    from .routing import RoutingState

# The weight of an endpoint is its expected wait to this power: twice the wait divides the weight
# by 64, while equal endpoints share the load, so that instances do not all choose the same one.
WAIT_EXPONENT = -6
# Lower bound of the fraction of free slots by which an endpoint's weight is multiplied.
MIN_FREE_FRACTION = 0.25
NO_ENDPOINTS: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class PlannedAttempt:
    """Send one sub-request for these shards to this endpoint."""

    endpoint: EndpointView
    shards: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class QueryPlan:
    """Hold the version of a query, its attempts and the shards without a usable endpoint."""

    version: VersionView
    attempts: tuple[PlannedAttempt, ...]
    missing: tuple[str, ...]


def plan_query(
    routing: RoutingState,
    now_ms: float,
    request: QueryRequest,
    excluded: Collection[str] = NO_ENDPOINTS,
    *,
    suspected: bool = False,
    newer_than: int | None = None,
) -> QueryPlan | None:
    """Plan a query, or return None if the collection has no version."""
    version = choose_version(routing.view.collections.get(request.collection, ()), excluded,
                             newer_than)  # fmt: skip
    if version is None:
        return None
    attempts, missing = assign_groups(
        routing, now_ms, ((group, group.shards) for group in version.groups), excluded,
        suspected=suspected,
    )  # fmt: skip
    if missing:
        missing_set = set(missing)
        missing = tuple(shard for shard in version.shards if shard in missing_set)
    return QueryPlan(version, attempts, missing)


def choose_version(
    versions: tuple[VersionView, ...], excluded: Collection[str], newer_than: int | None = None
) -> VersionView | None:
    """Choose the newest fully covered version, or else the one with the most covered shards."""
    best: VersionView | None = None
    best_count = -1
    for version in versions:
        if newer_than is not None and version.version <= newer_than:
            continue
        count = version.covered_count
        if excluded:
            count = sum(
                len(group.shards)
                for group in version.groups
                if any(member.endpoint not in excluded for member in group.endpoints)
            )
        if count == len(version.shards):
            return version
        if count > best_count:
            best, best_count = version, count
    return best


def assign_groups(
    routing: RoutingState,
    now_ms: float,
    groups: Iterable[tuple[ShardGroup, tuple[str, ...]]],
    excluded: Collection[str],
    *,
    suspected: bool = False,
) -> tuple[tuple[PlannedAttempt, ...], tuple[str, ...]]:
    """Choose an endpoint for each group of shards, with one attempt per endpoint."""
    chosen: dict[str, PlannedAttempt] = {}
    missing: tuple[str, ...] = ()
    for group, shards in groups:
        endpoint = choose_endpoint(routing, now_ms, group, excluded, suspected=suspected)
        if endpoint is None:
            missing += shards
            continue
        planned = chosen.get(endpoint.endpoint)
        if planned is not None:
            shards = planned.shards + shards
        chosen[endpoint.endpoint] = PlannedAttempt(endpoint, shards)
    return tuple(chosen.values()), missing


def choose_endpoint(
    routing: RoutingState,
    now_ms: float,
    group: ShardGroup,
    excluded: Collection[str],
    *,
    suspected: bool = False,
) -> EndpointView | None:
    """Choose at random by weight, avoiding endpoints with observed failures if others remain."""
    observed = routing.observed
    usable = [member for member in group.endpoints if member.endpoint not in excluded]
    if suspected:
        # A suspected request is not sent to the last endpoint that serves these shards.
        serving = [member for member in group.endpoints if not is_avoided(observed, member, now_ms)]
        if len(serving) < 2:
            return None
        usable = [member for member in usable if member in serving]
    if len(usable) < 2:
        return usable[0] if usable else None
    healthy = [member for member in usable if not is_avoided(observed, member, now_ms)]
    if len(healthy) == 1:
        return healthy[0]
    members = healthy or usable
    median_ms = service_latency(routing.latencies, group.service).median_ms
    cumulative_weights: list[float] = []
    total_weight = 0.0
    for member in members:
        wait_ms = expected_wait_ms(observed, member, now_ms, median_ms)
        slots = member.slot_count
        free_fraction = 1.0 - member.reported_slots_in_use / slots if slots > 0 else 0.0
        if free_fraction < MIN_FREE_FRACTION:
            free_fraction = MIN_FREE_FRACTION
        total_weight += free_fraction * wait_ms**WAIT_EXPONENT
        cumulative_weights.append(total_weight)
    drawn_weight = routing.random.random() * total_weight
    for position, weight in enumerate(cumulative_weights):
        if drawn_weight < weight:
            return members[position]
    return members[-1]
