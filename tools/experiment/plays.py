"""Play days of the bench on copies of the repository."""

from __future__ import annotations

import json
import queue
import shutil
import subprocess
import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from .variants import apply_variant

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from .variants import Variant

REPORT_NAME = 'experiment-report.json'
# The parts of the repository that the bench builds.
BUILT_FOLDERS = ('packages', 'deploy')
DAY_TIMEOUT_S = 1_800.0


@dataclass(frozen=True, slots=True)
class Play:
    """Describe one play of a day; `seed` is None for the day's own."""

    variant: Variant
    site: Path
    day: str
    seed: int | None


@dataclass(frozen=True, slots=True)
class KindFigures:
    """Hold the figures of one kind of request; `worth` is its share of the benefit."""

    asked_count: int
    in_time_count: int
    refused_count: int
    failed_count: int
    worth: float


@dataclass(frozen=True, slots=True)
class Result:
    """Hold the figures of one play; `worth` is net of the prices."""

    variant: str
    site: str
    day: str
    seed: int | None
    worth: float
    benefit: float
    broken_rules: tuple[str, ...]
    kinds: dict[str, KindFigures]
    prices: dict[str, float]


class Workers:
    """Hold one copy of the repository for each play at the same time."""

    def __init__(self, bench: Path, repository: Path, folder: Path, job_count: int) -> None:
        self.bench = bench
        self.repository = repository
        # Plays use the sources as they are now, also if the repository changes meanwhile.
        self.source = folder / 'source'
        self.job_count = job_count
        self.idle: queue.Queue[Path] = queue.Queue()
        self.results_lock = threading.Lock()
        for name in BUILT_FOLDERS:
            _replace_folder(repository / name, self.source / name)
        for number in range(job_count):
            copy = folder / f'worker-{number}'
            if not copy.exists():
                ignored = shutil.ignore_patterns('.venv', 'target', 'journal')
                shutil.copytree(repository, copy, ignore=ignored)
            self.idle.put(copy)

    def play_all(self, plays: Iterable[Play], results_file: Path, why: str) -> list[Result]:
        """Play days, append each result to a file as a line of JSON, and return them."""

        def play(item: Play) -> Result:
            result = self._play(item, why)
            with self.results_lock, results_file.open('a') as file:
                file.write(json.dumps(encode_result(result)) + '\n')
            return result

        with ThreadPoolExecutor(self.job_count) as executor:
            return list(executor.map(play, plays))

    def _play(self, play: Play, why: str) -> Result:
        copy = self.idle.get()
        try:
            self._prepare(copy, play.variant)
            report = copy / REPORT_NAME
            report.unlink(missing_ok=True)
            command = [str(self.bench), 'run', str(play.site), play.day]
            command += ['--report', str(report), '--why', f'{why}: variant {play.variant.name}']
            command += [] if play.seed is None else ['--seed', str(play.seed)]
            subprocess.run(
                command, cwd=copy, check=True, stdout=subprocess.DEVNULL, timeout=DAY_TIMEOUT_S
            )
            self._collect_journal(copy)
            return decode_report(play, json.loads(report.read_text()))
        finally:
            self.idle.put(copy)

    def _prepare(self, copy: Path, variant: Variant) -> None:
        for name in BUILT_FOLDERS:
            _replace_folder(self.source / name, copy / name)
        apply_variant(variant, copy)

    def _collect_journal(self, copy: Path) -> None:
        for entry in (copy / 'journal').rglob('*'):
            target = self.repository / 'journal' / entry.relative_to(copy / 'journal')
            if entry.is_file() and not target.exists():
                target.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy2(entry, target)


def _replace_folder(source: Path, target: Path) -> None:
    shutil.rmtree(target, ignore_errors=True)
    shutil.copytree(source, target, ignore=shutil.ignore_patterns('__pycache__'))


def decode_report(play: Play, report: dict[str, Any]) -> Result:
    """Decode the bench's report of a day."""
    kinds = {
        row['name']: KindFigures(
            row['n'], row['in_aim'], row['refused'], row['failed'], row['worth']
        )
        for row in report['classes']
    }
    prices = {name: price for name, _, price in report['prices'] if price > 0.0}
    return Result(
        play.variant.name,
        play.site.stem,
        play.day,
        play.seed,
        report['G'],
        report['served'],
        tuple(sorted(report['breaks'])),
        kinds,
        prices,
    )


def encode_result(result: Result) -> dict[str, Any]:
    """Encode a result for a file."""
    return {
        'variant': result.variant,
        'site': result.site,
        'day': result.day,
        'seed': result.seed,
        'worth': result.worth,
        'benefit': result.benefit,
        'broken_rules': list(result.broken_rules),
        'kinds': {
            name: [
                kind.asked_count,
                kind.in_time_count,
                kind.refused_count,
                kind.failed_count,
                kind.worth,
            ]
            for name, kind in result.kinds.items()
        },
        'prices': result.prices,
    }


def decode_result(line: str) -> Result:
    """Decode a line of a results file."""
    document = json.loads(line)
    return Result(
        document['variant'],
        document['site'],
        document['day'],
        document['seed'],
        document['worth'],
        document['benefit'],
        tuple(document['broken_rules']),
        {name: KindFigures(*values) for name, values in document['kinds'].items()},
        document['prices'],
    )
