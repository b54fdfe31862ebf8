"""Guard against changed requests, wrong not-run statuses and replies to other requests."""

from __future__ import annotations

import time
from email.utils import formatdate

import pytest

from pistachioloft_core.errors import RESULTS, ResultCode, RunStatus
from pistachioloft_core.request.attempts import AttemptOutcome, Refuse
from pistachioloft_daemon.http1.messages import Request, Response, find_header
from pistachioloft_daemon.platform.traffic import (
    decode_reply,
    decode_request,
    encode_anonymous,
    encode_attempt,
    encode_merged,
    encode_organisation,
    encode_refusal,
    encode_reply,
)
from pistachioloft_daemon.routed_messages import (
    EndpointReply,
    MergedReply,
    RoutedRequest,
    UnreadableRequest,
)

HEADERS = (
    (b'Host', b'shop.example'),
    (b'x-request-id', b'q1'),
    (b'X-Deadline-Ms', b'1000'),
    (b'X-Other', b'a, b'),
    (b'Connection', b'keep-alive, X-Hop'),
    (b'X-Hop', b'1'),
    (b'Accept-Encoding', b'identity'),
)
NOT_RUN_STATUSES = {408, 421, 429, 503}


def decoded(request: Request) -> RoutedRequest:
    routed = decode_request(request)
    assert isinstance(routed, RoutedRequest)
    return routed


def reply(status: int, *headers: tuple[bytes, bytes], body: bytes = b'') -> Response:
    return Response(status, ((b'X-Request-Id', b'q1'), *headers), body)


def test_request_is_forwarded_unchanged() -> None:
    """Guard against a path, body or header that is changed on the way to an endpoint."""
    routed = decoded(Request(b'POST', b'/a%2fb/./c?x=%20&y', HEADERS, b'\x00\xff\r\n'))
    assert (routed.request_id, routed.host, routed.path) == ('q1', 'shop.example', '/a%2fb/./c')
    assert routed.time_left_ms == 1000.0
    assert encode_attempt(routed, 'i-7', 400.9) == (
        b'POST /a%2fb/./c?x=%20&y HTTP/1.1\r\n'
        b'Host: shop.example\r\n'
        b'x-request-id: q1\r\n'
        b'X-Other: a, b\r\n'
        b'Accept-Encoding: identity\r\n'
        b'Content-Length: 4\r\n'
        b'X-Deadline-Ms: 400\r\n'
        b'X-Target-Instance: i-7\r\n'
        b'\r\n'
        b'\x00\xff\r\n'
    )


def test_expected_endpoint_and_time_left_replace_the_callers_headers() -> None:
    """Guard against a caller's headers that set the endpoint or extend the time left."""
    headers = (*HEADERS, (b'x-target-instance', b'i-other'))
    data = encode_attempt(decoded(Request(b'GET', b'/', headers)), 'i-7', -3.0)
    assert data.lower().count(b'x-target-instance') == 1
    assert b'X-Target-Instance: i-7\r\n' in data
    assert data.lower().count(b'x-deadline-ms') == 1
    assert b'X-Deadline-Ms: 0\r\n' in data
    assert b'Content-Length' not in data


CREDENTIALS = (b'authorization', b'bEARER  the-key ')


@pytest.mark.parametrize(
    ('credentials', 'key'),
    [
        ((CREDENTIALS,), 'the-key'),
        ((CREDENTIALS, CREDENTIALS), None),
        (((b'Authorization', b'Basic the-key'),), None),
        (((b'Authorization', b'the-key'),), None),
        (((b'Authorization', b''),), None),
        ((), None),
    ],
)
def test_key_is_read_from_one_header_of_the_expected_form(
    credentials: tuple[tuple[bytes, bytes], ...], key: str | None
) -> None:
    """Guard against a key that is taken from a header that does not state it clearly."""
    routed = decoded(Request(b'GET', b'/a', (*HEADERS, *credentials)))
    assert routed.key == key
    assert 'the-key' not in repr(routed)


@pytest.mark.parametrize('name', ['east', ''])
def test_endpoint_gets_the_organisation_and_never_the_key(name: str) -> None:
    """Guard against a key that reaches an endpoint, and an organisation that a caller claims."""
    claims = (CREDENTIALS, (b'X-TENANT', b'west'), (b'x-tenant', b'north'))
    identified = encode_organisation(decoded(Request(b'GET', b'/a', (*HEADERS, *claims))), name)
    data = encode_attempt(identified, 'i-7', 400.0)
    assert b'the-key' not in data
    assert data.lower().count(b'x-tenant') == (1 if name else 0)
    assert (b'X-Tenant: east\r\n' in data) == bool(name)
    assert (identified.key, identified.identity_head) == (None, b'')


