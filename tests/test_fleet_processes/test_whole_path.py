"""Guard against a fleet of real processes that serves no requests, or serves them wrongly."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import aiohttp

from tools.fleet.searcher import STATUS_DROP, ReplyPlan
from tools.fleet.site import SHARD_COUNT, Site

if TYPE_CHECKING:
    from pathlib import Path

Scenario = Callable[[Site], Awaitable[None]]


def run(folder: Path, scenario: Scenario, **options: int) -> None:
    async def run_scenario() -> None:
        async with Site(folder, **options) as site:
            await site.serving()
            await scenario(site)

    asyncio.run(run_scenario())


def test_answers_belong_to_their_requests_and_cover_all_shards(tmp_path: Path) -> None:
    """Guard against answers to other requests, wrong coverage and altered requests."""

    async def scenario(site: Site) -> None:
        answer = await site.call('/all/gold?x=%2f')
        assert answer.status == 200
        assert len(answer.shard_stamps) == SHARD_COUNT
        assert all(each.startswith(f'{answer.request_id}.') for each in answer.shard_stamps)
        records = [answer.body[at : at + 16] for at in range(0, len(answer.body), 16)]
        assert records == sorted(records, reverse=True)
        assert len(records) == 5
        received_requests = [
            each for searcher in site.searchers for each in searcher.received_requests
        ]
        attempts = [each for each in received_requests if each.request_id == answer.request_id]
        assert {each.target for each in attempts} == {'/all/gold?x=%2f'}

        single = await site.call('/one/lot')
        assert single.status == 200
        assert single.headers['X-Response-Stamp'].startswith(f'{single.request_id}.')
        posted = await site.call('/once/bill', method='POST', body=b'\x00\xffbill')
        assert posted.status == 200
        (ran,) = [
            each
            for searcher in site.of_service('single')
            for each in searcher.received_requests
            if each.request_id == posted.request_id
        ]
        assert (ran.method, ran.body) == ('POST', b'\x00\xffbill')
        assert (await site.call('/nowhere/x')).status == 404

    run(tmp_path, scenario)


def test_command_with_lost_reply_is_not_reported_as_not_run(tmp_path: Path) -> None:
    """Guard against a command that runs twice, or is reported as not run although it ran."""

    async def scenario(site: Site) -> None:
        for searcher in site.of_service('single'):
            searcher.behaviour = lambda _request_id: ReplyPlan(status=STATUS_DROP)
        answer = await site.call('/once/bill', method='POST', body=b'bill')
        assert answer.status not in (408, 421, 429, 503)
        ran = sum(each.run_count(answer.request_id) for each in site.of_service('single'))
        assert ran == 1
        for searcher in site.of_service('single'):
            searcher.behaviour = lambda _request_id: ReplyPlan(not_run=True)
        refused = await site.call('/once/bill', method='POST', body=b'bill')
        assert refused.status == 503
        assert 'Retry-After' in refused.headers

    run(tmp_path, scenario)


def test_caller_that_leaves_stops_the_searchers(tmp_path: Path) -> None:
    """Guard against searchers that continue requests whose caller has disconnected."""

    async def scenario(site: Site) -> None:
        for searcher in site.searchers:
            searcher.behaviour = lambda _request_id: ReplyPlan(delay_s=1.5)
        task = asyncio.create_task(site.call('/all/slow'))
        await asyncio.sleep(0.2)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

        async def stopped() -> bool:
            return sum(searcher.cancelled_count for searcher in site.searchers) >= SHARD_COUNT

        assert await site.wait_until(stopped, 'searchers to stop', 1.0) < 0.5

    run(tmp_path, scenario)


def test_draining_searcher_gets_no_new_work(tmp_path: Path) -> None:
    """Guard against new work for a searcher after its draining was acknowledged."""

    async def scenario(site: Site) -> None:
        leaving, staying = site.of_service('s1')
        leaving.state = 'draining'
        assert await site.announce(leaving)
        await asyncio.sleep(0.3)
        count_before = len(leaving.received_requests)
        for _ in range(20):
            answer = await site.call('/all/x')
            assert (answer.status, answer.missing_count) == (200, 0)
        assert len(leaving.received_requests) == count_before
        assert staying.received_requests

    run(tmp_path, scenario)


def test_routes_are_in_force_everywhere_and_read_back(tmp_path: Path) -> None:
    """Guard against an acknowledged configuration that an instance does not use."""

    async def scenario(site: Site) -> None:
        route = {
            **site.document(0)['routes'][1],
            'name': 'r-new',
            'pathPrefix': '/new/',
        }
        assert (await site.call('/new/x')).status == 404
        version = await site.submit(extra_routes=[route])

        async def everywhere() -> bool:
            addresses = [site.fleet.caller_address(each) for each in site.fleet.entries]
            answers = [await site.call('/new/x', address) for address in addresses]
            return all(answer.status == 200 for answer in answers)

        assert await site.wait_until(everywhere, 'the new route', 3.0) < 3.0
        for number in range(len(site.fleet.controls)):
            assert await site.read(number) == site.accepted[version]

    run(tmp_path, scenario)


def test_stop_of_an_entry_cuts_no_request(tmp_path: Path) -> None:
    """Guard against a planned stop that cuts a request or closes an address still in use."""

    async def scenario(site: Site) -> None:
        for searcher in site.searchers:
            searcher.behaviour = lambda _request_id: ReplyPlan(delay_s=0.05)
        stopping = site.fleet.entries[0]
        address = site.fleet.caller_address(stopping)
        statuses: list[int] = []

        async def caller() -> None:
            async with aiohttp.ClientSession() as session:
                while site.fleet.is_running(stopping):
                    answer = await site.call('/all/x', address, session=session)
                    if answer.status == 0:
                        return
                    statuses.append(answer.status)

        callers = [asyncio.create_task(caller()) for _ in range(4)]
        await asyncio.sleep(0.3)
        site.fleet.signal(stopping, signal.SIGTERM)
        await asyncio.sleep(0.5)
        assert address not in await site.addresses()
        assert not await site.is_ready(0)
        await asyncio.gather(*callers)
        process = site.fleet.processes[stopping.name]
        assert process.wait(5.0) == 0
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) > 20

    run(tmp_path, scenario)


def test_all_control_instances_restart_with_what_was_accepted(tmp_path: Path) -> None:
    """Guard against a restart that forgets an acknowledged configuration."""

    async def scenario(site: Site) -> None:
        version = await site.submit()
        for machine in site.fleet.controls:
            site.fleet.kill(machine)
        for machine in site.fleet.controls:
            site.fleet.start(machine)

        async def is_restored() -> bool:
            document = await site.read()
            return document is not None and document['version'] == version

        await site.wait_until(is_restored, 'the accepted routes', 10.0)
        await site.submit()

    run(tmp_path, scenario)


def test_wiped_control_instance_joins_again(tmp_path: Path) -> None:
    """Guard against a wiped voter that votes, and voters that can't lose another one afterwards."""

    async def scenario(site: Site) -> None:
        wiped = site.fleet.controls[0]
        site.fleet.kill(wiped)
        site.fleet.wipe(wiped)
        site.fleet.start(wiped)

        async def joined() -> bool:
            logs = [site.fleet.log(machine) for machine in site.fleet.controls]
            return any(f'promote {wiped.ip}-' in log for log in logs)

        await site.wait_until(joined, 'the new member to vote', 15.0)
        version = await site.submit()
        site.fleet.kill(site.fleet.controls[1])
        assert await site.submit() == version + 1

    run(tmp_path, scenario)


