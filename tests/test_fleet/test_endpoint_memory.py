"""Guard against a restart of all control instances that waits for every endpoint."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pistachioloft_core.messages.fleet import (
    STANDING_LEFT,
    STANDING_READY,
    AnnouncedEndpoint,
    ControlStatus,
)
from pistachioloft_core.process import fleet
from pistachioloft_daemon.endpoint_memory import FILE_NAME, EndpointMemory

if TYPE_CHECKING:
    from pathlib import Path

READY = AnnouncedEndpoint('i-1', 'catalogue', '10.9.0.1:80', 'a', 2, STANDING_READY, 5, 1_000)
LEFT = AnnouncedEndpoint('i-2', 'catalogue', '10.9.0.2:80', 'a', 2, STANDING_LEFT, 9, 1_000)


def save(folder: Path, records: tuple[AnnouncedEndpoint, ...]) -> None:
    async def whole() -> None:
        memory = EndpointMemory(folder)
        memory.save_if_due(0.0, 1, lambda: records)
        assert memory.task is not None
        await memory.task

    asyncio.run(whole())


def test_endpoints_are_known_again_and_lapse_if_they_are_gone(tmp_path: Path) -> None:
    """Guard against a table that is empty after a restart, or that keeps the dead."""
    save(tmp_path, (READY, LEFT))
    own = ControlStatus('10.0.0.1', 2, 'a', '')
    state = fleet.FleetState(own, 1_200.0, 0.0)
    fleet.restore(state, 0.0, EndpointMemory(tmp_path).load())
    standings = {record.endpoint: record.standing for record in fleet.known_records(state)}
    assert standings == {'i-1': STANDING_READY, 'i-2': STANDING_LEFT}
    for now_ms in range(0, 10_000, 200):
        fleet.tick(state, float(now_ms), True)
    standings = {record.endpoint: record.standing for record in fleet.known_records(state)}
    assert standings['i-1'] != STANDING_READY


def test_damaged_file_holds_nothing(tmp_path: Path) -> None:
    """Guard against a start that fails because of a file that is not needed."""
    save(tmp_path, (READY,))
    path = tmp_path / FILE_NAME
    data = path.read_bytes()
    for content in (b'', data[:-1], data[:-4] + b'xxxx', b'\0' * 40):
        path.write_bytes(content)
        assert EndpointMemory(tmp_path).load() == ()
    path.unlink()
    assert EndpointMemory(tmp_path).load() == ()


def test_unwritable_folder_is_no_failure(tmp_path: Path) -> None:
    """Guard against a full disk that stops an instance which could go on."""
    (tmp_path / 'file').write_text('')
    save(tmp_path / 'file', (READY,))
