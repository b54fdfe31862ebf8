"""Guard against an instance that misses, or imagines, that it is cut off from all endpoints."""

from __future__ import annotations

import random
from itertools import pairwise

import pytest

from pistachioloft_core.connection.endpoint_load import EndpointLoad
from pistachioloft_core.connection.reach import (
    PROBE_TIMEOUT_MS,
    EndpointReach,
    choose_probes,
    decide_cut_off,
    forget_endpoints,
    record_connected,
    record_failed,
    record_overdue,
    record_replied,
)
from pistachioloft_core.messages.fleet import ENDPOINT_READY, AnnouncedEndpoint

NAMES = [f'e{number}' for number in range(20)]
LOADS = [
    EndpointLoad(AnnouncedEndpoint(name, 's', '10.0.0.1:80', 'a', 2, ENDPOINT_READY, 1, 1), 0.0)
    for name in NAMES
]


class Links:
    """Hold the reach of an instance in virtual time, and which endpoints accept connections."""

    def __init__(self, seed: int = 1) -> None:
        self.reach = EndpointReach()
        self.random = random.Random(seed)
        self.reachable = set(NAMES)
        self.hanging = False
        self.now_ms = 0.0
        self.cut_off_ms: list[float] = []

    def tick(self) -> list[str]:
        """Advance by 50 ms and return the endpoints that were probed."""
        self.now_ms += 50.0
        if decide_cut_off(self.reach, self.now_ms):
            self.cut_off_ms.append(self.now_ms)
        probes = choose_probes(self.reach, self.now_ms, LOADS, self.random)
        for load in probes:
            name = load.record.endpoint
            if name in self.reachable:
                record_connected(self.reach, self.now_ms, name, len(LOADS))
            elif not self.hanging:
                record_failed(self.reach, self.now_ms, name)
        return [load.record.endpoint for load in probes]

    def run(self, duration_ms: float) -> int:
        """Advance by a duration and return the number of probes."""
        return sum(len(self.tick()) for _ in range(round(duration_ms / 50.0)))


@pytest.mark.parametrize('hanging', [False, True])
def test_instance_without_any_connection_is_cut_off_and_recovers(hanging: bool) -> None:
    """Guard against instances that refuse for as long as, and longer than, a cut lasts."""
    links = Links()
    links.reachable, links.hanging = set(), hanging
    for name in NAMES[:3]:
        record_failed(links.reach, links.now_ms, name)
    links.run(100.0 + (PROBE_TIMEOUT_MS if hanging else 0.0))
    assert links.reach.cut_off
    links.run(5_000.0)
    assert links.reach.cut_off
    links.reachable = set(NAMES)
    links.run(500.0)
    assert not links.reach.cut_off


@pytest.mark.parametrize('seed', range(20))
def test_crash_of_most_endpoints_is_no_cut(seed: int) -> None:
    """Guard against instances that give all work away because endpoints crashed."""
    links = Links(seed)
    links.reachable = set(NAMES[16:])
    for _ in range(20):
        for name in NAMES[:16]:
            record_failed(links.reach, links.now_ms, name)
        links.run(200.0)
    assert not links.cut_off_ms


def test_replies_of_old_connections_do_not_hide_that_new_ones_fail() -> None:
    """Guard against an instance that loses its endpoints one by one while new connections fail."""
    links = Links()
    links.reachable = set()
    for name in NAMES[:3]:
        record_failed(links.reach, links.now_ms, name)
        record_replied(links.reach, links.now_ms, 'e19')
    links.run(200.0)
    assert links.reach.cut_off


def test_overdue_endpoints_are_probed_only_without_replies() -> None:
    """Guard against connections that are opened whenever some endpoints pause."""
    links = Links()
    for first, second in pairwise(NAMES):
        record_overdue(links.reach, links.now_ms, first)
        record_overdue(links.reach, links.now_ms, second)
        record_replied(links.reach, links.now_ms, 'e19')
        assert links.tick() == []
    for name in NAMES[:3]:
        record_overdue(links.reach, links.now_ms, name)
    assert len(links.tick()) == 4


def test_probes_of_a_cut_off_instance_are_few() -> None:
    """Guard against load on endpoints by instances that only cannot be answered."""
    links = Links()
    links.reachable = set()
    for name in NAMES[:3]:
        record_failed(links.reach, links.now_ms, name)
    assert links.run(10_000.0) <= 4 + 2 * 40


def test_pause_of_the_process_is_no_cut() -> None:
    """Guard against an instance that takes the time of a pause for the silence of its probes."""
    links = Links()
    links.reachable, links.hanging = set(), True
    for name in NAMES[:3]:
        record_failed(links.reach, links.now_ms, name)
    probed = links.tick()
    assert len(probed) == 4
    # The process is frozen; its timers run before it reads that the probes were connected.
    links.now_ms += 3_000.0
    links.tick()
    record_connected(links.reach, links.now_ms, probed[0], len(LOADS))
    links.run(1_000.0)
    assert not links.cut_off_ms


@pytest.mark.parametrize('hanging', [False, True])
def test_endpoints_that_are_used_no_more_are_no_evidence(hanging: bool) -> None:
    """Guard against an instance that seems cut off because its failure domain was evacuated."""
    links = Links()
    links.reachable, links.hanging = set(), hanging
    for name in NAMES[:3]:
        record_failed(links.reach, links.now_ms, name)
        record_overdue(links.reach, links.now_ms, name)
    forget_endpoints(links.reach, NAMES[:3])
    assert links.run(500.0) == 0
    for name in NAMES[:3]:
        record_failed(links.reach, links.now_ms, name)
    assert links.run(50.0) > 0
    # The probed endpoints are withdrawn before the suspicion is decided.
    forget_endpoints(links.reach, NAMES)
    links.reachable = set(NAMES)
    links.run(2_000.0)
    assert links.cut_off_ms == []
