"""Guard against a process that runs out of file descriptors."""

from __future__ import annotations

import random

import pytest

from pistachioloft_core.messages.fleet import ENDPOINT_READY, AnnouncedEndpoint, ReceivedEndpoint
from pistachioloft_core.messages.routes import RouteSet, ServiceRule
from pistachioloft_core.process.endpoint_table import apply_update, remove_missing_endpoints
from pistachioloft_core.request.routed_state import (
    RoutedState,
    SharedLimits,
    endpoint_connection_limit,
    set_routes,
)
from pistachioloft_core.version.route_table import RouteTable
from pistachioloft_daemon.descriptors import divide_descriptors

CONNECTION_LIMIT = 26
# Each shard has two replicas. The tests cover a small entry instance that alone serves 20 shards,
# before and after a change of all shards, and a large one.
SHARD_COUNT = 20


def make_state(descriptor_count: int, shard_count: int) -> RoutedState:
    shares = divide_descriptors(descriptor_count)
    limits = SharedLimits(0.2, 50.0, shares.endpoint_count)
    state = RoutedState('entry', 'a', limits, random.Random(1))
    names = [f's{number}' for number in range(shard_count)]
    rules = tuple(ServiceRule(name, '/health', CONNECTION_LIMIT) for name in names)
    set_routes(state, RouteTable(RouteSet(1, (), rules)))
    received = tuple(
        ReceivedEndpoint(
            AnnouncedEndpoint(
                f'{name}-{replica}', name, f'10.0.{replica}.1:80', 'a', 2, ENDPOINT_READY, 1, 1
            ),
            0.0,
        )
        for name in names
        for replica in range(2)
    )
    apply_update(state.table, 0.0, received, True)
    return state


@pytest.mark.parametrize('descriptor_count', [300, 600, 4_100])
@pytest.mark.parametrize('shard_count', [SHARD_COUNT, 50, 130])
def test_connections_fit_the_descriptors(descriptor_count: int, shard_count: int) -> None:
    """Guard against endpoint connections that use up the descriptors of callers and instances."""
    state = make_state(descriptor_count, shard_count)
    shares = divide_descriptors(descriptor_count)
    to_endpoints = sum(2 * endpoint_connection_limit(state, name) for name in state.table.services)
    # Each endpoint gets at least one connection, even if there are fewer descriptors.
    assert to_endpoints <= max(shares.endpoint_count, 2 * shard_count)
    # A connection may take two descriptors, and a tenth is reserved for everything else.
    assert 2 * (shares.endpoint_count + shares.caller_count) <= 0.9 * descriptor_count
    assert 2 * (shares.control_count + shares.caller_count) <= 0.9 * descriptor_count
    assert 1 <= shares.readiness_count <= 0.02 * descriptor_count


def test_ample_descriptors_do_not_limit_connections() -> None:
    """Guard against a limit that reduces capacity although descriptors are plentiful."""
    assert endpoint_connection_limit(make_state(4_100, SHARD_COUNT), 's0') == round(
        CONNECTION_LIMIT * 0.55
    )


def test_removed_endpoints_release_their_connection_share() -> None:
    """Guard against a connection share that shrinks with each change of the shards."""
    state = make_state(600, SHARD_COUNT)
    before = endpoint_connection_limit(state, 's0')
    kept = [
        ReceivedEndpoint(load.record, 0.0)
        for load in state.table.endpoints.values()
        if load.record.service in ('s0', 's1')
    ]
    remove_missing_endpoints(state.table, kept)
    assert state.table.usable_count == 4
    assert endpoint_connection_limit(state, 's0') > before
