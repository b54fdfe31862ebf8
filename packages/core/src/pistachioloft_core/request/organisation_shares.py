"""Find the organisations that use much more than their share of the work at some shards."""

# Load: one organisation sends many times its usual requests. Without shares all organisations
# are refused alike, however little each of them sends.

from __future__ import annotations

from typing import TYPE_CHECKING

from .recent_tally import RecentTally

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..messages.routes import Organisation

# An organisation gives way once it uses this many times its share.
OVER_SHARE_RATIO = 2.0
# Fewer recent requests say nothing about the share of an organisation.
MIN_RECENT_COUNT = 4.0
HALF_LIFE_MS = 10_000.0


class OrganisationShares:
    """Hold the recently admitted requests of organisations and the work that they needed."""

    __slots__ = ('_counts', '_work_ms')

    def __init__(self) -> None:
        self._counts: RecentTally[str] = RecentTally(HALF_LIFE_MS)
        self._work_ms: RecentTally[str] = RecentTally(HALF_LIFE_MS)

    def record(self, now_ms: float, organisation: str, work_ms: float) -> None:
        """Record an admitted request."""
        self._counts.add(now_ms, organisation, 1.0)
        self._work_ms.add(now_ms, organisation, work_ms)

    def uses_too_much(self, name: str, organisations: Mapping[str, Organisation]) -> bool:
        """Return whether an organisation uses much more than its share, by the allotments."""
        amounts = self._work_ms.amounts
        # The work of a name may be forgotten before its requests, when it is small.
        is_known = name in amounts and len(amounts) > 1
        if not is_known or self._counts.amounts.get(name, 0.0) < MIN_RECENT_COUNT:
            return False
        weights = {
            other: organisations[other].rate_per_s if other in organisations else 0.0
            for other in amounts
        }
        if not all(weights.values()):
            # Where an organisation has no allotment, all have the same share.
            weights = dict.fromkeys(amounts, 1.0)
        share = weights[name] / sum(weights.values())
        # With a share of a half or more, twice the share is more than there is.
        limit = min(OVER_SHARE_RATIO * share, (1.0 + share) / 2.0)
        return amounts[name] > limit * sum(amounts.values())
