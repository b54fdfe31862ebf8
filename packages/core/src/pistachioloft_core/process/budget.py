"""Budget of extra attempts, shared by hedges and retries."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Fraction of first attempts that hedges and retries may add.
BUDGET_FRACTION = 0.05
# Upper limit of the fraction in any window, checked when an extra attempt is sent.
WINDOW_FRACTION = 0.10
WINDOW_MS = 10_000.0
# Initial and largest balance. The loss of an owner affects about 15 of 106 endpoints: each needs
# up to 2 retries before its breaker opens, and a query in flight meanwhile uses 7 of them, so
# 2 * 15 + 4 * 7 = 58 retries are needed. One lost endpoint needs 2 or 3. In any window the extra
# attempts are at most this count plus 5% of the first attempts.
ALLOWANCE_COUNT = 64.0
# Hedges leave this balance to retries, since a late answer is better than none.
RETRY_RESERVE_COUNT = 32.0
# Hedges are not restricted while more than this fraction of their balance remains.
AMPLE_FRACTION = 0.7
SLOT_MS = 100.0


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Bound extra attempts: in any window at most the allowance plus a fraction of first ones."""

    budget_fraction: float = BUDGET_FRACTION
    allowance_count: float = ALLOWANCE_COUNT
    reserve_count: float = RETRY_RESERVE_COUNT
    window_fraction: float = WINDOW_FRACTION


class BudgetState:
    """Hold the balance and the counts of the last window."""

    __slots__ = ('_slots', 'balance', 'extra_count', 'first_count', 'limits')

    def __init__(self, limits: BudgetLimits | None = None) -> None:
        self.limits = limits or BudgetLimits()
        self.balance = self.limits.allowance_count
        self.first_count = 0
        self.extra_count = 0
        self._slots: deque[list[float]] = deque()

    def current_slot(self, now_ms: float) -> list[float]:
        """Return the counts of the current slot and drop slots older than the window."""
        slots = self._slots
        while slots and slots[0][0] <= now_ms - WINDOW_MS - SLOT_MS:
            _, first, extra = slots.popleft()
            self.first_count -= int(first)
            self.extra_count -= int(extra)
        if not slots or now_ms >= slots[-1][0] + SLOT_MS:
            slots.append([now_ms, 0, 0])
        return slots[-1]

    def window_counts(self, now_ms: float) -> tuple[int, int]:
        """Return the first and the extra attempts of the last window, without dropping slots."""
        old = [slot for slot in self._slots if slot[0] <= now_ms - WINDOW_MS - SLOT_MS]
        first_count = self.first_count - sum(int(first) for _, first, _ in old)
        return first_count, self.extra_count - sum(int(extra) for _, _, extra in old)


def record_first_attempts(state: BudgetState, now_ms: float, count: int) -> None:
    """Credit the budget for first attempts."""
    state.current_slot(now_ms)[1] += count
    state.first_count += count
    limits = state.limits
    state.balance = min(limits.allowance_count, state.balance + count * limits.budget_fraction)


def set_limits(state: BudgetState, limits: BudgetLimits) -> None:
    """Change the limits; a smaller allowance takes effect at once."""
    state.limits = limits
    state.balance = min(limits.allowance_count, state.balance)


def try_take_retry(state: BudgetState, now_ms: float, count: int = 1) -> bool:
    """Withdraw retries from the budget, all or none; return whether allowed."""
    return _try_take(state, now_ms, count, 0.0)


def try_take_hedge(state: BudgetState, now_ms: float, count: int = 1) -> bool:
    """Withdraw hedges from the budget above the reserve, all or none; return whether allowed."""
    return _try_take(state, now_ms, count, state.limits.reserve_count)


def extra_room_count(state: BudgetState, now_ms: float, reserve_count: float = 0.0) -> int:
    """Return how many extra attempts above a reserve are allowed now, without taking any."""
    first_count, extra_count = state.window_counts(now_ms)
    room_count = min(
        state.balance - reserve_count, _window_limit(state.limits, first_count) - extra_count
    )
    return max(0, int(room_count))


def hedge_scarcity(state: BudgetState) -> float:
    """Return how scarce the balance for hedges is, from 0 (ample) to 1 (spent)."""
    limits = state.limits
    usable_count = limits.allowance_count - limits.reserve_count
    remaining_fraction = (state.balance - limits.reserve_count) / usable_count
    return min(1.0, max(0.0, 1.0 - remaining_fraction / AMPLE_FRACTION))


def _window_limit(limits: BudgetLimits, first_count: int) -> float:
    return max(limits.allowance_count, limits.window_fraction * first_count)


def _try_take(state: BudgetState, now_ms: float, count: int, reserve_count: float) -> bool:
    current_slot = state.current_slot(now_ms)
    if state.balance - count < reserve_count:
        return False
    if state.extra_count + count > _window_limit(state.limits, state.first_count):
        return False
    state.balance -= count
    state.extra_count += count
    current_slot[2] += count
    return True
