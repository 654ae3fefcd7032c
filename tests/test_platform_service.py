"""The assigner on a virtual clock: start, reload, failures and shutdown."""

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


def test_pings_are_answered_once_it_serves(tmp_path: Path) -> None:
    made = Platform(tmp_path)
    early = Client(made)
    early.send(b'{"msg":"pi', b'ng"}\n{"msg":"ping"}\n')
    assert early.received == b""
    made.advance(0.5)
    assert early.received == b'{"msg":"pong"}\n' * 2
    assert made.director_tables() == made.relay.tables
    assert made.assigner.runtime.proxy_zones.keys() == {0, 1, 2}
    assert len(made.assigner.runtime.endpoints) == SERVERS


def test_pings_are_answered_after_a_timeout_without_relay_and_discovery(tmp_path: Path) -> None:
    made = Platform(tmp_path, known=False)
    made.relay.reactor.kill()
    made.discovery.reactor.kill()
    made.advance(3.5)
    peer = Client(made)
    peer.send({"msg": "ping"})
    made.advance(0.1)
    assert peer.received
    assert peer.open


def moved(platform: Platform, discovery: int, relay: int) -> tuple[FakeDiscovery, FakeRelay]:
    made = FakeDiscovery(platform.net, discovery), FakeRelay(platform.net, relay)
    made[0].version, made[1].tables = platform.discovery.version, platform.relay.tables
    platform.config |= {"discovery": f"127.0.0.1:{discovery}", "store": {"address": f"127.0.0.1:{relay}"}}
    platform.write()
    return made


def test_reload_moves_all_connections_and_forgets_nothing(platform: Platform) -> None:
    old = platform.relay.watches() + platform.discovery.watches()
    discovery, relay = moved(platform, 8501, 6401)
    before = platform.director_tables(), platform.assigner.runtime.proxy_zones
    platform.assigner.reload()
    platform.advance(1.0)
    assert not any(c.open for c in old)
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
    _, relay = moved(platform, 8501, 6401)
    platform.assigner.reload()
    platform.advance(1.0)
    assert "s-1" not in relay.routable_hosts()


@pytest.mark.parametrize("text", ["", "{", "[]", '{"listen": 5}'])
def test_invalid_configuration_leaves_the_current_one_in_force(platform: Platform, text: str) -> None:
    platform.path.write_text(text)
    platform.assigner.reload()
    platform.path.unlink()
    platform.assigner.reload()
    platform.advance(1.0)
    assert len(platform.logged("reload_rejected")) == 2
    assert platform.relay.watches()


def test_failed_round_is_logged_and_is_not_the_last(platform: Platform) -> None:
    director: Any = platform.assigner.runtime.director
    real, director.estimator.update = director.estimator.update, lambda: 1 / 0
    platform.advance(1.0)
    director.estimator.update = real
    assert "ZeroDivisionError" in platform.logged("round_failed")[0]["error"]
    platform.advance(1.0)
    client: Any = platform.assigner.relay.client
    send_next, client.send_next = client.send_next, lambda: 1 / 0
    platform.discovery.change(entry(2, "leaving"))
    platform.advance(0.5)
    client.send_next = send_next
    platform.assigner.relay.client.send_next()
    platform.advance(2.0)
    assert len(platform.assigner.runtime._timers) == 1  # its rounds go on at their pace, not at twice that
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(1.0)
    assert "s-1" not in platform.relay.routable_hosts()


def test_state_stays_bounded_while_servers_come_and_go(platform: Platform) -> None:
    peer = platform.collector()
    for k in range(10, 1000, 3):
        platform.discovery.change(*(entry(i) for i in range(k, k + 3)))
        platform.discovery.change(*(entry(i, "left") for i in range(k, k + 3)))
        platform.advance(2.0)
        if k % 60 == 10:
            platform.report(peer)
    platform.advance(60.0)
    node = platform.assigner
    # The module remembers a server for ten minutes after it has gone.
    assert len(node.hosts) <= len(node.runtime.director.servers) + SERVERS  # type: ignore[attr-defined]
    assert len(node.hosts) < 960
    assert len(node.health_checks.clients) <= SERVERS
    assert len(node.runtime.server_addresses) < 200
    assert len(node.relay._sent_weights) < 50


def test_sigterm_lets_a_call_in_flight_end(platform: Platform) -> None:
    platform.relay.call_results = ["lost"]
    platform.discovery.change(entry(1, "leaving"))
    platform.advance(0.02)
    assert platform.assigner.relay.outbox.in_flight
    platform.assigner.stop()
    platform.advance(0.1)
    assert platform.reactor.running
    platform.advance(0.2)
    assert not platform.reactor.running


def test_sigterm_with_nothing_in_flight_ends_at_once(platform: Platform) -> None:
    platform.assigner.stop()
    platform.advance(0.01)
    assert not platform.reactor.running
