"""Decode and encode the requests of callers and the replies of endpoints."""

from __future__ import annotations

import time
from dataclasses import replace
from email.utils import parsedate_to_datetime
from typing import TYPE_CHECKING

from pistachioloft_core.connection.endpoint_limit import UNLIMITED
from pistachioloft_core.connection.endpoint_load import LoadReport
from pistachioloft_core.connection.statements import Statement
from pistachioloft_core.errors import RESULTS, ResultCode
from pistachioloft_core.request.attempts import AttemptEnd, AttemptOutcome, Refuse

from ..http1.messages import Response, end_to_end_headers, find_header
from ..routed_messages import (
    EndpointReply,
    MergedReply,
    RoutedRequest,
    UnreadableRequest,
    organisation_digest,
    request_digest,
)
from .names import (
    CREDENTIALS,
    CREDENTIALS_SCHEME,
    ENDPOINT_LEAVING,
    ENDPOINT_LIMIT,
    EXPECTED_ENDPOINT,
    MISSING_COUNT,
    NOT_RUN,
    ORGANISATION,
    RECEIPT,
    RECEIPTS,
    REQUEST_ID,
    RETRY_AFTER,
    TIME_LEFT,
)

if TYPE_CHECKING:
    from ..http1.messages import Headers, Request

# Statuses by which the platform recognizes that a request has not run and never will.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_MISDIRECTED = 421
_BUSY = 503
# A condemned request is valid and has not run, which only one of these statuses expresses.
_STATUS_OVERRIDES = {ResultCode.CONDEMNED: 503}
# A failure of the gateway itself, which leaves open whether the request has run.
_BAD_GATEWAY = 502
_REQUEST_ID_KEY = REQUEST_ID.lower()
_RECEIPT_KEY = RECEIPT.lower()
_NOT_RUN_KEY = NOT_RUN.lower()
_LIMIT_KEY = ENDPOINT_LIMIT.lower()
_LEAVING_KEY = ENDPOINT_LEAVING.lower()
_RETRY_AFTER_KEY = RETRY_AFTER.lower()
# What a reply says about its endpoint without any of these headers.
_NO_STATEMENT = Statement(UNLIMITED)
_REPLACED_HEADERS = frozenset((TIME_LEFT.lower(), EXPECTED_ENDPOINT.lower()))
_CREDENTIALS_KEY = CREDENTIALS.lower()
_IDENTITY_HEADERS = frozenset((_CREDENTIALS_KEY, ORGANISATION.lower()))
# A larger number in a load report is a mistake, and could not be calculated with.
REPORTED_NUMBER_LIMIT = 1_000_000


def decode_request(request: Request) -> RoutedRequest | UnreadableRequest:
    """Decode a caller's request for routing."""
    request_id = find_header(request.headers, REQUEST_ID.lower())
    host = find_header(request.headers, b'host')
    if request_id is None or host is None:
        return UnreadableRequest('the request has no id or no host')
    time_left_ms = None
    time_left = find_header(request.headers, TIME_LEFT.lower())
    if time_left is not None:
        try:
            time_left_ms = float(time_left)
        except ValueError:
            return UnreadableRequest('the time left is not a number')
    parts = [request.method, b' ', request.target, b' HTTP/1.1\r\n']
    identity_parts: list[bytes] = []
    for key, value in end_to_end_headers(request.headers):
        name = key.lower()
        if name in _IDENTITY_HEADERS:
            identity_parts += (key, b': ', value, b'\r\n')
        elif name not in _REPLACED_HEADERS:
            parts += (key, b': ', value, b'\r\n')
    if request.body or request.method in (b'POST', b'PUT', b'PATCH'):
        parts.append(b'Content-Length: %d\r\n' % len(request.body))
    path = request.target.split(b'?', 1)[0].decode('latin-1')
    return RoutedRequest(
        request_id.decode('latin-1'),
        host.decode('latin-1'),
        path,
        time_left_ms,
        b''.join(parts),
        request.body,
        # The headers are part of the head; each of them takes many times its bytes.
        replace(request, headers=()),
        request_digest(request, host),
        decode_key(request.headers),
        b''.join(identity_parts),
    )


def decode_key(headers: Headers) -> str | None:
    """Return the caller's key, None without exactly one in the expected form."""
    values = [value for name, value in headers if name.lower() == _CREDENTIALS_KEY]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].partition(b' ')
    if scheme.lower() != CREDENTIALS_SCHEME:
        return None
    try:
        return key.strip().decode()
    except UnicodeDecodeError:
        return None


def encode_organisation(routed: RoutedRequest, organisation: str) -> RoutedRequest:
    """Name the organisation to endpoints in place of the key, or nothing if it is empty."""
    head, digest = routed.head, routed.digest
    if organisation:
        head += b'%b: %b\r\n' % (ORGANISATION, organisation.encode())
        digest = organisation_digest(digest, organisation)
    return replace(
        routed, head=head, digest=digest, organisation=organisation, key=None, identity_head=b''
    )


def encode_anonymous(routed: RoutedRequest) -> RoutedRequest:
    """Forward the caller's headers as they are, where no organisations are configured."""
    head = routed.head + routed.identity_head
    return (
        replace(routed, head=head, key=None, identity_head=b'') if routed.identity_head else routed
    )


