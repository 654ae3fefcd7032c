"""TLS between real processes: who may speak as whom, and certificates that change while streams stand."""

from __future__ import annotations

import contextlib
import os
import socket
import ssl
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from puffintide.protocol import messages as m
from puffintide.protocol.codec import decode, encode
from puffintide.proxy.load_balancing import slice_for_key
from puffintide.proxy.state import SavedState, save_state
from puffintide.tls.context import TlsContextFactory
from puffintide.tls.errors import KeyCreationError, TlsError
from puffintide.tls.keys import certificate_name, create_authority, create_certificate
from tests.peers import PORTS, process

pytestmark = pytest.mark.processes


@pytest.fixture
def keys(tmp_path: Path) -> Path:
    folder = tmp_path / "keys"
    create_authority(folder)
    for role, number in (("store", 0), ("proxy", 3), ("assigner", 0)):
        create_certificate(folder, certificate_name(role, number, "t"))
    return folder


@pytest.fixture
def store(tmp_path: Path, keys: Path) -> Iterator[tuple[Any, int]]:
    port = PORTS.take()
    live = tmp_path / "live"
    live.mkdir()
    swap(keys, live, certificate_name("store", 0, "t"))
    tls = {"ca": str(keys / "ca.pem"), "cert": str(live / "cert.pem"), "key": str(live / "key.pem")}
    section = {"listen": f"127.0.0.1:{port}", "log": str(tmp_path / "store.log")}
    with process(tmp_path, "store", section, tls=tls) as running:
        yield running, port


def swap(keys: Path, live: Path, name: str) -> None:
    for kind, target in (("pem", "cert.pem"), ("key", "key.pem")):
        (live / "new").write_bytes((keys / f"{name}.{kind}").read_bytes())
        os.replace(live / "new", live / target)


def dial(port: int, folder: Path, name: str, authority: Path | None = None) -> ssl.SSLSocket:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.load_verify_locations((authority or folder) / "ca.pem")
    context.load_cert_chain(folder / f"{name}.pem", folder / f"{name}.key")
    sock = context.wrap_socket(socket.create_connection(("127.0.0.1", port), 5))
    sock.settimeout(5)
    return sock


def greet(sock: ssl.SSLSocket, role: str, number: int) -> m.AnyMessage | None:
    sock.sendall(encode(m.Hello(m.PROTOCOL_VERSION, role, number, 0, "t")) + b"\n")
    data = b""
    while b"\n" not in data:
        try:
            more = sock.recv(4096)
        except (ConnectionResetError, ssl.SSLError):
            return None
        if not more:
            return None
        data += more
    return decode(data.split(b"\n")[0])


def test_a_peer_has_the_identity_of_its_certificate(keys: Path, store: Any) -> None:
    _, port = store
    with dial(port, keys, certificate_name("proxy", 3, "t")) as sock:
        assert greet(sock, "proxy", 3) == m.Welcome(m.PROTOCOL_VERSION, "store", 0)
    for role, number in (("assigner", 0), ("proxy", 4)):
        with dial(port, keys, certificate_name("proxy", 3, "t")) as sock:
            refusal = greet(sock, role, number)
            assert isinstance(refusal, m.ConnectionRejected)
            assert f"not {certificate_name(role, number, 't')}" in refusal.reason


def test_peers_with_a_foreign_expired_or_no_certificate_are_rejected(
    keys: Path, store: Any, tmp_path: Path
) -> None:
    _, port = store
    other = tmp_path / "other"
    create_authority(other)
    create_certificate(other, certificate_name("proxy", 3, "t"))
    create_certificate(keys, "old.t.puffintide", days=-1)
    (keys / "x.pem").write_bytes((keys / "old.t.puffintide.pem").read_bytes())
    for folder, name in ((other, certificate_name("proxy", 3, "t")), (keys, "old.t.puffintide")):
        try:
            with dial(port, folder, name, authority=keys) as sock:
                assert greet(sock, "proxy", 3) is None
        except (ssl.SSLError, ConnectionResetError):
            pass
    with socket.create_connection(("127.0.0.1", port), 5) as bare:
        bare.sendall(encode(m.Hello(m.PROTOCOL_VERSION, "proxy", 3, 0, "t")) + b"\n")
        bare.settimeout(5)
        assert b"welcome" not in bare.recv(4096)


