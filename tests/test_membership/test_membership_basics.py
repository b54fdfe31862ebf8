"""Test the exchange of soft state between instances without network faults."""

from __future__ import annotations

from dataclasses import replace

from pistachioloft_core.process import membership
from pistachioloft_core.process.ownership import RENEWAL_INTERVAL_MS
from tests.test_membership.network import Network

NAMES = [f'e{number}' for number in range(1, 8)]


def test_announced_endpoint_and_its_owner_are_known_everywhere() -> None:
    """Guard against an endpoint that only the instance that received its announcement can use."""
    network = Network(NAMES)
    network.run(500)
    network.keep_announcing('s1', ['e3'])
    network.run(600)
    assert all(network.usable(name) == {'s1'} for name in NAMES)
    owners = [name for name in NAMES if network.owned(name)]
    assert owners == [network.replies[-1].owner]
    assert network.replies[-1].renew_ms == RENEWAL_INTERVAL_MS
    assert {address.instance for address in network.replies[-1].addresses} == set(NAMES)


def test_endpoints_of_a_silent_instance_get_a_new_owner() -> None:
    """Guard against an endpoint whose owner no longer runs."""
    network = Network(NAMES)
    network.run(500)
    network.keep_announcing('s1', NAMES)
    network.run(1000)
    lost_owner = network.replies[-1].owner
    assert lost_owner is not None
    del network.states[lost_owner]
    network.run(2600)
    remaining = [name for name in NAMES if name != lost_owner]
    for name in remaining:
        live = membership.live_instances(network.states[name], network.now_ms)
        assert {record.instance for record in live} == set(remaining)
        assert network.usable(name) == {'s1'}
    assert network.replies[-1].owner != lost_owner
    assert network.owned(str(network.replies[-1].owner)) == {'s1'}


def test_announcing_endpoint_stays_usable_everywhere() -> None:
    """Guard against an older record, such as a relayed one, that replaces a newer one."""
    network = Network(NAMES)
    network.run(500)
    network.keep_announcing('s1', NAMES)
    network.run(1500)
    for _ in range(100):
        network.run(100)
        assert all(network.usable(name) == {'s1'} for name in NAMES), network.now_ms


def test_restarted_instance_regains_its_share_of_endpoints() -> None:
    """Guard against a rolling restart after which one instance owns no endpoint."""
    network = Network(NAMES)
    network.run(500)
    endpoints = [f's{number:02}' for number in range(42)]
    for endpoint in endpoints:
        network.keep_announcing(endpoint, NAMES)
    network.run(5_000)
    network.states['e1'].own_record = replace(
        network.states['e1'].own_record, stopping=True, sequence=10_000
    )
    network.run(5_000)
    assert network.owned('e1') == set()
    network.states['e1'].own_record = replace(
        network.states['e1'].own_record, stopping=False, sequence=20_000
    )
    network.run(15_000)
    counts = [len(network.owned(name)) for name in NAMES]
    assert sum(counts) == len(endpoints)
    assert min(counts) >= 3
    assert max(counts) <= 9
    owners = {name: network.owned(name) for name in NAMES}
    network.run(10_000)
    assert {name: network.owned(name) for name in NAMES} == owners
