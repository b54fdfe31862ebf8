"""Guard against requests that are condemned because the links of an instance were cut."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from pistachioloft_core.connection.reach import EndpointReach, record_connected
from pistachioloft_core.messages.fleet import ENDPOINT_READY, AnnouncedEndpoint
from pistachioloft_core.process.crash_watch import on_request_lost
from pistachioloft_daemon.crash_reports import CrashReports
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
