"""Measures how long simultaneous readers of the store take, as after a restart of the store.

    python -m benchmarks.store_readers [--readers 1,200,2000] [--table FILE]

The store runs as a process with its file. The readers connect over loopback from one other process. First,
all readers request the whole state at once. Then 1% of the slices are written, and all readers reconnect and
request the changes since the revision they have.
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
    port: int, proxy_id: int, since_revision: int, store_id: str, started_at_s: float
) -> tuple[float, int, m.ReadComplete]:
    """Read from the store as one proxy.

    Returns:
        The seconds until the response was complete, its size in bytes, and its last message.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=MAX_LINE_BYTES + 1)
    writer.write(encode(m.Hello(m.PROTOCOL_VERSION, "proxy", proxy_id % 60000, 0, "readers")) + b"\n")
    writer.write(encode(m.ReadRequest(since_revision, store_id)) + b"\n")
    size = 0
    while True:
        line = await reader.readline()
        assert line, f"read from port {port}: the store closed the connection after {size} bytes"
        size += len(line)
        if line.startswith(b'{"t":"ping"'):
            writer.write(encode(m.Pong()) + b"\n")
        if line.startswith(b'{"t":"read_end"'):
            read_complete = decode(line.rstrip(b"\n"))
            assert isinstance(read_complete, m.ReadComplete)
            writer.close()
            return time.monotonic() - started_at_s, size, read_complete


async def read_at_once(
    port: int, reader_count: int, since_revision: int, store_id: str
) -> tuple[list[float], int, m.ReadComplete]:
    """Read from the store as several proxies at once.

    Returns:
        The sorted seconds of all readers, and the size in bytes and the last message of one response.
    """
    started_at_s = time.monotonic()
    results = await asyncio.gather(
        *(read_once(port, k, since_revision, store_id, started_at_s) for k in range(reader_count))
    )
    _, size, read_complete = results[0]
    return sorted(duration_s for duration_s, _, _ in results), size, read_complete


def measure_size(slices: int, servers: int, reader_counts: list[int]) -> list[str]:
    """Return the table rows of one store size for each number of readers."""
    table_lines = []
    rng = random.Random(4)
    with tempfile.TemporaryDirectory() as path:
        folder = Path(path)
        engine = SqliteEngine(str(folder / "kept.db"))
        engine.commit(Commit(1, 1, tuple(random_slice(n, servers, 1, rng) for n in range(slices))))
        engine.close()
        port = Ports(os.getpid() * 29).take()
        common_sections = {
            "deployment": {"name": "readers", "proxies": "1", "slices": str(slices), "assigners": "3"},
            "class read": {"aim_s": "1", "deadline_s": "4"},
        }
        for count in reader_counts:
            for written in (0, slices // 100):
                if written:
                    engine = SqliteEngine(str(folder / "kept.db"))
                    snapshot = engine.load()
                    written_slices = tuple(
                        random_slice(n, servers, snapshot.revision + 1, rng) for n in range(written)
                    )
                    engine.commit(Commit(snapshot.revision + 1, snapshot.highest_token, written_slices))
                    engine.close()
                    since_revision, store_id = snapshot.revision, snapshot.store_id
                else:
                    since_revision, store_id = -1, ""
                section = {"listen": f"127.0.0.1:{port}", "file": str(folder / "kept.db")}
                store_process = start_process(folder, "store", common_sections | {"store": section})
                try:
                    read_times_s, size, read_complete = asyncio.run(
                        read_at_once(port, count, since_revision, store_id)
                    )
                    memory_kb = int(Path(f"/proc/{store_process.pid}/statm").read_text().split()[1]) * 4
                finally:
                    store_process.terminate()
                    store_process.wait()
                response_kind = f"what changed ({read_complete.slice_count})" if written else "all"
                time_cells = f"{statistics.median(read_times_s):.3f} | {read_times_s[-1]:.3f}"
                table_lines.append(
                    f"| {slices} | {count} | {response_kind} | {time_cells} "
                    f"| {size / 1e3:.0f} | {memory_kb / 1024:.0f} |"
                )
    return table_lines


@click.command()
@click.option("--readers", default="1,200,2000")
@click.option("--table", default="")
def main(readers: str, table: str) -> None:
    """Measure stores of two sizes with each number of readers."""
    reader_counts = [int(k) for k in readers.split(",")]
    table_lines = [
        "| slices | readers at once | reading | median s | last s | KB each | the store's memory, MiB |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for slices, servers in ((500, 77), (10_000, 300)):
        table_lines += measure_size(slices, servers, reader_counts)
    text = "\n".join(table_lines)
    click.echo(text)
    if table:
        Path(table).write_text(text + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
