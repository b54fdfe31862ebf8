"""Derive deployments with other numbers from a site file of the bench."""

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


# Each variant moves several numbers at once, away from both sites that the bench comes with.
VARIANTS: dict[str, tuple[Change, ...]] = {
    # Two control instances in two of the failure domains, of which two may be lost.
    'five-voters': (
        Change(r'(class = "core", zone = "(?:bne|tsv)-a", count = )1', r'\g<1>2'),
        Change(r'(\[tolerate\]\nmachines = )1', r'\g<1>2'),
        Change(r'beat_ms = \d+', 'beat_ms = 500'),
        Change(r'conn_cap = 26', 'conn_cap = 16'),
        Change(r'link_mbps = 1000\.0, zone', 'link_mbps = 60.0, zone'),
    ),
    # Rare announcements, long ways between failure domains, little memory.
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
    """Return the site file of a variant; a pattern that is not there is an error."""
    for change in VARIANTS[name]:
        text, count = re.subn(change.pattern, change.replacement, text)
        if not count:
            raise ValueError(f'variant {name}: nothing matches {change.pattern}')
    return re.sub(r'^name = ".*"', f'name = "{name}"', text, count=1, flags=re.MULTILINE)


def main() -> None:
    """Write the variants that fit a site, beside the files that its name refers to."""
    if len(sys.argv) != 3:
        raise SystemExit(USAGE)
    site, folder = Path(sys.argv[1]), Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    for other in site.parent.iterdir():
        if other.suffix != '.toml' and other.is_file():
            shutil.copy(other, folder)
    text = site.read_text(encoding='utf-8')
    for name in VARIANTS:
        try:
            derived = derive(text, name)
        except ValueError as error:
            print(f'left out: {error}')
            continue
        (folder / f'{name}.toml').write_text(derived, encoding='utf-8')
        print(f'written: {folder / name}.toml')


if __name__ == '__main__':
    main()
