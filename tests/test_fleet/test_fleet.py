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


def control(number: int, now_ms: float = 0.0) -> fleet.FleetState:
    status = ControlStatus(f'10.0.0.{number}', 1, 'a', f'10.0.0.{number}-first')
    return fleet.FleetState(status, HEARTBEAT_MS, now_ms)


def settle(state: fleet.FleetState) -> None:
    state.unsynced_since_ms = None


def exchange(states: list[fleet.FleetState], now_ms: float) -> None:
    """Carry one round of shares between all instances."""
    shares = [(state, fleet.incremental_share(state, now_ms)) for state in states]
    for sender, share in shares:
        for receiver in states:
            if receiver is not sender:
                fleet.on_share(receiver, now_ms, share)


def poll(state: fleet.FleetState, now_ms: float, revision: int = 0) -> FeedReply:
    incarnation = state.own.incarnation if revision else 0
    question = FeedPoll(1, replace(ENTRY, sequence=int(now_ms)), incarnation, revision)
    return fleet.on_feed_poll(state, now_ms, question, True, 5, b'document')


def endpoint_state(state: fleet.FleetState) -> str:
    return state.announced.endpoints['i-1'].record.endpoint_state


def test_what_one_hears_all_know_after_a_round() -> None:
    """Guard against an endpoint that is known only where it announced itself."""
    states = [control(1), control(2), control(3)]
    fleet.on_announcement(states[0], 10.0, RECORD)
    exchange(states, 20.0)
    assert all(endpoint_state(state) == ENDPOINT_READY for state in states)


def test_endpoint_that_announces_itself_elsewhere_does_not_lapse() -> None:
    """Guard against a live endpoint that lapses where it is only heard of."""
    states = [control(1), control(2)]
    for state in states:
        settle(state)
    for beat in range(1, 12):
        now_ms = beat * HEARTBEAT_MS
        fleet.on_announcement(states[0], now_ms, replace(RECORD, sequence=beat))
        exchange(states, now_ms + 100.0)
        for state in states:
            fleet.tick(state, now_ms + 200.0, True)
        assert endpoint_state(states[1]) == ENDPOINT_READY


def test_renewals_of_an_unknown_endpoint_ask_for_everything() -> None:
    """Guard against an endpoint that stays unknown where only its renewals are heard."""
    states = [control(1), control(2)]
    settle(states[0])
    settle(states[1])
    fleet.on_announcement(states[0], 10.0, RECORD)
    fleet.incremental_share(states[0], 20.0)
    fleet.on_announcement(states[0], 1_210.0, replace(RECORD, sequence=2))
    exchange(states, 1_220.0)
    assert 'i-1' not in states[1].announced.endpoints
    asking = fleet.incremental_share(states[1], 1_420.0)
    assert asking.wants_full
    fleet.on_share(states[1], 1_430.0, fleet.full_share(states[0], 1_430.0))
    assert endpoint_state(states[1]) == ENDPOINT_READY
    assert not fleet.incremental_share(states[1], 1_620.0).wants_full


def test_instance_without_a_quorum_lapses_nothing() -> None:
    """Guard against all endpoints being lost because one control instance was cut off."""
    state = control(1)
    settle(state)
    fleet.on_announcement(state, 0.0, RECORD)
    for now_ms in range(0, 20_000, 200):
        fleet.tick(state, float(now_ms), False)
    assert endpoint_state(state) == ENDPOINT_READY
    assert not fleet.is_synchronized(state)


def test_instance_that_was_cut_off_trusts_itself_after_a_full_share() -> None:
    """Guard against lapses from a table that missed announcements during a cut."""
    cut, other = control(1), control(2)
    settle(other)
    fleet.on_announcement(cut, 0.0, RECORD)
    fleet.on_announcement(other, 9_000.0, replace(RECORD, sequence=8))
    fleet.tick(cut, 10_000.0, False)
    fleet.tick(cut, 10_200.0, True)
    assert endpoint_state(cut) == ENDPOINT_READY
    fleet.on_share(cut, 10_300.0, fleet.full_share(other, 10_300.0))
    assert fleet.is_synchronized(cut)
    fleet.tick(cut, 10_400.0, True)
    assert endpoint_state(cut) == ENDPOINT_READY


