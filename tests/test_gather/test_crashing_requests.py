"""Guard against requests that crash one endpoint after the other, and against blaming others."""

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
from tests.test_gather.routed_player import Player, losing

SHARD_COUNT = 4


def endpoint(name: str, born_ms: int = 1, domain: str = 'a') -> AnnouncedEndpoint:
    """Build an announced endpoint."""
    return AnnouncedEndpoint(name, 's', f'{name}:80', domain, 2, ENDPOINT_READY, 1, born_ms)


def crash(watch: CrashWatch, now_ms: float, name: str, *digests: str, domain: str = 'a') -> None:
    """Lose requests on an endpoint that then refuses connections."""
    for digest in digests:
        on_request_lost(watch, now_ms, endpoint(name, int(now_ms), domain), digest)
    on_endpoint_down(watch, now_ms + 5.0, name)


def test_two_crashes_condemn_a_request_and_one_is_a_suspicion() -> None:
    """Guard against a request that takes every replica, and against a hasty verdict."""
    watch = CrashWatch()
    crash(watch, 0.0, 'e1', 'bad')
    assert classify_request(watch, 10.0, 'bad') is SuspicionLevel.SUSPECTED
    crash(watch, 100.0, 'e2', 'bad')
    assert classify_request(watch, 200.0, 'bad') is SuspicionLevel.CONDEMNED
    assert classify_request(watch, 200.0, 'other') is SuspicionLevel.CLEAR
    assert classify_request(watch, 200.0 + FORGET_AFTER_MS, 'bad') is SuspicionLevel.CLEAR


def test_a_broken_connection_to_a_live_endpoint_is_no_crash() -> None:
    """Guard against suspecting requests whose connections were only reset."""
    watch = CrashWatch()
    for number in range(5):
        on_request_lost(watch, number * 100.0, endpoint(f'e{number}'), 'reset')
    assert classify_request(watch, 600.0, 'reset') is SuspicionLevel.CLEAR
    assert on_endpoint_down(watch, 600.0 + CRASH_CONFIRMATION_MS, 'e0') == ()
    forget_lost_requests(watch, 600.0 + CRASH_CONFIRMATION_MS)
    assert watch.lost == {}


def test_a_request_that_an_endpoint_survives_is_cleared() -> None:
    """Guard against blaming a frequent request that was in flight at other crashes."""
    watch = CrashWatch()
    crash(watch, 0.0, 'e1', 'frequent', 'bad')
    on_request_answered(watch, 50.0, 'frequent')
    crash(watch, 100.0, 'e2', 'frequent', 'bad')
    assert classify_request(watch, 200.0, 'frequent') is SuspicionLevel.SUSPECTED
    assert classify_request(watch, 200.0, 'bad') is SuspicionLevel.CONDEMNED


def test_crashes_of_one_failure_domain_at_once_blame_no_request() -> None:
    """Guard against refusing queries that were in flight when a failure domain was lost."""
    watch = CrashWatch()
    for name in ('e1', 'e2', 'e3'):
        crash(watch, 100.0, name, 'query', domain='z')
    assert classify_request(watch, 200.0, 'query') is SuspicionLevel.CLEAR


def test_a_crash_seen_elsewhere_condemns_here() -> None:
    """Guard against each instance losing two endpoints to the same request."""
    here, there = CrashWatch(), CrashWatch()
    on_request_lost(there, 0.0, endpoint('e1'), 'bad')
    on_crash_reports(here, 1_000.0, on_endpoint_down(there, 10.0, 'e1'))
    on_request_lost(there, 500.0, endpoint('e2'), 'bad')
    reports = on_endpoint_down(there, 510.0, 'e2')
    on_crash_reports(here, 1_000.0, reports)
    on_crash_reports(here, 1_100.0, reports)
    assert classify_request(here, 1_200.0, 'bad') is SuspicionLevel.CONDEMNED


def test_the_lost_requests_of_an_endpoint_are_bounded() -> None:
    """Guard against memory that grows with every broken connection."""
    watch = CrashWatch()
    for number in range(3 * LOST_REQUEST_LIMIT_COUNT):
        on_request_lost(watch, 0.0, endpoint('e1'), str(number))
    assert len(watch.lost['e1']) == LOST_REQUEST_LIMIT_COUNT


def test_a_query_that_crashes_what_runs_it_spares_the_other_replicas() -> None:
    """Guard against a query whose retries take the second replica of every shard."""
    player = Player(shard_count=SHARD_COUNT)
    for shard in range(SHARD_COUNT):
        for replica in range(2):
            player.behaviours[f's{shard}-{replica}'] = losing(2.0 + shard)
    played = player.query()
    player.run(2_000.0)
    assert played.answer is not None
    assert isinstance(played.answer.action, Refuse)
    assert played.answer.action.code is ResultCode.NO_ANSWER
    # The first loss is retried before there is anything to suspect.
    assert len(player.sent) == SHARD_COUNT + 1


def test_a_query_that_met_two_crashes_is_whole_once_a_shard_has_answered() -> None:
    """Guard against shards that are given up though the query is harmless."""
    player = Player(shard_count=SHARD_COUNT)
    player.behaviours['s0-0'] = player.behaviours['s0-1'] = losing(1.0)
    player.behaviours['s1-0'] = player.behaviours['s1-1'] = losing(1.0)

    def recover() -> None:
        for name in ('s0-0', 's0-1', 's1-0', 's1-1'):
            player.behaviours[name] = player.behaviours['s2-0']

    player.at(0.5, recover)
    played = player.query()
    player.run(2_000.0)
    assert played.answer is not None
    assert isinstance(played.answer.action, DeliverMerged)
    assert played.answer.action.missing == ()


def test_a_suspected_request_runs_on_one_endpoint_only() -> None:
    """Guard against a second crash by the retry of a request that is already suspected."""
    player = Player()
    player.behaviours['s0-0'] = player.behaviours['s0-1'] = losing(2.0)
    harmless = player.request()
    suspected = player.request(suspected=True)
    player.run(5_000.0)
    assert len([a for a in player.sent if a.attempt_id.startswith('r1.')]) == 2
    assert harmless.answer is not None
    assert suspected.answer is not None
    assert isinstance(suspected.answer.action, Refuse)
    assert suspected.answer.action.code is ResultCode.NO_ANSWER
    assert len(player.sent) == 3
