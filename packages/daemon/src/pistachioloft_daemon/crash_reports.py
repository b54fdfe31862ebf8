"""Find out which requests crash endpoints, from lost attempts and refused connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachioloft_core.process.crash_watch import (
    CrashWatch,
    on_endpoint_down,
    on_request_answered,
    on_request_lost,
)
from pistachioloft_core.request.attempts import AttemptOutcome

from .loop_timers import monotonic_ms
from .request_log import log_suspected

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioloft_core.connection.reach import EndpointReach
    from pistachioloft_core.messages.fleet import AnnouncedEndpoint, RequestCrash
    from pistachioloft_core.request.attempts import Attempt, AttemptEnd

    from .loop_timers import LoopTimers

# A refused connection is taken for a crash once a connection to an endpoint was opened after it.
CONFIRMATION_INTERVAL_MS = 50.0


class CrashReports:
    """Hold the lost requests, and report those that were on endpoints which crashed."""

    def __init__(
        self,
        timers: LoopTimers,
        reach: EndpointReach,
        preconnect: Callable[[AnnouncedEndpoint], None],
    ) -> None:
        self.timers = timers
        self.reach = reach
        self.preconnect = preconnect
        self.watch = CrashWatch()
        self.report: Callable[[tuple[RequestCrash, ...]], None] = lambda _: None

    def on_attempt_end(self, now_ms: float, digest: str, attempt: Attempt, end: AttemptEnd) -> None:
        """Record which content was lost with an endpoint, and which an endpoint answered."""
        if end.outcome is AttemptOutcome.ANSWERED:
            on_request_answered(self.watch, now_ms, digest)
        elif end.outcome is AttemptOutcome.LOST:
            on_request_lost(self.watch, now_ms, attempt.load.record, digest)
            # A crashed endpoint refuses the connection; with a live one it is ready for reuse.
            record = attempt.load.record
            self.preconnect(record)
            # The other connections to a crashed endpoint may end only after this one.
            self.timers.at(
                now_ms + CONFIRMATION_INTERVAL_MS, lambda _ms: self._connect_again(record)
            )

    def _connect_again(self, record: AnnouncedEndpoint) -> None:
        if record.endpoint in self.watch.lost:
            self.preconnect(record)

    def on_connection_refused(self, endpoint: str) -> None:
        """Take an endpoint for crashed unless this instance turns out to be cut off."""
        if endpoint in self.watch.lost:
            self._confirm_later(endpoint, monotonic_ms())

    def on_cut_off(self) -> None:
        """Forget what was lost with the links, which is no sign that an endpoint crashed."""
        self.watch.lost.clear()

    def on_endpoint_down(self, endpoint: str) -> None:
        """Suspect the requests that were lost on an endpoint that has crashed."""
        crashes = on_endpoint_down(self.watch, monotonic_ms(), endpoint)
        for crash in crashes:
            log_suspected(endpoint, crash)
        if crashes:
            self.report(crashes)

    def _confirm_later(self, endpoint: str, refused_ms: float) -> None:
        due_ms = monotonic_ms() + CONFIRMATION_INTERVAL_MS
        self.timers.at(due_ms, lambda _ms: self._confirm_crash(endpoint, refused_ms))

    def _confirm_crash(self, endpoint: str, refused_ms: float) -> None:
        if self.reach.cut_off:
            self.watch.lost.pop(endpoint, None)
        elif self.reach.connected_ms > refused_ms:
            self.on_endpoint_down(endpoint)
        elif endpoint in self.watch.lost:
            # Only a new connection shows that the refusal was the endpoint's own.
            self.reach.probe_wanted = not self.reach.probing
            self._confirm_later(endpoint, refused_ms)
