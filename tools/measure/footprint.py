"""Measure the resident memory that the import of each library adds to an idle process."""

from __future__ import annotations

import importlib
import os
import sys

import psutil

from .report import print_table

MODULES = (
    'asyncio',
    'msgspec',
    'pistachioloft_core.codec',
    'pynng',
    'aiohttp',
    'aioprometheus',
    'cherrypy',
    'pistachioloft_daemon.program',
)


def main() -> int:
    """Print the resident memory after each import."""
    process = psutil.Process(os.getpid())
    previous_mb = process.memory_info().rss / 2**20
    rows = [('Python with psutil', previous_mb, previous_mb)]
    for name in MODULES:
        importlib.import_module(name)
        current_mb = process.memory_info().rss / 2**20
        rows.append((name, current_mb - previous_mb, current_mb))
        previous_mb = current_mb
    print_table('Resident memory after each import', ('import', 'MB more', 'MB'), rows)
    return 0


if __name__ == '__main__':
    sys.exit(main())
