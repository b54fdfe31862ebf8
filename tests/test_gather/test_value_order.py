"""Guard against refusals that cost callers more than others would that make the same room."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachioloft_core.messages.routes import Organisation
from pistachioloft_core.request.organisation_shares import OrganisationShares
from pistachioloft_core.request.queue_order import QueuedWork, waiting_rank
from pistachioloft_core.request.recent_tally import MAX_KEY_COUNT, RecentTally
from pistachioloft_core.request.value_order import KindDemand, RequestKind, admitted_shares

# The rules ask for a quarter of the mean; the rest is a margin for estimates.
STARVED_RATIO = 0.25
TOLERANCE = 0.01

demands_of_kinds = st.dictionaries(
    st.builds(RequestKind, st.sampled_from('abcdef'), st.integers(0, 5), st.booleans()),
    st.builds(KindDemand, st.floats(0.1, 1_000.0), st.floats(0.5, 500.0)),
    min_size=1,
    max_size=8,
)


def demanded_work(demands: dict[RequestKind, KindDemand], kind: RequestKind) -> float:
    return demands[kind].arrived_count * demands[kind].work_ms


@given(demands_of_kinds, st.floats(0.0, 0.95))
def test_refused_work_is_what_the_controller_asks(
    demands: dict[RequestKind, KindDemand], refused_fraction: float
) -> None:
    """Guard against queues that grow because too little is refused."""
    shares = admitted_shares(demands, refused_fraction)
    admitted_ms = sum(share * demanded_work(demands, kind) for kind, share in shares.items())
    all_ms = sum(demanded_work(demands, kind) for kind in demands)
    assert admitted_ms == pytest.approx((1.0 - refused_fraction) * all_ms)
    assert all(0.0 <= share <= 1.0 + 1e-9 for share in shares.values())


@given(demands_of_kinds, st.floats(0.0, 0.95))
def test_no_kind_starves(demands: dict[RequestKind, KindDemand], refused_fraction: float) -> None:
    """Guard against a kind that is hardly served because others are worth more."""
    shares = admitted_shares(demands, refused_fraction)
    count = sum(demand.arrived_count for demand in demands.values())
    mean = sum(shares[kind] * demand.arrived_count for kind, demand in demands.items()) / count
    assert min(shares.values()) >= (STARVED_RATIO + TOLERANCE) * mean


@given(demands_of_kinds, st.floats(0.0, 0.95))
def test_more_urgent_kind_is_admitted_as_often(
    demands: dict[RequestKind, KindDemand], refused_fraction: float
) -> None:
    """Guard against an urgent kind that gives way because it needs more work."""
    shares = admitted_shares(demands, refused_fraction)
    for urgent in shares:
        for other in shares:
            if urgent.priority < other.priority and urgent.over_share <= other.over_share:
                assert shares[urgent] >= shares[other] - 1e-9


def test_cheap_and_urgent_kind_is_admitted_first() -> None:
    """Guard against equal refusals where one kind makes much more room for its worth."""
    cheap, wide = RequestKind('probe', 0), RequestKind('sweep', 1)
    shares = admitted_shares({cheap: KindDemand(40.0, 3.0), wide: KindDemand(60.0, 9.0)}, 0.5)
    assert shares[cheap] == pytest.approx(1.0)
    assert shares[wide] < 0.5


def test_one_kind_is_refused_by_the_fraction_of_the_controller() -> None:
    """Guard against another result where there is nothing to choose."""
    kind = RequestKind('all', 1)
    assert admitted_shares({kind: KindDemand(7.0, 10.0)}, 0.3)[kind] == pytest.approx(0.7)


def test_organisation_gives_way_by_its_allotment() -> None:
    """Guard against a large organisation that gives way although its allotment is large."""
    organisations = {
        'large': Organisation('large', rate_per_s=80.0),
        'small': Organisation('small', rate_per_s=20.0),
    }
    shares = OrganisationShares()
    for number in range(100):
        shares.record(float(number), 'small' if number % 5 == 0 else 'large', 10.0)
    assert not shares.uses_too_much('large', organisations)
    for number in range(200):
        shares.record(100.0 + number, 'small', 10.0)
    assert shares.uses_too_much('small', organisations)
    assert not shares.uses_too_much('large', organisations)
    assert not shares.uses_too_much('new', organisations)


def test_organisation_with_little_work_has_a_share() -> None:
    """Guard against an error once the small work of an organisation is forgotten."""
    shares = OrganisationShares()
    for number in range(6_000):
        now_ms = 10.0 * number
        shares.record(now_ms, 'large', 100.0)
        if number % 20 == 0:
            shares.record(now_ms, 'small', 0.1)
        assert not shares.uses_too_much('small', {})


def test_one_of_two_organisations_can_use_too_much() -> None:
    """Guard against a limit that nothing exceeds because each share is a half."""
    shares = OrganisationShares()
    for number in range(2_000):
        shares.record(10.0 * number, 'hot', 10.0)
        if number % 50 == 0:
            shares.record(10.0 * number, 'calm', 10.0)
    assert shares.uses_too_much('hot', {})
    assert not shares.uses_too_much('calm', {})


def test_recent_amounts_are_bounded_and_fade() -> None:
    """Guard against memory that grows with the number of names."""
    tally: RecentTally[int] = RecentTally(1_000.0)
    for number in range(10 * MAX_KEY_COUNT):
        tally.add(0.0, number, 1.0)
    assert len(tally.amounts) <= MAX_KEY_COUNT
    tally.add(60_000.0, -1, 1.0)
    tally.add(60_000.0 + 1_000.0, -1, 1.0)
    assert list(tally.amounts) == [-1]
    assert tally.amounts[-1] == pytest.approx(1.5)


def test_urgent_attempts_wait_less_but_none_waits_without_end() -> None:
    """Guard against urgent attempts behind others, and against others that never run."""
    urgent = QueuedWork(0, 100.0, 140.0, 40.0)
    early = QueuedWork(1, 100.0, 150.0, 120.0)
    late = QueuedWork(1, 90.0, 900.0, 120.0)
    ranked = sorted([late, early, urgent], key=lambda work: waiting_rank(110.0, work))
    assert ranked == [urgent, early, late]
    # Those that have waited for half of their latency target come first, in order of arrival.
    fresh = QueuedWork(0, 155.0, 195.0, 40.0)
    ranked = sorted([fresh, late], key=lambda work: waiting_rank(155.0, work))
    assert ranked == [late, fresh]
