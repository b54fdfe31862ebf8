"""Guard against processes that accept wrong keys, or show keys to endpoints or in logs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp

from tools.fleet.site import Answer, Site

if TYPE_CHECKING:
    from pathlib import Path

EAST_KEY, WEST_KEY, LATE_KEY = 'key-of-the-east', 'key-of-the-west', 'key-that-comes-late'
UNKNOWN_KEY = 'key-of-nobody'
KEYS = (EAST_KEY, WEST_KEY, LATE_KEY, UNKNOWN_KEY)
ORGANISATIONS: list[dict[str, Any]] = [
    {'name': 'east', 'apiKeys': [EAST_KEY], 'priority': 0},
    {'name': 'west', 'apiKeys': [WEST_KEY]},
]
TARGETS = ('/all/x', '/one/x')


async def call(site: Site, target: str, key: str | None, address: str | None = None) -> Answer:
    headers = {'X-Tenant': 'somebody'}
    if key is not None:
        headers['Authorization'] = f'Bearer {key}'
    return await site.call(target, address, extra_headers=headers)


def received_headers(site: Site, request_id: str) -> list[dict[str, str]]:
    return [
        {name.lower(): value for name, value in received.headers}
        for searcher in site.searchers
        for received in searcher.received_requests
        if received.request_id == request_id
    ]


async def statuses(site: Site, key: str | None) -> set[int]:
    answers = [
        await call(site, target, key, site.fleet.caller_address(machine))
        for machine in site.fleet.entries
        for target in TARGETS
    ]
    return {answer.status for answer in answers}


def test_keys_decide_and_only_names_reach_endpoints(tmp_path: Path) -> None:
    """Guard against a wrong key that is served, a right one that is not, and keys that leak."""

    async def scenario(site: Site) -> None:
        await site.serving()
        assert await statuses(site, None) == {200}
        await site.submit(organisations=ORGANISATIONS)

        async def keys_are_required() -> bool:
            return await statuses(site, None) == {401}

        await site.wait_until(keys_are_required, 'the organisations at every entry instance')
        assert await statuses(site, UNKNOWN_KEY) == {401}
        for key, name in ((EAST_KEY, 'east'), (WEST_KEY, 'west')):
            for target in TARGETS:
                answer = await call(site, target, key)
                assert answer.status == 200
                headers = received_headers(site, answer.request_id)
                assert {each.get('x-tenant') for each in headers} == {name}
                assert not any('authorization' in each for each in headers)

        moved = [
            {'name': 'east', 'apiKeys': [LATE_KEY]},
            {'name': 'west', 'apiKeys': [EAST_KEY, WEST_KEY]},
        ]
        await site.submit(organisations=moved)

        async def late_key_is_known() -> bool:
            return await statuses(site, LATE_KEY) == {200}

        await site.wait_until(late_key_is_known, 'the next version at every entry instance')
        answer = await call(site, '/one/x', EAST_KEY)
        (headers,) = received_headers(site, answer.request_id)
        assert headers['x-tenant'] == 'west'
        await check_nothing_shows_keys(site)

    async def run() -> None:
        async with Site(tmp_path) as site:
            await scenario(site)

    asyncio.run(run())


async def check_nothing_shows_keys(site: Site) -> None:
    for machine in (*site.fleet.controls, *site.fleet.entries):
        address = site.fleet.metrics_address(machine)
        texts = [site.fleet.log(machine)]
        for path in ('/metrics', '/report'):
            async with aiohttp.request('GET', f'http://{address}{path}') as reply:
                texts.append(await reply.text())
        for text in texts:
            assert not any(key in text for key in KEYS)
