"""HTTP through a real proxy process: framing, bodies, slow and faulty peers, and invalid requests."""

from __future__ import annotations

import contextlib
import random
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from puffintide.protocol import messages as m
from puffintide.proxy.state import SavedState, save_state
from tests.peers import PORTS, process

Handler = Callable[[socket.socket, bytes, int], bool]


class ScriptedServer:
    """A scripted HTTP server.

    The handler gets the socket, head and number of each request and returns whether to continue.
    """

    def __init__(self, handler: Handler) -> None:
        self.port = PORTS.take()
        self.handler = handler
        self.heads: list[bytes] = []
        self.bodies: list[bytes] = []
        self.listener = socket.create_server(("127.0.0.1", self.port), backlog=200)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        data = b""
        with contextlib.suppress(OSError):
            while True:
                while b"\r\n\r\n" not in data:
                    chunk = sock.recv(65536)
                    if not chunk:
                        return
                    data += chunk
                head, _, data = data.partition(b"\r\n\r\n")
                length = 0
                for header_line in head.lower().split(b"\r\n"):
                    if header_line.startswith(b"content-length:"):
                        length = int(header_line.split(b":")[1])
                while len(data) < length:
                    data += sock.recv(65536)
                body, data = data[:length], data[length:]
                self.heads.append(head)
                self.bodies.append(body)
                if not self.handler(sock, head, len(self.heads)):
                    sock.close()
                    return


def http_response(body: bytes = b"hello", status: str = "200 OK", extra: bytes = b"") -> bytes:
    head = f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n".encode()
    return head + extra + b"\r\n" + body


def respond_with_path(sock: socket.socket, head: bytes, _number: int) -> bool:
    path = head.split(b" ")[1]
    sock.sendall(http_response(b"you asked " + path))
    return True


class ProxyProcess:
    def __init__(self, tmp: Path, *ports: int, retry: int = 0) -> None:
        self.tmp, self.port, self.unused_port = tmp, PORTS.take(), PORTS.take()
        entries = [m.TableEntry(s, 1.0, f"127.0.0.1:{p}") for s, p in enumerate(ports)]
        state = SavedState(
            1,
            0.0,
            [m.SliceOwnership(0, 1, 0, entries)],
            {},
            [(0, [(0xFFFF, m.AdmissionLevel(0xFFFF, 0, 1.0, retry))])],
        )
        save_state(str(tmp / "tables.json"), state)

    @contextlib.contextmanager
    def running(self, **section: str) -> Iterator[Any]:
        proxy_section = {
            "id": "0",
            "listen": f"127.0.0.1:{PORTS.take()}",
            "http": f"127.0.0.1:{self.port}",
            "assigners": f"127.0.0.1:{self.unused_port}",
            "store": f"127.0.0.1:{self.unused_port}",
            "state": str(self.tmp / "tables.json"),
            "head_s": "1",
            **section,
        }
        classes = {"class pay": {"effect": "once", "aim_s": "1", "deadline_s": "2"}}
        with process(
            self.tmp, "proxy", proxy_section, deployment={"slices": "1", "hold_s": "0.2"}, **classes
        ) as running:
            yield running

    def dial(self) -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", self.port), 5)
        sock.settimeout(8)
        return sock

    def send_and_read(self, data: bytes) -> bytes:
        """Return all data that the proxy sends until it closes the connection."""
        with self.dial() as sock:
            sock.sendall(data)
            return read_to_end(sock)


def read_to_end(sock: socket.socket) -> bytes:
    received = b""
    with contextlib.suppress(ConnectionResetError):
        while data := sock.recv(65536):
            received += data
    return received


def read_response(sock: socket.socket) -> tuple[bytes, bytes]:
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = sock.recv(65536)
        assert chunk, f"ended after {data!r}"
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    length = next(
        int(r.split(b":")[1]) for r in head.lower().split(b"\r\n") if r.startswith(b"content-length")
    )
    while len(body) < length:
        body += sock.recv(65536)
    return head, body


