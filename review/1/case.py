"""A second copy of a refusal comes late, while the refused request runs on the same searcher."""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from collections import defaultdict
from pathlib import Path
from typing import TYPE_CHECKING

from consumer import HOST, Answer, Consumer
from deployment import CannotRunError, Deployment
from searcher import Arrival, Connection, Searcher

if TYPE_CHECKING:
    from http_messages import Message

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = ('bne-a', 'tsv-a', 'twb-a')
SERVICES = tuple(f'invoice-desk-{number}' for number in range(1, 13))
LIMIT_MS = 4000
# Like `invoice-desk` of the site: 2 searchers with 2 slots and 26 connections each.
REPLICA_COUNT, SLOT_COUNT, QUEUE_COUNT, CONNECTION_COUNT = 2, 2, 4, 26
CONSUMER_COUNT = 48
# garble, "extra late across": share 0.5 of the searchers, x 0.04 of their answers, 5 s each time.
SPOILING_SHARE, SPOILED_SHARE = 0.5, 0.04
# srv_grey, "shed all": share 0.8 of the searchers turn x 0.6 of the requests away.
SHEDDING_SHARE, SHED_SHARE = 0.8, 0.6
WINDOW_S, PAUSE_S, WINDOW_COUNT = 5.0, 2.0, 10
# Time between two requests of a consumer: fewer come while searchers are disturbed, so that the
# budget of retries lasts.
CALM_GAP_S, DISTURBED_GAP_S = 0.05, 0.3


def config() -> dict[str, object]:
    """Return the operator's config: routes whose requests run at most once."""
    routes = [
        {
            'name': f'r-{service}',
            'host': HOST,
            'pathPrefix': f'/{service}/',
            'routeKind': 'non_idempotent',
            'timeoutMs': LIMIT_MS,
            'targetLatencyMs': 350,
            'priority': 1,
            'service': service,
            'attempts': 2,
        }
        for service in SERVICES
    ]
    services = [
        {
            'name': service,
            'healthPath': '/health',
            'maxConns': CONNECTION_COUNT,
            'protocol': 'h1',
            'tls': False,
        }
        for service in SERVICES
    ]
    limits = {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 262144,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    }
    return {'version': 1, 'routes': routes, 'services': services, 'limits': limits}


async def consume(consumer: Consumer, start_s: float, end_s: float) -> None:
    """Send one request after the other."""
    while (now_s := time.monotonic()) < end_s:
        path = f'/{consumer.source.choice(SERVICES)}/commission'
        await consumer.send('POST', path, b'amount=40', LIMIT_MS)
        is_calm = (now_s - start_s) % (WINDOW_S + PAUSE_S) >= WINDOW_S
        await asyncio.sleep(CALM_GAP_S if is_calm else DISTURBED_GAP_S)


def spoil_some(source: random.Random) -> object:
    """Return a function that sends a share of the answers once more, at the next answer."""

    def spoil(searcher: Searcher, connection: Connection, request: Message, answer: bytes) -> bytes:
        if source.random() < SPOILED_SHARE:
            connection.due_later = answer
            note = f'second copy of the {answer[9:12].decode()} follows late'
            searcher.record(request, False, 0, note)
        return answer

    return spoil


async def disturb(searchers: list[Searcher], source: random.Random) -> None:
    """Let searchers shed requests and send second answers, several times for a few seconds."""
    for _ in range(WINDOW_COUNT):
        for number, searcher in enumerate(searchers if TROUBLE else []):
            if number < int(SHEDDING_SHARE * len(searchers)):
                searcher.sheds = lambda: source.random() < SHED_SHARE
            spoils = number % REPLICA_COUNT < SPOILING_SHARE * REPLICA_COUNT
            searcher.spoil = spoil_some(source) if spoils else None
        await asyncio.sleep(WINDOW_S)
        for searcher in searchers:
            searcher.spoil = searcher.sheds = None
        await asyncio.sleep(PAUSE_S)


