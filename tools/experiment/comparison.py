"""Compare the results of variants, paired by day and seed."""

from __future__ import annotations

import statistics
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .variants import UNCHANGED

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .plays import Result

Key = tuple[str, str, int | None]


@dataclass(frozen=True, slots=True)
class Difference:
    """Hold the difference in worth between a variant and the unchanged code on one day."""

    variant: str
    site: str
    day: str
    pair_count: int
    mean: float
    # Standard deviation of the differences, 0 for a single pair.
    deviation: float
    broken_rules: tuple[str, ...]


def compare(results: Iterable[Result]) -> list[Difference]:
    """Return the mean difference of each variant on each day."""
    results = list(results)
    unchanged: dict[Key, float] = {
        _key(result): result.worth for result in results if result.variant == UNCHANGED
    }
    pairs: defaultdict[tuple[str, str, str], list[float]] = defaultdict(list)
    broken: defaultdict[tuple[str, str, str], set[str]] = defaultdict(set)
    for result in results:
        if result.variant == UNCHANGED or _key(result) not in unchanged:
            continue
        place = (result.variant, result.site, result.day)
        pairs[place].append(result.worth - unchanged[_key(result)])
        broken[place].update(result.broken_rules)
    return [
        Difference(
            *place,
            len(values),
            statistics.fmean(values),
            statistics.stdev(values) if len(values) > 1 else 0.0,
            tuple(sorted(broken[place])),
        )
        for place, values in sorted(pairs.items())
    ]


def format_results(results: Iterable[Result]) -> str:
    """Return a table with one row for each play."""
    rows = [
        '| variant | site | day | seed | worth | in time, refused, failed by kind | broken rules |',
        '| --- | --- | --- | --- | --- | --- | --- |',
    ]
    for result in sorted(results, key=lambda item: (item.site, item.day, item.variant)):
        kinds = '; '.join(
            f'{name} {kind.in_time_count}, {kind.refused_count}, {kind.failed_count}'
            f' of {kind.asked_count}'
            for name, kind in sorted(result.kinds.items())
        )
        seed = '' if result.seed is None else str(result.seed)
        rules = ', '.join(result.broken_rules) or 'none'
        rows.append(
            f'| {result.variant} | {result.site} | {result.day} | {seed}'
            f' | {result.worth:.3f} | {kinds} | {rules} |'
        )
    return '\n'.join(rows)


def format_differences(differences: Iterable[Difference]) -> str:
    """Return a table with one row for each variant and day."""
    rows = [
        '| variant | site | day | pairs | difference in worth | deviation | broken rules |',
        '| --- | --- | --- | --- | --- | --- | --- |',
    ]
    for item in differences:
        rules = ', '.join(item.broken_rules) or 'none'
        rows.append(
            f'| {item.variant} | {item.site} | {item.day} | {item.pair_count}'
            f' | {item.mean:+.3f} | {item.deviation:.3f} | {rules} |'
        )
    return '\n'.join(rows)


def _key(result: Result) -> Key:
    return result.site, result.day, result.seed
