"""Write results to standard output and progress to standard error."""

from __future__ import annotations

import contextlib
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import typer

from pistachioloft_core.codec import encode_json

from .exits import CommandFailure, ExitCode, FailedAttempt

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence


@dataclass(frozen=True, slots=True)
class FailureResult:
    """Hold the fields of the JSON document for a failure."""

    exit_code: int
    failure: str
    detail: str
    tries: tuple[FailedAttempt, ...]
    mistakes: tuple[str, ...]


class Output:
    """Write text lines for people, or a single JSON document for programs."""

    def __init__(self, json: bool) -> None:
        self.json = json
        self.written = False

    def lines(self, *lines: str) -> None:
        """Write text lines to standard output unless JSON is requested."""
        if not self.json:
            for line in lines:
                print(line)

    def document(self, message: Any) -> None:
        """Write the JSON document if JSON is requested and none has been written."""
        if self.json and not self.written:
            self.written = True
            print(encode_json(message).decode())

    def progress(self, line: str) -> None:
        """Write a line to standard error, with JSON output too."""
        print(line, file=sys.stderr, flush=True)

    @contextlib.contextmanager
    def exit_on_failure(self) -> Iterator[None]:
        """Write the message of a failure and exit with its code."""
        try:
            yield
        except CommandFailure as failure:
            for mistake in failure.mistakes:
                self.progress(f'  {mistake}')
            self.progress(failure.detail)
            self.document(
                FailureResult(
                    int(failure.exit_code),
                    failure.exit_code.name.lower(),
                    failure.detail,
                    failure.tries,
                    failure.mistakes,
                )
            )
            raise typer.Exit(int(failure.exit_code)) from None

    def exit_unless_done(self, exit_code: ExitCode) -> None:
        """Exit with a code other than `done`; otherwise return."""
        if exit_code is not ExitCode.DONE:
            raise typer.Exit(int(exit_code))


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> tuple[str, ...]:
    """Return a header and rows as lines with aligned columns."""
    texts = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[position]) for row in texts) for position in range(len(header))]
    return tuple(
        '  '.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in texts
    )
