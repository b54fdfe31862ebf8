"""Run one instance that discovers the others from seeds, until SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import ctypes
import gc
import logging
import signal
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

from .fleet_settings import ROLE_ENTRY, load_fleet_settings
from .logs import configure_logs

if TYPE_CHECKING:
    from pathlib import Path

    from pistachioloft_core.messages.routes import RouteSet

    from .control_instance import ControlInstance
    from .entry_instance import EntryInstance
    from .fleet_settings import FleetSettings
    from .wire import ControlWire, WireFormat

    Instance = ControlInstance | EntryInstance

logger = logging.getLogger(__name__)

PREFIX = '[process]'
EXIT_STOPPED = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2
# How often the settings file is checked for changes, since it may change without a signal.
SETTINGS_CHECK_S = 1.0
# mallopt's M_ARENA_MAX; by default each thread may get its own arena.
M_ARENA_MAX = -8
ARENA_COUNT = 1

MakeInstance = Callable[['FleetSettings'], 'Instance']


def run_instance(path: Path, make_instance: MakeInstance) -> int:
    """Run an instance with the settings of a file and return the exit code."""
    try:
        settings = load_fleet_settings(path)
    except ExceptionGroup as group:
        for error in group.exceptions:
            print(f'{PREFIX} {error}', file=sys.stderr)
        return EXIT_SETTINGS
    _limit_arenas()
    logs = configure_logs(settings.log_level)
    try:
        asyncio.run(_run(path, settings, make_instance))
    except OSError as error:
        logger.error('%s cannot start: %s', PREFIX, error)
        code = EXIT_FAILED
    else:
        code = EXIT_STOPPED
    logs.stop()
    return code


def make_instance(
    settings: FleetSettings,
    wire_format: Callable[[], WireFormat],
    control_wire: ControlWire,
    decode_routes: Callable[[bytes], RouteSet],
) -> Instance:
    """Build the instance for the role that the settings name."""
    # Each role is imported only where it runs: imports take half of the time of a start, and while
    # all instances restart, no request is served.
    if settings.role == ROLE_ENTRY:
        from .entry_instance import EntryInstance

        return EntryInstance(settings, wire_format(), control_wire, decode_routes)
    from .control_instance import ControlInstance

    return ControlInstance(settings, control_wire, decode_routes)


async def _run(path: Path, settings: FleetSettings, make: MakeInstance) -> None:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    reload_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    instance = make(settings)
    await instance.start()
    # Excludes the objects that live as long as the process from each garbage collection.
    gc.freeze()
    gc.enable()
    watcher = loop.create_task(_watch_settings(path, instance, reload_requested))
    await stop_requested.wait()
    watcher.cancel()
    await instance.finish()
    await instance.stop()


async def _watch_settings(path: Path, instance: Instance, reload_requested: asyncio.Event) -> None:
    """Apply new seeds whenever the settings file changes."""
    last_modified_s = _modified_s(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_CHECK_S):
                await reload_requested.wait()
        except TimeoutError:
            if _modified_s(path) == last_modified_s:
                continue
        reload_requested.clear()
        last_modified_s = _modified_s(path)
        try:
            settings = load_fleet_settings(path)
        except ExceptionGroup as group:
            for error in group.exceptions:
                logger.error('%s settings not reloaded: %s', PREFIX, error)
        else:
            instance.set_seeds(settings.seeds)
            logger.info('%s settings reloaded: seeds=%s', PREFIX, ','.join(settings.seeds))


def _modified_s(path: Path) -> float:
    try:
        return path.stat().st_mtime
    except OSError:
        return 0.0


def _limit_arenas() -> None:
    """Limit the memory arenas that the C library keeps for threads, where mallopt exists."""
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    if mallopt is not None:
        mallopt(M_ARENA_MAX, ARENA_COUNT)
