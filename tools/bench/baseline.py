"""A plain fan-out: round robin, no hedges, no retry budget, retries after a timeout."""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import msgspec
from aiohttp import web

from pistachioloft_core.codec import decode_json, decode_json_reply, encode_json
from pistachioloft_core.errors import ResultCode, RunStatus
from pistachioloft_core.messages.endpoint import (
    KIND_QUERY,
    STATUS_OK,
    ShardRows,
    SubReply,
    SubRequest,
)
from pistachioloft_core.messages.public import Coverage, QueryReply, QueryRequest, Snapshot

# A third of the deadline leaves room for two retries.
TIMEOUTS_PER_DEADLINE = 3


@dataclass(frozen=True, slots=True)
class Replica:
    """Identify one searcher and its address."""

    endpoint: str
    address: str


@dataclass(frozen=True, slots=True)
class BaselinePlan:
    """List the replicas of every shard, and the address to listen on."""

    listen: str
    collection: str
    shards: dict[str, tuple[Replica, ...]]


class Baseline:
    """Query the replicas of each shard in rotation."""

    def __init__(self, plan: BaselinePlan) -> None:
        self.plan = plan
        self.sub_request_numbers = itertools.count(1)
        self.replica_rotations: dict[str, Iterator[Replica]] = {
            shard: itertools.cycle(replicas) for shard, replicas in plan.shards.items()
        }
        self.session: aiohttp.ClientSession | None = None
        self.sub_request_count = 0

    async def query(self, request: web.Request) -> web.Response:
        """Query one replica of each shard; retry each sub-request after a timeout."""
        message = decode_json(await request.read(), QueryRequest)
        deadline_s = time.monotonic() + message.deadline_ms / 1000
        shards = tuple(self.plan.shards)
        replies = await asyncio.gather(
            *(self._query_shard(message, shard, deadline_s) for shard in shards)
        )
        rows = tuple(row for reply in replies if reply for row in reply.rows)
        missing = tuple(
            shard for shard, reply in zip(shards, replies, strict=True) if reply is None
        )
        code = ResultCode.PARTIAL if missing else ResultCode.COMPLETE
        answer = QueryReply(
            message.caller,
            message.request_id,
            code,
            RunStatus.RAN,
            '',
            Snapshot(self.plan.collection, 1),
            Coverage(len(shards), len(shards) - len(missing), missing),
            rows,
        )
        return web.Response(body=encode_json(answer), content_type='application/json')

    async def counters(self, _request: web.Request) -> web.Response:
        """Return the number of sub-requests sent."""
        return web.json_response({'sub_request_count': self.sub_request_count})

    async def _query_shard(
        self, message: QueryRequest, shard: str, deadline_s: float
    ) -> ShardRows | None:
        timeout_s = message.deadline_ms / 1000 / TIMEOUTS_PER_DEADLINE
        while (time_left_s := deadline_s - time.monotonic()) > 0:
            replica = next(self.replica_rotations[shard])
            try:
                async with asyncio.timeout(min(time_left_s, timeout_s)):
                    reply = await self._send_sub_request(message, shard, replica, time_left_s)
            except (aiohttp.ClientError, OSError, TimeoutError):
                await asyncio.sleep(0)
                continue
            if reply.status == STATUS_OK:
                return reply.results[0]
            await asyncio.sleep(0.001)
        return None

    async def _send_sub_request(
        self, message: QueryRequest, shard: str, replica: Replica, time_left_s: float
    ) -> SubReply:
        assert self.session is not None
        self.sub_request_count += 1
        request = SubRequest(
            identity=f'b-{next(self.sub_request_numbers)}',
            kind=KIND_QUERY,
            caller=message.caller,
            collection=message.collection,
            version=1,
            shards=(shard,),
            body=message.query,
            time_left_ms=int(time_left_s * 1000),
        )
        async with self.session.post(
            f'http://{replica.address}/v1/search', data=encode_json(request)
        ) as reply:
            return decode_json_reply(await reply.read(), SubReply)


async def run(plan: BaselinePlan) -> None:
    """Serve until the process is stopped."""
    baseline = Baseline(plan)
    baseline.session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, limit_per_host=4)
    )
    app = web.Application()
    app.router.add_post('/v1/query', baseline.query)
    app.router.add_get('/counters', baseline.counters)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    host, port = plan.listen.rsplit(':', 1)
    await web.TCPSite(runner, host, int(port)).start()
    print('ready', flush=True)
    await asyncio.Event().wait()


def main() -> int:
    """Read the plan from a file and run it."""
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=BaselinePlan)
    asyncio.run(run(plan))
    return 0


if __name__ == '__main__':
    sys.exit(main())
