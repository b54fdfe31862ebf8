"""Let connections of searchers go silent and let a request crash searchers."""

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

POISON = 'poison'
RESEND_COUNT = 12
CONDEMNED = 300
PARTIAL = 1


@pytest.fixture(scope='module')
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    """Run one cluster; each test leaves it whole."""
    with running_cluster(tmp_path_factory.mktemp('searchers'), Behaviour(10.0)) as cluster:
        yield cluster


def wait_more_answers(cluster: Cluster, callers: list[SteadyCaller], count: int) -> None:
    """Wait until every caller got so many more replies."""
    before = [sum(each.codes.values()) for each in callers]
    cluster.wait(
        lambda: all(
            sum(each.codes.values()) >= start + count
            for each, start in zip(callers, before, strict=True)
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
    assert [fault for each in callers for fault in each.faults] == []
    wait_usable(cluster)


class PoisonCaller(SteadyCaller):
    """Send a request that crashes searchers, again and again, through every instance."""

    def send_all(self) -> list[int]:
        """Send and resend, and return the codes."""
        codes = []
        for number in range(RESEND_COUNT):
            answer = self.query(self.instance_addresses[number % len(self.instance_addresses)])
            codes.append(-1 if answer is None else int(answer.result_code))
        return codes


@pytest.mark.parametrize(('service', 'crash_limit'), [('compact-01', 1), ('shared', 2)])
def test_a_crashing_request_leaves_the_last_searcher(
    cluster: Cluster, service: str, crash_limit: int
) -> None:
    """Guard against one resent request that ends every replica of a shard."""
    names = tuple(name for name in cluster.counters() if name.startswith(f'{service}-s'))
    cluster.order(Order('behave', names, Behaviour(10.0, crash_on=POISON)))
    poison = PoisonCaller(cluster, 'reports', 900)
    poison.body = {'text': f'{POISON} {service}'}
    with steady_callers(cluster, 3, 0.01, frozenset({PARTIAL})) as callers:
        wait_more_answers(cluster, callers, 30)
        codes = poison.send_all()
        wait_more_answers(cluster, callers, 60)
        again = poison.send_all()
        wait_more_answers(cluster, callers, 30)
    crashed = [name for name in names if cluster.counters()[name]['crashed']]
    cluster.order(Order('behave', names, Behaviour(10.0)))
    cluster.order(Order('restart', names))
    assert 1 <= len(crashed) <= crash_limit, (crashed, codes, again)
    assert 0 not in codes + again, 'a request that crashes a replica has no whole answer'
    if crash_limit == 2:
        assert set(again) == {CONDEMNED}, (codes, again)
    assert [fault for each in callers for fault in each.faults] == []
    for each in callers:
        # What was in flight at a crash may be its cause, so it spares the last searcher; a caller
        # has one request in flight.
        assert each.codes.get(PARTIAL, 0) <= len(crashed), each.codes
    wait_usable(cluster)
