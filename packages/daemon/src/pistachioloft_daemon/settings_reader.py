"""Read a settings file and collect all its mistakes."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Any, NoReturn

from pistachioloft_core.util.describe import count_of, describe_value
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

    def refuse(self, key: str, expected: str, found: str) -> None:
        """Record a mistake."""
        self.mistakes.append(SettingError(self.file, key, expected, found))

    def table(self, name: str) -> dict[str, Any]:
        """Give a table, or an empty one in place of anything else."""
        value = self.tables.get(name, {})
        return value if isinstance(value, dict) else {}

    def text(self, table: str, key: str, expected: str, default: str | None = None) -> str:
        """Give a text; record a mistake and give an empty one if there is none."""
        value = self.table(table).get(key, default)
        if isinstance(value, str):
            return value
        self.refuse(f'{table}.{key}', expected, describe_value(value))
        return ''

    def name(self, table: str, key: str) -> str:
        """Give a name."""
        value = self.text(table, key, NAME_RULE)
        if value and not is_name(value):
            self.refuse(f'{table}.{key}', NAME_RULE, describe_value(value))
        elif value == '' and self.table(table).get(key) == '':
            self.refuse(f'{table}.{key}', NAME_RULE, 'an empty text')
        return value

    def address(self, table: str, key: str) -> str:
        """Give an IP address with a port."""
        value = self.text(table, key, ADDRESS_RULE)
        if isinstance(self.table(table).get(key), str) and not is_address(value):
            self.refuse(f'{table}.{key}', ADDRESS_RULE, describe_value(value))
        return value

    def number(
        self, table: str, key: str, lowest: float, highest: float, default: float | None = None
    ) -> float:
        """Give a number in a range; record a mistake and give the lowest if there is none."""
        expected = f'a number from {lowest:g} to {highest:g}'
        value = self.table(table).get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.refuse(f'{table}.{key}', expected, describe_value(value))
            return lowest
        if not lowest <= value <= highest:
            self.refuse(f'{table}.{key}', expected, describe_value(value))
            return lowest
        return float(value)

    def flag(self, table: str, key: str, default: bool) -> bool:
        """Give a truth value."""
        value = self.table(table).get(key, default)
        if not isinstance(value, bool):
            self.refuse(f'{table}.{key}', 'true or false', describe_value(value))
            return default
        return value

    def addresses(self, table: str, key: str) -> tuple[str, ...]:
        """Give a list of addresses."""
        value = self.table(table).get(key)
        if not isinstance(value, list):
            self.refuse(f'{table}.{key}', 'a list of addresses', describe_value(value))
            return ()
        for position, each in enumerate(value):
            if not isinstance(each, str) or not is_address(each):
                self.refuse(f'{table}.{key}[{position}]', ADDRESS_RULE, describe_value(each))
        return tuple(each for each in value if isinstance(each, str) and is_address(each))

    def choice(self, table: str, key: str, choices: tuple[str, ...], default: str | None) -> str:
        """Give one of several words."""
        expected = f'one of {", ".join(choices)}'
        value = self.text(table, key, expected, default)
        if value not in choices and isinstance(self.table(table).get(key), str):
            self.refuse(f'{table}.{key}', expected, describe_value(value))
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
    raise ExceptionGroup(f'{path} has {count_of(len(mistakes), "mistake")}', mistakes)


def check_keys(reader: SettingsReader, known: Mapping[str, tuple[str, ...] | None]) -> None:
    """Record the tables and keys that are not known."""
    for name, value in reader.tables.items():
        if name not in known:
            reader.refuse(name, f'one of the tables {", ".join(known)}', 'an unknown key')
            continue
        if not isinstance(value, dict):
            reader.refuse(name, 'a table', describe_value(value))
            continue
        keys = known[name]
        for key in value if keys is not None else ():
            if key not in (keys or ()):
                expected = f'one of the keys {", ".join(keys or ())}'
                reader.refuse(f'{name}.{key}', expected, 'an unknown key')
