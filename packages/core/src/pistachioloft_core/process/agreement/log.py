"""The replicated log in memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .limits import MAX_APPEND_BYTES, MAX_APPEND_ENTRIES

if TYPE_CHECKING:
    from ...messages.agreement import LogEntry

# Added to the payload length of an entry for its other fields.
ENTRY_OVERHEAD_BYTES = 64


class Log:
    """Hold the entries after a base position that is known to be committed."""

    __slots__ = ('base_index', 'base_term', 'entries')

    def __init__(self, base_index: int, base_term: int, entries: tuple[LogEntry, ...]) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.entries: list[LogEntry] = list(entries)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, or None if the log does not hold it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def matches(self, index: int, term: int) -> bool:
        """Return whether the log holds the entry; before the base, all are committed and match."""
        return index < self.base_index or self.term_at(index) == term

    def conflict_hint(self, index: int) -> int:
        """Return the last index that may match a leader whose entry at `index` differs."""
        if index > self.last_index:
            return self.last_index
        conflicting_term = self.term_at(index)
        while index > self.base_index and self.term_at(index) == conflicting_term:
            index -= 1
        return index

    def between(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from `first` to `last`, both included."""
        offset = self.base_index + 1
        return tuple(self.entries[max(0, first - offset) : max(0, last - offset + 1)])

    def batch(self, first: int, max_count: int) -> tuple[LogEntry, ...]:
        """Return the entries of one append message."""
        count = min(max_count, MAX_APPEND_ENTRIES)
        selected: list[LogEntry] = []
        size_bytes = 0
        for entry in self.between(first, first + count - 1):
            size_bytes += len(entry.payload) + ENTRY_OVERHEAD_BYTES
            if selected and size_bytes > MAX_APPEND_BYTES:
                break
            selected.append(entry)
        return tuple(selected)

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Add entries at the end."""
        self.entries.extend(entries)

    def truncate_from(self, index: int) -> None:
        """Drop the entries at and after an index."""
        del self.entries[max(0, index - self.base_index - 1) :]

    def compact(self, index: int) -> None:
        """Drop the entries up to an index, which becomes the base."""
        term = self.term_at(index)
        if term is not None and index > self.base_index:
            del self.entries[: index - self.base_index]
            self.base_index, self.base_term = index, term

    def reset(self, index: int, term: int) -> None:
        """Drop all entries and start after a snapshot."""
        self.entries.clear()
        self.base_index, self.base_term = index, term
