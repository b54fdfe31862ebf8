"""Guard against new requests to endpoints that are leaving, stopped or unreachable."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.connection import owner
from pistachioloft_core.process import membership, ownership
from pistachioloft_core.process.membership import PULL_INTERVAL_MS
from tests.test_membership.network import Network, make_announcement

if TYPE_CHECKING:
    from collections.abc import Callable

NAMES = [f'e{number}' for number in range(1, 8)]
ENDPOINTS = [f's{number}' for number in range(1, 7)]


def _reply_continuously(network: Network, control: dict) -> None:
    """Let every instance receive replies of all endpoints every 100 ms."""
    for name in NAMES:
        for endpoint in ENDPOINTS:
            membership.record_reply(network.states[name], network.now_ms, endpoint)
    if not control['stopped']:
        network.schedule(network.now_ms + 100, lambda: _reply_continuously(network, control))


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.integers(0, 2**32),
    st.sets(st.tuples(st.sampled_from(NAMES), st.sampled_from(NAMES)), max_size=12),
    st.sets(st.sampled_from(NAMES), max_size=3),
    st.booleans(),
)
def test_drain_reaches_every_instance_within_three_seconds(
    seed: int, stalled_links: set[tuple[str, str]], unreachable: set[str], duplicate: bool
) -> None:
    """Guard against requests to a leaving endpoint while links are stalled or slow."""
    random_source = Random(seed)
    are_stalled = False

    def delay_ms(source: str, target: str) -> float | None:
        if are_stalled and ((source, target) in stalled_links or target in unreachable):
            return None
        return random_source.choice([0.5, 0.5, 5.0, 120.0, 400.0])

    network = Network(NAMES, delay_ms)
    network.duplicate = duplicate
    network.run(600)
    controls = [network.keep_announcing(name, random_source.sample(NAMES, 3)) for name in ENDPOINTS]
    network.run(3000)
    assert all(network.usable(name) == set(ENDPOINTS) for name in NAMES)
    _reply_continuously(network, {'stopped': False})
    are_stalled = True
    network.run(random_source.uniform(0, 2000))
    controls[0]['fields'] = {'draining': True}
    network.run(500)
    drain_ms = network.now_ms
    network.run(2500)
    for name in NAMES:
        assert 's1' not in network.usable(name), f'{name} {network.now_ms - drain_ms}'
    still_usable = set().union(*(network.usable(name) for name in NAMES))
    assert still_usable >= set(ENDPOINTS[1:])


def _network_with_endpoints(
    targets: list[str] = NAMES, delay_ms: Callable[[str, str], float | None] | None = None
) -> tuple[Network, dict[str, dict]]:
    network = Network(NAMES, delay_ms)
    network.run(600)
    controls = {name: network.keep_announcing(name, targets) for name in ENDPOINTS}
    network.run(3000)
    return network, controls


def test_silent_endpoint_loses_its_lease() -> None:
    """Guard against requests to an endpoint that stopped announcing but replied recently."""
    network, controls = _network_with_endpoints()
    _reply_continuously(network, {'stopped': False})
    controls['s1']['stopped'] = True
    network.run(2500)
    assert all(network.usable(name) == set(ENDPOINTS[1:]) for name in NAMES)


def test_failed_feed_keeps_replying_endpoints_usable() -> None:
    """Guard against the loss of all endpoints when no more announcements arrive."""
    network, controls = _network_with_endpoints()
    reply_control = {'stopped': False}
    _reply_continuously(network, reply_control)
    for control in controls.values():
        control['stopped'] = True
    network.run(40_000)
    assert all(network.usable(name) == set(ENDPOINTS) for name in NAMES)
    assert set().union(*(network.owned(name) for name in NAMES)) == set(ENDPOINTS)
    for name in NAMES:
        ownership.record_draining(network.states[name], 's1', 1)
    assert all(network.usable(name) == set(ENDPOINTS[1:]) for name in NAMES)
    reply_control['stopped'] = True
    network.run(5200)
    assert all(network.usable(name) == set() for name in NAMES)


def test_isolated_owner_releases_its_endpoints_within_a_lease() -> None:
    """Guard against an owner that continues after another one has taken over its endpoints."""
    is_cut = False

    def delay_ms(source: str, target: str) -> float | None:
        return None if is_cut and isolated in (source, target) else 0.5

    isolated = ''
    targets = list(NAMES)
    network, _ = _network_with_endpoints(targets, delay_ms)
    isolated = max(NAMES, key=lambda name: len(network.owned(name)))
    assert network.owned(isolated)
    _reply_continuously(network, {'stopped': False})
    is_cut = True
    targets.remove(isolated)
    network.run(2600)
    assert network.owned(isolated) == set()
    others = [network.owned(name) for name in NAMES if name != isolated]
    assert set().union(*others) == set(ENDPOINTS)


def test_drain_announced_in_a_reply_is_shared() -> None:
    """Guard against a drain that the owner of the endpoint does not share with other instances."""
    network, _ = _network_with_endpoints()
    ownership.record_draining(network.states['e4'], 's1', 1)
    network.run(PULL_INTERVAL_MS + 150)
    assert all('s1' not in network.usable(name) for name in NAMES)


def test_old_announcement_does_not_restore_a_drained_endpoint() -> None:
    """Guard against an announcement that is delayed until the record was dropped."""
    network = Network(['e1'])
    network.run(500)
    network.announce('e1', make_announcement('s1', 5))
    network.announce('e1', make_announcement('s1', 6, draining=True))
    network.run(60_000)
    network.announce('e1', make_announcement('s2', 1))
    assert set(network.states['e1'].endpoints) == {'s2'}
    network.announce('e1', make_announcement('s1', 4))
    network.announce('e1', make_announcement('s1', 7))
    assert network.usable('e1') == {'s2'}
    network.announce('e1', make_announcement('s1', 1, incarnation=2))
    assert network.usable('e1') == {'s1', 's2'}


def test_drain_that_arrives_after_later_announcements_is_applied() -> None:
    """Guard against a drain that is dropped because a newer announcement arrived first."""
    network = Network(['e1'])
    network.run(500)
    network.announce('e1', make_announcement('s1', 7))
    network.announce('e1', make_announcement('s1', 6, draining=True))
    assert network.usable('e1') == set()


def test_owner_stops_sending_when_the_drain_is_relayed() -> None:
    """Guard against an owner that receives a drain only with its next pull."""
    network, _ = _network_with_endpoints()
    owner_name = next(name for name in NAMES if 's1' in network.owned(name))
    other = next(name for name in NAMES if name != owner_name)
    network.announce(other, make_announcement('s1', 1000, draining=True))
    network.run(1)
    state = owner.OwnerState(owner_name)
    for record in ownership.owned_endpoints(network.states[owner_name], network.now_ms):
        owner.update_endpoint(state, network.now_ms, record)
    assert state.endpoints['s1'].draining
