"""From the kill of an assigner to the last of its slices in charge of another, many times over.

    python -m benchmarks.takeover [--kills 20] [--slices 500] [--servers 77] [--assigners 3] [--table FILE]

Real processes: the store with its file, assigners, a list of servers that all run (scripted), and one reader of the
store as a proxy is. No requests are played; what is timed is membership, commit and telling. Then the killed one
starts again, and the time until all of its slices are its own again is taken.
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
from pathlib import Path

import click

from puffintide.protocol import messages as m
from puffintide.protocol.codec import decode, encode
from puffintide.scenarios.place import Ports

LONGEST_S = 30.0


class Reader:
    """A stream to the store that keeps who has charge, and since when."""

    def __init__(self, port: int) -> None:
        self.owner: dict[int, int] = {}
        self.at: dict[int, float] = {}
        self.sock = socket.create_connection(("127.0.0.1", port), 5)
        self.sock.settimeout(None)
        self.say(m.Hello(m.PROTOCOL_VERSION, "proxy", 0, 0, "takeover"))
        self.say(m.ReadRequest())
        threading.Thread(target=self._run, daemon=True).start()

    def say(self, message: m.Message) -> None:
        self.sock.sendall(encode(message) + b"\n")

    def _run(self) -> None:
        with contextlib.suppress(OSError):
            for line in self.sock.makefile("rb"):
                message = decode(line.rstrip(b"\n"))
                if isinstance(message, m.Ping):
                    self.say(m.Pong())
                elif isinstance(message, m.SliceOwnerships):
                    now = time.monotonic()
                    for charge in message.ownerships:
                        if self.owner.get(charge.slice_id) != charge.owner_id:
                            self.owner[charge.slice_id], self.at[charge.slice_id] = charge.owner_id, now

    def until(self, found: bool, which: list[int], assigner: int) -> float:
        """When the last of these slices came to that assigner (found) or went to another."""
        end = time.monotonic() + LONGEST_S
        while not all((self.owner.get(n) == assigner) is found for n in which):
            assert time.monotonic() < end, "it did not happen"
            time.sleep(0.005)
        return max(self.at[n] for n in which)


def listed(port: int, servers: int) -> None:
    """A list that tells of servers which all run, and of nothing else."""
    listener = socket.create_server(("127.0.0.1", port))
    rows = [m.EndpointEntry(s, s % 2, 0, 0, 1, 2.0, 1, -1.0, "127.0.0.1:9") for s in range(servers)]

    def serve(sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            for line in sock.makefile("rb"):
                match decode(line.rstrip(b"\n")):
                    case m.Hello():
                        sock.sendall(encode(m.Welcome(m.PROTOCOL_VERSION, "list", 0)) + b"\n")
                    case m.WatchRequest() | m.SnapshotRequest():
                        sock.sendall(encode(m.WatchEvent("full", 1, rows)) + b"\n")
                    case m.Ping():
                        sock.sendall(encode(m.Pong()) + b"\n")

    def accept() -> None:
        while True:
            threading.Thread(target=serve, args=(listener.accept()[0],), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


def start(folder: Path, name: str, sections: dict[str, dict[str, str]], *more: str) -> subprocess.Popen[str]:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    path = folder / f"{name}.ini"
    with path.open("w") as file:
        parser.write(file)
    words = [sys.executable, "-m", "puffintide", name.split("-")[0], "--config", str(path), *more]
    log = (folder / f"{name}.err").open("a")
    running = subprocess.Popen(words, stdout=subprocess.PIPE, stderr=log, text=True)
    log.close()
    assert running.stdout is not None and running.stdout.readline() == "ready\n", f"{name} did not start"
    return running


@click.command()
@click.option("--kills", default=20)
@click.option("--slices", default=500)
@click.option("--servers", default=77)
@click.option("--assigners", default=3)
@click.option("--table", default="")
def main(kills: int, slices: int, servers: int, assigners: int, table: str) -> None:
    ports = Ports(os.getpid() * 31)
    store_port, list_port = ports.take(), ports.take()
    listed(list_port, servers)
    common = {
        "deployment": {
            "name": "takeover",
            "zones": "a, b",
            "assigners": str(assigners),
            "proxies": "1",
            "slices": str(slices),
        },
        "class read": {"aim_s": "1", "deadline_s": "4"},
        "charge": {"takeover_s": "2.5"},
    }
    running: dict[str, subprocess.Popen[str]] = {}
    gone: list[float] = []
    back: list[float] = []
    with tempfile.TemporaryDirectory() as made:
        folder = Path(made)
        try:
            store = {"listen": f"127.0.0.1:{store_port}", "file": str(folder / "kept.db")}
            running["store"] = start(folder, "store", common | {"store": store})
            mine = {k: ports.take() for k in range(assigners)}

            def assigner(number: int, life: int) -> None:
                section = {
                    "id": str(number),
                    "listen": f"127.0.0.1:{mine[number]}",
                    "store": f"127.0.0.1:{store_port}",
                    "list": f"127.0.0.1:{list_port}",
                    "log": str(folder / f"a{number}.log"),
                }
                name = f"assigner-{number}"
                running[name] = start(folder, name, common | {"assigner": section}, "--life", str(life))

            for number in range(assigners):
                assigner(number, 1)
            reader = Reader(store_port)
            homes = {k: [n for n in range(slices) if n % assigners == k] for k in mine}
            for number, which in homes.items():
                reader.until(True, which, number)
            for kill in range(kills):
                number = kill % assigners
                began = time.monotonic()
                running[f"assigner-{number}"].send_signal(signal.SIGKILL)
                running[f"assigner-{number}"].wait()
                gone.append(reader.until(False, homes[number], number) - began)
                assigner(number, kill + 2)
                began = time.monotonic()
                back.append(max(0.0, reader.until(True, homes[number], number) - began))
        finally:
            for process in running.values():
                process.kill()
                process.wait()
    lines = [
        f"| {kills} kills, {slices} slices, {assigners} assigners, lease 2.5 s | least s | median s | most s |",
        "| --- | --- | --- | --- |",
    ]
    for name, times in (("until others have all of its slices", gone), ("until it has them again", back)):
        times.sort()
        lines.append(f"| {name} | {times[0]:.2f} | {times[len(times) // 2]:.2f} | {times[-1]:.2f} |")
    text = "\n".join(lines)
    click.echo(text)
    if table:
        Path(table).write_text(text + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
