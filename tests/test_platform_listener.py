"""Connections to the assigner's address, on a virtual clock."""

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


def test_collectors_report_and_are_never_sent_anything(platform: Platform) -> None:
    peer = platform.collector()
    platform.report(peer, 2)
    peer.send(
        {"msg": "heard", "az": "a", "host": "s-1", "n": 1, "bad": 2, "window": 5},
        {"msg": "new kind"},
        {"msg": "heat", "partition": 99, "kind": "0", "n": 1, "bad": 0, "window": 5},
    )
    platform.report(peer, 2)
    assert peer.open
    assert peer.received == b""
    assert platform.assigner.listener.counters.invalid_messages == 3
    assert platform.assigner.load_reports.counters.server == 4 * SERVERS
    peer.send(b"\x00\x01 what can't be read\n")
    platform.advance(0.1)
    assert not peer.open
    assert peer.received == b""


UNIDENTIFIED: list[Callable[[Client], None]] = [
    lambda _peer: None,
    lambda p: p.send(b'{"msg":"pi'),
    lambda p: p.send({"msg": "collector", "az": "zz"}),
    lambda p: p.send({"msg": "collector"}),
    lambda p: p.send({"msg": "heard", "az": "a", "host": "s-1", "n": 1, "bad": 0, "window": 5.0}),
    lambda p: p.send({"msg": "joined", "sidecar": 1, "az": "a"}),
    lambda p: p.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
    lambda p: p.send({"orders": [{"do": "DEL", "group": 1}]}),
    lambda p: p.send(b"x" * (2 << 20)),
    lambda p: p.send(b"\xff\xff\xff\xff"),
    lambda p: p.send({"msg": "ping"}),
]


@pytest.mark.parametrize("send", UNIDENTIFIED)
def test_unidentified_connections_are_rejected_or_closed(
    platform: Platform, send: Callable[[Client], None]
) -> None:
    collector = platform.collector()
    peer = Client(platform)
    send(peer)
    platform.advance(2.5)
    assert not peer.open
    assert collector.open
    assert peer.received in (b"", b'{"msg":"refused"}\n', b'{"msg":"pong"}\n')


def test_endless_pings_are_closed_and_hundreds_of_connections_displace_no_collector(
    platform: Platform,
) -> None:
    collector = platform.collector()
    pinging = Client(platform)
    crowd = [Client(platform) for _ in range(30)]
    for _ in range(10):
        if pinging.open:
            pinging.send({"msg": "ping"})
        platform.advance(0.25)
    assert not pinging.open
    assert not any(p.open for p in crowd)
    assert collector.open
    later = [Client(platform) for _ in range(300)]
    assert len(platform.assigner.listener.unidentified) <= platform.assigner.listener.max_unidentified
    platform.report(collector)
    assert collector.open
    assert not later[0].open


def test_number_of_dead_collectors_is_bounded(platform: Platform) -> None:
    alive = platform.collector()
    dead = [platform.collector() for _ in range(40)]
    platform.advance(0.01)
    assert len(platform.assigner.listener.collectors) == 32
    assert alive.open
    assert not dead[-1].open
    platform.report(alive, 8)
    more = [platform.collector() for _ in range(5)]
    platform.advance(0.01)
    assert len(platform.assigner.listener.collectors) == 32
    assert alive.open
    assert not dead[0].open
    assert more[-1].open


def test_rejected_connection_that_does_not_close_is_aborted(platform: Platform) -> None:
    peer = Client(platform)
    (connection,) = platform.assigner.listener.unidentified
    connection.transport.loseConnection = lambda: None
    peer.send({"msg": "collector", "az": "zz"})
    platform.advance(1.0)
    assert not peer.open
    assert not platform.assigner.listener.unidentified


def test_unread_pongs_are_bounded(platform: Platform) -> None:
    peer = platform.collector()
    peer.transport.pauseProducing()
    for _ in range(8):
        peer.send(b'{"msg":"ping"}\n' * 1000)
        platform.advance(0.05)
    peer.transport.resumeProducing()
    platform.advance(0.1)
    assert not peer.open


def test_each_connection_of_a_flood_in_one_reactor_turn_closes_another(platform: Platform) -> None:
    """What is cut ends a turn later: until then it is open, and the reactor takes ever more in a turn."""
    listener, cut = platform.assigner.listener, list[int]()
    listener.unidentified.clear()
    for k in range(listener.max_unidentified + 50):
        peer: Any = listener.buildProtocol(None)
        peer.transport = type("Pending", (), {"abortConnection": lambda _self, k=k: cut.append(k)})()
        listener.port.numberAccepts = 500
        listener.on_connected(peer)
    assert cut == list(range(50))
    assert listener.port.numberAccepts == MAX_ACCEPTS_PER_TURN
