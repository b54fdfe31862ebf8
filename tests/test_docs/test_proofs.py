"""Guard against a page of proofs that names a test or a file that does not exist."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]


def test_every_named_test_and_file_exists() -> None:
    """Guard against a proof whose test was renamed or removed."""
    page = (ROOT / 'docs/proofs.md').read_text()
    code = ''.join(path.read_text() for path in (ROOT / 'tests').rglob('*.py'))
    names = set(re.findall(r'`(test_[a-z0-9_]+)`', page))
    paths = set(re.findall(r'`(tests/[A-Za-z0-9_./]+)`', page))
    assert names
    assert paths
    assert [name for name in sorted(names) if f'def {name}(' not in code] == []
    assert [path for path in sorted(paths) if not (ROOT / path).exists()] == []
