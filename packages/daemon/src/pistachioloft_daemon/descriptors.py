"""Divide the file descriptors that the process may have open."""

from __future__ import annotations

import resource
from dataclasses import dataclass

# Parts of the descriptors. Without one, a listening socket accepts nothing for a second. On the
# users' platform accepting failed with 180 connections open and a limit of 400, so a connection
# is taken to need two descriptors; a tenth is kept for other instances, the log and files.
ENDPOINT_FRACTION = 0.25
CALLER_FRACTION = 0.2
# Where the system sets no limit.
UNLIMITED_COUNT = 1_048_576
# Each of these connections holds some tens of kilobytes.
CALLER_LIMIT_COUNT = 2_000


@dataclass(frozen=True, slots=True)
class DescriptorShares:
    """Bound the connections to endpoints and from callers."""

    endpoint_count: int
    caller_count: int


def descriptor_shares() -> DescriptorShares:
    """Return what the limit of this process allows."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return divide_descriptors(UNLIMITED_COUNT if limit == resource.RLIM_INFINITY else limit)


def divide_descriptors(limit_count: int) -> DescriptorShares:
    """Divide a limit."""
    callers = min(CALLER_LIMIT_COUNT, int(limit_count * CALLER_FRACTION))
    return DescriptorShares(max(1, int(limit_count * ENDPOINT_FRACTION)), max(1, callers))
