"""Start one instance of pistachioloft on the users' platform."""

from __future__ import annotations

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
for package in ('core', 'daemon'):
    sys.path.insert(0, str(ROOT / 'packages' / package / 'src'))

from pistachioloft_daemon.platform.program import main  # noqa: E402

if __name__ == '__main__':
    main()
