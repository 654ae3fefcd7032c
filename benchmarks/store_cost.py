"""Measures the cost of storing tables: commits, sizes on disk, recovery, backups and reads.

    python -m benchmarks.store_cost [--commits 300] [--table FILE] [--plot FILE] [--folder DIR]

All measurements of one run use the same disk, and only their ratios are comparable. The engines are SQLite
through apsw as the store uses it, LMDB with its own sync, and a bare fdatasync of the same number of bytes.
The sizes are 500 slices with 77 servers, 10,000 with 300 and 100,000 with 1,000, each slice with two entries.
For group commit, the changes of 64 concurrent writers are committed together or one by one.
"""

from __future__ import annotations

import os
import random
import shutil
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import click
import lmdb
import msgspec

from puffintide.protocol import messages as m
from puffintide.store.durable_state import ownership_message
from puffintide.store.engine import Commit, StoredSlice
from puffintide.store.reads import encode_ownerships
from puffintide.store.sqlite import SqliteEngine

# Numbers of slices and of servers.
STORE_SIZES = ((500, 77), (10_000, 300), (100_000, 1000))


def random_slice(slice_id: int, servers: int, token: int, rng: random.Random) -> StoredSlice:
    """Return a stored slice whose table has two entries of random servers."""
    entries = [
        m.TableEntry(rng.randrange(servers), weight, f"127.0.0.1:{20000 + rng.randrange(servers)}", 0)
        for weight in (1.0, 0.004)
    ]
    return StoredSlice(slice_id, slice_id % 3, token, token, entries, -1, token, 1)


def measure_calls_ms(operation: Callable[[int], None], count: int) -> list[float]:
    """Call an operation with each index below a count, and return the sorted durations in milliseconds."""
    times_ms = []
    for index in range(count):
        started_at_s = time.perf_counter()
        operation(index)
        times_ms.append((time.perf_counter() - started_at_s) * 1000)
    return sorted(times_ms)


def format_percentiles(times_ms: list[float]) -> str:
    """Return the 50th and the 99th percentile as two table cells."""
    return (
        f"{times_ms[len(times_ms) // 2]:.2f} | "
        f"{times_ms[min(len(times_ms) - 1, int(len(times_ms) * 0.99))]:.2f}"
    )


def measure_engines(folder: Path, commits: int, row_count: int) -> list[str]:
    """Return the table rows of each engine for one commit size; each engine stores 10,000 slices."""
    rng = random.Random(1)
    stored_slices = [random_slice(slice_id, 300, 1, rng) for slice_id in range(10_000)]
    bodies = [msgspec.json.encode(stored) for stored in stored_slices]
    lines = []

    sqlite = SqliteEngine(str(folder / f"engine-{row_count}.db"))
    sqlite.commit(Commit(1, 1, tuple(stored_slices)))

    def commit_to_sqlite(index: int) -> None:
        sqlite.commit(
            Commit(
                index + 2,
                index,
                tuple(random_slice(rng.randrange(10_000), 300, index, rng) for _ in range(row_count)),
            )
        )

    lines.append(
        f"| SQLite as used | {row_count} "
        f"| {format_percentiles(measure_calls_ms(commit_to_sqlite, commits))} |"
    )
    sqlite.close()

    environment = lmdb.open(str(folder / f"lmdb-{row_count}"), map_size=1 << 30)
    with environment.begin(write=True) as transaction:
        for slice_id, body in enumerate(bodies):
            transaction.put(b"%08d" % slice_id, body)

    def commit_to_lmdb(index: int) -> None:
        with environment.begin(write=True) as transaction:
            for _ in range(row_count):
                stored = random_slice(rng.randrange(10_000), 300, index, rng)
                transaction.put(b"%08d" % stored.slice_id, msgspec.json.encode(stored))

    lines.append(f"| LMDB | {row_count} | {format_percentiles(measure_calls_ms(commit_to_lmdb, commits))} |")
    environment.close()

    descriptor = os.open(folder / f"bare-{row_count}", os.O_CREAT | os.O_RDWR)

    def write_and_sync(index: int) -> None:
        data = b"".join(
            msgspec.json.encode(random_slice(rng.randrange(10_000), 300, index, rng))
            for _ in range(row_count)
        )
        os.write(descriptor, data)
        os.fdatasync(descriptor)

    lines.append(
        f"| bare fdatasync | {row_count} | {format_percentiles(measure_calls_ms(write_and_sync, commits))} |"
    )
    os.close(descriptor)
    return lines


