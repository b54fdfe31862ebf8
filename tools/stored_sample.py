"""Write a data folder as this build stores it: `python -m tools.stored_sample FOLDER`."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from pistachioloft_core.messages.accepted import (
    AcceptedCommand,
    AcceptRoutes,
    CallerEntry,
    CloseClaim,
    Configuration,
    InstanceEntry,
    OpenClaim,
    SubmitConfiguration,
)
from pistachioloft_core.messages.agreement import (
    ENTRY_COMMAND,
    HardState,
    LogEntry,
    Membership,
    SnapshotMeta,
)
from pistachioloft_core.messages.fleet import ENDPOINT_READY, AnnouncedEndpoint
from pistachioloft_core.version.accepted import (
    AcceptedState,
    apply_entry,
    encode_command,
    encode_snapshot,
)
from pistachioloft_daemon.endpoint_store import EndpointStore
from pistachioloft_daemon.voter_storage import VoterStorage

INSTANCE = 'm1'
MEMBERSHIP = Membership((f'{INSTANCE}-first',))
CONFIGURATION = Configuration(
    (InstanceEntry(INSTANCE, 'north', '10.0.0.1:80', '10.0.0.1:90', voter=True),),
    callers=(CallerEntry('c1', 'urgent'),),
)
COMMANDS: tuple[AcceptedCommand, ...] = (
    AcceptRoutes(1, b'first routes'),
    SubmitConfiguration('k1', 0, CONFIGURATION, 'operator', 'a note'),
    OpenClaim('c1', 'key', 1_000, 'digest', 'a1', INSTANCE),
    AcceptRoutes(2, b'second routes'),
    CloseClaim('c1', 'key', 'a1', True, {'rows': [1, 2]}),
    AcceptRoutes(3, b'third routes'),
)
# Entries after this one are in the log only.
SNAPSHOT_INDEX = 4
ENDPOINT = AnnouncedEndpoint(
    'i-1', 's1', '10.0.0.2:80', 'north', 2, ENDPOINT_READY, 7, 1_000, 30.0, 'v1'
)


def write_sample(folder: Path) -> None:
    """Write a snapshot, a log with later entries and the announced endpoints."""
    entries = tuple(
        LogEntry(1, index, ENTRY_COMMAND, 1_000 * index, encode_command(command))
        for index, command in enumerate(COMMANDS, 1)
    )
    state = AcceptedState()
    for entry in entries[:SNAPSHOT_INDEX]:
        apply_entry(state, entry)
    storage = VoterStorage(folder, INSTANCE, (INSTANCE,))
    storage.append(HardState(1, MEMBERSHIP.voters[0]), None, entries[:SNAPSHOT_INDEX])
    storage.save_snapshot(SnapshotMeta(1, SNAPSHOT_INDEX, MEMBERSHIP), encode_snapshot(state))
    storage.append(None, None, entries[SNAPSHOT_INDEX:])
    storage.close()
    asyncio.run(_write_endpoints(folder))


async def _write_endpoints(folder: Path) -> None:
    store = EndpointStore(folder)
    store.save_if_due(0.0, 1, lambda: (ENDPOINT,), lambda _revision: True)
    assert store.task is not None
    await store.task


if __name__ == '__main__':
    write_sample(Path(sys.argv[1]))
