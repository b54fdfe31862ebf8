"""Open or create the data folder of a voter."""

from __future__ import annotations

import logging
import secrets
from typing import TYPE_CHECKING

from pistachioloft_core.messages.agreement import Membership

from .storage import NotInitializedError, initialize, open_storage

if TYPE_CHECKING:
    from pathlib import Path

    from pistachioloft_core.messages.agreement import HardState, LogEntry, SnapshotMeta

    from .storage import OpenedStorage

logger = logging.getLogger(__name__)

PREFIX = '[storage]'
FOUNDER_SUFFIX = 'first'
MEMBER_TOKEN_BYTES = 6
JOINING_CLUSTER_ID = 'joining'
FOUNDED_CLUSTER_ID = 'founded'


class VoterStorage:
    """Hold the open data folder of a voter and its content at opening."""

    def __init__(self, folder: Path, instance: str, founders: tuple[str, ...] = ()) -> None:
        try:
            opened = open_storage(str(folder))
        except (NotInitializedError, FileNotFoundError):
            if instance in founders:
                initialize_voter(folder, FOUNDED_CLUSTER_ID, instance, founders)
                opened = open_storage(str(folder))
                self._set_opened(opened)
                return
            # Without its folder this process does not know its earlier votes, so it must join as a
            # new member.
            member_id = f'{instance}-{secrets.token_hex(MEMBER_TOKEN_BYTES)}'
            logger.warning('%s empty data folder: joining as new member %s', PREFIX, member_id)
            initialize(str(folder), JOINING_CLUSTER_ID, member_id, None)
            opened = open_storage(str(folder))
        self._set_opened(opened)

    def _set_opened(self, opened: OpenedStorage) -> None:
        self.storage = opened.storage
        self.stored = opened.stored
        if self.stored.torn_bytes:
            logger.warning(
                '%s torn last record of %d bytes removed', PREFIX, self.stored.torn_bytes
            )

    @property
    def is_log_long(self) -> bool:
        """Return whether the log takes so much of the disk that a snapshot should replace it."""
        return self.storage.is_log_long

    def append(
        self,
        hard_state: HardState | None,
        truncate_from: int | None,
        entries: tuple[LogEntry, ...],
    ) -> None:
        """Append a hard state, a truncation and entries durably."""
        self.storage.append(hard_state, truncate_from, entries)

    def save_snapshot(self, meta: SnapshotMeta, data: bytes) -> None:
        """Write a snapshot durably."""
        self.storage.save_snapshot(meta, data)

    def close(self) -> None:
        """Close the data folder."""
        self.storage.close()


def initialize_voter(folder: Path, cluster_id: str, instance: str, voters: tuple[str, ...]) -> None:
    """Create the data folder of an initial voter of a new cluster."""
    members = tuple(f'{name}-{FOUNDER_SUFFIX}' for name in voters)
    initialize(str(folder), cluster_id, f'{instance}-{FOUNDER_SUFFIX}', Membership(members))
