"""Provide the daemon's command line."""

from __future__ import annotations

import asyncio
import ctypes
import gc
import logging
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from .instance import Instance
from .interfaces import (
    CALLER_THREAD_COUNT,
    OPERATOR_THREAD_COUNT,
    caller_interface,
    operator_interface,
)
from .logs import configure_logs
from .settings import load_settings
from .storage import StorageError
from .voter_storage import VoterStorage, initialize_voter
from .web import WebServers

if TYPE_CHECKING:
    from .settings import Settings

logger = logging.getLogger(__name__)

PREFIX = '[process]'
EXIT_STOPPED = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2
EXIT_STORAGE = 3
# With the default of 5 ms, a worker thread could delay the event loop for longer than it takes to
# plan a query.
SWITCH_INTERVAL_S = 0.001

# An option of mallopt. By default each of the over 100 threads may get an arena of its own.
M_ARENA_MAX = -8
ARENA_COUNT = 2

app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False)


@app.command()
def run(settings_file: Path) -> None:
    """Run one instance with the settings of a TOML file until SIGTERM."""
    try:
        settings = load_settings(settings_file)
    except* Exception as group:
        for error in group.exceptions:
            typer.echo(f'{PREFIX} {error}', err=True)
        raise typer.Exit(EXIT_SETTINGS) from None
    _limit_arenas()
    logs = configure_logs(settings.log_level)
    try:
        storage = _open_storage(settings)
        asyncio.run(_run(settings, storage))
    except StorageError as error:
        logger.error('%s data folder refused: %s', PREFIX, error)
        code = EXIT_STORAGE
    except OSError as error:
        logger.error('%s cannot start: %s', PREFIX, error)
        code = EXIT_FAILED
    else:
        code = EXIT_STOPPED
    logs.stop()
    raise typer.Exit(code)


@app.command()
def init(
    folder: Path,
    cluster: Annotated[str, typer.Option(help='Name of the new cluster.')],
    instance: Annotated[str, typer.Option(help='Id of this instance.')],
    voters: Annotated[str, typer.Option(help='Ids of all first voters, comma separated.')],
) -> None:
    """Create the data folder of a first voter of a new cluster."""
    names = tuple(name.strip() for name in voters.split(',') if name.strip())
    if instance not in names:
        typer.echo(f'{PREFIX} {instance} is not among the voters {", ".join(names)}', err=True)
        raise typer.Exit(EXIT_SETTINGS)
    try:
        initialize_voter(folder, cluster, instance, names)
    except (StorageError, OSError) as error:
        typer.echo(f'{PREFIX} {error}', err=True)
        raise typer.Exit(EXIT_STORAGE) from None
    typer.echo(f'{folder}: created for {instance} of cluster {cluster}')


def main() -> None:
    """Run the daemon's command line."""
    app()


def _open_storage(settings: Settings) -> VoterStorage | None:
    if not settings.voter or settings.data_folder is None:
        return None
    return VoterStorage(settings.data_folder, settings.instance)


def _limit_arenas() -> None:
    """Limit the memory arenas of the C library, if it has mallopt."""
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    if mallopt is not None:
        mallopt(M_ARENA_MAX, ARENA_COUNT)


async def _run(settings: Settings, storage: VoterStorage | None) -> None:
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    instance = Instance(settings, storage)
    instance.start()
    servers = WebServers()
    servers.add(caller_interface(instance, loop), settings.caller_address, CALLER_THREAD_COUNT)
    servers.add(
        operator_interface(instance, loop), settings.operator_address, OPERATOR_THREAD_COUNT
    )
    await loop.run_in_executor(None, servers.start)
    # Exempt the objects that live as long as the process from garbage collections.
    gc.collect()
    gc.freeze()
    logger.info('%s listening on %s', PREFIX, settings.caller_address)
    await stop_requested.wait()
    await instance.finish()
    logger.info('%s stopping: closing the listening addresses', PREFIX)
    await loop.run_in_executor(None, servers.stop)
    logger.info('%s stopping: closing connections and files', PREFIX)
    await instance.stop()


if __name__ == '__main__':
    main()
