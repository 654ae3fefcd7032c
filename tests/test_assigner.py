"""The assigner service on an in-memory reactor: backpressure, the endpoint cache and failed rounds."""

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
STORE, ENDPOINT_LIST = 0, 1  # The order in which the service connects to them.


class RecordingTransport(StringTransport):
    """An in-memory transport that records the messages sent to a peer."""

    def setTcpNoDelay(self, on: bool) -> None:
        pass

    def messages(self) -> list[m.AnyMessage]:
        received = [decode(line) for line in self.value().splitlines()]
        self.clear()
        return [message for message in received if not isinstance(message, m.Ping)]


class Assigner:
    def __init__(self, **changes: dict[str, str]) -> None:
        sections = {name: section | changes.get(name, {}) for name, section in SECTIONS.items()}
        assigner_section = {"id": "0", "listen": ADDRESS, "store": ADDRESS, "list": ADDRESS}
        self.reactor: Any = MemoryReactorClock()
        self.service = AssignerService(
            self.reactor,
            parse_config("test", {**sections, "assigner": assigner_section}),
            structlog.wrap_logger(structlog.testing.CapturingLogger()),
            1,
        )
        self.service.start()
        self.factory = self.service.factory()

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.01)):
            self.reactor.advance(0.01)

    def connect_proxy(self, proxy_id: int) -> tuple[Stream, RecordingTransport]:
        stream, transport = self.factory.buildProtocol(None), RecordingTransport()
        stream.makeConnection(transport)
        stream.dataReceived(encode(m.Hello(m.PROTOCOL_VERSION, "proxy", proxy_id, 0, "t")) + b"\n")
        return stream, transport

    def receive(self, source: int, message: m.Message) -> None:
        """Deliver a message from STORE or ENDPOINT_LIST on the stream that the service opened to it."""
        factory = self.reactor.tcpClients[source][2]
        if not hasattr(self, f"stream{source}"):
            stream = factory.buildProtocol(None)
            stream.makeConnection(RecordingTransport())
            setattr(self, f"stream{source}", stream)
            stream.dataReceived(encode(m.Welcome(m.PROTOCOL_VERSION, "store", 0)) + b"\n")
        getattr(self, f"stream{source}").dataReceived(encode(message) + b"\n")


def keep_alive(*streams: Stream) -> None:
    for stream in streams:
        stream.dataReceived(encode(m.Pong()) + b"\n")


def received_updates(transport: RecordingTransport) -> list[m.ProxyUpdate]:
    return [message for message in transport.messages() if isinstance(message, m.ProxyUpdate)]


def test_blocked_proxy_delays_no_other_and_receives_its_updates_once_it_reads() -> None:
    assigner = Assigner(deployment={"slices": "50"})
    assigner.receive(ENDPOINT_LIST, m.WatchEvent("full", 1, servers(1, 1, 1)))
    (blocked, blocked_transport), (reading, reading_transport) = (
        assigner.connect_proxy(0),
        assigner.connect_proxy(1),
    )
    blocked_transport.messages()
    reading_transport.messages()
    blocked_transport.producer.pauseProducing()  # type: ignore[union-attr]
    assigner.receive(STORE, charges(50))
    assigner.advance(1)
    keep_alive(blocked, reading)
    assigner.receive(ENDPOINT_LIST, m.WatchEvent("delta", 2, servers(2)))
    assigner.advance(1)
    received = received_updates(reading_transport)
    assert any(entry.server_id == 0 and entry.weight == 0 for update in received for entry in update.weights)
    assert received_updates(blocked_transport) == []
    assert assigner.service.channel.queued_entries() > 0
    blocked_transport.producer.resumeProducing()  # type: ignore[union-attr]
    assigner.advance(0.2)
    assert received_updates(blocked_transport) == received
    assert assigner.service.channel.queued_entries() == 0


def test_blocked_proxy_is_disconnected_before_the_channel_exceeds_its_capacity() -> None:
    assigner = Assigner(deployment={"slices": "120"}, channel={"limit": "700"})
    assigner.receive(ENDPOINT_LIST, m.WatchEvent("full", 1, servers(1, 1, 1, 1)))
    (blocked, blocked_transport), (reading, reading_transport) = (
        assigner.connect_proxy(0),
        assigner.connect_proxy(1),
    )
    blocked_transport.producer.pauseProducing()  # type: ignore[union-attr]
    assigner.receive(STORE, charges(120))
    max_queued = 0.0
    for version in range(2, 40):
        assigner.receive(
            ENDPOINT_LIST,
            m.WatchEvent("delta", version, servers(*[2 if s == version % 4 else 1 for s in range(4)])),
        )
        assigner.advance(1)
        keep_alive(blocked, reading)
        max_queued = max(max_queued, assigner.service.channel.queued_entries())
        if (
            blocked_transport.disconnected
            or blocked_transport.disconnecting
            or 0 not in assigner.service.proxy_updates.streams
        ):
            break
    assert 0 < max_queued <= 700
    assert blocked_transport.disconnected
    assert not reading_transport.disconnected
    assert received_updates(reading_transport)


def test_reactor_uses_the_monotonic_clock(monkeypatch: Any) -> None:
    reactor = monotonic_reactor()
    before = reactor.seconds()
    monkeypatch.setattr("time.time", lambda: 0.0)  # The wall clock is set back by decades.
    assert 0 <= reactor.seconds() - before < 60


def test_endpoint_cache_is_loaded_beside_a_partially_written_temporary_file(tmp_path: Path) -> None:
    from puffintide.assigner.endpoint_list import load_cache, save_cache

    path = tmp_path / "list.json"
    event = m.WatchEvent(
        "full",
        3,
        [m.EndpointEntry(1, 0, 0, 0, 1, 2.0, 4, 5.0, ADDRESS), m.EndpointEntry(2, 0, 0, 0, 1, 2.0, 1, -1.0)],
    )
    save_cache(str(path), 100.0, event)
    (tmp_path / "list.json.1.new").write_bytes(path.read_bytes()[:30])  # A partial file of a killed writer.
    loaded = load_cache(str(path), 107.5)
    assert loaded.update_type == "cached"
    assert loaded.version == 3
    assert [entry.age_s for entry in loaded.servers] == [12.5, -1.0]
    # Ages do not decrease when the wall clock was set back.
    assert [entry.age_s for entry in load_cache(str(path), 50.0).servers] == [5.0, -1.0]


def test_failed_round_is_logged_and_rounds_continue() -> None:
    assigner = Assigner()
    assigner.receive(STORE, charges(8))
    assigner.receive(ENDPOINT_LIST, m.WatchEvent("full", 1, servers(1, 1)))
    stream, transport = assigner.connect_proxy(0)
    streams: list[Any] = [stream, assigner.stream0, assigner.stream1]  # type: ignore[attr-defined]
    keep_alive(*streams)
    assigner.advance(1.0)
    keep_alive(*streams)
    module: Any = assigner.service.runtime.director
    original_handle, module.handle = module.handle, lambda *_: 1 / 0
    assigner.advance(1.0)
    module.handle = original_handle
    keep_alive(*streams)
    assert any("ZeroDivisionError" in str(call) for call in assigner.service.log._logger.calls)
    assigner.advance(1.0)
    assert len(assigner.service.runtime._timers) == 1  # Only one round is scheduled, as before the failure.
    keep_alive(*streams)
    transport.clear()
    assigner.receive(ENDPOINT_LIST, m.WatchEvent("delta", 2, servers(2)))  # The first server is draining.
    assigner.advance(1.0)
    assert received_updates(transport)
