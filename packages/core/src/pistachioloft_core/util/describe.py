"""Describe values that people wrote."""

from __future__ import annotations

from typing import Any

TEXT_LENGTH_MAX = 80

_TYPE_NAMES = {
    bool: 'a boolean',
    int: 'an integer',
    float: 'a number',
    list: 'a list',
    dict: 'a table',
}


def describe_value(value: Any) -> str:
    """Describe a value by its type and a bounded part of its content."""
    if value is None:
        return 'nothing'
    try:
        text = repr(value)
    except (ValueError, RecursionError):
        # Python refuses to write integers of more than 4,300 digits.
        text = 'too large to show'
    if len(text) > TEXT_LENGTH_MAX:
        text = f'{text[:TEXT_LENGTH_MAX]}...'
    if isinstance(value, str):
        return text
    return f'{_TYPE_NAMES.get(type(value), type(value).__name__)} ({text})'


def format_count(count: int, noun: str) -> str:
    """Give a count with its noun in the right number."""
    return f'{count} {noun}' if count == 1 else f'{count} {noun}s'
