"""Searchers spoil some answers around a final fault, and no request is served after it."""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import sys
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

from consumer import HOST, Answer, Consumer
from deployment import CannotRunError, Deployment
from searcher import Arrival, Connection, Searcher, Spoil

if TYPE_CHECKING:
    from http_messages import Message

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = ('bne-a', 'tsv-a', 'twb-a')
# Like `materials-ledger` of the site: 3 searchers with 6 slots and 100 connections each.
SERVICE = 'materials-ledger'
SLOT_COUNT, QUEUE_COUNT, CONNECTION_COUNT = 6, 6, 100
CONSUMER_COUNT = 16
CONSUMER_GAP_S, FAILED_GAP_S = 0.05, 0.005
LIMIT_MS = 4000
# garble: share 0.5 of the searchers (1 of 3), x 0.05 of their answers, 5 s each time. In a spoiled
# answer one digit of X-Server-Load comes again and again.
SPOILING_COUNT, SPOILED_SHARE, WINDOW_S, WINDOW_COUNT = 1, 0.05, 5.0, 9
REPEATED_DIGIT_COUNT = 400
CALM_S = 5.0
# The final fault comes while answers are spoiled for the last time.
PAUSE_S = 1.0
FAULT_DELAY_S = (WINDOW_COUNT - 1) * (WINDOW_S + PAUSE_S) + 2.0
DOWN_S = 1.1
RECOVERY_S = 12.0
JUDGED_S = 10.0


def config(version: int) -> dict[str, object]:
    """Return a version of the operator's config: one route to one service."""
    route = {
        'name': 'r-lot',
        'host': HOST,
        'pathPrefix': '/lot/',
        'routeKind': 'idempotent',
        'timeoutMs': LIMIT_MS,
        'targetLatencyMs': 544,
        'priority': 1,
        'service': SERVICE,
        'attempts': 2,
    }
    service = {
        'name': SERVICE,
        'healthPath': '/health',
        'maxConns': CONNECTION_COUNT,
        'protocol': 'h1',
        'tls': False,
    }
    limits = {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 262144,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    }
    return {'version': version, 'routes': [route], 'services': [service], 'limits': limits}


async def consume(consumer: Consumer, end_s: float) -> None:
    """Send one request after the other; retry a failure at once, or when it says so."""
    while time.monotonic() < end_s:
        answer = await consumer.send('GET', '/lot/gold', b'', LIMIT_MS)
        retry_after = dict(answer.headers).get('retry-after')
        if retry_after is not None:
            await asyncio.sleep(float(retry_after))
        else:
            await asyncio.sleep(CONSUMER_GAP_S if answer.status == 200 else FAILED_GAP_S)


def spoil_some(source: random.Random) -> Spoil:
    """Return a function that repeats a digit in the load that a share of the answers tells."""

    def spoil(
        searcher: Searcher, _connection: Connection, request: Message, answer: bytes
    ) -> bytes:
        if source.random() >= SPOILED_SHARE:
            return answer
        searcher.record(request, False, 0, 'spoils its answer')
        head, name, rest = answer.partition(b'X-Server-Load: ')
        running, _, rest = rest.partition(b',')
        return head + name + running + b',' + b'1' * REPEATED_DIGIT_COUNT + rest

    return spoil


async def spoil_for_a_while(searchers: list[Searcher], source: random.Random) -> None:
    """Let some searchers spoil answers, several times for a few seconds."""
    for _ in range(WINDOW_COUNT):
        for searcher in searchers[:SPOILING_COUNT]:
            searcher.spoil = spoil_some(source)
        await asyncio.sleep(WINDOW_S)
        for searcher in searchers:
            searcher.spoil = None
        await asyncio.sleep(PAUSE_S)


async def end_with_a_fault(deployment: Deployment) -> float:
    """Let a core machine lose its disk right after a config; return when it is back."""
    await deployment.order(config(2))
    machine = deployment.cores[0]
    if TROUBLE:
        deployment.kill(machine)
        shutil.rmtree(deployment.folder / machine.name / 'data')
        await asyncio.sleep(DOWN_S)
        deployment.start(machine)
    return time.monotonic()