GET = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"
CLOSING_GET = b"GET /z HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"


def post_request(body: bytes, extra: bytes = b"") -> bytes:
    return b"POST /p HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n%s\r\n%s" % (len(body), extra, body)


def test_requests_on_one_connection_are_answered_in_order_with_and_without_pipelining(tmp_path: Path) -> None:
    server = ScriptedServer(respond_with_path)
    proxy = ProxyProcess(tmp_path, server.port)
    with proxy.running():
        with proxy.dial() as sock:
            for path in (b"/1", b"/2"):
                sock.sendall(b"GET %s HTTP/1.1\r\nhost: x\r\n\r\n" % path)
                assert read_response(sock)[1] == b"you asked " + path
        pipelined = b"".join(b"GET /%d HTTP/1.1\r\nhost: x\r\n\r\n" % k for k in range(200))
        response = proxy.send_and_read(pipelined + CLOSING_GET)
        bodies = [part.split(b"\r\n\r\n")[1] for part in response.split(b"HTTP/1.1 ")[1:]]
        assert bodies == [b"you asked /%d" % k for k in range(200)] + [b"you asked /z"]


def test_bodies_are_forwarded_in_both_directions_and_oversized_ones_are_not_buffered(
    tmp_path: Path,
) -> None:
    large_body = random.Random(1).randbytes(3_000_000)

    def respond_large(sock: socket.socket, _head: bytes, _number: int) -> bool:
        sock.sendall(http_response(large_body))
        return True

    server = ScriptedServer(respond_large)
    proxy = ProxyProcess(tmp_path, server.port)
    with proxy.running() as running, proxy.dial() as sock:
        sock.sendall(post_request(large_body))
        assert read_response(sock)[1] == large_body
        assert server.bodies == [large_body]
        # The request is rejected because of the content-length in its head.
        sock.sendall(post_request(large_body * 3)[:2000])
        assert sock.recv(12) == b"HTTP/1.1 413"
        resident_kb = int(Path(f"/proc/{running.pid}/statm").read_text().split()[1]) * 4
        assert resident_kb < 150_000


def test_slow_reader_pauses_the_server_and_is_disconnected(tmp_path: Path) -> None:
    sent_sizes: list[int] = []
    server_done = threading.Event()

    def send_200_mb(sock: socket.socket, _head: bytes, _number: int) -> bool:
        sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 200000000\r\n\r\n")
        try:
            for _ in range(2000):
                sock.sendall(b"x" * 100_000)
                sent_sizes.append(100_000)
        except OSError:
            pass
        server_done.set()
        return False

    proxy = ProxyProcess(tmp_path, ScriptedServer(send_200_mb).port)
    with proxy.running() as running, proxy.dial() as sock:
        sock.sendall(b"GET /a HTTP/1.1\r\nhost: x\r\nx-puffintide-deadline-ms: 60000\r\n\r\n")
        time.sleep(0.7)
        resident_kb = int(Path(f"/proc/{running.pid}/statm").read_text().split()[1]) * 4
        assert sum(sent_sizes) < 40_000_000
        assert resident_kb < 150_000
        assert server_done.wait(6)  # The proxy disconnects the client after head_s.


