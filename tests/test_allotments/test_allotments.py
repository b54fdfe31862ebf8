"""Guard against organisations that get less than their allotment, or cost too much beyond it."""

from __future__ import annotations

import pytest

from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.routes import Organisation
from pistachioloft_core.process.allotments import AllotmentBounds, headroom_count

from .allotment_fleet import AllotmentFleet, allowed_count, greatest_count

INSTANCE_COUNT = 17
BOUNDS = AllotmentBounds(5_000.0, 0.1, 20.0)
# Room for a spare permit at each of the instances.
ROOM_FOR_ALL = AllotmentBounds(5_000.0, 0.1, 40.0)
START_MS = 30_000.0


def started_fleet(organisation: Organisation, bounds: AllotmentBounds = BOUNDS) -> AllotmentFleet:
    fleet = AllotmentFleet(INSTANCE_COUNT, organisation, bounds, seed=7)
    fleet.advance(START_MS)
    return fleet


def organisation(rate_per_s: float, burst_count: float) -> Organisation:
    return Organisation('east', (), rate_per_s=rate_per_s, burst_count=burst_count)


def grantor_of(fleet: AllotmentFleet) -> str:
    instances = fleet.instances.values()
    return next(
        standing.grantor for instance in instances for standing in instance.ranks.standings.values()
    )


def send_anywhere(fleet: AllotmentFleet, count: int = 1) -> None:
    for _ in range(count):
        fleet.send_request(fleet.random.choice(fleet.names))


@pytest.mark.parametrize('slack_count', [0.0, 20.0])
@pytest.mark.parametrize(('rate_per_s', 'burst_count'), [(0.3, 3.0), (4.0, 4.0), (50.0, 10.0)])
def test_nothing_within_rate_and_burst_is_refused(
    rate_per_s: float, burst_count: float, slack_count: float
) -> None:
    """Guard against the refusal of requests that the allotment covers."""
    bounds = AllotmentBounds(5_000.0, 0.1, slack_count)
    fleet = started_fleet(organisation(rate_per_s, burst_count), bounds)
    interval_ms = 1_000.0 / rate_per_s
    for _ in range(3):
        send_anywhere(fleet, int(burst_count))
        for _ in range(200):
            fleet.advance(interval_ms)
            send_anywhere(fleet)
        fleet.advance(burst_count * interval_ms)
    assert fleet.refusals == []


def test_spare_permits_admit_without_waiting() -> None:
    """Guard against requests in calm that wait for another instance."""
    fleet = started_fleet(organisation(4.0, 4.0), ROOM_FOR_ALL)
    for _ in range(200):
        fleet.advance(300.0)
        send_anywhere(fleet)
    assert all(each.admitted_ms == each.sent_ms for each in fleet.admitted)
    assert fleet.message_count <= 2 * len(fleet.admitted)


def test_hot_organisation_gets_its_rate_and_few_messages() -> None:
    """Guard against a hot organisation that gets less than its rate, or keeps the grantor busy."""
    allotment = organisation(10.0, 10.0)
    fleet = started_fleet(allotment)
    sent_count = 4_000
    for _ in range(sent_count):
        fleet.advance(5.0)
        send_anywhere(fleet)
    assert greatest_count(fleet.admitted, BOUNDS.window_ms) <= allowed_count(allotment, BOUNDS)
    assert len(fleet.admitted) >= 0.95 * 10.0 * sent_count * 0.005
    assert fleet.message_count <= sent_count
    assert {refusal.code for refusal in fleet.refusals} == {ResultCode.ALLOTMENT_USED}


def test_denial_is_remembered() -> None:
    """Guard against a message to the grantor for each of many refused requests."""
    fleet = started_fleet(organisation(1.0, 1.0))
    name = fleet.names[0]
    for _ in range(5):
        fleet.send_request(name)
        fleet.advance(10.0)
    count, refused_count = fleet.message_count, len(fleet.refusals)
    for _ in range(100):
        fleet.send_request(name)
    assert fleet.message_count == count
    assert len(fleet.refusals) == refused_count + 100
    times_ms = [refusal.retry_after_ms or 0.0 for refusal in fleet.refusals[-100:]]
    assert min(times_ms) > 0.0
    assert max(times_ms) <= BOUNDS.window_ms


def test_caller_that_waits_as_told_is_admitted() -> None:
    """Guard against a Retry-After at whose end there is no room."""
    fleet = started_fleet(organisation(2.0, 2.0), AllotmentBounds(5_000.0, 0.0, 0.0))
    name = fleet.names[3]
    for _ in range(4):
        fleet.send_request(name)
        fleet.advance(10.0)
    (first, *_) = fleet.refusals
    assert first.code is ResultCode.ALLOTMENT_USED
    admitted_count = len(fleet.admitted)
    fleet.advance(first.retry_after_ms or 0.0)
    fleet.send_request(name)
    fleet.advance(10.0)
    assert len(fleet.admitted) == admitted_count + 1


def test_lower_limit_binds_within_a_window() -> None:
    """Guard against the old limit in a window that begins after the new one is known."""
    fleet = started_fleet(organisation(40.0, 40.0))
    lower = organisation(1.0, 2.0)
    for step in range(1_000):
        if step == 300:
            fleet.organisation = lower
        fleet.advance(20.0)
        send_anywhere(fleet)
    known_ms = START_MS + 300 * 20.0 + 200.0
    count = greatest_count(fleet.admitted, BOUNDS.window_ms, known_ms)
    assert count <= allowed_count(lower, BOUNDS)


