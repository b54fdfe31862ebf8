"""Guard against plans that mix versions, herd, or trust a misleading report."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.errors import CodedError, ResultCode
from pistachioloft_core.process.observed import record_lost, record_reply, record_sent
from pistachioloft_core.request.plan import plan_query
from pistachioloft_core.request.replies import resolve_urgent
from pistachioloft_core.version.snapshot import build_view
from tests.test_request.request_support import make_routing
from tools.virtual_cluster import make_accepted, make_cluster, make_endpoint, make_request

if TYPE_CHECKING:
    from pistachioloft_core.request.routing import RoutingState


def choices(routing: RoutingState, count: int = 400) -> collections.Counter[str]:
    counts: collections.Counter[str] = collections.Counter()
    for _ in range(count):
        plan = plan_query(routing, 1_000.0, make_request())
        assert plan is not None
        counts.update(item.endpoint.endpoint for item in plan.attempts)
    return counts


HELD = st.lists(st.sets(st.sampled_from(('a', 'b', 'c')), max_size=3), min_size=1, max_size=4)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(HELD, st.booleans())
def test_plan_takes_one_version_by_the_rule(held: list[set[str]], stray: bool) -> None:
    """Guard against an older or emptier snapshot than could be served."""
    shards = {'a': 's1', 'b': 's1', 'c': 's2'}
    accepted = make_accepted(dict.fromkeys(range(1, len(held) + 1), shards))
    endpoints = []
    for number, names in enumerate(held, 1):
        for name in names:
            endpoints.append(
                make_endpoint(f'{number}{name}', shards[name], {number: (name, 'unlisted')})
            )
    if stray:
        # A version that is announced and not accepted, and a shard of another service.
        endpoints.append(make_endpoint('new', 's1', {99: ('a', 'b', 'c')}))
        endpoints.append(make_endpoint('other', 's9', {1: ('a', 'b', 'c')}))
    plan = plan_query(make_routing(accepted, tuple(endpoints)), 0.0, make_request())
    assert plan is not None
    best = max(range(1, len(held) + 1), key=lambda number: (len(held[number - 1]), number))
    assert plan.version.version == best
    planned = sorted(shard for item in plan.attempts for shard in item.shards)
    assert planned == sorted(held[best - 1])
    assert plan.missing == tuple(name for name in 'abc' if name not in held[best - 1])
    assert len({item.endpoint.endpoint for item in plan.attempts}) == len(plan.attempts)


def test_equal_endpoints_share_the_work() -> None:
    """Guard against instances that herd on one endpoint."""
    accepted, endpoints = make_cluster(1, 3)
    for seed in range(3):
        counts = choices(make_routing(accepted, endpoints, seed))
        assert min(counts.values()) > 90


@pytest.mark.parametrize('busy', ['slow', 'queue', 'in_flight'])
def test_own_observation_moves_the_work(busy: str) -> None:
    """Guard against work for an endpoint that is known to be slow or full."""
    accepted, endpoints = make_cluster(1, 2)
    routing = make_routing(accepted, endpoints)
    first, second = endpoints
    if busy == 'in_flight':
        for _ in range(6):
            record_sent(routing.observed, first, 999.0)
    for endpoint in endpoints:
        choices(routing, 1)
        slow = endpoint is first and busy == 'slow'
        load = 8 if endpoint is first and busy == 'queue' else 0
        if busy != 'in_flight':
            record_reply(
                routing.observed, endpoint.endpoint, 'e1', 999.0, 60.0 if slow else 6.0, load
            )
    counts = choices(routing)
    assert counts[first.endpoint] < 0.1 * counts[second.endpoint]


def test_reports_reduce_a_share_and_never_remove_it() -> None:
    """Guard against a misleading report that takes a shard out of service."""
    accepted, endpoints = make_cluster(1, 2)
    full = dataclasses.replace(endpoints[0], reported_slots_in_use=1_000)
    counts = choices(make_routing(accepted, (full, endpoints[1])))
    assert 40 < counts[full.endpoint] < 160
    both = tuple(dataclasses.replace(item, reported_slots_in_use=1_000) for item in endpoints)
    assert min(choices(make_routing(accepted, both)).values()) > 100


def test_broken_endpoint_is_left_out_but_never_the_last() -> None:
    """Guard against attempts on a lost endpoint, and against a shard without any."""
    accepted, endpoints = make_cluster(1, 2)
    routing = make_routing(accepted, endpoints)
    choices(routing, 1)
    record_lost(routing.observed, endpoints[0].endpoint, 'e1', 999.0)
    assert set(choices(routing)) == {endpoints[1].endpoint}
    record_lost(routing.observed, endpoints[1].endpoint, 'e1', 999.0)
    assert sum(choices(routing).values()) == 400


def test_view_lists_shards_of_the_accepted_configuration_only() -> None:
    """Guard against a shard list that an announcement can shorten or extend."""
    accepted = make_accepted({1: {'b': 's1', 'a': 's1'}})
    view = build_view(accepted, (make_endpoint('x', 's1', {1: ('a', 'z')}),))
    (version,) = view.collections['catalogue']
    assert version.shards == ('b', 'a')
    assert version.group_of['b'].endpoints == ()


def test_priority_comes_from_the_rules() -> None:
    """Guard against a caller that makes itself urgent."""
    view = build_view(*make_cluster())
    assert resolve_urgent(view, make_request(caller='field'))
    assert not resolve_urgent(view, make_request())
    for change, code in (
        ({'priority': 'urgent'}, ResultCode.PRIORITY_NOT_ALLOWED),
        ({'priority': 'soon'}, ResultCode.OUT_OF_RANGE),
        ({'caller': 'nobody'}, ResultCode.UNKNOWN_CALLER),
    ):
        with pytest.raises(CodedError) as caught:
            resolve_urgent(view, dataclasses.replace(make_request(), **change))
        assert caught.value.code is code
