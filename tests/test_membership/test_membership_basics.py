"""Guard the ordinary exchange of soft state."""

from __future__ import annotations

from dataclasses import replace

from pistachioloft_core.process import membership
from pistachioloft_core.process.ownership import RENEWAL_INTERVAL_MS
from tests.test_membership.network import Network

NAMES = [f'e{number}' for number in range(1, 8)]


def test_every_instance_learns_an_endpoint_and_one_owner() -> None:
    """Guard against an endpoint that only the instance it announced to knows."""
    network = Network(NAMES)
    network.run(500)
    network.keep_announcing('s1', ['e3'])
    network.run(600)
    assert all(network.usable(name) == {'s1'} for name in NAMES)
    owners = [name for name in NAMES if network.owned(name)]
    assert owners == [network.replies[-1].owner]
    assert network.replies[-1].renew_ms == RENEWAL_INTERVAL_MS
    assert {address.instance for address in network.replies[-1].addresses} == set(NAMES)


def test_silent_instance_is_not_live_and_its_endpoints_move() -> None:
    """Guard against an endpoint whose owner is gone."""
    network = Network(NAMES)
    network.run(500)
    network.keep_announcing('s1', NAMES)
    network.run(1000)
    gone = network.replies[-1].owner
    assert gone is not None
    del network.states[gone]
    network.run(2600)
    rest = [name for name in NAMES if name != gone]
    for name in rest:
        live = membership.live_instances(network.states[name], network.now_ms)
        assert {record.instance for record in live} == set(rest)
        assert network.usable(name) == {'s1'}
    assert network.replies[-1].owner != gone
    assert network.owned(str(network.replies[-1].owner)) == {'s1'}


def test_endpoint_that_announces_itself_stays_usable_everywhere() -> None:
    """Guard against an older record, such as a relayed one, that hides a younger one."""
    network = Network(NAMES)
    network.run(500)
    network.keep_announcing('s1', NAMES)
    network.run(1500)
    for _ in range(100):
        network.run(100)
        assert all(network.usable(name) == {'s1'} for name in NAMES), network.now_ms


def test_restarted_instance_gets_its_share_of_endpoints_again() -> None:
    """Guard against a rolling restart after which one instance owns nothing."""
    network = Network(NAMES)
    network.run(500)
    endpoints = [f's{number:02}' for number in range(42)]
    for endpoint in endpoints:
        network.keep_announcing(endpoint, NAMES)
    network.run(5_000)
    network.states['e1'].own = replace(network.states['e1'].own, stopping=True, sequence=10_000)
    network.run(5_000)
    assert network.owned('e1') == set()
    network.states['e1'].own = replace(network.states['e1'].own, stopping=False, sequence=20_000)
    network.run(15_000)
    counts = [len(network.owned(name)) for name in NAMES]
    assert sum(counts) == len(endpoints)
    assert min(counts) >= 3
    assert max(counts) <= 9
    owners = {name: network.owned(name) for name in NAMES}
    network.run(10_000)
    assert {name: network.owned(name) for name in NAMES} == owners
