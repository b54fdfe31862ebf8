"""Guard endpoints that ask for a rest, or that leave, against real processes."""

from __future__ import annotations

import asyncio
import re
from collections import defaultdict
from typing import TYPE_CHECKING

from tools.fleet.site import Site

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from tools.fleet.searcher import StandInSearcher
    from tools.fleet.site import Answer

# More than one instance in each failure domain, so that some query shards for others.
ENTRY_COUNT = 4
# The bound of the users: from half a second after an endpoint has refused a request of an instance
# until the end of the rest, at most two requests of that instance reach it.
REST_S = 3.0
SLACK_S = 0.5
ALLOWED_COUNT = 2
# The bound of the users for requests to an endpoint that has said that it leaves.
DRAIN_S = 3.0
LOAD_S = 8.0
CALL_INTERVAL_S = 0.01
PATHS = ('/all/x', '/one/x')
# The time of an instance from the request to its refusal, which is final.
REFUSAL = re.compile(r'status=503 code=no_endpoint ms=([0-9.]+)')


async def load(site: Site, load_s: float = LOAD_S) -> list[Answer]:
    """Send requests to all entry instances in turn."""
    addresses = [site.fleet.caller_address(machine) for machine in site.fleet.entries]
    targets = [(address, path) for path in PATHS for address in addresses]
    calls = []
    for number in range(round(load_s / CALL_INTERVAL_S)):
        address, path = targets[number % len(targets)]
        calls.append(asyncio.create_task(site.call(path, address)))
        await asyncio.sleep(CALL_INTERVAL_S)
    return list(await asyncio.gather(*calls))


def most_during_rest(searcher: StandInSearcher) -> int:
    """Return the most requests of one instance in the rest that one refusal asked for."""
    times_s: defaultdict[str, list[float]] = defaultdict(list)
    for request in searcher.received_requests:
        times_s[request.sender_ip].append(request.at_s)
    return max(
        sum(refused_s + SLACK_S < at_s < refused_s + REST_S for at_s in of_sender)
        for of_sender in times_s.values()
        for refused_s in of_sender
    )


def run(folder: Path, scenario: Callable[[Site], Awaitable[None]]) -> None:
    async def main() -> None:
        async with Site(folder, entry_count=ENTRY_COUNT) as site:
            await site.serving()
            await load(site, 1.0)
            for searcher in site.searchers:
                searcher.received_requests.clear()
            await scenario(site)

    asyncio.run(main())


def test_resting_endpoint_gets_two_requests_at_most_from_an_instance(tmp_path: Path) -> None:
    """Guard against requests to endpoints that have asked for none for a while."""

    async def scenario(site: Site) -> None:
        resting = [each for each in site.searchers if each.endpoint in ('i-s0-0', 'i-single-0')]
        for searcher in resting:
            searcher.rest_s = REST_S
        answers = await load(site)
        for searcher in resting:
            assert most_during_rest(searcher) <= ALLOWED_COUNT, searcher.endpoint
        # The other replicas have room for all.
        assert sum(answer.status == 200 for answer in answers) >= 0.99 * len(answers)
        for searcher in resting:
            searcher.rest_s = None
            searcher.received_requests.clear()
        await asyncio.sleep(REST_S)
        await load(site, 2.0)
        assert all(searcher.received_requests for searcher in resting)

    run(tmp_path, scenario)


def test_requests_without_replica_are_refused_at_once_until_the_rest_ends(tmp_path: Path) -> None:
    """Guard against callers who wait, or come back too early, while all replicas rest."""

    async def scenario(site: Site) -> None:
        resting = site.of_service('single')
        for searcher in resting:
            searcher.rest_s = REST_S
        await load(site, 1.0)
        answers = [await site.call('/one/x') for _ in range(40)]
        refusals = [answer for answer in answers if answer.status == 503]
        assert len(refusals) == len(answers)
        logs = [site.fleet.log(machine) for machine in site.fleet.entries]
        refused_after_ms = [float(ms) for log in logs for ms in REFUSAL.findall(log)]
        assert len(refused_after_ms) >= len(refusals)
        assert max(refused_after_ms) < 100.0
        assert min(float(answer.headers['Retry-After']) for answer in refusals) > 1.0
        assert max(float(answer.headers['Retry-After']) for answer in refusals) <= 1.5 * REST_S
        for searcher in resting:
            assert most_during_rest(searcher) <= ALLOWED_COUNT

    run(tmp_path, scenario)


def test_leaving_endpoint_gets_no_new_requests(tmp_path: Path) -> None:
    """Guard against requests to an endpoint that says it leaves and is announced as ready."""

    async def scenario(site: Site) -> None:
        leaving = [each for each in site.searchers if each.endpoint in ('i-s0-0', 'i-single-0')]
        for searcher in leaving:
            searcher.is_leaving = True
        answers = await load(site, DRAIN_S + 3.0)
        assert sum(answer.status == 200 for answer in answers) >= 0.99 * len(answers)
        for searcher in leaving:
            last_s: dict[str, float] = {}
            first_s: dict[str, float] = {}
            for request in searcher.received_requests:
                first_s.setdefault(request.sender_ip, request.at_s)
                last_s[request.sender_ip] = request.at_s
            assert first_s
            assert all(last_s[sender] < at_s + DRAIN_S for sender, at_s in first_s.items())

    run(tmp_path, scenario)
