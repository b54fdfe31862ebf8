"""Guard against a soak that passes although guarantees are violated over time."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from tools.fleet.searcher import ReceivedRequest, SentStatement
from tools.fleet.site import Answer
from tools.soak.checks import check_run
from tools.soak.run import _check_answer
from tools.soak.site import (
    BOUNDS,
    BURST_COUNT,
    LIMITED,
    NOBODY,
    RATE_PER_S,
    Evacuation,
    Period,
    SoakCall,
    SoakSite,
)

if TYPE_CHECKING:
    from pathlib import Path

ENTRY_IP = '127.0.0.9'
BORN_MS = 1


@pytest.fixture
def site(tmp_path: Path) -> SoakSite:
    """Return a site that runs nothing."""
    return SoakSite(tmp_path)


def add_call(site: SoakSite, from_s: float, status: int = 200, kind: str = 'one') -> str:
    request_id = f'q{len(site.calls)}'
    answer = Answer(request_id, status, {}, b'', 0.1)
    site.calls.append(SoakCall(kind, Period(ENTRY_IP, from_s, from_s + 0.1), answer))
    return request_id


def add_request(site: SoakSite, request_id: str, at_s: float, ran: bool = True) -> None:
    site.searchers[0].received_requests.append(
        ReceivedRequest(request_id, 'GET', '/one/x', (), b'', at_s, ran, ENTRY_IP, BORN_MS)
    )


def violation_count(site: SoakSite) -> int:
    return len(list(check_run(site)))


@pytest.mark.parametrize(
    ('kind', 'status', 'run_count', 'expected'),
    [('one', 503, 0, 0), ('one', 504, 2, 0), ('one', 503, 1, 1), ('once', 200, 2, 1)],
)
def test_run_after_the_answer_is_reported(
    site: SoakSite, kind: str, status: int, run_count: int, expected: int
) -> None:
    """Guard against refusals that are not final."""
    request_id = add_call(site, 1.0, status, kind)
    add_request(site, request_id, 2.0, ran=False)
    for _ in range(run_count):
        add_request(site, request_id, 2.0)
    assert violation_count(site) == expected


@pytest.mark.parametrize(('from_s', 'expected'), [(8.0, 0), (9.95, 1), (11.0, 1), (12.1, 0)])
def test_call_cut_by_a_stop_is_reported(site: SoakSite, from_s: float, expected: int) -> None:
    """Guard against a planned stop that cuts what it has received."""
    site.stops.append(Period(ENTRY_IP, 10.0, 12.0))
    site.stops.append(Period('127.0.0.10', 0.0, 99.0))
    add_call(site, from_s, status=0)
    add_call(site, from_s)
    assert violation_count(site) == expected


@pytest.mark.parametrize(
    ('times_s', 'disturbed_ip', 'expected'),
    [
        ((10.1, 10.2, 10.3, 10.4, 13.1, 13.2, 13.3), '', 0),
        ((11.0, 12.0), '', 0),
        ((11.0, 12.0, 12.9), '', 1),
        ((11.0, 12.0, 12.9), ENTRY_IP, 0),
        ((11.0, 12.0, 12.9), '127.0.0.10', 1),
    ],
)
def test_request_during_a_rest_is_reported(
    site: SoakSite, times_s: tuple[float, ...], disturbed_ip: str, expected: int
) -> None:
    """Guard against requests to an endpoint that has asked for a rest of 3 s."""
    site.searchers[0].statements.append(SentStatement(ENTRY_IP, 10.0, BORN_MS, 3.0))
    for at_s in times_s:
        add_request(site, 'q', at_s)
    if disturbed_ip:
        site.disturbances.append(Period(disturbed_ip, 11.5, 11.6))
    assert violation_count(site) == expected


@pytest.mark.parametrize(
    ('called_s', 'born_ms', 'expected'), [(12.9, 1, 0), (13.1, 1, 1), (13.1, 2, 0)]
)
def test_request_to_a_leaving_endpoint_is_reported(
    site: SoakSite, called_s: float, born_ms: int, expected: int
) -> None:
    """Guard against requests to a run of an endpoint that has said that it leaves."""
    site.searchers[0].statements += [
        SentStatement(ENTRY_IP, at_s, born_ms, None) for at_s in (10.0, 12.5)
    ]
    add_request(site, add_call(site, called_s), called_s + 0.05)
    assert violation_count(site) == expected


@pytest.mark.parametrize(('stamp', 'expected'), [('q1.single.3', 0), ('q2.single.3', 1), ('', 1)])
def test_reply_to_another_request_is_reported(site: SoakSite, stamp: str, expected: int) -> None:
    """Guard against crossed replies to single requests."""
    _check_answer(site, 'one', Answer('q1', 200, {'X-Response-Stamp': stamp}, b'', 0.1))
    assert len(site.violations) == expected


@pytest.mark.parametrize(
    ('organisation', 'headers', 'status', 'expected'),
    [
        ('east', (('X-Tenant', 'east'),), 200, 0),
        ('east', (('X-Tenant', 'west'),), 200, 1),
        ('east', (), 200, 1),
        ('east', (('X-Tenant', 'east'), ('Authorization', 'Bearer k')), 200, 1),
        ('east', None, 401, 1),
        (NOBODY, None, 401, 0),
        (NOBODY, (), 200, 1),
    ],
)
def test_wrong_organisation_is_reported(
    site: SoakSite,
    organisation: str,
    headers: tuple[tuple[str, str], ...] | None,
    status: int,
    expected: int,
) -> None:
    """Guard against keys that are refused, that identify another organisation or that leak."""
    request_id = add_call(site, 1.0, status)
    site.calls[-1] = replace(site.calls[-1], organisation=organisation)
    if headers is not None:
        add_request(site, request_id, 1.0)
        received = site.searchers[0].received_requests
        received[-1] = replace(received[-1], headers=headers)
    assert violation_count(site) == expected


def test_exceeded_allotment_is_reported(site: SoakSite) -> None:
    """Guard against more requests in a window than all instances together may admit."""
    window_s = BOUNDS.allotment_window_s
    allowed_count = int(1.1 * (RATE_PER_S * window_s + BURST_COUNT)) + BOUNDS.allotment_slack_count
    for number in range(allowed_count):
        request_id = add_call(site, number / 1_000)
        site.calls[-1] = replace(site.calls[-1], organisation=LIMITED)
        add_request(site, request_id, number / 1_000)
    received = site.searchers[0].received_requests
    received[:] = [replace(each, headers=(('X-Tenant', LIMITED),)) for each in received]
    assert violation_count(site) == 0
    for at_s, expected in ((window_s, 0), (window_s / 2, 1)):
        request_id = add_call(site, at_s)
        site.calls[-1] = replace(site.calls[-1], organisation=LIMITED)
        add_request(site, request_id, at_s)
        received[-1] = replace(received[-1], headers=(('X-Tenant', LIMITED),))
        assert violation_count(site) == expected


@pytest.mark.parametrize(
    ('at_s', 'disturbed_ip', 'expected'),
    [(12.9, '', 0), (13.1, '', 1), (13.1, ENTRY_IP, 0), (13.1, '127.0.0.10', 1), (15.1, '', 0)],
)
def test_request_to_an_evacuated_endpoint_is_reported(
    site: SoakSite, at_s: float, disturbed_ip: str, expected: int
) -> None:
    """Guard against requests to a failure domain after its evacuation was confirmed."""
    domain = site.searchers[0].failure_domain
    site.evacuations.append(Evacuation(domain, 10.0, 15.0))
    site.evacuations.append(Evacuation('another', 0.0, 99.0))
    add_request(site, 'q', at_s)
    if disturbed_ip:
        site.disturbances.append(Period(disturbed_ip, 12.0, 12.1))
    assert violation_count(site) == expected
