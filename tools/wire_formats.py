"""Describe the formats of messages and stored records: `python -m tools.wire_formats`."""

from __future__ import annotations

import importlib
import json
from typing import Any

import msgspec

from pistachioloft_core import codec
from pistachioloft_core.messages.accepted import (
    AcceptRoutes,
    CloseClaim,
    DrainInstance,
    OpenClaim,
    SetEvacuation,
    SubmitConfiguration,
)
from pistachioloft_core.messages.fleet import AnnouncedEndpoint
from pistachioloft_core.version import accepted
from pistachioloft_daemon.storage import layout

# What a voter keeps on its disk, besides the messages of consensus.
STORED_TYPES = (
    AcceptRoutes,
    AnnouncedEndpoint,
    CloseClaim,
    DrainInstance,
    OpenClaim,
    SetEvacuation,
    SubmitConfiguration,
    accepted._StateSnapshot,
    layout.AppendRecord,
    layout.FolderMeta,
    layout.SegmentHeader,
    layout.SnapshotHeader,
)

Format = dict[str, Any]


def describe_formats() -> dict[str, Format]:
    """Return the fields of each message and stored record by its name, in their order."""
    formats: dict[str, Format] = {}
    for module, names in codec._PEER_MESSAGES_BY_MODULE.items():
        messages = importlib.import_module(f'pistachioloft_core.messages.{module}')
        for name in names:
            _describe(msgspec.inspect.type_info(getattr(messages, name)), formats)
    for stored_type in STORED_TYPES:
        _describe(msgspec.inspect.type_info(stored_type), formats)
    return dict(sorted(formats.items()))


def incompatibilities(before: dict[str, Format], after: dict[str, Format]) -> list[str]:
    """Describe each change by which builds of two formats cannot read each other's data."""
    problems = [f'{name} is gone' for name in before if name not in after]
    for name in before.keys() & after.keys():
        problems += _changed_fields(name, before[name], after[name])
    return sorted(problems)


def _changed_fields(name: str, before: Format, after: Format) -> list[str]:
    problems = []
    if before['array'] != after['array']:
        return [f'{name} is encoded in another way']
    names_after = [field['name'] for field in after['fields']]
    fields_after = dict(zip(names_after, after['fields'], strict=True))
    for position, field in enumerate(before['fields']):
        other = fields_after.get(field['name'])
        if other is None:
            problems.append(f'{name}.{field["name"]} is gone')
        elif other['type'] != field['type']:
            problems.append(f'{name}.{field["name"]} is {other["type"]}, not {field["type"]}')
        elif other['required'] and not field['required']:
            problems.append(f'{name}.{field["name"]} has lost its default')
        elif before['array'] and names_after.index(field['name']) != position:
            problems.append(f'{name}.{field["name"]} has another position')
    known_names = {field['name'] for field in before['fields']}
    problems += [
        f'{name}.{field["name"]} is new and has no default'
        for field in after['fields']
        if field['name'] not in known_names and field['required']
    ]
    return problems


def _describe(info: msgspec.inspect.Type, formats: dict[str, Format]) -> str:
    """Return the name of a type, and add what it consists of to the formats."""
    kind = type(info).__name__.removesuffix('Type')
    if isinstance(info, msgspec.inspect.StructType | msgspec.inspect.DataclassType):
        name = info.cls.__name__
        if name not in formats:
            is_array = isinstance(info, msgspec.inspect.StructType) and info.array_like
            formats[name] = {'array': is_array, 'fields': []}
            formats[name]['fields'] = [
                {
                    'name': field.encode_name,
                    'type': _describe(field.type, formats),
                    'required': field.required,
                }
                for field in info.fields
            ]
        return name
    if isinstance(info, msgspec.inspect.UnionType):
        return ' | '.join(sorted(_describe(member, formats) for member in info.types))
    if isinstance(info, msgspec.inspect.TupleType):
        members = ', '.join(_describe(member, formats) for member in info.item_types)
        return f'Tuple[{members}]'
    if isinstance(info, msgspec.inspect.DictType):
        key, value = _describe(info.key_type, formats), _describe(info.value_type, formats)
        return f'Dict[{key}, {value}]'
    if isinstance(info, msgspec.inspect.CollectionType):
        return f'{kind}[{_describe(info.item_type, formats)}]'
    return kind


def main() -> None:
    """Write the formats as JSON to standard output, one to a line."""
    lines = [f'{json.dumps(name)}: {json.dumps(each)}' for name, each in describe_formats().items()]
    print('{\n' + ',\n'.join(lines) + '\n}')


if __name__ == '__main__':
    main()
