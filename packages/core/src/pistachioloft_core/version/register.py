"""Parse the asset register and the rules of the operators."""

from __future__ import annotations

import csv
import io
import tomllib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..messages.accepted import (
    CallerEntry,
    CollectionEntry,
    Configuration,
    InstanceEntry,
    ServiceEntry,
    ShardEntry,
    VersionEntry,
)
from ..messages.public import PRIORITY_CLASSES
from ..util.describe import describe_value, format_count
from ..util.names import NAME_RULE, SHARD_RULE, is_name, is_shard_name
from ..util.ranges import expand_range

if TYPE_CHECKING:
    from collections.abc import Iterator

INSTANCES_FILE = 'instances.csv'
SERVICES_FILE = 'services.csv'
RULES_FILE = 'rules.toml'
COLLECTIONS_FILE = 'collections.toml'
REGISTER_FILES = (INSTANCES_FILE, SERVICES_FILE, RULES_FILE, COLLECTIONS_FILE)
SAME_AS = 'same_as'

_INSTANCE_COLUMNS = ('instance', 'failure_domain', 'caller_address', 'peer_address', 'voter')
_SERVICE_COLUMNS = ('service',)
_BOOLEANS = {'yes': True, 'true': True, 'no': False, 'false': False, '': False}


@dataclass(frozen=True, slots=True)
class RegisterText:
    """Hold the text of the four files of a register."""

    instances: str
    services: str
    rules: str
    collections: str


class RegisterError(Exception):
    """Report one mistake in a register with its file and its location, a line or a key."""

    def __init__(self, file: str, location: str, detail: str) -> None:
        super().__init__(f'{file}: {location}: {detail}')
        self.file = file
        self.location = location
        self.detail = detail


_Mistakes = list[RegisterError]
_ShardsByService = dict[str, tuple[str, ...]]


def parse_register(text: RegisterText) -> Configuration:
    """Parse a register; raise all its mistakes as one exception group."""
    mistakes: _Mistakes = []
    configuration = Configuration(
        instances=_parse_instances(text.instances, mistakes),
        services=_parse_services(text.services, mistakes),
        callers=_parse_rules(text.rules, mistakes),
        collections=_parse_collections(text.collections, mistakes),
    )
    if mistakes:
        raise ExceptionGroup(f'the register has {format_count(len(mistakes), "mistake")}', mistakes)
    return configuration


def _read_rows(
    file: str, text: str, columns: tuple[str, ...], mistakes: _Mistakes
) -> Iterator[tuple[int, dict[str, str]]]:
    """Yield the line number and the cells by column of each row; columns may be in any order."""
    header: list[str] | None = None
    reader = csv.reader(io.StringIO(text.removeprefix('\ufeff')), strict=True)
    try:
        for cells in reader:
            row = [cell.strip() for cell in cells]
            if not any(row) or row[0].startswith('#'):
                continue
            if header is None:
                header = row
                if sorted(header) != sorted(columns):
                    detail = f'expected the columns {",".join(columns)}, found {",".join(row)}'
                    mistakes.append(RegisterError(file, f'line {reader.line_num}', detail))
                    return
            elif len(row) != len(header):
                detail = f'expected {len(header)} fields, found {len(row)}'
                mistakes.append(RegisterError(file, f'line {reader.line_num}', detail))
            else:
                yield reader.line_num, dict(zip(header, row, strict=True))
    except csv.Error as error:
        mistakes.append(RegisterError(file, f'line {reader.line_num}', str(error)))
        return
    if header is None:
        detail = f'expected the columns {",".join(columns)}, found no line'
        mistakes.append(RegisterError(file, 'line 1', detail))


def _parse_instances(text: str, mistakes: _Mistakes) -> tuple[InstanceEntry, ...]:
    entries = []
    line_by_name: dict[str, int] = {}
    for line, row in _read_rows(INSTANCES_FILE, text, _INSTANCE_COLUMNS, mistakes):
        name, voter = row['instance'], _BOOLEANS.get(row['voter'].lower())
        _check_row_name(INSTANCES_FILE, line, 'instance', name, line_by_name, mistakes)
        if voter is None:
            detail = f'voter: expected yes or no, found {row["voter"]!r}'
            mistakes.append(RegisterError(INSTANCES_FILE, f'line {line}', detail))
        entries.append(
            InstanceEntry(
                instance=name,
                failure_domain=row['failure_domain'],
                caller_address=row['caller_address'],
                peer_address=row['peer_address'],
                voter=bool(voter),
            )
        )
    return tuple(sorted(entries, key=lambda entry: entry.instance))


