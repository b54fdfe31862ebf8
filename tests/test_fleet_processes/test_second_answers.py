"""Guard against second answers of endpoints that are taken for the answers to other requests."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from tools.fleet.second_answers import PLAYS, Play, run_play

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


@pytest.mark.parametrize('how', ['broken off', 'broken off late'])
@pytest.mark.parametrize('requests', ['one', 'all'])
def test_broken_off_answers_spoil_no_other(tmp_path: Path, requests: str, how: str) -> None:
    """Guard against a success, or a part of one, where the searcher failed (MIXED)."""
    check(tmp_path, replace(PLAYS[requests], how=how))


def test_answers_to_an_earlier_attempt_of_an_id_are_not_used(tmp_path: Path) -> None:
    """Guard against a part of the request that a caller left before it sent the id again."""
    check(tmp_path, replace(PLAYS['left'], how='late'))
