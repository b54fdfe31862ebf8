"""Silence the connections of searchers, and crash searchers with a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.test_processes.support import (
    SteadyCaller,
    running_cluster,
    steady_callers,
    wait_usable,
)
from tools.searcher.behaviour import Behaviour
from tools.searcher.host import Order

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.cluster.processes import Cluster

CRASHING_TEXT = 'poison'
RESEND_COUNT = 12
CONDEMNED = 300
PARTIAL = 1


@pytest.fixture(scope='module')
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    """Run one cluster for all tests, each of which restores it."""
    with running_cluster(tmp_path_factory.mktemp('searchers'), Behaviour(10.0)) as cluster:
        yield cluster


def wait_more_answers(cluster: Cluster, callers: list[SteadyCaller], count: int) -> None:
    """Wait until every caller has received a number of further replies."""
    counts_before = [sum(caller.codes.values()) for caller in callers]
    cluster.wait(
        lambda: all(
            sum(caller.codes.values()) >= start + count
            for caller, start in zip(callers, counts_before, strict=True)
        ),
        f'{count} more replies',
    )


def test_silent_connections_cost_no_answer(cluster: Cluster) -> None:
    """Guard against requests that wait on connections that are open but silent."""
    target = 'compact-00-s0'
    with steady_callers(cluster, 3, 0.01) as callers:
        wait_more_answers(cluster, callers, 30)
        for _ in range(2):
            cluster.order(Order('silence', (target,)))
            served = cluster.counters()[target]['request_count']
            wait_more_answers(cluster, callers, 60)
            cluster.wait(
                lambda served=served: cluster.counters()[target]['request_count'] > served + 5,
                'work on new connections',
            )
    assert [fault for caller in callers for fault in caller.faults] == []
    wait_usable(cluster)


class CrashingCaller(SteadyCaller):
    """Resend a request that crashes searchers through every instance."""

    def send_all(self) -> list[int]:
        """Send the request repeatedly and return the result codes."""
        codes = []
        for number in range(RESEND_COUNT):
            answer = self.query(self.instance_addresses[number % len(self.instance_addresses)])
            codes.append(-1 if answer is None else int(answer.result_code))
        return codes


@pytest.mark.parametrize(('service', 'crash_limit'), [('compact-01', 1), ('shared', 2)])
def test_a_crashing_request_leaves_the_last_searcher(
    cluster: Cluster, service: str, crash_limit: int
) -> None:
    """Guard against a resent request that crashes every replica of a shard."""
    names = tuple(name for name in cluster.counters() if name.startswith(f'{service}-s'))
    cluster.order(Order('behave', names, Behaviour(10.0, crash_on=CRASHING_TEXT)))
    crashing_caller = CrashingCaller(cluster, 'reports', 900)
    crashing_caller.body = {'text': f'{CRASHING_TEXT} {service}'}
    with steady_callers(cluster, 3, 0.01, frozenset({PARTIAL})) as callers:
        wait_more_answers(cluster, callers, 30)
        codes = crashing_caller.send_all()
        wait_more_answers(cluster, callers, 60)
        resent_codes = crashing_caller.send_all()
        wait_more_answers(cluster, callers, 30)
    crashed = [name for name in names if cluster.counters()[name]['crashed']]
    cluster.order(Order('behave', names, Behaviour(10.0)))
    cluster.order(Order('restart', names))
    assert 1 <= len(crashed) <= crash_limit, (crashed, codes, resent_codes)
    assert 0 not in codes + resent_codes, 'a request that crashes a replica has no complete answer'
    if crash_limit == 2:
        assert set(resent_codes) == {CONDEMNED}, (codes, resent_codes)
    assert [fault for caller in callers for fault in caller.faults] == []
    for caller in callers:
        # Requests in flight at a crash are suspected and aren't sent to the last searcher. A caller
        # has one request in flight, so each crash may cost it one partial answer.
        assert caller.codes.get(PARTIAL, 0) <= len(crashed), caller.codes
    wait_usable(cluster)
