"""Guard latency, coverage and goodput of requests in a cluster in virtual time."""

from __future__ import annotations

from pistachioloft_core.errors import ResultCode
from pistachioloft_core.request import hedge
from tools.virtual_cluster import Cluster

# 10 services with 2 endpoints each, which have 2 slots and take 6 ms per request.
CAPACITY_PER_SECOND = 10 * 2 * 2 / 10 / 0.006


def test_stragglers_cost_little_latency_and_load(monkeypatch) -> None:  # type: ignore[no-untyped-def]
    """Guard against answers that wait for one slow sub-request in 50."""
    measurements = {}
    for name, share in (('calm', 0.0), ('straggling', 0.02), ('unhedged', 0.02)):
        if name == 'unhedged':
            monkeypatch.setattr(hedge, 'try_take_hedge', lambda *_: False)
        cluster = Cluster(service_count=20)
        cluster.straggler_share = share
        cluster.offer_load(1_500, 100.0)
        cluster.run()
        assert cluster.result_code_counts() == {'COMPLETE': 1_500}
        cluster.finished_queries = cluster.finished_queries[300:]
        measurements[name] = (cluster.percentile_ms(0.99), cluster.extra_share())
    assert measurements['calm'][1] <= 0.02
    assert measurements['straggling'][1] <= 0.05
    assert measurements['straggling'][0] <= 0.5 * measurements['unhedged'][0]


def test_lost_replica_of_each_shard_causes_no_partial_answer() -> None:
    """Guard against partial answers between a crash and the end of the lease."""
    cluster = Cluster()
    cluster.offer_load(1_200, 200.0)
    names = [f's{number:02}-{number % 2}' for number in range(10)]
    cluster.schedule(2_000.0, lambda: [cluster.crash_endpoint(name) for name in names] and None)
    cluster.schedule(4_500.0, cluster.publish)
    cluster.run()
    assert cluster.result_code_counts() == {'COMPLETE': 1_200}
    assert cluster.extra_share() <= 0.05


def test_lost_owner_causes_no_partial_answer() -> None:
    """Guard against losing the attempts of a failed owner together with it."""
    cluster = Cluster(service_count=12, instance_count=4)
    cluster.offer_load(1_200, 200.0)
    cluster.schedule(2_000.0, lambda: cluster.lost_owners.add('e4'))
    cluster.schedule(4_500.0, cluster.publish)
    cluster.run()
    assert cluster.result_code_counts() == {'COMPLETE': 1_200}
    assert cluster.percentile_ms(0.999) < 100.0
    assert cluster.extra_share() <= 0.05


def test_crashing_request_spares_the_last_endpoint_of_each_shard() -> None:
    """Guard against a repeatedly sent request that crashes every endpoint."""
    cluster = Cluster(instance_count=2)
    cluster.crashing_query = 'poison'
    cluster.offer_load(600, 200.0)

    def resend() -> None:
        cluster.offer('p', False, 200, False, 'poison')

    for number in range(20):
        cluster.schedule(500.0 + 100.0 * number, resend)
    live_replica_counts: list[int] = []

    def restart() -> None:
        for service in range(10):
            pair = [cluster.endpoints[f's{service:02}-{place}'] for place in range(2)]
            live_replica_counts.append(sum(endpoint.alive for endpoint in pair))
        for name in cluster.endpoints:
            cluster.restart_endpoint(name)

    for round_number in range(25):
        cluster.schedule(90.0 * round_number + 250.0, restart)
    cluster.run()
    assert min(live_replica_counts) >= 1
    assert sum(count < 2 for count in live_replica_counts) <= 20
    result_code_counts = cluster.result_code_counts()
    assert result_code_counts.pop('CONDEMNED') >= 15
    assert result_code_counts.pop('COMPLETE') == 600
    assert set(result_code_counts) <= {'NO_ANSWER', 'NO_ENDPOINT'}


def run_at_rate(rate: float) -> tuple[float, Cluster]:
    cluster = Cluster()
    cluster.offer_load(int(rate * 5), rate, urgent_share=0.2, admission=True)
    cluster.run()
    complete = [
        item
        for item in cluster.finished_queries
        if item.reply is not None and item.reply.result_code is ResultCode.COMPLETE
    ]
    duration_s = max(item.ended_ms for item in cluster.finished_queries) / 1_000.0
    return len(complete) / duration_s, cluster


def test_goodput_holds_at_twice_the_capacity() -> None:
    """Guard against queues that make every answer late when the load exceeds the capacity."""
    at_capacity, _ = run_at_rate(CAPACITY_PER_SECOND)
    at_twice, cluster = run_at_rate(2 * CAPACITY_PER_SECOND)
    assert at_twice >= 0.9 * at_capacity
    refused = [item for item in cluster.finished_queries if item.reply is None]
    assert max(item.ended_ms - item.offered_ms for item in refused) <= 5.0
    shares = []
    for urgent in (True, False):
        offered = [item for item in cluster.finished_queries if item.urgent is urgent]
        shares.append(sum(item.reply is not None for item in offered) / len(offered))
    assert shares[0] > 0.75
    assert 0.1 < shares[1] < shares[0]
