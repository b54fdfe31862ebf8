"""Load the settings of an instance from a file, with all mistakes reported at once."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from pistachioloft_core.util.describe import describe_value
from pistachioloft_core.util.names import ADDRESS_RULE, NAME_RULE, is_address, is_name

from .settings_reader import (
    LOG_LEVEL_DEFAULT,
    LOG_LEVELS,
    SettingsReader,
    check_keys,
    raise_mistakes,
    read_tables,
)

ROLE_ENTRY = 'entry'
ROLE_VOTER = 'voter'
ROLES = (ROLE_ENTRY, ROLE_VOTER)

_KEYS = {
    'instance': ('id', 'failure_domain', 'roles'),
    'listen': ('caller_address', 'operator_address', 'peer_address'),
    'peers': None,
    'data': ('folder',),
    'log': ('level',),
}


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Hold the name and the peer address of another instance."""

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


def load_settings(path: Path) -> Settings:
    """Load a settings file; its mistakes are raised together as one exception group."""
    reader = read_tables(path)
    check_keys(reader, _KEYS)
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
        log_level=reader.choice('log', 'level', LOG_LEVELS, LOG_LEVEL_DEFAULT),
    )
    _check_addresses(reader, settings)
    if reader.mistakes:
        raise_mistakes(path, reader.mistakes)
    return settings


def _read_roles(reader: SettingsReader) -> tuple[str, ...]:
    expected = f'a list with at least one of {", ".join(ROLES)}'
    value = reader.table('instance').get('roles')
    if not isinstance(value, list) or not value:
        reader.add_mistake('instance.roles', expected, describe_value(value))
        return ()
    for position, role in enumerate(value):
        key = f'instance.roles[{position}]'
        if role not in ROLES:
            reader.add_mistake(key, f'one of {", ".join(ROLES)}', describe_value(role))
        elif role in value[:position]:
            reader.add_mistake(key, 'each role at most once', f'{role!r} again')
    return tuple(role for role in value if role in ROLES)


def _read_peers(reader: SettingsReader) -> tuple[PeerAddress, ...]:
    peers = []
    own_name = reader.table('instance').get('id')
    address_users: dict[str, str] = {}
    for name, address in reader.table('peers').items():
        key = f'peers.{name}'
        if not is_name(name):
            reader.add_mistake(key, NAME_RULE, describe_value(name))
        if name == own_name:
            reader.add_mistake(key, 'another instance', 'this instance')
        if not isinstance(address, str) or not is_address(address):
            reader.add_mistake(key, ADDRESS_RULE, describe_value(address))
            continue
        if address in address_users:
            reader.add_mistake(
                key, 'an address of its own', f'the address of {address_users[address]}'
            )
        address_users.setdefault(address, name)
        peers.append(PeerAddress(name, address))
    return tuple(peers)


def _read_folder(reader: SettingsReader, roles: tuple[str, ...]) -> Path | None:
    table = reader.table('data')
    if 'folder' not in table:
        if ROLE_VOTER in roles:
            reader.add_mistake('data.folder', 'a folder, as the instance is a voter', 'nothing')
        return None
    folder = reader.text('data', 'folder', 'the path of a folder')
    if isinstance(table['folder'], str) and (not folder or '\0' in folder):
        reader.add_mistake('data.folder', 'the path of a folder', describe_value(folder))
    if roles and ROLE_VOTER not in roles:
        reader.add_mistake(
            'data.folder', 'no folder, as the instance is not a voter', describe_value(folder)
        )
    return Path(folder)


def _check_addresses(reader: SettingsReader, settings: Settings) -> None:
    address_users: dict[str, str] = {}
    for key in ('caller_address', 'operator_address', 'peer_address'):
        address = getattr(settings, key)
        if address and address in address_users:
            reader.add_mistake(
                f'listen.{key}', 'an address of its own', f'that of {address_users[address]}'
            )
        address_users.setdefault(address, f'listen.{key}')
    for peer in settings.peers:
        if peer.address in address_users:
            found = f'that of {address_users[peer.address]}'
            reader.add_mistake(f'peers.{peer.instance}', 'the address of another instance', found)
