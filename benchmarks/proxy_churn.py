"""Measures whether a proxy follows the weights of changing tables, and what the changes cost.

    python -m benchmarks.proxy_churn [--requests 100000] [--rate 10] [--slices 500] [--table FILE]

Ten times per second, a scripted assigner sends new weights for all 500 slices to a proxy process, in one
message each time. The weights alternate between (1, 2, 3, 4) and (4, 3, 2, 1), and 64 requests are always in
flight. The proxy acknowledges the checkpoint of each update once the update is applied. The time under each
set of weights determines the expected number of requests of each server. For comparison, the same run sends
the same number of requests without changes.
"""

from __future__ import annotations

import contextlib
import itertools
import os
import socket
import subprocess
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

import click

from benchmarks.load_generator import WINDOW
from benchmarks.proxy_processes import (
    WEIGHTS,
    attempt_counts,
    kill_all,
    run_client,
    start_line_servers,
    start_process,
    write_config,
)
from puffintide.protocol import messages as m
from puffintide.protocol.codec import decode, encode
from puffintide.scenarios.place import Ports

MAX_CHECKPOINT_IDS = 65536
FENCING_TOKEN = 1
CONNECT_POLL_INTERVAL_S = 0.05
SETTLE_S = 0.5  # Wait before a measurement, so that earlier changes are applied.
US_PER_MS = 1000


@dataclass(frozen=True, slots=True)
class AppliedUpdate:
    """An update that the proxy has applied, with the time of its acknowledgement."""

    at_s: float
    batch: int


def batch_weights(batch: int) -> tuple[float, ...]:
    """Return the weights of the servers in a batch: reversed in batches with an even number."""
    return WEIGHTS if batch % 2 else WEIGHTS[::-1]


class ControlPlane:
    """A scripted store and assigner for one proxy, on daemon threads.

    Attributes:
        applied: Updates that the proxy has acknowledged, in order.
    """

    def __init__(self, servers: list[int], slice_count: int, store_port: int, assigner_port: int) -> None:
        self.applied: list[AppliedUpdate] = []
        self._servers = servers
        self._slice_count = slice_count
        self._batch = 1
        self._proxy: socket.socket | None = None
        self._lock = threading.Lock()
        self._start_listener(store_port, self._store_message_received)
        self._start_listener(assigner_port, self._assigner_message_received)

    def wait_for_proxy(self) -> None:
        """Wait until the proxy has connected to the assigner."""
        while self._proxy is None:
            time.sleep(CONNECT_POLL_INTERVAL_S)

    def reset(self) -> None:
        """Clear the list of applied updates and publish the first set of weights."""
        self.applied = [AppliedUpdate(time.monotonic(), 1)]
        self._publish(self._batch + self._batch % 2 + 1)

    def publish_next(self) -> None:
        """Publish the other set of weights for all slices."""
        self._publish(self._batch + 1)

    @contextlib.contextmanager
    def publish_periodically(self, rate: float) -> Iterator[None]:
        """Publish updates at a rate per second during the block, or none if the rate is 0."""
        if not rate:
            yield
            return
        stop = threading.Event()

        def publish_until_stopped() -> None:
            while not stop.wait(1 / rate):
                self.publish_next()

        worker = threading.Thread(target=publish_until_stopped)
        worker.start()
        try:
            yield
        finally:
            stop.set()
            worker.join()

    def _publish(self, batch: int) -> None:
        self._batch = batch
        entries = [
            m.WeightEntry(slice_id, server_id, weight, FENCING_TOKEN)
            for slice_id in range(self._slice_count)
            for server_id, weight in enumerate(batch_weights(batch))
        ]
        checkpoint_id = batch % MAX_CHECKPOINT_IDS
        assert self._proxy is not None
        self._send(self._proxy, m.ProxyUpdate(batch, 0.0, len(entries), entries, checkpoint_id=checkpoint_id))

    def _start_listener(
        self, port: int, message_received: Callable[[socket.socket, m.AnyMessage], None]
    ) -> None:
        listener = socket.create_server(("127.0.0.1", port))

        def read(connection: socket.socket) -> None:
            with contextlib.suppress(OSError):
                for line in connection.makefile("rb"):
                    message = decode(line.rstrip(b"\n"))
                    if isinstance(message, m.Ping):
                        self._send(connection, m.Pong())
                    else:
                        message_received(connection, message)

        def accept() -> None:
            with contextlib.suppress(OSError):
                while True:
                    threading.Thread(target=read, args=(listener.accept()[0],), daemon=True).start()

        threading.Thread(target=accept, daemon=True).start()

    def _send(self, connection: socket.socket, message: m.Message) -> None:
        with self._lock:
            connection.sendall(encode(message) + b"\n")

    def _store_message_received(self, connection: socket.socket, message: m.AnyMessage) -> None:
        match message:
            case m.Hello():
                self._send(connection, m.Welcome(m.PROTOCOL_VERSION, "store", 0))
            case m.ReadRequest():
                self._send(connection, m.SliceOwnerships(self._ownerships()))
                self._send(connection, m.ReadComplete(self._slice_count, 1, "x"))

    def _ownerships(self) -> list[m.SliceOwnership]:
        table = [
            m.TableEntry(server_id, weight, f"127.0.0.1:{port}")
            for server_id, (weight, port) in enumerate(zip(WEIGHTS, self._servers, strict=True))
        ]
        return [
            m.SliceOwnership(slice_id, FENCING_TOKEN, 0, table, 0, 1) for slice_id in range(self._slice_count)
        ]

    def _assigner_message_received(self, connection: socket.socket, message: m.AnyMessage) -> None:
        match message:
            case m.Hello():
                self._send(connection, m.Welcome(m.PROTOCOL_VERSION, "assigner", 0))
                self._proxy = connection
            case m.CheckpointReply():
                self.applied.append(AppliedUpdate(time.monotonic(), message.checkpoint_id))


