"""Choose the entry instances that callers should use."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..messages.fleet import EntryStatus

ADDRESS_LIMIT_COUNT = 64


def choose_entries(entries: Iterable[EntryStatus], failure_domain: str) -> tuple[str, ...]:
    """Return the addresses of the ready entry instances for a caller."""
    ready = [entry for entry in entries if entry.ready and not entry.stopping]
    return tuple(entry.caller_address for entry in ready)[:ADDRESS_LIMIT_COUNT]
