"""Tests the health checks of servers on a virtual clock."""

from __future__ import annotations

import math
from itertools import pairwise
from pathlib import Path

import pytest

from puffintide.assigner.runtime import Effects
from puffintide.decisions.events import HealthCheckResult
from tests.platform_world import (
    SERVERS,
    CheckedServer,
    Platform,
    entry,
)

pytestmark = pytest.mark.processes


def test_health_checks_wait_for_the_first_proxy(tmp_path: Path) -> None:
    platform = Platform(tmp_path)
    platform.relay.proxies = []
    platform.advance(5.0)
    assert sum(server.checks for server in platform.servers) == 0
    platform.relay.broadcast(
        {"type": "joined", "object": {"sidecar": 1, "az": "a", "share": 1.0, "standing": True}}
    )
    platform.advance(2.0)
    assert all(server.checks for server in platform.servers)


def test_health_checks_of_one_round_are_spread(platform: Platform) -> None:
    times_s: list[float] = []
    for server in platform.servers:
        answer = server.answer
        server.answer = lambda *a, answer=answer: (times_s.append(platform.net.seconds()), answer(*a))[1]  # type: ignore
    for view in platform.assigner.runtime.director.servers.values():  # type: ignore[attr-defined]
        view.next_health_check_s = math.inf
    platform.advance(0.2)
    times_s.clear()
    platform.assigner.health_checks._queue = [
        platform.assigner.hosts.register(f"s-{k}") for k in range(SERVERS - 1)
    ]
    platform.assigner.apply_effects(
        Effects(actions=(), health_checks=[platform.assigner.hosts.register(f"s-{SERVERS - 1}")])
    )
    platform.assigner.health_checks._send_next()
    platform.advance(0.2)
    assert len(times_s) >= SERVERS
    assert min(later - earlier for earlier, later in pairwise(times_s[:SERVERS])) > 0.03
    assert times_s[-1] - times_s[0] < 0.25


@pytest.mark.parametrize(
    ("mode", "status"),
    [
        ("healthy", 0),
        ("malformed", 1),
        ("full", 2),
        ("late 503", 3),
        ("no answer", 3),
        ("down", 4),
        ("reset", 5),
    ],
)
def test_outcome_of_a_health_check_is_passed_on(platform: Platform, mode: str, status: int) -> None:
    events = platform.record_events()
    platform.servers[0].mode = mode
    if mode == "down":
        platform.servers[0].reactor.kill()
    platform.advance(3.0)
    server_id = platform.assigner.hosts.register("s-0")
    results = [
        event for event in events if isinstance(event, HealthCheckResult) and event.server_id == server_id
    ]
    assert len(results) >= 2
    assert {result.status for result in results[1:]} == {status}
    if status == 0:
        assert results[0].load_values == (2.0,)
        assert results[0].elapsed_s == pytest.approx(0.005, abs=0.002)


def test_connection_closed_while_idle_is_no_failed_health_check(platform: Platform) -> None:
    platform.advance(2.0)
    events = platform.record_events()
    for server in platform.servers:  # Close all connections while they are idle.
        for connection in [connection for connection in server.connections if connection.open]:
            connection.transport.abortConnection()
    platform.advance(1.0)
    assert {event.status for event in events if isinstance(event, HealthCheckResult)} == {0}
    server = platform.servers[0]
    # Close the connection when the next request arrives on it.
    for connection in [connection for connection in server.connections if connection.open]:
        connection.dataReceived = lambda _data, c=connection: c.transport.abortConnection()
    platform.advance(2.0)
    server_id = platform.assigner.hosts.register("s-0")
    results = [
        event for event in events if isinstance(event, HealthCheckResult) and event.server_id == server_id
    ]
    assert len(results) >= 2
    assert {result.status for result in results} == {0}
    assert len(server.connections) == 3


def test_connections_to_a_removed_server_are_closed(platform: Platform) -> None:
    platform.advance(2.0)
    platform.discovery.change(entry(0, "left"))
    platform.advance(0.1)
    assert platform.servers[0].checks
    assert not any(connection.open for connection in platform.servers[0].connections)


def test_health_checks_follow_a_changed_server_address(platform: Platform) -> None:
    platform.advance(2.0)
    server_at_new_address = CheckedServer(platform.net, 9999)
    platform.discovery.change(entry(0, dial="127.0.0.1:9999"))
    platform.advance(2.0)
    assert server_at_new_address.checks
    assert not any(connection.open for connection in platform.servers[0].connections)
