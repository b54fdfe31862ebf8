"""Exit codes of the command line."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from pistachioloft_core.errors import RESULTS, ResultCode, RunStatus


class ExitCode(IntEnum):
    """Enumerate the exit codes of all commands."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    PARTIAL = 3
    UNKNOWN = 4
    NOT_REACHABLE = 5
    CONFLICT = 6
    NOT_IN_FORCE = 7


EXIT_HELP = (
    'Exit codes: 0 done; 1 refused, not run; 2 usage; 3 partial; 4 outcome unknown;'
    ' 5 not reachable; 6 conflict; 7 not in force everywhere.'
)


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """Describe an attempt at one address without an accepted answer."""

    address: str
    sent: bool
    detail: str


class CommandFailure(Exception):  # noqa: N818
    """Signal that a command ends with an exit code and a message."""

    def __init__(
        self,
        exit_code: ExitCode,
        detail: str,
        tries: tuple[FailedAttempt, ...] = (),
        mistakes: tuple[str, ...] = (),
    ) -> None:
        super().__init__(detail)
        self.exit_code = exit_code
        self.detail = detail
        self.tries = tries
        self.mistakes = mistakes


def exit_code_of(code: ResultCode) -> ExitCode:
    """Return the exit code for a result code."""
    if code is ResultCode.CONFLICT:
        return ExitCode.CONFLICT
    if code is ResultCode.PARTIAL:
        return ExitCode.PARTIAL
    return {
        RunStatus.RAN: ExitCode.DONE,
        RunStatus.NOT_RUN: ExitCode.REFUSED,
        RunStatus.UNKNOWN: ExitCode.UNKNOWN,
    }[RESULTS[code].run_status]
