"""Start one instance of pistachioloft on the users' platform."""

from __future__ import annotations

import gc
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
BUILT = ROOT / 'target' / 'app'
SOURCES = [ROOT / 'packages' / package / 'src' for package in ('core', 'daemon')]


def main() -> None:
    """Run the built packages, or the sources where nothing was built."""
    # What imports make lives as long as the process; collections meanwhile are a tenth of a start.
    gc.disable()
    sys.path[:0] = [str(BUILT)] if BUILT.is_dir() else [str(each) for each in SOURCES]
    from pistachioloft_daemon.platform.program import main as run

    run()


if __name__ == '__main__':
    main()
