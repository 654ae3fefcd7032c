"""Readers that all come at once, as after a store's restart: how long until each has read.

    python -m benchmarks.store_readers [--readers 1,200,2000] [--table FILE]

A real store with its file; readers over loopback from one other process. First each reads all, then all are cut and
come again with the revision they have, after 1% of the slices has been written.
"""

from __future__ import annotations

import asyncio
import os
import random
import statistics
import tempfile
import time
from pathlib import Path

import click

from benchmarks.store_cost import random_slice
from benchmarks.takeover import start_process
from puffintide.protocol import messages as m
from puffintide.protocol.codec import MAX_LINE_BYTES, decode, encode
from puffintide.scenarios.place import Ports
from puffintide.store.engine import Commit
from puffintide.store.sqlite import SqliteEngine


async def read_once(
    port: int, proxy_id: int, since_revision: int, store_id: str, started_s: float
) -> tuple[float, int, m.ReadComplete]:
    """Reads as one proxy; returns the seconds until all was read, the bytes, and the end of the response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=MAX_LINE_BYTES + 1)
    writer.write(encode(m.Hello(m.PROTOCOL_VERSION, "proxy", proxy_id % 60000, 0, "readers")) + b"\n")
    writer.write(encode(m.ReadRequest(since_revision, store_id)) + b"\n")
    size = 0
    while True:
        line = await reader.readline()
        assert line, "the store closed"
        size += len(line)
        if line.startswith(b'{"t":"ping"'):
            writer.write(encode(m.Pong()) + b"\n")
        if line.startswith(b'{"t":"read_end"'):
            end = decode(line.rstrip(b"\n"))
            assert isinstance(end, m.ReadComplete)
            writer.close()
            return time.monotonic() - started_s, size, end


async def read_at_once(
    port: int, reader_count: int, since_revision: int, store_id: str
) -> tuple[list[float], int, m.ReadComplete]:
    """Reads as many proxies at once; returns their sorted seconds, and the bytes and the end of one response."""
    started_s = time.monotonic()
    results = await asyncio.gather(
        *(read_once(port, k, since_revision, store_id, started_s) for k in range(reader_count))
    )
    _, size, end = results[0]
    return sorted(seconds for seconds, _, _ in results), size, end


def measure_size(slices: int, servers: int, counts: list[int]) -> list[str]:
    """Rows of the table for a store of one size, for each number of readers."""
    lines = []
    rng = random.Random(4)
    with tempfile.TemporaryDirectory() as path:
        folder = Path(path)
        engine = SqliteEngine(str(folder / "kept.db"))
        engine.commit(Commit(1, 1, tuple(random_slice(n, servers, 1, rng) for n in range(slices))))
        engine.close()
        port = Ports(os.getpid() * 29).take()
        common = {
            "deployment": {"name": "readers", "proxies": "1", "slices": str(slices), "assigners": "3"},
            "class read": {"aim_s": "1", "deadline_s": "4"},
        }
        for count in counts:
            for written in (0, slices // 100):
                if written:
                    engine = SqliteEngine(str(folder / "kept.db"))
                    snapshot = engine.load()
                    rows = tuple(random_slice(n, servers, snapshot.revision + 1, rng) for n in range(written))
                    engine.commit(Commit(snapshot.revision + 1, snapshot.highest_token, rows))
                    engine.close()
                    since_revision, store_id = snapshot.revision, snapshot.store_id
                else:
                    since_revision, store_id = -1, ""
                section = {"listen": f"127.0.0.1:{port}", "file": str(folder / "kept.db")}
                running = start_process(folder, "store", common | {"store": section})
                try:
                    times, size, end = asyncio.run(read_at_once(port, count, since_revision, store_id))
                    memory = int(Path(f"/proc/{running.pid}/statm").read_text().split()[1]) * 4
                finally:
                    running.terminate()
                    running.wait()
                what = f"what changed ({end.slice_count})" if written else "all"
                seconds = f"{statistics.median(times):.3f} | {times[-1]:.3f}"
                lines.append(
                    f"| {slices} | {count} | {what} | {seconds} | {size / 1e3:.0f} | {memory / 1024:.0f} |"
                )
    return lines


@click.command()
@click.option("--readers", default="1,200,2000")
@click.option("--table", default="")
def main(readers: str, table: str) -> None:
    """Measures stores of two sizes under each number of readers."""
    counts = [int(k) for k in readers.split(",")]
    lines = [
        "| slices | readers at once | reading | median s | last s | KB each | the store's memory, MiB |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for slices, servers in ((500, 77), (10_000, 300)):
        lines += measure_size(slices, servers, counts)
    text = "\n".join(lines)
    click.echo(text)
    if table:
        Path(table).write_text(text + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
