"""Play callers against searchers that answer a second time, and compare what both saw."""

from __future__ import annotations

import argparse
import asyncio
import random
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING

from .byte_searcher import NO_SURPLUS, ByteSearcher, SentAnswer, SurplusBytes
from .searcher import ReplyPlan
from .site import SHARD_COUNT, Answer, Site

if TYPE_CHECKING:
    from .byte_searcher import Surplus
    from .searcher import Behaviour

PROMISES = frozenset((408, 421, 429, 503))
# How the second answers come: at once or late, whole or broken off at any byte.
HOW = ('at once', 'late', 'broken off', 'broken off late')


@dataclass(frozen=True, slots=True)
class Play:
    """Define one play: its requests, what the searchers do, and how long it takes."""

    how: str
    target: str
    method: str = 'GET'
    seed: int = 1
    duration_s: float = 4.0
    caller_count: int = 16
    surplus_share: float = 0.3
    failed_share: float = 0.0
    refused_share: float = 0.0
    # Share of the callers that leave early and send the same id again at once.
    leaving_share: float = 0.0
    pause_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Report:
    """Count the answers by status, and list those that break a promise."""

    statuses: dict[int, int]
    wrong: tuple[str, ...]


def surplus_of(play: Play, source: random.Random) -> Surplus:
    """Return a function that draws what follows an answer."""

    def surplus(answer: bytes) -> SurplusBytes:
        if source.random() >= play.surplus_share:
            return NO_SURPLUS
        second = answer
        if play.how.startswith('broken off'):
            head_bytes = answer.index(b'\r\n\r\n') + 4
            second = answer[: source.randrange(1, head_bytes)]
        if play.how.endswith('late'):
            return SurplusBytes(late=second)
        return SurplusBytes(at_once=second)

    return surplus


def behaviour_of(play: Play, source: random.Random) -> Behaviour:
    """Return a function that draws which requests fail or are refused."""

    def behave(_request_id: str) -> ReplyPlan:
        drawn = source.random()
        if drawn < play.refused_share:
            return ReplyPlan(not_run=True)
        failed = drawn < play.refused_share + play.failed_share
        delay_s = source.uniform(0.002, 0.012)
        return ReplyPlan(delay_s, 500 if failed else 200, b'failed' if failed else None)

    return behave


async def run_play(folder: Path, play: Play) -> Report:
    """Run a play on real processes."""
    source = random.Random(play.seed)
    async with Site(folder, searcher_type=ByteSearcher) as site:
        await site.serving()
        searchers = [each for each in site.searchers if isinstance(each, ByteSearcher)]
        for searcher in searchers:
            searcher.behaviour = behaviour_of(play, source)
            searcher.surplus = surplus_of(play, source)
        end_s = time.monotonic() + play.duration_s
        callers = (_call_repeatedly(site, play, source, end_s) for _ in range(play.caller_count))
        answers = [each for part in await asyncio.gather(*callers) for each in part]
        await asyncio.sleep(0.2)
        sent = [answer for searcher in searchers for answer in searcher.answers]
    statuses = Counter(answer.status for _, answer in answers)
    return Report(dict(statuses), tuple(find_wrong(answers, sent)))


async def _call_repeatedly(
    site: Site, play: Play, source: random.Random, end_s: float
) -> list[tuple[str, Answer]]:
    """Send one request after the other; return each with the target that tells it apart."""
    answers: list[tuple[str, Answer]] = []
    body = b'amount=40' if play.method == 'POST' else None
    attempt_count = 0
    while time.monotonic() < end_s:
        request_id = f'{source.getrandbits(64):016x}'
        leaves = source.random() < play.leaving_share
        for is_last in (False, True) if leaves else (True,):
            attempt_count += 1
            target = f'{play.target}?{request_id}.{attempt_count}'
            call = site.call(target, method=play.method, body=body, request_id=request_id)
            try:
                timeout_s = None if is_last else source.uniform(0.002, 0.015)
                answers.append((target, await asyncio.wait_for(call, timeout_s)))
            except TimeoutError:
                continue
        await asyncio.sleep(play.pause_s)
    return answers


def find_wrong(answers: list[tuple[str, Answer]], sent: list[SentAnswer]) -> list[str]:
    """List answers that name a run of another request or status, and requests run twice."""
    by_stamp = {answer.stamp: answer for answer in sent if answer.stamp}
    run_counts = Counter(answer.target for answer in sent if answer.stamp)
    wrong = []
    for target, answer in answers:
        is_gathered = target.startswith('/all/')
        stamps = answer.shard_stamps if is_gathered else ()
        stamp = answer.headers.get('X-Response-Stamp')
        if stamp is not None:
            stamps = (stamp,)
        for each in stamps:
            run = by_stamp.get(each)
            expected = 200 if is_gathered else answer.status
            if run is None or run.target != target or run.status != expected:
                wrong.append(f'MIXED: {target} answered {answer.status}, stamp {each} of {run}')
        if answer.status == 200 and len(stamps) + answer.missing_count != (
            SHARD_COUNT if is_gathered else 1
        ):
            wrong.append(f'MIXED: {target} answered 200 with stamps {stamps}')
        is_once = target.startswith('/once/')
        if is_once and run_counts[target] > 1:
            wrong.append(f'TWICE: {target} ran {run_counts[target]} times')
        if is_once and answer.status in PROMISES and run_counts[target]:
            wrong.append(f'REFUSED: {target} answered {answer.status} and ran')
    return wrong


PLAYS = {
    'once': Play('late', '/once/bill', 'POST', refused_share=0.5, pause_s=0.05),
    'one': Play('late', '/one/lot', failed_share=0.25),
    'all': Play('late', '/all/gold', failed_share=0.25, caller_count=8),
    'left': Play('late', '/all/gold', leaving_share=0.7, caller_count=8),
}


def main() -> None:
    """Play one kind of request with each kind of second answer and print what was wrong."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument('requests', choices=PLAYS)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--how', choices=HOW, action='append')
    options = parser.parse_args()
    for how in options.how or HOW:
        play = replace(
            PLAYS[options.requests], how=how, seed=options.seed, duration_s=options.seconds
        )
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run_play(Path(folder), play))
        kinds = Counter(each.split(':')[0] for each in report.wrong)
        print(f'{options.requests}, {how}: {report.statuses}, wrong: {dict(kinds)}', flush=True)
        for each in report.wrong[:3]:
            print(f'  {each}')


if __name__ == '__main__':
    main()
