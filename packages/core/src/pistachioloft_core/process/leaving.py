"""Endpoints that leave, and when control instances share their states again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages.fleet import ENDPOINT_DRAINING, ENDPOINT_LEFT

if TYPE_CHECKING:
    from .announced import AnnouncedState

# The instance that an endpoint told repeats this for four shares, in case one of them is lost.
REPEAT_MS = 800.0
# Later, and at the instances that received a notice of it, it is shared at this interval: for
# instances that were not reached meanwhile, also if the first one is lost.
RETELL_INTERVAL_MS = 1_000.0
RETENTION_MS = 3_000.0


class _Leaving:
    """Hold since when an endpoint leaves, and when this is shared next."""

    __slots__ = ('due_ms', 'since_ms')

    def __init__(self, since_ms: float, due_ms: float) -> None:
        self.since_ms = since_ms
        self.due_ms = due_ms


class LeavingEndpoints:
    """Hold the endpoints that began to drain or departed a short while ago."""

    def __init__(self) -> None:
        self.by_name: dict[str, _Leaving] = {}


def record_leaving(
    state: LeavingEndpoints,
    now_ms: float,
    announced: AnnouncedState,
    endpoint: str,
    from_endpoint: bool,
) -> None:
    """Record a changed endpoint if it leaves, as it said itself or as another instance did."""
    entry = announced.endpoints.get(endpoint)
    if entry is not None and entry.record.endpoint_state in (ENDPOINT_DRAINING, ENDPOINT_LEFT):
        due_ms = now_ms if from_endpoint else now_ms + RETELL_INTERVAL_MS
        state.by_name[endpoint] = _Leaving(now_ms, due_ms)


def take_due(state: LeavingEndpoints, now_ms: float) -> set[str]:
    """Return the endpoints whose states are shared now, and forget old ones."""
    state.by_name = {
        name: leaving
        for name, leaving in state.by_name.items()
        if now_ms - leaving.since_ms < RETENTION_MS
    }
    due = {name: leaving for name, leaving in state.by_name.items() if now_ms >= leaving.due_ms}
    for leaving in due.values():
        if now_ms - leaving.since_ms >= REPEAT_MS:
            leaving.due_ms = now_ms + RETELL_INTERVAL_MS
    return set(due)
