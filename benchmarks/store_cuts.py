"""Power cuts at every write and sync of a run of commits, each found again in several ways.

    python -m benchmarks.store_cuts [--commits 80] [--ways 5] [--table FILE]

The disk is the one of tests/disk.py: what was not synced is there, or not, or in part, in any order. After each cut
the store is opened, checked and gone on with. Exit 1 if anything acknowledged is missing or a commit is half there.
"""

from __future__ import annotations

import sys
from pathlib import Path

import click

from tests.test_sqlite import check_after_cut, run_until_cut


@click.command()
@click.option("--commits", default=80)
@click.option("--ways", default=5)
@click.option("--table", default="")
def main(commits: int, ways: int, table: str) -> None:
    whole, _, _ = run_until_cut(0, commits)
    points = whole.operations
    found = failed = 0
    for cut_at in range(1, points + 1):
        disk, acknowledged, tried = run_until_cut(cut_at, commits)
        for seed in range(ways):
            try:
                check_after_cut(disk, acknowledged, tried, seed)
            except AssertionError as error:
                failed += 1
                click.echo(f"cut at {cut_at}, way {seed}: {error}")
            found += 1
    text = f"{points} writes and syncs of {commits} commits, the power cut at each, found in {ways} ways: "
    text += f"{found} disks"
    text += f", {failed} with something lost or half there."
    click.echo(text)
    if table:
        Path(table).write_text(text + "\n", encoding="utf-8")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