def test_silent_endpoint_lapses_and_entries_are_told() -> None:
    """Guard against requests to an endpoint that is gone."""
    state = control(1)
    settle(state)
    fleet.on_announcement(state, 0.0, RECORD)
    first = poll(state, 10.0)
    assert first.full
    assert fleet.tick(state, state.lease_ms, True)
    update = poll(state, state.lease_ms + 1, first.endpoint_revision)
    assert [received.record.endpoint_state for received in update.endpoints] == [ENDPOINT_LAPSED]
    assert not update.full


def test_drain_is_repeated_until_all_have_it() -> None:
    """Guard against a drain that is forgotten because one share was lost."""
    states = [control(1), control(2)]
    fleet.on_announcement(states[0], 0.0, RECORD)
    exchange(states, 10.0)
    fleet.on_announcement(
        states[0], 20.0, replace(RECORD, sequence=2, endpoint_state=ENDPOINT_DRAINING)
    )
    fleet.incremental_share(states[0], 30.0)
    exchange(states, 230.0)
    assert endpoint_state(states[1]) == ENDPOINT_DRAINING


def test_departure_outlives_a_late_announcement_elsewhere() -> None:
    """Guard against an endpoint that comes back through another control instance."""
    states = [control(1), control(2)]
    fleet.on_departure(states[0], 10.0, 'i-1', 0, 5_000)
    exchange(states, 20.0)
    assert fleet.on_announcement(states[1], 30.0, RECORD) is MergeResult.OUTDATED
    assert endpoint_state(states[1]) == ENDPOINT_LEFT


def test_instance_knows_whether_a_majority_hears_it() -> None:
    """Guard against acknowledging what nobody else learns, behind a cut in one direction."""
    states = [control(1), control(2), control(3)]
    voters = [state.own.instance for state in states]
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


def test_entries_are_known_everywhere_while_they_poll_one() -> None:
    """Guard against callers that are sent to a part of the entry instances only."""
    states = [control(1), control(2)]
    poll(states[0], 10.0)
    exchange(states, 20.0)
    assert [each.instance for each in fleet.live_entries(states[1], 30.0)] == ['10.0.1.1']
    assert fleet.live_entries(states[1], 30.0 + fleet.ENTRY_LIVE_MS) == ()


def test_stopping_entry_is_not_given_to_callers() -> None:
    """Guard against callers that are sent to an instance that is about to end."""
    state = control(1)
    stopping = replace(ENTRY, ready=False, stopping=True)
    fleet.on_feed_poll(state, 10.0, FeedPoll(1, stopping, 0, 0), True, 5, b'')
    assert advertised_entries(fleet.live_entries(state, 20.0), None) == ()


def test_readiness_of_an_entry_is_shared_at_once() -> None:
    """Guard against callers that are sent to a stopped entry, or to none while one is ready."""
    state = control(1)
    stopping = replace(ENTRY, ready=False, stopping=True)
    said = ((ENTRY, True), (ENTRY, False), (stopping, True), (stopping, False))
    for number, (status, soon) in enumerate(said):
        poll_of_it = FeedPoll(1, replace(status, sequence=number), 0, 0)
        fleet.on_feed_poll(state, 10.0, poll_of_it, True, 5, b'')
        assert state.share_pending is soon
        fleet.incremental_share(state, 10.0)
        assert not state.share_pending


def test_late_poll_does_not_undo_a_newer_one() -> None:
    """Guard against a ready entry that no caller is sent to, because of a poll of its start."""
    states = [control(1), control(2)]
    starting = replace(ENTRY, ready=False, sequence=1)
    ready = replace(ENTRY, sequence=2)
    fleet.on_feed_poll(states[0], 10.0, FeedPoll(2, ready, 0, 0), True, 5, b'')
    exchange(states, 20.0)
    fleet.on_feed_poll(states[1], 500.0, FeedPoll(1, starting, 0, 0), True, 5, b'')
    exchange(states, 520.0)
    for state in states:
        assert [each.ready for each in fleet.live_entries(state, 530.0)] == [True]
    # A control instance that hears of the entry first by the late poll learns better.
    third = control(3)
    fleet.on_feed_poll(third, 540.0, FeedPoll(1, starting, 0, 0), True, 5, b'')
    exchange([states[0], third], 550.0)
    assert [each.ready for each in fleet.live_entries(third, 560.0)] == [True]


