"""A plain fan-out: round robin, no hedge, no budget, retry after a timeout."""

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
TIMEOUT_SHARE = 3


@dataclass(frozen=True, slots=True)
class Replica:
    """Name one searcher and its address."""

    endpoint: str
    address: str


@dataclass(frozen=True, slots=True)
class BaselinePlan:
    """List the replicas of every shard."""

    listen: str
    collection: str
    shards: dict[str, tuple[Replica, ...]]


class Baseline:
    """Hold the rotation over the replicas of each shard."""

    def __init__(self, plan: BaselinePlan) -> None:
        self.plan = plan
        self.numbers = itertools.count(1)
        self.rotation: dict[str, Iterator[Replica]] = {
            shard: itertools.cycle(replicas) for shard, replicas in plan.shards.items()
        }
        self.session: aiohttp.ClientSession | None = None
        self.sub_request_count = 0

    async def query(self, request: web.Request) -> web.Response:
        """Ask one replica of each shard and retry each after a timeout."""
        message = decode_json(await request.read(), QueryRequest)
        deadline_s = time.monotonic() + message.deadline_ms / 1000
        shards = tuple(self.plan.shards)
        replies = await asyncio.gather(
            *(self._shard(message, shard, deadline_s) for shard in shards)
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
        """Give the number of sub-requests sent."""
        return web.json_response({'sub_request_count': self.sub_request_count})

    async def _shard(
        self, message: QueryRequest, shard: str, deadline_s: float
    ) -> ShardRows | None:
        timeout_s = message.deadline_ms / 1000 / TIMEOUT_SHARE
        while (left_s := deadline_s - time.monotonic()) > 0:
            replica = next(self.rotation[shard])
            try:
                async with asyncio.timeout(min(left_s, timeout_s)):
                    reply = await self._ask(message, shard, replica, left_s)
            except (aiohttp.ClientError, OSError, TimeoutError):
                await asyncio.sleep(0)
                continue
            if reply.status == STATUS_OK:
                return reply.results[0]
            await asyncio.sleep(0.001)
        return None

    async def _ask(
        self, message: QueryRequest, shard: str, replica: Replica, left_s: float
    ) -> SubReply:
        assert self.session is not None
        self.sub_request_count += 1
        request = SubRequest(
            identity=f'b-{next(self.numbers)}',
            kind=KIND_QUERY,
            caller=message.caller,
            collection=message.collection,
            version=1,
            shards=(shard,),
            body=message.query,
            time_left_ms=int(left_s * 1000),
        )
        async with self.session.post(
            f'http://{replica.address}/v1/search', data=encode_json(request)
        ) as reply:
            return decode_json_reply(await reply.read(), SubReply)


async def run(plan: BaselinePlan) -> None:
    """Serve until the process is ended."""
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
