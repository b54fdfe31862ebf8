"""Guard against settings templates that produce wrong or invalid settings."""

from __future__ import annotations

import copy
import json
import re
import tomllib
from pathlib import Path
from typing import Any

import pytest

from pistachioloft_daemon.fleet_settings import FleetSettings, load_fleet_settings
from pistachioloft_daemon.monitoring_interface import METRICS_PATH

DEPLOY = Path(__file__).resolve().parents[2] / 'deploy'
# The fields that the platform provides for a machine.
FIELDS: dict[str, Any] = {
    'nodeName': 'core-north-1',
    'ip': '10.1.0.12',
    'zone': 'north',
    'region': 'coast',
    'internalPorts': [7380, 7395],
    'seeds': ['10.1.0.12:8106', '10.2.0.23:8106'],
    'bootstrap': True,
    'dataDir': '/data/my-core',
    'heartbeatMs': 900,
    'listen': {
        'front': '10.1.0.12:8104',
        'ready': '10.1.0.12:8105',
        'control': '10.1.0.12:8106',
        'directory': '10.1.0.12:8100',
    },
    'faultTolerance': {'machines': 2, 'zones': 0, 'regions': 0},
    'limits': {'linkMbps': 10.8, 'memoryMb': 200},
    'bounds': {
        'drainMs': 2500,
        'graceS': 7,
        'configApplyMs': 2000,
        'maxStretchMs': 9000,
        'retryBudgetRatio': 0.15,
        'retryBudgetSlack': 0,
        'ttl_max_s': 4,
    },
}
_SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_VALUE = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')


def find_field(fields: Any, name: str) -> Any:
    for key in name.split('.'):
        if isinstance(fields, list):
            fields = fields[int(key)]
        else:
            fields = fields.get(key) if isinstance(fields, dict) else None
    return fields


def render(template: str, fields: dict[str, Any]) -> str:
    """Render a template as the platform does: sections of present values, values, JSON."""

    def section(match: re.Match[str]) -> str:
        value = find_field(fields, match[1])
        return '' if value is None or value is False else match[2].replace('{{.}}', str(value))

    def value(match: re.Match[str]) -> str:
        field = find_field(fields, match[1])
        if match[2]:
            return json.dumps(field)
        return '' if field is None else str(field)

    return _VALUE.sub(value, _SECTION.sub(section, template))


def load_settings(folder: Path, name: str, fields: dict[str, Any]) -> FleetSettings:
    file = folder / 'settings.toml'
    file.write_text(render((DEPLOY / name).read_text(), fields))
    return load_fleet_settings(file)


def test_control_template_sets_each_setting(tmp_path: Path) -> None:
    """Guard against a value of the platform that is rendered into another setting."""
    loaded = load_settings(tmp_path, 'control.toml', FIELDS)
    assert (loaded.instance, loaded.label, loaded.role) == ('10.1.0.12', 'core-north-1', 'control')
    assert (loaded.failure_domain, loaded.region) == ('north', 'coast')
    assert (loaded.control_address, loaded.directory_address) == (
        '10.1.0.12:8106',
        '10.1.0.12:8100',
    )
    assert (loaded.peer_address, loaded.control_peer_port) == ('10.1.0.12:7380', 7380)
    assert loaded.metrics_address == '10.1.0.12:9100'
    assert loaded.seeds == ('10.1.0.12', '10.2.0.23')
    assert (loaded.found, loaded.lost_voter_count, loaded.heartbeat_ms) == (True, 2, 900.0)
    assert loaded.data_folder == Path('/data/my-core')
    bounds = loaded.bounds
    assert (bounds.apply_ms, bounds.stretch_ms, bounds.drain_ms) == (2000.0, 9000.0, 2500.0)
    assert (bounds.grace_ms, bounds.keep_ms) == (7000.0, 4000.0)
    assert (bounds.extra_share, bounds.extra_allowance_count) == (0.15, 0.0)


def test_entry_template_sets_each_setting(tmp_path: Path) -> None:
    """Guard against an entry instance that listens on other addresses than the platform sets."""
    loaded = load_settings(tmp_path, 'entry.toml', FIELDS)
    assert loaded.role == 'entry'
    assert (loaded.caller_address, loaded.readiness_address) == ('10.1.0.12:8104', '10.1.0.12:8105')
    assert (loaded.peer_address, loaded.control_peer_port) == ('10.1.0.12:7395', 7380)
    assert loaded.metrics_address == '10.1.0.12:9100'
    assert (loaded.link_mbit_per_s, loaded.memory_mb) == (10.8, 200.0)
    assert loaded.data_folder is None


@pytest.mark.parametrize('name', ['control.toml', 'entry.toml'])
def test_missing_bounds_get_defaults(tmp_path: Path, name: str) -> None:
    """Guard against a start that fails in a deployment without a contract, which has no bounds."""
    fields = copy.deepcopy(FIELDS)
    fields['bounds'] = {}
    fields['faultTolerance'] = {}
    fields['limits'] = {}
    del fields['heartbeatMs']
    loaded = load_settings(tmp_path, name, fields)
    assert loaded.bounds.apply_ms > 0
    assert loaded.lost_voter_count == 1


@pytest.mark.parametrize(
    ('name', 'field', 'value'),
    [
        ('control.toml', 'ip', None),
        ('control.toml', 'zone', ''),
        ('control.toml', 'seeds', None),
        ('control.toml', 'seeds', ['nowhere']),
        ('control.toml', 'bootstrap', 'yes'),
        ('entry.toml', 'listen', {}),
        ('entry.toml', 'internalPorts', [0, 70_000]),
    ],
)
def test_missing_or_invalid_field_is_a_settings_error(
    tmp_path: Path, name: str, field: str, value: Any
) -> None:
    """Guard against an instance that starts with incomplete settings."""
    with pytest.raises(ExceptionGroup) as raised:
        load_settings(tmp_path, name, {**FIELDS, field: value})
    assert raised.value.exceptions


def test_metrics_port_matches_the_platform_configuration(tmp_path: Path) -> None:
    """Guard against metrics that are served on another port than the platform scrapes."""
    roles = tomllib.loads((DEPLOY / 'system.toml').read_text())['roles']
    for role in ('entry', 'control'):
        loaded = load_settings(tmp_path, f'{role}.toml', FIELDS)
        port = loaded.metrics_address.rsplit(':', 1)[1]
        assert roles[role]['metrics'] == f'{port}{METRICS_PATH}'
