"""Guard against calls of the platform that are decoded or answered incorrectly."""

from __future__ import annotations

import json

import pytest

from pistachioloft_core.errors import ResultCode
from pistachioloft_daemon.control_calls import (
    Addresses,
    Announce,
    Announced,
    CheckReadiness,
    Depart,
    Done,
    Evacuate,
    ListAddresses,
    ReadRoutes,
    SubmitRoutes,
    UnknownCall,
)
from pistachioloft_daemon.http1.messages import Request, find_header
from pistachioloft_daemon.platform.calls import (
    CALL_LIMIT_BYTES,
    DOCUMENT_LIMIT_BYTES,
    body_limit_bytes,
    decode_call,
    encode_outcome,
)
from tests.test_platform.test_documents import ANNOUNCEMENT, CONFIG, encoded


def test_each_call_is_decoded() -> None:
    """Guard against a call that is decoded as another one."""
    assert decode_call(Request(b'GET', b'/-/readiness', ())) == CheckReadiness()
    query = b'/-/resolve?name=h%2Ex&region=r&zone=north'
    assert decode_call(Request(b'GET', query, ())) == ListAddresses('h.x', 'r', 'north')
    assert decode_call(Request(b'GET', b'/-/config', ())) == ReadRoutes()
    document = encoded(CONFIG)
    submitted = decode_call(Request(b'PUT', b'/-/config', (), document))
    assert isinstance(submitted, SubmitRoutes)
    assert submitted.document == document
    target = b'/-/instances/i%2D1'
    announced = decode_call(Request(b'PUT', target, (), encoded(ANNOUNCEMENT)))
    assert isinstance(announced, Announce)
    assert announced.record.endpoint == 'i-1'
    assert decode_call(Request(b'DELETE', target, (), b'{"born":3}')) == Depart('i-1', 3)


def test_evacuations_are_decoded() -> None:
    """Guard against an order that is withdrawn, or that names another failure domain."""
    for target, name in (
        (b'bne-a', 'bne-a'),
        (b'a%20b%2Fc%C3%9F', 'a b/cß'),
        (b'z' * 256, 'z' * 256),
        (b'%C3%9F' * 256, 'ß' * 256),
    ):
        path = b'/-/evacuation/' + target
        assert decode_call(Request(b'POST', path, ())) == Evacuate(name, True)
        assert decode_call(Request(b'DELETE', path, (), b'')) == Evacuate(name, False)


@pytest.mark.parametrize(
    ('request_', 'code'),
    [
        (Request(b'POST', b'/-/config', ()), ResultCode.UNKNOWN_PATH),
        (Request(b'GET', b'/', ()), ResultCode.UNKNOWN_PATH),
        (Request(b'PUT', b'/-/config', (), b'{'), ResultCode.MALFORMED),
        (Request(b'PUT', b'/-/config', (), b'{}'), ResultCode.WRONG_TYPE),
        (Request(b'PUT', b'/-/instances/', (), encoded(ANNOUNCEMENT)), ResultCode.WRONG_TYPE),
        (Request(b'DELETE', b'/-/instances/i', (), b'['), ResultCode.WRONG_TYPE),
        (Request(b'POST', b'/-/evacuation/', ()), ResultCode.OUT_OF_RANGE),
        (Request(b'POST', b'/-/evacuation/' + b'z' * 257, ()), ResultCode.OUT_OF_RANGE),
        (Request(b'DELETE', b'/-/evacuation/%ff', ()), ResultCode.MALFORMED),
        (Request(b'GET', b'/-/evacuation/z', ()), ResultCode.UNKNOWN_PATH),
    ],
)
def test_undecodable_call_is_answered_with_the_reason(request_: Request, code: ResultCode) -> None:
    """Guard against an invalid call that ends an instance or changes its state."""
    call = decode_call(request_)
    assert isinstance(call, UnknownCall)
    assert call.code is code
    response = encode_outcome(Done(call.code, call.detail))
    assert 400 <= response.status < 500
    assert json.loads(response.body)['error']


def test_each_outcome_is_encoded() -> None:
    """Guard against an outcome that the platform decodes differently."""
    addresses = encode_outcome(Addresses(('10.0.0.1:80',), 2_500.0))
    assert json.loads(addresses.body) == {'addrs': ['10.0.0.1:80'], 'ttl_s': 2.5}
    assert json.loads(encode_outcome(Announced('')).body) == {}
    next_address = json.loads(encode_outcome(Announced('10.0.0.2:81')).body)
    assert next_address == {'heartbeatAddress': '10.0.0.2:81'}
    document = b'{"version": 7}'
    assert encode_outcome(Done(document=document)).body == document
    assert encode_outcome(Done()).status == 200
    fenced = encode_outcome(Done(ResultCode.FENCED, 'no quorum', retry_after_ms=250.0))
    assert fenced.status == 503
    assert find_header(fenced.headers, b'retry-after') == b'0.250'


def test_only_calls_with_a_document_have_long_bodies() -> None:
    """Guard against a body of megabytes in a call that needs some hundred bytes."""
    assert body_limit_bytes(b'PUT', b'/-/config') == DOCUMENT_LIMIT_BYTES
    assert body_limit_bytes(b'PUT', b'/-/config?x=1') == DOCUMENT_LIMIT_BYTES
    for method, target in (
        (b'GET', b'/-/config'),
        (b'PUT', b'/-/config/x'),
        (b'PUT', b'/-/instances/i-1'),
        (b'DELETE', b'/-/instances/i-1'),
        (b'POST', b'/-/evacuation/north'),
    ):
        assert body_limit_bytes(method, target) == CALL_LIMIT_BYTES


@pytest.mark.parametrize('target', [b'n' * 257, b'%20', b'', b'%F0%9F%98%80'])
def test_departure_under_an_id_that_no_endpoint_can_have_is_refused(target: bytes) -> None:
    """Guard against ids of departures that are kept although they are as long as a head."""
    call = decode_call(Request(b'DELETE', b'/-/instances/' + target, ()))
    assert isinstance(call, UnknownCall)
    assert call.code is ResultCode.WRONG_TYPE
