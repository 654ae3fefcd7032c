"""Measures the time from the kill of an assigner until others own its slices, over many kills.

    python -m benchmarks.takeover [--kills 20] [--slices 500] [--servers 77] [--assigners 3] [--table FILE]

The store with its file and the assigners are processes. An endpoint list on which all servers are ready, and
a reader of the store in place of a proxy, are scripted. No requests are sent, so that only membership, commit
and notification are timed. Then the killed assigner restarts, and the time until it owns all of its slices
again is measured.
"""

from __future__ import annotations

import configparser
import contextlib
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

import click

from puffintide.protocol import messages as m
from puffintide.protocol.codec import decode, encode
from puffintide.scenarios.place import Ports

OWNERSHIP_TIMEOUT_S = 30.0  # Maximum wait for a change of ownership.
POLL_INTERVAL_S = 0.005
CONNECT_TIMEOUT_S = 5
TAKEOVER_S = 2.5
PORTS_SEED_FACTOR = 31  # Gives concurrent runs different ports.
DEPLOYMENT_NAME = "takeover"

Sections = dict[str, dict[str, str]]


class OwnershipReader:
    """A reader of the store that records the owner of each slice and the time of its last change."""

    def __init__(self, port: int) -> None:
        self._owner_ids: dict[int, int] = {}
        self._owned_since_s: dict[int, float] = {}
        self._socket = socket.create_connection(("127.0.0.1", port), CONNECT_TIMEOUT_S)
        self._socket.settimeout(None)
        self._send(m.Hello(m.PROTOCOL_VERSION, "proxy", 0, 0, DEPLOYMENT_NAME))
        self._send(m.ReadRequest())
        threading.Thread(target=self._receive, daemon=True).start()

    def wait_until_owned(self, slice_ids: list[int], assigner_id: int) -> float:
        """Wait until an assigner owns all given slices, and return the time of the last change of owner."""
        return self._wait_for_ownership(slice_ids, assigner_id, is_owned=True)

    def wait_until_lost(self, slice_ids: list[int], assigner_id: int) -> float:
        """Wait until others own all given slices, and return the time of the last change of owner."""
        return self._wait_for_ownership(slice_ids, assigner_id, is_owned=False)

    def _wait_for_ownership(self, slice_ids: list[int], assigner_id: int, is_owned: bool) -> float:
        deadline_s = time.monotonic() + OWNERSHIP_TIMEOUT_S
        while any((self._owner_ids.get(slice_id) == assigner_id) is not is_owned for slice_id in slice_ids):
            assert time.monotonic() < deadline_s, (
                f"wait for ownership by assigner {assigner_id} to become {is_owned}: "
                f"timed out after {OWNERSHIP_TIMEOUT_S:g} s"
            )
            time.sleep(POLL_INTERVAL_S)
        return max(self._owned_since_s[slice_id] for slice_id in slice_ids)

    def _send(self, message: m.Message) -> None:
        self._socket.sendall(encode(message) + b"\n")

    def _receive(self) -> None:
        with contextlib.suppress(OSError):
            for line in self._socket.makefile("rb"):
                match decode(line.rstrip(b"\n")):
                    case m.Ping():
                        self._send(m.Pong())
                    case m.SliceOwnerships() as message:
                        self._record(message.ownerships)

    def _record(self, ownerships: list[m.SliceOwnership]) -> None:
        now_s = time.monotonic()
        for ownership in ownerships:
            if self._owner_ids.get(ownership.slice_id) != ownership.owner_id:
                self._owned_since_s[ownership.slice_id] = now_s
                self._owner_ids[ownership.slice_id] = ownership.owner_id


