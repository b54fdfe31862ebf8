"""Sum what happened recently by key."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Hashable

Key = TypeVar('Key', bound='Hashable')

# Amounts shrink in steps of this part of their half-life.
STEP_RATIO = 0.01
# An amount below this part of all is forgotten.
MIN_RATIO = 1e-4
# Bounds the memory; the smallest amounts are forgotten first.
MAX_KEY_COUNT = 512


class RecentTally(Generic[Key]):
    """Hold amounts by key, each of which halves in a fixed time."""

    __slots__ = ('_half_life_ms', '_updated_ms', 'amounts')

    def __init__(self, half_life_ms: float) -> None:
        self.amounts: dict[Key, float] = {}
        self._half_life_ms = half_life_ms
        self._updated_ms = 0.0

    def add(self, now_ms: float, key: Key, amount: float) -> None:
        """Add an amount."""
        self._shrink(now_ms)
        self.amounts[key] = self.amounts.get(key, 0.0) + amount
        if len(self.amounts) > MAX_KEY_COUNT:
            del self.amounts[min(self.amounts, key=self.amounts.__getitem__)]

    def _shrink(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms < STEP_RATIO * self._half_life_ms:
            return
        self._updated_ms = now_ms
        factor = 0.5 ** (elapsed_ms / self._half_life_ms)
        smallest = MIN_RATIO * sum(self.amounts.values())
        self.amounts = {
            key: amount * factor for key, amount in self.amounts.items() if amount > smallest
        }
