"""TLS between real processes: identities of peers, and certificates that change while streams are open."""

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
    live_folder = tmp_path / "live"
    live_folder.mkdir()
    install_certificate(keys, live_folder, certificate_name("store", 0, "t"))
    tls = {
        "ca": str(keys / "ca.pem"),
        "cert": str(live_folder / "cert.pem"),
        "key": str(live_folder / "key.pem"),
    }
    section = {"listen": f"127.0.0.1:{port}", "log": str(tmp_path / "store.log")}
    with process(tmp_path, "store", section, tls=tls) as running:
        yield running, port


def install_certificate(keys: Path, live_folder: Path, name: str) -> None:
    for kind, target in (("pem", "cert.pem"), ("key", "key.pem")):
        (live_folder / "new").write_bytes((keys / f"{name}.{kind}").read_bytes())
        os.replace(live_folder / "new", live_folder / target)


def connect(port: int, folder: Path, name: str, authority: Path | None = None) -> ssl.SSLSocket:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.load_verify_locations((authority or folder) / "ca.pem")
    context.load_cert_chain(folder / f"{name}.pem", folder / f"{name}.key")
    sock = context.wrap_socket(socket.create_connection(("127.0.0.1", port), 5))
    sock.settimeout(5)
    return sock


def exchange_greetings(sock: ssl.SSLSocket, role: str, number: int) -> m.AnyMessage | None:
    sock.sendall(encode(m.Hello(m.PROTOCOL_VERSION, role, number, 0, "t")) + b"\n")
    data = b""
    while b"\n" not in data:
        try:
            chunk = sock.recv(4096)
        except (ConnectionResetError, ssl.SSLError):
            return None
        if not chunk:
            return None
        data += chunk
    return decode(data.split(b"\n")[0])


def test_peer_must_greet_with_the_identity_of_its_certificate(keys: Path, store: Any) -> None:
    _, port = store
    with connect(port, keys, certificate_name("proxy", 3, "t")) as sock:
        assert exchange_greetings(sock, "proxy", 3) == m.Welcome(m.PROTOCOL_VERSION, "store", 0)
    for role, number in (("assigner", 0), ("proxy", 4)):
        with connect(port, keys, certificate_name("proxy", 3, "t")) as sock:
            rejection = exchange_greetings(sock, role, number)
            assert isinstance(rejection, m.ConnectionRejected)
            assert f"not {certificate_name(role, number, 't')}" in rejection.reason


def test_peers_with_a_foreign_expired_or_no_certificate_are_rejected(
    keys: Path, store: Any, tmp_path: Path
) -> None:
    _, port = store
    foreign_folder = tmp_path / "other"
    create_authority(foreign_folder)
    create_certificate(foreign_folder, certificate_name("proxy", 3, "t"))
    create_certificate(keys, "old.t.puffintide", days=-1)
    (keys / "x.pem").write_bytes((keys / "old.t.puffintide.pem").read_bytes())
    for folder, name in ((foreign_folder, certificate_name("proxy", 3, "t")), (keys, "old.t.puffintide")):
        try:
            with connect(port, folder, name, authority=keys) as sock:
                assert exchange_greetings(sock, "proxy", 3) is None
        except (ssl.SSLError, ConnectionResetError):
            pass
    with socket.create_connection(("127.0.0.1", port), 5) as plain_socket:
        plain_socket.sendall(encode(m.Hello(m.PROTOCOL_VERSION, "proxy", 3, 0, "t")) + b"\n")
        plain_socket.settimeout(5)
        assert b"welcome" not in plain_socket.recv(4096)


def peer_certificate(sock: ssl.SSLSocket) -> bytes:
    certificate = sock.getpeercert(binary_form=True)
    assert certificate
    return certificate


def test_new_certificate_is_used_for_new_streams_and_closes_none(
    keys: Path, store: Any, tmp_path: Path
) -> None:
    _, port = store
    first = connect(port, keys, certificate_name("proxy", 3, "t"))
    assert isinstance(exchange_greetings(first, "proxy", 3), m.Welcome)
    renewed_folder = tmp_path / "renewed"
    renewed_folder.mkdir()
    for name in ("ca.pem", "ca.key"):
        (renewed_folder / name).write_bytes((keys / name).read_bytes())
    create_certificate(renewed_folder, certificate_name("store", 0, "t"))
    install_certificate(renewed_folder, tmp_path / "live", certificate_name("store", 0, "t"))
    second = connect(port, keys, certificate_name("proxy", 3, "t"))
    assert peer_certificate(second) != peer_certificate(first)
    # An invalid file is logged, and the last valid certificate stays in use.
    (tmp_path / "live" / "cert.pem").write_bytes(b"half a certif")
    third = connect(port, keys, certificate_name("proxy", 3, "t"))
    assert peer_certificate(third) == peer_certificate(second)
    assert "certificate_load_failed" in (tmp_path / "store.log").read_text()
    first.sendall(encode(m.ReadRequest()) + b"\n")
    deadline_s = time.monotonic() + 5
    data = b""
    while b"read_end" not in data:
        assert time.monotonic() < deadline_s
        data += first.recv(4096)  # The first stream is still open.


