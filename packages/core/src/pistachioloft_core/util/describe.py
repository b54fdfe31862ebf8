"""Describe values from files and requests in error messages."""

from __future__ import annotations

from typing import Any

DESCRIPTION_LENGTH_MAX = 80

_TYPE_DESCRIPTIONS = {
    bool: 'a boolean',
    int: 'an integer',
    float: 'a number',
    list: 'a list',
    dict: 'a table',
}


def describe_value(value: Any) -> str:
    """Return the type of a value and its content, shortened to DESCRIPTION_LENGTH_MAX."""
    if value is None:
        return 'nothing'
    try:
        text = repr(value)
    except (ValueError, RecursionError):
        # Python does not convert integers of more than 4,300 digits to text.
        text = 'too large to show'
    if len(text) > DESCRIPTION_LENGTH_MAX:
        text = f'{text[:DESCRIPTION_LENGTH_MAX]}...'
    if isinstance(value, str):
        return text
    return f'{_TYPE_DESCRIPTIONS.get(type(value), type(value).__name__)} ({text})'


def format_count(count: int, noun: str) -> str:
    """Return a count followed by its noun, in the plural unless the count is 1."""
    return f'{count} {noun}' if count == 1 else f'{count} {noun}s'
