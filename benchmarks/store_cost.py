"""Cost of storing tables: commits, sizes on disk, recovery, backups, reads; the engines beside bare syncs.

    python -m benchmarks.store_cost [--commits 300] [--table FILE] [--plot FILE] [--folder DIR]

All on one disk in one run, so read the ratios. Engines: SQLite through apsw as the store uses it, LMDB with its own
sync, and bare fdatasync of as many bytes. Sizes: 500 slices of 77 servers, 10,000 of 300, 100,000 of 1,000, two
entries each. Group commit: 64 writers whose changes come at once, committed together or one by one.
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

SIZES = ((500, 77), (10_000, 300), (100_000, 1000))


def random_slice(slice_id: int, servers: int, token: int, rng: random.Random) -> StoredSlice:
    """A slice with two entries of random servers."""
    entries = [
        m.TableEntry(rng.randrange(servers), weight, f"127.0.0.1:{20000 + rng.randrange(servers)}", 0)
        for weight in (1.0, 0.004)
    ]
    return StoredSlice(slice_id, slice_id % 3, token, token, entries, -1, token, 1)


def timed(call: Callable[[int], None], count: int) -> list[float]:
    """Milliseconds of each of so many calls, sorted."""
    times_ms = []
    for k in range(count):
        started_s = time.perf_counter()
        call(k)
        times_ms.append((time.perf_counter() - started_s) * 1000)
    return sorted(times_ms)


def format_percentiles(times: list[float]) -> str:
    """The 50th and 99th percentile as two cells of a table."""
    return f"{times[len(times) // 2]:.2f} | {times[min(len(times) - 1, int(len(times) * 0.99))]:.2f}"


def measure_engines(folder: Path, commits: int, rows: int) -> list[str]:
    """Rows of the table for one size of commit in each engine, which store 10,000 slices."""
    rng = random.Random(1)
    states = [random_slice(n, 300, 1, rng) for n in range(10_000)]
    bodies = [msgspec.json.encode(s) for s in states]
    lines = []

    sqlite = SqliteEngine(str(folder / f"engine-{rows}.db"))
    sqlite.commit(Commit(1, 1, tuple(states)))

    def commit_to_sqlite(k: int) -> None:
        sqlite.commit(
            Commit(k + 2, k, tuple(random_slice(rng.randrange(10_000), 300, k, rng) for _ in range(rows)))
        )

    lines.append(f"| SQLite as used | {rows} | {format_percentiles(timed(commit_to_sqlite, commits))} |")
    sqlite.close()

    env = lmdb.open(str(folder / f"lmdb-{rows}"), map_size=1 << 30)
    with env.begin(write=True) as work:
        for n, body in enumerate(bodies):
            work.put(b"%08d" % n, body)

    def commit_to_lmdb(k: int) -> None:
        with env.begin(write=True) as work:
            for _ in range(rows):
                stored = random_slice(rng.randrange(10_000), 300, k, rng)
                work.put(b"%08d" % stored.slice_id, msgspec.json.encode(stored))

    lines.append(f"| LMDB | {rows} | {format_percentiles(timed(commit_to_lmdb, commits))} |")
    env.close()

    handle = os.open(folder / f"bare-{rows}", os.O_CREAT | os.O_RDWR)

    def write_and_sync(k: int) -> None:
        data = b"".join(
            msgspec.json.encode(random_slice(rng.randrange(10_000), 300, k, rng)) for _ in range(rows)
        )
        os.write(handle, data)
        os.fdatasync(handle)

    lines.append(f"| bare fdatasync | {rows} | {format_percentiles(timed(write_and_sync, commits))} |")
    os.close(handle)
    return lines


def measure_group_commit(folder: Path, rounds: int) -> str:
    """A sentence on 64 changes that come at once: one commit, or one each."""
    rng = random.Random(2)
    engine = SqliteEngine(str(folder / "group.db"))
    engine.commit(Commit(1, 1, tuple(random_slice(n, 300, 1, rng) for n in range(10_000))))
    revision = 1
    times = {"together": 0.0, "one by one": 0.0}
    for _ in range(rounds):
        rows = [random_slice(n, 300, revision, rng) for n in rng.sample(range(10_000), 64)]
        started_s = time.perf_counter()
        revision += 1
        engine.commit(Commit(revision, revision, tuple(rows)))
        times["together"] += time.perf_counter() - started_s
        started_s = time.perf_counter()
        for row in rows:
            revision += 1
            engine.commit(Commit(revision, revision, (row,)))
        times["one by one"] += time.perf_counter() - started_s
    engine.close()
    together = times["together"] / rounds * 1000
    alone = times["one by one"] / rounds * 1000
    times_as_long = f"{alone / together:.1f} times as long"
    return f"64 changes kept together: {together:.2f} ms; one by one: {alone:.2f} ms, {times_as_long}."


def measure_size(folder: Path, slices: int, servers: int, commits: int) -> tuple[str, list[float]]:
    """The table's row for a store of one size, and the milliseconds of its commits, sorted."""
    rng = random.Random(3)
    path = folder / f"size-{slices}.db"
    engine = SqliteEngine(str(path))
    engine.commit(Commit(1, 1, tuple(random_slice(n, servers, 1, rng) for n in range(slices))))

    def write(k: int) -> None:
        rows = {n: random_slice(n, servers, k, rng) for n in (rng.randrange(slices) for _ in range(20))}
        engine.commit(Commit(k + 2, k, tuple(rows.values())))

    times = timed(write, commits)
    grown = sum(p.stat().st_size for p in folder.glob(f"size-{slices}.db*"))
    started_s = time.perf_counter()
    engine.backup(str(folder / f"size-{slices}.copy"))
    backup = time.perf_counter() - started_s
    engine.close()
    started_s = time.perf_counter()
    engine = SqliteEngine(str(path))
    snapshot = engine.load()
    recover = time.perf_counter() - started_s
    engine.close()
    started_s = time.perf_counter()
    lines = encode_ownerships([ownership_message(stored) for stored in snapshot.slices.values()])
    reading = time.perf_counter() - started_s
    cells = [
        str(slices),
        str(servers),
        format_percentiles(times),
        f"{grown / 1e6:.1f}",
        f"{recover * 1000:.0f}",
        f"{backup * 1000:.0f}",
        f"{reading * 1000:.0f}",
        f"{sum(map(len, lines)) / 1e6:.2f}",
    ]
    text = f"| {' | '.join(cells)} |"
    return text, times


