"""Tests that confirmed writes of a voter survive a crash or an error at any operation."""

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
    initialize,
    open_storage,
    storage,
)
from tests.test_storage.memory_files import CrashError, MemoryFiles

MEMBERSHIP = Membership(('m1', 'm2', 'm3'))


def entry(term, index):
    return LogEntry(term, index, 'command', index, f'{term}.{index}'.encode() * 5)


@dataclass(frozen=True)
class ConfirmedState:
    """Hold the state that the storage confirmed; `log` has every entry from index 1."""

    hard_state: HardState
    log: tuple[LogEntry, ...] = ()
    snapshot_index: int = 0


class StorageDriver:
    """Run random operations on one storage and compare its content with its confirmed state."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.files = MemoryFiles(seed)
        initialize('/d', 'c', 'm1', MEMBERSHIP, self.files)
        self.confirmed = self.intended = ConfirmedState(HardState(0, None))
        self.storage = open_storage('/d', self.files).storage

    def operate(self) -> None:
        kind = self.random.choice(['append'] * 5 + ['truncate', 'snapshot', 'install', 'reopen'])
        confirmed = self.confirmed
        term, last = confirmed.hard_state.term, len(confirmed.log)
        if kind in ('append', 'truncate'):
            first = self.random.randint(confirmed.snapshot_index + 1, last + 1)
            truncate = first if kind == 'truncate' else None
            first = first if truncate else last + 1
            new_state = self.random.choice([None, HardState(term + 1, 'm2')])
            state = new_state or confirmed.hard_state
            count = self.random.randint(0, 3)
            entries = tuple(entry(state.term, first + offset) for offset in range(count))
            self.intended = replace(
                confirmed, hard_state=state, log=confirmed.log[: first - 1] + entries
            )
            self.storage.append(new_state, truncate, entries)
        elif kind == 'snapshot' and last > confirmed.snapshot_index:
            index = self.random.randint(confirmed.snapshot_index + 1, last)
            self._save(confirmed.log[index - 1].term, index, confirmed.log)
        elif kind == 'install':
            index = last + self.random.randint(-1, 3)
            if index > confirmed.snapshot_index:
                log = tuple(entry(term + 50, number) for number in range(1, index + 1))
                self._save(term + 50, index, log)
        elif kind == 'reopen':
            self.storage.close()
            self.storage = open_storage('/d', self.files).storage
        self.confirmed = self.intended

    def _save(self, term, index, log) -> None:
        self.intended = replace(self.confirmed, log=log, snapshot_index=index)
        self.storage.save_snapshot(
            SnapshotMeta(term, index, MEMBERSHIP), f'{term}.{index}'.encode()
        )

    def reopen_and_compare(self) -> None:
        problems = check_folder('/d', self.files).problems
        assert problems == ()
        opened = open_storage('/d', self.files)
        stored = opened.stored
        for candidate in (self.intended, self.confirmed):
            index = candidate.snapshot_index
            expected = (candidate.hard_state, index, candidate.log[index:])
            actual = (stored.hard_state, stored.snapshot.index, stored.entries)
            if actual == expected:
                self.confirmed = self.intended = candidate
                break
        else:
            raise AssertionError((actual, self.confirmed, self.intended))
        if index:
            assert stored.snapshot_data == f'{stored.snapshot.term}.{index}'.encode()
        self.storage = opened.storage


@pytest.mark.parametrize('seed', range(12))
@pytest.mark.parametrize('failure', ['crash_at', 'error_at'])
def test_failure_at_each_step_keeps_confirmed_writes(seed, failure, monkeypatch) -> None:
    """Guard against lost or partial writes, and against a start that relies on a failed sync."""
    monkeypatch.setattr(storage, 'SEGMENT_LIMIT_BYTES', 600)
    for fail_after in range(1, 120):
        driver = StorageDriver(seed)
        for _ in range(4):
            setattr(driver.files, failure, driver.files.step + fail_after)
            try:
                for _ in range(40):
                    driver.operate()
            except (CrashError, StorageFailedError):
                steps = driver.files.step
                if driver.storage.failure is not None:
                    with pytest.raises(StorageFailedError):
                        driver.storage.append(HardState(99, None), None, ())
                    assert driver.files.step == steps
            driver.files.end_process()
            if failure == 'crash_at':
                driver.files.lose_power()
            driver.reopen_and_compare()
        for _ in range(3):
            driver.operate()
        driver.files.lose_power()
        driver.reopen_and_compare()


def test_hundreds_of_changes_survive_crashes_between_them() -> None:
    """Guard against a voter that returns to an older configuration after many changes."""
    source = random.Random(5)
    files = MemoryFiles(5)
    initialize('/d', 'c', 'm1', MEMBERSHIP, files)
    accepted_index, crash_count = 0, 0
    for number in range(60):
        files.crash_at = files.step + source.randint(20, 60)
        try:
            opened = open_storage('/d', files)
            state = accepted.decode_snapshot(opened.stored.snapshot_data)
            for stored in opened.stored.entries:
                accepted.apply_entry(state, stored)
            assert accepted.accepted_configuration(state).index >= accepted_index
            for index in range(opened.storage.last_index + 1, 10_000):
                base_index = accepted.accepted_configuration(state).index
                command = SubmitConfiguration(f'{number}.{index}', base_index, Configuration(), 'o')
                payload = accepted.encode_command(command)
                opened.storage.append(None, None, (replace(entry(1, index), payload=payload),))
                accepted.apply_command(state, 1, index, index, command)
                accepted_index = accepted.accepted_configuration(state).index
                assert accepted_index == index
                if index % 20 == 0:
                    meta = SnapshotMeta(1, index, MEMBERSHIP)
                    opened.storage.save_snapshot(meta, accepted.encode_snapshot(state))
        except CrashError:
            crash_count += 1
            files.lose_power()
    assert crash_count == 60
    assert accepted_index > 400


def test_initialize_can_be_repeated_after_a_crash() -> None:
    """Guard against a partly created folder that can be neither opened nor initialized again."""
    for crash_at in range(1, 20):
        files = MemoryFiles(crash_at)
        files.crash_at = crash_at
        try:
            initialize('/d', 'c', 'm1', MEMBERSHIP, files)
        except CrashError:
            files.lose_power()
            if 'meta.json' not in files.list_names('/d'):
                initialize('/d', 'c', 'm1', MEMBERSHIP, files)
        files.end_process()
        assert open_storage('/d', files).stored.snapshot == SnapshotMeta(0, 0, MEMBERSHIP)
        with pytest.raises(FolderInUseError):
            open_storage('/d', files)
