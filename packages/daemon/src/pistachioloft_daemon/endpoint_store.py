"""Store the announced endpoints on disk, so that a restart of all instances finds them at once."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import msgspec

from pistachioloft_core.codec import decode_packed
from pistachioloft_core.errors import CodedError
from pistachioloft_core.messages.fleet import AnnouncedEndpoint

from .storage import FileOperations, StorageError
from .storage.layout import write_file
from .storage.records import frame, scan

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

logger = logging.getLogger(__name__)

PREFIX = '[storage]'
FILE_NAME = 'endpoints.snap'
# Endpoints change within seconds; a write takes two syncs.
SAVE_INTERVAL_MS = 1_000.0


class EndpointStore:
    """Hold the file of endpoints and the revision that was last written to it."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.files = FileOperations()
        self.saved_revision = -1
        self.next_save_ms = 0.0
        self.has_failed = False
        self.task: asyncio.Task[None] | None = None

    def load(self) -> tuple[AnnouncedEndpoint, ...]:
        """Return the endpoints of an earlier run, none if the file cannot be read."""
        path = str(self.folder / FILE_NAME)
        try:
            (payload,) = scan(path, self.files.read(path), last_may_be_torn=False).payloads
            content = decode_packed(payload, bytes)
            return decode_packed(content, tuple[AnnouncedEndpoint, ...])
        except FileNotFoundError:
            return ()
        except (OSError, StorageError, CodedError, ValueError) as error:
            # The endpoints announce themselves again within a heartbeat.
            logger.warning('%s endpoints not read from %s: %s', PREFIX, path, error)
            return ()

    def save_if_due(
        self,
        now_ms: float,
        revision: int,
        known_records: Callable[[], tuple[AnnouncedEndpoint, ...]],
        has_urgent_change: Callable[[int], bool],
    ) -> None:
        """Write changed endpoints, at most once an interval unless a change is urgent."""
        busy = self.task is not None and not self.task.done()
        if busy or revision == self.saved_revision:
            return
        may_be_urgent = not self.has_failed and has_urgent_change(self.saved_revision)
        if now_ms < self.next_save_ms and not may_be_urgent:
            return
        self.next_save_ms = now_ms + SAVE_INTERVAL_MS
        self.task = asyncio.get_running_loop().create_task(self._save(revision, known_records()))

    async def _save(self, revision: int, records: tuple[AnnouncedEndpoint, ...]) -> None:
        content = msgspec.msgpack.encode(records)
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(None, self._write, content)
        except OSError as error:
            self.has_failed = True
            logger.warning('%s endpoints not saved; retrying: %s', PREFIX, error)
        else:
            self.has_failed, self.saved_revision = False, revision

    def _write(self, content: bytes) -> None:
        self.files.make_folder(str(self.folder))
        write_file(self.files, str(self.folder), FILE_NAME, (frame(content),))
