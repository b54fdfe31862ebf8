"""Tests of the command that explains placements: operators must see the choice and its reasons."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from pistachioloft_core.errors import RESULTS, ResultCode
from pistachioloft_core.messages.public import ErrorReply
from pistachioloft_core.messages.report import (
    CandidateReport,
    OrganisationPlacement,
    PlacementRefusal,
    PlacementReport,
    ServicePlacement,
)

from .fake_instance import CloseWithoutReply, FakeInstance, UnreadableReply, closed_address

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from .conftest import Run

    MakeInstance = Callable[[], FakeInstance]

KEY = 'key-of-the-east'
SOUND = CandidateReport('i-1', 'north', 'ready', True, 12.25, 1.0, 0.0, 1, 8)
REPORTING = replace(
    SOUND, endpoint='i-2', running_count=2, waiting_count=3, slot_count=2, report_age_ms=40.0
)
REPORT = PlacementReport(
    instance='10.1.0.9',
    failure_domain='north',
    route='all',
    route_version=6,
    priority=1,
    refusal=None,
    admitted_share=1.0,
    organisation=OrganisationPlacement('east', 2.5, 10.0, True, 0.0),
    services=(
        ServicePlacement(
            's1',
            '10.1.0.9',
            'expected to reply first',
            'i-1',
            'i-2',
            'i-3',
            7,
            3,
            (
                replace(REPORTING, expected_latency_ms=30.5),
                SOUND,
                replace(
                    SOUND,
                    endpoint='i-3',
                    expected_latency_ms=9.0,
                    limit_per_s=7.5,
                    has_permit=False,
                ),
                replace(
                    SOUND, endpoint='i-4', expected_latency_ms=70.0, breaker_open=True, cold=True
                ),
                replace(SOUND, endpoint='i-5', standing='draining', usable=False),
                replace(SOUND, endpoint='i-6', usable=False, evacuated=True, distant=True),
                replace(SOUND, endpoint='i-7', rest_left_ms=2_140.0),
            ),
        ),
        ServicePlacement('s2', '10.1.0.8', 'that instance chooses the endpoint'),
    ),
)


def serve(make_instance: MakeInstance, reply: object) -> FakeInstance:
    return make_instance().set_replies('GET', '/placement', reply)


def refusal(code: ResultCode, detail: str) -> ErrorReply:
    return ErrorReply(code, RESULTS[code].run_status, detail)


def test_choice_and_reasons_are_shown(run: Run, make_instance: MakeInstance) -> None:
    """Guard against hiding what is chosen, what comes next, or why an endpoint is not used."""
    fake = serve(make_instance, REPORT)
    result = run('fleet', 'explain-placement', '--at', fake.address, 'h', '/all/x')
    assert result.exit_code == 0
    lines = [' '.join(line.split()) for line in result.out.splitlines()]
    assert lines[:4] == [
        '10.1.0.9 (north): route all, version 6, priority 1',
        'Organisation: east, 2.5/s, burst 10, spare permit here.',
        'Admitted: yes.',
        'Share of such requests that is admitted: 1.00.',
    ]
    assert (
        's1: through 10.1.0.9 to i-1 (expected to reply first), then i-2;'
        ' 7 repeats or 3 hedges left'
    ) in lines
    assert 'i-3 would be faster and lacks a permit' in lines
    rows = {line.split()[0]: line for line in lines if line.startswith('i-')}
    assert rows['i-1'] == 'i-1 north 12.2 1.00 - 1 of 8 usable'
    assert rows['i-2'] == 'i-2 north 30.5 1.00 2+3/2, 40 ms ago 1 of 8 usable'
    assert lines.index(rows['i-1']) < lines.index(rows['i-2']) < lines.index(rows['i-4'])
    assert 'i-3 north 9.0 1.00 - 1 of 8 limit 7.5/s, no permit' in lines
    assert rows['i-4'].endswith('avoided, cold')
    assert rows['i-5'].endswith('draining')
    assert rows['i-6'].endswith('evacuated, distant')
    assert rows['i-7'].endswith('rests 2.1 s')
    assert any(line.startswith('s2: through 10.1.0.8 to - (that instance') for line in lines)


def test_question_is_sent_as_it_was_given(run: Run, make_instance: MakeInstance) -> None:
    """Guard against another path or organisation than the operator asked for."""
    fake = serve(make_instance, REPORT)
    result = run(
        'fleet', 'explain-placement', '--at', fake.address, '--organisation', 'east & co',
        'h', '/all/a%20b&c', '--json',
    )  # fmt: skip
    assert result.document['services'][0]['first_endpoint'] == 'i-1'
    (received,) = fake.received_requests
    assert received.target == '/placement?host=h&path=%2Fall%2Fa%2520b%26c&organisation=east+%26+co'
    assert 'Authorization' not in received.headers


def test_refused_requests_are_explained(run: Run, make_instance: MakeInstance) -> None:
    """Guard against a refusal that looks like an admission."""
    overloaded = PlacementRefusal(200, 'overloaded', 'requests wait 90 ms')
    organisation = OrganisationPlacement('east', 2.5, 10.0, False, 400.0)
    report = replace(REPORT, refusal=overloaded, admitted_share=0.25, organisation=organisation)
    fake = serve(make_instance, report)
    result = run('fleet', 'explain-placement', '--at', fake.address, 'h', '/all/x')
    assert result.exit_code == 0
    assert 'Admitted: no, overloaded (200): requests wait 90 ms.' in result.out
    assert 'that is admitted: 0.25.' in result.out
    assert 'no spare permit, denied for 400 ms.' in result.out


@pytest.mark.parametrize(
    ('code', 'detail'),
    [
        (ResultCode.UNKNOWN_PATH, 'version 6 has no such route'),
        (ResultCode.UNKNOWN_PATH, 'a control instance places no requests'),
        (ResultCode.UNKNOWN_KEY, 'a key that no organisation holds in version 6'),
        (ResultCode.UNKNOWN_CALLER, "version 6 has no organisation 'west'"),
        (ResultCode.FENCED, 'no configuration is confirmed here'),
    ],
)
def test_unknown_requests_exit_as_refused(
    run: Run, make_instance: MakeInstance, code: ResultCode, detail: str
) -> None:
    """Guard against success, or an unclear error, for what the instance does not know."""
    fake = serve(make_instance, refusal(code, detail))
    result = run('fleet', 'explain-placement', '--at', fake.address, 'h', '/all/x')
    assert (result.exit_code, result.out) == (1, '')
    assert f'{code.name.lower()} ({int(code)}): {detail}' in result.err


def test_instances_without_an_answer_exit_as_not_reachable(
    run: Run, make_instance: MakeInstance
) -> None:
    """Guard against success, or another error, where no instance answers."""
    addresses = [
        closed_address(),
        serve(make_instance, UnreadableReply).address,
        serve(make_instance, CloseWithoutReply).address,
    ]
    for address in addresses:
        result = run('fleet', 'explain-placement', '--at', address, 'h', '/all/x')
        assert (result.exit_code, result.out) == (5, '')
        assert result.err


def test_wrong_usage_sends_nothing(run: Run, make_instance: MakeInstance, tmp_path: Path) -> None:
    """Guard against questions that operators did not mean to ask."""
    fake = serve(make_instance, REPORT)
    key_file = tmp_path / 'key'
    key_file.write_text(f'{KEY}\n')
    at = ('fleet', 'explain-placement', '--at', fake.address)
    wrong = [
        (*at, 'h', 'all/x'),
        (*at, 'h'),
        (*at, 'h', '/x', '--organisation', 'east', '--key-file', str(key_file)),
        (*at, 'h', '/x', '--key-file', str(tmp_path / 'none')),
        ('fleet', 'explain-placement', '--at', 'nowhere', 'h', '/x'),
        ('fleet', 'explain-placement', 'h', '/x'),
    ]
    for arguments in wrong:
        assert run(*arguments).exit_code == 2
    for content in ('', f'{KEY}\n{KEY}', f'{KEY}\u00e4'):
        key_file.write_text(content)
        result = run(*at, 'h', '/x', '--key-file', str(key_file))
        assert result.exit_code == 2
        assert KEY not in result.out + result.err
    assert fake.received_requests == []


@pytest.mark.parametrize(
    'reply',
    [REPORT, refusal(ResultCode.UNKNOWN_KEY, 'unknown'), UnreadableReply, CloseWithoutReply],
)
def test_key_is_sent_and_never_shown(
    run: Run, make_instance: MakeInstance, tmp_path: Path, reply: object
) -> None:
    """Guard against a key in the output, or in an address that others log."""
    fake = serve(make_instance, reply)
    key_file = tmp_path / 'key'
    key_file.write_text(f'{KEY}\n')
    for options in ((), ('--json',)):
        result = run(
            'fleet', 'explain-placement', '--at', fake.address, '--key-file', str(key_file),
            'h', '/all/x', *options,
        )  # fmt: skip
        assert result.out or result.err
        assert KEY not in result.out + result.err
    for received in fake.received_requests:
        assert received.headers['Authorization'] == f'Bearer {KEY}'
        assert KEY not in received.target