def serve_endpoint_list(port: int, server_count: int) -> None:
    """Serve an endpoint list on which all servers are ready, on daemon threads."""
    listener = socket.create_server(("127.0.0.1", port))
    entries = [m.EndpointEntry(i, i % 2, 0, 0, 1, 2.0, 1, -1.0, "127.0.0.1:9") for i in range(server_count)]

    def serve(connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            for line in connection.makefile("rb"):
                match decode(line.rstrip(b"\n")):
                    case m.Hello():
                        connection.sendall(encode(m.Welcome(m.PROTOCOL_VERSION, "list", 0)) + b"\n")
                    case m.WatchRequest() | m.SnapshotRequest():
                        connection.sendall(encode(m.WatchEvent("full", 1, entries)) + b"\n")
                    case m.Ping():
                        connection.sendall(encode(m.Pong()) + b"\n")

    def accept() -> None:
        while True:
            threading.Thread(target=serve, args=(listener.accept()[0],), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


def start_process(folder: Path, name: str, sections: Sections, *arguments: str) -> subprocess.Popen[str]:
    """Start a process whose command is the name up to the first hyphen, and wait until it is ready."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    path = folder / f"{name}.ini"
    with path.open("w") as file:
        parser.write(file)
    command = [sys.executable, "-m", "puffintide", name.split("-")[0], "--config", str(path), *arguments]
    with (folder / f"{name}.err").open("a") as errors:
        process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=errors, text=True)
    assert process.stdout is not None
    assert process.stdout.readline() == "ready\n", f"start of {name}: it did not print 'ready'"
    return process


@dataclass(slots=True)
class Durations:
    """Durations in seconds, one value for each kill.

    Attributes:
        takeover_s: Seconds from a kill until others owned all slices of the killed assigner.
        reacquisition_s: Seconds from the restart of the assigner until it owned all of its slices again.
    """

    takeover_s: list[float] = field(default_factory=list)
    reacquisition_s: list[float] = field(default_factory=list)


class Cluster:
    """The processes of the store and the assigners."""

    def __init__(self, folder: Path, slice_count: int, server_count: int, assigner_count: int) -> None:
        ports = Ports(os.getpid() * PORTS_SEED_FACTOR)
        self.store_port = ports.take()
        self.assigner_ids = range(assigner_count)
        self._list_port = ports.take()
        self._ports = {assigner_id: ports.take() for assigner_id in self.assigner_ids}
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[str]] = {}
        self._sections: Sections = {
            "deployment": {
                "name": DEPLOYMENT_NAME,
                "zones": "a, b",
                "assigners": str(assigner_count),
                "proxies": "1",
                "slices": str(slice_count),
            },
            "class read": {"aim_s": "1", "deadline_s": "4"},
            "charge": {"takeover_s": str(TAKEOVER_S)},
        }
        serve_endpoint_list(self._list_port, server_count)

    def start_store(self) -> None:
        """Start the store with a new file."""
        section = {"listen": f"127.0.0.1:{self.store_port}", "file": str(self._folder / "kept.db")}
        self._processes["store"] = start_process(self._folder, "store", self._sections | {"store": section})

    def start_assigner(self, assigner_id: int, incarnation: int) -> None:
        """Start an assigner; its incarnation must increase with each start."""
        section = {
            "id": str(assigner_id),
            "listen": f"127.0.0.1:{self._ports[assigner_id]}",
            "store": f"127.0.0.1:{self.store_port}",
            "list": f"127.0.0.1:{self._list_port}",
            "log": str(self._folder / f"a{assigner_id}.log"),
        }
        name = f"assigner-{assigner_id}"
        sections = self._sections | {"assigner": section}
        self._processes[name] = start_process(self._folder, name, sections, "--life", str(incarnation))

    def kill_assigner(self, assigner_id: int) -> None:
        """Kill an assigner and wait until it has exited."""
        process = self._processes[f"assigner-{assigner_id}"]
        process.send_signal(signal.SIGKILL)
        process.wait()

    def stop(self) -> None:
        """Kill all processes."""
        for process in self._processes.values():
            process.kill()
            process.wait()


def measure(cluster: Cluster, slice_count: int, kills: int) -> Durations:
    """Start all processes, then kill and restart the assigners in turn."""
    cluster.start_store()
    for assigner_id in cluster.assigner_ids:
        cluster.start_assigner(assigner_id, 1)
    assigner_count = len(cluster.assigner_ids)
    default_slices = {
        assigner_id: list(range(assigner_id, slice_count, assigner_count))
        for assigner_id in cluster.assigner_ids
    }
    reader = OwnershipReader(cluster.store_port)
    for assigner_id, slice_ids in default_slices.items():
        reader.wait_until_owned(slice_ids, assigner_id)
    durations = Durations()
    for kill in range(kills):
        assigner_id = kill % assigner_count
        slice_ids = default_slices[assigner_id]
        killed_at_s = time.monotonic()
        cluster.kill_assigner(assigner_id)
        durations.takeover_s.append(reader.wait_until_lost(slice_ids, assigner_id) - killed_at_s)
        cluster.start_assigner(assigner_id, kill + 2)
        started_at_s = time.monotonic()
        reacquired_at_s = reader.wait_until_owned(slice_ids, assigner_id)
        durations.reacquisition_s.append(max(0.0, reacquired_at_s - started_at_s))
    return durations


def table_row(name: str, durations_s: list[float]) -> str:
    """Return a table row with the minimum, the median and the maximum duration."""
    ordered = sorted(durations_s)
    return f"| {name} | {ordered[0]:.2f} | {ordered[len(ordered) // 2]:.2f} | {ordered[-1]:.2f} |"


@click.command()
@click.option("--kills", default=20)
@click.option("--slices", default=500)
@click.option("--servers", default=77)
@click.option("--assigners", default=3)
@click.option("--table", default="")
def main(kills: int, slices: int, servers: int, assigners: int, table: str) -> None:
    """Print the table and write it to a file."""
    with tempfile.TemporaryDirectory() as name:
        cluster = Cluster(Path(name), slices, servers, assigners)
        try:
            durations = measure(cluster, slices, kills)
        finally:
            cluster.stop()
    lines = [
        f"| {kills} kills, {slices} slices, {assigners} assigners, lease {TAKEOVER_S} s "
        "| least s | median s | most s |",
        "| --- | --- | --- | --- |",
        table_row("until others own all of its slices", durations.takeover_s),
        table_row("until it owns them again", durations.reacquisition_s),
    ]
    text = "\n".join(lines)
    click.echo(text)
    if table:
        Path(table).write_text(text + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
