"""The HTTP front and back of a real proxy process: framing, bodies, slow and broken peers, abuse."""

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


class Server:
    """A scripted HTTP server: the handler gets each request's head and says whether to go on."""

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
                    more = sock.recv(65536)
                    if not more:
                        return
                    data += more
                head, _, data = data.partition(b"\r\n\r\n")
                length = 0
                for row in head.lower().split(b"\r\n"):
                    if row.startswith(b"content-length:"):
                        length = int(row.split(b":")[1])
                while len(data) < length:
                    data += sock.recv(65536)
                body, data = data[:length], data[length:]
                self.heads.append(head)
                self.bodies.append(body)
                if not self.handler(sock, head, len(self.heads)):
                    sock.close()
                    return


def answer(body: bytes = b"hello", status: str = "200 OK", extra: bytes = b"") -> bytes:
    head = f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n".encode()
    return head + extra + b"\r\n" + body


def good(sock: socket.socket, head: bytes, _number: int) -> bool:
    path = head.split(b" ")[1]
    sock.sendall(answer(b"you asked " + path))
    return True


class Proxy:
    def __init__(self, tmp: Path, *ports: int, retry: int = 0) -> None:
        self.tmp, self.port, self.nobody = tmp, PORTS.take(), PORTS.take()
        held = [m.TableEntry(s, 1.0, f"127.0.0.1:{p}") for s, p in enumerate(ports)]
        saved = SavedState(
            1,
            0.0,
            [m.SliceOwnership(0, 1, 0, held)],
            {},
            [(0, [(0xFFFF, m.AdmissionLevel(0xFFFF, 0, 1.0, retry))])],
        )
        save_state(str(tmp / "tables.json"), saved)

    @contextlib.contextmanager
    def running(self, **section: str) -> Iterator[Any]:
        made = {
            "id": "0",
            "listen": f"127.0.0.1:{PORTS.take()}",
            "http": f"127.0.0.1:{self.port}",
            "assigners": f"127.0.0.1:{self.nobody}",
            "store": f"127.0.0.1:{self.nobody}",
            "state": str(self.tmp / "tables.json"),
            "head_s": "1",
            **section,
        }
        classes = {"class pay": {"effect": "once", "aim_s": "1", "deadline_s": "2"}}
        with process(
            self.tmp, "proxy", made, deployment={"slices": "1", "hold_s": "0.2"}, **classes
        ) as running:
            yield running

    def dial(self) -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", self.port), 5)
        sock.settimeout(8)
        return sock

    def ask(self, data: bytes) -> bytes:
        """All that comes back until the proxy closes."""
        with self.dial() as sock:
            sock.sendall(data)
            return rest(sock)


def rest(sock: socket.socket) -> bytes:
    out = b""
    with contextlib.suppress(ConnectionResetError):
        while data := sock.recv(65536):
            out += data
    return out


def read_one(sock: socket.socket) -> tuple[bytes, bytes]:
    data = b""
    while b"\r\n\r\n" not in data:
        more = sock.recv(65536)
        assert more, f"ended after {data!r}"
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    length = next(
        int(r.split(b":")[1]) for r in head.lower().split(b"\r\n") if r.startswith(b"content-length")
    )
    while len(body) < length:
        body += sock.recv(65536)
    return head, body


GET = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"
LAST = b"GET /z HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"


def post(body: bytes, extra: bytes = b"") -> bytes:
    return b"POST /p HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n%s\r\n%s" % (len(body), extra, body)


def test_requests_on_one_connection_are_answered_in_order_with_and_without_pipelining(tmp_path: Path) -> None:
    server = Server(good)
    proxy = Proxy(tmp_path, server.port)
    with proxy.running():
        with proxy.dial() as sock:
            for path in (b"/1", b"/2"):
                sock.sendall(b"GET %s HTTP/1.1\r\nhost: x\r\n\r\n" % path)
                assert read_one(sock)[1] == b"you asked " + path
        many = b"".join(b"GET /%d HTTP/1.1\r\nhost: x\r\n\r\n" % k for k in range(200))
        found = proxy.ask(many + LAST)
        bodies = [part.split(b"\r\n\r\n")[1] for part in found.split(b"HTTP/1.1 ")[1:]]
        assert bodies == [b"you asked /%d" % k for k in range(200)] + [b"you asked /z"]


