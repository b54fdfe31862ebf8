"""Durable storage under one data folder."""

from __future__ import annotations

from .check import CheckReport, Problem, check_folder
from .errors import (
    AlreadyInitializedError,
    DamagedError,
    FolderInUseError,
    NotInitializedError,
    StorageError,
    StorageFailedError,
)
from .files import FileOperations
from .storage import OpenedStorage, Storage, StoredState, initialize, open_storage

__all__ = [
    'AlreadyInitializedError',
    'CheckReport',
    'DamagedError',
    'FileOperations',
    'FolderInUseError',
    'NotInitializedError',
    'OpenedStorage',
    'Problem',
    'Storage',
    'StorageError',
    'StorageFailedError',
    'StoredState',
    'check_folder',
    'initialize',
    'open_storage',
]
