"""Which instances should be voters where no inventory lists them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

# More voters make each commit wait for more disks and lose no more than four.
MAX_VOTER_COUNT = 9
MIN_VOTER_COUNT = 3


def target_voter_count(losses: int) -> int:
    """Return how many voters keep a quorum when that many are lost at once."""
    return min(MAX_VOTER_COUNT, max(MIN_VOTER_COUNT, 2 * losses + 1))


def choose_voters(
    voters: Sequence[str], live: Collection[str], target_count: int
) -> tuple[str, ...]:
    """Return the instances that should vote: live ones, and silent voters not replaced yet."""
    wanted = [instance for instance in voters if instance in live]
    wanted += sorted(set(live) - set(voters))
    wanted = wanted[: max(MAX_VOTER_COUNT, target_count)]
    # A silent voter keeps its place until enough live instances can take it: without it the
    # group would be smaller than the losses that it must bear.
    for instance in voters:
        if instance not in wanted and len(wanted) < target_count:
            wanted.append(instance)
    return tuple(wanted)
