"""Guard against the loss of what a voter promised, at a crash or failure of any step."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

import pytest

from pistachioloft_core.messages.accepted import Configuration, SubmitConfiguration
from pistachioloft_core.messages.agreement import HardState, LogEntry, Membership, SnapshotMeta
from pistachioloft_core.version import accepted
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
@pytest.mark.parametrize('failure', ['crash_at', 'error_at'])
def test_failure_at_each_step_keeps_every_promise(seed, failure, monkeypatch) -> None:
    """Guard against lost or partial writes, and against a start that trusts a failed sync."""
    monkeypatch.setattr(storage, 'SEGMENT_LIMIT_BYTES', 600)
    for fail_after in range(1, 120):
        voter = Voter(seed)
        for _ in range(4):
            setattr(voter.files, failure, voter.files.step + fail_after)
            try:
                for _ in range(40):
                    voter.operate()
            except (CrashError, StorageFailedError):
                steps = voter.files.step
                if voter.storage.failure is not None:
                    with pytest.raises(StorageFailedError):
                        voter.storage.append(HardState(99, None), None, ())
                    assert voter.files.step == steps
            voter.files.end_process()
            if failure == 'crash_at':
                voter.files.lose_power()
            voter.reopen_and_compare()
        for _ in range(3):
            voter.operate()
        voter.files.lose_power()
        voter.reopen_and_compare()


def test_hundreds_of_changes_survive_crashes_between_them() -> None:
    """Guard against a voter that falls back to older settings after many changes."""
    source = random.Random(5)
    files = MemoryFiles(5)
    initialise('/d', 'c', 'm1', GROUP, files)
    base, crashes = 0, 0
    for number in range(60):
        files.crash_at = files.step + source.randint(20, 60)
        try:
            opened = open_storage('/d', files)
            state = accepted.decode_snapshot(opened.stored.snapshot_data)
            for stored in opened.stored.entries:
                accepted.apply_entry(state, stored)
            assert accepted.accepted_configuration(state).index >= base
            for index in range(opened.storage.last_index + 1, 10_000):
                seen = accepted.accepted_configuration(state).index
                command = SubmitConfiguration(f'{number}.{index}', seen, Configuration(), 'o')
                payload = accepted.encode_command(command)
                opened.storage.append(None, None, (replace(entry(1, index), payload=payload),))
                accepted.apply_command(state, 1, index, index, command)
                base = accepted.accepted_configuration(state).index
                assert base == index
                if index % 20 == 0:
                    meta = SnapshotMeta(1, index, GROUP)
                    opened.storage.save_snapshot(meta, accepted.encode_snapshot(state))
        except CrashError:
            crashes += 1
            files.lose_power()
    assert crashes == 60
    assert base > 400


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