def expected_fractions(applied: list[AppliedUpdate], started_at_s: float, ended_at_s: float) -> list[float]:
    """Return the expected fraction of requests per server, from the time under each set of weights."""
    changes_s = [update.at_s for update in applied if started_at_s < update.at_s < ended_at_s]
    bounds_s = [started_at_s, *changes_s, ended_at_s]
    totals = [0.0] * len(WEIGHTS)
    for interval_start_s, interval_end_s in itertools.pairwise(bounds_s):
        batch = next((update.batch for update in reversed(applied) if update.at_s <= interval_start_s), 1)
        for server_id, weight in enumerate(batch_weights(batch)):
            totals[server_id] += (interval_end_s - interval_start_s) * weight
    return [total / sum(totals) for total in totals]


def table_row(
    control_plane: ControlPlane, servers: list[int], proxy_port: int, requests: int, rate: float
) -> str:
    """Send requests while updates are published at a rate per second, and return the table row."""
    control_plane.reset()
    time.sleep(SETTLE_S)
    counts_before = attempt_counts(servers)
    started_at_s = time.monotonic()
    with control_plane.publish_periodically(rate):
        figures = run_client(proxy_port, "proxy", requests, 0, WINDOW)
        ended_at_s = time.monotonic()
    counts_after = attempt_counts(servers)
    received = [after - before for before, after in zip(counts_before, counts_after, strict=True)]
    assert sum(received) == requests, (
        f"count of attempts: {sum(received)} of {requests} requests reached a server"
    )
    expected = expected_fractions(control_plane.applied, started_at_s, ended_at_s)
    deviation = max(
        abs(count / (requests * fraction) - 1) for count, fraction in zip(received, expected, strict=True)
    )
    p99_ms = figures["p99"] / US_PER_MS
    return f"| {rate:g} | {requests} | {figures['rate']:.0f} | {p99_ms:.2f} | {deviation:.2%} |"


def _proxy_config(folder: Path, slice_count: int, proxy: int, assigner: int, store: int) -> Path:
    sections = {
        "deployment": {"name": "churn", "proxies": "1", "slices": str(slice_count)},
        "class read": {"aim_s": "1", "deadline_s": "10"},
        "proxy": {
            "id": "0",
            "listen": f"127.0.0.1:{proxy}",
            "assigners": f"127.0.0.1:{assigner}",
            "store": f"127.0.0.1:{store}",
        },
    }
    return write_config(folder / "proxy.ini", sections)


@click.command()
@click.option("--requests", default=100_000)
@click.option("--rate", default=10.0, help="Updates of all tables a second.")
@click.option("--slices", default=500)
@click.option("--table", default="")
def main(requests: int, rate: float, slices: int, table: str) -> None:
    """Print the table and write it to a file."""
    ports = Ports(os.getpid() * 23)
    servers = [ports.take() for _ in WEIGHTS]
    proxy_port, store_port, assigner_port = (ports.take() for _ in range(3))
    control_plane = ControlPlane(servers, slices, store_port, assigner_port)
    rows = [
        "| updates of all tables a second | requests | a second | p99 ms | most off what was published |",
        "| --- | --- | --- | --- | --- |",
    ]
    processes: list[subprocess.Popen[str]] = []
    with tempfile.TemporaryDirectory() as folder:
        config = _proxy_config(Path(folder), slices, proxy_port, assigner_port, store_port)
        try:
            processes.append(start_line_servers(servers))
            processes.append(start_process("puffintide", "proxy", "--config", str(config)))
            control_plane.wait_for_proxy()
            time.sleep(SETTLE_S)
            for update_rate in (0.0, rate):
                rows.append(table_row(control_plane, servers, proxy_port, requests, update_rate))
        finally:
            kill_all(processes)
    text = "\n".join(rows)
    click.echo(text)
    if table:
        Path(table).write_text(text + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
