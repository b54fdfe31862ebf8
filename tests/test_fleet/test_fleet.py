"""Guard against control instances that forget, invent or wrongly lapse endpoints."""

from __future__ import annotations

from msgspec.structs import replace

from pistachioloft_core.codec import encode_peer
from pistachioloft_core.messages.fleet import (
    ENDPOINT_DRAINING,
    ENDPOINT_LAPSED,
    ENDPOINT_LEFT,
    ENDPOINT_READY,
    AnnouncedEndpoint,
    ControlStatus,
    EntryStatus,
    FeedPoll,
    FeedReply,
    RequestCrash,
)
from pistachioloft_core.process import fleet
from pistachioloft_core.process.announced import MergeResult
from pistachioloft_core.process.directory import advertised_entries

HEARTBEAT_MS = 1_200.0
RECORD = AnnouncedEndpoint('i-1', 'catalogue', '10.9.0.1:80', 'a', 2, ENDPOINT_READY, 1, 1_000)
ENTRY = EntryStatus('10.0.1.1', 1, 'a', '10.0.1.1:80', '10.0.1.1:90', True, False, 0)


def make_control(number: int, now_ms: float = 0.0) -> fleet.FleetState:
    status = ControlStatus(f'10.0.0.{number}', 1, 'a', f'10.0.0.{number}-first')
    return fleet.FleetState(status, HEARTBEAT_MS, now_ms)


def set_synchronized(state: fleet.FleetState) -> None:
    state.unsynced_since_ms = None


def exchange(states: list[fleet.FleetState], now_ms: float) -> None:
    """Carry one round of shares between all instances."""
    shares = [(state, fleet.incremental_share(state, now_ms)) for state in states]
    for sender, share in shares:
        for receiver in states:
            if receiver is not sender:
                fleet.on_share(receiver, now_ms, share)


def poll(state: fleet.FleetState, now_ms: float, revision: int = 0) -> FeedReply:
    incarnation = state.own_status.incarnation if revision else 0
    feed_poll = FeedPoll(1, replace(ENTRY, sequence=int(now_ms)), incarnation, revision)
    return fleet.on_feed_poll(state, now_ms, feed_poll, True, 5, b'document')


def endpoint_state(state: fleet.FleetState) -> str:
    return state.announced.endpoints['i-1'].record.endpoint_state


def test_announced_endpoint_is_known_to_all_after_one_round() -> None:
    """Guard against an endpoint that is known only to the instance that it announced itself to."""
    states = [make_control(1), make_control(2), make_control(3)]
    fleet.on_announcement(states[0], 10.0, RECORD)
    exchange(states, 20.0)
    assert all(endpoint_state(state) == ENDPOINT_READY for state in states)


def test_endpoint_that_renews_at_another_instance_does_not_lapse() -> None:
    """Guard against a live endpoint that lapses at an instance that only receives shares of it."""
    states = [make_control(1), make_control(2)]
    for state in states:
        set_synchronized(state)
    for beat in range(1, 12):
        now_ms = beat * HEARTBEAT_MS
        fleet.on_announcement(states[0], now_ms, replace(RECORD, sequence=beat))
        exchange(states, now_ms + 100.0)
        for state in states:
            fleet.tick(state, now_ms + 200.0, True)
        assert endpoint_state(states[1]) == ENDPOINT_READY


def test_renewal_of_an_unknown_endpoint_requests_a_full_share() -> None:
    """Guard against an endpoint that stays unknown because its first share was lost."""
    states = [make_control(1), make_control(2)]
    set_synchronized(states[0])
    set_synchronized(states[1])
    fleet.on_announcement(states[0], 10.0, RECORD)
    fleet.incremental_share(states[0], 20.0)
    fleet.on_announcement(states[0], 1_210.0, replace(RECORD, sequence=2))
    exchange(states, 1_220.0)
    assert 'i-1' not in states[1].announced.endpoints
    request = fleet.incremental_share(states[1], 1_420.0)
    assert request.wants_full
    fleet.on_share(states[1], 1_430.0, fleet.full_share(states[0], 1_430.0))
    assert endpoint_state(states[1]) == ENDPOINT_READY
    assert not fleet.incremental_share(states[1], 1_620.0).wants_full


def test_instance_without_a_quorum_lapses_nothing() -> None:
    """Guard against the lapse of all endpoints because one control instance was cut off."""
    state = make_control(1)
    set_synchronized(state)
    fleet.on_announcement(state, 0.0, RECORD)
    for now_ms in range(0, 20_000, 200):
        fleet.tick(state, float(now_ms), False)
    assert endpoint_state(state) == ENDPOINT_READY
    assert not fleet.is_synchronized(state)


