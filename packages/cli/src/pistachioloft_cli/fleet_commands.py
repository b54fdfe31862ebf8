"""Commands on a fleet whose instances discover each other from seeds."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated

import typer

from pistachioloft_core.messages.fleet import ENDPOINT_READY
from pistachioloft_core.messages.report import FleetReport

from .exits import CommandFailure, ExitCode, FailedAttempt
from .options import Json, check_addresses
from .output import Output, format_table
from .placement_command import explain_placement
from .transport import Call, exchange_each

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pistachioloft_core.messages.report import AnnouncedReport, EntryReport

WATCH_VARIABLE = 'PISTACHIOLOFT_WATCH_AT'
REPORT_ANSWER_TIMEOUT_MS = 2_500
ROLE_CONTROL = 'control'

fleet_app = typer.Typer(help='Inspect a fleet whose instances discover each other from seeds.')
fleet_app.command('explain-placement')(explain_placement)

WatchAt = Annotated[
    list[str],
    typer.Option(
        '--at',
        metavar='IP:PORT',
        envvar=WATCH_VARIABLE,
        callback=check_addresses,
        help='Metrics address of an instance; may be given several times.',
    ),
]


@dataclass(frozen=True, slots=True)
class FleetView:
    """Hold the reports of the given addresses, and the addresses without one."""

    reports: tuple[FleetReport, ...]
    unreachable: tuple[str, ...]


@fleet_app.callback()
def fleet() -> None:
    """Group the commands on a fleet."""


@fleet_app.command()
def status(
    instance_addresses: WatchAt,
    endpoints: Annotated[
        bool,
        typer.Option(
            '--endpoints', help='List all endpoints, not only the unusable, avoided or overdue.'
        ),
    ] = False,
    as_json: Json = False,
) -> None:
    """Show versions, leader, entry instances, impaired endpoints and suspected content."""
    output = Output(as_json)
    with output.exit_on_failure():
        view = _read_reports(instance_addresses)
        for report in view.reports:
            output.lines(describe_instance(report))
        for address in view.unreachable:
            output.lines(f'{address}: gave no report')
        output.lines(*describe_versions(view.reports), *describe_voters(view.reports))
        output.lines(*describe_evacuations(view.reports))
        output.lines(*_entry_table(view.reports), *_endpoint_table(view.reports, endpoints))
        output.lines(*_budget_table(view.reports))
        output.lines(*_organisation_table(view.reports))
        output.lines(*_suspect_lines(view.reports))
        output.document(view)
        output.exit_unless_done(ExitCode.PARTIAL if view.unreachable else ExitCode.DONE)


def _read_reports(instance_addresses: Iterable[str]) -> FleetView:
    call = Call('GET', '/report', FleetReport, answer_ms=REPORT_ANSWER_TIMEOUT_MS, round_count=1)
    reports, unreachable = exchange_each(call, instance_addresses)
    if not reports:
        tries = tuple(FailedAttempt(address, False, 'gave no report') for address in unreachable)
        detail = f'No report from {", ".join(unreachable)}.'
        raise CommandFailure(ExitCode.NOT_REACHABLE, detail, tries)
    return FleetView(tuple(reports.values()), unreachable)


def describe_instance(report: FleetReport) -> str:
    """Return a line with the role, state and version of an instance."""
    state = 'stopping' if report.stopping else 'serving' if report.serving else 'not serving'
    age_ms = report.confirmed_age_ms
    confirmed = '' if age_ms is None else f', confirmed {age_ms:.0f} ms ago'
    return (
        f'{report.instance} {report.label} ({report.role}, {report.failure_domain}) {state},'
        f' version {report.route_version}{confirmed}'
    )


def describe_versions(reports: Iterable[FleetReport]) -> list[str]:
    """Return the newest accepted version and the instances on which another is in force."""
    reports = list(reports)
    newest = max(report.route_version for report in reports)
    versions: dict[str, int] = {}
    for report in reports:
        for entry in report.entries:
            versions[entry.instance] = max(entry.route_version, versions.get(entry.instance, 0))
    versions |= {
        reporter.instance: reporter.route_version
        for reporter in reports
        if reporter.role != ROLE_CONTROL
    }
    others = sorted(
        f'{name} ({version})' for name, version in versions.items() if version != newest
    )
    return [f'Newest version: {newest}. Not in force on: {", ".join(others) or "none"}.']


def describe_voters(reports: Iterable[FleetReport]) -> list[str]:
    """Return the leader and the voters according to the report of the newest term."""
    voters = [report.voters for report in reports if report.voters is not None]
    if not voters:
        return ['No given address is a voter; the leader is not known.']
    newest = max(voters, key=lambda status: (status.term, status.can_lose_count is not None))
    can_lose = 'unknown' if newest.can_lose_count is None else str(newest.can_lose_count)
    return [
        f'Leader: {newest.leader or "none"}, term {newest.term}, index {newest.commit_index}.',
        f'Voters: {", ".join(newest.voters)}; learners: {", ".join(newest.learners) or "none"};'
        f' can still be lost: {can_lose}.',
    ]


def describe_evacuations(reports: Iterable[FleetReport]) -> list[str]:
    """Return a line for each evacuated failure domain with the instances that know of it."""
    reports = list(reports)
    domains = sorted({name for report in reports for name in report.evacuated_domains})
    lines = []
    for domain in domains:
        unaware = [report.instance for report in reports if domain not in report.evacuated_domains]
        lines.append(f'Evacuated: {domain}. Not known on: {", ".join(unaware) or "none"}.')
    return lines


def _entry_table(reports: Iterable[FleetReport]) -> tuple[str, ...]:
    rows = {
        entry.instance: (
            entry.instance,
            entry.failure_domain,
            _entry_state(entry),
            'yes' if entry.chosen else 'no',
            entry.route_version,
            entry.in_flight_count,
            f'{entry.age_ms:.0f}',
        )
        for report in reports
        for entry in report.entries
    }
    header = ('ENTRY', 'DOMAIN', 'STATE', 'GETS CALLERS', 'VERSION', 'IN FLIGHT', 'AGE MS')
    return ('', *format_table(header, list(rows.values()))) if rows else ()


def _entry_state(entry: EntryReport) -> str:
    if entry.stopping:
        return 'stopping'
    if entry.ready and entry.cut_off:
        return 'cut off'
    return 'ready' if entry.ready else 'not ready'


def _endpoint_table(reports: Iterable[FleetReport], list_all: bool) -> tuple[str, ...]:
    rows = []
    for report in reports:
        listed = [
            announced for announced in report.endpoints if list_all or _needs_attention(announced)
        ]
        for announced in sorted(listed, key=lambda item: (item.service, item.endpoint)):
            state = _endpoint_state(announced)
            cells = (
                announced.endpoint,
                announced.service,
                announced.failure_domain,
                announced.address,
                state,
            )
            rows.append(
                (*cells, announced.in_flight_count, announced.overdue_count, report.instance)
            )
    header = ('ENDPOINT', 'SERVICE', 'DOMAIN', 'ADDRESS', 'STATE', 'IN FLIGHT', 'LATE')
    return ('', *format_table((*header, 'SEEN BY'), rows)) if rows else ()


def _endpoint_state(endpoint: AnnouncedReport) -> str:
    if endpoint.leaving:
        return 'leaving'
    if endpoint.evacuated and endpoint.standing == ENDPOINT_READY:
        return 'evacuated'
    if endpoint.rest_left_ms > 0.0:
        return f'rests {endpoint.rest_left_ms / 1000.0:.1f} s'
    if endpoint.breaker_open:
        return 'avoided'
    if endpoint.limit_per_s is not None and endpoint.usable:
        return f'limit {endpoint.limit_per_s:.1f}/s'
    return endpoint.standing


def _needs_attention(endpoint: AnnouncedReport) -> bool:
    return (
        not endpoint.usable
        or endpoint.breaker_open
        or endpoint.overdue_count > 0
        or endpoint.leaving
        or endpoint.rest_left_ms > 0.0
        or endpoint.limit_per_s is not None
    )


def _budget_table(reports: Iterable[FleetReport]) -> tuple[str, ...]:
    rows = [
        (
            report.instance,
            budget.service,
            f'{budget.balance_count:.1f} of {budget.allowance_count:.1f}',
            budget.first_count,
            budget.extra_count,
        )
        for report in reports
        for budget in report.budgets
    ]
    header = ('ENTRY', 'SERVICE', 'BALANCE', 'FIRST TRIES 10 S', 'EXTRA 10 S')
    return ('', *format_table(header, rows)) if rows else ()


def _organisation_table(reports: Iterable[FleetReport]) -> tuple[str, ...]:
    """Return the requests of each organisation, summed over the instances that reported."""
    admitted: Counter[str] = Counter()
    refused: Counter[str] = Counter()
    limits: dict[str, tuple[str, str]] = {}
    for report in reports:
        for organisation in report.organisations:
            name = organisation.organisation
            admitted[name] += organisation.admitted_count
            refused[name] += organisation.refused_count
            limits[name] = f'{organisation.rate_per_s:g}', f'{organisation.burst_count:g}'
    rows = [
        (name, *limits[name], admitted[name], refused[name])
        for name, _ in (admitted + refused).most_common()
    ]
    header = ('ORGANISATION', 'RATE/S', 'BURST', 'ADMITTED', 'REFUSED')
    return ('', *format_table(header, rows)) if rows else ()


def _suspect_lines(reports: Iterable[FleetReport]) -> list[str]:
    return [
        f'{report.instance}: content {suspect.digest} is {suspect.standing}'
        for report in reports
        for suspect in report.suspects
    ]
