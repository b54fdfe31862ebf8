"""Expand ranges in names, such as `small-{01..50}`."""

from __future__ import annotations

import re

RANGE_COUNT_MAX = 10_000

_RANGE = re.compile(r'([^{}]*)\{([0-9]{1,9})\.\.([0-9]{1,9})\}([^{}]*)')


def expand_range(text: str) -> tuple[str, ...]:
    """Expand the range in a text; return a text without a range unchanged."""
    if '{' not in text and '}' not in text:
        return (text,)
    match = _RANGE.fullmatch(text)
    if match is None:
        raise ValueError(f'expected one range such as {{01..50}}, found {text!r}')
    prefix, first, last, suffix = match.groups()
    numbers = range(int(first), int(last) + 1)
    if not 1 <= len(numbers) <= RANGE_COUNT_MAX:
        raise ValueError(f'expected a range of 1 to {RANGE_COUNT_MAX} numbers, found {text!r}')
    return tuple(f'{prefix}{number:0{len(first)}d}{suffix}' for number in numbers)