def test_instance_is_synchronized_by_a_full_share_after_a_cut() -> None:
    """Guard against lapses at an instance that missed announcements while it was cut off."""
    cut, other = make_control(1), make_control(2)
    set_synchronized(other)
    fleet.on_announcement(cut, 0.0, RECORD)
    fleet.on_announcement(other, 9_000.0, replace(RECORD, sequence=8))
    fleet.tick(cut, 10_000.0, False)
    fleet.tick(cut, 10_200.0, True)
    assert endpoint_state(cut) == ENDPOINT_READY
    fleet.on_share(cut, 10_300.0, fleet.full_share(other, 10_300.0))
    assert fleet.is_synchronized(cut)
    fleet.tick(cut, 10_400.0, True)
    assert endpoint_state(cut) == ENDPOINT_READY


def test_silent_endpoint_lapses_and_entries_receive_it() -> None:
    """Guard against requests to an endpoint that no longer runs."""
    state = make_control(1)
    set_synchronized(state)
    fleet.on_announcement(state, 0.0, RECORD)
    first = poll(state, 10.0)
    assert first.full
    assert fleet.tick(state, state.lease_ms, True)
    update = poll(state, state.lease_ms + 1, first.endpoint_revision)
    assert [received.record.endpoint_state for received in update.endpoints] == [ENDPOINT_LAPSED]
    assert not update.full


def test_drain_is_repeated_after_a_lost_share() -> None:
    """Guard against a drain that is missed because one share was lost."""
    states = [make_control(1), make_control(2)]
    fleet.on_announcement(states[0], 0.0, RECORD)
    exchange(states, 10.0)
    fleet.on_announcement(
        states[0], 20.0, replace(RECORD, sequence=2, endpoint_state=ENDPOINT_DRAINING)
    )
    fleet.incremental_share(states[0], 30.0)
    exchange(states, 230.0)
    assert endpoint_state(states[1]) == ENDPOINT_DRAINING


def test_late_announcement_elsewhere_does_not_undo_a_departure() -> None:
    """Guard against a departed endpoint that becomes ready through another control instance."""
    states = [make_control(1), make_control(2)]
    fleet.on_departure(states[0], 10.0, 'i-1', 0, 5_000)
    exchange(states, 20.0)
    assert fleet.on_announcement(states[1], 30.0, RECORD) is MergeResult.OUTDATED
    assert endpoint_state(states[1]) == ENDPOINT_LEFT


def test_instance_detects_whether_a_majority_receives_its_shares() -> None:
    """Guard against acknowledging announcements when no share gets out, as in a one-way cut."""
    states = [make_control(1), make_control(2), make_control(3)]
    voters = [state.own_status.instance for state in states]
    exchange(states, 10.0)
    exchange(states, 210.0)
    assert fleet.is_received_by_majority(states[0], 210.0, voters)
    for now_ms in range(410, 3_000, 200):
        fleet.incremental_share(states[0], float(now_ms))
        exchange(states[1:], float(now_ms))
        for other in states[1:]:
            fleet.on_share(states[0], float(now_ms), fleet.incremental_share(other, float(now_ms)))
    assert not fleet.is_received_by_majority(states[0], 3_000.0, voters)
    assert fleet.is_received_by_majority(states[1], 3_000.0, voters)


def test_entry_that_polls_one_instance_is_known_to_all() -> None:
    """Guard against callers that are sent to some of the entry instances only."""
    states = [make_control(1), make_control(2)]
    poll(states[0], 10.0)
    exchange(states, 20.0)
    assert [each.instance for each in fleet.live_entries(states[1], 30.0)] == ['10.0.1.1']
    assert fleet.live_entries(states[1], 30.0 + fleet.ENTRY_LIVE_MS) == ()


def test_stopping_entry_is_not_advertised() -> None:
    """Guard against callers that are sent to an instance that is about to stop."""
    state = make_control(1)
    stopping = replace(ENTRY, ready=False, stopping=True)
    fleet.on_feed_poll(state, 10.0, FeedPoll(1, stopping, 0, 0), True, 5, b'')
    assert advertised_entries(fleet.live_entries(state, 20.0), None) == ()


def test_readiness_of_an_entry_is_shared_at_once() -> None:
    """Guard against callers that get a stopped entry, or none although one is ready."""
    state = make_control(1)
    stopping = replace(ENTRY, ready=False, stopping=True)
    cases = ((ENTRY, True), (ENTRY, False), (stopping, True), (stopping, False))
    for number, (status, is_pending) in enumerate(cases):
        feed_poll = FeedPoll(1, replace(status, sequence=number), 0, 0)
        fleet.on_feed_poll(state, 10.0, feed_poll, True, 5, b'')
        assert state.share_pending is is_pending
        fleet.incremental_share(state, 10.0)
        assert not state.share_pending