def shown(sock: ssl.SSLSocket) -> bytes:
    found = sock.getpeercert(binary_form=True)
    assert found
    return found


def test_a_new_certificate_is_used_for_the_next_stream_and_closes_none(
    keys: Path, store: Any, tmp_path: Path
) -> None:
    _, port = store
    first = dial(port, keys, certificate_name("proxy", 3, "t"))
    assert isinstance(greet(first, "proxy", 3), m.Welcome)
    renewed = tmp_path / "renewed"
    renewed.mkdir()
    for name in ("ca.pem", "ca.key"):
        (renewed / name).write_bytes((keys / name).read_bytes())
    create_certificate(renewed, certificate_name("store", 0, "t"))
    swap(renewed, tmp_path / "live", certificate_name("store", 0, "t"))
    second = dial(port, keys, certificate_name("proxy", 3, "t"))
    assert shown(second) != shown(first)
    (tmp_path / "live" / "cert.pem").write_bytes(
        b"half a certif"
    )  # a bad one: the last good stays, and it is told
    third = dial(port, keys, certificate_name("proxy", 3, "t"))
    assert shown(third) == shown(second)
    assert "certificate_load_failed" in (tmp_path / "store.log").read_text()
    first.sendall(encode(m.ReadRequest()) + b"\n")
    end = time.monotonic() + 5
    data = b""
    while b"read_end" not in data:
        assert time.monotonic() < end
        data += first.recv(4096)  # the first stream still stands