def _parse_services(text: str, mistakes: _Mistakes) -> tuple[ServiceEntry, ...]:
    names: set[str] = set()
    line_by_name: dict[str, int] = {}
    for line, row in _read_rows(SERVICES_FILE, text, _SERVICE_COLUMNS, mistakes):
        for name in _expand_range(SERVICES_FILE, f'line {line}', row['service'], mistakes):
            _check_row_name(SERVICES_FILE, line, 'service', name, line_by_name, mistakes)
            names.add(name)
    return tuple(ServiceEntry(name) for name in sorted(names))


def _check_row_name(
    file: str, line: int, kind: str, name: str, line_by_name: dict[str, int], mistakes: _Mistakes
) -> None:
    if not is_name(name):
        detail = f'{kind}: expected {NAME_RULE}, found {name!r}'
        mistakes.append(RegisterError(file, f'line {line}', detail))
    elif name in line_by_name:
        detail = f'{kind} {name!r} is already on line {line_by_name[name]}'
        mistakes.append(RegisterError(file, f'line {line}', detail))
    elif kind == 'service' and name == SAME_AS:
        detail = f'{SAME_AS!r} is a key of {COLLECTIONS_FILE} and cannot name a service'
        mistakes.append(RegisterError(file, f'line {line}', detail))
    line_by_name.setdefault(name, line)


def _load_toml(file: str, text: str, mistakes: _Mistakes) -> dict[str, Any]:
    try:
        return tomllib.loads(text.removeprefix('\ufeff'))
    except (ValueError, RecursionError) as error:
        mistakes.append(RegisterError(file, '(file)', f'not valid TOML: {error}'))
        return {}


def _expand_range(file: str, location: str, text: str, mistakes: _Mistakes) -> tuple[str, ...]:
    try:
        return expand_range(text)
    except ValueError as error:
        mistakes.append(RegisterError(file, location, str(error)))
        return ()


def _parse_rules(text: str, mistakes: _Mistakes) -> tuple[CallerEntry, ...]:
    priorities: dict[str, str] = {}
    tables = _load_toml(RULES_FILE, text, mistakes)
    for table, content in tables.items():
        if table != 'callers' or not isinstance(content, dict):
            mistakes.append(RegisterError(RULES_FILE, table, 'expected the table callers only'))
            continue
        for priority, callers in content.items():
            key = f'callers.{priority}'
            if priority not in PRIORITY_CLASSES:
                detail = f'unknown priority; expected one of {", ".join(PRIORITY_CLASSES)}'
                mistakes.append(RegisterError(RULES_FILE, key, detail))
                continue
            for caller in _parse_names(RULES_FILE, key, callers, mistakes):
                if caller in priorities:
                    detail = f'caller {caller!r} is already in {priorities[caller]}'
                    mistakes.append(RegisterError(RULES_FILE, key, detail))
                priorities[caller] = priority
    return tuple(CallerEntry(caller, priorities[caller]) for caller in sorted(priorities))


def _parse_names(
    file: str, key: str, value: Any, mistakes: _Mistakes, shards: bool = False
) -> tuple[str, ...]:
    """Return the names in a string or a list of strings, with ranges expanded."""
    names: list[str] = []
    for element in value if isinstance(value, list) else [value]:
        if not isinstance(element, str):
            detail = f'expected a name or a list of names, found {describe_value(element)}'
            mistakes.append(RegisterError(file, key, detail))
            continue
        for name in _expand_range(file, key, element, mistakes):
            if not (is_shard_name(name) if shards else is_name(name)):
                detail = f'expected {SHARD_RULE if shards else NAME_RULE}, found {name!r}'
                mistakes.append(RegisterError(file, key, detail))
            names.append(name)
    return tuple(names)


