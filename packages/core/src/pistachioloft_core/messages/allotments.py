"""Messages by which instances keep organisations within their allotments."""

from __future__ import annotations

from msgspec import Struct

# The permits were granted, as far as the allotment has room.
GRANTED = 'granted'
# The sender cannot grant for this organisation at present.
NOT_READY = 'not_ready'
# The sender's version of the configuration has no such organisation.
UNKNOWN_ORGANISATION = 'unknown'


class AllotmentRequest(Struct, frozen=True, array_like=True):
    """Ask the grantor of an organisation for permits, each for one request of a caller."""

    organisation: str
    number: int
    # The requests that wait for a permit; one more permit can be kept for a later request.
    waiting_count: int
    with_spare: bool = False
    # An earlier request to this grantor remained without a reply.
    reply_overdue: bool = False


class AllotmentGrant(Struct, frozen=True, array_like=True):
    """Grant permits for requests that have arrived before, and tell when there is room for more."""

    organisation: str
    number: int
    outcome: str
    count: int = 0
    # Time until there is room for one more request, after those of instances denied before.
    room_ms: float = 0.0
