"""Guard the measures of the request path in a cluster in virtual time."""

from __future__ import annotations

from pistachioloft_core.errors import ResultCode
from pistachioloft_core.request import hedge
from tools.virtual_cluster import Cluster

# 10 services of 2 endpoints with 2 slots and 6 ms.
CAPACITY_PER_SECOND = 10 * 2 * 2 / 10 / 0.006


def test_stragglers_cost_little_latency_and_load(monkeypatch) -> None:  # type: ignore[no-untyped-def]
    """Guard against answers that wait for one slow sub-request in 50."""
    figures = {}
    for name, share in (('calm', 0.0), ('straggling', 0.02), ('unhedged', 0.02)):
        if name == 'unhedged':
            monkeypatch.setattr(hedge, 'try_take_hedge', lambda *_: False)
        cluster = Cluster(service_count=20)
        cluster.straggler_share = share
        cluster.load(1_500, 100.0)
        cluster.run()
        assert cluster.codes() == {'COMPLETE': 1_500}
        cluster.ended = cluster.ended[300:]
        figures[name] = (cluster.percentile_ms(0.99), cluster.extra_share())
    assert figures['calm'][1] <= 0.02
    assert figures['straggling'][1] <= 0.05
    assert figures['straggling'][0] <= 0.5 * figures['unhedged'][0]


def test_lost_replica_of_each_shard_costs_no_answer() -> None:
    """Guard against partial answers from the crash until the lease ends."""
    cluster = Cluster()
    cluster.load(1_200, 200.0)
    names = [f's{number:02}-{number % 2}' for number in range(10)]
    cluster.at(2_000.0, lambda: [cluster.kill(name) for name in names] and None)
    cluster.at(4_500.0, cluster.publish)
    cluster.run()
    assert cluster.codes() == {'COMPLETE': 1_200}
    assert cluster.extra_share() <= 0.05


def test_lost_owner_costs_no_answer() -> None:
    """Guard against attempts that vanish with the instance that was to send them."""
    cluster = Cluster(service_count=12, instance_count=4)
    cluster.load(1_200, 200.0)
    cluster.at(2_000.0, lambda: cluster.lost_owners.add('e4'))
    cluster.at(4_500.0, cluster.publish)
    cluster.run()
    assert cluster.codes() == {'COMPLETE': 1_200}
    assert cluster.percentile_ms(0.999) < 100.0
    assert cluster.extra_share() <= 0.05


def test_poison_leaves_the_last_endpoint_of_each_shard() -> None:
    """Guard against a request that takes down every endpoint, sent again and again."""
    cluster = Cluster(instance_count=2)
    cluster.poison = 'poison'
    cluster.load(600, 200.0)

    def resend() -> None:
        cluster.offer('p', False, 200, False, 'poison')

    for number in range(20):
        cluster.at(500.0 + 100.0 * number, resend)
    alive: list[int] = []

    def restart() -> None:
        for service in range(10):
            pair = [cluster.endpoints[f's{service:02}-{place}'] for place in range(2)]
            alive.append(sum(endpoint.alive for endpoint in pair))
        for name in cluster.endpoints:
            cluster.revive(name)

    for turn in range(25):
        cluster.at(90.0 * turn + 250.0, restart)
    cluster.run()
    assert min(alive) >= 1
    assert sum(count < 2 for count in alive) <= 20
    codes = cluster.codes()
    assert codes.pop('CONDEMNED') >= 15
    assert codes.pop('COMPLETE') == 600
    assert set(codes) <= {'NO_ANSWER', 'NO_ENDPOINT'}


def overload(rate: float) -> tuple[float, Cluster]:
    cluster = Cluster()
    cluster.load(int(rate * 5), rate, urgent_share=0.2, admission=True)
    cluster.run()
    good = [
        item
        for item in cluster.ended
        if item.reply is not None and item.reply.result_code is ResultCode.COMPLETE
    ]
    seconds = max(item.ended_ms for item in cluster.ended) / 1_000.0
    return len(good) / seconds, cluster


def test_goodput_holds_at_twice_the_capacity() -> None:
    """Guard against queues that make every answer late once the load exceeds the capacity."""
    at_capacity, _ = overload(CAPACITY_PER_SECOND)
    at_twice, cluster = overload(2 * CAPACITY_PER_SECOND)
    assert at_twice >= 0.9 * at_capacity
    refused = [item for item in cluster.ended if item.reply is None]
    assert max(item.ended_ms - item.offered_ms for item in refused) <= 5.0
    shares = []
    for urgent in (True, False):
        offered = [item for item in cluster.ended if item.urgent is urgent]
        shares.append(sum(item.reply is not None for item in offered) / len(offered))
    assert shares[0] > 0.75
    assert 0.1 < shares[1] < shares[0]
