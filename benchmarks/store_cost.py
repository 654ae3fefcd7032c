"""What keeping tables costs: commits, sizes on disk, recovery, backups, readers; the engines beside bare syncs.

    python -m benchmarks.store_cost [--commits 300] [--table FILE] [--plot FILE] [--folder DIR]

All on one disk in one run, so read the ratios. Engines: SQLite through apsw as the store uses it, LMDB with its own
sync, and bare fdatasync of as many bytes. Sizes: 500 slices of 77 servers, 10,000 of 300, 100,000 of 1,000, two
lines each. Group commit: 64 writers whose changes come at once, kept together or one by one.
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
from puffintide.protocol.codec import encode
from puffintide.store.engine import Commit, StoredSlice
from puffintide.store.sqlite import SqliteEngine

SIZES = ((500, 77), (10_000, 300), (100_000, 1000))


def state(number: int, servers: int, token: int, rng: random.Random) -> StoredSlice:
    held = [
        m.TableEntry(rng.randrange(servers), w, f"127.0.0.1:{20000 + rng.randrange(servers)}", 0)
        for w in (1.0, 0.004)
    ]
    return StoredSlice(number, number % 3, token, token, held, -1, token, 1)


def timed(call: Callable[[int], None], count: int) -> list[float]:
    """Milliseconds, sorted."""
    found = []
    for k in range(count):
        began = time.perf_counter()
        call(k)
        found.append((time.perf_counter() - began) * 1000)
    return sorted(found)


def shown(times: list[float]) -> str:
    return f"{times[len(times) // 2]:.2f} | {times[min(len(times) - 1, int(len(times) * 0.99))]:.2f}"


def engines(folder: Path, commits: int, rows: int) -> list[str]:
    """One size of commit in each engine; 10,000 slices kept."""
    rng = random.Random(1)
    states = [state(n, 300, 1, rng) for n in range(10_000)]
    bodies = [msgspec.json.encode(s) for s in states]
    lines = []

    sqlite = SqliteEngine(str(folder / f"engine-{rows}.db"))
    sqlite.commit(Commit(1, 1, tuple(states)))

    def by_sqlite(k: int) -> None:
        sqlite.commit(Commit(k + 2, k, tuple(state(rng.randrange(10_000), 300, k, rng) for _ in range(rows))))

    lines.append(f"| SQLite as used | {rows} | {shown(timed(by_sqlite, commits))} |")
    sqlite.close()

    env = lmdb.open(str(folder / f"lmdb-{rows}"), map_size=1 << 30)
    with env.begin(write=True) as work:
        for n, body in enumerate(bodies):
            work.put(b"%08d" % n, body)

    def by_lmdb(k: int) -> None:
        with env.begin(write=True) as work:
            for _ in range(rows):
                made = state(rng.randrange(10_000), 300, k, rng)
                work.put(b"%08d" % made.slice_id, msgspec.json.encode(made))

    lines.append(f"| LMDB | {rows} | {shown(timed(by_lmdb, commits))} |")
    env.close()

    handle = os.open(folder / f"bare-{rows}", os.O_CREAT | os.O_RDWR)

    def bare(k: int) -> None:
        data = b"".join(msgspec.json.encode(state(rng.randrange(10_000), 300, k, rng)) for _ in range(rows))
        os.write(handle, data)
        os.fdatasync(handle)

    lines.append(f"| bare fdatasync | {rows} | {shown(timed(bare, commits))} |")
    os.close(handle)
    return lines


def group(folder: Path, rounds: int) -> str:
    """64 changes that come at once: one commit, or one each."""
    rng = random.Random(2)
    engine = SqliteEngine(str(folder / "group.db"))
    engine.commit(Commit(1, 1, tuple(state(n, 300, 1, rng) for n in range(10_000))))
    revision = 1
    times = {"together": 0.0, "one by one": 0.0}
    for _ in range(rounds):
        rows = [state(n, 300, revision, rng) for n in rng.sample(range(10_000), 64)]
        began = time.perf_counter()
        revision += 1
        engine.commit(Commit(revision, revision, tuple(rows)))
        times["together"] += time.perf_counter() - began
        began = time.perf_counter()
        for row in rows:
            revision += 1
            engine.commit(Commit(revision, revision, (row,)))
        times["one by one"] += time.perf_counter() - began
    engine.close()
    together, alone = times["together"] / rounds * 1000, times["one by one"] / rounds * 1000
    times_as_long = f"{alone / together:.1f} times as long"
    return f"64 changes kept together: {together:.2f} ms; one by one: {alone:.2f} ms, {times_as_long}."


def size(folder: Path, slices: int, servers: int, commits: int) -> tuple[str, list[float]]:
    rng = random.Random(3)
    path = folder / f"size-{slices}.db"
    engine = SqliteEngine(str(path))
    engine.commit(Commit(1, 1, tuple(state(n, servers, 1, rng) for n in range(slices))))

    def write(k: int) -> None:
        rows = {n: state(n, servers, k, rng) for n in (rng.randrange(slices) for _ in range(20))}
        engine.commit(Commit(k + 2, k, tuple(rows.values())))

    times = timed(write, commits)
    grown = sum(p.stat().st_size for p in folder.glob(f"size-{slices}.db*"))
    began = time.perf_counter()
    engine.backup(str(folder / f"size-{slices}.copy"))
    backup = time.perf_counter() - began
    engine.close()
    began = time.perf_counter()
    again = SqliteEngine(str(path))
    image = again.load()
    recover = time.perf_counter() - began
    again.close()
    began = time.perf_counter()
    rows = [
        m.SliceOwnership(s.slice_id, s.fencing_token, s.owner_id, s.entries, s.batch, s.tenure_token)
        for s in image.slices.values()
    ]
    out = [encode(m.SliceOwnerships(rows[k : k + 1000])) for k in range(0, len(rows), 1000)]
    reading = time.perf_counter() - began
    text = (
        f"| {slices} | {servers} | {shown(times)} | {grown / 1e6:.1f} | {recover * 1000:.0f} | {backup * 1000:.0f} "
        f"| {reading * 1000:.0f} | {sum(map(len, out)) / 1e6:.2f} |"
    )
    return text, times


@click.command()
@click.option("--commits", default=300)
@click.option("--folder", default=".", help="Where the disk to be measured is.")
@click.option("--table", default="")
@click.option("--plot", default="")
def main(commits: int, folder: str, table: str, plot: str) -> None:
    where = Path(tempfile.mkdtemp(dir=folder, prefix="store-cost-"))
    try:
        lines = ["| engine | slices in a commit | p50 ms | p99 ms |", "| --- | --- | --- | --- |"]
        for rows in (1, 20, 500):
            lines += engines(where, commits, rows)
        lines += ["", group(where, max(5, commits // 20)), ""]
        lines += [
            "| slices | servers | commit of 20: p50 ms | p99 ms | MB on disk | to recover ms | to back up ms "
            "| a full reading ms | MB |",
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
        ]
        series = []
        for slices, servers in SIZES:
            text, times = size(where, slices, servers, commits)
            lines.append(text)
            series.append((slices, times))
    finally:
        shutil.rmtree(where)
    made = "\n".join(lines)
    click.echo(made)
    if table:
        Path(table).write_text(made + "\n", encoding="utf-8")
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
