"""Grant permits for the requests of an organisation from its token bucket."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..messages.allotments import (
    GRANTED,
    NOT_READY,
    UNKNOWN_ORGANISATION,
    AllotmentGrant,
)
from .allotments import (
    GRANTOR_CONFIRMED_MS,
    START_CONFIRMED_MS,
    TAKEOVER_MS,
    AllotmentBounds,
    InstanceRanks,
    bucket_capacity_count,
    may_resume,
    standing_of,
    start_count,
)

if TYPE_CHECKING:
    from ..messages.allotments import AllotmentRequest
    from ..messages.routes import Organisation

# An instance asks again after this time if the grantor's view or version may soon be newer.
NOT_READY_RETRY_MS = 100.0
# Sums of fractions of tokens are not exact.
_EPSILON_COUNT = 1e-6


class TokenBucket:
    """Hold the tokens of one organisation since `start_ms`, when this instance began to grant."""

    __slots__ = ('backlog_until_ms', 'level_count', 'start_level_count', 'start_ms', 'updated_ms')

    def __init__(
        self, now_ms: float, start_ms: float, capacity_count: float, start_level_count: float
    ) -> None:
        self.start_ms = start_ms
        self.updated_ms = start_ms
        self.level_count = capacity_count
        # Limits the grants of the first window, which may contain grants of the predecessor.
        self.start_level_count = start_level_count
        # When there is room for the instances that were denied so far.
        self.backlog_until_ms = now_ms


class GrantTable:
    """Hold the token buckets of the organisations for which this instance is the grantor."""

    __slots__ = ('bounds', 'buckets', 'ranks')

    def __init__(self, ranks: InstanceRanks, bounds: AllotmentBounds) -> None:
        self.ranks = ranks
        self.bounds = bounds
        self.buckets: dict[str, TokenBucket] = {}


def grant_permits(
    table: GrantTable,
    now_ms: float,
    organisation: Organisation | None,
    confirmed_age_ms: float,
    request: AllotmentRequest,
) -> AllotmentGrant:
    """Grant as many permits as the organisation's bucket holds; it is None if it is unknown."""
    name, number = request.organisation, request.number
    if organisation is None:
        return AllotmentGrant(name, number, UNKNOWN_ORGANISATION, 0, NOT_READY_RETRY_MS)
    wanted_count = request.waiting_count + request.with_spare
    if organisation.rate_per_s <= 0:
        return AllotmentGrant(name, number, GRANTED, wanted_count)
    standing = standing_of(table.ranks, table.bounds, organisation)
    if standing.first_since_ms is None or confirmed_age_ms > GRANTOR_CONFIRMED_MS:
        return AllotmentGrant(name, number, NOT_READY, 0, NOT_READY_RETRY_MS)
    start_ms = standing.first_since_ms + TAKEOVER_MS
    if now_ms < start_ms:
        return AllotmentGrant(name, number, NOT_READY, 0, start_ms - now_ms)
    known = table.buckets.get(name)
    if confirmed_age_ms > START_CONFIRMED_MS and (known is None or known.start_ms != start_ms):
        return AllotmentGrant(name, number, NOT_READY, 0, NOT_READY_RETRY_MS)
    bucket = _bucket_of(table, now_ms, start_ms, organisation)
    level_count = _level_count(table, now_ms, bucket)
    count = min(wanted_count, math.floor(level_count + _EPSILON_COUNT))
    bucket.level_count -= count
    bucket.start_level_count -= count
    if count == wanted_count:
        return AllotmentGrant(name, number, GRANTED, count)
    interval_ms = 1_000.0 / organisation.rate_per_s
    room_ms = max(1.0, (1.0 - level_count + count) * interval_ms)
    # Denied instances ask again one after the other, at about the rate, rather than all together.
    room_at_ms = max(bucket.backlog_until_ms, now_ms + room_ms)
    bucket.backlog_until_ms = min(room_at_ms + interval_ms, now_ms + table.bounds.window_ms)
    return AllotmentGrant(name, number, GRANTED, count, room_at_ms - now_ms)


def forget_buckets(table: GrantTable, now_ms: float) -> None:
    """Forget the buckets of organisations for which another instance is the grantor now."""
    standings = table.ranks.standings
    table.buckets = {
        name: bucket
        for name, bucket in table.buckets.items()
        if standings[name].first_since_ms is not None or may_resume(standings[name], now_ms)
    }


def _bucket_of(
    table: GrantTable, now_ms: float, start_ms: float, organisation: Organisation
) -> TokenBucket:
    capacity_count = bucket_capacity_count(table.bounds, organisation)
    bucket = table.buckets.get(organisation.name)
    if bucket is None or bucket.start_ms != start_ms:
        start_level_count = start_count(table.bounds, organisation)
        bucket = TokenBucket(now_ms, start_ms, capacity_count, start_level_count)
        table.buckets[organisation.name] = bucket
    gained_count = (now_ms - bucket.updated_ms) * organisation.rate_per_s / 1_000.0
    bucket.level_count = min(capacity_count, bucket.level_count + gained_count)
    bucket.start_level_count = min(capacity_count, bucket.start_level_count + gained_count)
    bucket.updated_ms = now_ms
    return bucket


def _level_count(table: GrantTable, now_ms: float, bucket: TokenBucket) -> float:
    if now_ms >= bucket.start_ms + table.bounds.window_ms:
        return bucket.level_count
    return min(bucket.level_count, bucket.start_level_count)
