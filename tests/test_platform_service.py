"""Tests of start, reload, failures and shutdown of the assigner on a virtual clock."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from tests.platform_world import (
    SERVERS,
    Client,
    FakeDiscovery,
    FakeRelay,
    Platform,
    entry,
)

pytestmark = pytest.mark.processes


def test_pings_are_answered_once_the_assigner_serves(tmp_path: Path) -> None:
    platform = Platform(tmp_path)
    client = Client(platform)
    client.send(b'{"msg":"pi', b'ng"}\n{"msg":"ping"}\n')
    assert client.received == b""
    platform.advance(0.5)
    assert client.received == b'{"msg":"pong"}\n' * 2
    assert platform.director_tables() == platform.relay.tables
    assert platform.assigner.runtime.proxy_zones.keys() == {0, 1, 2}
    assert len(platform.assigner.runtime.endpoints) == SERVERS


def test_pings_are_answered_after_a_timeout_without_relay_and_discovery(tmp_path: Path) -> None:
    platform = Platform(tmp_path, known=False)
    platform.relay.reactor.kill()
    platform.discovery.reactor.kill()
    platform.advance(3.5)
    client = Client(platform)
    client.send({"msg": "ping"})
    platform.advance(0.1)
    assert client.received
    assert client.open


def start_moved_services(platform: Platform, discovery: int, relay: int) -> tuple[FakeDiscovery, FakeRelay]:
    """Start discovery and relay with the same state on other ports, and write the ports to the file."""
    services = FakeDiscovery(platform.net, discovery), FakeRelay(platform.net, relay)
    services[0].version, services[1].tables = platform.discovery.version, platform.relay.tables
    platform.config |= {"discovery": f"127.0.0.1:{discovery}", "store": {"address": f"127.0.0.1:{relay}"}}
    platform.write()
    return services


def test_reload_moves_all_connections_and_keeps_known_state(platform: Platform) -> None:
    old_connections = platform.relay.watches() + platform.discovery.watches()
    discovery, relay = start_moved_services(platform, 8501, 6401)
    before = platform.director_tables(), platform.assigner.runtime.proxy_zones
    platform.assigner.reload()
    platform.advance(1.0)
    assert not any(c.open for c in old_connections)
    assert relay.watches()
    assert discovery.watches()
    assert (platform.director_tables(), platform.assigner.runtime.proxy_zones) == before
    connections = len(platform.relay.connections), len(platform.discovery.connections)
    discovery.change(entry(1, "leaving"))
    platform.advance(2.0)
    assert "s-1" not in relay.routable_hosts()
    assert relay.calls
    assert not platform.relay.calls
    assert (len(platform.relay.connections), len(platform.discovery.connections)) == connections
    assert not platform.logged("relay_watch_lost")


def test_reload_during_a_call_loses_no_order(platform: Platform) -> None:
    platform.relay.call_results = ["lost"] * 9
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(0.03)
    assert platform.assigner.relay.outbox.in_flight
    _, relay = start_moved_services(platform, 8501, 6401)
    platform.assigner.reload()
    platform.advance(1.0)
    assert "s-1" not in relay.routable_hosts()


@pytest.mark.parametrize("text", ["", "{", "[]", '{"listen": 5}'])
def test_reload_of_invalid_configuration_keeps_the_current_one(platform: Platform, text: str) -> None:
    platform.path.write_text(text)
    platform.assigner.reload()
    platform.path.unlink()
    platform.assigner.reload()
    platform.advance(1.0)
    assert len(platform.logged("reload_rejected")) == 2
    assert platform.relay.watches()


def test_failed_round_is_logged_and_later_rounds_still_run(platform: Platform) -> None:
    director: Any = platform.assigner.runtime.director
    original_update, director.estimator.update = director.estimator.update, lambda: 1 / 0
    platform.advance(1.0)
    director.estimator.update = original_update
    assert "ZeroDivisionError" in platform.logged("round_failed")[0]["error"]
    platform.advance(1.0)
    client: Any = platform.assigner.relay.client
    send_next, client.send_next = client.send_next, lambda: 1 / 0
    platform.discovery.change(entry(2, "leaving"))
    platform.advance(0.5)
    client.send_next = send_next
    platform.assigner.relay.client.send_next()
    platform.advance(2.0)
    assert len(platform.assigner.runtime._timers) == 1  # A second timer would double the rate of rounds.
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(1.0)
    assert "s-1" not in platform.relay.routable_hosts()


def test_state_stays_bounded_while_servers_come_and_go(platform: Platform) -> None:
    collector = platform.collector()
    for k in range(10, 1000, 3):
        platform.discovery.change(*(entry(i) for i in range(k, k + 3)))
        platform.discovery.change(*(entry(i, "left") for i in range(k, k + 3)))
        platform.advance(2.0)
        if k % 60 == 10:
            platform.report(collector)
    platform.advance(60.0)
    assigner = platform.assigner
    # The director keeps a server for ten minutes after its removal.
    assert len(assigner.hosts) <= len(assigner.runtime.director.servers) + SERVERS  # type: ignore[attr-defined]
    assert len(assigner.hosts) < 960
    assert len(assigner.health_checks.clients) <= SERVERS
    assert len(assigner.runtime.server_addresses) < 200
    assert len(assigner.relay.outbox.sent_weights) < 50


def test_sigterm_waits_for_a_call_in_flight(platform: Platform) -> None:
    platform.relay.call_results = ["lost"]
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(0.02)
    assert platform.assigner.relay.outbox.in_flight
    platform.assigner.stop()
    platform.advance(0.1)
    assert platform.reactor.running
    platform.advance(0.2)
    assert not platform.reactor.running


def test_sigterm_without_a_call_in_flight_stops_immediately(platform: Platform) -> None:
    platform.assigner.stop()
    platform.advance(0.01)
    assert not platform.reactor.running
