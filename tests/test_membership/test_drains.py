"""Guard against new work for endpoints that are leaving, stopped or out of touch."""

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


def _answer(network: Network, control: dict) -> None:
    """Let every instance observe answers of all endpoints every 100 ms."""
    for name in NAMES:
        for endpoint in ENDPOINTS:
            membership.record_reply(network.states[name], network.now_ms, endpoint)
    if not control['stopped']:
        network.schedule(network.now_ms + 100, lambda: _answer(network, control))


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.integers(0, 2**32),
    st.sets(st.tuples(st.sampled_from(NAMES), st.sampled_from(NAMES)), max_size=12),
    st.sets(st.sampled_from(NAMES), max_size=3),
    st.booleans(),
)
def test_drain_is_known_everywhere_within_three_seconds(
    seed: int, stalled_links: set[tuple[str, str]], deaf: set[str], duplicate: bool
) -> None:
    """Guard against planning work for a leaving endpoint, whatever the feeds do."""
    random_source = Random(seed)
    stalls = False

    def delay_ms(source: str, target: str) -> float | None:
        if stalls and ((source, target) in stalled_links or target in deaf):
            return None
        return random_source.choice([0.5, 0.5, 5.0, 120.0, 400.0])

    network = Network(NAMES, delay_ms)
    network.duplicate = duplicate
    network.run(600)
    controls = [network.keep_announcing(name, random_source.sample(NAMES, 3)) for name in ENDPOINTS]
    network.run(3000)
    assert all(network.usable(name) == set(ENDPOINTS) for name in NAMES)
    _answer(network, {'stopped': False})
    stalls = True
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


def test_one_silent_endpoint_loses_its_lease() -> None:
    """Guard against work for an endpoint that stopped announcing, although it answered lately."""
    network, controls = _network_with_endpoints()
    _answer(network, {'stopped': False})
    controls['s1']['stopped'] = True
    network.run(2500)
    assert all(network.usable(name) == set(ENDPOINTS[1:]) for name in NAMES)


def test_failed_feed_does_not_empty_the_system() -> None:
    """Guard against losing all endpoints because no announcement arrives any more."""
    network, controls = _network_with_endpoints()
    answers = {'stopped': False}
    _answer(network, answers)
    for control in controls.values():
        control['stopped'] = True
    network.run(40_000)
    assert all(network.usable(name) == set(ENDPOINTS) for name in NAMES)
    assert set().union(*(network.owned(name) for name in NAMES)) == set(ENDPOINTS)
    for name in NAMES:
        ownership.record_draining(network.states[name], 's1', 1)
    assert all(network.usable(name) == set(ENDPOINTS[1:]) for name in NAMES)
    answers['stopped'] = True
    network.run(5200)
    assert all(network.usable(name) == set() for name in NAMES)


def test_cut_off_owner_gives_up_its_endpoints_within_a_lease() -> None:
    """Guard against an owner that works on after another one took over its endpoints."""
    cut = False

    def delay_ms(source: str, target: str) -> float | None:
        return None if cut and lone in (source, target) else 0.5

    lone = ''
    targets = list(NAMES)
    network, _ = _network_with_endpoints(targets, delay_ms)
    lone = max(NAMES, key=lambda name: len(network.owned(name)))
    assert network.owned(lone)
    _answer(network, {'stopped': False})
    cut = True
    targets.remove(lone)
    network.run(2600)
    assert network.owned(lone) == set()
    others = [network.owned(name) for name in NAMES if name != lone]
    assert set().union(*others) == set(ENDPOINTS)


def test_drain_said_in_a_reply_spreads() -> None:
    """Guard against a drain that only the owner of the endpoint knows."""
    network, _ = _network_with_endpoints()
    ownership.record_draining(network.states['e4'], 's1', 1)
    network.run(PULL_INTERVAL_MS + 150)
    assert all('s1' not in network.usable(name) for name in NAMES)


def test_old_announcement_does_not_revive_a_drained_endpoint() -> None:
    """Guard against an announcement that was held up until the record had been dropped."""
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


def test_drain_counts_although_it_arrives_after_later_announcements() -> None:
    """Guard against dropping a drain because a newer announcement overtook it."""
    network = Network(['e1'])
    network.run(500)
    network.announce('e1', make_announcement('s1', 7))
    network.announce('e1', make_announcement('s1', 6, draining=True))
    assert network.usable('e1') == set()


def test_owner_stops_sending_when_the_drain_is_relayed() -> None:
    """Guard against an owner that waits for its next pull to hear of a drain."""
    network, _ = _network_with_endpoints()
    holder = next(name for name in NAMES if 's1' in network.owned(name))
    other = next(name for name in NAMES if name != holder)
    network.announce(other, make_announcement('s1', 1000, draining=True))
    network.run(1)
    state = owner.OwnerState(holder)
    for record in ownership.owned_endpoints(network.states[holder], network.now_ms):
        owner.update_endpoint(state, network.now_ms, record)
    assert state.endpoints['s1'].draining
