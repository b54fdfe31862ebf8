"""File operations of the storage; tests override them to inject failures."""

from __future__ import annotations

import fcntl
import os


class FileOperations:
    """Perform the file operations of one storage."""

    def list_names(self, folder: str) -> list[str]:
        """Return the sorted names in a folder, an empty list if the folder does not exist."""
        try:
            return sorted(os.listdir(folder))
        except FileNotFoundError:
            return []

    def make_folder(self, folder: str) -> None:
        """Create a folder and make its directory entry durable."""
        if not os.path.isdir(folder):
            os.makedirs(folder)
            self.sync_folder(os.path.dirname(os.path.abspath(folder)))

    def read(self, path: str) -> bytes:
        """Read a whole file."""
        with open(path, 'rb') as file:
            return file.read()

    def create(self, path: str) -> int:
        """Create or truncate a file and open it for appending."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        return os.open(path, flags, 0o640)

    def write(self, descriptor: int, data: bytes) -> None:
        """Append data to an open file."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Make the content of an open file durable."""
        os.fsync(descriptor)

    def close(self, descriptor: int) -> None:
        """Close an open file."""
        os.close(descriptor)

    def rename(self, source: str, target: str) -> None:
        """Rename a file; replace the target if it exists."""
        os.replace(source, target)

    def remove(self, path: str) -> None:
        """Remove a file."""
        os.unlink(path)

    def sync_folder(self, folder: str) -> None:
        """Make the directory entries of a folder durable."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def lock(self, path: str, exclusive: bool) -> int | None:
        """Lock a file until it is closed; return None if another process holds the lock."""
        flags = (os.O_RDWR | os.O_CREAT) if exclusive else os.O_RDONLY
        descriptor = os.open(path, flags | os.O_CLOEXEC, 0o640)
        mode = fcntl.LOCK_EX if exclusive else fcntl.LOCK_SH
        try:
            fcntl.flock(descriptor, mode | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return None
        return descriptor
