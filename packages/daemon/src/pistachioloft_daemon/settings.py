"""Load the settings of one instance and report all their mistakes at once."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pistachioloft_core.util.describe import count_of, describe_value
from pistachioloft_core.util.names import ADDRESS_RULE, NAME_RULE, is_address, is_name

ROLE_ENTRY = 'entry'
ROLE_VOTER = 'voter'
ROLES = (ROLE_ENTRY, ROLE_VOTER)
LOG_LEVELS = ('debug', 'info', 'warning', 'error')
LOG_LEVEL_DEFAULT = 'info'

_KEYS = {
    'instance': ('id', 'failure_domain', 'roles'),
    'listen': ('caller_address', 'operator_address', 'peer_address'),
    'peers': None,
    'data': ('folder',),
    'log': ('level',),
}


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Name another instance and its peer address."""

    instance: str
    address: str


@dataclass(frozen=True, slots=True)
class Settings:
    """Hold the settings of one instance."""

    instance: str
    failure_domain: str
    entry: bool
    voter: bool
    caller_address: str
    operator_address: str
    peer_address: str
    peers: tuple[PeerAddress, ...]
    data_folder: Path | None
    log_level: str


class SettingError(Exception):
    """Report one mistake in a settings file."""

    def __init__(self, file: Path, key: str, expected: str, found: str) -> None:
        super().__init__(f'{file}: {key}: expected {expected}, found {found}')
        self.file = file
        self.key = key
        self.expected = expected
        self.found = found


class _Reader:
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


def load_settings(path: Path) -> Settings:
    """Load a settings file; all its mistakes are raised as one exception group."""
    try:
        tables = tomllib.loads(path.read_text(encoding='utf-8'))
    except OSError as error:
        _fail(path, [SettingError(path, '(file)', 'a readable file', error.strerror or str(error))])
    except (ValueError, RecursionError) as error:
        _fail(path, [SettingError(path, '(file)', 'valid TOML in UTF-8', str(error))])
    reader = _Reader(path, tables)
    _check_keys(reader)
    roles = _read_roles(reader)
    settings = Settings(
        instance=reader.name('instance', 'id'),
        failure_domain=reader.name('instance', 'failure_domain'),
        entry=ROLE_ENTRY in roles,
        voter=ROLE_VOTER in roles,
        caller_address=reader.address('listen', 'caller_address'),
        operator_address=reader.address('listen', 'operator_address'),
        peer_address=reader.address('listen', 'peer_address'),
        peers=_read_peers(reader),
        data_folder=_read_folder(reader, roles),
        log_level=_read_level(reader),
    )
    _check_addresses(reader, settings)
    if reader.mistakes:
        _fail(path, reader.mistakes)
    return settings


def _fail(path: Path, mistakes: list[SettingError]) -> None:
    raise ExceptionGroup(f'{path} has {count_of(len(mistakes), "mistake")}', mistakes)


def _check_keys(reader: _Reader) -> None:
    for name, value in reader.tables.items():
        if name not in _KEYS:
            reader.refuse(name, f'one of the tables {", ".join(_KEYS)}', 'an unknown key')
            continue
        if not isinstance(value, dict):
            reader.refuse(name, 'a table', describe_value(value))
            continue
        keys = _KEYS[name]
        for key in value if keys is not None else ():
            if key not in (keys or ()):
                expected = f'one of the keys {", ".join(keys or ())}'
                reader.refuse(f'{name}.{key}', expected, 'an unknown key')


def _read_roles(reader: _Reader) -> tuple[str, ...]:
    expected = f'a list with at least one of {", ".join(ROLES)}'
    value = reader.table('instance').get('roles')
    if not isinstance(value, list) or not value:
        reader.refuse('instance.roles', expected, describe_value(value))
        return ()
    for position, role in enumerate(value):
        key = f'instance.roles[{position}]'
        if role not in ROLES:
            reader.refuse(key, f'one of {", ".join(ROLES)}', describe_value(role))
        elif role in value[:position]:
            reader.refuse(key, 'every role once', f'{role!r} again')
    return tuple(role for role in value if role in ROLES)


def _read_peers(reader: _Reader) -> tuple[PeerAddress, ...]:
    peers = []
    own = reader.table('instance').get('id')
    users: dict[str, str] = {}
    for name, address in reader.table('peers').items():
        key = f'peers.{name}'
        if not is_name(name):
            reader.refuse(key, NAME_RULE, describe_value(name))
        if name == own:
            reader.refuse(key, 'only other instances', 'the own instance')
        if not isinstance(address, str) or not is_address(address):
            reader.refuse(key, ADDRESS_RULE, describe_value(address))
            continue
        if address in users:
            reader.refuse(key, 'an address of its own', f'the address of {users[address]}')
        users.setdefault(address, name)
        peers.append(PeerAddress(name, address))
    return tuple(peers)


def _read_folder(reader: _Reader, roles: tuple[str, ...]) -> Path | None:
    table = reader.table('data')
    if 'folder' not in table:
        if ROLE_VOTER in roles:
            reader.refuse('data.folder', 'a folder, as the instance is a voter', 'nothing')
        return None
    folder = reader.text('data', 'folder', 'the path of a folder')
    if isinstance(table['folder'], str) and (not folder or '\0' in folder):
        reader.refuse('data.folder', 'the path of a folder', describe_value(folder))
    if roles and ROLE_VOTER not in roles:
        reader.refuse(
            'data.folder', 'no folder, as the instance is not a voter', describe_value(folder)
        )
    return Path(folder)


def _read_level(reader: _Reader) -> str:
    expected = f'one of {", ".join(LOG_LEVELS)}'
    level = reader.text('log', 'level', expected, LOG_LEVEL_DEFAULT)
    if level not in LOG_LEVELS and isinstance(reader.table('log').get('level'), str):
        reader.refuse('log.level', expected, describe_value(level))
    return level


def _check_addresses(reader: _Reader, settings: Settings) -> None:
    users: dict[str, str] = {}
    for key in ('caller_address', 'operator_address', 'peer_address'):
        address = getattr(settings, key)
        if address and address in users:
            reader.refuse(f'listen.{key}', 'an address of its own', f'that of {users[address]}')
        users.setdefault(address, f'listen.{key}')
    for peer in settings.peers:
        if peer.address in users:
            found = f'that of {users[peer.address]}'
            reader.refuse(f'peers.{peer.instance}', 'the address of another instance', found)
