"""Guard against keys that identify the wrong organisation, and keys that are shown."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.errors import RESULTS, ResultCode, RunStatus
from pistachioloft_core.messages.routes import Organisation, Route, RouteSet, ServiceRule
from pistachioloft_core.messages.routes import WeightedService as Weighted
from pistachioloft_core.request.attempts import Refuse
from pistachioloft_core.request.identification import identify_caller, request_priority
from pistachioloft_core.version.route_table import RouteTable, check_routes

ROUTE = Route('lots', 'h', '/lots/', True, 4_000.0, 500.0, 2, 2, (Weighted('materials'),))
PUBLIC_ROUTE = replace(ROUTE, name='help', path_prefix='/help/', public=True)
RULES = (ServiceRule('materials', '/', 10),)
SECRETS = ('first-secret', 'second-secret', 'third-secret')


def route_set(version: int, *organisations: Organisation) -> RouteSet:
    return RouteSet(version, (ROUTE, PUBLIC_ROUTE), RULES, organisations=organisations)


def identified(version: RouteSet, key: str | None, route: Route = ROUTE) -> str | None:
    found = identify_caller(RouteTable(version), route, key)
    return found.name if isinstance(found, Organisation) else None


def test_key_identifies_its_organisation_in_each_version() -> None:
    """Guard against a key that is moved, dropped or added again and keeps its old meaning."""
    east, west = Organisation('east', SECRETS[:2]), Organisation('west', SECRETS[2:])
    first = route_set(1, east, west)
    assert [identified(first, key) for key in SECRETS] == ['east', 'east', 'west']
    moved = route_set(2, replace(east, keys=SECRETS[:1]), replace(west, keys=SECRETS[1:]))
    assert [identified(moved, key) for key in SECRETS] == ['east', 'west', 'west']
    dropped = route_set(3, replace(east, keys=()), west)
    assert [identified(dropped, key) for key in SECRETS] == [None, None, 'west']
    assert [identified(first, key) for key in SECRETS] == ['east', 'east', 'west']


@pytest.mark.parametrize('key', [None, '', 'other', SECRETS[0] + ' ', SECRETS[0].upper()])
def test_request_without_a_valid_key_is_refused_as_not_run(key: str | None) -> None:
    """Guard against a request without a valid key that runs or has an unclear outcome."""
    table = RouteTable(route_set(1, Organisation('east', SECRETS)))
    refusal = identify_caller(table, ROUTE, key)
    assert isinstance(refusal, Refuse)
    info = RESULTS[refusal.code]
    assert (info.http_status, info.run_status) == (401, RunStatus.NOT_RUN)
    assert identify_caller(table, PUBLIC_ROUTE, key) is None
    assert identified(table.routes, SECRETS[0], PUBLIC_ROUTE) == 'east'
    assert identify_caller(RouteTable(route_set(1)), ROUTE, key) is None


def test_organisation_priority_goes_before_the_routes() -> None:
    """Guard against an organisation whose requests rank by their route."""
    organisation = Organisation('east', SECRETS, priority=0)
    assert request_priority(ROUTE, organisation) == 0
    assert request_priority(ROUTE, replace(organisation, priority=None)) == ROUTE.priority
    assert request_priority(ROUTE, None) == ROUTE.priority


def test_shared_key_is_a_mistake_that_does_not_show_it() -> None:
    """Guard against a key that two organisations hold, and against keys in error messages."""
    east, west = Organisation('east', SECRETS[:2]), Organisation('west', SECRETS[1:])
    mistakes = check_routes(route_set(1, east, west))
    assert mistakes == ('west: a key is also held by east',)
    assert check_routes(route_set(1, east, replace(west, keys=SECRETS[2:]))) == ()
    text = repr((route_set(1, east, west), mistakes))
    assert not any(secret in text for secret in SECRETS)


@pytest.mark.parametrize(
    'organisations',
    [
        (Organisation('east\r\nX-Tenant: west', ('k',)),),
        (Organisation('', ('k',)),),
        (Organisation('east', ('',)),),
        (Organisation('east', ('k',)), Organisation('east', ('l',))),
        (Organisation('east', ('k',), rate_per_s=-1.0),),
        (Organisation('east', ('k',), rate_per_s=1.0, burst_count=-1.0),),
    ],
)
def test_invalid_organisations_are_refused(organisations: tuple[Organisation, ...]) -> None:
    """Guard against organisations that endpoints or allotments cannot tell apart."""
    assert len(check_routes(route_set(1, *organisations))) == 1


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.lists(st.sampled_from('abcdef'), max_size=4), max_size=5))
def test_accepted_organisations_have_each_key_once(keys: list[list[str]]) -> None:
    """Guard against an accepted key that identifies a different organisation."""
    organisations = tuple(
        Organisation(f'o{number}', tuple(dict.fromkeys(held))) for number, held in enumerate(keys)
    )
    version = route_set(1, *organisations)
    holders = [sum(key in each.keys for each in organisations) for key in 'abcdef']
    assert (check_routes(version) == ()) == (max(holders) <= 1)
    if check_routes(version) == ():
        for organisation in organisations:
            for key in organisation.keys:
                assert identified(version, key) == organisation.name
    assert RESULTS[ResultCode.ALLOTMENT_USED].http_status == 429
