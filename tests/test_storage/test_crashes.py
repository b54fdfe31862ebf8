"""Guard against the loss of what a voter promised, at a crash or failure of any step."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

import pytest

from pistachioloft_core.messages.agreement import HardState, LogEntry, Membership, SnapshotMeta
from pistachioloft_daemon.storage import (
    FolderInUseError,
    StorageFailedError,
    check_folder,
    initialise,
    open_storage,
    storage,
)
from tests.test_storage.memory_files import CrashError, MemoryFiles

GROUP = Membership(('m1', 'm2', 'm3'))


def entry(term, index):
    return LogEntry(term, index, 'command', index, f'{term}.{index}'.encode() * 5)


@dataclass(frozen=True)
class Promised:
    """Hold what the storage confirmed; `log` has every entry from index 1."""

    hard_state: HardState
    log: tuple[LogEntry, ...] = ()
    snapshot_index: int = 0


class Voter:
    """Drive one storage by random operations and compare it with what it promised."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.files = MemoryFiles(seed)
        initialise('/d', 'c', 'm1', GROUP, self.files)
        self.promised = self.intended = Promised(HardState(0, None))
        self.storage = open_storage('/d', self.files).storage

    def operate(self) -> None:
        kind = self.random.choice(['append'] * 5 + ['truncate', 'snapshot', 'install', 'reopen'])
        promised = self.promised
        term, last = promised.hard_state.term, len(promised.log)
        if kind in ('append', 'truncate'):
            first = self.random.randint(promised.snapshot_index + 1, last + 1)
            truncate = first if kind == 'truncate' else None
            first = first if truncate else last + 1
            new_state = self.random.choice([None, HardState(term + 1, 'm2')])
            state = new_state or promised.hard_state
            count = self.random.randint(0, 3)
            entries = tuple(entry(state.term, first + offset) for offset in range(count))
            self.intended = replace(
                promised, hard_state=state, log=promised.log[: first - 1] + entries
            )
            self.storage.append(new_state, truncate, entries)
        elif kind == 'snapshot' and last > promised.snapshot_index:
            index = self.random.randint(promised.snapshot_index + 1, last)
            self._save(promised.log[index - 1].term, index, promised.log)
        elif kind == 'install':
            index = last + self.random.randint(-1, 3)
            if index > promised.snapshot_index:
                log = tuple(entry(term + 50, number) for number in range(1, index + 1))
                self._save(term + 50, index, log)
        elif kind == 'reopen':
            self.storage.close()
            self.storage = open_storage('/d', self.files).storage
        self.promised = self.intended

    def _save(self, term, index, log) -> None:
        self.intended = replace(self.promised, log=log, snapshot_index=index)
        self.storage.save_snapshot(SnapshotMeta(term, index, GROUP), f'{term}.{index}'.encode())

    def reopen_and_compare(self) -> None:
        problems = check_folder('/d', self.files).problems
        assert problems == ()
        opened = open_storage('/d', self.files)
        stored = opened.stored
        for candidate in (self.intended, self.promised):
            index = candidate.snapshot_index
            expected = (candidate.hard_state, index, candidate.log[index:])
            found = (stored.hard_state, stored.snapshot.index, stored.entries)
            if found == expected:
                self.promised = self.intended = candidate
                break
        else:
            raise AssertionError((found, self.promised, self.intended))
        if index:
            assert stored.snapshot_data == f'{stored.snapshot.term}.{index}'.encode()
        self.storage = opened.storage


@pytest.mark.parametrize('seed', range(12))
def test_crash_at_each_step_keeps_every_promise(seed, monkeypatch) -> None:
    """Guard against a lost, partial or invented append, snapshot or compaction."""
    monkeypatch.setattr(storage, 'SEGMENT_LIMIT_BYTES', 600)
    for crash_after in range(1, 120):
        voter = Voter(seed)
        for _ in range(4):
            voter.files.crash_at = voter.files.step + crash_after
            try:
                for _ in range(40):
                    voter.operate()
            except CrashError:
                pass
            voter.files.lose_power()
            voter.reopen_and_compare()


@pytest.mark.parametrize('seed', range(12))
def test_failed_write_or_sync_is_final_and_keeps_every_promise(seed, monkeypatch) -> None:
    """Guard against bytes that a failed sync left in the page cache and a restart relies on."""
    monkeypatch.setattr(storage, 'SEGMENT_LIMIT_BYTES', 600)
    for error_after in range(1, 60):
        voter = Voter(seed)
        for _ in range(4):
            voter.files.error_at = voter.files.step + error_after
            try:
                for _ in range(40):
                    voter.operate()
            except StorageFailedError:
                if voter.storage.failure is not None:
                    steps = voter.files.step
                    with pytest.raises(StorageFailedError):
                        voter.storage.append(HardState(99, None), None, ())
                    assert voter.files.step == steps
            voter.files.end_process()
            voter.reopen_and_compare()
        for _ in range(3):
            voter.operate()
        voter.files.lose_power()
        voter.reopen_and_compare()


def test_initialise_that_crashed_can_be_repeated() -> None:
    """Guard against a folder that is half created and then neither usable nor replaceable."""
    for crash_at in range(1, 20):
        files = MemoryFiles(crash_at)
        files.crash_at = crash_at
        try:
            initialise('/d', 'c', 'm1', GROUP, files)
        except CrashError:
            files.lose_power()
            if 'meta.json' not in files.list_names('/d'):
                initialise('/d', 'c', 'm1', GROUP, files)
        files.end_process()
        assert open_storage('/d', files).stored.snapshot == SnapshotMeta(0, 0, GROUP)
        with pytest.raises(FolderInUseError):
            open_storage('/d', files)