async def disturb(
    deployment: Deployment, searchers: list[Searcher], source: random.Random
) -> tuple[float, float]:
    """Play the disruptions; return the times of the final fault and of the return after it."""
    await asyncio.sleep(CALM_S)
    spoiling = asyncio.create_task(spoil_for_a_while(searchers if TROUBLE else [], source))
    await asyncio.sleep(FAULT_DELAY_S)
    fault_s = time.monotonic()
    back_s = await end_with_a_fault(deployment)
    await spoiling
    return fault_s, back_s


async def play() -> tuple[list[Answer], list[Arrival], float, float]:
    """Run the deployment; return what was seen, and when the final fault came and was over."""
    source = random.Random()
    deployment = Deployment(ZONES)
    searchers = [
        Searcher(
            deployment,
            f'i-{zone}',
            SERVICE,
            zone,
            f'{deployment.network}.{101 + number}',
            SLOT_COUNT,
            QUEUE_COUNT,
            lambda: source.uniform(0.01, 0.03),
        )
        for number, zone in enumerate(ZONES)
    ]
    try:
        deployment.start_all()
        for searcher in searchers:
            await searcher.start()
        await deployment.order(config(1))
        await deployment.wait_until_ready()
        await asyncio.sleep(3.0)
        consumers = [
            Consumer(deployment, ZONES[number % len(ZONES)], source)
            for number in range(CONSUMER_COUNT)
        ]
        end_s = time.monotonic() + CALM_S + FAULT_DELAY_S + DOWN_S + RECOVERY_S + JUDGED_S
        times, *_ = await asyncio.gather(
            disturb(deployment, searchers, source),
            *(consume(consumer, end_s) for consumer in consumers),
        )
        for consumer in consumers:
            consumer.close()
    finally:
        for searcher in searchers:
            searcher.stop()
        deployment.stop()
    answers = [answer for consumer in consumers for answer in consumer.answers]
    arrivals = [arrival for searcher in searchers for arrival in searcher.arrivals]
    return answers, arrivals, *times


def judge(answers: list[Answer], arrivals: list[Arrival], fault_s: float, back_s: float) -> int:
    """Write the record and return 1 if too few requests were served after the final fault."""
    start_s = min((answer.sent_s for answer in answers), default=0.0)
    before = [answer for answer in answers if answer.ended_s < fault_s]
    after = [answer for answer in answers if answer.sent_s > back_s + RECOVERY_S]
    served_before = sum(answer.status == 200 for answer in before) / max(1, len(before))
    served_after = sum(answer.status == 200 for answer in after) / max(1, len(after))
    statuses = dict(Counter(answer.status for answer in after))
    spoiled = [arrival for arrival in arrivals if arrival.note]
    lines = [
        f'trouble: {int(TROUBLE)}',
        f'before the final fault: {len(before)} requests, {served_before:.2f} served',
        f'later than {RECOVERY_S} s after the machines are back: {len(after)} requests, '
        f'{served_after:.2f} served, by status {statuses}',
        f'spoiled answers: {len(spoiled)}; final fault at {fault_s - start_s:.1f} s, '
        f'over at {back_s - start_s:.1f} s',
        '',
        'spoiled answers: seconds, searcher',
        *(f'{arrival.at_s - start_s:.3f} {arrival.endpoint}' for arrival in spoiled),
        '',
        'all requests: id, seconds of sending and of the answer, status',
    ]
    for answer in sorted(answers, key=lambda answer: answer.sent_s):
        sent_s, ended_s = answer.sent_s - start_s, answer.ended_s - start_s
        lines.append(f'{answer.request_id} {sent_s:.3f} {ended_s:.3f} {answer.status}')
    (HERE / 'record.txt').write_text('\n'.join(lines) + '\n')
    print('\n'.join(lines[:4]))
    if not after or served_before < 0.25:
        return 2
    return 1 if served_after < 0.25 else 0


def main() -> int:
    """Run the case."""
    try:
        return judge(*asyncio.run(play()))
    except CannotRunError as error:
        print(f'cannot run: {error}')
        return 2


if __name__ == '__main__':
    sys.exit(main())
