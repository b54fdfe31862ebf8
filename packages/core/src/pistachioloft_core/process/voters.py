"""Choice of the voters in deployments without an inventory."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

# With more voters each commit would wait for more disks; 9 voters tolerate four losses.
MAX_VOTER_COUNT = 9
MIN_VOTER_COUNT = 3


def target_voter_count(lost_count: int) -> int:
    """Return how many voters keep a quorum when `lost_count` are lost at once."""
    return min(MAX_VOTER_COUNT, max(MIN_VOTER_COUNT, 2 * lost_count + 1))


def choose_voters(
    voters: Sequence[str], live_instances: Collection[str], target_count: int
) -> tuple[str, ...]:
    """Return the instances that should vote: live ones, and silent voters not yet replaced."""
    chosen = [instance for instance in voters if instance in live_instances]
    chosen += sorted(set(live_instances) - set(voters))
    chosen = chosen[: max(MAX_VOTER_COUNT, target_count)]
    # A silent voter is retained until enough live instances can replace it: without it the group
    # would be too small to tolerate the required losses.
    for instance in voters:
        if instance not in chosen and len(chosen) < target_count:
            chosen.append(instance)
    return tuple(chosen)
