"""Divide the process's limit of open file descriptors."""

from __future__ import annotations

import resource
from dataclasses import dataclass

# Fractions of the descriptor limit. Without a free descriptor, a listening socket accepts nothing
# for a second. On the users' platform, accepting failed with 180 open connections and a limit of
# 400, so two descriptors are counted for each connection. A tenth of the limit remains for
# connections to other instances, the log and files.
ENDPOINT_FRACTION = 0.25
CALLER_FRACTION = 0.2
# A control instance connects to no endpoints; endpoints and operators connect to it.
CONTROL_FRACTION = 0.25
# Readiness is checked by few clients.
READINESS_FRACTION = 0.02
READINESS_LIMIT_COUNT = 64
# Assumed where the system sets no limit.
UNLIMITED_COUNT = 1_048_576
# Each of these connections holds some tens of kilobytes.
CALLER_LIMIT_COUNT = 2_000


@dataclass(frozen=True, slots=True)
class DescriptorShares:
    """Limit the connections to endpoints and from callers."""

    endpoint_count: int
    caller_count: int
    # On a control instance, in place of those to endpoints.
    control_count: int
    # On an entry instance.
    readiness_count: int


def descriptor_shares() -> DescriptorShares:
    """Return the shares of this process's descriptor limit."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return divide_descriptors(UNLIMITED_COUNT if limit == resource.RLIM_INFINITY else limit)


def divide_descriptors(descriptor_limit_count: int) -> DescriptorShares:
    """Divide a descriptor limit between endpoints and callers."""

    def share(fraction: float, limit_count: int = UNLIMITED_COUNT) -> int:
        return max(1, min(limit_count, int(descriptor_limit_count * fraction)))

    return DescriptorShares(
        share(ENDPOINT_FRACTION),
        share(CALLER_FRACTION, CALLER_LIMIT_COUNT),
        share(CONTROL_FRACTION, CALLER_LIMIT_COUNT),
        share(READINESS_FRACTION, READINESS_LIMIT_COUNT),
    )
