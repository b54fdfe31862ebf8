"""Supervise a voter: reopen its data folder and restart it after a failed write."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from .storage import StorageError
from .voter import TICK_MS, Voter, VoterHooks
from .voter_storage import VoterStorage

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from .loop_timers import LoopTimers

logger = logging.getLogger(__name__)

PREFIX = '[storage]'
# Space on a full disk is often freed within seconds; each attempt reads the folder once.
REOPEN_INTERVAL_S = 0.5


class VoterSupervisor:
    """Hold the voter, or retry to open its data folder until it is usable."""

    def __init__(
        self,
        folder: Path,
        instance: str,
        founders: tuple[str, ...],
        hooks: VoterHooks,
        on_started: Callable[[Voter], None],
    ) -> None:
        self.folder = folder
        self.instance = instance
        self.founders = founders
        self.hooks = replace(hooks, failed=self._on_failed)
        self.on_failed = hooks.failed
        self.on_started = on_started
        self.voter: Voter | None = None
        self.reopen_task: asyncio.Task[None] | None = None
        self.stopping = False

    async def start(self, timers: LoopTimers) -> None:
        """Open the data folder and start the voter."""
        timers.every(TICK_MS, self._tick)
        try:
            await self._open()
        except (StorageError, OSError) as error:
            logger.error('%s data folder cannot be opened; retrying: %s', PREFIX, error)
            self._schedule_reopen()

    async def stop(self) -> None:
        """Stop the voter and close the data folder."""
        self.stopping = True
        if self.reopen_task is not None:
            self.reopen_task.cancel()
        if self.voter is not None:
            await self.voter.stop()

    def _tick(self, now_ms: float) -> None:
        if self.voter is not None:
            self.voter.tick(now_ms)

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        storage = await loop.run_in_executor(
            None, VoterStorage, self.folder, self.instance, self.founders
        )
        voter = Voter(storage, self.hooks)
        self.voter = voter
        voter.start()
        logger.info('%s voter started: member=%s', PREFIX, voter.member_id)
        self.on_started(voter)

    def _on_failed(self, reason: str) -> None:
        self.on_failed(reason)
        if not self.stopping:
            self._schedule_reopen()

    def _schedule_reopen(self) -> None:
        self.reopen_task = asyncio.get_running_loop().create_task(self._reopen())

    async def _reopen(self) -> None:
        while True:
            await self._discard_voter()
            await asyncio.sleep(REOPEN_INTERVAL_S)
            try:
                await self._open()
            except (StorageError, OSError) as error:
                logger.warning('%s data folder still cannot be opened; retrying: %s', PREFIX, error)
            except Exception:
                # Without its voter, the process would refuse changes until it ends.
                logger.exception('%s voter cannot be started; retrying', PREFIX)
            else:
                return

    async def _discard_voter(self) -> None:
        voter, self.voter = self.voter, None
        if voter is None:
            return
        try:
            await voter.stop()
        except (StorageError, OSError) as error:
            logger.warning('%s error while closing the data folder: %s', PREFIX, error)
