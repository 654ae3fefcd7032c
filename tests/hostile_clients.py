"""Clients that misuse a listening process, and measurements of what the process and other clients suffer."""

from __future__ import annotations

import contextlib
import math
import selectors
import socket
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

CONNECT_TIMEOUT_S = 10.0
PROBE_PERIOD_S = 0.1
SAMPLE_PERIOD_S = 0.02


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return int(fields["VmRSS"].split()[0]) * 1024


def connect(port: int) -> socket.socket:
    sock = socket.create_connection(("127.0.0.1", port), CONNECT_TIMEOUT_S)
    sock.settimeout(CONNECT_TIMEOUT_S)
    return sock


class Flood:
    """One connection that repeats data at full speed, without reading unless it is told to."""

    def __init__(self, port: int, data: bytes, greeting: bytes = b"", reads: bool = False) -> None:
        self.sock = connect(port)
        self.sock.sendall(greeting)
        self.sock.setblocking(False)
        self.data = data
        self.reads = reads
        self.sent_bytes = 0
        self.ended_by_peer = False
        self._stopped = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        view = memoryview(self.data)
        position = 0
        with selectors.DefaultSelector() as selector:
            events = selectors.EVENT_WRITE | (selectors.EVENT_READ if self.reads else 0)
            selector.register(self.sock, events)
            while not self._stopped:
                ready = selector.select(0.1)
                try:
                    if ready and ready[0][1] & selectors.EVENT_READ and not self.sock.recv(1 << 20):
                        self.ended_by_peer = True
                        return
                    if ready and ready[0][1] & selectors.EVENT_WRITE:
                        sent = self.sock.send(view[position:])
                        self.sent_bytes += sent
                        position = (position + sent) % len(view)
                except BlockingIOError:
                    continue
                except OSError:
                    self.ended_by_peer = True
                    return

    def stop(self) -> None:
        self._stopped = True
        self._thread.join()
        self.sock.close()


@contextlib.contextmanager
def flood(port: int, data: bytes, greeting: bytes = b"", reads: bool = False) -> Iterator[Flood]:
    """Flood a port until the end of the context."""
    running = Flood(port, data, greeting, reads)
    try:
        yield running
    finally:
        running.stop()


@contextlib.contextmanager
def connected_clients(port: int, size: int, *parts: bytes) -> Iterator[list[socket.socket]]:
    """Keep clients connected that have each sent the parts, the first part of all before the second of any."""
    sockets: list[socket.socket] = []
    try:
        for _ in range(size):
            with contextlib.suppress(OSError):
                sockets.append(connect(port))
        for sock in sockets:
            sock.setblocking(False)
        for part in parts:
            send_to_all(sockets, part)
        yield sockets
    finally:
        for sock in sockets:
            sock.close()


def send_to_all(sockets: Sequence[socket.socket], data: bytes, limit_s: float = 10.0) -> None:
    """Send data on all sockets in turn; give up on closed ones, and on all of them after the limit."""
    left = {sock: memoryview(data) for sock in sockets}
    end_s = time.monotonic() + limit_s
    while left and time.monotonic() < end_s:
        for sock, view in list(left.items()):
            try:
                left[sock] = view[sock.send(view) :]
            except BlockingIOError:
                continue
            except OSError:
                left[sock] = memoryview(b"")
        left = {sock: view for sock, view in left.items() if view}


class Observation:
    """What a process and its other clients suffer during an attack; memory is sampled until stop()."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.first_bytes = resident_bytes(pid)
        self.max_bytes = self.first_bytes
        self.latencies_s: list[float] = []
        self._stopped = False
        self._thread = threading.Thread(target=self._sample, daemon=True)
        self._thread.start()

    def _sample(self) -> None:
        while not self._stopped:
            with contextlib.suppress(OSError, KeyError):
                self.max_bytes = max(self.max_bytes, resident_bytes(self.pid))
            time.sleep(SAMPLE_PERIOD_S)

    @property
    def growth_bytes(self) -> int:
        return self.max_bytes - self.first_bytes

    def watch(self, probe: Callable[[], object], duration_s: float) -> None:
        """Repeat a probe, which returns once another client was served or fails with an OSError."""
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            started_s = time.monotonic()
            try:
                probe()
            except OSError:
                self.latencies_s.append(math.inf)
            else:
                self.latencies_s.append(time.monotonic() - started_s)
            time.sleep(PROBE_PERIOD_S)

    def stop(self) -> None:
        self._stopped = True
        self._thread.join()
