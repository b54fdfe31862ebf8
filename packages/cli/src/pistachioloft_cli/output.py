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
    """Describe a failure for machines."""

    exit_code: int
    failure: str
    detail: str
    tries: tuple[FailedAttempt, ...]
    mistakes: tuple[str, ...]


class Output:
    """Write for people, or one JSON document for machines."""

    def __init__(self, json: bool) -> None:
        self.json = json
        self.written = False

    def lines(self, *lines: str) -> None:
        """Write lines for people."""
        if not self.json:
            for line in lines:
                print(line)

    def document(self, message: Any) -> None:
        """Write the JSON document for machines."""
        if self.json and not self.written:
            self.written = True
            print(encode_json(message).decode())

    def progress(self, line: str) -> None:
        """Write a progress line."""
        print(line, file=sys.stderr, flush=True)

    @contextlib.contextmanager
    def exit_on_failure(self) -> Iterator[None]:
        """Turn a failure into its message and exit code."""
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
        """End the command with an exit code."""
        if exit_code is not ExitCode.DONE:
            raise typer.Exit(int(exit_code))


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> tuple[str, ...]:
    """Lay out rows in columns."""
    texts = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[position]) for row in texts) for position in range(len(header))]
    return tuple(
        '  '.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in texts
    )
