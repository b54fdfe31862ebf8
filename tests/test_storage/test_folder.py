"""Tests of a data folder on a real file system, with torn, damaged and missing files."""

from __future__ import annotations

from pathlib import Path

import pytest

from pistachioloft_core.messages.agreement import HardState, LogEntry, Membership, SnapshotMeta
from pistachioloft_daemon.storage import (
    AlreadyInitializedError,
    DamagedError,
    FileOperations,
    FolderInUseError,
    NotInitializedError,
    check_folder,
    initialize,
    open_storage,
)

MEMBERSHIP = Membership(('m1',))


class UnsyncedFiles(FileOperations):
    """Omit syncs, which are slow and which tests of reading do not need."""

    def sync(self, descriptor):
        pass

    def sync_folder(self, folder):
        pass


def entry(index):
    return LogEntry(1, index, 'command', index, b'payload')


@pytest.fixture
def folder(tmp_path):
    path = str(tmp_path / 'data')
    initialize(path, 'c', 'm1', MEMBERSHIP)
    return path


def data_files(folder):
    return [path for path in sorted(Path(folder).iterdir()) if path.suffix in ('.seg', '.snap')]


def fill(folder, count=3):
    opened = open_storage(folder).storage
    for index in range(1, count + 1):
        opened.append(HardState(1, 'm1'), None, (entry(index),))
    return opened


def fill_with_snapshot(folder):
    opened = fill(folder)
    opened.save_snapshot(SnapshotMeta(1, 2, MEMBERSHIP), b'state')
    opened.append(None, None, (entry(4),))
    opened.close()


def test_state_survives_reopening(folder) -> None:
    """Guard against a restart that loses the vote, the log or the snapshot."""
    fill_with_snapshot(folder)
    stored = open_storage(folder).stored
    assert (stored.cluster_id, stored.member_id) == ('c', 'm1')
    assert stored.hard_state == HardState(1, 'm1')
    assert (stored.snapshot, stored.snapshot_data) == (SnapshotMeta(1, 2, MEMBERSHIP), b'state')
    assert stored.entries == (entry(3), entry(4))


def test_folder_in_use_or_initialized_is_refused(folder, tmp_path) -> None:
    """Guard against two processes that use one folder, and against overwriting a folder."""
    opened = open_storage(folder).storage
    for open_function in (open_storage, check_folder):
        with pytest.raises(FolderInUseError):
            open_function(folder)
    opened.close()
    assert check_folder(folder).problems == ()
    with pytest.raises(AlreadyInitializedError):
        initialize(folder, 'c', 'm2', MEMBERSHIP)
    with pytest.raises(NotInitializedError):
        open_storage(str(tmp_path / 'absent'))


def test_every_flipped_bit_before_the_end_is_refused(folder) -> None:
    """Guard against damage, also of a length, that drops confirmed entries as a torn record."""
    fill(folder).close()
    (path,) = data_files(folder)[:1]
    intact_data = path.read_bytes()
    files_before = {name: name.read_bytes() for name in path.parent.iterdir()}
    end_record_bytes = len(intact_data) - intact_data.rfind(b'payload')
    for offset in range(len(intact_data) - end_record_bytes):
        path.write_bytes(
            intact_data[:offset] + bytes([intact_data[offset] ^ 0x10]) + intact_data[offset + 1 :]
        )
        (problem,) = check_folder(folder).problems
        assert problem.file == str(path)
        assert problem.offset_bytes <= offset
        with pytest.raises(DamagedError):
            open_storage(folder, UnsyncedFiles())
    path.write_bytes(intact_data)
    assert {name: name.read_bytes() for name in path.parent.iterdir()} == files_before


def test_torn_last_record_is_truncated_at_any_length(folder) -> None:
    """Guard against a voter that does not start after a crash during an append."""
    opened = fill(folder, 2)
    path = data_files(folder)[0]
    intact_bytes = path.stat().st_size
    opened.append(None, None, (entry(3),))
    data = path.read_bytes()
    opened.close()
    for length in range(intact_bytes, len(data)):
        for filler in (b'', b'\0' * (len(data) - length)):
            path.write_bytes(data[:length] + filler)
            opened_torn = open_storage(folder, UnsyncedFiles())
            assert opened_torn.stored.entries[:2] == (entry(1), entry(2))
            opened_torn.storage.append(None, 3, (entry(3),))
            opened_torn.storage.close()
            reopened = open_storage(folder, UnsyncedFiles())
            reopened.storage.close()
            assert len(reopened.stored.entries) == 3


def test_lost_or_damaged_file_is_refused(folder) -> None:
    """Guard against a voter that starts with missing entries or without its snapshot."""
    fill_with_snapshot(folder)
    paths = data_files(folder)
    assert [path.suffix for path in paths] == ['.seg', '.seg', '.snap']
    for path in paths:
        data = path.read_bytes()
        path.unlink()
        with pytest.raises(DamagedError):
            open_storage(folder)
        if path.suffix == '.snap':
            path.write_bytes(data[:-1] + b'\0')
            with pytest.raises(DamagedError):
                open_storage(folder)
        path.write_bytes(data)


@pytest.mark.parametrize('invalid_entries', [(entry(5),), (entry(2),)])
def test_append_that_leaves_a_gap_is_refused(folder, invalid_entries) -> None:
    """Guard against an invalid append that a later start would detect as damage."""
    opened = fill(folder)
    with pytest.raises(ValueError):
        opened.append(None, None, invalid_entries)
    opened.save_snapshot(SnapshotMeta(1, 2, MEMBERSHIP), b'')
    with pytest.raises(ValueError):
        opened.append(None, 2, (entry(2),))
