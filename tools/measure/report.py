"""Time functions and print tables in Markdown."""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence


def processor_time_us(function: Callable[[], Any], min_total_s: float = 0.2) -> float:
    """Return the mean processor time of a call in µs, over at least `min_total_s` of calls."""
    function()
    count, batch = 0, 1
    started_at_s = time.process_time()
    while True:
        for _ in range(batch):
            function()
        count += batch
        spent_s = time.process_time() - started_at_s
        if spent_s >= min_total_s:
            return spent_s / count * 1e6
        batch *= 2


def single_call_time_us(function: Callable[[], Any]) -> float:
    """Return the processor time of a single call in µs."""
    gc.collect()
    started_at_s = time.process_time()
    function()
    return (time.process_time() - started_at_s) * 1e6


def allocated_bytes(build: Callable[[], Any]) -> tuple[Any, int]:
    """Return the object that a function built and how many bytes it keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        built = build()
        gc.collect()
        return built, tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


def slope(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Return the slope of the least-squares line through the points."""
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    covariance_sum = sum(
        (x - mean_size) * (y - mean_value) for x, y in zip(sizes, values, strict=True)
    )
    return covariance_sum / sum((x - mean_size) ** 2 for x in sizes)


def percentile(values: Sequence[float], share: float) -> float:
    """Return a percentile by the nearest rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def print_table(title: str, columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print one table in Markdown."""
    print(f'\n{title}\n')
    print('| ' + ' | '.join(columns) + ' |')
    print('| ' + ' | '.join('---' for _ in columns) + ' |')
    for row in rows:
        print('| ' + ' | '.join(_cell(value) for value in row) + ' |', flush=True)


def _cell(value: Any) -> str:
    if isinstance(value, float):
        return f'{value:.0f}' if abs(value) >= 1000 else f'{value:.3g}'
    return str(value)