def measure_group_commit(folder: Path, rounds: int) -> str:
    """Return a sentence that compares 64 simultaneous changes in one commit with one commit each."""
    rng = random.Random(2)
    engine = SqliteEngine(str(folder / "group.db"))
    engine.commit(Commit(1, 1, tuple(random_slice(slice_id, 300, 1, rng) for slice_id in range(10_000))))
    revision = 1
    total_s = {"together": 0.0, "one by one": 0.0}
    for _ in range(rounds):
        changed_slices = [
            random_slice(slice_id, 300, revision, rng) for slice_id in rng.sample(range(10_000), 64)
        ]
        started_at_s = time.perf_counter()
        revision += 1
        engine.commit(Commit(revision, revision, tuple(changed_slices)))
        total_s["together"] += time.perf_counter() - started_at_s
        started_at_s = time.perf_counter()
        for changed_slice in changed_slices:
            revision += 1
            engine.commit(Commit(revision, revision, (changed_slice,)))
        total_s["one by one"] += time.perf_counter() - started_at_s
    engine.close()
    grouped_ms = total_s["together"] / rounds * 1000
    single_ms = total_s["one by one"] / rounds * 1000
    ratio_text = f"{single_ms / grouped_ms:.1f} times as long"
    return f"64 changes kept together: {grouped_ms:.2f} ms; one by one: {single_ms:.2f} ms, {ratio_text}."


def measure_size(folder: Path, slices: int, servers: int, commits: int) -> tuple[str, list[float]]:
    """Return the table row of one store size and its sorted commit times in milliseconds."""
    rng = random.Random(3)
    path = folder / f"size-{slices}.db"
    engine = SqliteEngine(str(path))
    engine.commit(Commit(1, 1, tuple(random_slice(slice_id, servers, 1, rng) for slice_id in range(slices))))

    def commit_slices(index: int) -> None:
        changed_slices = {
            slice_id: random_slice(slice_id, servers, index, rng)
            for slice_id in (rng.randrange(slices) for _ in range(20))
        }
        engine.commit(Commit(index + 2, index, tuple(changed_slices.values())))

    commit_times_ms = measure_calls_ms(commit_slices, commits)
    disk_bytes = sum(p.stat().st_size for p in folder.glob(f"size-{slices}.db*"))
    started_at_s = time.perf_counter()
    engine.backup(str(folder / f"size-{slices}.copy"))
    backup_s = time.perf_counter() - started_at_s
    engine.close()
    started_at_s = time.perf_counter()
    engine = SqliteEngine(str(path))
    snapshot = engine.load()
    recovery_s = time.perf_counter() - started_at_s
    engine.close()
    started_at_s = time.perf_counter()
    lines = encode_ownerships([ownership_message(stored) for stored in snapshot.slices.values()])
    encoding_s = time.perf_counter() - started_at_s
    cells = [
        str(slices),
        str(servers),
        format_percentiles(commit_times_ms),
        f"{disk_bytes / 1e6:.1f}",
        f"{recovery_s * 1000:.0f}",
        f"{backup_s * 1000:.0f}",
        f"{encoding_s * 1000:.0f}",
        f"{sum(map(len, lines)) / 1e6:.2f}",
    ]
    row_text = f"| {' | '.join(cells)} |"
    return row_text, commit_times_ms


@click.command()
@click.option("--commits", default=300)
@click.option("--folder", default=".", help="Where the disk to be measured is.")
@click.option("--table", default="")
@click.option("--plot", default="")
def main(commits: int, folder: str, table: str, plot: str) -> None:
    """Measure in a new folder, which is removed afterwards."""
    work_folder = Path(tempfile.mkdtemp(dir=folder, prefix="store-cost-"))
    try:
        lines = ["| engine | slices in a commit | p50 ms | p99 ms |", "| --- | --- | --- | --- |"]
        for row_count in (1, 20, 500):
            lines += measure_engines(work_folder, commits, row_count)
        lines += ["", measure_group_commit(work_folder, max(5, commits // 20)), ""]
        lines += [
            "| slices | servers | commit of 20: p50 ms | p99 ms | MB on disk | to recover ms | to back up ms "
            "| a full reading ms | MB |",
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
        ]
        series = []
        for slices, servers in STORE_SIZES:
            text, times_ms = measure_size(work_folder, slices, servers, commits)
            lines.append(text)
            series.append((slices, times_ms))
    finally:
        shutil.rmtree(work_folder)
    text = "\n".join(lines)
    click.echo(text)
    if table:
        Path(table).write_text(text + "\n", encoding="utf-8")
    if plot:
        _plot(series, plot)


def _plot(series: list[tuple[int, list[float]]], path: str) -> None:
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 3.5))
    for slices, times_ms in series:
        axes.plot(
            times_ms, [index / len(times_ms) for index in range(len(times_ms))], label=f"{slices} slices"
        )
    axes.set_xscale("log")
    axes.set_xlabel("ms for a commit of 20 slices")
    axes.set_ylabel("share of commits")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


if __name__ == "__main__":
    main()
