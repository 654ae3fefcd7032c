"""The parties of the platform, played by a test: each answer goes out when the test says so."""

from __future__ import annotations

import contextlib
import json
import os
import queue
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from tests.peers import MAX_WAIT_S


class HttpConnection:
    """A connection that the program has opened: its requests in order, and back whatever bytes the test sends."""

    def __init__(self, sock: socket.socket) -> None:
        sock.settimeout(None)
        self.sock = sock
        self.target = ""
        self.ended = threading.Event()  # by the program, or by close() and reset()
        self.requests: queue.Queue[tuple[str, bytes]] = queue.Queue()  # method with target, body

    def read(self, on_request: Callable[[HttpConnection, str, bytes], None]) -> None:
        buffer = b""
        with contextlib.suppress(OSError, ValueError):
            while data := self.sock.recv(1 << 16):
                buffer += data
                while b"\r\n\r\n" in buffer:
                    head, rest = buffer.split(b"\r\n\r\n", 1)
                    lines = head.decode().split("\r\n")
                    fields = dict(line.lower().split(": ", 1) for line in lines[1:])
                    size = int(fields.get("content-length", "0"))
                    if len(rest) < size:
                        break
                    self.target = lines[0].rsplit(" ", 1)[0]
                    body = rest[:size]
                    buffer = rest[size:]
                    on_request(self, self.target, body)
        self.ended.set()

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def begin_response(self) -> None:
        """The head of an answer without end."""
        self.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def send_lines(self, *rows: Any) -> None:
        """Lines of such an answer, in one piece; bytes go as they are, without an end of line."""
        text = b"".join(r if isinstance(r, bytes) else json.dumps(r).encode() + b"\n" for r in rows)
        self.send(b"%x\r\n%b\r\n" % (len(text), text))

    def respond(self, body: bytes, status: int = 200) -> None:
        self.send(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()


class HttpServer:
    """An address of the platform. Requests wait here until the test asks for them."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.connections: list[HttpConnection] = []
        self._requests: queue.Queue[tuple[HttpConnection, str, bytes]] = queue.Queue()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection = HttpConnection(self.listener.accept()[0])
                self.connections.append(connection)
                threading.Thread(target=connection.read, args=(self._on_request,), daemon=True).start()

    def _on_request(self, connection: HttpConnection, target: str, body: bytes) -> None:
        self._requests.put((connection, target, body))

    def next_request(self, target: str, limit_s: float = MAX_WAIT_S) -> tuple[HttpConnection, str, bytes]:
        """The next request that begins so; others stay for later. Raises TimeoutError."""
        others = []
        end = time.monotonic() + limit_s
        try:
            while True:
                row = self._requests.get(timeout=max(0.0, end - time.monotonic()))
                if row[1].startswith(target):
                    return row
                others.append(row)
        except queue.Empty:
            raise TimeoutError(f"no {target}; others: {[row[1] for row in others]}") from None
        finally:
            for row in others:
                self._requests.put(row)

    def has_request(self, target: str) -> bool:
        """Whether such a request has come that nobody asked for."""
        try:
            self._requests.put(self.next_request(target, 0.0))
        except TimeoutError:
            return False
        return True

    def close(self) -> None:
        self.listener.close()
        for connection in self.connections:
            connection.close()


class RelayStore:
    """What a relay keeps: tables, servers shut out, and each order as it was received."""

    def __init__(self, tables: dict[int, dict[str, float]]) -> None:
        self.tables = {s: dict(table) for s, table in tables.items()}
        self.withdrawn_hosts: set[str] = set()
        self.received: list[dict[str, Any]] = []

    def apply_call(self, body: bytes, applied: bool = True) -> bytes:
        """A call; gives the answer's body."""
        rows = json.loads(body)["orders"]
        self.received += rows
        for row in rows if applied else []:
            match row:
                case {"do": "SET", "group": group, "host": host, "share": share}:
                    self.tables[group][host] = share
                    if share <= 0:
                        del self.tables[group][host]
                case {"do": "OUT", "host": host}:
                    self.withdrawn_hosts.add(host)
                case {"do": "IN", "host": host}:
                    self.withdrawn_hosts.discard(host)
        return b'{"accepted":%d}' % len(rows)

    def routable_hosts(self) -> set[str]:
        """Hosts that a proxy may still send to."""
        return {host for table in self.tables.values() for host in table} - self.withdrawn_hosts

    def snapshot_messages(self, *slices: int) -> list[dict[str, Any]]:
        """How the news gives these slices, with their lines; all, if none are named."""
        rows: list[dict[str, Any]] = []
        for s in slices or sorted(self.tables):
            rows.append(slice_granted(s))
            rows += [table_weight(s, host, share) for host, share in self.tables[s].items()]
        return rows


def proxy_joined(number: int, fresh: bool = False) -> dict[str, Any]:
    row = {"sidecar": number, "az": "a", "share": 5.0, "standing": fresh}
    return {"type": "joined", "object": row}


def slice_granted(slice_: int, yes: bool = True) -> dict[str, Any]:
    return {"type": "given", "object": {"partition": slice_, "yes": yes}}


def table_weight(slice_: int, host: str, share: float = 1.0) -> dict[str, Any]:
    return {"type": "held", "object": {"partition": slice_, "host": host, "share": share}}


HEARTBEAT: dict[str, Any] = {}
# Each row is written.
UNLIMITED_LOG: Mapping[str, float] = {"platform.log.BURST_LINES": 1e6, "platform.log.LINES_PER_S": 1e6}
# A constant that does not exist fails the process: a patch of it would do nothing.
MAIN = """
import importlib, json, sys
for name, value in json.loads(sys.argv[1]).items():
    module_name, constant = name.rsplit(".", 1)
    module = importlib.import_module(f"puffintide.{module_name}")
    getattr(module, constant)
    setattr(module, constant, value)
import puffintide.platform.__main__ as main
raise SystemExit(main.main())
"""


class AssignerProcess:
    """One real assigner of the platform, its log row by row. Constants of its modules can be replaced."""

    def __init__(self, path: Path, config: dict[str, Any], constants: Mapping[str, float]) -> None:
        self.path = path
        self.config = config
        self.write()
        self.rows: list[dict[str, Any]] = []
        self._more = threading.Condition()
        replaced = json.dumps({**UNLIMITED_LOG, **constants})
        words = [sys.executable, "-c", MAIN, replaced]
        env = {**os.environ, "GW_CONFIG": str(path)}
        self.process = subprocess.Popen(words, env=env, text=True, stderr=subprocess.PIPE)
        threading.Thread(target=self._read, daemon=True).start()

    def write(self, **changes: Any) -> None:
        self.config |= changes
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.replace(self.path)

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            with self._more:
                self.rows.append(json.loads(line) if line.startswith("{") else {"event": "?", "text": line})
                self._more.notify_all()

    def logged(self, event: str, **fields: Any) -> list[dict[str, Any]]:
        return [r for r in list(self.rows) if r["event"] == event and fields.items() <= r.items()]

    def wait_for(
        self, event: str, count: int = 1, limit_s: float = MAX_WAIT_S, **fields: Any
    ) -> dict[str, Any]:
        """The count-th such row, once it is there."""
        with self._more:
            found = self._more.wait_for(lambda: len(self.logged(event, **fields)) >= count, limit_s)
        assert found, f"no {event} {fields}; last: {self.rows[-5:]}"
        return self.logged(event, **fields)[count - 1]

    def connect(self) -> socket.socket:
        host, port = self.config["listen"].split(":")
        return socket.create_connection((host, int(port)), MAX_WAIT_S)

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def end(self) -> None:
        self.process.kill()
        self.process.wait()
