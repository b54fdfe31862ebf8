"""Divide scarce work among kinds of requests by what they are worth and what they need."""

# Load: more work arrives than the endpoints of some shards can run. A cheap request that is
# refused makes little room, and one that needs much work takes the place of several others.

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

# A request of one priority is worth this many of the next lower one.
PRIORITY_WEIGHT_RATIO = 2.0
# No kind is admitted less often than this fraction of the mean.
MIN_SHARE_RATIO = 0.4
# Kinds whose value per work differs less than this are refused alike: both are estimates.
SAME_VALUE_RATIO = 0.8
MIN_WORK_MS = 1e-6
# Halvings of the interval in which the smallest admitted share lies.
SEARCH_STEP_COUNT = 12


class RequestKind(NamedTuple):
    """Identify requests that are admitted alike."""

    route: str
    # 0 is the highest.
    priority: int
    # Their organisations use much more than their share.
    over_share: bool = False


@dataclass(frozen=True, slots=True)
class KindDemand:
    """Describe the recent arrivals of one kind; `work_ms` is that of one request."""

    arrived_count: float
    work_ms: float


def admitted_shares(
    demands: Mapping[RequestKind, KindDemand], refused_fraction: float
) -> dict[RequestKind, float]:
    """Return the share of each kind to admit so that a fraction of all work is refused."""
    groups = _groups_by_value(demands)
    count = sum(demand.arrived_count for demand in demands.values())
    if not groups or count <= 0.0:
        return {}
    lowest, highest = 0.0, 1.0 - refused_fraction
    for _ in range(SEARCH_STEP_COUNT):
        floor = 0.5 * (lowest + highest)
        shares = _fill(demands, groups, 1.0 - refused_fraction, floor)
        mean = sum(shares[kind] * demand.arrived_count for kind, demand in demands.items()) / count
        if floor <= MIN_SHARE_RATIO * mean:
            lowest = floor
        else:
            highest = floor
    return _fill(demands, groups, 1.0 - refused_fraction, highest)


def _fill(
    demands: Mapping[RequestKind, KindDemand],
    groups: list[list[RequestKind]],
    admitted_fraction: float,
    floor: float,
) -> dict[RequestKind, float]:
    """Give each kind the floor, and what is left to the most valuable ones."""
    work_ms = [sum(_work_ms(demands[kind]) for kind in group) for group in groups]
    left_ms = (admitted_fraction - floor) * sum(work_ms)
    shares: dict[RequestKind, float] = {}
    for group, group_work_ms in zip(groups, work_ms, strict=True):
        added_ms = max(0.0, min(left_ms, (1.0 - floor) * group_work_ms))
        left_ms -= added_ms
        share = floor + (added_ms / group_work_ms if group_work_ms > 0.0 else 0.0)
        shares |= dict.fromkeys(group, share)
    return shares


def _groups_by_value(
    demands: Mapping[RequestKind, KindDemand],
) -> list[list[RequestKind]]:
    """Return the kinds in the order of admission, those that are admitted alike together."""
    by_urgency = sorted(demands, key=lambda kind: (kind.priority, demands[kind].work_ms))
    groups: list[list[RequestKind]] = []
    for kind in by_urgency:
        groups.append([kind])
        # A kind must not be admitted less often than less urgent ones. So where these are worth
        # more for their work, both are admitted alike.
        while len(groups) > 1 and (
            _value_per_work(demands, groups[-1])
            > SAME_VALUE_RATIO * _value_per_work(demands, groups[-2])
        ):
            groups[-2:] = [groups[-2] + groups[-1]]
    # Within a group, organisations that use too much give way to the others.
    parts = [
        [kind for kind in group if kind.over_share is over_share]
        for group in groups
        for over_share in (False, True)
    ]
    return [part for part in parts if part]


def _value_per_work(demands: Mapping[RequestKind, KindDemand], group: list[RequestKind]) -> float:
    value = sum(
        demands[kind].arrived_count * PRIORITY_WEIGHT_RATIO**-kind.priority for kind in group
    )
    return value / max(MIN_WORK_MS, sum(_work_ms(demands[kind]) for kind in group))


def _work_ms(demand: KindDemand) -> float:
    return demand.arrived_count * demand.work_ms