def test_late_poll_does_not_undo_a_newer_one() -> None:
    """Guard against a ready entry that is not advertised because its first poll arrives late."""
    states = [make_control(1), make_control(2)]
    starting = replace(ENTRY, ready=False, sequence=1)
    ready = replace(ENTRY, sequence=2)
    fleet.on_feed_poll(states[0], 10.0, FeedPoll(2, ready, 0, 0), True, 5, b'')
    exchange(states, 20.0)
    fleet.on_feed_poll(states[1], 500.0, FeedPoll(1, starting, 0, 0), True, 5, b'')
    exchange(states, 520.0)
    for state in states:
        assert [each.ready for each in fleet.live_entries(state, 530.0)] == [True]
    # A control instance that knows the entry from its late poll only is corrected by a share.
    third = make_control(3)
    fleet.on_feed_poll(third, 540.0, FeedPoll(1, starting, 0, 0), True, 5, b'')
    exchange([states[0], third], 550.0)
    assert [each.ready for each in fleet.live_entries(third, 560.0)] == [True]


def test_document_is_sent_only_to_entries_without_it() -> None:
    """Guard against a configuration that is sent again with each poll."""
    state = make_control(1)
    assert poll(state, 10.0).document == b'document'
    current = replace(ENTRY, route_version=5)
    reply = fleet.on_feed_poll(state, 20.0, FeedPoll(2, current, 0, 0), True, 5, b'document')
    assert reply.document == b''
    assert reply.route_version == 5


def test_crash_reports_reach_all_entries() -> None:
    """Guard against a request that crashes endpoints again through each entry instance."""
    states = [make_control(1), make_control(2)]
    crash = RequestCrash('digest', 'i-1', 1_000, 5.0, 'north')
    feed_poll = FeedPoll(1, ENTRY, 0, 0, 0.0, (crash,))
    fleet.on_feed_poll(states[0], 10.0, feed_poll, True, 5, b'')
    exchange(states, 20.0)
    # Without the failure domain, the others would condemn what was in flight when one was lost.
    assert poll(states[1], 30.0).crashes == (replace(crash, age_ms=25.0),)


def poll_from_entry(state: fleet.FleetState, now_ms: float, entry: EntryStatus = ENTRY) -> None:
    feed_poll = FeedPoll(1, replace(entry, sequence=int(now_ms) + 1), 0, 0)
    fleet.on_feed_poll(state, now_ms, feed_poll, True, 5, b'document')


def test_unchanged_entries_stay_live_by_short_renewals() -> None:
    """Guard against shares that repeat unchanged entries, and against entries that expire."""
    states = [make_control(1), make_control(2)]
    sizes = []
    for now_ms in range(0, 6_000, 200):
        for number in range(20):
            poll_from_entry(states[0], now_ms, replace(ENTRY, instance=f'10.0.1.{number}'))
        share = fleet.incremental_share(states[0], now_ms)
        sizes.append(len(encode_peer('10.0.0.1', [share])))
        fleet.on_share(states[1], now_ms, share)
        assert len(fleet.live_entries(states[1], now_ms)) == 20
    assert sum(sizes[1:]) < sizes[0] * len(sizes[1:]) * 2 / 3


def test_readiness_change_is_repeated_after_a_lost_share() -> None:
    """Guard against callers that are sent to a stopping entry because one share was lost."""
    states = [make_control(1), make_control(2)]
    poll_from_entry(states[0], 0.0)
    exchange(states, 10.0)
    poll_from_entry(states[0], 300.0, replace(ENTRY, ready=False, stopping=True))
    fleet.incremental_share(states[0], 310.0)
    poll_from_entry(states[0], 600.0, replace(ENTRY, ready=False, stopping=True))
    poll_from_entry(states[0], 900.0, replace(ENTRY, ready=False, stopping=True))
    exchange(states, 910.0)
    (known,) = fleet.live_entries(states[1], 910.0)
    assert (known.ready, known.stopping) == (False, True)