def _parse_collections(text: str, mistakes: _Mistakes) -> tuple[CollectionEntry, ...]:
    collections = []
    for name, tables in sorted(_load_toml(COLLECTIONS_FILE, text, mistakes).items()):
        if not is_name(name) or not isinstance(tables, dict):
            detail = f'expected tables such as [catalogue.12] under {NAME_RULE}'
            mistakes.append(RegisterError(COLLECTIONS_FILE, name, detail))
            continue
        versions = _parse_versions(name, tables, mistakes)
        collections.append(CollectionEntry(name, versions))
    return tuple(collections)


def _parse_versions(
    collection: str, tables: dict[str, Any], mistakes: _Mistakes
) -> tuple[VersionEntry, ...]:
    shards_by_version: dict[int, _ShardsByService] = {}
    base_by_version: dict[int, int] = {}
    for text, table in tables.items():
        key = f'{collection}.{text}'
        # With leading zeros, two keys could denote the same version.
        if not (text.isascii() and text.isdigit() and len(text) <= 16) or text[0] == '0':
            detail = 'expected a version number without leading zeros'
            mistakes.append(RegisterError(COLLECTIONS_FILE, key, detail))
            continue
        if not isinstance(table, dict):
            detail = f'expected a table of services, found {describe_value(table)}'
            mistakes.append(RegisterError(COLLECTIONS_FILE, key, detail))
            continue
        shards_by_version[int(text)] = _parse_shards(key, table, mistakes)
        if SAME_AS in table:
            base_by_version[int(text)] = table[SAME_AS]
    for version, base in list(base_by_version.items()):
        if not isinstance(base, int) or base not in shards_by_version or base == version:
            key = f'{collection}.{version}.{SAME_AS}'
            detail = f'expected another version of {collection}, found {describe_value(base)}'
            mistakes.append(RegisterError(COLLECTIONS_FILE, key, detail))
            del base_by_version[version]
    return tuple(
        VersionEntry(
            version,
            _resolve_shards(collection, version, shards_by_version, base_by_version, mistakes),
        )
        for version in sorted(shards_by_version)
    )


def _parse_shards(key: str, table: dict[str, Any], mistakes: _Mistakes) -> _ShardsByService:
    shards: _ShardsByService = {}
    for service_pattern, value in table.items():
        if service_pattern == SAME_AS:
            continue
        location = f'{key}.{service_pattern}'
        services = _parse_names(COLLECTIONS_FILE, location, service_pattern, mistakes)
        names = _parse_names(COLLECTIONS_FILE, location, value, mistakes, shards=True)
        # The shards are divided evenly among the services of a range, in the given order.
        if services and len(names) % len(services):
            detail = f'{len(names)} shards cannot be divided among {len(services)} services'
            mistakes.append(RegisterError(COLLECTIONS_FILE, location, detail))
            continue
        shards_per_service = len(names) // len(services) if services else 0
        for position, service in enumerate(services):
            if service in shards:
                detail = f'service {service!r} is listed twice'
                mistakes.append(RegisterError(COLLECTIONS_FILE, location, detail))
            shards[service] = names[
                position * shards_per_service : (position + 1) * shards_per_service
            ]
    return shards


def _resolve_shards(
    collection: str,
    version: int,
    shards_by_version: dict[int, _ShardsByService],
    base_by_version: dict[int, int],
    mistakes: _Mistakes,
) -> tuple[ShardEntry, ...]:
    chain = [version]
    while chain[-1] in base_by_version:
        if base_by_version[chain[-1]] in chain:
            key = f'{collection}.{version}.{SAME_AS}'
            detail = f'is a circular reference to version {base_by_version[chain[-1]]}'
            mistakes.append(RegisterError(COLLECTIONS_FILE, key, detail))
            break
        chain.append(base_by_version[chain[-1]])
    merged: _ShardsByService = {}
    for chained_version in reversed(chain):
        merged.update(shards_by_version.get(chained_version, {}))
    entries = [ShardEntry(shard, name) for name, shards in merged.items() for shard in shards]
    return tuple(sorted(entries, key=lambda entry: (entry.shard, entry.service)))
