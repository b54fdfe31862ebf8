"""Fill in the settings templates of the deploy file as the users' pages define it."""

from __future__ import annotations

import json
import re
from typing import Any

_SECTION = re.compile(r'\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}', re.DOTALL)
_VALUE = re.compile(r'\{\{([^#^/}|]+)(\|json)?\}\}')


def fill(template: str, fields: dict[str, Any]) -> str:
    """Return the text of a template with the fields of one machine."""
    return _fill(template, [fields])


def _fill(text: str, scopes: list[Any]) -> str:
    def section(match: re.Match[str]) -> str:
        kind, name, inner = match.groups()
        value = _look_up(name, scopes)
        if kind == '^':
            return '' if value else _fill(inner, scopes)
        if isinstance(value, list):
            return ''.join(_fill(inner, [*scopes, each]) for each in value)
        return _fill(inner, [*scopes, value]) if value or value == 0 else ''

    def replace(match: re.Match[str]) -> str:
        value = _look_up(match.group(1), scopes)
        if match.group(2):
            return json.dumps(value)
        if value is None:
            return ''
        return ','.join(map(str, value)) if isinstance(value, list) else str(value)

    return _VALUE.sub(replace, _SECTION.sub(section, text))


def _look_up(name: str, scopes: list[Any]) -> Any:
    if name == '.':
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for key in name.split('.'):
            if isinstance(value, dict) and key in value:
                value = value[key]
            elif isinstance(value, list) and key.isdigit() and int(key) < len(value):
                value = value[int(key)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None
