"""A routed request while it is in flight."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachioloft_core.request.gather_state import GatherState

if TYPE_CHECKING:
    from pistachioloft_core.request.forward import ForwardState

    from .http1.server import Respond
    from .passed_requests import IncomingRequest
    from .relays import IncomingGroup
    from .routed_messages import RoutedRequest


class InFlight:
    """Hold one request from its arrival until its last attempt has ended."""

    __slots__ = (
        'arrived_ms',
        'check_at_ms',
        'group',
        'number',
        'passed',
        'relay_ids',
        'reserved_bytes',
        'respond',
        'route_version',
        'routed',
        'state',
        'timer',
        'transit_ms',
    )

    def __init__(
        self,
        number: int,
        routed: RoutedRequest,
        state: GatherState | ForwardState,
        respond: Respond | None,
        arrived_ms: float,
        route_version: int,
        transit_ms: float,
    ) -> None:
        self.number = number
        self.routed = routed
        self.state = state
        # None once the caller has its answer or has left, and for a group of another instance.
        self.respond = respond
        self.group: IncomingGroup | None = None
        # Set if another instance passed this request on.
        self.passed: IncomingRequest | None = None
        # What was delegated or passed on to helpers for this request.
        self.relay_ids: list[str] = []
        self.arrived_ms = arrived_ms
        self.route_version = route_version
        # The caller's time that passes outside this instance, before the request and after the
        # answer.
        self.transit_ms = transit_ms
        self.timer = 0
        # Of the process's budget, until this request is finished.
        self.reserved_bytes = 0
        self.check_at_ms = float('inf')

    @property
    def query(self) -> GatherState:
        """Return the state of a query or of a delegated group."""
        assert isinstance(self.state, GatherState)
        return self.state

    @property
    def is_unanswered(self) -> bool:
        """Return whether a caller or another instance waits for the outcome."""
        return self.respond is not None or self.group is not None or self.passed is not None

    @property
    def single(self) -> ForwardState:
        """Return the state of a request that goes to one endpoint."""
        assert not isinstance(self.state, GatherState)
        return self.state