def test_an_assigner_rejects_a_store_with_another_name(keys: Path, tmp_path: Path) -> None:
    """The proxy's certificate is good, but it is not the store's."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    name = certificate_name("proxy", 3, "t")
    context.load_cert_chain(keys / f"{name}.pem", keys / f"{name}.key")
    listener = socket.create_server(("127.0.0.1", 0))
    listener.settimeout(10)
    me = certificate_name("assigner", 0, "t")
    tls = {"ca": str(keys / "ca.pem"), "cert": str(keys / f"{me}.pem"), "key": str(keys / f"{me}.key")}
    section = {
        "id": "0",
        "listen": f"127.0.0.1:{PORTS.take()}",
        "store": f"127.0.0.1:{listener.getsockname()[1]}",
        "list": f"127.0.0.1:{PORTS.take()}",
    }
    with process(tmp_path, "assigner", section, tls=tls):
        sock = context.wrap_socket(listener.accept()[0], server_side=True)
        sock.settimeout(5)
        assert b"hello" in sock.recv(4096)
        sock.sendall(encode(m.Welcome(m.PROTOCOL_VERSION, "store", 0)) + b"\n")
        reply = decode(sock.recv(4096).split(b"\n")[0])
        assert isinstance(reply, m.ConnectionRejected)
        assert "not store-0.t.puffintide" in reply.reason


class Secure:
    """An HTTPS server that takes its time for each handshake and notes how many are under way at once."""

    def __init__(self, keys: Path, name: str, slow_s: float) -> None:
        self.port = PORTS.take()
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.load_cert_chain(keys / f"{name}.pem", keys / f"{name}.key")
        self.context.load_verify_locations(keys / "ca.pem")
        self.context.verify_mode = ssl.CERT_REQUIRED
        self.slow_s, self.lock = slow_s, threading.Lock()
        self.under_way = 0
        self.most: list[int] = []  # under way as each began
        self.asked = 0
        self.listener = socket.create_server(("127.0.0.1", self.port), backlog=100)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock = self.listener.accept()[0]
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, raw: socket.socket) -> None:
        with self.lock:
            self.under_way += 1
            self.most.append(self.under_way)
        time.sleep(self.slow_s)
        with self.lock:
            self.under_way -= 1
        with contextlib.suppress(OSError):
            sock = self.context.wrap_socket(raw, server_side=True)
            while data := sock.recv(65536):
                self.asked += data.count(b"GET ")
                time.sleep(0.05)
                sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")


def test_connections_to_http_servers_use_tls_check_the_name_and_open_few_at_once(
    keys: Path, tmp_path: Path
) -> None:
    for number in (0, 1):
        create_certificate(keys, certificate_name("server", number, "t"))
    right = Secure(keys, certificate_name("server", 0, "t"), 0.1)
    wrong = Secure(keys, certificate_name("server", 1, "t"), 0.0)  # the tables call it server 2
    held = [
        [m.TableEntry(0, 1.0, f"127.0.0.1:{right.port}")],
        [m.TableEntry(2, 1.0, f"127.0.0.1:{wrong.port}")],
    ]
    charges = [m.SliceOwnership(n, 1, 0, held[n]) for n in range(2)]
    save_state(str(tmp_path / "tables.json"), SavedState(1, 0.0, charges, {}, []))
    key = {slice_for_key(text, 2): text for text in (b"a", b"b", b"c", b"d", b"e")}
    port, nobody = PORTS.take(), PORTS.take()
    section = {
        "id": "3",
        "listen": f"127.0.0.1:{PORTS.take()}",
        "http": f"127.0.0.1:{port}",
        "connect_s": "2",
        "assigners": f"127.0.0.1:{nobody}",
        "store": f"127.0.0.1:{nobody}",
        "state": str(tmp_path / "tables.json"),
    }
    name = str(keys / certificate_name("proxy", 3, "t"))
    tls = {"ca": str(keys / "ca.pem"), "cert": f"{name}.pem", "key": f"{name}.key"}

    def ask(slice_number: int) -> bytes:
        with dial(port, keys, certificate_name("proxy", 3, "t")) as sock:
            text = key[slice_number]
            sock.sendall(
                b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-puffintide-key: %s\r\n\r\n" % text
            )
            data = b""
            while more := sock.recv(65536):
                data += more
            return data

    with process(tmp_path, "proxy", section, deployment={"slices": "2"}, tls=tls):
        with ThreadPoolExecutor(20) as pool:
            found = list(pool.map(ask, [0] * 20))
        assert all(b" 200 " in answer for answer in found)
        # Twenty at once: one connection is tried, then two, then four; none opens before another has stood.
        assert right.most[0] == 1
        assert max(right.most) < 10
        assert len(right.most) < 20
        refused = ask(1)
        assert b" 503 " in refused
        assert b"x-puffintide-ran: no" in refused
        assert wrong.asked == 0


def test_unusable_files_are_errors(keys: Path, tmp_path: Path) -> None:
    good = [
        str(keys / "ca.pem"),
        str(keys / "store-0.t.puffintide.pem"),
        str(keys / "store-0.t.puffintide.key"),
    ]
    TlsContextFactory(good[0], good[1], good[2])
    (tmp_path / "bad.pem").write_text("no certificate")
    for place, path in ((0, "bad.pem"), (1, "bad.pem"), (2, "bad.pem"), (1, "none.pem"), (2, "keys/ca.key")):
        files = list(good)
        files[place] = str(tmp_path / path)
        with pytest.raises(TlsError, match=path.rpartition("/")[2]):
            TlsContextFactory(files[0], files[1], files[2])
    with pytest.raises(KeyCreationError, match="already"):
        create_certificate(keys, certificate_name("store", 0, "t"))
    words = [
        sys.executable,
        "-m",
        "puffintide",
        "keys",
        str(tmp_path / "made"),
        "store-0",
        "--deployment",
        "d",
    ]
    assert subprocess.run(words, capture_output=True, timeout=20).returncode == 0
    assert (tmp_path / "made" / "store-0.d.puffintide.key").stat().st_mode & 0o077 == 0
    again = subprocess.run(words, capture_output=True, text=True, timeout=20)
    assert again.returncode == 2
    assert "already" in again.stderr
