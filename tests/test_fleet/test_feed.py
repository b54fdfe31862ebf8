"""Guard against an entry instance that loses its feed or follows the wrong control instance."""

from __future__ import annotations

import random

from msgspec.structs import replace

from pistachioloft_core.messages.fleet import (
    ENDPOINT_DRAINING,
    ENDPOINT_LAPSED,
    ENDPOINT_READY,
    AnnouncedEndpoint,
    EntryStatus,
    FeedReply,
    InstanceLocation,
    ReceivedEndpoint,
)
from pistachioloft_core.process import feed
from pistachioloft_core.process.endpoint_table import (
    REPLY_VALID_MS,
    EndpointTable,
    apply_update,
    remove_missing_endpoints,
    withdraw_silent,
)

SEEDS = ('10.0.0.1', '10.0.0.2', '10.0.0.3')
LOCATIONS = tuple(InstanceLocation(seed, domain) for seed, domain in zip(SEEDS, 'abc', strict=True))
ENTRY = EntryStatus('10.0.1.1', 1, 'a', '10.0.1.1:80', '10.0.1.1:90', True, False, 0)
RECORD = AnnouncedEndpoint('i-1', 'catalogue', '10.9.0.1:80', 'a', 2, ENDPOINT_READY, 1, 1_000)


def reply(poll_id: int, revision: int = 1, since: int = 0, synchronized: bool = True) -> FeedReply:
    return FeedReply(
        poll_id,
        7,
        True,
        synchronized,
        since == 0,
        since,
        revision,
        (),
        3,
        b'',
        LOCATIONS,
        ('10.0.1.1',),
    )


def make_feed_state() -> feed.FeedState:
    return feed.FeedState(SEEDS, 'b', random.Random(3))


def test_silent_control_instance_is_replaced_by_another() -> None:
    """Guard against an entry instance that polls only a control instance that no longer runs."""
    state = make_feed_state()
    targets = []
    for now_ms in range(0, 2_000, 50):
        due = feed.next_poll(state, float(now_ms), ENTRY)
        if due is not None:
            targets.append(due.to)
    assert set(targets) == set(SEEDS)


def test_replying_control_instance_stays_the_target() -> None:
    """Guard against a target that changes without need, which costs a full update each time."""
    state = make_feed_state()
    targets = []
    for now_ms in range(0, 5_000, 50):
        due = feed.next_poll(state, float(now_ms), ENTRY)
        if due is not None:
            targets.append(due.to)
            feed.on_feed(state, now_ms + 1.0, due.to, reply(due.poll.poll_id))
    # The instance of the own failure domain, once its location is known.
    assert set(targets[1:]) == {SEEDS[1]}


def test_silent_instance_of_the_own_domain_is_avoided() -> None:
    """Guard against polls that return to a lost instance because it is in the own domain."""
    state = make_feed_state()
    targets = []
    for now_ms in range(0, 8_000, 50):
        due = feed.next_poll(state, float(now_ms), ENTRY)
        if due is None:
            continue
        targets.append(due.to)
        if due.to != SEEDS[1]:
            feed.on_feed(state, now_ms + 1.0, due.to, reply(due.poll.poll_id))
    assert targets.count(SEEDS[1]) <= 6


def test_instance_without_a_quorum_is_given_up() -> None:
    """Guard against an entry instance that follows a control instance that is cut off."""
    state = make_feed_state()
    first = feed.next_poll(state, 0.0, ENTRY)
    assert first is not None
    unconfirmed = replace(reply(first.poll.poll_id), confirmed=False, synchronized=False)
    feed.on_feed(state, 1.0, first.to, unconfirmed)
    # After a search interval, a third of the poll interval.
    second = feed.next_poll(state, 1.0 + feed.SEARCH_INTERVAL_MS, ENTRY)
    assert second is not None
    assert second.to != first.to
    assert feed.confirmation_age_ms(state, 2.0) == float('inf')


def test_given_up_control_instances_are_named_with_the_reason() -> None:
    """Guard against logs that do not tell unanswered polls from a missing quorum."""
    state = make_feed_state()
    first = feed.next_poll(state, 0.0, ENTRY)
    assert first is not None
    unconfirmed = replace(reply(first.poll.poll_id), confirmed=False, synchronized=False)
    feed.on_feed(state, 1.0, first.to, unconfirmed)
    assert feed.take_given_up(state) == [feed.GivenUpControl(first.to, feed.UNCONFIRMED, 0.0)]
    second = feed.next_poll(state, 1_000.0, ENTRY)
    assert second is not None
    for now_ms in (1_300.0, 1_400.0):
        feed.next_poll(state, now_ms, ENTRY)
    (given_up,) = feed.take_given_up(state)
    assert (given_up.instance, given_up.reason) == (second.to, feed.SILENT)
    assert given_up.received_age_ms == 400.0
    assert feed.take_given_up(state) == []


