"""Checks histories of the store service for linearizability under kills, pauses and slow or full disks.

    python -m benchmarks.store_histories [--seeds 0..3000] [--jobs 4] [--table FILE]

The exit status is 1 if a history is not linearizable. Its seed reproduces it.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from tests.store_histories import failing_seeds

SEEDS_PER_TASK = 50  # Number of seeds that a worker process takes at a time.


@click.command()
@click.option("--seeds", default="0..3000")
@click.option("--jobs", default=4)
@click.option("--table", default="")
def main(seeds: str, jobs: int, table: str) -> None:
    """Check the seeds of a range, whose end is excluded, in several processes."""
    first, end = map(int, seeds.split(".."))
    range_starts = list(range(first, end, SEEDS_PER_TASK))
    range_ends = [min(start + SEEDS_PER_TASK, end) for start in range_starts]
    with ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(failing_seeds, range_starts, range_ends))
    all_failing_seeds = [seed for task_failures, _ in results for seed in task_failures]
    operation_count = sum(count for _, count in results)
    summary = (
        f"{end - first} seeds, {operation_count} operations, not linearizable: {all_failing_seeds or 'none'}."
    )
    click.echo(summary)
    if table:
        Path(table).write_text(summary + "\n", encoding="utf-8")
    sys.exit(1 if all_failing_seeds else 0)


if __name__ == "__main__":
    main()
