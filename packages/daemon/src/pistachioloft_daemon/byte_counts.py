"""Count the bytes that an instance exchanges, by kind and by distance."""

from __future__ import annotations

import logging
from collections import Counter as Tally
from typing import TYPE_CHECKING

from aioprometheus import Counter

if TYPE_CHECKING:
    from aioprometheus import Registry

    from pistachioloft_core.request.attempts import Attempt

    from .http1.messages import Headers

logger = logging.getLogger(__name__)

PREFIX = '[traffic]'
SUMMARY_INTERVAL_MS = 10_000.0
ANNOUNCEMENT_KIND = 'announcement'
# Headers are encoded with four bytes of separators each.
SEPARATOR_BYTES = 4
NEAR = 'near'
FAR = 'far'
UNKNOWN = 'unknown'


class ByteCounts:
    """Hold the bytes that were exchanged with the own and with other failure domains."""

    def __init__(self, registry: Registry) -> None:
        self.own_domain = ''
        self.counter = Counter(
            'pistachioloft_traffic_bytes_total',
            'Bytes exchanged by kind and by distance of the other side',
            registry=registry,
        )
        # Incrementing a counter of the library takes too long to do for each message.
        self.tally: Tally[tuple[str, str]] = Tally()
        self.summarized: Tally[tuple[str, str]] = Tally()

    def add(self, kind: str, failure_domain: str | None, byte_count: int) -> None:
        """Count bytes that were sent to or received from a failure domain, None if unknown."""
        distance = UNKNOWN
        if failure_domain:
            distance = NEAR if failure_domain == self.own_domain else FAR
        self.tally[kind, distance] += byte_count

    def add_attempt(self, attempt: Attempt, byte_count: int) -> None:
        """Count bytes of a request to an endpoint or of its reply."""
        self.add(attempt_kind(attempt), attempt.load.record.failure_domain, byte_count)

    def publish(self) -> None:
        """Hand the counts to the library."""
        for (kind, distance), byte_count in self.tally.items():
            self.counter.set({'kind': kind, 'distance': distance}, byte_count)

    def log_summary(self, _now_ms: float) -> None:
        """Log what crossed failure domains since the last summary."""
        recent = self.tally - self.summarized
        self.summarized = self.tally.copy()
        parts = [
            f'{kind}.{distance}={byte_count}'
            for (kind, distance), byte_count in recent.most_common()
            if distance != NEAR
        ]
        if parts:
            logger.info('%s bytes not within the failure domain: %s', PREFIX, ' '.join(parts))


def header_bytes(headers: Headers) -> int:
    """Return the encoded size of headers."""
    return sum(len(name) + len(value) + SEPARATOR_BYTES for name, value in headers)


def attempt_kind(attempt: Attempt) -> str:
    """Return the kind of an attempt as a label."""
    scope = 'single' if attempt.route.gather is None else 'shard'
    if attempt.hedge:
        return f'{scope}_hedge'
    return f'{scope}_retry' if attempt.is_retry else f'{scope}_first'