@pytest.mark.parametrize(
    ("fault", "status"),
    [
        ("close", b"502"),
        ("truncated", b""),
        ("silent", b"504"),
        ("garbage", b"502"),
        ("rejected", b"503"),
        ("slow", b"504"),
    ],
)
def test_non_idempotent_request_is_retried_only_if_provably_not_executed(
    tmp_path: Path, fault: str, status: bytes
) -> None:
    def respond_with_fault(sock: socket.socket, _head: bytes, _number: int) -> bool:
        match fault:
            case "truncated":
                sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf of")
            case "garbage":
                sock.sendall(b"SSH-2.0 hello\r\n\r\n")
            case "rejected":
                sock.sendall(http_response(b"", "503 Full", b"x-puffintide-ran: no\r\n"))
            case "silent":
                time.sleep(3)
            case "slow":
                with contextlib.suppress(OSError):
                    for byte in b"HTTP/1.1 200 OK\r\nx: " + b"y" * 99:
                        sock.sendall(bytes([byte]))
                        time.sleep(0.1)
        return False

    servers = [ScriptedServer(respond_with_fault), ScriptedServer(respond_with_fault)]
    proxy = ProxyProcess(tmp_path, *(s.port for s in servers), retry=1)
    with proxy.running():
        response = proxy.send_and_read(
            post_request(
                b"pay", b"x-puffintide-class: pay\r\nx-puffintide-deadline-ms: 900\r\nconnection: close\r\n"
            )
        )
        attempts = sum(len(s.heads) for s in servers)
        if fault == "truncated":
            assert response.endswith(b"half of")  # The closed connection shows that it is incomplete.
        else:
            assert response.split(b" ")[1] == status, response
            assert (b"x-puffintide-ran: no" in response) == (fault == "rejected")
        # Retried only after proof that it was not executed.
        assert attempts == (2 if fault == "rejected" else 1)
        assert (b"x-puffintide-again-ms" in response) == (fault == "rejected")


def test_request_is_retried_with_its_complete_body_after_a_refused_connection(tmp_path: Path) -> None:
    server = ScriptedServer(respond_with_path)
    proxy = ProxyProcess(tmp_path, PORTS.take(), server.port, retry=1)
    with proxy.running():
        for _ in range(4):
            with proxy.dial() as sock:
                sock.sendall(post_request(b"abc" * 1000, b"x-puffintide-class: pay\r\n"))
                assert read_response(sock)[1] == b"you asked /p"
    assert server.bodies == [b"abc" * 1000] * 4