def test_bodies_are_forwarded_completely_in_both_directions_and_large_ones_are_not_buffered(
    tmp_path: Path,
) -> None:
    big = random.Random(1).randbytes(3_000_000)

    def echo(sock: socket.socket, _head: bytes, _number: int) -> bool:
        sock.sendall(answer(big))
        return True

    server = Server(echo)
    proxy = Proxy(tmp_path, server.port)
    with proxy.running() as running, proxy.dial() as sock:
        sock.sendall(post(big))
        assert read_one(sock)[1] == big
        assert server.bodies == [big]
        sock.sendall(post(big * 3)[:2000])  # its length is told in its head
        assert sock.recv(12) == b"HTTP/1.1 413"
        rss = int(Path(f"/proc/{running.pid}/statm").read_text().split()[1]) * 4
        assert rss < 150_000


def test_a_slow_reader_pauses_the_server_and_is_disconnected(tmp_path: Path) -> None:
    sent: list[int] = []
    done = threading.Event()

    def flood(sock: socket.socket, _head: bytes, _number: int) -> bool:
        sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 200000000\r\n\r\n")
        try:
            for _ in range(2000):
                sock.sendall(b"x" * 100_000)
                sent.append(100_000)
        except OSError:
            pass
        done.set()
        return False

    proxy = Proxy(tmp_path, Server(flood).port)
    with proxy.running() as running, proxy.dial() as sock:
        sock.sendall(b"GET /a HTTP/1.1\r\nhost: x\r\nx-puffintide-deadline-ms: 60000\r\n\r\n")
        time.sleep(0.7)
        rss = int(Path(f"/proc/{running.pid}/statm").read_text().split()[1]) * 4
        assert sum(sent) < 40_000_000
        assert rss < 150_000
        assert done.wait(6)  # head_s later the client is gone


@pytest.mark.parametrize(
    ("how", "status"),
    [
        ("close", b"502"),
        ("half", b""),
        ("silent", b"504"),
        ("rubbish", b"502"),
        ("full", b"503"),
        ("byte", b"504"),
    ],
)
def test_a_non_idempotent_request_meets_a_faulty_server(tmp_path: Path, how: str, status: bytes) -> None:
    def bad(sock: socket.socket, _head: bytes, _number: int) -> bool:
        match how:
            case "half":
                sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf of")
            case "rubbish":
                sock.sendall(b"SSH-2.0 hello\r\n\r\n")
            case "full":
                sock.sendall(answer(b"", "503 Full", b"x-puffintide-ran: no\r\n"))
            case "silent":
                time.sleep(3)
            case "byte":
                with contextlib.suppress(OSError):
                    for byte in b"HTTP/1.1 200 OK\r\nx: " + b"y" * 99:
                        sock.sendall(bytes([byte]))
                        time.sleep(0.1)
        return False

    servers = [Server(bad), Server(bad)]
    proxy = Proxy(tmp_path, *(s.port for s in servers), retry=1)
    with proxy.running():
        found = proxy.ask(
            post(b"pay", b"x-puffintide-class: pay\r\nx-puffintide-deadline-ms: 900\r\nconnection: close\r\n")
        )
        heads = sum(len(s.heads) for s in servers)
        if how == "half":
            assert found.endswith(b"half of")  # cut short, so that it can't be taken for whole
        else:
            assert found.split(b" ")[1] == status, found
            assert (b"x-puffintide-ran: no" in found) == (how == "full")
        assert heads == (2 if how == "full" else 1)  # only with proof is it sent again
        assert (b"x-puffintide-again-ms" in found) == (how == "full")


def test_after_a_refused_connection_the_request_is_retried_with_its_complete_body(tmp_path: Path) -> None:
    server = Server(good)
    proxy = Proxy(tmp_path, PORTS.take(), server.port, retry=1)
    with proxy.running():
        for _ in range(4):
            with proxy.dial() as sock:
                sock.sendall(post(b"abc" * 1000, b"x-puffintide-class: pay\r\n"))
                assert read_one(sock)[1] == b"you asked /p"
    assert server.bodies == [b"abc" * 1000] * 4


