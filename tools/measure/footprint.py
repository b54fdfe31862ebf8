"""Measure the resident memory that each library adds to a daemon before it does any work."""

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
    """Print the table."""
    process = psutil.Process(os.getpid())
    known_mb = process.memory_info().rss / 2**20
    rows = [('Python with psutil', known_mb, known_mb)]
    for name in MODULES:
        importlib.import_module(name)
        now_mb = process.memory_info().rss / 2**20
        rows.append((name, now_mb - known_mb, now_mb))
        known_mb = now_mb
    print_table('Resident memory after each import', ('import', 'MB more', 'MB'), rows)
    return 0


if __name__ == '__main__':
    sys.exit(main())
