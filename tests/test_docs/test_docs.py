"""Guard against documentation that differs from the code."""

from __future__ import annotations

import dataclasses
import re
import typing
from pathlib import Path
from typing import Any

import pytest

from pistachioloft_cli.exits import ExitCode
from pistachioloft_core.codec import decode_json, encode_json
from pistachioloft_core.errors import RESULTS
from pistachioloft_core.messages import accepted, endpoint, operator, public
from pistachioloft_core.version.configuration import check_configuration
from pistachioloft_core.version.register import RegisterText, parse_register
from pistachioloft_daemon import settings
from pistachioloft_daemon.logs import PARTS

DOCS = Path(__file__).resolve().parents[2] / 'docs'
INTERFACES = (DOCS / 'interfaces.md').read_text(encoding='utf-8')
SETTINGS = (DOCS / 'settings.md').read_text(encoding='utf-8')
OPERATIONS = (DOCS / 'OPERATIONS.md').read_text(encoding='utf-8')
EXAMPLES = re.findall(r'^Example \(`(\w+)`\):\n\n```json\n(.*?)^```$', INTERFACES, re.M | re.S)
TABLES = dict(re.findall(r'^#### `(\w+)`\n\n((?:\|.*\n)+)', INTERFACES, re.M))


def message_type(name: str) -> Any:
    (message_class,) = {
        getattr(module, name)
        for module in (accepted, endpoint, operator, public)
        if hasattr(module, name)
    }
    return message_class


def rows(table: str) -> list[list[str]]:
    lines = [line for line in table.splitlines() if line.startswith('|')]
    return [[cell.strip() for cell in line.strip('|').split(' | ')] for line in lines[2:]]


def section(text: str, heading: str) -> str:
    return text.split(f'\n{heading}\n', 1)[1].split('\n## ', 1)[0]


def default_text(field: dataclasses.Field[Any]) -> str:
    if field.default is dataclasses.MISSING:
        return 'required'
    return '[]' if field.default == () else encode_json(field.default).decode()


def test_result_codes_page_matches_code() -> None:
    """Guard against a result code that is undocumented or described wrongly."""
    text = (DOCS / 'result-codes.md').read_text(encoding='utf-8').split('## Exit codes')[0]
    assert rows(text) == [
        [
            str(int(code)),
            code.name.lower(),
            info.run_status.value,
            str(info.http_status),
            'yes' if info.final else 'no',
            info.summary,
        ]
        for code, info in RESULTS.items()
    ]


def test_exit_codes_page_matches_code() -> None:
    """Guard against an exit code that a script misreads."""
    text = (DOCS / 'result-codes.md').read_text(encoding='utf-8').split('## Exit codes')[1]
    assert [int(row[0]) for row in rows(text)] == [int(code) for code in ExitCode]


@pytest.mark.parametrize(('name', 'text'), EXAMPLES)
def test_json_example_decodes_as_message(name: str, text: str) -> None:
    """Guard against an example that the decoder rejects."""
    message = decode_json(text.encode(), message_type(name))
    code = getattr(message, 'result_code', None)
    if code is not None and hasattr(message, 'run_status'):
        assert message.run_status is RESULTS[code].run_status
    if isinstance(message, accepted.SubmitConfiguration):
        assert check_configuration(message.configuration) == ()


def test_every_json_block_is_an_example() -> None:
    """Guard against an example that no test decodes."""
    assert INTERFACES.count('```json') == len(EXAMPLES) >= 18


@pytest.mark.parametrize('name', TABLES)
def test_message_table_matches_fields(name: str) -> None:
    """Guard against a field that is undocumented, renamed or has another default."""
    documented = [(row[0].strip('`'), row[2]) for row in rows(TABLES[name])]
    fields = dataclasses.fields(message_type(name))
    assert documented == [(field.name, default_text(field)) for field in fields]


def test_every_message_of_an_interface_has_a_table() -> None:
    """Guard against a message whose fields are documented nowhere."""
    visited_names: set[str] = set()

    def visit(kind: Any) -> None:
        for argument in typing.get_args(kind):
            visit(argument)
        if (
            dataclasses.is_dataclass(kind)
            and isinstance(kind, type)
            and kind.__name__ not in visited_names
        ):
            visited_names.add(kind.__name__)
            for hint in typing.get_type_hints(kind).values():
                visit(hint)

    paths = INTERFACES.split('| method and path |', 1)[1].split('\n\n', 1)[0]
    for name in re.findall(r'`(\w+)`', paths):
        visit(message_type(name))
    assert visited_names | {'ErrorReply'} == set(TABLES)


def test_settings_page_has_every_key() -> None:
    """Guard against a key that the page lacks or the loader rejects."""
    documented = [row[0].strip('`') for row in rows(section(f'\n{SETTINGS}', '# Settings'))]
    expected_keys = [
        f'{table}.{key}'
        for table, keys in settings._KEYS.items()
        for key in (keys if keys is not None else ('<instance>',))
    ]
    assert documented == expected_keys


def test_settings_example_is_valid(tmp_path: Path) -> None:
    """Guard against an example that the loader rejects."""
    file = tmp_path / 'e1.toml'
    (text,) = re.findall(r'```toml\n(\[instance\].*?)```', SETTINGS, re.S)
    file.write_text(text)
    assert settings.load_settings(file).instance == 'e1'


def test_register_example_is_valid() -> None:
    """Guard against a register format that differs from the page."""
    blocks = [
        re.findall(rf'`{name}`:\n\n```\w+\n(.*?)```', SETTINGS, re.S)
        for name in ('instances.csv', 'services.csv', 'rules.toml', 'collections.toml')
    ]
    configuration = parse_register(RegisterText(*(texts[0] for texts in blocks)))
    assert check_configuration(configuration) == ()


def test_operations_page_has_every_log_prefix() -> None:
    """Guard against a log prefix that the operations page does not explain."""
    documented = [row[0].strip('`[]') for row in rows(section(OPERATIONS, '## Read the logs'))]
    assert documented == list(PARTS)
