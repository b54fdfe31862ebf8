"""Errors of the storage, each with the file that it concerns."""

from __future__ import annotations


class StorageError(Exception):
    """Report a failure of the storage and the file that it concerns."""

    def __init__(self, file: str, detail: str) -> None:
        super().__init__(f'{file}: {detail}')
        self.file = file
        self.detail = detail


class StorageFailedError(StorageError):
    """Report a failed write or sync, after which the open storage rejects all writes."""


class DamagedError(StorageError):
    """Report damage other than a torn last record."""

    def __init__(self, file: str, offset_bytes: int, detail: str) -> None:
        super().__init__(file, f'offset {offset_bytes}: {detail}')
        self.offset_bytes = offset_bytes


class FolderInUseError(StorageError):
    """Report that another process uses the folder."""


class NotInitializedError(StorageError):
    """Report that the folder does not hold the data of a member."""


class AlreadyInitializedError(StorageError):
    """Report that the folder already holds the data of a member or other files."""
