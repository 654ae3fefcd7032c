"""HTTP clients that send slowly, too much or too fast: a real proxy serves others, and its memory is bounded."""

from __future__ import annotations

import socket
import struct
import time
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from pathlib import Path
from typing import Any

import pytest

from tests.hostile_clients import Observation, connected_clients, flood
from tests.test_http import CLOSING_GET, GET, ProxyProcess, ScriptedServer, http_response, respond_with_path

pytestmark = pytest.mark.processes

CLIENT_COUNT = 600
WATCHED_S = 3.0
LATENCY_OBJECTIVE_S = 1.0  # aim_s of the class of the probes.
# Bytes that a client's head and replayable body may take, by the defaults of head_most and replay_most.
CLIENT_BYTES = 16384 + 65536
BASE_BYTES = 16 << 20  # Bytes that buffers of the process and its allocator may take beside them.

CHUNKED = b"POST /p HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
SHORT_FIELDS = b"POST /a HTTP/1.1\r\nhost: x\r\n" + b"a:\r\n" * 4050
SHORT_TRAILERS = CHUNKED + b"0\r\n" + b"a:\r\n" * 4050 + b"\r\n"
HALF_BODY = b"POST /p HTTP/1.1\r\nhost: x\r\ncontent-length: 8000000\r\n\r\n" + b"x" * 200_000
NEW_KEYS = b"".join(
    b"GET /%d HTTP/1.1\r\nhost: x\r\nx-puffintide-key: k%d\r\n\r\n" % (k, k) for k in range(20_000)
)

Attack = Callable[[int], AbstractContextManager[Any]]
# What each of many clients sends, one part after the other.
CLIENT_GROUPS: dict[str, list[bytes]] = {
    "heads of short fields, incomplete": [SHORT_FIELDS],
    "heads of short fields": [SHORT_FIELDS + b"content-length: 9\r\n\r\n"],
    "trailers of short fields": [SHORT_TRAILERS],
    "malformed chunks": [CHUNKED + b"zz\r\n"],
    "heads in many parts": [b"GET /a HTTP/1.1\r\n", *[b"x: y\r\n"] * 40],
    "bodies of one-byte chunks": [CHUNKED + b"1\r\nx\r\n" * 40_000],
    "half of a large body": [HALF_BODY],
}
FLOODS: dict[str, Attack] = {
    "pipelined, responses unread": lambda port: flood(port, GET * 2000),
    "pipelined, responses read": lambda port: flood(port, GET * 2000, reads=True),
    "pipelined, new keys": lambda port: flood(port, NEW_KEYS, reads=True),
    "chunks of one byte": lambda port: flood(port, b"1\r\nx\r\n" * 10_000, greeting=CHUNKED),
    "fields without end": lambda port: flood(port, b"a:\r\n" * 10_000, greeting=b"GET / HTTP/1.1\r\n"),
}


@pytest.fixture
def proxy(tmp_path: Path) -> Iterator[tuple[ProxyProcess, Any]]:
    """Run a proxy and one server."""
    proxy = ProxyProcess(tmp_path, ScriptedServer(respond_with_path).port)
    with proxy.running() as running:
        yield proxy, running


def observe(proxy: ProxyProcess, running: Any, attack: Attack) -> Observation:
    def probe() -> None:
        if not proxy.send_and_read(CLOSING_GET):
            raise ConnectionError("no response")

    for _ in range(3):
        probe()
    observation = Observation(running.pid)
    try:
        with attack(proxy.port):
            observation.watch(probe, WATCHED_S)
    finally:
        observation.stop()
    assert running.poll() is None
    return observation


# Guards against memory for each short field of a head, and for each byte of a body that a retry sends again.
@pytest.mark.parametrize("name", CLIENT_GROUPS)
def test_many_slow_clients_cost_little_memory_and_delays_no_other(
    proxy: tuple[ProxyProcess, Any], name: str
) -> None:
    observation = observe(*proxy, lambda port: connected_clients(port, CLIENT_COUNT, *CLIENT_GROUPS[name]))
    assert observation.growth_bytes < CLIENT_COUNT * CLIENT_BYTES + BASE_BYTES
    assert max(observation.latencies_s) < LATENCY_OBJECTIVE_S


# Guards against reading ahead without bound while a request is open or responses are unread.
@pytest.mark.parametrize("name", FLOODS)
def test_one_client_at_full_speed_costs_little_memory_and_delays_no_other(
    proxy: tuple[ProxyProcess, Any], name: str
) -> None:
    observation = observe(*proxy, FLOODS[name])
    assert observation.growth_bytes < CLIENT_BYTES + BASE_BYTES
    assert max(observation.latencies_s) < LATENCY_OBJECTIVE_S


def close_normally(sock: socket.socket) -> None:
    sock.close()


def close_with_reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


# Guards against requests of a closed connection that are forwarded from what was received before.
@pytest.mark.parametrize("close", [close_normally, close_with_reset])
@pytest.mark.parametrize("response_s", [0.0, 0.05])
def test_requests_of_a_closed_client_are_not_forwarded(
    tmp_path: Path, response_s: float, close: Callable[[socket.socket], None]
) -> None:
    def respond_slowly(sock: socket.socket, _head: bytes, _number: int) -> bool:
        time.sleep(response_s)
        sock.sendall(http_response())
        return True

    server = ScriptedServer(respond_slowly)
    proxy = ProxyProcess(tmp_path, server.port)
    with proxy.running():
        sock = proxy.dial()
        sock.sendall(GET * 3000)
        while len(server.heads) < 2:
            time.sleep(0.005)
        close(sock)
        time.sleep(0.5)  # The proxy checks four times a second whether a client is still there.
        forwarded = len(server.heads)
        assert forwarded < 3000
        time.sleep(1.0)
        assert len(server.heads) == forwarded
        assert b"200" in proxy.send_and_read(CLOSING_GET)


def test_head_sent_byte_by_byte_times_out_as_a_whole(tmp_path: Path) -> None:
    proxy = ProxyProcess(tmp_path, ScriptedServer(respond_with_path).port)
    with proxy.running(head_s="1"), proxy.dial() as sock:
        started_s = time.monotonic()
        sock.settimeout(0.2)
        response = b""
        while not response and time.monotonic() - started_s < 4:
            sock.sendall(b"x")
            try:
                response = sock.recv(100)
            except TimeoutError:
                continue
        assert response.startswith(b"HTTP/1.1 408")
