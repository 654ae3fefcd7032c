"""The assigner's service on a reactor in memory: back-pressure, and messages step by step."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import structlog
from twisted.internet.testing import MemoryReactorClock, StringTransport

from puffintide.assigner.service import AssignerService
from puffintide.config.loader import parse_config
from puffintide.protocol import messages as m
from puffintide.protocol.clock import monotonic_reactor
from puffintide.protocol.codec import decode, encode
from puffintide.protocol.stream import Stream
from tests.peers import SECTIONS, charges, servers

ADDRESS = "127.0.0.1:1"


class Wire(StringTransport):
    """A transport in memory that may not be read."""

    def setTcpNoDelay(self, on: bool) -> None:
        pass

    def messages(self) -> list[m.AnyMessage]:
        found = [decode(line) for line in self.value().splitlines()]
        self.clear()
        return [x for x in found if not isinstance(x, m.Ping)]


class Assigner:
    def __init__(self, **changes: dict[str, str]) -> None:
        sections = {k: v | changes.get(k, {}) for k, v in SECTIONS.items()}
        section = {"id": "0", "listen": ADDRESS, "store": ADDRESS, "list": ADDRESS}
        self.reactor: Any = MemoryReactorClock()
        self.service = AssignerService(
            self.reactor,
            parse_config("test", {**sections, "assigner": section}),
            structlog.wrap_logger(structlog.testing.CapturingLogger()),
            1,
        )
        self.service.start()
        self.factory = self.service.factory()

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.01)):
            self.reactor.advance(0.01)

    def proxy(self, number: int) -> tuple[Stream, Wire]:
        stream, wire = self.factory.buildProtocol(None), Wire()
        stream.makeConnection(wire)
        stream.dataReceived(encode(m.Hello(m.PROTOCOL_VERSION, "proxy", number, 0, "t")) + b"\n")
        return stream, wire

    def dialled(self, which: int, message: m.Message) -> None:
        """What the store (0) or the list (1) says, over the stream that the service dialled."""
        factory = self.reactor.tcpClients[which][2]
        if not hasattr(self, f"line{which}"):
            stream = factory.buildProtocol(None)
            stream.makeConnection(Wire())
            setattr(self, f"line{which}", stream)
            stream.dataReceived(encode(m.Welcome(m.PROTOCOL_VERSION, "store", 0)) + b"\n")
        getattr(self, f"line{which}").dataReceived(encode(message) + b"\n")


def keep_alive(*streams: Stream) -> None:
    for stream in streams:
        stream.dataReceived(encode(m.Pong()) + b"\n")


def orders(wire: Wire) -> list[m.ProxyUpdate]:
    return [x for x in wire.messages() if isinstance(x, m.ProxyUpdate)]


def test_proxy_that_does_not_read_delays_no_other_and_gets_its_updates_once_it_reads() -> None:
    a = Assigner(deployment={"slices": "50"})
    a.dialled(1, m.WatchEvent("full", 1, servers(1, 1, 1)))
    (unread, unread_wire), (good, good_wire) = a.proxy(0), a.proxy(1)
    unread_wire.messages()
    good_wire.messages()
    unread_wire.producer.pauseProducing()  # type: ignore[union-attr]
    a.dialled(0, charges(50))
    a.pass_time(1)
    keep_alive(unread, good)
    a.dialled(1, m.WatchEvent("delta", 2, servers(2)))
    a.pass_time(1)
    received = orders(good_wire)
    assert any(x.server_id == 0 and x.weight == 0 for order in received for x in order.weights)
    assert orders(unread_wire) == []
    assert a.service.channel.queued_entries() > 0
    unread_wire.producer.resumeProducing()  # type: ignore[union-attr]
    a.pass_time(0.2)
    assert orders(unread_wire) == received
    assert a.service.channel.queued_entries() == 0


def test_proxy_that_never_reads_is_closed_before_the_channel_overflows() -> None:
    a = Assigner(deployment={"slices": "120"}, channel={"limit": "700"})
    a.dialled(1, m.WatchEvent("full", 1, servers(1, 1, 1, 1)))
    (unread, unread_wire), (good, good_wire) = a.proxy(0), a.proxy(1)
    unread_wire.producer.pauseProducing()  # type: ignore[union-attr]
    a.dialled(0, charges(120))
    max_queued = 0.0
    for version in range(2, 40):
        a.dialled(
            1, m.WatchEvent("delta", version, servers(*[2 if s == version % 4 else 1 for s in range(4)]))
        )
        a.pass_time(1)
        keep_alive(unread, good)
        max_queued = max(max_queued, a.service.channel.queued_entries())
        if unread_wire.disconnected or unread_wire.disconnecting or 0 not in a.service.proxy_updates.streams:
            break
    assert 0 < max_queued <= 700
    assert unread_wire.disconnected
    assert not good_wire.disconnected
    assert orders(good_wire)


def test_reactor_uses_the_monotonic_clock(monkeypatch: Any) -> None:
    reactor = monotonic_reactor()
    before = reactor.seconds()
    monkeypatch.setattr("time.time", lambda: 0.0)  # the wall clock steps back by decades
    assert 0 <= reactor.seconds() - before < 60


def test_endpoint_cache_survives_a_partly_written_file_beside_it(tmp_path: Path) -> None:
    from puffintide.assigner.endpoint_list import load_cache, save_cache

    path = tmp_path / "list.json"
    event = m.WatchEvent(
        "full",
        3,
        [m.EndpointEntry(1, 0, 0, 0, 1, 2.0, 4, 5.0, ADDRESS), m.EndpointEntry(2, 0, 0, 0, 1, 2.0, 1, -1.0)],
    )
    save_cache(str(path), 100.0, event)
    (tmp_path / "list.json.1.new").write_bytes(path.read_bytes()[:30])  # its writer was killed
    loaded = load_cache(str(path), 107.5)
    assert loaded.update_type == "cached"
    assert loaded.version == 3
    assert [e.age_s for e in loaded.servers] == [12.5, -1.0]
    assert [e.age_s for e in load_cache(str(path), 50.0).servers] == [5.0, -1.0]  # the clock was set back


def test_failed_round_is_logged_and_rounds_continue() -> None:
    assigner = Assigner()
    assigner.dialled(0, charges(8))
    assigner.dialled(1, m.WatchEvent("full", 1, servers(1, 1)))
    stream, wire = assigner.proxy(0)
    all_: list[Any] = [stream, assigner.line0, assigner.line1]  # type: ignore[attr-defined]
    keep_alive(*all_)
    assigner.pass_time(1.0)
    keep_alive(*all_)
    decider: Any = assigner.service.runtime.director
    real, decider.handle = decider.handle, lambda *_: 1 / 0
    assigner.pass_time(1.0)
    decider.handle = real
    keep_alive(*all_)
    assert any("ZeroDivisionError" in str(call) for call in assigner.service.log._logger.calls)
    assigner.pass_time(1.0)
    assert len(assigner.service.runtime._timers) == 1  # one round follows the other, as before
    keep_alive(*all_)
    wire.clear()
    assigner.dialled(1, m.WatchEvent("delta", 2, servers(2)))  # the first drains
    assigner.pass_time(1.0)
    assert orders(wire)
