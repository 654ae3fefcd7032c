"""The platform's services, controlled by a test: each answer is sent when the test requests it."""

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
    """A connection opened by the program: requests are read in order, and the test sends any bytes."""

    def __init__(self, sock: socket.socket) -> None:
        sock.settimeout(None)
        self.sock = sock
        self.target = ""
        self.ended = threading.Event()  # Set when the program, close() or reset() has ended the connection.
        self.requests: queue.Queue[tuple[str, bytes]] = queue.Queue()  # Method with target, and body.

    def read(self, on_request: Callable[[HttpConnection, str, bytes], None]) -> None:
        """Parse requests until the connection ends, and pass on each."""
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
        """Send the head of an endless response."""
        self.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def send_lines(self, *rows: Any) -> None:
        """Send lines of an endless response in one chunk; bytes are sent as they are, without a line end."""
        text = b"".join(row if isinstance(row, bytes) else json.dumps(row).encode() + b"\n" for row in rows)
        self.send(b"%x\r\n%b\r\n" % (len(text), text))

    def respond(self, body: bytes, status: int = 200) -> None:
        self.send(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()


class HttpServer:
    """An address of the platform. Requests are queued until the test takes them."""

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
        """Return the next request whose method and target start with `target`; others stay queued.

        Raises:
            TimeoutError: No such request was received in time.
        """
        others = []
        deadline_s = time.monotonic() + limit_s
        try:
            while True:
                row = self._requests.get(timeout=max(0.0, deadline_s - time.monotonic()))
                if row[1].startswith(target):
                    return row
                others.append(row)
        except queue.Empty:
            received = [row[1] for row in others]
            raise TimeoutError(f"no request {target!r} in {limit_s} s; others: {received}") from None
        finally:
            for row in others:
                self._requests.put(row)

    def has_request(self, target: str) -> bool:
        """Return whether a request whose method and target start with `target` is queued."""
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
    """State of a relay: tables, withdrawn hosts, and each order in the sequence of arrival."""

    def __init__(self, tables: dict[int, dict[str, float]]) -> None:
        self.tables = {slice_id: dict(table) for slice_id, table in tables.items()}
        self.withdrawn_hosts: set[str] = set()
        self.received: list[dict[str, Any]] = []

    def apply_call(self, body: bytes, applied: bool = True) -> bytes:
        """Record the orders of a call, apply them if `applied` is set, and return the body of the answer."""
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
        """Return the hosts that a proxy may still send requests to."""
        return {host for table in self.tables.values() for host in table} - self.withdrawn_hosts

    def snapshot_messages(self, *slice_ids: int) -> list[dict[str, Any]]:
        """Return the watch messages of these slices and their tables; of all slices if none are given."""
        messages: list[dict[str, Any]] = []
        for slice_id in slice_ids or sorted(self.tables):
            messages.append(slice_granted(slice_id))
            messages += [table_weight(slice_id, host, share) for host, share in self.tables[slice_id].items()]
        return messages


def proxy_joined(proxy_id: int, first_connection: bool = False) -> dict[str, Any]:
    row = {"sidecar": proxy_id, "az": "a", "share": 5.0, "standing": first_connection}
    return {"type": "joined", "object": row}


def slice_granted(slice_id: int, granted: bool = True) -> dict[str, Any]:
    return {"type": "given", "object": {"partition": slice_id, "yes": granted}}


def table_weight(slice_id: int, host: str, share: float = 1.0) -> dict[str, Any]:
    return {"type": "held", "object": {"partition": slice_id, "host": host, "share": share}}


HEARTBEAT: dict[str, Any] = {}
# Limits that no test reaches, so that every log row is written.
UNLIMITED_LOG: Mapping[str, float] = {"platform.log.BURST_LINES": 1e6, "platform.log.LINES_PER_S": 1e6}
# Program of the assigner process, which first replaces constants. It fails if a constant does not exist, as
# the replacement would have no effect.
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
    """An assigner of the platform in its own process, with its parsed log.

    Constants of its modules can be replaced.
    """

    def __init__(self, path: Path, config: dict[str, Any], constants: Mapping[str, float]) -> None:
        self.path = path
        self.config = config
        self.write()
        self.rows: list[dict[str, Any]] = []
        self._rows_added = threading.Condition()
        replaced = json.dumps({**UNLIMITED_LOG, **constants})
        command = [sys.executable, "-c", MAIN, replaced]
        env = {**os.environ, "GW_CONFIG": str(path)}
        self.process = subprocess.Popen(command, env=env, text=True, stderr=subprocess.PIPE)
        threading.Thread(target=self._read, daemon=True).start()

    def write(self, **changes: Any) -> None:
        """Change the configuration, and replace its file atomically."""
        self.config |= changes
        new_file = self.path.with_suffix(".new")
        new_file.write_text(json.dumps(self.config))
        new_file.replace(self.path)

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            with self._rows_added:
                self.rows.append(json.loads(line) if line.startswith("{") else {"event": "?", "text": line})
                self._rows_added.notify_all()

    def logged(self, event: str, **fields: Any) -> list[dict[str, Any]]:
        """Return the log rows of an event with these fields."""
        return [row for row in list(self.rows) if row["event"] == event and fields.items() <= row.items()]

    def wait_for(
        self, event: str, count: int = 1, limit_s: float = MAX_WAIT_S, **fields: Any
    ) -> dict[str, Any]:
        """Wait until an event with these fields was logged `count` times, and return that row."""
        with self._rows_added:
            found = self._rows_added.wait_for(lambda: len(self.logged(event, **fields)) >= count, limit_s)
        assert found, f"{event} {fields} not logged {count} times in {limit_s} s; last rows: {self.rows[-5:]}"
        return self.logged(event, **fields)[count - 1]

    def connect(self) -> socket.socket:
        host, port = self.config["listen"].split(":")
        return socket.create_connection((host, int(port)), MAX_WAIT_S)

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    def descriptors(self) -> int:
        """Return the number of open file descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def end(self) -> None:
        self.process.kill()
        self.process.wait()
