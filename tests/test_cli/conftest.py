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
    """Hold how a command ended."""

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
    """Give a function that runs one command."""
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
    """Give a function that starts a fake instance."""
    instances: list[FakeInstance] = []

    def start_instance() -> FakeInstance:
        instances.append(FakeInstance())
        return instances[-1]

    yield start_instance
    for fake in instances:
        fake.stop()