def test_assigner_rejects_a_store_with_the_certificate_of_another_peer(keys: Path, tmp_path: Path) -> None:
    """The scripted store presents a valid certificate of a proxy."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    name = certificate_name("proxy", 3, "t")
    context.load_cert_chain(keys / f"{name}.pem", keys / f"{name}.key")
    listener = socket.create_server(("127.0.0.1", 0))
    listener.settimeout(10)
    assigner_name = certificate_name("assigner", 0, "t")
    tls = {
        "ca": str(keys / "ca.pem"),
        "cert": str(keys / f"{assigner_name}.pem"),
        "key": str(keys / f"{assigner_name}.key"),
    }
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
        rejection = decode(sock.recv(4096).split(b"\n")[0])
        assert isinstance(rejection, m.ConnectionRejected)
        assert "not store-0.t.puffintide" in rejection.reason


class SlowTlsServer:
    """An HTTPS server that delays each handshake and counts concurrent handshakes."""

    def __init__(self, keys: Path, name: str, handshake_delay_s: float) -> None:
        self.port = PORTS.take()
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.load_cert_chain(keys / f"{name}.pem", keys / f"{name}.key")
        self.context.load_verify_locations(keys / "ca.pem")
        self.context.verify_mode = ssl.CERT_REQUIRED
        self.handshake_delay_s, self.lock = handshake_delay_s, threading.Lock()
        self.open_handshakes = 0
        self.handshakes_at_accept: list[int] = []  # Open handshakes as each connection is accepted.
        self.request_count = 0
        self.listener = socket.create_server(("127.0.0.1", self.port), backlog=100)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock = self.listener.accept()[0]
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, raw: socket.socket) -> None:
        with self.lock:
            self.open_handshakes += 1
            self.handshakes_at_accept.append(self.open_handshakes)
        time.sleep(self.handshake_delay_s)
        with self.lock:
            self.open_handshakes -= 1
        with contextlib.suppress(OSError):
            sock = self.context.wrap_socket(raw, server_side=True)
            while data := sock.recv(65536):
                self.request_count += data.count(b"GET ")
                time.sleep(0.05)
                sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")


def test_connections_to_http_servers_check_the_certificate_name_and_limit_concurrent_handshakes(
    keys: Path, tmp_path: Path
) -> None:
    for number in (0, 1):
        create_certificate(keys, certificate_name("server", number, "t"))
    valid_server = SlowTlsServer(keys, certificate_name("server", 0, "t"), 0.1)
    # The tables name it server 2, its certificate server 1.
    mismatched_server = SlowTlsServer(keys, certificate_name("server", 1, "t"), 0.0)
    entries = [
        [m.TableEntry(0, 1.0, f"127.0.0.1:{valid_server.port}")],
        [m.TableEntry(2, 1.0, f"127.0.0.1:{mismatched_server.port}")],
    ]
    ownerships = [m.SliceOwnership(n, 1, 0, entries[n]) for n in range(2)]
    save_state(str(tmp_path / "tables.json"), SavedState(1, 0.0, ownerships, {}, []))
    key_by_slice = {slice_for_key(text, 2): text for text in (b"a", b"b", b"c", b"d", b"e")}
    port, unused_port = PORTS.take(), PORTS.take()
    section = {
        "id": "3",
        "listen": f"127.0.0.1:{PORTS.take()}",
        "http": f"127.0.0.1:{port}",
        "connect_s": "2",
        "assigners": f"127.0.0.1:{unused_port}",
        "store": f"127.0.0.1:{unused_port}",
        "state": str(tmp_path / "tables.json"),
    }
    name = str(keys / certificate_name("proxy", 3, "t"))
    tls = {"ca": str(keys / "ca.pem"), "cert": f"{name}.pem", "key": f"{name}.key"}

    def get(slice_id: int) -> bytes:
        with connect(port, keys, certificate_name("proxy", 3, "t")) as sock:
            text = key_by_slice[slice_id]
            sock.sendall(
                b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-puffintide-key: %s\r\n\r\n" % text
            )
            data = b""
            while chunk := sock.recv(65536):
                data += chunk
            return data

    with process(tmp_path, "proxy", section, deployment={"slices": "2"}, tls=tls):
        with ThreadPoolExecutor(20) as pool:
            responses = list(pool.map(get, [0] * 20))
        assert all(b" 200 " in response for response in responses)
        # For 20 simultaneous requests the proxy opens one connection, then two, then four, each time after
        # earlier ones have been established.
        assert valid_server.handshakes_at_accept[0] == 1
        assert max(valid_server.handshakes_at_accept) < 10
        assert len(valid_server.handshakes_at_accept) < 20
        mismatch_response = get(1)
        assert b" 503 " in mismatch_response
        assert b"x-puffintide-ran: no" in mismatch_response
        assert mismatched_server.request_count == 0


def test_unusable_certificate_files_are_errors(keys: Path, tmp_path: Path) -> None:
    valid_files = [
        str(keys / "ca.pem"),
        str(keys / "store-0.t.puffintide.pem"),
        str(keys / "store-0.t.puffintide.key"),
    ]
    TlsContextFactory(valid_files[0], valid_files[1], valid_files[2])
    (tmp_path / "bad.pem").write_text("no certificate")
    for index, path in ((0, "bad.pem"), (1, "bad.pem"), (2, "bad.pem"), (1, "none.pem"), (2, "keys/ca.key")):
        files = list(valid_files)
        files[index] = str(tmp_path / path)
        with pytest.raises(TlsError, match=path.rpartition("/")[2]):
            TlsContextFactory(files[0], files[1], files[2])
    with pytest.raises(KeyCreationError, match="already"):
        create_certificate(keys, certificate_name("store", 0, "t"))
    command = [
        sys.executable,
        "-m",
        "puffintide",
        "keys",
        str(tmp_path / "made"),
        "store-0",
        "--deployment",
        "d",
    ]
    assert subprocess.run(command, capture_output=True, timeout=20).returncode == 0
    assert (tmp_path / "made" / "store-0.d.puffintide.key").stat().st_mode & 0o077 == 0
    second_run = subprocess.run(command, capture_output=True, text=True, timeout=20)
    assert second_run.returncode == 2
    assert "already" in second_run.stderr