def test_headers_are_forwarded_where_no_organisations_are_configured() -> None:
    """Guard against a header that is lost on deployments without organisations."""
    claims = (CREDENTIALS, (b'X-Tenant', b'west'))
    routed = decoded(Request(b'GET', b'/a', (*HEADERS, *claims)))
    data = encode_attempt(encode_anonymous(routed), 'i-7', 400.0)
    assert b'authorization: bEARER  the-key \r\nX-Tenant: west\r\n' in data
    plain = decoded(Request(b'GET', b'/a', HEADERS))
    assert encode_anonymous(plain) is plain


def test_organisations_do_not_share_the_digest_of_a_content() -> None:
    """Guard against an organisation that is refused because of the content of another one."""
    routed = decoded(Request(b'GET', b'/a', HEADERS))
    digests = {encode_organisation(routed, name).digest for name in ('', 'east', 'west')}
    assert len(digests) == 3


@pytest.mark.parametrize(
    'headers',
    [
        ((b'Host', b'h'),),
        ((b'X-Request-Id', b'q1'),),
        ((b'Host', b'h'), (b'X-Request-Id', b'q1'), (b'X-Deadline-Ms', b'soon')),
    ],
)
def test_request_without_routing_headers_is_unreadable(
    headers: tuple[tuple[bytes, bytes], ...],
) -> None:
    """Guard against an invalid request that ends an instance."""
    assert isinstance(decode_request(Request(b'GET', b'/', headers)), UnreadableRequest)


def test_digest_depends_only_on_the_content() -> None:
    """Guard against a crashing request that evades suspicion with a new id."""
    resent_headers = (*HEADERS[:1], (b'X-Request-Id', b'q2'), (b'X-Deadline-Ms', b'9'))
    first = decoded(Request(b'GET', b'/a', HEADERS, b'x')).digest
    assert decoded(Request(b'GET', b'/a', resent_headers, b'x')).digest == first
    assert decoded(Request(b'GET', b'/a', HEADERS, b'y')).digest != first
    assert decoded(Request(b'POST', b'/a', HEADERS, b'x')).digest != first


@pytest.mark.parametrize(
    ('response', 'outcome', 'wrong_endpoint'),
    [
        (reply(200, (b'X-Response-Stamp', b's')), AttemptOutcome.ANSWERED, False),
        (reply(204, (b'x-response-stamp', b's')), AttemptOutcome.ANSWERED, False),
        (reply(200), AttemptOutcome.FAILED, False),
        (reply(302, (b'X-Response-Stamp', b's')), AttemptOutcome.FAILED, False),
        (reply(500, (b'X-Response-Stamp', b's')), AttemptOutcome.FAILED, False),
        (reply(503), AttemptOutcome.FAILED, False),
        (reply(503, (b'X-Not-Executed', b'1')), AttemptOutcome.NOT_RUN, False),
        (reply(400, (b'X-Not-Executed', b'1')), AttemptOutcome.NOT_RUN, False),
        (reply(421, (b'X-Instance-Id', b'i-8')), AttemptOutcome.NOT_RUN, True),
    ],
)
def test_reply_status_decides_whether_the_request_ran(
    response: Response, outcome: AttemptOutcome, wrong_endpoint: bool
) -> None:
    """Guard against a failure that is taken as proof that the request has not run."""
    end = decode_reply('q1', response)
    assert end is not None
    assert (end.outcome, end.wrong_endpoint) == (outcome, wrong_endpoint)


def test_reply_to_another_request_is_ignored() -> None:
    """Guard against a caller that gets the answer to another request."""
    assert decode_reply('q2', reply(200, (b'X-Response-Stamp', b's'))) is None
    unnamed = decode_reply('q2', Response(200, ((b'X-Response-Stamp', b's'),)))
    assert unnamed is not None


@pytest.mark.parametrize(
    ('value', 'expected'),
    [
        (b'3,1,8', (3, 1, 8, 1.0)),
        (b'3,1,8,250', (3, 1, 8, 2.5)),
        (b'3,1,0,0', (3, 1, 1, 1.0)),
        (b'3,1', None),
        (b'3,1,8,' + b'9' * 400, None),
        (b'1,' + b'9' * 400 + b',8', None),
        (b'many', None),
        (b'', None),
    ],
)
def test_invalid_load_report_is_ignored(
    value: bytes, expected: tuple[int, int, int, float] | None
) -> None:
    """Guard against a valid reply that is lost because of an invalid load report."""
    end = decode_reply('q1', reply(200, (b'X-Response-Stamp', b's'), (b'X-Server-Load', value)))
    assert end is not None
    assert end.outcome is AttemptOutcome.ANSWERED
    report = end.report
    actual = None
    if report is not None:
        actual = (
            report.running_count,
            report.waiting_count,
            report.slot_count,
            report.slowness,
        )
    assert actual == expected


