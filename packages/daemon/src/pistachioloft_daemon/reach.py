"""Notice when this instance is cut off from all endpoints, and when it reaches them again."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from pistachioloft_core.connection.reach import (
    choose_probes,
    decide_cut_off,
    record_connected,
    record_failed,
)

from .loop_timers import monotonic_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioloft_core.messages.fleet import AnnouncedEndpoint
    from pistachioloft_core.request.routed_state import RoutedState

logger = logging.getLogger(__name__)

PREFIX = '[endpoint]'


class ReachMonitor:
    """Connect to some endpoints while there is doubt whether this instance reaches any."""

    def __init__(self, state: RoutedState, probe: Callable[[AnnouncedEndpoint], None]) -> None:
        self.state = state
        self.probe = probe
        # Called when this instance is found cut off, and when it has recovered.
        self.changed: Callable[[bool], None] = lambda _cut_off: None

    def on_connected(self, record: AnnouncedEndpoint) -> None:
        """Handle a new connection to an endpoint."""
        now_ms = monotonic_ms()
        reach = self.state.reach
        since_ms = reach.changed_ms
        if record_connected(reach, now_ms, record.endpoint, self.state.table.usable_count):
            logger.info('%s endpoints reached again after %.0fms', PREFIX, now_ms - since_ms)
            self.changed(False)

    def on_connect_failed(self, record: AnnouncedEndpoint) -> None:
        """Handle a connection to an endpoint that could not be opened."""
        record_failed(self.state.reach, monotonic_ms(), record.endpoint)

    def check(self, now_ms: float) -> None:
        """Decide a suspicion that is due, and probe endpoints."""
        reach = self.state.reach
        if decide_cut_off(reach, now_ms):
            logger.warning(
                '%s cut off: no connection to any of the probed endpoints, %d are known',
                PREFIX,
                self.state.table.usable_count,
            )
            self.changed(True)
        usable = (load for loads in self.state.table.services.values() for load in loads)
        probes = choose_probes(reach, now_ms, usable, self.state.random)
        if probes and reach.probing:
            names = ','.join(load.record.endpoint for load in probes)
            logger.info('%s endpoints fail together: probing %s', PREFIX, names)
        for load in probes:
            self.probe(load.record)
