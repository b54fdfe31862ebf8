"""Attribute what callers lost on a day to causes, from the logs of the entry instances."""

from __future__ import annotations

import re
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

WINDOW_S = 2
# Such requests are not owed an answer.
REJECTED_CODES = frozenset(('unknown_path', 'malformed'))
# The time of the bench, the instance, and the text of a line about a request.
LINE = re.compile(
    r'^\s*(?P<at_s>[\d.]+) (?P<instance>\S+) .*\[routing\] '
    r'request (?P<event>placed|answered|refused): request=(?P<request>\S*) (?P<fields>.*)$'
)
FIELD = re.compile(r'(\w+)=("[^"]*"|\S*)')
# Names of at most this many shards are in a line; further ones are counted as "N more".
MORE_SHARDS = re.compile(r'(\d+) more$')
STATUS_OK = '200'
# A due answer is written a few milliseconds after its timer.
LATE_TOLERANCE_MS = 8.0

# Causes, in the order in which a request is attributed to the first that applies.
REFUSED = 'refused'
FAILED = 'failed'
LATE = 'late'
PARTIAL = 'shards missing'


@dataclass(frozen=True, slots=True)
class Loss:
    """Hold one request that earned less than its full benefit."""

    at_s: float
    instance: str
    request: str
    route: str
    cause: str
    # The result code of a refusal or failure, or which shards were missing.
    detail: str
    # The part of the benefit that was lost, from 0 to 1.
    lost: float


@dataclass(frozen=True, slots=True)
class Row:
    """Hold the losses of one cause in one window."""

    window_s: int
    cause: str
    detail: str
    request_count: int
    lost: float


def find_losses(lines: Iterable[str], shard_counts: dict[str, int]) -> list[Loss]:
    """Return the losses in the log of a day; routes without a count of shards are not queries."""
    due_ms: dict[str, float] = {}
    route_by_request: dict[str, str] = {}
    losses: list[Loss] = []
    for line in lines:
        match = LINE.match(line)
        if match is None:
            continue
        fields = {name: value.strip('"') for name, value in FIELD.findall(match['fields'])}
        request = match['request']
        if match['event'] == 'placed':
            due_ms[request] = float(fields['due_ms'])
            route_by_request[request] = fields['route']
            continue
        route = fields.get('route', route_by_request.get(request, ''))
        cause, detail, lost = _attribute(match['event'], fields, due_ms.get(request), shard_counts)
        if lost > 0.0:
            losses.append(
                Loss(float(match['at_s']), match['instance'], request, route, cause, detail, lost)
            )
    return losses


def summarize(losses: Iterable[Loss]) -> list[Row]:
    """Return the losses by window and cause, the largest of each window first."""
    counts: Counter[tuple[int, str, str]] = Counter()
    lost: Counter[tuple[int, str, str]] = Counter()
    for loss in losses:
        key = (int(loss.at_s) // WINDOW_S * WINDOW_S, loss.cause, loss.detail)
        counts[key] += 1
        lost[key] += loss.lost  # type: ignore[assignment]
    rows = [Row(*key, counts[key], float(lost[key])) for key in counts]
    return sorted(rows, key=lambda row: (row.window_s, -row.lost))


def format_rows(rows: Iterable[Row]) -> str:
    """Return a table with one row for each window and cause."""
    table = [
        '| from second | cause | detail | requests | benefit lost |',
        '| --- | --- | --- | --- | --- |',
    ]
    table += [
        f'| {row.window_s} | {row.cause} | {row.detail} | {row.request_count} | {row.lost:.1f} |'
        for row in rows
    ]
    return '\n'.join(table)


def _attribute(
    event: str, fields: dict[str, str], due_ms: float | None, shard_counts: dict[str, int]
) -> tuple[str, str, float]:
    code = fields.get('code', '')
    if code in REJECTED_CODES:
        return '', '', 0.0
    if event == 'refused' or (fields.get('status') == '503'):
        return REFUSED, code, 1.0
    if fields.get('status') != STATUS_OK:
        return FAILED, code, 1.0
    if due_ms is not None and float(fields['ms']) > due_ms + LATE_TOLERANCE_MS:
        return LATE, '', 1.0
    missing_count = _missing_count(fields.get('missing', 'none'))
    shard_count = shard_counts.get(fields.get('route', ''), 0)
    if not missing_count or not shard_count:
        return '', '', 0.0
    coverage = 1.0 - missing_count / shard_count
    return PARTIAL, f'{missing_count} of {shard_count}', 1.0 - coverage**2


def _missing_count(text: str) -> int:
    if text == 'none':
        return 0
    more = MORE_SHARDS.search(text)
    names = [name for name in text.split(',') if '(' in name]
    return len(names) + (int(more[1]) if more else 0)
