"""Scripted peers that exchange messages with real processes of the program over loopback sockets."""

from __future__ import annotations

import configparser
import contextlib
import itertools
import json
import os
import queue
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from puffintide.protocol import messages as m
from puffintide.protocol.codec import decode, encode
from puffintide.scenarios.place import FIRST_PORT, Ports

WORKER_NUMBER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
PORTS_PER_WORKER = 1000  # Concurrent test processes use disjoint ranges of ports.
FIRST_WORKER_PORT = FIRST_PORT + WORKER_NUMBER * PORTS_PER_WORKER
PORTS = Ports(os.getpid() * 53, FIRST_WORKER_PORT, FIRST_WORKER_PORT + PORTS_PER_WORKER)
MAX_WAIT_S = 15.0  # Default limit of every wait, in seconds.
# Default configuration of the processes under test.
SECTIONS = {
    "deployment": {"name": "t", "zones": "a, b", "assigners": "2", "proxies": "3", "slices": "8"},
    "channel": {"lines_per_s": "100000", "limit": "3000", "head_lines": "2"},
    "rules": {"drain_grace_s": "2", "warm_within_s": "1", "bare_s": "5"},
    "charge": {"takeover_s": "0.6"},
    "class read": {"effect": "repeatable", "aim_s": "1", "deadline_s": "4"},
}


class PeerConnection:
    """Connection to a process under test.

    A thread queues the received messages and answers pings, unless `ignore_pings` is set.
    """

    def __init__(self, sock: socket.socket) -> None:
        sock.settimeout(None)
        self.sock = sock
        self.ignore_pings = False
        self.received: queue.Queue[m.AnyMessage | None] = queue.Queue()
        threading.Thread(target=self._receive, daemon=True).start()

    def _receive(self) -> None:
        buffer = b""
        with contextlib.suppress(OSError):
            while data := self.sock.recv(1 << 16):
                buffer += data
                *lines, buffer = buffer.split(b"\n")
                for line in lines:
                    message = decode(line)
                    if not isinstance(message, m.Ping):
                        self.received.put(message)
                    elif not self.ignore_pings:
                        self.send(m.Pong())
        self.received.put(None)

    def send(self, message: m.Message) -> None:
        self.send_bytes(encode(message) + b"\n")

    def send_bytes(self, data: bytes) -> None:
        self.sock.sendall(data)

    def read(self, limit_s: float = MAX_WAIT_S) -> m.AnyMessage | None:
        """Return the next message, or None at the end of the stream.

        Raises:
            TimeoutError: No message arrived within the limit.
        """
        try:
            return self.received.get(timeout=limit_s)
        except queue.Empty:
            raise TimeoutError(f"no message received within {limit_s:.2f} s") from None

    def wait_for(self, matches: Callable[[m.AnyMessage], bool], limit_s: float = MAX_WAIT_S) -> Any:
        """Return the next matching message and drop those before it.

        Raises:
            TimeoutError: No matching message arrived within the limit.
            AssertionError: The stream ended first.
        """
        end = time.monotonic() + limit_s
        while True:
            message = self.read(max(0.01, end - time.monotonic()))
            assert message is not None, "stream ended before a matching message"
            if matches(message):
                return message

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


def dial(port: int, hello: m.Message | None = None) -> PeerConnection:
    """Connect to a port, retrying until the process listens, and send the Hello if one is given."""
    end = time.monotonic() + MAX_WAIT_S
    while True:
        try:
            connection = PeerConnection(socket.create_connection(("127.0.0.1", port), 2))
            break
        except OSError:
            if time.monotonic() > end:
                raise
            time.sleep(0.05)
    if hello is not None:
        connection.send(hello)
    return connection


class ListeningPeer:
    """Scripted peer that accepts connections from a process under test."""

    def __init__(self) -> None:
        self.port = PORTS.take()
        self.listener: socket.socket | None = None
        self.connections: list[PeerConnection] = []  # Keeps connections open that a test does not hold.
        self.open()

    def open(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", self.port))

    def accept(self, role: str) -> PeerConnection:
        assert self.listener is not None
        self.listener.settimeout(MAX_WAIT_S)
        connection = PeerConnection(self.listener.accept()[0])
        assert isinstance(connection.read(), m.Hello)
        connection.send(m.Welcome(m.PROTOCOL_VERSION, role, 0))
        self.connections.append(connection)
        return connection

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()


@contextlib.contextmanager
def process(
    folder: Path, command: str, section: dict[str, str], *options: str, **changes: dict[str, str]
) -> Iterator[Any]:
    """Run a process of the program until the end of the context.

    Args:
        folder: Directory for the configuration file.
        command: Command of the program, which also names its section.
        section: Settings of the section of the command.
        *options: Additional command-line options.
        **changes: Settings that replace the defaults, by section.

    Yields:
        The process, once it accepts connections.
    """
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict({name: SECTIONS.get(name, {}) | changes.get(name, {}) for name in SECTIONS | changes})
    parser[command] = section
    path = folder / f"{command}.ini"
    with path.open("w") as file:
        parser.write(file)
    arguments = [sys.executable, "-m", "puffintide", command, "--config", str(path), *options]
    running = subprocess.Popen(arguments, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
    try:
        assert running.stdout is not None
        assert running.stdout.readline() == "ready\n", running.stderr.read() if running.stderr else ""
        yield running
    finally:
        running.kill()
        running.communicate()


class AssignerHarness:
    """Scripted store and endpoint list for an assigner process, and the configuration of that process."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store, self.list, self.port = ListeningPeer(), ListeningPeer(), PORTS.take()
        self.incarnations = itertools.count(1)
        self.section = {
            "id": "0",
            "listen": f"127.0.0.1:{self.port}",
            "store": f"127.0.0.1:{self.store.port}",
            "list": f"127.0.0.1:{self.list.port}",
            "list_cache": str(folder / "list.json"),
            "log": str(folder / "assigner.log"),
        }

    def assigner(self, **changes: dict[str, str]) -> Any:
        """Return a context that runs an assigner process with the next incarnation."""
        return process(
            self.folder, "assigner", self.section, "--life", str(next(self.incarnations)), **changes
        )

    def proxy(self, number: int, first_connection: bool = True) -> PeerConnection:
        """Return a connection from a proxy to the assigner, after the handshake."""
        hello = m.Hello(m.PROTOCOL_VERSION, "proxy", number, 0, "t", first_connection=first_connection)
        connection = dial(self.port, hello)
        connection.wait_for(lambda message: isinstance(message, m.Welcome))
        return connection

    def log(self) -> list[dict[str, Any]]:
        """Return the log events of the assigner processes."""
        return [json.loads(line) for line in (self.folder / "assigner.log").read_text().splitlines()]


def servers(*statuses: int) -> list[m.EndpointEntry]:
    """Return endpoint list entries of servers 0 and up with these statuses, alternating between two zones."""
    return [
        m.EndpointEntry(server_id, server_id % 2, 0, 0, status, 2.0, 1, -1.0, f"127.0.0.1:{9000 + server_id}")
        for server_id, status in enumerate(statuses)
    ]


def charges(slices: int = 8, server: int = 0, token: int = 1) -> m.SliceOwnerships:
    """Return ownerships that grant slices to assigner 0, each with the same server and consecutive tokens."""
    entries = [m.TableEntry(server, 1.0, f"127.0.0.1:{9000 + server}")]
    return m.SliceOwnerships([m.SliceOwnership(n, token + n, 0, entries) for n in range(slices)])