def test_requests_that_wait_together_share_one_message() -> None:
    """Guard against a message for each request while the grantor's reply is awaited."""
    fleet = started_fleet(organisation(100.0, 50.0), AllotmentBounds(5_000.0, 0.0, 0.0))
    name = fleet.names[5]
    for _ in range(30):
        fleet.send_request(name)
    fleet.advance(20.0)
    assert len(fleet.admitted) == 30
    assert fleet.message_count <= 4


def test_spare_permits_bridge_the_loss_of_the_grantor() -> None:
    """Guard against a small organisation that is refused while its grantor is replaced."""
    fleet = started_fleet(organisation(1.0, 5.0), ROOM_FOR_ALL)
    send_anywhere(fleet, 3)
    fleet.advance(6_000.0)
    grantor = grantor_of(fleet)
    fleet.instances[grantor].is_frozen = True
    for name in fleet.names:
        if name != grantor:
            fleet.advance(300.0)
            fleet.send_request(name)
    assert fleet.refusals == []


def test_grantor_that_was_replaced_for_a_moment_resumes() -> None:
    """Guard against an organisation without a grantor after views that change back."""
    fleet = started_fleet(organisation(20.0, 20.0), AllotmentBounds(5_000.0, 0.0, 0.0))
    send_anywhere(fleet)
    fleet.advance(100.0)
    grantor = grantor_of(fleet)
    fleet.set_view(tuple(name for name in fleet.names if name != grantor))
    fleet.advance(200.0)
    fleet.set_view(tuple(fleet.names))
    fleet.advance(700.0)
    send_anywhere(fleet, 10)
    fleet.advance(100.0)
    assert fleet.refusals == []


@pytest.mark.parametrize('is_cut_off', [True, False])
def test_successor_grants_once_the_old_grantor_has_stopped(is_cut_off: bool) -> None:
    """Guard against two grantors, and against an organisation that stays without one."""
    allotment = organisation(20.0, 20.0)
    fleet = started_fleet(allotment)
    send_anywhere(fleet, 2)
    fleet.advance(100.0)
    grantor = grantor_of(fleet)
    fleet.instances[grantor].is_cut_off = is_cut_off
    fleet.set_view(tuple(name for name in fleet.names if name != grantor))
    for _ in range(600):
        fleet.advance(20.0)
        send_anywhere(fleet)
    assert greatest_count(fleet.admitted, BOUNDS.window_ms) <= allowed_count(allotment, BOUNDS)
    last = [each for each in fleet.admitted if each.admitted_ms > fleet.now_ms - 5_000.0]
    assert len(last) >= 0.95 * 20.0 * 5.0


@pytest.mark.parametrize('absence', ['is_frozen', 'is_cut_off'])
@pytest.mark.parametrize(
    ('rate_per_s', 'burst_count', 'absent_ms'),
    [(20.0, 40.0, 3_800.0), (50.0, 100.0, 4_500.0), (10.0, 100.0, 10_000.0), (2.0, 8.0, 9_000.0)],
)
def test_grantor_that_returns_does_not_grant_beside_its_successor(
    absence: str, rate_per_s: float, burst_count: float, absent_ms: float
) -> None:
    """Guard against a grantor whose view did not change while another one granted."""
    limited = organisation(rate_per_s, burst_count)
    fleet = AllotmentFleet(5, limited, AllotmentBounds(), seed=3)
    for instance in fleet.instances.values():
        instance.view_delay_ms = 0
    fleet.advance(START_MS)
    for name in fleet.names:
        fleet.send_request(name)
    fleet.advance(2_000.0)
    grantor = grantor_of(fleet)
    others = tuple(name for name in fleet.names if name != grantor)
    setattr(fleet.instances[grantor], absence, True)
    fleet.advance(1_100.0)
    fleet.set_view(others)
    fleet.advance(absent_ms - 1_200.0)
    for _ in range(int(burst_count)):
        fleet.send_request(others[0])
    fleet.advance(100.0)
    setattr(fleet.instances[grantor], absence, False)
    # Its first poll advertises it again, so it never hears of the time without it.
    fleet.set_view(tuple(fleet.names))
    fleet.advance(300.0)
    for _ in range(250):
        for name in fleet.names:
            fleet.send_request(name)
            fleet.send_request(name)
        fleet.advance(20.0)
    window_ms = fleet.bounds.window_ms
    assert greatest_count(fleet.admitted, window_ms) <= allowed_count(limited, fleet.bounds)


def test_grant_that_is_read_late_admits_nothing() -> None:
    """Guard against requests that are admitted with permits of an earlier window after a pause."""
    fleet = started_fleet(organisation(4.0, 20.0))
    send_anywhere(fleet)
    fleet.advance(100.0)
    name = next(each for each in fleet.names if each != grantor_of(fleet))
    instance = fleet.instances[name]
    for _ in range(5):
        fleet.send_request(name)
    waiting_count = len(fleet.admitted)
    fleet.message_delay_ms = 0.0
    instance.is_frozen = True
    fleet.advance(3_000.0)
    instance.is_frozen = False
    fleet.advance(10.0)
    assert len(fleet.admitted) == waiting_count
    assert fleet.refusals


@pytest.mark.parametrize('burst_count', [0.0, 0.4])
def test_burst_below_one_request_takes_its_token_from_the_headroom(burst_count: float) -> None:
    """Guard against a bucket of one token that exceeds the bound together with spare permits."""
    bounds = AllotmentBounds(5_000.0, 0.1, 10.0)
    whole, part = organisation(1.0, 1.0), organisation(1.0, burst_count)
    missing_count = 1.0 - burst_count
    lost_overage_count = bounds.overage * missing_count
    assert headroom_count(bounds, part) == pytest.approx(
        headroom_count(bounds, whole) - missing_count - lost_overage_count
    )
    assert headroom_count(AllotmentBounds(), organisation(0.1, 0.0)) == 0.0
