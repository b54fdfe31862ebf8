"""Guard against announcements that are late, repeated or from an earlier start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from pistachioloft_core.messages.fleet import (
    ENDPOINT_DRAINING,
    ENDPOINT_LAPSED,
    ENDPOINT_LEFT,
    ENDPOINT_READY,
    AnnouncedEndpoint,
)
from pistachioloft_core.process import announced
from pistachioloft_core.process.announced import (
    LEFT_RETENTION_MS,
    AnnouncedState,
    MergeResult,
    expire,
    mark_left,
    merge,
)

if TYPE_CHECKING:
    import pytest

RECORD = AnnouncedEndpoint(
    'i-1', 'catalogue', '10.0.0.1:80', 'a', 2, ENDPOINT_READY, sequence=5, born_ms=1_000
)
LEASE_MS = 4_000.0


def endpoint_state(state: AnnouncedState, endpoint: str = 'i-1') -> str:
    return state.endpoints[endpoint].record.endpoint_state


def test_late_announcement_does_not_undo_a_drain() -> None:
    """Guard against requests to a draining endpoint because an announcement arrives late."""
    state = AnnouncedState()
    merge(state, replace(RECORD, sequence=7, endpoint_state=ENDPOINT_DRAINING), 10.0)
    assert merge(state, replace(RECORD, sequence=6), 20.0) is MergeResult.OUTDATED
    assert merge(state, replace(RECORD, sequence=8), 30.0) is MergeResult.OUTDATED
    assert endpoint_state(state) == ENDPOINT_DRAINING


def test_later_start_of_a_departed_endpoint_is_accepted() -> None:
    """Guard against a restarted endpoint that is mistaken for the start that left."""
    state = AnnouncedState()
    merge(state, RECORD, 10.0)
    assert mark_left(state, 'i-1', 0, 9_000, 20.0)
    assert merge(state, replace(RECORD, sequence=1, born_ms=2_000), 30.0) is MergeResult.CHANGED
    assert endpoint_state(state) == ENDPOINT_READY


def test_announcement_delayed_past_the_departure_is_outdated() -> None:
    """Guard against a departed endpoint that is ready again because its departure came first."""
    state = AnnouncedState()
    assert mark_left(state, 'i-1', 0, 5_000, 20.0)
    assert merge(state, RECORD, 30.0) is MergeResult.OUTDATED
    assert endpoint_state(state) == ENDPOINT_LEFT
    assert merge(state, replace(RECORD, born_ms=6_000), 40.0) is MergeResult.CHANGED


def test_address_is_assigned_to_the_latest_start() -> None:
    """Guard against a delayed announcement that reclaims an address."""
    state = AnnouncedState()
    other = replace(RECORD, endpoint='i-2', service='billing', born_ms=3_000, sequence=1)
    merge(state, RECORD, 10.0)
    merge(state, other, 20.0)
    assert endpoint_state(state, 'i-1') == ENDPOINT_LEFT
    late = replace(RECORD, endpoint='i-0', born_ms=500)
    merge(state, late, 30.0)
    assert endpoint_state(state, 'i-0') == ENDPOINT_LEFT
    assert endpoint_state(state, 'i-2') == ENDPOINT_READY


def test_silent_endpoint_lapses_until_a_newer_announcement() -> None:
    """Guard against a lost endpoint that stays usable, and a live one that stays lapsed."""
    state = AnnouncedState()
    merge(state, RECORD, 0.0)
    assert expire(state, LEASE_MS - 1, LEASE_MS) == []
    assert expire(state, LEASE_MS, LEASE_MS) == ['i-1']
    assert merge(state, RECORD, LEASE_MS + 1) is MergeResult.OUTDATED
    assert endpoint_state(state) == ENDPOINT_LAPSED
    assert merge(state, replace(RECORD, sequence=6), LEASE_MS + 2) is MergeResult.CHANGED
    assert endpoint_state(state) == ENDPOINT_READY


def test_departed_endpoints_are_removed_after_their_retention() -> None:
    """Guard against records that are never removed."""
    state = AnnouncedState()
    mark_left(state, 'i-1', 0, 5_000, 0.0)
    expire(state, LEFT_RETENTION_MS, LEASE_MS)
    assert state.endpoints == {}


RECORDS = st.builds(
    AnnouncedEndpoint,
    endpoint=st.sampled_from(('i-1', 'i-2')),
    service=st.sampled_from(('catalogue', 'billing')),
    address=st.sampled_from(('10.0.0.1:80', '10.0.0.2:80')),
    failure_domain=st.just('a'),
    slot_count=st.just(2),
    endpoint_state=st.sampled_from((ENDPOINT_READY, ENDPOINT_DRAINING, ENDPOINT_LEFT)),
    sequence=st.integers(1, 4),
    born_ms=st.integers(1, 4),
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(RECORDS, max_size=12))
def test_address_has_one_endpoint_and_departure_is_final(
    records: list[AnnouncedEndpoint],
) -> None:
    """Guard against two endpoints at one address and against a departure that is undone."""
    state = AnnouncedState()
    last_states: dict[tuple[str, int], str] = {}
    for step, record in enumerate(records):
        merge(state, record, float(step))
        present = [
            entry.record
            for entry in state.endpoints.values()
            if entry.record.endpoint_state != ENDPOINT_LEFT
        ]
        addresses = [each.address for each in present]
        assert len(addresses) == len(set(addresses))
        for entry in state.endpoints.values():
            key = (entry.record.endpoint, entry.record.born_ms)
            if last_states.get(key) == ENDPOINT_LEFT:
                assert entry.record.endpoint_state == ENDPOINT_LEFT
            elif last_states.get(key) == ENDPOINT_DRAINING:
                assert entry.record.endpoint_state != ENDPOINT_READY
            last_states[key] = entry.record.endpoint_state


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(RECORDS, max_size=8), st.integers(0, 8))
def test_reader_of_the_change_log_sees_every_change(
    records: list[AnnouncedEndpoint], read_phase: int
) -> None:
    """Guard against a change that is missing for a reader that follows the revisions."""
    state = AnnouncedState()
    read_records: dict[str, AnnouncedEndpoint] = {}
    revision = 0
    for step, record in enumerate(records):
        merge(state, record, float(step))
        if step % 3 == read_phase % 3:
            for name in state.changed_since(revision):
                read_records[name] = state.endpoints[name].record
            revision = state.revision
    for name in state.changed_since(revision):
        read_records[name] = state.endpoints[name].record
    known = {name: entry.record for name, entry in state.endpoints.items()}
    assert {name: each.endpoint_state for name, each in read_records.items()} == {
        name: each.endpoint_state for name, each in known.items()
    }


def test_departures_of_unknown_endpoints_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against departures that fill the memory, since each is kept for a while."""
    monkeypatch.setattr(announced, 'ENDPOINT_LIMIT_COUNT', 3)
    state = AnnouncedState()
    assert [mark_left(state, f'i-{number}', 0, 5_000, 20.0) for number in range(5)] == [
        *(True, True, True),
        *(False, False),
    ]
    assert len(state.endpoints) == 3
