"""Guard against requests that are condemned because the links of an instance were cut."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import pytest

from pistachioloft_core.connection.reach import EndpointReach, record_connected
from pistachioloft_core.messages.fleet import ENDPOINT_READY, AnnouncedEndpoint
from pistachioloft_core.process.crash_watch import on_request_lost
from pistachioloft_core.request.attempts import AttemptEnd, AttemptOutcome
from pistachioloft_daemon.crash_reports import CONFIRMATION_INTERVAL_MS, CrashReports
from pistachioloft_daemon.loop_timers import LoopTimers, monotonic_ms

if TYPE_CHECKING:
    from pistachioloft_core.messages.fleet import RequestCrash

WAIT_S = 0.2


@pytest.mark.parametrize(
    ('evidence', 'reported'), [('connected', True), ('none', False), ('cut off', False)]
)
def test_crash_is_reported_once_another_endpoint_is_reached(evidence: str, reported: bool) -> None:
    """Guard against the loss of a single request with the links, which looks like a crash."""
    reports: list[RequestCrash] = []

    async def main() -> None:
        reach = EndpointReach()
        crashes = CrashReports(LoopTimers(asyncio.get_running_loop()), reach, lambda _record: None)
        crashes.report = reports.extend
        record = AnnouncedEndpoint('e', 's', '10.0.0.1:80', 'a', 2, ENDPOINT_READY, 1, 1)
        record_connected(reach, monotonic_ms(), 'other', 5)
        await asyncio.sleep(0.01)
        on_request_lost(crashes.watch, monotonic_ms(), record, 'digest')
        crashes.on_connection_refused('e')
        await asyncio.sleep(WAIT_S)
        assert reports == []
        assert reach.probe_wanted
        if evidence == 'connected':
            record_connected(reach, monotonic_ms(), 'other', 5)
        elif evidence == 'cut off':
            reach.cut_off = True
        await asyncio.sleep(WAIT_S)

    asyncio.run(main())
    assert [report.endpoint for report in reports] == (['e'] if reported else [])


@pytest.mark.parametrize('answered', [False, True])
def test_crashed_endpoint_is_tried_once_its_connections_have_ended(answered: bool) -> None:
    """Guard against a crash that goes unnoticed while idle connections still count as open."""
    tried_at_ms: list[float] = []

    async def main() -> None:
        crashes = CrashReports(
            LoopTimers(asyncio.get_running_loop()),
            EndpointReach(),
            lambda _record: tried_at_ms.append(monotonic_ms()),
        )
        record = AnnouncedEndpoint('e', 's', '10.0.0.1:80', 'a', 2, ENDPOINT_READY, 1, 1)
        attempt: Any = SimpleNamespace(load=SimpleNamespace(record=record))
        lost_ms = monotonic_ms()
        crashes.on_attempt_end(lost_ms, 'digest', attempt, AttemptEnd(AttemptOutcome.LOST))
        if answered:
            crashes.watch.lost.clear()
        await asyncio.sleep(WAIT_S)
        assert len(tried_at_ms) == (1 if answered else 2)
        assert answered or tried_at_ms[1] >= lost_ms + CONFIRMATION_INTERVAL_MS

    asyncio.run(main())
