"""Guard against calls that take more memory than the machine has while they are handled."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.accepted import CommandOutcome
from pistachioloft_core.messages.routes import RouteSet
from pistachioloft_daemon.control_calls import CheckReadiness, Done, SubmitRoutes
from pistachioloft_daemon.control_instance import ControlInstance
from pistachioloft_daemon.fleet_settings import load_fleet_settings
from pistachioloft_daemon.http1.messages import Request
from pistachioloft_daemon.wire import ControlWire
from tests.test_fleet import test_control_instance as control

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

DOCUMENT = bytes(range(256)) * 40


def play(
    folder: Path,
    estimate_bytes: int,
    decode: Callable[[Request], Any],
    scenario: Callable[..., None],
) -> None:
    """Build a control instance whose calls take so much, and play a scenario with it."""

    async def main() -> None:
        file = folder / 'settings.toml'
        file.write_text(control.SETTINGS.format(instance='10.1.0.1', folder=folder / 'data'))
        wire = ControlWire(decode, lambda outcome: outcome, lambda _request: estimate_bytes)  # type: ignore[arg-type, return-value]
        instance = ControlInstance(load_fleet_settings(file), wire, control.unused)
        answers: list[Any] = []
        scenario(instance, answers)

    asyncio.run(main())


def test_call_that_can_never_fit_is_refused_for_good(tmp_path: Path) -> None:
    """Guard against an operator who sends again what no machine of this size can take."""

    def scenario(instance: ControlInstance, answers: list[Any]) -> None:
        instance.interface.handle(Request(b'PUT', b'/', ()), answers.append)
        assert answers[0].code is ResultCode.TOO_LARGE
        assert instance.interface.budget.total_bytes == 0

    play(tmp_path, 10**12, control.unused, scenario)


def test_call_that_does_not_fit_now_is_refused_with_a_time_to_come_back(tmp_path: Path) -> None:
    """Guard against documents that together take more than the budget."""

    def scenario(instance: ControlInstance, answers: list[Any]) -> None:
        budget = instance.interface.budget
        assert budget.reserve(budget.limit_bytes - 500)
        instance.interface.handle(Request(b'PUT', b'/', ()), answers.append)
        assert answers[0].code is ResultCode.TOO_MANY_CONNECTIONS
        assert answers[0].retry_after_ms > 0
        budget.free(budget.limit_bytes - 500)
        instance.interface.handle(Request(b'PUT', b'/', ()), answers.append)
        assert isinstance(answers[1], Done)
        assert answers[1].code is ResultCode.NO_QUORUM
        assert budget.total_bytes == 0

    play(tmp_path, 1_000, lambda _request: CheckReadiness(), scenario)


def test_failed_call_frees_its_memory(tmp_path: Path) -> None:
    """Guard against a reservation that outlives a call whose handling fails."""

    def scenario(instance: ControlInstance, answers: list[Any]) -> None:
        with pytest.raises(AssertionError):
            instance.interface.handle(Request(b'PUT', b'/', ()), answers.append)
        assert instance.interface.budget.total_bytes == 0

    play(tmp_path, 1_000, control.unused, scenario)


@pytest.mark.parametrize('outcome', [CommandOutcome(ResultCode.ACCEPTED), None])
def test_submitted_document_counts_until_its_outcome(
    tmp_path: Path, outcome: CommandOutcome | None
) -> None:
    """Guard against documents that wait for a quorum and fill the memory."""

    def scenario(instance: ControlInstance, answers: list[Any]) -> None:
        callbacks: list[Any] = []
        instance.proposals.propose = (  # type: ignore[method-assign]
            lambda _id, _command, _timeout_ms, callback: callbacks.append(callback)
        )
        instance.interface.handle(Request(b'PUT', b'/', ()), answers.append)
        assert 0 < instance.interface.budget.total_bytes <= len(DOCUMENT)
        assert not answers
        callbacks[0](outcome)
        assert len(answers) == 1
        assert instance.interface.budget.total_bytes == 0

    play(tmp_path, 1_000, lambda _request: SubmitRoutes(RouteSet(1, (), ()), DOCUMENT), scenario)
