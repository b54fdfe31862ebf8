"""Guard against requests that crash endpoint after endpoint, and against suspecting others."""

from __future__ import annotations

from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.fleet import ENDPOINT_READY, AnnouncedEndpoint
from pistachioloft_core.process.crash_watch import (
    CRASH_CONFIRMATION_MS,
    LOST_REQUEST_LIMIT_COUNT,
    CrashWatch,
    classify_request,
    forget_lost_requests,
    on_crash_reports,
    on_endpoint_down,
    on_request_answered,
    on_request_lost,
)
from pistachioloft_core.process.suspects import FORGET_AFTER_MS, SuspicionLevel
from pistachioloft_core.request.attempts import DeliverMerged, Refuse
from tests.test_gather.routed_simulation import Simulation, losing

SHARD_COUNT = 4


def endpoint(name: str, born_ms: int = 1, domain: str = 'a') -> AnnouncedEndpoint:
    """Build an announced endpoint."""
    return AnnouncedEndpoint(name, 's', f'{name}:80', domain, 2, ENDPOINT_READY, 1, born_ms)


def crash(watch: CrashWatch, now_ms: float, name: str, *digests: str, domain: str = 'a') -> None:
    """Lose requests on an endpoint that then refuses connections."""
    for digest in digests:
        on_request_lost(watch, now_ms, endpoint(name, int(now_ms), domain), digest)
    on_endpoint_down(watch, now_ms + 5.0, name)


def test_request_is_suspected_after_one_crash_and_condemned_after_two() -> None:
    """Guard against a request that crashes every replica, and against condemning it too early."""
    watch = CrashWatch()
    crash(watch, 0.0, 'e1', 'bad')
    assert classify_request(watch, 10.0, 'bad') is SuspicionLevel.SUSPECTED
    crash(watch, 100.0, 'e2', 'bad')
    assert classify_request(watch, 200.0, 'bad') is SuspicionLevel.CONDEMNED
    assert classify_request(watch, 200.0, 'other') is SuspicionLevel.CLEAR
    assert classify_request(watch, 200.0 + FORGET_AFTER_MS, 'bad') is SuspicionLevel.CLEAR


def test_request_that_crashes_its_failure_domain_twice_is_condemned() -> None:
    """Guard against a query that reaches and crashes the same shards each time it comes."""
    watch = CrashWatch()
    names = [f'e{number}' for number in range(6)]
    for name in names:
        crash(watch, 0.0, name, 'bad', 'other')
    assert classify_request(watch, 50.0, 'bad') is SuspicionLevel.CLEAR
    on_request_answered(watch, 1_000.0, 'other')
    for name in names:
        crash(watch, 6_000.0, name, 'bad', 'other')
    assert classify_request(watch, 6_050.0, 'bad') is SuspicionLevel.CONDEMNED
    assert classify_request(watch, 6_050.0, 'other') is SuspicionLevel.CLEAR


def test_lost_connection_to_live_endpoint_is_not_a_crash() -> None:
    """Guard against suspecting requests whose connection was only reset."""
    watch = CrashWatch()
    for number in range(5):
        on_request_lost(watch, number * 100.0, endpoint(f'e{number}'), 'reset')
    assert classify_request(watch, 600.0, 'reset') is SuspicionLevel.CLEAR
    assert on_endpoint_down(watch, 600.0 + CRASH_CONFIRMATION_MS, 'e0') == ()
    forget_lost_requests(watch, 600.0 + CRASH_CONFIRMATION_MS)
    assert watch.lost == {}


def test_request_is_cleared_once_an_endpoint_answers_it() -> None:
    """Guard against condemning a frequent request that was in flight at other requests' crashes."""
    watch = CrashWatch()
    crash(watch, 0.0, 'e1', 'frequent', 'bad')
    on_request_answered(watch, 50.0, 'frequent')
    crash(watch, 100.0, 'e2', 'frequent', 'bad')
    assert classify_request(watch, 200.0, 'frequent') is SuspicionLevel.SUSPECTED
    assert classify_request(watch, 200.0, 'bad') is SuspicionLevel.CONDEMNED