def test_request_that_crashes_its_searchers_is_stopped(tmp_path: Path) -> None:
    """Guard against a resent request that crashes one searcher after the other."""

    async def scenario(site: Site) -> None:
        for searcher in site.searchers:
            searcher.crashing_target = '/one/crash'
        statuses = []
        for _ in range(12):
            for machine in site.fleet.entries:
                answer = await site.call('/one/crash', site.fleet.caller_address(machine))
                statuses.append(answer.status)
            await asyncio.sleep(0.4)
        crashed = sum(len(searcher.crashed_at_s) for searcher in site.of_service('single'))
        assert crashed <= 3
        assert statuses[-2:] == [503, 503]
        harmless = await site.call('/one/lot')
        assert harmless.status == 200

    run(tmp_path, scenario)


def test_query_that_crashes_its_searchers_leaves_a_replica_of_each_shard(tmp_path: Path) -> None:
    """Guard against a query whose retries crash every replica of every shard."""

    async def scenario(site: Site) -> None:
        for searcher in site.searchers:
            searcher.crashing_target = '/all/crash'
        answer = await site.call('/all/crash')
        assert answer.status in (502, 504)
        assert sum(len(searcher.crashed_at_s) for searcher in site.searchers) <= SHARD_COUNT + 1
        statuses = []
        for _ in range(10):
            for machine in site.fleet.entries:
                answer = await site.call('/all/crash', site.fleet.caller_address(machine))
                statuses.append(answer.status)
            await asyncio.sleep(0.4)
        for service in ('s0', 's1', 's2', 's3'):
            assert sum(len(each.crashed_at_s) for each in site.of_service(service)) <= 3
        assert statuses[-2:] == [503, 503]
        await site.serving()

    run(tmp_path, scenario)


def test_query_that_crashes_its_failure_domain_is_stopped(tmp_path: Path) -> None:
    """Guard against a query that crashes the searchers near its instance each time (BUDGET)."""

    async def scenario(site: Site) -> None:
        route = {**site.document(1)['routes'][0], 'name': 'r-near', 'pathPrefix': '/near/'}
        await site.submit(extra_routes=[{**route, 'attempts': 1}])
        address = site.fleet.caller_address(site.fleet.entries[0])

        async def near_searchers_serve() -> bool:
            answer = await site.call('/near/gold', address)
            return answer.status == 200 and answer.missing_count == 0

        for searcher in site.searchers:
            searcher.crashing_target = '/near/crash'
        statuses = []
        for _ in range(4):
            await site.wait_until(near_searchers_serve, 'complete answers')
            # Longer than a crashed searcher takes to start and to be announced.
            await asyncio.sleep(2.5)
            statuses.append((await site.call('/near/crash', address)).status)
        crashed = {each.endpoint: len(each.crashed_at_s) for each in site.searchers}
        assert sum(crashed.values()) <= 2 * SHARD_COUNT, crashed
        assert statuses[2:] == [503, 503]
        assert (await site.call('/near/gold', address)).status == 200

    run(tmp_path, scenario, replica_count=3)
