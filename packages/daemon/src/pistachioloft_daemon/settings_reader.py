"""Read a settings file and collect all its mistakes."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Any, NoReturn

from pistachioloft_core.util.describe import describe_value, format_count
from pistachioloft_core.util.names import ADDRESS_RULE, NAME_RULE, is_address, is_name

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

LOG_LEVELS = ('debug', 'info', 'warning', 'error')
LOG_LEVEL_DEFAULT = 'info'


class SettingError(Exception):
    """Report one mistake in a settings file."""

    def __init__(self, file: Path, key: str, expected: str, found: str) -> None:
        super().__init__(f'{file}: {key}: expected {expected}, found {found}')
        self.file = file
        self.key = key
        self.expected = expected
        self.found = found


class SettingsReader:
    """Collect the values and the mistakes of one settings file."""

    def __init__(self, file: Path, tables: dict[str, Any]) -> None:
        self.file = file
        self.tables = tables
        self.mistakes: list[SettingError] = []

    def add_mistake(self, key: str, expected: str, found: str) -> None:
        """Record a mistake."""
        self.mistakes.append(SettingError(self.file, key, expected, found))

    def table(self, name: str) -> dict[str, Any]:
        """Return a table, or an empty one if the value isn't a table."""
        value = self.tables.get(name, {})
        return value if isinstance(value, dict) else {}

    def text(self, table: str, key: str, expected: str, default: str | None = None) -> str:
        """Return a string; record a mistake and return an empty one if the value isn't a string."""
        value = self.table(table).get(key, default)
        if isinstance(value, str):
            return value
        self.add_mistake(f'{table}.{key}', expected, describe_value(value))
        return ''

    def name(self, table: str, key: str) -> str:
        """Return a name; record a mistake if the value isn't one."""
        value = self.text(table, key, NAME_RULE)
        if value and not is_name(value):
            self.add_mistake(f'{table}.{key}', NAME_RULE, describe_value(value))
        elif value == '' and self.table(table).get(key) == '':
            self.add_mistake(f'{table}.{key}', NAME_RULE, 'an empty string')
        return value

    def address(self, table: str, key: str) -> str:
        """Return an IP address with a port; record a mistake if the value isn't one."""
        value = self.text(table, key, ADDRESS_RULE)
        if isinstance(self.table(table).get(key), str) and not is_address(value):
            self.add_mistake(f'{table}.{key}', ADDRESS_RULE, describe_value(value))
        return value

    def number(
        self, table: str, key: str, lowest: float, highest: float, default: float | None = None
    ) -> float:
        """Return a number in a range; record a mistake and return the lowest for another value."""
        expected = f'a number from {lowest:g} to {highest:g}'
        value = self.table(table).get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.add_mistake(f'{table}.{key}', expected, describe_value(value))
            return lowest
        if not lowest <= value <= highest:
            self.add_mistake(f'{table}.{key}', expected, describe_value(value))
            return lowest
        return float(value)

    def flag(self, table: str, key: str, default: bool) -> bool:
        """Return a boolean; record a mistake and return the default for another value."""
        value = self.table(table).get(key, default)
        if not isinstance(value, bool):
            self.add_mistake(f'{table}.{key}', 'true or false', describe_value(value))
            return default
        return value

    def addresses(self, table: str, key: str) -> tuple[str, ...]:
        """Return the addresses of a list; record a mistake for each other entry."""
        value = self.table(table).get(key)
        if not isinstance(value, list):
            self.add_mistake(f'{table}.{key}', 'a list of addresses', describe_value(value))
            return ()
        for position, address in enumerate(value):
            if not isinstance(address, str) or not is_address(address):
                self.add_mistake(
                    f'{table}.{key}[{position}]', ADDRESS_RULE, describe_value(address)
                )
        return tuple(
            address for address in value if isinstance(address, str) and is_address(address)
        )

    def choice(self, table: str, key: str, choices: tuple[str, ...], default: str | None) -> str:
        """Return one of the choices; record a mistake if the value isn't one."""
        expected = f'one of {", ".join(choices)}'
        value = self.text(table, key, expected, default)
        if value not in choices and isinstance(self.table(table).get(key), str):
            self.add_mistake(f'{table}.{key}', expected, describe_value(value))
        return value


def read_tables(path: Path) -> SettingsReader:
    """Read the tables of a settings file."""
    try:
        return SettingsReader(path, tomllib.loads(path.read_text(encoding='utf-8')))
    except OSError as error:
        raise_mistakes(
            path, [SettingError(path, '(file)', 'a readable file', error.strerror or str(error))]
        )
    except (ValueError, RecursionError) as error:
        raise_mistakes(path, [SettingError(path, '(file)', 'valid TOML in UTF-8', str(error))])


def raise_mistakes(path: Path, mistakes: list[SettingError]) -> NoReturn:
    """Raise all mistakes of a settings file as one exception group."""
    raise ExceptionGroup(f'{path} has {format_count(len(mistakes), "mistake")}', mistakes)


def check_keys(reader: SettingsReader, allowed_keys: Mapping[str, tuple[str, ...] | None]) -> None:
    """Record a mistake for each unknown table and key."""
    for name, value in reader.tables.items():
        if name not in allowed_keys:
            reader.add_mistake(
                name, f'one of the tables {", ".join(allowed_keys)}', 'an unknown key'
            )
            continue
        if not isinstance(value, dict):
            reader.add_mistake(name, 'a table', describe_value(value))
            continue
        keys = allowed_keys[name]
        for key in value if keys is not None else ():
            if key not in (keys or ()):
                expected = f'one of the keys {", ".join(keys or ())}'
                reader.add_mistake(f'{name}.{key}', expected, 'an unknown key')
