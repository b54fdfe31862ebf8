"""Choose which instances grant and hold permits for the requests of an organisation."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..util.rendezvous import rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..messages.routes import Organisation

# A grantor grants while a quorum confirmed its view of the instances at most this time ago.
GRANTOR_CONFIRMED_MS = 900.0
# The views of instances in touch differ for at most this time.
VIEW_SKEW_MS = 500.0
# A grantor begins only with a confirmation of at most this age.
START_CONFIRMED_MS = 400.0
# A grantor that was replaced for at most this time resumes.
RESUME_MS = 300.0
# An instance that becomes the grantor begins after this time: its predecessor has stopped, and will
# not resume, even if this instance hears nothing any more.
TAKEOVER_MS = max(
    GRANTOR_CONFIRMED_MS + VIEW_SKEW_MS, START_CONFIRMED_MS + RESUME_MS + 2.0 * VIEW_SKEW_MS
)
# Spare permits may be spent for this many windows after the last confirmation.
SPARE_CONFIRMED_WINDOW_COUNT = 2
# Fractions of what may be admitted beyond the allotment: for spare permits, for the grantors that
# begin within one window, and for the size of the bucket. The rest is for instances whose views
# differ.
SPARE_FRACTION = 0.6
START_FRACTION = 0.3
BUCKET_FRACTION = 0.05


@dataclass(frozen=True, slots=True)
class AllotmentBounds:
    """Hold the operators' limits on what is admitted beyond the allotments in each window."""

    window_ms: float = 5_000.0
    overage: float = 0.1
    slack_count: float = 0.0

    @property
    def spare_confirmed_ms(self) -> float:
        """Return how long an instance without a confirmation may spend spare permits."""
        return SPARE_CONFIRMED_WINDOW_COUNT * self.window_ms

    @property
    def settling_ms(self) -> float:
        """Return the time until an instance that became a holder may keep a spare permit."""
        return self.spare_confirmed_ms + VIEW_SKEW_MS


DEFAULT_ALLOTMENT_BOUNDS = AllotmentBounds()


class Standing:
    """Hold the part of this instance in the allotment of one organisation."""

    __slots__ = (
        'first_since_ms',
        'grantor',
        'holder_count',
        'holder_since_ms',
        'rank',
        'replaced_ms',
        'resumable_since_ms',
        'resumed_ms',
        'weights',
    )

    def __init__(self) -> None:
        self.weights: dict[str, bytes] = {}
        # The first of the advertised instances, empty without any.
        self.grantor = ''
        # The number of advertised instances before this one.
        self.rank = math.inf
        self.first_since_ms: float | None = None
        # When this instance was replaced as the grantor, and since when it had been the first.
        self.replaced_ms = -math.inf
        self.resumable_since_ms: float | None = None
        self.resumed_ms = -math.inf
        # The number of instances that may keep a spare permit, and since when this is one of them.
        self.holder_count = 0
        self.holder_since_ms: float | None = None


class InstanceRanks:
    """Hold the advertised instances, and the standing of this one by organisation."""

    __slots__ = ('changed_ms', 'instance', 'names', 'standings')

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.names: tuple[str, ...] = ()
        self.changed_ms = 0.0
        self.standings: dict[str, Standing] = {}


def headroom_count(bounds: AllotmentBounds, organisation: Organisation) -> float:
    """Return how many requests beyond its allotment may be admitted in a window."""
    per_window_count = organisation.rate_per_s * bounds.window_ms / 1_000.0
    headroom = bounds.overage * (per_window_count + organisation.burst_count) + bounds.slack_count
    # The bucket holds one token at least.
    return max(0.0, headroom - max(0.0, 1.0 - organisation.burst_count))


def bucket_capacity_count(bounds: AllotmentBounds, organisation: Organisation) -> float:
    """Return the size of an organisation's token bucket."""
    # The headroom bears that messages take unequal times, so evenly spaced requests are admitted.
    margin_count = BUCKET_FRACTION * headroom_count(bounds, organisation)
    return max(1.0, organisation.burst_count + margin_count)


def start_count(bounds: AllotmentBounds, organisation: Organisation) -> float:
    """Return the tokens with which a grantor begins, whatever its predecessor has granted."""
    # Each grantor waits for its predecessor to stop, which bounds how many begin within a window.
    begun_count = math.ceil(bounds.window_ms / TAKEOVER_MS) + 1
    return START_FRACTION * headroom_count(bounds, organisation) / begun_count


def set_instances(ranks: InstanceRanks, now_ms: float, names: Iterable[str]) -> None:
    """Replace the advertised instances."""
    new_names = tuple(sorted(names))
    if new_names == ranks.names:
        return
    ranks.names, ranks.changed_ms = new_names, now_ms
    for organisation, standing in ranks.standings.items():
        _rank(ranks, organisation, standing)


def standing_of(
    ranks: InstanceRanks, bounds: AllotmentBounds, organisation: Organisation
) -> Standing:
    """Return the standing of this instance in an organisation's allotment."""
    standing = ranks.standings.get(organisation.name)
    if standing is None:
        standing = ranks.standings[organisation.name] = Standing()
        _rank(ranks, organisation.name, standing)
    holder_count = math.floor(SPARE_FRACTION * headroom_count(bounds, organisation))
    if holder_count != standing.holder_count:
        standing.holder_count = holder_count
        _update_holder(ranks, standing)
    return standing


def on_confirmed(ranks: InstanceRanks, now_ms: float, before_age_ms: float) -> None:
    """Begin anew as a grantor if others may have granted since the confirmation before this one."""
    # The advertised instances may be the same now as then, so a changed view does not tell.
    if before_age_ms <= GRANTOR_CONFIRMED_MS:
        return
    ranks.changed_ms = now_ms
    for standing in ranks.standings.values():
        standing.resumable_since_ms = None
        if standing.first_since_ms is not None:
            standing.first_since_ms = now_ms


def may_resume(standing: Standing, now_ms: float) -> bool:
    """Return whether a replaced grantor can grant at once if it becomes the first again."""
    return standing.resumable_since_ms is not None and now_ms - standing.replaced_ms <= RESUME_MS


def _rank(ranks: InstanceRanks, organisation: str, standing: Standing) -> None:
    known = standing.weights
    weights = {
        name: known.get(name) or rendezvous_weight(organisation, name) for name in ranks.names
    }
    standing.weights = weights
    standing.grantor = max(weights, key=weights.__getitem__, default='')
    own = weights.get(ranks.instance)
    standing.rank = math.inf if own is None else sum(other > own for other in weights.values())
    _update_first(ranks, standing)
    _update_holder(ranks, standing)


def _update_first(ranks: InstanceRanks, standing: Standing) -> None:
    now_ms, since_ms = ranks.changed_ms, standing.first_since_ms
    if standing.grantor != ranks.instance:
        if since_ms is None:
            return
        standing.first_since_ms = None
        has_begun = now_ms - since_ms >= TAKEOVER_MS
        standing.resumable_since_ms = since_ms if has_begun else None
        # Others may not have seen a short time as the first between two replacements.
        if now_ms - standing.resumed_ms > 2.0 * VIEW_SKEW_MS:
            standing.replaced_ms = now_ms
    elif since_ms is None:
        standing.first_since_ms = now_ms
        if may_resume(standing, now_ms):
            standing.first_since_ms = standing.resumable_since_ms
            standing.resumed_ms = now_ms


def _update_holder(ranks: InstanceRanks, standing: Standing) -> None:
    if standing.rank >= standing.holder_count:
        standing.holder_since_ms = None
    elif standing.holder_since_ms is None:
        standing.holder_since_ms = ranks.changed_ms
