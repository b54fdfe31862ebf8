"""Start one instance of pistachioloft on the users' platform."""

from __future__ import annotations

import gc
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
BUILT = ROOT / 'target' / 'app'
SOURCES = [ROOT / 'packages' / package / 'src' for package in ('core', 'daemon')]


def main() -> None:
    """Run the built packages, or the sources if no build exists."""
    # Objects created by imports live as long as the process; collecting garbage meanwhile would
    # take a tenth of the startup time.
    gc.disable()
    sys.path[:0] = [str(BUILT)] if BUILT.is_dir() else [str(folder) for folder in SOURCES]
    from pistachioloft_daemon.platform.program import main as run

    run()


if __name__ == '__main__':
    main()