@pytest.mark.parametrize('status', sorted(NOT_RUN_STATUSES))
def test_not_run_status_of_an_endpoint_is_not_forwarded(status: int) -> None:
    """Guard against a request that is reported as not run although an endpoint may have run it."""
    end = decode_reply('q1', reply(status, (b'X-Response-Stamp', b's')))
    assert end is not None
    assert end.reply is None


def test_reply_is_forwarded_with_receipt_and_without_hop_headers() -> None:
    """Guard against a reply whose status, body or receipt is changed on the way to the caller."""
    response = reply(
        500,
        (b'X-Response-Stamp', b's.1'),
        (b'Keep-Alive', b'timeout=5'),
        (b'Transfer-Encoding', b'chunked'),
        body=b'why',
    )
    end = decode_reply('q1', response)
    assert end is not None
    forwarded = encode_reply(end.reply)
    assert (forwarded.status, forwarded.body) == (500, b'why')
    assert forwarded.headers == ((b'X-Request-Id', b'q1'), (b'X-Response-Stamp', b's.1'))


def test_merged_reply_names_receipts_and_missing_count() -> None:
    """Guard against an answer that hides a missing shard."""
    complete = encode_merged(MergedReply((b'a', b'b'), 0, b'records'))
    assert complete.headers == ((b'X-Part-Stamps', b'a, b'),)
    partial = encode_merged(MergedReply((b'a',), 2, b''))
    assert find_header(partial.headers, b'x-missing-parts') == b'2'


@pytest.mark.parametrize('code', list(ResultCode))
def test_not_run_status_is_sent_only_if_the_request_has_not_run(code: ResultCode) -> None:
    """Guard against a status that reports a request as not run while its result code does not."""
    response = encode_refusal(Refuse(code, 'why', 250.0))
    not_run = RESULTS[code].run_status is RunStatus.NOT_RUN
    if not not_run:
        assert response.status not in NOT_RUN_STATUSES
        assert find_header(response.headers, b'retry-after') is None
    elif find_header(response.headers, b'retry-after') is not None:
        assert find_header(response.headers, b'retry-after') == b'0.250'
    assert find_header(response.headers, b'x-response-stamp') is None


@pytest.mark.parametrize(
    ('code', 'status'),
    [
        (ResultCode.NO_ENDPOINT, 503),
        (ResultCode.OVERLOADED, 503),
        (ResultCode.NOT_STARTED, 503),
        (ResultCode.FENCED, 503),
        (ResultCode.STOPPING, 503),
        (ResultCode.CONDEMNED, 503),
        (ResultCode.UNKNOWN_PATH, 404),
        (ResultCode.MALFORMED, 400),
        (ResultCode.NO_ANSWER, 504),
        (ResultCode.OUTCOME_UNKNOWN, 504),
    ],
)
def test_status_of_each_refusal(code: ResultCode, status: int) -> None:
    """Guard against a refusal that callers would wrongly repeat or wrongly not repeat."""
    assert encode_refusal(Refuse(code, '')).status == status


def test_receipt_is_kept_as_bytes() -> None:
    """Guard against receipts that are decoded and re-encoded differently."""
    raw = b'3e1b.07,5a2;\xe9'
    end = decode_reply('q1', reply(200, (b'X-Response-Stamp', raw)))
    assert end is not None
    assert isinstance(end.reply, EndpointReply)
    assert end.reply.receipt == raw


@pytest.mark.parametrize(
    ('value', 'limit_per_s'),
    [
        (b'12.5', 12.5),
        (b'0', 0.0),
        (b'-1', None),
        (b'nan', None),
        (b'inf', None),
        (b'many', None),
        (b'', None),
        (None, float('inf')),
    ],
)
def test_stated_limit_of_an_endpoint(value: bytes | None, limit_per_s: float | None) -> None:
    """Guard against a limit that is not recognized, and unreadable ones that end an attempt."""
    headers = () if value is None else ((b'Server-Limit', value),)
    end = decode_reply('q1', reply(200, (b'X-Response-Stamp', b'r'), *headers))
    assert end is not None
    assert end.statement is not None
    assert (end.outcome, end.statement.limit_per_s) == (AttemptOutcome.ANSWERED, limit_per_s)