def encode_attempt(routed: RoutedRequest, endpoint: str, time_left_ms: float) -> bytes:
    """Encode a request for one endpoint with its time left."""
    return b'%b%b: %d\r\n%b: %b\r\n\r\n%b' % (
        routed.head,
        TIME_LEFT,
        max(0, int(time_left_ms)),
        EXPECTED_ENDPOINT,
        endpoint.encode('latin-1'),
        routed.body,
    )


def decode_reply(request_id: str, response: Response) -> AttemptEnd | None:
    """Decode how an attempt ended, or return None if the reply belongs to another request."""
    headers = {key.lower(): value for key, value in response.headers}
    echoed = headers.get(_REQUEST_ID_KEY)
    if echoed is not None and echoed != request_id.encode('latin-1'):
        return None
    if len(headers) < len(response.headers) and _is_ambiguous(response):
        return AttemptEnd(AttemptOutcome.LOST, 'a reply with several ids or receipts')
    identified = echoed is not None
    status = response.status
    statement = _decode_statement(status, headers)
    report = _load_report(headers.get(b'x-server-load'))
    detail = f'status {status}'
    if status == _MISDIRECTED or _NOT_RUN_KEY in headers:
        is_wrong = status == _MISDIRECTED
        return AttemptEnd(
            AttemptOutcome.NOT_RUN, detail, None, report, is_wrong, statement, identified
        )
    receipt = headers.get(_RECEIPT_KEY)
    outcome = AttemptOutcome.FAILED
    reply: EndpointReply | None = None
    if 200 <= status < 300:
        if receipt is None:
            detail = 'success without a receipt'
        else:
            outcome, reply = AttemptOutcome.ANSWERED, EndpointReply(receipt, response)
    elif status not in _NOT_RUN_STATUSES:
        # If forwarded, one of those would state that the request has not run.
        reply = EndpointReply(receipt or b'', response)
    return AttemptEnd(outcome, detail, reply, report, False, statement, identified)


def _is_ambiguous(response: Response) -> bool:
    names = [key.lower() for key, _ in response.headers]
    return any(names.count(name) > 1 for name in (_REQUEST_ID_KEY, _RECEIPT_KEY))


def _decode_statement(status: int, headers: dict[bytes, bytes]) -> Statement:
    rest = headers.get(_RETRY_AFTER_KEY) if status == _BUSY else None
    limit, leaving = headers.get(_LIMIT_KEY), headers.get(_LEAVING_KEY)
    if rest is None and limit is None and leaving is None:
        return _NO_STATEMENT
    return Statement(_stated_limit(limit), _stated_rest_ms(rest), leaving == b'1')


def encode_reply(reply: EndpointReply) -> Response:
    """Encode an endpoint's reply for the caller."""
    response = reply.response
    return Response(response.status, end_to_end_headers(response.headers), response.body)


def encode_merged(reply: MergedReply) -> Response:
    """Encode the merged replies of shards for the caller."""
    headers = [(RECEIPTS, b', '.join(reply.receipts))]
    if reply.missing_count:
        headers.append((MISSING_COUNT, str(reply.missing_count).encode()))
    return Response(200, tuple(headers), reply.body)


def encode_refusal(refusal: Refuse) -> Response:
    """Encode a refusal; only a request that has not run gets a status with that meaning."""
    info = RESULTS[refusal.code]
    status = _STATUS_OVERRIDES.get(refusal.code, info.http_status)
    not_run = info.run_status.value == 'not_run'
    if status in _NOT_RUN_STATUSES and not not_run:
        status = _BAD_GATEWAY
    headers: list[tuple[bytes, bytes]] = [(b'Content-Type', b'text/plain')]
    if not_run and refusal.retry_after_ms is not None:
        headers.append((RETRY_AFTER, f'{refusal.retry_after_ms / 1000.0:.3f}'.encode()))
    return Response(status, tuple(headers), f'{info.summary}\n'.encode())


def _stated_limit(value: bytes | None) -> float | None:
    """Decode a stated limit, UNLIMITED without one; None if it cannot be read."""
    if value is None:
        return UNLIMITED
    try:
        limit_per_s = float(value)
    except ValueError:
        return None
    return limit_per_s if 0.0 <= limit_per_s < UNLIMITED else None


def _stated_rest_ms(value: bytes | None) -> float | None:
    """Decode for how long an endpoint wants no requests, None if it does not say so."""
    if value is None:
        return None
    text = value.decode('latin-1')
    try:
        seconds = float(text)
    except ValueError:
        try:
            seconds = parsedate_to_datetime(text).timestamp() - time.time()
        except (ValueError, OverflowError):
            return None
    return seconds * 1000.0 if 0.0 < seconds < float('inf') else None


def _load_report(value: bytes | None) -> LoadReport | None:
    if value is None:
        return None
    try:
        numbers = [int(field) for field in value.split(b',')]
    except ValueError:
        return None
    if len(numbers) < 3 or max(numbers) > REPORTED_NUMBER_LIMIT:
        return None
    # Current duration of work on the endpoint's machine, in percent of the usual one (100).
    slowness = numbers[3] / 100.0 if len(numbers) > 3 and numbers[3] > 0 else 1.0
    return LoadReport(numbers[0], numbers[1], max(1, numbers[2]), slowness)
