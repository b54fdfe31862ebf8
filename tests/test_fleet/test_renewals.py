"""Guard against endpoints that lapse or stay unknown because shares about them are short."""

from __future__ import annotations

from msgspec.structs import replace

from pistachioloft_core.codec import encode_peer
from pistachioloft_core.messages.fleet import (
    ENDPOINT_DRAINING,
    ENDPOINT_READY,
    AnnouncedEndpoint,
    ControlShare,
    ControlStatus,
)
from pistachioloft_core.process import fleet
from pistachioloft_core.process.renewals import SURPLUS_LIMIT_COUNT

HEARTBEAT_MS = 1_200.0
RECORDS = tuple(
    AnnouncedEndpoint(
        f'i-{number:010}', 'catalogue', f'10.9.0.{number}:80', 'a', 2, ENDPOINT_READY, 1, 1_000
    )
    for number in range(40)
)


def make_controls(incarnation: int = 1) -> list[fleet.FleetState]:
    controls = []
    for number in (1, 2):
        status = ControlStatus(f'10.0.0.{number}', incarnation, 'a', f'10.0.0.{number}-first')
        state = fleet.FleetState(status, HEARTBEAT_MS, 0.0)
        state.unsynced_since_ms = None
        controls.append(state)
    return controls


def run(
    states: list[fleet.FleetState], first_beat: int, last_beat: int, lost: tuple[int, ...] = ()
) -> list[ControlShare]:
    """Announce all endpoints to the first instance once a heartbeat; return its shares."""
    first, second = states
    shares = []
    for beat in range(first_beat, last_beat):
        now_ms = beat * HEARTBEAT_MS
        for record in RECORDS:
            fleet.on_announcement(first, now_ms, replace(record, sequence=beat))
        share = fleet.incremental_share(first, now_ms + 10.0)
        shares.append(share)
        if beat not in lost:
            fleet.on_share(second, now_ms + 12.0, share)
        answer = fleet.incremental_share(second, now_ms + 200.0)
        fleet.on_share(first, now_ms + 202.0, answer)
        if answer.wants_full:
            fleet.on_share(second, now_ms + 204.0, fleet.full_share(first, now_ms + 203.0))
        fleet.tick(second, now_ms + 300.0, True)
        assert all(
            entry.record.endpoint_state == ENDPOINT_READY
            for entry in second.announced.endpoints.values()
        )
    return shares


def test_numbered_renewals_keep_endpoints_live_in_few_bytes() -> None:
    """Guard against shares with the ids of all endpoints, and lapses without them."""
    states = make_controls()
    shares = run(states, 1, 12)
    assert len(states[1].announced.endpoints) == len(RECORDS)
    assert all(entry.record.sequence == 11 for entry in states[1].announced.endpoints.values())
    # All of the share but its head, which does not grow with the endpoints.
    head_bytes = len(encode_peer('10.0.0.1', [replace(shares[-1], short_renewals=())]))
    renewal_bytes = len(encode_peer('10.0.0.1', [shares[-1]])) - head_bytes
    assert renewal_bytes < 10 * len(RECORDS)


def test_unknown_numbers_are_stated_again() -> None:
    """Guard against endpoints that lapse because the shares that state their numbers were lost."""
    states = make_controls()
    shares = run(states, 1, 12, lost=(2, 3))
    assert not shares[3].renewal_numbers
    assert len(shares[4].renewal_numbers) == len(RECORDS)
    assert all(entry.record.sequence == 11 for entry in states[1].announced.endpoints.values())


def test_numbers_of_an_earlier_start_are_not_used() -> None:
    """Guard against renewals of the wrong endpoints after a restart of a control instance."""
    states = make_controls()
    run(states, 1, 8)
    restarted = make_controls(incarnation=2)[0]
    fleet.on_announcement(restarted, 9_700.0, RECORDS[7])
    share = replace(
        fleet.incremental_share(restarted, 9_710.0), endpoints=(), short_renewals=((1, 50, 0),)
    )
    fleet.on_share(states[1], 9_712.0, share)
    sequences = {entry.record.sequence for entry in states[1].announced.endpoints.values()}
    assert sequences == {7}
    assert states[1].needs_full_share


def test_earlier_build_gets_renewals_with_ids() -> None:
    """Guard against endpoints that lapse at an instance of a build without short renewals."""
    states = make_controls()
    run(states, 1, 6)
    old = replace(
        fleet.incremental_share(states[1], 7_000.0),
        control=replace(states[1].own_status, instance='10.0.0.3'),
        reads_short_renewals=False,
    )
    fleet.on_share(states[0], 7_001.0, old)
    (share,) = run(states, 6, 7)
    assert len(share.renewals) == len(RECORDS)
    assert share.short_renewals == ()


def test_leaving_endpoint_is_shared_again_a_bounded_number_of_times() -> None:
    """Guard against a departure that one lost share hides, and one that fills each share."""
    first, second = make_controls()
    fleet.on_announcement(first, 0.0, RECORDS[0])
    fleet.incremental_share(first, 10.0)
    draining = replace(RECORDS[0], endpoint_state=ENDPOINT_DRAINING, sequence=2)
    fleet.on_announcement(first, 1_000.0, draining)
    shared_ms = []
    for now_ms in range(1_000, 9_000, 200):
        if now_ms % 1_200 == 0:
            # An endpoint goes on announcing itself while it drains.
            fleet.on_announcement(first, now_ms, replace(draining, sequence=now_ms))
        share = fleet.incremental_share(first, float(now_ms))
        if share.endpoints:
            shared_ms.append(now_ms)
        if now_ms >= 1_600:
            fleet.on_share(second, float(now_ms), share)
    assert second.announced.endpoints[RECORDS[0].endpoint].record.endpoint_state == 'draining'
    assert 5 <= len(shared_ms) <= 8


def test_noticed_departure_is_told_on_after_the_first_instance_is_lost() -> None:
    """Guard against a departure that only the noticed majority knows."""
    first, second = make_controls()
    fleet.on_announcement(first, 0.0, RECORDS[0])
    received = fleet.full_share(first, 10.0).endpoints[0]
    left = replace(received, record=replace(received.record, endpoint_state='left'))
    fleet.on_notice(second, 20.0, left)
    shares = [fleet.incremental_share(second, float(now_ms)) for now_ms in range(20, 4_000, 200)]
    assert 1 <= sum(bool(share.endpoints) for share in shares) <= 3


def test_numbers_of_earlier_starts_are_dropped() -> None:
    """Guard against memory that grows with each start of an endpoint that keeps its id."""
    first, second = make_controls()
    for start in range(3 * SURPLUS_LIMIT_COUNT):
        for sequence in (1, 2):
            now_ms = (2.0 * start + sequence) * HEARTBEAT_MS
            record = replace(RECORDS[0], born_ms=1_000 + start, sequence=sequence)
            fleet.on_announcement(first, now_ms, record)
            fleet.on_share(second, now_ms, fleet.incremental_share(first, now_ms))
            fleet.on_share(first, now_ms, fleet.incremental_share(second, now_ms))
            fleet.tick(first, now_ms, True)
            fleet.tick(second, now_ms, True)
    limit_count = SURPLUS_LIMIT_COUNT + 2
    assert len(first.numbers.own) <= limit_count
    assert all(len(peer.by_number) <= limit_count for peer in second.numbers.peers.values())
