"""Guard against documents that are decoded incorrectly, and invalid ones that cause failures."""

from __future__ import annotations

import contextlib
import copy
import gc
import json
import tracemalloc
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.codec import decode_peer, encode_peer
from pistachioloft_core.errors import CodedError, ResultCode
from pistachioloft_core.messages.fleet import FeedReply, ReceivedEndpoint
from pistachioloft_core.messages.routes import Gather, Organisation, WeightedService
from pistachioloft_core.version.route_table import RouteTable, check_routes
from pistachioloft_daemon.platform.documents import (
    decode_announcement,
    decode_departure,
    decode_routes,
    estimate_decoded_bytes,
)

CONFIG: dict[str, Any] = {
    'version': 7,
    'routes': [
        {
            'name': 'r-all',
            'host': 'h',
            'pathPrefix': '/all/',
            'routeKind': 'idempotent',
            'timeoutMs': 500,
            'targetLatencyMs': 56,
            'priority': 1,
            'gather': ['s0', 's1'],
            'attempts': 2,
            'topK': 5,
            'minCoverage': 0.5,
        },
        {
            'name': 'r-one',
            'host': 'h',
            'pathPrefix': '/one/',
            'routeKind': 'non_idempotent',
            'timeoutMs': 4000,
            'split': [{'service': 's0', 'weight': 3}, {'service': 's1', 'weight': 1}],
        },
        {
            'name': 'r-two',
            'host': 'h',
            'pathPrefix': '/two/',
            'routeKind': 'idempotent',
            'timeoutMs': 4000,
            'service': 's1',
        },
    ],
    'services': [
        {'name': 's0', 'healthPath': '/health', 'maxConns': 26, 'protocol': 'h1', 'tls': False},
        {'name': 's1', 'healthPath': '/health', 'maxConns': 24, 'later': [1]},
    ],
    'limits': {'maxHeaderBytes': 100, 'maxBodyBytes': 200, 'headerTimeoutMs': 3, 'later': 1},
    'later': {'x': 1},
}
ANNOUNCEMENT: dict[str, Any] = {
    'service': 's0',
    'address': '10.0.0.4:8080',
    'zone': 'north',
    'version': 'v3',
    'slots': 8,
    'state': 'ready',
    'coldLeftMs': 300,
    'seq': 4,
    'born': 1_700_000_000_000,
}


def encoded(document: object) -> bytes:
    return json.dumps(document).encode()


def test_each_kind_of_route_is_decoded() -> None:
    """Guard against a field of a route that is decoded into another field."""
    routes = decode_routes(encoded(CONFIG))
    gathered, split, single = routes.routes
    assert routes.version == 7
    assert gathered.gather == Gather(('s0', 's1'), 5, 0.5)
    assert (gathered.time_limit_ms, gathered.latency_target_ms, gathered.priority) == (
        500.0,
        56.0,
        1,
    )
    assert (gathered.idempotent, gathered.attempt_limit, gathered.services) == (True, 2, ())
    assert split.services == (WeightedService('s0', 3.0), WeightedService('s1', 1.0))
    assert (split.idempotent, split.attempt_limit) == (False, 1)
    assert split.latency_target_ms == 4000.0
    assert single.services == (WeightedService('s1'),)
    assert [rule.connection_limit for rule in routes.services] == [26, 24]
    assert routes.limits.header_limit_bytes == 100
    assert routes.limits.header_timeout_ms == 3.0
    assert check_routes(routes) == ()


@pytest.mark.parametrize(
    ('path', 'value'),
    [
        (('version',), '7'),
        (('routes', 0, 'timeoutMs'), None),
        (('routes', 0, 'gather'), 's0'),
        (('routes', 0, 'gather'), [1]),
        (('routes', 1, 'split'), [{'weight': 1}]),
        (('routes', 2, 'pathPrefix'), 3),
        (('services', 0, 'maxConns'), 'many'),
        (('routes',), {}),
        (('services',), None),
    ],
)
def test_wrong_types_are_refused(path: tuple[Any, ...], value: Any) -> None:
    """Guard against a document that is accepted with a value of the wrong type."""
    document = copy.deepcopy(CONFIG)
    parent: Any = document
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    with pytest.raises(CodedError) as raised:
        decode_routes(encoded(document))
    assert raised.value.code is ResultCode.WRONG_TYPE


TENANTS: list[dict[str, Any]] = [
    {'name': 'east', 'apiKeys': ['k1', 'k2', 'k1'], 'priority': 0, 'ratePerS': 2, 'burst': 5},
    {'name': 'west', 'apiKeys': [], 'allowedRegions': ['coast'], 'later': 1},
]


