"""Log lines whose number a client decides, summed up."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import logging
    from collections.abc import Callable

INTERVAL_S = 5.0


class RepeatedLines:
    """Log the first line of each text at once, and count its repetitions in an interval."""

    def __init__(
        self, logger: logging.Logger, prefix: str, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.logger = logger
        self.prefix = prefix
        self.clock = clock
        # By text: when it was logged last, and how often it was left out since then.
        self._lines: dict[str, tuple[float, int]] = {}

    def add(self, text: str) -> None:
        """Log a text, or count it if it was logged a short while ago."""
        if text in self._lines:
            logged_s, count = self._lines[text]
            self._lines[text] = (logged_s, count + 1)
            return
        self._lines[text] = (self.clock(), 0)
        self.logger.warning('%s %s', self.prefix, text)

    def report(self) -> None:
        """Log how often texts were left out in the intervals that have ended."""
        now_s = self.clock()
        for text, (logged_s, count) in list(self._lines.items()):
            if now_s - logged_s < INTERVAL_S:
                continue
            del self._lines[text]
            if count:
                self._lines[text] = (now_s, 0)
                elapsed_s = now_s - logged_s
                self.logger.warning('%s %s: count=%d in %.0fs', self.prefix, text, count, elapsed_s)
