"""Power cuts at every write and sync of a run of commits; of each cut several disks that may be found after it.

    python -m benchmarks.store_cuts [--commits 80] [--ways 5] [--table FILE]

The disk is the one of tests/disk.py: what was not synced is there, or not, or in part, in any order. After each cut
the store is opened, checked and written to. Exit 1 if anything acknowledged is missing or a commit is incomplete.
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
    """Cuts the power at each operation and checks so many disks of each cut."""
    uncut_disk, _, _ = run_until_cut(0, commits)
    operations = uncut_disk.operations
    checked = failed = 0
    for cut_at_operation in range(1, operations + 1):
        disk, acknowledged, attempted = run_until_cut(cut_at_operation, commits)
        for seed in range(ways):
            try:
                check_after_cut(disk, acknowledged, attempted, seed)
            except AssertionError as error:
                failed += 1
                click.echo(f"cut at {cut_at_operation}, way {seed}: {error}")
            checked += 1
    text = (
        f"{operations} writes and syncs of {commits} commits, the power cut at each, found in {ways} ways: "
        f"{checked} disks, {failed} with something lost or half there."
    )
    click.echo(text)
    if table:
        Path(table).write_text(text + "\n", encoding="utf-8")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
