"""Check configurations and describe how two of them differ."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..messages.public import PRIORITY_CLASSES
from ..util.describe import format_count
from ..util.names import ADDRESS_RULE, NAME_RULE, SHARD_RULE, is_address, is_name, is_shard_name

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..messages.accepted import (
        CollectionEntry,
        Configuration,
        InstanceEntry,
        VersionEntry,
    )

# Five voters tolerate two failures; each further voter makes every change slower.
VOTER_COUNT_MAX = 5
# Largest integer that every JSON reader represents exactly.
VERSION_MAX = 2**53 - 1


def check_configuration(configuration: Configuration) -> tuple[str, ...]:
    """Return all mistakes of a configuration, none if it is valid."""
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
    """Return one line for each added (+), removed (-) and changed (~) entry."""
    return (
        *_describe_changes('instance', _instance_fields(old), _instance_fields(new)),
        *_describe_changes('service', _service_fields(old), _service_fields(new)),
        *_describe_changes('caller', _caller_fields(old), _caller_fields(new)),
        *_describe_collection_changes(old, new),
    )


def _check_names(kind: str, names: Iterable[str], mistakes: list[str]) -> None:
    for name, count in Counter(names).items():
        if not is_name(name):
            mistakes.append(f'{kind} {name!r}: expected {NAME_RULE}')
        if count > 1:
            mistakes.append(f'{kind} {name!r}: given {count} times')


def _check_instances(instances: tuple[InstanceEntry, ...], mistakes: list[str]) -> None:
    _check_names('instance', (entry.instance for entry in instances), mistakes)
    subject_by_address: dict[str, str] = {}
    for entry in instances:
        subject = f'instance {entry.instance!r}'
        if not is_name(entry.failure_domain):
            mistakes.append(
                f'{subject}: failure domain {entry.failure_domain!r} is not {NAME_RULE}'
            )
        for key in ('caller_address', 'peer_address'):
            address = getattr(entry, key)
            if not is_address(address):
                mistakes.append(f'{subject}: {key} {address!r} is not {ADDRESS_RULE}')
            elif address in subject_by_address:
                mistakes.append(
                    f'{subject}: {key} {address} is already that of {subject_by_address[address]}'
                )
            subject_by_address.setdefault(address, subject)


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
    instance_counts = Counter(entry.failure_domain for entry in instances)
    voter_counts = Counter(entry.failure_domain for entry in voters)
    domain_maximum = _lowest_domain_maximum(instance_counts, count)
    for domain, domain_count in sorted(voter_counts.items()):
        if domain_count > domain_maximum:
            mistakes.append(
                f'voters: {domain_count} of {count} are in failure domain {domain!r};'
                f' spread over the instances given, at most {domain_maximum} need to be in one'
            )


def _lowest_domain_maximum(instance_counts: Mapping[str, int], voter_count: int) -> int:
    """Return the lowest possible maximum of voters in one failure domain."""
    domain_maximum = 1
    while sum(min(count, domain_maximum) for count in instance_counts.values()) < voter_count:
        domain_maximum += 1
    return domain_maximum


def _check_collection(
    collection: CollectionEntry, services: frozenset[str], mistakes: list[str]
) -> None:
    subject = f'collection {collection.collection!r}'
    if not collection.versions:
        mistakes.append(f'{subject}: has no version')
    for version, count in Counter(entry.version for entry in collection.versions).items():
        if not 1 <= version <= VERSION_MAX:
            mistakes.append(f'{subject}: version {version} is not from 1 to {VERSION_MAX}')
        if count > 1:
            mistakes.append(f'{subject}: version {version} is given {count} times')
    for entry in collection.versions:
        _check_version(f'{subject} version {entry.version}', entry, services, mistakes)


def _check_version(
    subject: str, entry: VersionEntry, services: frozenset[str], mistakes: list[str]
) -> None:
    if not entry.shards:
        mistakes.append(f'{subject}: has no shard')
    for name, count in Counter(shard.shard for shard in entry.shards).items():
        if not is_shard_name(name):
            mistakes.append(f'{subject}: shard {name!r}: expected {SHARD_RULE}')
        if count > 1:
            mistakes.append(f'{subject}: shard {name!r}: given {count} times')
    for shard in entry.shards:
        if shard.service not in services:
            mistakes.append(
                f'{subject}: shard {shard.shard!r} is on service {shard.service!r},'
                ' which the inventory does not have'
            )


_Fields = dict[str, str]


def _instance_fields(configuration: Configuration) -> dict[str, _Fields]:
    return {
        entry.instance: {
            'failure domain': entry.failure_domain,
            'caller address': entry.caller_address,
            'peer address': entry.peer_address,
            'voter': 'yes' if entry.voter else 'no',
        }
        for entry in configuration.instances
    }


def _service_fields(configuration: Configuration) -> dict[str, _Fields]:
    return {entry.service: {} for entry in configuration.services}


def _caller_fields(configuration: Configuration) -> dict[str, _Fields]:
    return {entry.caller: {'priority': entry.priority} for entry in configuration.callers}


def _shards_by_version(configuration: Configuration) -> dict[tuple[str, int], dict[str, str]]:
    return {
        (collection.collection, entry.version): {
            shard.shard: shard.service for shard in entry.shards
        }
        for collection in configuration.collections
        for entry in collection.versions
    }


def _describe_changes(kind: str, old: dict[str, _Fields], new: dict[str, _Fields]) -> list[str]:
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


def _describe_collection_changes(old: Configuration, new: Configuration) -> list[str]:
    lines = []
    before, after = _shards_by_version(old), _shards_by_version(new)
    for collection, version in sorted(before.keys() | after.keys()):
        subject = f'collection {collection} version {version}'
        old_shards = before.get((collection, version))
        new_shards = after.get((collection, version))
        if old_shards is None and new_shards is not None:
            lines.append(f'+ {subject}: {format_count(len(new_shards), "shard")}')
        elif new_shards is None:
            lines.append(f'- {subject}')
        elif old_shards is not None:
            lines.extend(_describe_shard_changes(subject, old_shards, new_shards))
    return lines


def _describe_shard_changes(subject: str, old: dict[str, str], new: dict[str, str]) -> list[str]:
    lines = []
    for shard in sorted(old.keys() | new.keys()):
        before, after = old.get(shard), new.get(shard)
        if before is None:
            lines.append(f'+ {subject} shard {shard}: service {after}')
        elif after is None:
            lines.append(f'- {subject} shard {shard}')
        elif before != after:
            lines.append(f'~ {subject} shard {shard}: service {before} -> {after}')
    return lines
