"""Check configurations and describe how two of them differ."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..messages.public import PRIORITY_CLASSES
from ..util.describe import count_of
from ..util.names import ADDRESS_RULE, NAME_RULE, SHARD_RULE, is_address, is_name, is_shard_name

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..messages.accepted import (
        CollectionEntry,
        Configuration,
        InstanceEntry,
        VersionEntry,
    )

# Five voters survive two losses; each further voter makes every change slower.
VOTER_COUNT_MAX = 5
# The largest integer that every JSON reader keeps exactly.
VERSION_MAX = 2**53 - 1


def check_configuration(configuration: Configuration) -> tuple[str, ...]:
    """List all mistakes of a configuration; an empty list means that it is valid."""
    mistakes: list[str] = []
    _check_instances(configuration.instances, mistakes)
    _check_voters(configuration.instances, mistakes)
    services = tuple(entry.service for entry in configuration.services)
    _check_names('service', services, mistakes)
    _check_names('caller', (entry.caller for entry in configuration.callers), mistakes)
    for caller in configuration.callers:
        if caller.priority not in PRIORITY_CLASSES:
            mistakes.append(
                f'caller {caller.caller!r}: unknown priority {caller.priority!r};'
                f' expected one of {", ".join(PRIORITY_CLASSES)}'
            )
    collections = configuration.collections
    _check_names('collection', (entry.collection for entry in collections), mistakes)
    for collection in collections:
        _check_collection(collection, frozenset(services), mistakes)
    return tuple(mistakes)


def difference(old: Configuration, new: Configuration) -> tuple[str, ...]:
    """Describe in lines what a new configuration adds (+), removes (-) and changes (~)."""
    return (
        *_differ('instance', _instances(old), _instances(new)),
        *_differ('service', _services(old), _services(new)),
        *_differ('caller', _callers(old), _callers(new)),
        *_differ_collections(old, new),
    )


def _check_names(kind: str, names: Iterable[str], mistakes: list[str]) -> None:
    for name, count in Counter(names).items():
        if not is_name(name):
            mistakes.append(f'{kind} {name!r}: expected {NAME_RULE}')
        if count > 1:
            mistakes.append(f'{kind} {name!r}: given {count} times')


def _check_instances(instances: tuple[InstanceEntry, ...], mistakes: list[str]) -> None:
    _check_names('instance', (entry.instance for entry in instances), mistakes)
    users: dict[str, str] = {}
    for entry in instances:
        where = f'instance {entry.instance!r}'
        if not is_name(entry.failure_domain):
            mistakes.append(f'{where}: failure domain {entry.failure_domain!r} is not {NAME_RULE}')
        for key in ('caller_address', 'peer_address'):
            address = getattr(entry, key)
            if not is_address(address):
                mistakes.append(f'{where}: {key} {address!r} is not {ADDRESS_RULE}')
            elif address in users:
                mistakes.append(f'{where}: {key} {address} is already that of {users[address]}')
            users.setdefault(address, where)


def _check_voters(instances: tuple[InstanceEntry, ...], mistakes: list[str]) -> None:
    voters = [entry for entry in instances if entry.voter]
    if not voters:
        mistakes.append('voters: none; expected an odd number of instances marked as voter')
        return
    count = len(voters)
    if count > VOTER_COUNT_MAX:
        mistakes.append(f'voters: {count}; expected at most {VOTER_COUNT_MAX}')
    if count % 2 == 0:
        mistakes.append(
            f'voters: {count}; expected an odd number, as {count} survive'
            f' no more losses than {count - 1}'
        )
    rooms = Counter(entry.failure_domain for entry in instances)
    used = Counter(entry.failure_domain for entry in voters)
    share = _smallest_share(rooms, count)
    for domain, domain_count in sorted(used.items()):
        if domain_count > share:
            mistakes.append(
                f'voters: {domain_count} of {count} are in failure domain {domain!r};'
                f' spread over the instances given, at most {share} need to be in one'
            )


def _smallest_share(rooms: Mapping[str, int], voter_count: int) -> int:
    """Give the smallest possible number of voters in the fullest failure domain."""
    share = 1
    while sum(min(room, share) for room in rooms.values()) < voter_count:
        share += 1
    return share


def _check_collection(
    collection: CollectionEntry, services: frozenset[str], mistakes: list[str]
) -> None:
    where = f'collection {collection.collection!r}'
    if not collection.versions:
        mistakes.append(f'{where}: has no version')
    for version, count in Counter(entry.version for entry in collection.versions).items():
        if not 1 <= version <= VERSION_MAX:
            mistakes.append(f'{where}: version {version} is not from 1 to {VERSION_MAX}')
        if count > 1:
            mistakes.append(f'{where}: version {version} is given {count} times')
    for entry in collection.versions:
        _check_version(f'{where} version {entry.version}', entry, services, mistakes)


def _check_version(
    where: str, entry: VersionEntry, services: frozenset[str], mistakes: list[str]
) -> None:
    if not entry.shards:
        mistakes.append(f'{where}: has no shard')
    for name, count in Counter(shard.shard for shard in entry.shards).items():
        if not is_shard_name(name):
            mistakes.append(f'{where}: shard {name!r}: expected {SHARD_RULE}')
        if count > 1:
            mistakes.append(f'{where}: shard {name!r}: given {count} times')
    for shard in entry.shards:
        if shard.service not in services:
            mistakes.append(
                f'{where}: shard {shard.shard!r} is on service {shard.service!r},'
                ' which the inventory does not have'
            )


_Fields = dict[str, str]


def _instances(configuration: Configuration) -> dict[str, _Fields]:
    return {
        entry.instance: {
            'failure domain': entry.failure_domain,
            'caller address': entry.caller_address,
            'peer address': entry.peer_address,
            'voter': 'yes' if entry.voter else 'no',
        }
        for entry in configuration.instances
    }


def _services(configuration: Configuration) -> dict[str, _Fields]:
    return {entry.service: {} for entry in configuration.services}


def _callers(configuration: Configuration) -> dict[str, _Fields]:
    return {entry.caller: {'priority': entry.priority} for entry in configuration.callers}


def _versions(configuration: Configuration) -> dict[tuple[str, int], dict[str, str]]:
    return {
        (collection.collection, entry.version): {
            shard.shard: shard.service for shard in entry.shards
        }
        for collection in configuration.collections
        for entry in collection.versions
    }


def _differ(kind: str, old: dict[str, _Fields], new: dict[str, _Fields]) -> list[str]:
    lines = []
    for name in sorted(old.keys() | new.keys()):
        before, after = old.get(name), new.get(name)
        if before is None and after is not None:
            fields = ', '.join(f'{key} {value}' for key, value in after.items())
            lines.append(f'+ {kind} {name}' + (f': {fields}' if fields else ''))
        elif after is None:
            lines.append(f'- {kind} {name}')
        elif before is not None and before != after:
            changes = (
                f'{key} {before[key]} -> {value}'
                for key, value in after.items()
                if before[key] != value
            )
            lines.append(f'~ {kind} {name}: {", ".join(changes)}')
    return lines


def _differ_collections(old: Configuration, new: Configuration) -> list[str]:
    lines = []
    before, after = _versions(old), _versions(new)
    for collection, version in sorted(before.keys() | after.keys()):
        where = f'collection {collection} version {version}'
        old_shards = before.get((collection, version))
        new_shards = after.get((collection, version))
        if old_shards is None and new_shards is not None:
            lines.append(f'+ {where}: {count_of(len(new_shards), "shard")}')
        elif new_shards is None:
            lines.append(f'- {where}')
        elif old_shards is not None:
            lines.extend(_differ_shards(where, old_shards, new_shards))
    return lines


def _differ_shards(where: str, old: dict[str, str], new: dict[str, str]) -> list[str]:
    lines = []
    for shard in sorted(old.keys() | new.keys()):
        before, after = old.get(shard), new.get(shard)
        if before is None:
            lines.append(f'+ {where} shard {shard}: service {after}')
        elif after is None:
            lines.append(f'- {where} shard {shard}')
        elif before != after:
            lines.append(f'~ {where} shard {shard}: service {before} -> {after}')
    return lines
