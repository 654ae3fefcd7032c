"""The proxy on sockets while its tables change: do its choices still match, and what does it cost?

    python -m benchmarks.proxy_churn [--requests 100000] [--rate 10] [--slices 500] [--table FILE]

A real proxy of 500 slices; a scripted assigner orders all tables anew ten times a second, one message each, between
two sets of weights, (1, 2, 3, 4) and (4, 3, 2, 1), while 64 requests are under way all the time. Each order is
answered by the proxy when it is in force (a mark), so that the share of time under each set is known, and with it
what each server should get. The same requests without changes in the same run.
"""

from __future__ import annotations

import configparser
import contextlib
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

import click

from benchmarks.load_generator import WINDOW
from benchmarks.proxy_processes import WEIGHTS, attempt_counts, run_client, start_line_servers, start_process
from puffintide.protocol import messages as m
from puffintide.protocol.codec import decode, encode
from puffintide.scenarios.place import Ports


class Steering:
    """A store and an assigner for one proxy, on plain sockets."""

    def __init__(self, servers: list[int], slices: int, store: int, order: int) -> None:
        self.servers, self.slices = servers, slices
        self.out: socket.socket | None = None
        self.lock = threading.Lock()
        self.applied: list[tuple[float, int]] = []  # when, mark
        for port, serve in ((store, self._store), (order, self._order)):
            listener = socket.create_server(("127.0.0.1", port))
            threading.Thread(target=self._accept, args=(listener, serve), daemon=True).start()

    def _accept(self, listener: socket.socket, serve: Any) -> None:
        with contextlib.suppress(OSError):
            while True:
                threading.Thread(target=serve, args=(listener.accept()[0],), daemon=True).start()

    def _say(self, sock: socket.socket, message: m.Message) -> None:
        with self.lock:
            sock.sendall(encode(message) + b"\n")

    def _store(self, sock: socket.socket) -> None:
        held = [
            m.TableEntry(s, w, f"127.0.0.1:{p}")
            for s, (w, p) in enumerate(zip(WEIGHTS, self.servers, strict=True))
        ]
        with contextlib.suppress(OSError):
            for line in sock.makefile("rb"):
                match decode(line.rstrip(b"\n")):
                    case m.Hello():
                        self._say(sock, m.Welcome(m.PROTOCOL_VERSION, "store", 0))
                    case m.ReadRequest():
                        self._say(
                            sock,
                            m.SliceOwnerships(
                                [m.SliceOwnership(n, 1, 0, held, 0, 1) for n in range(self.slices)]
                            ),
                        )
                        self._say(sock, m.ReadComplete(self.slices, 1, "x"))
                    case m.Ping():
                        self._say(sock, m.Pong())

    def _order(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            for line in sock.makefile("rb"):
                match decode(line.rstrip(b"\n")):
                    case m.Hello():
                        self._say(sock, m.Welcome(m.PROTOCOL_VERSION, "assigner", 0))
                        self.out = sock
                    case m.CheckpointReply(mark):
                        self.applied.append((time.monotonic(), mark))
                    case m.Ping():
                        self._say(sock, m.Pong())

    def order(self, batch: int) -> None:
        weights = WEIGHTS if batch % 2 else WEIGHTS[::-1]
        lines = [m.WeightEntry(n, s, w, 1) for n in range(self.slices) for s, w in enumerate(weights)]
        assert self.out is not None
        self._say(self.out, m.ProxyUpdate(batch, 0.0, len(lines), lines, checkpoint_id=batch % 65536))


def shares(applied: list[tuple[float, int]], began: float, ended: float) -> list[float]:
    """What each server should have had, by the time under each set of weights."""
    times = [began, *(at for at, _ in applied if began < at < ended), ended]
    marks = [next((k for at, k in reversed(applied) if at <= t), 1) for t in times[:-1]]
    total = [0.0] * len(WEIGHTS)
    for start, end, mark in zip(times, times[1:], marks, strict=False):
        for s, w in enumerate(WEIGHTS if mark % 2 else WEIGHTS[::-1]):
            total[s] += (end - start) * w
    return [t / sum(total) for t in total]


@click.command()
@click.option("--requests", default=100_000)
@click.option("--rate", default=10.0, help="Orders a second.")
@click.option("--slices", default=500)
@click.option("--table", default="")
def main(requests: int, rate: float, slices: int, table: str) -> None:
    ports = Ports(os.getpid() * 23)
    servers = [ports.take() for _ in WEIGHTS]
    front, store, order = ports.take(), ports.take(), ports.take()
    steering = Steering(servers, slices, store, order)
    rows = [
        "| orders of all tables a second | requests | a second | p99 ms | most off what was published |",
        "| --- | --- | --- | --- | --- |",
    ]
    with tempfile.TemporaryDirectory() as made:
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_dict(
            {
                "deployment": {"name": "churn", "proxies": "1", "slices": str(slices)},
                "class read": {"aim_s": "1", "deadline_s": "10"},
                "proxy": {
                    "id": "0",
                    "listen": f"127.0.0.1:{front}",
                    "assigners": f"127.0.0.1:{order}",
                    "store": f"127.0.0.1:{store}",
                },
            }
        )
        path = Path(made) / "proxy.ini"
        with path.open("w") as file:
            parser.write(file)
        started: list[subprocess.Popen[str]] = []
        try:
            started.append(start_line_servers(servers))
            started.append(start_process("puffintide", "proxy", "--config", str(path)))
            while steering.out is None:
                time.sleep(0.05)
            time.sleep(0.5)
            batch = 1
            for orders in (0.0, rate):
                steering.applied = [(time.monotonic(), 1)]
                steering.order(batch + batch % 2 + 1)
                batch += batch % 2 + 1
                time.sleep(0.5)
                stop = threading.Event()

                def churn(stop: threading.Event) -> None:
                    nonlocal batch
                    while not stop.wait(1 / rate):
                        batch += 1
                        steering.order(batch)

                worker = threading.Thread(target=churn, args=(stop,))
                before = attempt_counts(servers)
                began = time.monotonic()
                if orders:
                    worker.start()
                run = run_client(front, "proxy", requests, 0, WINDOW)
                ended = time.monotonic()
                stop.set()
                if orders:
                    worker.join()
                got = [b - a for a, b in zip(before, attempt_counts(servers), strict=True)]
                assert sum(got) == requests, f"{sum(got)} of {requests} came"
                wanted = shares(steering.applied, began, ended)
                off = max(abs(g / (requests * w) - 1) for g, w in zip(got, wanted, strict=True))
                rows.append(
                    f"| {orders:g} | {requests} | {run['rate']:.0f} | {run['p99'] / 1000:.2f} | {off:.2%} |"
                )
        finally:
            for process in started:
                process.kill()
                process.wait()
    text = "\n".join(rows)
    click.echo(text)
    if table:
        Path(table).write_text(text + "\n", encoding="utf-8")


if __name__ == "__main__":
    sys.exit(main())
