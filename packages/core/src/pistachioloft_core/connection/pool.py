"""Connections to one endpoint: opened in advance, never above its connection limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .actions import (
    DECISION_CLOSE,
    DECISION_OPEN,
    CloseConnection,
    LogDecision,
    OpenConnection,
)
from .endpoint_state import OPEN_TIMEOUT_MS, Connection, ConnectionState, accepts_work, is_idle

if TYPE_CHECKING:
    from ..messages.endpoint import Announcement
    from .actions import OwnerAction
    from .endpoint_state import OwnedEndpoint, OwnerState

OPEN_BACKOFF_MS = 50.0
OPEN_BACKOFF_LIMIT_MS = 2_000.0
# A connection that the endpoint closes within this time without a reply counts as not opened.
SHORT_LIFE_MS = 1_000.0


def connection_target(announcement: Announcement) -> int:
    """Return the number of connections that the owner maintains to an endpoint."""
    return min(connection_bound(announcement), 2 * announcement.slot_count + 2)


def connection_bound(announcement: Announcement) -> int:
    """Return the largest number of connections of one owner; two owners may overlap."""
    return announcement.connection_limit // 2


def open_connection(
    state: OwnerState, endpoint: OwnedEndpoint, now_ms: float, actions: list[OwnerAction]
) -> Connection:
    """Open one more connection."""
    state.connection_count += 1
    connection_id = f'{state.instance}-{state.connection_count}'
    conn = Connection(
        state.connection_count, connection_id, endpoint.announcement.incarnation, now_ms
    )
    endpoint.connections[connection_id] = conn
    state.connection_endpoints[connection_id] = endpoint.name
    actions.append(LogDecision(DECISION_OPEN, endpoint.name, connection_id))
    actions.append(OpenConnection(endpoint.name, connection_id, endpoint.announcement.address))
    return conn


def close_connection(
    endpoint: OwnedEndpoint, conn: Connection, reason: str, actions: list[OwnerAction]
) -> None:
    """Close a connection; it counts as one until the adapter confirms the closing."""
    if conn.state is ConnectionState.CLOSING:
        return
    conn.state = ConnectionState.CLOSING
    detail = f'{conn.connection_id}: {reason}'
    actions.append(LogDecision(DECISION_CLOSE, endpoint.name, detail))
    actions.append(CloseConnection(endpoint.name, conn.connection_id))


def record_open_failure(endpoint: OwnedEndpoint, now_ms: float) -> None:
    """Delay the next opening by a backoff that doubles with each failure."""
    if now_ms < endpoint.next_open_ms:
        # Connections that were opened together and fail together count once.
        return
    delay_ms = OPEN_BACKOFF_MS * 2.0 ** min(endpoint.open_failure_count, 10)
    endpoint.open_failure_count += 1
    endpoint.next_open_ms = now_ms + min(delay_ms, OPEN_BACKOFF_LIMIT_MS)


def has_open_connection(endpoint: OwnedEndpoint) -> bool:
    """Return whether any connection can carry attempts now or later."""
    return any(
        conn.state is ConnectionState.OPEN and not conn.retiring
        for conn in endpoint.connections.values()
    )


def maintain_connections(
    state: OwnerState, endpoint: OwnedEndpoint, now_ms: float, actions: list[OwnerAction]
) -> None:
    """Open missing connections and close those that are no longer needed."""
    accepting = accepts_work(endpoint)
    for conn in endpoint.connections.values():
        is_opening = conn.state is ConnectionState.OPENING
        if conn.sent_attempt is not None or conn.state is ConnectionState.CLOSING:
            continue
        if is_opening and now_ms >= conn.created_ms + OPEN_TIMEOUT_MS:
            close_connection(endpoint, conn, 'opening timed out', actions)
            record_open_failure(endpoint, now_ms)
        elif not accepting:
            close_connection(endpoint, conn, 'no new work for the endpoint', actions)
        elif conn.retiring and not is_opening:
            close_connection(endpoint, conn, 'earlier incarnation', actions)
    if not accepting:
        return
    target = connection_target(endpoint.announcement)
    if len(endpoint.connections) > target:
        _close_excess(endpoint, target, actions)
    while len(endpoint.connections) < target and now_ms >= endpoint.next_open_ms:
        open_connection(state, endpoint, now_ms, actions)


def _close_excess(endpoint: OwnedEndpoint, target: int, actions: list[OwnerAction]) -> None:
    not_closing = [
        c for c in endpoint.connections.values() if c.state is not ConnectionState.CLOSING
    ]
    # A probe may exceed the target until its reply arrives.
    excess = len(not_closing) - target - sum(1 for conn in not_closing if conn.is_probe)
    idle = sorted((c for c in not_closing if is_idle(c)), key=lambda conn: conn.last_reply_ms)
    for conn in idle[: max(0, excess)]:
        close_connection(endpoint, conn, 'more than needed', actions)
