"""Guard against damage that is taken for a torn record, on a real file system."""

from __future__ import annotations

from pathlib import Path

import pytest

from pistachioloft_core.messages.agreement import HardState, LogEntry, Membership, SnapshotMeta
from pistachioloft_daemon.storage import (
    AlreadyInitialisedError,
    DamagedError,
    FolderInUseError,
    NotInitialisedError,
    check_folder,
    initialise,
    open_storage,
)

GROUP = Membership(('m1',))


def entry(index):
    return LogEntry(1, index, 'command', index, b'payload')


@pytest.fixture
def folder(tmp_path):
    path = str(tmp_path / 'data')
    initialise(path, 'c', 'm1', GROUP)
    return path


def segment(folder):
    (path,) = Path(folder).glob('log-*.seg')
    return path


def fill(folder, count=3):
    storage = open_storage(folder).storage
    for index in range(1, count + 1):
        storage.append(HardState(1, 'm1'), None, (entry(index),))
    return storage


def test_state_survives_reopening(folder) -> None:
    """Guard against a restart that forgets the vote, the log or the snapshot."""
    storage = fill(folder)
    storage.save_snapshot(SnapshotMeta(1, 2, GROUP), b'state')
    storage.append(None, None, (entry(4),))
    storage.close()
    stored = open_storage(folder).stored
    assert (stored.cluster_id, stored.member_id) == ('c', 'm1')
    assert stored.hard_state == HardState(1, 'm1')
    assert (stored.snapshot, stored.snapshot_data) == (SnapshotMeta(1, 2, GROUP), b'state')
    assert stored.entries == (entry(3), entry(4))


def test_folder_has_one_user_and_one_member(folder, tmp_path) -> None:
    """Guard against two processes on one folder, and against a folder that is overwritten."""
    storage = open_storage(folder).storage
    with pytest.raises(FolderInUseError):
        open_storage(folder)
    with pytest.raises(FolderInUseError):
        check_folder(folder)
    storage.close()
    assert check_folder(folder).problems == ()
    with pytest.raises(AlreadyInitialisedError):
        initialise(folder, 'c', 'm2', GROUP)
    with pytest.raises(NotInitialisedError):
        open_storage(str(tmp_path / 'absent'))


def test_every_flipped_bit_before_the_end_is_refused(folder) -> None:
    """Guard against damage, also of a length, that drops promised entries as a torn tail."""
    fill(folder).close()
    path = segment(folder)
    good = path.read_bytes()
    before = {name: name.read_bytes() for name in path.parent.iterdir()}
    seal_bytes = len(good) - good.rfind(b'payload')
    for offset in range(len(good) - seal_bytes):
        path.write_bytes(good[:offset] + bytes([good[offset] ^ 0x10]) + good[offset + 1 :])
        (problem,) = check_folder(folder).problems
        assert problem.file == str(path)
        assert problem.offset_bytes <= offset
        with pytest.raises(DamagedError):
            open_storage(folder)
    path.write_bytes(good)
    assert {name: name.read_bytes() for name in path.parent.iterdir()} == before


def test_torn_last_record_is_truncated_at_any_length(folder) -> None:
    """Guard against a voter that does not start after a crash in mid-append."""
    storage = fill(folder, 2)
    whole = segment(folder).stat().st_size
    storage.append(None, None, (entry(3),))
    data = segment(folder).read_bytes()
    storage.close()
    for length in range(whole, len(data)):
        for filler in (b'', b'\0' * (len(data) - length)):
            segment(folder).write_bytes(data[:length] + filler)
            opened = open_storage(folder)
            assert opened.stored.entries[:2] == (entry(1), entry(2))
            opened.storage.append(None, 3, (entry(3),))
            opened.storage.close()
            assert len(open_storage_and_close(folder)) == 3


def open_storage_and_close(folder):
    opened = open_storage(folder)
    opened.storage.close()
    return opened.stored.entries


def test_lost_or_damaged_file_is_refused(folder) -> None:
    """Guard against a voter that starts with a gap in its log or without its snapshot."""
    storage = fill(folder)
    storage.save_snapshot(SnapshotMeta(1, 2, GROUP), b'state')
    storage.append(None, None, (entry(4),))
    storage.close()
    files = {path: path.read_bytes() for path in segment_paths(folder)}
    assert len(files) == 3
    for path, data in files.items():
        path.unlink()
        with pytest.raises((DamagedError, NotInitialisedError)):
            open_storage(folder)
        if path.suffix == '.snap':
            path.write_bytes(data[:-1] + b'\0')
            with pytest.raises(DamagedError):
                open_storage(folder)
        path.write_bytes(data)


def segment_paths(folder):
    return [path for path in sorted(Path(folder).iterdir()) if path.suffix in ('.seg', '.snap')]


@pytest.mark.parametrize('wrong', [(entry(5),), (entry(2),)])
def test_append_that_leaves_a_gap_is_refused(folder, wrong) -> None:
    """Guard against a fault of the caller that a later start would read as damage."""
    storage = fill(folder)
    with pytest.raises(ValueError):
        storage.append(None, None, wrong)
    storage.save_snapshot(SnapshotMeta(1, 2, GROUP), b'')
    with pytest.raises(ValueError):
        storage.append(None, 2, (entry(2),))
