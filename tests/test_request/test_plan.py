"""Guard against plans that mix versions, overload one endpoint or trust misleading reports."""

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
from pistachioloft_core.version.cluster_view import build_view
from tests.test_request.request_support import make_routing
from tools.virtual_cluster import make_accepted, make_cluster, make_endpoint, make_request

if TYPE_CHECKING:
    from pistachioloft_core.request.routing import RoutingState


def count_choices(routing: RoutingState, count: int = 400) -> collections.Counter[str]:
    counts: collections.Counter[str] = collections.Counter()
    for _ in range(count):
        plan = plan_query(routing, 1_000.0, make_request())
        assert plan is not None
        counts.update(item.endpoint.endpoint for item in plan.attempts)
    return counts


HELD = st.lists(st.sets(st.sampled_from(('a', 'b', 'c')), max_size=3), min_size=1, max_size=4)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(HELD, st.booleans())
def test_plan_uses_newest_version_with_best_coverage(
    held_shards: list[set[str]], has_unaccepted: bool
) -> None:
    """Guard against a snapshot that is older or covers fewer shards than necessary."""
    shards = {'a': 's1', 'b': 's1', 'c': 's2'}
    accepted = make_accepted(dict.fromkeys(range(1, len(held_shards) + 1), shards))
    endpoints = []
    for number, names in enumerate(held_shards, 1):
        for name in names:
            endpoints.append(
                make_endpoint(f'{number}{name}', shards[name], {number: (name, 'unlisted')})
            )
    if has_unaccepted:
        # An announced version that is not accepted, and shards held by another service.
        endpoints.append(make_endpoint('new', 's1', {99: ('a', 'b', 'c')}))
        endpoints.append(make_endpoint('other', 's9', {1: ('a', 'b', 'c')}))
    plan = plan_query(make_routing(accepted, tuple(endpoints)), 0.0, make_request())
    assert plan is not None
    best = max(
        range(1, len(held_shards) + 1), key=lambda number: (len(held_shards[number - 1]), number)
    )
    assert plan.version.version == best
    planned = sorted(shard for item in plan.attempts for shard in item.shards)
    assert planned == sorted(held_shards[best - 1])
    assert plan.missing == tuple(name for name in 'abc' if name not in held_shards[best - 1])
    assert len({item.endpoint.endpoint for item in plan.attempts}) == len(plan.attempts)


def test_equal_endpoints_share_the_load() -> None:
    """Guard against instances that all choose the same endpoint."""
    accepted, endpoints = make_cluster(1, 3)
    for seed in range(3):
        counts = count_choices(make_routing(accepted, endpoints, seed))
        assert min(counts.values()) > 90


@pytest.mark.parametrize('busy', ['slow', 'queue', 'in_flight'])
def test_observed_load_moves_attempts_to_other_endpoint(busy: str) -> None:
    """Guard against attempts on an endpoint that is observed to be slow or busy."""
    accepted, endpoints = make_cluster(1, 2)
    routing = make_routing(accepted, endpoints)
    first, second = endpoints
    if busy == 'in_flight':
        for _ in range(6):
            record_sent(routing.observed, first, 999.0)
    for endpoint in endpoints:
        count_choices(routing, 1)
        slow = endpoint is first and busy == 'slow'
        load = 8 if endpoint is first and busy == 'queue' else 0
        if busy != 'in_flight':
            record_reply(
                routing.observed, endpoint.endpoint, 'e1', 999.0, 60.0 if slow else 6.0, load
            )
    counts = count_choices(routing)
    assert counts[first.endpoint] < 0.1 * counts[second.endpoint]


def test_reported_load_reduces_share_but_never_to_zero() -> None:
    """Guard against a misleading load report that makes a shard unavailable."""
    accepted, endpoints = make_cluster(1, 2)
    full = dataclasses.replace(endpoints[0], reported_slots_in_use=1_000)
    counts = count_choices(make_routing(accepted, (full, endpoints[1])))
    assert 40 < counts[full.endpoint] < 160
    both_full = tuple(dataclasses.replace(item, reported_slots_in_use=1_000) for item in endpoints)
    assert min(count_choices(make_routing(accepted, both_full)).values()) > 100


def test_lost_endpoint_is_avoided_unless_it_is_the_last() -> None:
    """Guard against attempts on a lost endpoint, and against a shard without attempts."""
    accepted, endpoints = make_cluster(1, 2)
    routing = make_routing(accepted, endpoints)
    count_choices(routing, 1)
    record_lost(routing.observed, endpoints[0].endpoint, 'e1', 999.0)
    assert set(count_choices(routing)) == {endpoints[1].endpoint}
    record_lost(routing.observed, endpoints[1].endpoint, 'e1', 999.0)
    assert sum(count_choices(routing).values()) == 400


def test_view_lists_only_shards_of_the_accepted_configuration() -> None:
    """Guard against announcements that shorten or extend the list of shards."""
    accepted = make_accepted({1: {'b': 's1', 'a': 's1'}})
    view = build_view(accepted, (make_endpoint('x', 's1', {1: ('a', 'z')}),))
    (version,) = view.collections['catalogue']
    assert version.shards == ('b', 'a')
    assert version.group_by_shard['b'].endpoints == ()


def test_priority_is_resolved_by_the_rules() -> None:
    """Guard against callers that set the urgent priority without permission."""
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
