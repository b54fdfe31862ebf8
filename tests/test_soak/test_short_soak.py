"""Guard against faults that strike together, and against a soak that checks nothing."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

import pytest

from tools.fleet.site import SHARD_COUNT, Answer
from tools.soak.run import _check_answer, soak

if TYPE_CHECKING:
    from pathlib import Path

    from tools.soak.site import SoakSite

SHORT_S = 6.0
# Seeds that once broke a promise stay here, each with a line on the cause.
SEEDS = (1,)


@pytest.mark.parametrize('seed', SEEDS)
def test_no_promise_is_broken(tmp_path: Path, seed: int) -> None:
    """Guard against untrue answers, second runs and lost configurations under faults."""
    report = asyncio.run(soak(tmp_path, seed, SHORT_S))
    assert report.violations == ()
    assert report.fault_counts
    assert report.status_counts[200] > 50


class _Searcher:
    def __init__(self, ran: int) -> None:
        self.ran = ran

    def run_count(self, _request_id: str) -> int:
        return self.ran


class _Known:
    def __init__(self, ran: int) -> None:
        self.searchers = [_Searcher(ran)]
        self.violations: list[str] = []


def answer(status: int, receipts: str = '', missing: int = 0) -> Answer:
    headers = {'X-Part-Stamps': receipts, 'X-Missing-Parts': str(missing)}
    return Answer('q1', status, headers, b'', 0.0)


@pytest.mark.parametrize(
    ('kind', 'ran', 'got'),
    [
        ('one', 1, answer(503)),
        ('once', 2, answer(200)),
        ('all', 0, answer(200, 'q1.s0.1, q1.s1.1, q1.s2.1')),
        ('all', 0, answer(200, 'q1.s0.1, q1.s0.2', SHARD_COUNT - 2)),
        ('all', 0, answer(200, 'q2.s0.1', SHARD_COUNT - 1)),
    ],
)
def test_broken_promises_are_found(kind: str, ran: int, got: Answer) -> None:
    """Guard against a soak that passes whatever it sees."""
    site = _Known(ran)
    _check_answer(cast('SoakSite', site), kind, got)
    assert site.violations


def test_true_answers_are_no_findings() -> None:
    """Guard against a soak that fails for nothing."""
    site = _Known(0)
    _check_answer(cast('SoakSite', site), 'one', answer(503))
    _check_answer(cast('SoakSite', site), 'all', answer(200, 'q1.s0.1, q1.s3.9', SHARD_COUNT - 2))
    assert site.violations == []
