"""Guard the guarantees of a query against any order of replies, losses and changes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.errors import ResultCode, RunStatus
from pistachioloft_core.messages.endpoint import Holding, ShardRows
from pistachioloft_core.request.query import cancel_query
from pistachioloft_core.version.cluster_view import build_view
from tests.test_request.request_support import QueryRun, failed_result, make_routing, ok_result
from tools.virtual_cluster import COLLECTION, make_accepted, make_cluster, make_request

if TYPE_CHECKING:
    from pistachioloft_core.messages.accepted import AcceptedConfiguration
    from pistachioloft_core.process.endpoint_view import EndpointView

KINDS = (
    'ok', 'ok', 'ok', 'repeat', 'other_version', 'other_endpoint', 'crossed_rows', 'half',
    'refused', 'shed', 'not_held', 'unknown', 'crashed', 'failed', 'draining', 'wait',
    'lose_endpoint', 'lose_owner', 'retire', 'repartition', 'hang_up',
)  # fmt: skip
STEPS = st.lists(st.tuples(st.sampled_from(KINDS), st.integers(0, 1_000)), max_size=40)


class Scenario:
    """Apply steps to one query and record what a correct reply may contain."""

    def __init__(self, service_count: int, replica_count: int, seed: int) -> None:
        self.accepted, self.endpoints = make_cluster(service_count, replica_count, 2)
        self.shards_by_version = self._read_shards_by_version(self.accepted)
        self.run = QueryRun(make_routing(self.accepted, self.endpoints, seed), make_request())
        self.proved: set[str] = set()
        self.delivered_results: list[Any] = []
        self.cancelled = False

    def _read_shards_by_version(
        self, accepted: AcceptedConfiguration
    ) -> dict[int, tuple[str, ...]]:
        (collection,) = accepted.configuration.collections
        return {
            entry.version: tuple(shard.shard for shard in entry.shards)
            for entry in collection.versions
        }

    def apply(self, step: str, random_number: int) -> None:
        if step == 'wait':
            self.run.advance(self.run.now_ms + random_number % 60)
        elif step == 'hang_up':
            if random_number % 10 == 0:
                self.cancelled = self.cancelled or not self.run.replies
                self.run.collect_actions(
                    cancel_query(self.run.routing, self.run.query, self.run.now_ms)
                )
        elif step in ('lose_endpoint', 'lose_owner', 'retire', 'repartition'):
            self._change(step, random_number)
        elif self.run.attempts:
            self._deliver(
                step, self.run.attempts[random_number % len(self.run.attempts)], random_number
            )

        open_pairs = [
            (item.endpoint.endpoint, shard)
            for item in self.run.query.attempts.values()
            if item.is_open
            for shard in item.shards
        ]
        assert len(open_pairs) == len(set(open_pairs)), 'an endpoint has two open attempts'

    def _change(self, step: str, random_number: int) -> None:
        endpoints: list[EndpointView] = list(self.endpoints)
        if step == 'lose_endpoint' and endpoints:
            del endpoints[random_number % len(endpoints)]
        elif step == 'lose_owner':
            endpoints = [item for item in endpoints if item.owner != f'e{random_number % 3 + 1}']
        elif step == 'retire' and len(self.shards_by_version) > 1:
            del self.shards_by_version[min(self.shards_by_version)]
        elif step == 'repartition':
            number = max(self.shards_by_version) + 1
            shards = tuple(f'p{number}-{position}' for position in range(random_number % 5 + 1))
            self.shards_by_version[number] = shards
            services = sorted({item.service for item in endpoints}) or ['s00']
            endpoints = [
                dataclasses.replace(
                    item,
                    holdings=(
                        *item.holdings,
                        Holding(
                            COLLECTION,
                            number,
                            tuple(
                                shard
                                for position, shard in enumerate(shards)
                                if services[position % len(services)] == item.service
                            ),
                        ),
                    ),
                )
                for item in endpoints
            ]
            self.services = services
        self.endpoints = tuple(endpoints)
        services = sorted({item.service for item in self.endpoints}) or ['s00']
        versions = {}
        for number, shards in self.shards_by_version.items():
            versions[number] = {
                shard: shard[2:] if shard[0] == 'h' else services[position % len(services)]
                for position, shard in enumerate(shards)
            }
        self.run.view(build_view(make_accepted(versions, 2), self.endpoints))

    def _deliver(self, step: str, attempt: Any, random_number: int) -> None:
        if step in ('ok', 'repeat'):
            result = ok_result(attempt)
        elif step == 'other_version':
            result = ok_result(attempt, version=attempt.version + 1 - 2 * (random_number % 2))
        elif step == 'other_endpoint':
            result = ok_result(attempt, endpoint='elsewhere')
        elif step == 'crossed_rows':
            result = ok_result(attempt, results=(ShardRows('stray', ({'shard': 'stray'},)),))
        elif step == 'half':
            result = ok_result(attempt, results=ok_result(attempt).results[:-1])
        else:
            outcome, changes = {
                'refused': ('not_started', {}),
                'shed': ('not_started', {'retry_after_ms': 20}),
                'not_held': ('not_started', {'detail': 'not_held'}),
                'unknown': ('unknown', {}),
                'crashed': ('unknown', {'crashed': True}),
                'failed': ('failed', {}),
                'draining': ('not_started', {'draining': True}),
            }[step]
            result = failed_result(attempt, outcome, **changes)
        self.delivered_results.append((attempt.attempt_id, result))
        self.run.result(result)
        if step == 'repeat':
            self.run.result(result)

    def check(self) -> None:
        run = self.run
        run.advance(run.deadline_ms + 1_000)
        reply = run.reply
        assert run.reply_ms <= run.deadline_ms
        if not self.cancelled:
            self.check_reply(reply)
        attempted = [(item.endpoint, item.version, item.shards) for item in run.attempts]
        assert all(attempted.count(item) <= 2 for item in attempted)
        assert run.query.open_count == 0
        observed_endpoints = run.routing.observed.endpoints.values()
        assert all(item.own_in_flight_count == 0 for item in observed_endpoints)

    def check_reply(self, reply: Any) -> None:
        if reply.run_status is RunStatus.NOT_RUN:
            first_results: dict[str, Any] = {}
            for attempt_id, result in self.delivered_results:
                if result.endpoint != 'elsewhere':
                    first_results.setdefault(attempt_id, result)
            for attempt in self.run.attempts:
                assert first_results[attempt.attempt_id].outcome == 'not_started'
            assert reply.retry_after_ms is not None
            return
        assert reply.snapshot is not None
        assert {row['version'] for row in reply.rows} <= {reply.snapshot.version}
        shards = tuple(self.run.query.version.shards)  # type: ignore[union-attr]
        accepted_shards = self.shards_by_version.get(reply.snapshot.version)
        assert accepted_shards is None or shards == accepted_shards
        answered = [row['shard'] for row in reply.rows]
        assert answered == [shard for shard in shards if shard in set(answered)]
        coverage = reply.coverage
        assert coverage.missing == tuple(shard for shard in shards if shard not in set(answered))
        assert coverage.shard_count == len(shards)
        assert coverage.answered_count == len(answered)
        delivered_shards = {
            (result.version, rows.shard)
            for _, result in self.delivered_results
            if result.outcome == 'ok' and result.endpoint != 'elsewhere'
            for rows in result.results
        }
        assert {(reply.snapshot.version, shard) for shard in answered} <= delivered_shards
        complete = not coverage.missing
        assert (reply.result_code is ResultCode.COMPLETE) == complete


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.integers(1, 6), st.integers(1, 3), st.integers(0, 99), STEPS)
def test_query_gets_one_correct_reply_in_any_order_of_messages(
    service_count: int, replica_count: int, seed: int, steps: list[tuple[str, int]]
) -> None:
    """Guard against mixed snapshots, wrong coverage, duplicate rows and lost or double replies."""
    scenario = Scenario(service_count, replica_count, seed)
    for step, random_number in steps:
        scenario.apply(step, random_number)
    scenario.check()


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(1, 20), st.integers(2, 4), st.integers(0, 99), st.integers(1, 9))
def test_any_lost_replica_of_each_shard_reduces_no_coverage(
    service_count: int, replica_count: int, seed: int, random_number: int
) -> None:
    """Guard against a partial answer although each shard still has a replica."""
    accepted, endpoints = make_cluster(service_count, replica_count)
    routing = make_routing(accepted, endpoints, seed)
    lost_endpoints = {
        f's{n:02}-{(random_number * (n + 1)) % replica_count}' for n in range(service_count)
    }
    extra_count = 0
    for number in range(12):
        run = QueryRun(routing, make_request(), f'e1-{number}', 1_000.0 + 50.0 * number)
        handled_count = 0
        while handled_count < len(run.attempts):
            attempt = run.attempts[handled_count]
            handled_count += 1
            if attempt.endpoint in lost_endpoints:
                run.fail(attempt, 'not_started')
            else:
                run.now_ms = 1_006.0 + 50.0 * number
                run.answer(attempt)
        assert run.reply.result_code is ResultCode.COMPLETE
        extra_count += len(run.attempts) - service_count
    assert extra_count <= 4 * service_count
