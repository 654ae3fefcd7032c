"""Clients that send half lines, or reports and pings at full speed, to a real assigner of the platform."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.hostile_clients import Observation, connect, connected_clients, flood
from tests.test_races import LONG_TIMEOUTS, Platform

pytestmark = pytest.mark.processes

CLIENT_COUNT = 300
WATCHED_S = 3.0
MEMORY_BYTES = 64 << 20  # limits.memory_mb of the configuration.
PONG_OBJECTIVE_S = 1.0  # The platform grants a new connection 1 s.
LOG_LIMITS = {"platform.log.BURST_LINES": 20, "platform.log.LINES_PER_S": 2}  # As in service.
COLLECTOR = b'{"msg":"collector","az":"a"}\n'


def line(**row: Any) -> bytes:
    return json.dumps(row).encode() + b"\n"


SLICE_REPORT = line(msg="heat", partition=3, kind="0", n=5, bad=0, window=500.0)
NEW_HOSTS = b"".join(
    line(msg="heard", az="a", host=f"h-{k}", n=5, bad=0, avg=40.0, window=500.0) for k in range(20_000)
)
NEW_KINDS = b"".join(
    line(msg="heat", partition=k, kind=f"k-{k}", n=5, bad=0, window=500.0) for k in range(20_000)
)
HALF_LINE = b'{"msg":"' + b"x" * 1_000_000
Attack = Callable[[int], contextlib.AbstractContextManager[Any]]
ATTACKS: dict[str, Attack] = {
    "half lines": lambda port: connected_clients(port, CLIENT_COUNT, b'{"msg":"' + b"x" * 4000),
    "half lines of collectors": lambda port: connected_clients(
        port, CLIENT_COUNT, COLLECTOR, b'{"msg":"' + b"x" * 1_000_000
    ),
    "pings, pongs read": lambda port: flood(port, b'{"msg":"ping"}\n' * 5000, COLLECTOR, reads=True),
    "pings, pongs unread": lambda port: flood(port, b'{"msg":"ping"}\n' * 5000, COLLECTOR),
    "valid reports": lambda port: flood(port, SLICE_REPORT * 2000, COLLECTOR),
    "invalid reports": lambda port: flood(port, b'{"msg":"heat"}\n' * 5000, COLLECTOR),
    "reports of new hosts": lambda port: flood(port, NEW_HOSTS, COLLECTOR),
    "reports of new classes": lambda port: flood(port, NEW_KINDS, COLLECTOR),
    "empty lines": lambda port: flood(port, b"\n" * 65536, COLLECTOR),
}


@pytest.fixture
def platform(tmp_path: Path) -> Iterator[Platform]:
    platform = Platform(tmp_path, {**LONG_TIMEOUTS, **LOG_LIMITS}).start()
    yield platform
    platform.end()


def ping(port: int) -> None:
    with connect(port) as sock:
        sock.sendall(b'{"msg":"ping"}\n')
        if b"pong" not in sock.recv(100):
            raise ConnectionError("no pong")


# Guards against a client that takes the memory of the assigner, or the turns of all others.
@pytest.mark.parametrize("name", ATTACKS)
def test_hostile_client_costs_bounded_memory_and_delays_no_other(platform: Platform, name: str) -> None:
    port = int(platform.assigner.config["listen"].rpartition(":")[2])
    observation = Observation(platform.assigner.process.pid)
    try:
        with ATTACKS[name](port):
            observation.watch(lambda: ping(port), WATCHED_S)
            platform.drain(1)  # An order is still sent while the attack goes on.
            platform.answer_calls_until_withdrawn("s-1")
    finally:
        observation.stop()
    assert platform.assigner.process.poll() is None
    assert observation.max_bytes < MEMORY_BYTES
    assert max(observation.latencies_s) < PONG_OBJECTIVE_S