@click.command()
@click.option("--commits", default=300)
@click.option("--folder", default=".", help="Where the disk to be measured is.")
@click.option("--table", default="")
@click.option("--plot", default="")
def main(commits: int, folder: str, table: str, plot: str) -> None:
    """Measures on a new folder, which is removed afterwards."""
    where = Path(tempfile.mkdtemp(dir=folder, prefix="store-cost-"))
    try:
        lines = ["| engine | slices in a commit | p50 ms | p99 ms |", "| --- | --- | --- | --- |"]
        for rows in (1, 20, 500):
            lines += measure_engines(where, commits, rows)
        lines += ["", measure_group_commit(where, max(5, commits // 20)), ""]
        lines += [
            "| slices | servers | commit of 20: p50 ms | p99 ms | MB on disk | to recover ms | to back up ms "
            "| a full reading ms | MB |",
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
        ]
        series = []
        for slices, servers in SIZES:
            text, times = measure_size(where, slices, servers, commits)
            lines.append(text)
            series.append((slices, times))
    finally:
        shutil.rmtree(where)
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
    for slices, times in series:
        axes.plot(times, [k / len(times) for k in range(len(times))], label=f"{slices} slices")
    axes.set_xscale("log")
    axes.set_xlabel("ms for a commit of 20 slices")
    axes.set_ylabel("share of commits")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


if __name__ == "__main__":
    main()