INVALID_REQUESTS = [
    (b"GET /a HTTP/1.1\r\n\r\n", b"400"),  # No host header.
    (
        b"GET /a HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        b"400",
    ),
    (b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd", b"400"),
    (b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n", b"400"),
    (b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 3, 3\r\nx: y\r\n\r\nabcGET /b", None),
    (b"POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked, gzip\r\n\r\n", b"501"),
    (b"POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", b"400"),
    (b"GET /a HTTP/1.1\r\nhost: x\r\nbad header: 1\r\n\r\n", b"400"),
    (b"GET /a HTTP/1.1\r\nhost: x\r\nx: a\x00b\r\n\r\n", b"400"),
    (b"GET /a HTTP/1.1\r\nhost : x\r\n\r\n", b"400"),
    (b"GET /a b HTTP/1.1\r\nhost: x\r\n\r\n", b"400"),
    (b"GET /a HTTP/1.1\r\nhost: x\r\nx-long: " + b"y" * 20000 + b"\r\n\r\n", b"431"),
    (b"\x16\x03\x01\x02\x00\x01\x00", b"400"),
    (b"GET /a HTTP/1.1\r\nhost: x\r\nx-puffintide-class: king\r\n\r\n", b"400"),
    (b"GET /a HTTP/1.1\r\nhost: x\r\nx-puffintide-deadline-ms: soon\r\n\r\n", b"400"),
    (b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n", b"413"),
]


def test_invalid_framing_is_rejected_and_reaches_no_server(tmp_path: Path) -> None:
    server = ScriptedServer(respond_with_path)
    proxy = ProxyProcess(tmp_path, server.port)
    with proxy.running():
        for data, status in INVALID_REQUESTS:
            heads_before = len(server.heads)
            try:
                response = proxy.send_and_read(data + CLOSING_GET if status is None else data)
            except TimeoutError:
                pytest.fail(f"no response to {data[:80]!r}")
            if status is not None:
                assert response.split(b" ")[1] == status, (data[:80], response)
                assert len(server.heads) == heads_before, data[:80]
        # Bytes of a body that look like a request are not processed as a request.
        smuggled_request = b"GET /smuggled HTTP/1.1\r\nhost: x\r\n\r\n"
        proxy.send_and_read(post_request(smuggled_request, b"connection: close\r\n"))
        assert not any(b"smuggled" in head for head in server.heads)


def test_rejected_head_request_and_http_1_0_request_without_host_are_answered(tmp_path: Path) -> None:
    # Guards against an error within the proxy that left these requests open forever.
    server = ScriptedServer(respond_with_path)
    proxy = ProxyProcess(tmp_path, server.port)
    with proxy.running():
        response = proxy.send_and_read(b"HEAD /a HTTP/1.1\r\nhost: x\r\nx-puffintide-class: king\r\n\r\n")
        assert response.startswith(b"HTTP/1.1 400")
        assert response.endswith(b"\r\n\r\n")
        assert b"you asked /old" in proxy.send_and_read(b"GET /old HTTP/1.0\r\n\r\n")
        assert b"host:" in server.heads[-1].lower()  # HTTP/1.1 requires the header, HTTP/1.0 does not.


def test_incomplete_requests_time_out(tmp_path: Path) -> None:
    proxy = ProxyProcess(tmp_path, ScriptedServer(respond_with_path).port)
    with proxy.running(idle_s="1"):
        for data in (b"GET /a HT", b"GET /a HTTP/1.1\r\nhost: x\r\n", post_request(b"abc")[:-2], b""):
            started_at_s = time.monotonic()
            response = proxy.send_and_read(data)
            assert time.monotonic() - started_at_s < 5
            assert b"200" not in response


def test_random_and_damaged_requests_neither_stop_the_proxy_nor_grow_its_memory(tmp_path: Path) -> None:
    random_source = random.Random(7)
    server = ScriptedServer(respond_with_path)
    proxy = ProxyProcess(tmp_path, server.port)
    with proxy.running(head_s="0.2", idle_s="0.3") as running:

        def resident_kb() -> int:
            return int(Path(f"/proc/{running.pid}/statm").read_text().split()[1]) * 4

        for k in range(300):
            data = bytearray(random_source.choice((GET, post_request(b"x" * 50), GET + GET)))
            for _ in range(random_source.randint(1, 6)):
                data[random_source.randrange(len(data))] = random_source.randrange(256)
            with proxy.dial() as sock:
                sock.sendall(bytes(data) if k % 3 else random_source.randbytes(200))
                sock.shutdown(socket.SHUT_WR)
                read_to_end(sock)
            if k == 100:
                baseline_kb = resident_kb()
        assert running.poll() is None
        assert resident_kb() < baseline_kb + 20_000
        assert b"200" in proxy.send_and_read(CLOSING_GET)


@pytest.mark.parametrize("twice", [False, True])
def test_sigterm_completes_open_requests_and_accepts_no_new_ones(tmp_path: Path, twice: bool) -> None:
    request_received, may_respond = threading.Event(), threading.Event()

    def respond_when_allowed(sock: socket.socket, _head: bytes, _number: int) -> bool:
        request_received.set()
        assert may_respond.wait(15)
        sock.sendall(http_response(b"done"))
        return True

    proxy = ProxyProcess(tmp_path, ScriptedServer(respond_when_allowed).port)
    with proxy.running() as running, proxy.dial() as busy_client, proxy.dial() as idle_client:
        busy_client.sendall(GET)
        assert request_received.wait(15)
        busy_client.sendall(GET)  # Pipelined: the proxy has not started this request.
        running.send_signal(signal.SIGTERM)
        assert read_to_end(idle_client) == b""
        with pytest.raises(ConnectionRefusedError):
            proxy.dial()
        if twice:
            running.send_signal(signal.SIGTERM)
            assert running.wait(15) == 0
            assert read_to_end(busy_client) == b""
        may_respond.set()
        if not twice:
            head, body = read_response(busy_client)
            assert body == b"done"
            assert b"connection: close" in head.lower()
            assert read_to_end(busy_client) == b""
            assert running.wait(15) == 0
