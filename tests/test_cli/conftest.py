"""Run the command line in this process against fake instances."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import pytest
from typer.testing import CliRunner

from pistachioloft_cli import operators, transport
from pistachioloft_cli.program import app

from .fake_instance import FakeInstance


@dataclass(frozen=True, slots=True)
class CommandResult:
    """Hold the exit code and the output of a command."""

    exit_code: int
    out: str
    err: str

    @property
    def document(self) -> Any:
        (line,) = self.out.splitlines()
        return json.loads(line)


Run = Callable[..., CommandResult]


@pytest.fixture
def run(monkeypatch: pytest.MonkeyPatch) -> Run:
    """Return a function that runs a command with short pauses between retries and polls."""
    monkeypatch.setattr(transport, 'ROUND_PAUSE_MS', 1)
    monkeypatch.setattr(operators, 'WAIT_POLL_INTERVAL_MS', 1)
    monkeypatch.delenv('PISTACHIOLOFT_AT', raising=False)

    def run_command(*arguments: str) -> CommandResult:
        result = CliRunner().invoke(app, arguments)
        if result.exception is not None and not isinstance(result.exception, SystemExit):
            raise result.exception
        return CommandResult(result.exit_code, result.stdout, result.stderr)

    return run_command


@pytest.fixture
def make_instance() -> Iterator[Callable[[], FakeInstance]]:
    """Yield a function that starts a fake instance; stop all of them afterwards."""
    instances: list[FakeInstance] = []

    def start_instance() -> FakeInstance:
        instances.append(FakeInstance())
        return instances[-1]

    yield start_instance
    for fake in instances:
        fake.stop()