def test_late_reply_counts_from_the_sending_of_the_poll() -> None:
    """Guard against a reply that waited in a buffer and counts as a new confirmation."""
    state = make_feed_state()
    due = feed.next_poll(state, 0.0, ENTRY)
    assert due is not None
    assert feed.on_feed(state, 5_000.0, due.to, reply(due.poll.poll_id))
    assert feed.confirmation_age_ms(state, 5_000.0) == 5_000.0
    assert not feed.on_feed(state, 5_001.0, due.to, reply(due.poll.poll_id))


def test_update_after_a_lost_one_is_not_applied() -> None:
    """Guard against a change of an endpoint that is skipped because an update was lost."""
    state = make_feed_state()
    due = feed.next_poll(state, 0.0, ENTRY)
    assert due is not None
    first = replace(reply(due.poll.poll_id, revision=5), controls=())
    assert feed.on_feed(state, 1.0, due.to, first)
    assert not feed.on_feed(state, 2.0, due.to, reply(0, revision=8, since=7))
    assert feed.on_feed(state, 3.0, due.to, replace(reply(0, revision=8, since=4), controls=()))
    following = feed.next_poll(state, 1_000.0, ENTRY)
    assert following is not None
    assert following.poll.endpoint_revision == 8


def apply_record(
    table: EndpointTable, record: AnnouncedEndpoint, synchronized: bool, now_ms: float = 0.0
) -> None:
    apply_update(table, now_ms, (ReceivedEndpoint(record, 0.0),), synchronized)


def usable(table: EndpointTable) -> list[str]:
    return [load.record.endpoint for load in table.usable('catalogue')]


def test_only_a_synchronized_sender_lapses_endpoints() -> None:
    """Guard against a restarted control instance that empties the table."""
    table = EndpointTable()
    apply_record(table, RECORD, True)
    apply_record(table, replace(RECORD, endpoint_state=ENDPOINT_LAPSED), False)
    assert usable(table) == ['i-1']
    apply_record(table, replace(RECORD, endpoint_state=ENDPOINT_LAPSED), True)
    assert usable(table) == []


def test_lapsed_endpoint_is_usable_until_it_stops_replying() -> None:
    """Guard against a lost feed that withdraws endpoints which still reply to this instance."""
    table = EndpointTable()
    apply_record(table, RECORD, True)
    table.endpoints['i-1'].record_reply(1_000.0, 10.0, 10.0)
    apply_record(table, replace(RECORD, endpoint_state=ENDPOINT_LAPSED), True, 1_500.0)
    assert usable(table) == ['i-1']
    assert withdraw_silent(table, 1_000.0 + REPLY_VALID_MS - 1) == []
    assert len(withdraw_silent(table, 1_000.0 + REPLY_VALID_MS)) == 1
    assert usable(table) == []


def test_draining_endpoint_stays_unusable_whoever_announces_it() -> None:
    """Guard against a drain that an unsynchronized sender undoes."""
    table = EndpointTable()
    apply_record(table, RECORD, True)
    apply_record(table, replace(RECORD, endpoint_state=ENDPOINT_DRAINING, sequence=2), False)
    apply_record(table, replace(RECORD, sequence=3), True)
    assert usable(table) == []


def test_full_list_removes_missing_endpoints() -> None:
    """Guard against endpoints that stay forever because their departure was missed."""
    table = EndpointTable()
    apply_record(table, RECORD, True)
    other = replace(RECORD, endpoint='i-2', address='10.9.0.2:80')
    apply_record(table, other, True)
    remove_missing_endpoints(table, (ReceivedEndpoint(other, 0.0),))
    assert usable(table) == ['i-2']


def test_near_instance_is_polled_again_soon_after_it_had_no_quorum() -> None:
    """Guard against feeds from another failure domain for seconds after all have started."""
    state = feed.FeedState(SEEDS, 'b', random.Random(3))
    near, others = SEEDS[1], []
    for now_ms in range(0, 3_000, 50):
        due = feed.next_poll(state, float(now_ms), ENTRY)
        if due is None:
            continue
        has_quorum = now_ms >= 700
        answer = replace(reply(due.poll.poll_id), confirmed=has_quorum, synchronized=has_quorum)
        feed.on_feed(state, now_ms + 1.0, due.to, answer)
        if due.to != near and now_ms > 700 + feed.UNCONFIRMED_AVOID_MS + 300:
            others.append(now_ms)
    assert others == []


def test_first_poll_asks_for_the_nearest_instance_only() -> None:
    """Guard against a full update from another failure domain, and against a start without one."""
    state = make_feed_state()
    first = feed.next_poll(state, 0.0, ENTRY)
    assert first is not None
    assert first.poll.prefers_near
    short = replace(reply(first.poll.poll_id, revision=0), full=False, synchronized=False)
    feed.on_feed(state, 1.0, first.to, short)
    second = feed.next_poll(state, 1.0, ENTRY)
    assert second is not None
    assert second.to == SEEDS[1]
    assert not second.poll.prefers_near
    assert second.poll.endpoint_revision == 0
