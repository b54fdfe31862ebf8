"""Guard against settings that are misread, or whose mistakes are reported one at a time."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_daemon.settings import PeerAddress, Settings, load_settings
from pistachioloft_daemon.settings_reader import SettingError

VALID_SETTINGS = """
[instance]
id = 'e1'
failure_domain = 'bne-a'
roles = ['entry', 'voter']
[listen]
caller_address = '10.1.0.1:7000'
operator_address = '10.1.0.1:7001'
peer_address = '[fd00::1]:7002'
[peers]
e2 = '10.2.0.1:7002'
e3 = '10.3.0.1:7002'
[data]
folder = '/var/lib/pistachioloft'
"""


def write_settings(folder: Path, text: str) -> Path:
    path = folder / 'e1.toml'
    path.write_text(text, encoding='utf-8')
    return path


def load_mistakes(path: Path) -> dict[str, SettingError]:
    with pytest.raises(ExceptionGroup) as raised:
        load_settings(path)
    found = raised.value.exceptions
    assert all(isinstance(error, SettingError) and error.file == path for error in found)
    return {error.key: error for error in found if isinstance(error, SettingError)}


def test_valid_settings_are_read(tmp_path: Path) -> None:
    """Guard against a key that is read into the wrong field."""
    assert load_settings(write_settings(tmp_path, VALID_SETTINGS)) == Settings(
        instance='e1',
        failure_domain='bne-a',
        entry=True,
        voter=True,
        caller_address='10.1.0.1:7000',
        operator_address='10.1.0.1:7001',
        peer_address='[fd00::1]:7002',
        peers=(PeerAddress('e2', '10.2.0.1:7002'), PeerAddress('e3', '10.3.0.1:7002')),
        data_folder=Path('/var/lib/pistachioloft'),
        log_level='info',
    )


def test_all_mistakes_are_reported_at_once(tmp_path: Path) -> None:
    """Guard against a loader that stops at the first mistake, so that each needs another start."""
    text = """
    extra = 1
    log = 'info'
    [instance]
    id = 'e 1'
    failure_domain = 7
    roles = ['entry', 'entry', 'boss', 'voter']
    name = 'x'
    [listen]
    caller_address = 'localhost:7000'
    operator_address = '10.1.0.1:7001'
    [peers]
    'e 1' = '10.1.0.1:7001'
    e2 = '10.1.0.1:7001'
    e3 = '0.0.0.0:7002'
    """
    assert set(load_mistakes(write_settings(tmp_path, text))) == {
        'extra',
        'log',
        'instance.id',
        'instance.failure_domain',
        'instance.roles[1]',
        'instance.roles[2]',
        'instance.name',
        'listen.caller_address',
        'listen.peer_address',
        'peers.e 1',
        'peers.e2',
        'peers.e3',
        'data.folder',
    }


@pytest.mark.parametrize(
    ('old', 'new', 'key'),
    [
        ("id = 'e1'", "id = ''", 'instance.id'),
        ("['entry', 'voter']", '[]', 'instance.roles'),
        ("['entry', 'voter']", "'entry'", 'instance.roles'),
        ("['entry', 'voter']", "['entry']", 'data.folder'),
        ("'10.1.0.1:7001'", "'10.1.0.1:7000'", 'listen.operator_address'),
        ("'10.1.0.1:7001'", "'10.1.0.1:0'", 'listen.operator_address'),
        ("'10.1.0.1:7001'", "'10.1.0.1:65536'", 'listen.operator_address'),
        ("'10.1.0.1:7001'", "'10.1.0.256:7001'", 'listen.operator_address'),
        ("'10.1.0.1:7001'", '7001', 'listen.operator_address'),
        ("e2 = '10.2.0.1:7002'", "e1 = '10.2.0.1:7002'", 'peers.e1'),
        ("e2 = '10.2.0.1:7002'", "e2 = '[fd00::1]:7002'", 'peers.e2'),
        ("folder = '/var/lib/pistachioloft'", "folder = ''", 'data.folder'),
        ('[data]', "[log]\nlevel = 'loud'\n[data]", 'log.level'),
        ('[data]', '[data', '(file)'),
        ("'10.1.0.1:7001'", '0x' + 'f' * 5000, 'listen.operator_address'),
    ],
)
def test_mistake_is_reported_with_its_key(tmp_path: Path, old: str, new: str, key: str) -> None:
    """Guard against a mistake that is accepted or reported for another key."""
    assert old in VALID_SETTINGS
    found = load_mistakes(write_settings(tmp_path, VALID_SETTINGS.replace(old, new)))
    assert set(found) == {key}
    assert found[key].expected
    assert found[key].found
    assert key in str(found[key])


def test_missing_file_raises_setting_error(tmp_path: Path) -> None:
    """Guard against an unhandled OSError at the start."""
    assert set(load_mistakes(tmp_path / 'absent.toml')) == {'(file)'}


@settings(max_examples=200, deadline=None, derandomize=True)
@given(data=st.binary(max_size=120), cut=st.integers(0, len(VALID_SETTINGS)))
def test_damaged_file_raises_only_setting_errors(
    tmp_path_factory: pytest.TempPathFactory, data: bytes, cut: int
) -> None:
    """Guard against a damaged file that raises anything but SettingError."""
    path = tmp_path_factory.mktemp('settings') / 'e1.toml'
    path.write_bytes(VALID_SETTINGS[:cut].encode() + data)
    try:
        load_settings(path)
    except ExceptionGroup as group:
        others = group.split(SettingError)[1]
        if others is not None:
            raise others from None
