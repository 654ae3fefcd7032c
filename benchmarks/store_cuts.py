"""Simulates a power cut at every write and sync of a run of commits, and checks the disks that may result.

    python -m benchmarks.store_cuts [--commits 80] [--ways 5] [--table FILE]

The disk is the simulated one of tests/disk.py: after a cut, data that was not synced is present, absent or
partial, in any order. For each cut several such disks are drawn. The store is opened on each of them, checked
and written to. The exit status is 1 if acknowledged data is missing or a commit is incomplete.
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
    """Simulate a power cut at each operation and check several possible disks for each."""
    uncut_disk, _, _ = run_until_cut(0, commits)
    operation_count = uncut_disk.operations
    checked_count = failed_count = 0
    for cut_operation in range(1, operation_count + 1):
        disk, acknowledged, attempted = run_until_cut(cut_operation, commits)
        for seed in range(ways):
            try:
                check_after_cut(disk, acknowledged, attempted, seed)
            except AssertionError as error:
                failed_count += 1
                click.echo(f"cut at {cut_operation}, way {seed}: {error}")
            checked_count += 1
    text = (
        f"{operation_count} writes and syncs of {commits} commits, the power cut at each, "
        f"found in {ways} ways: {checked_count} disks, {failed_count} with something lost or half there."
    )
    click.echo(text)
    if table:
        Path(table).write_text(text + "\n", encoding="utf-8")
    sys.exit(1 if failed_count else 0)


if __name__ == "__main__":
    main()
