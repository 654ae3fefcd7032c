"""Histories of the real store service under kills, pauses and slow or full disks, over many seeds, each checked for
linearizability.

    python -m benchmarks.store_histories [--seeds 0..3000] [--jobs 4] [--table FILE]

Exit 1 if one is not; its seed plays the same again.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from tests.store_histories import failing_seeds


@click.command()
@click.option("--seeds", default="0..3000")
@click.option("--jobs", default=4)
@click.option("--table", default="")
def main(seeds: str, jobs: int, table: str) -> None:
    first, last = map(int, seeds.split(".."))
    parts = [(k, min(k + 50, last)) for k in range(first, last, 50)]
    with ProcessPoolExecutor(jobs) as pool:
        found = list(pool.map(failing_seeds, [a for a, _ in parts], [b for _, b in parts]))
    bad = [seed for seeds, _ in found for seed in seeds]
    count = sum(n for _, n in found)
    text = f"{last - first} seeds, {count} operations, not linearizable: {bad or 'none'}."
    click.echo(text)
    if table:
        Path(table).write_text(text + "\n", encoding="utf-8")
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