def test_organisations_are_decoded() -> None:
    """Guard against a key, an allotment or a priority that is decoded into another field."""
    routes = copy.deepcopy(CONFIG['routes'])
    routes[2]['public'] = True
    decoded = decode_routes(encoded({**CONFIG, 'routes': routes, 'tenants': TENANTS}))
    assert decoded.organisations == (
        Organisation('east', ('k1', 'k2'), 0, 2.0, 5.0),
        Organisation('west', regions=('coast',)),
    )
    assert [route.public for route in decoded.routes] == [False, False, True]
    assert check_routes(decoded) == ()
    assert decode_routes(encoded(CONFIG)).organisations == ()


@pytest.mark.parametrize(
    'tenant',
    [{'apiKeys': ['k']}, {'name': 'x', 'apiKeys': 'k'}, {'name': 'x', 'ratePerS': 'secret-key'}],
)
def test_wrong_organisation_is_refused_without_its_values(tenant: dict[str, Any]) -> None:
    """Guard against an invalid organisation that is accepted, and a key in the refusal."""
    with pytest.raises(CodedError) as raised:
        decode_routes(encoded({**CONFIG, 'tenants': [tenant]}))
    assert raised.value.code is ResultCode.WRONG_TYPE
    assert 'secret-key' not in raised.value.detail


@pytest.mark.parametrize('end_index', [0, 1, 100, -1])
def test_truncated_document_is_refused(end_index: int) -> None:
    """Guard against a truncated document that is accepted."""
    with pytest.raises(CodedError) as raised:
        decode_routes(encoded(CONFIG)[:end_index])
    assert raised.value.code is ResultCode.MALFORMED


@pytest.mark.parametrize('depth', [10_000, 1_000_000])
def test_deep_nesting_is_refused(depth: int) -> None:
    """Guard against a deeply nested document that ends the process."""
    with pytest.raises(CodedError):
        decode_routes(b'{"version":1,"routes":[],"services":[],"later":' + b'[' * depth)


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_refused(data: bytes) -> None:
    """Guard against an exception other than `CodedError`, which callers do not handle."""
    for decode in (decode_routes, lambda body: decode_announcement('i', body), decode_departure):
        try:
            decode(data)
        except CodedError:
            continue


def test_announcement_is_decoded() -> None:
    """Guard against a field of an announcement that is decoded into another field."""
    record = decode_announcement('i-1', encoded(ANNOUNCEMENT))
    assert (record.endpoint, record.service, record.address) == ('i-1', 's0', '10.0.0.4:8080')
    assert (record.failure_domain, record.slot_count, record.endpoint_state) == (
        'north',
        8,
        'ready',
    )
    assert (record.sequence, record.born_ms) == (4, 1_700_000_000_000)
    assert (record.cold_left_ms, record.software_version) == (300.0, 'v3')
    draining = decode_announcement('i-1', encoded({**ANNOUNCEMENT, 'state': 'draining'}))
    assert draining.endpoint_state == 'draining'


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'leaving'},
        {'address': 'here'},
        {'address': '10.0.0.4'},
        {'service': ''},
        {'slots': -1},
        {'slots': '8'},
        {'seq': -1},
        {'born': -1},
        {'zone': None},
        {'address': '10.0.0.4:65536'},
        {'address': '10.0.0.4:0'},
        {'seq': 2**63},
        {'seq': 10**400},
        {'born': 2**64},
        {'slots': 10**30},
        {'zone': 'x' * 257},
        {'service': 's' * 10_000},
    ],
)
def test_invalid_announcement_is_refused(change: dict[str, Any]) -> None:
    """Guard against requests that are sent to an endpoint at an invalid address."""
    with pytest.raises(CodedError):
        decode_announcement('i-1', encoded({**ANNOUNCEMENT, **change}))


@pytest.mark.parametrize('endpoint', ['', 'i\r\nX-A: 1', 'i 1', '\u4e2d', '\x00', 'i' * 257])
def test_endpoint_id_that_fits_no_header_is_refused(endpoint: str) -> None:
    """Guard against requests that cannot be encoded, and against headers that an id smuggles in."""
    with pytest.raises(CodedError):
        decode_announcement(endpoint, encoded(ANNOUNCEMENT))


@pytest.mark.parametrize('depth', [10_000, 1_000_000])
def test_deeply_nested_announcement_is_refused(depth: int) -> None:
    """Guard against an announcement that ends the process that reads it."""
    body = encoded(ANNOUNCEMENT)[:-1] + b',"later":' + b'[' * depth + b']' * depth + b'}'
    with pytest.raises(CodedError):
        decode_announcement('i-1', body)


@pytest.mark.parametrize('number', [2**63, 10**30])
def test_numbers_that_no_message_can_carry_are_refused(number: int) -> None:
    """Guard against a document that is accepted and then cannot be passed on or stored."""
    with pytest.raises(CodedError):
        decode_departure(encoded({'born': number}))
    with pytest.raises(CodedError):
        decode_routes(encoded({**CONFIG, 'version': number}))