ABUSE = [
    (b"GET /a HTTP/1.1\r\n\r\n", b"400"),  # no host
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
    server = Server(good)
    proxy = Proxy(tmp_path, server.port)
    with proxy.running():
        for data, status in ABUSE:
            before = len(server.heads)
            try:
                found = proxy.ask(data + LAST if status is None else data)
            except TimeoutError:
                pytest.fail(f"no answer to {data[:80]!r}")
            if status is not None:
                assert found.split(b" ")[1] == status, (data[:80], found)
                assert len(server.heads) == before, data[:80]
        # What is smuggled in a body stays a body.
        inner = b"GET /smuggled HTTP/1.1\r\nhost: x\r\n\r\n"
        proxy.ask(post(inner, b"connection: close\r\n"))
        assert not any(b"smuggled" in head for head in server.heads)


def test_rare_but_valid_requests_leave_no_state_behind(tmp_path: Path) -> None:
    # Both once ended in an error within the proxy, and the request was held for ever.
    server = Server(good)
    proxy = Proxy(tmp_path, server.port)
    with proxy.running():
        found = proxy.ask(b"HEAD /a HTTP/1.1\r\nhost: x\r\nx-puffintide-class: king\r\n\r\n")
        assert found.startswith(b"HTTP/1.1 400")
        assert found.endswith(b"\r\n\r\n")
        assert b"you asked /old" in proxy.ask(b"GET /old HTTP/1.0\r\n\r\n")
        assert b"host:" in server.heads[-1].lower()  # 1.1 wants one, 1.0 may leave it out


def test_incomplete_requests_time_out(tmp_path: Path) -> None:
    proxy = Proxy(tmp_path, Server(good).port)
    with proxy.running(idle_s="1"):
        for data in (b"GET /a HT", b"GET /a HTTP/1.1\r\nhost: x\r\n", post(b"abc")[:-2], b""):
            began = time.monotonic()
            found = proxy.ask(data)
            assert time.monotonic() - began < 5
            assert b"200" not in found


def test_random_and_damaged_requests_neither_stop_the_proxy_nor_grow_its_memory(tmp_path: Path) -> None:
    rng = random.Random(7)
    server = Server(good)
    proxy = Proxy(tmp_path, server.port)
    with proxy.running(head_s="0.2", idle_s="0.3") as running:

        def rss() -> int:
            return int(Path(f"/proc/{running.pid}/statm").read_text().split()[1]) * 4

        for k in range(300):
            data = bytearray(rng.choice((GET, post(b"x" * 50), GET + GET)))
            for _ in range(rng.randint(1, 6)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            with proxy.dial() as sock:
                sock.sendall(bytes(data) if k % 3 else rng.randbytes(200))
                sock.shutdown(socket.SHUT_WR)
                rest(sock)
            if k == 100:
                first = rss()
        assert running.poll() is None
        assert rss() < first + 20_000
        assert b"200" in proxy.ask(LAST)


@pytest.mark.parametrize("twice", [False, True])
def test_sigterm_completes_open_requests_and_accepts_no_new_ones(tmp_path: Path, twice: bool) -> None:
    asked, go = threading.Event(), threading.Event()

    def held(sock: socket.socket, _head: bytes, _number: int) -> bool:
        asked.set()
        assert go.wait(15)
        sock.sendall(answer(b"done"))
        return True

    proxy = Proxy(tmp_path, Server(held).port)
    with proxy.running() as running, proxy.dial() as busy, proxy.dial() as idle:
        busy.sendall(GET)
        assert asked.wait(15)
        busy.sendall(GET)  # pipelined: it has not begun
        running.send_signal(signal.SIGTERM)
        assert rest(idle) == b""
        with pytest.raises(ConnectionRefusedError):
            proxy.dial()
        if twice:
            running.send_signal(signal.SIGTERM)
            assert running.wait(15) == 0
            assert rest(busy) == b""
        go.set()
        if not twice:
            head, body = read_one(busy)
            assert body == b"done"
            assert b"connection: close" in head.lower()
            assert rest(busy) == b""
            assert running.wait(15) == 0
