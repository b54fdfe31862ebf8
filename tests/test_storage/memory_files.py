"""In-memory disk that loses what was not synced and fails at a chosen step."""

from __future__ import annotations

import errno
import os
import random

from pistachioloft_daemon.storage import FileOperations


class CrashError(BaseException):
    """End the simulated process; not an Exception, so that no handler of the product runs on."""


class Node:
    """Hold one file: what processes see, what the disk holds and what a sync has yet to write."""

    def __init__(self) -> None:
        self.seen = self.disk = self.pending = b''


class MemoryFiles(FileOperations):
    """Keep the files of one folder as the page cache shows them and as the disk holds them."""

    def __init__(self, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.names: dict[str, Node] = {}
        self.disk_names: dict[str, Node] = {}
        self.name_changes: list[tuple[str, Node | None]] = []
        self.open_nodes: dict[int, Node] = {}
        self.locks: dict[int, str] = {}
        self.next_descriptor = 3
        self.crash_at = self.error_at = -1
        self.step = 0

    def _fail_if_due(self) -> None:
        self.step += 1
        if self.step == self.crash_at:
            raise CrashError
        if self.step == self.error_at:
            raise OSError(errno.ENOSPC, 'no space left on device')

    def _change(self, path: str, node: Node | None) -> None:
        self.name_changes.append((path, node))
        self._apply(self.names, path, node)

    def _apply(self, names: dict[str, Node], path: str, node: Node | None) -> None:
        names.pop(path, None)
        if node is not None:
            names[path] = node

    def list_names(self, folder):
        return sorted(os.path.basename(path) for path in self.names)

    def make_folder(self, folder):
        pass

    def read(self, path):
        if path not in self.names:
            raise FileNotFoundError(path)
        return self.names[path].seen

    def create(self, path):
        self._fail_if_due()
        self._change(path, Node())
        self.next_descriptor += 1
        self.open_nodes[self.next_descriptor] = self.names[path]
        return self.next_descriptor

    def write(self, descriptor, data):
        node = self.open_nodes[descriptor]
        # A write that is interrupted can leave any part of its data.
        length = self.random.randint(0, len(data))
        for number, part in enumerate((data[:length], data[length:])):
            if number == 1:
                self._fail_if_due()
            node.seen += part
            node.pending += part

    def sync(self, descriptor):
        node = self.open_nodes[descriptor]
        try:
            self._fail_if_due()
        except OSError:
            # The page cache counts the bytes as clean: no later sync writes them.
            node.disk += b'\0' * len(node.pending)
            node.pending = b''
            raise
        node.disk += node.pending
        node.pending = b''

    def close(self, descriptor):
        self.open_nodes.pop(descriptor, None)
        self.locks.pop(descriptor, None)

    def rename(self, source, target):
        self._fail_if_due()
        self._change(target, self.names[source])
        self._change(source, None)

    def remove(self, path):
        self._fail_if_due()
        self._change(path, None)

    def sync_folder(self, folder):
        self._fail_if_due()
        self._sync_names(len(self.name_changes))

    def _sync_names(self, count: int) -> None:
        for path, node in self.name_changes[:count]:
            self._apply(self.disk_names, path, node)
        self.name_changes.clear()

    def lock(self, path, exclusive):
        if path in self.locks.values():
            return None
        self._change(path, self.names.get(path, Node()))
        self.next_descriptor += 1
        self.locks[self.next_descriptor] = path
        return self.next_descriptor

    def end_process(self) -> None:
        """Close all descriptors, as the end of a process does; the page cache stays."""
        self.open_nodes.clear()
        self.locks.clear()
        self.crash_at = self.error_at = -1

    def lose_power(self) -> None:
        """Keep what is durable and any prefix of what is not."""
        self.end_process()
        self._sync_names(self.random.randint(0, len(self.name_changes)))
        for node in self.disk_names.values():
            kept = self.random.randint(0, len(node.pending))
            lost = b'\0' * self.random.choice([0, len(node.pending) - kept])
            node.disk += node.pending[:kept] + lost
            node.pending = b''
            node.seen = node.disk
        self.names = dict(self.disk_names)
