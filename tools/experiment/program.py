"""Command line of the experiments."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from .comparison import compare, format_differences, format_results
from .losses import find_losses, format_rows, summarize
from .plays import Play, Workers, decode_result
from .variants import UNCHANGED, VARIANTS_FILE, load_variants

# Half of the processors of the smallest machine in use.
DEFAULT_JOB_COUNT = 3

app = typer.Typer(no_args_is_help=True, add_completion=False)


@app.command()
def run(
    bench: Annotated[Path, typer.Argument(help='The bench program.')],
    sites: Annotated[list[Path], typer.Argument(help='Site files.')],
    days: Annotated[list[str], typer.Option('--day', help='A day, by name or file.')],
    folder: Annotated[Path, typer.Option(help='Folder of the copies and the results.')],
    names: Annotated[
        list[str] | None, typer.Option('--variant', help='Default: the unchanged code.')
    ] = None,
    seeds: Annotated[
        list[int] | None, typer.Option('--seed', help='Default: the seed of the day.')
    ] = None,
    jobs: Annotated[int, typer.Option(help='Plays at the same time.')] = DEFAULT_JOB_COUNT,
    variants_file: Annotated[Path, typer.Option(help='File of the variants.')] = VARIANTS_FILE,
    why: Annotated[str, typer.Option(help='Reason, for the journal.')] = 'experiment',
) -> None:
    """Play days with variants of the source and compare their worth."""
    variants = load_variants(variants_file)
    names = names or [UNCHANGED]
    unknown = [name for name in names if name not in variants]
    if unknown:
        raise typer.BadParameter(f'unknown variants: {", ".join(unknown)}')
    plays = [
        Play(variants[name], site.resolve(), day, seed)
        for site in sites
        for day in days
        for seed in seeds or [None]
        for name in names
    ]
    folder.mkdir(parents=True, exist_ok=True)
    workers = Workers(bench.resolve(), Path.cwd(), folder.resolve(), jobs)
    results = workers.play_all(plays, folder / 'results.jsonl', why)
    typer.echo(format_results(results))
    typer.echo('')
    typer.echo(format_differences(compare(results)))


@app.command()
def table(
    results_files: Annotated[list[Path], typer.Argument(help='Files of results.')],
) -> None:
    """Print the tables of results that were stored before."""
    lines = [line for path in results_files for line in path.read_text().splitlines()]
    results = [decode_result(line) for line in lines]
    typer.echo(format_results(results))
    typer.echo('')
    typer.echo(format_differences(compare(results)))


@app.command()
def losses(
    log_file: Annotated[Path, typer.Argument(help='What the bench printed with --log all.')],
    shards: Annotated[
        list[str] | None, typer.Option(help='ROUTE=COUNT for each route that queries shards.')
    ] = None,
) -> None:
    """Print what callers lost in each window, by cause."""
    shard_counts: dict[str, int] = {}
    for text in shards or []:
        route, _, count = text.rpartition('=')
        shard_counts[route] = int(count)
    with log_file.open() as lines:
        rows = summarize(find_losses(lines, shard_counts))
    typer.echo(format_rows(rows))


if __name__ == '__main__':
    app()
