"""Open or create the data folder of a voter."""

from __future__ import annotations

import logging
import secrets
from typing import TYPE_CHECKING

from pistachioloft_core.messages.agreement import Membership

from .storage import NotInitialisedError, initialise, open_storage

if TYPE_CHECKING:
    from pathlib import Path

    from pistachioloft_core.messages.agreement import HardState, LogEntry, SnapshotMeta

    from .storage import OpenedStorage

logger = logging.getLogger(__name__)

PREFIX = '[storage]'
FIRST_SUFFIX = 'first'
MEMBER_SUFFIX_BYTES = 6
JOINING_CLUSTER = 'joining'
FOUNDED_CLUSTER = 'founded'


class VoterStorage:
    """Hold the open data folder of a voter and what it contained."""

    def __init__(self, folder: Path, instance: str, founders: tuple[str, ...] = ()) -> None:
        try:
            opened = open_storage(str(folder))
        except (NotInitialisedError, FileNotFoundError):
            if instance in founders:
                initialise_voter(folder, FOUNDED_CLUSTER, instance, founders)
                opened = open_storage(str(folder))
                self._keep(opened)
                return
            # Without its folder this process cannot know what it voted for, so it is a new member.
            member_id = f'{instance}-{secrets.token_hex(MEMBER_SUFFIX_BYTES)}'
            logger.warning('%s empty data folder: joining as new member %s', PREFIX, member_id)
            initialise(str(folder), JOINING_CLUSTER, member_id, None)
            opened = open_storage(str(folder))
        self._keep(opened)

    def _keep(self, opened: OpenedStorage) -> None:
        self.storage = opened.storage
        self.stored = opened.stored
        if self.stored.torn_bytes:
            logger.warning('%s torn last record cut off: %d bytes', PREFIX, self.stored.torn_bytes)

    def append(
        self,
        hard_state: HardState | None,
        truncate_from: int | None,
        entries: tuple[LogEntry, ...],
    ) -> None:
        """Make an append durable."""
        self.storage.append(hard_state, truncate_from, entries)

    def save_snapshot(self, meta: SnapshotMeta, data: bytes) -> None:
        """Make a snapshot durable."""
        self.storage.save_snapshot(meta, data)

    def close(self) -> None:
        """Close the folder."""
        self.storage.close()


def initialise_voter(folder: Path, cluster: str, instance: str, voters: tuple[str, ...]) -> None:
    """Create the data folder of a first voter of a new cluster."""
    members = tuple(f'{name}-{FIRST_SUFFIX}' for name in voters)
    initialise(str(folder), cluster, f'{instance}-{FIRST_SUFFIX}', Membership(members))
