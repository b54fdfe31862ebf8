"""Derive deployments with different numbers from a site file of the bench."""

from __future__ import annotations

import re
import shutil
import sys
from dataclasses import dataclass
from pathlib import Path

USAGE = 'usage: python -m tools.variants SITE.toml FOLDER'


@dataclass(frozen=True, slots=True)
class Change:
    """Replace every match of a pattern in a site file."""

    pattern: str
    replacement: str


# Each variant changes several numbers at once, so that it differs from both sites of the bench.
VARIANTS: dict[str, tuple[Change, ...]] = {
    # Two control instances in each of two failure domains; the loss of two machines is tolerated.
    'five-voters': (
        Change(r'(class = "core", zone = "(?:bne|tsv)-a", count = )1', r'\g<1>2'),
        Change(r'(\[tolerate\]\nmachines = )1', r'\g<1>2'),
        Change(r'beat_ms = \d+', 'beat_ms = 500'),
        Change(r'conn_cap = 26', 'conn_cap = 16'),
        Change(r'link_mbps = 1000\.0, zone', 'link_mbps = 60.0, zone'),
    ),
    # Infrequent announcements, high latency between failure domains, little memory.
    'slow-beats': (
        Change(r'beat_ms = \d+', 'beat_ms = 2500'),
        Change(r'cross_zone_ms = [\d.]+', 'cross_zone_ms = 4.0'),
        Change(r'conn_cap = 2[56]', 'conn_cap = 60'),
        Change(r'memory_mb = 300', 'memory_mb = 120'),
    ),
    # One entry instance in each failure domain, with few file descriptors.
    'few-entries': (
        Change(r'(class = "front",.*count = )[23]', r'\g<1>1'),
        Change(r'slots = 2', 'slots = 3'),
        Change(r'fds = 4100', 'fds = 600'),
    ),
}


def derive(text: str, name: str) -> str:
    """Return the site file of a variant; raise ValueError if a pattern has no match."""
    for change in VARIANTS[name]:
        text, count = re.subn(change.pattern, change.replacement, text)
        if not count:
            raise ValueError(f'variant {name}: nothing matches {change.pattern}')
    return re.sub(r'^name = ".*"', f'name = "{name}"', text, count=1, flags=re.MULTILINE)


def main() -> None:
    """Write the variants that match a site, with copies of the files beside the site file."""
    if len(sys.argv) != 3:
        raise SystemExit(USAGE)
    site, folder = Path(sys.argv[1]), Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    for referenced_file in site.parent.iterdir():
        if referenced_file.suffix != '.toml' and referenced_file.is_file():
            shutil.copy(referenced_file, folder)
    text = site.read_text(encoding='utf-8')
    for name in VARIANTS:
        try:
            derived = derive(text, name)
        except ValueError as error:
            print(f'skipped: {error}')
            continue
        (folder / f'{name}.toml').write_text(derived, encoding='utf-8')
        print(f'written: {folder / name}.toml')


if __name__ == '__main__':
    main()
