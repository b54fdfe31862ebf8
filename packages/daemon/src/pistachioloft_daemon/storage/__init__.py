"""Durable storage under one data folder."""

from __future__ import annotations

from .check import CheckReport, Problem, check_folder
from .errors import (
    AlreadyInitialisedError,
    DamagedError,
    FolderInUseError,
    NotInitialisedError,
    StorageError,
    StorageFailedError,
)
from .files import FileOperations
from .storage import OpenedStorage, Storage, StoredState, initialise, open_storage

__all__ = [
    'AlreadyInitialisedError',
    'CheckReport',
    'DamagedError',
    'FileOperations',
    'FolderInUseError',
    'NotInitialisedError',
    'OpenedStorage',
    'Problem',
    'Storage',
    'StorageError',
    'StorageFailedError',
    'StoredState',
    'check_folder',
    'initialise',
    'open_storage',
]
