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

from benchmarks.store_cost import state
from benchmarks.takeover import start
from puffintide.protocol import messages as m
from puffintide.protocol.codec import MAX_LINE_BYTES, decode, encode
from puffintide.scenarios.place import Ports
from puffintide.store.engine import Commit
from puffintide.store.sqlite import SqliteEngine


async def reader(
    port: int, number: int, since: int, identity: str, began: float
) -> tuple[float, int, m.ReadComplete]:
    """Seconds until all was read, bytes, and the end."""
    stream, out = await asyncio.open_connection("127.0.0.1", port, limit=MAX_LINE_BYTES + 1)
    out.write(encode(m.Hello(m.PROTOCOL_VERSION, "proxy", number % 60000, 0, "readers")) + b"\n")
    out.write(encode(m.ReadRequest(since, identity)) + b"\n")
    size = 0
    while True:
        line = await stream.readline()
        assert line, "the store closed"
        size += len(line)
        if line.startswith(b'{"t":"ping"'):
            out.write(encode(m.Pong()) + b"\n")
        if line.startswith(b'{"t":"read_end"'):
            end = decode(line.rstrip(b"\n"))
            assert isinstance(end, m.ReadComplete)
            out.close()
            return time.monotonic() - began, size, end


async def crowd(port: int, count: int, since: int, identity: str) -> tuple[list[float], int, m.ReadComplete]:
    began = time.monotonic()
    found = await asyncio.gather(*(reader(port, k, since, identity, began) for k in range(count)))
    return sorted(f[0] for f in found), found[0][1], found[0][2]


def one(slices: int, servers: int, counts: list[int]) -> list[str]:
    lines = []
    rng = random.Random(4)
    with tempfile.TemporaryDirectory() as made:
        folder = Path(made)
        engine = SqliteEngine(str(folder / "kept.db"))
        engine.commit(Commit(1, 1, tuple(state(n, servers, 1, rng) for n in range(slices))))
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
                    image = engine.load()
                    rows = tuple(state(n, servers, image.revision + 1, rng) for n in range(written))
                    engine.commit(Commit(image.revision + 1, image.highest_token, rows))
                    engine.close()
                    since, identity = image.revision, image.store_id
                else:
                    since, identity = -1, ""
                section = {"listen": f"127.0.0.1:{port}", "file": str(folder / "kept.db")}
                running = start(folder, "store", common | {"store": section})
                try:
                    times, size, end = asyncio.run(crowd(port, count, since, identity))
                    memory = int(Path(f"/proc/{running.pid}/statm").read_text().split()[1]) * 4
                finally:
                    running.terminate()
                    running.wait()
                what = f"what changed ({end.slice_count})" if written else "all"
                took = f"{statistics.median(times):.3f} | {times[-1]:.3f}"
                lines.append(
                    f"| {slices} | {count} | {what} | {took} | {size / 1e3:.0f} | {memory / 1024:.0f} |"
                )
    return lines


@click.command()
@click.option("--readers", default="1,200,2000")
@click.option("--table", default="")
def main(readers: str, table: str) -> None:
    counts = [int(k) for k in readers.split(",")]
    lines = [
        "| slices | readers at once | reading | median s | last s | KB each | the store's memory, MiB |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for slices, servers in ((500, 77), (10_000, 300)):
        lines += one(slices, servers, counts)
    text = "\n".join(lines)
    click.echo(text)
    if table:
        Path(table).write_text(text + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