@pytest.mark.parametrize(
    ('value', 'lowest_ms', 'highest_ms'),
    [
        (b'3', 3_000.0, 3_000.0),
        (b'0.25', 250.0, 250.0),
        (b' 2 ', 2_000.0, 2_000.0),
        (b'3600', 3_600_000.0, 3_600_000.0),
        (b'0', None, None),
        (b'-1', None, None),
        (b'nan', None, None),
        (b'inf', None, None),
        (b'soon', None, None),
        (b'', None, None),
        (b'\xff\xfe', None, None),
    ],
)
def test_rest_that_an_endpoint_asks_for(
    value: bytes, lowest_ms: float | None, highest_ms: float | None
) -> None:
    """Guard against a rest that is not recognized, and unreadable ones that end an attempt."""
    end = decode_reply('q1', reply(503, (b'X-Not-Executed', b'1'), (b'Retry-After', value)))
    assert end is not None
    assert end.outcome is AttemptOutcome.NOT_RUN
    assert end.statement is not None
    if lowest_ms is None or highest_ms is None:
        assert end.statement.rest_ms is None
    else:
        assert end.statement.rest_ms is not None
        assert lowest_ms <= end.statement.rest_ms <= highest_ms


@pytest.mark.parametrize('seconds', [3_600.0, -3_600.0])
def test_rest_until_a_date(seconds: float) -> None:
    """Guard against a rest whose end is given as a date."""
    date = formatdate(time.time() + seconds, usegmt=True).encode()
    end = decode_reply('q1', reply(503, (b'X-Not-Executed', b'1'), (b'Retry-After', date)))
    assert end is not None
    assert end.statement is not None
    rest_ms = end.statement.rest_ms
    if seconds < 0.0:
        assert rest_ms is None
    else:
        assert rest_ms is not None
        # A date has a resolution of one second.
        assert rest_ms == pytest.approx(seconds * 1_000.0, rel=0.01)


def test_only_a_refusal_asks_for_a_rest() -> None:
    """Guard against an endpoint that gets nothing because of a header that means another thing."""
    end = decode_reply('q1', reply(200, (b'X-Response-Stamp', b'r'), (b'Retry-After', b'3')))
    assert end is not None
    assert end.statement is not None
    assert end.statement.rest_ms is None


@pytest.mark.parametrize(('value', 'leaving'), [(b'1', True), (b'0', False), (b'', False)])
def test_endpoint_that_leaves_says_so_in_any_reply(value: bytes, leaving: bool) -> None:
    """Guard against an endpoint that gets new requests although it has said that it leaves."""
    for status in (200, 500, 503):
        end = decode_reply('q1', reply(status, (b'Server-Leaving', value)))
        assert end is not None
        assert end.statement is not None
        assert end.statement.is_leaving == leaving


def test_reply_without_an_id_is_marked() -> None:
    """Guard against a reply that nothing ties to its request and that counts like any other."""
    receipt = (b'X-Response-Stamp', b'stamp')
    named = decode_reply('q1', reply(200, receipt))
    unnamed = decode_reply('q1', Response(200, (receipt,)))
    assert named is not None
    assert unnamed is not None
    assert (named.identified, unnamed.identified) == (True, False)


@pytest.mark.parametrize('name', [b'X-Request-Id', b'x-response-stamp'])
def test_reply_with_two_ids_or_receipts_is_lost(name: bytes) -> None:
    """Guard against a reply put together from two that passes for one of them (MIXED)."""
    receipt = (b'X-Response-Stamp', b'stamp')
    end = decode_reply('q1', reply(200, receipt, (name, b'q1')))
    assert end is not None
    assert end.outcome is AttemptOutcome.LOST
    assert end.reply is None


def test_request_in_flight_keeps_no_header_objects() -> None:
    """Guard against headers that take many times their bytes while a request is in flight."""
    headers = ((b'Host', b'h'), (b'X-Request-Id', b'r1'), *((b'a', b'b') for _ in range(1_000)))
    routed = decode_request(Request(b'GET', b'/x/y', headers, connecting_ms=3.0, return_ms=1.0))
    assert isinstance(routed, RoutedRequest)
    assert routed.request.headers == ()
    assert (routed.request.connecting_ms, routed.request.return_ms) == (3.0, 1.0)
    assert routed.head.count(b'a: b\r\n') == 1_000
