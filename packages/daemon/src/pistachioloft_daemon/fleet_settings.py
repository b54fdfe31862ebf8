"""Settings of an instance that discovers the others from seed addresses."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from pistachioloft_core.util.names import split_address

from .settings_reader import (
    LOG_LEVEL_DEFAULT,
    LOG_LEVELS,
    SettingsReader,
    check_keys,
    raise_mistakes,
    read_tables,
)

ROLE_ENTRY = 'entry'
ROLE_CONTROL = 'control'
ROLES = (ROLE_ENTRY, ROLE_CONTROL)

_KEYS = {
    'instance': ('id', 'label', 'failure_domain', 'region', 'role'),
    'listen': (
        'caller_address',
        'readiness_address',
        'control_address',
        'directory_address',
        'peer_address',
        'metrics_address',
    ),
    'fleet': ('seeds', 'control_peer_port', 'found', 'lost_voters', 'heartbeat_ms'),
    'bounds': (
        'apply_ms',
        'stretch_ms',
        'drain_ms',
        'grace_s',
        'keep_s',
        'extra_share',
        'extra_allowance_count',
        'strict_revocation',
        'revocation_ms',
        'allotment_window_s',
        'allotment_overage',
        'allotment_slack_count',
    ),
    'machine': ('link_mbit_per_s', 'memory_mb'),
    'data': ('folder',),
    'log': ('level',),
}


@dataclass(frozen=True, slots=True)
class Bounds:
    """Hold the operators' limits on times, extra attempts and allotments."""

    apply_ms: float
    stretch_ms: float
    drain_ms: float
    grace_ms: float
    keep_ms: float
    extra_share: float
    extra_allowance_count: float
    # With strict revocation, keys are accepted for this long without a confirmed configuration.
    strict_revocation: bool
    revocation_ms: float
    # In each window, an organisation gets at most its allotment, this fraction of it and the slack.
    allotment_window_ms: float
    allotment_overage: float
    allotment_slack_count: float


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Hold the settings of one instance; its id is the IP address for its peers."""

    instance: str
    label: str
    failure_domain: str
    region: str
    role: str
    caller_address: str
    readiness_address: str
    control_address: str
    directory_address: str
    peer_address: str
    metrics_address: str
    seeds: tuple[str, ...]
    control_peer_port: int
    found: bool
    lost_voter_count: int
    heartbeat_ms: float
    bounds: Bounds
    # The bandwidth of the machine's network link.
    link_mbit_per_s: float
    # The memory that the process may use before the platform ends it.
    memory_mb: float
    data_folder: Path | None
    log_level: str


def load_fleet_settings(path: Path) -> FleetSettings:
    """Load a settings file; its mistakes are raised together as one exception group."""
    reader = read_tables(path)
    check_keys(reader, _KEYS)
    role = reader.choice('instance', 'role', ROLES, None)
    entry, control = role == ROLE_ENTRY, role == ROLE_CONTROL
    settings = FleetSettings(
        instance=reader.name('instance', 'id'),
        label=reader.text('instance', 'label', 'a text', ''),
        failure_domain=reader.name('instance', 'failure_domain'),
        region=reader.text('instance', 'region', 'a text', ''),
        role=role,
        caller_address=reader.address('listen', 'caller_address') if entry else '',
        readiness_address=reader.address('listen', 'readiness_address') if entry else '',
        control_address=reader.address('listen', 'control_address') if control else '',
        directory_address=reader.address('listen', 'directory_address') if control else '',
        peer_address=reader.address('listen', 'peer_address'),
        metrics_address=_optional_address(reader, 'listen', 'metrics_address'),
        seeds=_seed_instances(reader),
        control_peer_port=int(reader.number('fleet', 'control_peer_port', 1, 65535)),
        found=reader.flag('fleet', 'found', False),
        lost_voter_count=int(reader.number('fleet', 'lost_voters', 0, 4, 1)),
        heartbeat_ms=reader.number('fleet', 'heartbeat_ms', 10, 60_000, 1_200),
        bounds=_read_bounds(reader),
        # By default the link is fast enough to be no limit.
        link_mbit_per_s=reader.number('machine', 'link_mbit_per_s', 0.001, 1e6, 1_000),
        # The default fits the smallest machines that instances run on.
        memory_mb=reader.number('machine', 'memory_mb', 32, 1e7, 192),
        data_folder=Path(reader.text('data', 'folder', 'a folder')) if control else None,
        log_level=reader.choice('log', 'level', LOG_LEVELS, LOG_LEVEL_DEFAULT),
    )
    if reader.mistakes:
        raise_mistakes(path, reader.mistakes)
    return settings


def _optional_address(reader: SettingsReader, table: str, key: str) -> str:
    return reader.address(table, key) if key in reader.table(table) else ''


def _seed_instances(reader: SettingsReader) -> tuple[str, ...]:
    """Return the instances at the seed addresses; an instance is named by its IP address."""
    pairs = (split_address(address) for address in reader.addresses('fleet', 'seeds'))
    return tuple(dict.fromkeys(pair[0] for pair in pairs if pair is not None))


def _read_bounds(reader: SettingsReader) -> Bounds:
    # The defaults are safe where an operator sets no bounds.
    return Bounds(
        apply_ms=reader.number('bounds', 'apply_ms', 100, 600_000, 3_000),
        stretch_ms=reader.number('bounds', 'stretch_ms', 0, 600_000, 12_000),
        drain_ms=reader.number('bounds', 'drain_ms', 100, 600_000, 3_000),
        grace_ms=1_000 * reader.number('bounds', 'grace_s', 0.5, 600, 6),
        keep_ms=1_000 * reader.number('bounds', 'keep_s', 0.1, 600, 5),
        extra_share=reader.number('bounds', 'extra_share', 0, 10, 0.1),
        extra_allowance_count=reader.number('bounds', 'extra_allowance_count', 0, 1e9, 10),
        strict_revocation=reader.flag('bounds', 'strict_revocation', False),
        revocation_ms=reader.number('bounds', 'revocation_ms', 100, 600_000, 5_000),
        allotment_window_ms=1_000 * reader.number('bounds', 'allotment_window_s', 0.1, 3_600, 5),
        allotment_overage=reader.number('bounds', 'allotment_overage', 0, 10, 0.1),
        allotment_slack_count=reader.number('bounds', 'allotment_slack_count', 0, 1e9, 0),
    )
