"""The program `pistachioloft`."""

from __future__ import annotations

import importlib
from dataclasses import dataclass
from pathlib import Path  # noqa: TC003
from typing import Annotated, Any, Protocol

import typer

from pistachioloft_core.errors import RESULTS, ResultCode

from .caller_commands import addresses, command, query
from .config_commands import app as config_app
from .exits import EXIT_HELP, CommandFailure, ExitCode, exit_code_of
from .fleet_commands import fleet_app
from .options import Json  # noqa: TC001
from .output import Output
from .system_commands import instances_app, rehearsal_app, status

STORAGE_MODULE = 'pistachioloft_daemon.storage'

app = typer.Typer(
    name='pistachioloft',
    help=f'Query and operate pistachioloft. {EXIT_HELP}',
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
data_app = typer.Typer(help='Check the data folder of a voter.')
app.command()(addresses)
app.command()(query)
app.command()(command)
app.command()(status)
app.add_typer(config_app, name='config')
app.add_typer(instances_app, name='instances')
app.add_typer(rehearsal_app, name='rehearsal')
app.add_typer(data_app, name='data')
app.add_typer(fleet_app, name='fleet')


@dataclass(frozen=True, slots=True)
class Explanation:
    """Hold the fields of the JSON document that explains a result code."""

    code: int
    name: str
    run_status: str
    http_status: int
    final: bool
    summary: str
    exit_code: int


@app.command()
def explain(
    code: Annotated[str, typer.Argument(help='Number or name of a result code.')],
    as_json: Json = False,
) -> None:
    """Explain a result code."""
    output = Output(as_json)
    try:
        result = ResultCode(int(code)) if code.isdigit() else ResultCode[code.upper()]
    except (KeyError, ValueError):
        detail = f'no result code {code!r}; docs/result-codes.md lists them'
        raise typer.BadParameter(detail, param_hint='CODE') from None
    info = RESULTS[result]
    advice = 'It is final.' if info.final else 'It may be sent again.'
    output.lines(
        f'{int(result)} {result.name.lower()}: {info.summary}',
        f'The request: {info.run_status.value.replace("_", " ")}. {advice}',
        f'HTTP status {info.http_status}, exit code {int(exit_code_of(result))}.',
    )
    output.document(
        Explanation(
            int(result),
            result.name.lower(),
            info.run_status.value,
            info.http_status,
            info.final,
            info.summary,
            int(exit_code_of(result)),
        )
    )


class FolderReport(Protocol):
    """Declare the report of the daemon's storage on a data folder."""

    cluster_id: str
    member_id: str
    term: int
    snapshot_index: int
    last_index: int
    entry_count: int
    segment_count: int
    torn_bytes: int
    problems: tuple[Any, ...]


@data_app.command('check')
def check_data(
    folder: Annotated[Path, typer.Argument(exists=True, file_okay=False)], as_json: Json = False
) -> None:
    """Check the data folder of a stopped voter without changing it."""
    output = Output(as_json)
    with output.exit_on_failure():
        report = _check_folder(folder)
        output.lines(
            f'Cluster {report.cluster_id or "unknown"}, member {report.member_id or "unknown"}',
            f'Term {report.term}, snapshot at index {report.snapshot_index},'
            f' last index {report.last_index}',
            f'{report.entry_count} log entries in {report.segment_count} segments',
        )
        if report.torn_bytes:
            output.lines(
                f'The last record is torn: {report.torn_bytes} bytes, never promised to anyone,'
                ' are cut off at the next start.'
            )
        for problem in report.problems:
            output.lines(f'{problem.file}: offset {problem.offset_bytes}: {problem.detail}')
        output.lines(
            'Damaged: repair this voter as a new member; see docs/OPERATIONS.md.'
            if report.problems
            else 'No problems.'
        )
        output.document(report)
        output.exit_unless_done(ExitCode.REFUSED if report.problems else ExitCode.DONE)


def _check_folder(folder: Path) -> FolderReport:
    try:
        storage: Any = importlib.import_module(STORAGE_MODULE)
        check_folder, storage_error = storage.check_folder, storage.StorageError
    except (ImportError, AttributeError):
        detail = 'The package pistachioloft-daemon is not installed; data check requires it.'
        raise CommandFailure(ExitCode.REFUSED, detail) from None
    try:
        report: FolderReport = check_folder(str(folder))
    except (OSError, storage_error) as error:
        raise CommandFailure(ExitCode.REFUSED, f'The folder cannot be checked: {error}') from error
    return report


def main() -> None:
    """Run the command line."""
    app()
