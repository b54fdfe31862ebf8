"""Tests of the fleet commands: problems of a fleet must be visible to operators."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from pistachioloft_core.messages.operator import VoterStatus
from pistachioloft_core.messages.report import (
    AnnouncedReport,
    BudgetReport,
    EntryReport,
    FleetReport,
    OrganisationReport,
    SuspectReport,
)

from .fake_instance import FakeInstance, closed_address

if TYPE_CHECKING:
    from collections.abc import Callable

    from .conftest import Run

    MakeInstance = Callable[[], FakeInstance]

ENTRY = FleetReport(
    instance='10.1.0.9',
    label='front-1',
    role='entry',
    failure_domain='north',
    serving=True,
    stopping=False,
    route_version=6,
    confirmed_age_ms=120.0,
    control_instances=('10.1.0.1',),
    endpoints=(
        AnnouncedReport('i-1', 's1', 'north', '10.3.0.1:80', 'ready', True),
        AnnouncedReport('i-2', 's1', 'north', '10.3.0.2:80', 'draining', False),
        AnnouncedReport('i-3', 's1', 'east', '10.3.0.3:80', 'ready', True, 2, 1, True),
    ),
    budgets=(BudgetReport('s1', 3.25, 9.0, 200, 17),),
    suspects=(SuspectReport('ab12', 'condemned'),),
)
CONTROL = FleetReport(
    instance='10.1.0.1',
    label='core-1',
    role='control',
    failure_domain='north',
    serving=True,
    stopping=False,
    route_version=7,
    confirmed_age_ms=None,
    control_instances=('10.1.0.2',),
    voters=VoterStatus('10.1.0.1', 4, 31, ('a', 'b', 'c'), (), 1),
    entries=(EntryReport('10.1.0.9', 'north', True, False, True, 6, 3, 150.0),),
    endpoints=(AnnouncedReport('i-4', 's2', 'east', '10.3.0.4:80', 'silent', False),),
)


def serve(make_instance: MakeInstance, report: FleetReport) -> str:
    return make_instance().set_replies('GET', '/report', report).address


def test_lagging_version_leader_and_unusable_endpoints_are_shown(
    run: Run, make_instance: MakeInstance
) -> None:
    """Guard against hiding entry instances with an older version and impaired endpoints."""
    entry, control = serve(make_instance, ENTRY), serve(make_instance, CONTROL)
    result = run('fleet', 'status', '--at', entry, '--at', control)
    assert result.exit_code == 0
    assert 'Newest version: 7. Not in force on: 10.1.0.9 (6).' in result.out
    assert 'Leader: 10.1.0.1, term 4, index 31.' in result.out
    assert 'can still be lost: 1.' in result.out
    lines = [line.split() for line in result.out.splitlines()]
    shown = {line[0]: line[4] for line in lines if line and line[0].startswith('i-')}
    assert shown == {'i-2': 'draining', 'i-3': 'avoided', 'i-4': 'silent'}
    assert '3.2 of 9.0' in result.out
    assert '10.1.0.9: content ab12 is condemned' in result.out


def test_every_endpoint_is_listed_on_demand(run: Run, make_instance: MakeInstance) -> None:
    """Guard against `--endpoints` listing only the endpoints that need attention."""
    result = run('fleet', 'status', '--endpoints', '--at', serve(make_instance, ENTRY))
    assert {word for word in result.out.split() if word.startswith('i-')} == {'i-1', 'i-2', 'i-3'}
    assert 'No given address is a voter; the leader is not known.' in result.out


def test_leader_of_the_newest_term_is_shown(run: Run, make_instance: MakeInstance) -> None:
    """Guard against showing a former leader that still reports from behind a partition."""
    assert CONTROL.voters is not None
    newer = replace(CONTROL, voters=replace(CONTROL.voters, leader='10.1.0.3', term=5))
    old, new = serve(make_instance, CONTROL), serve(make_instance, newer)
    result = run('fleet', 'status', '--at', old, '--at', new)
    assert 'Leader: 10.1.0.3, term 5' in result.out


def test_unreachable_instance_is_named_and_exits_as_partial(
    run: Run, make_instance: MakeInstance
) -> None:
    """Guard against output that looks complete although an instance sent no report."""
    unreachable = closed_address()
    result = run('fleet', 'status', '--at', serve(make_instance, ENTRY), '--at', unreachable)
    assert result.exit_code == 3
    assert f'{unreachable}: gave no report' in result.out
    document = run('fleet', 'status', '--json', '--at', serve(make_instance, ENTRY)).document
    assert document['reports'][0]['route_version'] == 6
    assert run('fleet', 'status', '--at', unreachable).exit_code == 5


def test_what_endpoints_say_and_cut_off_instances_are_shown(
    run: Run, make_instance: MakeInstance
) -> None:
    """Guard against hiding why an endpoint gets no requests, or an instance no callers."""
    sound = AnnouncedReport('i-1', 's1', 'north', '10.3.0.1:80', 'ready', True)
    entry = replace(
        ENTRY,
        endpoints=(
            sound,
            replace(sound, endpoint='i-2', rest_left_ms=2_140.0, breaker_open=True),
            replace(sound, endpoint='i-3', leaving=True, usable=False),
            replace(sound, endpoint='i-4', limit_per_s=7.5),
        ),
    )
    control = replace(CONTROL, entries=(replace(CONTROL.entries[0], cut_off=True),), endpoints=())
    addresses = serve(make_instance, entry), serve(make_instance, control)
    result = run('fleet', 'status', '--at', addresses[0], '--at', addresses[1])
    lines = [' '.join(line.split()) for line in result.out.splitlines()]
    assert not any(line.startswith('i-1') for line in lines)
    assert any(line.startswith('i-2') and 'rests 2.1 s' in line for line in lines)
    assert any(line.startswith('i-3') and 'leaving' in line for line in lines)
    assert any(line.startswith('i-4') and 'limit 7.5/s' in line for line in lines)
    assert any(line.startswith('10.1.0.9 north cut off') for line in lines)


def test_evacuations_are_shown(run: Run, make_instance: MakeInstance) -> None:
    """Guard against hiding that a failure domain is evacuated, or who does not know it yet."""
    out = AnnouncedReport('i-1', 's1', 'north', '10.3.0.1:80', 'ready', False, evacuated=True)
    gone = replace(out, endpoint='i-2', standing='left')
    control = replace(CONTROL, evacuated_domains=('north',), endpoints=(out, gone))
    addresses = serve(make_instance, control), serve(make_instance, ENTRY)
    result = run('fleet', 'status', '--at', addresses[0], '--at', addresses[1])
    lines = [' '.join(line.split()) for line in result.out.splitlines()]
    assert f'Evacuated: north. Not known on: {ENTRY.instance}.' in lines
    assert any(line.startswith('i-1') and 'evacuated' in line for line in lines)
    assert any(line.startswith('i-2') and 'left' in line for line in lines)
    plain = run('fleet', 'status', '--at', addresses[1])
    assert 'Evacuated' not in plain.out


def test_organisations_are_summed_over_the_instances(run: Run, make_instance: MakeInstance) -> None:
    """Guard against hiding which organisations are refused beyond their allotments."""
    busy = OrganisationReport('east', 2.5, 10.0, 7, 30)
    quiet = OrganisationReport('west', 4.0, 0.0, 12, 0)
    first = replace(ENTRY, organisations=(busy, quiet))
    second = replace(ENTRY, instance='10.1.0.10', organisations=(busy,))
    addresses = serve(make_instance, first), serve(make_instance, second)
    result = run('fleet', 'status', '--at', addresses[0], '--at', addresses[1])
    lines = [' '.join(line.split()) for line in result.out.splitlines()]
    assert lines.index('east 2.5 10 14 60') + 1 == lines.index('west 4 0 12 0')
