"""Health checks, on a virtual clock."""

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
    made = Platform(tmp_path)
    made.relay.proxies = []
    made.advance(5.0)
    assert sum(t.checks for t in made.servers) == 0
    made.relay.broadcast(
        {"type": "joined", "object": {"sidecar": 1, "az": "a", "share": 1.0, "standing": True}}
    )
    made.advance(2.0)
    assert all(t.checks for t in made.servers)


def test_health_checks_of_one_round_are_spread(platform: Platform) -> None:
    at: list[float] = []
    for task in platform.servers:
        inner = task.answer
        task.answer = lambda *a, inner=inner: (at.append(platform.net.seconds()), inner(*a))[1]  # type: ignore
    for view in platform.assigner.runtime.director.servers.values():  # type: ignore[attr-defined]
        view.next_health_check_s = math.inf
    platform.advance(0.2)
    at.clear()
    platform.assigner.health_checks._queue = [
        platform.assigner.hosts.register(f"s-{k}") for k in range(SERVERS - 1)
    ]
    platform.assigner.apply_effects(
        Effects(actions=(), health_checks=[platform.assigner.hosts.register(f"s-{SERVERS - 1}")])
    )
    platform.assigner.health_checks._send_next()
    platform.advance(0.2)
    assert len(at) >= SERVERS
    assert min(b - a for a, b in pairwise(at[:SERVERS])) > 0.03
    assert at[-1] - at[0] < 0.25


@pytest.mark.parametrize(
    ("mode", "status"),
    [("well", 0), ("odd", 1), ("full", 2), ("late 503", 3), ("dumb", 3), ("down", 4), ("reset", 5)],
)
def test_outcome_of_a_health_check_is_passed_on(platform: Platform, mode: str, status: int) -> None:
    events = platform.record_events()
    platform.servers[0].mode = mode
    if mode == "down":
        platform.servers[0].party.kill()
    platform.advance(3.0)
    number = platform.assigner.hosts.register("s-0")
    results = [e for e in events if isinstance(e, HealthCheckResult) and e.server_id == number]
    assert len(results) >= 2
    assert {e.status for e in results[1:]} == {status}
    if status == 0:
        assert results[0].load_values == (2.0,)
        assert results[0].elapsed_s == pytest.approx(0.005, abs=0.002)


def test_connection_closed_while_idle_is_no_failed_health_check(platform: Platform) -> None:
    platform.advance(2.0)
    events = platform.record_events()
    for task in platform.servers:  # closed while idle
        for c in [c for c in task.connections if c.open]:
            c.transport.abortConnection()
    platform.advance(1.0)
    assert {e.status for e in events if isinstance(e, HealthCheckResult)} == {0}
    task = platform.servers[0]
    for c in [c for c in task.connections if c.open]:
        c.dataReceived = lambda _data, c=c: c.transport.abortConnection()
    platform.advance(2.0)
    number = platform.assigner.hosts.register("s-0")
    results = [e for e in events if isinstance(e, HealthCheckResult) and e.server_id == number]
    assert len(results) >= 2
    assert {e.status for e in results} == {0}
    assert len(task.connections) == 3


def test_connections_to_a_removed_server_are_closed(platform: Platform) -> None:
    platform.advance(2.0)
    platform.discovery.change(entry(0, "left"))
    platform.advance(0.1)
    assert platform.servers[0].checks
    assert not any(c.open for c in platform.servers[0].connections)


def test_server_may_change_its_address(platform: Platform) -> None:
    platform.advance(2.0)
    other = CheckedServer(platform.net, 9999)
    platform.discovery.change(entry(0, dial="127.0.0.1:9999"))
    platform.advance(2.0)
    assert other.checks
    assert not any(c.open for c in platform.servers[0].connections)
