"""Guard against missing metrics and reports, and against log output that blocks an instance."""

from __future__ import annotations

import asyncio
import fcntl
import os
import re
import select
from pathlib import Path
from typing import TYPE_CHECKING

from typer.testing import CliRunner

from pistachioloft_cli.program import app
from pistachioloft_core.codec import decode_json
from pistachioloft_core.messages.report import FleetReport

from .test_whole_path import run

if TYPE_CHECKING:
    from tools.fleet.processes import Machine
    from tools.fleet.site import Site

# The smallest pipe; the start of an instance and a few requests write more.
PIPE_BYTES = 4_096
ROUND_COUNT = 10


async def read(site: Site, machine: Machine, path: str) -> bytes:
    url = f'http://{site.fleet.metrics_address(machine)}{path}'
    async with site.session.get(url) as response:
        assert response.status == 200
        return await response.read()


def test_metrics_and_reports_match_the_traffic(tmp_path: Path) -> None:
    """Guard against counters, histograms and reports that miss what an instance did."""

    async def scenario(site: Site) -> None:
        for _ in range(5):
            assert (await site.call('/all/gold')).status == 200
        assert (await site.call('/nowhere/x')).status == 404
        metrics_texts = [
            (await read(site, each, '/metrics')).decode() for each in site.fleet.entries
        ]
        pattern = r'pistachioloft_requests_total\{code="(\w+)"\} (\d+)'
        counts = [dict(re.findall(pattern, text)) for text in metrics_texts]
        assert sum(int(each.get('complete', 0)) for each in counts) >= 5
        assert sum(int(each.get('unknown_path', 0)) for each in counts) == 1
        assert all('pistachioloft_serving 1' in text for text in metrics_texts)
        buckets = re.findall(
            r'pistachioloft_request_ms_bucket\{le="[^"]+"\} (\d+)', metrics_texts[0]
        )
        assert [int(each) for each in buckets] == sorted(int(each) for each in buckets)
        assert 'pistachioloft_attempts_total{end="answered"' in ''.join(metrics_texts)
        assert 'pistachioloft_attempt_ms_bucket' in metrics_texts[0]

        entry, control = site.fleet.entries[0], site.fleet.controls[0]
        report = decode_json(await read(site, entry, '/report'), FleetReport)
        assert (report.role, report.serving, report.route_version) == ('entry', True, site.version)
        assert len(report.endpoints) == len(site.searchers)
        control_report = decode_json(await read(site, control, '/report'), FleetReport)
        assert {each.instance for each in control_report.entries} == {
            each.ip for each in site.fleet.entries
        }
        assert control_report.voters is not None
        assert len(control_report.voters.voters) == 3

        machines = (*site.fleet.controls, *site.fleet.entries)
        address_options = [
            part for each in machines for part in ('--at', site.fleet.metrics_address(each))
        ]
        status_output = await asyncio.to_thread(
            CliRunner().invoke, app, ['fleet', 'status', *address_options]
        )
        assert status_output.exit_code == 0
        assert f'Newest version: {site.version}. Not in force on: none.' in status_output.stdout
        assert re.search(r'Leader: 127\.[\d.]+, term \d+', status_output.stdout)

    run(tmp_path, scenario)


def test_unread_or_full_output_stops_nothing(tmp_path: Path) -> None:
    """Guard against an instance that blocks while its log output is full or isn't read."""

    async def scenario(site: Site) -> None:
        fleet = site.fleet
        unread, output = os.pipe()
        fcntl.fcntl(output, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        with (
            os.fdopen(unread, 'rb'),
            os.fdopen(output, 'wb') as pipe,
            Path('/dev/full').open('wb') as full,
        ):
            for machine, stream in zip(fleet.entries, (pipe, full), strict=True):
                fleet.kill(machine)
                fleet.start(machine, stream)
            await site.serving()
            addresses = [fleet.caller_address(each) for each in fleet.entries]
            for _ in range(ROUND_COUNT):
                paths = ['/nowhere/x'] * 19 + ['/all/gold']
                answers = await asyncio.gather(
                    *(site.call(path, address) for path in paths for address in addresses)
                )
                assert {answer.status for answer in answers} == {200, 404}
            _, writable, _ = select.select([], [output], [], 0)
            assert not writable
            for machine in fleet.entries:
                assert fleet.terminate(machine) == 0

    run(tmp_path, scenario)
