"""Tests connections to the assigner's address on a virtual clock."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from puffintide.platform.listener import MAX_ACCEPTS_PER_TURN
from tests.platform_world import (
    SERVERS,
    Client,
    Platform,
)

pytestmark = pytest.mark.processes


def test_collector_reports_are_counted_and_rejections_are_not_sent_to_it(platform: Platform) -> None:
    collector = platform.collector()
    platform.report(collector, 2)
    collector.send(
        {"msg": "heard", "az": "a", "host": "s-1", "n": 1, "bad": 2, "window": 5},
        {"msg": "new kind"},
        {"msg": "heat", "partition": 99, "kind": "0", "n": 1, "bad": 0, "window": 5},
    )
    platform.report(collector, 2)
    assert collector.open
    assert collector.received == b""
    assert platform.assigner.listener.counters.invalid_messages == 3
    assert platform.assigner.load_reports.counters.server == 4 * SERVERS
    collector.send(b"\x00\x01 malformed\n")
    platform.advance(0.1)
    assert not collector.open
    assert collector.received == b""


SEND_WITHOUT_IDENTIFYING: list[Callable[[Client], None]] = [
    lambda _client: None,
    lambda client: client.send(b'{"msg":"pi'),
    lambda client: client.send({"msg": "collector", "az": "zz"}),
    lambda client: client.send({"msg": "collector"}),
    lambda client: client.send({"msg": "heard", "az": "a", "host": "s-1", "n": 1, "bad": 0, "window": 5.0}),
    lambda client: client.send({"msg": "joined", "sidecar": 1, "az": "a"}),
    lambda client: client.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
    lambda client: client.send({"orders": [{"do": "DEL", "group": 1}]}),
    lambda client: client.send(b"x" * (2 << 20)),
    lambda client: client.send(b"\xff\xff\xff\xff"),
    lambda client: client.send({"msg": "ping"}),
]


@pytest.mark.parametrize("send", SEND_WITHOUT_IDENTIFYING)
def test_unidentified_connections_are_rejected_or_closed(
    platform: Platform, send: Callable[[Client], None]
) -> None:
    collector = platform.collector()
    client = Client(platform)
    send(client)
    platform.advance(2.5)
    assert not client.open
    assert collector.open
    assert client.received in (b"", b'{"msg":"refused"}\n', b'{"msg":"pong"}\n')


def test_endless_pings_are_closed_and_hundreds_of_connections_displace_no_collector(
    platform: Platform,
) -> None:
    collector = platform.collector()
    pinging_client = Client(platform)
    silent_clients = [Client(platform) for _ in range(30)]
    for _ in range(10):
        if pinging_client.open:
            pinging_client.send({"msg": "ping"})
        platform.advance(0.25)
    assert not pinging_client.open
    assert not any(client.open for client in silent_clients)
    assert collector.open
    later_clients = [Client(platform) for _ in range(300)]
    assert len(platform.assigner.listener.unidentified) <= platform.assigner.listener.max_unidentified
    platform.report(collector)
    assert collector.open
    assert not later_clients[0].open


def test_number_of_inactive_collectors_is_bounded(platform: Platform) -> None:
    active = platform.collector()
    inactive = [platform.collector() for _ in range(40)]
    platform.advance(0.01)
    assert len(platform.assigner.listener.collectors) == 32
    assert active.open
    assert not inactive[-1].open
    platform.report(active, 8)
    new = [platform.collector() for _ in range(5)]
    platform.advance(0.01)
    assert len(platform.assigner.listener.collectors) == 32
    assert active.open
    assert not inactive[0].open
    assert new[-1].open


def test_rejected_connection_that_does_not_close_is_aborted(platform: Platform) -> None:
    client = Client(platform)
    (connection,) = platform.assigner.listener.unidentified
    connection.transport.loseConnection = lambda: None
    client.send({"msg": "collector", "az": "zz"})
    platform.advance(1.0)
    assert not client.open
    assert not platform.assigner.listener.unidentified


def test_unread_pongs_are_bounded(platform: Platform) -> None:
    collector = platform.collector()
    collector.transport.pauseProducing()
    for _ in range(8):
        collector.send(b'{"msg":"ping"}\n' * 1000)
        platform.advance(0.05)
    collector.transport.resumeProducing()
    platform.advance(0.1)
    assert not collector.open


def test_each_connection_of_a_flood_in_one_reactor_turn_closes_another(platform: Platform) -> None:
    """An aborted connection stays open until the next turn, and the reactor accepts ever more in one turn."""
    listener, aborted = platform.assigner.listener, list[int]()
    listener.unidentified.clear()
    for k in range(listener.max_unidentified + 50):
        connection: Any = listener.buildProtocol(None)
        connection.transport = type(
            "Pending", (), {"abortConnection": lambda _self, k=k: aborted.append(k)}
        )()
        listener.port.numberAccepts = 500
        listener.on_connected(connection)
    assert aborted == list(range(50))
    assert listener.port.numberAccepts == MAX_ACCEPTS_PER_TURN
