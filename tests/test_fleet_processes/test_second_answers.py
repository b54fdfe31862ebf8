"""Guard against second answers of endpoints that are taken for the answers to other requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tools.fleet.second_answers import Play, run_play

if TYPE_CHECKING:
    from pathlib import Path


def check(folder: Path, play: Play) -> None:
    report = asyncio.run(run_play(folder, play))
    assert report.statuses[200] > 100, report.statuses
    assert report.wrong == ()


def test_late_refusals_of_earlier_attempts_are_not_used(tmp_path: Path) -> None:
    """Guard against a late refusal that lets a request run twice, or be refused after it ran."""
    check(
        tmp_path,
        Play(
            'late',
            '/once/bill',
            'POST',
            surplus_share=0.5,
            refused_share=0.5,
            pause_s=0.05,
        ),
    )