async def play() -> tuple[list[Answer], list[Arrival]]:
    """Run the deployment and return what consumers and searchers saw."""
    source = random.Random()
    deployment = Deployment(ZONES)
    searchers = [
        Searcher(
            deployment,
            f'i-{number}',
            SERVICES[number // REPLICA_COUNT],
            ZONES[number % len(ZONES)],
            f'{deployment.network}.{101 + number}',
            SLOT_COUNT,
            QUEUE_COUNT,
            lambda: source.uniform(0.005, 0.017),
        )
        for number in range(REPLICA_COUNT * len(SERVICES))
    ]
    try:
        deployment.start_all()
        for searcher in searchers:
            await searcher.start()
        await deployment.order(config())
        await deployment.wait_until_ready()
        await asyncio.sleep(3.0)
        start_s = time.monotonic()
        end_s = start_s + WINDOW_COUNT * (WINDOW_S + PAUSE_S)
        consumers = [
            Consumer(deployment, ZONES[number % len(ZONES)], source)
            for number in range(CONSUMER_COUNT)
        ]
        await asyncio.gather(
            disturb(searchers, source),
            *(consume(consumer, start_s, end_s) for consumer in consumers),
        )
        await asyncio.sleep(1.0)
        for consumer in consumers:
            consumer.close()
    finally:
        for searcher in searchers:
            searcher.stop()
        deployment.stop()
    answers = [answer for consumer in consumers for answer in consumer.answers]
    return answers, [arrival for searcher in searchers for arrival in searcher.arrivals]


def judge(answers: list[Answer], arrivals: list[Arrival]) -> int:
    """Write the record and return 1 if a request ran twice or was refused although it ran."""
    by_id: defaultdict[str, list[Arrival]] = defaultdict(list)
    for arrival in sorted(arrivals, key=lambda arrival: arrival.at_s):
        by_id[arrival.request_id].append(arrival)
    twice = [name for name, seen in by_id.items() if sum(arrival.ran for arrival in seen) > 1]
    refused = [
        answer.request_id
        for answer in answers
        if answer.status in (408, 421, 429, 503)
        and any(arrival.ran for arrival in by_id[answer.request_id])
    ]
    by_status: defaultdict[int, int] = defaultdict(int)
    for answer in answers:
        by_status[answer.status] += 1
    answer_by_id = {answer.request_id: answer for answer in answers}
    lines = [
        f'trouble: {int(TROUBLE)}',
        f'requests sent: {len(answers)}, answers by status: {dict(by_status)}',
        f'requests that ran more than once (TWICE): {len(twice)}',
        f'requests refused with a promise that ran (REFUSED): {len(refused)}',
        '',
    ]
    shown = dict.fromkeys(twice + refused)
    start_s = min((answer.sent_s for answer in answers), default=0.0)
    for name in shown:
        answer = answer_by_id.get(name)
        status = f'{answer.status} after {answer.ended_s - answer.sent_s:.3f} s' if answer else '-'
        lines.append(f'request {name}: answered {status}')
        for seen in by_id[name]:
            what = seen.note or ('ran' if seen.ran else f'refused with {seen.status}, not run')
            lines.append(f'  {seen.at_s - start_s:9.4f} s {seen.endpoint}: {what}')
    lines += ['', 'all requests: id, seconds of sending and of the answer, status, runs']
    for answer in sorted(answers, key=lambda answer: answer.sent_s):
        runs = sum(arrival.ran for arrival in by_id[answer.request_id])
        lines.append(
            f'{answer.request_id} {answer.sent_s - start_s:.3f} {answer.ended_s - start_s:.3f} '
            f'{answer.status} {runs}'
        )
    (HERE / 'record.txt').write_text('\n'.join(lines) + '\n')
    print('\n'.join(lines[:4]))
    if not answers or by_status[200] < len(answers) / 10:
        return 2
    return 1 if shown else 0


def main() -> int:
    """Run the case."""
    try:
        return judge(*asyncio.run(play()))
    except CannotRunError as error:
        print(f'cannot run: {error}')
        return 2


if __name__ == '__main__':
    sys.exit(main())