def test_renewal_of_an_unknown_entry_requests_a_full_share() -> None:
    """Guard against an entry that stays unknown because its first share was lost."""
    states = [make_control(1), make_control(2)]
    set_synchronized(states[0])
    set_synchronized(states[1])
    poll_from_entry(states[0], 0.0)
    fleet.incremental_share(states[0], 10.0)
    poll_from_entry(states[0], 600.0)
    exchange(states, 610.0)
    assert fleet.live_entries(states[1], 610.0) == ()
    assert fleet.incremental_share(states[1], 810.0).wants_full
    fleet.on_share(states[1], 820.0, fleet.full_share(states[0], 820.0))
    assert len(fleet.live_entries(states[1], 820.0)) == 1


def test_restarted_entry_is_shared_in_full() -> None:
    """Guard against the address of an earlier incarnation."""
    states = [make_control(1), make_control(2)]
    poll_from_entry(states[0], 0.0)
    exchange(states, 10.0)
    poll_from_entry(states[0], 300.0, replace(ENTRY, incarnation=2, caller_address='10.0.1.1:81'))
    exchange(states, 310.0)
    (known,) = fleet.live_entries(states[1], 310.0)
    assert known.caller_address == '10.0.1.1:81'


def test_only_leaving_endpoints_are_urgent() -> None:
    """Guard against an update that is pushed to all entries for each endpoint that starts."""
    state = make_control(1)
    fleet.on_announcement(state, 0.0, RECORD)
    assert not fleet.has_urgent_change(state, 0)
    revision = state.announced.revision
    fleet.on_announcement(
        state, 10.0, replace(RECORD, endpoint_state=ENDPOINT_DRAINING, sequence=2)
    )
    assert fleet.has_urgent_change(state, revision)
    assert not fleet.has_urgent_change(state, state.announced.revision)


def test_entry_on_its_way_to_a_nearer_instance_gets_no_endpoints() -> None:
    """Guard against updates that an entry instance gets from two failure domains."""
    far, near = make_control(1), make_control(2)
    near.own_status = replace(near.own_status, failure_domain='b')
    set_synchronized(far)
    entry = replace(ENTRY, failure_domain='b')
    fleet.on_announcement(far, 0.0, RECORD)
    first_poll = FeedPoll(1, replace(entry, sequence=1), 0, 0, prefers_near=True)
    # Without an instance there, the entry gets everything here.
    assert len(fleet.on_feed_poll(far, 10.0, first_poll, True, 5, b'document').endpoints) == 1
    exchange([far, near], 20.0)
    reply = fleet.on_feed_poll(far, 30.0, first_poll, True, 5, b'document')
    assert (reply.endpoints, reply.document, reply.endpoint_revision) == ((), b'', 0)
    assert {location.failure_domain for location in reply.controls} == {'a', 'b'}
    assert fleet.push_receivers(far, 40.0) == ()
    # It comes back if the nearer instance does not answer.
    later_poll = FeedPoll(2, replace(entry, sequence=2), 0, 0)
    assert len(fleet.on_feed_poll(far, 500.0, later_poll, True, 5, b'document').endpoints) == 1
    assert fleet.push_receivers(far, 510.0) == (entry.instance,)


def test_helpers_are_named_once_and_then_by_their_digest() -> None:
    """Guard against the list of helpers in each reply, and an entry that keeps an old one."""
    state = make_control(1)
    state.entry_limit, state.query_shard_count = 2, 40
    for number in range(6):
        name = f'10.0.1.{number}'
        poll_of_entry = FeedPoll(1, replace(ENTRY, instance=name, sequence=1), 0, 0)
        fleet.on_feed_poll(state, 10.0, poll_of_entry, True, 5, b'')

    def ask(digest: int, now_ms: float) -> FeedReply:
        entry = replace(ENTRY, instance='10.0.1.0', sequence=int(now_ms))
        feed_poll = FeedPoll(1, entry, 0, 0, helpers_digest=digest)
        return fleet.on_feed_poll(state, now_ms, feed_poll, True, 5, b'')

    first = ask(0, 20.0)
    assert len(first.advertised) == 2
    assert len(first.helpers) == 4
    assert first.helpers[:2] == first.advertised
    assert ask(first.helpers_digest, 30.0).helpers == ()
    stopping = replace(ENTRY, instance=first.helpers[-1].instance, sequence=2, stopping=True)
    fleet.on_feed_poll(state, 40.0, FeedPoll(1, stopping, 0, 0), True, 5, b'')
    changed = ask(first.helpers_digest, 50.0)
    assert changed.helpers_digest != first.helpers_digest
    assert stopping.instance not in {each.instance for each in changed.helpers}
    # Without helpers beyond the advertised instances there is nothing to name.
    state.query_shard_count = 10
    assert (ask(0, 60.0).helpers, ask(0, 70.0).helpers_digest) == ((), 0)
