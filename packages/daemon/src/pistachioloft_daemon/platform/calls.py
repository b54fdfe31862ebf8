"""Decode the platform's calls to an instance and encode their outcomes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import parse_qs, unquote

import msgspec

from pistachioloft_core.errors import RESULTS, CodedError, ResultCode

from ..control_calls import (
    Addresses,
    Announce,
    Announced,
    Call,
    CheckReadiness,
    Depart,
    Evacuate,
    ListAddresses,
    Outcome,
    ReadRoutes,
    SubmitRoutes,
    UnknownCall,
)
from ..http1.messages import Response
from .documents import (
    decode_announcement,
    decode_departure,
    decode_routes,
    estimate_decoded_bytes,
    is_endpoint_id,
)
from .names import (
    ADDRESSES_PATH,
    ENDPOINTS_PATH,
    EVACUATIONS_PATH,
    READINESS_PATH,
    RETRY_AFTER,
    ROUTES_PATH,
)

if TYPE_CHECKING:
    from ..http1.messages import Request

FAILURE_DOMAIN_LENGTH_MAX = 256
# A configuration of the largest expected fleet has a few megabytes; other bodies are short.
DOCUMENT_LIMIT_BYTES = 16 * 1024 * 1024
CALL_LIMIT_BYTES = 65_536
_JSON_HEADERS = ((b'Content-Type', b'application/json'),)


def decode_call(request: Request) -> Call:
    """Decode a call of the platform; one that cannot be decoded becomes an `UnknownCall`."""
    path, _, query = request.target.decode('latin-1').partition('?')
    try:
        return _decode(request, path, query)
    except CodedError as error:
        return UnknownCall(error.code, error.detail)


def body_limit_bytes(method: bytes, target: bytes) -> int:
    """Return how many bytes the body of a call may have."""
    is_document = method == b'PUT' and target.partition(b'?')[0] == ROUTES_PATH.encode()
    return DOCUMENT_LIMIT_BYTES if is_document else CALL_LIMIT_BYTES


def estimate_call_bytes(request: Request) -> int:
    """Return at least the memory that a call takes while it is decoded and checked."""
    return estimate_decoded_bytes(request.body)


def encode_outcome(outcome: Outcome) -> Response:
    """Encode the outcome of a call."""
    if isinstance(outcome, Addresses):
        answer = {'addrs': outcome.addresses, 'ttl_s': outcome.keep_ms / 1000.0}
        return Response(200, _JSON_HEADERS, msgspec.json.encode(answer))
    if isinstance(outcome, Announced):
        next_heartbeat = {'heartbeatAddress': outcome.next_address} if outcome.next_address else {}
        return Response(200, _JSON_HEADERS, msgspec.json.encode(next_heartbeat))
    info = RESULTS[outcome.code]
    if outcome.document:
        return Response(200, _JSON_HEADERS, outcome.document)
    if info.http_status == 200:
        return Response(200, _JSON_HEADERS, b'{}')
    headers = list(_JSON_HEADERS)
    if outcome.retry_after_ms is not None:
        headers.append((RETRY_AFTER, f'{outcome.retry_after_ms / 1000.0:.3f}'.encode()))
    body = msgspec.json.encode({'error': outcome.detail or info.summary})
    return Response(info.http_status, tuple(headers), body)


def _decode(request: Request, path: str, query: str) -> Call:
    method = request.method
    if path == READINESS_PATH and method == b'GET':
        return CheckReadiness()
    if path == ADDRESSES_PATH and method == b'GET':
        values = parse_qs(query)
        return ListAddresses(
            values.get('name', [''])[0],
            values.get('region', [''])[0],
            values.get('zone', [''])[0],
        )
    if path == ROUTES_PATH and method == b'GET':
        return ReadRoutes()
    if path == ROUTES_PATH and method == b'PUT':
        return SubmitRoutes(decode_routes(request.body), request.body)
    if path.startswith(ENDPOINTS_PATH):
        endpoint = unquote(path.removeprefix(ENDPOINTS_PATH))
        if method == b'PUT':
            return Announce(decode_announcement(endpoint, request.body))
        if method == b'DELETE':
            if not is_endpoint_id(endpoint):
                raise CodedError(ResultCode.WRONG_TYPE, 'the id is not usable')
            return Depart(endpoint, decode_departure(request.body))
    if path.startswith(EVACUATIONS_PATH) and method in (b'POST', b'DELETE'):
        name = _decode_failure_domain(path.removeprefix(EVACUATIONS_PATH))
        return Evacuate(name, method == b'POST')
    detail = f'there is no {method.decode("latin-1")} {path}'
    raise CodedError(ResultCode.UNKNOWN_PATH, detail)


def _decode_failure_domain(text: str) -> str:
    try:
        name = unquote(text, errors='strict')
    except UnicodeDecodeError as error:
        detail = f'the name of the failure domain is not UTF-8: {error}'
        raise CodedError(ResultCode.MALFORMED, detail) from error
    if not 1 <= len(name) <= FAILURE_DOMAIN_LENGTH_MAX:
        detail = f'the name of a failure domain has 1 to {FAILURE_DOMAIN_LENGTH_MAX} characters'
        raise CodedError(ResultCode.OUT_OF_RANGE, detail)
    return name
