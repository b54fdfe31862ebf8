"""Send queries at a fixed mean rate and record the answers."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import msgspec

from pistachioloft_core.codec import encode_json
from pistachioloft_core.messages.public import QueryReply, QueryRequest

CONNECTION_LIMIT = 400
FAILED_CODE = -1


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Describe the load that one generator sends."""

    addresses: tuple[str, ...]
    collection: str
    callers: tuple[str, ...]
    rate_hz: float
    seconds: float
    deadline_ms: int
    seed: int
    output: str
    start_at_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Sample:
    """Record one query; its latency is measured from the intended sending time."""

    caller: str
    sent_at_s: float
    latency_ms: float
    result_code: int
    answered_count: int
    shard_count: int
    row_count: int
    violation: str


async def _send_query(
    session: aiohttp.ClientSession, plan: LoadPlan, number: int, caller: str, due_at_s: float
) -> Sample:
    request_id = f'{plan.seed}-{number}'
    request = QueryRequest(caller, request_id, plan.collection, {'q': request_id}, plan.deadline_ms)
    address = plan.addresses[number % len(plan.addresses)]
    try:
        async with session.post(f'http://{address}/v1/query', data=encode_json(request)) as reply:
            answer = msgspec.json.decode(await reply.read(), type=QueryReply)
    except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError):
        return Sample(caller, due_at_s, (time.time() - due_at_s) * 1000, FAILED_CODE, 0, 0, 0, '')
    latency_ms = (time.time() - due_at_s) * 1000
    coverage = answer.coverage
    return Sample(
        caller,
        due_at_s,
        latency_ms,
        int(answer.result_code),
        coverage.answered_count if coverage else 0,
        coverage.shard_count if coverage else 0,
        len(answer.rows),
        find_violation(answer, request),
    )


def find_violation(answer: QueryReply, request: QueryRequest) -> str:
    """Return the guarantee that an answer violates, or an empty string."""
    if (answer.caller, answer.request_id) not in ((request.caller, request.request_id), ('', '')):
        return 'reply of another request'
    versions = {row['version'] for row in answer.rows}
    if len(versions) > 1 or (answer.snapshot and versions - {answer.snapshot.version}):
        return 'mixed snapshot'
    if any(row['query'] != request.query or row['caller'] != request.caller for row in answer.rows):
        return 'row of another request'
    shards = [row['shard'] for row in answer.rows]
    if len(shards) != len(set(shards)):
        return 'doubled row'
    if answer.coverage is not None and answer.coverage.answered_count != len(shards):
        return 'untrue coverage'
    return ''


async def run(plan: LoadPlan) -> list[Sample]:
    """Send the load of a plan and return the sample of each query."""
    random_source = random.Random(plan.seed)
    timeout = aiohttp.ClientTimeout(total=plan.deadline_ms / 1000 + 2)
    connector = aiohttp.TCPConnector(limit=CONNECTION_LIMIT)
    tasks = []
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        due_at_s = max(time.time(), plan.start_at_s)
        end_at_s = due_at_s + plan.seconds
        number = 0
        while due_at_s < end_at_s:
            await asyncio.sleep(max(0.0, due_at_s - time.time()))
            caller = random_source.choice(plan.callers)
            tasks.append(asyncio.create_task(_send_query(session, plan, number, caller, due_at_s)))
            number += 1
            due_at_s += random_source.expovariate(plan.rate_hz)
        return list(await asyncio.gather(*tasks))


def main() -> int:
    """Read the plan from a file, run it and write the samples."""
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=LoadPlan)
    samples = asyncio.run(run(plan))
    Path(plan.output).write_bytes(msgspec.json.encode(samples))
    return 0


if __name__ == '__main__':
    sys.exit(main())