def test_simultaneous_crashes_in_one_failure_domain_suspect_no_request() -> None:
    """Guard against refusing queries that were in flight when a failure domain failed."""
    watch = CrashWatch()
    for name in ('e1', 'e2', 'e3'):
        crash(watch, 100.0, name, 'query', domain='z')
    assert classify_request(watch, 200.0, 'query') is SuspicionLevel.CLEAR


def test_crash_reports_of_other_instances_condemn_request() -> None:
    """Guard against each instance losing two endpoints to the same request."""
    local_watch, remote_watch = CrashWatch(), CrashWatch()
    on_request_lost(remote_watch, 0.0, endpoint('e1'), 'bad')
    on_crash_reports(local_watch, 1_000.0, on_endpoint_down(remote_watch, 10.0, 'e1'))
    on_request_lost(remote_watch, 500.0, endpoint('e2'), 'bad')
    reports = on_endpoint_down(remote_watch, 510.0, 'e2')
    on_crash_reports(local_watch, 1_000.0, reports)
    on_crash_reports(local_watch, 1_100.0, reports)
    assert classify_request(local_watch, 1_200.0, 'bad') is SuspicionLevel.CONDEMNED


def test_lost_requests_per_endpoint_are_bounded() -> None:
    """Guard against memory use that grows with every lost connection."""
    watch = CrashWatch()
    for number in range(3 * LOST_REQUEST_LIMIT_COUNT):
        on_request_lost(watch, 0.0, endpoint('e1'), str(number))
    assert len(watch.lost['e1']) == LOST_REQUEST_LIMIT_COUNT


def test_query_that_loses_endpoints_is_not_sent_to_other_replicas() -> None:
    """Guard against a query whose retries crash the second replica of every shard."""
    simulation = Simulation(shard_count=SHARD_COUNT)
    for shard in range(SHARD_COUNT):
        for replica in range(2):
            simulation.behaviours[f's{shard}-{replica}'] = losing(2.0 + shard)
    simulated = simulation.query()
    simulation.run(2_000.0)
    assert simulated.answer is not None
    assert isinstance(simulated.answer.action, Refuse)
    assert simulated.answer.action.code is ResultCode.NO_ANSWER
    # The first loss is retried because it does not make the query suspicious yet.
    assert len(simulation.sent) == SHARD_COUNT + 1


def test_query_with_two_lost_attempts_completes_once_a_shard_replied() -> None:
    """Guard against missing shards of a harmless query that lost two attempts by chance."""
    simulation = Simulation(shard_count=SHARD_COUNT)
    simulation.behaviours['s0-0'] = simulation.behaviours['s0-1'] = losing(1.0)
    simulation.behaviours['s1-0'] = simulation.behaviours['s1-1'] = losing(1.0)

    def revive_endpoints() -> None:
        for name in ('s0-0', 's0-1', 's1-0', 's1-1'):
            simulation.behaviours[name] = simulation.behaviours['s2-0']

    simulation.at(0.5, revive_endpoints)
    simulated = simulation.query()
    simulation.run(2_000.0)
    assert simulated.answer is not None
    assert isinstance(simulated.answer.action, DeliverMerged)
    assert simulated.answer.action.missing == ()


def test_suspected_request_runs_on_one_endpoint() -> None:
    """Guard against a second crash by a retry of a request that is already suspected."""
    simulation = Simulation()
    simulation.behaviours['s0-0'] = simulation.behaviours['s0-1'] = losing(2.0)
    harmless = simulation.request()
    suspected = simulation.request(suspected=True)
    simulation.run(5_000.0)
    assert len([a for a in simulation.sent if a.attempt_id.startswith('r1.')]) == 2
    assert harmless.answer is not None
    assert suspected.answer is not None
    assert isinstance(suspected.answer.action, Refuse)
    assert suspected.answer.action.code is ResultCode.NO_ANSWER
    assert len(simulation.sent) == 3
