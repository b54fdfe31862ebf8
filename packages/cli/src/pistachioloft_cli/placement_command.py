"""Command that explains where an entry instance would send a request now."""

from __future__ import annotations

from pathlib import Path  # noqa: TC003
from typing import TYPE_CHECKING, Annotated
from urllib.parse import urlencode

import typer

from pistachioloft_core.messages.public import ErrorReply
from pistachioloft_core.messages.report import PlacementReport

from .exits import CommandFailure, exit_code_of
from .options import Json, check_addresses
from .output import Output, format_table
from .transport import Call, exchange

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pistachioloft_core.messages.report import CandidateReport, ServicePlacement

PLACEMENT_ANSWER_TIMEOUT_MS = 2_500


def _check_address(value: str) -> str:
    check_addresses([value])
    return value


def explain_placement(
    host: Annotated[str, typer.Argument(help='Host of the request, as in its Host header.')],
    path: Annotated[str, typer.Argument(help='Path of the request, from its first slash.')],
    address: Annotated[
        str,
        typer.Option(
            '--at',
            metavar='IP:PORT',
            callback=_check_address,
            help='Metrics address of one entry instance.',
        ),
    ],
    organisation: Annotated[
        str | None, typer.Option('--organisation', help='Name of the organisation that sends it.')
    ] = None,
    key_file: Annotated[
        Path | None, typer.Option('--key-file', help='File with the key of the request.')
    ] = None,
    as_json: Json = False,
) -> None:
    """Explain where an entry instance would send a request now, without sending it."""
    if not path.startswith('/'):
        raise typer.BadParameter('expected a path that begins with a slash', param_hint='PATH')
    if organisation is not None and key_file is not None:
        raise typer.BadParameter('expected --organisation or --key-file, not both')
    headers = () if key_file is None else (('Authorization', f'Bearer {_read_key(key_file)}'),)
    output = Output(as_json)
    with output.exit_on_failure():
        report = _read_placement(address, host, path, organisation, headers)
        output.lines(*describe_placement(report))
        output.document(report)


def _read_key(key_file: Path) -> str:
    """Return the key in a file; no message may show any part of it."""
    try:
        key = key_file.read_text(encoding='ascii').strip()
    except (OSError, ValueError):
        key = ''
    if not key or not key.isprintable():
        detail = f'expected a readable file with one key, found {str(key_file)!r}'
        raise typer.BadParameter(detail, param_hint='--key-file')
    return key


def _read_placement(
    address: str,
    host: str,
    path: str,
    organisation: str | None,
    headers: tuple[tuple[str, str], ...],
) -> PlacementReport:
    fields = {'host': host, 'path': path}
    if organisation is not None:
        fields['organisation'] = organisation
    call = Call(
        'GET',
        f'/placement?{urlencode(fields)}',
        PlacementReport,
        answer_ms=PLACEMENT_ANSWER_TIMEOUT_MS,
        round_count=1,
        headers=headers,
    )
    answer = exchange(call, (address,), lambda line: None)
    if isinstance(answer.reply, ErrorReply):
        code = answer.reply.result_code
        detail = f'{address}: {code.name.lower()} ({int(code)}): {answer.reply.detail}'
        raise CommandFailure(exit_code_of(code), detail, answer.tries)
    return answer.reply


def describe_placement(report: PlacementReport) -> list[str]:
    """Return the lines that explain a placement."""
    lines = [
        f'{report.instance} ({report.failure_domain}): route {report.route},'
        f' version {report.route_version}, priority {report.priority}'
    ]
    if report.organisation is not None:
        each = report.organisation
        allotment = 'no allotment'
        if each.rate_per_s > 0:
            allotment = f'{each.rate_per_s:g}/s, burst {each.burst_count:g}'
            allotment += ', spare permit here' if each.has_spare_permit else ', no spare permit'
        if each.denied_for_ms > 0:
            allotment += f', denied for {each.denied_for_ms:.0f} ms'
        lines.append(f'Organisation: {each.organisation}, {allotment}.')
    if report.refusal is None:
        lines.append('Admitted: yes.')
    else:
        refusal = report.refusal
        lines.append(f'Admitted: no, {refusal.name} ({refusal.code}): {refusal.reason}.')
    lines.append(f'Share of such requests that is admitted: {report.admitted_share:.2f}.')
    for service in report.services:
        lines += ['', *_describe_service(service)]
    return lines


def _describe_service(service: ServicePlacement) -> list[str]:
    lines = [
        f'{service.service}: through {service.via} to {service.first_endpoint or "-"}'
        f' ({service.reason}), then {service.next_endpoint or "-"};'
        f' {service.retries_left_count} repeats or {service.hedges_left_count} hedges left'
    ]
    if service.wanted_endpoint:
        lines.append(f'  {service.wanted_endpoint} would be faster and lacks a permit')
    lines += [f'  {line}' for line in _candidate_table(service.candidates)]
    return lines


def _candidate_table(candidates: Iterable[CandidateReport]) -> tuple[str, ...]:
    rows = [
        (
            each.endpoint,
            each.failure_domain,
            f'{each.expected_latency_ms:.1f}',
            f'{each.slowness:.2f}',
            _describe_load(each),
            f'{each.in_flight_count} of {each.connection_limit_count}',
            _describe_state(each),
        )
        for each in sorted(candidates, key=lambda item: item.expected_latency_ms)
    ]
    header = ('ENDPOINT', 'DOMAIN', 'EXPECTED MS', 'SLOWNESS', 'RUN+WAIT/SLOTS', 'IN USE', 'STATE')
    return format_table(header, rows) if rows else ()


def _describe_load(candidate: CandidateReport) -> str:
    if candidate.report_age_ms is None:
        return '-'
    return (
        f'{candidate.running_count}+{candidate.waiting_count}/{candidate.slot_count},'
        f' {candidate.report_age_ms:.0f} ms ago'
    )


def _describe_state(candidate: CandidateReport) -> str:
    """Return everything that speaks against an endpoint, or `usable`."""
    limit = candidate.limit_per_s
    states = {
        candidate.standing: not candidate.usable and not candidate.evacuated,
        'evacuated': candidate.evacuated,
        'leaving': candidate.leaving,
        f'rests {candidate.rest_left_ms / 1000.0:.1f} s': candidate.rest_left_ms > 0.0,
        'avoided': candidate.breaker_open,
        f'limit {limit or 0.0:.1f}/s': limit is not None,
        'no permit': not candidate.has_permit,
        f'late {candidate.overdue_count}': candidate.overdue_count > 0,
        f'refuses {candidate.shed_fraction:.2f}': candidate.shed_fraction >= 0.01,
        'cold': candidate.cold,
        'distant': candidate.distant,
    }
    return ', '.join(name for name, holds in states.items() if holds) or 'usable'
