"""Peers of the program's own protocol that send half lines, too much or too fast, at each process that listens."""

from __future__ import annotations

import contextlib
import signal
import socket
import struct
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from puffintide.protocol import messages as m
from puffintide.protocol.codec import encode
from tests.hostile_clients import Observation, connect, connected_clients, flood
from tests.peers import MAX_WAIT_S, PORTS, AssignerHarness, charges, process, servers
from tests.test_proxy_service import ProxySetting

pytestmark = pytest.mark.processes

CLIENT_COUNT = 300
WATCHED_S = 3.0
LATENCY_OBJECTIVE_S = 1.0  # aim_s of the class of the deployment.
READ_BYTES = 65536  # Bytes that one read of a connection may take.
LINES_BYTES = 64 << 20  # Bytes that the incomplete lines of all accepted peers may take.
BASE_BYTES = 16 << 20  # Bytes that buffers of the process and its allocator may take beside them.
HALF_LINE = b'{"t":"x","pad":"' + b"x" * 1_000_000


def line(*messages: m.Message) -> bytes:
    return b"".join(encode(message) + b"\n" for message in messages)


@dataclass(frozen=True)
class Program:
    """A process under test, and what an accepted peer sends to it."""

    running: Any
    port: int
    greeting: bytes
    request: m.Message  # The request that peers of this role repeat in service.

    def probe(self) -> None:
        """Connect as another peer, and wait for the answer to a ping."""
        with connect(self.port) as sock:
            sock.sendall(self.greeting + line(m.Ping()))
            received = b""
            while b'"pong"' not in received:
                data = sock.recv(65536)
                if not data:
                    raise ConnectionError(f"connection closed after {received[-200:]!r}")
                received += data


@contextlib.contextmanager
def running_store(folder: Path) -> Iterator[Program]:
    port = PORTS.take()
    hello = m.Hello(m.PROTOCOL_VERSION, "proxy", 0, 0, "t")
    with process(folder, "store", {"listen": f"127.0.0.1:{port}"}, deployment={"slices": "2000"}) as running:
        yield Program(running, port, line(hello), m.ReadRequest())


@contextlib.contextmanager
def running_assigner(folder: Path) -> Iterator[Program]:
    harness = AssignerHarness(folder)
    with harness.assigner() as running:
        store, list_stream = harness.store.accept("store"), harness.list.accept("list")
        list_stream.send(m.WatchEvent("full", 1, servers(1, 1)))
        store.send(charges())
        hello = m.Hello(m.PROTOCOL_VERSION, "operator", 0, 0, "t")
        yield Program(running, harness.port, line(hello), m.ZoneStatusRequest())


@contextlib.contextmanager
def running_proxy(folder: Path) -> Iterator[Program]:
    setting = ProxySetting(folder)
    with setting.running() as running:
        setting.accept_control_plane()
        hello = m.Hello(m.PROTOCOL_VERSION, "client", 0)
        yield Program(running, setting.port, line(hello), m.ClientRequest(1, 0, 7, 4.0))


PROGRAMS = {"store": running_store, "assigner": running_assigner, "proxy": running_proxy}
Attack = Callable[[Program], contextlib.AbstractContextManager[Any]]
FLOODS: dict[str, Attack] = {
    "pings, pongs unread": lambda p: flood(p.port, line(m.Ping()) * 5000, p.greeting),
    "pings, pongs read": lambda p: flood(p.port, line(m.Ping()) * 5000, p.greeting, reads=True),
    "requests, responses unread": lambda p: flood(p.port, line(p.request) * 5000, p.greeting),
    "requests, responses read": lambda p: flood(p.port, line(p.request) * 5000, p.greeting, reads=True),
    "a line without end": lambda p: flood(p.port, HALF_LINE, p.greeting),
}


@pytest.fixture(params=PROGRAMS)
def program(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Program]:
    with PROGRAMS[request.param](tmp_path) as program:
        yield program


def observe(program: Program, attack: Attack) -> Observation:
    for _ in range(3):
        program.probe()
    observation = Observation(program.running.pid)
    try:
        with attack(program):
            observation.watch(program.probe, WATCHED_S)
    finally:
        observation.stop()
    assert program.running.poll() is None
    return observation


# Guards against half lines of peers that are not accepted yet, which were kept up to the largest line.
def test_half_lines_before_the_greeting_cost_little_memory(program: Program) -> None:
    observation = observe(program, lambda p: connected_clients(p.port, CLIENT_COUNT, HALF_LINE))
    assert observation.growth_bytes < CLIENT_COUNT * READ_BYTES + BASE_BYTES
    assert max(observation.latencies_s) < LATENCY_OBJECTIVE_S


# Guards against half lines of accepted peers, whose sum had no limit.
def test_half_lines_after_the_greeting_cost_bounded_memory(program: Program) -> None:
    observation = observe(program, lambda p: connected_clients(p.port, CLIENT_COUNT, p.greeting + HALF_LINE))
    assert observation.growth_bytes < LINES_BYTES + CLIENT_COUNT * READ_BYTES + BASE_BYTES
    assert max(observation.latencies_s) < LATENCY_OBJECTIVE_S


# Guards against answers that a peer does not read, and against a peer that takes all turns.
@pytest.mark.parametrize("name", FLOODS)
def test_one_peer_at_full_speed_costs_little_memory_and_delays_no_other(program: Program, name: str) -> None:
    observation = observe(program, FLOODS[name])
    assert observation.growth_bytes < BASE_BYTES
    assert max(observation.latencies_s) < LATENCY_OBJECTIVE_S


# Guards against requests of a closed client that are sent on from what was received before.
@pytest.mark.parametrize("reset", [False, True])
def test_line_requests_of_a_closed_client_are_not_forwarded(tmp_path: Path, reset: bool) -> None:
    setting = ProxySetting(tmp_path)
    with setting.running() as running:
        _, store = setting.accept_control_plane()
        other_client, server, _ = setting.client_with_open_request(store)
        sock = connect(setting.port)
        sock.sendall(line(m.Hello(m.PROTOCOL_VERSION, "client", 0)))
        assert b"welcome" in sock.recv(65536)
        running.send_signal(signal.SIGSTOP)  # The client closes before the proxy reads its requests.
        sock.sendall(line(*(m.ClientRequest(k, 0, 7, 4.0) for k in range(500))))
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
        running.send_signal(signal.SIGCONT)
        other_client.send(m.ClientRequest(2, 0, 8, 4.0))
        attempts = [server.wait_for(lambda message: isinstance(message, m.AttemptRequest)).key]
        with contextlib.suppress(TimeoutError):
            while True:
                attempts.append(server.wait_for(lambda x: isinstance(x, m.AttemptRequest), 1.0).key)
        assert attempts == [8]


# Guards against memory that grows as long as a peer sends requests without reading the responses.
def test_peer_that_never_reads_is_disconnected_once_buffers_are_full(program: Program) -> None:
    with flood(program.port, line(m.Ping()) * 5000, program.greeting) as running_flood:
        end_s = time.monotonic() + MAX_WAIT_S
        while not running_flood.ended_by_peer and time.monotonic() < end_s:
            time.sleep(0.1)
        assert running_flood.ended_by_peer
