"""Checks histories of the store service under kills, pauses and slow or full disks for linearizability, by seed.

    python -m benchmarks.store_histories [--seeds 0..3000] [--jobs 4] [--table FILE]

Exit 1 if one is not linearizable; its seed plays the same again.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from tests.store_histories import failing_seeds

SEEDS_PER_TASK = 50


@click.command()
@click.option("--seeds", default="0..3000")
@click.option("--jobs", default=4)
@click.option("--table", default="")
def main(seeds: str, jobs: int, table: str) -> None:
    """Plays the seeds from the first up to the second, in several processes."""
    first, end = map(int, seeds.split(".."))
    starts = list(range(first, end, SEEDS_PER_TASK))
    ends = [min(start + SEEDS_PER_TASK, end) for start in starts]
    with ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(failing_seeds, starts, ends))
    failing = [seed for task_failing, _ in results for seed in task_failing]
    operation_count = sum(count for _, count in results)
    text = f"{end - first} seeds, {operation_count} operations, not linearizable: {failing or 'none'}."
    click.echo(text)
    if table:
        Path(table).write_text(text + "\n", encoding="utf-8")
    sys.exit(1 if failing else 0)


if __name__ == "__main__":
    main()