def test_document_is_sent_only_to_who_lacks_it() -> None:
    """Guard against a configuration that is sent again with each poll."""
    state = control(1)
    assert poll(state, 10.0).document == b'document'
    current = replace(ENTRY, route_version=5)
    reply = fleet.on_feed_poll(state, 20.0, FeedPoll(2, current, 0, 0), True, 5, b'document')
    assert reply.document == b''
    assert reply.route_version == 5


def test_crash_reports_reach_all_entries() -> None:
    """Guard against a request that crashes endpoints through each entry instance anew."""
    states = [control(1), control(2)]
    crash = RequestCrash('digest', 'i-1', 1_000, 5.0)
    question = FeedPoll(1, ENTRY, 0, 0, 0.0, (crash,))
    fleet.on_feed_poll(states[0], 10.0, question, True, 5, b'')
    exchange(states, 20.0)
    assert [each.digest for each in poll(states[1], 30.0).crashes] == ['digest']


def entry_poll(state: fleet.FleetState, now_ms: float, entry: EntryStatus = ENTRY) -> None:
    question = FeedPoll(1, replace(entry, sequence=int(now_ms) + 1), 0, 0)
    fleet.on_feed_poll(state, now_ms, question, True, 5, b'document')


def test_unchanged_entries_stay_known_by_short_renewals() -> None:
    """Guard against control bytes that repeat what never changes, and entries lost for it."""
    states = [control(1), control(2)]
    sizes = []
    for now_ms in range(0, 6_000, 200):
        for number in range(20):
            entry_poll(states[0], now_ms, replace(ENTRY, instance=f'10.0.1.{number}'))
        share = fleet.incremental_share(states[0], now_ms)
        sizes.append(len(encode_peer('10.0.0.1', [share])))
        fleet.on_share(states[1], now_ms, share)
        assert len(fleet.live_entries(states[1], now_ms)) == 20
    assert sum(sizes[1:]) < sizes[0] * len(sizes[1:]) * 2 / 3


def test_a_lost_share_does_not_keep_an_entry_ready() -> None:
    """Guard against callers sent to a stopping entry because one share was lost."""
    states = [control(1), control(2)]
    entry_poll(states[0], 0.0)
    exchange(states, 10.0)
    entry_poll(states[0], 300.0, replace(ENTRY, ready=False, stopping=True))
    fleet.incremental_share(states[0], 310.0)
    entry_poll(states[0], 600.0, replace(ENTRY, ready=False, stopping=True))
    entry_poll(states[0], 900.0, replace(ENTRY, ready=False, stopping=True))
    exchange(states, 910.0)
    (known,) = fleet.live_entries(states[1], 910.0)
    assert (known.ready, known.stopping) == (False, True)


def test_renewal_of_an_unknown_entry_asks_for_everything() -> None:
    """Guard against an entry that stays unknown because the share of its start was lost."""
    states = [control(1), control(2)]
    settle(states[0])
    settle(states[1])
    entry_poll(states[0], 0.0)
    fleet.incremental_share(states[0], 10.0)
    entry_poll(states[0], 600.0)
    exchange(states, 610.0)
    assert fleet.live_entries(states[1], 610.0) == ()
    assert fleet.incremental_share(states[1], 810.0).wants_full
    fleet.on_share(states[1], 820.0, fleet.full_share(states[0], 820.0))
    assert len(fleet.live_entries(states[1], 820.0)) == 1


def test_an_entry_that_started_again_is_shared_in_full() -> None:
    """Guard against the address of an earlier start."""
    states = [control(1), control(2)]
    entry_poll(states[0], 0.0)
    exchange(states, 10.0)
    entry_poll(states[0], 300.0, replace(ENTRY, incarnation=2, caller_address='10.0.1.1:81'))
    exchange(states, 310.0)
    (known,) = fleet.live_entries(states[1], 310.0)
    assert known.caller_address == '10.0.1.1:81'


def test_only_leaving_endpoints_are_urgent() -> None:
    """Guard against an update to all entries for each endpoint that starts."""
    state = control(1)
    fleet.on_announcement(state, 0.0, RECORD)
    assert not fleet.has_urgent_change(state, 0)
    revision = state.announced.revision
    fleet.on_announcement(
        state, 10.0, replace(RECORD, endpoint_state=ENDPOINT_DRAINING, sequence=2)
    )
    assert fleet.has_urgent_change(state, revision)
    assert not fleet.has_urgent_change(state, state.announced.revision)