ANY_VALUE = st.one_of(
    st.integers(), st.floats(), st.text(max_size=8), st.just('x' * 300), st.none(), st.booleans()
)


@settings(deadline=None, derandomize=True)
@given(st.dictionaries(st.sampled_from(list(ANNOUNCEMENT)), ANY_VALUE))
def test_whatever_is_accepted_can_be_passed_on(changes: dict[str, Any]) -> None:
    """Guard against one entry that keeps the control instances from sharing the others."""
    try:
        record = decode_announcement('i-1', encoded({**ANNOUNCEMENT, **changes}))
    except CodedError:
        return
    share = FeedReply(
        1, 1, True, True, True, 0, 1, (ReceivedEndpoint(record, 1.0),), 1, b'', (), ()
    )
    _, (decoded,) = decode_peer(encode_peer('a', [share]))
    assert decoded == share


def test_departure_start_time_is_optional() -> None:
    """Guard against a late departure that removes a later incarnation of the endpoint."""
    assert decode_departure(b'{"born": 12}') == 12
    assert decode_departure(b' ') == 0
    assert decode_departure(b'{}') == 0


def rows(each: str, count: int = 20_000) -> str:
    """Return a list of values that differ in a number."""
    return ','.join(each % number for number in range(count))


def with_lists(routes: str = '', services: str = '', tenants: str = '') -> str:
    return (
        f'{{"version":1,"routes":[{routes}],"services":[{services}],"tenants":[{tenants}],'
        '"later":{"x":[1,2]}}'
    )


ROUTE_START = '{"name":"r","host":"h","pathPrefix":"/%x/","routeKind":"","timeoutMs":1'
ONE_ROUTE = ROUTE_START % 0
WIDE_TEXT = '\U0001f600' + 'a' * 1_000
LARGE_DOCUMENTS = {
    'tenants with one name': with_lists(tenants=rows('{"name":""%.0s}')),
    'tenants': with_lists(tenants=rows('{"name":"%x"}')),
    'keys': with_lists(tenants='{"name":"a","apiKeys":[' + rows('"%x"') + ']}'),
    'shards': with_lists(ONE_ROUTE + ',"gather":[' + rows('"%x"') + ']}'),
    'services of a split': with_lists(ONE_ROUTE + ',"split":[' + rows('{"service":"%x"}') + ']}'),
    'services': with_lists(services=rows('{"name":"%x"}')),
    'routes': with_lists(rows(ROUTE_START + ',"service":""}', 5_000)),
    'empty lists': with_lists(
        rows(ROUTE_START + ',"split":[],"gather":[],"allowedRegions":[]}', 5_000)
    ),
    'wide texts': with_lists(
        services=','.join(f'{{"name":"{WIDE_TEXT}{number}"}}' for number in range(200))
    ),
    'escaped wide texts': with_lists(
        services=','.join(
            f'{{"name":{json.dumps(WIDE_TEXT)[:-1]}{number}"}}' for number in range(200)
        )
    ),
    'one wide text': with_lists('{"name":"' + '\U0001f600' + 'a' * 1_000_000 + '"}'),
    'unfinished': with_lists(tenants=rows('{"name":"%x"}'))[:-30],
    'nested lists': '[' * 100_000,
}


@pytest.mark.parametrize('name', LARGE_DOCUMENTS)
def test_estimate_covers_the_memory_of_decoding_and_checking(name: str) -> None:
    """Guard against a document that takes more memory than was reserved for it."""
    document = LARGE_DOCUMENTS[name].encode()
    gc.collect()
    tracemalloc.start()
    try:
        with contextlib.suppress(CodedError):
            routes = decode_routes(document)
            check_routes(routes)
            RouteTable(routes)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes <= estimate_decoded_bytes(document)


@pytest.mark.parametrize(
    'document',
    [
        with_lists('{"name":"%s","host":"h","pathPrefix":"/","routeKind":"","timeoutMs":1}'),
        with_lists('{"name":"r","host":"%s","pathPrefix":"/","routeKind":"","timeoutMs":1}'),
        with_lists(ONE_ROUTE + ',"gather":["%s"]}'),
        with_lists(ONE_ROUTE + ',"split":[{"service":"%s"}]}'),
        with_lists(services='{"name":"%s"}'),
        with_lists(tenants='{"name":"%s"}'),
        with_lists(tenants='{"name":"a","allowedRegions":["%s"]}'),
    ],
)
def test_long_names_are_refused(document: str) -> None:
    """Guard against names that take many times their length while they are compared."""
    decode_routes((document % ('n' * 1_024)).encode())
    with pytest.raises(CodedError) as raised:
        decode_routes((document % ('n' * 1_025)).encode())
    assert len(raised.value.detail) < 200
