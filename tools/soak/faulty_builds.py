"""Run the soak on faulty builds: `python -m tools.soak.faulty_builds [SEED [NAME...]]`."""

from __future__ import annotations

import asyncio
import shutil
import sys
import tempfile
from pathlib import Path

from ..experiment.variants import UNCHANGED, Variant, apply_variant, load_variants
from ..fleet.processes import REPOSITORY, SOURCES
from .faults import (
    FAULTS,
    change_routes,
    disturb_searcher,
    evacuate,
    pause,
    restart_entry,
    state_something,
)
from .run import soak

BUILDS_FILE = Path(__file__).parent / 'faulty_builds.toml'
SEED_COUNT = 8
# Faults that a build must meet to show what it lacks; the others meet all.
FAULTS_BY_BUILD = {
    'read-not-confirmed': (pause, change_routes),
    'rest-ignored': (state_something,),
    'leaving-ignored': (state_something,),
    'stop-at-once': (restart_entry,),
    'evacuation-ignored': (evacuate,),
    'unassigned-status-used': (disturb_searcher,),
}


def build(variant: Variant, folder: Path) -> tuple[Path, ...]:
    """Copy the packages, change them and return the paths that Python imports them from."""
    for source in SOURCES:
        if source != REPOSITORY:
            shutil.copytree(source, folder / source.relative_to(REPOSITORY))
    apply_variant(variant, folder)
    return tuple(
        source if source == REPOSITORY else folder / source.relative_to(REPOSITORY)
        for source in SOURCES
    )


def detect(variant: Variant, first_seed: int) -> str:
    """Run seeds until one detects the fault, and describe that; return '' if none does."""
    folder = Path(tempfile.mkdtemp(prefix=f'faulty-{variant.name}-'))
    sources = build(variant, folder / 'sources')
    for seed in range(first_seed, first_seed + SEED_COUNT):
        try:
            faults = FAULTS_BY_BUILD.get(variant.name, FAULTS)
            report = asyncio.run(soak(folder / str(seed), seed, sources=sources, faults=faults))
            violations = report.violations
        except AssertionError as error:
            violations = (f'the site does not recover: {error}',)
        if violations:
            return f'seed {seed}, {len(violations)} violations: {violations[0]}'
    return ''


def main() -> None:
    """Run the builds one after the other; exit with 1 if one remains undetected."""
    first_seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    variants = load_variants(BUILDS_FILE)
    names = sys.argv[2:] or [name for name in variants if name != UNCHANGED]
    undetected_count = 0
    for name in names:
        detected = detect(variants[name], first_seed)
        undetected_count += not detected
        print(f'{name}: {detected or "not detected"}', flush=True)
    raise SystemExit(1 if undetected_count else 0)


if __name__ == '__main__':
    main()
