"""Guard against explained placements that differ from real ones, send something or show keys."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from typer.testing import CliRunner

from pistachioloft_cli.program import app
from pistachioloft_core.codec import decode_json
from pistachioloft_core.messages.report import PlacementReport
from tools.fleet.site import ROUTE_HOST, Site

if TYPE_CHECKING:
    from pathlib import Path

    from click.testing import Result

    from tools.fleet.processes import Machine

KEY = 'key-of-the-east'


async def explain(site: Site, machine: Machine, *arguments: str) -> Result:
    address = site.fleet.metrics_address(machine)
    command = ['fleet', 'explain-placement', '--at', address, *arguments]
    return await asyncio.to_thread(CliRunner().invoke, app, command)


def received_count(site: Site) -> int:
    return sum(len(searcher.received_requests) for searcher in site.searchers)


def test_instances_explain_placements_without_sending_anything(tmp_path: Path) -> None:
    """Guard against an explanation that reaches an endpoint, or a key that anything shows."""
    key_file = tmp_path / 'key'
    key_file.write_text(KEY)

    async def scenario(site: Site) -> None:
        await site.serving()
        organisations: list[dict[str, Any]] = [{'name': 'east', 'apiKeys': [KEY], 'priority': 0}]
        await site.submit(organisations=organisations)
        entry, control = site.fleet.entries[0], site.fleet.controls[0]

        async def key_is_known() -> bool:
            options = ('--key-file', str(key_file))
            return (await explain(site, entry, *options, ROUTE_HOST, '/all/x')).exit_code == 0

        await site.wait_until(key_is_known, 'the organisations at an entry instance')
        count = received_count(site)
        results = [
            await explain(site, entry, *options, ROUTE_HOST, path)
            for path in ('/all/x', '/one/x')
            for options in (('--key-file', str(key_file)), ('--organisation', 'east'))
        ]
        for result in results:
            assert result.exit_code == 0
            assert 'Organisation: east, no allotment.' in result.stdout
            assert 'Admitted: yes.' in result.stdout
        document = await explain(
            site, entry, '--organisation', 'east', '--json', ROUTE_HOST, '/all/x'
        )
        report = decode_json(document.stdout.encode(), PlacementReport)
        known = {record.endpoint for each in report.services for record in each.candidates}
        assert known == {
            searcher.endpoint for searcher in site.searchers if searcher.service in services(report)
        }
        assert all(each.first_endpoint or each.via != entry.ip for each in report.services)
        for arguments in ((ROUTE_HOST, '/all/x'), ('--organisation', 'west', ROUTE_HOST, '/all/x')):
            assert (await explain(site, entry, *arguments)).exit_code == 1
        refused = await explain(site, control, '--key-file', str(key_file), ROUTE_HOST, '/all/x')
        assert refused.exit_code == 1
        assert 'ask an entry instance' in refused.stderr
        assert received_count(site) == count
        texts = [result.stdout + result.stderr for result in (*results, document, refused)]
        texts += [site.fleet.log(each) for each in (*site.fleet.controls, *site.fleet.entries)]
        assert not any(KEY in text for text in texts)

    async def run() -> None:
        async with Site(tmp_path) as site:
            await scenario(site)

    asyncio.run(run())


def services(report: PlacementReport) -> set[str]:
    return {each.service for each in report.services}
